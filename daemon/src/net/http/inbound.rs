//! HTTP connections of clients, each served by an actor of its own.

use super::request::{ClientError, IncrementalParsing, Progress, Request, parse};
use super::{Framing, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::core_actor::{CoreMessage, Submission, SubmitReply};
use crate::invariants::PendingResponse;
use crate::net::buffer::{Buffer, write_fully};
use crate::net::input_budget::InputReservation;
use crate::net::peer_state::PeerState;
use crate::net::{ListState, SharedState};
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use futures_lite::future;
use onyxrock::core::AcceptedMessage;
use onyxrock::interface::Micros;
use onyxrock_sharing::ToPeers;
use serde_json::Value;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// A new connection must deliver its first request whole within this time; on an open connection a further
/// request must be whole this long after its first byte.
const REQUEST_TIMEOUT: Micros = Micros(2_200_000);
/// An idle connection is closed this long after its last response.
const IDLE_TIMEOUT: Micros = Micros(5_000_000);
/// The same while many connections are open: a load balancer has a limited number of connections, and one
/// that stays idle here is not available to it.
const IDLE_TIMEOUT_MANY: Micros = Micros(200_000);
/// `IDLE_TIMEOUT_MANY` applies while more than a quarter (1/4) of the allowed connections are open.
const MANY_DIVISOR: u64 = 4;
/// A connection may be closed to make room for a new one after this much idle time.
const MIN_IDLE_BEFORE_EVICTION: Micros = Micros(50_000);
/// A response that the client has not read by then is abandoned.
const RESPONSE_WRITE_TIMEOUT: Micros = Micros(2_000_000);
/// Delay before the next request is read from a client whose request was rejected as invalid. Without the
/// delay such a client could take all processor time.
const INVALID_REQUEST_DELAY: std::time::Duration = std::time::Duration::from_millis(100);
/// A connection is closed after this many invalid requests.
const MAX_INVALID_REQUESTS: u32 = 8;
/// After a final response up to this many bytes are read and discarded, so that unread input does not reset
/// the connection before the client has read the response.
const MAX_DISCARD_BYTES: usize = 128 * 1024;
/// Time limit for discarding input after a final response.
const DISCARD_TIMEOUT: Micros = Micros(200_000);
/// Retry-After while the forwarder has no endpoint list yet.
const NO_LIST_RETRY_AFTER: Micros = Micros(500_000);
/// Retry-After while the forwarder holds as many messages as it may.
const FULL_RETRY_AFTER: Micros = Micros(1_000_000);
/// Length of the kernel's queue of connections to be accepted, large enough for a burst of clients.
const BACKLOG: i32 = 1024;
/// Delay before accepting again when no connection can be closed or `accept` has failed.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);
/// Accepts connections until `stop` is closed.
pub async fn listen(
    shared: Rc<SharedState>, listener: Async<TcpListener>, stop: async_channel::Receiver<()>,
) {
    if let Err(e) = rustix::net::listen(&listener, BACKLOG) {
        tracing::error!("http: cannot listen for connections: {e}");
    }
    loop {
        if stop.is_closed() {
            break;
        }
        // At the limit a connection that waits for a request is closed to make room for one that waits to be
        // accepted: silent ones first, the oldest of them first.
        if shared.counters.inbound_open.get() >= shared.connection_limits.max_inbound() {
            let waits = async {
                // An error shows when the connection is accepted.
                let _ = listener.readable().await;
                true
            };
            let stopped = async {
                let _ = stop.recv().await;
                false
            };
            if !future::or(stopped, waits).await {
                continue;
            }
            if shared.eviction_queue.evict_first(shared.clock.now(), MIN_IDLE_BEFORE_EVICTION) {
                shared.counters.inbound_sent_off.increment();
                future::yield_now().await;
            } else {
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            continue;
        }
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        match future::or(stopped, accepted).await {
            None => break,
            // Bounded by `max_inbound`, so there is no turn in between: in it a connection that has not been
            // read yet could be closed to make room for the next one.
            Some(Ok((stream, _))) => spawn_connection(&shared, stream),
            Some(Err(e)) => {
                // Out of file descriptors: wait until some are closed instead of spinning.
                tracing::warn!("http: cannot accept a connection, retrying: {e}");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections in the accept queue are established already: dropped with the listener, their requests
    // would be lost without a response.
    while shared.counters.inbound_open.get() < shared.connection_limits.max_inbound()
        && let Ok((stream, _)) = listener.get_ref().accept()
        && let Ok(stream) = Async::new(stream)
    {
        spawn_connection(&shared, stream);
    }
}

/// Starts an actor for a connection.
fn spawn_connection(shared: &Rc<SharedState>, stream: Async<TcpStream>) {
    shared.counters.inbound_opened.increment();
    shared.counters.inbound_open.increment();
    let (shared, executor) = (shared.clone(), shared.executor.clone());
    let actor = async move {
        Inbound::new(&shared, stream).run().await;
        shared.counters.inbound_open.decrement();
    };
    executor.spawn(actor).detach();
}

/// The actor of a client connection.
struct Inbound<'a> {
    shared: &'a SharedState,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// Distinguishes connections with the same time in the eviction order.
    serial: u64,
    /// Start of the current idle period: when the connection was accepted or last answered.
    idle_since: Micros,
    /// A request of this connection has been answered.
    answered: bool,
    /// Number of requests that were rejected as invalid.
    invalid_requests: u32,
    /// Signals that this connection has to close to make room for others.
    close_signal: (Sender<()>, Receiver<()>),
    /// Memory for the read buffer, and for the request that was read last.
    reservation: InputReservation<'a>,
}

/// What comes next on a connection.
enum NextInput {
    /// The bytes of a complete request, where its body begins, its framing, and when its first byte came.
    Request(Vec<u8>, usize, Framing, Micros),
    Invalid(ClientError),
    /// The memory for the request is needed by others.
    GivenUp,
    Closed,
}

impl<'a> Inbound<'a> {
    fn new(shared: &'a SharedState, stream: Async<TcpStream>) -> Inbound<'a> {
        let _ = stream.get_ref().set_nodelay(true);
        let serial = shared.next_serial();
        Inbound {
            shared,
            stream,
            buffer: Buffer::new(MAX_HEAD_BYTES + MAX_BODY_BYTES),
            serial,
            reservation: InputReservation::new(&shared.input_budget, serial),
            idle_since: shared.clock.now(),
            answered: false,
            invalid_requests: 0,
            close_signal: bounded(1),
        }
    }

    async fn run(mut self) {
        let counters = &self.shared.counters;
        loop {
            let rank = (self.answered, self.idle_since, self.serial);
            // A signal that was sent while a request was processed no longer applies.
            while self.close_signal.1.try_recv().is_ok() {}
            self.shared.eviction_queue.add(rank, self.close_signal.0.clone());
            let input = self.read_request().await;
            self.shared.eviction_queue.remove(rank);
            let (bytes, body_at, framing, received_at) = match input {
                NextInput::Closed => return,
                NextInput::GivenUp => {
                    self.buffer.discard();
                    self.reservation.shrink_to(0);
                    counters.fail_fast.increment();
                    counters.refused_memory.increment();
                    let _ = self.respond(503, Some(FULL_RETRY_AFTER), "", true).await;
                    return self.discard_input().await;
                }
                NextInput::Invalid(ClientError(status, reason)) => {
                    counters.closed_by_error.increment();
                    counters.bad_requests.increment();
                    match status {
                        408 => counters.requests_timed_out.increment(),
                        413 | 431 => counters.requests_too_large.increment(),
                        _ => {}
                    }
                    tracing::debug!(status, reason, "connection closed: its request cannot be read");
                    let _ = self.respond(status, None, reason, true).await;
                    return self.discard_input().await;
                }
                NextInput::Request(bytes, body_at, framing, received_at) => {
                    (bytes, body_at, framing, received_at)
                }
            };
            let close = framing.close
                || self.shared.stopping.get()
                || self.invalid_requests + 1 >= MAX_INVALID_REQUESTS;
            let invalid_before = self.invalid_requests;
            counters.requests_read.increment();
            let pending = PendingResponse::new(&self.shared.invariants);
            let written = match parse(bytes, body_at, received_at) {
                Err(error) => self.reject(error, close).await,
                Ok(Request::Ready) => self.ready(close).await,
                Ok(Request::Counters) => {
                    let text = self.shared.counters_json().to_string();
                    self.respond(200, None, &text, close).await
                }
                Ok(Request::Members) => self.respond_with_json(close, Self::members).await,
                Ok(Request::Duties) => self.respond_with_json(close, Self::duties).await,
                Ok(Request::Submit(message)) => self.submit(*message, close).await,
            };
            self.reservation.shrink_to(self.buffer.capacity());
            pending.resolve();
            if written.is_err() {
                counters.requests_abandoned.increment();
                return;
            }
            counters.requests_answered.increment();
            if close {
                return self.discard_input().await;
            }
            // At full speed such a client could take all processor time.
            if self.invalid_requests > invalid_before {
                async_io::Timer::after(INVALID_REQUEST_DELAY).await;
            }
            (self.answered, self.idle_since) = (true, self.shared.clock.now());
            // The next request may be there already and its response may need no other actor.
            future::yield_now().await;
        }
    }

    /// Without a list nothing can be delivered; with an outdated one most messages can.
    async fn ready(&mut self, close: bool) -> std::io::Result<()> {
        let list_state = self.shared.list_state.borrow().clone();
        match list_state {
            ListState::Missing => self.respond(503, Some(NO_LIST_RETRY_AFTER), "no list yet", close).await,
            ListState::Current => self.respond(200, None, "ready", close).await,
            ListState::Outdated(reason) => {
                self.respond(200, None, &format!("ready, with an old list: {reason}"), close).await
            }
        }
    }

    /// Answers with the status of an actor as JSON, or with 404 where duties are not shared.
    async fn respond_with_json(
        &mut self, close: bool, query: impl AsyncFnOnce(&SharedState, Sender<Value>) -> bool,
    ) -> std::io::Result<()> {
        let (reply, status) = bounded(1);
        if self.shared.peers.is_some()
            && query(self.shared, reply).await
            && let Ok(status) = status.recv().await
        {
            return self.respond(200, None, &status.to_string(), close).await;
        }
        self.reject(ClientError(404, "nothing here"), close).await
    }
    async fn members(shared: &SharedState, reply: Sender<Value>) -> bool {
        match &shared.peers {
            Some(peers) => peers.send(ToPeers::Status(reply)).await.is_ok(),
            None => false,
        }
    }
    async fn duties(shared: &SharedState, reply: Sender<Value>) -> bool {
        shared.core.send(CoreMessage::DescribeDuties(reply)).await.is_ok()
    }

    /// Reads one request.
    async fn read_request(&mut self) -> NextInput {
        let mut first_byte_at = None;
        let mut parsing = IncrementalParsing::default();
        loop {
            if !self.buffer.is_empty() {
                let received_at = *first_byte_at.get_or_insert_with(|| {
                    let now = self.shared.clock.now();
                    self.reservation.begin(now);
                    now
                });
                match parsing.advance(self.buffer.data()) {
                    Ok(Progress::Complete(body_at, end, framing)) => {
                        self.reservation.complete();
                        let bytes = self.buffer.take(end);
                        return NextInput::Request(bytes, body_at, framing, received_at);
                    }
                    Ok(Progress::Head(total)) => self.buffer.expect(total),
                    Ok(Progress::PartOfHead) => {}
                    Err(error) => return NextInput::Invalid(error),
                }
            }
            // The first request is timed from the connection's start, later ones from their first byte.
            let counters = &self.shared.counters;
            let many_open =
                counters.inbound_open.get() * MANY_DIVISOR > self.shared.connection_limits.max_inbound();
            let deadline = match (self.answered, first_byte_at) {
                (false, _) => self.idle_since.plus(REQUEST_TIMEOUT),
                (true, Some(received_at)) => received_at.plus(REQUEST_TIMEOUT),
                (true, None) => {
                    self.idle_since.plus(if many_open { IDLE_TIMEOUT_MANY } else { IDLE_TIMEOUT })
                }
            };
            let shared = self.shared;
            let size = self.buffer.capacity_for_fill();
            let (buffer, stream, reservation) = (&mut self.buffer, &mut self.stream, &mut self.reservation);
            let fill = async {
                if !reservation.grow_to(&shared.clock, size).await {
                    return Some(None);
                }
                let read = async { Some(buffer.fill(stream).await) };
                let given_up = async {
                    reservation.given_up().await;
                    None
                };
                Some(future::or(read, given_up).await)
            };
            let closed = async {
                let timed_out = shared.clock.sleep_until(Some(deadline));
                let close_signal = async { self.close_signal.1.recv().await.unwrap_or_default() };
                // A new connection is not closed on shutdown: its request may be on its way.
                let shutdown = async {
                    match first_byte_at {
                        None if self.answered => shared.shutdown_started.recv().await.unwrap_or_default(),
                        _ => future::pending().await,
                    }
                };
                future::or(timed_out, future::or(close_signal, shutdown)).await;
                None
            };
            match future::or(fill, closed).await {
                Some(None) => return NextInput::GivenUp,
                Some(Some(Ok(n))) if n > 0 => {}
                None if first_byte_at.is_some() => {
                    return NextInput::Invalid(ClientError(408, "request took too long"));
                }
                None => {
                    let reason = if !self.answered {
                        &shared.counters.inbound_silent
                    } else if shared.shutdown_started.is_closed() {
                        &shared.counters.closed_ending
                    } else if many_open && shared.clock.now() >= deadline {
                        &shared.counters.inbound_given_back
                    } else {
                        &shared.counters.closed_quiet
                    };
                    reason.increment();
                    return NextInput::Closed;
                }
                Some(Some(Err(e))) if e.kind() == std::io::ErrorKind::OutOfMemory => {
                    return NextInput::Invalid(ClientError(431, "head too large"));
                }
                Some(Some(Ok(_))) => {
                    shared.counters.closed_by_client.increment();
                    return NextInput::Closed;
                }
                Some(Some(Err(_))) => {
                    shared.counters.closed_by_error.increment();
                    return NextInput::Closed;
                }
            }
        }
    }

    /// Reads and discards input after the final response: closing with unread bytes would reset the
    /// connection before the client has read the response. The amount and the time are limited, so that an
    /// endless request cannot hold the connection.
    async fn discard_input(&mut self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        let deadline = self.shared.clock.now().plus(DISCARD_TIMEOUT);
        let mut discarded = Buffer::new(MAX_HEAD_BYTES);
        let mut remaining = MAX_DISCARD_BYTES;
        let drain = async {
            while let Ok(n) = discarded.fill(&mut self.stream).await {
                discarded.consume(usize::MAX);
                remaining = remaining.saturating_sub(n);
                if n == 0 || remaining == 0 {
                    return;
                }
            }
        };
        self.shared.clock.timeout_at(deadline, drain).await;
    }

    /// Answers an invalid request with a client error.
    async fn reject(&mut self, ClientError(status, reason): ClientError, close: bool) -> std::io::Result<()> {
        self.shared.counters.bad_requests.increment();
        self.invalid_requests += 1;
        self.respond(status, None, reason, close).await
    }

    /// Submits a message to the core and answers with the result.
    async fn submit(&mut self, message: AcceptedMessage, close: bool) -> std::io::Result<()> {
        match PeerState::of(&self.stream) {
            PeerState::Present => {}
            // A client that has left was not told, and may submit the message elsewhere. A refusal is correct in
            // both cases.
            PeerState::SendsNoMore => {
                self.shared.counters.unheard.increment();
                return self.respond(503, None, "", close).await;
            }
            PeerState::Gone => {
                self.shared.counters.unheard.increment();
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        let (reply, core_reply) = bounded(1);
        let submission = CoreMessage::Submit(Submission { message, makes_key: false, reply });
        let reply = match self.shared.core.send(submission).await {
            Ok(()) => core_reply.recv().await.unwrap_or(SubmitReply::FailFast(None)),
            Err(_) => SubmitReply::FailFast(None),
        };
        // The core has the message now. A client that does not read its answer must not hold the memory.
        self.reservation.shrink_to(self.buffer.capacity());
        match reply {
            SubmitReply::Accepted(number) => {
                let delivered = match PeerState::of(&self.stream) {
                    PeerState::SendsNoMore if self.withdraw(number).await => {
                        return self.respond(503, None, "", close).await;
                    }
                    PeerState::Gone => Err(std::io::ErrorKind::ConnectionReset.into()),
                    _ => self.respond(202, None, "", close).await,
                };
                if delivered.is_err() {
                    self.shared.counters.unheard.increment();
                    let _ = self.shared.core.send(CoreMessage::ReplyNotDelivered(number)).await;
                }
                delivered
            }
            SubmitReply::Full => self.respond(503, Some(FULL_RETRY_AFTER), "", close).await,
            SubmitReply::FailFast(wait) => self.respond(503, wait, "", close).await,
            SubmitReply::UnknownClassOrTenant => {
                self.reject(ClientError(400, "unknown class or tenant"), close).await
            }
            SubmitReply::UnknownDestination => {
                self.reject(ClientError(404, "no such destination"), close).await
            }
            SubmitReply::DuplicateId => self.reject(ClientError(409, "this id has been used"), close).await,
        }
    }

    /// Withdraws a message whose client has closed its sending side. That client may be gone and submit the
    /// message elsewhere, or may still wait for the response: if no attempt has begun, a refusal is correct
    /// in both cases. Otherwise the message stays accepted.
    async fn withdraw(&self, number: u64) -> bool {
        let (reply, core_reply) = bounded(1);
        let sent = self.shared.core.send(CoreMessage::WithdrawIfUntried(number, reply)).await.is_ok();
        let withdrawn = sent && core_reply.recv().await.unwrap_or_default();
        if withdrawn {
            self.shared.counters.unheard.increment();
        }
        withdrawn
    }

    /// Writes a response; a client that does not read it in time is an error.
    async fn respond(
        &mut self, status: u16, retry_after: Option<Micros>, text: &str, close: bool,
    ) -> std::io::Result<()> {
        let reason = match status {
            200 => "OK",
            202 => "Accepted",
            404 => "Not Found",
            409 => "Conflict",
            408 => "Request Timeout",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Bad Request",
        };
        let retry_after =
            retry_after.map_or(String::new(), |wait| format!("Retry-After: {:.3}\r\n", wait.secs()));
        let connection = if close { "Connection: close\r\n" } else { "" };
        let length = text.len();
        let bytes = format!(
            "HTTP/1.1 {status} {reason}\r\n{retry_after}{connection}Content-Length: {length}\r\n\r\n{text}"
        );
        let clock = self.shared.clock;
        let written = clock
            .timeout_at(
                clock.now().plus(RESPONSE_WRITE_TIMEOUT),
                write_fully(&mut self.stream, bytes.as_bytes()),
            )
            .await;
        written.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))
    }
}

#[cfg(test)]
mod tests;
