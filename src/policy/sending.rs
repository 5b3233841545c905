//! What goes where and when: the single path of a send, with every rule and bound as a gate.

use super::*;

impl PolicyEngine {
    /// What sending now rather than `horizon` later is worth, with a part of the worth itself. What an earlier process
    /// has left untried goes before all: it has waited through a restart already.
    pub(super) fn urgency(&self, now: Micros, m: &Held, horizon: f64) -> f64 {
        let soon = if m.untried && m.out.is_empty() { f64::INFINITY } else { m.worth(&self.set, now) };
        soon - m.worth(&self.set, now.plus(Micros::from_secs(horizon))) + 0.3 * soon
    }

    /// Offers the messages of these destinations to the gates, most worth first. Returns when to look again.
    pub(super) fn send_best(
        &mut self, now: Micros, due: &BTreeSet<DestinationId>, actions: &mut Vec<Action>,
    ) -> BTreeMap<DestinationId, Micros> {
        let mut ranked = Vec::new();
        for d in due.iter().filter_map(|id| self.destinations.get(id)) {
            for (id, m) in d.waiting.iter().filter_map(|id| Some((id, self.held.get(id)?))) {
                // A copy goes after all that have none out.
                let worth = self.urgency(now, m, 2.0) * if m.out.is_empty() { 1.0 } else { 0.1 };
                ranked.push((worth, m.deadline, *id, m.destination));
            }
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut looks: BTreeMap<_, _> = due.iter().map(|id| (*id, NEVER)).collect();
        let mut behind: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for (_, _, id, destination) in ranked {
            if let Err(at) = self.try_send(now, id, actions) {
                let ahead = behind.entry(destination).or_default();
                let at = at.min(self.give_up(now, id, ahead, actions));
                looks.entry(destination).and_modify(|t| *t = at.min(*t));
            }
        }
        self.calls.seal();
        looks
    }

    /// What cannot go in time, by its own clock or the pace with better ones ahead, ends at once.
    /// Returns when it would have to.
    pub(super) fn give_up(
        &mut self, now: Micros, id: MessageId, ahead: &mut f64, actions: &mut Vec<Action>,
    ) -> Micros {
        let Some(m) = self.held.get(&id).filter(|m| m.out.is_empty()) else { return NEVER };
        let Some(d) = self.destinations.get(&m.destination) else { return NEVER };
        *ahead += if m.untried { 0.0 } else { 1.0 }; // which goes first, and has its call to come
        let paced = d.pace.control.as_ref().map_or(0.0, |c| c.soonest(*ahead));
        let hopeless = m.sends_end(&self.set, None).since(MARGIN);
        let listed = d.receivers.iter().filter_map(|r| self.receivers.get(r));
        let told = listed.filter(|r| r.listing == EntryState::Ready).map(|r| r.told_until(d)).min();
        let wait = Micros::from_secs(paced).max(told.unwrap_or_default().since(now));
        if now >= hopeless || now.plus(wait) > m.deadline {
            self.end(now, id, Some(wait).filter(|w| *w > Micros(0)), actions);
            return NEVER;
        }
        hopeless
    }

    /// The single path of a send: every rule and bound is a gate here.
    pub(super) fn try_send(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) -> Gate<()> {
        let m = self.held.get(&id).ok_or(NEVER)?;
        let class = &self.set.classes[m.class.0];
        if m.ended || m.attempts >= m.max_attempts || now >= m.sends_end(&self.set, None).since(MARGIN) {
            return Err(NEVER);
        }
        not_before(now, m.not_before)?;
        m.key.as_ref().map_or(Ok(()), |k| self.turns.gate(now, k, id))?;
        self.copy_open(now, m)?;
        let group = match (m.first(None), class.effect) {
            (Some(_), Effect::Unsafe) => return Err(NEVER),
            (Some((_, zone)), Effect::Keyed { scope: DedupScope::Zone, .. }) => Some(zone),
            _ => None,
        };
        let d = self.destinations.get(&m.destination).ok_or(NEVER)?;
        let joined = d.receivers.iter().copied().find(|r| {
            let Some(known) = self.receivers.get(r).filter(|_| self.calls.joinable(*r)) else { return false };
            group.is_none_or(|z| known.zone == z)
                && m.out.iter().all(|a| a.receiver != *r)
                && (!known.doubted(d) || known.sends.back().is_some_and(|s| s.1 < MOST_WEIGHT))
        });
        let target = match joined {
            Some(r) => r,
            None if self.calls.len() >= self.set.slots as usize => {
                self.starved.insert(m.destination);
                return Err(NEVER);
            }
            None => {
                self.destination_open(now, d)?;
                self.choose(now, d, group, m)?
            }
        };
        let patience = self.patience(now, m, target);
        self.commit(now, id, target, joined.is_some());
        actions.push(Action::Send { id, receiver: target, timeout: patience });
        Ok(())
    }

    /// Where one attempt is out: may a second go beside it? Only where that one is late by what is known of its receiver.
    pub(super) fn copy_open(&self, now: Micros, m: &Held) -> Gate<()> {
        let Some(first) = m.out.first() else { return Ok(()) };
        room(m.out.len() < 2 && self.set.second_copies && self.copies >= 1.0)?;
        let r = self.receivers.get(&first.receiver).ok_or(NEVER)?;
        not_before(now, first.sent.plus(Micros::from_secs(COPY_AFTER * r.slow_bar())))
    }

    /// The shared gates of a destination: told wait, pace, calls in flight.
    pub(super) fn destination_open(&self, now: Micros, d: &Destination) -> Gate<()> {
        let known = d.receivers.iter().filter_map(|r| self.receivers.get(r));
        let in_flight: usize = known.clone().map(|r| r.calls.len()).sum();
        let ailing =
            known.clone().filter(|r| r.here()).any(|r| r.health != Health::Well || r.slow(now, true));
        let cap = f64::from(self.set.slots) * if ailing { CAP_SICK } else { CAP_WELL };
        room(in_flight < (cap as usize).max(1))?;
        not_before(now, d.pace.ready_at(now))
    }

    pub(super) fn choose(
        &self, now: Micros, d: &Destination, group: Option<ZoneId>, m: &Held,
    ) -> Gate<ReceiverId> {
        let mut best: Option<(f64, ReceiverId)> = None;
        let mut later = NEVER;
        for id in &d.receivers {
            let Some(r) = self.receivers.get(id) else { continue };
            let out = m.out.iter().any(|a| a.receiver == *id);
            if r.listing != EntryState::Ready || out || group.is_some_and(|z| r.zone != z) {
                continue;
            }
            if let Err(at) = self.receiver_open(now, r, d, m.class) {
                later = later.min(at);
                continue;
            }
            let fee = if r.apart { self.set.zone_fees.get(r.zone.0).copied().unwrap_or(0.0) } else { 0.0 };
            let trial = if r.sick() { -1.0 } else { 1.0 };
            let cost = trial * r.latency * (1.0 + r.calls.len() as f64) + fee * FEE_SECONDS;
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, *id));
            }
        }
        best.map(|b| b.1).ok_or(later)
    }

    /// How long to wait for an answer: well past the usual, longer where a time-out loses the message.
    pub(super) fn patience(&self, now: Micros, m: &Held, target: ReceiverId) -> Micros {
        let left = m.deadline.since(now);
        let Some(r) = self.receivers.get(&target) else { return left };
        let wait = Micros::from_secs((PATIENCE_NORMS * r.norm).max(3.0 * r.latency)).max(PATIENCE_LEAST);
        let class = &self.set.classes[m.class.0];
        let long = wait.max(Micros(class.give_up_after.0 / PATIENCE_PART));
        let wait = match class.effect {
            Effect::Unsafe => Micros::from_secs(wait.secs() * PATIENCE_UNSAFE),
            Effect::Safe => long,
            Effect::Keyed { window, .. } => long.min(Micros(window.0 * 6 / 10)),
        };
        wait.min(left).max(Micros(1))
    }

    /// Until when the rules let an attempt go.
    pub fn send_deadline(&self, id: MessageId, attempt: u32) -> Option<Micros> {
        Some(self.held.get(&id)?.sends_end(&self.set, Some(attempt)))
    }

    /// A call is about to leave: what was decided when it was queued is asked again, for it may have waited for its
    /// connection meanwhile. Whoever drains is the caller's to say, who knows when that was told.
    pub fn recheck_send(&self, now: Micros, id: MessageId, attempt: u32, to: ReceiverId) -> SendRecheck {
        let Some(m) = self.held.get(&id).filter(|m| !m.ended) else { return SendRecheck::MessageEnded };
        let out = m.out.iter().any(|a| a.number == attempt);
        let known = self.receivers.get(&to).zip(self.destinations.get(&m.destination));
        let Some((r, d)) = known.filter(|_| out) else { return SendRecheck::MessageEnded };
        let late = if now < m.sends_end(&self.set, Some(attempt)) {
            SendRecheck::Allowed
        } else {
            SendRecheck::NoLongerAllowed
        };
        if now < r.told_until(d) { SendRecheck::WithinRetryAfter } else { late }
    }
}
