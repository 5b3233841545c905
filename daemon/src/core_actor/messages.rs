//! What the module is told and asked, and what it answers.

use super::{MaintenanceReply, PermitRequest, PermitResult};
use crate::list::ListPart;
use crate::maintenance::MaintenanceChange;
use crate::shared_waits::Shared;
use crate::state_folder::Left;
use async_channel::Sender;
use onyxrock::core::{AcceptedMessage, AttemptOutcome, FinalStatus, NameIndex};
use onyxrock::interface::{Micros, ReceiverId, Settings};
use onyxrock_config::list::EndpointList;
use onyxrock_sharing::FromPeers;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug)]
pub struct Submission {
    pub message: AcceptedMessage,
    pub reply: Sender<SubmitReply>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    Accepted(u64),
    FailFast(Option<Micros>),
    /// The same, since no more can be held.
    Full,
    /// No such class or tenant.
    UnknownClassOrTenant,
    /// The list has never named its destination.
    UnknownDestination,
    /// Its id has been used, and that request could still run.
    DuplicateId,
}

/// Settings that hold from now on.
#[derive(Debug)]
pub struct LiveSettings {
    pub settings: Settings,
    pub names: NameIndex,
}

/// The module's mailbox.
#[derive(Debug)]
pub enum CoreMessage {
    Submit(Submission),
    /// The answer that it was taken on did not reach its client.
    ReplyNotDelivered(u64),
    /// A client that may be gone: it is owed no more if nothing of it has begun, as the answer says.
    WithdrawIfUntried(u64, Sender<bool>),
    /// A call is about to be written: may it go?
    RequestPermit {
        request: PermitRequest,
        /// Where its connection leads.
        address: SocketAddr,
        reply: Sender<PermitResult>,
    },
    /// An endpoint has told a wait, and its answer has not ended yet.
    RetryAfter {
        receiver: ReceiverId,
        until: Micros,
    },
    AttemptEnded(AttemptOutcome),
    EndpointList(EndpointList),
    /// One part of a list that is too long for one message.
    EndpointListPart(ListPart),
    ListFailed {
        reason: String,
        /// The call failed at once.
        immediate: bool,
    },
    /// Discovery has moved, and is asked there.
    DiscoveryMoved,
    /// A client has been told of an end.
    NoticeDelivered(u64),
    /// From other instances.
    FromMembers(FromPeers),
    /// Shows the duties, as JSON.
    DescribeDuties(Sender<serde_json::Value>),
    /// Operators take an endpoint out, or put it back.
    ChangeMaintenance {
        change: MaintenanceChange,
        reply: Sender<MaintenanceReply>,
    },
    /// The file of what operators have taken out is another one than it was.
    MaintenanceFileChanged,
    /// New settings.
    NewSettings(Box<LiveSettings>),
    /// Another process of this forwarder is beside this one, and this is where it is told of waits; none once it is gone.
    SiblingChanged(Option<PathBuf>),
    /// What that process has told of waits.
    FromSibling(Shared),
    /// What another process of this forwarder owed, which is gone.
    TakeOverLog(Left),
    /// Hold all further sends.
    StopSending,
    /// The process ends now: what it leaves to the next one is looked at once more.
    FinalCheck(Sender<()>),
    /// Says when no call is out any more.
    NotifyWhenNoCalls(Sender<()>),
}

impl From<FromPeers> for CoreMessage {
    fn from(news: FromPeers) -> CoreMessage {
        CoreMessage::FromMembers(news)
    }
}

/// The end of a request, on its way to its client.
#[derive(Clone, Debug)]
pub struct StatusNotice {
    pub number: u64,
    pub id: String,
    pub frontend_note: String,
    pub deadline: Micros,
    pub status: FinalStatus,
}
