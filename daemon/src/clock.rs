//! The one clock: wall time at the start, moved on by the monotonic clock, so that it never runs backwards
//! and its points still mean something to the next process.

use async_io::Timer;
use futures_lite::future;
use onyxrock::interface::Micros;
use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall: Micros,
}

impl Default for Clock {
    fn default() -> Clock {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), wall: Micros(wall.as_micros() as u64) }
    }
}

impl Clock {
    pub fn now(&self) -> Micros {
        self.wall.after(Micros(self.started.elapsed().as_micros() as u64))
    }
    /// How long this process has run.
    pub fn up(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }
    /// Completes at a time; never, where there is none.
    pub async fn until(&self, at: Option<Micros>) {
        match at {
            Some(at) => drop(Timer::after(span(at.since(self.now()))).await),
            None => future::pending().await,
        }
    }
    /// The future's result, or none if the time comes first. The future has the first look, so that what is
    /// there already counts however late it is asked for.
    pub async fn before<T>(&self, at: Micros, work: impl Future<Output = T>) -> Option<T> {
        future::or(async { Some(work.await) }, async {
            self.until(Some(at)).await;
            None
        })
        .await
    }
}

pub fn span(m: Micros) -> Duration {
    Duration::from_micros(m.0)
}
