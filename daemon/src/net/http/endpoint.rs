//! One endpoint: its idle connections, and the outbound calls over them.

use super::MAX_HEAD_BYTES;
use super::client::{Again, Answer, Conn, Lost, TAIL, is_local};
use super::reuse::AT_ONCE;
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

/// What an endpoint says behind its answer shows within this, if it says anything: only then may the connection
/// take the next call.
const SETTLE: Micros = Micros(3_000);

/// What this machine has no descriptor or port for is not decided on again at once.
const LOCAL_PAUSE: Micros = Micros(50_000);
/// So many of them are logged; all are counted.
const LOGGED: u64 = 20;

/// Starts the actor of an endpoint.
pub fn start(shared: &Rc<SharedState>, address: SocketAddr, room: usize) -> Sender<ToEndpoint> {
    let (mailbox, inbox) = bounded(room);
    let actor = run(shared.clone(), address, inbox, room);
    shared.executor.spawn(actor).detach();
    mailbox
}

async fn run(shared: Rc<SharedState>, mut address: SocketAddr, inbox: Receiver<ToEndpoint>, room: usize) {
    let (give_back, given_back) = bounded(room); // connections that have done their call
    let mut idle: Vec<Idle> = Vec::new(); // the longest idle first
    let mut keeps = true; // what comes back: not after idle ones were given back, until the next call
    loop {
        let oldest = idle.first().and_then(|i| Some(i.since.plus(shared.idle_timeout?)));
        let back = async { (None, given_back.recv().await.ok()) };
        let next = async { (Some(inbox.recv().await), None) };
        let retire = async {
            shared.clock.sleep_until(oldest).await;
            (None, None)
        };
        let (message, back) = future::or(future::or(back, next), retire).await;
        let now = shared.clock.now();
        match back {
            // Near the bound on descriptors no connection is kept for later; none outlives its address.
            Some(Back::Sound(sound)) => {
                let (mut conn, to) = *sound;
                if !keeps || to != address || shared.counters.outbound_open.get() > shared.max_outbound {
                    shared.counters.outbound_open.decrement();
                } else {
                    conn.rest_buffer();
                    idle.push(Idle { since: now, conn });
                }
            }
            // A machine that vanished leaves its connections open and silent: a call over one would time out and
            // may have run, where a new connection that does not come up proves that it has not.
            Some(Back::Suspect) => close_all(&shared, &mut idle),
            None => {}
        }
        match message {
            None => {}
            // The endpoint is gone, and nothing is out to it.
            Some(Err(_)) => return close_all(&shared, &mut idle),
            Some(Ok(ToEndpoint::Call(call))) => {
                keeps = true;
                retire_idle(&shared, &mut idle, now);
                // The youngest is the best; one that is not good enough is closed, so that they do not pile up.
                let conn = idle.pop().filter(|i| {
                    let good =
                        shared.reuse_stats.borrow_mut().allows(now.since(i.since), call.unsafe_to_repeat);
                    if !good {
                        shared.counters.outbound_open.decrement();
                        shared.counters.outbound_passed_over.increment();
                    }
                    good
                });
                let (shared, give_back) = (shared.clone(), give_back.clone());
                let executor = shared.executor.clone();
                executor.spawn(outbound_call(shared, address, *call, conn, give_back)).detach();
            }
            Some(Ok(ToEndpoint::CloseIdle)) => {
                keeps = false;
                close_all(&shared, &mut idle);
            }
            Some(Ok(ToEndpoint::AddressChanged(to))) => {
                address = *to;
                close_all(&shared, &mut idle);
            }
        }
        retire_idle(&shared, &mut idle, now);
    }
}

/// A connection that waits for its next call.
struct Idle {
    since: Micros,
    conn: Conn,
}

/// What a call says of the connection that it used.
enum Back {
    /// Boxed: there is room for many.
    Sound(Box<(Conn, SocketAddr)>),
    Suspect,
}

fn close_all(shared: &SharedState, idle: &mut Vec<Idle>) {
    idle.drain(..).for_each(|_| shared.counters.outbound_open.decrement());
}

/// An endpoint closes what has been idle for the platform's limit, and a request that crosses that close may
/// have run: let go well before, and of what the other side has closed already.
fn retire_idle(shared: &SharedState, idle: &mut Vec<Idle>, now: Micros) {
    idle.retain(|i| {
        let keep = shared.idle_timeout.is_none_or(|most| now.since(i.since) < most) && !i.conn.is_stale();
        if !keep {
            shared.counters.outbound_open.decrement();
        }
        keep
    });
}

