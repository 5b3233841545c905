//! Records on their way to the log. The folder may fail for a while: what must be in the log before something is done is
//! refused then, and what has happened already waits, in order, until it can be written.

use super::CoreActor;
use onyxrock::core::{OpenMessage, Record};
use onyxrock::interface::Micros;
use std::collections::VecDeque;

/// How often writing is tried again.
const AGAIN: Micros = Micros(100_000);
/// Beyond so many records a new log is shorter, which says the same.
const WAITING_MOST: usize = 4096;

/// Records that could not be written yet, and when to try again.
#[derive(Debug, Default)]
pub struct Unwritten {
    records: VecDeque<Record>,
    again_at: Micros,
}

impl Unwritten {
    /// When to try again, if anything waits.
    pub fn due(&self) -> Option<Micros> {
        (!self.records.is_empty()).then_some(self.again_at)
    }
}

impl CoreActor {
    /// Puts records in the log, behind all that waits. False if they are not in it: then nothing may be done that they
    /// have to be there for.
    pub(super) fn keep_now(&mut self, records: &[Record]) -> bool {
        self.write_waiting() && self.append(records)
    }

    /// Puts a record of something that has happened in the log, or has it wait.
    pub(super) fn keep_later(&mut self, record: Option<Record>) {
        let Some(record) = record else { return };
        if !self.unwritten.records.is_empty() || !self.append(std::slice::from_ref(&record)) {
            self.unwritten.records.push_back(record);
            self.unwritten.again_at = self.shared.clock.now().plus(AGAIN);
            self.shared.counters.wal_waiting.set(self.unwritten.records.len());
        }
    }

    /// Writes what waits, if it is time.
    pub(super) fn retry_waiting(&mut self, now: Micros) {
        if self.unwritten.due().is_some_and(|due| due <= now) && !self.write_waiting() {
            self.unwritten.again_at = now.plus(AGAIN);
        }
    }

    fn write_waiting(&mut self) -> bool {
        if self.unwritten.records.is_empty() {
            return true;
        }
        let written = if self.unwritten.records.len() > WAITING_MOST {
            self.wal.compact(self.ledger.open_messages()).is_ok()
        } else {
            let waiting: Vec<_> = self.unwritten.records.iter().cloned().collect();
            self.append(&waiting)
        };
        if written {
            tracing::info!("log: {} records that waited are written", self.unwritten.records.len());
            self.unwritten.records.clear();
        }
        self.shared.counters.wal_waiting.set(self.unwritten.records.len());
        written
    }

    fn append(&mut self, records: &[Record]) -> bool {
        let (ledger, before) = (&self.ledger, self.wal.compactions);
        let owed = || -> Box<dyn Iterator<Item = &OpenMessage>> { Box::new(ledger.open_messages()) };
        let kept = self.wal.append(records, owed);
        if self.wal.compactions != before {
            self.shared.counters.wal_compactions.increment();
        }
        match kept {
            Ok(()) => self.shared.counters.wal_records.increment(),
            Err(e) => {
                self.shared.counters.wal_refused.increment();
                tracing::error!("log: {e}");
                return false;
            }
        }
        true
    }
}
