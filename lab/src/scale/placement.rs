//! Regions and zones, and the forwarders in them.

use onyxrock_duties::Member;

/// Regions of the two-year size.
pub const REGIONS: u16 = 6;
/// Zones of all regions together.
pub const ZONES: u16 = 23;

/// One zone; zones of one region are [`REGIONS`] apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Zone(pub u16);

/// One region.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Region(pub u16);

/// Where discovery stands.
pub const DISCOVERY: Zone = Zone(0);

impl Zone {
    /// The region that the zone belongs to.
    #[must_use]
    pub fn region(self) -> Region {
        Region(self.0 % REGIONS)
    }
}

/// The zone of a forwarder: forwarders are dealt to the zones in turn.
#[must_use]
pub fn zone_of(member: Member) -> Zone {
    Zone(member.0 % ZONES)
}
