//! Discovery, at as many addresses as it moves to: tells the list and its changes, takes ends of messages, and refuses calls,
//! is slow, falls silent or is down.

use super::ledger::{Drained, Ledger};
use super::server::{Server, reset};
use crate::http::{Request, ServerConnection as Connection};
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

/// How it treats calls for the list. Ends of messages are taken at once, whatever it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    /// It refuses this share of the calls at once.
    Crowded(f64),
    /// This share waits for a second and is refused then.
    Slow(f64),
    /// It answers nothing that comes or is open.
    Silent,
    /// It breaks what is open and refuses what comes.
    Down,
    /// Noise comes in place of this share of the answers.
    Spoilt(f64),
}

impl Mode {
    pub fn name(self) -> &'static str {
        match self {
            Mode::Well => "discovery_well",
            Mode::Crowded(_) => "discovery_crowded",
            Mode::Slow(_) => "discovery_slow",
            Mode::Silent => "discovery_silent",
            Mode::Down => "discovery_down",
            Mode::Spoilt(_) => "discovery_spoilt",
        }
    }
}

/// How often it looks whether there is news for a watch.
const LOOK_S: f64 = 0.01;
/// A call waits in its queue for so long at most.
const QUEUE_S: f64 = 1.0;
/// A discovery that can be reached refuses or spoils no more than this of one daemon's calls in a row, where one that waited
/// in the queue counts for three.
const REFUSED_MOST: u32 = 6;
const QUEUED: u32 = 3;

struct Entry {
    server: Rc<Server>,
    name: String,
    lifecycle: &'static str,
    /// The version in which it changed last.
    generation: u64,
}

pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    pub generation: Cell<u64>,
    pub mode: Cell<Mode>,
    rng: RefCell<StdRng>,
    /// What each daemon was refused in a row; see `REFUSED_MOST`.
    refused: RefCell<BTreeMap<usize, u32>>,
    /// The whole list as each daemon was last told it.
    last_told: RefCell<BTreeMap<usize, Value>>,
    world: Runtime,
    ledger: Ledger,
}

/// One address of it, for one daemon; it is left when the daemon is told of another.
pub struct Address {
    pub at: SocketAddr,
    pub open: Rc<Cell<bool>>,
}

impl Discovery {
    pub fn new(world: &Runtime, ledger: &Ledger, servers: &[Rc<Server>], seed: u64) -> Rc<Discovery> {
        let entry = |server: &Rc<Server>| Entry {
            server: server.clone(),
            name: server.name.clone(),
            lifecycle: "Ready",
            generation: 1,
        };
        Rc::new(Discovery {
            entries: RefCell::new(servers.iter().map(entry).collect()),
            generation: Cell::new(1),
            mode: Cell::new(Mode::Well),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            refused: RefCell::default(),
            last_told: RefCell::default(),
            world: world.clone(),
            ledger: ledger.clone(),
        })
    }

