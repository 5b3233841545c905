//! The write-ahead log in the state folder. Data that write() has accepted survives the process, so it is not
//! synced to disk.

use crate::log_reader::{LoggedMessages, read_messages};
use crate::state_folder::{Claim, PROCESS_FILES, ProcessFiles, remove_if_exists};
use crate::{maintenance, shared_ids};
use onyxrock::core::{OpenMessage, Record};
use std::fs::{File, OpenOptions, rename};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Bytes kept free for the later records of messages that are already accepted.
const FOLLOW_UP_RESERVE_BYTES: u64 = 96 * 1024;
/// Bytes of a rewritten log that are written at a time.
const PIECE_BYTES: usize = 64 * 1024;
/// For a message that can be refused, a full log is rewritten only if a part of it (an eighth) would go, or has been
/// appended since the last rewrite.
const MIN_CHANGE_DIVISOR: u64 = 8;
/// The log is rewritten once it exceeds twice the size of the open messages by this many bytes.
const COMPACTION_SLACK_BYTES: u64 = 256 * 1024;

/// What a write is for, which decides how much room it must leave.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WritePurpose {
    /// A message that can still be refused. Room is left for the later records of all accepted messages, for
    /// a rewritten log, and for a copy of what the sibling owes.
    Acceptance,
    /// A later record of an accepted message: it is written as long as the budget holds it.
    FollowUp,
    /// A copy of the messages of a process that is gone, whose log is removed behind this write. Until then
    /// this log is not rewritten without need, since it tells which of the messages were copied before.
    Takeover,
}

/// The write-ahead log of this process.
#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    files: ProcessFiles,
    file: File,
    size: u64,
    /// Bytes that the log and its rewritten copy may take, together with the sibling's logs and the
    /// shared files.
    budget: u64,
    /// The logs of the sibling, which count against the budget. If the sibling dies, this process copies what
    /// it owes before its log is removed.
    sibling_logs: Vec<PathBuf>,
    /// The files that processes share, which count against the budget as well.
    shared_files: Vec<PathBuf>,
    /// Size at which the open messages are measured next, which requires a pass over all of them.
    measure_at_size: u64,
    /// Bytes that were appended since the log was rewritten.
    appended_bytes: u64,
    /// How often the log has been rewritten.
    pub compactions: u64,
}

impl Wal {
    /// Opens the log that this process has claimed.
    pub fn open_claimed(claim: &Claim, budget: u64) -> io::Result<(Wal, LoggedMessages)> {
        let (wal, logged) = Wal::open_files(&claim.folder, claim.files, budget)?;
        let sibling_logs = claim.other_logs().into();
        let mut shared_files: Vec<_> = maintenance::files(&claim.folder).into();
        shared_files.extend(shared_ids::files(&claim.folder));
        shared_files.extend(claim.waits_files());
        Ok((Wal { sibling_logs, shared_files, ..wal }, logged))
    }

    /// Opens the log of a folder that no other process uses.
    pub fn open(folder: &Path, budget: u64) -> io::Result<(Wal, LoggedMessages)> {
        Wal::open_files(folder, PROCESS_FILES[0], budget)
    }

    /// Opens a log, created if there is none, and reads what an earlier process left in it.
    fn open_files(folder: &Path, files: ProcessFiles, budget: u64) -> io::Result<(Wal, LoggedMessages)> {
        // A rewritten log that has not replaced the old one holds nothing that the old one does not.
        remove_if_exists(&folder.join(files.new))?;
        let path = folder.join(files.log);
        let logged = read_messages(&path)?;
        let file = OpenOptions::new().append(true).create(true).open(&path)?;
        // Disk use counts in whole blocks, so a part of the budget that covers two of them and a little more
        // stays unused.
        let budget = budget.saturating_sub(4096);
        Ok((
            Wal {
                folder: folder.into(),
                files,
                file,
                size: logged.log_bytes,
                appended_bytes: logged.log_bytes,
                budget,
                sibling_logs: Vec::new(),
                shared_files: Vec::new(),
                measure_at_size: COMPACTION_SLACK_BYTES,
                compactions: 0,
            },
            logged,
        ))
    }

