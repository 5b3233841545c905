//! Connections as a limit. An endpoint accepts a limited number of connections, idle ones included, and
//! doesn't report the number. While its connection table is full, it refuses new ones. So the connections
//! that a sender keeps decide whether other senders get any.

use super::*;

impl PolicyEngine {
    /// Receivers of this kind refuse a larger share of new connections than the target allows.
    pub(super) fn table_full(&self, id: ReceiverId) -> bool {
        let table = self.receivers.get(&id).and_then(|r| self.connection_tables.get(&r.kind));
        table.is_some_and(|t| t.refused_share > TARGET_REFUSAL_SHARE)
    }

    /// After a call, selects idle connections to close because other senders may need their place. As soon as
    /// the tables of a kind are seen to be full, these are all idle connections to receivers of the kind,
    /// since the holder of a connection is never refused there and wouldn't notice; from then on, each
    /// connection after its call. While nothing shows that a table is full, a connection kept for long is
    /// closed as well: the next one shows it.
    pub(super) fn release_connections(&mut self, now: Micros, id: ReceiverId, full_before: bool) {
        if self.settings.connection_idle_timeout == Micros(0) || self.settings.sender_count < 2 {
            return; // no connection is kept, or there is no other sender
        }
        if !self.table_full(id) {
            let renewed = self.renewal_due(now, id).then_some(id);
            return self.closing_idle.extend(renewed);
        }
        let kind = self.receivers.get(&id).map(|r| r.kind);
        let all = self.receivers.iter().filter(|(_, r)| !full_before && Some(r.kind) == kind);
        self.closing_idle.extend(all.map(|(receiver, _)| *receiver).chain([id]));
    }

    /// The only connection to a receiver has carried so many calls that it is time to see whether a new one
    /// is accepted. The first renewal comes after a random part of `RENEW_AFTER_CALLS`, so that senders which
    /// start together do not renew together.
    fn renewal_due(&mut self, now: Micros, id: ReceiverId) -> bool {
        // A generator of its own: the sequence of the other random numbers stays the same.
        let phase = Rng(self.rng.0 ^ now.0).next_unit();
        let Some(receiver) = self.receivers.get_mut(&id).filter(|r| r.calls.is_empty()) else { return false };
        let connections = &mut receiver.connections;
        if connections.reuse_count == 0 || !connections.one_idle() {
            return false;
        }
        let first = (f64::from(RENEW_AFTER_CALLS) * phase) as u32;
        let due = connections.reuse_count >= *connections.renew_after.get_or_insert(first);
        if due {
            connections.renew_after = Some(RENEW_AFTER_CALLS);
        }
        due
    }

    /// Closes the selected idle connections, except those that this decision has used.
    pub(super) fn close_idle_connections(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.closing_idle) {
            if let Some(receiver) = self.receivers.get_mut(&id) {
                receiver.connections.close_idle();
            }
            actions.push(Action::CloseIdleConnections(id));
        }
    }
}

impl Receiver {
    /// A full connection table is a limit, not an outage. The calls in flight go on. A further call waits
    /// until an answer frees a connection, or for a pause of about the time that a call holds its connection,
    /// doubled with each refusal in a row. A receiver that was unhealthy is up again and possibly cold.
    pub(super) fn on_connection_limit(&mut self, now: Micros, sent_at: Micros, random: f64) {
        if matches!(self.health, Health::Unhealthy { since, .. } if sent_at >= since) {
            self.health = Health::Recovering { since: now };
        }
        let answering = now <= self.last_delivered.plus(Micros::from_secs(self.slow_threshold()));
        let connections = &mut self.connections;
        connections.max_while_full = if answering { self.calls.len() } else { 0 };
        if sent_at < connections.refused_at {
            return; // requested before the last refusal
        }
        connections.refused_at = now;
        connections.refusal_run += 1;
        let doublings = (connections.refusal_run - 1).min(MAX_CONNECT_BACKOFF_DOUBLINGS);
        let pause = Micros::from_secs(self.usual_latency * f64::from(1u32 << doublings) * (0.5 + random));
        connections.connect_at = now.plus(pause);
    }

    /// Passes if the connection table had room for one more connection at the last refusal, or may have by
    /// now.
    pub(super) fn connection_gate(&self, now: Micros) -> Gate<()> {
        if self.calls.len() < self.connections.max_while_full {
            return Ok(());
        }
        not_before(now, self.connections.connect_at)
    }
}
