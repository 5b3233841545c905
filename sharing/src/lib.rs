//! One instance's part in shared duties: connects the daemon with the crates that decide.
//!
//! - [`Peers`] is an actor that owns the UDP socket and the membership. It takes [`ToPeers`] and sends
//!   [`FromPeers`] to an inbox of the program, which may receive other messages as well.
//! - [`DutyRunner`] belongs to the program's actor around the core. It wants duties for the destinations that
//!   the core has not confirmed as healthy, requests leases, submits the probes that may run to the core, and
//!   determines which instance asks discovery for the list. It does no I/O: messages to other members go to
//!   the inbox of [`Peers`].
//!
//! `onyxrock-duties` decides which member holds a duty and when a run may begin, `onyxrock-membership` which
//! members are alive, and the core whether and where a probe's call goes.

mod duty_runner;
mod messages;
mod peers;

pub use duty_runner::{DutyRunner, PersistBound, member_by_name};
pub use messages::{FromPeers, ListRole, ListUpdate, MAX_LIST_UPDATE_BYTES, ToList, ToPeers};
pub use peers::{Peers, bind_socket, detector_timing};
