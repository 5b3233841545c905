//! State that the policy keeps between events: records and the plain data structures that hold them. This
//! module makes no decisions and holds no tuned values; `src/policy.rs` does.

use crate::connections::Connections;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod queues;

pub(crate) use queues::{CallsInFlight, DestinationSchedule, KeyQueues};

/// A time that never comes: only an event can open such a gate.
pub(crate) const NEVER: Micros = Micros(u64::MAX);

/// Longest time that a sender may be stalled between reading its clock and writing (as the operators state
/// it). The window in which receivers drop a repeat is taken to end this much earlier.
const MAX_SEND_STALL: Micros = Micros(150_000);

/// Result of a gate that a send has to pass: `Err` holds the earliest time at which to try again.
pub(crate) type Gate<T> = Result<T, Micros>;

/// A gate that opens at a time.
pub(crate) fn not_before(now: Micros, at: Micros) -> Gate<()> {
    if now >= at { Ok(()) } else { Err(at) }
}

/// A gate that only an event opens.
pub(crate) fn require(open: bool) -> Gate<()> {
    if open { Ok(()) } else { Err(NEVER) }
}

/// The memory of a [`RateMeter`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeterMemory {
    /// Time constant of the exponential decay.
    pub time_constant_s: f64,
    /// Age that a new meter is taken to have at least.
    pub min_age_s: f64,
}

/// Measures events a second with exponential decay. A new meter divides by the time since its first event.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    level: f64,
    updated_at: Micros,
    first_event_at: Option<Micros>,
}

impl RateMeter {
    pub fn add(&mut self, now: Micros, memory: MeterMemory) {
        self.level = self.level * self.decay(now, memory) + 1.0 / memory.time_constant_s;
        self.updated_at = now;
        self.first_event_at.get_or_insert(now);
    }
    pub fn get(&self, now: Micros, memory: MeterMemory) -> f64 {
        let age = self.first_event_at.map_or(0.0, |t| now.since(t).secs()).max(memory.min_age_s);
        self.level * self.decay(now, memory) / (1.0 - (-age / memory.time_constant_s).exp())
    }
    fn decay(&self, now: Micros, memory: MeterMemory) -> f64 {
        (-now.since(self.updated_at).secs() / memory.time_constant_s).exp()
    }
}

/// Random numbers that depend on the seed alone (splitmix64).
#[derive(Clone, Debug)]
pub(crate) struct Rng(pub u64);

impl Rng {
    /// A number from 0 (included) to 1 (excluded).
    pub fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Verdict {
    /// The receiver may have processed the message, although no delivery is known.
    pub(crate) fn may_have_run(self) -> bool {
        use Verdict::{Cancelled, Error, Reset, Stale, TimedOut};
        matches!(self, Error | TimedOut | Reset | Stale | Cancelled)
    }
}

/// The used part of an allowance that refills at a constant rate (a leaky bucket).
#[derive(Clone, Debug, Default)]
pub(crate) struct LeakyBucket {
    used: f64,
    updated_at: Micros,
}

impl LeakyBucket {
    /// Uses one unit if that leaves no more than `max_used` in use. Returns whether it did.
    pub fn try_take(&mut self, now: Micros, rate: f64, max_used: f64) -> bool {
        self.used = (self.used - now.since(self.updated_at).secs() * rate).max(0.0);
        self.updated_at = now;
        let free = self.used + 1.0 <= max_used;
        self.used += f64::from(u8::from(free));
        free
    }
}

/// Tuned values, scaled to the part of the traffic that one of many senders sees: a sender that calls a
/// destination once in ten seconds never sees three refusals in one second of its own. The fields are
/// explained with the constants in `src/policy/tuning.rs`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScaledTuning {
    pub burst_window: Micros,
    pub served_memory: MeterMemory,
    pub offered_memory: MeterMemory,
    pub retry_delay_s: f64,
    pub outage_refusals: f64,
    pub outage_refusal_span: Micros,
    pub burst_refusals: usize,
    pub max_tokens: f64,
    pub min_target_per_s: f64,
    pub min_increase_share: f64,
    /// There are so many senders without peer hints that each sees only a small part of what happens at a
    /// destination.
    pub isolated_fleet: bool,
    pub sender_count: f64,
    /// Calls a second that rate control always leaves to this sender.
    pub min_rate: f64,
}

/// Rate control of a [`Pace`]: a token bucket whose rate follows the refusals.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateControl {
    /// Calls a second.
    pub rate: f64,
    pub tokens: f64,
    pub refilled_at: Micros,
    /// When the rate was last updated.
    pub updated_at: Micros,
    /// Calls sent since that update.
    pub sent: u32,
    /// Calls refused since that update.
    pub refused: u32,
    /// Refusals that the target allows, less those that occurred.
    pub refusal_credit: f64,
    /// Since when the rate is at its ceiling.
    pub at_ceiling_since: Option<Micros>,
}

