//! Clients of one daemon: load that does not wait for answers, kept connections, clients that leave, and bad ones.

use super::ledger::{Class, Heard, Ledger, Message, id_of};
use crate::testbed::{Runtime, sleep};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A client waits so long for its answer.
const PATIENCE_S: f64 = 0.4;
/// A bad client is owed an error or a close within this.
const BAD_PATIENCE_S: f64 = 3.0;
const LEAVES_EARLY: f64 = 0.02;
const IS_BAD: f64 = 0.02;
const UNKNOWN_CLASS: Heard = Heard::Status(400);
const KEEPS_CONNECTION: f64 = 0.6;
/// A class that settings may add and drop, and its time.
pub const ADDED_CLASS: (&str, f64) = ("rush", 3.0);
/// Of the messages, while that class holds.
const ADDED_SHARE: f64 = 0.3;
/// Names and times of the classes; see `settings` of the experiment.
const CLASSES: [(Class, &str, f64); 3] =
    [(Class::Safe, "status", 3.0), (Class::Keyed, "booking", 5.0), (Class::Unsafe, "payment", 5.0)];

pub struct Clients {
    daemon: usize,
    /// Where the daemon is; none while it is down.
    pub at: Cell<Option<SocketAddr>>,
    /// A process that ends: connections to it are used for as long as they stay open.
    pub ending: Cell<Option<SocketAddr>>,
    /// The added class holds.
    pub added_class: Cell<bool>,
    /// No more is handed in.
    pub over: Cell<bool>,
    destinations: u64,
    kept: RefCell<Vec<(SocketAddr, Async<TcpStream>)>>,
    /// Bad clients that had neither an error nor a close in time.
    pub bad_unanswered: Cell<u64>,
    rng: RefCell<StdRng>,
    world: Runtime,
    ledger: Ledger,
}

impl Clients {
    /// `rate` messages a second in the mean.
    pub fn start(
        world: &Runtime, ledger: &Ledger, daemon: usize, destinations: u64, rate: f64, seed: u64,
    ) -> Rc<Clients> {
        let clients = Rc::new(Clients {
            daemon,
            at: Cell::new(None),
            ending: Cell::new(None),
            added_class: Cell::new(false),
            over: Cell::new(false),
            destinations,
            kept: RefCell::default(),
            bad_unanswered: Cell::new(0),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            world: world.clone(),
            ledger: ledger.clone(),
        });
        world.spawn(clients.clone().run(rate));
        clients
    }

    fn draw(&self) -> f64 {
        self.rng.borrow_mut().random_range(f64::MIN_POSITIVE..1.0)
    }

    async fn run(self: Rc<Self>, rate: f64) {
        let mut due = self.world.now();
        for n in 0.. {
            due += -self.draw().ln() / rate;
            sleep(due - self.world.now()).await;
            if self.over.get() {
                return;
            }
            let this = self.clone();
            match (self.at.get(), self.ending.get()) {
                (Some(at), _) if self.draw() < IS_BAD => self.world.spawn(async move { this.bad(at).await }),
                (Some(at), _) => self.world.spawn(async move { this.hand_in(at, n, true).await }),
                (None, Some(at)) => self.world.spawn(async move { this.hand_in(at, n, false).await }),
                (None, None) => {}
            }
        }
    }

    /// So many connections that say nothing or half a request, for so many seconds.
    pub async fn crowd(&self, at: SocketAddr, clients: usize, lasts: f64) {
        let from = self.world.now();
        let mut connections = Vec::new();
        for i in 0..clients {
            let Ok(mut stream) = Async::<TcpStream>::connect(at).await else { continue };
            if i % 2 == 1 {
                let _ = stream.write_all(b"POST /status HTTP/1.1\r\nX-Request-Id: c").await;
            }
            connections.push(stream);
        }
        sleep(lasts).await;
        let (daemon, until) = (self.daemon, self.world.now());
        self.ledger.with(|seen| seen.crowds.push((daemon, from, until)));
    }

