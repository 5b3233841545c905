//! Measures the cost of failure detection among members, and of sending one message to all members.

use super::meter::{CpuTimer, memory_of};
use super::wire::{LoopbackSocket, keys};
use super::{Plan, smallest_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use onyxrock_membership::{DetectorTiming, Membership, MembershipSettings, Output};
use std::collections::BTreeMap;

/// Sizes of the groups, of which every member is run. The memory of a group grows with the square of its
/// size, so the largest is an eighth of the two-year size. In a group below the smallest a member has too few
/// others to choose from.
const GROUP_SIZES: [u16; 5] = [13, 43, 137, 434, 1_375];
/// Sizes of the groups in the short form.
const SHORT_GROUP_SIZES: [u16; 4] = [12, 24, 48, 96];
/// Interval at which members check for due work.
const STEP_INTERVAL: Micros = Micros(5_000);
/// Transmission time of a datagram.
const DATAGRAM_DELAY: Micros = Micros(1_000);
/// Maximum time until every member sees every other member alive.
const MAX_JOIN_TIME: Micros = Micros(120_000_000);
/// Time after that until the updates about all members that joined have been passed on as often as each
/// update is: each member passes an update on some tens of times, and a datagram carries only as many updates
/// as fit into it.
const SETTLE_TIME: Micros = Micros(120_000_000);
/// Length of the measurement.
const MEASURED_TIME: Micros = Micros(10_000_000);
/// The message with which a daemon announces that it is the coordinator, in its encoded form: a tag and an
/// epoch.
const COORDINATOR_MESSAGE: [u8; 3] = [3, 0xe8, 0x07];

struct Group {
    now: Micros,
    nodes: Vec<Membership>,
    in_flight: BTreeMap<Micros, Vec<(Member, Vec<u8>)>>,
    socket: LoopbackSocket,
}

impl Group {
    /// A group of members whose member list names one more member that never starts, since in practice some
    /// machine is always away.
    fn new(members: u16, seed: u64) -> Result<Group, String> {
        let now = Micros(1_000_000);
        let node = |m: u16| {
            let timing = DetectorTiming::default();
            let settings =
                MembershipSettings { me: Member(m), member_count: members + 1, keys: keys(), timing };
            Membership::new(settings, 1_000_000 + u64::from(m), seed << 16 | u64::from(m), now)
        };
        let nodes = (0..members).map(node).collect();
        Ok(Group { now, nodes, in_flight: BTreeMap::new(), socket: LoopbackSocket::new()? })
    }

    /// Whether every member sees every other member alive.
    fn has_converged(&self) -> bool {
        self.nodes.iter().all(|n| n.alive().len() == self.nodes.len())
    }

    /// Delivers the datagrams that have arrived, and runs the members with due work. The work of the members
    /// is timed; each datagram goes through a socket.
    fn step(&mut self, timer: &mut CpuTimer) {
        self.now = self.now.plus(STEP_INTERVAL);
        let now = self.now;
        let later = self.in_flight.split_off(&Micros(now.0 + 1));
        let arrived: Vec<_> = std::mem::replace(&mut self.in_flight, later).into_values().flatten().collect();
        let (nodes, socket) = (&mut self.nodes, &mut self.socket);
        let sent = timer.time(|| {
            let mut sent = Vec::new();
            for (to, bytes) in &arrived {
                if let Some(node) = nodes.get_mut(usize::from(to.0)) {
                    let _ = node.receive(now, bytes);
                    send_outputs(node, socket, &mut sent);
                }
            }
            for node in nodes.iter_mut().filter(|n| n.due() <= now) {
                node.tick(now);
                send_outputs(node, socket, &mut sent);
            }
            sent
        });
        self.in_flight.entry(now.plus(DATAGRAM_DELAY)).or_default().extend(sent);
    }

    fn run(&mut self, span: Micros, timer: &mut CpuTimer) {
        let end = self.now.plus(span);
        while self.now < end {
            self.step(timer);
        }
    }
}

/// Sends the datagrams that a member has produced through the socket.
fn send_outputs(node: &mut Membership, socket: &mut LoopbackSocket, sent: &mut Vec<(Member, Vec<u8>)>) {
    while let Some(output) = node.poll() {
        if let Output::Datagram { to, bytes } = output {
            sent.push((to, socket.transfer(&bytes)));
        }
    }
}

/// Measures groups of rising size whose members detect each other's failures.
pub fn failure_detection(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut memory, mut cpu, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    let sizes: &[u16] = if plan.short { &SHORT_GROUP_SIZES } else { &GROUP_SIZES };
    for members in sizes.iter().copied() {
        let (allocated, group) = memory_of(|| converged_group(members, plan.seed));
        let mut group = group?;
        let bytes_before = group.socket.bytes_sent;
        let mut timer = CpuTimer::default();
        group.run(MEASURED_TIME, &mut timer);
        if !group.has_converged() {
            return Err(format!(
                "after the measurement not all of the {members} members see each other alive"
            ));
        }
        let member_count = f64::from(members);
        let seconds = MEASURED_TIME.secs();
        let watched = member_count - 1.0;
        memory.push(Point { x: watched, y: allocated / member_count });
        cpu.push(Point { x: watched, y: timer.us / member_count / seconds });
        bytes.push(Point {
            x: watched,
            y: (group.socket.bytes_sent - bytes_before) as f64 / member_count / seconds,
        });
    }
    let costs = [Cost::MemberMemory, Cost::MemberCpu, Cost::MemberBytes];
    Ok(costs.into_iter().zip([memory, cpu, bytes]).collect())
}

/// Starts a group and runs it until all members see each other alive and the updates about them have been
/// passed on.
fn converged_group(members: u16, seed: u64) -> Result<Group, String> {
    let mut group = Group::new(members, seed)?;
    let mut unused = CpuTimer::default();
    let deadline = group.now.plus(MAX_JOIN_TIME);
    while !group.has_converged() {
        if group.now > deadline {
            return Err(format!(
                "{members} members did not all see each other alive within {} s",
                MAX_JOIN_TIME.secs()
            ));
        }
        group.run(Micros(500_000), &mut unused);
    }
    group.run(SETTLE_TIME, &mut unused);
    Ok(group)
}

/// One member sends the same message to all others, as the coordinator and the holder of the list duty do.
pub fn broadcast(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for peers in plan.sizes(plan.size.forwarders) {
        let settings = MembershipSettings {
            me: Member(0),
            member_count: peers as u16 + 1,
            keys: keys(),
            timing: DetectorTiming::default(),
        };
        let mut node = Membership::new(settings, 1_000_000, plan.seed, Micros(1_000_000));
        let mut socket = LoopbackSocket::new()?;
        let us = smallest_of(plan.repeats, || {
            socket.bytes_sent = 0;
            let mut timer = CpuTimer::default();
            timer.time(|| {
                for to in 1..=peers as u16 {
                    node.send(Member(to), &COORDINATOR_MESSAGE);
                }
                send_outputs(&mut node, &mut socket, &mut Vec::new());
            });
            Ok::<_, String>(timer.us)
        })?;
        cpu.push(Point { x: peers as f64, y: us });
        bytes.push(Point { x: peers as f64, y: socket.bytes_sent as f64 });
    }
    Ok(vec![(Cost::BroadcastCpu, cpu), (Cost::BroadcastBytes, bytes)])
}
