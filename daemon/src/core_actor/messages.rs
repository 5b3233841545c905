//! The messages of the core actor's mailbox, and its replies.

use super::{MaintenanceReply, PermitRequest, PermitResult};
use crate::list::ListPart;
use crate::maintenance::MaintenanceChange;
use crate::shared_ids::SharedIds;
use crate::shared_waits::{SharedDrain, SiblingEntry};
use crate::state_folder::OrphanedLog;
use async_channel::Sender;
use onyxrock::core::{AcceptedMessage, AttemptOutcome, FinalStatus, NameIndex, RequestIdDigest};
use onyxrock::interface::{Micros, ReceiverId, Settings};
use onyxrock_sharing::FromPeers;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The files that a process shares with its sibling.
#[derive(Debug)]
pub struct SiblingFiles {
    /// Path of the own waits file.
    pub waits_path: PathBuf,
    /// The request ids.
    pub shared_ids: SharedIds,
}

/// A message that a frontend submits.
#[derive(Debug)]
pub struct Submission {
    /// The message, whose number the core actor assigns.
    pub message: AcceptedMessage,
    /// Clients of this frontend cannot name an idempotency key: a message of a keyed class gets one here, which its
    /// repeats have as well, whichever process sends them.
    pub makes_key: bool,
    /// Where the reply goes.
    pub reply: Sender<SubmitReply>,
}

/// The reply to a [`Submission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// Accepted under this number, and logged.
    Accepted(u64),
    /// Refused at once, with a retry-after if one is known.
    FailFast(Option<Micros>),
    /// Refused because no more messages can be held or logged.
    Full,
    /// The class or the tenant does not exist.
    UnknownClassOrTenant,
    /// The endpoint list has never named the destination.
    UnknownDestination,
    /// The request id has been used, and the message with it may still run.
    DuplicateId,
}

/// Settings that apply from now on.
#[derive(Debug)]
pub struct LiveSettings {
    /// The core's settings.
    pub settings: Settings,
    /// The names of classes, tenants and zones.
    pub names: NameIndex,
}

/// A message to the core actor.
#[derive(Debug)]
pub enum CoreMessage {
    Submit(Submission),
    /// The client could not be told that this message was accepted.
    ReplyNotDelivered(u64),
    /// Withdraws a message whose client may be gone, unless an attempt has begun; the reply says whether it
    /// was withdrawn.
    WithdrawIfUntried(u64, Sender<bool>),
    /// Asks whether a call that is about to be written may be sent.
    RequestPermit {
        request: PermitRequest,
        /// The address that the connection leads to.
        address: SocketAddr,
        reply: Sender<PermitResult>,
    },
    /// An endpoint sent a retry-after in a response that has not ended yet.
    RetryAfter {
        receiver: ReceiverId,
        until: Micros,
    },
    /// An attempt or a probe ended.
    AttemptEnded(AttemptOutcome),
    /// A part of a list, which may be too long for one message.
    EndpointListPart(ListPart),
    /// The request for the list failed.
    ListFailed {
        reason: String,
        /// The request failed at once, without a timeout.
        immediate: bool,
    },
    /// The address of discovery has changed, and the list is requested there from now on.
    DiscoveryMoved,
    /// A client has received the final status of a message.
    NoticeDelivered(u64),
    /// A message from another member.
    FromMembers(FromPeers),
    /// Asks for the state of the duties, as JSON.
    DescribeDuties(Sender<serde_json::Value>),
    /// An operator takes an endpoint out of use, or puts it back.
    ChangeMaintenance {
        change: MaintenanceChange,
        reply: Sender<MaintenanceReply>,
    },
    /// Another process has replaced the maintenance file.
    MaintenanceFileChanged,
    /// Applies new settings.
    NewSettings(Box<LiveSettings>),
    /// A sibling process has started; `None` once it is gone.
    SiblingChanged(Option<Box<SiblingFiles>>),
    /// Learns the request ids that the sibling has shared; the reply says whether these are all that it knew
    /// when this process started.
    LearnRequestIds(Sender<bool>),
    /// Request ids of the sibling, from its log.
    SiblingRequestIds(Vec<RequestIdDigest>),
    /// Another member's list has these endpoints as draining or gone.
    DrainsTold(Vec<SharedDrain>),
    /// An entry of the sibling's waits file.
    FromSibling(SiblingEntry),
    /// Ends the messages in this log of a sibling, which hangs, whose deadline has passed.
    EndOverdue(PathBuf),
    /// Takes over the messages in the log of a sibling that is gone.
    TakeOverLog(OrphanedLog),
    /// Sends no new calls.
    StopSending,
    /// The process ends now: checks that no message is left to the next process overdue.
    FinalCheck(Sender<()>),
    /// Replies once no call is in flight.
    NotifyWhenNoCalls(Sender<()>),
}

impl From<FromPeers> for CoreMessage {
    fn from(message: FromPeers) -> CoreMessage {
        CoreMessage::FromMembers(message)
    }
}

/// The final status of a message, for its client.
#[derive(Clone, Debug)]
pub struct StatusNotice {
    /// The number of the message.
    pub number: u64,
    /// The request id under which its client submitted it.
    pub request_id: String,
    /// What its frontend noted for itself.
    pub frontend_note: String,
    /// The deadline of the message.
    pub deadline: Micros,
    /// The final status.
    pub status: FinalStatus,
}
