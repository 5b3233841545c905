//! The state folder, which outlasts a process: one process of a forwarder works in it, or two during an
//! upgrade.
//!
//! Each of the two has its own log, and its own lock, which is released when the process dies.
//! docs/design/upgrade.md gives the reasons.

use crate::log_reader::{LoggedMessages, read_messages};
use crate::shared_ids::SharedIds;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The names of the files of one process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ProcessFiles {
    /// The write-ahead log.
    pub log: &'static str,
    /// The rewritten log, until it replaces `log`.
    pub new: &'static str,
    lock: &'static str,
    /// The waits file: retry-afters and drains that the process shares with its sibling.
    pub waits: &'static str,
}

/// The file names of the two processes that may use a folder.
pub const PROCESS_FILES: [ProcessFiles; 2] = [
    ProcessFiles {
        log: "onyxrock.log",
        new: "onyxrock.log.new",
        lock: "onyxrock.lock",
        waits: "onyxrock.waits",
    },
    ProcessFiles {
        log: "onyxrock-2.log",
        new: "onyxrock-2.log.new",
        lock: "onyxrock-2.lock",
        waits: "onyxrock-2.waits",
    },
];

/// Attempts to lock the files of a process. A process that checks for its sibling holds the sibling's lock
/// for a moment, so a process that starts just then has to retry.
const LOCK_ATTEMPTS: u32 = 25;
/// Interval between attempts to lock the files.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The files of this process, locked until it ends.
#[derive(Debug)]
pub struct Claim {
    /// The state folder.
    pub folder: PathBuf,
    /// The names of the claimed files.
    pub files: ProcessFiles,
    other_files: ProcessFiles,
    _lock: File,
}

/// The state of the sibling process.
#[derive(Debug)]
pub enum OtherProcess {
    /// A process holds the sibling's lock.
    Running,
    /// No process does. While this is kept, no other process can claim the log that may have been left.
    Gone(OrphanedLog),
}

/// The locked log of a process that is gone.
#[derive(Debug)]
pub struct OrphanedLog {
    log: PathBuf,
    new: PathBuf,
    _lock: File,
}

/// Locks the files of a process, unless another process holds them.
fn lock(folder: &Path, files: ProcessFiles) -> io::Result<Option<File>> {
    let path = folder.join(files.lock);
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// Reads a file; one that does not exist counts as empty.
pub fn read_or_empty(path: &Path) -> io::Result<Vec<u8>> {
    std::fs::read(path).or_else(|e| if e.kind() == ErrorKind::NotFound { Ok(Vec::new()) } else { Err(e) })
}

/// Removes a file if it exists.
pub fn remove_if_exists(path: &Path) -> io::Result<()> {
    std::fs::remove_file(path).or_else(|e| if e.kind() == ErrorKind::NotFound { Ok(()) } else { Err(e) })
}

/// Why a process cannot use the folder.
#[derive(Debug)]
pub enum ClaimError {
    /// Two processes use it already.
    InUse(String),
    /// The folder cannot be read or written, which may be temporary.
    Unusable(String),
}

impl std::fmt::Display for ClaimError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClaimError::InUse(reason) | ClaimError::Unusable(reason) => f.write_str(reason),
        }
    }
}

impl Claim {
    /// Claims the first set of files that no process holds.
    ///
    /// # Errors
    /// Both sets of files are held, or the folder cannot be used.
    pub fn acquire(folder: &Path) -> Result<Claim, ClaimError> {
        let folder_name = folder.display();
        for _ in 0..LOCK_ATTEMPTS {
            for (files, other_files) in
                [(PROCESS_FILES[0], PROCESS_FILES[1]), (PROCESS_FILES[1], PROCESS_FILES[0])]
            {
                let unusable = |e| ClaimError::Unusable(format!("cannot lock the log in {folder_name}: {e}"));
                let locked = lock(folder, files).map_err(unusable)?;
                if let Some(lock) = locked {
                    return Ok(Claim { folder: folder.into(), files, other_files, _lock: lock });
                }
            }
            std::thread::sleep(LOCK_RETRY_INTERVAL);
        }
        Err(ClaimError::InUse(format!("two processes use {folder_name} already")))
    }

    /// Checks whether a sibling process runs.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub fn check_other(&self) -> io::Result<OtherProcess> {
        let path = |name| self.folder.join(name);
        let orphaned_log = |lock| OrphanedLog {
            log: path(self.other_files.log),
            new: path(self.other_files.new),
            _lock: lock,
        };
        Ok(lock(&self.folder, self.other_files)?
            .map_or(OtherProcess::Running, |lock| OtherProcess::Gone(orphaned_log(lock))))
    }

    /// The waits files of this process and of its sibling.
    #[must_use]
    pub fn waits_files(&self) -> [PathBuf; 2] {
        [self.folder.join(self.files.waits), self.folder.join(self.other_files.waits)]
    }

    /// The request ids that this process shares with its sibling.
    #[must_use]
    pub fn shared_ids(&self) -> SharedIds {
        SharedIds::new(&self.folder, self.files.log, self.other_files.log)
    }

    /// The log files of the sibling. They share the space of the folder with those of this process.
    #[must_use]
    pub fn other_logs(&self) -> [PathBuf; 2] {
        [self.folder.join(self.other_files.log), self.folder.join(self.other_files.new)]
    }
}

impl OrphanedLog {
    /// Whether there is a log.
    #[must_use]
    pub fn exists(&self) -> bool {
        self.log.exists()
    }

    /// Reads the messages in the log.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn read(&self) -> io::Result<LoggedMessages> {
        read_messages(&self.log)
    }

    /// Removes the log, after its content has been taken over.
    ///
    /// # Errors
    /// The log could not be removed.
    pub fn remove(&self) -> io::Result<()> {
        remove_if_exists(&self.log)?;
        remove_if_exists(&self.new)
    }
}

#[cfg(test)]
mod tests;
