//! The endpoints that operators have taken out of use, in a file of the state folder. All processes of a
//! forwarder share it: the process that an operator calls writes it, a sibling process watches it, and the
//! next process reads it at its start.
//!
//! The file has one endpoint name per line. It is replaced as a whole, under a lock that is released when its
//! process dies, so that two processes that are called at the same moment lose neither change.

use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use crate::state_folder::{read_or_empty, remove_if_exists};
use async_io::Timer;
use std::collections::{BTreeSet, VecDeque};
use std::fs::{File, OpenOptions, rename, write};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

const FILE_NAME: &str = "onyxrock.maintenance";
const REPLACEMENT_NAME: &str = "onyxrock.maintenance.new";
const LOCK_NAME: &str = "onyxrock.maintenance.lock";
/// Longest file in bytes; it shares the folder with the log. More than a thousand names of the platform fit.
const MAX_FILE_BYTES: usize = 64 * 1024;
/// Interval between checks for a change by another process: a tenth of the second after which a change is
/// binding.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A change that an operator makes.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MaintenanceChange {
    /// The name of the endpoint.
    pub endpoint: String,
    /// True to take the endpoint out of use, false to put it back.
    pub in_maintenance: bool,
}

impl MaintenanceChange {
    fn apply_to(&self, names: &mut BTreeSet<String>) {
        if self.in_maintenance {
            names.insert(self.endpoint.clone());
        } else {
            names.remove(&self.endpoint);
        }
    }
}

/// The file, and the changes that could not be written to it yet.
#[derive(Debug)]
pub struct MaintenanceFile {
    folder: PathBuf,
    unwritten: VecDeque<MaintenanceChange>,
}

impl MaintenanceFile {
    /// The file of a state folder.
    pub fn new(folder: &Path) -> MaintenanceFile {
        MaintenanceFile { folder: folder.into(), unwritten: VecDeque::new() }
    }

    /// Returns the endpoints that are out of use: those in the file, with the unwritten changes applied.
    ///
    /// # Errors
    /// The file exists and cannot be read.
    pub fn load(&self) -> io::Result<BTreeSet<String>> {
        let mut names = read_names(&self.folder)?;
        self.unwritten.iter().for_each(|change| change.apply_to(&mut names));
        Ok(names)
    }

    /// Queues a change and writes all queued changes.
    ///
    /// # Errors
    /// The write failed: the change stays queued, see [`MaintenanceFile::write`].
    pub fn apply(&mut self, change: MaintenanceChange) -> io::Result<()> {
        self.unwritten.push_back(change);
        self.write()
    }

    /// Writes the queued changes.
    ///
    /// # Errors
    /// The changes stay queued.
    pub fn write(&mut self) -> io::Result<()> {
        if self.unwritten.is_empty() {
            return Ok(());
        }
        let _lock = lock(&self.folder)?;
        let names = self.load()?;
        let text: String = names.iter().map(|name| format!("{name}\n")).collect();
        let [file, replacement] = files(&self.folder);
        if let Err(e) = write(&replacement, text).and_then(|()| rename(&replacement, file)) {
            let _ = remove_if_exists(&replacement);
            return Err(e);
        }
        self.unwritten.clear();
        Ok(())
    }

    /// Whether the file has room for one more name.
    pub fn has_room(names: &BTreeSet<String>, name: &str) -> bool {
        names.iter().map(|n| n.len() + 1).sum::<usize>() + name.len() < MAX_FILE_BYTES
    }

    /// Whether changes wait to be written.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }
}

/// The paths of the file and of its replacement while that is written.
pub fn files(folder: &Path) -> [PathBuf; 2] {
    [folder.join(FILE_NAME), folder.join(REPLACEMENT_NAME)]
}

/// Watches for a replacement of the file by another process, and tells the core actor.
pub async fn watch(shared: Rc<SharedState>, folder: PathBuf) {
    let [file, _] = files(&folder);
    let mut last_content = None;
    loop {
        // A failed read is repeated at the next check.
        let content = read_or_empty(&file).ok();
        if content.is_some() && content != last_content {
            last_content = content;
            if shared.core.send(CoreMessage::MaintenanceFileChanged).await.is_err() {
                return;
            }
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

fn read_names(folder: &Path) -> io::Result<BTreeSet<String>> {
    let bytes = read_or_empty(&folder.join(FILE_NAME))?;
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter(|name| !name.is_empty()).map(str::to_owned).collect())
}

/// Locks the file for a write. Fails if another process holds the lock, which it does for one write only.
fn lock(folder: &Path) -> io::Result<File> {
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(folder.join(LOCK_NAME))?;
    file.try_lock()?;
    Ok(file)
}

#[cfg(test)]
mod tests;
