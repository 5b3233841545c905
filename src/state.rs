//! What a policy keeps between events: records, and the plain structures that hold them. Nothing here decides,
//! and no tuned value stands here: `src/policy.rs` says what happens.

use crate::connections::Connections;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod queues;

pub(crate) use queues::{Agenda, Calls, Turns};

/// Not until something happens.
pub(crate) const NEVER: Micros = Micros(u64::MAX);

/// A sender may be held up for so long between reading its clock and writing (the operators' page): a window in which a
/// repeat is dropped is over so much earlier.
const HELD_UP: Micros = Micros(150_000);

/// Passed, or not before a time.
pub(crate) type Gate<T> = Result<T, Micros>;

pub(crate) fn not_before(now: Micros, at: Micros) -> Gate<()> {
    if now >= at { Ok(()) } else { Err(at) }
}

/// A gate that only an event opens.
pub(crate) fn room(free: bool) -> Gate<()> {
    if free { Ok(()) } else { Err(NEVER) }
}

/// How far back a [`Rate`] looks, and the least age that it takes itself to have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Memory {
    pub secs: f64,
    pub young: f64,
}

/// A meter of events a second with exponential memory; a young one counts the time it has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    level: f64,
    at: Micros,
    since: Option<Micros>,
}

impl Rate {
    pub fn add(&mut self, now: Micros, memory: Memory) {
        self.level = self.level * self.faded(now, memory) + 1.0 / memory.secs;
        self.at = now;
        self.since.get_or_insert(now);
    }
    pub fn get(&self, now: Micros, memory: Memory) -> f64 {
        let age = self.since.map_or(0.0, |t| now.since(t).secs()).max(memory.young);
        self.level * self.faded(now, memory) / (1.0 - (-age / memory.secs).exp())
    }
    fn faded(&self, now: Micros, memory: Memory) -> f64 {
        (-now.since(self.at).secs() / memory.secs).exp()
    }
}

/// Numbers from 0 to 1, from the seed alone (splitmix64).
#[derive(Clone, Debug)]
pub(crate) struct Rng(pub u64);

impl Rng {
    pub fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Verdict {
    pub(crate) fn may_have_run(self) -> bool {
        use Verdict::{Cancelled, Error, Reset, Stale, TimedOut};
        matches!(self, Error | TimedOut | Reset | Stale | Cancelled)
    }
}

/// What has been used of an allowance that refills.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    used: f64,
    at: Micros,
}

impl Bucket {
    /// Takes one, if that leaves no more than `most` used.
    pub fn take(&mut self, now: Micros, rate: f64, most: f64) -> bool {
        self.used = (self.used - now.since(self.at).secs() * rate).max(0.0);
        self.at = now;
        let free = self.used + 1.0 <= most;
        self.used += f64::from(u8::from(free));
        free
    }
}

/// Figures of the mechanism stretched to the part of the traffic that one of many senders sees: three
/// refusals in a second of its own never come to a sender that calls once in ten.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scale {
    pub burst_span: Micros,
    pub served_memory: Memory,
    pub rate_memory: Memory,
    pub refused_pause: f64,
    pub shut_refusals: f64,
    pub shut_span: Micros,
    pub burst_count: usize,
    pub tokens: f64,
    pub target_floor: f64,
    pub step_least: f64,
    /// So many senders that each sees little of a destination.
    pub fleet: bool,
    pub senders: f64,
    pub floor: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Control {
    pub rate: f64,
    pub tokens: f64,
    pub refilled: Micros,
    pub updated: Micros,
    pub sent: u32,
    pub refused: u32,
    pub credit: f64, // refusals allowed by the target since the last one seen
    pub ending: Option<Micros>,
}

