//! A retry-after applies to every call whose first byte has not left.

mod common;
use common::*;
use onyxrock::interface::*;

/// Index of the kind with separate routes.
const SEPARATE_ROUTES: usize = 1;

/// The policy's decision just before the first byte of the message's attempt in flight.
fn recheck(harness: &Harness, id: u64) -> SendRecheck {
    let call = harness.in_flight.iter().find(|s| s.id == id).expect("the message has an attempt in flight");
    harness.policy.recheck_send(harness.now, MessageId(id), call.attempt, ReceiverId(call.receiver))
}

fn receive_retry_after(harness: &mut Harness, receiver: u64, retry_after_ms: u64) {
    harness.handle_event(Event::RetryAfter(ReceiverId(receiver), ms(retry_after_ms)));
}

/// Checks that a held message is sent after this time and not before.
fn assert_sent_after(harness: &mut Harness, id: u64, wait_ms: u64, case: &str) {
    harness.advance(ms(wait_ms - 10));
    assert_eq!(harness.attempts_of(id), 0, "{case}");
    harness.advance(ms(20));
    assert_eq!(harness.attempts_of(id), 1, "{case}");
}

/// The operators' case: a call is decided 0.3 s before a 429 response, and its connection opens 0.4 s after
/// it, in the middle of the retry-after.
#[test]
fn call_whose_connection_opens_within_a_retry_after_is_held_back_and_sent_later() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
    harness.submit(1, UNSAFE, 1);
    harness.submit(2, SAFE, 1);
    harness.advance(ms(300));
    harness.end_attempt(2, Verdict::Full(Some(ms(2000))));
    harness.advance(ms(400));
    assert_eq!(recheck(&harness, 1), SendRecheck::WithinRetryAfter);
    harness.end_attempt(1, Verdict::HeldBack);
    harness.advance(ms(1590));
    assert_eq!(harness.attempts_of(1), 1, "the retry-after has not ended");
    harness.advance(ms(100));
    assert_eq!(
        (harness.attempts_of(1), recheck(&harness, 1)),
        (2, SendRecheck::Allowed),
        "a call that was held back never ran, so even an unsafe message is sent again"
    );
    harness.end_attempt(1, Verdict::Delivered);
    assert!(harness.failed.is_empty() && harness.refused.is_empty());
}

#[test]
fn held_back_call_uses_no_attempt_and_frees_its_slot() {
    let mut harness =
        Harness::new(Settings { slots: 1, max_attempts: 2, ..settings() }, vec![entry(1, 1, 0, 0)]);
    harness.submit(1, SAFE, 1);
    for _ in 0..5 {
        harness.end_attempt(1, Verdict::HeldBack);
        assert_eq!(
            recheck(&harness, 1),
            SendRecheck::Allowed,
            "the next attempt has the only slot and a number of its own"
        );
    }
    harness.end_attempt(1, Verdict::Error);
    harness.advance(ms(3000));
    harness.end_attempt(1, Verdict::Error);
    assert_eq!(
        (harness.failed.len(), harness.attempts_of(1)),
        (0, 7),
        "a safe message is refused once both attempts are used"
    );
    assert_eq!(harness.refused.len(), 1);
}

/// Guards against a retry-after that is lost with its call: the message was withdrawn, and the call failed,
/// timed out or was cancelled.
#[test]
fn retry_after_is_kept_whatever_becomes_of_its_call() {
    for ended in [Verdict::Error, Verdict::TimedOut, Verdict::Cancelled] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        harness.submit(1, SAFE, 1);
        receive_retry_after(&mut harness, 1, 900);
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
fn retry_after_of_an_unknown_outcome_is_kept() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    let verdict = Verdict::Full(Some(ms(900)));
    let (id, receiver, elapsed) = (MessageId(77), ReceiverId(1), ms(50));
    let unknown = Outcome {
        id,
        attempt: 3,
        receiver,
        verdict,
        elapsed,
        finished: true,
        limit_per_s: None,
        remaining_share: None,
    };
    harness.handle_event(Event::Outcome(unknown));
    harness.submit(2, SAFE, 1);
    assert_eq!(harness.attempts_of(2), 0);
}

