//! What the policy learns from outcomes, from the peer hints of other senders and from the passage of time:
//! pace, health and the state of connection tables.

use super::*;

impl PolicyEngine {
    /// Applies a peer hint. A receiver that another sender found recovered is taken to have come back at this
    /// moment and so to be no warmer than that; a late hint only makes this sender slower.
    pub(super) fn on_peer_hint(&mut self, now: Micros, data: &[u8]) {
        let Some((id, hint)) = PeerHint::decode(data) else { return };
        self.record_retry_after(
            now,
            id,
            if let PeerHint::RetryAfter(wait) = hint { wait } else { Micros(0) },
        );
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&receiver.destination) else { return };
        let out_of_order = receiver.out_of_order(destination);
        let pace = if receiver.separate_route { &mut receiver.pace } else { &mut destination.pace };
        match hint {
            PeerHint::Refused => pace.note_refusal(now, self.tuning),
            PeerHint::Recovered if out_of_order => {
                pace.unconfirmed = Unconfirmed { from: now, phase: self.rng.next_unit(), ..pace.unconfirmed };
                receiver.health = Health::Recovering { since: now };
                self.schedule.add(receiver.destination, now);
            }
            PeerHint::RetryAfter(wait) => {
                pace.note_refusal(now, self.tuning);
                if wait >= OUTAGE_RETRY_AFTER
                    && matches!(receiver.health, Health::Healthy | Health::Suspect { .. })
                {
                    let phase = self.rng.next_unit() + 0.5;
                    pace.unconfirmed = Unconfirmed {
                        from: now.plus(wait),
                        phase,
                        last_confirmed_send: receiver.last_confirmed_send,
                    };
                    receiver.mark_unhealthy(now, wait);
                    destination.last_unhealthy_at = now;
                }
            }
            PeerHint::Recovered => {}
        }
    }

    /// Applies what changes at a destination with time alone: its pace, and the health of receivers whose
    /// calls hang.
    pub(super) fn update_destination(&mut self, now: Micros, id: DestinationId) {
        let tuning = self.tuning;
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        let offered = destination.offered_rate.get(now, tuning.offered_memory);
        destination.pace.update(now, offered, tuning);
        for receiver_id in &destination.receivers {
            let Some(receiver) = self.receivers.get_mut(receiver_id) else { continue };
            receiver.pace.update(now, offered, tuning);
            if receiver.hung_at() <= now
                && matches!(receiver.health, Health::Healthy | Health::Suspect { .. })
            {
                let unconfirmed = Unconfirmed {
                    from: now,
                    phase: self.rng.next_unit(),
                    last_confirmed_send: receiver.last_confirmed_send,
                };
                *(if receiver.separate_route {
                    &mut receiver.pace.unconfirmed
                } else {
                    &mut destination.pace.unconfirmed
                }) = unconfirmed;
                receiver.mark_unhealthy(now, FIRST_TRIAL_DELAY);
                destination.last_unhealthy_at = now;
            }
        }
    }

    /// Applies the outcome of an attempt: to its receiver, and to its message, which may be over or wait for
    /// a retry.
    pub(super) fn on_outcome(&mut self, now: Micros, outcome: &Outcome, actions: &mut Vec<Action>) {
        // A retry-after counts whichever message the call carried, even one that is not held any more.
        self.record_retry_after(now, outcome.receiver, outcome.retry_after());
        let Some(message) = self.held.get_mut(&outcome.id) else { return };
        let is_this = |a: &Attempt| a.number == outcome.attempt && a.receiver == outcome.receiver;
        let Some(index) = message.in_flight.iter().position(is_this) else { return };
        let attempt = message.in_flight.remove(index);
        let may_have_run = outcome.verdict.may_have_run();
        if let Some(key) =
            message.ordering_key.as_ref().filter(|_| may_have_run && outcome.verdict != Verdict::Error)
        {
            self.key_queues.start_cooldown(key, outcome.id, now.plus(self.settings.key_cooldown));
        }
        if may_have_run {
            message.first_possible_run = message
                .first_possible_run
                .into_iter()
                .chain([(attempt.sent_at, attempt.zone)])
                .min_by_key(|f| f.0);
        }
        message.attempts -= u32::from(outcome.verdict == Verdict::HeldBack).min(message.attempts);
        message.untried &= matches!(
            outcome.verdict,
            Verdict::HeldBack | Verdict::Moot | Verdict::ConnectFailed | Verdict::ConnectionLimit
        );
        let lost = may_have_run && self.settings.classes[message.class.0].effect == Effect::Unsafe;
        let attempts_used_up = message.attempts >= message.max_attempts;
        let over = message.ended || outcome.finished || outcome.verdict == Verdict::Delivered;
        let none_in_flight = message.in_flight.is_empty();
        if let Some(delay) = self.retry_delay(now, outcome) {
            self.held.entry(outcome.id).and_modify(|m| m.not_before = now.plus(delay));
        }
        let full_before = self.table_full(outcome.receiver);
        self.apply_outcome(now, outcome, &attempt, actions);
        if over {
            self.close(outcome.id);
        } else if none_in_flight && (lost || attempts_used_up) {
            self.end_undelivered(now, outcome.id, None, actions);
        } else if let Some(message) = self.held.get(&outcome.id) {
            self.destinations.entry(message.destination).or_default().waiting.insert(outcome.id);
        }
        if let Some(destination) = self.receivers.get(&outcome.receiver).map(|r| r.destination) {
            self.schedule.add(destination, now);
        }
        self.release_connections(now, outcome.receiver, full_before);
        std::mem::take(&mut self.waiting_for_slot).into_iter().for_each(|id| self.schedule.add(id, now));
    }

    /// How long a message waits for its next attempt after one that certainly never ran: without a delay, the
    /// connection table or the limit would still be full.
    fn retry_delay(&self, now: Micros, outcome: &Outcome) -> Option<Micros> {
        let message = self.held.get(&outcome.id)?;
        if !matches!(outcome.verdict, Verdict::Full(_) | Verdict::ConnectFailed | Verdict::ConnectionLimit) {
            return None;
        }
        let table_full = outcome.verdict == Verdict::ConnectionLimit;
        let holds_up_others = message.ordering_key.as_ref().is_some_and(|k| self.key_queues.len(k) > 1);
        // In the last two cases only this receiver has to be waited for; others may take the message at once.
        let short = holds_up_others || outcome.refused_below_limit() || table_full;
        let delay = if short { SHORT_RETRY_DELAY_S } else { self.tuning.retry_delay_s };
        let doubled = Micros::from_secs(delay * f64::from(1u32 << (message.attempts.clamp(1, 6) - 1)));
        let left = message.max_attempts.saturating_sub(message.attempts);
        if !table_full || left > message.max_attempts / 2 {
            return Some(doubled);
        }
        // The table would soon be full again, so the second half of the attempts is spread over the remaining
        // time.
        Some(doubled.max(Micros(message.deadline.since(now).0 / 2)))
    }

    /// Applies what an outcome shows about its receiver and the destination.
    pub(super) fn apply_outcome(
        &mut self, now: Micros, outcome: &Outcome, attempt: &Attempt, actions: &mut Vec<Action>,
    ) {
        let last_of_call = self.calls.message_ended(attempt.call);
        let tuning = self.tuning;
        let unconfirmed_before = self.any_unconfirmed(outcome.receiver);
        self.record_limit(outcome);
        let Some(receiver) = self.receivers.get_mut(&outcome.receiver) else { return };
        if last_of_call {
            receiver.calls.remove(&attempt.call);
        }
        let Some(destination) = self.destinations.get_mut(&receiver.destination) else { return };
        let last_unhealthy_at =
            if receiver.separate_route { Micros(0) } else { destination.last_unhealthy_at };
        let limit_share = limit_share(&self.settings, receiver);
        let was_out_of_order = receiver.out_of_order(destination);
        let was_unhealthy = receiver.unhealthy();
        let overtaken = receiver.overtaken(attempt.sent_at, outcome.elapsed.secs());
        let pace = if receiver.separate_route { &mut receiver.pace } else { &mut destination.pace };
        if let Some(remaining) = outcome.remaining_share().filter(|_| limit_share > 0.0) {
            pace.spacing = Micros::from_secs((SPACING_FACTOR - SPACING_REDUCTION * remaining) / limit_share)
                .min(MAX_SPACING);
            pace.spaced_until = NEVER;
            if matches!(outcome.verdict, Verdict::Full(_)) {
                pace.next_call_at = now.plus(pace.spacing);
            }
        }
        let mut hint = None;
        if attempt.new_connection {
            self.connection_tables.entry(receiver.kind).or_default().note(outcome.verdict);
        }
        if last_of_call {
            receiver.connections.call_ended(now, outcome.verdict);
        }
        let (delivered, failed) = (outcome.verdict == Verdict::Delivered, outcome.verdict == Verdict::Reset);
        if (delivered || failed) && last_of_call && !was_unhealthy {
            self.background_failures +=
                BACKGROUND_FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.background_failures);
        }
        let not_confirmed_lately = now.since(receiver.last_confirmed_send) > self.settings.collapse_window;
        match outcome.verdict {
            Verdict::TimedOut if overtaken => {}
            _ if !last_of_call => {} // all messages of a call count as one outcome
            Verdict::Delivered => {
                if receiver.health == Health::Healthy {
                    pace.usual_rate += USUAL_RATE_WEIGHT
                        * (pace.served_rate.get(now, tuning.served_memory) - pace.usual_rate);
                }
                pace.served_rate.add(now, tuning.served_memory);
                pace.refusal_run = 0;
                receiver.connections.refusal_run = 0;
                receiver.on_delivery(
                    now,
                    attempt.sent_at,
                    outcome.elapsed.secs(),
                    last_unhealthy_at,
                    &self.settings,
                );
                hint = was_out_of_order.then_some(PeerHint::Recovered);
            }
            Verdict::Full(wait) => {
                // A generator of its own: the sequence of the other random numbers stays the same.
                let random = Rng(self.rng.0 ^ now.0).next_unit();
                let outage = pace.on_refusal(now, tuning, limit_share, outcome, random);
                hint = Some(wait.map_or(PeerHint::Refused, PeerHint::RetryAfter));
                receiver.on_refusal(
                    now,
                    attempt.sent_at,
                    outcome,
                    outage,
                    outcome.refused_below_limit() && not_confirmed_lately,
                );
            }
            Verdict::ConnectionLimit => {
                receiver.on_connection_limit(now, attempt.sent_at, Rng(self.rng.0 ^ now.0).next_unit());
            }
            Verdict::Error | Verdict::TimedOut | Verdict::Reset | Verdict::ConnectFailed => {
                receiver.on_failure(now, attempt.sent_at, self.background_failures);
            }
            Verdict::Stale | Verdict::Cancelled | Verdict::Moot | Verdict::HeldBack => {}
        }
        if !was_unhealthy && receiver.unhealthy() {
            destination.last_unhealthy_at = now;
            let (receiver, destination) = (outcome.receiver, receiver.destination);
            actions.push(Action::LogUnhealthy { receiver, destination, verdict: outcome.verdict });
        }
        // Without a random phase, all senders that learn the same end of a retry-after would call at that
        // moment. Each sender places its first call at random in a gap after it.
        if receiver.unconfirmed(destination) && (outcome.retry_after() > Micros(0) || !unconfirmed_before) {
            let confirmed = receiver.last_confirmed_send;
            let pace = if receiver.separate_route { &mut receiver.pace } else { &mut destination.pace };
            let last_confirmed_send =
                if unconfirmed_before { pace.unconfirmed.last_confirmed_send } else { confirmed };
            let phase = self.rng.next_unit() + if unconfirmed_before { 0.5 } else { 0.0 };
            pace.unconfirmed = Unconfirmed { from: now.max(pace.wait_until), phase, last_confirmed_send };
        }
        if let Some(hint) = hint.filter(|_| self.settings.peer_hints) {
            self.send_peer_hint(now, outcome.receiver, hint, actions);
        }
    }
}
