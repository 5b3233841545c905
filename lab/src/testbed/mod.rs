//! The stand-ins, and what they share.

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

/// The one clock of an experiment, and where its tasks run.
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
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

pub async fn sleep(secs: f64) {
    Timer::after(Duration::from_secs_f64(secs.max(0.0))).await;
}

/// How often the stand-ins look how late they are.
const LATENESS_LOOK_S: f64 = 0.02;

/// How late the stand-ins are: they share one thread.
pub async fn monitor_lateness(world: Runtime, lateness: Rc<Cell<f64>>) {
    loop {
        let due = world.now() + LATENESS_LOOK_S;
        sleep(LATENESS_LOOK_S).await;
        lateness.set(lateness.get().max(world.now() - due));
    }
}
