//! Stand-ins for everything around the daemons, and the runtime that they share.

pub mod clients;
pub mod discovery;
pub mod faults;
pub mod network;
pub mod partner;

use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The clock of an experiment and the executor of its tasks. Clones share both.
#[derive(Clone)]
pub struct Runtime {
    pub executor: Rc<LocalExecutor<'static>>,
    started: Instant,
}

impl Default for Runtime {
    fn default() -> Runtime {
        Runtime { executor: Rc::new(LocalExecutor::new()), started: Instant::now() }
    }
}

impl Runtime {
    /// Seconds since the experiment began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    /// Starts a task in the background.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Sleeps for this many seconds; a negative duration counts as zero.
pub async fn sleep(secs: f64) {
    Timer::after(Duration::from_secs_f64(secs.max(0.0))).await;
}

/// Interval at which the lateness of the stand-ins is measured.
const LATENESS_CHECK_INTERVAL_S: f64 = 0.02;

/// Keeps the maximum of how late, in seconds, a timer fires. All stand-ins share one thread: a late timer
/// means that they respond late too.
pub async fn monitor_lateness(runtime: Runtime, lateness: Rc<Cell<f64>>) {
    loop {
        let due = runtime.now() + LATENESS_CHECK_INTERVAL_S;
        sleep(LATENESS_CHECK_INTERVAL_S).await;
        lateness.set(lateness.get().max(runtime.now() - due));
    }
}
