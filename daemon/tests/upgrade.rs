//! Two processes of one forwarder: to the endpoints they are one sender.

#[allow(dead_code)] // the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::time::{Duration, Instant};

/// The endpoint told a wait of this, and nothing may go there meanwhile.
const WAIT: &str = "Retry-After=2.5";
const LOOK: &str = "expect e1 nothing 1500";
/// New connections fall on either process by chance: one of so many on each, but for once in a million million times.
const MESSAGES: usize = 40;

fn run_steps(harness: &mut Harness, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
    }
}

/// Hands a message in, and has the endpoint tell a wait.
fn told_a_wait(harness: &mut Harness) {
    run_steps(harness, &["send c1 status id=s1 dest=1 deadline=20", "expect c1 202", "expect e1 s1"]);
    run_steps(harness, &[&format!("send e1 s1 429 {WAIT}")]);
}

fn messages(harness: &Harness) {
    let client = harness.http_client();
    (0..MESSAGES).for_each(|i| client.submit(&format!("m{i}")));
}

#[rstest]
#[case::told_before_the_second_one_started(false)]
#[case::told_while_both_were_there(true)]
fn a_wait_that_one_process_is_told_binds_the_one_beside_it(#[case] both_were_there: bool) {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given operators", "given endpoint e1 dest=1", "send daemon start"]);
    if both_were_there {
        run_steps(
            &mut harness,
            &["send daemon beside", "expect log another process of this forwarder is there"],
        );
        told_a_wait(&mut harness);
    } else {
        told_a_wait(&mut harness);
        run_steps(&mut harness, &["expect counter full=1", "send daemon beside"]);
    }
    // The answer crosses what goes out within a tenth of a second of it.
    std::thread::sleep(std::time::Duration::from_millis(150));
    messages(&harness);
    run_steps(&mut harness, &[LOOK]);
}

/// The new process says that it is ready once it knows what the old one was told: from then on that may be killed.
#[test]
fn a_wait_outlives_the_process_that_was_told_it() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given operators", "given endpoint e1 dest=1", "send daemon start"]);
    told_a_wait(&mut harness);
    run_steps(&mut harness, &["expect counter full=1", "send daemon beside"]);
    loop {
        run_steps(&mut harness, &["send operator status"]);
        if harness.run_step(&["expect", "operator", "200"]).is_ok() {
            break;
        }
    }
    run_steps(&mut harness, &["send old KILL", "expect log messages of another process are taken over"]);
    messages(&harness);
    run_steps(&mut harness, &[LOOK]);
}

/// An end counts as told in time up to so long after its message's time.
const TOLD_WITHIN: Duration = Duration::from_millis(300);

/// The old process stands still in an upgrade, with a message whose time ends meanwhile.
#[test]
fn an_end_that_a_process_owes_which_hangs_in_an_upgrade_is_told_in_time() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given endpoint e1 dest=1", "send daemon start"]);
    run_steps(&mut harness, &["send c1 status id=s1 dest=1 deadline=3"]);
    let time_is_up = Instant::now() + Duration::from_secs(3);
    run_steps(&mut harness, &["expect c1 202", "expect e1 s1"]);
    run_steps(&mut harness, &["send daemon beside", "expect log another process of this forwarder is there"]);
    run_steps(&mut harness, &["send old STOP"]);
    while harness.run_step(&["expect", "platform", "s1", "returned"]).is_err() {
        assert!(Instant::now() < time_is_up + TOLD_WITHIN, "nobody tells its end\n{}", harness.log());
    }
    assert!(Instant::now() < time_is_up + TOLD_WITHIN, "it is told late");
}
