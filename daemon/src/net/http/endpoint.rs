//! The actor of one HTTP endpoint: its idle connections and the outbound calls over them.

use super::MAX_HEAD_BYTES;
use super::client::{CLOSE_HEADER, Conn, Response, ResponseError, RetryAfter, is_local_failure};
use super::idle::{Idle, IdleConnections, Returned};
use super::reuse::STALE_BREAK_WITHIN;
use crate::clock::Clock;
use crate::core_actor::CoreMessage;
use crate::net::{OutboundCall, SharedState, ToEndpoint};
use async_channel::{Receiver, Sender, bounded};
use futures_lite::future;
use onyxrock::core::AttemptOutcome;
use onyxrock::interface::{Micros, Verdict};
use std::cell::Cell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;

/// Idle time before a connection may carry its next call. Unexpected input behind a response arrives within
/// this time, if any comes.
const SETTLE_TIME: Micros = Micros(3_000);

/// Delay before a call is handed back that this machine had no file descriptor or port for, so that it is
/// not retried at once.
const LOCAL_FAILURE_DELAY: Micros = Micros(50_000);
/// Unreadable responses that are logged; all of them are counted.
const MAX_LOGGED_RESPONSES: u64 = 20;

/// Starts the actor of an endpoint; `capacity` is the length of its mailbox.
pub fn start(shared: &Rc<SharedState>, address: SocketAddr, capacity: usize) -> Sender<ToEndpoint> {
    let (mailbox, inbox) = bounded(capacity);
    let actor = run(shared.clone(), address, inbox, capacity);
    shared.executor.spawn(actor).detach();
    mailbox
}

async fn run(shared: Rc<SharedState>, mut address: SocketAddr, inbox: Receiver<ToEndpoint>, capacity: usize) {
    // Finished calls return their connections here.
    let (connection_returns, returned_connections) = bounded(capacity);
    let mut idle = IdleConnections::new(shared.clone());
    loop {
        let due = idle.due();
        let returned = async { (None, returned_connections.recv().await.ok()) };
        let next = async { (Some(inbox.recv().await), None) };
        let retire = async {
            shared.clock.sleep_until(due).await;
            (None, None)
        };
        let (message, returned) = future::or(future::or(returned, next), retire).await;
        let now = shared.clock.now();
        if let Some(returned) = returned {
            idle.on_returned(now, address, returned);
        }
        match message {
            None => {}
            // The endpoint has been removed, and no call to it is in flight.
            Some(Err(_)) => return idle.close_all(),
            Some(Ok(ToEndpoint::Call(call))) => {
                let conn = idle.take_for(now, &call);
                let (shared, connection_returns) = (shared.clone(), connection_returns.clone());
                let executor = shared.executor.clone();
                executor.spawn(run_call(shared, address, *call, conn, connection_returns)).detach();
            }
            Some(Ok(ToEndpoint::CloseIdle)) => idle.stop_keeping(),
            Some(Ok(ToEndpoint::AddressChanged(new_address))) => {
                address = *new_address;
                idle.close_all();
            }
        }
        idle.retire(now);
    }
}

async fn run_call(
    shared: Rc<SharedState>, address: SocketAddr, call: OutboundCall, idle: Option<Idle>,
    connection_returns: Sender<Returned>,
) {
    let findings = Findings::default();
    // Cancelling a call means closing its connection, which dropping the attempt does.
    let cancelled = async {
        call.cancelled().await;
        (Verdict::Cancelled, None, None)
    };
    let (verdict, response, conn) =
        future::or(attempt(&shared, address, &call, idle, &findings), cancelled).await;
    let load_report = response
        .as_ref()
        .and_then(|response| response.load.as_deref())
        .map(parse_load_report)
        .unwrap_or_default();
    let outcome = AttemptOutcome {
        finished: response.as_ref().is_some_and(|response| response.status == 410),
        load_report,
        wait_until: findings.wait_until.get(),
        ..call.outcome(shared.clock.now(), verdict)
    };
    if matches!(verdict, Verdict::TimedOut | Verdict::Reset | Verdict::Stale) {
        let _ = connection_returns.try_send(Returned::SuspectIdle);
    }
    if let Some(confirms) = findings.confirms_close.get() {
        let _ = connection_returns.try_send(Returned::ConfirmsClose(confirms));
    }
    let _ = shared.core.send(CoreMessage::AttemptEnded(outcome)).await;
    let reusable = match (response, conn) {
        // The first line of the response was enough for the verdict; the connection can be used again after
        // its end.
        (Some(mut response), Some(mut conn)) => {
            let end_by = conn.part_end(shared.clock.now());
            let reusable = shared.clock.timeout_at(end_by, conn.discard_body(&mut response)).await;
            Some(conn).filter(|_| matches!(reusable, Some(Ok(true))))
        }
        // The call was held back: nothing has been written to the connection.
        (None, conn) => conn,
        (Some(_), None) => None,
    };
    if let Some(conn) = reusable
        && connection_returns.try_send(Returned::Reusable(Box::new((conn, address)))).is_ok()
    {
        return;
    }
    shared.counters.outbound_open.decrement();
}

