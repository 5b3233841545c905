//! Notices that a sibling process has stopped to end its messages: it hangs, and would be killed for that only later.
//!
//! A process writes to its log when it ends a message, before anything else. So a log that has not changed although a
//! message in it should have ended belongs to a process that stands still.

use crate::log_reader::read_open_without_bodies;
use onyxrock::core::OpenMessage;
use onyxrock::interface::Micros;
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// A process may be held up for this long without being taken for one that hangs.
const HOLD_UP_TIME: Micros = Micros(150_000);

/// The log of the sibling, which may write to it at any time.
#[derive(Debug)]
pub struct SiblingLog {
    path: PathBuf,
    /// Inode and length when it was last looked at.
    version: (u64, u64),
    unchanged_since: Micros,
    /// When the messages in it have to have ended, the latest first; `None` until it has been read.
    end_times: Option<Vec<Micros>>,
}

impl SiblingLog {
    /// The log at this path.
    pub fn new(path: PathBuf) -> SiblingLog {
        SiblingLog { path, version: (0, 0), unchanged_since: Micros(0), end_times: None }
    }

    /// Looks at the log. Returns whether a message in it should have ended since the last look.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn has_overdue(&mut self, now: Micros) -> io::Result<bool> {
        let version = match self.path.metadata() {
            Ok(metadata) => (metadata.ino(), metadata.len()),
            Err(e) if e.kind() == ErrorKind::NotFound => (0, 0),
            Err(e) => return Err(e),
        };
        if version != self.version {
            (self.version, self.unchanged_since, self.end_times) = (version, now, None);
        }
        if now < self.unchanged_since.plus(HOLD_UP_TIME) {
            return Ok(false);
        }
        let end_times = match &mut self.end_times {
            Some(end_times) => end_times,
            unread => unread.insert(end_times(&self.path)?),
        };
        let before = end_times.len();
        while end_times.pop_if(|end| *end <= now).is_some() {}
        Ok(end_times.len() < before)
    }
}

/// The messages in the log of a sibling that should have ended by now. Those whose client waits for a receipt are not
/// among them: one process alone has its sessions. Their bodies are left out, since no call is made for them.
///
/// # Errors
/// The log cannot be read.
pub fn overdue_messages(path: &Path, now: Micros) -> io::Result<Vec<OpenMessage>> {
    let mut messages = read_open_without_bodies(path)?;
    messages.retain(|message| !message.accepted.wants_receipt && end_time(message) <= now);
    Ok(messages)
}

fn end_times(path: &Path) -> io::Result<Vec<Micros>> {
    let open_messages = read_open_without_bodies(path)?;
    let with_end = open_messages.iter().filter(|message| !message.accepted.wants_receipt);
    let mut end_times: Vec<_> = with_end.map(end_time).collect();
    end_times.sort_unstable_by(|a, b| b.cmp(a));
    Ok(end_times)
}

/// When a message has ended at the latest, if its process runs.
fn end_time(message: &OpenMessage) -> Micros {
    message.accepted.deadline.plus(HOLD_UP_TIME)
}
