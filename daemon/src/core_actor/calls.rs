//! Sends calls to the endpoint actors, handles their outcomes, and sends final statuses to the frontends.

use super::*;

impl CoreActor {
    /// Sends the call of an attempt.
    pub(super) fn send_call(
        &mut self, now: Micros, number: u64, attempt: u32, receiver: ReceiverId, timeout: Micros,
    ) {
        let Some(open) = self.ledger.get(number) else { return };
        let message = &open.accepted;
        if open.attempts > 0 {
            self.shared.counters.retried.increment();
        }
        tracing::debug!(
            id = message.request_id,
            attempt,
            to = receiver.0,
            earlier = open.attempts,
            "attempt queued"
        );
        let cancelled = self.ledger.can_cancel_attempts().then(|| {
            let (handle, cancelled) = bounded(1);
            self.cancel_handles.insert((number, attempt), handle);
            cancelled
        });
        self.queue_call(OutboundCall {
            cancellation: cancelled,
            unsafe_to_repeat: self.ledger.unsafe_to_repeat(number),
            number,
            attempt,
            receiver,
            endpoint: self.endpoint_name(receiver),
            request_id: message.request_id.clone(),
            idempotency_key: message.idempotency_key.clone(),
            frontend_note: message.frontend_note.clone(),
            body: message.body.clone(),
            started: now,
            timeout,
            probe_path: None,
        });
    }

    fn endpoint_name(&self, receiver: ReceiverId) -> String {
        self.directory.active_endpoint(receiver).map(|endpoint| endpoint.name.clone()).unwrap_or_default()
    }

    /// Sends a probe: a call like any other, but without a log record and without a message.
    pub(super) fn send_probe(&mut self, now: Micros, number: u64, receiver: ReceiverId, timeout: Micros) {
        let Some(duty_runner) = &self.duty_runner else { return };
        self.queue_call(OutboundCall {
            unsafe_to_repeat: false,
            number,
            attempt: 0,
            receiver,
            endpoint: self.endpoint_name(receiver),
            request_id: String::new(),
            idempotency_key: String::new(),
            frontend_note: String::new(),
            body: Arc::default(),
            started: now,
            timeout: timeout.min(duty_runner.probe_timeout()),
            probe_path: Some(duty_runner.probe_path.clone()),
            cancellation: None,
        });
    }

    /// Queues a call at its endpoint's actor. Where that fails the outcome is reported at once, since the
    /// ledger expects one for each call: the endpoint may be gone, its mailbox full, or it is a gateway,
    /// which has no probes.
    pub(super) fn queue_call(&mut self, call: OutboundCall) {
        let (now, not_sent) = (call.started, call.outcome(call.started, Verdict::Moot));
        let unsupported_probe = call.probe_path.is_some() && self.directory.is_fixed(call.receiver);
        self.directory.call_started(call.receiver);
        let mailbox = self.mailboxes.get(&call.receiver).filter(|_| !unsupported_probe);
        if mailbox.is_none_or(|mailbox| mailbox.try_send(ToEndpoint::Call(Box::new(call))).is_err()) {
            self.on_attempt_ended(now, &not_sent);
        }
    }

    /// Sends the final status of a message to its frontend.
    pub(super) fn report_status(&mut self, number: u64, status: FinalStatus) {
        let Some(open) = self.ledger.get(number) else { return };
        match status {
            FinalStatus::Failed => self.shared.counters.failed.increment(),
            FinalStatus::Returned(_) => self.shared.counters.returned.increment(),
            FinalStatus::Delivered => {}
        }
        let message = &open.accepted;
        let (id, attempts) = (&message.request_id, open.attempts);
        tracing::debug!(
            id,
            attempts,
            may_have_run = open.first_possible_run.is_some(),
            "message ended: {status:?}"
        );
        let notice = StatusNotice {
            number,
            request_id: message.request_id.clone(),
            frontend_note: message.frontend_note.clone(),
            deadline: message.deadline,
            status,
        };
        self.deliver_notice(notice);
    }

    /// Queues a notice at its frontend. Returns false, and keeps the notice, if the mailbox is full.
    pub(super) fn deliver_notice(&mut self, notice: StatusNotice) -> bool {
        let frontend = self.ledger.get(notice.number).map_or(0, |open| open.accepted.frontend);
        match self.frontends.get(&frontend).map(|mailbox| mailbox.try_send(notice)) {
            Some(Err(TrySendError::Full(notice))) => {
                self.undelivered_notices.push_front(notice);
                false
            }
            _ => true,
        }
    }

    /// Records the outcome of an attempt.
    pub(super) fn on_attempt_ended(&mut self, now: Micros, outcome: &AttemptOutcome) {
        if let Some(duty_runner) = &mut self.duty_runner {
            duty_runner.probe_ended(outcome.number);
        }
        self.cancel_handles.remove(&(outcome.number, outcome.attempt));
        let counters = &self.shared.counters;
        if outcome.verdict == Verdict::Stale {
            counters.stale.increment();
        }
        match outcome.verdict {
            Verdict::Delivered => &counters.delivered,
            Verdict::Error => &counters.error,
            Verdict::Full(_) => &counters.full,
            Verdict::TimedOut => &counters.timed_out,
            Verdict::ConnectFailed | Verdict::ConnectionLimit => &counters.connect_failed,
            Verdict::Reset | Verdict::Stale => &counters.reset,
            Verdict::Cancelled => &counters.cancelled,
            Verdict::Moot => &counters.moot,
            Verdict::HeldBack => &counters.held_back,
        }
        .increment();
        if outcome.wait_until > Micros(0) {
            counters.waits_told.increment();
        }
        if let Some(open) = self.ledger.get(outcome.number) {
            let (id, attempt, elapsed_ms) =
                (&open.accepted.request_id, outcome.attempt, outcome.elapsed.0 / 1000);
            tracing::debug!(
                id,
                attempt,
                to = outcome.receiver.0,
                elapsed_ms,
                "attempt ended: {:?}",
                outcome.verdict
            );
        }
        self.directory.on_retry_after(outcome.receiver, outcome.wait_until);
        self.shared.invariants.note_retry_after(now, outcome.receiver, outcome.wait_until);
        self.share_retry_after(now, outcome.receiver, outcome.wait_until);
        self.directory.call_ended(outcome.receiver);
        let record = self.ledger.end_attempt(now, outcome);
        self.log_or_queue(record);
    }
}
