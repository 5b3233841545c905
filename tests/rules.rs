//! The six rules of the policy. Each test fails if the code of its rule is removed.

mod common;
use common::*;
use onyxrock::interface::*;

#[test]
fn held_message_is_refused_before_its_deadline() {
    let mut harness = Harness::new(settings(), vec![]);
    harness.submit_with(1, UNSAFE, 9, None, ms(2000));
    harness.advance(ms(1900));
    assert!(harness.refused.is_empty());
    harness.advance(ms(99));
    assert_eq!(harness.refused.iter().map(|r| r.0).collect::<Vec<_>>(), [1]);
    harness.advance(ms(3000));
    assert_eq!(harness.refused.len() + harness.failed.len(), 1);
}

#[test]
fn call_timeout_does_not_exceed_the_deadline() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.submit_with(1, UNSAFE, 1, None, ms(700));
    assert_eq!(harness.sent[0].timeout, ms(700));
    harness.advance(ms(700));
    harness.end_attempt(1, Verdict::TimedOut);
    assert_eq!(harness.failed, [1]);
}

#[test]
fn unsafe_message_that_may_have_run_fails_and_is_not_sent_again() {
    for verdict in [Verdict::Error, Verdict::TimedOut, Verdict::Reset, Verdict::Stale, Verdict::Cancelled] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
        harness.submit(1, UNSAFE, 1);
        harness.end_attempt(1, verdict);
        harness.advance(ms(5000));
        assert_eq!(
            (harness.attempts_of(1), harness.failed.clone(), harness.refused.len()),
            (1, vec![1], 0),
            "{verdict:?}"
        );
    }
}

/// Guards against an outage being assumed when several idle connections in a row turn out to be stale,
/// because something between sender and receiver dropped them. Taken for an outage, they cost a fifth of the
/// value of a day.
#[test]
fn stale_connections_do_not_make_a_receiver_unhealthy() {
    let sent = |verdict| {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        for id in 1..=6 {
            harness.submit(id, SAFE, 1);
            harness.end_attempt(id, verdict);
            harness.end_attempt(id, Verdict::Delivered);
            harness.advance(ms(10));
        }
        (1..=6).map(|id| harness.attempts_of(id)).sum::<usize>()
    };
    assert_eq!(sent(Verdict::Stale), 12, "each message is sent again at once");
}

/// Guards against outages being assumed on a day on which calls are reset everywhere. Three resets in a row
/// at a receiver then happen by chance; taken for outages, with a slow start after each, they cost more than
/// the resets.
#[test]
fn short_run_of_resets_is_no_outage_where_calls_are_reset_everywhere() {
    let sent = |resets_everywhere: bool| {
        let mut harness = Harness::new(settings(), (1..=10).map(|r| entry(r, r, 0, 0)).collect());
        for id in 1..=300 {
            harness.submit(id, SAFE, id % 10 + 1);
            if resets_everywhere && id > 100 && id % 3 == 0 {
                harness.end_attempt(id, Verdict::Reset);
            }
            harness.end_attempt(id, Verdict::Delivered);
            harness.advance(ms(2));
        }
        harness.submit(999, SAFE, 1);
        (0..3).for_each(|_| harness.end_attempt(999, Verdict::Reset));
        harness.attempts_of(999)
    };
    assert_eq!((sent(false), sent(true)), (3, 4));
}

/// Guards against one silent connection that limits its receiver to the few calls of a slow receiver until
/// the call times out.
#[test]
fn one_hanging_call_does_not_limit_a_receiver_that_serves_others() {
    let sent = |others_are_served: bool| {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        harness.warm_up(1000, 50, 1);
        harness.submit(1, SAFE, 1);
        for id in 2..=4 {
            harness.advance(ms(80));
            if others_are_served {
                harness.submit(id, SAFE, 1);
                harness.advance(ms(10));
                harness.end_attempt(id, Verdict::Delivered);
            }
        }
        harness.advance(ms(400));
        (20..30).for_each(|id| harness.submit(id, SAFE, 1));
        (20..30).map(|id| harness.attempts_of(id)).sum::<usize>()
    };
    assert!(sent(true) > sent(false) + 1, "{} {}", sent(true), sent(false));
}

/// Guards against state of removed receivers that slows the remaining ones: over a long day most receivers of
/// a destination are removed.
#[test]
fn removed_receivers_do_not_slow_the_remaining_ones() {
    let sent = |removed: u64| {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        for state in [EntryState::Ready, EntryState::Gone] {
            let former = (100..100 + removed).map(|r| ListEntry { state, ..entry(r, 1, 0, 0) }).collect();
            harness.handle_event(Event::ListChanges(former));
        }
        harness.warm_up(1000, 50, 1);
        harness.submit(1, SAFE, 1);
        (0..3).for_each(|_| harness.end_attempt(1, Verdict::Error));
        harness.handle_event(Event::ListChanges(vec![entry(2, 1, 0, 0)]));
        for id in 10..60 {
            harness.submit(id, SAFE, 1);
            harness.advance(ms(100));
            let ids: Vec<_> = harness.in_flight.iter().map(|s| s.id).collect();
            ids.into_iter().for_each(|id| harness.end_attempt(id, Verdict::Delivered));
        }
        harness.sent.iter().filter(|s| s.id < 1000).map(|s| s.at).collect::<Vec<_>>()
    };
    assert_eq!(sent(0), sent(8));
}

