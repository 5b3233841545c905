//! Two processes of one forwarder during an upgrade: endpoints must see them as one sender.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The header of the endpoint's refusal: no call may reach the endpoint for this many seconds.
const RETRY_AFTER_HEADER: &str = "Retry-After=2.5";
/// A time within the retry-after, in milliseconds.
const EXPECT_NO_CALL: &str = "expect e1 nothing 1500";
/// The operating system gives each new connection to one of the two processes at random. With this many, each
/// process gets at least one, but for once in a million million times.
const MESSAGE_COUNT: usize = 40;

fn run_steps(harness: &mut Harness, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
    }
}

/// Submits a message, which the endpoint refuses with a retry-after.
fn refuse_with_retry_after(harness: &mut Harness) {
    run_steps(harness, &["send c1 status id=s1 dest=1 deadline=20", "expect c1 202", "expect e1 s1"]);
    run_steps(harness, &[&format!("send e1 s1 429 {RETRY_AFTER_HEADER}")]);
}

fn submit_messages(harness: &Harness) {
    let client = harness.http_client();
    (0..MESSAGE_COUNT).for_each(|index| client.submit(&format!("m{index}")));
}

#[rstest]
#[case::received_before_the_second_process_started(false)]
#[case::received_while_both_processes_ran(true)]
fn a_retry_after_received_by_one_process_applies_to_its_sibling(#[case] both_running: bool) {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given operators", "given endpoint e1 dest=1", "send daemon start"]);
    if both_running {
        run_steps(
            &mut harness,
            &["send daemon beside", "expect log another process of this forwarder is there"],
        );
        refuse_with_retry_after(&mut harness);
    } else {
        refuse_with_retry_after(&mut harness);
        run_steps(&mut harness, &["expect counter full=1", "send daemon beside"]);
    }
    // A call that is sent within a tenth of a second of the refusal may cross it on the way.
    std::thread::sleep(std::time::Duration::from_millis(150));
    submit_messages(&harness);
    run_steps(&mut harness, &[EXPECT_NO_CALL]);
}

/// The new process reports that it is ready only once it knows the retry-after of the old process: from then
/// on a kill of the old process must not lose it.
#[test]
fn a_retry_after_outlives_the_process_that_received_it() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given operators", "given endpoint e1 dest=1", "send daemon start"]);
    refuse_with_retry_after(&mut harness);
    run_steps(&mut harness, &["expect counter full=1", "send daemon beside"]);
    loop {
        run_steps(&mut harness, &["send operator status"]);
        if harness.run_step(&["expect", "operator", "200"]).is_ok() {
            break;
        }
    }
    run_steps(&mut harness, &["send old KILL", "expect log messages of another process are taken over"]);
    submit_messages(&harness);
    run_steps(&mut harness, &[EXPECT_NO_CALL]);
}

/// Submissions of each message, of which one is accepted.
const COPIES: usize = 4;

/// Guards against a message that both processes accept, because copies of its request reach each of them.
#[rstest]
#[case::accepted_before_the_second_process_started(false)]
#[case::accepted_while_both_processes_ran(true)]
fn copies_of_a_request_are_accepted_once_by_the_two_processes(#[case] both_running: bool) {
    let mut harness = Harness::default();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    harness.add_accepting_endpoint("e1", "1", arrivals.clone());
    run_steps(&mut harness, &["given operators", "send daemon start"]);
    let mut accepted = 0;
    if !both_running {
        accepted += accepted_submissions(&harness);
    }
    run_steps(&mut harness, &["send daemon beside"]);
    for _ in 0..COPIES {
        accepted += accepted_submissions(&harness);
    }
    // The process that is left knows what the other one accepted.
    run_steps(&mut harness, &["send old TERM", "expect old exit 0"]);
    accepted += accepted_submissions(&harness);
    assert_eq!(accepted, MESSAGE_COUNT, "{}", harness.log());
    assert_eq!(arrivals.lock().unwrap().len(), MESSAGE_COUNT, "{}", harness.log());
}

/// Upgrades that follow one another at once.
const UPGRADES: usize = 3;

/// Guards against the same where one upgrade follows another at once, and the process that stays has not noticed yet that
/// the third one is not the first one.
#[rstest]
#[case::old_process_ends("TERM", Some("expect old exit 0"))]
#[case::old_process_is_killed("KILL", None)]
fn copies_of_a_request_are_accepted_once_over_upgrades_in_a_row(
    #[case] signal: &str, #[case] then: Option<&str>,
) {
    let mut harness = Harness::default();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    harness.add_accepting_endpoint("e1", "1", arrivals.clone());
    run_steps(&mut harness, &["given operators", "send daemon start"]);
    for upgrade in 0..UPGRADES {
        let submit = |harness: &Harness| accepted_copies(harness, &format!("payment id=u{upgrade}m"));
        let mut accepted = 0;
        if upgrade > 0 {
            accepted += submit(&harness);
        }
        run_steps(&mut harness, &["send daemon beside"]);
        accepted += submit(&harness) + submit(&harness);
        run_steps(&mut harness, &[&format!("send old {signal}")]);
        accepted += submit(&harness);
        run_steps(&mut harness, then.as_slice());
        accepted += submit(&harness);
        assert_eq!(accepted, MESSAGE_COUNT, "{}", harness.log());
    }
    assert!(arrivals.lock().unwrap().len() <= UPGRADES * MESSAGE_COUNT, "{}", harness.log());
}