/// What an attempt learns, whatever its outcome, and even if it is cancelled.
#[derive(Default)]
struct Findings {
    /// The time until which the response asked to wait.
    wait_until: Cell<Micros>,
    /// Whether the endpoint confirms the end of a connection.
    confirms_close: Cell<Option<bool>>,
}

/// Makes one attempt. A connection that is not returned is closed, which cancels a call in progress.
async fn attempt(
    shared: &SharedState, address: SocketAddr, call: &OutboundCall, idle: Option<Idle>, findings: &Findings,
) -> (Verdict, Option<Response>, Option<Conn>) {
    let (clock, counters) = (&shared.clock, &shared.counters);
    let deadline = call.deadline();
    let (mut kept, mut idle_time) = (None, None);
    if let Some(Idle { since, conn }) = idle {
        let settled_at = since.plus(SETTLE_TIME);
        if settled_at > clock.now() {
            clock.sleep_until(Some(settled_at)).await;
        }
        kept = Some(conn).filter(|c| !c.is_stale());
        idle_time = kept.as_ref().map(|_| clock.now().since(since));
        if kept.is_none() {
            counters.outbound_open.decrement();
        }
    }
    let mut conn = match kept {
        Some(conn) => {
            counters.outbound_reused.increment();
            conn
        }
        None => {
            counters.outbound_open.increment();
            counters.outbound_opened.increment();
            let connect_by = deadline.min(clock.now().plus(shared.connect_timeout));
            match clock.timeout_at(connect_by, Conn::open(address, MAX_HEAD_BYTES)).await {
                Some(Ok(conn)) => conn,
                Some(Err(e)) if is_local_failure(&e) => {
                    counters.held_back_local.increment();
                    clock.sleep_until(Some(clock.now().plus(LOCAL_FAILURE_DELAY))).await;
                    return (Verdict::HeldBack, None, None);
                }
                _ => return (Verdict::ConnectFailed, None, None),
            }
        }
    };
    // The core persists the attempt before it grants a permit, since the call may run from here on.
    let permit = match shared.request_permit(call, address, false).await {
        Ok(permit) => permit,
        Err(verdict) => return (verdict, None, Some(conn)),
    };
    // The endpoint may have closed the connection while the permit was requested. A call written now would
    // be lost as one that may have run; unwritten it has not run. For a kept connection that says nothing
    // about the endpoint.
    if conn.is_stale() {
        let kept = idle_time.is_some();
        if kept {
            counters.held_back_closed.increment();
        }
        return (if kept { Verdict::HeldBack } else { Verdict::ConnectFailed }, None, None);
    }
    let is_last = conn.is_answered_once();
    let bytes = request(address, call, permit.epoch, clock, if is_last { CLOSE_HEADER } else { "" });
    // A process that was suspended since then may have lost its lease on the probe duty.
    if call.probe_path.is_some() && clock.now() >= deadline {
        return (Verdict::Moot, None, Some(conn));
    }
    shared.record_send(call, &permit);
    let mut unwritten = &bytes[..];
    loop {
        match conn.try_write(unwritten) {
            Ok(count) => unwritten = &unwritten[count..],
            Err(_) => return (Verdict::ConnectFailed, None, None),
        }
        if unwritten.is_empty() {
            break;
        }
        // A call runs only when its last byte has arrived. If the socket's buffer is full, a new permit is
        // required before the rest is written; closed here, the call has not run.
        if !matches!(clock.timeout_at(deadline, conn.writable()).await, Some(Ok(()))) {
            return (Verdict::ConnectFailed, None, None);
        }
        if let Err(verdict) = shared.request_permit(call, address, true).await {
            return (verdict, None, None);
        }
    }
    let written = clock.now();
    // The response may be a long time coming.
    drop(bytes);
    let result = conn.read_own_head(clock, deadline).await;
    (0..conn.skipped_copies()).for_each(|_| counters.copies_skipped.increment());
    match &result {
        Ok(_) if is_last => {
            findings.confirms_close.set(Some(true));
            shared.confirms_close.set(true);
        }
        Err(_) if conn.skipped_copies() > 0 => findings.confirms_close.set(Some(false)),
        _ => {}
    }
    // A kept connection that breaks at once was stale; a later break, or one of a new connection, is the
    // endpoint's.
    let broke_at_once = clock.now().since(written) < STALE_BREAK_WITHIN && conn.skipped_copies() == 0;
    let stale = idle_time.filter(|_| broke_at_once && matches!(result, Err(ResponseError::Disconnected(_))));
    if let Some(idle) = idle_time
        && (result.is_ok() || stale.is_some())
    {
        shared.reuse_stats.borrow_mut().record(idle, stale.is_some());
    }
    let mut response = match result {
        Ok(response) => response,
        Err(ResponseError::Disconnected(_)) if stale.is_some() => return (Verdict::Stale, None, None),
        Err(ResponseError::TimedOut) => return (Verdict::TimedOut, None, None),
        Err(ResponseError::Disconnected(_)) => return (Verdict::Reset, None, None),
        Err(ResponseError::Malformed(reason)) => return malformed_response(shared, address, &reason),
    };
    // A complete head is enough for its Retry-After, which counts from now on, whatever the body does.
    if response.status == 429 {
        match response.retry_after {
            RetryAfter::After(wait) => findings.wait_until.set(clock.now().plus(wait)),
            RetryAfter::Unreadable => counters.waits_unread.increment(),
            RetryAfter::Absent => {}
        }
        if findings.wait_until.get() > Micros(0) && !conn.body_is_buffered(&response) {
            let _ = shared
                .core
                .send(CoreMessage::RetryAfter { receiver: call.receiver, until: findings.wait_until.get() })
                .await;
        }
    }
    // That a call has not run is believed only from a complete response.
    if response.status != 200 {
        let end_by = conn.part_end(clock.now());
        match clock.timeout_at(end_by, conn.discard_body(&mut response)).await {
            Some(Ok(_)) => {}
            Some(Err(e)) => return malformed_response(shared, address, &e.to_string()),
            None => return malformed_response(shared, address, "the body did not end in time"),
        }
    }
    // A 503 that closes a new connection: the endpoint runs, but its connection table is full.
    if idle_time.is_none() && response.status == 503 && !response.no_slot && response.closes() {
        counters.outbound_no_place.increment();
        return (Verdict::ConnectionLimit, None, None);
    }
    let verdict = verdict(&response, findings.wait_until.get().since(clock.now()));
    (verdict, Some(response), Some(conn))
}

