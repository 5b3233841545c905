//! The send guard: every call needs a [`Permit`] from here right before its first byte is written, however
//! long ago it was decided on. A call that must not be sent gets the verdict to end with instead.

use super::CoreActor;
use crate::counters::Counter;
use crate::wal::WritePurpose;
use onyxrock::core::AttemptDenied;
use onyxrock::interface::{Micros, ReceiverId, SendRecheck, Verdict};

/// Permission to send a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The lease epoch that a probe carries; 0 for a message.
    pub epoch: u64,
    /// The permit expires at this time.
    pub valid_until: Micros,
    /// An earlier attempt of the message may have run.
    pub repeat: bool,
    /// The attempt is in the log.
    pub logged: bool,
}

/// The decision on a call whose first byte is about to be written, or which has been written in part.
pub type PermitResult = Result<Permit, Verdict>;

/// A call that asks for a permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// The number of the message or probe.
    pub number: u64,
    /// The attempt of that message.
    pub attempt: u32,
    /// The endpoint that is called.
    pub receiver: ReceiverId,
    /// Part of the call has been written, and the rest had to wait for the socket.
    pub partly_written: bool,
}

impl CoreActor {
    /// Rechecks a call right before it is written, because it may have waited for a connection since it was
    /// queued. A call that has been written in part is only checked for what forbids its last byte.
    pub(super) fn permit_call(&mut self, now: Micros, request: PermitRequest) -> PermitResult {
        let counters = &self.shared.counters;
        let held_back = |counter: &Counter| {
            counter.increment();
            Err(Verdict::HeldBack)
        };
        let Some(endpoint) = self.directory.active_endpoint(request.receiver) else {
            return Err(Verdict::Moot);
        };
        if self.sending_stopped && !request.partly_written {
            return held_back(&counters.held_back_ending);
        }
        // The list with the drain may have arrived late, so the grace for calls after a drain counts as used
        // up.
        if endpoint.draining_since.is_some() && !request.partly_written {
            let in_maintenance = self.directory.maintenance().contains(&endpoint.name);
            let counter =
                if in_maintenance { &counters.held_back_maintenance } else { &counters.held_back_drain };
            return held_back(counter);
        }
        match self.ledger.recheck_send(now, request.number, request.attempt, request.receiver) {
            SendRecheck::WithinRetryAfter => return held_back(&counters.held_back_wait),
            SendRecheck::NoLongerAllowed => return held_back(&counters.held_back_late),
            SendRecheck::MessageEnded => return Err(Verdict::Moot),
            SendRecheck::Allowed => {}
        }
        let valid_until =
            self.ledger.send_deadline(request.number, request.attempt).unwrap_or(Micros(u64::MAX));
        if request.partly_written {
            return Ok(Permit { epoch: 0, valid_until, repeat: false, logged: true });
        }
        if self.ledger.probe_is_open(request.number) {
            return self.permit_probe(now, request.number, valid_until);
        }
        self.permit_attempt(now, request, valid_until)
    }

    /// Permits a probe if this member holds the lease for it.
    fn permit_probe(&mut self, now: Micros, number: u64, valid_until: Micros) -> PermitResult {
        let Some(duty_runner) = &mut self.duty_runner else { return Err(Verdict::Moot) };
        let epoch_if_leased = duty_runner.begin_probe(now, number);
        let counters = &self.shared.counters;
        if epoch_if_leased.is_some() { &counters.probes } else { &counters.probes_refused }.increment();
        let epoch = epoch_if_leased.ok_or(Verdict::Moot)?;
        Ok(Permit { epoch, valid_until, repeat: false, logged: false })
    }

    /// Logs the attempt first: an attempt that is not in the log could be repeated after a restart.
    fn permit_attempt(&mut self, now: Micros, request: PermitRequest, valid_until: Micros) -> PermitResult {
        let Some(endpoint) = self.directory.active_endpoint(request.receiver) else {
            return Err(Verdict::Moot);
        };
        let repeat = self
            .ledger
            .get(request.number)
            .is_some_and(|open| open.first_possible_run.is_some() || !open.in_flight.is_empty());
        let record = match self.ledger.begin_attempt(
            request.number,
            request.attempt,
            &endpoint.name,
            &endpoint.zone,
            now,
        ) {
            Ok(record) => record,
            Err(AttemptDenied::NotOpen) => return Err(Verdict::Moot),
            Err(AttemptDenied::RepeatForbidden) => {
                self.shared.counters.held_back_repeat.increment();
                tracing::error!(
                    n = request.number,
                    attempt = request.attempt,
                    "attempt refused: its class does not allow a repeat; the message is held back"
                );
                return Err(Verdict::HeldBack);
            }
        };
        if !self.log_now(std::slice::from_ref(&record), WritePurpose::FollowUp) {
            self.ledger.undo_attempt(request.number, request.attempt);
            return Err(Verdict::Moot);
        }
        Ok(Permit { epoch: 0, valid_until, repeat, logged: true })
    }
}
