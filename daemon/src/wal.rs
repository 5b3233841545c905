//! The write-ahead log in the state folder. Data that write() has accepted survives the process, so it is not
//! synced to disk.

use crate::maintenance;
use crate::state_folder::{Claim, PROCESS_FILES, ProcessFiles, read_or_empty, remove_if_exists};
use onyxrock::core::{LogScan, OpenMessage, Record, scan_log};
use std::fs::{File, OpenOptions, rename};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Bytes kept free for the later records of messages that are already accepted.
const FOLLOW_UP_RESERVE_BYTES: u64 = 96 * 1024;
/// The log is rewritten once it exceeds twice the size of the open messages by this many bytes.
const COMPACTION_SLACK_BYTES: u64 = 256 * 1024;

/// The write-ahead log of this process.
#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    files: ProcessFiles,
    file: File,
    size: u64,
    /// Bytes that the log and its rewritten copy may take, together with the sibling's logs and the
    /// maintenance files.
    budget: u64,
    /// The other files that count against the budget.
    other_files: Vec<PathBuf>,
    /// Size at which the open messages are measured next, which requires a pass over all of them.
    measure_at_size: u64,
    /// How often the log has been rewritten.
    pub compactions: u64,
}

impl Wal {
    /// Opens the log that this process has claimed.
    pub fn open_claimed(claim: &Claim, budget: u64) -> io::Result<(Wal, LogScan)> {
        let (wal, scan) = Wal::open_files(&claim.folder, claim.files, budget)?;
        let other_files = claim.other_logs().into_iter().chain(maintenance::files(&claim.folder)).collect();
        Ok((Wal { other_files, ..wal }, scan))
    }

    /// Opens the log of a folder that no other process uses.
    pub fn open(folder: &Path, budget: u64) -> io::Result<(Wal, LogScan)> {
        Wal::open_files(folder, PROCESS_FILES[0], budget)
    }

    /// Opens a log, created if there is none, and reads what an earlier process left in it.
    fn open_files(folder: &Path, files: ProcessFiles, budget: u64) -> io::Result<(Wal, LogScan)> {
        // A rewritten log that has not replaced the old one holds nothing that the old one does not.
        remove_if_exists(&folder.join(files.new))?;
        let path = folder.join(files.log);
        let bytes = read_or_empty(&path)?;
        let file = OpenOptions::new().append(true).create(true).open(&path)?;
        let size = bytes.len() as u64;
        // Disk use counts in whole blocks, so a part of the budget that covers two of them and a little more
        // stays unused.
        let budget = budget.saturating_sub(4096);
        Ok((
            Wal {
                folder: folder.into(),
                files,
                file,
                size,
                budget,
                other_files: Vec::new(),
                measure_at_size: COMPACTION_SLACK_BYTES,
                compactions: 0,
            },
            scan_log(&bytes),
        ))
    }

    /// Bytes that the other files take.
    fn other_files_bytes(&self) -> u64 {
        self.other_files.iter().filter_map(|p| Some(p.metadata().ok()?.len())).sum()
    }

    /// The state folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The size of the log in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Appends records in one write. `open_messages` yields all messages that are open before these records,
    /// which is what a rewritten log would hold. An acceptance is refused unless the records that must follow
    /// it still fit.
    pub fn append<'a>(
        &mut self, records: &[Record],
        open_messages: impl Fn() -> Box<dyn Iterator<Item = &'a OpenMessage> + 'a>,
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| r.write(&mut bytes));
        let accepts = records.iter().any(|r| matches!(r, Record::Accepted(_)));
        let record_bytes = bytes.len() as u64;
        let (bytes_with_rewrite, reserved) =
            if accepts { (record_bytes * 2, FOLLOW_UP_RESERVE_BYTES) } else { (record_bytes, 0) };
        if self.size > self.measure_at_size || self.size + bytes_with_rewrite + reserved > self.budget / 2 {
            let live_bytes = estimated_size(open_messages()) + self.other_files_bytes();
            let over_budget = self.size + live_bytes + bytes_with_rewrite + reserved > self.budget;
            if over_budget || self.size > live_bytes * 2 + COMPACTION_SLACK_BYTES {
                self.compact(open_messages())?;
            }
            self.measure_at_size = self.size + COMPACTION_SLACK_BYTES / 8;
            if self.size + live_bytes + bytes_with_rewrite + reserved > self.budget {
                return Err(io::Error::new(
                    ErrorKind::StorageFull,
                    "the log has no room for more records within its disk budget",
                ));
            }
        }
        if let Err(e) = self.file.write_all(&bytes) {
            self.truncate_failed_write(record_bytes);
            return Err(e);
        }
        self.size += record_bytes;
        Ok(())
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
        let mut bytes = Vec::new();
        open_messages.flat_map(OpenMessage::records).for_each(|r| r.write(&mut bytes));
        if self.size + bytes.len() as u64 + self.other_files_bytes() > self.budget {
            return Err(io::Error::new(
                ErrorKind::StorageFull,
                "the disk budget has no room for a rewritten log beside the old one",
            ));
        }
        let (new, path) = (self.folder.join(self.files.new), self.folder.join(self.files.log));
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&bytes).and_then(|()| rename(&new, &path)) {
            let _ = std::fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.size) = (file, bytes.len() as u64);
        self.measure_at_size = self.size + COMPACTION_SLACK_BYTES / 8;
        self.compactions += 1;
        Ok(())
    }
}

/// Estimates the size of a rewritten log, rather too high than too low.
fn estimated_size<'a>(open_messages: impl Iterator<Item = &'a OpenMessage>) -> u64 {
    let estimate = |open: &OpenMessage| {
        let message = &open.accepted;
        message.body.len()
            + message.request_id.len()
            + message.idempotency_key.len()
            + message.frontend_note.len()
            + message.class.len()
            + message.tenant.len()
            + 320
    };
    open_messages.map(|open| estimate(open) as u64).sum()
}

#[cfg(test)]
mod tests;