/// When calls may go to one destination or separate route, by the three processes of NICC: detect refusals,
/// update the rate, restrict the calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    /// Refusals within the burst window.
    pub refusals: VecDeque<Micros>,
    pub served_rate: RateMeter,
    /// The rate control, while it is active.
    pub control: Option<RateControl>,
    /// Moving average of the served rate while healthy. It doesn't decay while nothing can be sent.
    pub usual_rate: f64,
    /// End of the retry-after that the receivers have asked for.
    pub wait_until: Micros,
    /// No call goes before this time, because of the spacing of calls or a pause after a refusal.
    pub next_call_at: Micros,
    /// Until this time, calls keep `spacing` apart even without rate control.
    pub spaced_until: Micros,
    pub spacing: Micros,
    /// Lower bound of the controlled rate.
    pub min_rate: f64,
    /// This sender's share of the limit, if one is known; otherwise zero.
    pub limit_share: f64,
    /// Refusals since the last delivery.
    pub refusal_run: u32,
    /// Start of the run of refusals that may mean an outage.
    pub refused_since: Micros,
    pub unconfirmed: Unconfirmed,
    /// The destination was activated after an idle time and its rate control has not ended since, so that its
    /// limit is not relied on yet.
    pub newly_activated: bool,
}

impl Pace {
    /// Counts a refusal within the burst window, seen by this sender or reported by another one.
    pub fn note_refusal(&mut self, now: Micros, tuning: ScaledTuning) {
        self.refusals.push_back(now);
        let expired = |t: &Micros| now.since(*t) > tuning.burst_window;
        while self.refusals.len() > tuning.burst_refusals || self.refusals.front().is_some_and(expired) {
            self.refusals.pop_front();
        }
    }
}

/// Since when a destination has not been known to be up and warm. The recovery budget uses it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unconfirmed {
    /// When its first gap between calls begins.
    pub from: Micros,
    /// Where the first call falls within that gap, as a fraction of it.
    pub phase: f64,
    /// When the last call was sent that had been delivered before.
    pub last_confirmed_send: Micros,
}

/// What this sender assumes of a receiver's health.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// Calls failed, but an outage is not certain: one call at a time until one sent after `since` is
    /// delivered.
    Suspect { since: Micros },
    /// Taken for out of order. It gets single half-open trial calls from `trial_at` on.
    Unhealthy { since: Micros, trial_at: Micros, backoff: Micros },
    /// Back from an outage and possibly cold: the recovery budget limits its calls.
    Recovering { since: Micros },
}

/// One endpoint: its entry in the list, and what this sender has seen of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receiver {
    pub destination: DestinationId,
    pub list_state: EntryState,
    pub kind: KindId,
    /// The receivers of its destination are separate routes.
    pub separate_route: bool,
    pub messages_per_call: u32,
    pub zone: ZoneId,
    pub weight: f64,
    /// The limit that its answers report, in calls a second.
    pub reported_limit: Option<f64>,
    /// Used if it is a separate route; otherwise the pace of the destination applies.
    pub pace: Pace,
    pub health: Health,
    /// One bit for each of the last eight outcomes, set for a failure. The lowest bit is the latest.
    pub recent_failures: u8,
    pub connections: Connections,
    /// Moving average over many deliveries.
    pub usual_latency: f64,
    /// Moving average over the last few deliveries.
    pub recent_latency: f64,
    /// Calls in flight and when they were sent.
    pub calls: BTreeMap<u64, Micros>,
    pub last_delivered: Micros,
    /// When the last delivered call was sent.
    pub last_confirmed_send: Micros,
    /// When calls of the last collapse window were sent, and their weights with all their messages.
    pub recent_sends: VecDeque<(Micros, f64)>,
}

impl Receiver {
    pub fn new(entry: &ListEntry, kind: Option<&KindSettings>, usual_latency: f64) -> Receiver {
        Receiver {
            destination: entry.destination,
            kind: entry.kind,
            separate_route: kind.is_some_and(|k| k.separate_routes),
            messages_per_call: kind.map_or(1, |k| k.messages_per_call.max(1)),
            zone: entry.zone,
            usual_latency,
            recent_latency: usual_latency,
            ..Receiver::default()
        }
    }
    pub fn note_send(&mut self, now: Micros, call: u64, window: Micros) {
        self.calls.insert(call, now);
        self.recent_sends.push_back((now, 1.0));
        while self.recent_sends.len() > 1
            && self.recent_sends.front().is_some_and(|s| now.since(s.0) > window)
        {
            self.recent_sends.pop_front();
        }
    }
    /// It is in the list or still has calls in flight.
    pub fn listed_or_busy(&self) -> bool {
        self.list_state != EntryState::Gone || !self.calls.is_empty()
    }
    pub fn unhealthy(&self) -> bool {
        matches!(self.health, Health::Unhealthy { .. })
    }
    /// End of the retry-afters from it, and from its destination while that had no separate routes.
    pub fn wait_until(&self, destination: &Destination) -> Micros {
        self.pace.wait_until.max(destination.pace.wait_until)
    }
    pub fn mark_unhealthy(&mut self, now: Micros, backoff: Micros) {
        self.health = Health::Unhealthy { since: now, trial_at: now.plus(backoff), backoff };
    }
    /// It is not known to be up and warm: it failed or refused, or another receiver of its destination became
    /// unhealthy since its last confirmed send.
    pub fn unconfirmed(&self, destination: &Destination) -> bool {
        self.health != Health::Healthy
            || !self.separate_route && self.last_confirmed_send < destination.last_unhealthy_at
    }
    /// It is unconfirmed, and nothing shows yet that it has recovered.
    pub fn out_of_order(&self, destination: &Destination) -> bool {
        self.unconfirmed(destination) && !matches!(self.health, Health::Recovering { .. })
    }
}

