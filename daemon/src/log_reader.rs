//! Reads the logs in the state folder piece by piece: a log may be nearly as large as the memory that is left.

use onyxrock::core::{AcceptedMessage, LogDecoder, OpenMessage, Record, Recovery};
use onyxrock::interface::Micros;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::Path;

/// Bytes that are read at a time.
const PIECE_BYTES: usize = 64 * 1024;

/// Identifies a message across processes of this forwarder, which number messages differently: frontend,
/// request id and deadline.
pub type MessageKey = (u8, String, Micros);

/// The key of an accepted message.
#[must_use]
pub fn message_key(message: &AcceptedMessage) -> MessageKey {
    (message.frontend, message.request_id.clone(), message.deadline)
}

/// The messages in a log.
#[derive(Debug, Default)]
pub struct LoggedMessages {
    /// Those that are open, by number.
    pub open: BTreeMap<u64, OpenMessage>,
    /// The keys of all that were accepted, ended ones included.
    pub accepted: Vec<MessageKey>,
    /// Bytes that belong to no intact record.
    pub damaged_bytes: usize,
    /// Length of the log.
    pub log_bytes: u64,
}

/// How far a log was read.
struct LogEnd {
    log_bytes: u64,
    damaged_bytes: usize,
}

/// Passes on the records of a log in their order; a log that does not exist has none.
fn read_records(path: &Path, mut on_record: impl FnMut(Record)) -> io::Result<LogEnd> {
    let mut decoder = LogDecoder::default();
    let mut log_bytes = 0;
    let mut file = match File::open(path) {
        Ok(file) => Some(file),
        Err(e) if e.kind() == ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let mut piece = vec![0; PIECE_BYTES];
    while let Some(file) = &mut file {
        let count = match file.read(&mut piece) {
            Ok(0) => break,
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        };
        log_bytes += count as u64;
        decoder.push(&piece[..count], &mut on_record);
    }
    Ok(LogEnd { log_bytes, damaged_bytes: decoder.finish(on_record) })
}

/// Reads the messages in a log.
///
/// # Errors
/// The log cannot be read.
pub fn read_messages(path: &Path) -> io::Result<LoggedMessages> {
    let (mut recovery, mut accepted) = (Recovery::default(), Vec::new());
    let LogEnd { log_bytes, damaged_bytes } = read_records(path, |record| {
        if let Record::Accepted(message) = &record {
            accepted.push(message_key(message));
        }
        recovery.apply(record);
    })?;
    Ok(LoggedMessages { open: recovery.finish(), accepted, damaged_bytes, log_bytes })
}

/// Reads the open messages in a log, without their bodies.
///
/// # Errors
/// The log cannot be read.
pub fn read_open_without_bodies(path: &Path) -> io::Result<Vec<OpenMessage>> {
    let mut recovery = Recovery::default();
    read_records(path, |mut record| {
        if let Record::Accepted(message) = &mut record {
            message.body = std::sync::Arc::default();
        }
        recovery.apply(record);
    })?;
    Ok(recovery.finish().into_values().collect())
}

/// Reads the request ids of all messages in a log.
///
/// # Errors
/// The log cannot be read.
pub fn for_each_request_id(path: &Path, mut on_id: impl FnMut(&str)) -> io::Result<()> {
    read_records(path, |record| {
        if let Record::Accepted(message) = &record {
            on_id(&message.request_id);
        }
    })
    .map(drop)
}

#[cfg(test)]
mod tests;
