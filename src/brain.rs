//! Every decision, table and tuned value of onyxrock. Settings, events, actions: `src/interface.rs`.
//!
//! Each destination (each route where routes are apart) has a `Pace`: Detect its refusals, Update, Restrict.
//! Departures: health of receivers, the cold ramp, worth order, giving up. README.md says where they stand.

use crate::interface::*;
use crate::list_refresh::ListRefresh;
use crate::news::News;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

mod books;
mod rest;

pub use books::Brain;

// --- The mechanism (refusals decide the pace) -----------------------------------------------------------
const TARGET_SHARE: f64 = 0.05; // l: one refusal in twenty of this sender's calls ...
const TARGET_FLOOR_PER_S: f64 = 0.05; // ... and at least one in twenty seconds
const BURST_COUNT: usize = 3; // so many refusals ...
const BURST_SPAN_S: f64 = 1.0; // within this sliding window start control ...
const BURST_SPAN_MOST_S: f64 = 6.0; // ... longer with many senders
const FEW_SENDERS: f64 = 4.0; // up to so many, nothing is stretched
const USUAL_STEP: f64 = 0.05; // of the usual rate, at each delivery
const START_SHARE: f64 = 0.5; // severe start: share of the recently served rate
const STEP_DOWN: f64 = 0.5;
const STEP_UP: f64 = 0.25;
const STEP_LEAST: f64 = 0.4;
const UPDATE_EVERY: Micros = Micros(500_000);
const PACE_FLOOR: f64 = 1.0;
const FLOOR_OF_TOLD: f64 = 0.8; // of a limit in answers: all senders together stay under it
const FLOOR_OF_LISTED: f64 = 0.25; // of one in the list, which is rough and may be old
const SPACING: f64 = 1.2; // calls to a limit that answers report keep so many times this sender's part apart,
const SPACING_LEFT: f64 = 0.7; // less so much of it where all of it is left
const SPACING_MOST: Micros = Micros(4_000_000); // a sender of many comes seldom by itself
const CEILING: f64 = 2.0; // times what is offered: the least restriction
const TERMINATION: Micros = Micros(5_000_000);
const BURST_TOKENS: f64 = 1.0;
const SERVED_MEMORY_S: f64 = 1.0; // of the rate that control starts from
const RATE_MEMORY_S: f64 = 3.0; // time constant of the rate meters
const MEMORY_MOST_S: f64 = 30.0;
const YOUNG_S: f64 = 1.0; // a meter's least age
const FLEET: u32 = 16; // beyond it, told of nothing, a sender sees too little to wait for more than ...
const FLEET_BURST: usize = 2; // ... so many refusals, and keeps so many calls for its own clumps:
const FLEET_TOKENS: f64 = 3.0; // together they come as evenly as if nobody did
const BREATH_S: f64 = 1.0; // without a call after a refusal; doubled by each of the next three in a row
const WARY: f64 = 1.6; // times as far apart as served calls are what goes until a burst could follow
const FLEET_STEP_LEAST: f64 = 0.2; // the steps up of all add up
const FLEET_SHUT_SPAN: Micros = Micros(4_000_000); // a limit that all overran refuses all for seconds, too
// --- Calls in flight -------------------------------------------------------------------------------------
const CAP_WELL: f64 = 0.75;
const CAP_SICK: f64 = 0.5;
const BUSY_STRETCH: f64 = 1.5; // a slow receiver may hold this multiple of the calls it usually keeps busy
// --- Health ----------------------------------------------------------------------------------------------
const SICK_RUN: f64 = 3.0; // failures in a row that make a receiver sick ...
const SICK_RUN_MOST: f64 = 6.0; // ... more where calls fail everywhere, since then runs come by chance ...
const CHANCE: f64 = 0.002; // ... as seldom as this
const SICK_FAILS: f64 = 5.0; // failures among the last eight that make a receiver sick; as many more
const BROAD: f64 = 0.02; // of each outcome, in the share that fails everywhere
const SHUT_REFUSALS: f64 = 4.0; // refusals in a row, no delivery between, that look like a shut destination
const SHUT_SPAN: Micros = Micros(1_000_000);
const ALLOWANCE_LEFT: f64 = 0.5; // refused with more of its allowance left, a destination looks shut
const LONG_WAIT: Micros = Micros(2_500_000); // limits count in spans of two seconds at most
const TRIAL_FIRST: Micros = Micros(500_000);
const TRIAL_MOST: Micros = Micros(1_500_000);
const TRIAL_GROWTH: f64 = 1.5;
const SILENT_NORMS: f64 = 10.0; // a call out for so many norms ...
const SILENT_PLUS: Micros = Micros(1_000_000); // ... and this is silence
const SLOW_NORMS: f64 = 3.0;
const OUTLIER_S: f64 = 0.5; // out for longer, while later ones are answered, a call tells of itself alone
const GIVES_WAY: u32 = 2; // so many attempts of a message may be called off; what hangs again may be heavy itself
// --- Return from an outage -------------------------------------------------------------------------------
const BUDGET_SHARE: f64 = 0.6; // under the two thirds from which those that knew are blamed
const EXTRA_WEIGHT: f64 = 0.25; // of a further message in a call, which weighs a little ...
const MOST_WEIGHT: f64 = 2.0; // ... and of all in a call to what may be cold
const FRESH_SHARE: f64 = 0.5; // of what senders send that have not met the outage yet
const ROUGH_CAUTION: f64 = 0.66; // a rough weight may be half too high
const UNKNOWN_CAPACITY: f64 = 1.0; // calls a second from all senders together, at least, where nothing is known
const UNKNOWN_PART: f64 = 0.5; // of what is asked for: traffic may be at twice the usual
// --- Messages --------------------------------------------------------------------------------------------
const PATIENCE_NORMS: f64 = 8.0;
const PATIENCE_LEAST: Micros = Micros(2_000_000);
const PATIENCE_PART: u64 = 2; // of a message's time: a call that is given up runs on, and its repeat takes room too
const PATIENCE_UNSAFE: f64 = 2.5; // an unsafe call that times out is lost: wait longer
const COPY_SHARE: f64 = 0.02; // second copies, of all calls
const COPY_AFTER: f64 = 3.0; // times what is slow for the receiver
const MARGIN: Micros = Micros(60_000); // answer this long before the deadline
const REFUSED_PAUSE_S: f64 = 0.3;
const LEADER_PAUSE_S: f64 = 0.15; // where others of its key wait behind it
const REFUSED_PAUSE_MOST_S: f64 = 2.0; // ... for the first, with many senders
const HELD_HIGH: f64 = 0.95; // share of the holding room above which the least worth goes
const SHARE_SPAN_S: f64 = 2.0; // a tenant may use its share of so long at once ...
const SHARE_LEAST: f64 = 2.0; // ... and so many messages
const FEE_SECONDS: f64 = 20.0; // a route's fee of one worth, as waiting time
const FAST_CONNECT: Micros = Micros(500_000); // a refused connect takes less
const TABLE_LEAST: u32 = 8; // so few senders leave even a small table room
const LOOK_AGAIN: Micros = Micros(100_000); // at gates that open by degrees

