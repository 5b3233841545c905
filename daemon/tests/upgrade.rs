//! Two processes of one forwarder: to the endpoints they are one sender.

#[allow(dead_code)] // the scenarios use the rest
mod stage;

use rstest::rstest;
use stage::Stage;
use std::time::{Duration, Instant};

/// The endpoint told a wait of this, and nothing may go there meanwhile.
const WAIT: &str = "Retry-After=2.5";
const LOOK: &str = "expect e1 nothing 1500";
/// New connections fall on either process by chance: one of so many on each, but for once in a million million times.
const MESSAGES: usize = 40;

fn play(stage: &mut Stage, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        stage.play(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", stage.log()));
    }
}

/// Hands a message in, and has the endpoint tell a wait.
fn told_a_wait(stage: &mut Stage) {
    play(stage, &["send c1 status id=s1 dest=1 deadline=20", "expect c1 202", "expect e1 s1"]);
    play(stage, &[&format!("send e1 s1 429 {WAIT}")]);
}

fn messages(stage: &Stage) {
    let client = stage.client();
    (0..MESSAGES).for_each(|i| client.hand_in(&format!("m{i}")));
}

#[rstest]
#[case::told_before_the_second_one_started(false)]
#[case::told_while_both_were_there(true)]
fn a_wait_that_one_process_is_told_binds_the_one_beside_it(#[case] both_were_there: bool) {
    let mut stage = Stage::default();
    play(&mut stage, &["given operators", "given endpoint e1 dest=1", "send daemon start"]);
    if both_were_there {
        play(&mut stage, &["send daemon beside", "expect log another process of this forwarder is there"]);
        told_a_wait(&mut stage);
    } else {
        told_a_wait(&mut stage);
        play(&mut stage, &["expect counter full=1", "send daemon beside"]);
    }
    // The answer crosses what goes out within a tenth of a second of it.
    std::thread::sleep(std::time::Duration::from_millis(150));
    messages(&stage);
    play(&mut stage, &[LOOK]);
}

/// The new process says that it is ready once it knows what the old one was told: from then on that may be killed.
#[test]
fn a_wait_outlives_the_process_that_was_told_it() {
    let mut stage = Stage::default();
    play(&mut stage, &["given operators", "given endpoint e1 dest=1", "send daemon start"]);
    told_a_wait(&mut stage);
    play(&mut stage, &["expect counter full=1", "send daemon beside"]);
    loop {
        play(&mut stage, &["send operator status"]);
        if stage.play(&["expect", "operator", "200"]).is_ok() {
            break;
        }
    }
    play(&mut stage, &["send old KILL", "expect log messages of another process are taken over"]);
    messages(&stage);
    play(&mut stage, &[LOOK]);
}

/// An end counts as told in time up to so long after its message's time.
const TOLD_WITHIN: Duration = Duration::from_millis(300);

/// The old process stands still in an upgrade, with a message whose time ends meanwhile.
#[test]
fn an_end_that_a_process_owes_which_hangs_in_an_upgrade_is_told_in_time() {
    let mut stage = Stage::default();
    play(&mut stage, &["given endpoint e1 dest=1", "send daemon start"]);
    play(&mut stage, &["send c1 status id=s1 dest=1 deadline=3"]);
    let time_is_up = Instant::now() + Duration::from_secs(3);
    play(&mut stage, &["expect c1 202", "expect e1 s1"]);
    play(&mut stage, &["send daemon beside", "expect log another process of this forwarder is there"]);
    play(&mut stage, &["send old STOP"]);
    while stage.play(&["expect", "platform", "s1", "returned"]).is_err() {
        assert!(Instant::now() < time_is_up + TOLD_WITHIN, "nobody tells its end\n{}", stage.log());
    }
    assert!(Instant::now() < time_is_up + TOLD_WITHIN, "it is told late");
}
