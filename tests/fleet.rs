//! A hundred senders that are told nothing of each other, at one destination. What each does is harmless; these tests
//! count it over all of them.

mod common;
use common::*;
use onyxrock::Brain;
use onyxrock::interface::*;

const SENDERS: u32 = 100;
const LIMIT: f64 = 80.0;
const STEP: Micros = Micros(20_000);

fn fleet() -> Settings {
    Settings { senders: SENDERS, slots: 6, max_held: 60, notes: false, weights: Weights::Rough, ..settings() }
}

fn rigs(weight: f64) -> Vec<Rig> {
    let listed = vec![Entry { weight, ..entry(1, 1, 0, 0) }];
    let rig = |seed| {
        let mut rig = Rig::new(fleet(), listed.clone());
        rig.brain = Brain::new(fleet(), seed);
        rig.event(Event::DiskList(listed.clone()));
        rig
    };
    (0..u64::from(SENDERS)).map(rig).collect()
}

/// A destination with so much room a second, of which refused calls take their part, too.
struct Limit {
    room: f64,
    delivered: u32,
    refused: u32,
}

impl Limit {
    fn call(&mut self) -> Verdict {
        self.room -= 1.0;
        if self.room >= 0.0 {
            self.delivered += 1;
            return Verdict::Delivered;
        }
        self.refused += 1;
        Verdict::Full(None)
    }
}

/// Delivered and refused calls of the whole fleet in each of so many seconds, at `offered` messages a second.
fn play(weight: f64, offered: impl Fn(usize) -> f64, seconds: usize) -> Vec<(u32, u32)> {
    let mut rigs = rigs(weight);
    let mut chance = 0x9e37_79b9_u64;
    let mut roll = move || {
        chance ^= chance << 13;
        chance ^= chance >> 7;
        chance ^= chance << 17;
        (chance >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut limit = Limit { room: 0.0, delivered: 0, refused: 0 };
    let mut id = 0;
    let mut seen = Vec::new();
    for second in 0..seconds {
        (limit.delivered, limit.refused) = (0, 0);
        for _ in 0..50 {
            limit.room = (limit.room + LIMIT * STEP.secs()).min(LIMIT * 0.2);
            let each = offered(second) * STEP.secs() / f64::from(SENDERS);
            for rig in &mut rigs {
                rig.now = rig.now.after(STEP);
                rig.event(Event::Wake);
                if roll() < each {
                    id += 1;
                    rig.submit_with(id, SAFE, 1, None, ms(5000));
                }
                for open in rig.out.clone() {
                    if rig.now.since(open.at) >= ms(100) {
                        rig.answer(open.id, limit.call());
                    }
                }
            }
        }
        seen.push((limit.delivered, limit.refused));
    }
    seen
}

/// Seen on the fleet's bench: at a tenth over the limit, all calls of seconds were refused, since refused ones used it
/// up and each sender waited for three of its own; then the destination passed for one that had shut and was cold.
#[test]
fn a_limit_overrun_by_all_together_is_found_back_within_seconds() {
    let seen = play(80.0, |s| if s < 5 { 60.0 } else { 110.0 }, 30);
    let (delivered, refused) = seen[5..].iter().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
    assert!(f64::from(delivered) > 0.75 * LIMIT * 25.0, "{delivered} delivered: {seen:?}");
    assert!(f64::from(refused) < 0.15 * f64::from(delivered + refused), "{refused} refused: {seen:?}");
}

/// A clump of two seconds must not cost many more.
#[test]
fn a_clump_that_ends_leaves_no_lasting_restriction() {
    let seen = play(80.0, |s| if (5..7).contains(&s) { 160.0 } else { 55.0 }, 25);
    let late: u32 = seen[15..].iter().map(|s| s.0).sum();
    assert!(f64::from(late) > 0.9 * 55.0 * 10.0, "{late} delivered: {seen:?}");
}

/// The pause after one refusal falls anywhere in its span: senders that were refused together must not meet again.
#[test]
fn senders_refused_at_one_moment_do_not_come_back_at_one_moment() {
    let mut back = Vec::new();
    for rig in &mut rigs(80.0) {
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
