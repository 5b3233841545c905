//! Defences for many senders that each see little, with a test that fails when its code is taken out.

mod common;
use common::*;
use onyxrock::PolicyEngine;
use onyxrock::interface::*;

fn many() -> Settings {
    Settings { sender_count: 200, ..settings() }
}

/// A full table, then a delivery: are the idle connections closed?
fn closes_after_full_table(set: Settings) -> bool {
    let mut harness = Harness::new(set, vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
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
    assert!(closes_after_full_table(many()), "the whole kind has small tables");
    assert!(closes_after_full_table(settings()), "two senders can fill a table, too");
    assert!(!closes_after_full_table(Settings { sender_count: 1, ..settings() }), "nobody needs the room");
    assert!(!closes_after_full_table(Settings { connection_idle_timeout: Micros(0), ..many() }));
}

#[test]
fn failed_connect_closes_nothing() {
    for took in [ms(0), ms(1500)] {
        let mut harness = Harness::new(many(), vec![entry(1, 1, 0, 0)]);
        harness.submit(1, SAFE, 1);
        harness.advance(took);
        harness.end_attempt(1, Verdict::ConnectFailed);
        assert!(harness.closed_idle.is_empty(), "at once or late, it is no full table");
    }
}

/// Who holds a place in a table is never refused there: it learns of its kind elsewhere, and gives back what
/// it keeps.
#[test]
fn a_held_place_is_given_back_once_another_receiver_of_the_kind_is_full() {
    let of_another_kind = entry(3, 3, 2, 0);
    let mut harness = Harness::new(many(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0), of_another_kind]);
    harness.warm_up(100, 2, 1);
    harness.warm_up(200, 2, 3);
    assert!(
        harness.closed_idle.is_empty(),
        "before the first full table all are kept: {:?}",
        harness.closed_idle
    );
    harness.submit(1, SAFE, 2);
    harness.end_attempt(1, Verdict::ConnectionLimit);
    assert!(harness.closed_idle.contains(&1), "nobody refuses it at 1");
    assert!(!harness.closed_idle.contains(&3), "another kind has other tables");
}

