//! A stand-in for discovery, with any number of addresses: sends the endpoint list and its changes, receives
//! notices of messages' outcomes, and refuses calls, answers late or wrongly, falls silent or is down.

use super::observations::{Drain, ObservationLog};
use super::server::{Server, reset};
use crate::http::{Request, ServerConnection};
use crate::testbed::{Runtime, sleep};
use async_io::Async;
use futures_lite::future;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// How discovery treats calls for the list. Notices of outcomes are accepted at once in every mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Healthy,
    /// This share of the calls is refused at once.
    Overloaded(f64),
    /// This share of the calls waits in a queue for a second and is refused then.
    QueueFull(f64),
    /// Neither new calls nor open watches are answered.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Down,
    /// This share of the calls gets an answer that is not valid JSON.
    InvalidResponse(f64),
}

impl Mode {
    /// The name of the fault in reports.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Healthy => "discovery_well",
            Mode::Overloaded(_) => "discovery_crowded",
            Mode::QueueFull(_) => "discovery_slow",
            Mode::Silent => "discovery_silent",
            Mode::Down => "discovery_down",
            Mode::InvalidResponse(_) => "discovery_spoilt",
        }
    }
}

/// Interval at which an open watch is checked for changes.
const WATCH_POLL_INTERVAL_S: f64 = 0.01;
/// Time for which a call waits in the queue before it is refused.
const QUEUE_TIME_S: f64 = 1.0;
/// Limit of the refused and invalid answers to one daemon's calls in a row while discovery can be reached. A
/// call that waited in the queue counts as `QUEUE_TIMEOUT_COST`.
const MAX_CONSECUTIVE_REFUSALS: u32 = 6;
/// A refusal after the wait in the queue counts for three.
const QUEUE_TIMEOUT_COST: u32 = 3;

/// An entry of the endpoint list.
struct Entry {
    server: Rc<Server>,
    name: String,
    lifecycle: &'static str,
    /// The generation of the list in which the entry changed last.
    generation: u64,
}

/// The endpoint list, and the mode in which calls for it are treated.
pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    pub generation: Cell<u64>,
    pub mode: Cell<Mode>,
    rng: RefCell<StdRng>,
    /// Refusals in a row by daemon; see `MAX_CONSECUTIVE_REFUSALS`.
    consecutive_refusals: RefCell<BTreeMap<usize, u32>>,
    /// The complete list as it was last sent to each daemon.
    last_sent_list: RefCell<BTreeMap<usize, Value>>,
    runtime: Runtime,
    log: ObservationLog,
}

/// An address at which discovery serves one daemon. It is closed some time after the daemon was given another
/// one.
pub struct DiscoveryAddress {
    pub address: SocketAddr,
    pub open: Rc<Cell<bool>>,
}

impl Discovery {
    /// Creates a discovery that lists these servers as ready.
    pub fn new(runtime: &Runtime, log: &ObservationLog, servers: &[Rc<Server>], seed: u64) -> Rc<Discovery> {
        let entry = |server: &Rc<Server>| Entry {
            server: server.clone(),
            name: server.name.clone(),
            lifecycle: "Ready",
            generation: 1,
        };
        Rc::new(Discovery {
            entries: RefCell::new(servers.iter().map(entry).collect()),
            generation: Cell::new(1),
            mode: Cell::new(Mode::Healthy),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            consecutive_refusals: RefCell::default(),
            last_sent_list: RefCell::default(),
            runtime: runtime.clone(),
            log: log.clone(),
        })
    }

