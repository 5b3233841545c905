//! The waits files, in which the two processes of a forwarder share the retry-afters that endpoints have sent
//! and the drains that discovery has reported. The rules count both processes as one sender, so what one has
//! been told binds both.
//!
//! While both run, each appends what it learns to its own file in the state folder, behind a snapshot of all
//! that it knew before, and reads the other's file. Times are those of the boot-time clock, which both read
//! alike whatever the wall clock does.

use crate::clock::Clock;
use crate::state_folder::remove_if_exists;
use onyxrock::interface::Micros;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

/// Line that ends the snapshot of what a process knew when the other one started.
const END_OF_SNAPSHOT: &str = ".";
/// The first word of a line that reports a drain.
const DRAIN_KEYWORD: &str = "drains";
/// A file longer than this is rewritten.
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// A retry-after that an endpoint sent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SharedRetryAfter {
    /// The name of the endpoint.
    pub endpoint: String,
    /// No call may be sent to the endpoint before this time of the own clock.
    pub until: Micros,
}

/// An endpoint that a list reports as draining or gone.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SharedDrain {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The generation of that list.
    pub generation: u64,
}

/// An entry of the other process's file.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SiblingEntry {
    /// An endpoint sent a retry-after.
    RetryAfter(SharedRetryAfter),
    /// A list reported a drain.
    Drain(SharedDrain),
    /// The snapshot is complete.
    EndOfSnapshot,
}

/// Writes the file of this process, and removes it when dropped.
#[derive(Debug)]
pub struct WaitsFileWriter {
    path: PathBuf,
    file: Option<File>,
    bytes: u64,
}

impl WaitsFileWriter {
    /// For the file at this path, which is created with the first snapshot.
    pub fn new(path: PathBuf) -> WaitsFileWriter {
        WaitsFileWriter { path, file: None, bytes: 0 }
    }

    /// Whether the file has to be rewritten: it does not exist, is too long, or could not be written.
    pub fn needs_snapshot(&self) -> bool {
        self.file.is_none() || self.bytes > MAX_FILE_BYTES
    }

    /// Rewrites the file with all that is known.
    pub fn write_snapshot(
        &mut self, clock: &Clock, waits: &[SharedRetryAfter], drains: &[SharedDrain],
    ) -> io::Result<()> {
        self.file = None;
        let mut text: String = waits.iter().map(|wait| retry_after_line(clock, wait)).collect();
        text.extend(drains.iter().map(drain_line));
        text += &format!("{END_OF_SNAPSHOT}\n");
        let mut file = File::create(&self.path)?;
        file.write_all(text.as_bytes())?;
        (self.file, self.bytes) = (Some(file), text.len() as u64);
        Ok(())
    }

    /// Appends a retry-after.
    pub fn append_retry_after(&mut self, clock: &Clock, wait: &SharedRetryAfter) -> io::Result<()> {
        self.append(&retry_after_line(clock, wait))
    }

    /// Appends a drain.
    pub fn append_drain(&mut self, drain: &SharedDrain) -> io::Result<()> {
        self.append(&drain_line(drain))
    }

    fn append(&mut self, text: &str) -> io::Result<()> {
        let Some(file) = &mut self.file else { return Ok(()) };
        if let Err(e) = file.write_all(text.as_bytes()) {
            self.file = None;
            return Err(e);
        }
        self.bytes += text.len() as u64;
        Ok(())
    }
}

impl Drop for WaitsFileWriter {
    fn drop(&mut self) {
        let _ = remove_if_exists(&self.path);
    }
}

fn retry_after_line(clock: &Clock, wait: &SharedRetryAfter) -> String {
    let time_left = wait.until.since(clock.now());
    format!("{} {}\n", Clock::boot_time().plus(time_left).0, wait.endpoint)
}

fn drain_line(drain: &SharedDrain) -> String {
    format!("{DRAIN_KEYWORD} {} {}\n", drain.generation, drain.endpoint)
}

/// Reads the file of the other process.
#[derive(Debug)]
pub struct WaitsFileReader {
    path: PathBuf,
    offset: u64,
}

impl WaitsFileReader {
    /// Reads the file at this path from its beginning.
    pub fn new(path: PathBuf) -> WaitsFileReader {
        WaitsFileReader { path, offset: 0 }
    }

    /// Returns the entries added since the last call. Lines that cannot be parsed are skipped.
    pub fn read(&mut self, clock: &Clock) -> io::Result<Vec<SiblingEntry>> {
        let bytes = match self.read_rest() {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            bytes => bytes?,
        };
        // An incomplete line is read again later.
        let complete_bytes = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        self.offset += complete_bytes as u64;
        let text = String::from_utf8_lossy(&bytes[..complete_bytes]);
        Ok(text.lines().filter_map(|line| parse(clock, line)).collect())
    }

    fn read_rest(&mut self) -> io::Result<Vec<u8>> {
        let mut file = File::open(&self.path)?;
        // A file shorter than before has been rewritten.
        if file.metadata()?.len() < self.offset {
            self.offset = 0;
        }
        file.seek(SeekFrom::Start(self.offset))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

fn parse(clock: &Clock, line: &str) -> Option<SiblingEntry> {
    if line == END_OF_SNAPSHOT {
        return Some(SiblingEntry::EndOfSnapshot);
    }
    let (until, endpoint) = line.split_once(' ')?;
    if until == DRAIN_KEYWORD {
        let (generation, endpoint) = endpoint.split_once(' ')?;
        let (endpoint, generation) = (endpoint.to_owned(), generation.parse().ok()?);
        return Some(SiblingEntry::Drain(SharedDrain { endpoint, generation }));
    }
    let time_left = Micros(until.parse().ok()?).since(Clock::boot_time());
    let until = clock.now().plus(time_left);
    (time_left > Micros(0))
        .then(|| SiblingEntry::RetryAfter(SharedRetryAfter { endpoint: endpoint.to_owned(), until }))
}

#[cfg(test)]
mod tests;
