//! The health of receivers: what each outcome says of one, from the first failure to the return from an outage.

use super::*;

impl Outcome {
    /// Refused with much of its limit left: not by the limit, so it may be shut.
    pub(super) fn odd(&self) -> bool {
        matches!(self.verdict, Verdict::Full(_)) && self.remaining_share().is_some_and(|x| x > ALLOWANCE_LEFT)
    }
    /// Refused by the limit, as the answer tells: no outage, however long it goes on.
    pub(super) fn used_up(&self) -> bool {
        self.remaining_share().is_some_and(|x| x <= ALLOWANCE_LEFT)
    }
    /// A wait longer than limits ask for tells of an outage; what opens then is cold.
    pub(super) fn long_wait(&self) -> bool {
        self.retry_after() >= LONG_WAIT && !self.used_up()
    }
}

impl Receiver {
    /// Calls that hang raise no outcome: the age of two makes the receiver sick, at this time. One tells of itself.
    pub(super) fn silent_at(&self) -> Micros {
        let Some(oldest) = self.calls.values().nth(1) else { return NEVER };
        let bar = Micros::from_secs(SILENT_NORMS * self.norm).plus(SILENT_PLUS);
        oldest.plus(bar).max(self.last_delivered.plus(SILENT_PLUS)).plus(Micros(1))
    }
    pub(super) fn slow_bar(&self) -> f64 {
        SLOW_NORMS * self.norm + 0.1
    }
    /// A call that hangs while a later one is delivered tells of its connection, its answer or its message.
    pub(super) fn overtaken(&self, sent: Micros, age: f64) -> bool {
        age > OUTLIER_S && self.last_proof > sent
    }
    /// With `outliers` such calls count all the same.
    pub(super) fn slow(&self, now: Micros, outliers: bool) -> bool {
        let bar = self.slow_bar();
        let late = |t: &Micros| {
            let age = now.since(*t).secs();
            age > bar * 1.5 && (outliers || !self.overtaken(*t, age))
        };
        self.latency > bar || self.calls.values().any(late)
    }
    /// Most of the last calls failed, or the last few all did. Where fewer fail it pays to go on.
    pub(super) fn mostly_fails(&self, broad: f64) -> bool {
        let run = run_by_chance(broad).clamp(SICK_RUN, SICK_RUN_MOST);
        let fails = (SICK_FAILS + run - SICK_RUN).min(7.0);
        f64::from(self.failed_lately.trailing_ones()) >= run
            || f64::from(self.failed_lately.count_ones()) >= fails
    }
    pub(super) fn on_failure(&mut self, now: Micros, sent: Micros, broad: f64) {
        self.failed_lately = self.failed_lately << 1 | 1;
        match self.health {
            Health::Sick { since, backoff, .. } if sent >= since => {
                let longer = Micros::from_secs(backoff.secs() * TRIAL_GROWTH).min(TRIAL_MOST);
                self.health = Health::Sick { since, trial_at: now.plus(longer), backoff: longer };
            }
            Health::Sick { .. } => {}
            _ if self.mostly_fails(broad) => self.sicken(now, TRIAL_FIRST),
            Health::Suspect { .. } => {}
            // What fails while it recovers may be out still: an outage may let some calls through.
            Health::Recovering { .. } => self.health = Health::Recovering { since: now },
            _ => self.health = Health::Suspect { since: now },
        }
    }
    pub(super) fn on_refusal(&mut self, now: Micros, sent: Micros, o: &Outcome, shut: bool, odd: bool) {
        match self.health {
            _ if o.long_wait() || self.sick() && o.retry_after() > Micros(0) => {
                self.sicken(now, o.retry_after())
            }
            Health::Sick { .. } => self.on_failure(now, sent, 0.0),
            _ if shut => self.sicken(now, TRIAL_FIRST),
            Health::Suspect { .. } => {}
            _ if odd => self.health = Health::Suspect { since: now },
            _ => {}
        }
    }
    pub(super) fn on_delivery(
        &mut self, now: Micros, sent: Micros, elapsed: f64, trouble: Micros, set: &Settings,
    ) {
        self.failed_lately <<= 1;
        self.last_delivered = now;
        let proven = std::mem::replace(&mut self.last_proof, sent);
        self.latency += 0.3 * (elapsed - self.latency);
        let weight = if elapsed > self.norm { 0.03 } else { 0.1 };
        let weight = if proven == Micros(0) { 1.0 } else { weight };
        self.norm += weight * (elapsed.min(self.norm * 4.0) - self.norm);
        // No outage longer than a window of the rule fits between two proofs so close to each other.
        let blinked = sent.since(proven).min(now.since(trouble)) <= set.collapse_window;
        let back = if blinked { Health::Well } else { Health::Recovering { since: now } };
        match self.health {
            // Most outages take all receivers of a destination: one not heard of since may be cold too.
            Health::Well if proven < trouble && sent >= trouble => self.health = back,
            Health::Suspect { since } if sent >= since => self.health = Health::Well,
            // A late answer to an old call, and nothing failed: it was slow, not out.
            Health::Sick { since, .. } if sent < since && self.failed_lately == 0 => {
                self.health = Health::Suspect { since: now };
            }
            Health::Sick { since, .. } if sent >= since => self.health = Health::Recovering { since: now },
            Health::Recovering { since } if now.since(since) >= set.warm_up_time => {
                self.health = Health::Well
            }
            _ => {}
        }
    }
}

/// Where so large a share of calls fails anyway, a run of failures this long comes by chance as seldom as `CHANCE`.
fn run_by_chance(share: f64) -> f64 {
    (CHANCE.ln() / share.clamp(0.01, 0.9).ln()).ceil()
}
