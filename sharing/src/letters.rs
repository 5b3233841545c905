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
    Note {
        endpoint: String,
        news: Vec<u8>,
    },
    /// For all.
    List(ListNews),
    /// For all: this instance leads the fleet, under this epoch.
    Lead(Epoch),
    Rekey(Keys),
    Show(Sender<Value>),
    /// This instance ends.
    Leave(Sender<()>),
}

/// What it has for the program.
#[derive(Debug)]
pub enum FromPeers {
    View(BTreeSet<Member>),
    Duties { from: Member, message: Message },
    Note { endpoint: String, news: Vec<u8> },
    List(ListNews),
    Lead { from: Member, epoch: Epoch },
}

/// What the instance that asks for the list tells the others: it went from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListNews {
    /// Of the lease under which it was asked for.
    pub epoch: Epoch,
    /// The version before.
    pub from: u64,
    pub generation: u64,
    /// Discovery's answer; empty where that is too long, or where this is only a sign of life.
    pub body: Vec<u8>,
}

/// A longer answer is not passed on: the others ask for themselves.
pub const LIST_NEWS_MOST: usize = 1200;

/// Who asks discovery for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// This instance, for itself.
    Alone,
    /// This instance, under this lease, and it tells the others.
    Owner(Epoch),
    /// Another, which tells this one.
    Told,
}

/// For the actor that has the list.
#[derive(Debug, PartialEq, Eq)]
pub enum ToList {
    Role(Role),
    Told(ListNews),
}
