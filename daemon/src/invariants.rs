//! Checks at run time, where bytes leave and connections end, that the rules hold. Nothing here decides: what the guard
//! (`module/guard.rs`) lets pass is looked at again, by what was told to this process, and each violation is counted and
//! logged with its ids. All counts are 0 in a sound process.

use crate::core_actor::Permit;
use crate::counters::Counter;
use crate::net::OutboundCall;
use onyxrock::interface::{EntryState, ListEntry, Micros, ReceiverId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// New work may reach an endpoint so long after its drain was known.
const DRAIN_GRACE: Micros = Micros(1_000_000);
/// A call that crosses the answer which tells a wait passes.
const WAIT_GRACE: Micros = Micros(100_000);
/// An end may come so long after the message's time.
const END_GRACE: Micros = Micros(300_000);
/// Ends of what an earlier process left are not overdue before.
const RESTART_GRACE: Micros = Micros(1_500_000);
/// Endpoints of which something is known; beyond that the check forgets those that drained long ago: their calls end within
/// the time of a message.
const KNOWN_MOST: usize = 8_192;
const KNOWN_FOR: Micros = Micros(60_000_000);

/// What was told of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// When the list said that nothing more goes there.
    drained: Option<Micros>,
    /// When its wait was told, and until when it holds.
    wait: Option<(Micros, Micros)>,
}

/// Counts of violations, and what they are judged by.
#[derive(Debug, Default)]
pub struct Invariants {
    /// A call began at an endpoint more than a second after its drain was known.
    pub drain: Counter,
    /// A call began at an endpoint more than a second after operators had taken it out.
    pub in_maintenance: Counter,
    /// A call began during a wait that its endpoint had told.
    pub wait: Counter,
    /// A call began after the time in which the guard had allowed it.
    pub late_attempt: Counter,
    /// A call began that its class does not allow to be repeated.
    pub repeat: Counter,
    /// A call began that is not in the log.
    pub unlogged: Counter,
    /// A request was read and its connection closed by us without an answer.
    pub unanswered: Counter,
    /// An end was told more than 0.3 s after the message's time.
    pub late_end: Counter,
    told: RefCell<BTreeMap<ReceiverId, Told>>,
    /// Messages of a process that is gone, whose time was over when they were taken over.
    found_overdue: RefCell<BTreeSet<String>>,
    /// What operators have taken out, and when.
    out: RefCell<BTreeMap<String, Micros>>,
}

impl Invariants {
    /// Each count by its name, as `/counters` shows it.
    pub fn counts(&self) -> [(&'static str, u64); 8] {
        [
            ("violations_drain", self.drain.get()),
            ("violations_maintenance", self.in_maintenance.get()),
            ("violations_wait", self.wait.get()),
            ("violations_late_attempt", self.late_attempt.get()),
            ("violations_repeat", self.repeat.get()),
            ("violations_unlogged", self.unlogged.get()),
            ("violations_unanswered", self.unanswered.get()),
            ("violations_late_end", self.late_end.get()),
        ]
    }

    /// All violations.
    pub fn total(&self) -> u64 {
        self.counts().iter().map(|(_, n)| n).sum()
    }

    /// The list says this of an endpoint.
    pub fn listed(&self, now: Micros, entry: &ListEntry) {
        let mut told = self.told.borrow_mut();
        if entry.state == EntryState::Ready {
            if let Some(told) = told.get_mut(&entry.receiver) {
                told.drained = None;
            }
            return;
        }
        if told.len() >= KNOWN_MOST {
            let lately = |at: Micros| now.since(at) < KNOWN_FOR;
            told.retain(|_, t| t.drained.is_some_and(lately) || t.wait.is_some_and(|(_, until)| until > now));
        }
        told.entry(entry.receiver).or_default().drained.get_or_insert(now);
    }

    /// Operators have taken an endpoint out, or put it back.
    pub fn maintenance(&self, now: Micros, endpoint: &str, out: bool) {
        let mut all = self.out.borrow_mut();
        if out {
            all.entry(endpoint.to_owned()).or_insert(now);
        } else {
            all.remove(endpoint);
        }
    }

    /// An endpoint told a wait.
    pub fn told_wait(&self, now: Micros, to: ReceiverId, until: Micros) {
        if until > now {
            let mut told = self.told.borrow_mut();
            let told = told.entry(to).or_default();
            if told.wait.is_none_or(|(_, known)| until > known) {
                told.wait = Some((now, until));
            }
        }
    }

    /// The first byte of a call is about to leave.
    pub fn check_send(&self, now: Micros, call: &OutboundCall, permit: &Permit) {
        let told = self.told.borrow().get(&call.receiver).copied().unwrap_or_default();
        if told.drained.is_some_and(|at| now.since(at) > DRAIN_GRACE) {
            violated(&self.drain, call, "a call to an endpoint that drains or is gone");
        }
        if self.out.borrow().get(&call.endpoint).is_some_and(|at| now.since(*at) > DRAIN_GRACE) {
            violated(&self.in_maintenance, call, "a call to an endpoint that operators have taken out");
        }
        if told.wait.is_some_and(|(at, until)| now < until && now.since(at) > WAIT_GRACE) {
            violated(&self.wait, call, "a call during a wait");
        }
        if permit.repeat && now > permit.valid_until {
            violated(&self.late_attempt, call, "a call after its time");
        }
        if permit.repeat && call.unsafe_to_repeat {
            violated(&self.repeat, call, "a repeat that may take effect again");
        }
        if !permit.logged && call.probe_path.is_none() {
            violated(&self.unlogged, call, "a call that is not in the log");
        }
    }

    /// A message was taken over from a process that is gone, with its time over: that process told its end, or says in its own
    /// count that it did not.
    pub fn found_overdue(&self, id: &str) {
        self.found_overdue.borrow_mut().insert(id.to_owned());
    }

    /// This process ends, and its platform has not heard of an end by now.
    pub fn left_overdue(&self, now: Micros, id: &str, deadline: Micros) {
        if now > deadline.plus(END_GRACE) {
            self.late_end.increment();
            let late_ms = now.since(deadline).0 / 1000;
            tracing::error!(id, late_ms, "violation: an end is left to the next process too late");
        }
    }

    /// An end of a message was told. `up` is how long this process has run.
    pub fn ended(&self, now: Micros, id: &str, deadline: Micros, up: Micros) {
        if self.found_overdue.borrow_mut().remove(id) {
            return;
        }
        if now > deadline.plus(END_GRACE) && up > RESTART_GRACE {
            self.late_end.increment();
            let late_ms = now.since(deadline).0 / 1000;
            tracing::error!(id, late_ms, "violation: an end was told too late");
        }
    }
}

fn violated(count: &Counter, call: &OutboundCall, what: &str) {
    count.increment();
    tracing::error!(id = call.id, attempt = call.attempt, to = call.receiver.0, "violation: {what}");
}

/// A request that was read and is owed an answer: dropped without one, it counts as a violation.
pub struct PendingResponse<'a> {
    invariants: &'a Invariants,
    owed: bool,
}

impl<'a> PendingResponse<'a> {
    pub fn new(invariants: &'a Invariants) -> PendingResponse<'a> {
        PendingResponse { invariants, owed: true }
    }

    /// It was answered, or its client is not there any more to be answered.
    pub fn resolve(mut self) {
        self.owed = false;
    }
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        if self.owed {
            self.invariants.unanswered.increment();
            tracing::error!("violation: a request was read and not answered");
        }
    }
}

#[cfg(test)]
mod tests;
