//! What the module is told and asked, and what it answers.

use super::{Asks, Gate, MaintenanceAnswer};
use crate::folder::Left;
use crate::list::ListPart;
use crate::maintenance::Change;
use crate::shared_waits::Shared;
use async_channel::Sender;
use onyxrock::core::{AcceptedMessage, AttemptOutcome, FinalStatus, NameIndex};
use onyxrock::interface::{Micros, ReceiverId, Settings};
use onyxrock_config::list::List;
use onyxrock_sharing::FromPeers;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug)]
pub struct HandIn {
    pub taken: AcceptedMessage,
    pub reply: Sender<Reply>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Taken(u64),
    FailFast(Option<Micros>),
    /// The same, since no more can be held.
    Full,
    /// No such class or tenant.
    Unknown,
    /// The list has never named its destination.
    Nowhere,
    /// Its id has been used, and that request could still run.
    Again,
}

/// Settings that hold from now on.
#[derive(Debug)]
pub struct LiveSettings {
    pub settings: Settings,
    pub names: NameIndex,
}

/// The module's mailbox.
#[derive(Debug)]
pub enum ToModule {
    HandIn(HandIn),
    /// The answer that it was taken on did not reach its client.
    Unheard(u64),
    /// A client that may be gone: it is owed no more if nothing of it has begun, as the answer says.
    TakeBack(u64, Sender<bool>),
    /// A call is about to be written: may it go?
    Writing {
        asks: Asks,
        /// Where its connection leads.
        at: SocketAddr,
        reply: Sender<Gate>,
    },
    /// An endpoint has told a wait, and its answer has not ended yet.
    Wait {
        to: ReceiverId,
        until: Micros,
    },
    Answered(AttemptOutcome),
    List(List),
    /// One part of a list that is too long for one message.
    Part(ListPart),
    ListFailed {
        why: String,
        /// The call failed at once.
        at_once: bool,
    },
    /// Discovery has moved, and is asked there.
    ListMoved,
    /// A client has been told of an end.
    Told(u64),
    /// From other instances.
    Peers(FromPeers),
    /// Shows the duties, as JSON.
    Duties(Sender<serde_json::Value>),
    /// Operators take an endpoint out, or put it back.
    Maintenance {
        change: Change,
        reply: Sender<MaintenanceAnswer>,
    },
    /// The file of what operators have taken out is another one than it was.
    MaintenanceChanged,
    /// New settings.
    Settings(Box<LiveSettings>),
    /// Another process of this forwarder is beside this one, and this is where it is told of waits; none once it is gone.
    Beside(Option<PathBuf>),
    /// What that process has told of waits.
    HeardBeside(Shared),
    /// What another process of this forwarder owed, which is gone.
    Adopt(Left),
    /// Hold all further sends.
    Hold,
    /// The process ends now: what it leaves to the next one is looked at once more.
    LastLook(Sender<()>),
    /// Says when no call is out any more.
    Quiet(Sender<()>),
}

impl From<FromPeers> for ToModule {
    fn from(news: FromPeers) -> ToModule {
        ToModule::Peers(news)
    }
}

/// The end of a request, on its way to its client.
#[derive(Clone, Debug)]
pub struct Ending {
    pub n: u64,
    pub id: String,
    pub note: String,
    pub deadline: Micros,
    pub end: FinalStatus,
}
