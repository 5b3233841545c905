//! The stand-ins, and what they share.

pub mod clients;
pub mod discovery;
pub mod faults;
pub mod net;
pub mod partner;

use async_executor::LocalExecutor;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The one clock of an experiment, and where its tasks run.
#[derive(Clone)]
pub struct World {
    pub executor: Rc<LocalExecutor<'static>>,
    started: Instant,
}

impl Default for World {
    fn default() -> World {
        World { executor: Rc::new(LocalExecutor::new()), started: Instant::now() }
    }
}

impl World {
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