#[test]
fn unsafe_message_that_never_ran_is_sent_again() {
    for verdict in [Verdict::Full(None), Verdict::ConnectFailed, Verdict::Moot] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        harness.submit(1, UNSAFE, 1);
        harness.end_attempt(1, verdict);
        harness.advance(ms(5000));
        assert_eq!(harness.attempts_of(1), 2, "{verdict:?}");
    }
}

#[test]
fn keyed_message_stays_in_its_window_and_zone() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 1)]);
    harness.submit(1, ZONED, 1);
    let first = harness.sent[0].receiver;
    harness.advance(ms(2000));
    harness.end_attempt(1, Verdict::TimedOut);
    harness.advance(ms(1000));
    assert_eq!(harness.attempts_of(1), 2);
    assert_eq!(harness.sent[1].receiver, first);
    harness.advance(ms(1500));
    harness.end_attempt(1, Verdict::TimedOut);
    harness.advance(ms(200));
    if !harness.in_flight.is_empty() {
        harness.end_attempt(1, Verdict::TimedOut);
    }
    harness.advance(ms(10_000));
    assert!(harness.sent.iter().all(|s| s.at.since(harness.sent[0].at) <= ms(5000)));
    assert_eq!((harness.failed.clone(), harness.refused.len()), (vec![1], 0));
}

#[test]
fn no_attempt_is_sent_to_a_draining_or_removed_receiver() {
    for full_list in [false, true] {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
        let draining = ListEntry { state: EntryState::Draining, ..entry(1, 1, 0, 0) };
        harness.handle_event(if full_list {
            Event::FullList(vec![entry(2, 1, 0, 0)])
        } else {
            Event::ListChanges(vec![draining])
        });
        for id in 1..8 {
            harness.submit(id, SAFE, 1);
        }
        assert!(!harness.sent.is_empty() && harness.sent.iter().all(|s| s.receiver == 2));
    }
}

#[test]
fn failed_list_subscription_is_retried_within_the_poll_interval() {
    let mut harness = Harness::new(Settings { subscribe_to_list: true, ..settings() }, vec![]);
    assert_eq!(harness.list_requests, 1);
    for requests in 2..12 {
        harness.handle_event(Event::ListFailed);
        assert_eq!(harness.list_requests, requests - 1, "the list is not requested at once");
        harness.advance(ms(9000));
        assert_eq!(harness.list_requests, requests);
    }
    harness.handle_event(Event::ListChanges(vec![]));
    harness.advance(ms(30_000));
    assert_eq!(harness.list_requests, 11, "an active subscription is not renewed");
}

/// Fails all calls to a destination until it is unhealthy, then delivers all until it has recovered. Returns
/// the times of the attempts after the recovery.
fn send_times_after_recovery(kind: usize, failure: Verdict) -> Vec<Micros> {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, kind, 0)]);
    harness.warm_up(1000, 20, 1);
    let mut id = 1;
    for _ in 0..400 {
        harness.submit(id, SAFE, 1);
        id += 1;
        harness.advance(ms(20));
        for call in harness.in_flight.clone() {
            harness.end_attempt(call.id, failure);
        }
    }
    let recovered_at = harness.now;
    for _ in 0..500 {
        harness.submit(id, SAFE, 1);
        id += 1;
        harness.advance(ms(10));
        for call in harness.in_flight.clone() {
            harness.end_attempt(call.id, Verdict::Delivered);
        }
    }
    harness.sent.iter().map(|s| s.at).filter(|t| *t >= recovered_at).collect()
}

#[test]
fn recovering_destination_does_not_collapse() {
    for failure in [Verdict::Error, Verdict::ConnectFailed, Verdict::Reset, Verdict::Full(None)] {
        let sends = send_times_after_recovery(0, failure);
        assert!(!sends.is_empty(), "the destination is called again after {failure:?}");
        // The weight is 10 calls a second for two senders, so this sender has its share of 1.5 x 0.25 x 10 x
        // 1.5 s, and of the growth of the capacity in 2 s.
        let first = sends[0];
        let window = sends.iter().filter(|t| t.since(first) < ms(1500)).count();
        assert!(window <= 4, "{window} calls in the first window after {failure:?}");
    }
}

#[test]
fn end_of_a_long_retry_after_gets_one_call() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 20, 1);
    harness.submit(1, SAFE, 1);
    harness.end_attempt(1, Verdict::Full(Some(ms(6000))));
    for id in 2..30 {
        harness.submit(id, SAFE, 1);
    }
    let before = harness.sent.len();
    harness.advance(ms(5990));
    assert_eq!(harness.sent.len(), before, "nothing is sent within the retry-after");
    harness.advance(ms(500));
    assert_eq!(harness.sent.len(), before + 1, "the backlog is not sent at once");
}

