//! Measurements of forwarders, of this process and of this machine.

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
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Datagrams sent and received.
    pub datagrams: u64,
    /// Payload bytes of datagrams sent and received.
    pub datagram_bytes: u64,
    /// Number of times that the forwarder was woken.
    pub wakes: u64,
    /// Payload bytes to and from discovery.
    pub discovery_bytes: u64,
    /// Payload bytes of datagrams sent.
    pub sent_bytes: u64,
}

impl Usage {
    /// The usage since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Usage) -> Usage {
        Usage {
            cpu_s: self.cpu_s - earlier.cpu_s,
            datagrams: self.datagrams - earlier.datagrams,
            datagram_bytes: self.datagram_bytes - earlier.datagram_bytes,
            wakes: self.wakes - earlier.wakes,
            discovery_bytes: self.discovery_bytes - earlier.discovery_bytes,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
        }
    }

    /// All payload bytes of control traffic.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.datagram_bytes + self.discovery_bytes
    }
}

/// State and usage of one forwarder at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The forwarder.
    pub member: Member,
    /// Its usage so far.
    pub usage: Usage,
    /// Number of members that it sees alive, itself included.
    pub alive: usize,
    /// It owns the list duty: it requests the list from discovery on behalf of all.
    pub owns_list: bool,
    /// It receives the list from the owner of the list duty.
    pub follows_list_owner: bool,
}

/// Processor time in seconds that this thread has used.
#[must_use]
pub fn thread_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Resident memory of this process in bytes.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    read_kilobytes("/proc/self/status", "VmRSS:")
}

/// Memory of the machine in bytes.
#[must_use]
pub fn machine_bytes() -> Option<u64> {
    read_kilobytes("/proc/meminfo", "MemTotal:")
}

/// Reads a line with a number of kilobytes from a file in `/proc`, and returns it in bytes.
fn read_kilobytes(file: &str, key: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

/// Number of datagrams that a seldom woken actor waits for and answers while the cost of its wakes is
/// measured.
const IDLE_ROUNDS: u32 = 200;
/// Number of datagrams that a busy actor waits for and answers while the cost of its wakes is measured.
const BUSY_ROUNDS: u32 = 2_000;
/// Datagrams of the actor in each round: it receives one and sends one.
const DATAGRAMS_PER_ROUND: f64 = 2.0;
/// Number of datagrams in the measurement of the cost of a datagram without wakes.
const TIMED_DATAGRAMS: u32 = 20_000;
/// Wakes per second of the seldom woken actor, as of the daemons that are compared: between two wakes the
/// caches get cold, and the runtime's helper thread looks for work. The intervals are exponential, as those
/// of datagrams from many members.
const IDLE_WAKES_PER_S: f64 = 50.0;
/// Wakes per second of the busy actor, as of a voter among a thousand members.
const BUSY_WAKES_PER_S: f64 = 1_300.0;
/// An answer on loopback that has not arrived within this time is lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Seed of the random intervals between the datagrams.
const INTERVAL_SEED: u64 = 1;
/// Time of the timer that the actor sets while it waits for a datagram, as a member always has one. It never
/// fires.
const TIMER_INTERVAL: Duration = Duration::from_millis(200);
/// Size of the datagrams in the measurements.
const DATAGRAM_BYTES: usize = 150;

/// Costs in seconds of processor time that a real daemon has and a hollow forwarder does not have.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct UnsimulatedCost {
    /// Cost of the system calls of one datagram, sent or received.
    pub datagram_s: f64,
    /// Cost of one wake of a seldom woken daemon, with the runtime, its helper thread and a timer that is set
    /// anew.
    pub idle_wake_s: f64,
    /// Cost of one wake of a daemon that is woken all the time.
    pub busy_wake_s: f64,
}

