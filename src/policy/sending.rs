//! Which message goes where and when. All sends take the same path, in which every rule and limit is a gate.

use super::*;

impl PolicyEngine {
    /// The value that a delivery now has over one `horizon` seconds later, plus a part of the value itself.
    /// Messages that an earlier process left untried come first: they have already waited through a restart.
    pub(super) fn urgency(&self, now: Micros, message: &HeldMessage, horizon: f64) -> f64 {
        let value_now = if message.untried && message.in_flight.is_empty() {
            f64::INFINITY
        } else {
            message.value(&self.settings, now)
        };
        value_now - message.value(&self.settings, now.plus(Micros::from_secs(horizon))) + 0.3 * value_now
    }

    /// Tries to send the messages of these destinations, the most urgent first. Returns when each destination
    /// is next due for a decision.
    pub(super) fn send_waiting(
        &mut self, now: Micros, due: &BTreeSet<DestinationId>, actions: &mut Vec<Action>,
    ) -> BTreeMap<DestinationId, Micros> {
        let mut ranked = Vec::new();
        for destination in due.iter().filter_map(|id| self.destinations.get(id)) {
            for (id, message) in destination.waiting.iter().filter_map(|id| Some((id, self.held.get(id)?))) {
                // A second copy goes after all messages without an attempt in flight.
                let urgency =
                    self.urgency(now, message, 2.0) * if message.in_flight.is_empty() { 1.0 } else { 0.1 };
                ranked.push((urgency, message.deadline, *id, message.destination));
            }
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut next_checks: BTreeMap<_, _> = due.iter().map(|id| (*id, NEVER)).collect();
        let mut queued: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for (_, _, id, destination) in ranked {
            if let Err(at) = self.try_send(now, id, actions) {
                let calls_ahead = queued.entry(destination).or_default();
                let at = at.min(self.end_if_too_late(now, id, calls_ahead, actions));
                next_checks.entry(destination).and_modify(|t| *t = at.min(*t));
            }
        }
        self.calls.seal();
        next_checks
    }

    /// Ends a message at once if it can't be sent in time: its time is over, a retry-after lasts too long, or
    /// the pace allows too few calls for the more urgent messages and this one. Otherwise returns when its
    /// time will be over.
    pub(super) fn end_if_too_late(
        &mut self, now: Micros, id: MessageId, calls_ahead: &mut f64, actions: &mut Vec<Action>,
    ) -> Micros {
        let Some(message) = self.held.get(&id).filter(|m| m.in_flight.is_empty()) else { return NEVER };
        let Some(destination) = self.destinations.get(&message.destination) else { return NEVER };
        // An untried message goes first, and its call is still to come.
        *calls_ahead += if message.untried { 0.0 } else { 1.0 };
        let pace_wait = destination.pace.control.as_ref().map_or(0.0, |c| c.min_wait(*calls_ahead));
        let too_late_at = message.send_deadline(&self.settings, None).since(ANSWER_MARGIN);
        let receivers = destination.receivers.iter().filter_map(|r| self.receivers.get(r));
        let wait_until =
            receivers.filter(|r| r.list_state == EntryState::Ready).map(|r| r.wait_until(destination)).min();
        let wait = Micros::from_secs(pace_wait).max(wait_until.unwrap_or_default().since(now));
        if now >= too_late_at || now.plus(wait) > message.deadline {
            self.end_undelivered(now, id, Some(wait).filter(|w| *w > Micros(0)), actions);
            return NEVER;
        }
        too_late_at
    }

    /// Sends a message if every gate is open. No other code sends.
    pub(super) fn try_send(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) -> Gate<()> {
        require(!self.sending_held)?;
        let message = self.held.get(&id).ok_or(NEVER)?;
        let class = &self.settings.classes[message.class.0];
        if message.ended
            || message.attempts >= message.max_attempts
            || now >= message.send_deadline(&self.settings, None).since(ANSWER_MARGIN)
        {
            return Err(NEVER);
        }
        not_before(now, message.not_before)?;
        message.ordering_key.as_ref().map_or(Ok(()), |k| self.key_queues.gate(now, k, id))?;
        self.second_copy_gate(now, message)?;
        let zone = match (message.first_send(None), class.effect) {
            (Some(_), Effect::Unsafe) => return Err(NEVER),
            (Some((_, zone)), Effect::Keyed { scope: DedupScope::Zone, .. }) => Some(zone),
            _ => None,
        };
        let destination = self.destinations.get(&message.destination).ok_or(NEVER)?;
        let joined = destination.receivers.iter().copied().find(|id| {
            let Some(receiver) = self.receivers.get(id).filter(|_| self.calls.can_join(*id)) else {
                return false;
            };
            zone.is_none_or(|z| receiver.zone == z)
                && message.in_flight.iter().all(|a| a.receiver != *id)
                && (!receiver.unconfirmed(destination)
                    || receiver.recent_sends.back().is_some_and(|s| s.1 < MAX_CALL_WEIGHT))
        });
        let target = match joined {
            Some(receiver) => receiver,
            None if self.calls.len() >= self.settings.slots as usize => {
                self.waiting_for_slot.insert(message.destination);
                return Err(NEVER);
            }
            None => {
                self.destination_gate(now, destination)?;
                self.choose_receiver(now, destination, zone, message)?
            }
        };
        let timeout = self.call_timeout(now, message, target);
        self.start_attempt(now, id, target, joined.is_some());
        actions.push(Action::Send { id, receiver: target, timeout });
        Ok(())
    }

    /// Passes if no attempt is in flight, or if a second copy may go because the first attempt is late for
    /// its receiver.
    pub(super) fn second_copy_gate(&self, now: Micros, message: &HeldMessage) -> Gate<()> {
        let Some(first) = message.in_flight.first() else { return Ok(()) };
        require(
            message.in_flight.len() < 2 && self.settings.second_copies && self.second_copy_credit >= 1.0,
        )?;
        let receiver = self.receivers.get(&first.receiver).ok_or(NEVER)?;
        not_before(
            now,
            first.sent_at.plus(Micros::from_secs(SECOND_COPY_DELAY_FACTOR * receiver.slow_threshold())),
        )
    }

    /// The gates of a destination as a whole: its calls in flight, its retry-after and its pace.
    pub(super) fn destination_gate(&self, now: Micros, destination: &Destination) -> Gate<()> {
        let receivers = destination.receivers.iter().filter_map(|r| self.receivers.get(r));
        let in_flight: usize = receivers.clone().map(|r| r.calls.len()).sum();
        let degraded = receivers
            .clone()
            .filter(|r| r.listed_or_busy())
            .any(|r| r.health != Health::Healthy || r.slow(now, true));
        let max_calls =
            f64::from(self.settings.slots) * if degraded { DEGRADED_SLOT_SHARE } else { HEALTHY_SLOT_SHARE };
        require(in_flight < (max_calls as usize).max(1))?;
        not_before(now, destination.pace.ready_at(now))
    }

    /// Chooses the receiver of least cost among those with open gates, in `zone` if one is given. An
    /// unhealthy receiver whose trial call is due comes first.
    pub(super) fn choose_receiver(
        &self, now: Micros, destination: &Destination, zone: Option<ZoneId>, message: &HeldMessage,
    ) -> Gate<ReceiverId> {
        let mut best: Option<(f64, ReceiverId)> = None;
        let mut retry_at = NEVER;
        for id in &destination.receivers {
            let Some(receiver) = self.receivers.get(id) else { continue };
            let in_flight_there = message.in_flight.iter().any(|a| a.receiver == *id);
            if receiver.list_state != EntryState::Ready
                || in_flight_there
                || zone.is_some_and(|z| receiver.zone != z)
            {
                continue;
            }
            if let Err(at) = self.receiver_gate(now, receiver, destination, message.class) {
                retry_at = retry_at.min(at);
                continue;
            }
            let fee = if receiver.separate_route {
                self.settings.zone_fees.get(receiver.zone.0).copied().unwrap_or(0.0)
            } else {
                0.0
            };
            let sign = if receiver.unhealthy() { -1.0 } else { 1.0 };
            let cost =
                sign * receiver.recent_latency * (1.0 + receiver.calls.len() as f64) + fee * SECONDS_PER_FEE;
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, *id));
            }
        }
        best.map(|b| b.1).ok_or(retry_at)
    }

    /// How long to wait for an answer: well beyond the usual latency, and longer where a timeout loses the
    /// message.
    pub(super) fn call_timeout(&self, now: Micros, message: &HeldMessage, target: ReceiverId) -> Micros {
        let left = message.deadline.since(now);
        let Some(receiver) = self.receivers.get(&target) else { return left };
        let timeout = Micros::from_secs(
            (TIMEOUT_LATENCY_FACTOR * receiver.usual_latency).max(3.0 * receiver.recent_latency),
        )
        .max(MIN_TIMEOUT);
        let class = &self.settings.classes[message.class.0];
        let long = timeout.max(Micros(class.give_up_after.0 / TIMEOUTS_PER_LIFETIME));
        let timeout = match class.effect {
            Effect::Unsafe => Micros::from_secs(timeout.secs() * UNSAFE_TIMEOUT_FACTOR),
            Effect::Safe => long,
            Effect::Keyed { window, .. } => long.min(Micros(window.0 * 6 / 10)),
        };
        timeout.min(left).max(Micros(1))
    }

    /// The time until which the rules allow this attempt to be sent; none if the message is not held.
    pub fn send_deadline(&self, id: MessageId, attempt: u32) -> Option<Micros> {
        Some(self.held.get(&id)?.send_deadline(&self.settings, Some(attempt)))
    }

    /// Checks a decided send again just before its call leaves, since the call may have waited for its
    /// connection in the meantime. Drains are not checked here: only the caller knows when a drain was
    /// announced.
    pub fn recheck_send(
        &self, now: Micros, id: MessageId, attempt: u32, receiver: ReceiverId,
    ) -> SendRecheck {
        let Some(message) = self.held.get(&id).filter(|m| !m.ended) else {
            return SendRecheck::MessageEnded;
        };
        let in_flight = message.in_flight.iter().any(|a| a.number == attempt);
        let known = self.receivers.get(&receiver).zip(self.destinations.get(&message.destination));
        let Some((receiver, destination)) = known.filter(|_| in_flight) else {
            return SendRecheck::MessageEnded;
        };
        let by_deadline = if now < message.send_deadline(&self.settings, Some(attempt)) {
            SendRecheck::Allowed
        } else {
            SendRecheck::NoLongerAllowed
        };
        if now < receiver.wait_until(destination) { SendRecheck::WithinRetryAfter } else { by_deadline }
    }
}