    /// Opens an address for a daemon.
    pub fn open(self: &Rc<Self>, daemon: usize) -> Result<DiscoveryAddress, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let open = Rc::new(Cell::new(true));
        let (this, is_open) = (self.clone(), open.clone());
        self.runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !is_open.get() {
                    return;
                }
                let serve = this.clone().serve(daemon, is_open.clone(), ServerConnection::new(stream));
                this.runtime.spawn(serve);
            }
        });
        Ok(DiscoveryAddress { address, open })
    }

    /// Changes the lifecycle of a server in the list.
    pub fn set_lifecycle(&self, name: &str, lifecycle: &'static str) {
        let generation = self.next_generation();
        if let Some(entry) = self.entries.borrow_mut().iter_mut().find(|e| e.name == name) {
            (entry.lifecycle, entry.generation) = (lifecycle, generation);
        }
        if lifecycle != "Ready" {
            let drain = Drain { server: name.to_owned(), at: self.runtime.now(), generation };
            self.log.with(|observations| observations.drains.push(drain));
        }
    }

    /// Adds a server to the list.
    pub fn add(&self, server: &Rc<Server>) {
        let generation = self.next_generation();
        let name = server.name.clone();
        self.entries.borrow_mut().push(Entry {
            server: server.clone(),
            name,
            lifecycle: "Ready",
            generation,
        });
    }

    fn next_generation(&self) -> u64 {
        self.generation.set(self.generation.get() + 1);
        self.generation.get()
    }

    /// The complete list, or the changes since a generation.
    pub fn list(&self, since: Option<u64>) -> Value {
        let entries = self.entries.borrow();
        let is_included = |e: &&Entry| match since {
            Some(since) => e.generation > since,
            None => e.lifecycle != "Gone",
        };
        let entry_json = |e: &Entry| {
            json!({"instanceId": e.name, "hostPort": e.server.address.to_string(), "zone": "floor-2",
                "machineType": "club", "cell": e.server.destination, "lifecycle": e.lifecycle, "weight": 50.0,
                "startedAtMs": 0})
        };
        let instances: Vec<_> = entries.iter().filter(is_included).map(entry_json).collect();
        json!({"generation": self.generation.get(), "reset": since.is_none(), "instances": instances})
    }

    /// The list that was last sent to a daemon, which its configuration contains at its next start.
    pub fn last_list_sent_to(&self, daemon: usize) -> Option<Value> {
        self.last_sent_list.borrow().get(&daemon).cloned()
    }

    /// Whether the list that was last sent to a daemon contains a server.
    pub fn last_list_names(&self, daemon: usize, server: &str) -> bool {
        let contains_server = |list: &Value| {
            let instances = list["instances"].as_array();
            instances.is_some_and(|all| all.iter().any(|entry| entry["instanceId"] == server))
        };
        self.last_sent_list.borrow().get(&daemon).is_some_and(contains_server)
    }

    /// Serves one connection of a daemon.
    async fn serve(
        self: Rc<Discovery>, daemon: usize, open: Rc<Cell<bool>>, mut connection: ServerConnection,
    ) {
        while let Ok(Some(request)) = connection.next_request().await {
            let keep_open = if request.method == "POST" {
                self.receive_notices(&request);
                connection.respond(204, "", "").await.is_ok()
            } else {
                self.handle_list_call(daemon, &open, &mut connection, &request).await
            };
            if !keep_open {
                return;
            }
        }
    }

    /// Records the messages of which a request reports the outcome, one JSON object a line.
    fn receive_notices(&self, request: &Request) {
        let now = self.runtime.now();
        for line in String::from_utf8_lossy(&request.body).lines() {
            let id =
                serde_json::from_str::<Value>(line).ok().and_then(|v| v["id"].as_str().map(str::to_owned));
            self.log.with(|observations| {
                if let Some(message) = id.and_then(|id| observations.messages.get_mut(&id)) {
                    message.notice_received_at.get_or_insert(now);
                }
            });
        }
    }

    /// The current mode, if it affects this call of a daemon.
    fn fault_for_call(&self, daemon: usize) -> Option<Mode> {
        let mode = self.mode.get();
        let (share, cost) = match mode {
            Mode::Healthy => return None,
            Mode::Silent | Mode::Down => return Some(mode),
            Mode::Overloaded(share) | Mode::InvalidResponse(share) => (share, 1),
            Mode::QueueFull(share) => (share, QUEUE_TIMEOUT_COST),
        };
        let mut consecutive_refusals = self.consecutive_refusals.borrow_mut();
        let consecutive_refusals = consecutive_refusals.entry(daemon).or_default();
        let affected = *consecutive_refusals + cost <= MAX_CONSECUTIVE_REFUSALS
            && self.rng.borrow_mut().random_bool(share);
        *consecutive_refusals = if affected { *consecutive_refusals + cost } else { 0 };
        affected.then_some(mode)
    }

    /// Handles one call for the list. Returns whether the connection stays open.
    async fn handle_list_call(
        &self, daemon: usize, open: &Cell<bool>, connection: &mut ServerConnection, request: &Request,
    ) -> bool {
        if let Some(mode) = self.fault_for_call(daemon) {
            self.log.record_fault_hit(mode.name());
            match mode {
                Mode::Overloaded(_) => return connection.respond(503, "", "").await.is_ok(),
                Mode::QueueFull(_) => {
                    sleep(QUEUE_TIME_S).await;
                    return connection.respond(503, "", "").await.is_ok();
                }
                Mode::Silent => {
                    connection.wait_for_close().await;
                    return false;
                }
                Mode::InvalidResponse(_) => {
                    let _ = connection.respond(200, "", "{\"generation\": no").await;
                    return false;
                }
                Mode::Healthy | Mode::Down => {
                    reset(&connection.stream);
                    return false;
                }
            }
        }
        let query_number = |key: &str| {
            let value = request.path.split(['?', '&']).find_map(|p| p.strip_prefix(key));
            value.and_then(|text| text.parse::<u64>().ok())
        };
        let since = query_number("since=").filter(|since| *since <= self.generation.get());
        let watch_ends_at = self.runtime.now() + query_number("timeout_ms=").unwrap_or(0) as f64 / 1000.0;
        while since == Some(self.generation.get()) && self.runtime.now() < watch_ends_at {
            let poll_delay = async {
                sleep(WATCH_POLL_INTERVAL_S).await;
                false
            };
            // A list does not count as sent to a daemon that has disconnected.
            let disconnected = future::or(poll_delay, async {
                connection.wait_for_close().await;
                true
            });
            if disconnected.await {
                return false;
            }
            match self.mode.get() {
                _ if !open.get() => return false,
                Mode::Down => {
                    self.log.record_fault_hit(Mode::Down.name());
                    reset(&connection.stream);
                    return false;
                }
                // A watch that was silenced is never answered, also after the mode has changed.
                Mode::Silent => {
                    self.log.record_fault_hit(Mode::Silent.name());
                    connection.wait_for_close().await;
                    return false;
                }
                _ => {}
            }
        }
        let (generation, body) = (self.generation.get(), self.list(since).to_string());
        let written = connection.respond(200, "", &body).await.is_ok();
        let now = self.runtime.now();
        self.log.with(|observations| observations.list_deliveries.push((now, daemon, generation)));
        self.last_sent_list.borrow_mut().insert(daemon, self.list(None));
        written
    }
}
