//! The request ids that the two processes of a forwarder share during an upgrade, so that a message is accepted
//! once, whichever process its copies reach.
//!
//! While both run, a process claims the id of a message in a file of the state folder before it accepts the message.
//! Claims are made under a lock that is released when its process dies, and the claimant first reads what the other
//! process has added, so one of two copies comes second. A process joins by adding all ids that it knows, and a
//! line that says so: before that line a starting process accepts nothing.

use crate::log_reader::for_each_request_id;
use crate::state_folder::remove_if_exists;
use onyxrock::core::RequestIdDigest;
use std::fs::{File, OpenOptions, TryLockError, rename};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

const FILE_NAME: &str = "onyxrock.ids";
const REPLACEMENT_NAME: &str = "onyxrock.ids.new";
const LOCK_NAME: &str = "onyxrock.ids.lock";
/// A file longer than this is rewritten with the ids that are still known.
const MAX_FILE_BYTES: u64 = 192 * 1024;
/// Most bytes of ids that a process adds when it joins, or rewrites the file: the others are nearest to their end.
const MAX_SNAPSHOT_BYTES: u64 = 96 * 1024;
/// Bytes of the folder that are left free when an id is claimed.
const SPARE_BYTES: u64 = 4096;
/// Attempts to take the lock. Its holder needs some microseconds, unless it is held up.
const LOCK_ATTEMPTS: u32 = 20;
/// Interval between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// First word of the line of a process that has joined.
const JOINED_KEYWORD: &str = "joined";

/// The shared file, as one of the two processes uses it.
#[derive(Debug)]
pub struct SharedIds {
    folder: PathBuf,
    /// Name of this process in the file, and of the other one: those of their logs.
    own_name: &'static str,
    other_name: &'static str,
    open_file: Option<OpenFile>,
    joined: bool,
    other_joined: bool,
    /// Ids that the other process has added and that have not been returned yet.
    unreturned: Vec<RequestIdDigest>,
}

/// The file under its present inode, read up to an offset.
#[derive(Debug)]
struct OpenFile {
    file: File,
    inode: u64,
    offset: u64,
}

/// Paths of the file and of its replacement, which share the folder with the log.
pub fn files(folder: &Path) -> [PathBuf; 2] {
    [folder.join(FILE_NAME), folder.join(REPLACEMENT_NAME)]
}

impl SharedIds {
    /// For a process of this name, beside another one.
    pub fn new(folder: &Path, own_name: &'static str, other_name: &'static str) -> SharedIds {
        let (folder, unreturned) = (folder.into(), Vec::new());
        let (open_file, joined, other_joined) = (None, false, false);
        SharedIds { folder, own_name, other_name, open_file, joined, other_joined, unreturned }
    }

    /// Whether the other process has added all ids that it knew.
    pub fn other_joined(&self) -> bool {
        self.other_joined
    }

    /// Reads the ids that the other process has added.
    ///
    /// # Errors
    /// The file cannot be used now.
    pub fn read(&mut self) -> io::Result<Vec<RequestIdDigest>> {
        let _lock = lock(&self.folder)?;
        self.read_rest()?;
        Ok(std::mem::take(&mut self.unreturned))
    }

    /// Reads the ids that the other process has added, and adds all that this process knows unless it has;
    /// those that matter most come first. The folder has `room` for so many bytes.
    ///
    /// # Errors
    /// The file cannot be used now; the process has not joined.
    pub fn join(
        &mut self, known: impl Iterator<Item = RequestIdDigest>, room: u64,
    ) -> io::Result<Vec<RequestIdDigest>> {
        let _lock = lock(&self.folder)?;
        self.read_rest()?;
        self.join_locked(known, room)?;
        Ok(std::mem::take(&mut self.unreturned))
    }

    fn join_locked(&mut self, known: impl Iterator<Item = RequestIdDigest>, room: u64) -> io::Result<()> {
        if !self.joined {
            self.append(&self.snapshot(known, room))?;
            self.joined = true;
        }
        Ok(())
    }

    /// Claims an id, unless it is among the ids that are returned: those that the other process has added. The folder has
    /// `room` for so many bytes. `known` yields all ids that this process
    /// knows; it joins first if it has not.
    ///
    /// # Errors
    /// The file cannot be used now; the id is not claimed.
    pub fn claim<I: Iterator<Item = RequestIdDigest>>(
        &mut self, id: RequestIdDigest, known: impl Fn() -> I, room: u64,
    ) -> io::Result<Vec<RequestIdDigest>> {
        let _lock = lock(&self.folder)?;
        self.read_rest()?;
        if self.unreturned.contains(&id) {
            return Ok(std::mem::take(&mut self.unreturned));
        }
        if room < SPARE_BYTES {
            return Err(io::Error::new(ErrorKind::StorageFull, "the folder has no room for a request id"));
        }
        self.join_locked(known(), room)?;
        if self.open_file.as_ref().is_some_and(|open| open.offset > MAX_FILE_BYTES) {
            self.rewrite(self.unreturned.clone().into_iter().chain(known()), room)?;
        }
        self.append(&format!("{id}\n"))?;
        Ok(std::mem::take(&mut self.unreturned))
    }