impl UnsimulatedCost {
    /// Measures the costs on loopback sockets.
    ///
    /// # Errors
    /// The sockets cannot be created or used.
    pub fn measure() -> Result<UnsimulatedCost, String> {
        let datagram_s = datagram_s()?;
        let wake_s = |round_s: f64| (round_s - DATAGRAMS_PER_ROUND * datagram_s).max(0.0);
        let idle_wake_s = wake_s(wake_round_cpu_s(IDLE_ROUNDS, IDLE_WAKES_PER_S)?);
        let busy_wake_s = wake_s(wake_round_cpu_s(BUSY_ROUNDS, BUSY_WAKES_PER_S)?).min(idle_wake_s);
        Ok(UnsimulatedCost { datagram_s, idle_wake_s, busy_wake_s })
    }

    /// Cost of the datagrams and wakes in a span of this many seconds. The first wakes of each second cost as
    /// much as those of a seldom woken daemon, the others as much as those of a busy one.
    #[must_use]
    pub fn cpu_s_for(&self, usage: &Usage, seconds: f64) -> f64 {
        let wakes = usage.wakes as f64;
        let idle = wakes.min(IDLE_WAKES_PER_S * seconds);
        let wake_cost_s = idle * self.idle_wake_s + (wakes - idle) * self.busy_wake_s;
        usage.datagrams as f64 * self.datagram_s + wake_cost_s
    }
}

fn open_socket() -> Result<UdpSocket, String> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())
}

fn address(socket: &UdpSocket) -> Result<SocketAddr, String> {
    socket.local_addr().map_err(|e| e.to_string())
}

/// Measures the processor time of sending or receiving one datagram without waiting.
fn datagram_s() -> Result<f64, String> {
    let (sending_socket, receiving_socket) = (open_socket()?, open_socket()?);
    let (to, mut bytes) = (address(&receiving_socket)?, [0; DATAGRAM_BYTES]);
    let start_cpu_s = thread_cpu_s();
    for _ in 0..TIMED_DATAGRAMS {
        sending_socket.send_to(&bytes, to).map_err(|e| e.to_string())?;
        receiving_socket.recv_from(&mut bytes).map_err(|e| e.to_string())?;
    }
    Ok((thread_cpu_s() - start_cpu_s) / f64::from(2 * TIMED_DATAGRAMS))
}

/// Measures the processor time of an actor that waits for one datagram and answers it. The driver's own time
/// is not included.
fn wake_round_cpu_s(rounds: u32, wakes_per_s: f64) -> Result<f64, String> {
    let (driver, actor) = (open_socket()?, open_socket()?);
    let (from, to) = (address(&driver)?, address(&actor)?);
    driver.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(|e| e.to_string())?;
    let mut rng = StdRng::seed_from_u64(INTERVAL_SEED);
    let actor = std::thread::spawn(move || async_io::block_on(answer_datagrams(actor, from, rounds)));
    let (process_cpu_s_before, driver_cpu_s) = (process_cpu_s(), thread_cpu_s());
    let mut bytes = [0; DATAGRAM_BYTES];
    for _ in 0..rounds {
        let pause = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / wakes_per_s;
        // A sleep is finer than the timeout of a socket, which is in ticks of the system.
        std::thread::sleep(Duration::from_secs_f64(pause));
        driver.send_to(&bytes, to).map_err(|e| e.to_string())?;
        driver.recv_from(&mut bytes).map_err(|e| format!("no answer on loopback: {e}"))?;
    }
    let used_s = (process_cpu_s() - process_cpu_s_before) - (thread_cpu_s() - driver_cpu_s);
    actor.join().map_err(|_| "the thread of the measured actor panicked".to_owned())??;
    Ok(used_s / f64::from(rounds))
}

/// Answers this number of datagrams, and waits for them as the actor of `onyxrock-sharing` does.
async fn answer_datagrams(socket: UdpSocket, to: SocketAddr, rounds: u32) -> Result<(), String> {
    let socket = Async::new(socket).map_err(|e| e.to_string())?;
    let mut bytes = [0; DATAGRAM_BYTES];
    for _ in 0..rounds {
        while socket.get_ref().recv_from(&mut bytes).is_err() {
            let readable = async { drop(socket.readable().await) };
            let timer = async {
                Timer::after(TIMER_INTERVAL).await;
            };
            future::or(readable, timer).await;
        }
        socket.get_ref().send_to(&bytes, to).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn process_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
