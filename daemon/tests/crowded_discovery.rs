//! Discovery that is up and crowded: it refuses calls, one after the other, and moves more than once. What it has to tell
//! counts as known 6 s later all the same, and nothing may go to a server that drains from 1 s after that.

#[allow(dead_code)] // the scenarios use the rest
mod stage;

use stage::Stage;
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

fn play(stage: &mut Stage, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    stage.play(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", stage.log()));
}

/// Hands messages in until it is told to stop.
fn traffic(stage: &Stage, over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let client = stage.client();
    thread::spawn(move || {
        for n in 0.. {
            if over.load(Ordering::Relaxed) {
                return;
            }
            client.hand_in(&format!("m{n}"));
            thread::sleep(SEND_EVERY);
        }
    })
}

#[test]
fn a_drain_is_known_in_time_though_discovery_moves_and_refuses_calls() {
    let mut stage = Stage::default();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    stage.ready_server("drains", "1", arrivals.clone());
    stage.ready_server("stays", "1", Arc::default());
    // A handful of forwarders share discovery.
    play(&mut stage, "given setting replicasOfMe=6");
    play(&mut stage, "send daemon start");
    play(&mut stage, "expect counter list_answers=1");
    let over = Arc::new(AtomicBool::new(false));
    let traffic = traffic(&stage, over.clone());

    stage.refuse_list_calls(u32::MAX);
    for _ in 0..MOVES {
        play(&mut stage, "send platform move");
        play(&mut stage, "send daemon HUP");
        thread::sleep(MOVE_EVERY);
    }
    play(&mut stage, &format!("expect counter list_moves={MOVES}"));
    play(&mut stage, "send list drains Terminating");
    stage.refuse_list_calls(REFUSED);
    let drained = Instant::now();
    let ends = drained + KNOWN_WITHIN + GRACE;
    while !stage.list_was_told() && Instant::now() < ends {
        thread::sleep(SEND_EVERY);
    }
    let known = Instant::now();
    // What was sent just before has arrived by then.
    thread::sleep(GRACE);
    over.store(true, Ordering::Relaxed);
    traffic.join().unwrap();

    let last = arrivals.lock().unwrap().last().copied().expect("the server gets calls");
    let log = stage.log();
    assert!(known < ends, "the drain is not known {:?} after discovery had it\n{log}", known - drained);
    assert!(last <= ends, "a request went there {:?} after the grace period\n{log}", last - ends);
    assert!(last <= known + GRACE, "a request went there {:?} after the drain was known", last - known);
}
