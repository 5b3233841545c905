//! Lists are pushed. Discovery goes down, and the forwarder is killed and started again while it is down.

#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that each message has, the full time of its class.
const DEADLINE_S: f64 = 2.0;
/// A final answer up to half a second after a message's time only earns nothing; limits are 50 ms longer.
const LATE_S: f64 = 0.55;
/// No notice is overdue until so long after the forwarder is ready again.
const AFTER_READY_S: f64 = 1.55;
/// How long discovery is down.
const OUTAGE_S: f64 = 3.0;

fn main() {
    let case = Case::open();
    let endpoint = Endpoint::start(&case, "e1", |_, stream| {
        sleep_ms(50);
        respond(stream, "200 OK")
    });
    let entry = Listed {
        name: "s-5be2a07c".into(),
        address: endpoint.address,
        zone: "bank-1".into(),
        kind: "club".into(),
        cell: 57,
        lifecycle: "Ready".into(),
        weight: 40.0,
    };
    let platform = Platform::start(&case, vec![entry]);
    let settings = Settings {
        zones: "[\"bank-1\",\"bank-2\"]",
        classes: [
            class("dew", "repeatable", "all", 0.6, 2.0, 4.0, 1.0),
            class("hay", "by_key", "zone", 2.5, 10.0, 4.0, 2.0),
            class("gate", "once", "all", 2.0, 30.0, 4.0, 4.0),
        ]
        .join(","),
        discovery: "automatic",
        max_attempts: 8,
        max_open: 120,
        slots: 24,
        second_copies: true,
        tenants: "[{\"allowancePerS\":41.0,\"fraction\":1.0,\"name\":\"north\"}]",
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
    };
    let mut current = Forwarder::start(&case, "first", &setup);
    if !current.wait_ready(Duration::from_secs(10)) {
        case.finish(NOT_RUN, "the first process is not ready");
    }
    let mut next_id = 0;
    let mut taken: BTreeMap<String, Instant> = BTreeMap::new();
    let mut hand_in = |client: &mut Client, taken: &mut BTreeMap<String, Instant>| {
        next_id += 1;
        let message = HandIn {
            id: format!("9b1f03aa5c7e{next_id:04x}"),
            class: "dew".into(),
            tenant: "north".into(),
            destination: 57,
            deadline: DEADLINE_S,
            key: None,
            body: vec![b'x'; 200],
        };
        let (sent, status) = client.hand_in(&message);
        if matches!(status, Some(200 | 202)) {
            taken.insert(message.id, sent);
        }
    };
    let mut client = Client::new(&case, setup.listen);
    for _ in 0..20 {
        hand_in(&mut client, &mut taken);
        sleep_ms(100);
    }
    let mut ready_again = Instant::now();
    let mut outage_end = Instant::now();
    if case.trouble {
        platform.set_down(true);
        outage_end = Instant::now() + Duration::from_secs_f64(OUTAGE_S);
        sleep_ms(300);
        current.kill();
        sleep_ms(600);
        let next = Setup { mgmt: free_address(), ..setup.clone() };
        current = Forwarder::start(&case, "second", &next);
        if !current.wait_ready(Duration::from_secs(30)) {
            case.finish(NOT_RUN, "the process after the kill is not ready");
        }
        ready_again = Instant::now();
    }
    // Clients go on, ten messages a second.
    let mut client = Client::new(&case, setup.listen);
    let mut after = 0;
    let mut down = case.trouble;
    for _ in 0..60 {
        hand_in(&mut client, &mut taken);
        after += 1;
        sleep_ms(100);
        if down && Instant::now() >= outage_end {
            platform.set_down(false);
            down = false;
        }
    }
    let limit = |sent: Instant| {
        let by_deadline = sent + Duration::from_secs_f64(DEADLINE_S + LATE_S);
        by_deadline.max(ready_again + Duration::from_secs_f64(AFTER_READY_S))
    };
    let last = taken.values().max().copied().unwrap_or(ready_again);
    std::thread::sleep((limit(last) + Duration::from_secs(1)).saturating_duration_since(Instant::now()));

    let calls = endpoint.calls();
    let (mut delivered, mut ended, mut late) = (0, 0, Vec::new());
    for (id, sent) in &taken {
        let called = calls.iter().any(|call| call.id == *id && call.at <= limit(*sent));
        let noticed = platform.notices(id).iter().any(|notice| notice.0 <= limit(*sent));
        match (called, noticed) {
            (true, _) => delivered += 1,
            (false, true) => ended += 1,
            (false, false) => late.push((id.clone(), *sent)),
        }
    }
    for (id, sent) in &late {
        let end = platform.notices(id).first().map(|notice| notice.0).into_iter();
        let end = end.chain(calls.iter().filter(|call| call.id == *id).map(|call| call.at)).min();
        let over = end.map_or("never ended".to_owned(), |at| {
            let behind = at.saturating_duration_since(*sent).as_secs_f64() - DEADLINE_S;
            format!("ended {behind:.3} s after its time")
        });
        case.record.line(&format!("lost: {id}, {over}"));
    }
    let summary = format!(
        "{} messages taken on ({after} handed in last), {delivered} delivered, {ended} ended in time, {} lost",
        taken.len(),
        late.len()
    );
    let alive = current.runs();
    current.kill();
    if taken.len() < 20 || !alive {
        case.finish(NOT_RUN, &summary);
    }
    case.finish(if late.is_empty() { HELD } else { BROKEN }, &summary)
}
