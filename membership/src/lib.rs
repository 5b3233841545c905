//! Tracks which instances are alive, with SWIM over authenticated datagrams. Does no I/O, reads no clock and
//! starts no task.
//!
//! The members are a fixed list that is the same at all of them; a member is identified by its index there.
//! [`Membership`] takes datagrams and the current time and produces [`Output`]s: datagrams to send, payloads
//! that other members sent, and changes in which members are alive. It consists of two layers:
//!
//! - [`Authenticator`] signs every datagram (keyed BLAKE3) and drops any that is forged, damaged, oversized,
//!   meant for another member, or replayed, whether within one process of a member or across restarts. It
//!   keeps a few dozen bytes for each member of the list and nothing for anybody else, so a flood costs one
//!   hash per datagram and no memory.
//! - `foca` is the failure detector: in each period a member probes one other, directly and through others,
//!   and gossips what it observes. Its view says which member *should* run a duty. It never says which member
//!   *may*: leases decide that (`onyxrock-duties`) and hold whatever the view is.
//!
//! A restarted member is a new [`Incarnation`]. Incarnations are ordered by the wall clock at their start. If
//! that clock went back, the other members report it and the member advances its number; nothing is kept on
//! disk.
//!
//! ```
//! use onyxrock::interface::Micros;
//! use onyxrock_duties::Member;
//! use onyxrock_membership::{DetectorTiming, Key, Keys, Membership, MembershipSettings, Output};
//!
//! let keys = Keys::new(1, [Key { id: 1, secret: [7; 32] }]).unwrap();
//! let settings = |me| MembershipSettings {
//!     me: Member(me),
//!     member_count: 2,
//!     keys: keys.clone(),
//!     timing: DetectorTiming::default(),
//! };
//! let mut nodes =
//!     [Membership::new(settings(0), 10, 77, Micros(0)), Membership::new(settings(1), 11, 78, Micros(0))];
//! let mut now = Micros(0);
//! while !nodes.iter().all(|n| n.alive().len() == 2) {
//!     now = now.plus(Micros(10_000));
//!     for i in 0..2 {
//!         nodes[i].tick(now);
//!         while let Some(output) = nodes[i].poll() {
//!             if let Output::Datagram { to, bytes } = output {
//!                 let _ = nodes[usize::from(to.0)].receive(now, &bytes);
//!             }
//!         }
//!     }
//! }
//! assert!(now < Micros(3_000_000));
//! ```

mod authenticator;
mod incarnation;
mod node;

pub use authenticator::{
    Authenticator, Body, DropReason, Key, Keys, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, MissingSigningKey,
};
pub use incarnation::Incarnation;
pub use node::{DatagramCounts, DetectorTiming, Membership, MembershipSettings, Output};
