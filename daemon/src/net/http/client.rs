//! One HTTP connection to a server, which carries one call at a time.
//!
//! A response does not name its request, and a server may send a response twice: the second copy may arrive at
//! any time, also while the next call waits for its response. The first response on a connection belongs to
//! the first call. A second call asks the server to close the connection, and only its own response confirms
//! that: the copy of a response after which the connection stayed open does not. A third call would have
//! nothing to tell its response from a copy.

use super::{Framing, MAX_BODY_BYTES, MAX_HEADERS, framing, header_value, parse_seconds};
use crate::clock::Clock;
use crate::net::buffer::{Buffer, write_fully};
use async_io::Async;
use onyxrock::interface::Micros;
use rustix::io::Errno;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

/// Time limit for a head, and for a body, to end once it has begun. No part of a response may come later than this behind
/// the time until which the response may begin, into however many pieces and heads it is cut.
const RESPONSE_END_TIMEOUT: Micros = Micros(250_000);
/// Most interim (1xx) responses that are skipped before the final one.
const MAX_INTERIM_RESPONSES: u32 = 32;
/// Most copies of the first response that are skipped before the second one.
const MAX_COPIES: u32 = 32;

/// The header line by which a call asks the server to close the connection. The head of a second call must
/// contain it.
pub const CLOSE_HEADER: &str = "Connection: close\r\n";

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// The first call has had its response, so that the second one is the last.
    answered_once: bool,
    /// The response that is read last must have ended by then.
    response_end: Micros,
    /// Responses that did not belong to the second call, and how many of them are skipped at most.
    skipped_copies: u32,
    most_copies: u32,
}

/// The Retry-After of a response: the longest, where the header occurs more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAfter {
    /// There is no such header.
    Absent,
    /// The header is not a number of seconds.
    Unreadable,
    /// The time to wait.
    After(Micros),
}

impl RetryAfter {
    fn parse(headers: &[httparse::Header]) -> RetryAfter {
        let values = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("retry-after"));
        let parse = |value| parse_seconds(std::str::from_utf8(value).ok()?.trim());
        values
            .map(|h| parse(h.value).map_or(RetryAfter::Unreadable, RetryAfter::After))
            .max()
            .unwrap_or(RetryAfter::Absent)
    }
}

/// The head of a response, as far as callers use it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub retry_after: RetryAfter,
    /// `X-No-Slot: 1`.
    pub no_slot: bool,
    /// The X-Load header.
    pub load: Option<String>,
    /// Framing of the body, or why the head does not define it.
    framing: Result<Framing, &'static str>,
}

/// Why there is no response.
#[derive(Debug)]
pub enum ResponseError {
    /// No byte of the response arrived in time.
    TimedOut,
    /// The connection was closed or reset before the response.
    Disconnected(io::Error),
    /// Bytes arrived that are not a valid response.
    Malformed(String),
}

impl Response {
    /// The server closes the connection after this response.
    pub fn closes(&self) -> bool {
        self.framing.is_ok_and(|f| f.close)
    }
}

/// Whether a failed connect was caused by this machine and says nothing about the server: it had no file
/// descriptor, port, buffer or route.
pub fn is_local_failure(e: &io::Error) -> bool {
    let local_errors =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::NETUNREACH];
    e.raw_os_error().is_some_and(|code| local_errors.iter().any(|errno| errno.raw_os_error() == code))
}