    /// The state folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Bytes that other files of the folder may still take within the budget.
    pub fn free_bytes(&self) -> u64 {
        self.budget.saturating_sub(self.disk_usage(0).total())
    }

    /// The size of the log in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Appends records in one write. `open_messages` yields all messages that are open before these records,
    /// which is what a rewritten log would hold. A log that would exceed its budget is rewritten first.
    ///
    /// # Errors
    /// The write failed, or `purpose` needs more room than there is.
    pub fn append<'a>(
        &mut self, records: &[Record], purpose: WritePurpose,
        open_messages: impl Fn() -> Box<dyn Iterator<Item = &'a OpenMessage> + 'a>,
    ) -> io::Result<()> {
        let record_bytes: u64 = records.iter().map(|record| record.frame_bytes() as u64).sum();
        self.make_room(record_bytes, purpose, open_messages)?;
        let mut bytes = Vec::with_capacity(record_bytes as usize);
        records.iter().for_each(|record| record.write(&mut bytes));
        if let Err(e) = self.file.write_all(&bytes) {
            self.truncate_failed_write(record_bytes);
            return Err(e);
        }
        self.size += record_bytes;
        self.appended_bytes += record_bytes;
        Ok(())
    }

    /// Rewrites the log if that is due. An error if there is too little room for a write of this many bytes.
    fn make_room<'a>(
        &mut self, record_bytes: u64, purpose: WritePurpose,
        open_messages: impl Fn() -> Box<dyn Iterator<Item = &'a OpenMessage> + 'a>,
    ) -> io::Result<()> {
        if self.size <= self.measure_at_size && self.is_surely_roomy(record_bytes, purpose) {
            return Ok(());
        }
        let usage = self.disk_usage(rewritten_size(open_messages()));
        let rewritten = if self.is_rewrite_due(&usage, record_bytes, purpose) {
            self.compact(open_messages())
        } else {
            Ok(())
        };
        self.measure_at_size = self.size + COMPACTION_SLACK_BYTES / 8;
        let needed = DiskUsage { log: self.size, ..usage }.needed(record_bytes, purpose);
        if needed <= self.budget {
            return Ok(());
        }
        rewritten?;
        let reason = "the log has no room for more records within its disk budget";
        Err(io::Error::new(ErrorKind::StorageFull, reason))
    }

    /// Whether a write fits, by what is known without a pass over the open messages.
    fn is_surely_roomy(&self, record_bytes: u64, purpose: WritePurpose) -> bool {
        // Follow-ups of a short log fit into what the acceptances have left for them.
        if purpose == WritePurpose::FollowUp && self.size + record_bytes <= self.budget / 4 {
            return true;
        }
        // A rewritten log is not larger than the log.
        let usage = self.disk_usage(self.size);
        usage.needed(record_bytes, purpose).max(usage.rewrite_peak(record_bytes)) <= self.budget
    }

    /// Whether the log is to be rewritten before a write of this many bytes.
    fn is_rewrite_due(&self, usage: &DiskUsage, record_bytes: u64, purpose: WritePurpose) -> bool {
        if usage.needed(record_bytes, purpose) > self.budget {
            let rewritten = DiskUsage { log: usage.rewritten_log, ..*usage };
            let makes_room = rewritten.needed(record_bytes, purpose) <= self.budget;
            // A message can be refused, so that a rewrite for it waits until it is worth its cost.
            let is_needed = purpose != WritePurpose::Acceptance;
            let change_bytes = usage.log.saturating_sub(usage.rewritten_log).max(self.appended_bytes);
            return makes_room && (is_needed || change_bytes >= usage.log / MIN_CHANGE_DIVISOR);
        }
        // Later a rewritten log would not fit beside the old one.
        let is_last_chance = usage.rewrite_peak(record_bytes) > self.budget;
        let is_worthwhile = usage.log > usage.rewritten_log * 2 + COMPACTION_SLACK_BYTES;
        purpose != WritePurpose::Takeover && (is_last_chance || is_worthwhile)
    }

    /// What the files take, if the rewritten log had this size.
    fn disk_usage(&self, rewritten_log: u64) -> DiskUsage {
        DiskUsage {
            log: self.size,
            rewritten_log,
            sibling_logs: total_size(&self.sibling_logs),
            shared_files: total_size(&self.shared_files),
        }
    }

    /// Handles a failed write of this many bytes, part of which may have reached the file. A reader skips an
    /// incomplete record as damage, so it is truncated if possible. If it cannot be truncated, the noted size
    /// includes it, so that a later truncation does not remove the records behind it.
    fn truncate_failed_write(&mut self, record_bytes: u64) {
        if self.file.set_len(self.size).is_err() {
            let largest_size = self.size + record_bytes;
            self.size = self.file.metadata().map_or(largest_size, |file| file.len());
        }
    }

    /// Writes the open messages to a new log, which then replaces the old one.
    pub fn compact<'a>(&mut self, open_messages: impl Iterator<Item = &'a OpenMessage>) -> io::Result<()> {
        let (new, path) = (self.folder.join(self.files.new), self.folder.join(self.files.log));
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        let max_bytes = self.budget.saturating_sub(self.disk_usage(0).total());
        let written = write_messages(&mut file, open_messages, max_bytes)
            .and_then(|size| rename(&new, &path).map(|()| size));
        let size = match written {
            Ok(size) => size,
            Err(e) => {
                let _ = std::fs::remove_file(&new);
                return Err(e);
            }
        };
        (self.file, self.size, self.appended_bytes) = (file, size, 0);
        self.measure_at_size = self.size + COMPACTION_SLACK_BYTES / 8;
        self.compactions += 1;
        Ok(())
    }
}

