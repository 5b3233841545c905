//! Messages that an earlier process of this forwarder, or a sibling that is gone, has left open.

use super::*;
use crate::sibling_log::overdue_messages;
use crate::wal::WritePurpose;
use std::path::Path;

impl CoreActor {
    /// Notes all messages that this forwarder's own log names, ended ones included.
    pub fn note_logged_messages(&mut self, accepted: Vec<MessageKey>) {
        self.logged_keys = accepted.into_iter().collect();
    }

    /// Resumes the open messages of an earlier process.
    pub fn resume(&mut self, open_messages: impl IntoIterator<Item = OpenMessage>) {
        for open in open_messages {
            self.shared.counters.resumed.increment();
            let now = self.shared.clock.now();
            let (number, final_status) = (open.accepted.number, open.final_status);
            self.activate_destination(now, open.accepted.destination);
            if open.accepted.deadline < now {
                self.shared.invariants.note_expired_at_takeover(&open.accepted.request_id);
            }
            if self.ledger.resume(now, open)
                && let Some(status) = final_status
            {
                self.report_status(number, status);
            }
        }
    }

    /// Copies the open messages of a process that is gone, under new numbers. A process that died while it
    /// copied between the two logs leaves messages in both. A message that is already open here, or was
    /// copied before and has ended since, is recognized by its key and skipped.
    pub(super) fn copy_open_messages(&mut self, orphaned_log: &OrphanedLog) -> std::io::Result<()> {
        let logged = orphaned_log.read()?;
        if logged.damaged_bytes > 0 {
            tracing::warn!(
                "log: {} bytes in the log of another process belong to no complete record and are skipped",
                logged.damaged_bytes
            );
        }
        self.copy_messages(logged.open.into_values().collect())
    }

    /// Copies messages of another process that are not known here, under new numbers.
    fn copy_messages(&mut self, mut open_messages: Vec<OpenMessage>) -> std::io::Result<()> {
        let open_keys: BTreeSet<_> =
            self.ledger.open_messages().map(|open| message_key(&open.accepted)).collect();
        open_messages.retain(|open| {
            !open_keys.contains(&message_key(&open.accepted))
                && !self.logged_keys.contains(&message_key(&open.accepted))
        });
        open_messages.iter_mut().for_each(|open| open.accepted.number = self.ledger.allocate_number());
        let records: Vec<_> = open_messages.iter().flat_map(OpenMessage::records).collect();
        if !records.is_empty() && !self.log_now(&records, WritePurpose::Takeover) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        if !open_messages.is_empty() {
            tracing::info!("log: {} messages of another process are taken over", open_messages.len());
        }
        self.logged_keys.extend(open_messages.iter().map(|open| message_key(&open.accepted)));
        self.resume(open_messages);
        Ok(())
    }

    /// Ends messages of a sibling that hangs, whose deadline has passed. No call is made for them any more, and their
    /// copies are recognized once the sibling is gone. If it goes on before, it ends them as well, which does no harm.
    pub(super) fn end_overdue_messages(&mut self, now: Micros, sibling_log: &Path) {
        let ended = overdue_messages(sibling_log, now).and_then(|overdue| self.copy_messages(overdue));
        if let Err(e) = ended {
            tracing::error!(
                "log: overdue messages of another process could not be ended, they end once it is gone: {e}"
            );
        }
    }

    /// Copies the open messages of an orphaned log, then removes the log.
    pub(super) fn take_over_log(&mut self, orphaned_log: &OrphanedLog) -> std::io::Result<()> {
        self.copy_open_messages(orphaned_log)?;
        orphaned_log.remove()?;
        self.logged_keys.clear();
        Ok(())
    }

    /// Takes over an orphaned log. A failure is retried at the next check for a sibling.
    pub fn try_take_over_log(&mut self, orphaned_log: &OrphanedLog) {
        if let Err(e) = self.take_over_log(orphaned_log) {
            tracing::error!(
                "log: the log of another process could not be taken over and will be retried: {e}"
            );
        }
    }
}
