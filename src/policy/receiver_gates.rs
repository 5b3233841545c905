//! The gates of one receiver: its health, the calls in flight that it may have, and the budget of a
//! destination that recovers from an outage.

use super::*;

impl PolicyEngine {
    /// Passes where a call may go to this receiver: retry-after and pace of a separate route, calls in
    /// flight, connections, health, recovery budget.
    pub(super) fn receiver_gate(
        &self, now: Micros, receiver: &Receiver, destination: &Destination, class: ClassId,
    ) -> Gate<()> {
        let calls = receiver.calls.len();
        not_before(now, receiver.pace.ready_at(now))?;
        require(calls < self.max_calls_in_flight(now, receiver, destination))?;
        receiver.connection_gate(now)?;
        match receiver.health {
            Health::Healthy if !receiver.unconfirmed(destination) => Ok(()),
            Health::Healthy | Health::Suspect { .. } => {
                require(calls == 0)?;
                // If deliveries are frequent, the next one soon shows the health. Otherwise one call may do
                // so at once.
                let recent = |t: Micros| now.since(t) <= self.settings.collapse_window;
                if recent(receiver.last_confirmed_send) {
                    Ok(())
                } else {
                    self.recovery_budget_gate(now, receiver, destination, 0.0)
                }
            }
            // Messages that are safe to repeat go first as trial calls. Any other message may be lost with a
            // failed trial call, so it goes only if no safe one came in time.
            Health::Unhealthy { trial_at, backoff, .. } => {
                let risky = self.settings.classes[class.0].effect != Effect::Safe;
                let risk_delay = if risky { backoff.min(MAX_TRIAL_DELAY) } else { Micros(0) };
                let probe = self.settings.probe_class == Some(class);
                let delay = if probe { Micros(0) } else { risk_delay.max(self.settings.message_probe_delay) };
                not_before(now, trial_at.plus(delay))?;
                require(calls == 0)?;
                self.recovery_budget_gate(now, receiver, destination, 0.0)
            }
            Health::Recovering { since } => {
                self.recovery_budget_gate(now, receiver, destination, now.since(since).secs())
            }
        }
    }

    /// Calls in flight that a receiver may have: if slow, about as many as it usually keeps busy; if nothing
    /// is known of it, a quarter of the slots.
    pub(super) fn max_calls_in_flight(
        &self, now: Micros, receiver: &Receiver, destination: &Destination,
    ) -> usize {
        if receiver.slow(now, false) {
            let usual_rate = if receiver.separate_route {
                receiver.pace.usual_rate
            } else {
                destination.pace.usual_rate / self.receiver_count(destination) as f64
            };
            (usual_rate * receiver.usual_latency * SLOW_CONCURRENCY_FACTOR).ceil().max(1.0) as usize
        } else if receiver.last_confirmed_send == Micros(0) {
            (self.settings.slots as usize / 4).max(1)
        } else {
            usize::MAX
        }
    }

