//! The idle connections to one endpoint, and which of them a call may use.

use super::client::Conn;
use crate::net::{OutboundCall, SharedState};
use onyxrock::interface::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection that waits for its next call.
pub struct Idle {
    /// When its last call ended.
    pub since: Micros,
    /// The connection.
    pub conn: Conn,
}

/// What a finished call reports about its connection.
pub enum Returned {
    /// The connection can carry another call. Boxed because the channel reserves space for many messages.
    Reusable(Box<(Conn, SocketAddr)>),
    /// The call got no response: idle connections to the endpoint may be dead as well.
    SuspectIdle,
    /// Whether the endpoint confirms the end of a connection. If it does not, its connections carry one call
    /// only.
    ConfirmsClose(bool),
}

/// The idle connections to one endpoint.
pub struct IdleConnections {
    shared: Rc<SharedState>,
    /// Ordered by idle time, the longest first.
    connections: Vec<Idle>,
    /// False from `stop_keeping` to the next call: connections that are returned in that time are closed.
    keeps_returned: bool,
    /// A response of this endpoint has confirmed the end of a connection.
    confirms_close: bool,
    /// Set if one did not, to whether it was known then that endpoints confirm it: until that is known, the
    /// copy of a response is not told from the response of an endpoint that never confirms.
    failed_to_confirm: Option<bool>,
}

impl IdleConnections {
    /// No connections.
    pub fn new(shared: Rc<SharedState>) -> IdleConnections {
        IdleConnections {
            shared,
            connections: Vec::new(),
            keeps_returned: true,
            confirms_close: false,
            failed_to_confirm: None,
        }
    }

    /// When the next connection has been idle for as long as it may be.
    pub fn due(&self) -> Option<Micros> {
        Some(self.connections.first()?.since.plus(self.shared.idle_timeout?))
    }

    /// Handles what a finished call to the endpoint, which is at `address` now, reports about its connection.
    pub fn on_returned(&mut self, now: Micros, address: SocketAddr, returned: Returned) {
        match returned {
            Returned::Reusable(reusable) => {
                let (conn, connected_to) = *reusable;
                // None is kept for a former address.
                if connected_to == address && self.may_keep(&conn) {
                    self.keep(now, conn);
                } else {
                    self.shared.counters.outbound_open.decrement();
                }
            }
            // A machine that vanished leaves its connections open and silent. A call over one would time out
            // and might have run, whereas a failed connect proves that it has not.
            Returned::SuspectIdle => self.close_all(),
            Returned::ConfirmsClose(true) => (self.confirms_close, self.failed_to_confirm) = (true, None),
            Returned::ConfirmsClose(false) => {
                self.failed_to_confirm = Some(self.is_confirmation_known());
                self.close_all();
            }
        }
    }

    /// Near the limit on descriptors no connection is kept.
    fn may_keep(&self, conn: &Conn) -> bool {
        let never_confirms = self.failed_to_confirm == Some(self.is_confirmation_known());
        let may_carry_another = !conn.is_answered_once() || !never_confirms;
        let below_limit =
            self.shared.counters.outbound_open.get() <= self.shared.connection_limits.max_outbound();
        self.keeps_returned && may_carry_another && below_limit
    }

    fn keep(&mut self, now: Micros, mut conn: Conn) {
        conn.release_buffer();
        self.connections.push(Idle { since: now, conn });
    }

    /// Returns a connection for this call. The one that was used last is the best choice; an unsuitable one is
    /// closed, so that idle connections do not pile up.
    pub fn take_for(&mut self, now: Micros, call: &OutboundCall) -> Option<Idle> {
        self.keeps_returned = true;
        self.retire(now);
        let mut connection = self.connections.pop()?;
        if !self.is_suitable(now, call, &connection) {
            self.shared.counters.outbound_open.decrement();
            self.shared.counters.outbound_passed_over.increment();
            return None;
        }
        if !self.is_confirmation_known() {
            connection.conn.skip_no_copies();
        }
        Some(connection)
    }

    /// Whether a call may use a connection.
    fn is_suitable(&self, now: Micros, call: &OutboundCall, connection: &Idle) -> bool {
        // An endpoint that does not confirm the end of a connection leaves unknown whether the call has run.
        let may_be_last = self.is_confirmation_known() || !call.unsafe_to_repeat;
        let idle_time = now.since(connection.since);
        (may_be_last || !connection.conn.is_answered_once())
            && self.shared.reuse_stats.borrow_mut().may_reuse(idle_time, call.unsafe_to_repeat)
    }

    fn is_confirmation_known(&self) -> bool {
        self.confirms_close || self.shared.confirms_close.get()
    }

    /// Closes connections that the endpoint has closed, and others well before the platform's limit on idle
    /// time: endpoints close connections at that limit, and a request that crosses the close may have run.
    pub fn retire(&mut self, now: Micros) {
        let shared = &self.shared;
        self.connections.retain(|connection| {
            let keep = shared.idle_timeout.is_none_or(|limit| now.since(connection.since) < limit)
                && !connection.conn.is_stale();
            if !keep {
                shared.counters.outbound_open.decrement();
            }
            keep
        });
    }

    /// Closes all connections, and those that calls return before the next call.
    pub fn stop_keeping(&mut self) {
        self.keeps_returned = false;
        self.close_all();
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        self.connections.drain(..).for_each(|_| self.shared.counters.outbound_open.decrement());
    }
}
