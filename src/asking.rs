//! When a sender asks for the list: at its start, and again after a call that failed.
//!
//! One service answers all senders in turn. Each of them asks unasked, and what all of them do in one moment no service
//! answers in time: a call that waits too long fails, is made again, and keeps the next ones waiting. So beyond a few
//! senders the calls of all of them together keep to a rate that does not grow with their number: who holds a list from
//! before asks in its own turn, by its number, and who was turned away comes back in a span that grows with the fleet.

use crate::interface::{Event, Micros, Settings};
use crate::state::Dice;

/// What one call of a fleet keeps clear behind it.
const CALL_GAP_S: f64 = 0.06;
/// Of the span in which a sender must ask.
const TURNS_WITHIN: f64 = 0.7;
/// The first pause after a failure.
const PAUSE_FIRST: Micros = Micros(300_000);

/// A change counts as known 6 s after discovery had it, whatever call failed: the longest pause, half as long again by
/// chance, leaves a tenth of that for the call.
const PAUSE_MOST: Micros = Micros(6_000_000 * 9 / 10 * 2 / 3);

#[derive(Clone, Debug)]
pub(crate) struct Asking {
    at: Option<Micros>,
    subscribe: bool,
    /// It has not asked yet, and how long it waits before it does where it has a list.
    turn: Option<Micros>,
    held: bool,
    pause: Micros,
    /// The pauses after a failure: the first, the longest, and how far they fall apart by chance.
    shortest: Micros,
    longest: Micros,
    spread: f64,
}

impl Asking {
    pub fn new(set: &Settings) -> Asking {
        let half = Micros(set.ask_every.0 / 2).max(PAUSE_FIRST).min(PAUSE_MOST);
        let (mut shortest, mut longest, mut spread, mut turn) = (PAUSE_FIRST, half, 0.5, Micros(0));
        // Where nothing says how often to ask, every change counts as told at once: then nobody may wait.
        if set.share_much() && set.ask_every > Micros(0) {
            let round = f64::from(set.senders) * CALL_GAP_S;
            (longest, spread) = (half.max(Micros::from_secs(round * 2.0).min(PAUSE_MOST)), 1.0);
            shortest = Micros::from_secs(round).max(PAUSE_FIRST).min(longest);
            // Silence for longer than `ask_every` counts as having been told: the last turn comes before that.
            let within = round.min(set.ask_every.secs() * TURNS_WITHIN);
            turn = Micros::from_secs(within * f64::from(set.number) / f64::from(set.senders));
        }
        let at = set.subscribe.then_some(Micros(0));
        let subscribe = set.subscribe;
        Asking { at, subscribe, turn: Some(turn), held: false, pause: shortest, shortest, longest, spread }
    }

    /// When it asks next.
    pub fn due(&self) -> Option<Micros> {
        self.at
    }

    /// It is time to ask.
    pub fn now(&mut self, now: Micros) -> bool {
        if let Some(turn) = self.turn.take().filter(|t| self.subscribe && self.held && *t > Micros(0)) {
            self.at = Some(now.after(turn));
        }
        self.at.take_if(|at| *at <= now).is_some()
    }

    /// Takes note of a list that came, or that it had before its start.
    pub fn heard(&mut self, event: &Event) {
        match event {
            Event::FullList(_) | Event::ListChanges(_) => (self.held, self.pause) = (true, self.shortest),
            Event::DiskList(_) => self.held = true,
            _ => {}
        }
    }

    /// It did not: again after a pause that doubles, and falls anywhere in a span where many wait.
    pub fn failed(&mut self, now: Micros, dice: &mut Dice) {
        if self.subscribe {
            let jitter = 1.0 + self.spread * (dice.roll() - 0.5);
            self.at = Some(now.after(Micros::from_secs(self.pause.secs() * jitter)));
            self.pause = Micros(self.pause.0 * 2).min(self.longest);
        }
    }
}
