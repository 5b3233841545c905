//! Many processes killed and started again at once: nine in ten are ready within ten seconds, on sockets of this machine.

#[allow(dead_code)] // the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 20;
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Work that each finds in its log.
const OWED: usize = 40;
/// Between two questions of whether it is ready.
const ASK_EVERY: Duration = Duration::from_millis(20);

/// What discovery does while the processes start.
#[derive(Clone, Copy, PartialEq)]
enum Discovery {
    Answers,
    /// It refuses all calls; what the processes have is the list of their file.
    Down,
    /// The file names no list, and discovery refuses calls for the first seconds.
    BackAfter(Duration),
}

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

/// One process of a large fleet that was killed with work in its log.
fn killed_at_work(discovery: Discovery) -> Harness {
    let mut harness = Harness::default();
    let given =
        ["given endpoint e1 dest=1", "given setting replicasOfMe=300", "given setting limits.maxOpen=100"];
    given.into_iter().for_each(|line| run_step(&mut harness, line));
    if matches!(discovery, Discovery::BackAfter(_)) {
        run_step(&mut harness, "given list unknown");
    }
    run_step(&mut harness, "send daemon start");
    while !is_ready(&mut harness, "first") {
        thread::sleep(ASK_EVERY);
    }
    for n in 0..OWED {
        run_step(&mut harness, &format!("send c1 status id=m{n} dest=1 deadline=20"));
        run_step(&mut harness, "expect c1 202");
    }
    run_step(&mut harness, "send daemon KILL");
    if discovery != Discovery::Answers {
        run_step(&mut harness, "send platform mute");
    }
    harness
}

/// Asks once, over a connection of its own.
fn is_ready(harness: &mut Harness, who: &str) -> bool {
    run_step(harness, &format!("send {who} raw GET_/ready_HTTP/1.1\\r\\n\\r\\n"));
    let ready = harness.run_step(&["expect", who, "200"]).is_ok();
    run_step(harness, &format!("close {who}"));
    ready
}

/// How long a process takes from its start until it says that it is ready; none beyond the bound.
fn ready_after(harness: &mut Harness, discovery: Discovery) -> Option<Duration> {
    let started = Instant::now();
    run_step(harness, "send daemon start");
    let mut back = match discovery {
        Discovery::BackAfter(span) => Some(span),
        Discovery::Answers | Discovery::Down => None,
    };
    for question in 0.. {
        if back.is_some_and(|span| started.elapsed() >= span) {
            run_step(harness, "send platform speak");
            back = None;
        }
        if is_ready(harness, &format!("r{question}")) {
            break;
        }
        if started.elapsed() > READY_WITHIN {
            return None;
        }
        thread::sleep(ASK_EVERY);
    }
    Some(started.elapsed()).filter(|span| *span <= READY_WITHIN)
}

#[rstest]
#[case::discovery_answers(Discovery::Answers)]
#[case::discovery_is_down(Discovery::Down)]
#[case::discovery_is_back_after_three_seconds(Discovery::BackAfter(Duration::from_secs(3)))]
fn nine_in_ten_restarted_processes_are_ready_in_time(#[case] discovery: Discovery) {
    let all_at_once = Arc::new(Barrier::new(PROCESSES));
    let processes: Vec<_> = (0..PROCESSES)
        .map(|_| {
            let all_at_once = all_at_once.clone();
            thread::spawn(move || {
                let mut harness = killed_at_work(discovery);
                all_at_once.wait();
                ready_after(&mut harness, discovery)
            })
        })
        .collect();
    let spans: Vec<_> = processes.into_iter().map(|p| p.join().expect("it starts")).collect();
    let ready = spans.iter().flatten().count();
    assert!(ready * 10 >= PROCESSES * 9, "{ready} of {PROCESSES} ready in time: {spans:.1?}");
}
