//! Opens the state folder at the start of a process.

use crate::log_reader::LoggedMessages;
use crate::maintenance::MaintenanceFile;
use crate::state_folder::{Claim, ClaimError, remove_if_exists};
use crate::wal::Wal;
use async_io::Timer;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a start waits for a folder that fails. The process still becomes ready within the 30 s that it
/// has.
const FOLDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between attempts to open the folder.
const FOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The opened state folder.
#[derive(Debug)]
pub struct OpenedState {
    /// The claim to the files of this process.
    pub claim: Claim,
    /// The write-ahead log.
    pub wal: Wal,
    /// The messages in the log.
    pub logged: LoggedMessages,
    /// Endpoints that operators have taken out of use.
    pub in_maintenance: BTreeSet<String>,
}

/// Opens the log and the maintenance file. Waits for a folder that fails, since a start without the files
/// that it cannot read would lose their content.
pub async fn open_folder(folder: &Path, log_bytes: u64) -> Result<OpenedState, String> {
    let started = Instant::now();
    let mut logged = false;
    loop {
        let reason = match Claim::acquire(folder) {
            Err(ClaimError::InUse(reason)) => return Err(reason),
            Err(ClaimError::Unusable(reason)) => reason,
            Ok(claim) => match open(claim, log_bytes) {
                Ok(opened) => return Ok(opened),
                Err(e) => format!("cannot open the log in {}: {e}", folder.display()),
            },
        };
        if started.elapsed() > FOLDER_TIMEOUT {
            return Err(reason);
        }
        if !logged {
            tracing::error!("{reason}; the start waits for the folder");
            logged = true;
        }
        Timer::after(FOLDER_RETRY_INTERVAL).await;
    }
}

fn open(claim: Claim, log_bytes: u64) -> io::Result<OpenedState> {
    let (wal, logged) = Wal::open_claimed(&claim, log_bytes)?;
    let in_maintenance = MaintenanceFile::new(&claim.folder).load()?;
    // The waits file of an earlier process that was killed says nothing about this one.
    let [waits_file, _] = claim.waits_files();
    remove_if_exists(&waits_file)?;
    Ok(OpenedState { claim, wal, logged, in_maintenance })
}

#[cfg(test)]
mod tests;
