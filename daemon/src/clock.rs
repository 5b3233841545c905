//! The one clock: wall time at the start, moved on by the monotonic clock, so that it never runs backwards and its points
//! still mean something to the next process.
//!
//! The wall clock of a machine may be stepped, by seconds or by an hour. While a process runs that changes nothing. From one
//! process to the next, on one boot, the boot-time clock tells of it: the offset of the first process is kept in the folder
//! that lasts, and a process that finds the wall clock stepped goes on by it. After another boot there is only the wall time.

use async_io::Timer;
use futures_lite::future;
use onyxrock::interface::Micros;
use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// Where the offset is kept, with the boot that it belongs to.
const FILE: &str = "onyxrock.clock";
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// A clock that is disciplined drifts by less between two processes; what is more is a step.
const STEP_LEAST: Micros = Micros(1_000_000);

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall: Micros,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { started: Instant::now(), wall: wall_time() }
    }
}

impl Clock {
    /// The clock of a process that goes on where another one ended, whose folder this is.
    pub fn continued(folder: &Path) -> Clock {
        let boot_id = std::fs::read_to_string(BOOT_ID).unwrap_or_default();
        Clock {
            started: Instant::now(),
            wall: continue_from(folder, boot_id.trim(), wall_time(), Clock::boot_time()),
        }
    }

    pub fn now(&self) -> Micros {
        self.wall.plus(self.uptime())
    }
    /// Time since the boot, suspended or not: all processes of a machine read it alike.
    pub fn boot_time() -> Micros {
        let time = clock_gettime(ClockId::Boottime);
        Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
    }
    /// How long this process has run.
    pub fn uptime(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }
    /// Completes at a time; never, where there is none.
    pub async fn sleep_until(&self, at: Option<Micros>) {
        match at {
            Some(at) => drop(Timer::after(span(at.since(self.now()))).await),
            None => future::pending().await,
        }
    }
    /// The future's result, or none if the time comes first. The future has the first look, so that what is
    /// there already counts however late it is asked for.
    pub async fn timeout_at<T>(&self, at: Micros, work: impl Future<Output = T>) -> Option<T> {
        future::or(async { Some(work.await) }, async {
            self.sleep_until(Some(at)).await;
            None
        })
        .await
    }
}

pub fn span(m: Micros) -> Duration {
    Duration::from_micros(m.0)
}

fn wall_time() -> Micros {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Micros(wall.as_micros() as u64)
}

/// The time at which a process begins: the wall time, or, if that was stepped since another process of this boot kept its
/// offset, the time by that offset.
fn continue_from(folder: &Path, boot_id: &str, wall: Micros, boot: Micros) -> Micros {
    let file = folder.join(FILE);
    let kept = std::fs::read_to_string(&file).ok();
    let kept = kept.as_deref().and_then(|text| read(text, boot_id)).map(|offset| offset.plus(boot));
    if let Some(continued) = kept {
        let step = wall.since(continued).max(continued.since(wall));
        if step < STEP_LEAST {
            return wall;
        }
        tracing::warn!(step_s = step.secs(), "the wall clock was stepped: time goes on as it was");
        return continued;
    }
    // A folder that fails keeps none: then the next process has the wall time, as after another boot.
    if !boot_id.is_empty() && wall > boot {
        let text = format!("{boot_id} {}\n", wall.since(boot).0);
        if let Err(e) = std::fs::write(&file, text) {
            tracing::warn!("the clock's offset is not kept: {e}");
        }
    }
    wall
}

/// The wall time of this boot, as it was kept.
fn read(text: &str, boot_id: &str) -> Option<Micros> {
    let (id, offset) = text.strip_suffix('\n')?.split_once(' ')?;
    (id == boot_id).then(|| offset.parse().ok().map(Micros)).flatten()
}

#[cfg(test)]
mod tests;
