//! The wires. A front hands requests to the module; an endpoint makes outbound calls for it.

pub mod buffer;
pub mod http;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::module::ToModule;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use onyxrock::interface::{Micros, ReceiverId};
use std::cell::Cell;
use std::rc::Rc;

/// What all actors of one forwarder share: nothing that decides.
pub struct Shared {
    pub clock: Clock,
    pub counters: Counters,
    pub module: Sender<ToModule>,
    /// Closed when the process begins to end: whoever waits on it wakes.
    pub ending: Receiver<()>,
    pub stopping: Cell<bool>,
    pub connect_timeout: Micros,
    /// When an idle connection is let go; none where the platform names no limit.
    pub idle_for: Option<Micros>,
    pub inbound_most: u64,
    pub outbound_most: u64,
    pub executor: Rc<LocalExecutor<'static>>,
}

/// One attempt, on its way to an endpoint.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    pub n: u64,
    pub attempt: u32,
    pub to: ReceiverId,
    pub id: String,
    pub key: String,
    pub class: String,
    pub body: Vec<u8>,
    pub started: Micros,
    pub patience: Micros,
}

impl OutboundCall {
    pub fn until(&self) -> Micros {
        self.started.after(self.patience)
    }
}

/// The mailbox of an endpoint.
#[derive(Debug)]
pub enum ToEndpoint<C> {
    Call(OutboundCall),
    CloseIdle,
    Moved(std::net::SocketAddr),
    /// A connection that has done its call.
    Idle(C),
}
