//! The discovery stand-in: lists endpoints by generation, and answers watches.

use crate::testbed::discovery::entry_json;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The generation of the list that every forwarder starts with.
pub const FIRST_GENERATION: u64 = 1;
/// Destinations of the endpoints that changes add are numbered from here.
const FIRST_ADDED_DESTINATION: u64 = 1_000_000_000;
const ENDPOINT_WEIGHT: f64 = 5.0;
const FIRST_PORT: u16 = 7070;
/// Number of endpoints per host, used to derive their addresses.
const PORTS_PER_HOST: u64 = 32;

/// Identifies one call for the list.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct CallId {
    /// The forwarder that made the call.
    pub member: Member,
    /// Number of the call among those of the forwarder.
    pub number: u64,
}

/// A request for the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListRequest {
    /// The generation that the forwarder has; none if it needs the complete list.
    pub since: Option<u64>,
    /// How long the call waits for changes.
    pub wait: Micros,
}

impl ListRequest {
    /// Size of the request in bytes, as the daemon writes it.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let query = match self.since {
            Some(since) => format!("?since={since}&timeout_ms={}", self.wait.0 / 1000),
            None => String::new(),
        };
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: 10.0.0.1:8500\r\n\r\n").len() as u64
    }
}

/// Size of an answer in bytes, including its head.
#[must_use]
pub fn answer_bytes(body: &[u8]) -> u64 {
    (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).len() + body.len()) as u64
}

/// An answer of discovery.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The call that is answered.
    pub call: CallId,
    /// The list or its changes, as JSON.
    pub body: Arc<[u8]>,
}

#[derive(Clone, Copy, Debug)]
struct OpenWatch {
    since: u64,
    timeout_at: Micros,
}

/// All generations of the list, and every open watch.
#[derive(Debug)]
pub struct Discovery {
    listed: u64,
    /// The entry that each generation after the first added.
    changes: Vec<String>,
    watches: BTreeMap<CallId, OpenWatch>,
    /// Open watches by the time at which they are answered without changes.
    watch_timeouts: BTreeMap<(Micros, CallId), ()>,
    /// Number of calls received.
    pub calls: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
}

/// The entry of one endpoint as JSON.
fn endpoint_json(name: &str, destination: u64) -> String {
    let host = (destination / PORTS_PER_HOST) as u32;
    let address = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) | (host & 0x00ff_ffff));
    let address = SocketAddr::from((address, FIRST_PORT + (destination % PORTS_PER_HOST) as u16));
    entry_json(name, address, destination, "Ready", ENDPOINT_WEIGHT)
}

/// The endpoint that a generation added: its name and its destination.
#[must_use]
pub fn endpoint_added_by(generation: u64) -> (String, u64) {
    (format!("change-{generation:08}"), FIRST_ADDED_DESTINATION + generation)
}

/// Entries of the list that all forwarders start with, for a range of destinations.
pub fn initial_entries(first: u64, end: u64) -> impl Iterator<Item = String> {
    (first..end).map(|destination| endpoint_json(&format!("endpoint-{destination:08}"), destination))
}

/// A list of these entries as JSON.
#[must_use]
pub fn list_json(generation: u64, complete: bool, entries: impl Iterator<Item = String>) -> Vec<u8> {
    let mut json = format!("{{\"generation\":{generation},\"reset\":{complete},\"instances\":[");
    for (index, entry) in entries.enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let _ = write!(json, "{comma}{entry}");
    }
    json += "]}";
    json.into_bytes()
}

impl Discovery {
    /// Creates a discovery that lists this number of endpoints at first.
    #[must_use]
    pub fn new(listed: u64) -> Discovery {
        let (changes, watches, watch_timeouts) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        Discovery { listed, changes, watches, watch_timeouts, calls: 0, sent_bytes: 0 }
    }

    /// The current generation of the list.
    #[must_use]
    pub fn generation(&self) -> u64 {
        FIRST_GENERATION + self.changes.len() as u64
    }

    /// Adds one endpoint to the list. Returns the answers to the open watches.
    pub fn add_endpoint(&mut self) -> Vec<Answer> {
        let (name, destination) = endpoint_added_by(self.generation() + 1);
        self.changes.push(endpoint_json(&name, destination));
        let watches = std::mem::take(&mut self.watches);
        self.watch_timeouts.clear();
        // Most watches have the same generation, so that their answers can share one body.
        let mut bodies: BTreeMap<u64, Arc<[u8]>> = BTreeMap::new();
        let mut answers = Vec::with_capacity(watches.len());
        for (call, watch) in watches {
            let body = bodies.entry(watch.since).or_insert_with(|| self.changes_since(watch.since)).clone();
            answers.push(self.make_answer(call, body));
        }
        answers
    }

    /// The changes since a generation as JSON.
    fn changes_since(&self, since: u64) -> Arc<[u8]> {
        let known = (since.saturating_sub(FIRST_GENERATION) as usize).min(self.changes.len());
        list_json(self.generation(), false, self.changes[known..].iter().cloned()).into()
    }

    fn make_answer(&mut self, call: CallId, body: Arc<[u8]>) -> Answer {
        self.sent_bytes += answer_bytes(&body);
        Answer { call, body }
    }

    /// Handles a request. Returns the answer unless the request waits for changes.
    pub fn handle_request(&mut self, now: Micros, call: CallId, request: ListRequest) -> Option<Answer> {
        self.calls += 1;
        let Some(since) = request.since else {
            let entries = initial_entries(0, self.listed).chain(self.changes.iter().cloned());
            let body = list_json(self.generation(), true, entries).into();
            return Some(self.make_answer(call, body));
        };
        if since < self.generation() || request.wait == Micros(0) {
            let body = self.changes_since(since);
            return Some(self.make_answer(call, body));
        }
        let timeout_at = now.plus(request.wait);
        self.watches.insert(call, OpenWatch { since, timeout_at });
        self.watch_timeouts.insert((timeout_at, call), ());
        None
    }

    /// Handles the close of a call by the forwarder that made it.
    pub fn close(&mut self, call: CallId) {
        if let Some(watch) = self.watches.remove(&call) {
            self.watch_timeouts.remove(&(watch.timeout_at, call));
        }
    }

    /// When the next watch ends without changes.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.watch_timeouts.first_key_value().map(|((timeout_at, _), ())| *timeout_at)
    }

    /// Answers the watches whose time has passed without changes. Returns the time of each answer.
    pub fn tick(&mut self, now: Micros) -> Vec<(Micros, Answer)> {
        let mut answers = Vec::new();
        while let Some((timeout_at, call)) =
            self.watch_timeouts.first_key_value().map(|(key, ())| *key).filter(|k| k.0 <= now)
        {
            self.watch_timeouts.remove(&(timeout_at, call));
            let Some(watch) = self.watches.remove(&call) else { continue };
            let body = self.changes_since(watch.since);
            answers.push((timeout_at, self.make_answer(call, body)));
        }
        answers
    }
}
