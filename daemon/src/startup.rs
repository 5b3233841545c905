//! The folder that lasts, at a start.

use crate::maintenance::MaintenanceFile;
use crate::state_folder::{Claim, NoPlace, remove};
use crate::wal::Wal;
use async_io::Timer;
use onyxrock::core::LogScan;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// A start waits so long for a folder that fails, and is ready within the 30 s that it has ...
const FOLDER_FOR: Duration = Duration::from_secs(20);
/// ... and looks so often.
const FOLDER_AGAIN: Duration = Duration::from_millis(200);

/// What a start finds in the folder.
#[derive(Debug)]
pub struct Opened {
    pub claim: Claim,
    pub wal: Wal,
    /// What the log says.
    pub scan: LogScan,
    /// Endpoints that operators have taken out.
    pub maintenance: BTreeSet<String>,
}

/// Opens the log, and waits for a folder that fails: a start that went on without what it cannot read would lose it.
pub async fn open_folder(folder: &Path, log_bytes: u64) -> Result<Opened, String> {
    let started = Instant::now();
    let mut told = false;
    loop {
        let why = match Claim::take(folder) {
            Err(NoPlace::Taken(why)) => return Err(why),
            Err(NoPlace::Failed(why)) => why,
            Ok(claim) => match open(claim, log_bytes) {
                Ok(opened) => return Ok(opened),
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

fn open(claim: Claim, log_bytes: u64) -> io::Result<Opened> {
    let (wal, scan) = Wal::of(&claim, log_bytes)?;
    let maintenance = MaintenanceFile::of(&claim.folder).load()?;
    // What a process told that was killed at this place is no word of this one.
    let [waits, _] = claim.waits();
    remove(&waits)?;
    Ok(Opened { claim, wal, scan, maintenance })
}

#[cfg(test)]
mod tests;
