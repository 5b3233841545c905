//! Endpoints that operators take out and put back, with real processes: whatever discovery lists meanwhile, nothing goes to one
//! that is out, from this process, a second one beside it, or the next one after a kill.

#[allow(dead_code)] // the scenarios use the rest
mod harness;

use harness::Harness;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing new may reach an endpoint so long after the call that takes it out.
const GRACE: Duration = Duration::from_secs(1);
/// One that is back is cold: its first call comes within the gap that its budget leaves.
const BACK_WITHIN: Duration = Duration::from_secs(5);
const SEND_EVERY: Duration = Duration::from_millis(20);
/// Under this load a call reaches each endpoint many times within so long.
const LOOK: Duration = Duration::from_millis(500);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

struct Forwarder {
    harness: Harness,
    /// Where the calls of the endpoints `e1` and `e2` are noted.
    arrivals: Arrivals,
    others: Arrivals,
    handed_in: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
}

impl Forwarder {
    fn start() -> Forwarder {
        let (mut harness, arrivals, others) = (Harness::default(), Arrivals::default(), Arrivals::default());
        // Each is the only one that its messages may go to: nothing else takes the calls that one may not get.
        harness.add_accepting_endpoint("e1", "1", arrivals.clone());
        harness.add_accepting_endpoint("e2", "2", others.clone());
        let (over, handed_in) = Default::default();
        let mut forwarder = Forwarder { harness, arrivals, others, handed_in, over };
        // A failure is traced by what became of each attempt.
        forwarder.run_steps(&["given section log level=\"debug\" lines_per_s=100000"]);
        forwarder.run_steps(&["given operators", "send daemon start", "expect counter list_answers=1"]);
        forwarder.traffic();
        forwarder
    }

    fn run_steps(&mut self, lines: &[&str]) {
        for line in lines {
            let words: Vec<&str> = line.split(' ').collect();
            self.harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", self.harness.log()));
        }
    }

