//! Destinations that go to rest and wake: what is kept of one, and how carefully it is used again.
//!
//! A sender may list tens of thousands of destinations and use a hundred. One that rests is not here at all. On waking
//! it is taken for one that may be back from an outage, cold: the fall-back budget rules until it is warm, and its
//! pace starts severe, as after a refusal burst, and ends by the pending-termination timer. What it served before and
//! what its weight says only bound that start.

use super::*;

impl PolicyEngine {
    /// Takes a destination out, if nothing is held or out for it: what it was like, and what its receivers were like.
    /// None if it cannot rest now, and then it is as before.
    pub fn deactivate(
        &mut self, now: Micros, id: DestinationId,
    ) -> Option<(RetainedHealth, Vec<(ReceiverId, RetainedHealth)>)> {
        let Some(d) = self.destinations.get(&id) else { return Some(Default::default()) };
        let known = || d.receivers.iter().filter_map(|r| Some((*r, self.receivers.get(r)?)));
        // One that has left the list is known by nothing but its number: its wait is heeded here.
        let owes = |r: &Receiver| r.listing == EntryState::Gone && r.pace.wait_until > now;
        if !d.waiting.is_empty() || known().any(|(_, r)| !r.calls.is_empty() || owes(r)) {
            return None;
        }
        let of = |pace: &Pace, sick| RetainedHealth {
            served_per_s: pace.usual,
            wait_until: pace.wait_until,
            unhealthy: sick,
        };
        let each: Vec<_> = known().map(|(to, r)| (to, of(&r.pace, r.out_of_order(d)))).collect();
        let listed = || known().filter(|(_, r)| r.listing != EntryState::Gone);
        let whole = of(&d.pace, listed().next().is_some() && listed().all(|(_, r)| r.out_of_order(d)));
        for (to, _) in &each {
            self.receivers.remove(to);
        }
        self.destinations.remove(&id);
        Some((whole, each))
    }

    /// Takes a destination in that has rested, with what is still known of it and of its receivers. `assumed` is what
    /// it takes, in calls a second from all senders together, where neither the list nor memory says.
    pub fn activate(
        &mut self, now: Micros, id: DestinationId, whole: RetainedHealth,
        each: Vec<(ListEntry, RetainedHealth)>, assumed: f64,
    ) {
        let reputes: Vec<_> = each.iter().map(|(e, repute)| (e.receiver, *repute)).collect();
        self.on_list(each.into_iter().map(|(e, _)| e).collect(), false);
        let d = self.destinations.entry(id).or_default();
        let share = assumed / self.scale.senders;
        let cold = if self.set.collapse_multiple > 0.0 { self.set.cold_start_share } else { START_SHARE };
        let mut told_all = 0.0f64;
        for (to, repute) in reputes {
            let Some(r) = self.receivers.get_mut(&to) else { continue };
            let told = told_share(&self.set, r);
            told_all = told_all.max(told);
            r.health = Health::Recovering { since: now };
            if repute.unhealthy {
                r.wake_sick(now);
                d.trouble_at = now;
            }
            if r.apart {
                r.pace.start_woken(now, repute, told, share, cold, self.scale);
            }
        }
        d.pace.start_woken(now, whole, told_all, share, cold, self.scale);
        self.agenda.look(id, now);
    }

    /// A receiver of a destination in use is back in the list, and this is still known of it.
    pub fn restore_receiver(&mut self, now: Micros, to: ReceiverId, repute: RetainedHealth) {
        let Some(r) = self.receivers.get_mut(&to) else { return };
        r.pace.wait_until = r.pace.wait_until.max(repute.wait_until);
        if repute.unhealthy && r.health == Health::Well {
            r.wake_sick(now);
            if let Some(d) = self.destinations.get_mut(&r.destination) {
                d.trouble_at = now;
            }
        }
    }

    /// A receiver that is ready again was restarted meanwhile, as operators do: a trial has to show that it is up, and
    /// then it is cold. All senders learn of it at one moment, so the trial falls anywhere in its gap by chance.
    pub fn on_receiver_restart(&mut self, now: Micros, to: ReceiverId) {
        let phase = self.rng.roll();
        let Some(r) = self.receivers.get_mut(&to) else { return };
        let Some(d) = self.destinations.get_mut(&r.destination) else { return };
        r.wake_sick(now);
        r.failed_lately = 0;
        r.connections.refused_run = 0;
        let proven = r.last_proof;
        let pace = if r.apart { &mut r.pace } else { &mut d.pace };
        pace.doubt = Doubt { from: now.max(pace.wait_until), phase, proven };
        self.agenda.look(r.destination, now);
    }
}

impl Receiver {
    /// Out of order when last heard of: a trial may go at once.
    fn wake_sick(&mut self, now: Micros) {
        self.health = Health::Sick { since: now, trial_at: now, backoff: TRIAL_FIRST };
    }
}

impl Pace {
    /// Severe: what it surely has when cold, by the least of what was served and is told. The first call may go at once:
    /// nobody else learns of its waking, so no crowd of senders meets there.
    fn start_woken(
        &mut self, now: Micros, repute: RetainedHealth, told: f64, assumed: f64, cold: f64, scale: Scale,
    ) {
        let likely = match (repute.served_per_s > 0.0, told > 0.0) {
            (true, true) => repute.served_per_s.min(told),
            (true, false) => repute.served_per_s,
            (false, true) => told,
            (false, false) => assumed,
        };
        (self.told, self.usual, self.woken) = (told, likely, true);
        self.floor = scale.floor;
        self.wait_until = repute.wait_until;
        self.doubt = Doubt { from: now.max(repute.wait_until), phase: 0.0, proven: Micros(0) };
        let rate = (likely * cold).max(scale.floor);
        self.control =
            Some(Control { rate, tokens: BURST_TOKENS, refilled: now, updated: now, ..Control::default() });
    }
}