impl Scale {
    fn of(set: &Settings) -> Scale {
        let senders = f64::from(set.senders.max(1));
        let fleet = set.senders > FLEET && !set.notes;
        let span_most = if fleet { MEMORY_MOST_S } else { BURST_SPAN_MOST_S };
        let stretch = |secs: f64, most: f64| (secs * senders / FEW_SENDERS).clamp(secs, most);
        Scale {
            burst_span: Micros::from_secs(stretch(BURST_SPAN_S, span_most)),
            served_memory: Memory { secs: stretch(SERVED_MEMORY_S, MEMORY_MOST_S), young: YOUNG_S },
            rate_memory: Memory { secs: stretch(RATE_MEMORY_S, MEMORY_MOST_S), young: YOUNG_S },
            refused_pause: stretch(REFUSED_PAUSE_S, REFUSED_PAUSE_MOST_S),
            shut_refusals: SHUT_REFUSALS - if fleet { 0.0 } else { (senders / FEW_SENDERS).max(1.0).log2() },
            shut_span: if fleet { FLEET_SHUT_SPAN } else { SHUT_SPAN },
            burst_count: if fleet { FLEET_BURST } else { BURST_COUNT },
            tokens: if fleet { FLEET_TOKENS } else { BURST_TOKENS },
            target_floor: TARGET_FLOOR_PER_S / if fleet { senders } else { 1.0 },
            step_least: if fleet { FLEET_STEP_LEAST } else { STEP_LEAST },
            fleet,
            senders,
            floor: PACE_FLOOR / senders,
        }
    }
}

impl Control {
    /// Seconds until the pace lets so many calls go, if each update raises it by the largest step: within t seconds it
    /// lets rate * (e^(growth * t) - 1) / growth of them go, beside the tokens at hand.
    fn soonest(&self, calls: f64) -> f64 {
        let growth = (1.0 + STEP_UP).ln() / UPDATE_EVERY.secs();
        ((calls - self.tokens).max(0.0) * growth / self.rate).ln_1p() / growth
    }
}

