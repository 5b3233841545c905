//! From the records of an earlier process to what is still owed.

use super::record::{CallEnd, End, Record, Taken};
use crate::interface::Micros;
use std::collections::BTreeMap;

/// A request that is not over, and what was done with it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owed {
    /// As it was taken on.
    pub taken: Taken,
    /// Attempts made.
    pub attempts: u32,
    /// The attempts that are out, by their numbers: when, in which zone.
    pub out: BTreeMap<u32, (Micros, String)>,
    /// The first attempt that may have run.
    pub maybe_ran: Option<(Micros, String)>,
    /// Given up by the module; its client is still to be told.
    pub given: Option<End>,
}

impl Owed {
    /// Takes note of a record about it. False once nothing is owed.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Taken(_) => {}
            Record::Attempt { attempt, zone, at, .. } => {
                self.attempts += 1;
                self.out.insert(*attempt, (*at, zone.clone()));
            }
            Record::Outcome { attempt, end, .. } => {
                let out = self.out.remove(attempt);
                self.attempts -= u32::from(out.is_some() && *end == CallEnd::HeldBack).min(self.attempts);
                let out = out.filter(|_| *end == CallEnd::MayHaveRun);
                // A copy may end before the attempt that went ahead of it: the earlier of both counts.
                self.maybe_ran = self.maybe_ran.take().into_iter().chain(out).min_by_key(|m| m.0);
            }
            Record::Past { attempts, maybe_ran, .. } => {
                (self.attempts, self.maybe_ran) = (*attempts, maybe_ran.clone());
            }
            Record::Given { end, .. } => self.given = Some(*end),
            Record::Over(_) => return false,
        }
        true
    }

    /// The records that say all this in a new log.
    pub fn records(&self) -> Vec<Record> {
        let n = self.taken.n;
        let mut all = vec![Record::Taken(self.taken.clone())];
        // The attempts that are out are written as such, not counted twice.
        let attempts = self.attempts.saturating_sub(self.out.len() as u32);
        if attempts > 0 || self.maybe_ran.is_some() {
            all.push(Record::Past { n, attempts, maybe_ran: self.maybe_ran.clone() });
        }
        for (attempt, (at, zone)) in self.out.clone() {
            all.push(Record::Attempt { n, attempt, endpoint: String::new(), zone, at });
        }
        all.extend(self.given.map(|end| Record::Given { n, end }));
        all
    }
}

/// What is still owed after these records. An attempt without an outcome was out when the process died: its
/// call may have run, so it counts as one that did.
pub fn recover(records: Vec<Record>) -> BTreeMap<u64, Owed> {
    let mut owed: BTreeMap<u64, Owed> = BTreeMap::new();
    for record in records {
        let n = record.n();
        if let Record::Taken(taken) = record {
            owed.insert(n, Owed { taken, ..Owed::default() });
        } else if owed.get_mut(&n).is_some_and(|o| !o.apply(&record)) {
            owed.remove(&n);
        }
    }
    for o in owed.values_mut() {
        while let Some(attempt) = o.out.keys().next().copied() {
            o.apply(&Record::Outcome { n: o.taken.n, attempt, end: CallEnd::MayHaveRun });
        }
    }
    owed
}
