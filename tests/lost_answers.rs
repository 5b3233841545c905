//! Responses that are lost on the way from any receiver: the call has run, but its response never arrives.
//! All receivers are healthy, so a sender must neither treat them as unhealthy nor keep its slots filled with
//! such calls.

mod common;
use common::*;
use onyxrock::interface::*;
use std::collections::BTreeMap;

/// Number of receivers, two to a destination.
const RECEIVERS: u64 = 8;
/// Time after which a receiver responds.
const RESPONSE_TIME: Micros = Micros(50_000);
/// Milliseconds between two messages.
const SUBMIT_EVERY_MS: u64 = 12;

/// Counts of a run.
struct Counts {
    submitted: usize,
    /// Messages delivered within a second.
    in_time: usize,
    /// Cancelled attempts.
    cancelled: usize,
    /// Largest number of cancelled attempts of one message.
    max_cancelled_of_one: usize,
}

/// Submits a message every 12 ms for 20 s. From the fifth second to the fifteenth one response in `lost`
/// never arrives. With `late`, one message in `lost` is slow instead: each of its calls gets its response
/// after that time.
fn run(class: usize, slots: u32, lost: u64, late: Option<Micros>) -> Counts {
    let settings =
        Settings { slots, sender_count: 1, peer_hints: false, weights: Weights::Off, ..settings() };
    let entries = (0..RECEIVERS).map(|r| entry(r, r / 2, 0, 0)).collect();
    let mut harness = Harness::new(settings, entries);
    let (start, mut submitted_at) = (harness.now, BTreeMap::new());
    let (mut calls, mut in_time, mut next_id) = (0u64, 0, 0u64);
    let mut cancelled: BTreeMap<u64, usize> = BTreeMap::new();
    let mut responses: BTreeMap<(u64, u32), Option<Micros>> = BTreeMap::new();
    while harness.now < start.plus(ms(30_000)) {
        let at = harness.now.since(start);
        if at < ms(20_000) && at.0 / 1000 >= next_id * SUBMIT_EVERY_MS {
            submitted_at.insert(next_id, harness.now);
            harness.submit(next_id, class, next_id % (RECEIVERS / 2));
            next_id += 1;
        }
        harness.advance(ms(1));
        for (id, attempt) in std::mem::take(&mut harness.cancelled) {
            if harness.in_flight.iter().any(|s| (s.id, s.attempt) == (id, attempt)) {
                *cancelled.entry(id).or_insert(0usize) += 1;
                harness.end_attempt(id, Verdict::Cancelled);
            }
        }
        for call in harness.in_flight.clone() {
            let due = *responses.entry((call.id, call.attempt)).or_insert_with(|| {
                calls += 1;
                let in_fault_period = (ms(5_000)..ms(15_000)).contains(&call.at.since(start));
                // A pseudo-random choice by a multiplicative hash of the number of the message or call.
                let number = if late.is_some() { call.id } else { calls };
                let hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                if in_fault_period && hash.is_multiple_of(lost) { late } else { Some(RESPONSE_TIME) }
            });
            let age = harness.now.since(call.at);
            if due.is_some_and(|due| age >= due) {
                harness.end_attempt(call.id, Verdict::Delivered);
                in_time += usize::from(harness.now.since(submitted_at[&call.id]) < ms(1_000));
            } else if age >= call.timeout {
                harness.end_attempt(call.id, Verdict::TimedOut);
            }
        }
    }
    let max_cancelled_of_one = cancelled.values().copied().max().unwrap_or(0);
    Counts {
        submitted: submitted_at.len(),
        in_time,
        cancelled: cancelled.values().sum(),
        max_cancelled_of_one,
    }
}

#[test]
fn lost_responses_fill_no_slots_and_make_no_receiver_unhealthy() {
    for class in [SAFE, ZONED] {
        let counts = run(class, 13, 10, None);
        let share = counts.in_time as f64 / counts.submitted as f64;
        println!("class {class}: {} of {} in time, {share:.3}", counts.in_time, counts.submitted);
        assert!(share > 0.95, "class {class}: {share:.3} of all messages in time");
    }
}

/// Guards against lost unsafe messages: a cancelled unsafe message cannot be repeated, so the sender waits
/// for its response.
#[test]
fn unsafe_messages_are_not_cancelled_for_their_slots() {
    assert_eq!(run(UNSAFE, 13, 6, None).cancelled, 0);
}

/// Guards against needless repeats: a slow message gets its response in the end, and cancelling its attempt
/// would make it run again.
#[test]
fn slow_messages_are_not_cancelled_while_slots_are_free() {
    assert_eq!(run(SAFE, 80, 12, Some(ms(1_500))).cancelled, 0);
}

/// Guards against endless repeats of a slow message where slots are scarce: its third call at the latest may
/// finish.
#[test]
fn slow_message_is_cancelled_at_most_twice() {
    let runs = [6, 8, 10, 12].map(|slots| run(SAFE, slots, 10, Some(ms(3_000))));
    let cancelled: Vec<_> = runs.iter().map(|counts| counts.max_cancelled_of_one).collect();
    println!("most cancelled attempts of one message: {cancelled:?}");
    assert_eq!(cancelled.iter().max(), Some(&2));
}