impl Pace {
    /// Detect: count a refusal; a burst of them starts control, severe. `told` is this sender's part of a
    /// limit that is told. True if it looks shut: refusals alone over a while are an outage like others.
    fn on_refusal(&mut self, now: Micros, scale: Scale, told: f64, o: &Outcome, roll: f64) -> bool {
        // Refused calls use the limit up: what all still send while each learns by itself keeps it used up.
        if scale.fleet && o.left().is_none() && o.wait() < LONG_WAIT {
            let breath = BREATH_S * f64::from(1u32 << self.refused_run.min(3));
            self.breath = now.after(Micros::from_secs(breath * (0.5 + roll)));
            let served = self.served.get(now, scale.served_memory).max(told).max(scale.floor);
            (self.spacing, self.wary_until) = (Micros::from_secs(WARY / served), now.after(scale.burst_span));
        }
        self.note_refusal(now, scale);
        self.told = told;
        let least = if o.limit.is_some() { FLOOR_OF_TOLD } else { FLOOR_OF_LISTED };
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
    fn update(&mut self, now: Micros, offered: f64, scale: Scale) {
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
    fn ready_at(&self, now: Micros) -> Micros {
        // Not beyond the next update, which may raise the rate.
        let gap = |c: &Control| Micros::from_secs((1.0 - c.tokens).max(0.0) / c.rate).min(UPDATE_EVERY);
        now.after(self.control.as_ref().map_or(Micros(0), gap)).max(self.wait_until).max(self.breath)
    }
    fn on_send(&mut self, now: Micros) {
        if let Some(c) = &mut self.control {
            c.tokens -= 1.0;
            c.sent += 1;
        }
        if self.wary_until == NEVER || self.control.is_none() && now < self.wary_until {
            self.breath = now.after(self.spacing);
        }
    }
}

impl Outcome {
    /// Refused with much of its limit left: not by the limit, so it may be shut.
    fn odd(&self) -> bool {
        matches!(self.verdict, Verdict::Full(_)) && self.left().is_some_and(|x| x > ALLOWANCE_LEFT)
    }
    /// Refused by the limit, as the answer tells: no outage, however long it goes on.
    fn used_up(&self) -> bool {
        self.left().is_some_and(|x| x <= ALLOWANCE_LEFT)
    }
    /// A full table says so at once; a connect that takes its time meets silence or a slow handshake.
    fn refused_connect(&self) -> bool {
        self.verdict == Verdict::ConnectFailed && self.elapsed < FAST_CONNECT
    }
    /// A wait longer than limits ask for tells of an outage; what opens then is cold.
    fn long_wait(&self) -> bool {
        self.wait() >= LONG_WAIT && !self.used_up()
    }
}

impl Receiver {
    /// Calls that hang raise no outcome: the age of two makes the receiver sick, at this time. One tells of itself.
    fn silent_at(&self) -> Micros {
        let Some(oldest) = self.calls.values().nth(1) else { return NEVER };
        let bar = Micros::from_secs(SILENT_NORMS * self.norm).after(SILENT_PLUS);
        oldest.after(bar).max(self.last_delivered.after(SILENT_PLUS)).after(Micros(1))
    }
    fn slow_bar(&self) -> f64 {
        SLOW_NORMS * self.norm + 0.1
    }
    /// A call that hangs while a later one is delivered tells of its connection, its answer or its message.
    fn overtaken(&self, sent: Micros, age: f64) -> bool {
        age > OUTLIER_S && self.last_proof > sent
    }
    /// With `outliers` such calls count all the same.
    fn slow(&self, now: Micros, outliers: bool) -> bool {
        let bar = self.slow_bar();
        let late = |t: &Micros| {
            let age = now.since(*t).secs();
            age > bar * 1.5 && (outliers || !self.overtaken(*t, age))
        };
        self.latency > bar || self.calls.values().any(late)
    }
    /// Most of the last calls failed, or the last few all did. Where fewer fail it pays to go on.
    fn mostly_fails(&self, broad: f64) -> bool {
        let run = run_by_chance(broad).clamp(SICK_RUN, SICK_RUN_MOST);
        let fails = (SICK_FAILS + run - SICK_RUN).min(7.0);
        f64::from(self.failed_lately.trailing_ones()) >= run
            || f64::from(self.failed_lately.count_ones()) >= fails
    }
    fn on_failure(&mut self, now: Micros, sent: Micros, broad: f64) {
        self.failed_lately = self.failed_lately << 1 | 1;
        match self.health {
            Health::Sick { since, backoff, .. } if sent >= since => {
                let longer = Micros::from_secs(backoff.secs() * TRIAL_GROWTH).min(TRIAL_MOST);
                self.health = Health::Sick { since, trial_at: now.after(longer), backoff: longer };
            }
            Health::Sick { .. } => {}
            _ if self.mostly_fails(broad) => self.sicken(now, TRIAL_FIRST),
            Health::Suspect { .. } => {}
            // What fails while it recovers may be out still: an outage may let some calls through.
            Health::Recovering { .. } => self.health = Health::Recovering { since: now },
            _ => self.health = Health::Suspect { since: now },
        }
    }
    /// The table of connections is a limit like others while answers come, or no more connects are refused in a row than
    /// come by chance among its kind: the next one waits about as long as a call holds a place, and longer each time.
    fn on_refused_connect(&mut self, now: Micros, sent: Micros, share: f64, roll: f64) {
        let by_chance = run_by_chance(share).min(SICK_RUN_MOST);
        let run = self.failed_lately.trailing_ones() + 1;
        if now <= self.last_delivered.after(Micros::from_secs(self.slow_bar())) && !self.calls.is_empty() {
            return; // its other connections work: the next answer makes room
        }
        if self.sick() || by_chance <= SICK_RUN || f64::from(run) >= by_chance {
            return self.on_failure(now, sent, share);
        }
        self.failed_lately = self.failed_lately << 1 | 1;
        let pause = Micros::from_secs(self.norm * f64::from(1u32 << (run - 1)) * (0.5 + roll));
        self.pace.breath = self.pace.breath.max(now.after(pause));
    }
    fn on_refusal(&mut self, now: Micros, sent: Micros, o: &Outcome, shut: bool, odd: bool) {
        match self.health {
            _ if o.long_wait() || self.sick() && o.wait() > Micros(0) => self.sicken(now, o.wait()),
            Health::Sick { .. } => self.on_failure(now, sent, 0.0),
            _ if shut => self.sicken(now, TRIAL_FIRST),
            Health::Suspect { .. } => {}
            _ if odd => self.health = Health::Suspect { since: now },
            _ => {}
        }
    }
    fn on_delivery(&mut self, now: Micros, sent: Micros, elapsed: f64, trouble: Micros, set: &Settings) {
        self.failed_lately <<= 1;
        self.last_delivered = now;
        let proven = std::mem::replace(&mut self.last_proof, sent);
        self.latency += 0.3 * (elapsed - self.latency);
        let weight = if elapsed > self.norm { 0.03 } else { 0.1 };
        let weight = if proven == Micros(0) { 1.0 } else { weight };
        self.norm += weight * (elapsed.min(self.norm * 4.0) - self.norm);
        // No outage longer than a window of the rule fits between two proofs so close to each other.
        let blinked = sent.since(proven).min(now.since(trouble)) <= set.fall_window;
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
            Health::Recovering { since } if now.since(since) >= set.warm_within => self.health = Health::Well,
            _ => {}
        }
    }
}

impl Brain {
    /// Decides what to do now, after all events of this moment.
    pub fn decide(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.append(&mut self.called_off);
        actions.extend(self.list_refresh.take_due(now).then_some(Action::Follow));
        let due = self.agenda.take_due(now);
        due.iter().for_each(|id| self.refresh(now, *id));
        let looks = self.send_best(now, &due, actions);
        self.give_way(now, actions);
        let unused = |id: &ReceiverId| self.receivers.get(id).is_some_and(|r| r.calls.is_empty());
        let unused = std::mem::take(&mut self.giving_back).into_iter().filter(unused);
        actions.extend(unused.map(Action::CloseIdle));
        for (id, at) in looks {
            self.agenda.look(id, at.min(self.silence_due(id)));
        }
        self.shed(now, actions);
        self.tidy(now);
        let wake = self.list_refresh.due().into_iter().chain(self.agenda.next()).min();
        if let Some(at) = wake.filter(|at| self.wake_at.is_none_or(|t| *at < t)) {
            self.wake_at = Some(at);
            actions.push(Action::WakeAfter(at.since(now).max(Micros(1))));
        }
    }

