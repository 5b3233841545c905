//! Small files of the folder that lasts: what is remembered of destinations at rest, whose loss costs only caution, and
//! the bound of the epochs that this instance has promised as a voter.

use crate::net::SharedState;
use async_channel::Receiver;
use futures_lite::future;
use onyxrock_duties as duties;
use onyxrock_roster::{HealthKey, SnapshotWriter, StoredHealth, read_snapshot};
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

const NAME: &str = "onyxrock.idle";
const NEW: &str = "onyxrock.idle.new";

/// Reads what an earlier process kept. One line tells of a file that cannot be used, which is removed.
pub fn load(folder: &Path, most: usize) -> Vec<(HealthKey, StoredHealth)> {
    let path = folder.join(NAME);
    let mut bytes = Vec::new();
    // Of a file longer than any that is written no more is read than shows it.
    let read_all = File::open(&path).and_then(|f| f.take(most as u64 + 1).read_to_end(&mut bytes));
    let why = match read_all {
        Err(e) if e.kind() == ErrorKind::NotFound => return Vec::new(),
        Err(e) => e.to_string(),
        Ok(_) => match read_snapshot(&bytes) {
            Ok(all) => return all,
            Err(why) => why,
        },
    };
    tracing::warn!("idle: {} is left out: {why}", path.display());
    let _ = std::fs::remove_file(path);
    Vec::new()
}

/// Writes each of these in place of the last, in slices: nobody waits for all of it.
pub async fn run(
    shared: Rc<SharedState>, folder: PathBuf, most: usize, inbox: Receiver<Vec<(HealthKey, StoredHealth)>>,
) {
    while let Ok(all) = inbox.recv().await {
        match write(&folder, most, all).await {
            Ok(()) => shared.counters.idle_kept.increment(),
            Err(e) => {
                tracing::warn!("idle: what is remembered could not be kept: {e}");
                let _ = std::fs::remove_file(folder.join(NEW));
            }
        }
    }
}

async fn write(folder: &Path, most: usize, all: Vec<(HealthKey, StoredHealth)>) -> io::Result<()> {
    let new = folder.join(NEW);
    let mut file = File::create(&new)?;
    let mut blocks = SnapshotWriter::new(all, most);
    for block in blocks.by_ref() {
        file.write_all(&block)?;
        future::yield_now().await;
    }
    if blocks.omitted > 0 {
        tracing::debug!("idle: {} memories found no room", blocks.omitted);
    }
    std::fs::rename(new, folder.join(NAME))
}

const EPOCH: &str = "onyxrock.epoch";
const EPOCH_NEW: &str = "onyxrock.epoch.new";
/// Whole blocks that both may take on the disk.
pub const EPOCH_BYTES: u64 = 2 * 4096;

/// The bound that an earlier process made last. One line tells of a file that cannot be used: it is as good as none, and
/// the other voters are asked.
pub fn epoch(folder: &Path) -> duties::StoredBound {
    let path = folder.join(EPOCH);
    let why = match std::fs::read_to_string(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return duties::StoredBound::Lost,
        Err(e) => e.to_string(),
        // The number stands there twice: half a file, or a damaged one, is no lower bound.
        Ok(text) => match text.split_whitespace().map(str::parse).collect::<Vec<_>>().as_slice() {
            [Ok(n), Ok(again)] if n == again => return duties::StoredBound::Known(*n),
            _ => "it is no bound of epochs".to_owned(),
        },
    };
    tracing::warn!("duties: {} is left out: {why}", path.display());
    duties::StoredBound::Lost
}

/// Makes a bound last. What write() has taken survives the process, and the old file stands until the new one is whole.
pub fn keep_epoch(folder: &Path, bound: u64) -> io::Result<()> {
    let new = folder.join(EPOCH_NEW);
    std::fs::write(&new, format!("{bound} {bound}\n"))?;
    std::fs::rename(new, folder.join(EPOCH))
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxrock_duties::StoredBound::{Known, Lost};

    #[test]
    fn a_bound_lasts_and_a_damaged_one_is_none() {
        let folder = std::env::temp_dir().join(format!("onyxrock-epoch-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        assert_eq!(epoch(&folder), Lost);
        keep_epoch(&folder, 1000).unwrap();
        keep_epoch(&folder, 2000).unwrap();
        assert_eq!(epoch(&folder), Known(2000));
        for damaged in ["", "2000", "20", "2000 200\n", "x x", "1 1 1"] {
            std::fs::write(folder.join(EPOCH), damaged).unwrap();
            assert_eq!(epoch(&folder), Lost, "{damaged:?}");
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
