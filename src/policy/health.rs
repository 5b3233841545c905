//! The health of receivers: what each outcome shows about a receiver, from its first failure to its return
//! from an outage.

use super::*;

impl Outcome {
    /// A refusal while much of the limit was unused. The limit didn't cause it, so the receiver may be out of
    /// order.
    pub(super) fn refused_below_limit(&self) -> bool {
        matches!(self.verdict, Verdict::Full(_))
            && self.remaining_share().is_some_and(|x| x > UNUSED_LIMIT_SHARE)
    }
    /// The answer reports that the limit is mostly used, so that refusals are no outage however long they go
    /// on.
    pub(super) fn limit_used_up(&self) -> bool {
        self.remaining_share().is_some_and(|x| x <= UNUSED_LIMIT_SHARE)
    }
    /// A retry-after longer than limits ask for means an outage; the receiver is cold when it is over.
    pub(super) fn outage_retry_after(&self) -> bool {
        self.retry_after() >= OUTAGE_RETRY_AFTER && !self.limit_used_up()
    }
}

impl Receiver {
    /// When the calls in flight will have hung for too long and the receiver becomes unhealthy. A call that
    /// hangs has no outcome, so its age counts. Two calls have to hang: one alone may hang because of its
    /// message.
    pub(super) fn hung_at(&self) -> Micros {
        let Some(second_oldest) = self.calls.values().nth(1) else { return NEVER };
        let threshold = Micros::from_secs(HUNG_LATENCY_FACTOR * self.usual_latency).plus(HUNG_EXTRA);
        second_oldest.plus(threshold).max(self.last_delivered.plus(HUNG_EXTRA)).plus(Micros(1))
    }
    /// Latency in seconds above which a call is slow.
    pub(super) fn slow_threshold(&self) -> f64 {
        SLOW_LATENCY_FACTOR * self.usual_latency + 0.1
    }
    /// A call hangs although a later one was delivered. That is a matter of its connection, its answer or its
    /// message and says nothing of the receiver.
    pub(super) fn overtaken(&self, sent_at: Micros, age: f64) -> bool {
        age > OVERTAKEN_MIN_AGE_S && self.last_confirmed_send > sent_at
    }
    /// The receiver is slow, by its deliveries or by its calls in flight; overtaken calls count only if
    /// `include_overtaken`.
    pub(super) fn slow(&self, now: Micros, include_overtaken: bool) -> bool {
        let threshold = self.slow_threshold();
        let late = |sent_at: &Micros| {
            let age = now.since(*sent_at).secs();
            age > threshold * 1.5 && (include_overtaken || !self.overtaken(*sent_at, age))
        };
        self.recent_latency > threshold || self.calls.values().any(late)
    }
    /// Most of the last calls failed, or the last few all did. If fewer fail, it pays to go on sending.
    pub(super) fn mostly_fails(&self, background_failures: f64) -> bool {
        let run = chance_run(background_failures).clamp(UNHEALTHY_FAILURE_RUN, MAX_UNHEALTHY_FAILURE_RUN);
        let failures = (UNHEALTHY_RECENT_FAILURES + run - UNHEALTHY_FAILURE_RUN).min(7.0);
        f64::from(self.recent_failures.trailing_ones()) >= run
            || f64::from(self.recent_failures.count_ones()) >= failures
    }
    pub(super) fn on_failure(&mut self, now: Micros, sent_at: Micros, background_failures: f64) {
        self.recent_failures = self.recent_failures << 1 | 1;
        match self.health {
            Health::Unhealthy { since, backoff, .. } if sent_at >= since => {
                let longer = Micros::from_secs(backoff.secs() * TRIAL_DELAY_GROWTH).min(MAX_TRIAL_DELAY);
                self.health = Health::Unhealthy { since, trial_at: now.plus(longer), backoff: longer };
            }
            Health::Unhealthy { .. } => {}
            _ if self.mostly_fails(background_failures) => self.mark_unhealthy(now, FIRST_TRIAL_DELAY),
            Health::Suspect { .. } => {}
            // After a failure the outage may not be over: some calls may succeed during an outage.
            Health::Recovering { .. } => self.health = Health::Recovering { since: now },
            _ => self.health = Health::Suspect { since: now },
        }
    }
    /// `outage`: the refusals have gone on for so long that they mean an outage. `below_limit`: this refusal
    /// is not caused by the limit.
    pub(super) fn on_refusal(
        &mut self, now: Micros, sent_at: Micros, outcome: &Outcome, outage: bool, below_limit: bool,
    ) {
        match self.health {
            _ if outcome.outage_retry_after() || self.unhealthy() && outcome.retry_after() > Micros(0) => {
                self.mark_unhealthy(now, outcome.retry_after());
            }
            Health::Unhealthy { .. } => self.on_failure(now, sent_at, 0.0),
            _ if outage => self.mark_unhealthy(now, FIRST_TRIAL_DELAY),
            Health::Suspect { .. } => {}
            _ if below_limit => self.health = Health::Suspect { since: now },
            _ => {}
        }
    }
    /// `last_unhealthy_at`: when a receiver of the destination last became unhealthy.
    pub(super) fn on_delivery(
        &mut self, now: Micros, sent_at: Micros, elapsed: f64, last_unhealthy_at: Micros, settings: &Settings,
    ) {
        self.recent_failures <<= 1;
        self.last_delivered = now;
        let previous = std::mem::replace(&mut self.last_confirmed_send, sent_at);
        self.recent_latency += 0.3 * (elapsed - self.recent_latency);
        let weight = if elapsed > self.usual_latency { 0.03 } else { 0.1 };
        let weight = if previous == Micros(0) { 1.0 } else { weight };
        self.usual_latency += weight * (elapsed.min(self.usual_latency * 4.0) - self.usual_latency);
        // Between two confirmed sends so close to each other, no outage as long as the collapse window can
        // have been.
        let short_gap = sent_at.since(previous).min(now.since(last_unhealthy_at)) <= settings.collapse_window;
        let confirmed = if short_gap { Health::Healthy } else { Health::Recovering { since: now } };
        match self.health {
            // Most outages affect all receivers of a destination, so one without a delivery since may be cold
            // too.
            Health::Healthy if previous < last_unhealthy_at && sent_at >= last_unhealthy_at => {
                self.health = confirmed;
            }
            Health::Suspect { since } if sent_at >= since => self.health = Health::Healthy,
            // A late answer to an old call, and no failure: the receiver was slow, but not out of order.
            Health::Unhealthy { since, .. } if sent_at < since && self.recent_failures == 0 => {
                self.health = Health::Suspect { since: now };
            }
            Health::Unhealthy { since, .. } if sent_at >= since => {
                self.health = Health::Recovering { since: now };
            }
            Health::Recovering { since } if now.since(since) >= settings.warm_up_time => {
                self.health = Health::Healthy;
            }
            _ => {}
        }
    }
}

/// Length of a run of failures that occurs by chance with at most `CHANCE_RUN_PROBABILITY`, if this share of
/// all calls fails anyway.
fn chance_run(failure_share: f64) -> f64 {
    (CHANCE_RUN_PROBABILITY.ln() / failure_share.clamp(0.01, 0.9).ln()).ceil()
}
