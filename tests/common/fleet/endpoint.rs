//! An endpoint that takes a bounded number of connections, idle ones counted, and may have a rate limit.

use super::scenario::{REFUSED_BY_LIMIT, Scenario, warmth};
use onyxrock::interface::{Micros, Verdict};

/// The rate limit counts calls in windows of this length.
const WINDOW: Micros = Micros(2_000_000);

/// An open connection of one sender.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// The run of the endpoint that accepted it: none survives a stop.
    pub run: u32,
    /// When its last call ended.
    pub used: Micros,
}

/// So many calls in each window of a fixed length; refused ones do not count.
struct RateLimit {
    most: f64,
    window: u64,
    taken: f64,
}

impl RateLimit {
    fn new(per_s: f64) -> RateLimit {
        RateLimit { most: per_s * WINDOW.secs(), window: 0, taken: 0.0 }
    }

    /// Takes a call if the window has room, of which a cold endpoint has a share only.
    fn take(&mut self, now: Micros, warmth: f64) -> bool {
        let window = now.0 / WINDOW.0;
        if window > self.window {
            (self.window, self.taken) = (window, 0.0);
        }
        let free = self.taken + 1.0 <= self.most * warmth;
        self.taken += f64::from(u8::from(free));
        free
    }
}

/// One endpoint: its connection table, its limit, and whether it runs.
pub struct Endpoint {
    table: usize,
    open: usize,
    up: bool,
    run: u32,
    /// When it came back from an outage.
    returned: Option<Micros>,
    limit: Option<RateLimit>,
}

impl Endpoint {
    pub fn new(scenario: &Scenario) -> Endpoint {
        Endpoint {
            table: scenario.table,
            open: 0,
            up: true,
            run: 0,
            returned: None,
            limit: scenario.limit_per_s.map(RateLimit::new),
        }
    }

    /// Accepts a connection if it runs and its table has room; else what becomes of the call.
    pub fn connect(&mut self, now: Micros) -> Result<Connection, Verdict> {
        if !self.up {
            return Err(Verdict::ConnectFailed);
        }
        if self.open >= self.table {
            return Err(Verdict::ConnectionLimit);
        }
        self.open += 1;
        Ok(Connection { run: self.run, used: now })
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
        let warmth = self.returned.map_or(1.0, |t| warmth(now.since(t)));
        let free = self.limit.as_mut().is_none_or(|limit| limit.take(now, warmth));
        if free { (Verdict::Delivered, work) } else { (Verdict::Full(None), REFUSED_BY_LIMIT) }
    }

    /// Stops: all its connections are gone, and it refuses new ones.
    pub fn stop(&mut self) {
        (self.up, self.open) = (false, 0);
    }

    /// Runs again, cold.
    pub fn start(&mut self, now: Micros) {
        (self.up, self.returned) = (true, Some(now));
        self.run += 1;
    }
}
