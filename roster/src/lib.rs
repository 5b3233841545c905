//! Every endpoint that the list names, for little: no I/O, no clock, no task.
//!
//! A network may list tens of thousands of endpoints of which a hundred are in use. An endpoint in use has an actor, a
//! mailbox, connections, and a place in the module. One that is not should cost its entry in a table and no more.
//!
//! - [`Roster`] is that table: a fixed record for each endpoint, its name in one arena with all others, zones interned,
//!   found by name and by destination through hash tables of record numbers. A whole list is taken as a difference:
//!   [`Roster::begin`], [`Roster::put`] for each entry, [`Roster::sweep`] in slices for what the list no longer names.
//!   What changed comes out as [`Change`]s, so that nobody walks the whole.
//! - [`Directory`] is all of it together: it takes the list and each use of a destination, and says what follows for
//!   the endpoints in use ([`Order`]) and for the module round which they are ([`Follows`], [`Woken`]).
//!   Operators may take endpoints out of use for maintenance ([`Directory::set_maintenance`]), which lists do not undo.
//! - [`Staged`] holds a list while it is read: the table takes a list as a whole or not at all.
//! - [`Awake`] says which destinations are in use, and which have not been for long enough to rest.
//! - [`Memory`] is what is kept of a destination that goes to rest: its served rate, a wait it had told, whether it was
//!   out of order. It ages: after a half-life the rate is worth half, and after a few nothing is left but the caution
//!   that is due to any destination that nobody has heard of for a while. [`Memories`] holds them all.
//! - [`Writer`] puts memories into the blocks of a file, and [`read`] takes them out of it or says what is wrong with it.
//!
//! ```
//! use onyxrock::interface::Listing;
//! use onyxrock_roster::{Change, Endpoint, Roster};
//!
//! let mut roster = Roster::new(1_000);
//! let club = Endpoint {
//!     name: "club-17",
//!     address: "127.0.0.1:7070".parse().unwrap(),
//!     zone: "floor-2",
//!     kind: 1,
//!     destination: 17,
//!     weight: 2.5,
//!     listing: Listing::Ready,
//! };
//! let id = match roster.put(club.clone()) {
//!     Ok(Some(Change::Added(id))) => id,
//!     other => panic!("{other:?}"),
//! };
//! assert_eq!(roster.put(club.clone()), Ok(None), "nothing has changed");
//! assert_eq!(roster.of(17).collect::<Vec<_>>(), [id]);
//! assert_eq!(roster.find("club-17").and_then(|id| roster.get(id)), Some(club));
//!
//! // A whole list that does not name it any more.
//! roster.begin();
//! let mut gone = Vec::new();
//! while !roster.sweep(100, &mut gone) {}
//! assert_eq!(gone, [Change::Gone(id)]);
//! ```

mod active;
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
