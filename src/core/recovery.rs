//! From the records of an earlier process to what is still owed.

use super::record::{AcceptedMessage, AttemptStatus, FinalStatus, Record};
use crate::interface::Micros;
use std::collections::BTreeMap;

/// A request that is not over, and what was done with it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenMessage {
    /// As it was taken on.
    pub accepted: AcceptedMessage,
    /// Attempts made.
    pub attempts: u32,
    /// The attempts that are out, by their numbers: when, in which zone.
    pub in_flight: BTreeMap<u32, (Micros, String)>,
    /// The first attempt that may have run.
    pub first_possible_run: Option<(Micros, String)>,
    /// Given up by the module; its client is still to be told.
    pub final_status: Option<FinalStatus>,
}

impl OpenMessage {
    /// Takes note of a record about it. False once nothing is owed.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Accepted(_) => {}
            Record::Attempt { attempt, zone, at, .. } => {
                self.attempts += 1;
                self.in_flight.insert(*attempt, (*at, zone.clone()));
            }
            Record::Outcome { attempt, status: end, .. } => {
                let out = self.in_flight.remove(attempt);
                self.attempts -=
                    u32::from(out.is_some() && *end == AttemptStatus::HeldBack).min(self.attempts);
                let out = out.filter(|_| *end == AttemptStatus::MayHaveRun);
                // A copy may end before the attempt that went ahead of it: the earlier of both counts.
                self.first_possible_run =
                    self.first_possible_run.take().into_iter().chain(out).min_by_key(|m| m.0);
            }
            Record::AttemptHistory { attempts, first_possible_run: maybe_ran, .. } => {
                (self.attempts, self.first_possible_run) = (*attempts, maybe_ran.clone());
            }
            Record::FinalStatus { status: end, .. } => self.final_status = Some(*end),
            Record::Closed(_) => return false,
        }
        true
    }

    /// The records that say all this in a new log.
    pub fn records(&self) -> Vec<Record> {
        let n = self.accepted.number;
        let mut all = vec![Record::Accepted(self.accepted.clone())];
        // The attempts that are out are written as such, not counted twice.
        let attempts = self.attempts.saturating_sub(self.in_flight.len() as u32);
        if attempts > 0 || self.first_possible_run.is_some() {
            all.push(Record::AttemptHistory {
                number: n,
                attempts,
                first_possible_run: self.first_possible_run.clone(),
            });
        }
        for (attempt, (at, zone)) in self.in_flight.clone() {
            all.push(Record::Attempt { number: n, attempt, endpoint: String::new(), zone, at });
        }
        all.extend(self.final_status.map(|end| Record::FinalStatus { number: n, status: end }));
        all
    }
}

/// What is still owed after these records. An attempt without an outcome was out when the process died: its
/// call may have run, so it counts as one that did.
pub fn recover(records: Vec<Record>) -> BTreeMap<u64, OpenMessage> {
    let mut owed: BTreeMap<u64, OpenMessage> = BTreeMap::new();
    for record in records {
        let n = record.number();
        if let Record::Accepted(taken) = record {
            owed.insert(n, OpenMessage { accepted: taken, ..OpenMessage::default() });
        } else if owed.get_mut(&n).is_some_and(|o| !o.apply(&record)) {
            owed.remove(&n);
        }
    }
    for o in owed.values_mut() {
        while let Some(attempt) = o.in_flight.keys().next().copied() {
            o.apply(&Record::Outcome {
                number: o.accepted.number,
                attempt,
                status: AttemptStatus::MayHaveRun,
            });
        }
    }
    owed
}
