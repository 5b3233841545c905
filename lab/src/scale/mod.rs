//! Simulates thousands of hollow forwarders in one process on a virtual clock.
//!
//! A hollow forwarder runs the crates that a daemon runs for control (`onyxrock-membership`,
//! `onyxrock-duties`, `onyxrock-sharing`, `onyxrock-roster`, `onyxrock-config`, and the core with its
//! discovery refresh), and takes no messages. The parts of a daemon around these crates (sockets, timers,
//! actors) are replaced here:
//!
//! - [`forwarder`] combines the crates of one forwarder as the daemon does.
//! - [`follower`] follows discovery's list, as the daemon's list actor does.
//! - [`wire`] encodes the messages between forwarders as the actor of `onyxrock-sharing` does.
//! - [`shard`] runs many forwarders on one thread, [`cluster`] runs the shards in lockstep.
//! - [`links`] is the network between the forwarders and its faults, [`placement`] assigns forwarders to
//!   zones.
//! - [`discovery`] is a stand-in that lists endpoints and answers watches.
//! - [`change_times`] measures how long a list change takes to reach every forwarder.
//!
//! The other modules measure the forwarders and this process, run the scenario, and check the machine's
//! resources.
//!
//! All results but processor times are the same in every run with one seed, whatever the number of threads.

pub mod change_times;
pub mod cluster;
pub mod discovery;
pub mod follower;
pub mod forwarder;
pub mod links;
pub mod list_memory;
pub mod measurement;
pub mod placement;
pub mod resource_check;
pub mod scenario;
pub mod shard;
pub mod wire;
