//! Discovery that is up and crowded: it refuses calls, one after the other, and moves more than once. What it has to tell
//! counts as known 6 s later all the same, and nothing may go to a server that drains from 1 s after that.

#[allow(dead_code)] // the scenarios use the rest
mod harness;

use harness::Harness;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as known so long after discovery had it, whatever calls it refused.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// From when on a drain is known nothing new may go there.
const GRACE: Duration = Duration::from_secs(1);
/// Calls that are refused in a row once the server drains.
const REFUSED: u32 = 5;
/// New configurations in quick succession, each of which names another address of discovery.
const MOVES: usize = 4;
const MOVE_EVERY: Duration = Duration::from_millis(400);
const SEND_EVERY: Duration = Duration::from_millis(50);

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

/// Hands messages in until it is told to stop.
fn traffic(harness: &Harness, over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let client = harness.http_client();
    thread::spawn(move || {
        for n in 0.. {
            if over.load(Ordering::Relaxed) {
                return;
            }
            client.submit(&format!("m{n}"));
            thread::sleep(SEND_EVERY);
        }
    })
}

#[test]
fn a_drain_is_known_in_time_though_discovery_moves_and_refuses_calls() {
    let mut harness = Harness::default();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    harness.add_accepting_endpoint("drains", "1", arrivals.clone());
    harness.add_accepting_endpoint("stays", "1", Arc::default());
    // A handful of forwarders share discovery.
    run_step(&mut harness, "given setting replicasOfMe=6");
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    let over = Arc::new(AtomicBool::new(false));
    let traffic = traffic(&harness, over.clone());

    harness.refuse_list_requests(u32::MAX);
    for _ in 0..MOVES {
        run_step(&mut harness, "send platform move");
        run_step(&mut harness, "send daemon HUP");
        thread::sleep(MOVE_EVERY);
    }
    run_step(&mut harness, &format!("expect counter list_moves={MOVES}"));
    run_step(&mut harness, "send list drains Terminating");
    harness.refuse_list_requests(REFUSED);
    let drained = Instant::now();
    let ends = drained + KNOWN_WITHIN + GRACE;
    while !harness.current_list_was_served() && Instant::now() < ends {
        thread::sleep(SEND_EVERY);
    }
    let known = Instant::now();
    // What was sent just before has arrived by then.
    thread::sleep(GRACE);
    over.store(true, Ordering::Relaxed);
    traffic.join().unwrap();

    let last = arrivals.lock().unwrap().last().copied().expect("the server gets calls");
    let log = harness.log();
    assert!(known < ends, "the drain is not known {:?} after discovery had it\n{log}", known - drained);
    assert!(last <= ends, "a request went there {:?} after the grace period\n{log}", last - ends);
    assert!(last <= known + GRACE, "a request went there {:?} after the drain was known", last - known);
}
