//! Clients that misbehave, beside usual ones whose answers are timed, and the peak memory of the daemon.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a usual client waits for its answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between the messages of the usual client.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Every tenth message has a body of this size, the others a small one.
const LARGE_BODY_BYTES: usize = 32 * 1024;
const SMALL_BODY_BYTES: usize = 200;
/// Misbehaving connections of one thread.
const CONNECTIONS_PER_THREAD: usize = 60;

/// What the usual client saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualClients {
    /// Messages that were answered 202.
    pub accepted: usize,
    /// Messages that were answered otherwise.
    pub refused: usize,
    /// Messages without an answer in time.
    pub unanswered: usize,
    /// The slowest answer.
    pub slowest: Duration,
}

impl UsualClients {
    /// Runs this many clients at once; returns what they saw together.
    pub fn run_many(address: SocketAddr, count: usize, until: Instant) -> UsualClients {
        let start =
            |n: usize| std::thread::spawn(move || UsualClients::run(address, &format!("usual{n}-"), until));
        let clients: Vec<_> = (0..count).map(start).collect();
        let seen = clients.into_iter().map(|client| client.join().unwrap());
        seen.fold(UsualClients::default(), |all, one| UsualClients {
            accepted: all.accepted + one.accepted,
            refused: all.refused + one.refused,
            unanswered: all.unanswered + one.unanswered,
            slowest: all.slowest.max(one.slowest),
        })
    }

    /// Submits messages with ids that begin with `prefix`, each over a connection of its own, until `until`.
    pub fn run(address: SocketAddr, prefix: &str, until: Instant) -> UsualClients {
        let mut seen = UsualClients::default();
        for n in 0.. {
            if Instant::now() > until {
                break;
            }
            let size = if n % 10 == 9 { LARGE_BODY_BYTES } else { SMALL_BODY_BYTES };
            let started = Instant::now();
            match submit(address, &submission(&format!("{prefix}{n}"), size)) {
                Ok(202) => seen.accepted += 1,
                Ok(_) => seen.refused += 1,
                Err(_) => seen.unanswered += 1,
            }
            seen.slowest = seen.slowest.max(started.elapsed());
            std::thread::sleep(SUBMIT_INTERVAL);
        }
        seen
    }
}

/// A request that submits a message of class `status` for destination 1.
pub fn submission(id: &str, body_bytes: usize) -> Vec<u8> {
    submission_to("status", 4.5, 1, id, body_bytes)
}

/// A request that submits a message of this class, with a deadline in seconds, for this destination.
pub fn submission_to(class: &str, deadline_s: f64, destination: u64, id: &str, body_bytes: usize) -> Vec<u8> {
    let mut request = format!(
        "POST /{class} HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {deadline_s}\r\n\
         X-Envelope: dest={destination}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    request
}

/// Sends a request over a new connection; returns the status of its answer.
fn submit(address: SocketAddr, request: &[u8]) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    let until = Instant::now() + ANSWER_TIMEOUT;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(request)?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        let left = until.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut byte = [0];
        if Instant::now() > until || stream.read(&mut byte)? == 0 {
            return Err(ErrorKind::TimedOut.into());
        }
        answer.push(byte[0]);
    }
    let status = answer.get(9..12).and_then(|status| std::str::from_utf8(status).ok()?.parse().ok());
    status.ok_or_else(|| ErrorKind::InvalidData.into())
}

/// Misbehaving clients until the flag is set: `count` connections that each write `bytes` in `pieces`, one each
/// `interval`, then wait until the daemon closes them, and begin anew.
pub fn unfinished_requests(
    address: SocketAddr, count: usize, bytes: &[u8], pieces: usize, interval: Duration,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let pieces: Arc<Vec<Vec<u8>>> =
        Arc::new(bytes.chunks(bytes.len().div_ceil(pieces)).map(<[u8]>::to_vec).collect());
    let threads = count.div_ceil(CONNECTIONS_PER_THREAD);
    let serve = move |stop: Arc<AtomicBool>, pieces: Arc<Vec<Vec<u8>>>, count: usize| {
        let mut connections: Vec<Option<(TcpStream, usize)>> = (0..count).map(|_| None).collect();
        while !stop.load(Ordering::Relaxed) {
            for slot in &mut connections {
                let Some((stream, written)) = slot else {
                    *slot = TcpStream::connect(address).ok().map(|stream| {
                        stream.set_nonblocking(true).unwrap();
                        (stream, 0)
                    });
                    continue;
                };
                let sent = pieces.get(*written).map_or(Ok(()), |piece| stream.write_all(piece));
                *written += 1;
                let closed = matches!(stream.read(&mut [0; 512]), Ok(0))
                    || sent.is_err_and(|e| e.kind() != ErrorKind::WouldBlock);
                if closed {
                    *slot = None;
                }
            }
            std::thread::sleep(interval);
        }
    };
    (0..threads)
        .map(|_| {
            let (stop, pieces) = (stop.clone(), pieces.clone());
            std::thread::spawn(move || serve(stop, pieces, count.div_ceil(threads)))
        })
        .collect()
}

