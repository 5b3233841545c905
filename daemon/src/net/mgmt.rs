//! Where operators call: one line to a connection, one line back that begins with 200 or 400. It has connections of its
//! own, few of them, and waits for nobody else's queue.

use super::{ListState, SharedState};
use crate::core_actor::{CoreMessage, MaintenanceReply};
use crate::maintenance::MaintenanceChange;
use async_channel::bounded;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use onyxrock::interface::Micros;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// A call is a few words.
const LINE_MOST: usize = 512;
/// Who has not said it by then goes ...
const WHOLE: Micros = Micros(5_000_000);
/// ... and sooner, the oldest first, where so many are here.
const CALLERS: usize = 16;
/// An answer is due within a second, whatever the load.
const MODULE_ANSWERS_WITHIN: Micros = Micros(800_000);
const PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

pub async fn listen(shared: Rc<SharedState>, listener: Async<TcpListener>) {
    let mut callers: std::collections::VecDeque<async_executor::Task<()>> = Default::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|c| !c.is_finished());
                if callers.len() >= CALLERS {
                    drop(callers.pop_front()); // its connection goes with it
                }
                let shared = shared.clone();
                let executor = shared.executor.clone();
                callers.push_back(executor.spawn(async move {
                    let clock = shared.clock;
                    let by = clock.now().plus(WHOLE);
                    // Who goes before the answer has none.
                    let _ = clock.timeout_at(by, call(&shared, stream)).await;
                }));
            }
            Err(e) => {
                tracing::warn!("mgmt: accept: {e}");
                async_io::Timer::after(PAUSE).await;
            }
        }
    }
}

async fn call(shared: &SharedState, mut stream: Async<TcpStream>) -> std::io::Result<()> {
    let (mut line, mut some) = (Vec::new(), [0; 128]);
    let answer = loop {
        let n = stream.read(&mut some).await?;
        line.extend_from_slice(&some[..n]);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            let answer = answer(shared, &line[..end]).await;
            note(shared, &line[..end], &answer);
            break answer;
        }
        if n == 0 {
            return Ok(()); // half a call is none
        }
        if line.len() > LINE_MOST {
            break "400 the line is too long".to_owned();
        }
    };
    stream.write_all(format!("{answer}\n").as_bytes()).await
}

/// Each call that was whole is a line of the log, with its answer and so the reason of a refusal.
fn note(shared: &SharedState, line: &[u8], answer: &str) {
    let call = String::from_utf8_lossy(line);
    let call = call.trim_end().escape_debug();
    shared.counters.operator_calls.increment();
    if answer.starts_with("200") {
        tracing::info!(%call, "operators: answered {answer}");
    } else {
        shared.counters.operator_calls_refused.increment();
        tracing::warn!(%call, "operators: answered {answer}");
    }
}

async fn answer(shared: &SharedState, line: &[u8]) -> String {
    let line = String::from_utf8_lossy(line);
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["status"] if shared.stopping.get() => "400 it ends".into(),
        ["status"] if shared.taking_over.get() => "400 it learns what the process beside it knows".into(),
        ["status"] => match &*shared.list_state.borrow() {
            ListState::Missing => "400 no list yet".into(),
            ListState::Current => "200 ready".into(),
            ListState::Outdated(why) => {
                format!("200 ready, with an old list: {}", why.replace(['\r', '\n'], " "))
            }
        },
        [what @ ("maint-on" | "maint-off"), endpoint] => {
            let change =
                MaintenanceChange { endpoint: endpoint.to_owned(), in_maintenance: what == "maint-on" };
            maintenance(shared, change).await
        }
        ["maint-on" | "maint-off", ..] => "400 one endpoint a call".into(),
        [] => "400 an empty call".into(),
        [what, ..] => format!("400 no such call: {}", what.escape_debug()),
    }
}

/// Takes an endpoint out, or puts it back.
async fn maintenance(shared: &SharedState, change: MaintenanceChange) -> String {
    let MaintenanceChange { endpoint, in_maintenance: out } = change.clone();
    let shown = endpoint.escape_debug();
    let done = format!("200 {shown} is {}", if out { "out" } else { "back" });
    let (reply, answered) = bounded(1);
    let asked = async {
        shared.core.send(CoreMessage::ChangeMaintenance { change, reply }).await.ok()?;
        answered.recv().await.ok()
    };
    let by = shared.clock.now().plus(MODULE_ANSWERS_WITHIN);
    match shared.clock.timeout_at(by, asked).await.flatten() {
        Some(MaintenanceReply::Done) => done,
        Some(MaintenanceReply::NotPersisted(why)) => {
            format!("{done}, and not yet kept for the next process: {why}")
        }
        Some(MaintenanceReply::UnknownEndpoint) => format!("400 no such endpoint: {shown}"),
        Some(MaintenanceReply::TooMany) => "400 too many endpoints are out".into(),
        None => "400 no answer in time: call again".into(),
    }
}

#[cfg(test)]
mod tests;
