//! Run-time checks that the rules hold, made where bytes leave and connections end. Nothing here decides:
//! what the send guard (`core_actor/guard.rs`) permits is checked again against what this process has been
//! told, and each violation is counted and logged with its ids. All counts are 0 in a correct process.

use crate::core_actor::Permit;
use crate::counters::Counter;
use crate::net::OutboundCall;
use onyxrock::interface::{EntryState, ListEntry, Micros, ReceiverId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// New calls may reach an endpoint for this long after its drain was known.
const DRAIN_GRACE: Micros = Micros(1_000_000);
/// A call that crosses the response with a retry-after is allowed for this long.
const RETRY_AFTER_GRACE: Micros = Micros(100_000);
/// A final status may be reported this long after the message's deadline.
const STATUS_GRACE: Micros = Micros(300_000);
/// Final statuses of recovered messages do not count as overdue in this time after the start.
const RESTART_GRACE: Micros = Micros(1_500_000);
/// Above this number of known endpoints, the check forgets those that have drained for
/// `FORGET_DRAINED_AFTER`: their calls have ended, because they end within the lifetime of a message.
const MAX_KNOWN_ENDPOINTS: usize = 8_192;
/// Age of a drain at which its endpoint may be forgotten.
const FORGET_DRAINED_AFTER: Micros = Micros(60_000_000);

/// What this process has been told about an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointFacts {
    /// When a list first said that no new calls may be sent to the endpoint.
    draining_since: Option<Micros>,
    /// When the endpoint sent its retry-after, and until when that applies.
    retry_after: Option<(Micros, Micros)>,
}

/// Counters of violations, and the facts they are checked against.
#[derive(Debug, Default)]
pub struct Invariants {
    /// A call began more than a second after the drain of its endpoint was known.
    pub call_after_drain: Counter,
    /// A call began more than a second after operators had taken its endpoint out of use.
    pub call_in_maintenance: Counter,
    /// A call began during a retry-after of its endpoint.
    pub call_in_retry_after: Counter,
    /// A repeated call began after its permit had expired.
    pub expired_repeat: Counter,
    /// A call began that repeats a message although its class does not allow that.
    pub forbidden_repeat: Counter,
    /// A call began that is not in the log.
    pub unlogged_call: Counter,
    /// A request was read, and this process closed its connection without an answer.
    pub unanswered_request: Counter,
    /// A final status was reported more than 0.3 s after the message's deadline.
    pub late_status: Counter,
    /// What each endpoint or its list has said.
    endpoint_facts: RefCell<BTreeMap<ReceiverId, EndpointFacts>>,
    /// Ids of messages that had expired when they were taken over from a process that is gone.
    expired_at_takeover: RefCell<BTreeSet<String>>,
    /// Endpoints that operators have taken out of use, and when.
    in_maintenance_since: RefCell<BTreeMap<String, Micros>>,
}