    /// What another found up was no colder than if it came back that moment. A late note only makes slower.
    fn on_note(&mut self, now: Micros, data: &[u8]) {
        let Some((id, news)) = News::read(data) else { return };
        self.note_wait(now, id, if let News::Wait(wait) = news { wait } else { Micros(0) });
        let Some(r) = self.receivers.get_mut(&id) else { return };
        let Some(d) = self.destinations.get_mut(&r.destination) else { return };
        let out_of_order = r.out_of_order(d);
        let pace = if r.apart { &mut r.pace } else { &mut d.pace };
        match news {
            News::Refused => pace.note_refusal(now, self.scale),
            News::Up if out_of_order => {
                pace.doubt = Doubt { from: now, phase: self.dice.roll(), ..pace.doubt };
                r.health = Health::Recovering { since: now };
                self.agenda.look(r.destination, now);
            }
            News::Wait(wait) => {
                pace.note_refusal(now, self.scale);
                if wait >= LONG_WAIT && matches!(r.health, Health::Well | Health::Suspect { .. }) {
                    let phase = self.dice.roll() + 0.5;
                    pace.doubt = Doubt { from: now.after(wait), phase, proven: r.last_proof };
                    r.sicken(now, wait);
                    d.trouble_at = now;
                }
            }
            News::Up => {}
        }
    }

    /// What time alone changes at a destination: its pace, and calls that hang.
    fn refresh(&mut self, now: Micros, id: DestinationId) {
        let scale = self.scale;
        let Some(d) = self.destinations.get_mut(&id) else { return };
        let offered = d.offered.get(now, scale.rate_memory);
        d.pace.update(now, offered, scale);
        for receiver in &d.receivers {
            let Some(r) = self.receivers.get_mut(receiver) else { continue };
            r.pace.update(now, offered, scale);
            if r.silent_at() <= now && matches!(r.health, Health::Well | Health::Suspect { .. }) {
                let doubt = Doubt { from: now, phase: self.dice.roll(), proven: r.last_proof };
                *(if r.apart { &mut r.pace.doubt } else { &mut d.pace.doubt }) = doubt;
                r.sicken(now, TRIAL_FIRST);
                d.trouble_at = now;
            }
        }
    }

    /// Beyond its tenant's share at this sender: a bucket of two seconds' worth.
    pub(super) fn over_share(&mut self, now: Micros, tenant: TenantId) -> bool {
        let Some(t) = self.set.tenants.get(tenant.0) else { return false };
        let rate = t.allowance_per_s / self.scale.senders;
        rate > 0.0 && !self.shares[tenant.0].take(now, rate, (rate * SHARE_SPAN_S).max(SHARE_LEAST))
    }

