//! Many members on a virtual clock over a net of one's own making.

use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use onyxrock_membership::{DetectorTiming, DropReason, Key, Keys, Membership, MembershipSettings, Output};
use std::collections::{BTreeMap, BTreeSet};

struct Net {
    now: u64,
    nodes: Vec<Option<Membership>>,
    /// Microseconds that each wall clock is off.
    offsets: Vec<i64>,
    flying: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    serial: u64,
    dice: u64,
    /// Datagrams lost, in a hundred.
    loss: u64,
    cut: BTreeSet<(u16, u16)>,
    /// Who was seen to go down, by whom, and when.
    downs: Vec<(u64, u16, Member)>,
    payloads: Vec<(u16, Member, Vec<u8>)>,
}

fn keys(sign: u32, ids: &[u32]) -> Keys {
    Keys::new(sign, ids.iter().map(|id| Key { id: *id, secret: [*id as u8; 32] })).unwrap()
}

impl Net {
    fn new(members: u16) -> Net {
        let mut net = Net {
            now: 100_000_000,
            nodes: (0..members).map(|_| None).collect(),
            offsets: vec![0; usize::from(members)],
            flying: BTreeMap::new(),
            serial: 0,
            dice: 5,
            loss: 0,
            cut: BTreeSet::new(),
            downs: Vec::new(),
            payloads: Vec::new(),
        };
        (0..members).for_each(|m| net.start(m, keys(1, &[1])));
        net
    }
    fn roll(&mut self, below: u64) -> u64 {
        self.dice = self.dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.dice >> 33) % below
    }
    fn start(&mut self, m: u16, keys: Keys) {
        let members = self.nodes.len() as u16;
        let settings = MembershipSettings {
            me: Member(m),
            member_count: members,
            keys,
            timing: DetectorTiming::default(),
        };
        let life = self.now.saturating_add_signed(self.offsets[usize::from(m)]);
        let entropy = self.roll(u64::MAX) << 20 | u64::from(m);
        self.nodes[usize::from(m)] = Some(Membership::new(settings, life, entropy, Micros(self.now)));
    }
    fn drain(&mut self, m: u16) {
        while let Some(output) = self.nodes[usize::from(m)].as_mut().and_then(Membership::poll) {
            match output {
                Output::Datagram { to, bytes } => {
                    if !self.cut.contains(&(m, to.0)) && self.roll(100) >= self.loss {
                        self.serial += 1;
                        let at = self.now + 200 + self.roll(2_000);
                        self.flying.insert((at, self.serial), (m, to.0, bytes));
                    }
                }
                Output::Down(who) => self.downs.push((self.now, m, who)),
                Output::Payload { from, bytes } => self.payloads.push((m, from, bytes)),
                Output::Up(_) => {}
            }
        }
    }
    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 5_000;
            while let Some(first) = self.flying.first_entry().filter(|f| f.key().0 <= self.now) {
                let (_, to, bytes) = first.remove();
                if let Some(node) = &mut self.nodes[usize::from(to)] {
                    let _ = node.receive(Micros(self.now), &bytes);
                    self.drain(to);
                }
            }
            for m in 0..self.nodes.len() as u16 {
                let now = Micros(self.now);
                if let Some(node) = self.nodes[usize::from(m)].as_mut().filter(|n| n.due() <= now) {
                    node.tick(now);
                    self.drain(m);
                }
            }
        }
    }
    fn node(&mut self, m: u16) -> &mut Membership {
        self.nodes[usize::from(m)].as_mut().unwrap()
    }
    /// Every one that is up sees these, and no others.
    fn all_see(&self, who: &[u16]) -> bool {
        let who: BTreeSet<_> = who.iter().map(|m| Member(*m)).collect();
        self.nodes.iter().flatten().filter(|n| n.alive().len() > 1 || who.len() < 2).all(|n| n.alive() == who)
    }
}

#[test]
fn a_member_that_dies_is_missed_and_one_that_is_back_is_seen() {
    let mut net = Net::new(5);
    net.run(3_000_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4]));
    net.nodes[2] = None;
    let died = net.now;
    net.run(6_000_000);
    assert!(net.all_see(&[0, 1, 3, 4]));
    let last = net.downs.iter().map(|d| d.0 - died).max().unwrap();
    assert!(last < 4_500_000, "all have missed it after {} ms", last / 1000);
    net.start(2, keys(1, &[1]));
    net.run(2_000_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4]));
}

/// What it is believed to be must not depend on what its clock shows.
#[test]
fn a_member_whose_clock_went_back_is_back_all_the_same() {
    let mut net = Net::new(5);
    net.run(3_000_000);
    // It starts anew before anybody has missed it, with a clock that shows 30 s less, then again with 90 s less.
    for back in [30_000_000, 90_000_000] {
        net.offsets[3] = -back;
        net.start(3, keys(1, &[1]));
        net.run(8_000_000);
        assert!(net.all_see(&[0, 1, 2, 3, 4]), "{back}");
    }
}

