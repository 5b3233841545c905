//! Network I/O: frontends accept requests from clients and submit them to the core; endpoint actors make
//! the outbound calls.

pub mod buffer;
pub mod connection_limits;
pub mod eviction;
pub mod http;
pub mod input_budget;
pub mod mgmt;
pub mod peer_state;
pub mod smpp;
#[cfg(test)]
pub mod tests;

use crate::clock::Clock;
use crate::core_actor::{CoreMessage, Permit, PermitRequest, PermitResult};
use crate::counters::Counters;
use crate::invariants::Invariants;
use crate::net::connection_limits::ConnectionLimits;
use crate::net::input_budget::InputBudget;
use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use onyxrock::core::AttemptOutcome;
use onyxrock::interface::{Micros, ReceiverId, Verdict};
use onyxrock_sharing::ToPeers;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// State that all actors of one forwarder share. It makes no delivery decisions.
pub struct SharedState {
    pub clock: Clock,
    pub counters: Counters,
    /// The delivery rules, checked at run time.
    pub invariants: Invariants,
    /// Mailbox of the core's actor.
    pub core: Sender<CoreMessage>,
    /// Closed during shutdown when connections are no longer accepted, which wakes every actor that waits on
    /// this channel.
    pub shutdown_started: Receiver<()>,
    /// Closed when all calls have ended, just before the process exits.
    pub calls_finished: Receiver<()>,
    /// The number that `next_serial` returned last.
    pub last_serial: Cell<u64>,
    /// An endpoint has confirmed the end of a connection that a call asked for, so others are expected to.
    pub confirms_close: Cell<bool>,
    /// How often calls over reused connections to endpoints broke.
    pub reuse_stats: std::cell::RefCell<http::reuse::ReuseStats>,
    /// Inbound connections that may be closed to make room for new ones.
    pub eviction_queue: eviction::EvictionQueue,
    /// True from the signal to shut down on.
    pub stopping: Cell<bool>,
    /// True until the state of another process of this forwarder has been taken over.
    pub taking_over: Cell<bool>,
    /// State of the endpoint list in use.
    pub list_state: std::cell::RefCell<ListState>,
    /// Why the list may be outdated although it has come.
    pub list_fault: std::cell::RefCell<Option<String>>,
    /// When discovery last answered, or when the process started.
    pub list_answered_at: Cell<Micros>,
    /// Address of discovery, which serves the endpoint list and receives the final statuses. A reload of
    /// the configuration file may change it.
    pub discovery: Cell<SocketAddr>,
    /// Time limit for a connect to an endpoint, a gateway or discovery.
    pub connect_timeout: Micros,
    /// Idle time after which a connection to an endpoint is closed; `None` where the platform sets no
    /// limit.
    pub idle_timeout: Option<Micros>,
    /// Mailbox of the membership actor; `None` where duties are not shared with other instances.
    pub peers: Option<Sender<ToPeers>>,
    /// How many connections may be open.
    pub connection_limits: ConnectionLimits,
    /// Memory for input of clients that is not complete yet.
    pub input_budget: InputBudget,
    pub executor: Rc<LocalExecutor<'static>>,
}

/// Whether there is an endpoint list, and whether it is up to date.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub enum ListState {
    /// No list has been received yet: nothing can be delivered.
    #[default]
    Missing,
    /// The last response of discovery is in use.
    Current,
    /// The last request for the list failed, or its response was refused; the text is the reason.
    Outdated(String),
}