async fn outbound_call(
    shared: Rc<SharedState>, address: SocketAddr, call: OutboundCall, idle: Option<Idle>,
    give_back: Sender<Back>,
) {
    // Until when its answer told to wait: that holds whatever becomes of the attempt.
    let told = Cell::new(Micros(0));
    // To give up a call is to close its connection: dropping the attempt does that.
    let called_off = async {
        call.called_off().await;
        (Verdict::Cancelled, None, None)
    };
    let (verdict, answer, conn) = future::or(attempt(&shared, address, &call, idle, &told), called_off).await;
    let load = answer.as_ref().and_then(|a| a.load.as_deref()).map(report).unwrap_or_default();
    let answered = AttemptOutcome {
        finished: answer.as_ref().is_some_and(|a| a.status == 410),
        load_report: load,
        wait_until: told.get(),
        ..call.outcome(shared.clock.now(), verdict)
    };
    if matches!(verdict, Verdict::TimedOut | Verdict::Reset | Verdict::Stale) {
        let _ = give_back.try_send(Back::Suspect);
    }
    let _ = shared.core.send(CoreMessage::AttemptEnded(answered)).await;
    let sound = match (answer, conn) {
        // A delivery needed the first line only; the connection is good for another call after the rest.
        (Some(mut answer), Some(mut conn)) => {
            let tail = shared.clock.now().plus(TAIL);
            let again = shared.clock.timeout_at(tail, conn.discard_body(&mut answer)).await;
            Some(conn).filter(|_| matches!(again, Some(Ok(true))))
        }
        // The call was held back: nothing has gone over its connection.
        (None, conn) => conn,
        (Some(_), None) => None,
    };
    if let Some(conn) = sound
        && give_back.try_send(Back::Sound(Box::new((conn, address)))).is_ok()
    {
        return;
    }
    shared.counters.outbound_open.decrement();
}

/// Makes one attempt. A connection that is not handed back is closed, which is how a call is given up.
async fn attempt(
    shared: &SharedState, address: SocketAddr, call: &OutboundCall, idle: Option<Idle>, told: &Cell<Micros>,
) -> (Verdict, Option<Answer>, Option<Conn>) {
    let (clock, counters) = (&shared.clock, &shared.counters);
    let until = call.until();
    let (mut kept, mut rested) = (None, None);
    if let Some(Idle { since, conn }) = idle {
        let settled = since.plus(SETTLE);
        if settled > clock.now() {
            clock.sleep_until(Some(settled)).await;
        }
        kept = Some(conn).filter(|c| !c.is_stale());
        rested = kept.as_ref().map(|_| clock.now().since(since));
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
            let by = until.min(clock.now().plus(shared.connect_timeout));
            match clock.timeout_at(by, Conn::open(address, MAX_HEAD_BYTES)).await {
                Some(Ok(conn)) => conn,
                Some(Err(e)) if is_local(&e) => {
                    counters.held_back_local.increment();
                    clock.sleep_until(Some(clock.now().plus(LOCAL_PAUSE))).await;
                    return (Verdict::HeldBack, None, None);
                }
                _ => return (Verdict::ConnectFailed, None, None),
            }
        }
    };
    // From here on the call may run: the module has it in the log first, or says that it must not go.
    let permit = match shared.request_permit(call, address, false).await {
        Ok(permit) => permit,
        Err(verdict) => return (verdict, None, Some(conn)),
    };
    // While the module was asked the other side may have closed it. Written now the call would be lost as one that may
    // have run; unwritten it has not, and of a kept connection that says nothing of the endpoint.
    if conn.is_stale() {
        let kept = rested.is_some();
        if kept {
            counters.held_back_closed.increment();
        }
        return (if kept { Verdict::HeldBack } else { Verdict::ConnectFailed }, None, None);
    }
    let bytes = request(address, call, permit.epoch, clock);
    // A process that was stood still since then may have lost the right to probe.
    if call.probe_path.is_some() && clock.now() >= until {
        return (Verdict::Moot, None, Some(conn));
    }
    shared.sends(call, &permit);
    let mut left = &bytes[..];
    loop {
        match conn.put(left) {
            Ok(n) => left = &left[n..],
            Err(_) => return (Verdict::ConnectFailed, None, None),
        }
        if left.is_empty() {
            break;
        }
        // A call counts when its last byte has come: what has to wait for room asks again. Closed here it never ran.
        if !matches!(clock.timeout_at(until, conn.room()).await, Some(Ok(()))) {
            return (Verdict::ConnectFailed, None, None);
        }
        if let Err(verdict) = shared.request_permit(call, address, true).await {
            return (verdict, None, None);
        }
    }
    let written = clock.now();
    let read = conn.read_head(clock, until).await;
    // A kept connection that breaks at once tells of itself; later, or when new, of the endpoint.
    let at_once = clock.now().since(written) < AT_ONCE;
    let stale = rested.filter(|_| at_once && matches!(read, Err(Lost::Broken(_))));
    if let Some(idle) = rested
        && (read.is_ok() || stale.is_some())
    {
        shared.reuse_stats.borrow_mut().note(idle, stale.is_some());
    }
    let mut answer = match read {
        Ok(answer) => answer,
        Err(Lost::Broken(_)) if stale.is_some() => return (Verdict::Stale, None, None),
        Err(Lost::TimedOut) => return (Verdict::TimedOut, None, None),
        Err(Lost::Broken(_)) => return (Verdict::Reset, None, None),
        Err(Lost::Spoilt(why)) => return spoilt(shared, address, &why),
    };
    // A whole head tells a wait, which runs from now on, whatever the body does.
    if answer.status == 429 {
        match answer.again {
            Again::After(wait) => told.set(clock.now().plus(wait)),
            Again::Unread => counters.waits_unread.increment(),
            Again::Unsaid => {}
        }
        if told.get() > Micros(0) && !conn.whole(&answer) {
            let _ = shared
                .core
                .send(CoreMessage::RetryAfter { receiver: call.receiver, until: told.get() })
                .await;
        }
    }
    // That a call has not run is believed only of an answer that is whole.
    if answer.status != 200 {
        let tail = clock.now().plus(TAIL);
        match clock.timeout_at(tail, conn.discard_body(&mut answer)).await {
            Some(Ok(_)) => {}
            Some(Err(e)) => return spoilt(shared, address, &e.to_string()),
            None => return spoilt(shared, address, "a body without end"),
        }
    }
    // Turned away on a new connection, which ends with that: the endpoint runs, and its connection table is full.
    if rested.is_none() && answer.status == 503 && !answer.no_slot && answer.closes() {
        counters.outbound_no_place.increment();
        return (Verdict::ConnectionLimit, None, None);
    }
    let verdict = verdict(&answer, told.get().since(clock.now()));
    (verdict, Some(answer), Some(conn))
}