/// NICC's three processes for one destination or route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    pub refusals: VecDeque<Micros>,
    pub served: Rate,
    pub control: Option<Control>,
    pub usual: f64, // rate served while well; does not fade while nothing can be sent
    pub wait_until: Micros,
    /// Nothing goes before: a sender of a large fleet pauses after a refusal.
    pub breath: Micros,
    /// Until then its calls keep so far apart, though nothing controls them.
    pub wary_until: Micros,
    pub spacing: Micros,
    pub floor: f64,
    pub told: f64,        // this sender's part of the limit, if one is told
    pub refused_run: u32, // refusals since the last delivery
    pub refused_since: Micros,
    pub doubt: Doubt,
    /// It rested, and its control has not ended since: what is told of its limit is not believed yet.
    pub woken: bool,
}

impl Pace {
    /// A refusal within the sliding window, its own or told of by another sender.
    pub fn note_refusal(&mut self, now: Micros, scale: Scale) {
        self.refusals.push_back(now);
        let old = |t: &Micros| now.since(*t) > scale.burst_span;
        while self.refusals.len() > scale.burst_count || self.refusals.front().is_some_and(old) {
            self.refusals.pop_front();
        }
    }
}

/// Since when this sender has doubted a destination, and where in its gap its first call then falls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Doubt {
    pub from: Micros,
    pub phase: f64,
    pub proven: Micros, // the last proof before
}

/// What is believed of a receiver's health.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum Health {
    #[default]
    Well,
    /// Failed, but not for sure out: one call at a time until one sent after `since` is delivered.
    Suspect { since: Micros },
    /// Stopped; single half-open trials from `trial_at`.
    Sick { since: Micros, trial_at: Micros, backoff: Micros },
    /// Back from an outage and maybe cold: the budget rules.
    Recovering { since: Micros },
}

/// One endpoint, as listed and as met.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receiver {
    pub destination: DestinationId,
    pub listing: EntryState,
    pub kind: KindId,
    pub apart: bool,
    pub batch: u32,
    pub zone: ZoneId,
    pub weight: f64,
    /// The limit that its answers tell.
    pub limit: Option<f64>,
    /// Used where routes are apart.
    pub pace: Pace,
    pub health: Health,
    /// One bit an outcome, the last one lowest.
    pub failed_lately: u8,
    pub connections: Connections,
    pub norm: f64,
    pub latency: f64,
    pub calls: BTreeMap<u64, Micros>,
    pub last_delivered: Micros,
    /// When the last delivered call was sent.
    pub last_proof: Micros,
    /// When calls of the last window were sent, and what they weigh with all their messages.
    pub sends: VecDeque<(Micros, f64)>,
}

impl Receiver {
    pub fn new(e: &ListEntry, kind: Option<&KindSettings>, norm: f64) -> Receiver {
        Receiver {
            destination: e.destination,
            kind: e.kind,
            apart: kind.is_some_and(|k| k.separate_routes),
            batch: kind.map_or(1, |k| k.messages_per_call.max(1)),
            zone: e.zone,
            norm,
            latency: norm,
            ..Receiver::default()
        }
    }
    pub fn note_send(&mut self, now: Micros, call: u64, window: Micros) {
        self.calls.insert(call, now);
        self.sends.push_back((now, 1.0));
        while self.sends.len() > 1 && self.sends.front().is_some_and(|s| now.since(s.0) > window) {
            self.sends.pop_front();
        }
    }
    /// In the list, or with calls still out.
    pub fn here(&self) -> bool {
        self.listing != EntryState::Gone || !self.calls.is_empty()
    }
    pub fn sick(&self) -> bool {
        matches!(self.health, Health::Sick { .. })
    }
    /// When the waits are over that it told, and its destination while its routes were not apart.
    pub fn told_until(&self, d: &Destination) -> Micros {
        self.pace.wait_until.max(d.pace.wait_until)
    }
    pub fn sicken(&mut self, now: Micros, backoff: Micros) {
        self.health = Health::Sick { since: now, trial_at: now.plus(backoff), backoff };
    }
    /// Not known to be up and warm: it failed or refused, or a sibling did since it last proved itself.
    pub fn doubted(&self, d: &Destination) -> bool {
        self.health != Health::Well || !self.apart && self.last_proof < d.trouble_at
    }
    /// Doubted, and no sign yet that it is back.
    pub fn out_of_order(&self, d: &Destination) -> bool {
        self.doubted(d) && !matches!(self.health, Health::Recovering { .. })
    }
}