/// Beside deliveries a full table now and then is no more than the target allows.
#[test]
fn connections_are_kept_again_once_few_connects_are_refused() {
    let mut harness = Harness::new(many(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.submit(1, SAFE, 2);
    harness.end_attempt(1, Verdict::ConnectionLimit);
    harness.warm_up(100, 20, 1);
    harness.closed_idle.clear();
    harness.warm_up(200, 5, 1);
    assert!(harness.closed_idle.is_empty(), "{:?}", harness.closed_idle);
}

/// Nine receivers of a kind, eight of which have met this sender with a full table.
fn among_full_tables() -> Harness {
    let mut harness = Harness::new(many(), (1..=9).map(|d| entry(d, d, 0, 0)).collect());
    for d in 1..=8 {
        harness.submit(d, SAFE, d);
        harness.end_attempt(d, Verdict::ConnectionLimit);
        harness.handle_event(Event::Withdrawn(MessageId(d)));
    }
    harness
}

/// The pause after a full table is 32 times a call's usual time at most, and half of that more by chance.
const LONGEST_PAUSE: Micros = Micros(12_000_000);

/// However often a full table refuses, the receiver stays in use, and new connections to it keep apart.
#[test]
fn a_full_table_is_no_outage() {
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
    let apart: Vec<_> = refused.windows(2).map(|w| w[1].since(w[0]).secs()).collect();
    assert!(refused.len() >= 4, "it stays in use: {apart:?}");
    assert!(apart.iter().all(|s| *s >= 0.1), "not at once: {apart:?}");
    let (before, begin) = (harness.sent.len(), harness.now);
    harness.submit(51, SAFE, 9);
    while harness.sent.len() == before {
        assert!(harness.now.since(begin) < LONGEST_PAUSE, "it does not pass for gone");
        harness.advance(ms(10));
    }
}

/// Where tables are full a receiver that is gone is found out as soon as anywhere.
#[test]
fn a_receiver_that_is_gone_is_found_out_among_full_tables() {
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
    assert_eq!(failed, 3, "a run that makes any receiver sick");
    harness.submit(52, SAFE, 9);
    let before = harness.sent.len();
    harness.advance(ms(300));
    assert_eq!(harness.sent.len(), before, "by now it passes for gone");
}

/// At the floor of a fleet's pace a message that waits alone was forecast to wait for minutes, and ended at
/// once, though the pace rises within seconds.
#[test]
fn what_the_pace_may_yet_reach_is_not_ended() {
    let set = Settings { sender_count: 300, peer_hints: false, load_reports: false, ..many() };
    let mut harness = Harness::new(set, vec![ListEntry { weight: 0.0, ..entry(1, 1, 0, 0) }]);
    harness.submit(1, SAFE, 1);
    for _ in 0..2 {
        while harness.in_flight.is_empty() {
            harness.advance(ms(100));
        }
        harness.end_attempt(1, Verdict::Full(None));
    }
    harness.submit(9, SAFE, 1);
    harness.advance(ms(100));
    assert!(!harness.refused.iter().any(|r| r.0 == 9), "it has 20 s left: {:?}", harness.refused);
}

/// Messages sent in the two seconds after one refusal of its own and so many told ones.
fn sent_after_notes(notes: usize, own: bool) -> usize {
    let mut harness = Harness::new(many(), vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 20, 1);
    for _ in 0..notes {
        harness.handle_event(Event::PeerHint(1u32.to_le_bytes().to_vec()));
    }
    if own {
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
fn told_refusals_complete_a_burst_but_start_nothing_alone() {
    assert_eq!(sent_after_notes(5, false), 10, "hints alone restrict nothing");
    assert_eq!(sent_after_notes(0, true), 10, "one refusal is no burst");
    assert!(sent_after_notes(2, true) < 10, "one of its own and two told ones are");
}

#[test]
fn refusals_are_told_at_a_bounded_rate_and_odd_notes_are_ignored() {
    let mut harness = Harness::new(many(), vec![entry(1, 1, 0, 0)]);
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

/// After one lost answer, is the next message sent within two seconds?
fn goes_on_after_a_failure(set: Settings) -> bool {
    let mut harness = Harness::new(set, vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 3, 1);
    harness.advance(ms(20_000));
    harness.submit(1, UNSAFE, 1);
    harness.end_attempt(1, Verdict::TimedOut);
    harness.submit(2, UNSAFE, 1);
    harness.advance(ms(2000));
    harness.attempts_of(2) > 0
}

#[test]
fn one_failure_puts_a_receiver_under_the_budget_of_many_senders() {
    assert!(goes_on_after_a_failure(settings()));
    assert!(!goes_on_after_a_failure(many()), "200 senders with a call each flood what returns");
}

#[test]
fn message_that_leads_others_of_its_key_pauses_shortly() {
    let mut harness = Harness::new(many(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.submit_with(1, ORDERED, 1, Some("a"), ms(20_000));
    harness.submit_with(2, ORDERED, 1, Some("a"), ms(20_000));
    harness.submit_with(3, ORDERED, 2, Some("b"), ms(20_000));
    harness.end_attempt(1, Verdict::Full(None));
    harness.end_attempt(3, Verdict::Full(None));
    harness.advance(ms(400));
    assert_eq!((harness.attempts_of(1), harness.attempts_of(3)), (2, 1));
}

#[test]
fn wake_ups_are_asked_for_exact_times() {
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
    assert_eq!(actions, [Action::SetTimer(ms(300))], "when the message's own pause is over, and not before");
    actions.clear();
    policy.on_event(now.plus(ms(300)), Event::TimerFired, &mut actions);
    policy.decide(now.plus(ms(300)), &mut actions);
    assert_eq!(actions, [Action::SetTimer(ms(500))], "then when the told wait is");
}

#[test]
fn many_senders_do_not_all_meet_a_told_opening_at_once() {
    let tries: Vec<usize> = (0..20u64)
        .map(|seed| {
            let mut harness = Harness::new(many(), vec![ListEntry { weight: 400.0, ..entry(1, 1, 0, 0) }]);
            harness.policy = PolicyEngine::new(many(), seed);
            harness
                .handle_event(Event::PersistedList(vec![ListEntry { weight: 400.0, ..entry(1, 1, 0, 0) }]));
            harness.submit(1, SAFE, 1);
            harness.end_attempt(1, Verdict::Full(Some(ms(3000))));
            harness.submit(2, SAFE, 1);
            harness.advance(ms(3050));
            harness.sent.len() - 1
        })
        .collect();
    assert!(tries.iter().sum::<usize>() < 8, "most come later than the first 50 ms: {tries:?}");
}

/// The pause after one refusal falls anywhere in its span: senders that were refused together must not meet
/// again.
#[test]
fn senders_refused_at_one_moment_do_not_come_back_at_one_moment() {
    let mut back = Vec::new();
    let told_nothing = Settings { sender_count: 100, peer_hints: false, ..settings() };
    for seed in 0..100 {
        let mut harness = Harness::new(told_nothing.clone(), vec![entry(1, 1, 0, 0)]);
        harness.policy = PolicyEngine::new(told_nothing.clone(), seed);
        harness.handle_event(Event::PersistedList(vec![ListEntry { weight: 80.0, ..entry(1, 1, 0, 0) }]));
        harness.warm_up(1000, 2, 1);
        harness.submit(1, SAFE, 1);
        harness.end_attempt(1, Verdict::Full(None));
        let refused = harness.now;
        harness.submit(2, SAFE, 1);
        harness.advance(ms(5000));
        back.push(harness.sent.iter().find(|s| s.id == 2).map(|s| s.at.since(refused)));
    }
    assert!(back.iter().all(|b| b.is_some_and(|b| b >= ms(500))), "each pauses, and goes on: {back:?}");
    let mut tenths = [0; 50];
    back.iter().flatten().for_each(|b| tenths[(b.0 / 100_000).min(49) as usize] += 1);
    assert!(*tenths.iter().max().unwrap() <= 25, "{tenths:?}");
}

/// Few senders crowd no service: they ask for the list at once, and again soon after a failure.
#[test]
fn few_senders_ask_for_the_list_at_once_and_again_soon() {
    let set = Settings {
        sender_count: 2,
        sender_index: 1,
        subscribe_to_list: true,
        list_poll_interval: ms(10_000),
        ..settings()
    };
    let mut harness = Harness::new(set, vec![entry(1, 1, 0, 0)]);
    assert_eq!(harness.list_requests, 1);
    harness.handle_event(Event::ListFailed);
    harness.advance(ms(400));
    assert_eq!(harness.list_requests, 2);
}

/// Where lists are pushed every change counts as told at once: many senders may not wait their turn after a
/// failure.
#[test]
fn where_nothing_says_how_often_to_ask_many_senders_ask_again_soon() {
    let set = Settings {
        sender_count: 300,
        sender_index: 250,
        subscribe_to_list: true,
        list_poll_interval: ms(0),
        ..settings()
    };
    let mut harness = Harness::new(set, vec![entry(1, 1, 0, 0)]);
    assert_eq!(harness.list_requests, 1);
    harness.handle_event(Event::ListFailed);
    harness.advance(ms(400));
    assert_eq!(harness.list_requests, 2);
}
