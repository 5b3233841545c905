//! The operators' interface: each connection carries one command line, and one line that begins with 200 or
//! 400 in return. It has its own connections, limited in number, so that operators do not wait in the
//! clients' queue.

use super::{ListState, SharedState};
use crate::core_actor::{CoreMessage, MaintenanceReply};
use crate::maintenance::MaintenanceChange;
use async_channel::bounded;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use onyxrock::interface::Micros;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Longest command line; commands are a few words.
const MAX_LINE_BYTES: usize = 512;
/// A connection is closed if its command has not been received and answered within this time.
const COMMAND_TIMEOUT: Micros = Micros(5_000_000);
/// Most connections at a time; a further one closes the oldest.
const MAX_CONNECTIONS: usize = 16;
/// Time limit for the core's reply: an answer is due within a second, whatever the load.
const CORE_REPLY_TIMEOUT: Micros = Micros(800_000);
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Accepts operators' connections, each served by a task of its own.
pub async fn listen(shared: Rc<SharedState>, listener: Async<TcpListener>) {
    let mut connections: std::collections::VecDeque<async_executor::Task<()>> = Default::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|task| !task.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    drop(connections.pop_front()); // closes its connection
                }
                let shared = shared.clone();
                let executor = shared.executor.clone();
                connections.push_back(executor.spawn(async move {
                    let clock = shared.clock;
                    let deadline = clock.now().plus(COMMAND_TIMEOUT);
                    // A connection that closes earlier gets no answer.
                    let _ = clock.timeout_at(deadline, serve_command(&shared, stream)).await;
                }));
                // More connections may be waiting: without a turn in between, they would close this one.
                future::yield_now().await;
            }
            Err(e) => {
                tracing::warn!("mgmt: cannot accept a connection, retrying: {e}");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads one command, answers it, and closes the connection.
async fn serve_command(shared: &SharedState, mut stream: Async<TcpStream>) -> std::io::Result<()> {
    let (mut line, mut chunk) = (Vec::new(), [0; 128]);
    let answer = loop {
        let count = stream.read(&mut chunk).await?;
        line.extend_from_slice(&chunk[..count]);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            let answer = answer(shared, &line[..end]).await;
            log_command(shared, &line[..end], &answer);
            break answer;
        }
        if count == 0 {
            return Ok(()); // an incomplete command has no answer
        }
        if line.len() > MAX_LINE_BYTES {
            break "400 the line is too long".to_owned();
        }
    };
    stream.write_all(format!("{answer}\n").as_bytes()).await
}

/// Logs each complete command with its answer, and so the reason of a refusal.
fn log_command(shared: &SharedState, line: &[u8], answer: &str) {
    let command = String::from_utf8_lossy(line);
    let command = command.trim_end().escape_debug();
    shared.counters.operator_calls.increment();
    if answer.starts_with("200") {
        tracing::info!(call = %command, "operators: answered {answer}");
    } else {
        shared.counters.operator_calls_refused.increment();
        tracing::warn!(call = %command, "operators: answered {answer}");
    }
}

/// The answer to a command line.
async fn answer(shared: &SharedState, line: &[u8]) -> String {
    let line = String::from_utf8_lossy(line);
    let arguments: Vec<&str> = line.split_whitespace().collect();
    match arguments[..] {
        ["status"] if shared.stopping.get() => "400 it ends".into(),
        ["status"] if shared.taking_over.get() => "400 it learns what the process beside it knows".into(),
        ["status"] => match &*shared.list_state.borrow() {
            ListState::Missing => "400 no list yet".into(),
            ListState::Current => "200 ready".into(),
            ListState::Outdated(reason) => {
                format!("200 ready, with an old list: {}", reason.replace(['\r', '\n'], " "))
            }
        },
        [command @ ("maint-on" | "maint-off"), endpoint] => {
            let change =
                MaintenanceChange { endpoint: endpoint.to_owned(), in_maintenance: command == "maint-on" };
            maintenance(shared, change).await
        }
        ["maint-on" | "maint-off", ..] => "400 one endpoint a call".into(),
        [] => "400 an empty call".into(),
        [command, ..] => format!("400 no such call: {}", command.escape_debug()),
    }
}

/// Puts an endpoint into maintenance or takes it out again.
async fn maintenance(shared: &SharedState, change: MaintenanceChange) -> String {
    let MaintenanceChange { endpoint, in_maintenance } = change.clone();
    let escaped = endpoint.escape_debug();
    let done = format!("200 {escaped} is {}", if in_maintenance { "out" } else { "back" });
    let (reply, replies) = bounded(1);
    let core_reply = async {
        shared.core.send(CoreMessage::ChangeMaintenance { change, reply }).await.ok()?;
        replies.recv().await.ok()
    };
    let deadline = shared.clock.now().plus(CORE_REPLY_TIMEOUT);
    match shared.clock.timeout_at(deadline, core_reply).await.flatten() {
        Some(MaintenanceReply::Done) => done,
        Some(MaintenanceReply::NotPersisted(reason)) => {
            format!("{done}, and not yet kept for the next process: {reason}")
        }
        Some(MaintenanceReply::UnknownEndpoint) => format!("400 no such endpoint: {escaped}"),
        Some(MaintenanceReply::TooMany) => "400 too many endpoints are out".into(),
        None => "400 no answer in time: call again".into(),
    }
}

#[cfg(test)]
mod tests;