/// Misbehaving clients until the flag is set: `count` connections that each write `first` and then `next`, again and
/// again, read nothing, and begin anew when the daemon closes them.
pub fn repeated_requests(
    address: SocketAddr, count: usize, first: &[u8], next: &[u8], stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let (first, next): (Arc<[u8]>, Arc<[u8]>) = (first.into(), next.into());
    let repeat = move |stop: Arc<AtomicBool>, first: Arc<[u8]>, next: Arc<[u8]>| {
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
            let mut sent = stream.write_all(&first);
            while sent.is_ok() && !stop.load(Ordering::Relaxed) {
                sent = stream.write_all(&next);
            }
        }
    };
    (0..count)
        .map(|_| {
            let (stop, first, next) = (stop.clone(), first.clone(), next.clone());
            std::thread::spawn(move || repeat(stop, first, next))
        })
        .collect()
}

/// What one connection of a crowd writes, made anew for each request from a number that no other one has.
pub type RequestSource = Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>;

/// A connection of a crowd.
struct CrowdConnection {
    stream: TcpStream,
    request: Vec<u8>,
    written: usize,
}

impl CrowdConnection {
    fn open(address: SocketAddr, request: Vec<u8>) -> Option<CrowdConnection> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(CrowdConnection { stream, request, written: 0 })
    }

    /// Writes as much as the socket takes, `most` bytes at a time. Returns false once the connection has ended.
    fn advance(&mut self, most: usize) -> bool {
        let until = self.written.saturating_add(most).min(self.request.len());
        while self.written < until {
            match self.stream.write(&self.request[self.written..until]) {
                Ok(count) => self.written += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        let mut answer = [0; 512];
        match self.stream.read(&mut answer) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// How a crowd behaves.
#[derive(Clone)]
pub struct Crowd {
    /// What its connections write: the first one the first of these, and so on, by turns.
    pub requests: Vec<RequestSource>,
    pub connections: usize,
    /// Most bytes that a connection writes in one round.
    pub most_bytes: usize,
    /// Time between two rounds. A connection that was closed is opened anew in the next one.
    pub interval: Duration,
}

impl Crowd {
    /// Starts the crowd, which goes on until the flag is set.
    pub fn start(self, address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let threads = self.connections.div_ceil(CONNECTIONS_PER_THREAD);
        let connections = self.connections.div_ceil(threads);
        let run = |thread: usize| {
            let (crowd, stop) = (self.clone(), stop.clone());
            std::thread::spawn(move || crowd.run(address, thread * connections, connections, &stop))
        };
        (0..threads).map(run).collect()
    }

    fn run(&self, address: SocketAddr, first: usize, count: usize, stop: &AtomicBool) {
        let mut connections: Vec<Option<CrowdConnection>> = (0..count).map(|_| None).collect();
        let mut round = 0;
        while !stop.load(Ordering::Relaxed) {
            for (index, slot) in connections.iter_mut().enumerate() {
                if slot.is_none() {
                    let source = &self.requests[(first + index) % self.requests.len()];
                    let number = (round << 32) + (first + index) as u64;
                    *slot = CrowdConnection::open(address, source(number));
                }
                if slot.as_mut().is_some_and(|connection| !connection.advance(self.most_bytes)) {
                    *slot = None;
                }
            }
            round += 1;
            std::thread::sleep(self.interval);
        }
    }
}

/// One misbehaving client until the flag is set: writes what `next` returns at full speed over one connection, reads
/// and ignores the answers, and connects anew when the daemon closes it.
pub fn flood(
    address: SocketAddr, mut next: impl FnMut(u64) -> Vec<u8> + Send + 'static, stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let stop = stop.clone();
    std::thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let mut reader = stream.try_clone().unwrap();
            let answers = std::thread::spawn(move || {
                let mut bytes = vec![0; 64 * 1024];
                while reader.read(&mut bytes).is_ok_and(|count| count > 0) {}
            });
            stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
            while !stop.load(Ordering::Relaxed) {
                let mut batch = Vec::new();
                while batch.len() < 32 * 1024 {
                    batch.extend(next(number));
                    number += 1;
                }
                match stream.write_all(&batch) {
                    Err(e) if e.kind() != ErrorKind::WouldBlock => break,
                    _ => {}
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
            let _ = answers.join();
        }
    })
}

/// One misbehaving client until the flag is set: sends datagrams at full speed, and reads no answers.
pub fn datagram_flood(
    address: SocketAddr, next: impl Fn(u64) -> Vec<u8> + Send + 'static, stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let stop = stop.clone();
    std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let _ = socket.send_to(&next(number), address);
            number += 1;
        }
    })
}

/// Largest resident memory of a process so far, in bytes.
pub fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}
