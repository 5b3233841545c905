//! A server: takes calls with messages, and fails in the ways that the protocol knows.

use super::ledger::{Call, Ledger, Wait, daemon_of};
use crate::http::{Request, ServerConnection as Connection};
use crate::testbed::{Runtime, sleep};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::net::sockopt::set_socket_linger;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// How it treats what comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    /// It takes so many seconds more.
    Slow(f64),
    /// 500, after it has run.
    Failing,
    /// It runs and is not answered.
    Hanging,
    /// 429, with this wait in seconds.
    Full(f64),
    /// 503.
    Shut,
    /// The connection is reset before the request was read to its end.
    ResetBefore,
    /// It runs, and the connection is reset in place of the answer.
    ResetAfter,
    /// It runs, and noise comes in place of the answer.
    Spoilt,
    /// Connections are reset as they come.
    Refusing,
    /// Connections come up and nothing is read.
    Silent,
}

impl Mode {
    pub fn name(self) -> &'static str {
        match self {
            Mode::Well => "server_well",
            Mode::Slow(_) => "server_slow",
            Mode::Failing => "server_failing",
            Mode::Hanging => "server_hanging",
            Mode::Full(_) => "server_full",
            Mode::Shut => "server_shut",
            Mode::ResetBefore => "server_reset_before",
            Mode::ResetAfter => "server_reset_after",
            Mode::Spoilt => "server_spoilt",
            Mode::Refusing => "server_refusing",
            Mode::Silent => "server_silent",
        }
    }
}

/// How long a call takes.
const SERVICE_S: f64 = 0.02;
/// A connection is closed once it has been idle for this.
const IDLE_S: f64 = 5.0;

pub struct Server {
    pub name: String,
    pub destination: u64,
    pub address: SocketAddr,
    pub mode: Cell<Mode>,
    world: Runtime,
    ledger: Ledger,
}

impl Server {
    pub fn start(
        world: &Runtime, ledger: &Ledger, name: &str, destination: u64,
    ) -> Result<Rc<Server>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let (name, mode) = (name.to_owned(), Cell::new(Mode::Well));
        let server =
            Server { name, destination, address, mode, world: world.clone(), ledger: ledger.clone() };
        let server = Rc::new(server);
        let this = server.clone();
        world.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if this.mode.get() == Mode::Refusing {
                    this.ledger.met(Mode::Refusing.name());
                    reset(&stream);
                    continue;
                }
                this.world.spawn(this.clone().serve(Connection::new(stream)));
            }
        });
        Ok(server)
    }

    async fn serve(self: Rc<Server>, mut connection: Connection) {
        loop {
            match self.mode.get() {
                Mode::Silent => {
                    self.ledger.met(Mode::Silent.name());
                    sleep(IDLE_S).await;
                    return;
                }
                Mode::ResetBefore => {
                    // Some of the request is read, and the rest never.
                    let _ = connection.stream.read(&mut [0; 16]).await;
                    self.ledger.met(Mode::ResetBefore.name());
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
            if !self.call(&mut connection, &request).await {
                return;
            }
        }
    }

    /// One call. Whether the connection lasts.
    async fn call(&self, connection: &mut Connection, request: &Request) -> bool {
        let mode = self.mode.get();
        self.ledger.met(mode.name());
        let turned_away = matches!(mode, Mode::Full(_) | Mode::Shut);
        let began = self.world.now() - request.first_byte_at.elapsed().as_secs_f64();
        let daemon = daemon_of(&request.id).unwrap_or(usize::MAX);
        let name = self.name.clone();
        let call = Call {
            id: request.id.clone(),
            server: name.clone(),
            daemon,
            began,
            over: None,
            ran: !turned_away,
            status: None,
        };
        let number = self.ledger.with(|seen| {
            seen.calls.push(call);
            seen.calls.len() - 1
        });
        let (status, lasts) = self.answer(connection, mode, (&name, daemon)).await;
        let now = self.world.now();
        self.ledger.with(|seen| {
            let call = &mut seen.calls[number];
            (call.over, call.status) = (Some(now), status);
        });
        lasts
    }

    async fn answer(
        &self, connection: &mut Connection, mode: Mode, (name, daemon): (&str, usize),
    ) -> (Option<u16>, bool) {
        let service = SERVICE_S + if let Mode::Slow(more) = mode { more } else { 0.0 };
        let works = async {
            sleep(service).await;
            false
        };
        // Whoever gives a call up closes its connection.
        let given_up = future::or(works, async {
            connection.wait_for_close().await;
            true
        });
        if given_up.await {
            return (None, false);
        }
        let status = match mode {
            Mode::Well | Mode::Slow(_) => 200,
            Mode::Failing => 500,
            Mode::Shut => 503,
            Mode::Full(wait) => {
                let headers = format!("Retry-After: {wait:.3}\r\n");
                let told = self.world.now();
                let (server, destination, until) = (name.to_owned(), self.destination, told + wait);
                let wait = Wait { server, destination, daemon, told, until };
                self.ledger.with(|seen| seen.waits.push(wait));
                return (Some(429), connection.respond(429, &headers, "").await.is_ok());
            }
            Mode::Spoilt => {
                let _ = connection.stream.write_all(b"\x00\x01 this is no answer\r\n\r\n").await;
                connection.wait_for_close().await;
                return (None, false);
            }
            Mode::Hanging | Mode::Silent => {
                connection.wait_for_close().await;
                return (None, false);
            }
            Mode::ResetAfter | Mode::ResetBefore | Mode::Refusing => {
                reset(&connection.stream);
                return (None, false);
            }
        };
        (Some(status), connection.respond(status, "", "").await.is_ok())
    }
}

/// The connection ends with a reset once it is dropped.
pub fn reset(stream: &Async<std::net::TcpStream>) {
    let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}
