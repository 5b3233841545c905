//! The clients' side: one actor a connection.

use super::{BODY_MOST, Framing, HEADERS, MAX_HEAD_BYTES, client_seconds, framing};
use crate::core_actor::{CoreMessage, Submission, SubmitReply};
use crate::invariants::PendingResponse;
use crate::net::buffer::{Buffer, write_whole};
use crate::net::smpp::Note;
use crate::net::{ListState, SharedState};
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use futures_lite::future;
use onyxrock::core::AcceptedMessage;
use onyxrock::interface::Micros;
use onyxrock_sharing::ToPeers;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// The number of this front in the log.
pub const FRONTEND_ID: u8 = 0;
/// A connection that is new must have said something within this, and its first request must be whole; one that has
/// begun a further request must end it.
const WHOLE: Micros = Micros(2_200_000);
/// A connection without a request is closed so long after its last answer ...
const QUIET: Micros = Micros(5_000_000);
/// ... sooner while more than a quarter of the room is taken: a front that deals out connections has only so many, and
/// one that is kept open here is not given back to it ...
const QUIET_MANY: Micros = Micros(200_000);
const MANY: u64 = 4;
/// ... or to make room for others, if it has been quiet for this.
const SPARE: Micros = Micros(50_000);
/// A client that does not read its answer is not waited for.
const ANSWER: Micros = Micros(2_000_000);
/// A client whose requests are turned away as wrong is read again after a pause, and so often.
const WRONG_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);
const WRONG_MOST: u32 = 8;
/// Of what nobody wants so much is read, so that the answer ahead of the close is not lost.
const SINK: usize = 128 * 1024;
const SINK_FOR: Micros = Micros(200_000);
/// A deadline counts from the client's sending, which lies a little before it is read here; and a notice
/// needs its way too.
const MARGIN: Micros = Micros(100_000);
/// When to come back to a forwarder that has no list yet ...
const LIST_WAIT: Micros = Micros(500_000);
/// ... and to one that holds as much as it may.
const FULL_WAIT: Micros = Micros(1_000_000);
/// Connections that wait to be accepted. A crowd must not fill the row.
const BACKLOG: i32 = 1024;
const FULL_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);
const NAME_MOST: usize = 256;