#[test]
fn one_with_a_wrong_key_stays_out_and_changes_nothing() {
    let mut net = Net::new(5);
    net.nodes[4] = None;
    let wrong = Keys::new(1, [Key { id: 1, secret: [99; 32] }]).unwrap();
    net.start(4, wrong);
    net.run(10_000_000);
    let four: Vec<_> = (0..4).map(|m| net.node(m).alive().len()).collect();
    assert_eq!((four, net.node(4).alive().len()), (vec![4; 4], 1));
    assert!(net.node(0).counts().refused[&DropReason::Forged] > 0 && net.downs.is_empty());
}

/// One member after the other learns the new key, then signs with it, then forgets the old.
#[test]
fn a_rolling_change_of_keys_kills_nobody() {
    let mut net = Net::new(5);
    net.loss = 2;
    net.run(3_000_000);
    let before = net.downs.len();
    for step in [keys(1, &[1, 2]), keys(2, &[1, 2]), keys(2, &[2])] {
        for m in 0..5 {
            net.node(m).rekey(step.clone());
            net.run(1_300_000);
        }
    }
    assert!(net.all_see(&[0, 1, 2, 3, 4]));
    assert_eq!(net.downs.len(), before);
}

#[test]
fn a_split_heals_by_itself_also_one_that_is_open_one_way() {
    let mut net = Net::new(5);
    net.run(3_000_000);
    let sides = (0..5).flat_map(|a| (0..5).map(move |b| (a, b)));
    net.cut = sides.filter(|(a, b)| (*a < 2) != (*b < 2)).collect();
    net.run(8_000_000);
    assert_eq!((net.node(0).alive().len(), net.node(4).alive().len()), (2, 3));
    net.cut.clear();
    let healed = net.now;
    while !net.all_see(&[0, 1, 2, 3, 4]) && net.now < healed + 30_000_000 {
        net.run(100_000);
    }
    println!("healed after {} ms", (net.now - healed) / 1000);
    assert!(net.now < healed + 8_000_000);
    // B does not hear A, and A hears B: others tell of both, so neither is missed.
    net.downs.clear();
    net.cut = [(0, 1)].into();
    net.run(10_000_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4]), "{:?}", net.downs);
}

#[test]
fn all_that_start_at_once_find_each_other_and_payloads_come_once() {
    let mut net = Net::new(5);
    net.run(3_000_000);
    for m in 0..5 {
        net.start(m, keys(1, &[1]));
    }
    net.run(5_000_000);
    assert!(net.all_see(&[0, 1, 2, 3, 4]));
    net.payloads.clear();
    assert!(net.node(1).send(Member(3), b"hello") && !net.node(1).send(Member(3), &[0; 1400]));
    net.drain(1);
    // Each datagram is recorded and comes again, at once and later.
    let twice: Vec<_> = net.flying.iter().map(|(at, d)| ((at.0 + 1, at.1), d.clone())).collect();
    net.flying.extend(twice.clone());
    net.run(1_000_000);
    for (at, d) in twice {
        net.flying.insert((net.now + at.1 % 7, at.1), d);
    }
    net.run(1_000_000);
    assert_eq!(net.payloads, [(3, Member(1), b"hello".to_vec())]);
}

/// Datagrams and bytes a second that each member sends, once all know each other.
fn cost(members: u16, settle: u64) -> (f64, f64) {
    let mut net = Net::new(members);
    net.run(settle);
    let all = |net: &Net| {
        let sent = net.nodes.iter().flatten().map(|n| n.counts().sent);
        sent.fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1))
    };
    let seen = net.nodes.iter().flatten().map(|n| n.alive().len()).min().unwrap();
    assert_eq!(seen, usize::from(members));
    let before = all(&net);
    net.run(5_000_000);
    let after = all(&net);
    let each = |n: u64| n as f64 / 5.0 / f64::from(members);
    (each(after.0 - before.0), each(after.1 - before.1))
}

#[test]
fn what_a_member_sends_does_not_grow_with_their_number() {
    let (few, many) = (cost(10, 20_000_000), cost(100, 20_000_000));
    println!("10: {few:.0?}, 100: {many:.0?}");
    assert!(many.0 < few.0 * 1.5 && many.1 < few.1 * 1.5, "{few:?} {many:?}");
}

#[test]
fn a_thousand_members_see_each_other() {
    let (datagrams, bytes) = cost(1024, 45_000_000);
    assert!(datagrams < 10.0 && bytes < 10_000.0, "{datagrams:.1} datagrams/s, {bytes:.0} bytes/s each");
}

/// `cargo test --release -p onyxrock-membership --test cluster -- --ignored --nocapture`
#[test]
#[ignore = "minutes; its figures stand in docs/design/duties.md"]
fn cost_table() {
    for members in [5, 10, 100, 1024] {
        let start = std::time::Instant::now();
        let settle = if members < 1024 { 20_000_000 } else { 70_000_000 };
        let (datagrams, bytes) = cost(members, settle);
        // All the work of this test, the net's included.
        let span = (settle + 5_000_000) as f64 / 1e6 * f64::from(members);
        let cpu = start.elapsed().as_secs_f64() * 1e3 / span;
        println!(
            "{members} members, each: {datagrams:.1} datagrams/s, {bytes:.0} bytes/s, {cpu:.3} ms/s of CPU"
        );
    }
}
