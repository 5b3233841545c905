//! When a sender calls discovery for the list of endpoints: at its start, and again after a call that failed.
//!
//! A change of the list has to be known within a fixed time while discovery has it and is reachable, whatever
//! calls fail meanwhile. So the bound applies not to one pause but to the time that several failed calls in a
//! row take. The pause after a call that failed at once lets `CALLS_PER_CHANGE` calls fit into that time and
//! does not grow with the number of failures.
//!
//! One discovery service answers all senders in turn, and it can't answer them all in time if they call at
//! the same moment. So where there are more than a few senders, a sender that holds an earlier list waits at
//! its start for a turn that follows from its index. A call that failed only after some time was lost
//! together with those of other senders, or waited in a queue that is too long already. The next call then
//! falls at random in a span that leaves time for refused calls after it.

use crate::interface::{Event, Micros, Settings};
use crate::state::Rng;

/// A change of the list has to be known this long after discovery had it and was reachable, whatever calls
/// failed.
const CHANGE_KNOWN_WITHIN: Micros = Micros(6_000_000);
/// Calls that fit into `CHANGE_KNOWN_WITHIN` with the longest pauses between them. If three in five calls are
/// refused, as in the incident of docs/incidents, all of these are refused once in sixty times, and one more
/// call fits into the second of grace that follows.
const CALLS_PER_CHANGE: u64 = 8;
const MAX_PAUSE: Micros = Micros(CHANGE_KNOWN_WITHIN.0 / CALLS_PER_CHANGE);
/// Least mean pause after a failure: a service that was lost for a moment is back by then.
const MIN_PAUSE: Micros = Micros(300_000);
/// Longest time that many senders leave the service without calls after their calls were lost together.
const MAX_QUIET_TIME: Micros = Micros(1_000_000);
/// Longest span after the quiet time over which these senders spread their next calls: three refused calls
/// fit behind the last one. Fewer senders need less quiet time and a shorter span.
const MAX_RETRY_SPREAD: Micros = Micros(CHANGE_KNOWN_WITHIN.0 - MAX_QUIET_TIME.0 - 3 * MAX_PAUSE.0 - 250_000);
/// If this many calls of each sender fit into `CHANGE_KNOWN_WITHIN`, a lost call is repeated after
/// `LOST_CALL_PAUSE` without a spread. Then a call without an answer, one that waited in the queue and two
/// refused ones fit into it.
const ROUNDS_WITHOUT_SPREAD: u32 = 4;
/// The pause after a lost call may be short, since the call itself took time.
const LOST_CALL_PAUSE: Micros = Micros(100_000);
/// Quiet time as a part of the time that one call of each sender takes.
const QUIET_PART_OF_ROUND: f64 = 1.0 / 3.0;
/// Time between the calls of two senders, in which the service answers one.
const CALL_INTERVAL_S: f64 = 0.06;
/// The start turns of all senders fit into this part of the time within which a sender must call.
const START_TURNS_PART: f64 = 0.7;
/// Range of the random pauses, as a part of their mean.
const JITTER: f64 = 0.5;

/// Whether this many calls of each sender, all made at the same moment, are answered within the time for a
/// change.
pub(crate) fn calls_fit(sender_count: u32, calls_each: u32) -> bool {
    f64::from(sender_count) * f64::from(calls_each) * CALL_INTERVAL_S <= CHANGE_KNOWN_WITHIN.secs()
}

/// The schedule of calls for the list.
#[derive(Clone, Debug)]
pub(crate) struct ListRefresh {
    /// When the next call is due.
    due: Option<Micros>,
    subscribe: bool,
    /// Delay of the first call of a sender that has a list. None after the first decision.
    start_turn: Option<Micros>,
    has_list: bool,
    /// Mean pause after a call that failed at once.
    pause: Micros,
    /// Quiet time and random spread after a call that was lost with those of others. None for few senders.
    lost_call_delay: Option<(Micros, Micros)>,
}

impl ListRefresh {
    pub fn new(settings: &Settings) -> ListRefresh {
        let round = f64::from(settings.sender_count) * CALL_INTERVAL_S;
        let max_mean_pause = Micros::from_secs(MAX_PAUSE.secs() / (1.0 + JITTER / 2.0));
        // Without a poll interval in the settings, every change has to be known at once, so that no sender
        // may wait.
        let many_senders = settings.large_fleet() && settings.list_poll_interval > Micros(0);
        // A sender without a call for longer than `list_poll_interval` counts as informed of a change, and
        // failed calls do not extend `CHANGE_KNOWN_WITHIN`: the last turn comes before both limits.
        let within = settings.list_poll_interval.min(CHANGE_KNOWN_WITHIN).secs() * START_TURNS_PART;
        let position = f64::from(settings.sender_index) / f64::from(settings.sender_count.max(1));
        let start_turn =
            if many_senders { Micros::from_secs(round.min(within) * position) } else { Micros(0) };
        let quiet_time = Micros::from_secs(round * QUIET_PART_OF_ROUND).min(MAX_QUIET_TIME);
        let lost_call_delay = (quiet_time, Micros::from_secs(round).min(MAX_RETRY_SPREAD));
        ListRefresh {
            due: settings.subscribe_to_list.then_some(Micros(0)),
            subscribe: settings.subscribe_to_list,
            start_turn: Some(start_turn),
            has_list: false,
            pause: if many_senders {
                Micros::from_secs(round).clamp(MIN_PAUSE, max_mean_pause)
            } else {
                MIN_PAUSE
            },
            lost_call_delay: (many_senders && !calls_fit(settings.sender_count, ROUNDS_WITHOUT_SPREAD))
                .then_some(lost_call_delay),
        }
    }

    /// When the next call is due.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    /// Returns whether a call is to be made now, and clears its due time.
    pub fn take_due(&mut self, now: Micros) -> bool {
        if let Some(turn) =
            self.start_turn.take().filter(|t| self.subscribe && self.has_list && *t > Micros(0))
        {
            self.due = Some(now.plus(turn));
        }
        self.due.take_if(|due| *due <= now).is_some()
    }

    /// Notes whether the sender has a list, from before its start or since.
    pub fn on_event(&mut self, event: &Event) {
        self.has_list |=
            matches!(event, Event::FullList(_) | Event::ListChanges(_) | Event::PersistedList(_));
    }

    /// The list comes from another source, which is being called already.
    pub fn source_changed(&mut self) {
        self.due = None;
    }

    /// A call failed after some time, without an answer.
    pub fn failed(&mut self, now: Micros, rng: &mut Rng) {
        match self.lost_call_delay.filter(|_| self.subscribe) {
            Some((quiet_time, spread)) => {
                let random_part = Micros::from_secs(spread.secs() * rng.next_unit());
                self.due = Some(now.plus(quiet_time).plus(random_part));
            }
            None => self.due = self.subscribe.then_some(now.plus(LOST_CALL_PAUSE)),
        }
    }

    /// A call failed at once.
    pub fn refused(&mut self, now: Micros, rng: &mut Rng) {
        if self.subscribe {
            let jitter = 1.0 + JITTER * (rng.next_unit() - 0.5);
            self.due = Some(now.plus(Micros::from_secs(self.pause.secs() * jitter)));
        }
    }
}
