//! One connection to a server: calls go over it one at a time.

use super::{Framing, HEADERS, framing, header};
use crate::net::buffer::Buffer;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};

#[derive(Debug)]
pub struct Conn {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// The first line and headers of an answer, as far as anybody here asks for them.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub no_slot: bool,
    pub load: Option<String>,
    framing: Framing,
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Conn {
    pub async fn open(to: SocketAddr, cap: usize) -> io::Result<Conn> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Conn { stream, buffer: Buffer::new(cap) })
    }

    /// The server has closed it or has said something unasked: no call may go over it. Looking costs one call
    /// of the system; not looking costs a request that may have run.
    pub fn stale(&self) -> bool {
        let mut byte = [0];
        let silent = matches!(self.stream.get_ref().peek(&mut byte),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        !silent || !self.buffer.is_empty()
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    pub async fn head(&mut self) -> io::Result<Answer> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut answer = httparse::Response::new(&mut headers);
            match answer.parse(self.buffer.data()) {
                Ok(httparse::Status::Complete(n)) => {
                    let h = &*answer.headers;
                    let status = answer.code.unwrap_or(0);
                    let text = |name| header(h, name).map(str::to_owned);
                    let read = Answer {
                        status,
                        retry_after: text("retry-after"),
                        no_slot: header(h, "x-no-slot") == Some("1"),
                        load: text("x-load"),
                        framing: framing(answer.version, h).map_err(bad)?,
                    };
                    self.buffer.consume(n);
                    if !(100..200).contains(&status) {
                        return Ok(read);
                    }
                }
                Ok(httparse::Status::Partial) => {
                    if self.buffer.fill(&mut self.stream).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(e) => return Err(bad(&e.to_string())),
            }
        }
    }

    /// Reads the rest of an answer. The body, and whether the connection can take another call.
    pub async fn body(&mut self, answer: &Answer) -> io::Result<(Vec<u8>, bool)> {
        let f = answer.framing;
        if matches!(answer.status, 204 | 304) {
            return Ok((Vec::new(), !f.close));
        }
        if f.chunked {
            return Err(bad("chunked answers are not read"));
        }
        let mut body = Vec::new();
        loop {
            let left = f.length.map_or(usize::MAX, |l| l - body.len());
            let n = left.min(self.buffer.data().len());
            body.extend_from_slice(&self.buffer.data()[..n]);
            self.buffer.consume(n);
            if n == left {
                return Ok((body, !f.close));
            }
            if self.buffer.fill(&mut self.stream).await? == 0 {
                // Without a length the end of the connection is the end of the body.
                return if f.length.is_none() { Ok((body, false)) } else { Err(bad("body cut short")) };
            }
        }
    }
}
