//! Recovers the open messages from the records of an earlier process.

use super::record::{AcceptedMessage, AttemptStatus, FinalStatus, Record};
use crate::interface::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A message that has not been closed, and its attempts so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenMessage {
    /// The message as it was accepted.
    pub accepted: AcceptedMessage,
    /// Number of attempts made.
    pub attempts: u32,
    /// Send time and zone of each attempt in flight, by the index of the attempt.
    pub in_flight: BTreeMap<u32, (Micros, String)>,
    /// Send time and zone of the first attempt that may have run.
    pub first_possible_run: Option<(Micros, String)>,
    /// The final status, once it is decided; it still has to be reported to the client.
    pub final_status: Option<FinalStatus>,
}

impl OpenMessage {
    /// Applies a record about this message. Returns false if the record closes the message.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Accepted(_) => {}
            Record::Attempt { attempt, zone, at, .. } => {
                self.attempts += 1;
                self.in_flight.insert(*attempt, (*at, zone.clone()));
            }
            Record::Outcome { attempt, status, .. } => {
                let ended = self.in_flight.remove(attempt);
                self.attempts -=
                    u32::from(ended.is_some() && *status == AttemptStatus::HeldBack).min(self.attempts);
                let may_have_run = ended.filter(|_| *status == AttemptStatus::MayHaveRun);
                // A copy may end before the attempt that was sent ahead of it: the earlier send of both
                // counts.
                self.first_possible_run =
                    self.first_possible_run.take().into_iter().chain(may_have_run).min_by_key(|run| run.0);
            }
            Record::AttemptHistory { attempts, first_possible_run, .. } => {
                (self.attempts, self.first_possible_run) = (*attempts, first_possible_run.clone());
            }
            Record::FinalStatus { status, .. } => self.finish(*status),
            Record::Closed(_) => return false,
        }
        true
    }

    /// Decides the final status. The body is not needed any more: no attempt follows.
    pub fn finish(&mut self, status: FinalStatus) {
        self.final_status = Some(status);
        self.accepted.body = Arc::default();
    }

    /// Bytes of memory that the message takes, rather too many than too few.
    pub fn memory_bytes(&self) -> usize {
        match self.final_status {
            None => self.accepted.memory_bytes(),
            Some(_) => self.accepted.finished_bytes(),
        }
    }

    /// Length of [`OpenMessage::records`] in a log.
    pub fn log_bytes(&self) -> usize {
        let later_bytes: usize = self.later_records().iter().map(Record::frame_bytes).sum();
        self.accepted.frame_bytes() + later_bytes
    }

    /// The records from which a new log can recover this message.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Accepted(self.accepted.clone())];
        records.extend(self.later_records());
        records
    }

    /// Those records but for the first one.
    fn later_records(&self) -> Vec<Record> {
        let number = self.accepted.number;
        let mut records = Vec::new();
        // Attempts in flight have records of their own and are not counted twice.
        let attempts = self.attempts.saturating_sub(self.in_flight.len() as u32);
        if attempts > 0 || self.first_possible_run.is_some() {
            records.push(Record::AttemptHistory {
                number,
                attempts,
                first_possible_run: self.first_possible_run.clone(),
            });
        }
        for (attempt, (at, zone)) in self.in_flight.clone() {
            records.push(Record::Attempt { number, attempt, endpoint: String::new(), zone, at });
        }
        records.extend(self.final_status.map(|status| Record::FinalStatus { number, status }));
        records
    }
}

/// Recovers the open messages from records, one by one in their order.
#[derive(Debug, Default)]
pub struct Recovery(BTreeMap<u64, OpenMessage>);

impl Recovery {
    /// Applies the next record.
    pub fn apply(&mut self, record: Record) {
        let number = record.number();
        if let Record::Accepted(accepted) = record {
            self.0.insert(number, OpenMessage { accepted, ..OpenMessage::default() });
        } else if self.0.get_mut(&number).is_some_and(|message| !message.apply(&record)) {
            self.0.remove(&number);
        }
    }

    /// The messages that are open after these records, by number. An attempt without an outcome was in flight
    /// when the process died: its call may have run, so it counts as one that may have run.
    #[must_use]
    pub fn finish(mut self) -> BTreeMap<u64, OpenMessage> {
        for message in self.0.values_mut() {
            while let Some(attempt) = message.in_flight.keys().next().copied() {
                message.apply(&Record::Outcome {
                    number: message.accepted.number,
                    attempt,
                    status: AttemptStatus::MayHaveRun,
                });
            }
        }
        self.0
    }
}

/// The messages that are open after these records; see [`Recovery::finish`].
pub fn recover(records: Vec<Record>) -> BTreeMap<u64, OpenMessage> {
    let mut recovery = Recovery::default();
    records.into_iter().for_each(|record| recovery.apply(record));
    recovery.finish()
}
