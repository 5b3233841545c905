//! Second copies: where the settings allow two attempts of one message out at once.

mod common;
use common::*;
use onyxrock::interface::*;

fn copied(entries: Vec<ListEntry>) -> Harness {
    // The first is the faster one, so it is where a message goes.
    let mut harness =
        Harness::new(Settings { second_copies: true, peer_hints: false, ..settings() }, entries);
    harness.warm_up(1000, 80, 1);
    harness
}

fn two() -> Vec<ListEntry> {
    vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]
}

/// Sends one message and lets its first attempt hang for a while. Where its attempts went.
fn hangs(harness: &mut Harness, class: usize) -> Vec<u64> {
    harness.submit(1, class, 1);
    harness.advance(ms(1500));
    harness.sent.iter().filter(|s| s.id == 1).map(|s| s.receiver).collect()
}

#[test]
fn a_copy_goes_to_another_receiver_once_the_first_is_late_and_not_before() {
    let mut harness = copied(two());
    harness.submit(1, SAFE, 1);
    harness.advance(ms(300));
    assert_eq!(harness.attempts_of(1), 1, "not late yet");
    harness.advance(ms(1200));
    let to: Vec<_> = harness.sent.iter().filter(|s| s.id == 1).map(|s| s.receiver).collect();
    assert_eq!(to.len(), 2, "one copy and no more");
    assert_ne!(to[0], to[1]);
}

#[test]
fn a_copy_goes_only_where_settings_class_and_receivers_allow_it() {
    let mut forbidden = copied(two());
    forbidden.policy = onyxrock::PolicyEngine::new(Settings { peer_hints: false, ..settings() }, 7);
    forbidden.handle_event(Event::FullList(two()));
    forbidden.warm_up(2000, 80, 1);
    assert_eq!(hangs(&mut forbidden, SAFE).len(), 1, "the settings allow one");
    assert_eq!(hangs(&mut copied(two()), UNSAFE).len(), 1, "it must never take effect twice");
    assert_eq!(hangs(&mut copied(two()), ORDERED).len(), 2, "all drop a repeat inside its window");
    let zones = vec![entry(1, 1, 0, 0), entry(2, 1, 0, 1)];
    assert_eq!(hangs(&mut copied(zones), ZONED).len(), 1, "the other receiver drops no repeat");
    assert_eq!(hangs(&mut copied(vec![entry(1, 1, 0, 0)]), SAFE).len(), 1, "there is no other");
}

#[test]
fn the_first_delivery_ends_the_message_and_calls_the_other_off() {
    for both in [false, true] {
        let mut harness = copied(two());
        hangs(&mut harness, SAFE);
        harness.end_attempt(1, Verdict::Delivered);
        assert_eq!(harness.cancelled, [(1, 1)]);
        harness.end_attempt(1, if both { Verdict::Delivered } else { Verdict::Cancelled });
        harness.advance(ms(20_000));
        assert_eq!(
            (harness.attempts_of(1), harness.refused.len(), harness.failed.len()),
            (2, 0, 0),
            "nothing list_requests"
        );
    }
}

/// What fails while its copy is out must not be given up, nor be repeated a third time beside it.
#[test]
fn one_that_fails_leaves_the_end_to_its_copy() {
    let mut harness = copied(two());
    hangs(&mut harness, ORDERED);
    harness.end_attempt(1, Verdict::Reset);
    harness.advance(ms(300));
    assert!(harness.refused.is_empty() && harness.failed.is_empty());
    harness.end_attempt(1, Verdict::Delivered);
    harness.advance(ms(20_000));
    assert_eq!((harness.refused.len(), harness.failed.len()), (0, 0));
}

#[test]
fn a_copy_that_is_refused_with_a_wait_holds_up_all_that_goes_there() {
    let mut harness = copied(two());
    hangs(&mut harness, SAFE);
    let first = harness.in_flight.remove(0); // still out
    harness.end_attempt(1, Verdict::Full(Some(ms(900))));
    let before = harness.sent.len();
    harness.submit(2, SAFE, 1);
    harness.advance(ms(800));
    assert_eq!(harness.sent.len(), before, "the wait is heeded by all");
    harness.in_flight.push(first);
    harness.end_attempt(1, Verdict::Delivered);
    harness.advance(ms(200));
    assert!(harness.sent.len() > before, "and ends");
}

/// Copies are work for nothing: they stay a small share of calls, however much hangs.
#[test]
fn copies_stay_a_small_share_of_calls() {
    let mut harness = copied(two());
    for id in 1..=6 {
        harness.submit(id, SAFE, 1);
    }
    harness.advance(ms(1900));
    let copies = (1..=6).filter(|id| harness.attempts_of(*id) > 1).count();
    assert!((1..=2).contains(&copies), "{copies} of six, after eighty calls");
}