/// Accepts until `stop` is closed.
pub async fn listen(
    shared: Rc<SharedState>, listener: Async<TcpListener>, stop: async_channel::Receiver<()>,
) {
    if let Err(e) = rustix::net::listen(&listener, BACKLOG) {
        tracing::error!("listen: {e}");
    }
    loop {
        if stop.is_closed() {
            break;
        }
        // Who has said nothing makes room for who comes, the oldest first.
        if shared.counters.inbound_open.get() >= shared.max_inbound {
            if shared.eviction_queue.make_room(shared.clock.now(), SPARE) {
                shared.counters.inbound_sent_off.increment();
                future::yield_now().await;
            } else {
                async_io::Timer::after(FULL_PAUSE).await;
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
            Some(Ok((stream, _))) => serve(&shared, stream),
            Some(Err(e)) => {
                // Out of descriptors: accept again when some have been closed, rather than spin.
                tracing::warn!("accept: {e}");
                async_io::Timer::after(FULL_PAUSE).await;
            }
        }
    }
    // Who stands in the row is connected already: dropped with the listener, its request would be lost without an answer.
    while shared.counters.inbound_open.get() < shared.max_inbound
        && let Ok((stream, _)) = listener.get_ref().accept()
        && let Ok(stream) = Async::new(stream)
    {
        serve(&shared, stream);
    }
}

/// Each connection has an actor of its own.
fn serve(shared: &Rc<SharedState>, stream: Async<TcpStream>) {
    shared.counters.inbound_opened.increment();
    shared.counters.inbound_open.increment();
    let (shared, executor) = (shared.clone(), shared.executor.clone());
    let actor = async move {
        Inbound::new(&shared, stream).run().await;
        shared.counters.inbound_open.decrement();
    };
    executor.spawn(actor).detach();
}

/// What a request asks for.
#[derive(Debug)]
enum Ask {
    Ready,
    Counters,
    Members,
    Duties,
    HandIn(Box<AcceptedMessage>),
}

/// A request that is answered with a client's error; the connection lasts where its framing is sound.
struct Bad(u16, &'static str);

struct Inbound<'a> {
    shared: &'a SharedState,
    stream: Async<TcpStream>,
    buffer: Buffer,
    serial: u64,
    /// Since when it has been quiet: accepted, or answered.
    since: Micros,
    answered: bool,
    /// Requests that were turned away as wrong.
    wrong: u32,
    /// Word that it is to make room.
    go: (Sender<()>, Receiver<()>),
}

enum Next {
    Request(Vec<u8>, usize, Framing, Micros),
    Broken(Bad),
    Closed,
}

impl<'a> Inbound<'a> {
    fn new(shared: &'a SharedState, stream: Async<TcpStream>) -> Inbound<'a> {
        let _ = stream.get_ref().set_nodelay(true);
        Inbound {
            shared,
            stream,
            buffer: Buffer::new(MAX_HEAD_BYTES + BODY_MOST),
            serial: shared.serial(),
            since: shared.clock.now(),
            answered: false,
            wrong: 0,
            go: bounded(1),
        }
    }

    async fn run(mut self) {
        let counters = &self.shared.counters;
        loop {
            let place = (self.answered, self.since, self.serial);
            // What was told before, when a request was on its way, holds no more.
            while self.go.1.try_recv().is_ok() {}
            self.shared.eviction_queue.join(place, self.go.0.clone());
            let next = self.next().await;
            self.shared.eviction_queue.leave(place);
            let (bytes, body_at, f, at) = match next {
                Next::Closed => return,
                Next::Broken(Bad(status, why)) => {
                    counters.closed_by_error.increment();
                    counters.bad_requests.increment();
                    let _ = self.answer(status, None, why, true).await;
                    return self.sink().await;
                }
                Next::Request(head, body_at, f, at) => (head, body_at, f, at),
            };
            let close = f.close || self.shared.stopping.get() || self.wrong + 1 >= WRONG_MOST;
            let wrong = self.wrong;
            counters.requests_read.increment();
            let owed = PendingResponse::new(&self.shared.invariants);
            let done = match parse(&bytes, body_at, at) {
                Err(bad) => self.turn_away(bad, close).await,
                Ok(Ask::Ready) => self.ready(close).await,
                Ok(Ask::Counters) => {
                    let text = self.shared.counters_json().to_string();
                    self.answer(200, None, &text, close).await
                }
                Ok(Ask::Members) => self.show(close, Self::members).await,
                Ok(Ask::Duties) => self.show(close, Self::duties).await,
                Ok(Ask::HandIn(taken)) => self.hand_in(*taken, close).await,
            };
            drop(bytes);
            owed.resolve();
            if done.is_err() {
                counters.requests_abandoned.increment();
                return;
            }
            counters.requests_answered.increment();
            if close {
                return self.sink().await;
            }
            // At full speed such a client would have the processor for itself.
            if self.wrong > wrong {
                async_io::Timer::after(WRONG_PAUSE).await;
            }
            (self.answered, self.since) = (true, self.shared.clock.now());
        }
    }

    /// Without any list nothing can be delivered; with an old one most can.
    async fn ready(&mut self, close: bool) -> std::io::Result<()> {
        let held = self.shared.list_state.borrow().clone();
        match held {
            ListState::Missing => self.answer(503, Some(LIST_WAIT), "no list yet", close).await,
            ListState::Current => self.answer(200, None, "ready", close).await,
            ListState::Outdated(why) => {
                self.answer(200, None, &format!("ready, with an old list: {why}"), close).await
            }
        }
    }

    /// What one of the actors shows, as JSON; there is nothing here where duties are not shared.
    async fn show(
        &mut self, close: bool, ask: impl AsyncFnOnce(&SharedState, Sender<Value>) -> bool,
    ) -> std::io::Result<()> {
        let (reply, shown) = bounded(1);
        if self.shared.peers.is_some()
            && ask(self.shared, reply).await
            && let Ok(v) = shown.recv().await
        {
            return self.answer(200, None, &v.to_string(), close).await;
        }
        self.turn_away(Bad(404, "nothing here"), close).await
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
    async fn next(&mut self) -> Next {
        let mut since = None;
        loop {
            if !self.buffer.is_empty() {
                let at = *since.get_or_insert_with(|| self.shared.clock.now());
                match whole(self.buffer.data()) {
                    Ok(Some((body_at, end, f))) => {
                        let bytes = self.buffer.data()[..end].to_vec();
                        self.buffer.consume(end);
                        return Next::Request(bytes, body_at, f, at);
                    }
                    Ok(None) => {}
                    Err(bad) => return Next::Broken(bad),
                }
            }
            // Time counts from the connection for its first request, and from the first byte for later ones.
            let c = &self.shared.counters;
            let many = c.inbound_open.get() * MANY > self.shared.max_inbound;
            let until = match (self.answered, since) {
                (false, _) => self.since.plus(WHOLE),
                (true, Some(at)) => at.plus(WHOLE),
                (true, None) => self.since.plus(if many { QUIET_MANY } else { QUIET }),
            };
            let shared = self.shared;
            let fill = async { Some(self.buffer.fill(&mut self.stream).await) };
            let give_up = async {
                let late = shared.clock.sleep_until(Some(until));
                let go = async { self.go.1.recv().await.unwrap_or_default() };
                // A new one has not said anything only because it has just come.
                let ending = async {
                    match since {
                        None if self.answered => shared.shutdown_started.recv().await.unwrap_or_default(),
                        _ => future::pending().await,
                    }
                };
                future::or(late, future::or(go, ending)).await;
                None
            };
            match future::or(fill, give_up).await {
                Some(Ok(n)) if n > 0 => {}
                None if since.is_some() => return Next::Broken(Bad(408, "request took too long")),
                None => {
                    let reason = if !self.answered {
                        &shared.counters.inbound_silent
                    } else if shared.shutdown_started.is_closed() {
                        &shared.counters.closed_ending
                    } else if many && shared.clock.now() >= until {
                        &shared.counters.inbound_given_back
                    } else {
                        &shared.counters.closed_quiet
                    };
                    reason.increment();
                    return Next::Closed;
                }
                Some(Err(e)) if e.kind() == std::io::ErrorKind::OutOfMemory => {
                    return Next::Broken(Bad(431, "head too large"));
                }
                Some(Ok(_)) => {
                    shared.counters.closed_by_client.increment();
                    return Next::Closed;
                }
                Some(Err(_)) => {
                    shared.counters.closed_by_error.increment();
                    return Next::Closed;
                }
            }
        }
    }

    /// Closing with unread bytes would reset the connection under the answer. But what is sent on and on is not
    /// read to its end.
    async fn sink(&mut self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        let until = self.shared.clock.now().plus(SINK_FOR);
        let mut sink = Buffer::new(MAX_HEAD_BYTES);
        let mut left = SINK;
        let drain = async {
            while let Ok(n) = sink.fill(&mut self.stream).await {
                sink.consume(usize::MAX);
                left = left.saturating_sub(n);
                if n == 0 || left == 0 {
                    return;
                }
            }
        };
        self.shared.clock.timeout_at(until, drain).await;
    }

    async fn turn_away(&mut self, Bad(status, why): Bad, close: bool) -> std::io::Result<()> {
        self.shared.counters.bad_requests.increment();
        self.wrong += 1;
        self.answer(status, None, why, close).await
    }

    async fn hand_in(&mut self, taken: AcceptedMessage, close: bool) -> std::io::Result<()> {
        let (reply, answer) = bounded(1);
        let message = CoreMessage::Submit(Submission { message: taken, reply });
        let reply = match self.shared.core.send(message).await {
            Ok(()) => answer.recv().await.unwrap_or(SubmitReply::FailFast(None)),
            Err(_) => SubmitReply::FailFast(None),
        };
        match reply {
            SubmitReply::Accepted(n) => {
                let heard = match self.stream.get_ref().peek(&mut [0]) {
                    Ok(0) if self.take_back(n).await => return self.answer(503, None, "", close).await,
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => Err(e),
                    _ => self.answer(202, None, "", close).await,
                };
                if heard.is_err() {
                    self.shared.counters.unheard.increment();
                    let _ = self.shared.core.send(CoreMessage::ReplyNotDelivered(n)).await;
                }
                heard
            }
            SubmitReply::Full => self.answer(503, Some(FULL_WAIT), "", close).await,
            SubmitReply::FailFast(wait) => self.answer(503, wait, "", close).await,
            SubmitReply::UnknownClassOrTenant => {
                self.turn_away(Bad(400, "unknown class or tenant"), close).await
            }
            SubmitReply::UnknownDestination => self.turn_away(Bad(404, "no such destination"), close).await,
            SubmitReply::DuplicateId => self.turn_away(Bad(409, "this id has been used"), close).await,
        }
    }

    /// Who sends no more may be gone, and hand it in elsewhere, or may wait for its answer: if nothing of it has begun, a
    /// refusal is true for both. Else it is owed as it was taken on.
    async fn take_back(&self, n: u64) -> bool {
        let (reply, back) = bounded(1);
        let asked = self.shared.core.send(CoreMessage::WithdrawIfUntried(n, reply)).await.is_ok();
        let back = asked && back.recv().await.unwrap_or_default();
        if back {
            self.shared.counters.unheard.increment();
        }
        back
    }

    async fn answer(
        &mut self, status: u16, wait: Option<Micros>, text: &str, close: bool,
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
        let wait = wait.map_or(String::new(), |w| format!("Retry-After: {:.3}\r\n", w.secs()));
        let end = if close { "Connection: close\r\n" } else { "" };
        let n = text.len();
        let bytes = format!("HTTP/1.1 {status} {reason}\r\n{wait}{end}Content-Length: {n}\r\n\r\n{text}");
        let clock = self.shared.clock;
        let written =
            clock.timeout_at(clock.now().plus(ANSWER), write_whole(&mut self.stream, bytes.as_bytes())).await;
        written.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))
    }
}

/// Where the body begins and the request ends, once it is all there.
fn whole(data: &[u8]) -> Result<Option<(usize, usize, Framing)>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let body_at = match request.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > MAX_HEAD_BYTES => {
            return Err(Bad(431, "head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Bad(400, "not HTTP")),
    };
    let f = framing(request.version, request.headers).map_err(|why| Bad(400, why))?;
    if f.chunked {
        return Err(Bad(411, "a length is needed"));
    }
    let length = f.length.unwrap_or(0);
    if length > BODY_MOST {
        return Err(Bad(413, "body too large"));
    }
    let end = body_at + length;
    Ok((data.len() >= end).then_some((body_at, end, f)))
}

/// A header that says one thing, or is not there. Twice, or with bytes that nobody prints, it could mean one thing
/// here and another at the endpoint.
fn only<'h>(headers: &'h [httparse::Header], name: &str) -> Result<Option<&'h str>, Bad> {
    one(headers, name, |c| c == ' ' || c.is_ascii_graphic())
}