impl SharedState {
    /// Shared state of an actor under test, where the test takes the part of the core.
    #[cfg(test)]
    pub fn for_test(core: Sender<CoreMessage>) -> Rc<SharedState> {
        let (_, closed) = bounded(1);
        Rc::new(SharedState {
            clock: Clock::default(),
            counters: Counters::default(),
            invariants: Invariants::default(),
            core,
            shutdown_started: closed.clone(),
            calls_finished: closed,
            last_serial: Cell::new(0),
            eviction_queue: Default::default(),
            confirms_close: Cell::new(true),
            reuse_stats: Default::default(),
            stopping: Cell::new(false),
            taking_over: Cell::new(false),
            list_state: Default::default(),
            list_fault: Default::default(),
            list_answered_at: Cell::default(),
            discovery: Cell::new(([127, 0, 0, 1], 1).into()),
            connect_timeout: Micros(1_000_000),
            idle_timeout: None,
            peers: None,
            connection_limits: ConnectionLimits::new(10, 10),
            input_budget: InputBudget::new(usize::MAX),
            executor: Rc::new(LocalExecutor::new()),
        })
    }
    /// Asks the core for a permit to write a call to `address`, or to continue a call that is partly
    /// written.
    pub async fn request_permit(
        &self, call: &OutboundCall, address: SocketAddr, partly_written: bool,
    ) -> PermitResult {
        let (reply, result) = bounded(1);
        let request = PermitRequest {
            number: call.number,
            attempt: call.attempt,
            receiver: call.receiver,
            partly_written,
        };
        let sent = self.core.send(CoreMessage::RequestPermit { request, address, reply }).await.is_ok();
        result.recv().await.ok().filter(|_| sent).unwrap_or(Err(Verdict::Moot))
    }

    /// Counts and checks a call whose first byte is about to be written.
    pub fn record_send(&self, call: &OutboundCall, permit: &Permit) {
        self.counters.outbound_calls.increment();
        self.invariants.check_send(self.clock.now(), call, permit);
    }

    /// All counters, after an update of those that depend on the current time.
    pub fn counters_json(&self) -> serde_json::Value {
        let list_age = self.clock.now().since(self.list_answered_at.get());
        self.counters.list_age_ms.set(list_age.0 as usize / 1000);
        let mut all = self.counters.to_json();
        for (name, count) in self.invariants.counts() {
            all[name] = count.into();
        }
        all
    }

    /// Returns a number that is unique within this process.
    pub fn next_serial(&self) -> u64 {
        self.last_serial.set(self.last_serial.get() + 1);
        self.last_serial.get()
    }
}

/// One attempt, as it is passed to an endpoint's actor.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    /// The message's number in the ledger, or that of a probe.
    pub number: u64,
    pub attempt: u32,
    pub receiver: ReceiverId,
    /// The name of the endpoint.
    pub endpoint: String,
    pub request_id: String,
    pub idempotency_key: String,
    /// Data that the message's frontend recorded for its own use.
    pub frontend_note: String,
    pub body: Arc<[u8]>,
    pub started: Micros,
    pub timeout: Micros,
    /// The message must not be attempted again once this call may have run.
    pub unsafe_to_repeat: bool,
    /// Set if this call is a probe: a GET request for this path, without a body.
    pub probe_path: Option<Rc<str>>,
    /// Closed when the response is no longer wanted.
    pub cancellation: Option<Receiver<()>>,
}

impl OutboundCall {
    /// Completes when the response is no longer wanted.
    pub async fn cancelled(&self) {
        match &self.cancellation {
            Some(cancellation) => drop(cancellation.recv().await),
            None => std::future::pending().await,
        }
    }
    /// When the call times out.
    pub fn deadline(&self) -> Micros {
        self.started.plus(self.timeout)
    }
    /// The outcome of this call with `verdict` at `now`.
    pub fn outcome(&self, now: Micros, verdict: Verdict) -> AttemptOutcome {
        AttemptOutcome {
            number: self.number,
            attempt: self.attempt,
            receiver: self.receiver,
            verdict,
            elapsed: now.since(self.started),
            finished: false,
            load_report: (None, None),
            wait_until: if let Verdict::Full(Some(wait)) = verdict { now.plus(wait) } else { Micros(0) },
        }
    }
}

/// A message to the actor of an endpoint.
#[derive(Debug)]
pub enum ToEndpoint {
    /// Boxed because each mailbox reserves space for many messages.
    Call(Box<OutboundCall>),
    /// Closes all idle connections, and those that calls return before the next call.
    CloseIdle,
    /// The endpoint is reached at another address from now on.
    AddressChanged(Box<SocketAddr>),
}
