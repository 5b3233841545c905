//! A new process comes up at the address of an endpoint that has gone, and that the list still names.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::sync::{Arc, Mutex};

const MESSAGES: usize = 20;

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

fn submit_messages(harness: &Harness, prefix: &str) {
    let client = harness.http_client();
    let messages: Vec<_> = (0..MESSAGES).map(|n| format!("status id={prefix}{n} dest=1")).collect();
    assert_eq!(client.submit_all(&messages), MESSAGES);
}

/// Guards against messages of one destination that reach an endpoint of another: the new process was taken for the one
/// that had gone, as long as the list named that.
#[rstest]
#[case::unknown_start_of_the_old_process("dest=1")]
#[case::known_start_of_the_old_process("dest=1 started=1700000000000")]
fn a_later_process_at_the_same_address_gets_no_calls_for_the_former_one(#[case] old: &str) {
    let mut harness = Harness::default();
    run_step(&mut harness, &format!("given endpoint old {old}"));
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    harness.add_accepting_endpoint("stays", "1", arrivals.clone());
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    harness.list_at_address_of("old", "new", "dest=2 started=1700000005000");
    run_step(&mut harness, "expect counter listed=3");
    submit_messages(&harness, "m");
    run_step(&mut harness, "send c1 status id=right dest=2");
    run_step(&mut harness, "expect c1 202");
    run_step(&mut harness, "expect old right");
    run_step(&mut harness, &format!("expect counter delivered={MESSAGES}"));
    assert_eq!(arrivals.lock().unwrap().len(), MESSAGES, "{}", harness.log());
    // It is back: its process started last.
    run_step(&mut harness, "send list new Gone");
    run_step(&mut harness, "expect counter listed=2");
}

/// Guards against a list that goes on naming endpoints of a discovery that has gone: another one at its address counts
/// its generations anew, and answers with its whole list where it does not know the one that it is asked from.
#[rstest]
#[case::generations_that_begin_anew(0)]
#[case::the_same_generation(7)]
#[case::later_generations(4000)]
fn the_list_of_a_new_discovery_at_the_same_address_replaces_the_former_one(#[case] generation: u64) {
    let mut harness = Harness::default();
    run_step(&mut harness, "given endpoint former dest=1");
    run_step(&mut harness, "given endpoint current dest=1");
    harness.replace_discovery(&["former"], 7);
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    run_step(&mut harness, "send c1 status id=m0 dest=1");
    run_step(&mut harness, "expect former m0");
    run_step(&mut harness, "send former m0 200");
    run_step(&mut harness, "expect counter delivered=1");
    harness.replace_discovery(&["current"], generation);
    run_step(&mut harness, "expect log endpoint is Gone");
    run_step(&mut harness, "send c2 status id=m1 dest=1");
    run_step(&mut harness, "expect current m1");
    run_step(&mut harness, "send current m1 200");
    run_step(&mut harness, "expect counter delivered=2");
    run_step(&mut harness, "expect former nothing 200");
}
