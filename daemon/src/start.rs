//! The folder that lasts, at a start.

use crate::folder::{Claim, NoPlace};
use crate::wal::Wal;
use async_io::Timer;
use onyxrock::core::Scan;
use std::path::Path;
use std::time::{Duration, Instant};

/// A start waits so long for a folder that fails, and is ready within the 30 s that it has ...
const FOLDER_FOR: Duration = Duration::from_secs(20);
/// ... and looks so often.
const FOLDER_AGAIN: Duration = Duration::from_millis(200);

/// Opens the log, and waits for a folder that fails: a start that went on without what it cannot read would lose it.
pub async fn open_folder(folder: &Path, log_bytes: u64) -> Result<(Claim, Wal, Scan), String> {
    let started = Instant::now();
    let mut told = false;
    loop {
        let why = match Claim::take(folder) {
            Err(NoPlace::Taken(why)) => return Err(why),
            Err(NoPlace::Failed(why)) => why,
            Ok(claim) => match Wal::of(&claim, log_bytes) {
                Ok((wal, scan)) => return Ok((claim, wal, scan)),
                Err(e) => format!("cannot open the log in {}: {e}", folder.display()),
            },
        };
        if started.elapsed() > FOLDER_FOR {
            return Err(why);
        }
        if !told {
            tracing::error!("{why}; the start waits for it");
            told = true;
        }
        Timer::after(FOLDER_AGAIN).await;
    }
}

#[cfg(test)]
mod tests;
