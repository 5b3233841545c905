//! Inactive destinations: what is retained of a destination that is deactivated, and how carefully it is used
//! again after its activation.
//!
//! A sender may list tens of thousands of destinations and use a hundred. The policy holds no state for an
//! inactive one. After its activation a destination is treated as if back from an outage and cold: the
//! recovery budget applies until it is warm, and its rate control starts severe, as after a burst of
//! refusals, and ends when the rate has stayed at the ceiling. The rate that it served before and its weight
//! only bound the start.

use super::*;

impl PolicyEngine {
    /// Removes a destination without held messages and calls in flight. Returns what is to be retained of the
    /// destination and of its receivers. None if it can't be deactivated now; then nothing has changed.
    pub fn deactivate(
        &mut self, now: Micros, id: DestinationId,
    ) -> Option<(RetainedHealth, Vec<(ReceiverId, RetainedHealth)>)> {
        let Some(destination) = self.destinations.get(&id) else { return Some(Default::default()) };
        let receivers = || destination.receivers.iter().filter_map(|r| Some((*r, self.receivers.get(r)?)));
        // A receiver that has left the list is known by its id alone, so its retry-after is kept here.
        let removed_with_wait = |r: &Receiver| r.list_state == EntryState::Gone && r.pace.wait_until > now;
        if !destination.waiting.is_empty()
            || receivers().any(|(_, r)| !r.calls.is_empty() || removed_with_wait(r))
        {
            return None;
        }
        let retained = |pace: &Pace, unhealthy| RetainedHealth {
            served_per_s: pace.usual_rate,
            wait_until: pace.wait_until,
            unhealthy,
        };
        let each: Vec<_> =
            receivers().map(|(id, r)| (id, retained(&r.pace, r.out_of_order(destination)))).collect();
        let listed = || receivers().filter(|(_, r)| r.list_state != EntryState::Gone);
        let whole = retained(
            &destination.pace,
            listed().next().is_some() && listed().all(|(_, r)| r.out_of_order(destination)),
        );
        for (receiver, _) in &each {
            self.receivers.remove(receiver);
        }
        self.destinations.remove(&id);
        Some((whole, each))
    }

    /// Adds a destination that was inactive, with what is retained of it (`whole`) and of its receivers
    /// (`each`). `assumed` is its capacity in calls a second from all senders together, for use where neither
    /// the list nor the retained state gives one.
    pub fn activate(
        &mut self, now: Micros, id: DestinationId, whole: RetainedHealth,
        each: Vec<(ListEntry, RetainedHealth)>, assumed: f64,
    ) {
        let retained_of: Vec<_> = each.iter().map(|(e, retained)| (e.receiver, *retained)).collect();
        self.on_list(each.into_iter().map(|(e, _)| e).collect(), false);
        let destination = self.destinations.entry(id).or_default();
        let assumed_share = assumed / self.tuning.sender_count;
        let cold_share = if self.settings.collapse_multiple > 0.0 {
            self.settings.cold_start_share
        } else {
            CONTROL_START_SHARE
        };
        let mut max_limit_share = 0.0f64;
        for (receiver, retained) in retained_of {
            let Some(receiver) = self.receivers.get_mut(&receiver) else { continue };
            let limit_share = limit_share(&self.settings, receiver);
            max_limit_share = max_limit_share.max(limit_share);
            receiver.health = Health::Recovering { since: now };
            if retained.unhealthy {
                receiver.await_trial(now);
                destination.last_unhealthy_at = now;
            }
            if receiver.separate_route {
                receiver.pace.activate(now, retained, limit_share, assumed_share, cold_share, self.tuning);
            }
        }
        destination.pace.activate(now, whole, max_limit_share, assumed_share, cold_share, self.tuning);
        self.schedule.add(id, now);
    }

    /// Applies what is retained of a receiver that is back in the list, at a destination that is active.
    pub fn restore_receiver(&mut self, now: Micros, id: ReceiverId, retained: RetainedHealth) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        receiver.pace.wait_until = receiver.pace.wait_until.max(retained.wait_until);
        if retained.unhealthy && receiver.health == Health::Healthy {
            receiver.await_trial(now);
            if let Some(destination) = self.destinations.get_mut(&receiver.destination) {
                destination.last_unhealthy_at = now;
            }
        }
    }

    /// A receiver that is ready again was restarted in the meantime, as operators do. A trial call has to
    /// show that it is up, and then it is cold. All senders learn of it at the same moment, so the trial call
    /// falls at random in its gap.
    pub fn on_receiver_restart(&mut self, now: Micros, id: ReceiverId) {
        let phase = self.rng.next_unit();
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&receiver.destination) else { return };
        receiver.await_trial(now);
        receiver.recent_failures = 0;
        receiver.connections.refusal_run = 0;
        let last_confirmed_send = receiver.last_confirmed_send;
        let pace = if receiver.separate_route { &mut receiver.pace } else { &mut destination.pace };
        pace.unconfirmed = Unconfirmed { from: now.max(pace.wait_until), phase, last_confirmed_send };
        self.schedule.add(receiver.destination, now);
    }
}

impl Receiver {
    /// Marks a receiver that may be out of order as unhealthy, with a trial call due at once.
    fn await_trial(&mut self, now: Micros) {
        self.health = Health::Unhealthy { since: now, trial_at: now, backoff: FIRST_TRIAL_DELAY };
    }
}

impl Pace {
    /// Starts severe rate control, at the rate that a cold destination surely takes: a part of the lower one
    /// of the rate that it served and the limit. The first call may go at once: other senders do not learn of
    /// the activation, so their calls do not come at the same moment.
    fn activate(
        &mut self, now: Micros, retained: RetainedHealth, limit_share: f64, assumed_share: f64,
        cold_share: f64, tuning: ScaledTuning,
    ) {
        let likely = match (retained.served_per_s > 0.0, limit_share > 0.0) {
            (true, true) => retained.served_per_s.min(limit_share),
            (true, false) => retained.served_per_s,
            (false, true) => limit_share,
            (false, false) => assumed_share,
        };
        (self.limit_share, self.usual_rate, self.newly_activated) = (limit_share, likely, true);
        self.min_rate = tuning.min_rate;
        self.wait_until = retained.wait_until;
        self.unconfirmed =
            Unconfirmed { from: now.max(retained.wait_until), phase: 0.0, last_confirmed_send: Micros(0) };
        let rate = (likely * cold_share).max(tuning.min_rate);
        self.control = Some(RateControl {
            rate,
            tokens: MAX_TOKENS,
            refilled_at: now,
            updated_at: now,
            ..RateControl::default()
        });
    }
}
