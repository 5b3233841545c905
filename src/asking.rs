//! When a sender asks for the list: at its start, and again after a call that failed.
//!
//! One service answers all senders in turn. Each of them asks unasked, and what all of them do in one moment no service
//! answers in time: a call that waits too long fails, is made again, and keeps the next ones waiting. So beyond a few
//! senders the calls of all of them together keep to a rate that does not grow with their number: who holds a list from
//! before asks in its own turn, by its number, and who was turned away comes back in a span that grows with the fleet.

use crate::interface::{Event, Micros, Settings};
use crate::state::Dice;

/// Up to so many senders ask as they like.
const FEW: u32 = 8;
/// What one call of a fleet keeps clear behind it.
const CALL_GAP_S: f64 = 0.06;
/// Of the span in which a sender must ask.
const TURNS_WITHIN: f64 = 0.7;
/// The first pause after a failure.
const PAUSE_FIRST: Micros = Micros(300_000);

#[derive(Clone, Debug)]
pub(crate) struct Asking {
    at: Option<Micros>,
    /// It has not asked yet.
    first: bool,
    held: bool,
    pause: Micros,
    subscribe: bool,
    /// This sender's place in a round of calls in which each sender has one.
    place: Micros,
    /// How long such a round is; none for few senders.
    round: Option<f64>,
    longest: f64,
}

impl Asking {
    pub fn new(set: &Settings) -> Asking {
        let round = (set.senders > FEW).then(|| f64::from(set.senders) * CALL_GAP_S);
        // Silence for longer than `ask_every` counts as having been told: the last turn comes before that.
        let within = round.map_or(0.0, |r| r.min(set.ask_every.secs() * TURNS_WITHIN));
        Asking {
            at: set.subscribe.then_some(Micros(0)),
            first: set.subscribe,
            held: false,
            pause: round.map_or(PAUSE_FIRST, |r| Micros::from_secs(r).max(PAUSE_FIRST)),
            subscribe: set.subscribe,
            place: Micros::from_secs(within * f64::from(set.number) / f64::from(set.senders.max(1))),
            round,
            longest: (set.ask_every.secs() / 2.0).max(PAUSE_FIRST.secs()),
        }
    }

    /// When it asks next.
    pub fn due(&self) -> Option<Micros> {
        self.at
    }

    /// It is time to ask.
    pub fn now(&mut self, now: Micros) -> bool {
        if std::mem::take(&mut self.first) && self.held && self.place > Micros(0) {
            self.at = Some(now.after(self.place));
        }
        let due = self.at.is_some_and(|t| t <= now);
        if due {
            self.at = None;
        }
        due
    }

    /// Takes note of a list that came, or that it had before its start.
    pub fn heard(&mut self, event: &Event) {
        if matches!(event, Event::FullList(_) | Event::ListChanges(_)) {
            self.pause = self.round.map_or(PAUSE_FIRST, |r| Micros::from_secs(r).max(PAUSE_FIRST));
        } else if !matches!(event, Event::DiskList(_)) {
            return;
        }
        self.held = true;
    }

    /// It did not: again after a pause that doubles, and falls anywhere in a span where many wait.
    pub fn failed(&mut self, now: Micros, dice: &mut Dice) {
        if !self.subscribe {
            return;
        }
        let spread = if self.round.is_some() { 1.0 } else { 0.5 };
        let jitter = 1.0 + spread * (dice.roll() - 0.5);
        self.at = Some(now.after(Micros::from_secs(self.pause.secs() * jitter)));
        let longest = self.round.map_or(self.longest, |r| self.longest.max(r * 2.0));
        self.pause = Micros::from_secs((self.pause.secs() * 2.0).min(longest));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(senders: u32) -> Vec<Asking> {
        let set = Settings { senders, subscribe: true, ask_every: Micros(10_000_000), ..Settings::default() };
        (0..senders).map(|number| Asking::new(&Settings { number, ..set.clone() })).collect()
    }

    /// Calls of all senders in each of ten seconds, if none is answered.
    fn calls(senders: u32, held: bool) -> [u32; 10] {
        let mut all = fleet(senders);
        let mut calls = [0; 10];
        for (i, a) in all.iter_mut().enumerate() {
            let mut dice = Dice(i as u64);
            let mut now = Micros(0);
            if held {
                a.heard(&Event::DiskList(Vec::new()));
            }
            while now < Micros(10_000_000) {
                if a.now(now) {
                    calls[(now.0 / 1_000_000) as usize] += 1;
                    a.failed(now, &mut dice);
                }
                now = now.after(Micros(10_000));
            }
        }
        calls
    }

    /// All forwarders share one discovery: what each does at its start must not come at once from all.
    #[test]
    fn a_large_fleet_that_starts_at_once_asks_in_turn() {
        for senders in [50, 100, 200] {
            let most = *calls(senders, true).iter().max().unwrap();
            // More than 7 s there are not to spread over.
            let bound = (f64::from(senders) / 7.0).max(1.0 / CALL_GAP_S) * 1.4;
            assert!(f64::from(most) <= bound, "{senders}: {:?}", calls(senders, true));
        }
    }

    /// One that has no list can deliver nothing: it asks at once, and again in its part of the fleet's rate.
    #[test]
    fn without_a_list_it_asks_at_once_and_what_fails_is_not_asked_again_by_all() {
        let calls = calls(100, false);
        assert_eq!(calls[0], 100);
        assert!(calls[1..].iter().all(|c| *c <= 35), "{calls:?}");
    }

    #[test]
    fn few_senders_ask_at_once_and_again_soon() {
        let mut a = fleet(2).remove(1);
        assert!(a.now(Micros(5)));
        a.failed(Micros(5), &mut Dice(1));
        assert!(a.due().unwrap() < Micros(400_000));
    }
}