#[test]
fn retry_after_applies_to_all_receivers_of_a_shared_destination() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0), entry(3, 3, 0, 0)]);
    harness.submit(1, SAFE, 1);
    harness.end_attempt(1, Verdict::Full(Some(ms(800))));
    for id in 2..6 {
        harness.submit(id, SAFE, 1);
    }
    harness.submit(6, SAFE, 3);
    harness.advance(ms(790));
    assert_eq!(harness.sent.iter().map(|s| s.id).collect::<Vec<_>>(), [1, 6]);
    harness.advance(ms(500));
    assert!(harness.sent.len() > 2);
}

#[test]
fn retry_after_applies_to_one_route_where_routes_are_separate() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 1, 0), entry(2, 1, 1, 0)]);
    harness.submit(1, SAFE, 1);
    let first = harness.sent[0].receiver;
    harness.end_attempt(1, Verdict::Full(Some(ms(800))));
    harness.submit(2, SAFE, 1);
    harness.advance(ms(700));
    assert!(harness.sent.len() >= 2);
    assert!(harness.sent[1..].iter().all(|s| s.receiver != first));
}

#[test]
fn messages_of_one_key_are_sent_in_order_with_a_cooldown_after_an_unknown_outcome() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    for id in 1..4 {
        harness.submit_with(id, ORDERED, 1, Some("k"), ms(20_000));
    }
    harness.submit_with(4, ORDERED, 1, Some("other"), ms(20_000));
    harness.advance(ms(100));
    assert_eq!(harness.sent.iter().map(|s| s.id).collect::<Vec<_>>(), [1, 4]);
    harness.end_attempt(1, Verdict::Delivered);
    harness.end_attempt(4, Verdict::Delivered);
    assert_eq!(harness.sent.last().map(|s| s.id), Some(2));
    // The client withdraws message 2 while its attempt is in flight: message 3 waits for the outcome and for
    // the cooldown of the key after it.
    harness.handle_event(Event::Withdrawn(MessageId(2)));
    harness.advance(ms(500));
    assert_eq!(harness.attempts_of(3), 0);
    harness.end_attempt(2, Verdict::TimedOut);
    harness.advance(ms(90));
    assert_eq!(harness.attempts_of(3), 0);
    harness.advance(ms(200));
    assert_eq!(harness.attempts_of(3), 1);
}

#[test]
fn unhealthy_destination_with_only_unsafe_messages_is_retried() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    for id in 1..6 {
        harness.submit(id, UNSAFE, 1);
    }
    for call in harness.in_flight.clone() {
        harness.end_attempt(call.id, Verdict::ConnectFailed);
    }
    let before = harness.sent.len();
    harness.advance(ms(4000));
    assert!(harness.sent.len() > before, "otherwise the destination would never be called again");
}

#[test]
fn messages_beyond_the_pace_are_refused_at_once_with_a_retry_after() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 10, 1);
    for id in 1..300 {
        harness.submit_with(id, SAFE, 1, None, ms(20_000));
    }
    for call in harness.in_flight.clone() {
        harness.end_attempt(call.id, Verdict::Full(None));
    }
    harness.advance(ms(2000));
    assert!(harness.refused.len() > 20, "the pace is far too low for 299 messages");
    assert!(
        harness.refused.iter().all(|r| r.1 == Some(ms(3000))),
        "each refusal has the longest retry-after that clients follow"
    );
}

/// Guards against timeouts that are too short or too long: a call that times out may still run at its
/// receiver, and its repeat counts against the same limit. The timeout is half of the message's time, or as
/// long as the deduplication window allows.
#[test]
fn timeout_of_a_repeatable_call_leaves_time_for_a_repeat() {
    let timeout_of = |class| {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        harness.warm_up(1000, 20, 1);
        harness.submit(1, class, 1);
        harness.sent.last().unwrap().timeout
    };
    assert_eq!((timeout_of(SAFE), timeout_of(ZONED)), (ms(10_000), ms(3000)));
}

/// Guards against a keyed message that is used as a trial too early: a trial without a response uses up its
/// deduplication window.
#[test]
fn keyed_message_is_used_as_a_trial_later_than_a_safe_one() {
    let trial_after = |class| {
        // No budget of a cold destination applies, since it could delay both classes.
        let settings = Settings { collapse_multiple: 0.0, ..settings() };
        let mut harness = Harness::new(settings, vec![entry(1, 1, 0, 0)]);
        harness.warm_up(1000, 20, 1);
        harness.submit(1, SAFE, 1);
        (0..3).for_each(|_| harness.end_attempt(1, Verdict::Reset));
        harness.handle_event(Event::Withdrawn(MessageId(1)));
        harness.submit(2, class, 1);
        let from = harness.now;
        harness.advance(ms(5000));
        harness.sent.iter().find(|s| s.id == 2).expect("the message is sent as a trial").at.since(from)
    };
    let (safe, keyed) = (trial_after(SAFE), trial_after(ZONED));
    assert!(keyed >= safe.plus(ms(400)), "{safe:?} {keyed:?}");
}
