//! Connections as a limit. An endpoint takes only so many, idle ones counted, and does not say how many: who comes when
//! its table is full is refused. So who holds a connection decides whether others get any.

use super::*;

impl PolicyEngine {
    /// More connections are refused at receivers of this kind than the target allows.
    pub(super) fn table_full(&self, id: ReceiverId) -> bool {
        let table = self.receivers.get(&id).and_then(|r| self.tables.get(&r.kind));
        table.is_some_and(|t| t.refused_share > TARGET_SHARE)
    }

    /// After a call: gives back the connections that others may need more. All idle ones of the kind once its tables are
    /// seen to be full, since who holds a place is never refused there, and then each after its call. Where nothing says
    /// that the table is full a connection that is kept for long is given back as well: the next one then tells.
    pub(super) fn give_back(&mut self, now: Micros, id: ReceiverId, full_before: bool) {
        if self.set.connection_idle_timeout == Micros(0) || self.set.sender_count < 2 {
            return; // nothing is kept, or there is nobody to leave room for
        }
        if !self.table_full(id) {
            let renewed = self.renewal_due(now, id).then_some(id);
            return self.giving_back.extend(renewed);
        }
        let kind = self.receivers.get(&id).map(|r| r.kind);
        let all = self.receivers.iter().filter(|(_, r)| !full_before && Some(r.kind) == kind);
        self.giving_back.extend(all.map(|(to, _)| *to).chain([id]));
    }

    /// The only connection to a receiver has had so many calls that it is time to see whether a new one is accepted.
    /// The first time falls anywhere in that number, so that senders which start together do not renew together.
    fn renewal_due(&mut self, now: Micros, id: ReceiverId) -> bool {
        let phase = Rng(self.rng.0 ^ now.0).roll(); // no draw: other chances stay as they were
        let Some(r) = self.receivers.get_mut(&id).filter(|r| r.calls.is_empty()) else { return false };
        let c = &mut r.connections;
        if c.reused == 0 || !c.one_idle() {
            return false;
        }
        let first = (f64::from(RENEW_AFTER_CALLS) * phase) as u32;
        let due = c.reused >= *c.renew_after.get_or_insert(first);
        if due {
            c.renew_after = Some(RENEW_AFTER_CALLS);
        }
        due
    }

    /// Closes what is given back and what this decision has not used.
    pub(super) fn close_given_back(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.giving_back) {
            if let Some(r) = self.receivers.get_mut(&id) {
                r.connections.close_idle();
            }
            actions.push(Action::CloseIdleConnections(id));
        }
    }
}

impl Receiver {
    /// A full connection table is a limit, not an outage. The calls that are out go on, and the next one needs an answer
    /// to make room, or a pause: about as long as a call holds a place, and longer each time. What was out of order runs
    /// again, and may be cold.
    pub(super) fn on_connection_limit(&mut self, now: Micros, sent: Micros, roll: f64) {
        if matches!(self.health, Health::Sick { since, .. } if sent >= since) {
            self.health = Health::Recovering { since: now };
        }
        let answering = now <= self.last_delivered.plus(Micros::from_secs(self.slow_bar()));
        let c = &mut self.connections;
        c.most = if answering { self.calls.len() } else { 0 };
        if sent < c.refused_at {
            return; // asked for before the last one was refused
        }
        c.refused_at = now;
        c.refused_run += 1;
        let doublings = (c.refused_run - 1).min(CONNECT_BACKOFF_DOUBLINGS);
        let pause = Micros::from_secs(self.norm * f64::from(1u32 << doublings) * (0.5 + roll));
        c.connect_at = now.plus(pause);
    }

    /// Whether the table had room for one more connection when last asked, or may have by now.
    pub(super) fn connection_open(&self, now: Micros) -> Gate<()> {
        if self.calls.len() < self.connections.most {
            return Ok(());
        }
        not_before(now, self.connections.connect_at)
    }
}