    /// The single place that ends a message undelivered: refused where a repeat is harmless, else failed.
    pub(super) fn end(
        &mut self, now: Micros, id: MessageId, wait: Option<Micros>, actions: &mut Vec<Action>,
    ) {
        let Some(m) = self.held.get(&id).filter(|m| !m.ended && m.out.is_empty()) else { return };
        actions.push(if m.may_refuse(&self.set, now) {
            let retry_after = wait.filter(|_| self.set.retry_after).map(|w| w.min(self.set.max_retry_after));
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.close(id);
    }

    fn on_outcome(&mut self, now: Micros, o: &Outcome, actions: &mut Vec<Action>) {
        self.note_wait(now, o.receiver, o.wait()); // whoever the call belonged to
        let Some(m) = self.held.get_mut(&o.id) else { return };
        let of = |a: &Attempt| a.number == o.attempt && a.receiver == o.receiver;
        let Some(place) = m.out.iter().position(of) else { return };
        let attempt = m.out.remove(place);
        let may_have_run = o.verdict.may_have_run();
        if let Some(k) = m.key.as_ref().filter(|_| may_have_run && o.verdict != Verdict::Error) {
            self.turns.rest(k, o.id, now.after(self.set.key_rest));
        }
        if may_have_run {
            m.maybe_ran = m.maybe_ran.into_iter().chain([(attempt.sent, attempt.zone)]).min_by_key(|f| f.0);
        }
        m.attempts -= u32::from(o.verdict == Verdict::HeldBack).min(m.attempts);
        m.untried &= matches!(o.verdict, Verdict::HeldBack | Verdict::Moot | Verdict::ConnectFailed);
        // Both prove that it never ran; at once the table or the limit would be as full.
        if matches!(o.verdict, Verdict::Full(_) | Verdict::ConnectFailed) {
            let doubled = f64::from(1u32 << (m.attempts.clamp(1, 6) - 1));
            let leads = m.key.as_ref().is_some_and(|k| self.turns.length(k) > 1);
            let soon = leads || o.odd() || o.refused_connect(); // its receiver waits, others need not
            let pause = if soon { LEADER_PAUSE_S } else { self.scale.refused_pause };
            m.not_before = now.after(Micros::from_secs(pause * doubled));
        }
        let lost = may_have_run && self.set.classes[m.class.0].effect == Effect::Unsafe;
        let spent = m.attempts >= self.set.max_attempts;
        let over = m.ended || o.finished || o.verdict == Verdict::Delivered;
        let alone = m.out.is_empty();
        let full_before = self.table_full(o.receiver);
        self.learn(now, o, &attempt, actions);
        if over {
            self.close(o.id);
        } else if alone && (lost || spent) {
            self.end(now, o.id, None, actions);
        } else if let Some(m) = self.held.get(&o.id) {
            self.destinations.entry(m.destination).or_default().waiting.insert(o.id);
        }
        if let Some(to) = self.receivers.get(&o.receiver).map(|r| r.destination) {
            self.agenda.look(to, now);
        }
        self.give_back(o.receiver, full_before);
        std::mem::take(&mut self.starved).into_iter().for_each(|id| self.agenda.look(id, now));
    }

    /// More connects are refused at receivers of this kind than the target allows.
    fn table_full(&self, id: ReceiverId) -> bool {
        let table = self.receivers.get(&id).and_then(|r| self.tables.get(&r.kind));
        table.is_some_and(|t| t.refused_share > TARGET_SHARE)
    }

    /// Where tables are full, a connection that the next decision has no use for is given back: all idle ones of the
    /// kind once that is seen, since who holds a place is never refused there, and then each after its call.
    fn give_back(&mut self, id: ReceiverId, full_before: bool) {
        let kept = self.set.connection_idle > Micros(0) && self.set.senders > TABLE_LEAST;
        if !kept || !self.table_full(id) {
            return;
        }
        let kind = self.receivers.get(&id).map(|r| r.kind);
        let all = self.receivers.iter().filter(|(_, r)| !full_before && Some(r.kind) == kind);
        self.giving_back.extend(all.map(|(to, _)| *to).chain([id]));
    }

    /// What an outcome says of its receiver.
    fn learn(&mut self, now: Micros, o: &Outcome, attempt: &Attempt, actions: &mut Vec<Action>) {
        let last = self.calls.answered(attempt.call);
        let scale = self.scale;
        let knew = self.doubted(o.receiver);
        self.note_limit(o);
        let Some(r) = self.receivers.get_mut(&o.receiver) else { return };
        if last {
            r.calls.remove(&attempt.call);
        }
        let Some(d) = self.destinations.get_mut(&r.destination) else { return };
        let trouble = if r.apart { Micros(0) } else { d.trouble_at };
        let told = told_share(&self.set, r);
        let was_doubted = r.out_of_order(d);
        let was_sick = r.sick();
        let overtaken = r.overtaken(attempt.sent, o.elapsed.secs());
        let pace = if r.apart { &mut r.pace } else { &mut d.pace };
        if let Some(left) = o.left().filter(|_| told > 0.0) {
            pace.spacing = Micros::from_secs((SPACING - SPACING_LEFT * left) / told).min(SPACING_MOST);
            pace.wary_until = NEVER;
            if matches!(o.verdict, Verdict::Full(_)) {
                pace.breath = now.after(pace.spacing);
            }
        }
        let mut tell = None;
        let table = self.tables.entry(r.kind).or_default();
        let usually_full = table.note(o.verdict, o.refused_connect(), &mut r.connects_refused);
        let (well, failed) = (o.verdict == Verdict::Delivered, o.verdict == Verdict::Reset);
        if (well || failed) && last && !was_sick {
            self.broad += BROAD * (f64::from(u8::from(failed)) - self.broad);
        }
        let unseen = now.since(r.last_proof) > self.set.fall_window;
        match o.verdict {
            Verdict::TimedOut if overtaken => {}
            _ if !last => {} // messages of one call share its fate
            Verdict::Delivered => {
                if r.health == Health::Well {
                    pace.usual += USUAL_STEP * (pace.served.get(now, scale.served_memory) - pace.usual);
                }
                pace.served.add(now, scale.served_memory);
                pace.refused_run = 0;
                r.on_delivery(now, attempt.sent, o.elapsed.secs(), trouble, &self.set);
                tell = was_doubted.then_some(News::Up);
            }
            Verdict::Full(wait) => {
                let roll = Dice(self.dice.0 ^ now.0).roll(); // no draw: other chances stay as they were
                let shut = pace.on_refusal(now, scale, told, o, roll);
                tell = Some(wait.map_or(News::Refused, News::Wait));
                r.on_refusal(now, attempt.sent, o, shut, o.odd() && unseen);
            }
            Verdict::ConnectFailed if o.refused_connect() => {
                r.on_refused_connect(now, attempt.sent, usually_full, Dice(self.dice.0 ^ now.0).roll());
            }
            Verdict::Error | Verdict::TimedOut | Verdict::Reset | Verdict::ConnectFailed => {
                r.on_failure(now, attempt.sent, self.broad);
            }
            Verdict::Stale | Verdict::Cancelled | Verdict::Moot | Verdict::HeldBack => {}
        }
        if !was_sick && r.sick() {
            d.trouble_at = now;
            let (which, of) = (o.receiver.0, r.destination.0);
            actions.push(Action::Log(format!("receiver {which} of {of} sick: {:?}", o.verdict)));
        }
        // All that were told the same opening would meet there: each falls into a gap of its own after it.
        if r.doubted(d) && (o.wait() > Micros(0) || !knew) {
            let proof = r.last_proof;
            let pace = if r.apart { &mut r.pace } else { &mut d.pace };
            let proven = if knew { pace.doubt.proven } else { proof };
            let phase = self.dice.roll() + if knew { 0.5 } else { 0.0 };
            pace.doubt = Doubt { from: now.max(pace.wait_until), phase, proven };
        }
        if let Some(news) = tell.filter(|_| self.set.notes) {
            self.tell(now, o.receiver, news, actions);
        }
    }

    /// Near the end of the holding room the least worth goes, before newcomers are turned away unseen.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let surplus = self.held.len().saturating_sub((f64::from(self.set.max_held) * HELD_HIGH) as usize);
        let held = if surplus > 0 { &self.held } else { return };
        let idle = held.iter().filter(|(_, m)| m.out.is_empty() && !m.ended);
        let mut waiting: Vec<_> = idle.map(|(id, m)| (m.worth(&self.set, now), *id)).collect();
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in waiting.into_iter().take(surplus) {
            self.end(now, id, Some(self.set.max_retry_after), actions);
        }
    }

    /// All slots are taken and messages wait: calls that were overtaken give way, where the message may be repeated.
    fn give_way(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let held = if self.set.cancel && !self.starved.is_empty() { &mut self.held } else { return };
        for (id, m) in held.iter_mut().filter(|(_, m)| m.attempts <= GIVES_WAY) {
            let safe = self.set.classes[m.class.0].effect != Effect::Unsafe;
            for a in m.out.iter_mut().filter(|a| safe && !a.called_off) {
                let r = self.receivers.get(&a.receiver);
                a.called_off = r.is_some_and(|r| r.overtaken(a.sent, now.since(a.sent).secs()));
                actions.extend(a.called_off.then_some(Action::CallOff { id: *id, attempt: a.number }));
            }
        }
    }

    /// What sending now rather than `horizon` later is worth, with a part of the worth itself. What an earlier process
    /// has left untried goes before all: it has waited through a restart already.
    fn urgency(&self, now: Micros, m: &Held, horizon: f64) -> f64 {
        let soon = if m.untried && m.out.is_empty() { f64::INFINITY } else { m.worth(&self.set, now) };
        soon - m.worth(&self.set, now.after(Micros::from_secs(horizon))) + 0.3 * soon
    }

    /// Offers the messages of these destinations to the gates, most worth first. Returns when to look again.
    fn send_best(
        &mut self, now: Micros, due: &BTreeSet<DestinationId>, actions: &mut Vec<Action>,
    ) -> BTreeMap<DestinationId, Micros> {
        let mut ranked = Vec::new();
        for d in due.iter().filter_map(|id| self.destinations.get(id)) {
            for (id, m) in d.waiting.iter().filter_map(|id| Some((id, self.held.get(id)?))) {
                // A copy goes after all that have none out.
                let worth = self.urgency(now, m, 2.0) * if m.out.is_empty() { 1.0 } else { 0.1 };
                ranked.push((worth, m.deadline, *id, m.destination));
            }
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut looks: BTreeMap<_, _> = due.iter().map(|id| (*id, NEVER)).collect();
        let mut behind: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for (_, _, id, destination) in ranked {
            if let Err(at) = self.try_send(now, id, actions) {
                let ahead = behind.entry(destination).or_default();
                let at = at.min(self.give_up(now, id, ahead, actions));
                looks.entry(destination).and_modify(|t| *t = at.min(*t));
            }
        }
        self.calls.seal();
        looks
    }

    /// What cannot go in time, by its own clock or the pace with better ones ahead, ends at once.
    /// Returns when it would have to.
    fn give_up(&mut self, now: Micros, id: MessageId, ahead: &mut f64, actions: &mut Vec<Action>) -> Micros {
        let Some(m) = self.held.get(&id).filter(|m| m.out.is_empty()) else { return NEVER };
        let Some(d) = self.destinations.get(&m.destination) else { return NEVER };
        *ahead += if m.untried { 0.0 } else { 1.0 }; // which goes first, and has its call to come
        let paced = d.pace.control.as_ref().map_or(0.0, |c| c.soonest(*ahead));
        let hopeless = m.sends_end(&self.set, None).since(MARGIN);
        let listed = d.receivers.iter().filter_map(|r| self.receivers.get(r));
        let told = listed.filter(|r| r.listing == Listing::Ready).map(|r| r.told_until(d)).min();
        let wait = Micros::from_secs(paced).max(told.unwrap_or_default().since(now));
        if now >= hopeless || now.after(wait) > m.deadline {
            self.end(now, id, Some(wait).filter(|w| *w > Micros(0)), actions);
            return NEVER;
        }
        hopeless
    }

    /// The single path of a send: every rule and bound is a gate here.
    fn try_send(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) -> Gate<()> {
        let m = self.held.get(&id).ok_or(NEVER)?;
        let class = &self.set.classes[m.class.0];
        if m.ended || m.attempts >= self.set.max_attempts || now >= m.sends_end(&self.set, None).since(MARGIN)
        {
            return Err(NEVER);
        }
        not_before(now, m.not_before)?;
        m.key.as_ref().map_or(Ok(()), |k| self.turns.gate(now, k, id))?;
        self.copy_open(now, m)?;
        let group = match (m.first(None), class.effect) {
            (Some(_), Effect::Unsafe) => return Err(NEVER),
            (Some((_, zone)), Effect::Keyed { group: Group::Zone, .. }) => Some(zone),
            _ => None,
        };
        let d = self.destinations.get(&m.destination).ok_or(NEVER)?;
        let joined = d.receivers.iter().copied().find(|r| {
            let Some(known) = self.receivers.get(r).filter(|_| self.calls.joinable(*r)) else { return false };
            group.is_none_or(|z| known.zone == z)
                && m.out.iter().all(|a| a.receiver != *r)
                && (!known.doubted(d) || known.sends.back().is_some_and(|s| s.1 < MOST_WEIGHT))
        });
        let target = match joined {
            Some(r) => r,
            None if self.calls.len() >= self.set.slots as usize => {
                self.starved.insert(m.destination);
                return Err(NEVER);
            }
            None => {
                self.destination_open(now, d)?;
                self.choose(now, d, group, m)?
            }
        };
        let patience = self.patience(now, m, target);
        self.commit(now, id, target, joined.is_some());
        actions.push(Action::Send { id, receiver: target, patience });
        Ok(())
    }

    /// Where one attempt is out: may a second go beside it? Only where that one is late by what is known of its receiver.
    fn copy_open(&self, now: Micros, m: &Held) -> Gate<()> {
        let Some(first) = m.out.first() else { return Ok(()) };
        room(m.out.len() < 2 && self.set.second_copies && self.copies >= 1.0)?;
        let r = self.receivers.get(&first.receiver).ok_or(NEVER)?;
        not_before(now, first.sent.after(Micros::from_secs(COPY_AFTER * r.slow_bar())))
    }

    /// The shared gates of a destination: told wait, pace, calls in flight.
    fn destination_open(&self, now: Micros, d: &Destination) -> Gate<()> {
        let known = d.receivers.iter().filter_map(|r| self.receivers.get(r));
        let in_flight: usize = known.clone().map(|r| r.calls.len()).sum();
        let ailing =
            known.clone().filter(|r| r.here()).any(|r| r.health != Health::Well || r.slow(now, true));
        let cap = f64::from(self.set.slots) * if ailing { CAP_SICK } else { CAP_WELL };
        room(in_flight < (cap as usize).max(1))?;
        not_before(now, d.pace.ready_at(now))
    }

    fn choose(&self, now: Micros, d: &Destination, group: Option<ZoneId>, m: &Held) -> Gate<ReceiverId> {
        let mut best: Option<(f64, ReceiverId)> = None;
        let mut later = NEVER;
        for id in &d.receivers {
            let Some(r) = self.receivers.get(id) else { continue };
            let out = m.out.iter().any(|a| a.receiver == *id);
            if r.listing != Listing::Ready || out || group.is_some_and(|z| r.zone != z) {
                continue;
            }
            if let Err(at) = self.receiver_open(now, r, d, m.class) {
                later = later.min(at);
                continue;
            }
            let fee = if r.apart { self.set.zone_fees.get(r.zone.0).copied().unwrap_or(0.0) } else { 0.0 };
            let trial = if r.sick() { -1.0 } else { 1.0 };
            let cost = trial * r.latency * (1.0 + r.calls.len() as f64) + fee * FEE_SECONDS;
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, *id));
            }
        }
        best.map(|b| b.1).ok_or(later)
    }

