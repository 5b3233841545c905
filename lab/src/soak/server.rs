//! A stand-in for a server: accepts calls with messages, and fails in the ways that the protocol defines.

use super::observations::{Call, ObservationLog, RetryAfter, daemon_of};
use crate::http::{Request, ServerConnection};
use crate::testbed::{Runtime, sleep};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::net::sockopt::set_socket_linger;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// How a server treats connections and calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Healthy,
    /// Calls take this number of seconds longer.
    Slow(f64),
    /// Calls take effect and are answered with 500.
    Failing,
    /// Calls take effect and are not answered.
    Hanging,
    /// Calls are answered with 429 and this Retry-After in seconds.
    RetryAfter(f64),
    /// Calls are answered with 503.
    Unavailable,
    /// The connection is reset before the request was read completely.
    ResetBefore,
    /// Calls take effect, and the connection is reset instead of an answer.
    ResetAfter,
    /// Calls take effect, and bytes that are not HTTP are sent instead of an answer.
    InvalidResponse,
    /// Connections are reset when they are accepted.
    ResetOnAccept,
    /// Connections are accepted, and nothing is read.
    Silent,
}

impl Mode {
    /// The name of the fault in reports.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Healthy => "server_well",
            Mode::Slow(_) => "server_slow",
            Mode::Failing => "server_failing",
            Mode::Hanging => "server_hanging",
            Mode::RetryAfter(_) => "server_full",
            Mode::Unavailable => "server_shut",
            Mode::ResetBefore => "server_reset_before",
            Mode::ResetAfter => "server_reset_after",
            Mode::InvalidResponse => "server_spoilt",
            Mode::ResetOnAccept => "server_refusing",
            Mode::Silent => "server_silent",
        }
    }
}

/// How long a call takes in a healthy server.
const SERVICE_S: f64 = 0.02;
/// A connection is closed after this idle time.
const IDLE_S: f64 = 5.0;

/// One server, and the mode in which it treats calls.
pub struct Server {
    pub name: String,
    pub destination: u64,
    pub address: SocketAddr,
    pub mode: Cell<Mode>,
    runtime: Runtime,
    log: ObservationLog,
}

impl Server {
    /// Opens an address, and serves connections to it.
    pub fn start(
        runtime: &Runtime, log: &ObservationLog, name: &str, destination: u64,
    ) -> Result<Rc<Server>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let (name, mode) = (name.to_owned(), Cell::new(Mode::Healthy));
        let server = Server { name, destination, address, mode, runtime: runtime.clone(), log: log.clone() };
        let server = Rc::new(server);
        let this = server.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if this.mode.get() == Mode::ResetOnAccept {
                    this.log.record_fault_hit(Mode::ResetOnAccept.name());
                    reset(&stream);
                    continue;
                }
                this.runtime.spawn(this.clone().serve(ServerConnection::new(stream)));
            }
        });
        Ok(server)
    }

    /// Serves one connection.
    async fn serve(self: Rc<Server>, mut connection: ServerConnection) {
        loop {
            match self.mode.get() {
                Mode::Silent => {
                    self.log.record_fault_hit(Mode::Silent.name());
                    sleep(IDLE_S).await;
                    return;
                }
                Mode::ResetBefore => {
                    // Part of the request is read, and the rest is not.
                    let _ = connection.stream.read(&mut [0; 16]).await;
                    self.log.record_fault_hit(Mode::ResetBefore.name());
                    return reset(&connection.stream);
                }
                _ => {}
            }
            let request = async { connection.next_request().await.ok().flatten() };
            let idle = async {
                sleep(IDLE_S).await;
                None
            };
            let Some(request) = future::or(request, idle).await else { return };
            if request.method != "POST" {
                return;
            }
            if !self.handle_call(&mut connection, &request).await {
                return;
            }
        }
    }

    /// Handles one call. Returns whether the connection stays open.
    async fn handle_call(&self, connection: &mut ServerConnection, request: &Request) -> bool {
        let mode = self.mode.get();
        self.log.record_fault_hit(mode.name());
        let rejected = matches!(mode, Mode::RetryAfter(_) | Mode::Unavailable);
        let started_at = self.runtime.now() - request.first_byte_at.elapsed().as_secs_f64();
        let daemon = daemon_of(&request.id).unwrap_or(usize::MAX);
        let name = self.name.clone();
        let call = Call {
            id: request.id.clone(),
            server: name.clone(),
            daemon,
            started_at,
            ended_at: None,
            took_effect: !rejected,
            status: None,
        };
        let call_index = self.log.with(|observations| {
            observations.calls.push(call);
            observations.calls.len() - 1
        });
        let (status, keep_open) = self.answer_call(connection, mode, (&name, daemon)).await;
        let now = self.runtime.now();
        self.log.with(|observations| {
            let call = &mut observations.calls[call_index];
            (call.ended_at, call.status) = (Some(now), status);
        });
        keep_open
    }

    /// Answers a call. Returns the status that was written, if there is one, and whether the connection stays
    /// open.
    async fn answer_call(
        &self, connection: &mut ServerConnection, mode: Mode, (name, daemon): (&str, usize),
    ) -> (Option<u16>, bool) {
        let service_s = SERVICE_S + if let Mode::Slow(extra_s) = mode { extra_s } else { 0.0 };
        let processing = async {
            sleep(service_s).await;
            false
        };
        // A daemon cancels a call by closing its connection.
        let canceled = future::or(processing, async {
            connection.wait_for_close().await;
            true
        });
        if canceled.await {
            return (None, false);
        }
        let status = match mode {
            Mode::Healthy | Mode::Slow(_) => 200,
            Mode::Failing => 500,
            Mode::Unavailable => 503,
            Mode::RetryAfter(retry_after_s) => {
                let headers = format!("Retry-After: {retry_after_s:.3}\r\n");
                let sent_at = self.runtime.now();
                let (server, destination, until) =
                    (name.to_owned(), self.destination, sent_at + retry_after_s);
                let retry_after = RetryAfter { server, destination, daemon, sent_at, until };
                self.log.with(|observations| observations.retry_afters.push(retry_after));
                return (Some(429), connection.respond(429, &headers, "").await.is_ok());
            }
            Mode::InvalidResponse => {
                let _ = connection.stream.write_all(b"\x00\x01 this is no answer\r\n\r\n").await;
                connection.wait_for_close().await;
                return (None, false);
            }
            Mode::Hanging | Mode::Silent => {
                connection.wait_for_close().await;
                return (None, false);
            }
            Mode::ResetAfter | Mode::ResetBefore | Mode::ResetOnAccept => {
                reset(&connection.stream);
                return (None, false);
            }
        };
        (Some(status), connection.respond(status, "", "").await.is_ok())
    }
}

/// Makes the connection end with a reset when it is dropped.
pub fn reset(stream: &Async<std::net::TcpStream>) {
    let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}
