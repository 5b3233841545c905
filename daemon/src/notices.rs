//! Ends that the platform is told of: sent again until it has heard.

use crate::module::{Ending, ToModule};
use crate::net::Shared;
use crate::net::http::HEAD_MOST;
use crate::net::http::client::Conn;
use async_channel::Receiver;
use async_io::Timer;
use onyxrock::core::End;
use onyxrock::interface::Micros;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const BATCH: usize = 64;
const PATIENCE: Micros = Micros(400_000);
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_millis(400);

pub async fn run(shared: Rc<Shared>, to: SocketAddr, endings: Receiver<Ending>) {
    let mut conn = None;
    while let Ok(first) = endings.recv().await {
        let mut batch = vec![first];
        while batch.len() < BATCH
            && let Ok(next) = endings.try_recv()
        {
            batch.push(next);
        }
        // One that the platform cannot read must not hold up the others: then each goes alone.
        if tell(&shared, to, &mut conn, &batch).await == 400 && batch.len() > 1 {
            for one in &batch {
                tell(&shared, to, &mut conn, std::slice::from_ref(one)).await;
            }
        }
        for ending in batch {
            shared.counters.notices_sent.up();
            if shared.module.send(ToModule::Told(ending.n)).await.is_err() {
                return;
            }
        }
    }
}

/// Sends until there is an answer; its status.
async fn tell(shared: &Shared, to: SocketAddr, conn: &mut Option<Conn>, batch: &[Ending]) -> u16 {
    let body: String = batch.iter().map(|e| line(e) + "\n").collect();
    let head = format!("POST /v1/outcomes HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n", body.len());
    let bytes = head + &body;
    let mut pause = PAUSE;
    loop {
        let by = shared.clock.now().after(PATIENCE);
        match shared.clock.before(by, post(to, conn, &bytes)).await {
            Some(Ok(status @ (204 | 200))) => return status,
            Some(Ok(400)) => {
                eprintln!("notices: the platform cannot read {body}");
                return 400;
            }
            _ => *conn = None,
        }
        shared.counters.notices_retried.up();
        Timer::after(pause).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
}

async fn post(to: SocketAddr, kept: &mut Option<Conn>, bytes: &str) -> std::io::Result<u16> {
    let mut conn = match kept.take().filter(|c| !c.stale()) {
        Some(conn) => conn,
        None => Conn::open(to, HEAD_MOST).await?,
    };
    conn.write(bytes.as_bytes()).await?;
    let answer = conn.head().await?;
    let (_, again) = conn.body(&answer).await?;
    *kept = again.then_some(conn);
    Ok(answer.status)
}

fn line(e: &Ending) -> String {
    match e.end {
        End::Returned(Some(wait)) => {
            json!({"id": e.id, "state": "returned", "after_ms": wait.0.div_ceil(1000)})
        }
        End::Returned(None) => json!({"id": e.id, "state": "returned"}),
        End::Failed | End::Delivered => json!({"id": e.id, "state": "failed"}),
    }
    .to_string()
}
