//! Which instances are there: SWIM over authenticated datagrams. No I/O, no clock, no task.
//!
//! The members are a fixed list that is the same at all of them; a member is its place there. [`Membership`] takes
//! datagrams and the time, and gives [`Output`]s: datagrams to send, payloads that other members sent, and who is seen
//! to come and go. Two layers do the work:
//!
//! - [`Seal`] signs every datagram (keyed BLAKE3) and believes none that is forged, damaged, oversized, meant for
//!   another, or replayed, be it within one life of a member or across restarts. It keeps a few dozen bytes for each
//!   member of the list and nothing for anybody else, so a flood costs one hash a datagram and no memory.
//! - `foca` is the failure detector: each member probes one other a period, directly and through others, and gossips
//!   what it sees. Its view says who *should* do something. It never says who *may*: that is the business of leases
//!   (`onyxrock-duties`), which hold whatever is seen.
//!
//! A member that starts anew is a new [`Life`]. Lives are ordered by the wall clock of their start, and where that clock
//! went back, the member is told so by the others and leaps ahead; nothing is kept on disk.
//!
//! ```
//! use onyxrock::interface::Micros;
//! use onyxrock_duties::Member;
//! use onyxrock_membership::{Key, Keys, Membership, Output, Settings, Tempo};
//!
//! let keys = Keys::new(1, [Key { id: 1, secret: [7; 32] }]).unwrap();
//! let settings = |me| Settings { me: Member(me), members: 2, keys: keys.clone(), tempo: Tempo::default() };
//! let mut nodes = [Membership::new(settings(0), 10, 77, Micros(0)), Membership::new(settings(1), 11, 78, Micros(0))];
//! let mut now = Micros(0);
//! while !nodes.iter().all(|n| n.alive().len() == 2) {
//!     now = now.after(Micros(10_000));
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
    Authenticator, Body, DATAGRAM_MOST, DropReason, Key, Keys, MissingSigningKey, PAYLOAD_MOST,
};
pub use incarnation::Life;
pub use node::{Counts, DetectorTiming, Membership, MembershipSettings, Output};
