//! The few words of HTTP/1.1 that the stand-ins need.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    /// Of the lease under which it was sent; none where it does not say.
    pub epoch: Option<u64>,
    /// The id of its message; empty where it has none.
    pub id: String,
    pub body: Vec<u8>,
    /// When its first byte came.
    pub first_byte_at: Instant,
}

/// A connection that requests come over, one at a time.
pub struct ServerConnection {
    pub stream: Async<TcpStream>,
    bytes: Vec<u8>,
    /// When the first of these bytes came.
    began: Option<Instant>,
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl ServerConnection {
    pub fn new(stream: Async<TcpStream>) -> ServerConnection {
        let _ = stream.get_ref().set_nodelay(true);
        ServerConnection { stream, bytes: Vec::new(), began: None }
    }

    /// The next request; none when the other side has closed.
    pub async fn next_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((request, n)) = self.parse()? {
                self.bytes.drain(..n);
                self.began = None;
                return Ok(Some(request));
            }
            let mut some = [0; 4096];
            let n = self.stream.read(&mut some).await?;
            if n == 0 {
                return Ok(None);
            }
            self.began.get_or_insert_with(Instant::now);
            self.bytes.extend(&some[..n]);
        }
    }

    fn parse(&self) -> io::Result<Option<(Request, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut r = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(at)) = r.parse(&self.bytes) else {
            return if self.bytes.len() > 64 * 1024 { Err(bad("a head without end")) } else { Ok(None) };
        };
        let header = |name: &str| {
            let h = r.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            h.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::to_owned)
        };
        let length: usize = header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        if self.bytes.len() < at + length {
            return Ok(None);
        }
        let text = |t: Option<&str>| t.unwrap_or("").to_owned();
        let epoch = header("x-epoch").and_then(|e| e.parse().ok());
        let request = Request {
            method: text(r.method),
            path: text(r.path),
            epoch,
            id: header("x-request-id").unwrap_or_default(),
            body: self.bytes[at..at + length].to_vec(),
            first_byte_at: self.began.unwrap_or_else(Instant::now),
        };
        Ok(Some((request, at + length)))
    }

    pub async fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).await
    }

    /// Waits until the other side closes. What it sends meanwhile is thrown away.
    pub async fn wait_for_close(&mut self) {
        let mut some = [0; 1024];
        while self.stream.read(&mut some).await.is_ok_and(|n| n > 0) {}
    }
}

/// One request over a connection of its own: status and body. Nothing where there is no answer in time.
pub async fn send_request(to: SocketAddr, request: &str, within: Duration) -> Option<(u16, String)> {
    let call = async {
        let mut stream = Async::<TcpStream>::connect(to).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut r = httparse::Response::new(&mut headers);
            if let Ok(httparse::Status::Complete(at)) = r.parse(&bytes) {
                let length = r.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
                let length: usize = std::str::from_utf8(length.value).ok()?.trim().parse().ok()?;
                if bytes.len() >= at + length {
                    let body = String::from_utf8_lossy(&bytes[at..at + length]).into_owned();
                    return Some((r.code?, body));
                }
            }
            let mut some = [0; 4096];
            let n = stream.read(&mut some).await.ok()?;
            if n == 0 {
                return None;
            }
            bytes.extend(&some[..n]);
        }
    };
    let late = async {
        async_io::Timer::after(within).await;
        None
    };
    futures_lite::future::or(call, late).await
}