    /// Limits the calls to a destination that may be back from an outage, so that the senders that saw the
    /// outage don't overload it together. Each of them may hold messages, and none knows when the destination
    /// returns.
    ///
    /// In any collapse window, their sends must add up to less than two thirds of collapse multiple x present
    /// capacity x window; from two thirds on, these senders are blamed for a collapse. The shares of the
    /// senders add up to the capacity (`likely_capacity_share`), of which only the part counts that the
    /// destination surely has: the share of a cold start, until a delivery shows that it warms up.
    ///
    /// A budget below one call becomes a gap between calls, and the first call falls at random within the
    /// gap. So if many senders learn of the outage, or of the end of a retry-after, at the same moment, each
    /// window gets as many calls as their shares allow. All messages and trial calls count, to all
    /// unconfirmed receivers.
    ///
    /// A second bound applies where it allows more: the senders that saw the outage may send half as much as
    /// those that have not seen it yet. The latter are e^-x of all senders if each sender makes x calls on
    /// average meanwhile. A restarted sender doesn't know how long that has been and gets nothing by this
    /// bound.
    pub(super) fn recovery_budget_gate(
        &self, now: Micros, receiver: &Receiver, destination: &Destination, warm_for: f64,
    ) -> Gate<()> {
        if self.settings.collapse_multiple <= 0.0 {
            return Ok(());
        }
        let (pace, receiver_count) = if receiver.separate_route {
            (&receiver.pace, 1)
        } else {
            (&destination.pace, self.receiver_count(destination))
        };
        let unconfirmed_part =
            self.unconfirmed_siblings(receiver, destination).count() as f64 / receiver_count as f64;
        let warmth = (warm_for / self.settings.warm_up_time.secs().max(0.001)).min(1.0);
        let capacity_part_at =
            |warmth: f64| self.settings.cold_start_share + (1.0 - self.settings.cold_start_share) * warmth;
        let window = self.settings.collapse_window;
        let offered = destination.offered_rate.get(now, self.tuning.offered_memory)
            / if receiver.separate_route { self.receiver_count(destination) as f64 } else { 1.0 };
        let capacity = likely_capacity_share(&self.settings, receiver, pace, offered) * unconfirmed_part;
        let expected_calls = capacity * now.since(pace.unconfirmed.last_confirmed_send).secs();
        let unaware_bound = UNAWARE_TRAFFIC_SHARE / expected_calls.exp_m1();
        let allowed_multiple = |warmth: f64| {
            (self.settings.collapse_multiple * RECOVERY_BUDGET_SHARE * capacity_part_at(warmth))
                .max(unaware_bound)
        };
        let budget = capacity * allowed_multiple(warmth) * window.secs();
        let sends =
            self.unconfirmed_siblings(receiver, destination).flat_map(|r| r.recent_sends.iter().copied());
        if budget >= 1.0 {
            let recent: f64 = sends.filter(|s| now.since(s.0) < window).map(|s| s.1).sum();
            return not_before(now, if recent + 1.0 <= budget { now } else { now.plus(RECHECK_INTERVAL) });
        }
        // The destination has warmed up during the gap, so the warmth at half that time counts.
        let gap = Micros::from_secs((capacity * allowed_multiple(warmth / 2.0)).recip());
        let first = pace.unconfirmed.from.plus(Micros::from_secs(gap.secs() * pace.unconfirmed.phase));
        let last = sends.filter(|s| s.0 > pace.unconfirmed.from).max_by_key(|s| s.0);
        let next = last.map_or(first, |s| s.0.plus(Micros::from_secs(gap.secs() * s.1)).max(first));
        not_before(now, next).map_err(|t| t.min(now.plus(CONTROL_UPDATE_INTERVAL)))
    }
}

/// This sender's equal share of the limit that answers report or, failing that, the list states; zero if none
/// is known.
pub(super) fn limit_share(settings: &Settings, receiver: &Receiver) -> f64 {
    let listed = match settings.weights {
        Weights::Off => 0.0,
        Weights::Nominal => receiver.weight,
        Weights::Rough => receiver.weight * ROUGH_WEIGHT_FACTOR,
    };
    let limit = receiver.reported_limit.unwrap_or(listed);
    if limit.is_finite() { limit.max(0.0) / f64::from(settings.sender_count.max(1)) } else { 0.0 }
}

/// This sender's share of the capacity of a destination or separate route, in calls a second. Where nothing
/// is known, a part of the offered rate.
fn likely_capacity_share(settings: &Settings, receiver: &Receiver, pace: &Pace, offered: f64) -> f64 {
    let limit_share = limit_share(settings, receiver);
    let known = if pace.usual_rate > 0.0 { pace.usual_rate } else { offered * UNKNOWN_CAPACITY_SHARE };
    let min = MIN_UNKNOWN_CAPACITY_PER_S / f64::from(settings.sender_count.max(1));
    if limit_share > 0.0 { limit_share.max(pace.usual_rate) } else { known.max(min) }
}