    /// Reads what the other process, which is gone, has added, and removes the file.
    ///
    /// # Errors
    /// The file cannot be used now.
    pub fn leave(&mut self) -> io::Result<Vec<RequestIdDigest>> {
        let foreign = self.read()?;
        files(&self.folder).iter().try_for_each(|file| remove_if_exists(file))?;
        self.open_file = None;
        Ok(foreign)
    }

    /// The lines of ids and, behind them, the one that says that this process has joined.
    fn snapshot(&self, known: impl Iterator<Item = RequestIdDigest>, room: u64) -> String {
        let mut text = String::new();
        let most_bytes = MAX_SNAPSHOT_BYTES.min(room.saturating_sub(SPARE_BYTES));
        for id in known {
            if text.len() as u64 >= most_bytes {
                tracing::warn!("ids: too many to share; those nearest to their end are left out");
                break;
            }
            text += &format!("{id}\n");
        }
        text + &joined_line(self.own_name)
    }

    /// Reads to the end of the file, which is opened, or created, under its present inode.
    fn read_rest(&mut self) -> io::Result<()> {
        let path = self.folder.join(FILE_NAME);
        let current_inode = match path.metadata() {
            Ok(metadata) => Some(metadata.ino()),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => return Err(e),
        };
        if self.open_file.as_ref().is_none_or(|open| Some(open.inode) != current_inode) {
            let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
            let inode = file.metadata()?.ino();
            self.open_file = Some(OpenFile { file, inode, offset: 0 });
        }
        let Some(open) = &mut self.open_file else { return Ok(()) };
        open.file.seek(SeekFrom::Start(open.offset))?;
        let mut bytes = Vec::new();
        open.file.read_to_end(&mut bytes)?;
        open.offset += bytes.len() as u64;
        let text = String::from_utf8_lossy(&bytes);
        self.other_joined |= text.contains(&joined_line(self.other_name));
        self.unreturned.extend(text.lines().filter_map(|line| line.parse::<RequestIdDigest>().ok()));
        // A process that was killed may have left half a line, which the next write must not continue.
        if bytes.last().is_some_and(|byte| *byte != b'\n') {
            self.append("\n")?;
        }
        Ok(())
    }

    /// Appends to the file, whose end has been read.
    fn append(&mut self, text: &str) -> io::Result<()> {
        let Some(open) = &mut self.open_file else { return Err(ErrorKind::NotFound.into()) };
        // After a failure the rest of the file is read again, and half a line is ended then.
        open.file.write_all(text.as_bytes())?;
        open.offset += text.len() as u64;
        Ok(())
    }

    /// Replaces the file by one that holds these ids alone.
    fn rewrite(&mut self, known: impl Iterator<Item = RequestIdDigest>, room: u64) -> io::Result<()> {
        let [path, replacement] = files(&self.folder);
        let mut text = self.snapshot(known, room);
        if self.other_joined {
            text += &joined_line(self.other_name);
        }
        let _ = remove_if_exists(&replacement);
        let file = OpenOptions::new().read(true).append(true).create_new(true).open(&replacement)?;
        let inode = file.metadata()?.ino();
        let mut open = OpenFile { file, inode, offset: text.len() as u64 };
        if let Err(e) = open.file.write_all(text.as_bytes()).and_then(|()| rename(&replacement, path)) {
            let _ = remove_if_exists(&replacement);
            return Err(e);
        }
        self.open_file = Some(open);
        Ok(())
    }
}

/// Removes what earlier processes have left. Called by a process that starts while no other one runs.
///
/// # Errors
/// A file cannot be removed.
pub fn remove_left_over(folder: &Path) -> io::Result<()> {
    files(folder).iter().try_for_each(|file| remove_if_exists(file))
}

/// The ids of the messages in a log of the other process, which may still be written.
///
/// # Errors
/// The log cannot be read.
pub fn ids_in_log(log: &Path) -> io::Result<Vec<RequestIdDigest>> {
    let mut ids = Vec::new();
    for_each_request_id(log, |id| ids.push(RequestIdDigest::of(id)))?;
    Ok(ids)
}

fn joined_line(name: &str) -> String {
    format!("{JOINED_KEYWORD} {name}\n")
}

/// Takes the lock, for which the other process is waited for a little.
fn lock(folder: &Path) -> io::Result<File> {
    let path = folder.join(LOCK_NAME);
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    for _ in 0..LOCK_ATTEMPTS {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY_INTERVAL),
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

#[cfg(test)]
mod tests;
