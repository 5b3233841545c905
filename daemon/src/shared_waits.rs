//! Waits that endpoints have told one process of a forwarder, and drains that discovery has, for the other one beside it: to
//! the rules both are one sender, and what one was told binds both.
//!
//! While there are two, each appends what it is told to a file at its own place in the folder, after all that it knew
//! before, and reads the other's. Times are those of the boot-time clock, which both read alike whatever the wall clock does.

use crate::clock::Clock;
use crate::state_folder::remove;
use onyxrock::interface::Micros;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

/// Behind all waits that a process knew when the other one came.
const END_OF_SNAPSHOT: &str = ".";
/// The first word of a line that tells of a drain.
const DRAINS: &str = "drains";
/// A longer file is begun anew.
const BYTES_MOST: u64 = 64 * 1024;

/// A wait that an endpoint told.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ToldWait {
    pub endpoint: String,
    /// Nothing may go there before, by this process's clock.
    pub until: Micros,
}

/// A list said that an endpoint drains or is gone.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ToldDrain {
    pub endpoint: String,
    /// The version of the list.
    pub generation: u64,
}

/// What is read of the other process's file.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Shared {
    Wait(ToldWait),
    Drain(ToldDrain),
    /// All that it knew before has been read.
    EndOfSnapshot,
}

/// The file of this process.
#[derive(Debug)]
pub struct WaitWriter {
    path: PathBuf,
    file: Option<File>,
    bytes: u64,
}

impl WaitWriter {
    pub fn at(path: PathBuf) -> WaitWriter {
        WaitWriter { path, file: None, bytes: 0 }
    }

    /// The file has to be begun anew: it is not there, too long, or could not be written.
    pub fn wants_snapshot(&self) -> bool {
        self.file.is_none() || self.bytes > BYTES_MOST
    }

    /// Begins the file anew, with all that is known.
    pub fn snapshot(&mut self, clock: &Clock, waits: &[ToldWait], drains: &[ToldDrain]) -> io::Result<()> {
        self.file = None;
        let mut text: String = waits.iter().map(|wait| line(clock, wait)).collect();
        text.extend(drains.iter().map(drain_line));
        text += &format!("{END_OF_SNAPSHOT}\n");
        let mut file = File::create(&self.path)?;
        file.write_all(text.as_bytes())?;
        (self.file, self.bytes) = (Some(file), text.len() as u64);
        Ok(())
    }

    /// Adds a wait.
    pub fn add(&mut self, clock: &Clock, wait: &ToldWait) -> io::Result<()> {
        self.append(&line(clock, wait))
    }

    /// Adds a drain.
    pub fn add_drain(&mut self, drain: &ToldDrain) -> io::Result<()> {
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

impl Drop for WaitWriter {
    fn drop(&mut self) {
        let _ = remove(&self.path);
    }
}

fn line(clock: &Clock, wait: &ToldWait) -> String {
    let left = wait.until.since(clock.now());
    format!("{} {}\n", Clock::boot_time().plus(left).0, wait.endpoint)
}

fn drain_line(drain: &ToldDrain) -> String {
    format!("{DRAINS} {} {}\n", drain.generation, drain.endpoint)
}

/// The file of the other process, as far as it has been read.
#[derive(Debug)]
pub struct WaitReader {
    path: PathBuf,
    offset: u64,
}

impl WaitReader {
    pub fn at(path: PathBuf) -> WaitReader {
        WaitReader { path, offset: 0 }
    }

    /// What has come since the last look.
    pub fn read(&mut self, clock: &Clock) -> io::Result<Vec<Shared>> {
        let bytes = match self.read_on() {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            bytes => bytes?,
        };
        // Half a line is read again.
        let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        self.offset += whole as u64;
        let text = String::from_utf8_lossy(&bytes[..whole]);
        Ok(text.lines().filter_map(|line| parse(clock, line)).collect())
    }

    fn read_on(&mut self) -> io::Result<Vec<u8>> {
        let mut file = File::open(&self.path)?;
        // One that is shorter was begun anew.
        if file.metadata()?.len() < self.offset {
            self.offset = 0;
        }
        file.seek(SeekFrom::Start(self.offset))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

fn parse(clock: &Clock, line: &str) -> Option<Shared> {
    if line == END_OF_SNAPSHOT {
        return Some(Shared::EndOfSnapshot);
    }
    let (until, endpoint) = line.split_once(' ')?;
    if until == DRAINS {
        let (generation, endpoint) = endpoint.split_once(' ')?;
        let (endpoint, generation) = (endpoint.to_owned(), generation.parse().ok()?);
        return Some(Shared::Drain(ToldDrain { endpoint, generation }));
    }
    let left = Micros(until.parse().ok()?).since(Clock::boot_time());
    let until = clock.now().plus(left);
    (left > Micros(0)).then(|| Shared::Wait(ToldWait { endpoint: endpoint.to_owned(), until }))
}

#[cfg(test)]
mod tests;
