//! Who works in the folder that lasts: one process of a forwarder, or two while one takes over from the other.
//!
//! Each has a place, with a log and a lock that dies with its process; docs/design/upgrade.md says why.

use onyxrock::core::{LogScan, scan_log};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Place {
    pub log: &'static str,
    /// The next log, until it takes the place of that one.
    pub new: &'static str,
    lock: &'static str,
    /// What it tells the other place's process of waits.
    pub waits: &'static str,
}

pub const PLACES: [Place; 2] = [
    Place { log: "onyxrock.log", new: "onyxrock.log.new", lock: "onyxrock.lock", waits: "onyxrock.waits" },
    Place {
        log: "onyxrock-2.log",
        new: "onyxrock-2.log.new",
        lock: "onyxrock-2.lock",
        waits: "onyxrock-2.waits",
    },
];

/// Whoever looks at the other place holds its lock for a moment; a process that starts just then tries again.
const TRIES: u32 = 25;
const AGAIN: Duration = Duration::from_millis(20);

/// A place in the folder that is this process's until it ends.
#[derive(Debug)]
pub struct Claim {
    pub folder: PathBuf,
    pub place: Place,
    other: Place,
    _lock: File,
}

/// What is at the other place.
#[derive(Debug)]
pub enum Other {
    /// A process that lives.
    Held,
    /// Nobody. What a process left there is nobody's, as long as this is kept.
    Free(Left),
}

/// What a process that is gone has left.
#[derive(Debug)]
pub struct Left {
    log: PathBuf,
    new: PathBuf,
    _lock: File,
}

fn lock(folder: &Path, place: Place) -> io::Result<Option<File>> {
    let path = folder.join(place.lock);
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// What a file holds; one that is not there holds nothing.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    std::fs::read(path).or_else(|e| if e.kind() == ErrorKind::NotFound { Ok(Vec::new()) } else { Err(e) })
}

/// Has a file be there no more.
pub fn remove(path: &Path) -> io::Result<()> {
    std::fs::remove_file(path).or_else(|e| if e.kind() == ErrorKind::NotFound { Ok(()) } else { Err(e) })
}

/// Why a process has no place in the folder.
#[derive(Debug)]
pub enum NoPlace {
    /// Two processes have them.
    Taken(String),
    /// The folder cannot be used, which may pass.
    Failed(String),
}

impl std::fmt::Display for NoPlace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NoPlace::Taken(why) | NoPlace::Failed(why) => f.write_str(why),
        }
    }
}

impl Claim {
    /// The first place that nobody has.
    ///
    /// # Errors
    /// One line: both are taken, or the folder cannot be used.
    pub fn take(folder: &Path) -> Result<Claim, NoPlace> {
        let shown = folder.display();
        for _ in 0..TRIES {
            for (place, other) in [(PLACES[0], PLACES[1]), (PLACES[1], PLACES[0])] {
                let failed = |e| NoPlace::Failed(format!("cannot lock the log in {shown}: {e}"));
                let locked = lock(folder, place).map_err(failed)?;
                if let Some(lock) = locked {
                    return Ok(Claim { folder: folder.into(), place, other, _lock: lock });
                }
            }
            std::thread::sleep(AGAIN);
        }
        Err(NoPlace::Taken(format!("two processes use {shown} already")))
    }

    /// Looks at the other place.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub fn other(&self) -> io::Result<Other> {
        let at = |name| self.folder.join(name);
        let left = |lock| Left { log: at(self.other.log), new: at(self.other.new), _lock: lock };
        Ok(lock(&self.folder, self.other)?.map_or(Other::Held, |lock| Other::Free(left(lock))))
    }

    /// Where this process tells the other one of waits, and where that one does.
    #[must_use]
    pub fn waits(&self) -> [PathBuf; 2] {
        [self.folder.join(self.place.waits), self.folder.join(self.other.waits)]
    }

    /// Where the other place's logs are: both have to fit in the folder.
    #[must_use]
    pub fn beside(&self) -> [PathBuf; 2] {
        [self.folder.join(self.other.log), self.folder.join(self.other.new)]
    }
}

impl Left {
    /// There is a log.
    #[must_use]
    pub fn is_there(&self) -> bool {
        self.log.exists()
    }

    /// What it says.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn scan(&self) -> io::Result<LogScan> {
        read(&self.log).map(|bytes| scan_log(&bytes))
    }

    /// Somebody else has all of it now.
    ///
    /// # Errors
    /// It is still there.
    pub fn clear(&self) -> io::Result<()> {
        remove(&self.log)?;
        remove(&self.new)
    }
}

#[cfg(test)]
mod tests;
