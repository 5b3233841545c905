//! Small files in the state folder: the retained health of inactive destinations, whose loss only makes the
//! forwarder more cautious, and the bound below which this member has promised epochs as a voter.

use crate::net::SharedState;
use async_channel::Receiver;
use futures_lite::future;
use onyxrock_duties as duties;
use onyxrock_roster::{HealthKey, SnapshotWriter, StoredHealth, read_snapshot};
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

const HEALTH_FILE: &str = "onyxrock.idle";
const HEALTH_REPLACEMENT: &str = "onyxrock.idle.new";

/// Reads the health snapshot of an earlier process. A file that cannot be used is logged and removed.
pub fn load_health(folder: &Path, max_bytes: usize) -> Vec<(HealthKey, StoredHealth)> {
    let path = folder.join(HEALTH_FILE);
    let mut bytes = Vec::new();
    // Reads just enough of a file that is too long to detect that.
    let read_all = File::open(&path).and_then(|f| f.take(max_bytes as u64 + 1).read_to_end(&mut bytes));
    let reason = match read_all {
        Err(e) if e.kind() == ErrorKind::NotFound => return Vec::new(),
        Err(e) => e.to_string(),
        Ok(_) => match read_snapshot(&bytes) {
            Ok(snapshot) => return snapshot,
            Err(reason) => reason,
        },
    };
    tracing::warn!("idle: {} is left out: {reason}", path.display());
    let _ = std::fs::remove_file(path);
    Vec::new()
}

/// Writes each snapshot in place of the previous one, block by block, so that other tasks are not held up.
pub async fn run_health_saver(
    shared: Rc<SharedState>, folder: PathBuf, max_bytes: usize,
    inbox: Receiver<Vec<(HealthKey, StoredHealth)>>,
) {
    while let Ok(snapshot) = inbox.recv().await {
        match write_health(&folder, max_bytes, snapshot).await {
            Ok(()) => shared.counters.idle_kept.increment(),
            Err(e) => {
                tracing::warn!(
                    "idle: the retained health could not be saved, and the last snapshot stays: {e}"
                );
                let _ = std::fs::remove_file(folder.join(HEALTH_REPLACEMENT));
            }
        }
    }
}

async fn write_health(
    folder: &Path, max_bytes: usize, snapshot: Vec<(HealthKey, StoredHealth)>,
) -> io::Result<()> {
    let replacement = folder.join(HEALTH_REPLACEMENT);
    let mut file = File::create(&replacement)?;
    let mut blocks = SnapshotWriter::new(snapshot, max_bytes);
    for block in blocks.by_ref() {
        file.write_all(&block)?;
        future::yield_now().await;
    }
    if blocks.omitted > 0 {
        tracing::debug!("idle: the snapshot omits the health of {} entries for lack of room", blocks.omitted);
    }
    std::fs::rename(replacement, folder.join(HEALTH_FILE))
}

const EPOCH_FILE: &str = "onyxrock.epoch";
const EPOCH_REPLACEMENT: &str = "onyxrock.epoch.new";
/// Disk space of both epoch files, in whole blocks.
pub const EPOCH_DISK_BYTES: u64 = 2 * 4096;

/// Reads the epoch bound of an earlier process. A file that cannot be used is logged and counts as lost, so
/// the other voters are asked.
pub fn load_epoch_bound(folder: &Path) -> duties::StoredBound {
    let path = folder.join(EPOCH_FILE);
    let reason = match std::fs::read_to_string(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return duties::StoredBound::Lost,
        Err(e) => e.to_string(),
        // The number is written twice, because an incomplete or damaged number is no lower bound.
        Ok(text) => match text.split_whitespace().map(str::parse).collect::<Vec<_>>().as_slice() {
            [Ok(n), Ok(again)] if n == again => return duties::StoredBound::Known(*n),
            _ => "it does not hold an epoch bound".to_owned(),
        },
    };
    tracing::warn!("duties: {} is left out: {reason}", path.display());
    duties::StoredBound::Lost
}

/// Saves an epoch bound. Data that write() has accepted survives the process, and the old file stays until
/// the new one is complete.
pub fn save_epoch_bound(folder: &Path, bound: u64) -> io::Result<()> {
    let replacement = folder.join(EPOCH_REPLACEMENT);
    std::fs::write(&replacement, format!("{bound} {bound}\n"))?;
    std::fs::rename(replacement, folder.join(EPOCH_FILE))
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxrock_duties::StoredBound::{Known, Lost};

    #[test]
    fn an_epoch_bound_survives_and_a_damaged_file_counts_as_lost() {
        let folder = std::env::temp_dir().join(format!("onyxrock-epoch-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        assert_eq!(load_epoch_bound(&folder), Lost);
        save_epoch_bound(&folder, 1000).unwrap();
        save_epoch_bound(&folder, 2000).unwrap();
        assert_eq!(load_epoch_bound(&folder), Known(2000));
        for damaged in ["", "2000", "20", "2000 200\n", "x x", "1 1 1"] {
            std::fs::write(folder.join(EPOCH_FILE), damaged).unwrap();
            assert_eq!(load_epoch_bound(&folder), Lost, "{damaged:?}");
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
