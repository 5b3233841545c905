//! The gates of one receiver: health, calls that it may hold, and the budget of one that comes back cold.

use super::*;

impl PolicyEngine {
    /// The gates of one receiver: told wait and pace of a separate route, health, connections, cold budget.
    pub(super) fn receiver_open(
        &self, now: Micros, r: &Receiver, d: &Destination, class: ClassId,
    ) -> Gate<()> {
        let calls = r.calls.len();
        not_before(now, r.pace.ready_at(now))?;
        room(calls < self.room_at(now, r, d))?;
        r.connection_open(now)?;
        match r.health {
            Health::Well if !r.doubted(d) => Ok(()),
            Health::Well | Health::Suspect { .. } => {
                room(calls == 0)?;
                // Where proofs are frequent the next one tells soon enough; else one call may tell at once.
                let soon = |t: Micros| now.since(t) <= self.set.collapse_window;
                if soon(r.last_proof) { Ok(()) } else { self.in_budget(now, r, d, 0.0) }
            }
            // Safe messages go first as trials; one that a trial may use up only where none came in time.
            Health::Sick { trial_at, backoff, .. } => {
                let risky = self.set.classes[class.0].effect != Effect::Safe;
                let risk = if risky { backoff.min(TRIAL_MOST) } else { Micros(0) };
                let probe = self.set.probe_class == Some(class);
                let later = if probe { Micros(0) } else { risk.max(self.set.message_probe_delay) };
                not_before(now, trial_at.plus(later))?;
                room(calls == 0)?;
                self.in_budget(now, r, d, 0.0)
            }
            Health::Recovering { since } => self.in_budget(now, r, d, now.since(since).secs()),
        }
    }

    /// Calls that a receiver may hold: a slow one about what it usually keeps busy, an unknown one a few.
    pub(super) fn room_at(&self, now: Micros, r: &Receiver, d: &Destination) -> usize {
        if r.slow(now, false) {
            let usual = if r.apart { r.pace.usual } else { d.pace.usual / self.routes(d) as f64 };
            (usual * r.norm * BUSY_STRETCH).ceil().max(1.0) as usize
        } else if r.last_proof == Micros(0) {
            (self.set.slots as usize / 4).max(1)
        } else {
            usize::MAX
        }
    }

    /// A destination that comes back is not pushed over by all senders that met its outage together. Each may
    /// hold messages, none knows when it returns: in any window they must add up to less than two thirds of
    /// multiple x present capacity x window, from which on they are blamed. Shares add up to the capacity
    /// (`likely_share`); the part is what it surely has, cold until a proof. A share under one call is a gap
    /// between calls, and the first falls anywhere in it by chance: of senders that learn, or are told an
    /// opening, at one moment as many come in each window as the shares say. All messages and trials count,
    /// for all doubted receivers. The other bound: half of what those send that have not met the outage,
    /// e^-x of all if each calls x times meanwhile; a restarted sender knows no such time, so has none of it.
    pub(super) fn in_budget(&self, now: Micros, r: &Receiver, d: &Destination, warm_for: f64) -> Gate<()> {
        if self.set.collapse_multiple <= 0.0 {
            return Ok(());
        }
        let (pace, routes) = if r.apart { (&r.pace, 1) } else { (&d.pace, self.routes(d)) };
        let part_doubted = self.in_doubt(r, d).count() as f64 / routes as f64;
        let warm = (warm_for / self.set.warm_up_time.secs().max(0.001)).min(1.0);
        let part_at = |warm: f64| self.set.cold_start_share + (1.0 - self.set.cold_start_share) * warm;
        let window = self.set.collapse_window;
        let asked =
            d.offered.get(now, self.scale.rate_memory) / if r.apart { self.routes(d) as f64 } else { 1.0 };
        let capacity = likely_share(&self.set, r, pace, asked) * part_doubted;
        let blind = capacity * now.since(pace.doubt.proven).secs();
        let fresh = FRESH_SHARE / blind.exp_m1();
        let part = |warm: f64| (self.set.collapse_multiple * BUDGET_SHARE * part_at(warm)).max(fresh);
        let budget = capacity * part(warm) * window.secs();
        let sends = self.in_doubt(r, d).flat_map(|r| r.sends.iter().copied());
        if budget >= 1.0 {
            let recent: f64 = sends.filter(|s| now.since(s.0) < window).map(|s| s.1).sum();
            return not_before(now, if recent + 1.0 <= budget { now } else { now.plus(LOOK_AGAIN) });
        }
        // It warmed while the gap passed: the middle of that time counts.
        let gap = Micros::from_secs((capacity * part(warm / 2.0)).recip());
        let first = pace.doubt.from.plus(Micros::from_secs(gap.secs() * pace.doubt.phase));
        let last = sends.filter(|s| s.0 > pace.doubt.from).max_by_key(|s| s.0);
        let next = last.map_or(first, |s| s.0.plus(Micros::from_secs(gap.secs() * s.1)).max(first));
        not_before(now, next).map_err(|t| t.min(now.plus(UPDATE_EVERY)))
    }
}

/// This sender's even part of the limit that answers or the list tell; zero if none is told.
pub(super) fn told_share(set: &Settings, r: &Receiver) -> f64 {
    let listed = match set.weights {
        Weights::Off => 0.0,
        Weights::Nominal => r.weight,
        Weights::Rough => r.weight * ROUGH_CAUTION,
    };
    let told = r.limit.unwrap_or(listed);
    if told.is_finite() { told.max(0.0) / f64::from(set.sender_count.max(1)) } else { 0.0 }
}

/// This sender's share of what a destination or route takes; part of what is asked for where nothing is known.
fn likely_share(set: &Settings, r: &Receiver, pace: &Pace, asked: f64) -> f64 {
    let told = told_share(set, r);
    let known = if pace.usual > 0.0 { pace.usual } else { asked * UNKNOWN_PART };
    let least = UNKNOWN_CAPACITY / f64::from(set.sender_count.max(1));
    if told > 0.0 { told.max(pace.usual) } else { known.max(least) }
}
