//! A forwarder was upgraded in place and lives on in the second place of its folder. It is killed while it
//! holds messages, and started again.

#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Messages and the bytes of each body. Bodies may have 64 KiB.
const MESSAGES: usize = 20;
const BODY_BYTES: usize = 56 * 1024;
/// Time that each message has, the full time of its class.
const DEADLINE_S: f64 = 16.0;
/// A final answer up to half a second after a message's time only earns nothing; limits are 50 ms longer.
const LATE_S: f64 = 0.55;
/// No notice is overdue until so long after the forwarder is ready again.
const AFTER_READY_S: f64 = 1.55;

fn main() {
    let case = Case::open();
    // UPGRADE=0 leaves out the upgrade ahead of the kill: a look at the cause, no part of the case.
    let upgrade = std::env::var("UPGRADE").map_or(true, |value| value != "0");
    let endpoint = Endpoint::start(&case, "e1", |_, stream| {
        sleep_ms(150);
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
        max_open: 60,
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

    let mut current = Forwarder::start(&case, "first", &setup);
    if !current.wait_ready(Duration::from_secs(10)) {
        case.finish(NOT_RUN, "the first process is not ready");
    }
    sleep_ms(500);
    if upgrade {
        let beside = Setup { mgmt: free_address(), beside: true, ..setup.clone() };
        let newer = Forwarder::start(&case, "second", &beside);
        if !newer.wait_status(Duration::from_secs(6)) {
            case.finish(NOT_RUN, "the second process does not say that it is ready");
        }
        current.signal(SIGTERM);
        if !current.wait_end(Duration::from_millis(3700)) {
            current.kill();
        }
        current = newer;
        sleep_ms(500);
    }

    // Clients hand in a clump of messages.
    let mut client = Client::new(&case, setup.listen);
    let mut taken: BTreeMap<String, Instant> = BTreeMap::new();
    for n in 0..MESSAGES {
        let message = HandIn {
            id: format!("9b1f03aa5c7e{n:04x}"),
            class: "booking".into(),
            tenant: "khangai-clubs".into(),
            destination: 57,
            deadline: DEADLINE_S,
            key: Some(format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3{n:04x}")),
            body: vec![b'x'; BODY_BYTES],
        };
        let (sent, status) = client.hand_in(&message);
        if matches!(status, Some(200 | 202)) {
            taken.insert(message.id, sent);
        }
    }
    if taken.is_empty() {
        case.finish(NOT_RUN, "no message was taken on");
    }
    let mut ready_again = Instant::now();
    if case.trouble {
        current.kill();
        sleep_ms(600);
        let next = Setup { mgmt: free_address(), ..setup.clone() };
        current = Forwarder::start(&case, "third", &next);
        if !current.wait_ready(Duration::from_secs(30)) {
            current.log_to_record(&case, &["log"]);
            case.finish(NOT_RUN, "the process after the kill is not ready");
        }
        ready_again = Instant::now();
    }

    // Until the time of all messages and the grace behind it are over.
    let last = taken.values().max().copied().unwrap_or(ready_again);
    let limit = |sent: Instant| {
        let by_deadline = sent + Duration::from_secs_f64(DEADLINE_S + LATE_S);
        by_deadline.max(ready_again + Duration::from_secs_f64(AFTER_READY_S))
    };
    let end = limit(last) + Duration::from_secs(1);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));

    // A call that reached the endpoint was answered with 200; all others were delivered to nobody.
    let calls = endpoint.calls();
    let (mut delivered, mut ended, mut lost) = (0, 0, Vec::new());
    for (id, sent) in &taken {
        let called = calls.iter().any(|call| call.id == *id && call.at <= limit(*sent));
        let noticed = platform.notices(id).iter().any(|notice| notice.0 <= limit(*sent));
        match (called, noticed) {
            (true, _) => delivered += 1,
            (false, true) => ended += 1,
            (false, false) => lost.push(id.clone()),
        }
    }
    current.log_to_record(&case, &["log:", "taken over"]);
    let alive = current.runs();
    let summary = format!(
        "{} messages taken on, {delivered} delivered, {ended} ended by a notice, {} neither (process runs: {alive})",
        taken.len(),
        lost.len()
    );
    lost.iter().for_each(|id| case.record.line(&format!("lost: {id}")));
    current.kill();
    let code = if lost.is_empty() { HELD } else { BROKEN };
    case.finish(code, &summary)
}
