//! Writes records to the log. While the folder fails, work that needs a record first is refused, and records
//! of events that have happened are queued and written in order later.

use super::CoreActor;
use crate::wal::WritePurpose;
use onyxrock::core::{OpenMessage, Record};
use onyxrock::interface::Micros;
use std::collections::VecDeque;

/// Interval between retries of a failed write.
const WRITE_RETRY_INTERVAL: Micros = Micros(100_000);
/// With more queued records than this, rewriting the log is shorter than appending them, and has the same
/// content.
const MAX_QUEUED_RECORDS: usize = 4096;

/// Records that could not be written yet, and the time of the next retry.
#[derive(Debug, Default)]
pub struct UnwrittenRecords {
    records: VecDeque<Record>,
    retry_at: Micros,
}

impl UnwrittenRecords {
    /// The time of the next retry, if any record is queued.
    pub fn due(&self) -> Option<Micros> {
        (!self.records.is_empty()).then_some(self.retry_at)
    }
}

impl CoreActor {
    /// Appends records to the log, behind all queued ones. If this returns false they are not logged, and
    /// work that needs them must not begin.
    pub(super) fn log_now(&mut self, records: &[Record], purpose: WritePurpose) -> bool {
        self.write_queued_records() && self.append(records, purpose)
    }

    /// Appends the record of an event that has happened, or queues it if the write fails.
    pub(super) fn log_or_queue(&mut self, record: Option<Record>) {
        let Some(record) = record else { return };
        if !self.unwritten.records.is_empty()
            || !self.append(std::slice::from_ref(&record), WritePurpose::FollowUp)
        {
            self.unwritten.records.push_back(record);
            self.unwritten.retry_at = self.shared.clock.now().plus(WRITE_RETRY_INTERVAL);
            self.shared.counters.wal_waiting.set(self.unwritten.records.len());
        }
    }

    /// Retries the queued records if the retry is due.
    pub(super) fn retry_queued_records(&mut self, now: Micros) {
        if self.unwritten.due().is_some_and(|due| due <= now) && !self.write_queued_records() {
            self.unwritten.retry_at = now.plus(WRITE_RETRY_INTERVAL);
        }
    }

    /// Writes all queued records. Returns false if they remain queued.
    fn write_queued_records(&mut self) -> bool {
        if self.unwritten.records.is_empty() {
            return true;
        }
        let written = if self.unwritten.records.len() > MAX_QUEUED_RECORDS {
            self.wal.compact(self.ledger.open_messages()).is_ok()
        } else {
            let waiting: Vec<_> = self.unwritten.records.iter().cloned().collect();
            self.append(&waiting, WritePurpose::FollowUp)
        };
        if written {
            tracing::info!(
                "log: writes succeed again; {} queued records are written",
                self.unwritten.records.len()
            );
            self.unwritten.records.clear();
        }
        self.shared.counters.wal_waiting.set(self.unwritten.records.len());
        written
    }

    fn append(&mut self, records: &[Record], purpose: WritePurpose) -> bool {
        let (ledger, compactions_before) = (&self.ledger, self.wal.compactions);
        let open_messages = || -> Box<dyn Iterator<Item = &OpenMessage>> { Box::new(ledger.open_messages()) };
        let result = self.wal.append(records, purpose, open_messages);
        if self.wal.compactions != compactions_before {
            self.shared.counters.wal_compactions.increment();
        }
        match result {
            Ok(()) => self.shared.counters.wal_records.increment(),
            Err(e) => {
                self.shared.counters.wal_refused.increment();
                tracing::error!("log: records could not be written: {e}");
                return false;
            }
        }
        true
    }
}