#[test]
fn later_and_shorter_retry_after_does_not_end_a_longer_one() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    receive_retry_after(&mut harness, 1, 2000);
    harness.advance(ms(100));
    receive_retry_after(&mut harness, 1, 300);
    harness.submit(1, SAFE, 1);
    assert_sent_after(&mut harness, 1, 1900, "");
}

#[test]
fn retry_after_of_one_separate_route_leaves_the_others_open() {
    for (kind, attempts) in [(0, 0), (SEPARATE_ROUTES, 1)] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)]);
        receive_retry_after(&mut harness, 1, 2000);
        harness.submit(1, SAFE, 1);
        assert_eq!(harness.attempts_of(1), attempts, "kind {kind}");
        assert!(harness.sent.iter().all(|s| s.receiver == 2));
    }
}

/// Guards against a retry-after that is lost when its receiver is removed from the list, alone or with all
/// others, and comes back, with separate or shared routes.
#[test]
fn retry_after_survives_list_changes() {
    let removed = |kind| ListEntry { state: EntryState::Gone, ..entry(1, 1, kind, 0) };
    for (before, after) in
        [(0, 0), (SEPARATE_ROUTES, SEPARATE_ROUTES), (0, SEPARATE_ROUTES), (SEPARATE_ROUTES, 0)]
    {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, before, 0)]);
        receive_retry_after(&mut harness, 1, 90_000);
        harness.advance(ms(1000));
        harness.handle_event(Event::ListChanges(vec![removed(before)]));
        harness.advance(ms(30_000));
        harness.handle_event(Event::FullList(vec![]));
        harness.advance(ms(30_000));
        harness.handle_event(Event::FullList(vec![entry(1, 1, after, 0)]));
        harness.submit_with(1, SAFE, 1, None, ms(60_000));
        assert_sent_after(&mut harness, 1, 29_000, &format!("{before} {after}"));
    }
}

#[test]
fn retry_after_survives_a_change_between_shared_and_separate_routes() {
    for (before, after) in [(0, SEPARATE_ROUTES), (SEPARATE_ROUTES, 0)] {
        let both = |kind| vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)];
        let mut harness = Harness::new(settings(), both(before));
        receive_retry_after(&mut harness, 1, 2000);
        harness.handle_event(Event::ListChanges(both(after)));
        harness.submit(1, SAFE, 1);
        assert_sent_after(&mut harness, 1, 2000, &format!("{before} {after}"));
    }
}

#[test]
fn message_that_cannot_outlast_a_retry_after_is_refused_at_once_with_it() {
    let settings = Settings { max_retry_after: ms(100_000), ..settings() };
    for (kind, refused) in [(0, vec![(1, Some(ms(30_000)))]), (SEPARATE_ROUTES, vec![])] {
        let mut harness = Harness::new(settings.clone(), vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)]);
        harness.submit(1, SAFE, 1);
        harness.submit(3, SAFE, 1);
        harness.end_attempt(1, Verdict::HeldBack);
        let receiver =
            harness.in_flight.iter().find(|s| s.id == 1).expect("the message is sent again").receiver;
        harness.end_attempt(1, Verdict::Full(Some(ms(30_000))));
        assert_eq!(harness.refused, refused, "kind {kind}");
        harness.submit_with(2, SAFE, 1, None, ms(40_000));
        harness.advance(ms(1000));
        assert!(harness.sent.iter().all(|s| s.id != 2 || s.receiver != receiver), "kind {kind}");
    }
}

#[test]
fn huge_retry_after_is_kept_without_overflow() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    receive_retry_after(&mut harness, 1, u64::MAX / 1000);
    harness.submit(1, SAFE, 1);
    harness.advance(ms(100_000));
    assert_eq!((harness.attempts_of(1), harness.refused.len()), (0, 1));
}
