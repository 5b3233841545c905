//! How many connections this process may have open: fewer while a second process of the forwarder runs, since the
//! platform limits the sockets of both together.

use std::cell::Cell;

/// The part (a half) of the connections that each of two processes may have.
const SHARED_DIVISOR: u64 = 2;

/// The part (a half) of the connections of clients that SMPP clients may have.
const SESSION_DIVISOR: u64 = 2;

/// The limits on open connections.
#[derive(Debug)]
pub struct ConnectionLimits {
    max_inbound: u64,
    max_outbound: u64,
    shared: Cell<bool>,
}

impl ConnectionLimits {
    /// The limits of a process that runs alone.
    pub fn new(max_inbound: u64, max_outbound: u64) -> ConnectionLimits {
        ConnectionLimits { max_inbound, max_outbound, shared: Cell::new(false) }
    }

    /// Sets whether another process of this forwarder runs.
    pub fn set_shared(&self, shared: bool) {
        self.shared.set(shared);
    }

    /// Most open connections of clients.
    pub fn max_inbound(&self) -> u64 {
        self.own_part(self.max_inbound)
    }

    /// Most open connections of SMPP clients, which stay, so that those of HTTP clients have the rest.
    pub fn max_sessions(&self) -> u64 {
        (self.max_inbound() / SESSION_DIVISOR).max(1)
    }

    /// Open connections to endpoints above which none is kept after its call.
    pub fn max_outbound(&self) -> u64 {
        self.own_part(self.max_outbound)
    }

    fn own_part(&self, limit: u64) -> u64 {
        if self.shared.get() { (limit / SHARED_DIVISOR).max(1) } else { limit }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_have_half_each() {
        let limits = ConnectionLimits::new(512, 256);
        limits.set_shared(true);
        assert_eq!((limits.max_inbound(), limits.max_outbound()), (256, 128));
        limits.set_shared(false);
        assert_eq!((limits.max_inbound(), limits.max_outbound()), (512, 256));
    }
}
