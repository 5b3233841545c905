//! What the stand-ins saw, each for itself: the ground on which the invariants are judged. Times are seconds on the clock of
//! the experiment.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Nothing.
    Safe,
    /// It is dropped for a while.
    Keyed,
    /// It takes effect again.
    Unsafe,
}

/// How a hand-in ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Status(u16),
    /// No answer within the client's patience.
    TooLate,
    /// The connection was closed or reset behind the whole request, with no answer.
    Closed,
}

/// One message, as its client knows it.
#[derive(Clone, Debug)]
pub struct Message {
    pub class: Class,
    pub daemon: usize,
    pub handed_in: f64,
    pub deadline: f64,
    pub heard: Option<Heard>,
    /// The connection was kept from earlier requests: its close may have crossed this one.
    pub on_kept_connection: bool,
    /// The client left without waiting for its answer.
    pub left_early: bool,
    /// The platform was told of its end.
    pub noticed: Option<f64>,
}

/// One call with a message, as its server saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub server: String,
    pub daemon: usize,
    pub began: f64,
    /// Its answer was written or its connection had ended; still out, if there is none.
    pub over: Option<f64>,
    /// It took effect.
    pub ran: bool,
    /// The status that was written for it, if any was.
    pub status: Option<u16>,
}

/// One change of the list, and when each daemon was told of it.
#[derive(Clone, Debug)]
pub struct Drained {
    pub server: String,
    pub at: f64,
    /// The version of the list that says so.
    pub generation: u64,
}

/// A span in which a daemon was down or going down: from its signal until it was ready again.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    pub daemon: usize,
    pub from: f64,
    /// Its process was not there any more.
    pub down: Option<f64>,
    pub ready: Option<f64>,
}

/// A server that an operator has taken out at a daemon.
#[derive(Clone, Debug)]
pub struct Maintenance {
    pub daemon: usize,
    pub server: String,
    /// When the call was answered that took it out.
    pub from: f64,
    /// When the call was made that put it back.
    pub until: f64,
}

/// Two processes of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Upgrade {
    pub daemon: usize,
    /// The second process was started.
    pub from: f64,
    /// It said that it is ready.
    pub ready: Option<f64>,
    /// One of them was killed.
    pub killed: Option<f64>,
}

/// A wait that a server told.
#[derive(Clone, Debug)]
pub struct Wait {
    pub server: String,
    pub destination: u64,
    pub daemon: usize,
    pub told: f64,
    pub until: f64,
}

#[derive(Debug, Default)]
pub struct Seen {
    pub messages: BTreeMap<String, Message>,
    pub calls: Vec<Call>,
    pub drained: Vec<Drained>,
    /// When discovery wrote which version to which address of its own, by daemon.
    pub told: Vec<(f64, usize, u64)>,
    pub restarts: Vec<Restart>,
    pub waits: Vec<Wait>,
    pub maintenance: Vec<Maintenance>,
    /// Calls of operators that were answered late, wrongly or not at all.
    pub operators_wrong: Vec<String>,
    pub upgrades: Vec<Upgrade>,
    /// Messages that were answered by other settings than those that held.
    pub settings_wrong: Vec<String>,
    /// Spans in which a crowd was at a daemon: new connections may be shut unread then.
    pub crowds: Vec<(usize, f64, f64)>,
    /// Spans in which discovery could not be reached by a daemon.
    pub unreachable: Vec<(f64, f64)>,
    /// How often each kind of fault was begun, and how often it was met.
    pub begun: BTreeMap<&'static str, u64>,
    pub met: BTreeMap<&'static str, u64>,
}

/// Shared by all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Rc<RefCell<Seen>>);

impl Ledger {
    pub fn with<T>(&self, change: impl FnOnce(&mut Seen) -> T) -> T {
        change(&mut self.0.borrow_mut())
    }

    /// A fault of this kind has hit something.
    pub fn met(&self, fault: &'static str) {
        self.with(|seen| *seen.met.entry(fault).or_default() += 1);
    }
}

/// The daemon that a message was handed in to stands in its id.
pub fn id_of(daemon: usize, n: u64) -> String {
    format!("d{daemon}-{n}")
}

/// The daemon of an id.
pub fn daemon_of(id: &str) -> Option<usize> {
    id.strip_prefix('d')?.split_once('-')?.0.parse().ok()
}
