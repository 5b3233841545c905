//! The clients' side: one actor a connection.

use super::{BODY_MOST, Framing, HEAD_MOST, HEADERS, framing, header, seconds};
use crate::module::{HandIn, Reply, ToModule};
use crate::net::Shared;
use crate::net::buffer::Buffer;
use crate::net::smpp::Note;
use async_channel::bounded;
use async_io::Async;
use futures_lite::{AsyncWriteExt, future};
use onyxrock::core::Taken;
use onyxrock::interface::Micros;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// The number of this front in the log.
pub const FRONT: u8 = 0;
/// A request that has begun must be whole within this.
const WHOLE: Micros = Micros(10_000_000);
/// A deadline counts from the client's sending, which lies a little before it is read here; and a notice
/// needs its way too.
const MARGIN: Micros = Micros(100_000);
/// When to come back to a forwarder that holds as much as it may.
const FULL_WAIT: Micros = Micros(1_000_000);
/// A connection that has not said anything yet may have its request on the way.
const FIRST: Micros = Micros(2_000_000);
/// With so large a part of the room for connections taken, one that falls idle is closed.
const CROWDED: f64 = 0.8;
/// Beyond the room there is still enough to say no; but descriptors for the endpoints must be left.
const MORE: f64 = 1.25;
const FULL_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Accepts until `stop` is closed.
pub async fn listen(shared: Rc<Shared>, listener: Async<TcpListener>, stop: async_channel::Receiver<()>) {
    let most = (shared.inbound_most as f64 * MORE) as u64;
    loop {
        let open = shared.counters.inbound_open.get();
        if open as f64 > CROWDED * shared.inbound_most as f64 {
            let _ = shared.crowd.try_send(());
        }
        if open >= most && !stop.is_closed() {
            async_io::Timer::after(FULL_PAUSE).await;
            continue;
        }
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        match future::or(accepted, stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                shared.counters.inbound_opened.up();
                shared.counters.inbound_open.up();
                let shared = shared.clone();
                let executor = shared.executor.clone();
                executor
                    .spawn(async move {
                        Inbound::new(&shared, stream).run().await;
                        shared.counters.inbound_open.down();
                    })
                    .detach();
            }
            Some(Err(e)) => {
                // Out of descriptors: accept again when some have been closed, rather than spin.
                eprintln!("accept: {e}");
                async_io::Timer::after(FULL_PAUSE).await;
            }
        }
    }
}

/// What a request asks for.
#[derive(Debug)]
enum Ask {
    Ready,
    Counters,
    HandIn(Box<Taken>),
}

/// A request that is answered with a client's error; the connection lasts where its framing is sound.
struct Bad(u16, &'static str);

struct Inbound<'a> {
    shared: &'a Shared,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// When it may be closed for others: not before its first request has had time to come.
    spare_from: Micros,
}

enum Next {
    Request(Vec<u8>, usize, Framing, Micros),
    Broken(Bad),
    Closed,
}

