//! What goes wrong between daemons, by a fixed seed, and a record of what did and when.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// How the way from one daemon to another treats what goes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// This share is lost.
    pub loss: f64,
    /// Seconds that a datagram takes, drawn evenly up to this: they overtake each other.
    pub delay: f64,
    /// This share comes twice.
    pub twice: f64,
}

/// What becomes of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    Lost,
    /// It waits until the daemon that sent it goes on.
    Held,
    /// It arrives after each of these, in seconds.
    Arrives(Vec<f64>),
}

/// One fault, for the report.
#[derive(Clone, Debug, Serialize)]
pub struct FaultRecord {
    pub at_s: f64,
    pub what: String,
}

pub struct Faults {
    dice: RefCell<StdRng>,
    /// What the first says does not reach the second.
    cut: RefCell<BTreeSet<(usize, usize)>>,
    links: RefCell<BTreeMap<(usize, usize), Link>>,
    /// What these send does not leave their machine, which stands still with them.
    frozen: RefCell<BTreeSet<usize>>,
    record: RefCell<Vec<FaultRecord>>,
    pub lost: Cell<u64>,
    pub delayed: Cell<u64>,
}

impl Faults {
    pub fn new(seed: u64) -> Faults {
        Faults {
            dice: RefCell::new(StdRng::seed_from_u64(seed)),
            cut: RefCell::default(),
            links: RefCell::default(),
            frozen: RefCell::default(),
            record: RefCell::default(),
            lost: Cell::new(0),
            delayed: Cell::new(0),
        }
    }

    pub fn fate(&self, from: usize, to: usize) -> Fate {
        if self.cut.borrow().contains(&(from, to)) {
            self.lost.set(self.lost.get() + 1);
            return Fate::Lost;
        }
        if self.frozen.borrow().contains(&from) {
            return Fate::Held;
        }
        let Some(link) = self.links.borrow().get(&(from, to)).copied() else {
            return Fate::Arrives(vec![0.0]);
        };
        let mut dice = self.dice.borrow_mut();
        if dice.random_bool(link.loss) {
            self.lost.set(self.lost.get() + 1);
            return Fate::Lost;
        }
        let times = 1 + usize::from(dice.random_bool(link.twice));
        self.delayed.set(self.delayed.get() + u64::from(link.delay > 0.0));
        Fate::Arrives((0..times).map(|_| dice.random_range(0.0..=link.delay)).collect())
    }

    pub fn note(&self, at_s: f64, what: impl Into<String>) {
        let at_s = (at_s * 1000.0).round() / 1000.0;
        self.record.borrow_mut().push(FaultRecord { at_s, what: what.into() });
    }

    pub fn cut(&self, ways: impl IntoIterator<Item = (usize, usize)>) {
        self.cut.borrow_mut().extend(ways);
    }

    /// Every way among so many.
    pub fn all(&self, members: usize, link: Link) {
        let ways = (0..members).flat_map(|a| (0..members).map(move |b| (a, b)));
        self.links.borrow_mut().extend(ways.map(|way| (way, link)));
    }

    pub fn freeze(&self, from: usize) {
        self.frozen.borrow_mut().insert(from);
    }

    pub fn thaw(&self, from: usize) {
        self.frozen.borrow_mut().remove(&from);
    }

    /// All is well again, but for what is frozen.
    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
        self.links.borrow_mut().clear();
    }

    pub fn record(&self) -> Vec<FaultRecord> {
        self.record.borrow().clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_fault_does_what_it_says_and_a_seed_gives_the_same_again() {
        let draw = |seed| {
            let f = Faults::new(seed);
            f.all(3, Link { loss: 0.3, delay: 0.5, twice: 0.2 });
            (0..2000).map(|_| f.fate(0, 1)).collect::<Vec<_>>()
        };
        let fates = draw(4);
        assert_eq!(fates, draw(4));
        let lost = fates.iter().filter(|f| **f == Fate::Lost).count();
        let twice = fates.iter().filter(|f| matches!(f, Fate::Arrives(t) if t.len() == 2)).count();
        assert!((500..700).contains(&lost) && (200..360).contains(&twice), "{lost} lost, {twice} twice");
        let f = Faults::new(1);
        f.cut([(0, 1)]);
        f.freeze(1);
        assert_eq!((f.fate(0, 1), f.fate(1, 0)), (Fate::Lost, Fate::Held), "a way is cut, not its way back");
        f.heal();
        f.thaw(1);
        assert_eq!((f.fate(0, 1), f.fate(1, 0)), (Fate::Arrives(vec![0.0]), Fate::Arrives(vec![0.0])));
    }
}
