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
    let mut rig = Rig::new(set, vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    rig.submit(1, SAFE, 1);
    rig.answer(1, Verdict::ConnectionLimit);
    rig.submit(2, SAFE, 2);
    rig.closed.clear();
    rig.pass(ms(50));
    rig.answer(2, Verdict::Delivered);
    rig.closed.contains(&2)
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
        let mut rig = Rig::new(many(), vec![entry(1, 1, 0, 0)]);
        rig.submit(1, SAFE, 1);
        rig.pass(took);
        rig.answer(1, Verdict::ConnectFailed);
        assert!(rig.closed.is_empty(), "at once or late, it is no full table");
    }
}

/// Who holds a place in a table is never refused there: it learns of its kind elsewhere, and gives back what it keeps.
#[test]
fn a_held_place_is_given_back_once_another_receiver_of_the_kind_is_full() {
    let of_another_kind = entry(3, 3, 2, 0);
    let mut rig = Rig::new(many(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0), of_another_kind]);
    rig.warm(100, 2, 1);
    rig.warm(200, 2, 3);
    assert!(rig.closed.is_empty(), "before the first full table all are kept: {:?}", rig.closed);
    rig.submit(1, SAFE, 2);
    rig.answer(1, Verdict::ConnectionLimit);
    assert!(rig.closed.contains(&1), "nobody refuses it at 1");
    assert!(!rig.closed.contains(&3), "another kind has other tables");
}

