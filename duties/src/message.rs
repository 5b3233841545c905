//! What members say to each other about duties.

use crate::{BootId, Duty, Epoch};
use serde::{Deserialize, Serialize};

/// Duties in one message; more go in several, so that each fits in a datagram.
pub const DUTIES_MOST: usize = 32;

/// Between members. Messages may be lost, come late, twice and in any order; who sent one is known for sure.
///
/// Times are microseconds on the asking holder's own clock and mean nothing to anybody else.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum Message {
    /// To a voter: a lease is wanted, or wanted for longer.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// Which life of the sender asks.
        boot: BootId,
        /// When the question left.
        sent: u64,
        /// For what, and under which epoch.
        duties: Vec<(Duty, Epoch)>,
    },
    /// The voter's answer.
    #[serde(rename = "Answer")]
    LeaseResponse {
        /// Which life had asked.
        boot: BootId,
        /// When that question had left.
        sent: u64,
        /// Promised to the one that asked, under the epoch that it named.
        granted: Vec<(Duty, Epoch)>,
        /// Not promised, and the highest epoch that the voter knows of it: the next question needs a higher one.
        refused: Vec<(Duty, Epoch)>,
    },
    /// To a voter: what was asked for up to then is not wanted any more.
    Release {
        /// Which life of the sender.
        boot: BootId,
        /// Questions that left later than this stand.
        sent: u64,
        /// For what.
        duties: Vec<Duty>,
    },
    /// To the other voters, from one that has lost what it kept: which epochs may have been handed out?
    #[serde(rename = "Recall")]
    EpochQuery {
        /// Which life of the sender asks.
        boot: BootId,
    },
    /// The answer.
    #[serde(rename = "Bound")]
    EpochBound {
        /// Which life had asked.
        boot: BootId,
        /// No epoch of any duty that this voter knows is higher.
        bound: Epoch,
    },
    /// To the member whose duty it should be: the sender wants it done.
    Want {
        /// What.
        duties: Vec<Duty>,
    },
}

impl Message {
    /// A message with more than this was not made by us.
    #[must_use]
    pub fn fits(&self) -> bool {
        let n = match self {
            Message::LeaseRequest { duties, .. } => duties.len(),
            Message::Release { duties, .. } | Message::Want { duties } => duties.len(),
            Message::LeaseResponse { granted, refused, .. } => granted.len() + refused.len(),
            Message::EpochQuery { .. } | Message::EpochBound { .. } => 0,
        };
        n <= DUTIES_MOST
    }
}