    /// Opens an address for a daemon.
    pub fn open(self: &Rc<Self>, daemon: usize) -> Result<Address, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let at = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let open = Rc::new(Cell::new(true));
        let (this, is_open) = (self.clone(), open.clone());
        self.world.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !is_open.get() {
                    return;
                }
                let serve = this.clone().serve(daemon, is_open.clone(), Connection::new(stream));
                this.world.spawn(serve);
            }
        });
        Ok(Address { at, open })
    }

    /// The list says this of a server from now on.
    pub fn set(&self, name: &str, lifecycle: &'static str) {
        let generation = self.next_generation();
        if let Some(entry) = self.entries.borrow_mut().iter_mut().find(|e| e.name == name) {
            (entry.lifecycle, entry.generation) = (lifecycle, generation);
        }
        if lifecycle != "Ready" {
            let drained = Drained { server: name.to_owned(), at: self.world.now(), generation };
            self.ledger.with(|seen| seen.drained.push(drained));
        }
    }

    /// A server is new to the list.
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

    /// The list, or what of it has changed since a version.
    pub fn list(&self, since: Option<u64>) -> Value {
        let entries = self.entries.borrow();
        let named = |e: &&Entry| match since {
            Some(since) => e.generation > since,
            None => e.lifecycle != "Gone",
        };
        let one = |e: &Entry| {
            json!({"instanceId": e.name, "hostPort": e.server.address.to_string(), "zone": "floor-2",
                "machineType": "club", "cell": e.server.destination, "lifecycle": e.lifecycle, "weight": 50.0,
                "startedAtMs": 0})
        };
        let instances: Vec<_> = entries.iter().filter(named).map(one).collect();
        json!({"generation": self.generation.get(), "reset": since.is_none(), "instances": instances})
    }

    /// The list that a daemon's configuration names at its start: as it last had it.
    pub fn known_to(&self, daemon: usize) -> Option<Value> {
        self.last_told.borrow().get(&daemon).cloned()
    }

    /// The list that a daemon was told last names a server.
    pub fn told(&self, daemon: usize, server: &str) -> bool {
        let names = |list: &Value| {
            let instances = list["instances"].as_array();
            instances.is_some_and(|all| all.iter().any(|one| one["instanceId"] == server))
        };
        self.last_told.borrow().get(&daemon).is_some_and(names)
    }

    async fn serve(self: Rc<Discovery>, daemon: usize, open: Rc<Cell<bool>>, mut connection: Connection) {
        while let Ok(Some(request)) = connection.next_request().await {
            let lasts = if request.method == "POST" {
                self.notices(&request);
                connection.respond(204, "", "").await.is_ok()
            } else {
                self.call(daemon, &open, &mut connection, &request).await
            };
            if !lasts {
                return;
            }
        }
    }

    fn notices(&self, request: &Request) {
        let now = self.world.now();
        for line in String::from_utf8_lossy(&request.body).lines() {
            let id =
                serde_json::from_str::<Value>(line).ok().and_then(|v| v["id"].as_str().map(str::to_owned));
            self.ledger.with(|seen| {
                if let Some(message) = id.and_then(|id| seen.messages.get_mut(&id)) {
                    message.noticed.get_or_insert(now);
                }
            });
        }
    }

    /// This mode hits the call of a daemon that is there now, if it does.
    fn hits(&self, daemon: usize) -> Option<Mode> {
        let mode = self.mode.get();
        let (share, cost) = match mode {
            Mode::Well => return None,
            Mode::Silent | Mode::Down => return Some(mode),
            Mode::Crowded(share) | Mode::Spoilt(share) => (share, 1),
            Mode::Slow(share) => (share, QUEUED),
        };
        let mut refused = self.refused.borrow_mut();
        let refused = refused.entry(daemon).or_default();
        let hits = *refused + cost <= REFUSED_MOST && self.rng.borrow_mut().random_bool(share);
        *refused = if hits { *refused + cost } else { 0 };
        hits.then_some(mode)
    }

    /// One call for the list. Whether its connection lasts.
    async fn call(
        &self, daemon: usize, open: &Cell<bool>, connection: &mut Connection, request: &Request,
    ) -> bool {
        if let Some(mode) = self.hits(daemon) {
            self.ledger.met(mode.name());
            match mode {
                Mode::Crowded(_) => return connection.respond(503, "", "").await.is_ok(),
                Mode::Slow(_) => {
                    sleep(QUEUE_S).await;
                    return connection.respond(503, "", "").await.is_ok();
                }
                Mode::Silent => {
                    connection.wait_for_close().await;
                    return false;
                }
                Mode::Spoilt(_) => {
                    let _ = connection.respond(200, "", "{\"generation\": no").await;
                    return false;
                }
                Mode::Well | Mode::Down => {
                    reset(&connection.stream);
                    return false;
                }
            }
        }
        let number = |key: &str| {
            let at = request.path.split(['?', '&']).find_map(|p| p.strip_prefix(key));
            at.and_then(|n| n.parse::<u64>().ok())
        };
        let since = number("since=").filter(|since| *since <= self.generation.get());
        let ends = self.world.now() + number("timeout_ms=").unwrap_or(0) as f64 / 1000.0;
        while since == Some(self.generation.get()) && self.world.now() < ends {
            let looks = async {
                sleep(LOOK_S).await;
                false
            };
            // Nothing counts as told to one who has left.
            let left = future::or(looks, async {
                connection.wait_for_close().await;
                true
            });
            if left.await {
                return false;
            }
            match self.mode.get() {
                _ if !open.get() => return false,
                Mode::Down => {
                    self.ledger.met(Mode::Down.name());
                    reset(&connection.stream);
                    return false;
                }
                // A watch that falls silent stays so.
                Mode::Silent => {
                    self.ledger.met(Mode::Silent.name());
                    connection.wait_for_close().await;
                    return false;
                }
                _ => {}
            }
        }
        let (generation, body) = (self.generation.get(), self.list(since).to_string());
        let written = connection.respond(200, "", &body).await.is_ok();
        let now = self.world.now();
        self.ledger.with(|seen| seen.told.push((now, daemon, generation)));
        self.last_told.borrow_mut().insert(daemon, self.list(None));
        written
    }
}
