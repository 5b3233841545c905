//! Tests many members against each other on a virtual clock and a simulated network.

use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use onyxrock_membership::{DetectorTiming, DropReason, Key, Keys, Membership, MembershipSettings, Output};
use std::collections::{BTreeMap, BTreeSet};

struct Network {
    now: u64,
    nodes: Vec<Option<Membership>>,
    /// How far each wall clock is off, in microseconds.
    offsets: Vec<i64>,
    in_transit: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    last_sequence: u64,
    rng_state: u64,
    /// Number of datagrams lost out of a hundred.
    loss_percent: u64,
    broken_links: BTreeSet<(u16, u16)>,
    /// Each report that a member went down: the time, the reporting member, and the member that went down.
    downs: Vec<(u64, u16, Member)>,
    payloads: Vec<(u16, Member, Vec<u8>)>,
}

fn keys(sign: u32, ids: &[u32]) -> Keys {
    Keys::new(sign, ids.iter().map(|id| Key { id: *id, secret: [*id as u8; 32] })).unwrap()
}

impl Network {
    fn new(members: u16) -> Network {
        let mut network = Network {
            now: 100_000_000,
            nodes: (0..members).map(|_| None).collect(),
            offsets: vec![0; usize::from(members)],
            in_transit: BTreeMap::new(),
            last_sequence: 0,
            rng_state: 5,
            loss_percent: 0,
            broken_links: BTreeSet::new(),
            downs: Vec::new(),
            payloads: Vec::new(),
        };
        (0..members).for_each(|member| network.start(member, keys(1, &[1])));
        network
    }
    fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % below
    }
    fn start(&mut self, member: u16, keys: Keys) {
        let members = self.nodes.len() as u16;
        let settings = MembershipSettings {
            me: Member(member),
            member_count: members,
            keys,
            timing: DetectorTiming::default(),
        };
        let incarnation = self.now.saturating_add_signed(self.offsets[usize::from(member)]);
        let entropy = self.random_below(u64::MAX) << 20 | u64::from(member);
        self.nodes[usize::from(member)] =
            Some(Membership::new(settings, incarnation, entropy, Micros(self.now)));
    }
    fn drain(&mut self, member: u16) {
        while let Some(output) = self.nodes[usize::from(member)].as_mut().and_then(Membership::poll) {
            match output {
                Output::Datagram { to, bytes } => {
                    if !self.broken_links.contains(&(member, to.0))
                        && self.random_below(100) >= self.loss_percent
                    {
                        self.last_sequence += 1;
                        let at = self.now + 200 + self.random_below(2_000);
                        self.in_transit.insert((at, self.last_sequence), (member, to.0, bytes));
                    }
                }
                Output::Down(down) => self.downs.push((self.now, member, down)),
                Output::Payload { from, bytes } => self.payloads.push((member, from, bytes)),
                Output::Up(_) => {}
            }
        }
    }
    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 5_000;
            while let Some(first) = self.in_transit.first_entry().filter(|f| f.key().0 <= self.now) {
                let (_, to, bytes) = first.remove();
                if let Some(node) = &mut self.nodes[usize::from(to)] {
                    let _ = node.receive(Micros(self.now), &bytes);
                    self.drain(to);
                }
            }
            for member in 0..self.nodes.len() as u16 {
                let now = Micros(self.now);
                if let Some(node) = self.nodes[usize::from(member)].as_mut().filter(|n| n.due() <= now) {
                    node.tick(now);
                    self.drain(member);
                }
            }
        }
    }
    fn node(&mut self, member: u16) -> &mut Membership {
        self.nodes[usize::from(member)].as_mut().unwrap()
    }
    /// Whether every running member sees exactly these members alive.
    fn all_see(&self, expected: &[u16]) -> bool {
        let expected: BTreeSet<_> = expected.iter().map(|m| Member(*m)).collect();
        self.nodes
            .iter()
            .flatten()
            .filter(|n| n.alive().len() > 1 || expected.len() < 2)
            .all(|n| n.alive() == expected)
    }
}

#[test]
fn dead_member_is_reported_down_and_a_restarted_one_is_seen() {
    let mut network = Network::new(5);
    network.run(3_000_000);
    assert!(network.all_see(&[0, 1, 2, 3, 4]));
    network.nodes[2] = None;
    let died_at = network.now;
    network.run(6_000_000);
    assert!(network.all_see(&[0, 1, 3, 4]));
    let last_notice = network.downs.iter().map(|d| d.0 - died_at).max().unwrap();
    assert!(last_notice < 4_500_000, "reported down by all after {} ms", last_notice / 1000);
    network.start(2, keys(1, &[1]));
    network.run(2_000_000);
    assert!(network.all_see(&[0, 1, 2, 3, 4]));
}

/// Whether a restarted member is accepted must not depend on its wall clock.
#[test]
fn restarted_member_with_an_earlier_clock_is_seen() {
    let mut network = Network::new(5);
    network.run(3_000_000);
    // The member restarts before the others notice its absence, with a clock that is 30 s behind, then again
    // with one that is 90 s behind.
    for behind_us in [30_000_000, 90_000_000] {
        network.offsets[3] = -behind_us;
        network.start(3, keys(1, &[1]));
        network.run(8_000_000);
        assert!(network.all_see(&[0, 1, 2, 3, 4]), "{behind_us}");
    }
}