    /// Hands messages in at whatever process is there now, until the next call of this or the end.
    fn traffic(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.over = Arc::default();
        let (client, over, handed_in) =
            (self.harness.http_client(), self.over.clone(), self.handed_in.clone());
        thread::spawn(move || {
            let begin = Instant::now();
            while !over.load(Ordering::Relaxed) {
                for destination in ["1", "2"] {
                    client.try_submit(&format!("m{}", begin.elapsed().as_nanos()), destination);
                    handed_in.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(SEND_EVERY);
            }
        });
    }

    /// What the stand-ins saw, for whoever traces a failure.
    fn seen(&self) -> String {
        let (e1, e2) = (self.arrivals.lock().unwrap().len(), self.others.lock().unwrap().len());
        let handed_in = self.handed_in.load(Ordering::Relaxed);
        format!("{handed_in} handed in, {e1} calls of e1, {e2} of e2\n{}", self.harness.log())
    }

    fn calls_after(&self, from: Instant) -> usize {
        self.arrivals.lock().unwrap().iter().filter(|at| **at > from).count()
    }

    fn gets_calls(&self, why: &str) {
        self.gets_calls_after(Instant::now(), why);
    }

    /// Puts the endpoint back. Its trial call may come before the answer to the operator is read.
    fn put_back(&mut self, who: &str, why: &str) {
        let from = Instant::now();
        self.run_steps(&[&format!("send {who} maint-off e1"), "expect operator 200"]);
        self.gets_calls_after(from, why);
    }

    fn gets_calls_after(&self, from: Instant, why: &str) {
        while self.calls_after(from) == 0 {
            assert!(from.elapsed() < BACK_WITHIN, "no call {why}; {}", self.seen());
            thread::sleep(SEND_EVERY);
        }
    }

    fn gets_nothing(&self, why: &str) {
        let from = Instant::now();
        thread::sleep(LOOK);
        assert_eq!(self.calls_after(from), 0, "calls {why}; {}", self.seen());
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

#[test]
fn an_endpoint_that_operators_took_out_gets_nothing_until_they_put_it_back() {
    let mut forwarder = Forwarder::start();
    forwarder.gets_calls("before it is taken out");
    forwarder.run_steps(&["send operator maint-on nobody", "expect operator 400"]);
    forwarder.run_steps(&["send operator maint-on e1", "expect operator 200"]);
    thread::sleep(GRACE);
    forwarder.gets_nothing("though it is out");
    // Discovery goes on to list it as ready, and is told of as a whole new list.
    forwarder.run_steps(&["send list e2 Ready", "send platform move", "send daemon HUP"]);
    forwarder.run_steps(&["expect counter list_moves=1", "expect counter list_old=0"]);
    forwarder.gets_nothing("behind a new list");
    forwarder.run_steps(&["send operator maint-on e1", "expect operator 200"]);
    forwarder.put_back("operator", "once it is back");
    forwarder.run_steps(&["send operator maint-on e2", "expect operator 200"]);
    forwarder.gets_calls("as the only one that is in use");
}

/// An upgrade: both processes are one forwarder, whichever of them is called, and so is the next one after a kill.
#[test]
fn what_one_process_is_told_binds_the_one_beside_it_and_the_next() {
    let mut forwarder = Forwarder::start();
    forwarder.gets_calls("before it is taken out");
    forwarder.run_steps(&["send daemon beside", "send operator maint-on e1", "expect operator 200"]);
    thread::sleep(GRACE);
    forwarder.gets_nothing("though the new process has taken it out");
    forwarder.put_back("old-operator", "once the old process has put it back");
    forwarder.run_steps(&["expect log put back at another process"]);
    forwarder.run_steps(&["send old-operator maint-on e1", "expect operator 200", "send old KILL"]);
    thread::sleep(GRACE);
    forwarder.gets_nothing("though the old process had taken it out");
    forwarder.run_steps(&["send daemon KILL", "send daemon start", "expect log 1 endpoints are out of use"]);
    forwarder.traffic();
    forwarder.gets_nothing("after a kill");
    forwarder.put_back("operator", "once the next process has put it back");
}

/// Discovery is down, and its list leaves the endpoint out and names it again.
#[test]
fn neither_an_outage_of_discovery_nor_a_new_list_puts_it_back() {
    let mut forwarder = Forwarder::start();
    forwarder.gets_calls("before it is taken out");
    forwarder.harness.refuse_list_requests(u32::MAX);
    forwarder.run_steps(&["send operator maint-on e1", "expect operator 200", "expect counter list_old=1"]);
    thread::sleep(GRACE);
    forwarder.gets_nothing("while discovery is down");
    forwarder.run_steps(&["send list e1 Gone"]);
    forwarder.harness.refuse_list_requests(0);
    forwarder.run_steps(&["expect log Gone", "send list e1 Ready", "expect counter list_old=0"]);
    while !forwarder.harness.current_list_was_served() {
        thread::sleep(SEND_EVERY);
    }
    forwarder.gets_nothing("though the list names it again");
    forwarder.put_back("operator", "once it is back");
}

/// The old process's watch is open and tells it of a drain, while discovery refuses all calls of the new one.
#[test]
fn a_drain_that_one_process_is_told_binds_the_one_beside_it() {
    let mut forwarder = Forwarder::start();
    forwarder.gets_calls("while it is ready");
    forwarder.harness.refuse_list_requests(u32::MAX);
    forwarder.run_steps(&["send daemon beside", "expect log another process of this forwarder is there"]);
    forwarder.run_steps(&["send list e1 Terminating", "expect log drains, as the other process was told"]);
    thread::sleep(GRACE);
    forwarder.gets_nothing("though the old process knows that it drains");
    forwarder.run_steps(&["send old KILL"]);
    forwarder.gets_nothing("though the old process is gone");
    forwarder.run_steps(&["send list e1 Ready"]);
    forwarder.harness.refuse_list_requests(0);
    forwarder.run_steps(&["send operator maint-on e2", "expect operator 200"]);
    forwarder.gets_calls("once the own list says that it is ready");
}