/// The same of a name that the settings give, which may be any text and goes to nobody.
fn named<'h>(headers: &'h [httparse::Header], name: &str) -> Result<Option<&'h str>, Bad> {
    one(headers, name, |c| !c.is_control())
}

fn one<'h>(
    headers: &'h [httparse::Header], name: &str, fits: impl Fn(char) -> bool,
) -> Result<Option<&'h str>, Bad> {
    let mut all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    let Some(h) = all.next() else { return Ok(None) };
    let text = std::str::from_utf8(h.value).ok().map(str::trim);
    match (text.filter(|t| t.len() <= NAME_MOST && t.chars().all(fits)), all.next()) {
        (Some(text), None) => Ok(Some(text)),
        _ => Err(Bad(400, "a header that cannot be used")),
    }
}

/// The first part of a path is this class, as it is or percent-encoded; it may hold what ends a part elsewhere.
fn leads_to(target: &str, class: &str) -> bool {
    let target = target.trim_start_matches('/');
    let decoded = percent_decode_str(target).decode_utf8_lossy();
    let is =
        |t: &str| t.strip_prefix(class).is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']));
    target.is_empty() || target.starts_with('?') || is(target) || is(&decoded)
}

fn parse(bytes: &[u8], body_at: usize, at: Micros) -> Result<Ask, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(bytes).map_err(|_| Bad(400, "not HTTP"))?;
    let target = request.path.unwrap_or("");
    let path = target.split('?').next().unwrap_or("");
    let h = &*request.headers;
    match (request.method.unwrap_or(""), path) {
        ("GET", "/ready") => return Ok(Ask::Ready),
        ("GET", "/counters") => return Ok(Ask::Counters),
        ("GET", "/members") => return Ok(Ask::Members),
        ("GET", "/duties") => return Ok(Ask::Duties),
        ("POST", _) => {}
        _ => return Err(Bad(404, "nothing here")),
    }
    let in_path = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let in_path = percent_decode_str(in_path).decode_utf8_lossy();
    let class = named(h, "x-class")?.unwrap_or(&in_path);
    if !leads_to(target, class) {
        return Err(Bad(400, "class in path and header differ"));
    }
    let id = only(h, "x-request-id")?.filter(|i| !i.is_empty()).ok_or(Bad(400, "no X-Request-Id"))?;
    let key = only(h, "idempotency-key")?.unwrap_or("");
    let left = only(h, "x-deadline")?.and_then(client_seconds).ok_or(Bad(400, "bad X-Deadline"))?;
    let envelope = only(h, "x-envelope")?.unwrap_or("");
    let digits = |d: &&str| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit());
    let destination = envelope
        .split([',', ';', ' '])
        .find_map(|f| f.trim().strip_prefix("dest="))
        .filter(digits)
        .and_then(|d| d.parse().ok())
        .ok_or(Bad(400, "no dest in X-Envelope"))?;
    // A gateway needs an address, which HTTP clients may give beside the destination.
    let to = envelope.split([',', ';', ' ']).find_map(|f| f.trim().strip_prefix("to="));
    let note = to.map_or(String::new(), |to| Note { destination: to.into(), ..Note::default() }.write());
    let margin = MARGIN.min(Micros(left.0 / 8));
    Ok(Ask::HandIn(Box::new(AcceptedMessage {
        number: 0,
        frontend: FRONTEND_ID,
        request_id: id.to_owned(),
        class: class.to_owned(),
        recorded_class: None,
        tenant: named(h, "x-tenant")?.unwrap_or("").to_owned(),
        destination,
        idempotency_key: key.to_owned(),
        frontend_note: note,
        wants_receipt: false,
        deadline: at.plus(left.since(margin)),
        body: bytes[body_at..].to_vec(),
    })))
}

#[cfg(test)]
mod tests;
