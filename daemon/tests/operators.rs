//! Maintenance by operators, with real daemon processes. While an endpoint is in maintenance, no call reaches
//! it, whatever state discovery lists for it: not from the process that got the command, not from a sibling
//! process, and not from the process that starts after a kill.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No new call may reach an endpoint from this long after the command that puts it into maintenance.
const GRACE: Duration = Duration::from_secs(1);
/// An endpoint that leaves maintenance is cold: its recovery budget allows the first call within this time.
const FIRST_CALL_WITHIN: Duration = Duration::from_secs(5);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(20);
/// The time for which the test checks that no call arrives; under this load each endpoint in use gets many
/// calls in it.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

struct Forwarder {
    harness: Harness,
    /// The times of the calls of endpoint `e1`.
    e1_arrivals: Arrivals,
    /// The times of the calls of endpoint `e2`.
    e2_arrivals: Arrivals,
    submitted: Arc<AtomicUsize>,
    /// Stops the thread that submits messages.
    stop_traffic: Arc<AtomicBool>,
}

impl Forwarder {
    fn start() -> Forwarder {
        let (mut harness, e1_arrivals, e2_arrivals) =
            (Harness::default(), Arrivals::default(), Arrivals::default());
        // Each endpoint is the only one of its destination, so that no other endpoint takes the calls that it
        // may not get.
        harness.add_accepting_endpoint("e1", "1", e1_arrivals.clone());
        harness.add_accepting_endpoint("e2", "2", e2_arrivals.clone());
        let (stop_traffic, submitted) = Default::default();
        let mut forwarder = Forwarder { harness, e1_arrivals, e2_arrivals, submitted, stop_traffic };
        // The debug log shows the outcome of each attempt, which helps to trace a failure.
        forwarder.run_steps(&["given section log level=\"debug\" lines_per_s=100000"]);
        forwarder.run_steps(&["given operators", "send daemon start", "expect counter list_answers=1"]);
        forwarder.start_traffic();
        forwarder
    }

    fn run_steps(&mut self, lines: &[&str]) {
        for line in lines {
            let words: Vec<&str> = line.split(' ').collect();
            self.harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", self.harness.log()));
        }
    }