    /// The gates of one receiver: told wait and pace of a separate route, health, connections, cold budget.
    fn receiver_open(&self, now: Micros, r: &Receiver, d: &Destination, class: ClassId) -> Gate<()> {
        let calls = r.calls.len();
        not_before(now, r.pace.ready_at(now))?;
        room(calls < self.room_at(now, r, d))?;
        match r.health {
            Health::Well if !r.doubted(d) => Ok(()),
            Health::Well | Health::Suspect { .. } => {
                room(calls == 0)?;
                // Where proofs are frequent the next one tells soon enough; else one call may tell at once.
                let soon = |t: Micros| now.since(t) <= self.set.fall_window;
                if soon(r.last_proof) { Ok(()) } else { self.in_budget(now, r, d, 0.0) }
            }
            // Safe messages go first as trials; one that a trial may use up only where none came in time.
            Health::Sick { trial_at, backoff, .. } => {
                let risky = self.set.classes[class.0].effect != Effect::Safe;
                let risk = if risky { backoff.min(TRIAL_MOST) } else { Micros(0) };
                let probe = self.set.probe_class == Some(class);
                let later = if probe { Micros(0) } else { risk.max(self.set.hold_back) };
                not_before(now, trial_at.after(later))?;
                room(calls == 0)?;
                self.in_budget(now, r, d, 0.0)
            }
            Health::Recovering { since } => self.in_budget(now, r, d, now.since(since).secs()),
        }
    }

