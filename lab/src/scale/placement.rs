//! Regions and zones, and the placement of forwarders in them.

use onyxrock_duties::Member;

/// Number of regions at the size expected in two years.
pub const REGIONS: u16 = 6;
/// Number of zones of all regions together.
pub const ZONES: u16 = 23;

/// One zone; the numbers of zones of one region differ by multiples of [`REGIONS`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Zone(pub u16);

/// One region.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Region(pub u16);

/// The zone in which discovery is placed.
pub const DISCOVERY_ZONE: Zone = Zone(0);

impl Zone {
    /// The region that the zone belongs to.
    #[must_use]
    pub fn region(self) -> Region {
        Region(self.0 % REGIONS)
    }
}

/// The zone of a forwarder: forwarders are assigned to the zones in turn.
#[must_use]
pub fn zone_of(member: Member) -> Zone {
    Zone(member.0 % ZONES)
}
