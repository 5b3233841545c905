//! Endpoints that send a response twice, against a real daemon over loopback sockets. The copy comes at any time:
//! before, during or after the next call on the connection.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const MESSAGE_COUNT: usize = 240;
const CLASSES: [&str; 3] = ["payment", "status", "booking"];
/// Every message is over by then.
const ALL_OVER_WITHIN: Duration = Duration::from_secs(25);

/// Whether the class of a message permits a repeat once the message may have run.
fn is_repeatable(id: &str) -> bool {
    let index: usize = id.trim_start_matches('m').parse().expect("an id is m and a number");
    CLASSES[index % CLASSES.len()] != "payment"
}

/// Waits until the daemon has ended all messages; returns how many it counts as delivered.
fn wait_until_all_over(harness: &Harness, accepted: usize) -> u64 {
    let started = Instant::now();
    loop {
        let counters = harness.counters();
        let count = |name: &str| counters[name].as_u64().unwrap_or_default();
        if count("delivered") + count("returned") + count("failed") >= accepted as u64 {
            return count("delivered");
        }
        assert!(started.elapsed() < ALL_OVER_WITHIN, "not over: {counters}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against the copy of a response that is taken for the response to a later call on its connection:
/// messages were lost, ran twice, or were out twice at once.
#[rstest]
fn copies_that_come_at_any_time_change_no_outcome(#[values(1, 2, 3)] seed: u64) {
    let mut harness = Harness::default();
    let calls = harness.add_copying_endpoint("e1", "1", seed);
    harness.run_step(&["send", "daemon", "start"]).unwrap();
    let messages: Vec<String> =
        (0..MESSAGE_COUNT).map(|i| format!("{} id=m{i} deadline=20", CLASSES[i % CLASSES.len()])).collect();
    let accepted = harness.http_client().submit_all(&messages);
    assert!(accepted > MESSAGE_COUNT / 2, "{accepted} accepted\n{}", harness.log());
    let delivered = wait_until_all_over(&harness, accepted);
    let calls = calls.lock().unwrap();
    let ran: BTreeSet<&str> = calls.iter().filter(|c| c.status == 200).map(|c| c.id.as_str()).collect();
    assert!(delivered <= ran.len() as u64, "{delivered} count as delivered, {} ran", ran.len());
    let mut calls_by_id: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    calls.iter().for_each(|call| calls_by_id.entry(&call.id).or_default().push(call));
    for (id, calls) in calls_by_id {
        for pair in calls.windows(2) {
            let ended = pair[0].answered.is_some_and(|at| at <= pair[1].arrived);
            assert!(ended, "{id} was called again while it was out");
            assert!(pair[0].status != 200 || is_repeatable(id), "{id} was called again after it had run");
        }
    }
}
