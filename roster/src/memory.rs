//! What is kept of destinations and routes at rest, and what it is still worth when they wake.

use hashbrown::HashMap;
use onyxrock::interface::{Micros, RetainedHealth};
use serde::{Deserialize, Serialize};

/// How fast what was learned ages.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Terms {
    /// A rate that was served so long ago is worth half.
    pub half_life: Micros,
    /// Older than this it is worth nothing.
    pub forget: Micros,
}

impl Default for Terms {
    /// Ten minutes, and four hours.
    fn default() -> Terms {
        Terms { half_life: Micros(600_000_000), forget: Micros(14_400_000_000) }
    }
}

/// What a destination or route was like when it went to rest; 24 bytes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Memory {
    /// When it went.
    pub rested: Micros,
    /// It had told to wait until then; outlives everything else.
    pub wait_until: Micros,
    /// Calls a second that it served us.
    pub served: f32,
    /// It was out of order.
    pub sick: bool,
}

impl Memory {
    /// Of one that goes to rest now.
    #[must_use]
    pub fn of(now: Micros, r: RetainedHealth) -> Memory {
        Memory { rested: now, wait_until: r.wait_until, served: r.served_per_s as f32, sick: r.unhealthy }
    }

    /// What it is worth at a time: half its rate after each half-life, nothing if it was out of order; a clock that
    /// went back makes nothing younger.
    #[must_use]
    pub fn recall(&self, now: Micros, terms: Terms) -> RetainedHealth {
        let age = now.since(self.rested);
        let wait_until = if self.wait_until > now { self.wait_until } else { Micros(0) };
        let served = if self.sick || age >= terms.forget || !self.served.is_finite() {
            0.0
        } else {
            let halves = age.secs() / terms.half_life.secs().max(1e-6);
            f64::from(self.served.max(0.0)) * (-halves).exp2()
        };
        RetainedHealth { served_per_s: served, wait_until, unhealthy: self.sick && age < terms.forget }
    }

    /// Nothing in it is worth keeping any more.
    #[must_use]
    pub fn is_stale(&self, now: Micros, terms: Terms) -> bool {
        self.recall(now, terms) == RetainedHealth::default()
    }
}

/// Whose memory it is. A route may leave the list and come back under its name with its wait still running.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum Whose {
    /// A destination's, by its number.
    Destination(u64),
    /// An endpoint's, by its name.
    Endpoint(Box<str>),
}

/// The memories of all that rest and were in use once. What is worth nothing any more is let go in passing.
#[derive(Debug, Default)]
pub struct Memories {
    terms: Terms,
    all: HashMap<Whose, Memory>,
    /// How many there were when all were last looked at: a look costs no more than what came since.
    looked: usize,
    /// Changes since the start.
    changes: u64,
}

impl Memories {
    /// None yet.
    #[must_use]
    pub fn new(terms: Terms) -> Memories {
        Memories { terms, ..Memories::default() }
    }
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }
    /// There are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
    /// Keeps what one was like, unless that is nothing. When there are twice as many as there were worth keeping at the
    /// last look, all are looked at: O(1) for each that came.
    pub fn keep(&mut self, now: Micros, whose: Whose, r: RetainedHealth) {
        let m = Memory::of(now, r);
        if m.is_stale(now, self.terms) {
            self.all.remove(&whose);
            return;
        }
        self.changes += 1;
        self.all.insert(whose, m);
        if self.all.len() > 2 * self.looked.max(512) {
            let terms = self.terms;
            self.all.retain(|_, m| !m.is_stale(now, terms));
            self.all.shrink_to(self.all.len() * 2);
            self.looked = self.all.len();
        }
    }
    /// Takes out what is still known of one.
    pub fn take(&mut self, now: Micros, whose: &Whose) -> RetainedHealth {
        let known = self.all.remove(whose);
        self.changes += u64::from(known.is_some());
        known.map(|m| m.recall(now, self.terms)).unwrap_or_default()
    }
    /// How often something has come or gone.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }
    /// All of them, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Whose, &Memory)> {
        self.all.iter()
    }
    /// Takes one as an earlier process kept it. A time of its rest that is still to come is nothing to go by.
    pub fn restore(&mut self, now: Micros, whose: Whose, m: Memory) {
        let m = Memory { rested: m.rested.min(now), ..m };
        if !m.is_stale(now, self.terms) {
            self.all.insert(whose, m);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Terms = Terms { half_life: Micros(100), forget: Micros(1000) };

    #[test]
    fn a_rate_halves_and_then_is_nothing() {
        let m = Memory { rested: Micros(1000), served: 8.0, ..Memory::default() };
        let at = |now| m.recall(Micros(now), T).served_per_s as f32;
        assert_eq!((at(1000), at(1100), at(1300), at(2000)), (8.0, 4.0, 1.0, 0.0));
        assert_eq!(at(500), 8.0, "a clock that went back");
        assert!(!m.is_stale(Micros(1999), T) && m.is_stale(Micros(2000), T));
    }

    #[test]
    fn what_was_sick_has_no_rate_and_a_wait_outlives_the_rest() {
        let m = Memory { rested: Micros(0), wait_until: Micros(5000), served: 8.0, sick: true };
        let r = RetainedHealth { served_per_s: 0.0, wait_until: Micros(5000), unhealthy: true };
        assert_eq!(m.recall(Micros(10), T), r);
        assert_eq!(m.recall(Micros(4000), T), RetainedHealth { unhealthy: false, ..r });
        assert!(!m.is_stale(Micros(4999), T) && m.is_stale(Micros(5000), T));
        let odd = Memory { served: f32::NAN, ..Memory::default() };
        assert_eq!(odd.recall(Micros(1), T).served_per_s, 0.0);
    }

    #[test]
    fn memories_that_are_worth_nothing_do_not_pile_up() {
        let mut all = Memories::new(T);
        for i in 0..100_000 {
            all.keep(
                Micros(i),
                Whose::Destination(i),
                RetainedHealth { served_per_s: 1.0, ..RetainedHealth::default() },
            );
        }
        assert!(all.len() <= 2 * 1000 + 1, "{}: a thousand are worth something at any time", all.len());
        all.keep(Micros(0), Whose::Destination(7), RetainedHealth::default());
        assert_eq!(all.take(Micros(0), &Whose::Destination(7)), RetainedHealth::default());
    }
}
