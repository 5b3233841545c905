//! The destinations in use, and which of them have been idle long enough to be deactivated.

use hashbrown::HashMap;
use onyxrock::interface::Micros;
use std::collections::BTreeSet;

/// Destinations in use, each with the time of its last use, and one ordered set of idle checks. A use costs
/// one look-up: a destination's idle check is moved only when it is due.
#[derive(Debug, Default)]
pub struct ActiveDestinations {
    /// A destination that has been idle for this long may be deactivated. `None`: destinations stay active.
    deactivate_after: Option<Micros>,
    last_use: HashMap<u64, Micros>,
    /// When to check a destination next; one check for each destination.
    idle_checks: BTreeSet<(Micros, u64)>,
}

impl ActiveDestinations {
    /// Creates an empty set of destinations.
    #[must_use]
    pub fn new(deactivate_after: Option<Micros>) -> ActiveDestinations {
        ActiveDestinations { deactivate_after, ..ActiveDestinations::default() }
    }
    /// Number of active destinations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last_use.len()
    }
    /// Whether no destination is active.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
    /// Whether this destination is active.
    #[must_use]
    pub fn contains(&self, destination: u64) -> bool {
        self.last_use.contains_key(&destination)
    }
    /// Records a use. Returns true if the destination was not active: the caller has to activate it.
    pub fn touch(&mut self, now: Micros, destination: u64) -> bool {
        let activated = self.last_use.insert(destination, now).is_none();
        if let Some(idle_time) = self.deactivate_after.filter(|_| activated) {
            self.idle_checks.insert((now.plus(idle_time), destination));
        }
        activated
    }
    /// Returns a destination that has been idle for long enough. The destination stays active until the
    /// caller calls [`ActiveDestinations::deactivate`]; until then it is returned again after each further
    /// idle period.
    pub fn next_idle(&mut self, now: Micros) -> Option<u64> {
        let idle_time = self.deactivate_after?;
        while let Some((at, destination)) = self.idle_checks.first().copied().filter(|check| check.0 <= now) {
            self.idle_checks.remove(&(at, destination));
            let Some(last_use) = self.last_use.get(&destination) else { continue };
            let due = last_use.plus(idle_time);
            if due <= now {
                self.idle_checks.insert((now.plus(idle_time), destination));
                return Some(destination);
            }
            self.idle_checks.insert((due, destination));
        }
        None
    }
    /// Removes a destination that the caller has deactivated, at the time at which
    /// [`ActiveDestinations::next_idle`] returned it.
    pub fn deactivate(&mut self, now: Micros, destination: u64) {
        self.last_use.remove(&destination);
        if let Some(idle_time) = self.deactivate_after {
            self.idle_checks.remove(&(now.plus(idle_time), destination));
        }
        if self.last_use.len() * 4 < self.last_use.capacity() {
            self.last_use.shrink_to(self.last_use.len() * 2);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_destination_is_idle_after_its_last_use_and_has_one_idle_check() {
        let mut active = ActiveDestinations::new(Some(Micros(100)));
        assert!(active.touch(Micros(0), 1) && !active.touch(Micros(60), 1) && active.touch(Micros(60), 2));
        assert_eq!(active.next_idle(Micros(159)), None, "used at 60");
        assert_eq!(active.idle_checks.len(), 2);
        let both =
            (active.next_idle(Micros(160)), active.next_idle(Micros(160)), active.next_idle(Micros(160)));
        assert_eq!(both, (Some(1), Some(2), None));
        active.deactivate(Micros(160), 1);
        assert!(!active.contains(1) && active.contains(2), "a destination that is not deactivated stays");
        assert_eq!((active.next_idle(Micros(259)), active.next_idle(Micros(260))), (None, Some(2)));
        active.deactivate(Micros(260), 2);
        assert!(active.is_empty() && active.idle_checks.is_empty());
        assert!(active.touch(Micros(300), 1), "activated again");
    }

    #[test]
    fn without_an_idle_time_destinations_stay_active() {
        let mut active = ActiveDestinations::new(None);
        assert!(active.touch(Micros(0), 1));
        assert_eq!(active.next_idle(Micros(u64::MAX)), None);
        assert!(active.idle_checks.is_empty());
    }
}
