//! Reports final statuses of messages to the platform, and repeats each report until it is acknowledged.

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

/// Most statuses in one report.
const MAX_BATCH: usize = 64;
/// Time that the platform has to acknowledge a report. A status is reported some tenths of a second before it
/// is overdue, and several attempts have to fit into that. A repeat that crosses its acknowledgement does no
/// harm.
const ACK_TIMEOUT: Micros = Micros(150_000);
/// Delay before the first repeat; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a repeat.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs until the process ends. A message on `moves` says that the platform's address has changed: reports
/// that have not been acknowledged are sent there as well.
pub async fn run(shared: Rc<SharedState>, notices: Receiver<StatusNotice>, moves: Receiver<()>) {
    let mut link = PlatformLink { shared: &shared, conn: None, moves };
    while let Ok(first) = notices.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(next) = notices.try_recv()
        {
            batch.push(next);
        }
        // A status that the platform cannot parse must not block the others, so each is sent alone then.
        if link.report(&batch).await == 400 && batch.len() > 1 {
            for notice in &batch {
                link.report(std::slice::from_ref(notice)).await;
            }
        }
        for notice in batch {
            shared.counters.notices_sent.increment();
            let now = shared.clock.now();
            shared.invariants.check_report_time(
                now,
                &notice.request_id,
                notice.deadline,
                shared.clock.uptime(),
            );
            if shared.core.send(CoreMessage::NoticeDelivered(notice.number)).await.is_err() {
                return;
            }
        }
    }
}

/// The connection to the platform.
struct PlatformLink<'a> {
    shared: &'a SharedState,
    conn: Option<Conn>,
    moves: Receiver<()>,
}

impl PlatformLink<'_> {
    /// Sends a batch until the platform has answered, and returns the HTTP status.
    async fn report(&mut self, batch: &[StatusNotice]) -> u16 {
        let body: String = batch.iter().map(|notice| notice_json(notice) + "\n").collect();
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            let (clock, to) = (self.shared.clock, self.shared.discovery.get());
            let length = body.len();
            let bytes =
                format!("POST /v1/outcomes HTTP/1.1\r\nHost: {to}\r\nContent-Length: {length}\r\n\r\n{body}");
            let deadline = clock.now().plus(ACK_TIMEOUT);
            let posted = clock.timeout_at(deadline, post(&clock, to, &mut self.conn, &bytes));
            // Only failures wait; a change of the platform's address takes effect at once.
            let moves = async {
                next_move(&self.moves).await;
                Err(())
            };
            match future::or(async { Ok(posted.await) }, moves).await {
                Ok(Some(Ok(status @ (204 | 200)))) => return status,
                Ok(Some(Ok(400))) => {
                    tracing::error!(%body, "notices: the platform rejected this report as malformed");
                    return 400;
                }
                Ok(_) => {
                    self.conn = None;
                    self.shared.counters.notices_retried.increment();
                    let delay_over = async {
                        Timer::after(delay).await;
                        (delay * 2).min(MAX_RETRY_DELAY)
                    };
                    let moved = async {
                        next_move(&self.moves).await;
                        FIRST_RETRY_DELAY
                    };
                    delay = future::or(delay_over, moved).await;
                }
                Err(()) => (self.conn, delay) = (None, FIRST_RETRY_DELAY),
            }
        }
    }
}

/// Waits until the platform's address changes.
async fn next_move(moves: &Receiver<()>) {
    if moves.recv().await.is_err() {
        future::pending().await
    }
}

/// Sends one report and reads the status of its response, on a kept connection if there is one.
async fn post(
    clock: &Clock, to: SocketAddr, kept_conn: &mut Option<Conn>, bytes: &str,
) -> std::io::Result<u16> {
    let mut conn = match kept_conn.take().filter(|c| !c.is_stale()) {
        Some(conn) => conn,
        None => Conn::open(to, MAX_HEAD_BYTES).await?,
    };
    conn.write(bytes.as_bytes()).await?;
    let mut answer = conn.read_head(clock, clock.now().plus(ACK_TIMEOUT)).await?;
    let reusable = conn.discard_body(&mut answer).await?;
    *kept_conn = reusable.then_some(conn);
    Ok(answer.status)
}

fn notice_json(notice: &StatusNotice) -> String {
    match notice.status {
        FinalStatus::Returned(Some(retry_after)) => {
            json!({"id": notice.request_id, "state": "returned", "after_ms": retry_after.0.div_ceil(1000)})
        }
        FinalStatus::Returned(None) => json!({"id": notice.request_id, "state": "returned"}),
        FinalStatus::Failed | FinalStatus::Delivered => json!({"id": notice.request_id, "state": "failed"}),
    }
    .to_string()
}
