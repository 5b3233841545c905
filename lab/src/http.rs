//! The part of HTTP/1.1 that the stand-ins need.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    /// Epoch of the lease under which the request was sent, from `X-Epoch`.
    pub epoch: Option<u64>,
    /// The message's id from `X-Request-Id`; empty if the request has none.
    pub id: String,
    pub body: Vec<u8>,
    /// Whether it asks to close the connection behind its response.
    pub closes: bool,
    /// When the first byte of the request arrived.
    pub first_byte_at: Instant,
}

/// The server's side of a connection, over which the client sends one request at a time.
pub struct ServerConnection {
    pub stream: Async<TcpStream>,
    /// Received bytes that are not part of a complete request yet.
    buffer: Vec<u8>,
    /// When the first byte in the buffer arrived.
    first_byte_at: Option<Instant>,
    /// The client has asked to close the connection behind the response to its last request.
    closes: bool,
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl ServerConnection {
    /// Takes over an accepted connection.
    pub fn new(stream: Async<TcpStream>) -> ServerConnection {
        let _ = stream.get_ref().set_nodelay(true);
        ServerConnection { stream, buffer: Vec::new(), first_byte_at: None, closes: false }
    }

    /// Returns the next request, or `None` once the client has closed the connection.
    pub async fn next_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((request, length)) = self.parse()? {
                self.buffer.drain(..length);
                self.first_byte_at = None;
                self.closes = request.closes;
                return Ok(Some(request));
            }
            let mut chunk = [0; 4096];
            let length = self.stream.read(&mut chunk).await?;
            if length == 0 {
                return Ok(None);
            }
            self.first_byte_at.get_or_insert_with(Instant::now);
            self.buffer.extend(&chunk[..length]);
        }
    }

    /// Parses a complete request at the start of the buffer; returns it with its length in bytes.
    fn parse(&self) -> io::Result<Option<(Request, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(head_length)) = head.parse(&self.buffer) else {
            return if self.buffer.len() > 64 * 1024 {
                Err(invalid_data("the request head is longer than 64 KiB or malformed"))
            } else {
                Ok(None)
            };
        };
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::to_owned)
        };
        let body_length: usize = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        if self.buffer.len() < head_length + body_length {
            return Ok(None);
        }
        let text = |t: Option<&str>| t.unwrap_or("").to_owned();
        let epoch = header("x-epoch").and_then(|value| value.parse().ok());
        let request = Request {
            method: text(head.method),
            path: text(head.path),
            epoch,
            id: header("x-request-id").unwrap_or_default(),
            closes: header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
            body: self.buffer[head_length..head_length + body_length].to_vec(),
            first_byte_at: self.first_byte_at.unwrap_or_else(Instant::now),
        };
        Ok(Some((request, head_length + body_length)))
    }

    /// Sends a response, and closes the connection if the request asked for that. `headers` are complete
    /// lines, each with its CRLF.
    pub async fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let connection = if self.closes { "Connection: close\r\n" } else { "" };
        let length = body.len();
        let text =
            format!("HTTP/1.1 {status} X\r\n{headers}{connection}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(text.as_bytes()).await?;
        if self.closes { self.stream.get_ref().shutdown(std::net::Shutdown::Write) } else { Ok(()) }
    }

    /// Waits until the client closes the connection. Bytes that arrive meanwhile are discarded.
    pub async fn wait_for_close(&mut self) {
        let mut chunk = [0; 1024];
        while self.stream.read(&mut chunk).await.is_ok_and(|length| length > 0) {}
    }
}

/// Sends one request over its own connection. Returns the status and the body of the response, or `None` if
/// there is none in time.
pub async fn send_request(address: SocketAddr, request: &str, timeout: Duration) -> Option<(u16, String)> {
    let call = async {
        let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut buffer = Vec::new();
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut head = httparse::Response::new(&mut headers);
            if let Ok(httparse::Status::Complete(head_length)) = head.parse(&buffer) {
                let length_header =
                    head.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
                let body_length: usize =
                    std::str::from_utf8(length_header.value).ok()?.trim().parse().ok()?;
                if buffer.len() >= head_length + body_length {
                    let body =
                        String::from_utf8_lossy(&buffer[head_length..head_length + body_length]).into_owned();
                    return Some((head.code?, body));
                }
            }
            let mut chunk = [0; 4096];
            let length = stream.read(&mut chunk).await.ok()?;
            if length == 0 {
                return None;
            }
            buffer.extend(&chunk[..length]);
        }
    };
    let deadline = async {
        async_io::Timer::after(timeout).await;
        None
    };
    futures_lite::future::or(call, deadline).await
}
