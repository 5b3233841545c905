//! The health that is kept of deactivated destinations and endpoints, and how it decays until they become
//! active again.

use hashbrown::HashMap;
use onyxrock::interface::{Micros, RetainedHealth};
use serde::{Deserialize, Serialize};

/// How stored health decays.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct HealthDecay {
    /// A served rate halves with each period of this length.
    pub half_life: Micros,
    /// Health that is older than this is discarded, except for a retry-after that has not ended.
    pub forget_after: Micros,
}

impl Default for HealthDecay {
    /// A half-life of ten minutes; health is discarded after four hours.
    fn default() -> HealthDecay {
        HealthDecay { half_life: Micros(600_000_000), forget_after: Micros(14_400_000_000) }
    }
}

/// Health of a destination or endpoint at the time when it was deactivated. Takes 24 bytes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct StoredHealth {
    /// When the destination was deactivated.
    pub deactivated_at: Micros,
    /// End of the latest retry-after. It is kept until then, even after `forget_after`.
    pub wait_until: Micros,
    /// Calls per second that the destination or endpoint served for this forwarder.
    pub served_per_s: f32,
    /// Whether the destination or endpoint was unhealthy.
    pub unhealthy: bool,
}

impl StoredHealth {
    /// Captures the health of a destination or endpoint that is deactivated now.
    #[must_use]
    pub fn capture(now: Micros, health: RetainedHealth) -> StoredHealth {
        StoredHealth {
            deactivated_at: now,
            wait_until: health.wait_until,
            served_per_s: health.served_per_s as f32,
            unhealthy: health.unhealthy,
        }
    }

    /// The health after decay: the rate halves with each half-life, and is zero if the endpoint was
    /// unhealthy. If the clock has gone back, the age counts as zero.
    #[must_use]
    pub fn decayed(&self, now: Micros, terms: HealthDecay) -> RetainedHealth {
        let age = now.since(self.deactivated_at);
        let wait_until = if self.wait_until > now { self.wait_until } else { Micros(0) };
        let served_per_s = if self.unhealthy || age >= terms.forget_after || !self.served_per_s.is_finite() {
            0.0
        } else {
            let half_lives = age.secs() / terms.half_life.secs().max(1e-6);
            f64::from(self.served_per_s.max(0.0)) * (-half_lives).exp2()
        };
        RetainedHealth { served_per_s, wait_until, unhealthy: self.unhealthy && age < terms.forget_after }
    }

    /// Whether nothing is left after decay.
    #[must_use]
    pub fn is_stale(&self, now: Micros, terms: HealthDecay) -> bool {
        self.decayed(now, terms) == RetainedHealth::default()
    }
}

/// Identifies what stored health belongs to. Endpoints are identified by name, because a route may leave the
/// list and come back under its name before its retry-after has ended.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum HealthKey {
    /// A destination, by its number.
    Destination(u64),
    /// An endpoint, by its name.
    Endpoint(Box<str>),
}

/// Stored health of all deactivated destinations and their endpoints. Stale entries are removed as the store
/// grows.
#[derive(Debug, Default)]
pub struct HealthStore {
    decay: HealthDecay,
    entries: HashMap<HealthKey, StoredHealth>,
    /// Number of entries after the last removal of stale ones. The next removal waits until that number has
    /// doubled, so that its cost is proportional to the entries added since.
    len_after_cleanup: usize,
    /// Number of changes since the start of the process.
    changes: u64,
}

impl HealthStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(decay: HealthDecay) -> HealthStore {
        HealthStore { decay, ..HealthStore::default() }
    }
    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
    /// Stores the health of a destination or endpoint, unless it is stale already. Once there are twice as
    /// many entries as were left by the last removal of stale ones (and more than 1,024), stale entries are
    /// removed again: amortized O(1).
    pub fn store(&mut self, now: Micros, key: HealthKey, health: RetainedHealth) {
        let stored = StoredHealth::capture(now, health);
        if stored.is_stale(now, self.decay) {
            self.entries.remove(&key);
            return;
        }
        self.changes += 1;
        self.entries.insert(key, stored);
        if self.entries.len() > 2 * self.len_after_cleanup.max(512) {
            let decay = self.decay;
            self.entries.retain(|_, stored| !stored.is_stale(now, decay));
            self.entries.shrink_to(self.entries.len() * 2);
            self.len_after_cleanup = self.entries.len();
        }
    }
    /// Removes an entry and returns its health after decay; the default if there is none.
    pub fn take(&mut self, now: Micros, key: &HealthKey) -> RetainedHealth {
        let stored = self.entries.remove(key);
        self.changes += u64::from(stored.is_some());
        stored.map(|stored| stored.decayed(now, self.decay)).unwrap_or_default()
    }
    /// Number of times that an entry was stored or taken.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.changes
    }
    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&HealthKey, &StoredHealth)> {
        self.entries.iter()
    }
    /// Restores an entry that an earlier process saved. A time of deactivation in the future counts as now.
    pub fn restore(&mut self, now: Micros, key: HealthKey, stored: StoredHealth) {
        let stored = StoredHealth { deactivated_at: stored.deactivated_at.min(now), ..stored };
        if !stored.is_stale(now, self.decay) {
            self.entries.insert(key, stored);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DECAY: HealthDecay = HealthDecay { half_life: Micros(100), forget_after: Micros(1000) };

    #[test]
    fn a_rate_halves_with_each_half_life_until_it_is_forgotten() {
        let stored =
            StoredHealth { deactivated_at: Micros(1000), served_per_s: 8.0, ..StoredHealth::default() };
        let rate_at = |now| stored.decayed(Micros(now), DECAY).served_per_s as f32;
        assert_eq!((rate_at(1000), rate_at(1100), rate_at(1300), rate_at(2000)), (8.0, 4.0, 1.0, 0.0));
        assert_eq!(rate_at(500), 8.0, "the clock has gone back");
        assert!(!stored.is_stale(Micros(1999), DECAY) && stored.is_stale(Micros(2000), DECAY));
    }

    #[test]
    fn an_unhealthy_endpoint_keeps_no_rate_and_its_retry_after_outlives_all_else() {
        let stored = StoredHealth {
            deactivated_at: Micros(0),
            wait_until: Micros(5000),
            served_per_s: 8.0,
            unhealthy: true,
        };
        let health = RetainedHealth { served_per_s: 0.0, wait_until: Micros(5000), unhealthy: true };
        assert_eq!(stored.decayed(Micros(10), DECAY), health);
        assert_eq!(stored.decayed(Micros(4000), DECAY), RetainedHealth { unhealthy: false, ..health });
        assert!(!stored.is_stale(Micros(4999), DECAY) && stored.is_stale(Micros(5000), DECAY));
        let not_a_number = StoredHealth { served_per_s: f32::NAN, ..StoredHealth::default() };
        assert_eq!(not_a_number.decayed(Micros(1), DECAY).served_per_s, 0.0);
    }

    #[test]
    fn stale_entries_do_not_accumulate() {
        let mut store = HealthStore::new(DECAY);
        for i in 0..100_000 {
            store.store(
                Micros(i),
                HealthKey::Destination(i),
                RetainedHealth { served_per_s: 1.0, ..RetainedHealth::default() },
            );
        }
        assert!(store.len() <= 2 * 1000 + 1, "{}: a thousand are not stale at any time", store.len());
        store.store(Micros(0), HealthKey::Destination(7), RetainedHealth::default());
        assert_eq!(store.take(Micros(0), &HealthKey::Destination(7)), RetainedHealth::default());
    }
}
