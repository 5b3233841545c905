//! Rules for fleets of many senders, each of which sees only a small part of the traffic. Each test fails if
//! the code of its rule is removed.

mod common;
use common::*;
use onyxrock::PolicyEngine;
use onyxrock::interface::*;

fn many_senders_settings() -> Settings {
    Settings { sender_count: 200, ..settings() }
}

/// Whether a sender closes an idle connection after a full table at another receiver of the kind.
fn closes_after_full_table(settings: Settings) -> bool {
    let mut harness = Harness::new(settings, vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.submit(1, SAFE, 1);
    harness.end_attempt(1, Verdict::ConnectionLimit);
    harness.submit(2, SAFE, 2);
    harness.closed_idle.clear();
    harness.advance(ms(50));
    harness.end_attempt(2, Verdict::Delivered);
    harness.closed_idle.contains(&2)
}

#[test]
fn idle_connections_are_closed_where_many_senders_share_small_tables() {
    assert!(
        closes_after_full_table(many_senders_settings()),
        "a full table stands for all tables of the kind"
    );
    assert!(closes_after_full_table(settings()), "two senders can also fill a table");
    assert!(
        !closes_after_full_table(Settings { sender_count: 1, ..settings() }),
        "no other sender needs the place"
    );
    assert!(!closes_after_full_table(Settings {
        connection_idle_timeout: Micros(0),
        ..many_senders_settings()
    }));
}

#[test]
fn failed_connect_closes_no_idle_connection() {
    for connect_time in [ms(0), ms(1500)] {
        let mut harness = Harness::new(many_senders_settings(), vec![entry(1, 1, 0, 0)]);
        harness.submit(1, SAFE, 1);
        harness.advance(connect_time);
        harness.end_attempt(1, Verdict::ConnectFailed);
        assert!(harness.closed_idle.is_empty(), "a failed connect, early or late, is no full table");
    }
}

/// Guards against senders that keep their places in full tables. A sender with an idle connection is never
/// refused at that receiver, so it learns about small tables at other receivers of the kind.
#[test]
fn idle_connections_are_closed_once_another_receiver_of_the_kind_has_a_full_table() {
    let other_kind = entry(3, 3, 2, 0);
    let mut harness =
        Harness::new(many_senders_settings(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0), other_kind]);
    harness.warm_up(100, 2, 1);
    harness.warm_up(200, 2, 3);
    assert!(
        harness.closed_idle.is_empty(),
        "all connections are kept before the first full table: {:?}",
        harness.closed_idle
    );
    harness.submit(1, SAFE, 2);
    harness.end_attempt(1, Verdict::ConnectionLimit);
    assert!(harness.closed_idle.contains(&1), "receiver 1 never refused this sender");
    assert!(!harness.closed_idle.contains(&3), "a full table says nothing about another kind");
}

