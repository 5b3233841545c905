//! Faults of the network between daemons, drawn from a fixed seed, and a record of the faults that were
//! injected.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// How the link from one daemon to another treats its datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Share of the datagrams that is lost.
    pub loss: f64,
    /// Maximum delay in seconds; the delay is drawn evenly from 0 up to it, so that datagrams are reordered.
    pub delay: f64,
    /// Share of the datagrams that is delivered twice.
    pub duplication: f64,
}

/// What the network does with one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum DatagramAction {
    Drop,
    /// Keep the datagram until the daemon that sent it is unfrozen.
    Hold,
    /// Deliver one copy after each of these delays, in seconds.
    Deliver(Vec<f64>),
}

/// One injected fault, for the report.
#[derive(Clone, Debug, Serialize)]
pub struct FaultRecord {
    /// Seconds since the experiment began.
    pub at_s: f64,
    pub what: String,
}

/// The faults in force, by member or by ordered pair of members.
pub struct Faults {
    rng: RefCell<StdRng>,
    /// Links, from the first member to the second, on which every datagram is lost.
    cut: RefCell<BTreeSet<(usize, usize)>>,
    link_faults: RefCell<BTreeMap<(usize, usize), LinkFaults>>,
    /// Members whose machine is frozen: the datagrams that they send are held.
    frozen: RefCell<BTreeSet<usize>>,
    records: RefCell<Vec<FaultRecord>>,
    /// Number of datagrams dropped by a cut or by loss.
    pub datagrams_lost: Cell<u64>,
    /// Number of datagrams delivered over a link with a delay.
    pub datagrams_delayed: Cell<u64>,
}

impl Faults {
    /// Starts without faults.
    pub fn new(seed: u64) -> Faults {
        Faults {
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            cut: RefCell::default(),
            link_faults: RefCell::default(),
            frozen: RefCell::default(),
            records: RefCell::default(),
            datagrams_lost: Cell::new(0),
            datagrams_delayed: Cell::new(0),
        }
    }

    /// Decides what happens to a datagram of member `from` for member `to`.
    pub fn decide(&self, from: usize, to: usize) -> DatagramAction {
        if self.cut.borrow().contains(&(from, to)) {
            self.datagrams_lost.set(self.datagrams_lost.get() + 1);
            return DatagramAction::Drop;
        }
        if self.frozen.borrow().contains(&from) {
            return DatagramAction::Hold;
        }
        let Some(link) = self.link_faults.borrow().get(&(from, to)).copied() else {
            return DatagramAction::Deliver(vec![0.0]);
        };
        let mut rng = self.rng.borrow_mut();
        if rng.random_bool(link.loss) {
            self.datagrams_lost.set(self.datagrams_lost.get() + 1);
            return DatagramAction::Drop;
        }
        let copies = 1 + usize::from(rng.random_bool(link.duplication));
        self.datagrams_delayed.set(self.datagrams_delayed.get() + u64::from(link.delay > 0.0));
        DatagramAction::Deliver((0..copies).map(|_| rng.random_range(0.0..=link.delay)).collect())
    }

    /// Records an injected fault.
    pub fn record_fault(&self, at_s: f64, what: impl Into<String>) {
        let at_s = (at_s * 1000.0).round() / 1000.0;
        self.records.borrow_mut().push(FaultRecord { at_s, what: what.into() });
    }

    /// Drops every datagram on these links from now on.
    pub fn cut(&self, links: impl IntoIterator<Item = (usize, usize)>) {
        self.cut.borrow_mut().extend(links);
    }

    /// Sets the faults of all links among the members.
    pub fn set_all_links(&self, members: usize, faults: LinkFaults) {
        let links = (0..members).flat_map(|a| (0..members).map(move |b| (a, b)));
        self.link_faults.borrow_mut().extend(links.map(|link| (link, faults)));
    }

    /// Holds the datagrams that this member sends until it is unfrozen.
    pub fn freeze(&self, from: usize) {
        self.frozen.borrow_mut().insert(from);
    }

    /// Lets new datagrams of this member pass; those already held are released by
    /// [`super::network::Network`].
    pub fn unfreeze(&self, from: usize) {
        self.frozen.borrow_mut().remove(&from);
    }

    /// Removes all cuts and link faults; frozen members stay frozen.
    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
        self.link_faults.borrow_mut().clear();
    }

    /// The faults recorded so far.
    pub fn records(&self) -> Vec<FaultRecord> {
        self.records.borrow().clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_have_their_configured_effect_and_are_reproducible_by_seed() {
        let draw = |seed| {
            let faults = Faults::new(seed);
            faults.set_all_links(3, LinkFaults { loss: 0.3, delay: 0.5, duplication: 0.2 });
            (0..2000).map(|_| faults.decide(0, 1)).collect::<Vec<_>>()
        };
        let actions = draw(4);
        assert_eq!(actions, draw(4));
        let lost = actions.iter().filter(|action| **action == DatagramAction::Drop).count();
        let duplicated = actions
            .iter()
            .filter(|action| matches!(action, DatagramAction::Deliver(delays) if delays.len() == 2))
            .count();
        assert!(
            (500..700).contains(&lost) && (200..360).contains(&duplicated),
            "{lost} lost, {duplicated} duplicated"
        );
        let faults = Faults::new(1);
        faults.cut([(0, 1)]);
        faults.freeze(1);
        assert_eq!(
            (faults.decide(0, 1), faults.decide(1, 0)),
            (DatagramAction::Drop, DatagramAction::Hold),
            "a cut of one direction must not cut the reverse direction"
        );
        faults.heal();
        faults.unfreeze(1);
        assert_eq!(
            (faults.decide(0, 1), faults.decide(1, 0)),
            (DatagramAction::Deliver(vec![0.0]), DatagramAction::Deliver(vec![0.0]))
        );
    }
}
