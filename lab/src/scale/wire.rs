//! Messages between forwarders, encoded as the actor of `onyxrock-sharing` encodes them.
//!
//! That actor owns a socket, and its encoding is private; the order of the variants and their fields here
//! must be the same. The claim `hollow_agrees` compares the resulting bytes with those of real daemons.

use onyxrock_duties::{Epoch, Member, Message};
use onyxrock_sharing::{FromPeers, ListUpdate, ToPeers};
use serde::{Deserialize, Serialize};

/// A message between forwarders as it is encoded.
#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// A message of the lease protocol.
    Duties(Message),
    /// What the sender knows about an endpoint.
    #[serde(rename = "Note")]
    EndpointHint {
        endpoint: String,
        #[serde(rename = "news")]
        hint: Vec<u8>,
    },
    /// A change of the endpoint list.
    #[serde(rename = "List")]
    ListUpdate {
        epoch: Epoch,
        #[serde(rename = "from")]
        previous_generation: u64,
        generation: u64,
        body: Vec<u8>,
    },
    /// The sender is the coordinator.
    #[serde(rename = "Lead")]
    Coordinator { epoch: Epoch },
}

/// The receivers of a message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Audience {
    /// One member.
    One(Member),
    /// Every member that is seen alive.
    All,
}

/// The payload of a message and its audience; none for messages that are not sent to other forwarders.
#[must_use]
pub fn encode(message: ToPeers) -> Option<(Audience, Vec<u8>)> {
    let (audience, frame) = match message {
        ToPeers::Duties { to, message } => (Audience::One(to), Frame::Duties(message)),
        ToPeers::EndpointHint { endpoint, hint } => (Audience::All, Frame::EndpointHint { endpoint, hint }),
        ToPeers::ListUpdate(ListUpdate { epoch, previous_generation, generation, body }) => {
            (Audience::All, Frame::ListUpdate { epoch, previous_generation, generation, body })
        }
        ToPeers::Coordinator(epoch) => (Audience::All, Frame::Coordinator { epoch }),
        ToPeers::Rekey(_) | ToPeers::Status(_) | ToPeers::Leave(_) => return None,
    };
    Some((audience, postcard::to_allocvec(&frame).ok()?))
}

/// The message in a payload; none if it cannot be decoded.
#[must_use]
pub fn decode(from: Member, payload: &[u8]) -> Option<FromPeers> {
    Some(match postcard::from_bytes(payload).ok()? {
        Frame::Duties(message) => FromPeers::Duties { from, message },
        Frame::EndpointHint { endpoint, hint } => FromPeers::EndpointHint { endpoint, hint },
        Frame::ListUpdate { epoch, previous_generation, generation, body } => {
            FromPeers::ListUpdate(ListUpdate { epoch, previous_generation, generation, body })
        }
        Frame::Coordinator { epoch } => FromPeers::Coordinator { from, epoch },
    })
}
