//! What the stand-ins and the run recorded, each independently of the daemons: the data from which the rules
//! are judged. Times are seconds on the clock of the experiment.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a repeated delivery of a message does at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A repeat has no effect.
    Safe,
    /// A repeat within the deduplication window is dropped.
    Keyed,
    /// A repeat takes effect again.
    Unsafe,
}

/// How a submission ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    Status(u16),
    /// The client's timeout passed without an answer.
    TimedOut,
    /// The connection was closed or reset after the whole request was sent, without an answer.
    Closed,
}

/// One message, as its client knows it.
#[derive(Clone, Debug)]
pub struct Message {
    pub class: Class,
    pub daemon: usize,
    pub submitted_at: f64,
    pub deadline: f64,
    pub client_result: Option<ClientResult>,
    /// The connection was kept open from earlier requests: the daemon's close may have crossed this request.
    pub on_reused_connection: bool,
    /// The client disconnected without waiting for its answer.
    pub client_left_early: bool,
    /// When the platform received the notice of the message's outcome.
    pub notice_received_at: Option<f64>,
}

/// One call with a message, as its server saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the message.
    pub id: String,
    pub server: String,
    pub daemon: usize,
    pub started_at: f64,
    /// When the answer was written or the connection ended; none while the call is open.
    pub ended_at: Option<f64>,
    /// The message took effect at the server.
    pub took_effect: bool,
    /// The status that was written in answer, if there was one.
    pub status: Option<u16>,
}

/// A server that the list no longer names as ready.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: String,
    pub at: f64,
    /// The generation of the list that says so.
    pub generation: u64,
}

/// A span in which a daemon was down or going down: from the signal to its process until it was ready again.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    pub daemon: usize,
    pub signalled_at: f64,
    /// When the old process was known to have exited.
    pub exited_at: Option<f64>,
    pub ready_at: Option<f64>,
}

/// A server that an operator put into maintenance at a daemon.
#[derive(Clone, Debug)]
pub struct Maintenance {
    pub daemon: usize,
    pub server: String,
    /// When the call that began the maintenance was answered.
    pub from: f64,
    /// When the call that ended the maintenance was made.
    pub until: f64,
}

/// An upgrade of a daemon, during which two of its processes run.
#[derive(Clone, Copy, Debug)]
pub struct Upgrade {
    pub daemon: usize,
    /// When the second process was started.
    pub started_at: f64,
    /// When the second process reported that it is ready.
    pub ready_at: Option<f64>,
    /// When one of the two processes was killed.
    pub killed_at: Option<f64>,
}

/// A Retry-After that a server sent.
#[derive(Clone, Debug)]
pub struct RetryAfter {
    pub server: String,
    pub destination: u64,
    pub daemon: usize,
    pub sent_at: f64,
    pub until: f64,
}

/// All observations of a run.
#[derive(Debug, Default)]
pub struct Observations {
    pub messages: BTreeMap<String, Message>,
    pub calls: Vec<Call>,
    pub drains: Vec<Drain>,
    /// Answers of discovery: the time, the daemon whose address the answer was written to, and the generation
    /// of the list.
    pub list_deliveries: Vec<(f64, usize, u64)>,
    pub restarts: Vec<Restart>,
    pub retry_afters: Vec<RetryAfter>,
    pub maintenance: Vec<Maintenance>,
    /// Calls of operators that were answered late, wrongly or not at all.
    pub operator_errors: Vec<String>,
    pub upgrades: Vec<Upgrade>,
    /// Messages that were answered according to other settings than those in force.
    pub settings_errors: Vec<String>,
    /// Connection floods: the daemon, the begin and the end. New connections to it may be closed unread in
    /// this span.
    pub connection_floods: Vec<(usize, f64, f64)>,
    /// Spans in which no daemon could reach discovery.
    pub discovery_outages: Vec<(f64, f64)>,
    /// How often each kind of fault was begun.
    pub faults_begun: BTreeMap<&'static str, u64>,
    /// How often each kind of fault had an effect.
    pub fault_hits: BTreeMap<&'static str, u64>,
}

/// The observations of a run, shared by all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct ObservationLog(Rc<RefCell<Observations>>);

impl ObservationLog {
    /// Calls a function with the observations.
    pub fn with<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut self.0.borrow_mut())
    }

    /// Counts a fault of this kind that had an effect.
    pub fn record_fault_hit(&self, fault: &'static str) {
        self.with(|observations| *observations.fault_hits.entry(fault).or_default() += 1);
    }
}

/// Makes a message identifier that contains the daemon to which the message is submitted.
pub fn message_id(daemon: usize, number: u64) -> String {
    format!("d{daemon}-{number}")
}

/// The daemon in a message identifier.
pub fn daemon_of(message_id: &str) -> Option<usize> {
    message_id.strip_prefix('d')?.split_once('-')?.0.parse().ok()
}
