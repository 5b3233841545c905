//! One connection to a server: calls go over it one at a time.

use super::{BODY_MOST, Framing, HEADERS, framing, header, seconds};
use crate::clock::Clock;
use crate::net::buffer::{Buffer, write_whole};
use async_io::Async;
use onyxrock::interface::Micros;
use rustix::io::Errno;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

/// How long an answer that has begun may take to end.
pub const TAIL: Micros = Micros(250_000);
/// Answers of the kind "not yet" that may come ahead of one.
const INTERIM_MOST: u32 = 32;

#[derive(Debug)]
pub struct Conn {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// What an answer says of when to come again: the longest, where it says it more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Again {
    Unsaid,
    /// It says something that is no time.
    Unread,
    After(Micros),
}

impl Again {
    fn read(headers: &[httparse::Header]) -> Again {
        let said = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("retry-after"));
        let read = |value| seconds(std::str::from_utf8(value).ok()?.trim());
        said.map(|h| read(h.value).map_or(Again::Unread, Again::After)).max().unwrap_or(Again::Unsaid)
    }
}

/// The first line and headers of an answer, as far as anybody here asks for them.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub again: Again,
    pub no_slot: bool,
    pub load: Option<String>,
    /// Where it ends; or why nothing says that.
    framing: Result<Framing, &'static str>,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Lost {
    TimedOut,
    /// The connection broke or ended before it.
    Broken(io::Error),
    /// Something else came in its place.
    Spoilt(String),
}

impl Answer {
    /// The server ends the connection with it.
    pub fn closes(&self) -> bool {
        self.framing.is_ok_and(|f| f.close)
    }
}

/// A failed connect that tells of this machine and not of the one that was to be reached: no descriptor, port, buffer or
/// route was there for it.
pub fn is_local(e: &io::Error) -> bool {
    let local =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::NETUNREACH];
    e.raw_os_error().is_some_and(|code| local.iter().any(|errno| errno.raw_os_error() == code))
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl From<Lost> for io::Error {
    fn from(lost: Lost) -> io::Error {
        match lost {
            Lost::TimedOut => io::ErrorKind::TimedOut.into(),
            Lost::Broken(e) => e,
            Lost::Spoilt(why) => bad(&why),
        }
    }
}

