//! The list of endpoints: follows discovery for as long as that works, and says when it does not.

pub mod dns;
mod fetch;
mod follow;
pub mod zone;

pub use follow::run;

use async_channel::Sender;
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_config::idle::ListLimits;
use onyxrock_config::list::ListedEndpoint;
use onyxrock_roster::{Endpoint, EntryBlock};
use std::time::Duration;

/// A list comes in pieces; so much of it is read at once.
const PIECE: usize = 64 * 1024;
/// Records that it looks at in one turn for what a whole list no longer names.
pub const SWEEP_BATCH_RECORDS: usize = 2048;
/// What a call may take beyond the wait that it asks for.
const GRACE: Micros = Micros(1_500_000);
/// A watch that falls silent shows after its wait and the grace, and then calls that are refused have to fit into the 6 s
/// in which a change counts as known.
pub const MAX_WATCH_WAIT: Micros = Micros(3_000_000);
/// A watch goes on if the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(50);

/// How discovery is asked.
pub struct DiscoveryParams {
    pub names: NameIndex,
    /// The version that is held; none before the first list. Versions begin at 0, which is not the same. The list
    /// that a start finds in the file may have been told by another discovery: its version means nothing here.
    pub generation: Option<u64>,
    /// How long a call may wait for news. Shorter than discovery would allow: on a connection that has gone
    /// silent nothing else tells that news is missed.
    pub watch_wait: Micros,
    /// So many forwarders ask that what each asks at one moment adds up.
    pub large_fleet: bool,
    /// Lists are pushed: a start holds its calls until it is told the first one.
    pub lists_pushed: bool,
    pub bounds: ListLimits,
}

/// One part of a list that is too long for one turn of the module.
#[derive(Debug)]
pub enum ListPart {
    /// A whole list follows.
    Begin,
    Entries(EntryBlock),
    /// Look for what it no longer names; false if there is more to look at.
    Sweep(Sender<bool>),
    End(u64),
}

/// An entry of the list, as the table takes it.
pub fn roster_endpoint(l: &ListedEndpoint) -> Endpoint<'_> {
    Endpoint {
        name: &l.name,
        address: l.address,
        zone: &l.zone,
        kind: u16::try_from(l.entry.kind.0).unwrap_or(u16::MAX),
        destination: l.entry.destination.0,
        weight: l.entry.weight as f32,
        state: l.entry.state,
    }
}

#[cfg(test)]
mod tests;
