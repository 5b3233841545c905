//! One instance's part in shared duties, between the program round it and the crates that decide.
//!
//! - [`Peers`] is an actor with the UDP socket and the membership. It takes [`ToPeers`] and gives [`FromPeers`] to a
//!   mailbox of the program's, whatever letters that holds besides.
//! - [`Probing`] belongs to the program's own actor round the module. It wants what the module doubts, asks for leases,
//!   hands the probes that may go to the module, and says who asks for the list. It does no I/O: what is to be sent to
//!   others goes to the mailbox of [`Peers`].
//!
//! Whose a duty is, and when one may begin, is `onyxrock-duties`; who is there, `onyxrock-membership`; whether and where
//! a probe's call goes, the module.

mod duty_runner;
mod messages;
mod peers;

pub use duty_runner::{DutyRunner, Keep, member_by_name};
pub use messages::{FromPeers, ListRole, ListUpdate, MAX_LIST_UPDATE_BYTES, ToList, ToPeers};
pub use peers::{Peers, bind_socket, detector_timing};
