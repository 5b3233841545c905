//! Answers that are lost on the way, wherever they come from: the call has run and nothing is ever heard of
//! it. Nothing is out of order, so a sender must neither take its receivers for sick nor have its slots stand
//! full of such calls.

mod common;
use common::*;
use onyxrock::interface::*;
use std::collections::BTreeMap;

/// Receivers, two to a destination, each of which answers after this.
const RECEIVERS: u64 = 8;
const ANSWERS_AFTER: Micros = Micros(50_000);
const EVERY: u64 = 12;

struct Played {
    handed_in: usize,
    in_time: usize,
    cancelled: usize,
    /// Of one message.
    most_of_one: usize,
}

/// Hands in a message each 12 ms for 20 s. From the fifth second to the fifteenth one answer in `lost` never
/// comes; with `late` it is one message in so many, each call of which is answered after that.
fn play(class: usize, slots: u32, lost: u64, late: Option<Micros>) -> Played {
    let quiet = Settings { slots, sender_count: 1, peer_hints: false, weights: Weights::Off, ..settings() };
    let entries = (0..RECEIVERS).map(|r| entry(r, r / 2, 0, 0)).collect();
    let mut harness = Harness::new(quiet, entries);
    let (start, mut handed) = (harness.now, BTreeMap::new());
    let (mut calls, mut in_time, mut n) = (0u64, 0, 0u64);
    let mut off: BTreeMap<u64, usize> = BTreeMap::new();
    let mut answers: BTreeMap<(u64, u32), Option<Micros>> = BTreeMap::new();
    while harness.now < start.plus(ms(30_000)) {
        let at = harness.now.since(start);
        if at < ms(20_000) && at.0 / 1000 >= n * EVERY {
            handed.insert(n, harness.now);
            harness.submit(n, class, n % (RECEIVERS / 2));
            n += 1;
        }
        harness.advance(ms(1));
        for (id, attempt) in std::mem::take(&mut harness.cancelled) {
            if harness.in_flight.iter().any(|s| (s.id, s.attempt) == (id, attempt)) {
                *off.entry(id).or_insert(0usize) += 1;
                harness.end_attempt(id, Verdict::Cancelled);
            }
        }
        for s in harness.in_flight.clone() {
            let due = *answers.entry((s.id, s.attempt)).or_insert_with(|| {
                calls += 1;
                let troubled = (ms(5_000)..ms(15_000)).contains(&s.at.since(start));
                // A chance, by a multiplicative hash of the call's number.
                let of = if late.is_some() { s.id } else { calls };
                let hit = of.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                if troubled && hit.is_multiple_of(lost) { late } else { Some(ANSWERS_AFTER) }
            });
            let age = harness.now.since(s.at);
            if due.is_some_and(|d| age >= d) {
                harness.end_attempt(s.id, Verdict::Delivered);
                in_time += usize::from(harness.now.since(handed[&s.id]) < ms(1_000));
            } else if age >= s.timeout {
                harness.end_attempt(s.id, Verdict::TimedOut);
            }
        }
    }
    let most_of_one = off.values().copied().max().unwrap_or(0);
    Played { handed_in: handed.len(), in_time, cancelled: off.values().sum(), most_of_one }
}

#[test]
fn lost_answers_fill_no_slots_and_make_nobody_sick() {
    for class in [SAFE, ZONED] {
        let p = play(class, 13, 10, None);
        let share = p.in_time as f64 / p.handed_in as f64;
        println!("class {class}: {} of {} in time, {share:.3}", p.in_time, p.handed_in);
        assert!(share > 0.95, "class {class}: {share:.3} of all in time");
    }
}

/// An unsafe message that is given up is lost: it is waited for as long as ever.
#[test]
fn what_must_not_be_repeated_is_waited_for_all_the_same() {
    assert_eq!(play(UNSAFE, 13, 6, None).cancelled, 0);
}

/// A message that takes its time is answered in the end: giving it up for nothing would make it run again.
#[test]
fn nothing_gives_way_while_there_are_slots() {
    assert_eq!(play(SAFE, 80, 12, Some(ms(1_500))).cancelled, 0);
}

/// Where slots are short, too, a message that is slow itself is let finish by its third call at the latest.
#[test]
fn a_slow_message_gives_way_twice_at_most() {
    let played = [6, 8, 10, 12].map(|slots| play(SAFE, slots, 10, Some(ms(3_000))));
    let most: Vec<_> = played.iter().map(|p| p.most_of_one).collect();
    println!("most of one: {most:?}");
    assert_eq!(most.iter().max(), Some(&2));
}