    /// Half a request, and nothing more: it is owed an error or a close.
    async fn bad(&self, at: SocketAddr) {
        self.ledger.met("client_bad");
        let Ok(mut stream) = Async::<TcpStream>::connect(at).await else { return };
        let _ = stream.write_all(b"POST /status HTTP/1.1\r\nX-Request-Id: b").await;
        let ended = async { stream.read(&mut [0; 64]).await.map_or(true, |_| true) };
        let late = async {
            sleep(BAD_PATIENCE_S).await;
            false
        };
        // One that is stopped or ends meanwhile owes nothing.
        if !future::or(ended, late).await && self.at.get() == Some(at) {
            self.bad_unanswered.set(self.bad_unanswered.get() + 1);
        }
    }

    /// Over a connection that was kept, or over a new one where that may be opened.
    async fn hand_in(&self, at: SocketAddr, n: u64, may_open: bool) {
        let (class, name, left) = self.class();
        let destination = self.rng.borrow_mut().random_range(1..=self.destinations);
        let id = id_of(self.daemon, n);
        let kept = self.kept.borrow_mut().pop().filter(|(to, _)| *to == at);
        let on_kept_connection = kept.is_some();
        let stream = match kept {
            Some((_, stream)) => Ok(stream),
            None if !may_open => return,
            None => Async::<TcpStream>::connect(at).await,
        };
        let Ok(mut stream) = stream else { return };
        let handed_in = self.world.now();
        let message = Message {
            class,
            daemon: self.daemon,
            handed_in,
            deadline: handed_in + left,
            heard: None,
            on_kept_connection,
            left_early: self.draw() < LEAVES_EARLY,
            noticed: None,
        };
        let leaves = message.left_early;
        self.ledger.with(|seen| seen.messages.insert(id.clone(), message));
        let request = format!(
            "POST /{name} HTTP/1.1\r\nHost: app\r\nX-Request-Id: {id}\r\nX-Class: {name}\r\nX-Deadline: {left:.3}\r\n\
             Idempotency-Key: k-{id}\r\nX-Envelope: dest={destination}\r\nContent-Length: 2\r\n\r\nhi"
        );
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        if leaves {
            self.ledger.met("client_leaves");
            return;
        }
        let heard = self.answer(&mut stream).await;
        // It may have been dropped meanwhile.
        if name == ADDED_CLASS.0 && heard == UNKNOWN_CLASS && self.added_class.get() {
            self.ledger
                .with(|seen| seen.settings_wrong.push(format!("{id}: its class holds, and is unknown")));
        }
        self.ledger.with(|seen| {
            if let Some(message) = seen.messages.get_mut(&id) {
                message.heard = Some(heard);
            }
        });
        if matches!(heard, Heard::Status(_)) && self.draw() < KEEPS_CONNECTION {
            self.kept.borrow_mut().push((at, stream));
        }
    }

    /// That of the next message.
    fn class(&self) -> (Class, &'static str, f64) {
        let (name, left) = ADDED_CLASS;
        if self.added_class.get() && self.draw() < ADDED_SHARE {
            return (Class::Safe, name, left);
        }
        CLASSES[self.rng.borrow_mut().random_range(0..CLASSES.len())]
    }

    /// A message of a class that was dropped: it is taken on no more.
    pub async fn of_dropped_class(&self) {
        let Some(at) = self.at.get() else { return };
        let Ok(mut stream) = Async::<TcpStream>::connect(at).await else { return };
        let (name, left) = ADDED_CLASS;
        let id = format!("dropped-{}-{}", self.daemon, self.world.now());
        let request = format!(
            "POST /{name} HTTP/1.1\r\nHost: app\r\nX-Request-Id: {id}\r\nX-Class: {name}\r\nX-Deadline: {left:.3}\r\n\
             X-Envelope: dest=1\r\nContent-Length: 2\r\n\r\nhi"
        );
        if stream.write_all(request.as_bytes()).await.is_ok()
            && self.answer(&mut stream).await == Heard::Status(202)
        {
            self.ledger.with(|seen| seen.settings_wrong.push(format!("{id}: its class was dropped")));
        }
    }

    async fn answer(&self, stream: &mut Async<TcpStream>) -> Heard {
        let answer = async {
            let mut bytes = [0; 512];
            match stream.read(&mut bytes).await {
                Ok(n) if n > 12 => {
                    let status = std::str::from_utf8(&bytes[9..12]).ok().and_then(|s| s.parse().ok());
                    status.map_or(Heard::Closed, Heard::Status)
                }
                _ => Heard::Closed,
            }
        };
        let late = async {
            sleep(PATIENCE_S).await;
            Heard::TooLate
        };
        future::or(answer, late).await
    }
}