/// Writes the records of these messages, of at most this many bytes, piece by piece. Returns their size.
fn write_messages<'a>(
    file: &mut File, open_messages: impl Iterator<Item = &'a OpenMessage>, max_bytes: u64,
) -> io::Result<u64> {
    let (mut piece, mut size) = (Vec::with_capacity(2 * PIECE_BYTES), 0);
    for record in open_messages.flat_map(OpenMessage::records) {
        record.write(&mut piece);
        if size + piece.len() as u64 > max_bytes {
            let reason = "the disk budget has no room for a rewritten log beside the old one";
            return Err(io::Error::new(ErrorKind::StorageFull, reason));
        }
        if piece.len() >= PIECE_BYTES {
            file.write_all(&piece)?;
            size += piece.len() as u64;
            piece.clear();
        }
    }
    file.write_all(&piece)?;
    Ok(size + piece.len() as u64)
}

/// Bytes in the files that count against the budget.
struct DiskUsage {
    log: u64,
    /// What the log would take if it were rewritten.
    rewritten_log: u64,
    sibling_logs: u64,
    shared_files: u64,
}

impl DiskUsage {
    fn total(&self) -> u64 {
        self.log + self.sibling_logs + self.shared_files
    }

    /// The bytes in use while the log is rewritten after a write of `record_bytes`, with both logs there.
    fn rewrite_peak(&self, record_bytes: u64) -> u64 {
        self.total() + record_bytes + self.rewritten_log
    }

    /// The bytes that must be within the budget for a write of `record_bytes`.
    fn needed(&self, record_bytes: u64, purpose: WritePurpose) -> u64 {
        let total = self.total() + record_bytes;
        // Either process may die, and the other one then copies what it owes while both logs are there. A
        // rewritten log is as large as such a copy of this log; the sibling may owe all that its log holds.
        let largest_copy = (self.rewritten_log + record_bytes).max(self.sibling_logs);
        match purpose {
            WritePurpose::Acceptance => total + largest_copy + FOLLOW_UP_RESERVE_BYTES,
            WritePurpose::FollowUp | WritePurpose::Takeover => total,
        }
    }
}

/// Total size of those of the files that exist.
fn total_size(files: &[PathBuf]) -> u64 {
    files.iter().filter_map(|path| Some(path.metadata().ok()?.len())).sum()
}

/// The size of a rewritten log.
fn rewritten_size<'a>(open_messages: impl Iterator<Item = &'a OpenMessage>) -> u64 {
    open_messages.map(|open| open.log_bytes() as u64).sum()
}

#[cfg(test)]
mod tests;
