//! Told waits, up to the moment at which a call's first byte leaves.

mod common;
use common::*;
use onyxrock::interface::*;

const APART: usize = 1;

fn leave(rig: &Rig, id: u64) -> SendRecheck {
    let call = rig.out.iter().find(|s| s.id == id).expect("a call is out");
    rig.policy.recheck_send(rig.now, MessageId(id), call.attempt, ReceiverId(call.receiver))
}

fn told(rig: &mut Rig, receiver: u64, wait: u64) {
    rig.event(Event::RetryAfter(ReceiverId(receiver), ms(wait)));
}

/// A message that waits goes when so long has passed, and not before.
fn goes_after(rig: &mut Rig, id: u64, wait: u64, what: &str) {
    rig.pass(ms(wait - 10));
    assert_eq!(rig.sends_of(id), 0, "{what}");
    rig.pass(ms(20));
    assert_eq!(rig.sends_of(id), 1, "{what}");
}

/// The operators' case: decided 0.3 s before a 429, its connection up 0.4 s after it, in the middle of the wait.
#[test]
fn a_call_whose_connection_comes_up_within_a_wait_is_held_back_and_goes_later() {
    let mut rig = Rig::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
    rig.submit(1, UNSAFE, 1);
    rig.submit(2, SAFE, 1);
    rig.pass(ms(300));
    rig.answer(2, Verdict::Full(Some(ms(2000))));
    rig.pass(ms(400));
    assert_eq!(leave(&rig, 1), SendRecheck::WithinRetryAfter);
    rig.answer(1, Verdict::HeldBack);
    rig.pass(ms(1590));
    assert_eq!(rig.sends_of(1), 1, "the wait runs");
    rig.pass(ms(100));
    assert_eq!(
        (rig.sends_of(1), leave(&rig, 1)),
        (2, SendRecheck::Allowed),
        "it never ran, so even this one may go again"
    );
    rig.answer(1, Verdict::Delivered);
    assert!(rig.failed.is_empty() && rig.refused.is_empty());
}

#[test]
fn what_is_held_back_is_no_attempt_and_frees_its_slot() {
    let mut rig = Rig::new(Settings { slots: 1, max_attempts: 2, ..settings() }, vec![entry(1, 1, 0, 0)]);
    rig.submit(1, SAFE, 1);
    for _ in 0..5 {
        rig.answer(1, Verdict::HeldBack);
        assert_eq!(
            leave(&rig, 1),
            SendRecheck::Allowed,
            "with the one slot that there is, under a number of its own"
        );
    }
    rig.answer(1, Verdict::Error);
    rig.pass(ms(3000));
    rig.answer(1, Verdict::Error);
    assert_eq!((rig.failed.len(), rig.sends_of(1)), (0, 7), "safe: refused once both attempts are spent");
    assert_eq!(rig.refused.len(), 1);
}

/// Whatever becomes of the call that was told it: its message over, the call given up or called off.
#[test]
fn a_wait_holds_whoever_was_told() {
    for ended in [Verdict::Error, Verdict::TimedOut, Verdict::Cancelled] {
        let mut rig = Rig::new(settings(), vec![entry(1, 1, 0, 0)]);
        rig.submit(1, SAFE, 1);
        told(&mut rig, 1, 900);
        rig.event(Event::Withdrawn(MessageId(1)));
        rig.answer(1, ended);
        rig.submit(2, SAFE, 1);
        rig.pass(ms(890));
        assert_eq!(rig.sends_of(2), 0, "{ended:?}");
        rig.pass(ms(2000));
        assert_eq!(rig.sends_of(2), 1, "{ended:?}");
    }
}

#[test]
fn an_outcome_that_nobody_waits_for_still_tells_its_wait() {
    let mut rig = Rig::new(settings(), vec![entry(1, 1, 0, 0)]);
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
    rig.event(Event::Outcome(late));
    rig.submit(2, SAFE, 1);
    assert_eq!(rig.sends_of(2), 0);
}

#[test]
fn a_shorter_wait_told_later_does_not_end_a_longer_one() {
    let mut rig = Rig::new(settings(), vec![entry(1, 1, 0, 0)]);
    told(&mut rig, 1, 2000);
    rig.pass(ms(100));
    told(&mut rig, 1, 300);
    rig.submit(1, SAFE, 1);
    goes_after(&mut rig, 1, 1900, "");
}

#[test]
fn where_routes_are_apart_the_others_stay_open() {
    for (kind, goes) in [(0, 0), (APART, 1)] {
        let mut rig = Rig::new(settings(), vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)]);
        told(&mut rig, 1, 2000);
        rig.submit(1, SAFE, 1);
        assert_eq!(rig.sends_of(1), goes, "kind {kind}");
        assert!(rig.sent.iter().all(|s| s.receiver == 2));
    }
}

/// It goes and comes, alone or with all others; its routes become apart, or one.
#[test]
fn a_wait_outlives_what_the_list_does_meanwhile() {
    let gone = |kind| ListEntry { state: EntryState::Gone, ..entry(1, 1, kind, 0) };
    for (before, after) in [(0, 0), (APART, APART), (0, APART), (APART, 0)] {
        let mut rig = Rig::new(settings(), vec![entry(1, 1, before, 0)]);
        told(&mut rig, 1, 90_000);
        rig.pass(ms(1000));
        rig.event(Event::ListChanges(vec![gone(before)]));
        rig.pass(ms(30_000));
        rig.event(Event::FullList(vec![]));
        rig.pass(ms(30_000));
        rig.event(Event::FullList(vec![entry(1, 1, after, 0)]));
        rig.submit_with(1, SAFE, 1, None, ms(60_000));
        goes_after(&mut rig, 1, 29_000, &format!("{before} {after}"));
    }
}

#[test]
fn routes_that_become_apart_or_one_keep_the_waits_of_all() {
    for (before, after) in [(0, APART), (APART, 0)] {
        let both = |kind| vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)];
        let mut rig = Rig::new(settings(), both(before));
        told(&mut rig, 1, 2000);
        rig.event(Event::ListChanges(both(after)));
        rig.submit(1, SAFE, 1);
        goes_after(&mut rig, 1, 2000, &format!("{before} {after}"));
    }
}

#[test]
fn what_cannot_outlast_a_wait_is_returned_at_once_with_it() {
    let set = Settings { max_retry_after: ms(100_000), ..settings() };
    for (kind, ends) in [(0, vec![(1, Some(ms(30_000)))]), (APART, vec![])] {
        let mut rig = Rig::new(set.clone(), vec![entry(1, 1, kind, 0), entry(2, 1, kind, 0)]);
        rig.submit(1, SAFE, 1);
        rig.submit(3, SAFE, 1);
        rig.answer(1, Verdict::HeldBack);
        let to = rig.out.iter().find(|s| s.id == 1).expect("it goes again").receiver;
        rig.answer(1, Verdict::Full(Some(ms(30_000))));
        assert_eq!(rig.refused, ends, "kind {kind}");
        rig.submit_with(2, SAFE, 1, None, ms(40_000));
        rig.pass(ms(1000));
        assert!(rig.sent.iter().all(|s| s.id != 2 || s.receiver != to), "kind {kind}");
    }
}

#[test]
fn a_wait_without_end_is_heeded_and_overflows_nothing() {
    let mut rig = Rig::new(settings(), vec![entry(1, 1, 0, 0)]);
    told(&mut rig, 1, u64::MAX / 1000);
    rig.submit(1, SAFE, 1);
    rig.pass(ms(100_000));
    assert_eq!((rig.sends_of(1), rig.refused.len()), (0, 1));
}
