//! The clock of the process: the wall time at the start, advanced by the monotonic clock. It never runs
//! backwards, and its times remain valid for the next process.
//!
//! The wall clock of a machine may be stepped, by seconds or by an hour. A running process does not notice.
//! Between two processes of the same boot the boot-time clock shows the step: the first process saves the
//! offset between both clocks in the state folder, and a process that finds the wall clock stepped continues
//! by that offset. After a reboot there is only the wall time.

use async_io::Timer;
use futures_lite::future;
use onyxrock::interface::Micros;
use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// File of the offset, with the id of the boot that it belongs to.
const OFFSET_FILE: &str = "onyxrock.clock";
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// A synchronized clock drifts by less than this between two processes; a larger difference is a step.
const MIN_STEP: Micros = Micros(1_000_000);

/// The clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall_at_start: Micros,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { started: Instant::now(), wall_at_start: wall_time() }
    }
}

impl Clock {
    /// Continues the time of the previous process with this state folder.
    pub fn resume(folder: &Path) -> Clock {
        let boot_id = std::fs::read_to_string(BOOT_ID_PATH).unwrap_or_default();
        Clock {
            started: Instant::now(),
            wall_at_start: start_time(folder, boot_id.trim(), wall_time(), Clock::boot_time()),
        }
    }

    /// The current time, in microseconds of the Unix epoch.
    pub fn now(&self) -> Micros {
        self.wall_at_start.plus(self.uptime())
    }
    /// Time since boot, including suspend. All processes of a machine read the same.
    pub fn boot_time() -> Micros {
        let time = clock_gettime(ClockId::Boottime);
        Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
    }
    /// How long this process has run.
    pub fn uptime(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }
    /// Completes at the given time, or never if there is none.
    pub async fn sleep_until(&self, at: Option<Micros>) {
        match at {
            Some(at) => drop(Timer::after(to_duration(at.since(self.now()))).await),
            None => future::pending().await,
        }
    }
    /// Returns the future's result, or `None` if the time comes first. The future is polled first, so a
    /// result that is ready counts however late it is polled.
    pub async fn timeout_at<T>(&self, at: Micros, work: impl Future<Output = T>) -> Option<T> {
        future::or(async { Some(work.await) }, async {
            self.sleep_until(Some(at)).await;
            None
        })
        .await
    }
}

/// Converts to the standard library's type.
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

fn wall_time() -> Micros {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Micros(wall.as_micros() as u64)
}

/// The time at which a process starts: the wall time, or, if that was stepped since another process of this
/// boot saved its offset, the time by that offset.
fn start_time(folder: &Path, boot_id: &str, wall: Micros, boot: Micros) -> Micros {
    let file = folder.join(OFFSET_FILE);
    let by_saved_offset = std::fs::read_to_string(&file).ok();
    let by_saved_offset = by_saved_offset
        .as_deref()
        .and_then(|text| parse_offset(text, boot_id))
        .map(|offset| offset.plus(boot));
    if let Some(continued) = by_saved_offset {
        let step = wall.since(continued).max(continued.since(wall));
        if step < MIN_STEP {
            return wall;
        }
        tracing::warn!(
            step_s = step.secs(),
            "the wall clock was stepped; the process continues with the time of the previous one"
        );
        return continued;
    }
    // If the offset cannot be saved, the next process uses the wall time, as after a reboot.
    if !boot_id.is_empty() && wall > boot {
        let text = format!("{boot_id} {}\n", wall.since(boot).0);
        if let Err(e) = std::fs::write(&file, text) {
            tracing::warn!(
                "the clock offset could not be saved; the next process will use the wall time: {e}"
            );
        }
    }
    wall
}

/// Parses a saved offset; `None` if it belongs to another boot.
fn parse_offset(text: &str, boot_id: &str) -> Option<Micros> {
    let (id, offset) = text.strip_suffix('\n')?.split_once(' ')?;
    (id == boot_id).then(|| offset.parse().ok().map(Micros)).flatten()
}

#[cfg(test)]
mod tests;
