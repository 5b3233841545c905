//! What the actors say to each other.

use async_channel::Sender;
use onyxrock_duties::{Epoch, Member, Message};
use onyxrock_membership::Keys;
use serde_json::Value;
use std::collections::BTreeSet;

/// The mailbox of [`Peers`](crate::Peers).
#[derive(Debug)]
pub enum ToPeers {
    Duties {
        to: Member,
        message: Message,
    },
    /// What the module tells of an endpoint, by the name that discovery gives it everywhere; for all.
    EndpointHint {
        endpoint: String,
        hint: Vec<u8>,
    },
    /// For all.
    ListUpdate(ListUpdate),
    /// For all: this instance leads the fleet, under this epoch.
    Coordinator(Epoch),
    Rekey(Keys),
    Status(Sender<Value>),
    /// This instance ends.
    Leave(Sender<()>),
}

/// What it has for the program.
#[derive(Debug)]
pub enum FromPeers {
    Alive(BTreeSet<Member>),
    Duties { from: Member, message: Message },
    EndpointHint { endpoint: String, hint: Vec<u8> },
    ListUpdate(ListUpdate),
    Coordinator { from: Member, epoch: Epoch },
}

/// What the instance that asks for the list tells the others: it went from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Of the lease under which it was asked for.
    pub epoch: Epoch,
    /// The version before.
    pub previous_generation: u64,
    pub generation: u64,
    /// Discovery's answer; empty where that is too long, or where this is only a sign of life.
    pub body: Vec<u8>,
}

/// A longer answer is not passed on: the others ask for themselves.
pub const MAX_LIST_UPDATE_BYTES: usize = 1200;

/// Who asks discovery for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// This instance, for itself.
    Standalone,
    /// This instance, under this lease, and it tells the others.
    Owner(Epoch),
    /// Another, which tells this one.
    Follower,
}

/// For the actor that has the list.
#[derive(Debug, PartialEq, Eq)]
pub enum ToList {
    Role(ListRole),
    Update(ListUpdate),
}
