//! Discovery is available but overloaded: it refuses several list requests in a row, and its address changes
//! more than once. A change in its list must still be known 6 s later, and from 1 s after that no call may
//! reach an endpoint that drains.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change must be known this long after discovery has it, whatever requests discovery refuses.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// From this long after a drain is known, no new call may reach the endpoint.
const GRACE: Duration = Duration::from_secs(1);
/// List requests that discovery refuses in a row once the endpoint drains.
const REFUSED_REQUESTS: u32 = 5;
/// Configuration reloads in quick succession, each with another address of discovery.
const DISCOVERY_MOVES: usize = 4;
const MOVE_INTERVAL: Duration = Duration::from_millis(400);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

/// Submits messages in a thread of its own until `stop` is set.
fn start_traffic(harness: &Harness, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let client = harness.http_client();
    thread::spawn(move || {
        for index in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            client.submit(&format!("m{index}"));
            thread::sleep(SUBMIT_INTERVAL);
        }
    })
}

#[test]
fn a_drain_is_known_in_time_while_discovery_moves_and_refuses_requests() {
    let mut harness = Harness::default();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    harness.add_accepting_endpoint("drains", "1", arrivals.clone());
    harness.add_accepting_endpoint("stays", "1", Arc::default());
    // A small fleet shares discovery.
    run_step(&mut harness, "given setting replicasOfMe=6");
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = start_traffic(&harness, stop.clone());

    harness.refuse_list_requests(u32::MAX);
    for _ in 0..DISCOVERY_MOVES {
        run_step(&mut harness, "send platform move");
        run_step(&mut harness, "send daemon HUP");
        thread::sleep(MOVE_INTERVAL);
    }
    run_step(&mut harness, &format!("expect counter list_moves={DISCOVERY_MOVES}"));
    run_step(&mut harness, "send list drains Terminating");
    harness.refuse_list_requests(REFUSED_REQUESTS);
    let drained_at = Instant::now();
    let last_call_allowed = drained_at + KNOWN_WITHIN + GRACE;
    while !harness.current_list_was_served() && Instant::now() < last_call_allowed {
        thread::sleep(SUBMIT_INTERVAL);
    }
    let known_at = Instant::now();
    // Calls that were sent just before have arrived by the end of this.
    thread::sleep(GRACE);
    stop.store(true, Ordering::Relaxed);
    traffic.join().unwrap();

    let last_call = arrivals.lock().unwrap().last().copied().expect("the endpoint got calls");
    let log = harness.log();
    assert!(
        known_at < last_call_allowed,
        "the drain was not known {:?} after discovery had it\n{log}",
        known_at - drained_at
    );
    assert!(
        last_call <= last_call_allowed,
        "a call reached the draining endpoint {:?} after the grace period\n{log}",
        last_call - last_call_allowed
    );
    assert!(
        last_call <= known_at + GRACE,
        "a call reached the draining endpoint {:?} after the drain was known",
        last_call - known_at
    );
}
