//! What forwarders tell each other, encoded as the actor of `onyxrock-sharing` encodes it.
//!
//! That actor owns a socket and keeps its encoding to itself; the order of the variants and their fields here must be
//! the same. `hollow_agrees` compares the resulting bytes with those of real daemons.

use onyxrock_duties::{Epoch, Member, Message};
use onyxrock_sharing::{FromPeers, ListUpdate, ToPeers};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    Duties(Message),
    Note { endpoint: String, news: Vec<u8> },
    List { epoch: Epoch, from: u64, generation: u64, body: Vec<u8> },
    Lead { epoch: Epoch },
}

/// Who a message is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Audience {
    /// One member.
    One(Member),
    /// Every member that is seen alive.
    All,
}

/// The payload of a message and its audience; none for what is not sent to others.
#[must_use]
pub fn encode(message: ToPeers) -> Option<(Audience, Vec<u8>)> {
    let (audience, frame) = match message {
        ToPeers::Duties { to, message } => (Audience::One(to), Frame::Duties(message)),
        ToPeers::EndpointHint { endpoint, hint: news } => (Audience::All, Frame::Note { endpoint, news }),
        ToPeers::ListUpdate(ListUpdate { epoch, previous_generation: from, generation, body }) => {
            (Audience::All, Frame::List { epoch, from, generation, body })
        }
        ToPeers::Coordinator(epoch) => (Audience::All, Frame::Lead { epoch }),
        ToPeers::Rekey(_) | ToPeers::Status(_) | ToPeers::Leave(_) => return None,
    };
    Some((audience, postcard::to_allocvec(&frame).ok()?))
}

/// The message in a payload; none if it cannot be read.
#[must_use]
pub fn decode(from: Member, payload: &[u8]) -> Option<FromPeers> {
    Some(match postcard::from_bytes(payload).ok()? {
        Frame::Duties(message) => FromPeers::Duties { from, message },
        Frame::Note { endpoint, news } => FromPeers::EndpointHint { endpoint, hint: news },
        Frame::List { epoch, from, generation, body } => {
            FromPeers::ListUpdate(ListUpdate { epoch, previous_generation: from, generation, body })
        }
        Frame::Lead { epoch } => FromPeers::Coordinator { from, epoch },
    })
}