impl Conn {
    pub async fn open(to: SocketAddr, cap: usize) -> io::Result<Conn> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Conn { stream, buffer: Buffer::new(cap) })
    }

    /// The server has closed it or has said something unasked: no call may go over it, and what is there must
    /// not answer the next one. Looking costs one call of the system.
    pub fn is_stale(&self) -> bool {
        let silent = matches!(self.stream.get_ref().peek(&mut [0]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        !silent || !self.buffer.is_empty()
    }

    /// It waits for its next call.
    pub fn rest_buffer(&mut self) {
        self.buffer.release();
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_whole(&mut self.stream, bytes).await
    }

    /// Writes what there is room for now, and says how much that was.
    pub fn put(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.get_ref().write(bytes) {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(0),
            done => done,
        }
    }

    /// Comes to its end once there is room for more.
    pub async fn room(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// All of the body is here already.
    pub fn whole(&self, answer: &Answer) -> bool {
        let length = answer.framing.ok().and_then(|f| f.length.filter(|_| !f.chunked));
        length.is_some_and(|l| l <= self.buffer.data().len())
    }

    /// Reads the head of the answer. Its first byte may come until `until`; what has begun must end soon, or it
    /// is no answer. One whose first line says 200 is true, whatever follows that line.
    pub async fn read_head(&mut self, clock: &Clock, until: Micros) -> Result<Answer, Lost> {
        for _ in 0..=INTERIM_MOST {
            if self.buffer.is_empty() {
                clock.timeout_at(until, self.more()).await.unwrap_or(Err(Lost::TimedOut))?;
            }
            let soon = clock.now().plus(TAIL);
            let read = clock.timeout_at(soon, self.head()).await;
            match read.unwrap_or(Err(Lost::Spoilt("a head without end".into()))) {
                Ok(interim) if (100..200).contains(&interim.status) => {}
                Ok(answer) => return Ok(answer),
                Err(lost) => return self.first_line().ok_or(lost),
            }
        }
        Err(Lost::Spoilt("interim answers without end".into()))
    }

    async fn more(&mut self) -> Result<(), Lost> {
        match self.buffer.fill(&mut self.stream).await {
            Ok(0) => Err(Lost::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::OutOfMemory => Err(Lost::Spoilt("a head too long".into())),
            Err(e) => Err(Lost::Broken(e)),
        }
    }

    async fn head(&mut self) -> Result<Answer, Lost> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut answer = httparse::Response::new(&mut headers);
            match answer.parse(self.buffer.data()) {
                Ok(httparse::Status::Complete(n)) => {
                    let h = &*answer.headers;
                    let text = |name| header(h, name).map(str::to_owned);
                    let read = Answer {
                        status: answer.code.unwrap_or(0),
                        again: Again::read(h),
                        no_slot: header(h, "x-no-slot") == Some("1"),
                        load: text("x-load"),
                        framing: framing(answer.version, h),
                    };
                    self.buffer.consume(n);
                    return Ok(read);
                }
                Ok(httparse::Status::Partial) => self.more().await?,
                Err(e) => return Err(Lost::Spoilt(e.to_string())),
            }
        }
    }

    /// An answer of which only the first line can be read, if that line is whole and says 200.
    fn first_line(&self) -> Option<Answer> {
        let data = self.buffer.data();
        let line = std::str::from_utf8(&data[..data.iter().position(|b| *b == b'\n')?]).ok()?;
        let status = line.strip_prefix("HTTP/1.")?.trim_end_matches('\r').get(1..)?;
        let ok = status == " 200" || status.starts_with(" 200 ");
        let framing = Err("only its first line can be read");
        ok.then_some(Answer { status: 200, again: Again::Unsaid, no_slot: false, load: None, framing })
    }

    /// Reads the rest of an answer and keeps nothing of it. Whether the connection can take another call; an
    /// error where the answer does not end as its head says. Reading again reads nothing.
    pub async fn discard_body(&mut self, answer: &mut Answer) -> io::Result<bool> {
        let mut body = self.begin_body(answer, BODY_MOST)?;
        while self.read_part(&mut body).await?.is_some() {}
        let again = body.again;
        answer.framing = Ok(Framing { length: Some(0), chunked: false, close: !again });
        Ok(again)
    }

    /// Begins to read the body of an answer, of so many bytes at most.
    pub fn begin_body(&self, answer: &Answer, most: usize) -> io::Result<Body> {
        let framing = answer.framing.map_err(bad)?;
        if framing.chunked && !matches!(answer.status, 204 | 304) {
            return Err(bad("chunked answers are not read"));
        }
        let over = matches!(answer.status, 204 | 304);
        Ok(Body { framing, most, read: 0, pending: 0, over, again: !framing.close })
    }

    /// The next part of it; none at its end.
    pub async fn read_part(&mut self, body: &mut Body) -> io::Result<Option<&[u8]>> {
        self.buffer.consume(std::mem::take(&mut body.pending));
        while !body.over {
            // More than anybody may send is not waited for.
            if body.framing.length.is_some_and(|l| l > body.most) || body.read > body.most {
                return Err(bad("body too long"));
            }
            let left = body.framing.length.map_or(usize::MAX, |l| l - body.read);
            let n = left.min(self.buffer.data().len());
            if n > 0 {
                (body.read, body.pending) = (body.read + n, n);
                return Ok(Some(&self.buffer.data()[..n]));
            }
            if left == 0 {
                body.over = true;
                break;
            }
            match self.more().await {
                Ok(()) => {}
                // Without a length the end of the connection is the end of the body.
                Err(Lost::Broken(e))
                    if body.framing.length.is_none() && e.kind() == io::ErrorKind::UnexpectedEof =>
                {
                    (body.over, body.again) = (true, false);
                }
                Err(lost) => return Err(lost.into()),
            }
        }
        Ok(None)
    }
}

/// How far the body of an answer has been read.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    most: usize,
    read: usize,
    /// Given, and still in the buffer.
    pending: usize,
    over: bool,
    /// Once it has ended: the connection can take another call.
    pub again: bool,
}

#[cfg(test)]
mod tests;