/// A destination: its receivers and the messages that wait for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Destination {
    pub receivers: Vec<ReceiverId>,
    pub pace: Pace,
    pub offered_rate: RateMeter,
    /// When one of its receivers last became unhealthy.
    pub last_unhealthy_at: Micros,
    pub waiting: BTreeSet<MessageId>,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u32,
    pub receiver: ReceiverId,
    pub zone: ZoneId,
    pub sent_at: Micros,
    /// The call that carries it.
    pub call: u64,
    pub cancelled: bool,
    /// Its call went over a connection that was opened for it.
    pub new_connection: bool,
}

impl Attempt {
    pub fn new(number: u32, receiver: ReceiverId, zone: ZoneId, sent_at: Micros, call: u64) -> Attempt {
        Attempt { number, receiver, zone, sent_at, call, cancelled: false, new_connection: false }
    }
}

/// A message without a final answer, or with an attempt that is still in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldMessage {
    pub class: ClassId,
    pub ordering_key: Option<String>,
    pub destination: DestinationId,
    /// It came in beyond its tenant's share.
    pub over_share: bool,
    pub deadline: Micros,
    /// A delivery after this time has less than the full value.
    pub target_time: Micros,
    /// Attempts that count towards `max_attempts`: not those that were held back before they left.
    pub attempts: u32,
    /// From the settings at the time it was accepted.
    pub max_attempts: u32,
    /// Number of the next attempt.
    pub next_attempt: u32,
    /// Attempts in flight: two while a second copy is.
    pub in_flight: Vec<Attempt>,
    /// When and where the first attempt was sent that has ended and may have run.
    pub first_possible_run: Option<(Micros, ZoneId)>,
    pub not_before: Micros,
    pub ended: bool,
    /// An earlier process accepted it, and no call with it has been sent yet.
    pub untried: bool,
}

impl HeldMessage {
    /// When and where the first attempt was sent that may have run or may still run, `except` for one
    /// attempt.
    pub fn first_send(&self, except: Option<u32>) -> Option<(Micros, ZoneId)> {
        let sends = self.in_flight.iter().filter(|a| except != Some(a.number)).map(|a| (a.sent_at, a.zone));
        self.first_possible_run.into_iter().chain(sends).min_by_key(|f| f.0)
    }
    /// The time after which no rule allows a further attempt, or the attempt with this number.
    pub fn send_deadline(&self, settings: &Settings, attempt: Option<u32>) -> Micros {
        match (self.first_send(attempt), settings.classes[self.class.0].effect) {
            (Some((sent_at, _)), Effect::Keyed { window, .. }) => {
                self.deadline.min(sent_at.plus(window.since(MAX_SEND_STALL)))
            }
            _ => self.deadline,
        }
    }
    /// Whether the client may be answered that a repeat is harmless.
    pub fn may_refuse(&self, settings: &Settings, now: Micros) -> bool {
        match (self.first_possible_run, settings.classes[self.class.0].effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some((sent_at, _)), Effect::Keyed { scope: DedupScope::Destination, window }) => {
                now < sent_at.plus(window)
            }
            (Some(_), _) => false,
        }
    }
    /// Value of a delivery `at` this time, by the settings.
    pub fn value(&self, settings: &Settings, at: Micros) -> f64 {
        let class = &settings.classes[self.class.0];
        let full = if self.over_share { class.value * settings.over_share_value } else { class.value };
        let late = at.since(self.target_time).secs();
        if late <= 0.0 {
            return full;
        }
        full * match settings.value_decay {
            ValueDecay::Halving => {
                (0.5f64).powf(late / class.target_latency.secs().max(1e-3)).max(class.late_value_share)
            }
            ValueDecay::Linear => {
                let span = self.deadline.since(self.target_time).secs().max(1e-3);
                1.0 - (1.0 - class.late_value_share) * (late / span).min(1.0)
            }
        }
    }
}