fn invalid_data(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl From<ResponseError> for io::Error {
    fn from(error: ResponseError) -> io::Error {
        match error {
            ResponseError::TimedOut => io::ErrorKind::TimedOut.into(),
            ResponseError::Disconnected(e) => e,
            ResponseError::Malformed(reason) => invalid_data(&reason),
        }
    }
}

impl Conn {
    /// Connects to `address`. A head of more than `buffer_limit` bytes is an error.
    pub async fn open(address: SocketAddr, buffer_limit: usize) -> io::Result<Conn> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let buffer = Buffer::new(buffer_limit);
        let response_end = Micros(u64::MAX);
        Ok(Conn {
            stream,
            buffer,
            answered_once: false,
            response_end,
            skipped_copies: 0,
            most_copies: MAX_COPIES,
        })
    }

    /// Whether the server has closed the connection or has sent unexpected bytes, which must not be taken
    /// for the next response. Such a connection carries no further call. The check costs one system call.
    pub fn is_stale(&self) -> bool {
        let silent = matches!(self.stream.get_ref().peek(&mut [0]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        !silent || !self.buffer.is_empty()
    }

    /// Whether the next call over this connection is its second and last one.
    pub fn is_answered_once(&self) -> bool {
        self.answered_once
    }

    /// Skips no copies: the server may be one that never confirms the end of a connection, so that no other
    /// response would follow.
    pub fn skip_no_copies(&mut self) {
        self.most_copies = 0;
    }

    /// Responses to the second call that do not confirm the connection's end: copies of the first response,
    /// or the only response of a server that never confirms it.
    pub fn skipped_copies(&self) -> u32 {
        self.skipped_copies
    }

    /// Releases the buffer of a connection that is about to be idle.
    pub fn release_buffer(&mut self) {
        self.buffer.release();
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_fully(&mut self.stream, bytes).await
    }

    /// Writes as much as the socket accepts without waiting; returns the number of bytes written.
    pub fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.get_ref().write(bytes) {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(0),
            result => result,
        }
    }

    /// Waits until the socket accepts more bytes.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Whether the whole body is in the buffer already.
    pub fn body_is_buffered(&self, response: &Response) -> bool {
        let length = response.framing.ok().and_then(|f| f.length.filter(|_| !f.chunked));
        length.is_some_and(|l| l <= self.buffer.data().len())
    }

    /// Reads the head of the response to the call that was written last, which a second call must have asked to
    /// close the connection. Copies of the first response are skipped before the second one. See `read_head`.
    pub async fn read_own_head(
        &mut self, clock: &Clock, deadline: Micros,
    ) -> Result<Response, ResponseError> {
        if !self.answered_once {
            return self.read_head(clock, deadline).await;
        }
        loop {
            let mut response = self.read_head(clock, deadline).await?;
            // The first response was well-formed, or the connection would not have been kept, so a malformed
            // one is no copy of it.
            if response.closes() || response.framing.is_err() {
                return Ok(response);
            }
            self.skipped_copies += 1;
            if self.skipped_copies > self.most_copies {
                return Err(ResponseError::Malformed("it does not confirm the connection's end".into()));
            }
            let end_by = self.part_end(clock.now());
            match clock.timeout_at(end_by, self.discard_body(&mut response)).await {
                Some(Ok(_)) => {}
                Some(Err(e)) => return Err(ResponseError::Malformed(e.to_string())),
                None => return Err(ResponseError::Malformed("the body did not end in time".into())),
            }
        }
    }

    /// When a head or a body that begins now must have ended.
    pub fn part_end(&self, now: Micros) -> Micros {
        now.plus(RESPONSE_END_TIMEOUT).min(self.response_end)
    }

    /// Reads the head of a response. Its first byte may arrive until `deadline`; from then on the head must be
    /// complete within `RESPONSE_END_TIMEOUT`, and so must all else of the response that comes after `deadline`.
    /// A first line with status 200 counts even if the rest of the head cannot be read.
    pub async fn read_head(&mut self, clock: &Clock, deadline: Micros) -> Result<Response, ResponseError> {
        self.response_end = deadline.plus(RESPONSE_END_TIMEOUT);
        let response = self.read_final_head(clock, deadline).await?;
        self.answered_once = true;
        Ok(response)
    }

    /// Reads the next head that is not the one of an interim response.
    async fn read_final_head(&mut self, clock: &Clock, deadline: Micros) -> Result<Response, ResponseError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            if self.buffer.is_empty() {
                clock
                    .timeout_at(deadline, self.fill_buffer())
                    .await
                    .unwrap_or(Err(ResponseError::TimedOut))?;
            }
            let end_by = self.part_end(clock.now());
            match clock.timeout_at(end_by, self.parse_head()).await {
                Some(Ok(interim)) if (100..200).contains(&interim.status) => {}
                Some(Ok(response)) => return Ok(response),
                Some(Err(error @ ResponseError::Malformed(_))) => {
                    return self.parse_ok_first_line().ok_or(error);
                }
                Some(Err(error)) => return self.parse_incomplete_head().ok_or(error),
                None => {
                    let error = ResponseError::Malformed("a head without end".into());
                    return self.parse_incomplete_head().ok_or(error);
                }
            }
        }
        Err(ResponseError::Malformed("interim answers without end".into()))
    }

    /// Reads more bytes into the buffer.
    async fn fill_buffer(&mut self) -> Result<(), ResponseError> {
        match self.buffer.fill(&mut self.stream).await {
            Ok(0) => Err(ResponseError::Disconnected(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                Err(ResponseError::Malformed("a head too long".into()))
            }
            Err(e) => Err(ResponseError::Disconnected(e)),
        }
    }

    /// Reads until the head is complete.
    async fn parse_head(&mut self) -> Result<Response, ResponseError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(self.buffer.data()) {
                Ok(httparse::Status::Complete(n)) => {
                    let headers = &*response.headers;
                    let text = |name| header_value(headers, name).map(str::to_owned);
                    let parsed = Response {
                        status: response.code.unwrap_or(0),
                        retry_after: RetryAfter::parse(headers),
                        no_slot: header_value(headers, "x-no-slot") == Some("1"),
                        load: text("x-load"),
                        framing: framing(response.version, headers),
                    };
                    self.buffer.consume(n);
                    return Ok(parsed);
                }
                Ok(httparse::Status::Partial) => self.fill_buffer().await?,
                Err(e) => return Err(ResponseError::Malformed(e.to_string())),
            }
        }
    }

    /// A response whose head did not arrive completely, if its first line says 200. On a connection that has
    /// been answered before it may be a part of a copy.
    fn parse_incomplete_head(&self) -> Option<Response> {
        if self.answered_once { None } else { self.parse_ok_first_line() }
    }

    /// A response of which only the first line can be read, if that line is complete and its status is 200.
    fn parse_ok_first_line(&self) -> Option<Response> {
        let data = self.buffer.data();
        let line = std::str::from_utf8(&data[..data.iter().position(|b| *b == b'\n')?]).ok()?;
        let status = line.strip_prefix("HTTP/1.")?.trim_end_matches('\r').get(1..)?;
        let is_ok = status == " 200" || status.starts_with(" 200 ");
        let framing = Err("only its first line can be read");
        is_ok.then_some(Response {
            status: 200,
            retry_after: RetryAfter::Absent,
            no_slot: false,
            load: None,
            framing,
        })
    }

    /// Reads and discards the rest of a response. Returns whether the connection can carry another call; an
    /// error if the body does not end as the head says. A second call reads nothing.
    pub async fn discard_body(&mut self, response: &mut Response) -> io::Result<bool> {
        let mut body = self.begin_body(response, MAX_BODY_BYTES)?;
        while self.read_part(&mut body).await?.is_some() {}
        let reusable = body.reusable;
        response.framing = Ok(Framing { length: Some(0), chunked: false, close: !reusable });
        Ok(reusable)
    }

    /// Begins to read the body of a response of at most `max_bytes`.
    pub fn begin_body(&self, response: &Response, max_bytes: usize) -> io::Result<Body> {
        let framing = response.framing.map_err(invalid_data)?;
        if framing.chunked && !matches!(response.status, 204 | 304) {
            return Err(invalid_data("chunked answers are not read"));
        }
        let no_body = matches!(response.status, 204 | 304);
        Ok(Body {
            framing,
            max_bytes,
            bytes_read: 0,
            unconsumed_bytes: 0,
            finished: no_body,
            reusable: !framing.close,
        })
    }

    /// Returns the next part of the body, `None` at its end.
    pub async fn read_part(&mut self, body: &mut Body) -> io::Result<Option<&[u8]>> {
        self.buffer.consume(std::mem::take(&mut body.unconsumed_bytes));
        while !body.finished {
            // A body above the limit is not read to its end.
            if body.framing.length.is_some_and(|l| l > body.max_bytes) || body.bytes_read > body.max_bytes {
                return Err(invalid_data("body too long"));
            }
            let remaining = body.framing.length.map_or(usize::MAX, |l| l - body.bytes_read);
            let n = remaining.min(self.buffer.data().len());
            if n > 0 {
                (body.bytes_read, body.unconsumed_bytes) = (body.bytes_read + n, n);
                return Ok(Some(&self.buffer.data()[..n]));
            }
            if remaining == 0 {
                body.finished = true;
                break;
            }
            match self.fill_buffer().await {
                Ok(()) => {}
                // Without a length, the end of the connection is the end of the body.
                Err(ResponseError::Disconnected(e))
                    if body.framing.length.is_none() && e.kind() == io::ErrorKind::UnexpectedEof =>
                {
                    (body.finished, body.reusable) = (true, false);
                }
                Err(error) => return Err(error.into()),
            }
        }
        Ok(None)
    }
}

/// How far the body of a response has been read.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    max_bytes: usize,
    bytes_read: usize,
    /// Bytes that the last call returned and that are still in the buffer.
    unconsumed_bytes: usize,
    finished: bool,
    /// Valid after the end of the body: the connection can carry another call.
    pub reusable: bool,
}

#[cfg(test)]
mod tests;