/// A destination: its receivers, and what waits for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Destination {
    pub receivers: Vec<ReceiverId>,
    pub pace: Pace,
    pub offered: Rate,
    /// When a receiver last turned sick.
    pub trouble_at: Micros,
    pub waiting: BTreeSet<MessageId>,
}

/// An attempt that is out.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u32,
    pub receiver: ReceiverId,
    pub zone: ZoneId,
    pub sent: Micros,
    pub call: u64,
    pub called_off: bool,
    /// Over a connection that was opened for it.
    pub new_connection: bool,
}

impl Attempt {
    pub fn new(number: u32, receiver: ReceiverId, zone: ZoneId, sent: Micros, call: u64) -> Attempt {
        Attempt { number, receiver, zone, sent, call, called_off: false, new_connection: false }
    }
}

/// A message that is owed its answer, or whose last outcome is still to come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    pub class: ClassId,
    pub key: Option<String>,
    pub destination: DestinationId,
    pub over_share: bool,
    pub deadline: Micros,
    pub aim_at: Micros,
    /// Attempts that count: not those that were held back.
    pub attempts: u32,
    /// So many it may have, by the settings of when it was taken on.
    pub max_attempts: u32,
    /// The number of the next one.
    pub number: u32,
    /// Two where a second copy has gone.
    pub out: Vec<Attempt>,
    /// When and where the first attempt went that may have run.
    pub maybe_ran: Option<(Micros, ZoneId)>,
    pub not_before: Micros,
    pub ended: bool,
    /// An earlier process took it on, and none of its calls has left yet.
    pub untried: bool,
}

impl Held {
    /// When and where the first attempt went that may have run, or may still, but for this one.
    pub fn first(&self, but: Option<u32>) -> Option<(Micros, ZoneId)> {
        let out = self.out.iter().filter(|a| but != Some(a.number)).map(|a| (a.sent, a.zone));
        self.maybe_ran.into_iter().chain(out).min_by_key(|f| f.0)
    }
    /// The time after which no rule allows a further attempt, or this one.
    pub fn sends_end(&self, set: &Settings, this: Option<u32>) -> Micros {
        match (self.first(this), set.classes[self.class.0].effect) {
            (Some((sent, _)), Effect::Keyed { window, .. }) => {
                self.deadline.min(sent.plus(window.since(HELD_UP)))
            }
            _ => self.deadline,
        }
    }
    /// The client may be told that a repeat is harmless.
    pub fn may_refuse(&self, set: &Settings, now: Micros) -> bool {
        match (self.maybe_ran, set.classes[self.class.0].effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some((sent, _)), Effect::Keyed { scope: DedupScope::Destination, window }) => {
                now < sent.plus(window)
            }
            (Some(_), _) => false,
        }
    }
    /// Worth if it were delivered at `at`, as the settings state it.
    pub fn worth(&self, set: &Settings, at: Micros) -> f64 {
        let c = &set.classes[self.class.0];
        let full = if self.over_share { c.value * set.over_share_value } else { c.value };
        let late = at.since(self.aim_at).secs();
        if late <= 0.0 {
            return full;
        }
        full * match set.value_decay {
            ValueDecay::Halving => {
                (0.5f64).powf(late / c.target_latency.secs().max(1e-3)).max(c.late_value_share)
            }
            ValueDecay::Linear => {
                let span = self.deadline.since(self.aim_at).secs().max(1e-3);
                1.0 - (1.0 - c.late_value_share) * (late / span).min(1.0)
            }
        }
    }
}
