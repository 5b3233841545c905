//! The network between forwarders and discovery, and its faults.

use super::placement::{DISCOVERY, Region, Zone, zone_of};
use crate::testbed::faults::FaultRecord;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use std::collections::BTreeSet;

/// One way between two machines of a zone. No link is faster.
pub const WITHIN_ZONE: Micros = Micros(1_000);
/// One way between two zones of a region.
pub const WITHIN_REGION: Micros = Micros(2_000);
/// One way between two regions.
pub const BETWEEN_REGIONS: Micros = Micros(40_000);

/// One end of a link.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Node {
    /// A forwarder.
    Forwarder(Member),
    /// The discovery stand-in.
    Discovery,
}

impl Node {
    /// Where it stands.
    #[must_use]
    pub fn zone(self) -> Zone {
        match self {
            Node::Forwarder(member) => zone_of(member),
            Node::Discovery => DISCOVERY,
        }
    }
}

/// All links, and the faults that hold now.
#[derive(Debug, Default)]
pub struct Links {
    /// All are as within one zone.
    near: bool,
    partitioned: BTreeSet<Region>,
    unreached: BTreeSet<Member>,
    record: Vec<FaultRecord>,
    lost: u64,
}

impl Links {
    /// Links as within one zone, whatever the placement: as near as daemons on one machine are.
    #[must_use]
    pub fn near() -> Links {
        Links { near: true, ..Links::default() }
    }

    /// The time that a datagram takes on its way; none if it is lost.
    pub fn carry(&mut self, from: Node, to: Node) -> Option<Micros> {
        let (here, there) = (from.zone().region(), to.zone().region());
        let is_cut = |region| self.partitioned.contains(&region);
        let partitioned = here != there && (is_cut(here) || is_cut(there));
        let unreached = matches!(to, Node::Forwarder(member) if self.unreached.contains(&member));
        if partitioned || unreached {
            self.lost += 1;
            return None;
        }
        Some(if self.near || from.zone() == to.zone() {
            WITHIN_ZONE
        } else if here == there {
            WITHIN_REGION
        } else {
            BETWEEN_REGIONS
        })
    }

    /// The forwarder is cut off from discovery by a partition.
    #[must_use]
    pub fn cut_off(&self, member: Member) -> bool {
        let (here, there) = (zone_of(member).region(), DISCOVERY.region());
        here != there && (self.partitioned.contains(&here) || self.partitioned.contains(&there))
    }

    /// Cuts a region off from all others.
    pub fn partition(&mut self, region: Region) {
        self.partitioned.insert(region);
    }

    /// Joins all regions again.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// From now on nothing reaches this forwarder, while it goes on sending.
    pub fn unreach(&mut self, member: Member) {
        self.unreached.insert(member);
    }

    /// Writes a fault down.
    pub fn note(&mut self, now: Micros, what: impl Into<String>) {
        self.record.push(FaultRecord { at_s: now.0 as f64 / 1e6, what: what.into() });
    }

    /// The faults so far.
    #[must_use]
    pub fn record(&self) -> &[FaultRecord] {
        &self.record
    }

    /// What was lost on the way.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost
    }
}
