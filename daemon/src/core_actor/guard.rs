//! The one guard: whatever may send a call asks here right before its first byte, whoever decided on it and however long
//! ago. It says yes with a [`Permit`], which the sender has to show, or how the call ends that must not go.

use super::CoreActor;
use crate::counters::Counter;
use onyxrock::core::AttemptDenied;
use onyxrock::interface::{Micros, ReceiverId, SendRecheck, Verdict};

/// What the guard allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The epoch that a probe carries; zero for a message.
    pub epoch: u64,
    /// It holds until then.
    pub valid_until: Micros,
    /// An earlier attempt of the message may have run.
    pub repeat: bool,
    /// The attempt is in the log.
    pub logged: bool,
}

/// What the guard says of a call whose first byte is about to leave, or of which some has been written.
pub type PermitResult = Result<Permit, Verdict>;

/// A call that asks.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    pub number: u64,
    pub attempt: u32,
    pub receiver: ReceiverId,
    /// Some of it has been written; the rest waited.
    pub partly_written: bool,
}

impl CoreActor {
    /// The last look before a call is written: whatever was asked when it was queued, for it may have waited for a
    /// connection meanwhile. One that has begun asks for what runs against its last byte alone.
    pub(super) fn writing(&mut self, now: Micros, asks: PermitRequest) -> PermitResult {
        let counters = &self.shared.counters;
        let held_back = |why: &Counter| {
            why.increment();
            Err(Verdict::HeldBack)
        };
        let Some(peer) = self.directory.active_endpoint(asks.receiver) else { return Err(Verdict::Moot) };
        if self.hold && !asks.partly_written {
            return held_back(&counters.held_back_ending);
        }
        // The list that told of the drain may have taken its time: there is no grace left to use up.
        if peer.draining_since.is_some() && !asks.partly_written {
            let in_maintenance = self.directory.maintenance().contains(&peer.name);
            let why =
                if in_maintenance { &counters.held_back_maintenance } else { &counters.held_back_drain };
            return held_back(why);
        }
        match self.ledger.recheck_send(now, asks.number, asks.attempt, asks.receiver) {
            SendRecheck::WithinRetryAfter => return held_back(&counters.held_back_wait),
            SendRecheck::NoLongerAllowed => return held_back(&counters.held_back_late),
            SendRecheck::MessageEnded => return Err(Verdict::Moot),
            SendRecheck::Allowed => {}
        }
        let valid_until = self.ledger.send_deadline(asks.number, asks.attempt).unwrap_or(Micros(u64::MAX));
        if asks.partly_written {
            return Ok(Permit { epoch: 0, valid_until, repeat: false, logged: true });
        }
        if self.ledger.probe_is_open(asks.number) {
            return self.probe_may_go(now, asks.number, valid_until);
        }
        self.attempt_may_go(now, asks, valid_until)
    }

    fn probe_may_go(&mut self, now: Micros, n: u64, valid_until: Micros) -> PermitResult {
        let Some(probing) = &mut self.probing else { return Err(Verdict::Moot) };
        let may = probing.begin_probe(now, n);
        let counters = &self.shared.counters;
        if may.is_some() { &counters.probes } else { &counters.probes_refused }.increment();
        let epoch = may.ok_or(Verdict::Moot)?;
        Ok(Permit { epoch, valid_until, repeat: false, logged: false })
    }

    /// An attempt that is not in the log could be made again after a restart.
    fn attempt_may_go(&mut self, now: Micros, asks: PermitRequest, valid_until: Micros) -> PermitResult {
        let Some(peer) = self.directory.active_endpoint(asks.receiver) else { return Err(Verdict::Moot) };
        let repeat = self
            .ledger
            .get(asks.number)
            .is_some_and(|o| o.first_possible_run.is_some() || !o.in_flight.is_empty());
        let record = match self.ledger.begin_attempt(asks.number, asks.attempt, &peer.name, &peer.zone, now) {
            Ok(record) => record,
            Err(AttemptDenied::NotOpen) => return Err(Verdict::Moot),
            Err(AttemptDenied::RepeatForbidden) => {
                self.shared.counters.held_back_repeat.increment();
                tracing::error!(
                    n = asks.number,
                    attempt = asks.attempt,
                    "a repeat that its class does not allow"
                );
                return Err(Verdict::HeldBack);
            }
        };
        if !self.keep_now(std::slice::from_ref(&record)) {
            self.ledger.undo_attempt(asks.number, asks.attempt);
            return Err(Verdict::Moot);
        }
        Ok(Permit { epoch: 0, valid_until, repeat, logged: true })
    }
}