    /// Calls that a receiver may hold: a slow one about what it usually keeps busy, an unknown one a few.
    fn room_at(&self, now: Micros, r: &Receiver, d: &Destination) -> usize {
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
    fn in_budget(&self, now: Micros, r: &Receiver, d: &Destination, warm_for: f64) -> Gate<()> {
        if self.set.fall_multiple <= 0.0 {
            return Ok(());
        }
        let (pace, routes) = if r.apart { (&r.pace, 1) } else { (&d.pace, self.routes(d)) };
        let part_doubted = self.in_doubt(r, d).count() as f64 / routes as f64;
        let warm = (warm_for / self.set.warm_within.secs().max(0.001)).min(1.0);
        let part_at = |warm: f64| self.set.cold_from + (1.0 - self.set.cold_from) * warm;
        let window = self.set.fall_window;
        let asked =
            d.offered.get(now, self.scale.rate_memory) / if r.apart { self.routes(d) as f64 } else { 1.0 };
        let capacity = likely_share(&self.set, r, pace, asked) * part_doubted;
        let blind = capacity * now.since(pace.doubt.proven).secs();
        let fresh = FRESH_SHARE / blind.exp_m1();
        let part = |warm: f64| (self.set.fall_multiple * BUDGET_SHARE * part_at(warm)).max(fresh);
        let budget = capacity * part(warm) * window.secs();
        let sends = self.in_doubt(r, d).flat_map(|r| r.sends.iter().copied());
        if budget >= 1.0 {
            let recent: f64 = sends.filter(|s| now.since(s.0) < window).map(|s| s.1).sum();
            return not_before(now, if recent + 1.0 <= budget { now } else { now.after(LOOK_AGAIN) });
        }
        // It warmed while the gap passed: the middle of that time counts.
        let gap = Micros::from_secs((capacity * part(warm / 2.0)).recip());
        let first = pace.doubt.from.after(Micros::from_secs(gap.secs() * pace.doubt.phase));
        let last = sends.filter(|s| s.0 > pace.doubt.from).max_by_key(|s| s.0);
        let next = last.map_or(first, |s| s.0.after(Micros::from_secs(gap.secs() * s.1)).max(first));
        not_before(now, next).map_err(|t| t.min(now.after(UPDATE_EVERY)))
    }

    /// How long to wait for an answer: well past the usual, longer where a time-out loses the message.
    fn patience(&self, now: Micros, m: &Held, target: ReceiverId) -> Micros {
        let left = m.deadline.since(now);
        let Some(r) = self.receivers.get(&target) else { return left };
        let wait = Micros::from_secs((PATIENCE_NORMS * r.norm).max(3.0 * r.latency)).max(PATIENCE_LEAST);
        let class = &self.set.classes[m.class.0];
        let long = wait.max(Micros(class.give_up.0 / PATIENCE_PART));
        let wait = match class.effect {
            Effect::Unsafe => Micros::from_secs(wait.secs() * PATIENCE_UNSAFE),
            Effect::Safe => long,
            Effect::Keyed { window, .. } => long.min(Micros(window.0 * 6 / 10)),
        };
        wait.min(left).max(Micros(1))
    }

    /// Until when the rules let an attempt go.
    pub fn sends_end(&self, id: MessageId, attempt: u32) -> Option<Micros> {
        Some(self.held.get(&id)?.sends_end(&self.set, Some(attempt)))
    }

    /// A call is about to leave: what was decided when it was queued is asked again, for it may have waited for its
    /// connection meanwhile. Whoever drains is the caller's to say, who knows when that was told.
    pub fn leave(&self, now: Micros, id: MessageId, attempt: u32, to: ReceiverId) -> Leave {
        let Some(m) = self.held.get(&id).filter(|m| !m.ended) else { return Leave::Over };
        let out = m.out.iter().any(|a| a.number == attempt);
        let known = self.receivers.get(&to).zip(self.destinations.get(&m.destination));
        let Some((r, d)) = known.filter(|_| out) else { return Leave::Over };
        let late = if now < m.sends_end(&self.set, Some(attempt)) { Leave::Go } else { Leave::Late };
        if now < r.told_until(d) { Leave::Wait } else { late }
    }
}

/// Where so large a share of calls fails anyway, a run of failures this long comes by chance as seldom as `CHANCE`.
fn run_by_chance(share: f64) -> f64 {
    (CHANCE.ln() / share.clamp(0.01, 0.9).ln()).ceil()
}

/// This sender's even part of the limit that answers or the list tell; zero if none is told.
fn told_share(set: &Settings, r: &Receiver) -> f64 {
    let listed = match set.weights {
        Weights::Off => 0.0,
        Weights::Nominal => r.weight,
        Weights::Rough => r.weight * ROUGH_CAUTION,
    };
    let told = r.limit.unwrap_or(listed);
    if told.is_finite() { told.max(0.0) / f64::from(set.senders.max(1)) } else { 0.0 }
}

/// This sender's share of what a destination or route takes; part of what is asked for where nothing is known.
fn likely_share(set: &Settings, r: &Receiver, pace: &Pace, asked: f64) -> f64 {
    let told = told_share(set, r);
    let known = if pace.usual > 0.0 { pace.usual } else { asked * UNKNOWN_PART };
    let least = UNKNOWN_CAPACITY / f64::from(set.senders.max(1));
    if told > 0.0 { told.max(pace.usual) } else { known.max(least) }
}
