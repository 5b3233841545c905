//! Clients of one daemon: they submit messages without waiting for earlier answers, reuse connections, and
//! sometimes disconnect early or send incomplete requests.

use super::observations::{Class, ClientResult, Message, ObservationLog, message_id};
use crate::testbed::{Runtime, sleep};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Time that a client waits for its answer.
const ANSWER_TIMEOUT_S: f64 = 0.4;
/// Time within which the daemon must answer an incomplete request with an error or close its connection.
const PARTIAL_REQUEST_TIMEOUT_S: f64 = 3.0;
/// Share of the clients that disconnect without waiting for their answer.
const EARLY_LEAVE_SHARE: f64 = 0.02;
/// Share of the clients that send an incomplete request.
const PARTIAL_REQUEST_SHARE: f64 = 0.02;
/// The answer to a message of a class that the settings do not have.
const UNKNOWN_CLASS: ClientResult = ClientResult::Status(400);
/// Share of the answered connections that are kept for later requests.
const CONNECTION_REUSE_SHARE: f64 = 0.6;
/// Name and deadline in seconds of the class that the settings may add and remove.
pub const ADDED_CLASS: (&str, f64) = ("rush", 3.0);
/// Share of the messages that are of the added class while it is in force.
const ADDED_CLASS_SHARE: f64 = 0.3;
/// Effects, names and deadlines in seconds of the other classes, as in `super::settings::settings`.
const CLASSES: [(Class, &str, f64); 3] =
    [(Class::Safe, "status", 3.0), (Class::Keyed, "booking", 5.0), (Class::Unsafe, "payment", 5.0)];

/// The clients of one daemon.
pub struct Clients {
    daemon: usize,
    /// The daemon's address; none while the daemon is down.
    pub daemon_address: Cell<Option<SocketAddr>>,
    /// The address of a process that is shutting down: connections to it are used as long as they stay open.
    pub draining_address: Cell<Option<SocketAddr>>,
    /// The added class is in force.
    pub added_class_active: Cell<bool>,
    /// No more messages are submitted.
    pub stopped: Cell<bool>,
    destinations: u64,
    idle_connections: RefCell<Vec<(SocketAddr, Async<TcpStream>)>>,
    /// Incomplete requests that got neither an error nor a close in time.
    pub bad_unanswered: Cell<u64>,
    rng: RefCell<StdRng>,
    runtime: Runtime,
    log: ObservationLog,
}

impl Clients {
    /// Starts the clients, which submit `messages_per_s` messages a second in the mean.
    pub fn start(
        runtime: &Runtime, log: &ObservationLog, daemon: usize, destinations: u64, messages_per_s: f64,
        seed: u64,
    ) -> Rc<Clients> {
        let clients = Rc::new(Clients {
            daemon,
            daemon_address: Cell::new(None),
            draining_address: Cell::new(None),
            added_class_active: Cell::new(false),
            stopped: Cell::new(false),
            destinations,
            idle_connections: RefCell::default(),
            bad_unanswered: Cell::new(0),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            runtime: runtime.clone(),
            log: log.clone(),
        });
        runtime.spawn(clients.clone().run(messages_per_s));
        clients
    }

    /// A random number above 0 and below 1.
    fn uniform(&self) -> f64 {
        self.rng.borrow_mut().random_range(f64::MIN_POSITIVE..1.0)
    }

    /// Submits messages at random intervals until `stopped` is set.
    async fn run(self: Rc<Self>, messages_per_s: f64) {
        let mut due = self.runtime.now();
        for number in 0.. {
            due += -self.uniform().ln() / messages_per_s;
            sleep(due - self.runtime.now()).await;
            if self.stopped.get() {
                return;
            }
            let this = self.clone();
            match (self.daemon_address.get(), self.draining_address.get()) {
                (Some(address), _) if self.uniform() < PARTIAL_REQUEST_SHARE => {
                    self.runtime.spawn(async move { this.send_partial_request(address).await })
                }
                (Some(address), _) => {
                    self.runtime.spawn(async move { this.submit(address, number, true).await })
                }
                (None, Some(address)) => {
                    self.runtime.spawn(async move { this.submit(address, number, false).await })
                }
                (None, None) => {}
            }
        }
    }

    /// Opens connections that send nothing or half a request, and keeps them open.
    pub async fn flood(&self, address: SocketAddr, connection_count: usize, duration_s: f64) {
        let from = self.runtime.now();
        let mut connections = Vec::new();
        for index in 0..connection_count {
            let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { continue };
            if index % 2 == 1 {
                let _ = stream.write_all(b"POST /status HTTP/1.1\r\nX-Request-Id: c").await;
            }
            connections.push(stream);
        }
        sleep(duration_s).await;
        let (daemon, until) = (self.daemon, self.runtime.now());
        self.log.with(|observations| observations.connection_floods.push((daemon, from, until)));
    }