/// Guards against connections that are closed for good: a few full tables among many deliveries stay within
/// the target.
#[test]
fn connections_are_kept_again_once_few_connects_are_refused() {
    let mut harness = Harness::new(many_senders_settings(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.submit(1, SAFE, 2);
    harness.end_attempt(1, Verdict::ConnectionLimit);
    harness.warm_up(100, 20, 1);
    harness.closed_idle.clear();
    harness.warm_up(200, 5, 1);
    assert!(harness.closed_idle.is_empty(), "{:?}", harness.closed_idle);
}

/// A sender with nine receivers of a kind, eight of which have refused it with a full table.
fn among_full_tables() -> Harness {
    let mut harness = Harness::new(many_senders_settings(), (1..=9).map(|d| entry(d, d, 0, 0)).collect());
    for destination in 1..=8 {
        harness.submit(destination, SAFE, destination);
        harness.end_attempt(destination, Verdict::ConnectionLimit);
        harness.handle_event(Event::Withdrawn(MessageId(destination)));
    }
    harness
}

/// Longest pause after a full table: at most 32 times the usual time of a call, and up to half of that more
/// at random.
const MAX_FULL_TABLE_PAUSE: Micros = Micros(12_000_000);

/// Guards against a receiver with a full table that is taken for a stopped one: it stays in use however often
/// it refuses, and connects to it are spread in time.
#[test]
fn full_table_is_not_taken_for_an_outage() {
    let mut harness = among_full_tables();
    harness.submit(50, SAFE, 9);
    let mut refused = Vec::new();
    for _ in 0..4_000 {
        harness.advance(ms(10));
        if harness.in_flight.iter().any(|c| c.id == 50) {
            harness.end_attempt(50, Verdict::ConnectionLimit);
            refused.push(harness.now);
        }
    }
    let gaps_s: Vec<_> = refused.windows(2).map(|pair| pair[1].since(pair[0]).secs()).collect();
    assert!(refused.len() >= 4, "the receiver stays in use: {gaps_s:?}");
    assert!(gaps_s.iter().all(|gap| *gap >= 0.1), "connects are not repeated at once: {gaps_s:?}");
    let (before, begin) = (harness.sent.len(), harness.now);
    harness.submit(51, SAFE, 9);
    while harness.sent.len() == before {
        assert!(harness.now.since(begin) < MAX_FULL_TABLE_PAUSE, "the receiver is not taken for stopped");
        harness.advance(ms(10));
    }
}

/// Guards against a stopped receiver that is taken for one with a full table: it is detected as soon as where
/// no tables are full.
#[test]
fn stopped_receiver_is_detected_among_full_tables() {
    let mut harness = among_full_tables();
    harness.warm_up(100, 2, 9);
    harness.submit(50, SAFE, 9);
    harness.submit(51, SAFE, 9);
    let mut failed = 0;
    for _ in 0..1_000 {
        harness.advance(ms(10));
        if let Some(id) = harness.in_flight.iter().map(|c| c.id).find(|id| *id >= 50).filter(|_| failed < 3) {
            harness.end_attempt(id, Verdict::ConnectFailed);
            failed += 1;
        }
    }
    assert_eq!(failed, 3, "this run of failures makes any receiver unhealthy");
    harness.submit(52, SAFE, 9);
    let before = harness.sent.len();
    harness.advance(ms(300));
    assert_eq!(harness.sent.len(), before, "the receiver is now unhealthy");
}

/// Guards against a forecast by the current pace alone: at the lowest pace of a fleet, a single message was
/// forecast to wait for minutes and was refused at once, although the pace rises within seconds.
#[test]
fn message_that_a_rising_pace_can_reach_is_not_refused() {
    let settings =
        Settings { sender_count: 300, peer_hints: false, load_reports: false, ..many_senders_settings() };
    let mut harness = Harness::new(settings, vec![ListEntry { weight: 0.0, ..entry(1, 1, 0, 0) }]);
    harness.submit(1, SAFE, 1);
    for _ in 0..2 {
        while harness.in_flight.is_empty() {
            harness.advance(ms(100));
        }
        harness.end_attempt(1, Verdict::Full(None));
    }
    harness.submit(9, SAFE, 1);
    harness.advance(ms(100));
    assert!(!harness.refused.iter().any(|r| r.0 == 9), "the message has 20 s left: {:?}", harness.refused);
}

/// Messages sent in the two seconds after hints of refusals at other senders, and one own refusal if
/// `own_refusal` is set.
fn sent_after_hints(hints: usize, own_refusal: bool) -> usize {
    let mut harness = Harness::new(many_senders_settings(), vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 20, 1);
    for _ in 0..hints {
        harness.handle_event(Event::PeerHint(1u32.to_le_bytes().to_vec()));
    }
    if own_refusal {
        harness.submit(1, SAFE, 1);
        harness.end_attempt(1, Verdict::Full(None));
    }
    let before = harness.sent.len();
    for id in 10..20 {
        harness.submit(id, SAFE, 1);
        harness.advance(ms(100));
        for call in harness.in_flight.clone() {
            harness.end_attempt(call.id, Verdict::Delivered);
        }
    }
    harness.sent.len() - before
}

#[test]
fn refusal_hints_complete_a_burst_but_do_not_start_one() {
    assert_eq!(sent_after_hints(5, false), 10, "hints alone do not slow the sender down");
    assert_eq!(sent_after_hints(0, true), 10, "one refusal is not a burst");
    assert!(sent_after_hints(2, true) < 10, "one own refusal and two hints are a burst");
}

#[test]
fn refusal_hints_are_rate_limited_and_malformed_hints_ignored() {
    let mut harness = Harness::new(many_senders_settings(), vec![entry(1, 1, 0, 0)]);
    for data in [vec![], vec![1], vec![255; 4], vec![7; 300]] {
        harness.handle_event(Event::PeerHint(data));
    }
    for id in 1..6 {
        harness.submit(id, SAFE, 1);
        for call in harness.in_flight.clone() {
            harness.end_attempt(call.id, Verdict::Full(None));
        }
    }
    assert_eq!(harness.hints_sent, [1u32.to_le_bytes().to_vec()]);
}

/// Whether the next message is sent within two seconds after a call without a response.
fn sends_soon_after_a_failure(settings: Settings) -> bool {
    let mut harness = Harness::new(settings, vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 3, 1);
    harness.advance(ms(20_000));
    harness.submit(1, UNSAFE, 1);
    harness.end_attempt(1, Verdict::TimedOut);
    harness.submit(2, UNSAFE, 1);
    harness.advance(ms(2000));
    harness.attempts_of(2) > 0
}

#[test]
fn one_failure_limits_a_receiver_to_the_budget_of_many_senders() {
    assert!(sends_soon_after_a_failure(settings()));
    assert!(
        !sends_soon_after_a_failure(many_senders_settings()),
        "200 senders with a call each overload a recovering receiver"
    );
}

#[test]
fn message_with_others_of_its_key_behind_it_is_retried_sooner() {
    let mut harness = Harness::new(many_senders_settings(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.submit_with(1, ORDERED, 1, Some("a"), ms(20_000));
    harness.submit_with(2, ORDERED, 1, Some("a"), ms(20_000));
    harness.submit_with(3, ORDERED, 2, Some("b"), ms(20_000));
    harness.end_attempt(1, Verdict::Full(None));
    harness.end_attempt(3, Verdict::Full(None));
    harness.advance(ms(400));
    assert_eq!((harness.attempts_of(1), harness.attempts_of(3)), (2, 1));
}

#[test]
fn timers_are_set_for_exact_times() {
    let mut policy = PolicyEngine::new(settings(), 7);
    let mut actions = Vec::new();
    let now = ms(5_000_000);
    policy.on_event(now, Event::PersistedList(vec![entry(1, 1, 0, 0)]), &mut actions);
    let message = |id| Message {
        id: MessageId(id),
        class: ClassId(SAFE),
        tenant: None,
        ordering_key: None,
        destination: DestinationId(1),
        time_left: ms(20_000),
    };
    policy.on_event(now, Event::Submit(message(1)), &mut actions);
    policy.decide(now, &mut actions);
    policy.on_event(
        now,
        Event::Outcome(Outcome {
            id: MessageId(1),
            attempt: 0,
            receiver: ReceiverId(1),
            verdict: Verdict::Full(Some(ms(800))),
            elapsed: ms(10),
            finished: false,
            limit_per_s: None,
            remaining_share: None,
        }),
        &mut actions,
    );
    actions.clear();
    policy.decide(now, &mut actions);
    assert_eq!(
        actions,
        [Action::SetTimer(ms(300))],
        "the first timer fires when the pause of the message ends"
    );
    actions.clear();
    policy.on_event(now.plus(ms(300)), Event::TimerFired, &mut actions);
    policy.decide(now.plus(ms(300)), &mut actions);
    assert_eq!(actions, [Action::SetTimer(ms(500))], "the second timer fires when the retry-after ends");
}

#[test]
fn many_senders_do_not_call_at_once_when_a_retry_after_ends() {
    let early_calls: Vec<usize> = (0..20u64)
        .map(|seed| {
            let mut harness =
                Harness::new(many_senders_settings(), vec![ListEntry { weight: 400.0, ..entry(1, 1, 0, 0) }]);
            harness.policy = PolicyEngine::new(many_senders_settings(), seed);
            harness
                .handle_event(Event::PersistedList(vec![ListEntry { weight: 400.0, ..entry(1, 1, 0, 0) }]));
            harness.submit(1, SAFE, 1);
            harness.end_attempt(1, Verdict::Full(Some(ms(3000))));
            harness.submit(2, SAFE, 1);
            harness.advance(ms(3050));
            harness.sent.len() - 1
        })
        .collect();
    assert!(
        early_calls.iter().sum::<usize>() < 8,
        "most senders call later than in the first 50 ms: {early_calls:?}"
    );
}

/// Guards against senders that are refused together and retry together: the pause after a refusal is random
/// over its range.
#[test]
fn senders_refused_together_do_not_retry_together() {
    let mut pauses = Vec::new();
    let without_hints = Settings { sender_count: 100, peer_hints: false, ..settings() };
    for seed in 0..100 {
        let mut harness = Harness::new(without_hints.clone(), vec![entry(1, 1, 0, 0)]);
        harness.policy = PolicyEngine::new(without_hints.clone(), seed);
        harness.handle_event(Event::PersistedList(vec![ListEntry { weight: 80.0, ..entry(1, 1, 0, 0) }]));
        harness.warm_up(1000, 2, 1);
        harness.submit(1, SAFE, 1);
        harness.end_attempt(1, Verdict::Full(None));
        let refused_at = harness.now;
        harness.submit(2, SAFE, 1);
        harness.advance(ms(5000));
        pauses.push(harness.sent.iter().find(|s| s.id == 2).map(|s| s.at.since(refused_at)));
    }
    assert!(
        pauses.iter().all(|pause| pause.is_some_and(|pause| pause >= ms(500))),
        "each sender pauses, then sends again: {pauses:?}"
    );
    let mut tenths = [0; 50];
    pauses.iter().flatten().for_each(|pause| tenths[(pause.0 / 100_000).min(49) as usize] += 1);
    assert!(*tenths.iter().max().unwrap() <= 25, "{tenths:?}");
}

/// Guards against needless delays in a small fleet, which cannot overload discovery.
#[test]
fn few_senders_request_the_list_at_once_and_retry_soon() {
    let settings = Settings {
        sender_count: 2,
        sender_index: 1,
        subscribe_to_list: true,
        list_poll_interval: ms(10_000),
        ..settings()
    };
    let mut harness = Harness::new(settings, vec![entry(1, 1, 0, 0)]);
    assert_eq!(harness.list_requests, 1);
    harness.handle_event(Event::ListFailed);
    harness.advance(ms(400));
    assert_eq!(harness.list_requests, 2);
}

/// Guards against a late list where it is pushed: without a poll interval a change counts as known at once,
/// so that even many senders may not spread their retries.
#[test]
fn many_senders_without_a_poll_interval_retry_the_list_soon() {
    let settings = Settings {
        sender_count: 300,
        sender_index: 250,
        subscribe_to_list: true,
        list_poll_interval: ms(0),
        ..settings()
    };
    let mut harness = Harness::new(settings, vec![entry(1, 1, 0, 0)]);
    assert_eq!(harness.list_requests, 1);
    harness.handle_event(Event::ListFailed);
    harness.advance(ms(400));
    assert_eq!(harness.list_requests, 2);
}
