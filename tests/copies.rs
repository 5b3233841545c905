//! Second copies: where the settings allow two attempts of one message out at once.

mod common;
use common::*;
use onyxrock::interface::*;

fn copied(entries: Vec<ListEntry>) -> Rig {
    // The first is the faster one, so it is where a message goes.
    let mut rig = Rig::new(Settings { second_copies: true, peer_hints: false, ..settings() }, entries);
    rig.warm(1000, 80, 1);
    rig
}

fn two() -> Vec<ListEntry> {
    vec![entry(1, 1, 0, 0), entry(2, 1, 0, 0)]
}

/// Sends one message and lets its first attempt hang for a while. Where its attempts went.
fn hangs(rig: &mut Rig, class: usize) -> Vec<u64> {
    rig.submit(1, class, 1);
    rig.pass(ms(1500));
    rig.sent.iter().filter(|s| s.id == 1).map(|s| s.receiver).collect()
}

#[test]
fn a_copy_goes_to_another_receiver_once_the_first_is_late_and_not_before() {
    let mut rig = copied(two());
    rig.submit(1, SAFE, 1);
    rig.pass(ms(300));
    assert_eq!(rig.sends_of(1), 1, "not late yet");
    rig.pass(ms(1200));
    let to: Vec<_> = rig.sent.iter().filter(|s| s.id == 1).map(|s| s.receiver).collect();
    assert_eq!(to.len(), 2, "one copy and no more");
    assert_ne!(to[0], to[1]);
}

#[test]
fn a_copy_goes_only_where_settings_class_and_receivers_allow_it() {
    let mut forbidden = copied(two());
    forbidden.policy = onyxrock::PolicyEngine::new(Settings { peer_hints: false, ..settings() }, 7);
    forbidden.event(Event::FullList(two()));
    forbidden.warm(2000, 80, 1);
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
        let mut rig = copied(two());
        hangs(&mut rig, SAFE);
        rig.answer(1, Verdict::Delivered);
        assert_eq!(rig.called_off, [(1, 1)]);
        rig.answer(1, if both { Verdict::Delivered } else { Verdict::Cancelled });
        rig.pass(ms(20_000));
        assert_eq!((rig.sends_of(1), rig.refused.len(), rig.failed.len()), (2, 0, 0), "nothing follows");
    }
}

/// What fails while its copy is out must not be given up, nor be repeated a third time beside it.
#[test]
fn one_that_fails_leaves_the_end_to_its_copy() {
    let mut rig = copied(two());
    hangs(&mut rig, ORDERED);
    rig.answer(1, Verdict::Reset);
    rig.pass(ms(300));
    assert!(rig.refused.is_empty() && rig.failed.is_empty());
    rig.answer(1, Verdict::Delivered);
    rig.pass(ms(20_000));
    assert_eq!((rig.refused.len(), rig.failed.len()), (0, 0));
}

#[test]
fn a_copy_that_is_refused_with_a_wait_holds_up_all_that_goes_there() {
    let mut rig = copied(two());
    hangs(&mut rig, SAFE);
    let first = rig.out.remove(0); // still out
    rig.answer(1, Verdict::Full(Some(ms(900))));
    let before = rig.sent.len();
    rig.submit(2, SAFE, 1);
    rig.pass(ms(800));
    assert_eq!(rig.sent.len(), before, "the wait is heeded by all");
    rig.out.push(first);
    rig.answer(1, Verdict::Delivered);
    rig.pass(ms(200));
    assert!(rig.sent.len() > before, "and ends");
}

/// Copies are work for nothing: they stay a small share of calls, however much hangs.
#[test]
fn copies_stay_a_small_share_of_calls() {
    let mut rig = copied(two());
    for id in 1..=6 {
        rig.submit(id, SAFE, 1);
    }
    rig.pass(ms(1900));
    let copies = (1..=6).filter(|id| rig.sends_of(*id) > 1).count();
    assert!((1..=2).contains(&copies), "{copies} of six, after eighty calls");
}