    /// Sends half a request and nothing more. The daemon must answer with an error or close the connection.
    async fn send_partial_request(&self, address: SocketAddr) {
        self.log.record_fault_hit("client_bad");
        let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { return };
        let _ = stream.write_all(b"POST /status HTTP/1.1\r\nX-Request-Id: b").await;
        let ended = async { stream.read(&mut [0; 64]).await.map_or(true, |_| true) };
        let timeout = async {
            sleep(PARTIAL_REQUEST_TIMEOUT_S).await;
            false
        };
        // No answer is due from a process that was stopped or has ended in the meantime.
        if !future::or(ended, timeout).await && self.daemon_address.get() == Some(address) {
            self.bad_unanswered.set(self.bad_unanswered.get() + 1);
        }
    }

    /// Submits one message over a kept connection, or over a new one if `may_connect`.
    async fn submit(&self, address: SocketAddr, number: u64, may_connect: bool) {
        let (class, class_name, deadline_s) = self.next_class();
        let destination = self.rng.borrow_mut().random_range(1..=self.destinations);
        let id = message_id(self.daemon, number);
        let idle_connection = self.idle_connections.borrow_mut().pop().filter(|(to, _)| *to == address);
        let on_reused_connection = idle_connection.is_some();
        let stream = match idle_connection {
            Some((_, stream)) => Ok(stream),
            None if !may_connect => return,
            None => Async::<TcpStream>::connect(address).await,
        };
        let Ok(mut stream) = stream else { return };
        let submitted_at = self.runtime.now();
        let message = Message {
            class,
            daemon: self.daemon,
            submitted_at,
            deadline: submitted_at + deadline_s,
            client_result: None,
            on_reused_connection,
            client_left_early: self.uniform() < EARLY_LEAVE_SHARE,
            notice_received_at: None,
        };
        let leaves_early = message.client_left_early;
        self.log.with(|observations| observations.messages.insert(id.clone(), message));
        let request = format!(
            "POST /{class_name} HTTP/1.1\r\nHost: app\r\nX-Request-Id: {id}\r\nX-Class: {class_name}\r\n\
             X-Deadline: {deadline_s:.3}\r\n\
             Idempotency-Key: k-{id}\r\nX-Envelope: dest={destination}\r\nContent-Length: 2\r\n\r\nhi"
        );
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        if leaves_early {
            self.log.record_fault_hit("client_leaves");
            return;
        }
        let client_result = self.read_answer(&mut stream).await;
        // The class may have been removed while the request was under way.
        if class_name == ADDED_CLASS.0 && client_result == UNKNOWN_CLASS && self.added_class_active.get() {
            self.log.with(|observations| {
                observations.settings_errors.push(format!("{id}: its class holds, and is unknown"))
            });
        }
        self.log.with(|observations| {
            if let Some(message) = observations.messages.get_mut(&id) {
                message.client_result = Some(client_result);
            }
        });
        if matches!(client_result, ClientResult::Status(_)) && self.uniform() < CONNECTION_REUSE_SHARE {
            self.idle_connections.borrow_mut().push((address, stream));
        }
    }

    /// The effect, name and deadline of the next message's class.
    fn next_class(&self) -> (Class, &'static str, f64) {
        let (class_name, deadline_s) = ADDED_CLASS;
        if self.added_class_active.get() && self.uniform() < ADDED_CLASS_SHARE {
            return (Class::Safe, class_name, deadline_s);
        }
        CLASSES[self.rng.borrow_mut().random_range(0..CLASSES.len())]
    }

    /// Submits a message of the class that was removed. The daemon must not accept it.
    pub async fn submit_dropped_class(&self) {
        let Some(address) = self.daemon_address.get() else { return };
        let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { return };
        let (class_name, deadline_s) = ADDED_CLASS;
        let id = format!("dropped-{}-{}", self.daemon, self.runtime.now());
        let request = format!(
            "POST /{class_name} HTTP/1.1\r\nHost: app\r\nX-Request-Id: {id}\r\nX-Class: {class_name}\r\n\
             X-Deadline: {deadline_s:.3}\r\n\
             X-Envelope: dest=1\r\nContent-Length: 2\r\n\r\nhi"
        );
        if stream.write_all(request.as_bytes()).await.is_ok()
            && self.read_answer(&mut stream).await == ClientResult::Status(202)
        {
            self.log.with(|observations| {
                observations.settings_errors.push(format!("{id}: its class was dropped"))
            });
        }
    }

    /// Waits for the answer to a request.
    async fn read_answer(&self, stream: &mut Async<TcpStream>) -> ClientResult {
        let answer = async {
            let mut bytes = [0; 512];
            match stream.read(&mut bytes).await {
                Ok(bytes_read) if bytes_read > 12 => {
                    let status = std::str::from_utf8(&bytes[9..12]).ok().and_then(|s| s.parse().ok());
                    status.map_or(ClientResult::Closed, ClientResult::Status)
                }
                _ => ClientResult::Closed,
            }
        };
        let timeout = async {
            sleep(ANSWER_TIMEOUT_S).await;
            ClientResult::TimedOut
        };
        future::or(answer, timeout).await
    }
}
