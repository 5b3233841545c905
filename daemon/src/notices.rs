//! Ends that the platform is told of: sent again until it has heard.

use crate::clock::Clock;
use crate::core_actor::{CoreMessage, StatusNotice};
use crate::net::SharedState;
use crate::net::http::MAX_HEAD_BYTES;
use crate::net::http::client::Conn;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use onyxrock::core::FinalStatus;
use onyxrock::interface::Micros;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const BATCH: usize = 64;
/// An end is told some tenths of a second before it is overdue: several tries have to fit into that, and one that crosses its
/// answer does no harm.
const PATIENCE: Micros = Micros(150_000);
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_millis(200);

/// Each move is word that they go elsewhere from now on, those too that are out and not acknowledged.
pub async fn run(shared: Rc<SharedState>, endings: Receiver<StatusNotice>, moves: Receiver<()>) {
    let mut line = Line { shared: &shared, conn: None, moves };
    while let Ok(first) = endings.recv().await {
        let mut batch = vec![first];
        while batch.len() < BATCH
            && let Ok(next) = endings.try_recv()
        {
            batch.push(next);
        }
        // One that the platform cannot read must not hold up the others: then each goes alone.
        if line.tell(&batch).await == 400 && batch.len() > 1 {
            for one in &batch {
                line.tell(std::slice::from_ref(one)).await;
            }
        }
        for ending in batch {
            shared.counters.notices_sent.increment();
            let now = shared.clock.now();
            shared.invariants.ended(now, &ending.id, ending.deadline, shared.clock.uptime());
            if shared.core.send(CoreMessage::NoticeDelivered(ending.number)).await.is_err() {
                return;
            }
        }
    }
}

/// The way to the platform.
struct Line<'a> {
    shared: &'a SharedState,
    conn: Option<Conn>,
    moves: Receiver<()>,
}

impl Line<'_> {
    /// Sends until there is an answer; its status.
    async fn tell(&mut self, batch: &[StatusNotice]) -> u16 {
        let body: String = batch.iter().map(|e| line(e) + "\n").collect();
        let mut pause = PAUSE;
        loop {
            let (clock, to) = (self.shared.clock, self.shared.discovery.get());
            let n = body.len();
            let bytes =
                format!("POST /v1/outcomes HTTP/1.1\r\nHost: {to}\r\nContent-Length: {n}\r\n\r\n{body}");
            let by = clock.now().plus(PATIENCE);
            let posted = clock.timeout_at(by, post(&clock, to, &mut self.conn, &bytes));
            // Only what has gone wrong waits: who has moved hears of it at once.
            let moves = async {
                moved(&self.moves).await;
                Err(())
            };
            match future::or(async { Ok(posted.await) }, moves).await {
                Ok(Some(Ok(status @ (204 | 200)))) => return status,
                Ok(Some(Ok(400))) => {
                    tracing::error!(%body, "notices: the platform cannot read this");
                    return 400;
                }
                Ok(_) => {
                    self.conn = None;
                    self.shared.counters.notices_retried.increment();
                    let wait = async {
                        Timer::after(pause).await;
                        (pause * 2).min(PAUSE_MOST)
                    };
                    let moved = async {
                        moved(&self.moves).await;
                        PAUSE
                    };
                    pause = future::or(wait, moved).await;
                }
                Err(()) => (self.conn, pause) = (None, PAUSE),
            }
        }
    }
}

async fn moved(moves: &Receiver<()>) {
    if moves.recv().await.is_err() {
        future::pending().await
    }
}

async fn post(clock: &Clock, to: SocketAddr, kept: &mut Option<Conn>, bytes: &str) -> std::io::Result<u16> {
    let mut conn = match kept.take().filter(|c| !c.is_stale()) {
        Some(conn) => conn,
        None => Conn::open(to, MAX_HEAD_BYTES).await?,
    };
    conn.write(bytes.as_bytes()).await?;
    let mut answer = conn.read_head(clock, clock.now().plus(PATIENCE)).await?;
    let again = conn.discard_body(&mut answer).await?;
    *kept = again.then_some(conn);
    Ok(answer.status)
}

fn line(e: &StatusNotice) -> String {
    match e.status {
        FinalStatus::Returned(Some(wait)) => {
            json!({"id": e.id, "state": "returned", "after_ms": wait.0.div_ceil(1000)})
        }
        FinalStatus::Returned(None) => json!({"id": e.id, "state": "returned"}),
        FinalStatus::Failed | FinalStatus::Delivered => json!({"id": e.id, "state": "failed"}),
    }
    .to_string()
}