    /// Submits messages to the newest process until the next call of this function or the end of the test.
    fn start_traffic(&mut self) {
        self.stop_traffic.store(true, Ordering::Relaxed);
        self.stop_traffic = Arc::default();
        let (client, stop_traffic, submitted) =
            (self.harness.http_client(), self.stop_traffic.clone(), self.submitted.clone());
        thread::spawn(move || {
            let started = Instant::now();
            while !stop_traffic.load(Ordering::Relaxed) {
                for destination in ["1", "2"] {
                    client.try_submit(&format!("m{}", started.elapsed().as_nanos()), destination);
                    submitted.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(SUBMIT_INTERVAL);
            }
        });
    }

    /// The numbers of submissions and calls, and the daemon's log, for the message of a failed assertion.
    fn state_text(&self) -> String {
        let (e1_calls, e2_calls) =
            (self.e1_arrivals.lock().unwrap().len(), self.e2_arrivals.lock().unwrap().len());
        let submitted = self.submitted.load(Ordering::Relaxed);
        format!(
            "{submitted} messages submitted, {e1_calls} calls to e1, {e2_calls} calls to e2\n{}",
            self.harness.log()
        )
    }

    /// The number of calls to `e1` after this time.
    fn calls_after(&self, from: Instant) -> usize {
        self.e1_arrivals.lock().unwrap().iter().filter(|at| **at > from).count()
    }

    /// Waits for a call to `e1`; the condition completes the message of a failure.
    fn expect_call(&self, condition: &str) {
        self.expect_call_after(Instant::now(), condition);
    }

    /// Ends the maintenance of `e1` and waits for a call. The call may arrive before the operator's response
    /// is read, so calls count from the command on.
    fn end_maintenance(&mut self, operator: &str, condition: &str) {
        let from = Instant::now();
        self.run_steps(&[&format!("send {operator} maint-off e1"), "expect operator 200"]);
        self.expect_call_after(from, condition);
    }

    fn expect_call_after(&self, from: Instant, condition: &str) {
        while self.calls_after(from) == 0 {
            assert!(from.elapsed() < FIRST_CALL_WITHIN, "no call to e1 {condition}; {}", self.state_text());
            thread::sleep(SUBMIT_INTERVAL);
        }
    }

    /// Checks that `e1` gets no call for a while; the condition completes the message of a failure.
    fn expect_no_call(&self, condition: &str) {
        let from = Instant::now();
        thread::sleep(OBSERVATION_TIME);
        assert_eq!(self.calls_after(from), 0, "calls to e1 {condition}; {}", self.state_text());
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.stop_traffic.store(true, Ordering::Relaxed);
    }
}

#[test]
fn an_endpoint_in_maintenance_gets_no_call_until_operators_end_it() {
    let mut forwarder = Forwarder::start();
    forwarder.expect_call("before its maintenance");
    forwarder.run_steps(&["send operator maint-on nobody", "expect operator 400"]);
    forwarder.run_steps(&["send operator maint-on e1", "expect operator 200"]);
    thread::sleep(GRACE);
    forwarder.expect_no_call("during its maintenance");
    // Discovery still lists the endpoint as ready, also in the complete list that follows a move of
    // discovery.
    forwarder.run_steps(&["send list e2 Ready", "send platform move", "send daemon HUP"]);
    forwarder.run_steps(&["expect counter list_moves=1", "expect counter list_old=0"]);
    forwarder.expect_no_call("after a new complete list during its maintenance");
    forwarder.run_steps(&["send operator maint-on e1", "expect operator 200"]);
    forwarder.end_maintenance("operator", "after its maintenance");
    forwarder.run_steps(&["send operator maint-on e2", "expect operator 200"]);
    forwarder.expect_call("while the other endpoint is in maintenance");
}

/// During an upgrade both processes form one forwarder: a command to either of them applies to both, and to
/// the process that starts after a kill.
#[test]
fn maintenance_set_at_one_process_applies_to_its_sibling_and_after_a_kill() {
    let mut forwarder = Forwarder::start();
    forwarder.expect_call("before its maintenance");
    forwarder.run_steps(&["send daemon beside", "send operator maint-on e1", "expect operator 200"]);
    thread::sleep(GRACE);
    forwarder.expect_no_call("after the new process put it into maintenance");
    forwarder.end_maintenance("old-operator", "after the old process ended its maintenance");
    forwarder.run_steps(&["expect log put back at another process"]);
    forwarder.run_steps(&["send old-operator maint-on e1", "expect operator 200", "send old KILL"]);
    thread::sleep(GRACE);
    forwarder.expect_no_call("after the old process put it into maintenance and was killed");
    forwarder.run_steps(&["send daemon KILL", "send daemon start", "expect log 1 endpoints are out of use"]);
    forwarder.start_traffic();
    forwarder.expect_no_call("during its maintenance, after a kill of the daemon");
    forwarder.end_maintenance("operator", "after the next process ended its maintenance");
}

/// Discovery is unavailable for a while; after that its list omits the endpoint once and then contains it
/// again.
#[test]
fn neither_a_discovery_outage_nor_a_new_list_ends_maintenance() {
    let mut forwarder = Forwarder::start();
    forwarder.expect_call("before its maintenance");
    forwarder.harness.refuse_list_requests(u32::MAX);
    forwarder.run_steps(&["send operator maint-on e1", "expect operator 200", "expect counter list_old=1"]);
    thread::sleep(GRACE);
    forwarder.expect_no_call("during its maintenance, while discovery is unavailable");
    forwarder.run_steps(&["send list e1 Gone"]);
    forwarder.harness.refuse_list_requests(0);
    forwarder.run_steps(&["expect log Gone", "send list e1 Ready", "expect counter list_old=0"]);
    while !forwarder.harness.current_list_was_served() {
        thread::sleep(SUBMIT_INTERVAL);
    }
    forwarder.expect_no_call("during its maintenance, after the list contains it again");
    forwarder.end_maintenance("operator", "after its maintenance");
}

/// The old process learns of a drain by its open watch, while discovery refuses all requests of the new
/// process.
#[test]
fn a_drain_known_to_one_process_applies_to_its_sibling() {
    let mut forwarder = Forwarder::start();
    forwarder.expect_call("while it is ready");
    forwarder.harness.refuse_list_requests(u32::MAX);
    forwarder.run_steps(&["send daemon beside", "expect log another process of this forwarder is there"]);
    forwarder.run_steps(&[
        "send list e1 Terminating",
        "expect log endpoint drains according to the other process",
    ]);
    thread::sleep(GRACE);
    forwarder.expect_no_call("after the old process learned that it drains");
    forwarder.run_steps(&["send old KILL"]);
    forwarder.expect_no_call("while it drains, after the old process was killed");
    forwarder.run_steps(&["send list e1 Ready"]);
    forwarder.harness.refuse_list_requests(0);
    forwarder.run_steps(&["send operator maint-on e2", "expect operator 200"]);
    forwarder.expect_call("after the new process got a list in which it is ready");
}
