//! The discovery stand-in: lists endpoints by version, and answers watches.

use crate::testbed::discovery::entry_json;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The version that every forwarder starts with.
pub const FIRST_GENERATION: u64 = 1;
/// Destinations that changes add have numbers from here on.
const CHANGED_FROM: u64 = 1_000_000_000;
const WEIGHT: f64 = 5.0;
const PORT: u16 = 7070;
/// Endpoints that one host has, for addresses of a list.
const PORTS: u64 = 32;

/// One call for the list.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Call {
    /// Whose.
    pub member: Member,
    /// Which of its calls.
    pub number: u64,
}

/// What a forwarder asks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Ask {
    /// The version that it holds.
    pub since: Option<u64>,
    /// How long it waits for news.
    pub wait: Micros,
}

impl Ask {
    /// The bytes of the request, as the daemon writes it.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let query = match self.since {
            Some(since) => format!("?since={since}&timeout_ms={}", self.wait.0 / 1000),
            None => String::new(),
        };
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: 10.0.0.1:8500\r\n\r\n").len() as u64
    }
}

/// The bytes of an answer with its head.
#[must_use]
pub fn answer_bytes(body: &[u8]) -> u64 {
    (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).len() + body.len()) as u64
}

/// An answer to send now.
#[derive(Clone, Debug)]
pub struct Answer {
    /// To which call.
    pub call: Call,
    /// The list or its changes, as JSON.
    pub body: Arc<[u8]>,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    since: u64,
    until: Micros,
}

/// Knows all versions and every open watch.
#[derive(Debug)]
pub struct Discovery {
    listed: u64,
    /// The line that each version after the first added.
    changes: Vec<String>,
    watches: BTreeMap<Call, Watch>,
    /// When each watch ends unanswered.
    ends: BTreeMap<(Micros, Call), ()>,
    /// Calls that came, and bytes sent.
    pub calls: u64,
    pub bytes: u64,
}

/// The line of one endpoint.
fn endpoint(name: &str, destination: u64) -> String {
    let host = (destination / PORTS) as u32;
    let address = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) | (host & 0x00ff_ffff));
    let at = SocketAddr::from((address, PORT + (destination % PORTS) as u16));
    entry_json(name, at, destination, "Ready", WEIGHT)
}

/// The endpoint that a version added: its name and its destination.
#[must_use]
pub fn added_by(generation: u64) -> (String, u64) {
    (format!("change-{generation:08}"), CHANGED_FROM + generation)
}

/// Lines of the list that all start with.
pub fn first_lines(from: u64, to: u64) -> impl Iterator<Item = String> {
    (from..to).map(|destination| endpoint(&format!("endpoint-{destination:08}"), destination))
}

/// A list of these lines as JSON.
#[must_use]
pub fn text(generation: u64, whole: bool, lines: impl Iterator<Item = String>) -> Vec<u8> {
    let mut out = format!("{{\"generation\":{generation},\"reset\":{whole},\"instances\":[");
    for (index, line) in lines.enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let _ = write!(out, "{comma}{line}");
    }
    out += "]}";
    out.into_bytes()
}

impl Discovery {
    /// Lists so many endpoints at first.
    #[must_use]
    pub fn new(listed: u64) -> Discovery {
        let (changes, watches, ends) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        Discovery { listed, changes, watches, ends, calls: 0, bytes: 0 }
    }

    /// The version that holds now.
    #[must_use]
    pub fn generation(&self) -> u64 {
        FIRST_GENERATION + self.changes.len() as u64
    }

    /// One endpoint more. What goes out at once.
    pub fn change(&mut self) -> Vec<Answer> {
        let (name, destination) = added_by(self.generation() + 1);
        self.changes.push(endpoint(&name, destination));
        let watches = std::mem::take(&mut self.watches);
        self.ends.clear();
        // Most hold the same version: their answers share one text.
        let mut texts: BTreeMap<u64, Arc<[u8]>> = BTreeMap::new();
        let mut answers = Vec::with_capacity(watches.len());
        for (call, watch) in watches {
            let body = texts.entry(watch.since).or_insert_with(|| self.since(watch.since)).clone();
            answers.push(self.answered(call, body));
        }
        answers
    }

    /// What has changed since a version.
    fn since(&self, since: u64) -> Arc<[u8]> {
        let known = (since.saturating_sub(FIRST_GENERATION) as usize).min(self.changes.len());
        text(self.generation(), false, self.changes[known..].iter().cloned()).into()
    }

    fn answered(&mut self, call: Call, body: Arc<[u8]>) -> Answer {
        self.bytes += answer_bytes(&body);
        Answer { call, body }
    }

    /// Takes a call; it may be answered at once.
    pub fn ask(&mut self, now: Micros, call: Call, ask: Ask) -> Option<Answer> {
        self.calls += 1;
        let Some(since) = ask.since else {
            let lines = first_lines(0, self.listed).chain(self.changes.iter().cloned());
            let body = text(self.generation(), true, lines).into();
            return Some(self.answered(call, body));
        };
        if since < self.generation() || ask.wait == Micros(0) {
            let body = self.since(since);
            return Some(self.answered(call, body));
        }
        let until = now.plus(ask.wait);
        self.watches.insert(call, Watch { since, until });
        self.ends.insert((until, call), ());
        None
    }

    /// The call is closed by whoever made it.
    pub fn close(&mut self, call: Call) {
        if let Some(watch) = self.watches.remove(&call) {
            self.ends.remove(&(watch.until, call));
        }
    }

    /// When the next watch ends unanswered.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.ends.first_key_value().map(|((until, _), ())| *until)
    }

    /// Ends watches for which there was no news.
    pub fn tick(&mut self, now: Micros) -> Vec<(Micros, Answer)> {
        let mut answers = Vec::new();
        while let Some((until, call)) =
            self.ends.first_key_value().map(|(key, ())| *key).filter(|k| k.0 <= now)
        {
            self.ends.remove(&(until, call));
            let Some(watch) = self.watches.remove(&call) else { continue };
            let body = self.since(watch.since);
            answers.push((until, self.answered(call, body)));
        }
        answers
    }
}
