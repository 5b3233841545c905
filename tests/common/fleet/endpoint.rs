//! An emulated endpoint that accepts a bounded number of connections, including idle ones, and may have a
//! rate limit.

use super::scenario::{LIMIT_REFUSAL_DELAY, Scenario, capacity_share};
use onyxrock::interface::{Micros, Verdict};

/// Length of the windows in which the rate limit counts calls.
const LIMIT_WINDOW: Micros = Micros(2_000_000);

/// An open connection of one sender.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// The run of the endpoint that accepted the connection; a connection does not survive a stop.
    pub run: u32,
    /// When the last call over the connection ended.
    pub last_used: Micros,
}

/// Accepts a fixed number of calls in each window; refused calls do not count.
struct RateLimit {
    calls_per_window: f64,
    window: u64,
    accepted: f64,
}

impl RateLimit {
    fn new(per_s: f64) -> RateLimit {
        RateLimit { calls_per_window: per_s * LIMIT_WINDOW.secs(), window: 0, accepted: 0.0 }
    }

    /// Accepts a call if the window has room; a cold endpoint has only a share of its limit.
    fn try_accept(&mut self, now: Micros, available_share: f64) -> bool {
        let window = now.0 / LIMIT_WINDOW.0;
        if window > self.window {
            (self.window, self.accepted) = (window, 0.0);
        }
        let has_room = self.accepted + 1.0 <= self.calls_per_window * available_share;
        self.accepted += f64::from(u8::from(has_room));
        has_room
    }
}

/// The connection table, the rate limit and the state of one endpoint.
pub struct Endpoint {
    table_size: usize,
    open_connections: usize,
    is_up: bool,
    run: u32,
    /// When the endpoint came back from an outage.
    recovered_at: Option<Micros>,
    limit: Option<RateLimit>,
}

impl Endpoint {
    pub fn new(scenario: &Scenario) -> Endpoint {
        Endpoint {
            table_size: scenario.table_size,
            open_connections: 0,
            is_up: true,
            run: 0,
            recovered_at: None,
            limit: scenario.limit_per_s.map(RateLimit::new),
        }
    }

    /// Accepts a connection if the endpoint is up and its table has room; otherwise returns the verdict of
    /// the call.
    pub fn connect(&mut self, now: Micros) -> Result<Connection, Verdict> {
        if !self.is_up {
            return Err(Verdict::ConnectFailed);
        }
        if self.open_connections >= self.table_size {
            return Err(Verdict::ConnectionLimit);
        }
        self.open_connections += 1;
        Ok(Connection { run: self.run, last_used: now })
    }

    pub fn close(&mut self, connection: Connection) {
        self.open_connections -= usize::from(self.is_open(connection));
    }

    /// Whether a connection is still open at the endpoint.
    pub fn is_open(&self, connection: Connection) -> bool {
        self.is_up && connection.run == self.run
    }

    /// The verdict of a call over an open connection, and the time until the caller knows it.
    pub fn serve(&mut self, now: Micros, service_time: Micros) -> (Verdict, Micros) {
        let available = self.recovered_at.map_or(1.0, |at| capacity_share(now.since(at)));
        let has_room = self.limit.as_mut().is_none_or(|limit| limit.try_accept(now, available));
        if has_room { (Verdict::Delivered, service_time) } else { (Verdict::Full(None), LIMIT_REFUSAL_DELAY) }
    }

    /// Begins an outage: all connections are lost and new ones are refused.
    pub fn stop(&mut self) {
        (self.is_up, self.open_connections) = (false, 0);
    }

    /// Ends an outage; the endpoint is cold at first.
    pub fn start(&mut self, now: Micros) {
        (self.is_up, self.recovered_at) = (true, Some(now));
        self.run += 1;
    }
}
