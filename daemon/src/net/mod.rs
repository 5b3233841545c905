//! The wires. A front hands requests to the module; an endpoint makes outbound calls for it.

pub mod buffer;
pub mod eviction;
pub mod http;
pub mod mgmt;
pub mod smpp;

use crate::clock::Clock;
use crate::core_actor::{CoreMessage, Permit, PermitRequest, PermitResult};
use crate::counters::Counters;
use crate::invariants::Invariants;
use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use onyxrock::core::AttemptOutcome;
use onyxrock::interface::{Micros, ReceiverId, Verdict};
use onyxrock_sharing::ToPeers;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// What all actors of one forwarder share: nothing that decides.
pub struct SharedState {
    pub clock: Clock,
    pub counters: Counters,
    /// The rules, checked at run time.
    pub invariants: Invariants,
    pub core: Sender<CoreMessage>,
    /// Closed when the process begins to end: whoever waits on it wakes.
    pub shutdown_started: Receiver<()>,
    /// Closed when all calls have ended, just before the process does.
    pub calls_finished: Receiver<()>,
    pub last_serial: Cell<u64>,
    /// What kept connections to endpoints are worth.
    pub reuse_stats: std::cell::RefCell<http::reuse::Reuse>,
    /// The inbound connections that may be closed to make room.
    pub eviction_queue: eviction::Crowd,
    pub stopping: Cell<bool>,
    /// What another process of this forwarder knows has not been taken over yet.
    pub taking_over: Cell<bool>,
    /// The list that is held.
    pub list_state: std::cell::RefCell<ListState>,
    /// When discovery last answered, or the process began.
    pub list_answered_at: Cell<Micros>,
    /// Where the list comes from and ends are told; the file that names it may be replaced.
    pub discovery: Cell<SocketAddr>,
    pub connect_timeout: Micros,
    /// When an idle connection is let go; none where the platform names no limit.
    pub idle_timeout: Option<Micros>,
    /// The other instances, where duties are shared.
    pub peers: Option<Sender<ToPeers>>,
    pub max_inbound: u64,
    pub max_outbound: u64,
    pub executor: Rc<LocalExecutor<'static>>,
}

/// What is known of the list.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub enum ListState {
    /// None has ever been had: nothing can be delivered.
    #[default]
    Missing,
    Current,
    /// The last question for it failed, or its answer was not taken.
    Outdated(String),
}

impl SharedState {
    /// What an actor shares that a test plays the module for.
    #[cfg(test)]
    pub fn for_test(module: Sender<CoreMessage>) -> Rc<SharedState> {
        let (_, closed) = bounded(1);
        Rc::new(SharedState {
            clock: Clock::default(),
            counters: Counters::default(),
            invariants: Invariants::default(),
            core: module,
            shutdown_started: closed.clone(),
            calls_finished: closed,
            last_serial: Cell::new(0),
            eviction_queue: Default::default(),
            reuse_stats: Default::default(),
            stopping: Cell::new(false),
            taking_over: Cell::new(false),
            list_state: Default::default(),
            list_answered_at: Cell::default(),
            discovery: Cell::new(([127, 0, 0, 1], 1).into()),
            connect_timeout: Micros(1_000_000),
            idle_timeout: None,
            peers: None,
            max_inbound: 10,
            max_outbound: 10,
            executor: Rc::new(LocalExecutor::new()),
        })
    }
    /// Asks the module whether a call may leave for this address, or go on where some of it has been written.
    pub async fn request_permit(&self, call: &OutboundCall, at: SocketAddr, begun: bool) -> PermitResult {
        let (reply, allowed) = bounded(1);
        let asks = PermitRequest {
            number: call.number,
            attempt: call.attempt,
            receiver: call.receiver,
            partly_written: begun,
        };
        let asked =
            self.core.send(CoreMessage::RequestPermit { request: asks, address: at, reply }).await.is_ok();
        allowed.recv().await.ok().filter(|_| asked).unwrap_or(Err(Verdict::Moot))
    }

    /// The first byte of a call leaves right behind this.
    pub fn sends(&self, call: &OutboundCall, permit: &Permit) {
        self.counters.outbound_calls.increment();
        self.invariants.check_send(self.clock.now(), call, permit);
    }

    /// All counters, with those that tell of this moment brought up to date.
    pub fn counters_json(&self) -> serde_json::Value {
        let age = self.clock.now().since(self.list_answered_at.get());
        self.counters.list_age_ms.set(age.0 as usize / 1000);
        let mut all = self.counters.to_json();
        for (name, count) in self.invariants.counts() {
            all[name] = count.into();
        }
        all
    }

    /// A number that no other caller in this process gets.
    pub fn serial(&self) -> u64 {
        self.last_serial.set(self.last_serial.get() + 1);
        self.last_serial.get()
    }
}

/// One attempt, on its way to an endpoint.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    pub number: u64,
    pub attempt: u32,
    pub receiver: ReceiverId,
    /// The name of the endpoint.
    pub endpoint: String,
    pub id: String,
    pub idempotency_key: String,
    /// What its front noted of it.
    pub frontend_note: String,
    pub body: Vec<u8>,
    pub started: Micros,
    pub timeout: Micros,
    /// If it may have run, it is lost.
    pub unsafe_to_repeat: bool,
    /// It is a probe, which asks for this path and carries nothing.
    pub probe_path: Option<Rc<str>>,
    /// Closed when nobody wants its answer any more.
    pub cancellation: Option<Receiver<()>>,
}

impl OutboundCall {
    /// Comes to its end when nobody wants the answer any more.
    pub async fn called_off(&self) {
        match &self.cancellation {
            Some(wanted) => drop(wanted.recv().await),
            None => std::future::pending().await,
        }
    }
    pub fn until(&self) -> Micros {
        self.started.plus(self.timeout)
    }
    /// Its end, at `now`.
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

/// The mailbox of an endpoint.
#[derive(Debug)]
pub enum ToEndpoint {
    /// Boxed: a mailbox holds room for many.
    Call(Box<OutboundCall>),
    CloseIdle,
    AddressChanged(Box<SocketAddr>),
}
