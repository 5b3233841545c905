//! What is measured of forwarders, and of this process.

use async_io::{Async, Timer};
use futures_lite::future;
use onyxrock_duties::Member;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

/// What one forwarder has used since its cluster began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Seconds of the processor.
    pub cpu_s: f64,
    /// Datagrams sent and received.
    pub datagrams: u64,
    /// Payload bytes of datagrams sent and received.
    pub datagram_bytes: u64,
    /// Times that it was woken.
    pub wakes: u64,
    /// Payload bytes to and from discovery.
    pub discovery_bytes: u64,
    /// Bytes sent in datagrams alone.
    pub sent_bytes: u64,
}

impl Usage {
    /// What was used since an earlier look.
    #[must_use]
    pub fn since(self, before: Usage) -> Usage {
        Usage {
            cpu_s: self.cpu_s - before.cpu_s,
            datagrams: self.datagrams - before.datagrams,
            datagram_bytes: self.datagram_bytes - before.datagram_bytes,
            wakes: self.wakes - before.wakes,
            discovery_bytes: self.discovery_bytes - before.discovery_bytes,
            sent_bytes: self.sent_bytes - before.sent_bytes,
        }
    }

    /// All bytes of control.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.datagram_bytes + self.discovery_bytes
    }
}

/// One forwarder at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Which.
    pub member: Member,
    /// What it has used.
    pub usage: Usage,
    /// Members that it sees alive, itself included.
    pub alive: usize,
    /// It asks for the list on behalf of all.
    pub owns_list: bool,
    /// It is told the list by another.
    pub told_list: bool,
}

/// Seconds of the processor that this thread has used.
#[must_use]
pub fn thread_cpu_s() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 + t.tv_nsec as f64 / 1e9
}

/// Bytes of memory that this process has resident.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    kilobytes("/proc/self/status", "VmRSS:")
}

/// Bytes of memory that the machine has.
#[must_use]
pub fn machine_bytes() -> Option<u64> {
    kilobytes("/proc/meminfo", "MemTotal:")
}

fn kilobytes(file: &str, key: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

/// Datagrams that one end waits for, and answers, to time how it wakes: an idle one, and a busy one.
const IDLE_ROUNDS: u32 = 200;
const BUSY_ROUNDS: u32 = 2_000;
/// Of each of them that end has two.
const DATAGRAMS_A_ROUND: f64 = 2.0;
/// Datagrams that are timed by themselves.
const DATAGRAMS: u32 = 20_000;
/// An idle one is woken this often in a second, as a daemon that is compared is: its caches get cold in between, and the
/// runtime's helper thread looks for work. What many members send comes at exponential intervals.
const IDLE_WAKES_PER_S: f64 = 50.0;
/// A busy one, as a voter among a thousand is.
const BUSY_WAKES_PER_S: f64 = 1_300.0;
/// An answer on loopback that has not come by then is lost.
const ANSWER: Duration = Duration::from_secs(5);
/// Of the intervals.
const SEED: u64 = 1;
/// A timer that never fires while a datagram is waited for: a member always has one.
const TIMER: Duration = Duration::from_millis(200);
const BYTES: usize = 150;

/// Seconds of the processor that a real daemon pays and a hollow forwarder does not.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Unpaid {
    /// The system calls of one datagram, sent or received.
    pub datagram_s: f64,
    /// Waking up once where that is seldom, with the runtime, its helper thread and a timer that is set anew.
    pub idle_wake_s: f64,
    /// The same where it is woken all the time.
    pub busy_wake_s: f64,
}

impl Unpaid {
    /// Measures both on loopback sockets.
    ///
    /// # Errors
    /// The sockets cannot be had.
    pub fn measure() -> Result<Unpaid, String> {
        let datagram_s = datagram_s()?;
        let wake_s = |round_s: f64| (round_s - DATAGRAMS_A_ROUND * datagram_s).max(0.0);
        let idle_wake_s = wake_s(round_s(IDLE_ROUNDS, IDLE_WAKES_PER_S)?);
        let busy_wake_s = wake_s(round_s(BUSY_ROUNDS, BUSY_WAKES_PER_S)?).min(idle_wake_s);
        Ok(Unpaid { datagram_s, idle_wake_s, busy_wake_s })
    }

    /// What the datagrams and wakes of so many seconds would cost: the first wakes of each second as those of an idle
    /// daemon, the others as those of a busy one.
    #[must_use]
    pub fn of(&self, usage: &Usage, seconds: f64) -> f64 {
        let wakes = usage.wakes as f64;
        let idle = wakes.min(IDLE_WAKES_PER_S * seconds);
        let woken = idle * self.idle_wake_s + (wakes - idle) * self.busy_wake_s;
        usage.datagrams as f64 * self.datagram_s + woken
    }
}

fn open() -> Result<UdpSocket, String> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())
}

fn address(socket: &UdpSocket) -> Result<SocketAddr, String> {
    socket.local_addr().map_err(|e| e.to_string())
}

/// One datagram, sent or received, without waiting.
fn datagram_s() -> Result<f64, String> {
    let (sender, receiver) = (open()?, open()?);
    let (to, mut bytes) = (address(&receiver)?, [0; BYTES]);
    let before = thread_cpu_s();
    for _ in 0..DATAGRAMS {
        sender.send_to(&bytes, to).map_err(|e| e.to_string())?;
        receiver.recv_from(&mut bytes).map_err(|e| e.to_string())?;
    }
    Ok((thread_cpu_s() - before) / f64::from(2 * DATAGRAMS))
}

/// One datagram that an idle actor waits for and answers, without what the other end pays.
fn round_s(rounds: u32, wakes_per_s: f64) -> Result<f64, String> {
    let (driver, actor) = (open()?, open()?);
    let (from, to) = (address(&driver)?, address(&actor)?);
    driver.set_read_timeout(Some(ANSWER)).map_err(|e| e.to_string())?;
    let mut rng = StdRng::seed_from_u64(SEED);
    let actor = std::thread::spawn(move || async_io::block_on(answer(actor, from, rounds)));
    let (process, own) = (process_cpu_s(), thread_cpu_s());
    let mut bytes = [0; BYTES];
    for _ in 0..rounds {
        let pause = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / wakes_per_s;
        // Finer than the timeout of a socket, which is in ticks of the system.
        std::thread::sleep(Duration::from_secs_f64(pause));
        driver.send_to(&bytes, to).map_err(|e| e.to_string())?;
        driver.recv_from(&mut bytes).map_err(|e| format!("no answer on loopback: {e}"))?;
    }
    let used = (process_cpu_s() - process) - (thread_cpu_s() - own);
    actor.join().map_err(|_| "the actor has ended".to_owned())??;
    Ok(used / f64::from(rounds))
}

/// Answers so many datagrams, and waits for them as the actor of `onyxrock-sharing` does.
async fn answer(socket: UdpSocket, to: SocketAddr, rounds: u32) -> Result<(), String> {
    let socket = Async::new(socket).map_err(|e| e.to_string())?;
    let mut bytes = [0; BYTES];
    for _ in 0..rounds {
        while socket.get_ref().recv_from(&mut bytes).is_err() {
            let readable = async { drop(socket.readable().await) };
            let late = async {
                Timer::after(TIMER).await;
            };
            future::or(readable, late).await;
        }
        socket.get_ref().send_to(&bytes, to).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn process_cpu_s() -> f64 {
    let t = clock_gettime(ClockId::ProcessCPUTime);
    t.tv_sec as f64 + t.tv_nsec as f64 / 1e9
}
