//! The messages about duties that members exchange.

use crate::{BootId, Duty, Epoch};
use serde::{Deserialize, Serialize};

/// The maximum number of duties in one message. More are split over several messages, so that each fits in a
/// datagram.
pub const MAX_DUTIES_PER_MESSAGE: usize = 32;

/// A message between members. Messages may be lost, delayed, delivered twice and reordered; the sender of
/// each is authenticated.
///
/// Times are microseconds of the requesting holder's own clock and mean nothing to any other member.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Asks a voter to grant or to renew leases.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// The process that sent the request.
        boot: BootId,
        /// When the request was sent.
        sent: u64,
        /// The duties requested, each with the epoch of its lease.
        duties: Vec<(Duty, Epoch)>,
    },
    /// A voter's response to a request.
    #[serde(rename = "Answer")]
    LeaseResponse {
        /// The process that had sent the request.
        boot: BootId,
        /// When that request was sent.
        sent: u64,
        /// Duties promised to the requesting process, under the epochs that it named.
        granted: Vec<(Duty, Epoch)>,
        /// Duties not promised, each with the highest epoch that the voter knows for it: the next request
        /// needs a higher one.
        refused: Vec<(Duty, Epoch)>,
    },
    /// Tells a voter that the sender gives up the leases that it has requested so far.
    Release {
        /// The process of the sender.
        boot: BootId,
        /// Requests sent later than this remain valid.
        sent: u64,
        /// The duties given up.
        duties: Vec<Duty>,
    },
    /// Asks another voter for its highest epoch, on behalf of a voter that has lost its stored bound.
    #[serde(rename = "Recall")]
    EpochQuery {
        /// The process that sent the query.
        boot: BootId,
    },
    /// The response to an epoch query.
    #[serde(rename = "Bound")]
    EpochBound {
        /// The process that had sent the query.
        boot: BootId,
        /// The highest epoch, over all duties, that the responding voter knows.
        bound: Epoch,
    },
    /// Tells the member that should hold the leases that the sender wants these duties to run.
    Want {
        /// The duties wanted.
        duties: Vec<Duty>,
    },
}

impl Message {
    /// Whether the message holds no more duties than any sender of this protocol puts into one.
    #[must_use]
    pub fn is_within_limit(&self) -> bool {
        let count = match self {
            Message::LeaseRequest { duties, .. } => duties.len(),
            Message::Release { duties, .. } | Message::Want { duties } => duties.len(),
            Message::LeaseResponse { granted, refused, .. } => granted.len() + refused.len(),
            Message::EpochQuery { .. } | Message::EpochBound { .. } => 0,
        };
        count <= MAX_DUTIES_PER_MESSAGE
    }
}
