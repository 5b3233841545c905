//! The endpoints that the endpoint list names, and the health of those that are not in use. This crate does
//! no I/O, reads no clock and runs no task.
//!
//! A network may list tens of thousands of endpoints of which a hundred are in use. An endpoint in use has an
//! actor, a mailbox, connections, and state in the core. An endpoint that is not in use costs its record in a
//! table and no more.
//!
//! - [`EndpointTable`] is that table. It has a fixed-size record for each endpoint, one arena for all names,
//!   and interned zones; hash tables of record indices find a record by name or by destination. A complete
//!   list is applied as a difference: [`EndpointTable::begin_complete_list`], [`EndpointTable::put`] for each
//!   entry, then [`EndpointTable::sweep`] in slices for endpoints that the list no longer names. Each call
//!   returns [`Change`]s, so that no caller has to walk the whole table.
//! - [`Directory`] combines the parts: it takes list entries and each use of a destination, and returns
//!   commands for the endpoints in use ([`EndpointCommand`]) and updates for the core ([`DirectoryOutput`],
//!   [`ActivatedDestination`]). Operators may take endpoints out of use for maintenance
//!   ([`Directory::set_maintenance`]); a list does not undo that.
//! - [`StagedList`] holds a list while it is read, because the table applies a list as a whole or not at all.
//! - [`ActiveDestinations`] tracks which destinations are in use, and which have been idle long enough to be
//!   deactivated.
//! - [`StoredHealth`] is the health kept of a deactivated destination or endpoint: its served rate, a
//!   retry-after that it sent, and whether it was unhealthy. The rate halves with each half-life, and after a
//!   few half-lives only the caution remains that applies to any destination that has not been used for a
//!   while. [`HealthStore`] holds them.
//! - [`SnapshotWriter`] encodes stored health as the blocks of a file, and [`read_snapshot`] decodes the file
//!   or returns what is wrong with it.
//!
//! ```
//! use onyxrock::interface::EntryState;
//! use onyxrock_roster::{Change, Endpoint, EndpointTable};
//!
//! let mut table = EndpointTable::new(1_000);
//! let club = Endpoint {
//!     name: "club-17",
//!     address: "127.0.0.1:7070".parse().unwrap(),
//!     zone: "floor-2",
//!     kind: 1,
//!     destination: 17,
//!     weight: 2.5,
//!     state: EntryState::Ready,
//!     started_ms: 0,
//! };
//! let id = match table.put(club.clone()) {
//!     Ok(Some(Change::Added(id))) => id,
//!     other => panic!("{other:?}"),
//! };
//! assert_eq!(table.put(club.clone()), Ok(None), "nothing has changed");
//! assert_eq!(table.endpoints_of(17).collect::<Vec<_>>(), [id]);
//! assert_eq!(table.find("club-17").and_then(|id| table.get(id)), Some(club));
//!
//! // A complete list that no longer names the endpoint.
//! table.begin_complete_list();
//! let mut gone = Vec::new();
//! while !table.sweep(100, &mut gone) {}
//! assert_eq!(gone, [Change::Gone(id)]);
//! ```

mod active;
mod address_owners;
mod directory;
mod health_store;
mod maintenance;
mod snapshot;
mod staged_list;
mod table;

pub use active::ActiveDestinations;
pub use directory::{
    ActivatedDestination, ActiveEndpoint, DestinationStatus, Directory, DirectoryOutput, DirectorySettings,
    EndpointCommand,
};
pub use health_store::{HealthDecay, HealthKey, HealthStore, StoredHealth};
pub use maintenance::UnknownEndpoint;
pub use snapshot::{SnapshotWriter, read_snapshot};
pub use staged_list::{EntryBlock, StagedList};
pub use table::{Change, Endpoint, EndpointTable, EntryError, RosterId};
