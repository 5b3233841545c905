//! A test bed on loopback: stand-ins for everything around real daemons, and experiments that end in claims.
//!
//! - [`testbed`] has the stand-ins. Each records what it saw and when: a daemon is judged from outside.
//!   - [`testbed::partner`]: a partner with limited capacity, failures on demand, and a cold return.
//!   - [`testbed::discovery`]: the server of the endpoint list, and of the platform's notices.
//!   - [`testbed::network`]: the network between daemons, which can be cut in one direction or both.
//!   - [`testbed::clients`]: open-loop load, which does not wait for responses.
//! - [`scale`] has thousands of simulated forwarders on a virtual clock.
//! - [`senders`] has many policy engines on a virtual clock, without a daemon.
//! - [`soak`] has a few dozen real daemons under random faults that overlap.
//! - [`daemon`] starts real daemons, kills or pauses them, and starts them again.
//! - [`report`] is the result of an experiment: claims, each with a figure and a bound, as a table and JSON.
//! - [`capacity`] computes from measured slopes what the design costs at a given size.
//! - [`experiments`] has the scripts, by name.
//!
//! All stand-ins of one experiment run on one thread; each daemon is a process.

pub mod capacity;
pub mod daemon;
pub mod experiments;
mod http;
pub mod report;
pub mod scale;
pub mod senders;
pub mod soak;
pub mod testbed;
