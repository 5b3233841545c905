//! The log in the folder that lasts. What write() has taken survives the process, so nothing is synced.

use crate::maintenance;
use crate::state_folder::{Claim, PLACES, Place, read, remove};
use onyxrock::core::{LogScan, OpenMessage, Record, scan_log};
use std::fs::{File, OpenOptions, rename};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Kept free for the records that follow a request which is already taken on.
const RESERVE: u64 = 96 * 1024;
/// A log is rewritten once it holds so much more than what is owed.
const SLACK: u64 = 256 * 1024;

#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    place: Place,
    file: File,
    size: u64,
    /// Bytes that log and new log may take together, with those of another process and what operators have taken out.
    budget: u64,
    beside: Vec<PathBuf>,
    /// At this size it is worth asking how much of the log is owed, which takes a look at all that is held.
    look_at: u64,
    pub compactions: u64,
}

impl Wal {
    /// Opens the log of the place that this process has.
    pub fn of(claim: &Claim, budget: u64) -> io::Result<(Wal, LogScan)> {
        let (wal, scan) = Wal::at(&claim.folder, claim.place, budget)?;
        let beside = claim.beside().into_iter().chain(maintenance::files(&claim.folder)).collect();
        Ok((Wal { beside, ..wal }, scan))
    }

    /// Opens the log of a folder where there is nobody else.
    pub fn open(folder: &Path, budget: u64) -> io::Result<(Wal, LogScan)> {
        Wal::at(folder, PLACES[0], budget)
    }

    /// Opens a log, made if there is none, and reads what an earlier process left in it.
    fn at(folder: &Path, place: Place, budget: u64) -> io::Result<(Wal, LogScan)> {
        // A new log that was not renamed yet says nothing that the old one does not.
        remove(&folder.join(place.new))?;
        let path = folder.join(place.log);
        let bytes = read(&path)?;
        let file = OpenOptions::new().append(true).create(true).open(&path)?;
        let size = bytes.len() as u64;
        // Files count in whole blocks: keep two of them and a little more out of it.
        let budget = budget.saturating_sub(4096);
        Ok((
            Wal {
                folder: folder.into(),
                place,
                file,
                size,
                budget,
                beside: Vec::new(),
                look_at: SLACK,
                compactions: 0,
            },
            scan_log(&bytes),
        ))
    }

    /// What else is in the folder.
    fn beside(&self) -> u64 {
        self.beside.iter().filter_map(|p| Some(p.metadata().ok()?.len())).sum()
    }

    /// The folder that lasts.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn size(&self) -> u64 {
        self.size
    }

    /// Appends records as one write. `owed` is all that is owed before them: it is what a new log would hold.
    /// A request is taken on only where the records that must follow it still fit.
    pub fn append<'a>(
        &mut self, records: &[Record], owed: impl Fn() -> Box<dyn Iterator<Item = &'a OpenMessage> + 'a>,
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| r.write(&mut bytes));
        let takes_on = records.iter().any(|r| matches!(r, Record::Accepted(_)));
        let more = bytes.len() as u64;
        let (twice, kept) = if takes_on { (more * 2, RESERVE) } else { (more, 0) };
        if self.size > self.look_at || self.size + twice + kept > self.budget / 2 {
            let live = live(owed()) + self.beside();
            let tight = self.size + live + twice + kept > self.budget;
            if tight || self.size > live * 2 + SLACK {
                self.compact(owed())?;
            }
            self.look_at = self.size + SLACK / 8;
            if self.size + live + twice + kept > self.budget {
                return Err(io::Error::new(ErrorKind::StorageFull, "the log has no room"));
            }
        }
        if let Err(e) = self.file.write_all(&bytes) {
            self.cut_back(more);
            return Err(e);
        }
        self.size += more;
        Ok(())
    }

    /// A write of so many bytes failed, and some of it may be there. Half a frame is damage that a reader passes over, so it
    /// is cut off if that can be. Where it stays, whatever comes behind it must not be cut off with it later.
    fn cut_back(&mut self, more: u64) {
        if self.file.set_len(self.size).is_err() {
            let most = self.size + more;
            self.size = self.file.metadata().map_or(most, |file| file.len());
        }
    }

    /// Writes what is owed to a new log, which then takes the place of the old one.
    pub fn compact<'a>(&mut self, owed: impl Iterator<Item = &'a OpenMessage>) -> io::Result<()> {
        let mut bytes = Vec::new();
        owed.flat_map(OpenMessage::records).for_each(|r| r.write(&mut bytes));
        if self.size + bytes.len() as u64 + self.beside() > self.budget {
            return Err(io::Error::new(ErrorKind::StorageFull, "no room for a new log beside the old one"));
        }
        let (new, path) = (self.folder.join(self.place.new), self.folder.join(self.place.log));
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&bytes).and_then(|()| rename(&new, &path)) {
            let _ = std::fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.size) = (file, bytes.len() as u64);
        self.look_at = self.size + SLACK / 8;
        self.compactions += 1;
        Ok(())
    }
}

/// About what a new log would hold, rather too much than too little.
fn live<'a>(owed: impl Iterator<Item = &'a OpenMessage>) -> u64 {
    let one = |o: &OpenMessage| {
        let t = &o.accepted;
        t.body.len()
            + t.request_id.len()
            + t.idempotency_key.len()
            + t.frontend_note.len()
            + t.class.len()
            + t.tenant.len()
            + 320
    };
    owed.map(|o| one(o) as u64).sum()
}

#[cfg(test)]
mod tests;
