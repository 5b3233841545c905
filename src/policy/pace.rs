//! Rate control: refusals decide how fast calls go to a destination, or to a separate route. It has three
//! steps: detect refusals, update the rate, restrict the calls.

use super::*;

impl RateControl {
    /// Seconds until the pace lets this many calls go, if each update raises the rate by the largest step.
    /// Within t seconds, rate * (e^(growth * t) - 1) / growth calls may go in addition to the available
    /// tokens.
    pub(super) fn min_wait(&self, calls: f64) -> f64 {
        let growth = (1.0 + MAX_RATE_INCREASE).ln() / CONTROL_UPDATE_INTERVAL.secs();
        ((calls - self.tokens).max(0.0) * growth / self.rate).ln_1p() / growth
    }
}

impl Pace {
    /// Detect: counts a refusal. A burst of refusals starts rate control with a severe restriction.
    /// `limit_share` is this sender's share of the limit, zero if none is known, and `random` a number from 0
    /// to 1. Returns whether the refusals, which go on for a while without a delivery, are to be taken for an
    /// outage.
    pub(super) fn on_refusal(
        &mut self, now: Micros, tuning: ScaledTuning, limit_share: f64, outcome: &Outcome, random: f64,
    ) -> bool {
        // Refused calls use up the limit too: what all senders still send while each of them learns of the
        // overload by itself keeps the limit used up.
        if tuning.isolated_fleet
            && outcome.remaining_share().is_none()
            && outcome.retry_after() < OUTAGE_RETRY_AFTER
        {
            let pause = ISOLATED_REFUSAL_PAUSE_S * f64::from(1u32 << self.refusal_run.min(3));
            self.next_call_at = now.plus(Micros::from_secs(pause * (0.5 + random)));
            let served =
                self.served_rate.get(now, tuning.served_memory).max(limit_share).max(tuning.min_rate);
            (self.spacing, self.spaced_until) =
                (Micros::from_secs(ISOLATED_SPACING_FACTOR / served), now.plus(tuning.burst_window));
        }
        self.note_refusal(now, tuning);
        self.limit_share = limit_share;
        let floor = if outcome.limit_per_s.is_some() { REPORTED_LIMIT_FLOOR } else { LISTED_LIMIT_FLOOR };
        self.min_rate = tuning.min_rate.max(if self.newly_activated { 0.0 } else { limit_share * floor });
        if let Some(control) = &mut self.control {
            control.refused += 1;
        } else if self.refusals.len() >= tuning.burst_refusals {
            let served = self.served_rate.get(now, tuning.served_memory).max(self.usual_rate);
            let rate = (served.max(limit_share) * CONTROL_START_SHARE).max(self.min_rate);
            self.control =
                Some(RateControl { rate, refilled_at: now, updated_at: now, ..RateControl::default() });
        }
        if self.refusal_run == 0 || outcome.limit_used_up() {
            self.refused_since = now;
        }
        self.refusal_run += 1;
        f64::from(self.refusal_run) >= tuning.outage_refusals
            && now.since(self.refused_since) >= tuning.outage_refusal_span
    }
    /// Update: once in an interval, changes the rate by a factor that grows with the distance from the
    /// target.
    pub(super) fn update(&mut self, now: Micros, offered: f64, tuning: ScaledTuning) {
        let ceiling = offered.max(tuning.min_rate) * RATE_CEILING_FACTOR;
        // Many senders above their shares of a limit keep it used up by refused calls alone, so the share
        // bounds the increase of the rate.
        let served = self.served_rate.get(now, tuning.served_memory);
        let limit_share = if self.limit_share > 0.0 { self.limit_share } else { f64::INFINITY };
        let Some(control) = &mut self.control else { return };
        control.tokens =
            (control.tokens + now.since(control.refilled_at).secs() * control.rate).min(tuning.max_tokens);
        control.refilled_at = now;
        let span = now.since(control.updated_at);
        if span < CONTROL_UPDATE_INTERVAL {
            return;
        }
        control.refusal_credit += (f64::from(control.sent) * TARGET_REFUSAL_SHARE)
            .max(span.secs() * tuning.min_target_per_s)
            - f64::from(control.refused);
        if control.refusal_credit < 0.0 {
            let excess = (-control.refusal_credit / f64::from(control.sent).max(1.0)).min(1.0);
            control.rate = (control.rate * (1.0 - MAX_RATE_DECREASE * excess)).max(self.min_rate);
            control.refusal_credit = 0.0;
            control.at_ceiling_since = None;
        } else {
            control.refusal_credit = control.refusal_credit.min(1.0);
            control.rate = (control.rate
                * (1.0 + MAX_RATE_INCREASE * (control.refusal_credit + tuning.min_increase_share).min(1.0)))
            .min(limit_share.max(served * (1.0 + MAX_RATE_INCREASE)).max(offered).max(self.min_rate));
        }
        (control.updated_at, control.sent, control.refused) = (now, 0, 0);
        if control.rate >= ceiling {
            control.rate = ceiling;
            let since = *control.at_ceiling_since.get_or_insert(now);
            if now.since(since) >= CONTROL_TERMINATION_DELAY {
                (self.control, self.newly_activated) = (None, false);
                self.refusals.clear();
            }
        }
    }
    /// Restrict: returns when the next call may go.
    pub(super) fn ready_at(&self, now: Micros) -> Micros {
        // Not beyond the next update, which may raise the rate.
        let gap = |control: &RateControl| {
            Micros::from_secs((1.0 - control.tokens).max(0.0) / control.rate).min(CONTROL_UPDATE_INTERVAL)
        };
        now.plus(self.control.as_ref().map_or(Micros(0), gap)).max(self.wait_until).max(self.next_call_at)
    }
    pub(super) fn on_send(&mut self, now: Micros) {
        if let Some(control) = &mut self.control {
            control.tokens -= 1.0;
            control.sent += 1;
        }
        if self.spaced_until == NEVER || self.control.is_none() && now < self.spaced_until {
            self.next_call_at = now.plus(self.spacing);
        }
    }
}