/// Submits each message over a connection of its own; returns how many were accepted.
fn accepted_submissions(harness: &Harness) -> usize {
    accepted_copies(harness, "status id=m")
}

/// Submits messages, whose line begins so, each over a connection of its own; returns how many were accepted.
fn accepted_copies(harness: &Harness, message: &str) -> usize {
    let client = harness.http_client();
    (0..MESSAGE_COUNT).map(|index| client.submit_all(&[format!("{message}{index} dest=1")])).sum()
}

/// The notice of a message's end is in time up to this long after the message's deadline.
const NOTICE_WITHIN: Duration = Duration::from_millis(300);

/// During an upgrade the old process hangs, stopped by SIGSTOP, while it holds a message whose deadline
/// passes.
#[test]
fn a_notice_owed_by_a_process_that_hangs_in_an_upgrade_is_sent_in_time() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given endpoint e1 dest=1", "send daemon start"]);
    run_steps(&mut harness, &["send c1 status id=s1 dest=1 deadline=3"]);
    let deadline = Instant::now() + Duration::from_secs(3);
    run_steps(&mut harness, &["expect c1 202", "expect e1 s1"]);
    run_steps(&mut harness, &["send daemon beside", "expect log another process of this forwarder is there"]);
    run_steps(&mut harness, &["send old STOP"]);
    while harness.run_step(&["expect", "platform", "s1", "returned"]).is_err() {
        assert!(
            Instant::now() < deadline + NOTICE_WITHIN,
            "no process has sent the notice of the message's end\n{}",
            harness.log()
        );
    }
    assert!(Instant::now() < deadline + NOTICE_WITHIN, "the notice of the message's end came late");
}

/// Guards against a payment of a process that hangs which is told as refused, or sent once more, although its call is out.
#[test]
fn a_payment_whose_call_is_out_fails_if_its_process_hangs() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given endpoint e1 dest=1", "send daemon start"]);
    run_steps(&mut harness, &["send c1 payment id=p1 dest=1 deadline=4", "expect c1 202", "expect e1 p1"]);
    run_steps(&mut harness, &["send daemon beside", "expect log another process of this forwarder is there"]);
    run_steps(&mut harness, &["send old STOP", "expect platform p1 failed"]);
    run_steps(&mut harness, &["send old CONT", "expect e1 nothing 500"]);
    run_steps(&mut harness, &["send old KILL", "expect e1 nothing 500", "expect counter resumed=1"]);
}

/// Guards against a process that is taken for one that hangs: each message has one notice.
#[test]
fn a_process_that_runs_ends_its_messages_by_itself_in_an_upgrade() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given nobody e1 dest=1", "send daemon start"]);
    run_steps(
        &mut harness,
        &["send c1 booking id=b1 dest=1 deadline=2", "expect c1 202", "send daemon beside"],
    );
    run_steps(&mut harness, &["expect platform b1 returned", "expect platform nothing 800"]);
    run_steps(&mut harness, &["expect counter resumed=0"]);
}

/// Messages of the largest size, whose records take more than a third of the state folder.
const LARGE_MESSAGE_COUNT: usize = 20;

fn submit_large_messages(harness: &mut Harness) {
    for index in 0..LARGE_MESSAGE_COUNT {
        let submission = format!("send c1 booking id=m{index} dest=1 deadline=8 size=57344");
        run_steps(harness, &[&submission, "expect c1 202"]);
    }
}

/// The process that is left after an upgrade has its log in the second place of the folder. Guards against
/// the loss of its messages at a kill: the next process could not copy them for lack of room.
#[test]
fn messages_held_after_an_upgrade_survive_a_kill() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given nobody e1 dest=1", "send daemon start"]);
    run_steps(&mut harness, &["send daemon beside", "send old TERM", "expect old exit 0"]);
    submit_large_messages(&mut harness);
    run_steps(&mut harness, &["send daemon KILL", "send daemon start"]);
    run_steps(&mut harness, &["expect counter resumed=20", "expect counter returned=20"]);
}

/// Guards against the loss of what the old process of an upgrade still owes at its end: the new process could
/// not copy it for lack of room.
#[test]
fn messages_held_at_the_end_of_an_upgrade_are_taken_over() {
    let mut harness = Harness::default();
    run_steps(&mut harness, &["given nobody e1 dest=1", "send daemon start"]);
    submit_large_messages(&mut harness);
    run_steps(&mut harness, &["send daemon beside", "send old KILL"]);
    run_steps(&mut harness, &["expect counter resumed=20", "expect counter returned=20"]);
}
