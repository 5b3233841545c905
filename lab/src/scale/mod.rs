//! Thousands of hollow forwarders in one process, on a virtual clock.
//!
//! A hollow forwarder runs the crates that a daemon runs for control (`onyxrock-membership`, `onyxrock-duties`,
//! `onyxrock-sharing`, `onyxrock-roster`, `onyxrock-config`, and the core with its discovery refresh), and takes no
//! messages. What a daemon has round them (sockets, timers, actors) is replaced here:
//!
//! - [`forwarder`] puts the crates of one forwarder together, as the daemon does.
//! - [`follower`] follows discovery's list, as the daemon's list actor does.
//! - [`wire`] encodes what forwarders tell each other, as the actor of `onyxrock-sharing` does.
//! - [`shard`] runs many forwarders on one thread, [`cluster`] runs the shards in lockstep.
//! - [`links`] is the network between them with its faults, [`placement`] says where each forwarder stands.
//! - [`discovery`] is a stand-in that lists endpoints and answers watches.
//! - [`in_force`] measures how long a list change takes to reach every forwarder.
//! - [`meter`] has what is measured of forwarders and of this process, [`listing`] the memory of a long list.
//! - [`play`] takes one size from its start through every fault.
//! - [`room`] says whether an experiment fits on this machine.
//!
//! For one seed everything but the processor's time is the same in every run, whatever the number of threads.

pub mod cluster;
pub mod discovery;
pub mod follower;
pub mod forwarder;
pub mod in_force;
pub mod links;
pub mod listing;
pub mod meter;
pub mod placement;
pub mod play;
pub mod room;
pub mod shard;
pub mod wire;
