//! When a sender refreshes the list of endpoints: at its start, and again after a call that failed.
//!
//! A change counts as known a fixed time after discovery had it and could be reached, whatever calls failed
//! meanwhile. So it is not one pause that has to be bounded but the time that several failed calls in a row take.
//! The pause after a call that failed at once lets `CALLS_WITHIN` calls fit into that time, however many failed
//! before it; it does not grow.
//!
//! One service answers all senders in turn, and what all of them do in one moment no service answers in time. So beyond a
//! few senders a start waits for its turn, by its number, if it holds a list from before. And a call that took its time
//! before it failed was lost with those of all others, or waited in a queue that is too long already: the next one falls
//! anywhere in a span that leaves time for refused calls behind it.

use crate::interface::{Event, Micros, Settings};
use crate::state::Rng;

/// A change counts as known so long after discovery had it and could be reached, whatever calls failed.
const KNOWN_WITHIN: Micros = Micros(6_000_000);
/// So many calls fit into that, the longest pauses between them: where three in five are refused, as in the incident of
/// docs/incidents, all of them are once in sixty times, and one more fits into the second of grace that follows.
const CALLS_WITHIN: u64 = 8;
const PAUSE_MOST: Micros = Micros(KNOWN_WITHIN.0 / CALLS_WITHIN);
/// The least mean pause after a failure: a service that was lost for a moment is back by then.
const PAUSE_LEAST: Micros = Micros(300_000);
/// Many senders whose calls were lost together leave the service so much time to itself at most ...
const LOST_PAUSE_MOST: Micros = Micros(1_000_000);
/// ... and come back over this at most: three refused calls fit behind the last of them. Fewer take less of both.
const LOST_SPREAD_MOST: Micros = Micros(KNOWN_WITHIN.0 - LOST_PAUSE_MOST.0 - 3 * PAUSE_MOST.0 - 250_000);
/// Where so many calls of each sender fit into the time of a change, one that was lost is made again after `LOST_PAUSE`:
/// it took its time. A call that was silent, one that waited in the queue and two that were refused fit into it then.
const ROUNDS_THAT_NEED_NO_SPREAD: u32 = 4;
const LOST_PAUSE: Micros = Micros(100_000);
/// The part of a fleet's round that passes before the first of them comes back.
const LOST_PAUSE_PART: f64 = 1.0 / 3.0;
/// What one call of a fleet keeps clear behind it.
const CALL_GAP_S: f64 = 0.06;
/// Of the span in which a sender must ask.
const TURNS_WITHIN: f64 = 0.7;
/// Pauses fall apart by chance, by so much of their mean.
const JITTER: f64 = 0.5;

/// So many calls of each sender that all make at one moment are through within the time of a change.
pub(crate) fn calls_fit(senders: u32, calls_each: u32) -> bool {
    f64::from(senders) * f64::from(calls_each) * CALL_GAP_S <= KNOWN_WITHIN.secs()
}

/// The schedule of calls for the list.
#[derive(Clone, Debug)]
pub(crate) struct ListRefresh {
    /// When the next call is due.
    due: Option<Micros>,
    subscribe: bool,
    /// There was no call yet, and how long it waits for its turn where the sender has a list.
    turn: Option<Micros>,
    has_list: bool,
    /// The mean pause after a call that failed at once.
    pause: Micros,
    /// What passes after a call that was lost with those of others, at least, and by chance; none where there are few.
    lost: Option<(Micros, Micros)>,
}

impl ListRefresh {
    pub fn new(settings: &Settings) -> ListRefresh {
        let round = f64::from(settings.sender_count) * CALL_GAP_S;
        let longest = Micros::from_secs(PAUSE_MOST.secs() / (1.0 + JITTER / 2.0));
        // Where nothing says how often to ask, every change counts as known at once: then nobody may wait.
        let many = settings.large_fleet() && settings.list_poll_interval > Micros(0);
        // Silence for longer than `ask_every` counts as having been told, and a failed call is as late: the last turn
        // comes before both.
        let within = settings.list_poll_interval.min(KNOWN_WITHIN).secs() * TURNS_WITHIN;
        let place = f64::from(settings.sender_index) / f64::from(settings.sender_count.max(1));
        let turn = if many { Micros::from_secs(round.min(within) * place) } else { Micros(0) };
        let pause_least = Micros::from_secs(round * LOST_PAUSE_PART).min(LOST_PAUSE_MOST);
        let lost = (pause_least, Micros::from_secs(round).min(LOST_SPREAD_MOST));
        ListRefresh {
            due: settings.subscribe_to_list.then_some(Micros(0)),
            subscribe: settings.subscribe_to_list,
            turn: Some(turn),
            has_list: false,
            pause: if many { Micros::from_secs(round).clamp(PAUSE_LEAST, longest) } else { PAUSE_LEAST },
            lost: (many && !calls_fit(settings.sender_count, ROUNDS_THAT_NEED_NO_SPREAD)).then_some(lost),
        }
    }

    /// When the next call is due.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    /// A call is to be made now.
    pub fn take_due(&mut self, now: Micros) -> bool {
        if let Some(turn) = self.turn.take().filter(|t| self.subscribe && self.has_list && *t > Micros(0)) {
            self.due = Some(now.plus(turn));
        }
        self.due.take_if(|due| *due <= now).is_some()
    }

    /// Takes note of a list that came, or that the sender had before its start.
    pub fn heard(&mut self, event: &Event) {
        self.has_list |=
            matches!(event, Event::FullList(_) | Event::ListChanges(_) | Event::PersistedList(_));
    }

    /// Discovery is being asked elsewhere already.
    pub fn moved(&mut self) {
        self.due = None;
    }

    /// A call took its time and failed.
    pub fn failed(&mut self, now: Micros, rng: &mut Rng) {
        match self.lost.filter(|_| self.subscribe) {
            Some((least, spread)) => {
                let by_chance = Micros::from_secs(spread.secs() * rng.roll());
                self.due = Some(now.plus(least).plus(by_chance));
            }
            None => self.due = self.subscribe.then_some(now.plus(LOST_PAUSE)),
        }
    }

    /// A call failed at once.
    pub fn refused(&mut self, now: Micros, rng: &mut Rng) {
        if self.subscribe {
            let jitter = 1.0 + JITTER * (rng.roll() - 0.5);
            self.due = Some(now.plus(Micros::from_secs(self.pause.secs() * jitter)));
        }
    }
}
