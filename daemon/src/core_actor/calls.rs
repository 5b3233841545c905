//! Calls on their way to the actors of endpoints, what came of them, and ends on their way to the fronts.

use super::*;

impl CoreActor {
    pub(super) fn call(&mut self, now: Micros, n: u64, attempt: u32, to: ReceiverId, patience: Micros) {
        let Some(o) = self.ledger.get(n) else { return };
        let t = &o.accepted;
        if o.attempts > 0 {
            self.shared.counters.retried.increment();
        }
        tracing::debug!(id = t.request_id, attempt, to = to.0, earlier = o.attempts, "attempt decided");
        let called_off = self.ledger.can_cancel_attempts().then(|| {
            let (wanted, called_off) = bounded(1);
            self.out.insert((n, attempt), wanted);
            called_off
        });
        self.hand(OutboundCall {
            cancellation: called_off,
            unsafe_to_repeat: self.ledger.unsafe_to_repeat(n),
            number: n,
            attempt,
            receiver: to,
            endpoint: self.endpoint_name(to),
            id: t.request_id.clone(),
            idempotency_key: t.idempotency_key.clone(),
            frontend_note: t.frontend_note.clone(),
            body: t.body.clone(),
            started: now,
            timeout: patience,
            probe_path: None,
        });
    }

    fn endpoint_name(&self, to: ReceiverId) -> String {
        self.directory.active_endpoint(to).map(|peer| peer.name.clone()).unwrap_or_default()
    }

    /// The call of a probe: as any other, but nothing of it is logged or owed.
    pub(super) fn probe(&mut self, now: Micros, n: u64, to: ReceiverId, patience: Micros) {
        let Some(probing) = &self.probing else { return };
        self.hand(OutboundCall {
            unsafe_to_repeat: false,
            number: n,
            attempt: 0,
            receiver: to,
            endpoint: self.endpoint_name(to),
            id: String::new(),
            idempotency_key: String::new(),
            frontend_note: String::new(),
            body: Vec::new(),
            started: now,
            timeout: patience.min(probing.probe_timeout()),
            probe_path: Some(probing.probe_path.clone()),
            cancellation: None,
        });
    }

    /// Hands a call to its endpoint's actor. The module is owed an outcome wherever it sends: to an endpoint that is
    /// not here any more, to one whose mailbox is full, to a gateway that knows no probes.
    pub(super) fn hand(&mut self, call: OutboundCall) {
        let (now, moot) = (call.started, call.outcome(call.started, Verdict::Moot));
        let odd = call.probe_path.is_some() && self.directory.is_fixed(call.receiver);
        self.directory.call_started(call.receiver);
        let mailbox = self.mailboxes.get(&call.receiver).filter(|_| !odd);
        if mailbox.is_none_or(|m| m.try_send(ToEndpoint::Call(Box::new(call))).is_err()) {
            self.answered(now, &moot);
        }
    }

    pub(super) fn tell(&mut self, n: u64, end: FinalStatus) {
        let Some(o) = self.ledger.get(n) else { return };
        match end {
            FinalStatus::Failed => self.shared.counters.failed.increment(),
            FinalStatus::Returned(_) => self.shared.counters.returned.increment(),
            FinalStatus::Delivered => {}
        }
        let t = &o.accepted;
        let (id, attempts) = (&t.request_id, o.attempts);
        tracing::debug!(
            id,
            attempts,
            may_have_run = o.first_possible_run.is_some(),
            "request ended: {end:?}"
        );
        let ending = StatusNotice {
            number: n,
            id: t.request_id.clone(),
            frontend_note: t.frontend_note.clone(),
            deadline: t.deadline,
            status: end,
        };
        self.pass(ending);
    }

    pub(super) fn pass(&mut self, ending: StatusNotice) -> bool {
        let front = self.ledger.get(ending.number).map_or(0, |o| o.accepted.frontend);
        match self.fronts.get(&front).map(|f| f.try_send(ending)) {
            Some(Err(TrySendError::Full(ending))) => {
                self.waiting.push_front(ending);
                false
            }
            _ => true,
        }
    }

    pub(super) fn answered(&mut self, now: Micros, a: &AttemptOutcome) {
        if let Some(p) = &mut self.probing {
            p.probe_ended(a.number);
        }
        self.out.remove(&(a.number, a.attempt));
        let c = &self.shared.counters;
        if a.verdict == Verdict::Stale {
            c.stale.increment();
        }
        match a.verdict {
            Verdict::Delivered => &c.delivered,
            Verdict::Error => &c.error,
            Verdict::Full(_) => &c.full,
            Verdict::TimedOut => &c.timed_out,
            Verdict::ConnectFailed | Verdict::ConnectionLimit => &c.connect_failed,
            Verdict::Reset | Verdict::Stale => &c.reset,
            Verdict::Cancelled => &c.cancelled,
            Verdict::Moot => &c.moot,
            Verdict::HeldBack => &c.held_back,
        }
        .increment();
        if a.wait_until > Micros(0) {
            c.waits_told.increment();
        }
        if let Some(o) = self.ledger.get(a.number) {
            let (id, attempt, elapsed_ms) = (&o.accepted.request_id, a.attempt, a.elapsed.0 / 1000);
            tracing::debug!(id, attempt, to = a.receiver.0, elapsed_ms, "attempt ended: {:?}", a.verdict);
        }
        self.directory.on_retry_after(a.receiver, a.wait_until);
        self.shared.invariants.told_wait(now, a.receiver, a.wait_until);
        self.share_wait(now, a.receiver, a.wait_until);
        self.directory.call_ended(a.receiver);
        let record = self.ledger.end_attempt(now, a);
        self.keep_later(record);
    }
}
