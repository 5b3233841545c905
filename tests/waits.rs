//! Told waits, up to the moment at which a call's first byte leaves.

mod common;
use common::*;
use onyxrock::Brain;
use onyxrock::interface::*;
use std::collections::BTreeMap;

const APART: usize = 1;

fn leave(rig: &Rig, id: u64) -> Leave {
    let call = rig.out.iter().find(|s| s.id == id).expect("a call is out");
    rig.brain.leave(rig.now, MessageId(id), call.attempt, ReceiverId(call.receiver))
}

fn told(rig: &mut Rig, receiver: u64, wait: u64) {
    rig.event(Event::Wait(ReceiverId(receiver), ms(wait)));
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
    assert_eq!(leave(&rig, 1), Leave::Wait);
    rig.answer(1, Verdict::HeldBack);
    rig.pass(ms(1590));
    assert_eq!(rig.sends_of(1), 1, "the wait runs");
    rig.pass(ms(100));
    assert_eq!(
        (rig.sends_of(1), leave(&rig, 1)),
        (2, Leave::Go),
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
        assert_eq!(leave(&rig, 1), Leave::Go, "with the one slot that there is, under a number of its own");
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
    let late =
        Outcome { id, attempt: 3, receiver, verdict, elapsed, finished: true, limit: None, left: None };
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
    rig.pass(ms(1890));
    assert_eq!(rig.sends_of(1), 0);
    rig.pass(ms(20));
    assert_eq!(rig.sends_of(1), 1);
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
    let gone = |kind| Entry { listing: Listing::Gone, ..entry(1, 1, kind, 0) };
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
        rig.pass(ms(28_000));
        assert_eq!(rig.sends_of(1), 0, "{before} {after}");
        rig.pass(ms(1100));
        assert_eq!(rig.sends_of(1), 1, "{before} {after}");
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
        rig.pass(ms(1990));
        assert_eq!(rig.sends_of(1), 0, "{before} {after}");
        rig.pass(ms(20));
        assert_eq!(rig.sends_of(1), 1, "{before} {after}");
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

/// A random day on which connections come up late, 429s cross them, lists change, and calls leave only by the gate. A
/// model of its own says when one may.
fn play(seed: u64, gate: bool) -> (usize, usize, usize) {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut below = move |n: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % n
    };
    // Destination 1 has routes apart.
    let place = |r: u64| entry(r, r / 3, (r / 3) as usize, 0);
    let group = |r: u64| if r / 3 == 1 { 100 + r } else { r / 3 };
    let set = Settings { max_attempts: 3, ..settings() };
    let mut brain = Brain::new(set, seed);
    let mut now = Micros(below(1 << 40));
    let mut waits: BTreeMap<u64, Micros> = BTreeMap::new();
    // By message and attempt: its receiver, when its connection is up, whether it has left.
    let mut out: BTreeMap<(u64, u32), (u64, Micros, bool)> = BTreeMap::new();
    let mut numbers: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
    let (mut left, mut held_back, mut ends, mut early) = (0, 0, 0, 0);
    let mut events = vec![Event::DiskList((0..6).map(place).collect())];
    for step in 0..3000u64 {
        if step < 2500 && below(8) == 0 {
            events.push(Event::Submit(Message {
                id: MessageId(step),
                class: ClassId([SAFE, UNSAFE, ZONED][below(3) as usize]),
                tenant: None,
                key: None,
                destination: DestinationId(below(2)),
                left: ms(300 + below(9000)),
            }));
            numbers.insert(step, (0, 0));
        }
        if below(50) == 0 {
            let r = below(6);
            let listing = [Listing::Ready, Listing::Gone][below(2) as usize];
            events.push(Event::ListChanges(vec![Entry { listing, ..place(r) }]));
        }
        for (id, attempt) in out.keys().copied().collect::<Vec<_>>() {
            let (r, up, gone) = out[&(id, attempt)];
            let verdict = if !gone {
                if up > now {
                    continue;
                }
                let says = brain.leave(now, MessageId(id), attempt, ReceiverId(r));
                if says == Leave::Go || !gate {
                    early += usize::from(waits.get(&group(r)).is_some_and(|until| now < *until));
                    left += 1;
                    numbers.entry(id).or_default().1 += 1;
                    out.insert((id, attempt), (r, up, true));
                    continue;
                }
                held_back += 1;
                Verdict::HeldBack
            } else {
                match below(14) {
                    0 => Verdict::Full(Some(ms(below(1500) + 1))),
                    1 => Verdict::Error,
                    // Told, and then spoilt: the wait holds, the call may have run.
                    2 => {
                        let wait = ms(below(1500) + 1);
                        events.push(Event::Wait(ReceiverId(r), wait));
                        let until = waits.entry(group(r)).or_default();
                        *until = now.after(wait).max(*until);
                        Verdict::Error
                    }
                    3..6 => Verdict::Delivered,
                    _ => continue,
                }
            };
            if let Verdict::Full(Some(wait)) = verdict {
                let until = waits.entry(group(r)).or_default();
                *until = now.after(wait).max(*until);
            }
            out.remove(&(id, attempt));
            let (id, receiver, finished) = (MessageId(id), ReceiverId(r), verdict == Verdict::Delivered);
            let elapsed = now.since(up);
            let o = Outcome { id, attempt, receiver, verdict, elapsed, finished, limit: None, left: None };
            events.push(Event::Outcome(o));
            // What was told has been told before the gate is asked for the next call.
            let mut actions = Vec::new();
            events.drain(..).for_each(|e| brain.on_event(now, e, &mut actions));
            ends += actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count();
        }
        let mut actions = Vec::new();
        events.drain(..).for_each(|e| brain.on_event(now, e, &mut actions));
        brain.decide(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, receiver, .. } => {
                    let n = numbers.entry(id.0).or_default();
                    assert!(n.1 < 3, "no more than three have left");
                    let late = if below(3) == 0 { ms(below(1000)) } else { Micros(0) };
                    out.insert((id.0, n.0), (receiver.0, now.after(late), false));
                    n.0 += 1;
                }
                Action::Refuse { .. } | Action::Fail(_) => ends += 1,
                _ => {}
            }
        }
        now = now.after(ms(5));
    }
    assert!(left + ends > 200, "{left} calls left, {ends} messages ended");
    (left, held_back, early)
}

#[test]
fn on_random_days_no_first_byte_leaves_within_a_wait() {
    let mut all = (0, 0, 0);
    for seed in 1..16 {
        let (left, held_back, early) = play(seed, true);
        all = (all.0 + left, all.1 + held_back, all.2 + early);
    }
    assert_eq!(all.2, 0);
    assert!(all.0 > 1000 && all.1 > 50, "{all:?}");
    assert!(play(1, false).2 > 0, "without the gate some would");
}