/// Logs a response that cannot be read: the call may have run. The endpoint is reachable, so its other
/// connections are as good as before.
fn malformed_response(
    shared: &SharedState, address: SocketAddr, reason: &str,
) -> (Verdict, Option<Response>, Option<Conn>) {
    let count = &shared.counters.spoilt;
    count.increment();
    if count.get() <= MAX_LOGGED_RESPONSES {
        tracing::warn!(peer = %address, "endpoint: unreadable response, the call may have run: {reason}");
    }
    (Verdict::Error, None, None)
}

fn request(
    address: SocketAddr, call: &OutboundCall, epoch: u64, clock: &Clock, connection_header: &str,
) -> Vec<u8> {
    if let Some(path) = &call.probe_path {
        // Partners refuse an epoch below the highest that they have seen, and so a probe from a process
        // that was suspended and has lost its lease.
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nX-Epoch: {epoch}\r\n");
        return format!("{head}{connection_header}\r\n").into_bytes();
    }
    let mut head = format!(
        "POST /inbox HTTP/1.1\r\nHost: {address}\r\n{connection_header}X-Request-Id: {}\r\n",
        call.request_id
    );
    if !call.idempotency_key.is_empty() {
        let _ = write!(head, "Idempotency-Key: {}\r\n", call.idempotency_key);
    }
    let time_left = call.deadline().since(clock.now()).secs();
    let _ = write!(head, "X-Deadline: {time_left:.3}\r\nContent-Length: {}\r\n\r\n", call.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}

/// Maps a status to a verdict as the protocol's table says; `wait` is what remains of Retry-After.
fn verdict(response: &Response, wait: Micros) -> Verdict {
    match response.status {
        200 => Verdict::Delivered,
        429 => Verdict::Full(Some(wait).filter(|w| *w > Micros(0))),
        503 if response.no_slot => Verdict::Moot,
        503 => Verdict::Full(None),
        504 | 410 => Verdict::Moot,
        // 500 or not in the table: nothing proves that the call has not run.
        _ => Verdict::Error,
    }
}

/// The limit in calls a second, and the share of it that remains.
fn parse_load_report(load_report: &str) -> (Option<f64>, Option<f64>) {
    let value: serde_json::Value = serde_json::from_str(load_report).unwrap_or_default();
    let field = |name: &str| value.get(name).and_then(serde_json::Value::as_f64);
    onyxrock::interface::load_report(field("x1"), field("x0"))
}

#[cfg(test)]
mod tests;
