//! The mechanism: refusals decide the pace at which calls go to a destination, or to a route where routes are
//! apart. Detect its refusals, update the rate, restrict the calls.

use super::*;

impl Control {
    /// Seconds until the pace lets so many calls go, if each update raises it by the largest step: within t seconds it
    /// lets rate * (e^(growth * t) - 1) / growth of them go, beside the tokens at hand.
    pub(super) fn soonest(&self, calls: f64) -> f64 {
        let growth = (1.0 + STEP_UP).ln() / UPDATE_EVERY.secs();
        ((calls - self.tokens).max(0.0) * growth / self.rate).ln_1p() / growth
    }
}

impl Pace {
    /// Detect: count a refusal; a burst of them starts control, severe. `told` is this sender's part of a
    /// limit that is told. True if it looks shut: refusals alone over a while are an outage like others.
    pub(super) fn on_refusal(
        &mut self, now: Micros, scale: Scale, told: f64, o: &Outcome, roll: f64,
    ) -> bool {
        // Refused calls use the limit up: what all still send while each learns by itself keeps it used up.
        if scale.fleet && o.remaining_share().is_none() && o.retry_after() < LONG_WAIT {
            let breath = BREATH_S * f64::from(1u32 << self.refused_run.min(3));
            self.breath = now.plus(Micros::from_secs(breath * (0.5 + roll)));
            let served = self.served.get(now, scale.served_memory).max(told).max(scale.floor);
            (self.spacing, self.wary_until) = (Micros::from_secs(WARY / served), now.plus(scale.burst_span));
        }
        self.note_refusal(now, scale);
        self.told = told;
        let least = if o.limit_per_s.is_some() { FLOOR_OF_TOLD } else { FLOOR_OF_LISTED };
        self.floor = scale.floor.max(if self.woken { 0.0 } else { told * least });
        if let Some(c) = &mut self.control {
            c.refused += 1;
        } else if self.refusals.len() >= scale.burst_count {
            let served = self.served.get(now, scale.served_memory).max(self.usual);
            let rate = (served.max(told) * START_SHARE).max(self.floor);
            self.control = Some(Control { rate, refilled: now, updated: now, ..Control::default() });
        }
        if self.refused_run == 0 || o.used_up() {
            self.refused_since = now;
        }
        self.refused_run += 1;
        f64::from(self.refused_run) >= scale.shut_refusals && now.since(self.refused_since) >= scale.shut_span
    }
    /// Update: once an interval, a multiplicative step that grows with the gap to the target.
    pub(super) fn update(&mut self, now: Micros, offered: f64, scale: Scale) {
        let ceiling = offered.max(scale.floor) * CEILING;
        // Many senders above their parts of a limit keep it used up by refused calls alone.
        let served = self.served.get(now, scale.served_memory);
        let told = if self.told > 0.0 { self.told } else { f64::INFINITY };
        let Some(c) = &mut self.control else { return };
        c.tokens = (c.tokens + now.since(c.refilled).secs() * c.rate).min(scale.tokens);
        c.refilled = now;
        let span = now.since(c.updated);
        if span < UPDATE_EVERY {
            return;
        }
        c.credit +=
            (f64::from(c.sent) * TARGET_SHARE).max(span.secs() * scale.target_floor) - f64::from(c.refused);
        if c.credit < 0.0 {
            let gap = (-c.credit / f64::from(c.sent).max(1.0)).min(1.0);
            c.rate = (c.rate * (1.0 - STEP_DOWN * gap)).max(self.floor);
            c.credit = 0.0;
            c.ending = None;
        } else {
            c.credit = c.credit.min(1.0);
            c.rate = (c.rate * (1.0 + STEP_UP * (c.credit + scale.step_least).min(1.0)))
                .min(told.max(served * (1.0 + STEP_UP)).max(offered).max(self.floor));
        }
        (c.updated, c.sent, c.refused) = (now, 0, 0);
        if c.rate >= ceiling {
            c.rate = ceiling;
            let since = *c.ending.get_or_insert(now);
            if now.since(since) >= TERMINATION {
                (self.control, self.woken) = (None, false);
                self.refusals.clear();
            }
        }
    }
    /// Restrict: when the next call may go.
    pub(super) fn ready_at(&self, now: Micros) -> Micros {
        // Not beyond the next update, which may raise the rate.
        let gap = |c: &Control| Micros::from_secs((1.0 - c.tokens).max(0.0) / c.rate).min(UPDATE_EVERY);
        now.plus(self.control.as_ref().map_or(Micros(0), gap)).max(self.wait_until).max(self.breath)
    }
    pub(super) fn on_send(&mut self, now: Micros) {
        if let Some(c) = &mut self.control {
            c.tokens -= 1.0;
            c.sent += 1;
        }
        if self.wary_until == NEVER || self.control.is_none() && now < self.wary_until {
            self.breath = now.plus(self.spacing);
        }
    }
}
