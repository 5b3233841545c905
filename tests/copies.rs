//! Second copies: two attempts of one message in flight at the same time, where the settings allow it.

mod common;
use common::*;
use onyxrock::interface::*;

/// A harness whose settings allow second copies and whose receivers have been measured.
fn harness_with_copies(entries: Vec<ListEntry>) -> Harness {
    // Receiver 1 is the faster one, so messages are sent to it first.
    let mut harness =
        Harness::new(Settings { second_copies: true, peer_hints: false, ..settings() }, entries);
    harness.warm_up(1000, 80, 1);
    harness
}

fn two_receivers() -> Vec<ListEntry> {
    vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]
}

/// Submits message 1, leaves its first attempt without a response for 1.5 s and returns the receivers of its
/// attempts.
fn submit_without_response(harness: &mut Harness, class: usize) -> Vec<u64> {
    harness.submit(1, class, 1);
    harness.advance(ms(1500));
    harness.sent.iter().filter(|s| s.id == 1).map(|s| s.receiver).collect()
}

#[test]
fn copy_is_sent_to_another_receiver_only_once_the_first_attempt_is_late() {
    let mut harness = harness_with_copies(two_receivers());
    harness.submit(1, SAFE, 1);
    harness.advance(ms(300));
    assert_eq!(harness.attempts_of(1), 1, "the first attempt is not late yet");
    harness.advance(ms(1200));
    let receivers: Vec<_> = harness.sent.iter().filter(|s| s.id == 1).map(|s| s.receiver).collect();
    assert_eq!(receivers.len(), 2, "one copy and no more");
    assert_ne!(receivers[0], receivers[1]);
}

#[test]
fn copy_is_sent_only_where_settings_class_and_receivers_allow_it() {
    let mut forbidden = harness_with_copies(two_receivers());
    forbidden.policy = onyxrock::PolicyEngine::new(Settings { peer_hints: false, ..settings() }, 7);
    forbidden.handle_event(Event::FullList(two_receivers()));
    forbidden.warm_up(2000, 80, 1);
    assert_eq!(
        submit_without_response(&mut forbidden, SAFE).len(),
        1,
        "the settings allow one attempt at a time"
    );
    assert_eq!(
        submit_without_response(&mut harness_with_copies(two_receivers()), UNSAFE).len(),
        1,
        "an unsafe message must never take effect twice"
    );
    assert_eq!(
        submit_without_response(&mut harness_with_copies(two_receivers()), ORDERED).len(),
        2,
        "all receivers deduplicate within the window"
    );
    let zones = vec![entry(1, 1, 0, 0), entry(2, 1, 0, 1)];
    assert_eq!(
        submit_without_response(&mut harness_with_copies(zones), ZONED).len(),
        1,
        "the receiver in the other zone does not deduplicate"
    );
    assert_eq!(
        submit_without_response(&mut harness_with_copies(vec![entry(1, 1, 0, 0)]), SAFE).len(),
        1,
        "there is no other receiver"
    );
}

#[test]
fn first_delivery_ends_the_message_and_cancels_the_copy() {
    for both in [false, true] {
        let mut harness = harness_with_copies(two_receivers());
        submit_without_response(&mut harness, SAFE);
        harness.end_attempt(1, Verdict::Delivered);
        assert_eq!(harness.cancelled, [(1, 1)]);
        harness.end_attempt(1, if both { Verdict::Delivered } else { Verdict::Cancelled });
        harness.advance(ms(20_000));
        assert_eq!(
            (harness.attempts_of(1), harness.refused.len(), harness.failed.len()),
            (2, 0, 0),
            "no attempt and no end follows"
        );
    }
}

/// Guards against a message that is ended, or sent a third time, when one of its two attempts fails.
#[test]
fn failed_attempt_does_not_end_a_message_with_a_copy_in_flight() {
    let mut harness = harness_with_copies(two_receivers());
    submit_without_response(&mut harness, ORDERED);
    harness.end_attempt(1, Verdict::Reset);
    harness.advance(ms(300));
    assert!(harness.refused.is_empty() && harness.failed.is_empty());
    harness.end_attempt(1, Verdict::Delivered);
    harness.advance(ms(20_000));
    assert_eq!((harness.refused.len(), harness.failed.len()), (0, 0));
}

#[test]
fn retry_after_of_a_refused_copy_applies_to_all_messages() {
    let mut harness = harness_with_copies(two_receivers());
    submit_without_response(&mut harness, SAFE);
    let first = harness.in_flight.remove(0); // the first attempt gets no outcome yet
    harness.end_attempt(1, Verdict::Full(Some(ms(900))));
    let before = harness.sent.len();
    harness.submit(2, SAFE, 1);
    harness.advance(ms(800));
    assert_eq!(harness.sent.len(), before, "no message is sent within the retry-after");
    harness.in_flight.push(first);
    harness.end_attempt(1, Verdict::Delivered);
    harness.advance(ms(200));
    assert!(harness.sent.len() > before, "messages are sent after the retry-after");
}

/// Guards against copies that overload the receivers: they stay a small share of all calls, however many
/// attempts have no response.
#[test]
fn copies_stay_a_small_share_of_calls() {
    let mut harness = harness_with_copies(two_receivers());
    for id in 1..=6 {
        harness.submit(id, SAFE, 1);
    }
    harness.advance(ms(1900));
    let copies = (1..=6).filter(|id| harness.attempts_of(*id) > 1).count();
    assert!((1..=2).contains(&copies), "{copies} copies of six messages, after eighty calls");
}