impl Invariants {
    /// Each counter under its name in `/counters`.
    pub fn counts(&self) -> [(&'static str, u64); 8] {
        [
            ("violations_drain", self.call_after_drain.get()),
            ("violations_maintenance", self.call_in_maintenance.get()),
            ("violations_wait", self.call_in_retry_after.get()),
            ("violations_late_attempt", self.expired_repeat.get()),
            ("violations_repeat", self.forbidden_repeat.get()),
            ("violations_unlogged", self.unlogged_call.get()),
            ("violations_unanswered", self.unanswered_request.get()),
            ("violations_late_end", self.late_status.get()),
        ]
    }

    /// The total number of violations.
    pub fn total(&self) -> u64 {
        self.counts().iter().map(|(_, n)| n).sum()
    }

    /// Notes an entry of the endpoint list.
    pub fn note_entry(&self, now: Micros, entry: &ListEntry) {
        let mut facts = self.endpoint_facts.borrow_mut();
        if entry.state == EntryState::Ready {
            if let Some(facts) = facts.get_mut(&entry.receiver) {
                facts.draining_since = None;
            }
            return;
        }
        if facts.len() >= MAX_KNOWN_ENDPOINTS {
            let lately = |at: Micros| now.since(at) < FORGET_DRAINED_AFTER;
            facts.retain(|_, facts| {
                facts.draining_since.is_some_and(lately)
                    || facts.retry_after.is_some_and(|(_, until)| until > now)
            });
        }
        facts.entry(entry.receiver).or_default().draining_since.get_or_insert(now);
    }

    /// Notes that operators have taken an endpoint out of use, or put it back.
    pub fn note_maintenance(&self, now: Micros, endpoint: &str, in_maintenance: bool) {
        let mut endpoints = self.in_maintenance_since.borrow_mut();
        if in_maintenance {
            endpoints.entry(endpoint.to_owned()).or_insert(now);
        } else {
            endpoints.remove(endpoint);
        }
    }

    /// Notes a retry-after of an endpoint.
    pub fn note_retry_after(&self, now: Micros, receiver: ReceiverId, until: Micros) {
        if until > now {
            let mut facts = self.endpoint_facts.borrow_mut();
            let facts = facts.entry(receiver).or_default();
            if facts.retry_after.is_none_or(|(_, known_until)| until > known_until) {
                facts.retry_after = Some((now, until));
            }
        }
    }

    /// Checks a call whose first byte is about to be written.
    pub fn check_send(&self, now: Micros, call: &OutboundCall, permit: &Permit) {
        let facts = self.endpoint_facts.borrow().get(&call.receiver).copied().unwrap_or_default();
        if facts.draining_since.is_some_and(|at| now.since(at) > DRAIN_GRACE) {
            violated(&self.call_after_drain, call, "a call was sent to an endpoint that drains or is gone");
        }
        if self
            .in_maintenance_since
            .borrow()
            .get(&call.endpoint)
            .is_some_and(|at| now.since(*at) > DRAIN_GRACE)
        {
            violated(
                &self.call_in_maintenance,
                call,
                "a call was sent to an endpoint that operators have taken out of use",
            );
        }
        if facts.retry_after.is_some_and(|(at, until)| now < until && now.since(at) > RETRY_AFTER_GRACE) {
            violated(&self.call_in_retry_after, call, "a call was sent during a retry-after of its endpoint");
        }
        if permit.repeat && now > permit.valid_until {
            violated(&self.expired_repeat, call, "a repeated call was sent after its permit had expired");
        }
        if permit.repeat && call.unsafe_to_repeat {
            violated(&self.forbidden_repeat, call, "a repeated call was sent that may take effect again");
        }
        if !permit.logged && call.probe_path.is_none() {
            violated(&self.unlogged_call, call, "a call was sent that is not in the log");
        }
    }

    /// Notes a message that had expired when it was taken over. The process that left it reported its status,
    /// or counted itself that it did not.
    pub fn note_expired_at_takeover(&self, id: &str) {
        self.expired_at_takeover.borrow_mut().insert(id.to_owned());
    }

    /// Checks a message that is left to the next process: by now its status must not be overdue.
    pub fn check_left_message(&self, now: Micros, id: &str, deadline: Micros) {
        if now > deadline.plus(STATUS_GRACE) {
            self.late_status.increment();
            let late_ms = now.since(deadline).0 / 1000;
            tracing::error!(
                id,
                late_ms,
                "violation: a message is left to the next process after its status is overdue"
            );
        }
    }

    /// Checks the time of a reported status. `uptime` is how long this process has run.
    pub fn check_report_time(&self, now: Micros, id: &str, deadline: Micros, uptime: Micros) {
        if self.expired_at_takeover.borrow_mut().remove(id) {
            return;
        }
        if now > deadline.plus(STATUS_GRACE) && uptime > RESTART_GRACE {
            self.late_status.increment();
            let late_ms = now.since(deadline).0 / 1000;
            tracing::error!(id, late_ms, "violation: a final status was reported too late");
        }
    }
}

/// Counts and logs a violation.
fn violated(counter: &Counter, call: &OutboundCall, description: &str) {
    counter.increment();
    tracing::error!(
        id = call.request_id,
        attempt = call.attempt,
        to = call.receiver.0,
        "violation: {description}"
    );
}

/// A request that was read and needs an answer. Dropping this unresolved counts as a violation.
pub struct PendingResponse<'a> {
    invariants: &'a Invariants,
    pending: bool,
}

impl<'a> PendingResponse<'a> {
    /// For a request that has been read.
    pub fn new(invariants: &'a Invariants) -> PendingResponse<'a> {
        PendingResponse { invariants, pending: true }
    }

    /// Notes that the request was answered, or that its client is no longer there.
    pub fn resolve(mut self) {
        self.pending = false;
    }
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        if self.pending {
            self.invariants.unanswered_request.increment();
            tracing::error!("violation: a request was read and its connection closed without an answer");
        }
    }
}

#[cfg(test)]
mod tests;