#[test]
fn member_with_a_wrong_key_stays_out_and_disturbs_nobody() {
    let mut network = Network::new(5);
    network.nodes[4] = None;
    let wrong_keys = Keys::new(1, [Key { id: 1, secret: [99; 32] }]).unwrap();
    network.start(4, wrong_keys);
    network.run(10_000_000);
    let alive_counts: Vec<_> = (0..4).map(|m| network.node(m).alive().len()).collect();
    assert_eq!((alive_counts, network.node(4).alive().len()), (vec![4; 4], 1));
    assert!(network.node(0).counts().dropped[&DropReason::Forged] > 0 && network.downs.is_empty());
}

/// Each member in turn learns the new key, then signs with it, then forgets the old one.
#[test]
fn rolling_key_change_takes_no_member_down() {
    let mut network = Network::new(5);
    network.loss_percent = 2;
    network.run(3_000_000);
    let downs_before = network.downs.len();
    for step in [keys(1, &[1, 2]), keys(2, &[1, 2]), keys(2, &[2])] {
        for member in 0..5 {
            network.node(member).rekey(step.clone());
            network.run(1_300_000);
        }
    }
    assert!(network.all_see(&[0, 1, 2, 3, 4]));
    assert_eq!(network.downs.len(), downs_before);
}

#[test]
fn partition_heals_and_a_one_way_link_takes_nobody_down() {
    let mut network = Network::new(5);
    network.run(3_000_000);
    let sides = (0..5).flat_map(|a| (0..5).map(move |b| (a, b)));
    network.broken_links = sides.filter(|(a, b)| (*a < 2) != (*b < 2)).collect();
    network.run(8_000_000);
    assert_eq!((network.node(0).alive().len(), network.node(4).alive().len()), (2, 3));
    network.broken_links.clear();
    let healed_at = network.now;
    while !network.all_see(&[0, 1, 2, 3, 4]) && network.now < healed_at + 30_000_000 {
        network.run(100_000);
    }
    println!("healed after {} ms", (network.now - healed_at) / 1000);
    assert!(network.now < healed_at + 8_000_000);
    // B does not receive from A, but A receives from B: the other members vouch for both, so neither is
    // reported down.
    network.downs.clear();
    network.broken_links = [(0, 1)].into();
    network.run(10_000_000);
    assert!(network.all_see(&[0, 1, 2, 3, 4]), "{:?}", network.downs);
}

#[test]
fn simultaneous_restart_converges_and_replayed_payloads_are_dropped() {
    let mut network = Network::new(5);
    network.run(3_000_000);
    for member in 0..5 {
        network.start(member, keys(1, &[1]));
    }
    network.run(5_000_000);
    assert!(network.all_see(&[0, 1, 2, 3, 4]));
    network.payloads.clear();
    assert!(network.node(1).send(Member(3), b"hello") && !network.node(1).send(Member(3), &[0; 1400]));
    network.drain(1);
    // Every datagram is recorded and replayed, at once and later.
    let recorded: Vec<_> =
        network.in_transit.iter().map(|(at, datagram)| ((at.0 + 1, at.1), datagram.clone())).collect();
    network.in_transit.extend(recorded.clone());
    network.run(1_000_000);
    for (at, datagram) in recorded {
        network.in_transit.insert((network.now + at.1 % 7, at.1), datagram);
    }
    network.run(1_000_000);
    assert_eq!(network.payloads, [(3, Member(1), b"hello".to_vec())]);
}

/// Datagrams and bytes per second that each member sends, once all members see each other.
fn traffic_per_member(members: u16, settle: u64) -> (f64, f64) {
    let mut network = Network::new(members);
    network.run(settle);
    let totals = |network: &Network| {
        let sent = network.nodes.iter().flatten().map(|n| n.counts().sent);
        sent.fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1))
    };
    let min_alive = network.nodes.iter().flatten().map(|n| n.alive().len()).min().unwrap();
    assert_eq!(min_alive, usize::from(members));
    let before = totals(&network);
    network.run(5_000_000);
    let after = totals(&network);
    let per_member = |n: u64| n as f64 / 5.0 / f64::from(members);
    (per_member(after.0 - before.0), per_member(after.1 - before.1))
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_fleet() {
    let (few, many) = (traffic_per_member(10, 20_000_000), traffic_per_member(100, 20_000_000));
    println!("10: {few:.0?}, 100: {many:.0?}");
    assert!(many.0 < few.0 * 1.5 && many.1 < few.1 * 1.5, "{few:?} {many:?}");
}

#[test]
fn thousand_members_see_each_other() {
    let (datagrams, bytes) = traffic_per_member(1024, 45_000_000);
    assert!(datagrams < 10.0 && bytes < 10_000.0, "{datagrams:.1} datagrams/s, {bytes:.0} bytes/s each");
}

/// Run with `cargo test --release -p onyxrock-membership --test cluster -- --ignored --nocapture`.
#[test]
#[ignore = "minutes; its figures stand in docs/design/duties.md"]
fn cost_table() {
    for members in [5, 10, 100, 1024] {
        let start = std::time::Instant::now();
        let settle = if members < 1024 { 20_000_000 } else { 70_000_000 };
        let (datagrams, bytes) = traffic_per_member(members, settle);
        // The time includes all work of this test, that of the simulated network too.
        let span = (settle + 5_000_000) as f64 / 1e6 * f64::from(members);
        let cpu = start.elapsed().as_secs_f64() * 1e3 / span;
        println!(
            "{members} members, each: {datagrams:.1} datagrams/s, {bytes:.0} bytes/s, {cpu:.3} ms/s of CPU"
        );
    }
}
