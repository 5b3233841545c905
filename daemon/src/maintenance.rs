//! Which endpoints operators have taken out of use, in a file of the folder that lasts. All processes of a forwarder share it:
//! the one that is called writes it, a second process beside it looks at it, and the next one finds it at its start.
//!
//! The file has a name a line. It is replaced as a whole, under a lock that dies with its process, so that two processes which
//! are called at one moment lose neither change.

use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use crate::state_folder::{read, remove};
use async_io::Timer;
use std::collections::{BTreeSet, VecDeque};
use std::fs::{File, OpenOptions, rename, write};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

const FILE: &str = "onyxrock.maintenance";
const NEW: &str = "onyxrock.maintenance.new";
const LOCK: &str = "onyxrock.maintenance.lock";
/// The longest file; it shares the folder with the log. Over a thousand names of the platform fit.
const BYTES_MOST: usize = 64 * 1024;
/// What another process was told binds this one as well: a tenth of the second that there is before the rule does.
const LOOK: Duration = Duration::from_millis(100);

/// A call of operators that changes what is out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MaintenanceChange {
    pub endpoint: String,
    /// Taken out; put back, if not.
    pub in_maintenance: bool,
}

impl MaintenanceChange {
    fn apply(&self, names: &mut BTreeSet<String>) {
        if self.in_maintenance {
            names.insert(self.endpoint.clone());
        } else {
            names.remove(&self.endpoint);
        }
    }
}

/// The file, and the changes that it does not say yet because the folder took nothing.
#[derive(Debug)]
pub struct MaintenanceFile {
    folder: PathBuf,
    unwritten: VecDeque<MaintenanceChange>,
}

impl MaintenanceFile {
    /// That of a folder.
    pub fn of(folder: &Path) -> MaintenanceFile {
        MaintenanceFile { folder: folder.into(), unwritten: VecDeque::new() }
    }

    /// All that are out: what the file says, and the changes that wait for it.
    ///
    /// # Errors
    /// The file is there and cannot be read.
    pub fn load(&self) -> io::Result<BTreeSet<String>> {
        let mut names = read_names(&self.folder)?;
        self.unwritten.iter().for_each(|change| change.apply(&mut names));
        Ok(names)
    }

    /// Has the file say a change, behind all that wait.
    ///
    /// # Errors
    /// The folder does not take it: it waits, see [`MaintenanceFile::write`].
    pub fn change(&mut self, change: MaintenanceChange) -> io::Result<()> {
        self.unwritten.push_back(change);
        self.write()
    }

    /// Writes the changes that wait.
    ///
    /// # Errors
    /// They go on waiting.
    pub fn write(&mut self) -> io::Result<()> {
        if self.unwritten.is_empty() {
            return Ok(());
        }
        let _lock = lock(&self.folder)?;
        let names = self.load()?;
        let text: String = names.iter().map(|name| format!("{name}\n")).collect();
        let [file, new] = files(&self.folder);
        if let Err(e) = write(&new, text).and_then(|()| rename(&new, file)) {
            let _ = remove(&new);
            return Err(e);
        }
        self.unwritten.clear();
        Ok(())
    }

    /// The file has room for one more name.
    pub fn has_room(names: &BTreeSet<String>, name: &str) -> bool {
        names.iter().map(|n| n.len() + 1).sum::<usize>() + name.len() < BYTES_MOST
    }

    /// Changes wait to be written.
    pub fn waits(&self) -> bool {
        !self.unwritten.is_empty()
    }
}

/// The file, and the next one until it takes its place.
pub fn files(folder: &Path) -> [PathBuf; 2] {
    [folder.join(FILE), folder.join(NEW)]
}

/// Looks whether another process has replaced the file, and tells the module.
pub async fn follow(shared: Rc<SharedState>, folder: PathBuf) {
    let [file, _] = files(&folder);
    let mut seen = None;
    loop {
        // What cannot be read now is looked at again.
        let found = read(&file).ok();
        if found.is_some() && found != seen {
            seen = found;
            if shared.core.send(CoreMessage::MaintenanceFileChanged).await.is_err() {
                return;
            }
        }
        Timer::after(LOOK).await;
    }
}

fn read_names(folder: &Path) -> io::Result<BTreeSet<String>> {
    let bytes = read(&folder.join(FILE))?;
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter(|name| !name.is_empty()).map(str::to_owned).collect())
}

/// Another process that holds it does so for one write.
fn lock(folder: &Path) -> io::Result<File> {
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(folder.join(LOCK))?;
    file.try_lock()?;
    Ok(file)
}

#[cfg(test)]
mod tests;
