//! What is kept of destinations and routes at rest, and what it is still worth when they wake.

use hashbrown::HashMap;
use onyxrock::interface::{Micros, RetainedHealth};
use serde::{Deserialize, Serialize};

/// How fast what was learned ages.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct HealthDecay {
    /// A rate that was served so long ago is worth half.
    pub half_life: Micros,
    /// Older than this it is worth nothing.
    pub forget_after: Micros,
}

impl Default for HealthDecay {
    /// Ten minutes, and four hours.
    fn default() -> HealthDecay {
        HealthDecay { half_life: Micros(600_000_000), forget_after: Micros(14_400_000_000) }
    }
}

/// What a destination or route was like when it went to rest; 24 bytes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct StoredHealth {
    /// When it went.
    pub deactivated_at: Micros,
    /// It had told to wait until then; outlives everything else.
    pub wait_until: Micros,
    /// Calls a second that it served us.
    pub served_per_s: f32,
    /// It was out of order.
    pub unhealthy: bool,
}

impl StoredHealth {
    /// Of one that goes to rest now.
    #[must_use]
    pub fn capture(now: Micros, r: RetainedHealth) -> StoredHealth {
        StoredHealth {
            deactivated_at: now,
            wait_until: r.wait_until,
            served_per_s: r.served_per_s as f32,
            unhealthy: r.unhealthy,
        }
    }

    /// What it is worth at a time: half its rate after each half-life, nothing if it was out of order; a clock that
    /// went back makes nothing younger.
    #[must_use]
    pub fn decayed(&self, now: Micros, terms: HealthDecay) -> RetainedHealth {
        let age = now.since(self.deactivated_at);
        let wait_until = if self.wait_until > now { self.wait_until } else { Micros(0) };
        let served = if self.unhealthy || age >= terms.forget_after || !self.served_per_s.is_finite() {
            0.0
        } else {
            let halves = age.secs() / terms.half_life.secs().max(1e-6);
            f64::from(self.served_per_s.max(0.0)) * (-halves).exp2()
        };
        RetainedHealth {
            served_per_s: served,
            wait_until,
            unhealthy: self.unhealthy && age < terms.forget_after,
        }
    }

    /// Nothing in it is worth keeping any more.
    #[must_use]
    pub fn is_stale(&self, now: Micros, terms: HealthDecay) -> bool {
        self.decayed(now, terms) == RetainedHealth::default()
    }
}

/// Whose memory it is. A route may leave the list and come back under its name with its wait still running.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum HealthKey {
    /// A destination's, by its number.
    Destination(u64),
    /// An endpoint's, by its name.
    Endpoint(Box<str>),
}

/// The memories of all that rest and were in use once. What is worth nothing any more is let go in passing.
#[derive(Debug, Default)]
pub struct HealthStore {
    terms: HealthDecay,
    all: HashMap<HealthKey, StoredHealth>,
    /// How many there were when all were last looked at: a look costs no more than what came since.
    looked: usize,
    /// Changes since the start.
    changes: u64,
}

impl HealthStore {
    /// None yet.
    #[must_use]
    pub fn new(terms: HealthDecay) -> HealthStore {
        HealthStore { terms, ..HealthStore::default() }
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
    pub fn store(&mut self, now: Micros, whose: HealthKey, r: RetainedHealth) {
        let m = StoredHealth::capture(now, r);
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
    pub fn take(&mut self, now: Micros, whose: &HealthKey) -> RetainedHealth {
        let known = self.all.remove(whose);
        self.changes += u64::from(known.is_some());
        known.map(|m| m.decayed(now, self.terms)).unwrap_or_default()
    }
    /// How often something has come or gone.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.changes
    }
    /// All of them, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&HealthKey, &StoredHealth)> {
        self.all.iter()
    }
    /// Takes one as an earlier process kept it. A time of its rest that is still to come is nothing to go by.
    pub fn restore(&mut self, now: Micros, whose: HealthKey, m: StoredHealth) {
        let m = StoredHealth { deactivated_at: m.deactivated_at.min(now), ..m };
        if !m.is_stale(now, self.terms) {
            self.all.insert(whose, m);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: HealthDecay = HealthDecay { half_life: Micros(100), forget_after: Micros(1000) };

    #[test]
    fn a_rate_halves_and_then_is_nothing() {
        let m = StoredHealth { deactivated_at: Micros(1000), served_per_s: 8.0, ..StoredHealth::default() };
        let at = |now| m.decayed(Micros(now), T).served_per_s as f32;
        assert_eq!((at(1000), at(1100), at(1300), at(2000)), (8.0, 4.0, 1.0, 0.0));
        assert_eq!(at(500), 8.0, "a clock that went back");
        assert!(!m.is_stale(Micros(1999), T) && m.is_stale(Micros(2000), T));
    }

    #[test]
    fn what_was_sick_has_no_rate_and_a_wait_outlives_the_rest() {
        let m = StoredHealth {
            deactivated_at: Micros(0),
            wait_until: Micros(5000),
            served_per_s: 8.0,
            unhealthy: true,
        };
        let r = RetainedHealth { served_per_s: 0.0, wait_until: Micros(5000), unhealthy: true };
        assert_eq!(m.decayed(Micros(10), T), r);
        assert_eq!(m.decayed(Micros(4000), T), RetainedHealth { unhealthy: false, ..r });
        assert!(!m.is_stale(Micros(4999), T) && m.is_stale(Micros(5000), T));
        let odd = StoredHealth { served_per_s: f32::NAN, ..StoredHealth::default() };
        assert_eq!(odd.decayed(Micros(1), T).served_per_s, 0.0);
    }

    #[test]
    fn memories_that_are_worth_nothing_do_not_pile_up() {
        let mut all = HealthStore::new(T);
        for i in 0..100_000 {
            all.store(
                Micros(i),
                HealthKey::Destination(i),
                RetainedHealth { served_per_s: 1.0, ..RetainedHealth::default() },
            );
        }
        assert!(all.len() <= 2 * 1000 + 1, "{}: a thousand are worth something at any time", all.len());
        all.store(Micros(0), HealthKey::Destination(7), RetainedHealth::default());
        assert_eq!(all.take(Micros(0), &HealthKey::Destination(7)), RetainedHealth::default());
    }
}
