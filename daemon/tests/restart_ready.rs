//! Many daemon processes are killed and restarted at once on one machine, over loopback sockets: nine in ten
//! must be ready within ten seconds.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 20;
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Open messages that each process finds in its log after the restart.
const MESSAGES_IN_LOG: usize = 40;
/// The time between two readiness checks of a process.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What discovery does while the processes start.
#[derive(Clone, Copy, PartialEq)]
enum Discovery {
    Available,
    /// Discovery refuses all requests; the processes use the cached list in their configuration.
    Unavailable,
    /// The configuration has no cached list, and discovery refuses all requests for this long after the
    /// start.
    UnavailableFor(Duration),
}

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

/// One process of a large fleet, killed with open messages in its log.
fn start_and_kill(discovery: Discovery) -> Harness {
    let mut harness = Harness::default();
    let given_lines =
        ["given endpoint e1 dest=1", "given setting replicasOfMe=300", "given setting limits.maxOpen=100"];
    given_lines.into_iter().for_each(|line| run_step(&mut harness, line));
    if matches!(discovery, Discovery::UnavailableFor(_)) {
        run_step(&mut harness, "given list unknown");
    }
    run_step(&mut harness, "send daemon start");
    while !is_ready(&mut harness, "first") {
        thread::sleep(READY_CHECK_INTERVAL);
    }
    for index in 0..MESSAGES_IN_LOG {
        run_step(&mut harness, &format!("send c1 status id=m{index} dest=1 deadline=20"));
        run_step(&mut harness, "expect c1 202");
    }
    run_step(&mut harness, "send daemon KILL");
    if discovery != Discovery::Available {
        run_step(&mut harness, "send platform mute");
    }
    harness
}

/// Sends one readiness request, over a connection of its own.
fn is_ready(harness: &mut Harness, client: &str) -> bool {
    run_step(harness, &format!("send {client} raw GET_/ready_HTTP/1.1\\r\\n\\r\\n"));
    let ready = harness.run_step(&["expect", client, "200"]).is_ok();
    run_step(harness, &format!("close {client}"));
    ready
}

/// The time from the start of a process until it reports that it is ready; `None` beyond `READY_WITHIN`.
fn time_until_ready(harness: &mut Harness, discovery: Discovery) -> Option<Duration> {
    let started = Instant::now();
    run_step(harness, "send daemon start");
    let mut unavailable_for = match discovery {
        Discovery::UnavailableFor(span) => Some(span),
        Discovery::Available | Discovery::Unavailable => None,
    };
    for check in 0.. {
        if unavailable_for.is_some_and(|span| started.elapsed() >= span) {
            run_step(harness, "send platform speak");
            unavailable_for = None;
        }
        if is_ready(harness, &format!("r{check}")) {
            break;
        }
        if started.elapsed() > READY_WITHIN {
            return None;
        }
        thread::sleep(READY_CHECK_INTERVAL);
    }
    Some(started.elapsed()).filter(|span| *span <= READY_WITHIN)
}

#[rstest]
#[case::discovery_is_available(Discovery::Available)]
#[case::discovery_is_unavailable(Discovery::Unavailable)]
#[case::discovery_is_available_after_three_seconds(Discovery::UnavailableFor(Duration::from_secs(3)))]
fn nine_in_ten_restarted_processes_are_ready_in_time(#[case] discovery: Discovery) {
    let all_at_once = Arc::new(Barrier::new(PROCESSES));
    let processes: Vec<_> = (0..PROCESSES)
        .map(|_| {
            let all_at_once = all_at_once.clone();
            thread::spawn(move || {
                let mut harness = start_and_kill(discovery);
                all_at_once.wait();
                time_until_ready(&mut harness, discovery)
            })
        })
        .collect();
    let spans: Vec<_> = processes.into_iter().map(|p| p.join().expect("the process starts")).collect();
    let ready = spans.iter().flatten().count();
    assert!(ready * 10 >= PROCESSES * 9, "{ready} of {PROCESSES} ready in time: {spans:.1?}");
}
