//! Which destinations are in use.

use hashbrown::HashMap;
use onyxrock::interface::Micros;
use std::collections::BTreeSet;

/// Destinations in use, each with the time of its last use, and one heap of when to look whether one may rest. A use
/// costs a look-up; a destination moves in the heap only when its time there has come.
#[derive(Debug, Default)]
pub struct ActiveDestinations {
    /// Unused so long, one may rest; never, where there is none.
    rest: Option<Micros>,
    used: HashMap<u64, Micros>,
    looks: BTreeSet<(Micros, u64)>,
}

impl ActiveDestinations {
    /// None is awake.
    #[must_use]
    pub fn new(rest: Option<Micros>) -> ActiveDestinations {
        ActiveDestinations { rest, ..ActiveDestinations::default() }
    }
    /// Destinations that are awake.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }
    /// None is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
    /// This one is.
    #[must_use]
    pub fn contains(&self, destination: u64) -> bool {
        self.used.contains_key(&destination)
    }
    /// It is used now. True if it was at rest: the caller wakes it.
    pub fn touch(&mut self, now: Micros, destination: u64) -> bool {
        let woken = self.used.insert(destination, now).is_none();
        if let Some(rest) = self.rest.filter(|_| woken) {
            self.looks.insert((now.plus(rest), destination));
        }
        woken
    }
    /// One that has not been used for long enough. It is awake until the caller says [`Awake::rested`]; otherwise it is
    /// asked for again after another rest.
    pub fn next_idle(&mut self, now: Micros) -> Option<u64> {
        let rest = self.rest?;
        while let Some((at, destination)) = self.looks.first().copied().filter(|l| l.0 <= now) {
            self.looks.remove(&(at, destination));
            let Some(used) = self.used.get(&destination) else { continue };
            let due = used.plus(rest);
            if due <= now {
                self.looks.insert((now.plus(rest), destination));
                return Some(destination);
            }
            self.looks.insert((due, destination));
        }
        None
    }
    /// It has gone to rest.
    pub fn deactivate(&mut self, now: Micros, destination: u64) {
        self.used.remove(&destination);
        if let Some(rest) = self.rest {
            self.looks.remove(&(now.plus(rest), destination));
        }
        if self.used.len() * 4 < self.used.capacity() {
            self.used.shrink_to(self.used.len() * 2);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_rests_after_its_last_use_and_stands_in_the_heap_once() {
        let mut a = ActiveDestinations::new(Some(Micros(100)));
        assert!(a.touch(Micros(0), 1) && !a.touch(Micros(60), 1) && a.touch(Micros(60), 2));
        assert_eq!(a.next_idle(Micros(159)), None, "used at 60");
        assert_eq!(a.looks.len(), 2);
        let both = (a.next_idle(Micros(160)), a.next_idle(Micros(160)), a.next_idle(Micros(160)));
        assert_eq!(both, (Some(1), Some(2), None));
        a.deactivate(Micros(160), 1);
        assert!(!a.contains(1) && a.contains(2), "what cannot rest stays");
        assert_eq!((a.next_idle(Micros(259)), a.next_idle(Micros(260))), (None, Some(2)));
        a.deactivate(Micros(260), 2);
        assert!(a.is_empty() && a.looks.is_empty());
        assert!(a.touch(Micros(300), 1), "it wakes again");
    }

    #[test]
    fn without_a_rest_what_is_awake_stays_so() {
        let mut a = ActiveDestinations::new(None);
        assert!(a.touch(Micros(0), 1));
        assert_eq!(a.next_idle(Micros(u64::MAX)), None);
        assert!(a.looks.is_empty());
    }
}
