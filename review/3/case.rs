//! A few bad clients send hundreds of requests at once, at full speed, and read whatever they are sent.

#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time that each message has, the full time of its class.
const DEADLINE_S: f64 = 5.0;
/// A final answer up to half a second after a message's time only earns nothing; limits are 50 ms longer.
const LATE_S: f64 = 0.55;
/// Bad clients, the requests that each sends at once, and for how long they go on.
const BAD_CLIENTS: usize = 4;
const REQUESTS_AT_ONCE: usize = 400;
const FLOOD_S: f64 = 10.0;

/// One bad client: hundreds of requests in one write, again and again; a second thread reads all answers. The
/// stream that is returned ends it.
fn bad_client(
    case: &Case, number: usize, address: SocketAddr,
) -> Option<(TcpStream, thread::JoinHandle<()>)> {
    let record = case.record.clone();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    let (mut reader, handle) = (stream.try_clone().ok()?, stream.try_clone().ok()?);
    let answers = thread::spawn(move || {
        let (mut block, mut bytes) = (vec![0; 256 * 1024], 0);
        while let Ok(n) = reader.read(&mut block) {
            if n == 0 {
                break;
            }
            bytes += n;
        }
        bytes
    });
    let sender = thread::spawn(move || {
        let block = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n".repeat(REQUESTS_AT_ONCE);
        let mut sent = 0;
        while stream.write_all(&block).is_ok() {
            sent += REQUESTS_AT_ONCE;
        }
        let bytes = answers.join().unwrap_or(0);
        record.line(&format!("bad client {number}: {sent} requests sent, {bytes} bytes of answers read"));
    });
    Some((handle, sender))
}

fn main() {
    let case = Case::open();
    let endpoint = Endpoint::start(&case, "e1", |_, stream| {
        sleep_ms(200);
        respond(stream, "200 OK")
    });
    let entry = Listed {
        name: "s-5be2a07c".into(),
        address: endpoint.address,
        zone: "floor-2".into(),
        kind: "club".into(),
        cell: 57,
        lifecycle: "Ready".into(),
        weight: 20.0,
    };
    let platform = Platform::start(&case, vec![entry]);
    let settings = Settings {
        zones: "[\"floor-2\",\"floor-4\"]",
        classes: [
            class("status", "repeatable", "all", 0.8, 5.0, 5.0, 1.0),
            class("booking", "by_key", "zone", 4.0, 16.0, 6.0, 1.0),
            class("payment", "once", "all", 2.5, 28.0, 5.0, 3.0),
        ]
        .join(","),
        discovery: "subscribe",
        max_attempts: 12,
        max_open: 120,
        slots: 4,
        second_copies: false,
        tenants: TENANTS,
    };
    let setup = Setup {
        name: "n1".into(),
        listen: free_address(),
        mgmt: free_address(),
        discovery: platform.address,
        state: case.temporary.join("state"),
        limits: "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}".into(),
        settings: settings.text(),
        known: platform.known(),
        product: String::new(),
        beside: false,
    };
    let mut forwarder = Forwarder::start(&case, "first", &setup);
    if !forwarder.wait_ready(Duration::from_secs(10)) {
        case.finish(NOT_RUN, "the forwarder is not ready");
    }
    sleep_ms(300);
    let mut next_id = 0;
    let mut taken: BTreeMap<String, Instant> = BTreeMap::new();
    let mut unanswered = 0;
    let mut hand_in = |client: &mut Client, taken: &mut BTreeMap<String, Instant>, unanswered: &mut u32| {
        next_id += 1;
        let message = HandIn {
            id: format!("9b1f03aa5c7e{next_id:04x}"),
            class: "status".into(),
            tenant: "khangai-clubs".into(),
            destination: 57,
            deadline: DEADLINE_S,
            key: None,
            body: vec![b'x'; 200],
        };
        match client.hand_in(&message) {
            (sent, Some(200 | 202)) => drop(taken.insert(message.id, sent)),
            (_, None) => *unanswered += 1,
            _ => {}
        }
    };
    // A clump for one partner: more than it takes in the next second.
    let mut client = Client::new(&case, setup.listen);
    for _ in 0..40 {
        hand_in(&mut client, &mut taken, &mut unanswered);
    }
    if taken.len() < 20 || unanswered > 0 {
        case.finish(NOT_RUN, "the messages of the usual client were not taken on");
    }
    let mut bad_clients = Vec::new();
    if case.trouble {
        // BAD_CLIENTS=N: a look at how many it takes, no part of the case.
        let count = std::env::var("BAD_CLIENTS").ok().and_then(|n| n.parse().ok()).unwrap_or(BAD_CLIENTS);
        case.record.line(&format!("{count} bad clients begin"));
        bad_clients.extend((0..count).filter_map(|number| bad_client(&case, number, setup.listen)));
    }
    // Operators call as well; an answer is due within a second, whatever the load.
    let (operators_stop, mgmt, record) = (Flag::default(), setup.mgmt, case.record.clone());
    let operators = thread::spawn({
        let stop = operators_stop.clone();
        move || {
            let (mut calls, mut late) = (0, 0);
            while !stop.get() {
                let called = Instant::now();
                let answer = operator_call(mgmt, "status").unwrap_or_default();
                let in_time = answer.starts_with("200") && called.elapsed() < Duration::from_millis(1000);
                (calls, late) = (calls + 1, late + u32::from(!in_time));
                record.line(&format!("operators call status: {:?}", answer.trim_end()));
                sleep_ms(500);
            }
            (calls, late)
        }
    });
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs_f64(FLOOD_S) {
        hand_in(&mut client, &mut taken, &mut unanswered);
        sleep_ms(100);
    }
    for (stream, sender) in bad_clients {
        let _ = stream.shutdown(Shutdown::Both);
        let _ = sender.join();
    }
    case.record.line("bad clients have ended");
    operators_stop.set(true);
    let (calls, late) = operators.join().unwrap_or((0, 0));
    let limit = |sent: Instant| sent + Duration::from_secs_f64(DEADLINE_S + LATE_S);
    let last = taken.values().max().copied().unwrap_or(Instant::now());
    thread::sleep((limit(last) + Duration::from_secs(1)).saturating_duration_since(Instant::now()));

    let answered = endpoint.answered();
    let (mut delivered, mut ended, mut lost) = (0, 0, 0);
    for (id, sent) in &taken {
        let in_time = answered.get(id).is_some_and(|at| *at <= limit(*sent));
        let notice = platform.notices(id).first().cloned();
        match (in_time, &notice) {
            (true, _) => delivered += 1,
            (false, Some((at, _))) if *at <= limit(*sent) => ended += 1,
            _ => {
                lost += 1;
                let over = notice.map_or("no notice".to_owned(), |(at, state)| {
                    let behind = at.saturating_duration_since(*sent).as_secs_f64() - DEADLINE_S;
                    format!("{state} {behind:.3} s after its time")
                });
                case.record.line(&format!("lost: {id}, {over}"));
            }
        }
    }
    let alive = forwarder.runs();
    forwarder.kill();
    let summary = format!(
        "{} messages taken on, {delivered} delivered, {ended} ended in time, {lost} lost; {unanswered} hand-ins of \
         the usual client got no answer within 400 ms, {late} of {calls} calls of operators none within 1 s (process \
         runs: {alive})",
        taken.len()
    );
    case.finish(if lost == 0 { HELD } else { BROKEN }, &summary)
}
