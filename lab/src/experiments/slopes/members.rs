//! What watching each other costs members, and telling all of them something.

use super::meter::{Stopwatch, memory_of};
use super::wire::{Loop, keys};
use super::{Plan, least_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use onyxrock_membership::{DetectorTiming, Membership, MembershipSettings, Output};
use std::collections::BTreeMap;

/// Groups that are run whole. The memory of a group grows with its square, so the largest is an eighth of the two-year
/// size; below the smallest a member has too few others to choose from.
const GROUPS: [u16; 5] = [13, 43, 137, 434, 1_375];
const GROUPS_SHORT: [u16; 4] = [12, 24, 48, 96];
/// Members look for what is due this often.
const STEP: Micros = Micros(5_000);
/// On its way a datagram takes so long.
const DELAY: Micros = Micros(1_000);
/// Until all must have seen each other.
const JOIN_MOST: Micros = Micros(120_000_000);
/// After that, until the news of all who joined has been told on as often as it is: some tens of times by each, a
/// datagram full at a time.
const SETTLE: Micros = Micros(120_000_000);
/// What is measured.
const MEASURED: Micros = Micros(10_000_000);
/// Encoded as the daemon tells that it leads: a tag and an epoch.
const TOLD: [u8; 3] = [3, 0xe8, 0x07];

struct Group {
    now: Micros,
    nodes: Vec<Membership>,
    flying: BTreeMap<Micros, Vec<(Member, Vec<u8>)>>,
    wire: Loop,
}

impl Group {
    /// So many members, of a list that names one more, which never comes: some machine is always away.
    fn new(members: u16, seed: u64) -> Result<Group, String> {
        let now = Micros(1_000_000);
        let node = |m: u16| {
            let tempo = DetectorTiming::default();
            let settings =
                MembershipSettings { me: Member(m), member_count: members + 1, keys: keys(), timing: tempo };
            Membership::new(settings, 1_000_000 + u64::from(m), seed << 16 | u64::from(m), now)
        };
        let nodes = (0..members).map(node).collect();
        Ok(Group { now, nodes, flying: BTreeMap::new(), wire: Loop::new()? })
    }

    fn together(&self) -> bool {
        self.nodes.iter().all(|n| n.alive().len() == self.nodes.len())
    }

    /// Delivers what has come, and does what is due. The members' work is timed; each datagram goes through a socket.
    fn step(&mut self, watch: &mut Stopwatch) {
        self.now = self.now.plus(STEP);
        let now = self.now;
        let later = self.flying.split_off(&Micros(now.0 + 1));
        let come: Vec<_> = std::mem::replace(&mut self.flying, later).into_values().flatten().collect();
        let (nodes, wire) = (&mut self.nodes, &mut self.wire);
        let sent = watch.time(|| {
            let mut sent = Vec::new();
            for (to, bytes) in &come {
                if let Some(node) = nodes.get_mut(usize::from(to.0)) {
                    let _ = node.receive(now, bytes);
                    collect(node, wire, &mut sent);
                }
            }
            for node in nodes.iter_mut().filter(|n| n.due() <= now) {
                node.tick(now);
                collect(node, wire, &mut sent);
            }
            sent
        });
        self.flying.entry(now.plus(DELAY)).or_default().extend(sent);
    }

    fn run(&mut self, span: Micros, watch: &mut Stopwatch) {
        let end = self.now.plus(span);
        while self.now < end {
            self.step(watch);
        }
    }
}

fn collect(node: &mut Membership, wire: &mut Loop, sent: &mut Vec<(Member, Vec<u8>)>) {
    while let Some(output) = node.poll() {
        if let Output::Datagram { to, bytes } = output {
            sent.push((to, wire.carry(&bytes)));
        }
    }
}

/// Groups of rising size that watch each other.
pub fn watched(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut memory, mut cpu, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    let groups: &[u16] = if plan.short { &GROUPS_SHORT } else { &GROUPS };
    for n in groups.iter().copied() {
        let (taken, group) = memory_of(|| together(n, plan.seed));
        let mut group = group?;
        let carried = group.wire.carried;
        let mut watch = Stopwatch::default();
        group.run(MEASURED, &mut watch);
        if !group.together() {
            return Err(format!("{n} members do not see each other any more"));
        }
        let each = f64::from(n);
        let seconds = MEASURED.secs();
        let watched = each - 1.0;
        memory.push(Point { x: watched, y: taken / each });
        cpu.push(Point { x: watched, y: watch.us / each / seconds });
        bytes.push(Point { x: watched, y: (group.wire.carried - carried) as f64 / each / seconds });
    }
    let costs = [Cost::MemberMemory, Cost::MemberCpu, Cost::MemberBytes];
    Ok(costs.into_iter().zip([memory, cpu, bytes]).collect())
}

fn together(members: u16, seed: u64) -> Result<Group, String> {
    let mut group = Group::new(members, seed)?;
    let mut unused = Stopwatch::default();
    let late = group.now.plus(JOIN_MOST);
    while !group.together() {
        if group.now > late {
            return Err(format!("{members} members have not found each other in time"));
        }
        group.run(Micros(500_000), &mut unused);
    }
    group.run(SETTLE, &mut unused);
    Ok(group)
}

/// One member tells all others the same, as who leads or asks for the list does.
pub fn told(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for n in plan.sizes(plan.size.forwarders) {
        let settings = MembershipSettings {
            me: Member(0),
            member_count: n as u16 + 1,
            keys: keys(),
            timing: DetectorTiming::default(),
        };
        let mut node = Membership::new(settings, 1_000_000, plan.seed, Micros(1_000_000));
        let mut wire = Loop::new()?;
        let us = least_of(plan.repeats, || {
            wire.carried = 0;
            let mut watch = Stopwatch::default();
            watch.time(|| {
                for to in 1..=n as u16 {
                    node.send(Member(to), &TOLD);
                }
                collect(&mut node, &mut wire, &mut Vec::new());
            });
            Ok::<_, String>(watch.us)
        })?;
        cpu.push(Point { x: n as f64, y: us });
        bytes.push(Point { x: n as f64, y: wire.carried as f64 });
    }
    Ok(vec![(Cost::TellAllCpu, cpu), (Cost::TellAllBytes, bytes)])
}