impl<'a> Inbound<'a> {
    fn new(shared: &'a Shared, stream: Async<TcpStream>) -> Inbound<'a> {
        let _ = stream.get_ref().set_nodelay(true);
        let spare_from = shared.clock.now().after(FIRST);
        Inbound { shared, stream, buffer: Buffer::new(HEAD_MOST + BODY_MOST), spare_from }
    }

    async fn run(mut self) {
        let counters = &self.shared.counters;
        if counters.inbound_open.get() > self.shared.inbound_most {
            counters.inbound_turned_away.up();
        }
        loop {
            let next = match self.next().await {
                Next::Closed => return,
                Next::Broken(Bad(status, why)) => {
                    counters.bad_requests.up();
                    let _ = self.answer(status, None, why, true).await;
                    return;
                }
                Next::Request(head, body_at, f, at) => (head, body_at, f, at),
            };
            let (bytes, body_at, f, at) = next;
            let full = counters.inbound_open.get() > self.shared.inbound_most;
            let crowded = counters.inbound_open.get() as f64 > CROWDED * self.shared.inbound_most as f64;
            let close = f.close || crowded || self.shared.stopping.get();
            let done = match parse(&bytes, body_at, at) {
                Err(Bad(status, why)) => {
                    counters.bad_requests.up();
                    self.answer(status, None, why, close).await
                }
                Ok(Ask::Ready) => self.answer(200, None, "ready", close).await,
                Ok(Ask::Counters) => {
                    let text = counters.json().to_string();
                    self.answer(200, None, &text, close).await
                }
                Ok(Ask::HandIn(_)) if full => {
                    counters.fail_fast.up();
                    self.answer(503, None, "too many connections", true).await
                }
                Ok(Ask::HandIn(taken)) => self.hand_in(*taken, close).await,
            };
            if done.is_err() || close {
                return;
            }
        }
    }

    /// Reads one request. Between requests it waits for as long as the process wants connections.
    async fn next(&mut self) -> Next {
        let mut since = None;
        loop {
            if !self.buffer.is_empty() {
                let at = *since.get_or_insert_with(|| self.shared.clock.now());
                match whole(self.buffer.data()) {
                    Ok(Some((body_at, end, f))) => {
                        let bytes = self.buffer.data()[..end].to_vec();
                        self.buffer.consume(end);
                        self.spare_from = at;
                        return Next::Request(bytes, body_at, f, at);
                    }
                    Ok(None) => {}
                    Err(bad) => return Next::Broken(bad),
                }
            }
            let fill = async { Some(self.buffer.fill(&mut self.stream).await) };
            let shared = self.shared;
            let give_up = async {
                match since {
                    Some(at) => shared.clock.until(Some(at.after(WHOLE))).await,
                    None => {
                        let ending = async { shared.ending.recv().await.unwrap_or_default() };
                        let spare_from = self.spare_from;
                        let crowded = async {
                            shared.clock.until(Some(spare_from)).await;
                            shared.make_room.recv().await.unwrap_or_default();
                        };
                        future::or(ending, crowded).await;
                    }
                }
                None
            };
            match future::or(fill, give_up).await {
                Some(Ok(n)) if n > 0 => {}
                None if since.is_some() => return Next::Broken(Bad(408, "request took too long")),
                Some(Err(e)) if e.kind() == std::io::ErrorKind::OutOfMemory => {
                    return Next::Broken(Bad(431, "head too large"));
                }
                _ => return Next::Closed,
            }
        }
    }

    async fn hand_in(&mut self, taken: Taken, close: bool) -> std::io::Result<()> {
        let (reply, answer) = bounded(1);
        let letter = ToModule::HandIn(HandIn { taken, reply });
        let reply = match self.shared.module.send(letter).await {
            Ok(()) => answer.recv().await.unwrap_or(Reply::FailFast(None)),
            Err(_) => Reply::FailFast(None),
        };
        match reply {
            Reply::Taken(n) => {
                // A client that has closed meanwhile may hand it in elsewhere: it must not be owed twice.
                let gone = matches!(self.stream.get_ref().peek(&mut [0]), Ok(0))
                    || matches!(self.stream.get_ref().peek(&mut [0]),
                        Err(e) if e.kind() != std::io::ErrorKind::WouldBlock);
                let heard = if gone {
                    Err(std::io::ErrorKind::ConnectionReset.into())
                } else {
                    self.answer(202, None, "", close).await
                };
                if heard.is_err() {
                    self.shared.counters.unheard.up();
                    let _ = self.shared.module.send(ToModule::Unheard(n)).await;
                }
                heard
            }
            Reply::Full => self.answer(503, Some(FULL_WAIT), "", close).await,
            Reply::FailFast(wait) => self.answer(503, wait, "", close).await,
            Reply::Unknown => {
                self.shared.counters.bad_requests.up();
                self.answer(400, None, "unknown class or tenant", close).await
            }
        }
    }

    async fn answer(
        &mut self, status: u16, wait: Option<Micros>, text: &str, close: bool,
    ) -> std::io::Result<()> {
        let reason = match status {
            200 => "OK",
            202 => "Accepted",
            404 => "Not Found",
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
        self.stream.write_all(bytes.as_bytes()).await?;
        if close {
            // Closing with unread bytes would reset the connection under the answer.
            let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
            let until = self.shared.clock.now().after(Micros(200_000));
            let mut sink = Buffer::new(HEAD_MOST);
            let drain = async {
                while sink.fill(&mut self.stream).await.is_ok_and(|n| n > 0) {
                    sink.consume(usize::MAX);
                }
            };
            self.shared.clock.before(until, drain).await;
        }
        Ok(())
    }
}

/// Where the body begins and the request ends, once it is all there.
fn whole(data: &[u8]) -> Result<Option<(usize, usize, Framing)>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let body_at = match request.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > HEAD_MOST => return Err(Bad(431, "head too large")),
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

fn parse(bytes: &[u8], body_at: usize, at: Micros) -> Result<Ask, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(bytes).map_err(|_| Bad(400, "not HTTP"))?;
    let path = request.path.unwrap_or("");
    let path = path.split('?').next().unwrap_or("");
    let h = &*request.headers;
    match (request.method.unwrap_or(""), path) {
        ("GET", "/ready") => return Ok(Ask::Ready),
        ("GET", "/counters") => return Ok(Ask::Counters),
        ("POST", _) => {}
        _ => return Err(Bad(404, "nothing here")),
    }
    let in_path = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let class = header(h, "x-class").unwrap_or(in_path);
    if !in_path.is_empty() && class != in_path {
        return Err(Bad(400, "class in path and header differ"));
    }
    let id = header(h, "x-request-id").filter(|i| !i.is_empty()).ok_or(Bad(400, "no X-Request-Id"))?;
    let left = header(h, "x-deadline").and_then(seconds).ok_or(Bad(400, "bad X-Deadline"))?;
    let envelope = header(h, "x-envelope").unwrap_or("");
    let destination = envelope
        .split([',', ';', ' '])
        .find_map(|f| f.trim().strip_prefix("dest="))
        .and_then(|d| d.parse().ok())
        .ok_or(Bad(400, "no dest in X-Envelope"))?;
    // A gateway needs an address, which HTTP clients may give beside the destination.
    let to = envelope.split([',', ';', ' ']).find_map(|f| f.trim().strip_prefix("to="));
    let note = to.map_or(String::new(), |to| Note { destination: to.into(), ..Note::default() }.write());
    let margin = MARGIN.min(Micros(left.0 / 8));
    Ok(Ask::HandIn(Box::new(Taken {
        n: 0,
        front: FRONT,
        id: id.to_owned(),
        class: class.to_owned(),
        tenant: header(h, "x-tenant").unwrap_or("").to_owned(),
        destination,
        key: header(h, "idempotency-key").unwrap_or("").to_owned(),
        note,
        receipt: false,
        deadline: at.after(left.since(margin)),
        body: bytes[body_at..].to_vec(),
    })))
}
