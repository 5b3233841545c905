//! The endpoint list: follows discovery, or a DNS zone, and reports to the core when the list cannot be
//! refreshed.

pub mod dns;
mod fetch;
mod follow;
mod parts;
mod stored_zone;
pub mod zone;

pub use follow::run;

use async_channel::Sender;
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_config::idle::ListLimits;
use onyxrock_config::list::ListedEndpoint;
use onyxrock_roster::{Endpoint, EntryBlock};
use std::time::Duration;

/// Bytes of a list that are read at once.
const READ_BLOCK_BYTES: usize = 64 * 1024;
/// Endpoints that the core checks in one turn when it removes those that a complete list no longer names.
pub const SWEEP_BATCH_RECORDS: usize = 2048;
/// Time that a call may take beyond the wait that it asks for.
const ANSWER_GRACE: Micros = Micros(1_500_000);
/// Longest wait of a watch. A silent watch shows after its wait and `ANSWER_GRACE`; calls that are refused
/// then have to fit into the 6 s in which a change counts as known.
pub const MAX_WATCH_WAIT: Micros = Micros(3_000_000);
/// Delay after a watch that was answered at once. A watch counts as continued if the next call comes within
/// 200 ms.
const UNWAITED_ANSWER_DELAY: Duration = Duration::from_millis(50);

/// How to call discovery.
pub struct DiscoveryParams {
    /// Names of zones and kinds that entries may use.
    pub names: NameIndex,
    /// Generation of the list in use; `None` before the first list, since generations begin at 0. A cached
    /// list that a start reads from the file may come from another discovery, whose generations mean nothing
    /// to this one.
    pub generation: Option<u64>,
    /// How long a call may wait for changes. It is shorter than discovery would allow: on a connection that
    /// has gone silent, nothing else shows that changes are missed.
    pub watch_wait: Micros,
    /// So many forwarders share discovery that the calls that all of them make at one moment add up.
    pub large_fleet: bool,
    /// Lists are pushed: after a start the forwarder sends no messages until it has received the first
    /// list.
    pub lists_pushed: bool,
    /// Limits of a list.
    pub limits: ListLimits,
}

/// One part of a list that is too long for a single message to the core.
#[derive(Debug)]
pub enum ListPart {
    /// Parts of a complete list follow.
    Begin,
    /// Entries to add or to change.
    Entries(EntryBlock),
    /// Remove endpoints that the complete list no longer names; replies false while there are more to
    /// check.
    Sweep(Sender<bool>),
    /// The list is complete; its generation.
    End(u64),
}

/// An entry of the list in the form that the roster stores.
pub fn roster_endpoint(listed: &ListedEndpoint) -> Endpoint<'_> {
    Endpoint {
        name: &listed.name,
        address: listed.address,
        zone: &listed.zone,
        kind: u16::try_from(listed.entry.kind.0).unwrap_or(u16::MAX),
        destination: listed.entry.destination.0,
        weight: listed.entry.weight as f32,
        state: listed.entry.state,
        started_ms: listed.started_ms,
    }
}

#[cfg(test)]
mod tests;
