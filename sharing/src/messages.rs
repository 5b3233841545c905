//! Messages between the actors.

use async_channel::Sender;
use onyxrock_duties::{Epoch, Member, Message};
use onyxrock_membership::Keys;
use serde_json::Value;
use std::collections::BTreeSet;

/// Messages to [`Peers`](crate::Peers).
#[derive(Debug)]
pub enum ToPeers {
    /// A message about duties, for one member.
    Duties { to: Member, message: Message },
    /// What the core reports about an endpoint, by the name that discovery gives it everywhere; for all
    /// members.
    EndpointHint { endpoint: String, hint: Vec<u8> },
    /// A change of the list, for all members.
    ListUpdate(ListUpdate),
    /// Announces to all members that this instance coordinates the fleet under this epoch.
    Coordinator(Epoch),
    /// Replaces the keys.
    Rekey(Keys),
    /// Asks for the state of the members as JSON.
    Status(Sender<Value>),
    /// This instance shuts down and leaves the members.
    Leave(Sender<()>),
}

/// Messages from [`Peers`](crate::Peers) to the program.
#[derive(Debug)]
pub enum FromPeers {
    /// The members that are seen alive now.
    Alive(BTreeSet<Member>),
    /// A message about duties from another member.
    Duties { from: Member, message: Message },
    /// What the core of another member reports about an endpoint.
    EndpointHint { endpoint: String, hint: Vec<u8> },
    /// A change of the list, from the member that asks discovery.
    ListUpdate(ListUpdate),
    /// The sender coordinates the fleet under this epoch.
    Coordinator { from: Member, epoch: Epoch },
}

/// A change of the list from one generation to another, which the instance that asks discovery sends to the
/// others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// The epoch of the lease under which discovery was asked.
    pub epoch: Epoch,
    /// The generation before the change.
    pub previous_generation: u64,
    /// The generation after the change.
    pub generation: u64,
    /// The answer of discovery. Empty if it is too long, or if this message is only a heartbeat.
    pub body: Vec<u8>,
}

/// The maximum length of an answer in a list update. A longer answer is not passed on; the other members ask
/// discovery themselves.
pub const MAX_LIST_UPDATE_BYTES: usize = 1200;

/// Which instance asks discovery for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// This instance asks, for itself only.
    Standalone,
    /// This instance asks, under the lease with this epoch, and updates the others.
    Owner(Epoch),
    /// Another instance asks, and updates this one.
    Follower,
}

/// Messages to the actor that holds the list.
#[derive(Debug, PartialEq, Eq)]
pub enum ToList {
    /// The role of this instance has changed.
    Role(ListRole),
    /// Another instance reports a change of the list.
    Update(ListUpdate),
}
