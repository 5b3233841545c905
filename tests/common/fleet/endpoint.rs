//! An endpoint that takes a bounded number of connections, idle ones counted, and may have a rate limit.

use super::scenario::{REFUSED_BY_LIMIT, Scenario};
use onyxrock::interface::{Micros, Verdict};

/// Seconds of the rate limit that may be used at once.
const LIMIT_DEPTH_S: f64 = 0.6;

/// An open connection of one sender.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// The run of the endpoint that accepted it: none survives a stop.
    pub run: u32,
    /// When its last call ended.
    pub used: Micros,
}

/// A token bucket of which every call takes part.
struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled: Micros,
}

impl RateLimit {
    fn take(&mut self, now: Micros) -> bool {
        let gained = now.since(self.refilled).secs() * self.per_s;
        self.tokens = (self.tokens + gained).min((self.per_s * LIMIT_DEPTH_S).max(1.0));
        self.refilled = self.refilled.max(now);
        let free = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(free));
        free
    }
}

/// One endpoint: its connection table, its limit, and whether it runs.
pub struct Endpoint {
    table: usize,
    open: usize,
    up: bool,
    run: u32,
    limit: Option<RateLimit>,
}

impl Endpoint {
    pub fn new(scenario: &Scenario) -> Endpoint {
        let limit = |per_s| RateLimit { per_s, tokens: 1.0, refilled: Micros(0) };
        Endpoint { table: scenario.table, open: 0, up: true, run: 0, limit: scenario.limit_per_s.map(limit) }
    }

    /// Accepts a connection if it runs and its table has room.
    pub fn connect(&mut self, now: Micros) -> Option<Connection> {
        let accepted = self.up && self.open < self.table;
        self.open += usize::from(accepted);
        accepted.then_some(Connection { run: self.run, used: now })
    }

    pub fn close(&mut self, connection: Connection) {
        self.open -= usize::from(self.holds(connection));
    }

    /// Whether a connection is still open at this end.
    pub fn holds(&self, connection: Connection) -> bool {
        self.up && connection.run == self.run
    }

    /// What becomes of a call that comes over an open connection, and when.
    pub fn serve(&mut self, now: Micros, work: Micros) -> (Verdict, Micros) {
        let free = self.limit.as_mut().is_none_or(|limit| limit.take(now));
        if free { (Verdict::Delivered, work) } else { (Verdict::Full(None), REFUSED_BY_LIMIT) }
    }

    /// Stops: all its connections are gone, and it refuses new ones.
    pub fn stop(&mut self) {
        (self.up, self.open) = (false, 0);
    }

    pub fn start(&mut self) {
        self.up = true;
        self.run += 1;
    }
}