/// Something came that is no answer: the call may have run. The endpoint is there, so its other connections are
/// as good as before.
fn spoilt(shared: &SharedState, address: SocketAddr, why: &str) -> (Verdict, Option<Answer>, Option<Conn>) {
    let n = &shared.counters.spoilt;
    n.increment();
    if n.get() <= LOGGED {
        tracing::warn!(peer = %address, "endpoint: an answer that cannot be read: {why}");
    }
    (Verdict::Error, None, None)
}

fn request(address: SocketAddr, call: &OutboundCall, epoch: u64, clock: &Clock) -> Vec<u8> {
    if let Some(path) = &call.probe_path {
        // A partner that keeps the highest refuses a probe of a holder that stood still and has lost its lease.
        return format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nX-Epoch: {epoch}\r\n\r\n").into_bytes();
    }
    let mut head = format!("POST /inbox HTTP/1.1\r\nHost: {address}\r\nX-Request-Id: {}\r\n", call.id);
    if !call.idempotency_key.is_empty() {
        let _ = write!(head, "Idempotency-Key: {}\r\n", call.idempotency_key);
    }
    let left = call.until().since(clock.now()).secs();
    let _ = write!(head, "X-Deadline: {left:.3}\r\nContent-Length: {}\r\n\r\n", call.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}

/// The protocol's table; `wait` is what is left of a told wait.
fn verdict(answer: &Answer, wait: Micros) -> Verdict {
    match answer.status {
        200 => Verdict::Delivered,
        429 => Verdict::Full(Some(wait).filter(|w| *w > Micros(0))),
        503 if answer.no_slot => Verdict::Moot,
        503 => Verdict::Full(None),
        504 | 410 => Verdict::Moot,
        // Not in the table, or 500: nothing proves that it has not run.
        _ => Verdict::Error,
    }
}

/// The limit in calls a second, and the share of it that is left.
fn report(load: &str) -> (Option<f64>, Option<f64>) {
    let v: serde_json::Value = serde_json::from_str(load).unwrap_or_default();
    let field = |name: &str| v.get(name).and_then(serde_json::Value::as_f64);
    onyxrock::interface::load_report(field("x1"), field("x0"))
}

#[cfg(test)]
mod tests;
