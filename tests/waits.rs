//! Told waits, up to the moment at which a call's first byte leaves.

mod common;
use common::*;
use onyxrock::interface::*;

const APART: usize = 1;

fn leave(harness: &Harness, id: u64) -> SendRecheck {
    let call = harness.in_flight.iter().find(|s| s.id == id).expect("a call is out");
    harness.policy.recheck_send(harness.now, MessageId(id), call.attempt, ReceiverId(call.receiver))
}

fn told(harness: &mut Harness, receiver: u64, wait: u64) {
    harness.handle_event(Event::RetryAfter(ReceiverId(receiver), ms(wait)));
}

/// A message that waits goes when so long has passed, and not before.
fn goes_after(harness: &mut Harness, id: u64, wait: u64, what: &str) {
    harness.advance(ms(wait - 10));
    assert_eq!(harness.attempts_of(id), 0, "{what}");
    harness.advance(ms(20));
    assert_eq!(harness.attempts_of(id), 1, "{what}");
}

/// The operators' case: decided 0.3 s before a 429, its connection up 0.4 s after it, in the middle of the
/// wait.
#[test]
fn a_call_whose_connection_comes_up_within_a_wait_is_held_back_and_goes_later() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
    harness.submit(1, UNSAFE, 1);
    harness.submit(2, SAFE, 1);
    harness.advance(ms(300));
    harness.end_attempt(2, Verdict::Full(Some(ms(2000))));
    harness.advance(ms(400));
    assert_eq!(leave(&harness, 1), SendRecheck::WithinRetryAfter);
    harness.end_attempt(1, Verdict::HeldBack);
    harness.advance(ms(1590));
    assert_eq!(harness.attempts_of(1), 1, "the wait runs");
    harness.advance(ms(100));
    assert_eq!(
        (harness.attempts_of(1), leave(&harness, 1)),
        (2, SendRecheck::Allowed),
        "it never ran, so even this one may go again"
    );
    harness.end_attempt(1, Verdict::Delivered);
    assert!(harness.failed.is_empty() && harness.refused.is_empty());
}

#[test]
fn what_is_held_back_is_no_attempt_and_frees_its_slot() {
    let mut harness =
        Harness::new(Settings { slots: 1, max_attempts: 2, ..settings() }, vec![entry(1, 1, 0, 0)]);
    harness.submit(1, SAFE, 1);
    for _ in 0..5 {
        harness.end_attempt(1, Verdict::HeldBack);
        assert_eq!(
            leave(&harness, 1),
            SendRecheck::Allowed,
            "with the one slot that there is, under a number of its own"
        );
    }
    harness.end_attempt(1, Verdict::Error);
    harness.advance(ms(3000));
    harness.end_attempt(1, Verdict::Error);
    assert_eq!(
        (harness.failed.len(), harness.attempts_of(1)),
        (0, 7),
        "safe: refused once both attempts are spent"
    );
    assert_eq!(harness.refused.len(), 1);
}

/// Whatever becomes of the call that was told it: its message over, the call given up or called off.
#[test]
fn a_wait_holds_whoever_was_told() {
    for ended in [Verdict::Error, Verdict::TimedOut, Verdict::Cancelled] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        harness.submit(1, SAFE, 1);
        told(&mut harness, 1, 900);
        harness.handle_event(Event::Withdrawn(MessageId(1)));
        harness.end_attempt(1, ended);
        harness.submit(2, SAFE, 1);
        harness.advance(ms(890));
        assert_eq!(harness.attempts_of(2), 0, "{ended:?}");
        harness.advance(ms(2000));
        assert_eq!(harness.attempts_of(2), 1, "{ended:?}");
    }
}

#[test]
fn an_outcome_that_nobody_waits_for_still_tells_its_wait() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    let verdict = Verdict::Full(Some(ms(900)));
    let (id, receiver, elapsed) = (MessageId(77), ReceiverId(1), ms(50));
    let late = Outcome {
        id,
        attempt: 3,
        receiver,
        verdict,
        elapsed,
        finished: true,
        limit_per_s: None,
        remaining_share: None,
    };
    harness.handle_event(Event::Outcome(late));
    harness.submit(2, SAFE, 1);
    assert_eq!(harness.attempts_of(2), 0);
}

#[test]
fn a_shorter_wait_told_later_does_not_end_a_longer_one() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    told(&mut harness, 1, 2000);
    harness.advance(ms(100));
    told(&mut harness, 1, 300);
    harness.submit(1, SAFE, 1);
    goes_after(&mut harness, 1, 1900, "");
}

#[test]
fn where_routes_are_apart_the_others_stay_open() {
    for (kind, goes) in [(0, 0), (APART, 1)] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)]);
        told(&mut harness, 1, 2000);
        harness.submit(1, SAFE, 1);
        assert_eq!(harness.attempts_of(1), goes, "kind {kind}");
        assert!(harness.sent.iter().all(|s| s.receiver == 2));
    }
}

/// It goes and comes, alone or with all others; its routes become apart, or one.
#[test]
fn a_wait_outlives_what_the_list_does_meanwhile() {
    let gone = |kind| ListEntry { state: EntryState::Gone, ..entry(1, 1, kind, 0) };
    for (before, after) in [(0, 0), (APART, APART), (0, APART), (APART, 0)] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, before, 0)]);
        told(&mut harness, 1, 90_000);
        harness.advance(ms(1000));
        harness.handle_event(Event::ListChanges(vec![gone(before)]));
        harness.advance(ms(30_000));
        harness.handle_event(Event::FullList(vec![]));
        harness.advance(ms(30_000));
        harness.handle_event(Event::FullList(vec![entry(1, 1, after, 0)]));
        harness.submit_with(1, SAFE, 1, None, ms(60_000));
        goes_after(&mut harness, 1, 29_000, &format!("{before} {after}"));
    }
}

#[test]
fn routes_that_become_apart_or_one_keep_the_waits_of_all() {
    for (before, after) in [(0, APART), (APART, 0)] {
        let both = |kind| vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)];
        let mut harness = Harness::new(settings(), both(before));
        told(&mut harness, 1, 2000);
        harness.handle_event(Event::ListChanges(both(after)));
        harness.submit(1, SAFE, 1);
        goes_after(&mut harness, 1, 2000, &format!("{before} {after}"));
    }
}

#[test]
fn what_cannot_outlast_a_wait_is_returned_at_once_with_it() {
    let set = Settings { max_retry_after: ms(100_000), ..settings() };
    for (kind, ends) in [(0, vec![(1, Some(ms(30_000)))]), (APART, vec![])] {
        let mut harness = Harness::new(set.clone(), vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)]);
        harness.submit(1, SAFE, 1);
        harness.submit(3, SAFE, 1);
        harness.end_attempt(1, Verdict::HeldBack);
        let to = harness.in_flight.iter().find(|s| s.id == 1).expect("it goes again").receiver;
        harness.end_attempt(1, Verdict::Full(Some(ms(30_000))));
        assert_eq!(harness.refused, ends, "kind {kind}");
        harness.submit_with(2, SAFE, 1, None, ms(40_000));
        harness.advance(ms(1000));
        assert!(harness.sent.iter().all(|s| s.id != 2 || s.receiver != to), "kind {kind}");
    }
}

#[test]
fn a_wait_without_end_is_heeded_and_overflows_nothing() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    told(&mut harness, 1, u64::MAX / 1000);
    harness.submit(1, SAFE, 1);
    harness.advance(ms(100_000));
    assert_eq!((harness.attempts_of(1), harness.refused.len()), (0, 1));
}
