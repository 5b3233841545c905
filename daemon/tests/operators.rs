//! Endpoints that operators take out and put back, with real processes: whatever discovery lists meanwhile, nothing goes to one
//! that is out, from this process, a second one beside it, or the next one after a kill.

#[allow(dead_code)] // the scenarios use the rest
mod stage;

use stage::Stage;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing new may reach an endpoint so long after the call that takes it out.
const GRACE: Duration = Duration::from_secs(1);
const SEND_EVERY: Duration = Duration::from_millis(20);
/// Under this load a call reaches each endpoint many times within so long.
const LOOK: Duration = Duration::from_millis(500);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

struct Forwarder {
    stage: Stage,
    /// Where the calls of the endpoint `e1` are noted.
    arrivals: Arrivals,
    over: Arc<AtomicBool>,
}

impl Forwarder {
    fn start() -> Forwarder {
        let (mut stage, arrivals) = (Stage::default(), Arrivals::default());
        stage.ready_server("e1", arrivals.clone());
        stage.ready_server("e2", Arrivals::default());
        let mut forwarder = Forwarder { stage, arrivals, over: Arc::default() };
        forwarder.play(&["given operators", "send daemon start", "expect counter list_answers=1"]);
        forwarder.traffic();
        forwarder
    }

    fn play(&mut self, lines: &[&str]) {
        for line in lines {
            let words: Vec<&str> = line.split(' ').collect();
            self.stage.play(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", self.stage.log()));
        }
    }

    /// Hands messages in at whatever process is there now, until the next call of this or the end.
    fn traffic(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.over = Arc::default();
        let (client, over) = (self.stage.client(), self.over.clone());
        thread::spawn(move || {
            let begin = Instant::now();
            while !over.load(Ordering::Relaxed) {
                client.try_hand_in(&format!("m{}", begin.elapsed().as_nanos()));
                thread::sleep(SEND_EVERY);
            }
        });
    }

    fn calls_after(&self, from: Instant) -> usize {
        self.arrivals.lock().unwrap().iter().filter(|at| **at > from).count()
    }

    fn gets_calls(&self, why: &str) {
        let from = Instant::now();
        thread::sleep(LOOK);
        assert!(self.calls_after(from) > 0, "no call {why}\n{}", self.stage.log());
    }

    fn gets_nothing(&self, why: &str) {
        let from = Instant::now();
        thread::sleep(LOOK);
        assert_eq!(self.calls_after(from), 0, "calls {why}\n{}", self.stage.log());
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
    forwarder.play(&["send operator maint-on nobody", "expect operator 400"]);
    forwarder.play(&["send operator maint-on e1", "expect operator 200"]);
    thread::sleep(GRACE);
    forwarder.gets_nothing("though it is out");
    // Discovery goes on to list it as ready, and is told of as a whole new list.
    forwarder.play(&["send list e2 Ready", "send platform move", "send daemon HUP"]);
    forwarder.play(&["expect counter list_moves=1", "expect counter list_old=0"]);
    forwarder.gets_nothing("behind a new list");
    forwarder.play(&["send operator maint-on e1", "expect operator 200"]);
    forwarder.play(&["send operator maint-off e1", "expect operator 200"]);
    forwarder.gets_calls("once it is back");
}