/// Beside deliveries a full table now and then is no more than the target allows.
#[test]
fn connections_are_kept_again_once_few_connects_are_refused() {
    let mut rig = Rig::new(many(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    rig.submit(1, SAFE, 2);
    rig.answer(1, Verdict::ConnectionLimit);
    rig.warm(100, 20, 1);
    rig.closed.clear();
    rig.warm(200, 5, 1);
    assert!(rig.closed.is_empty(), "{:?}", rig.closed);
}

/// Nine receivers of a kind, eight of which have met this sender with a full table.
fn among_full_tables() -> Rig {
    let mut rig = Rig::new(many(), (1..=9).map(|d| entry(d, d, 0, 0)).collect());
    for d in 1..=8 {
        rig.submit(d, SAFE, d);
        rig.answer(d, Verdict::ConnectionLimit);
        rig.event(Event::Withdrawn(MessageId(d)));
    }
    rig
}

/// The pause after a full table is 32 times a call's usual time at most, and half of that more by chance.
const LONGEST_PAUSE: Micros = Micros(12_000_000);

/// However often a full table refuses, the receiver stays in use, and new connections to it keep apart.
#[test]
fn a_full_table_is_no_outage() {
    let mut rig = among_full_tables();
    rig.submit(50, SAFE, 9);
    let mut refused = Vec::new();
    for _ in 0..4_000 {
        rig.pass(ms(10));
        if rig.out.iter().any(|c| c.id == 50) {
            rig.answer(50, Verdict::ConnectionLimit);
            refused.push(rig.now);
        }
    }
    let apart: Vec<_> = refused.windows(2).map(|w| w[1].since(w[0]).secs()).collect();
    assert!(refused.len() >= 4, "it stays in use: {apart:?}");
    assert!(apart.iter().all(|s| *s >= 0.1), "not at once: {apart:?}");
    let (before, begin) = (rig.sent.len(), rig.now);
    rig.submit(51, SAFE, 9);
    while rig.sent.len() == before {
        assert!(rig.now.since(begin) < LONGEST_PAUSE, "it does not pass for gone");
        rig.pass(ms(10));
    }
}

/// Where tables are full a receiver that is gone is found out as soon as anywhere.
#[test]
fn a_receiver_that_is_gone_is_found_out_among_full_tables() {
    let mut rig = among_full_tables();
    rig.warm(100, 2, 9);
    rig.submit(50, SAFE, 9);
    rig.submit(51, SAFE, 9);
    let mut failed = 0;
    for _ in 0..1_000 {
        rig.pass(ms(10));
        if let Some(id) = rig.out.iter().map(|c| c.id).find(|id| *id >= 50).filter(|_| failed < 3) {
            rig.answer(id, Verdict::ConnectFailed);
            failed += 1;
        }
    }
    assert_eq!(failed, 3, "a run that makes any receiver sick");
    rig.submit(52, SAFE, 9);
    let before = rig.sent.len();
    rig.pass(ms(300));
    assert_eq!(rig.sent.len(), before, "by now it passes for gone");
}

/// At the floor of a fleet's pace a message that waits alone was forecast to wait for minutes, and ended at once, though
/// the pace rises within seconds.
#[test]
fn what_the_pace_may_yet_reach_is_not_ended() {
    let set = Settings { sender_count: 300, peer_hints: false, load_reports: false, ..many() };
    let mut rig = Rig::new(set, vec![ListEntry { weight: 0.0, ..entry(1, 1, 0, 0) }]);
    rig.submit(1, SAFE, 1);
    for _ in 0..2 {
        while rig.out.is_empty() {
            rig.pass(ms(100));
        }
        rig.answer(1, Verdict::Full(None));
    }
    rig.submit(9, SAFE, 1);
    rig.pass(ms(100));
    assert!(!rig.refused.iter().any(|r| r.0 == 9), "it has 20 s left: {:?}", rig.refused);
}

/// Messages sent in the two seconds after one refusal of its own and so many told ones.
fn sent_after_notes(notes: usize, own: bool) -> usize {
    let mut rig = Rig::new(many(), vec![entry(1, 1, 0, 0)]);
    rig.warm(1000, 20, 1);
    for _ in 0..notes {
        rig.event(Event::PeerHint(1u32.to_le_bytes().to_vec()));
    }
    if own {
        rig.submit(1, SAFE, 1);
        rig.answer(1, Verdict::Full(None));
    }
    let before = rig.sent.len();
    for id in 10..20 {
        rig.submit(id, SAFE, 1);
        rig.pass(ms(100));
        for open in rig.out.clone() {
            rig.answer(open.id, Verdict::Delivered);
        }
    }
    rig.sent.len() - before
}

#[test]
fn told_refusals_complete_a_burst_but_start_nothing_alone() {
    assert_eq!(sent_after_notes(5, false), 10, "hints alone restrict nothing");
    assert_eq!(sent_after_notes(0, true), 10, "one refusal is no burst");
    assert!(sent_after_notes(2, true) < 10, "one of its own and two told ones are");
}

#[test]
fn refusals_are_told_at_a_bounded_rate_and_odd_notes_are_ignored() {
    let mut rig = Rig::new(many(), vec![entry(1, 1, 0, 0)]);
    for data in [vec![], vec![1], vec![255; 4], vec![7; 300]] {
        rig.event(Event::PeerHint(data));
    }
    for id in 1..6 {
        rig.submit(id, SAFE, 1);
        for open in rig.out.clone() {
            rig.answer(open.id, Verdict::Full(None));
        }
    }
    assert_eq!(rig.told, [1u32.to_le_bytes().to_vec()]);
}

/// After one lost answer, is the next message sent within two seconds?
fn goes_on_after_a_failure(set: Settings) -> bool {
    let mut rig = Rig::new(set, vec![entry(1, 1, 0, 0)]);
    rig.warm(1000, 3, 1);
    rig.pass(ms(20_000));
    rig.submit(1, UNSAFE, 1);
    rig.answer(1, Verdict::TimedOut);
    rig.submit(2, UNSAFE, 1);
    rig.pass(ms(2000));
    rig.sends_of(2) > 0
}

#[test]
fn one_failure_puts_a_receiver_under_the_budget_of_many_senders() {
    assert!(goes_on_after_a_failure(settings()));
    assert!(!goes_on_after_a_failure(many()), "200 senders with a call each flood what returns");
}

#[test]
fn message_that_leads_others_of_its_key_pauses_shortly() {
    let mut rig = Rig::new(many(), vec![entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    rig.submit_with(1, ORDERED, 1, Some("a"), ms(20_000));
    rig.submit_with(2, ORDERED, 1, Some("a"), ms(20_000));
    rig.submit_with(3, ORDERED, 2, Some("b"), ms(20_000));
    rig.answer(1, Verdict::Full(None));
    rig.answer(3, Verdict::Full(None));
    rig.pass(ms(400));
    assert_eq!((rig.sends_of(1), rig.sends_of(3)), (2, 1));
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
            let mut rig = Rig::new(many(), vec![ListEntry { weight: 400.0, ..entry(1, 1, 0, 0) }]);
            rig.policy = PolicyEngine::new(many(), seed);
            rig.event(Event::PersistedList(vec![ListEntry { weight: 400.0, ..entry(1, 1, 0, 0) }]));
            rig.submit(1, SAFE, 1);
            rig.answer(1, Verdict::Full(Some(ms(3000))));
            rig.submit(2, SAFE, 1);
            rig.pass(ms(3050));
            rig.sent.len() - 1
        })
        .collect();
    assert!(tries.iter().sum::<usize>() < 8, "most come later than the first 50 ms: {tries:?}");
}

/// The pause after one refusal falls anywhere in its span: senders that were refused together must not meet again.
#[test]
fn senders_refused_at_one_moment_do_not_come_back_at_one_moment() {
    let mut back = Vec::new();
    let told_nothing = Settings { sender_count: 100, peer_hints: false, ..settings() };
    for seed in 0..100 {
        let mut rig = Rig::new(told_nothing.clone(), vec![entry(1, 1, 0, 0)]);
        rig.policy = PolicyEngine::new(told_nothing.clone(), seed);
        rig.event(Event::PersistedList(vec![ListEntry { weight: 80.0, ..entry(1, 1, 0, 0) }]));
        rig.warm(1000, 2, 1);
        rig.submit(1, SAFE, 1);
        rig.answer(1, Verdict::Full(None));
        let refused = rig.now;
        rig.submit(2, SAFE, 1);
        rig.pass(ms(5000));
        back.push(rig.sent.iter().find(|s| s.id == 2).map(|s| s.at.since(refused)));
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
    let mut rig = Rig::new(set, vec![entry(1, 1, 0, 0)]);
    assert_eq!(rig.follows, 1);
    rig.event(Event::ListFailed);
    rig.pass(ms(400));
    assert_eq!(rig.follows, 2);
}

/// Where lists are pushed every change counts as told at once: many senders may not wait their turn after a failure.
#[test]
fn where_nothing_says_how_often_to_ask_many_senders_ask_again_soon() {
    let set = Settings {
        sender_count: 300,
        sender_index: 250,
        subscribe_to_list: true,
        list_poll_interval: ms(0),
        ..settings()
    };
    let mut rig = Rig::new(set, vec![entry(1, 1, 0, 0)]);
    assert_eq!(rig.follows, 1);
    rig.event(Event::ListFailed);
    rig.pass(ms(400));
    assert_eq!(rig.follows, 2);
}
