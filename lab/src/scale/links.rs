//! The simulated network between the forwarders and discovery, and its faults.

use super::placement::{DISCOVERY_ZONE, Region, Zone, zone_of};
use crate::testbed::faults::FaultRecord;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use std::collections::BTreeSet;

/// One-way delay between two machines of a zone. No link is faster.
pub const WITHIN_ZONE: Micros = Micros(1_000);
/// One-way delay between two zones of a region.
pub const WITHIN_REGION: Micros = Micros(2_000);
/// One-way delay between two regions.
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
    /// The zone in which the node is placed.
    #[must_use]
    pub fn zone(self) -> Zone {
        match self {
            Node::Forwarder(member) => zone_of(member),
            Node::Discovery => DISCOVERY_ZONE,
        }
    }
}

/// All links, and the faults that are in effect.
#[derive(Debug, Default)]
pub struct Links {
    /// All links have the delay within a zone.
    near: bool,
    partitioned: BTreeSet<Region>,
    unreachable_members: BTreeSet<Member>,
    fault_records: Vec<FaultRecord>,
    lost_count: u64,
}

impl Links {
    /// Links with the delay within a zone whatever the placement, as between daemons on one machine.
    #[must_use]
    pub fn within_one_zone() -> Links {
        Links { near: true, ..Links::default() }
    }

    /// The delay of a datagram or call on its way; none if it is lost. Lost ones are counted.
    pub fn delay(&mut self, from: Node, to: Node) -> Option<Micros> {
        let (from_region, to_region) = (from.zone().region(), to.zone().region());
        let is_partitioned = |region| self.partitioned.contains(&region);
        let partitioned =
            from_region != to_region && (is_partitioned(from_region) || is_partitioned(to_region));
        let unreachable = matches!(to, Node::Forwarder(member) if self.unreachable_members.contains(&member));
        if partitioned || unreachable {
            self.lost_count += 1;
            return None;
        }
        Some(if self.near || from.zone() == to.zone() {
            WITHIN_ZONE
        } else if from_region == to_region {
            WITHIN_REGION
        } else {
            BETWEEN_REGIONS
        })
    }

    /// Whether a partition separates the forwarder from discovery.
    #[must_use]
    pub fn is_cut_off(&self, member: Member) -> bool {
        let (from_region, to_region) = (zone_of(member).region(), DISCOVERY_ZONE.region());
        from_region != to_region
            && (self.partitioned.contains(&from_region) || self.partitioned.contains(&to_region))
    }

    /// Cuts a region off from all others.
    pub fn partition(&mut self, region: Region) {
        self.partitioned.insert(region);
    }

    /// Joins all regions again.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Makes a forwarder unreachable from now on, while it continues to send.
    pub fn make_unreachable(&mut self, member: Member) {
        self.unreachable_members.insert(member);
    }

    /// Adds a fault to the record.
    pub fn record_fault(&mut self, now: Micros, description: impl Into<String>) {
        self.fault_records.push(FaultRecord { at_s: now.0 as f64 / 1e6, what: description.into() });
    }

    /// The recorded faults.
    #[must_use]
    pub fn fault_records(&self) -> &[FaultRecord] {
        &self.fault_records
    }

    /// Number of datagrams and calls that were lost.
    #[must_use]
    pub fn lost_count(&self) -> u64 {
        self.lost_count
    }
}
