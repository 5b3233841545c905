//! A laboratory on loopback: stand-ins round real daemons, and experiments that end in claims.
//!
//! - [`world`] has the stand-ins. Each writes down what it saw and when; nothing in a daemon is asked to judge itself.
//!   - [`world::partner`]: a partner with a capacity, trouble on demand, and a cold return.
//!   - [`world::discovery`]: the endpoint list, and the platform's end of notices.
//!   - [`world::net`]: the network between daemons, which can be cut one way or both.
//!   - [`world::clients`]: load that does not wait for answers.
//! - [`scale`] has hollow forwarders by the thousand on a virtual clock.
//! - [`senders`] has many modules on a virtual clock, without a daemon.
//! - [`soak`] has a few dozen real daemons under random faults that overlap.
//! - [`daemon`] starts real daemons, and kills, stops and starts them again.
//! - [`report`] is what an experiment ends in: claims, each with a figure and a bound, as a table and JSON.
//! - [`capacity`] works out from slopes what the design costs at a given size.
//! - [`experiments`] are the scripts, by name.
//!
//! Everything of one experiment runs on one thread; the daemons are processes of their own.

pub mod capacity;
pub mod daemon;
pub mod experiments;
mod http;
pub mod report;
pub mod scale;
pub mod senders;
pub mod soak;
pub mod testbed;
