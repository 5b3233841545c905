//! Measures the cost of leases at their holder and at a voter, and of wanted duties that other members hold.
//! Messages are signed, go through a loopback socket and are verified, as between daemons.

use super::engine::LEASE_TERMS;
use super::meter::{CpuTimer, memory_of};
use super::wire::{LoopbackSocket, keys, sign_message, verify_message};
use super::{Plan, smallest_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::interface::Micros;
use onyxrock_duties::{Duty, DutyKind, DutyTable, Member, Message, Output, StoredBound};
use onyxrock_membership::Authenticator;
use std::collections::VecDeque;

/// Number of voters; the settings' default.
pub const VOTER_COUNT: u16 = 5;
/// Number of leases of one holder at the two-year size, rounded down.
const LEASES_PER_HOLDER: u64 = 3;
/// Maximum number of duties that one member may want.
const MAX_WANTED_DUTIES: f64 = 20_000.0;
/// Number of sizes for the leases of a holder. The smallest size is a handful of leases, since fewer do not
/// fill a message.
const HOLDER_SIZE_COUNT: i32 = 7;
/// Minimum number of leases for a measurement of memory. Fewer entries do not fill the nodes of a B-tree, and
/// its memory then does not show the memory of one entry.
const MIN_MEMORY_LEASES: u64 = 32;
/// Number of wanted duties for which the search among the members is measured.
const SEARCHED_DUTIES: u64 = 256;
/// Maximum number of repeated measurements at a voter, where one renewal of the largest number of leases
/// takes seconds.
const MAX_VOTER_REPEATS: u32 = 2;
/// Time at which a measurement starts.
const START: Micros = Micros(1_000_000_000);
/// Number of renewal rounds after which all leases are held.
const WARM_UP_ROUNDS: u32 = 6;
/// The time until which a duty is wanted, for a duty that is always wanted.
const FOREVER: Micros = Micros(u64::MAX);

fn duty(target: u64) -> Duty {
    Duty { kind: DutyKind::Probe, target }
}

/// The boot id of a member's process.
fn boot_id(me: u16) -> u64 {
    u64::from(me) + 1
}

/// A member: its duty table and its authenticator.
struct Node {
    duty_table: DutyTable,
    authenticator: Authenticator,
}

impl Node {
    /// Creates a member that can send to the first `peers` members.
    fn new(me: u16, members: u16, voters: u16, peers: u16) -> Node {
        let boot = boot_id(me);
        let mut duty_table =
            DutyTable::new(Member(me), members, voters, LEASE_TERMS, boot, Micros(0), StoredBound::Known(0));
        duty_table.set_alive(Micros(0), [Member(me)].into());
        Node { duty_table, authenticator: Authenticator::new(Member(me), peers, keys(), boot) }
    }

    /// Signed datagrams with the messages that are due.
    fn tick(&mut self, now: Micros) -> Vec<(Member, Vec<u8>)> {
        let outputs = self.duty_table.tick(now);
        self.mark_persisted();
        let authenticator = &mut self.authenticator;
        outputs
            .into_iter()
            .map(|Output::Send { to, message }| (to, sign_message(authenticator, to, &message)))
            .collect()
    }

    /// Marks the voter's bound of promises as persisted. The measurements do not include the cost of
    /// persisting it.
    fn mark_persisted(&mut self) {
        self.duty_table
            .bound_to_persist()
            .into_iter()
            .for_each(|bound| self.duty_table.mark_bound_persisted(bound));
    }

    /// Handles a received datagram, and returns the datagrams to send back.
    fn receive(&mut self, now: Micros, from: Member, datagram: &[u8]) -> Vec<Vec<u8>> {
        let message = match verify_message(&mut self.authenticator, now, datagram) {
            Ok(message) => message,
            Err(reply) => return reply.into_iter().collect(),
        };
        let outputs = self.duty_table.receive(now, from, message);
        self.mark_persisted();
        let authenticator = &mut self.authenticator;
        outputs
            .into_iter()
            .map(|Output::Send { to, message }| sign_message(authenticator, to, &message))
            .collect()
    }
}

/// One holder and its voters.
struct Quorum {
    voters: Vec<Node>,
    holder: Node,
    socket: LoopbackSocket,
    now: Micros,
}

impl Quorum {
    fn new(leases: u64) -> Result<Quorum, String> {
        let members = VOTER_COUNT + 1;
        let voters = (0..VOTER_COUNT).map(|voter| Node::new(voter, members, VOTER_COUNT, members)).collect();
        let mut holder = Node::new(VOTER_COUNT, members, VOTER_COUNT, members);
        (0..leases).for_each(|target| holder.duty_table.want(duty(target), FOREVER));
        Ok(Quorum { voters, holder, socket: LoopbackSocket::new()?, now: START })
    }

    /// Runs one renewal round. The holder's work is timed.
    fn renew(&mut self, timer: &mut CpuTimer) {
        self.now = self.now.plus(LEASE_TERMS.renew_interval());
        let (now, me) = (self.now, Member(VOTER_COUNT));
        let (holder, socket) = (&mut self.holder, &mut self.socket);
        let mut datagrams: VecDeque<_> = timer.time(|| {
            let sent = holder.tick(now).into_iter();
            sent.map(|(to, bytes)| (to, socket.transfer(&bytes))).collect()
        });
        while let Some((to, bytes)) = datagrams.pop_front() {
            let answers = self.voters[usize::from(to.0)].receive(now, me, &bytes);
            for answer in answers {
                let replies = timer.time(|| {
                    let answer = self.socket.transfer(&answer);
                    self.holder.receive(now, to, &answer)
                });
                datagrams.extend(replies.into_iter().map(|bytes| (to, bytes)));
            }
        }
    }

    fn held_count(&self) -> usize {
        self.holder.duty_table.held_leases(self.now).len()
    }
}

/// Measures leases at their holder.
pub fn holder(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut memory, mut cpu, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for leases in plan.rising_sizes(HOLDER_SIZE_COUNT, MAX_WANTED_DUTIES) {
        let mut quorum = Quorum::new(leases)?;
        (0..WARM_UP_ROUNDS).for_each(|_| quorum.renew(&mut CpuTimer::default()));
        if quorum.held_count() as u64 != leases {
            return Err(format!("{} of {leases} leases are held", quorum.held_count()));
        }
        let bytes_before = quorum.socket.bytes_sent;
        let mut rounds = 0;
        let us = smallest_of(plan.repeats, || {
            rounds += 1;
            let mut timer = CpuTimer::default();
            quorum.renew(&mut timer);
            Ok::<_, String>(timer.us)
        })?;
        let bytes_per_round = (quorum.socket.bytes_sent - bytes_before) as f64 / f64::from(rounds);
        let seconds = LEASE_TERMS.renew_interval().secs();
        cpu.push(Point { x: leases as f64, y: us / seconds });
        bytes.push(Point { x: leases as f64, y: bytes_per_round / seconds });
        let duty_table = quorum.holder.duty_table.clone();
        let before = super::meter::allocated();
        drop(duty_table);
        let y = (before - super::meter::allocated()) as f64;
        if leases >= MIN_MEMORY_LEASES {
            memory.push(Point { x: leases as f64, y });
        }
    }
    let costs = [Cost::HolderLeaseMemory, Cost::HolderLeaseCpu, Cost::HolderLeaseBytes];
    Ok(costs.into_iter().zip([memory, cpu, bytes]).collect())
}

/// One voter, and holders of a few leases each.
struct VoterGroup {
    voter: Node,
    holders: Vec<Node>,
    socket: LoopbackSocket,
    now: Micros,
}

impl VoterGroup {
    fn new(leases: u64) -> Result<VoterGroup, String> {
        let holders = leases.div_ceil(LEASES_PER_HOLDER) as u16;
        let members = holders + 1;
        let voter = Node::new(0, members, 1, members);
        let node = |i: u16| {
            // A holder sends to the voter alone.
            let mut node = Node::new(i, members, 1, 1);
            let first = u64::from(i - 1) * LEASES_PER_HOLDER;
            (first..(first + LEASES_PER_HOLDER).min(leases))
                .for_each(|target| node.duty_table.want(duty(target), FOREVER));
            node
        };
        Ok(VoterGroup {
            voter,
            holders: (1..members).map(node).collect(),
            socket: LoopbackSocket::new()?,
            now: START,
        })
    }

    /// Runs one renewal round of all holders. The voter's work is timed.
    fn renew(&mut self, timer: &mut CpuTimer) {
        self.now = self.now.plus(LEASE_TERMS.renew_interval());
        let now = self.now;
        timer.time(|| self.voter.tick(now));
        for (i, holder) in self.holders.iter_mut().enumerate() {
            let from = Member(i as u16 + 1);
            let mut datagrams: VecDeque<_> = holder.tick(now).into_iter().map(|(_, bytes)| bytes).collect();
            while let Some(bytes) = datagrams.pop_front() {
                let answers: Vec<_> = timer.time(|| {
                    let bytes = self.socket.transfer(&bytes);
                    let answers = self.voter.receive(now, from, &bytes).into_iter();
                    answers.map(|answer| self.socket.transfer(&answer)).collect()
                });
                datagrams.extend(answers.iter().flat_map(|answer| holder.receive(now, Member(0), answer)));
            }
        }
    }

    fn held_count(&self) -> usize {
        self.holders.iter().map(|h| h.duty_table.held_leases(self.now).len()).sum()
    }
}

/// Measures leases at a voter.
pub fn voter(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut memory, mut cpu, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for leases in plan.sizes(plan.size.destinations_down()) {
        let mut group = VoterGroup::new(leases)?;
        (0..WARM_UP_ROUNDS).for_each(|_| group.renew(&mut CpuTimer::default()));
        if group.held_count() as u64 != leases {
            return Err(format!("{} of {leases} leases are promised and held", group.held_count()));
        }
        let bytes_before = group.socket.bytes_sent;
        let mut rounds = 0;
        let us = smallest_of(plan.repeats.min(MAX_VOTER_REPEATS), || {
            rounds += 1;
            let mut timer = CpuTimer::default();
            group.renew(&mut timer);
            Ok::<_, String>(timer.us)
        })?;
        let bytes_per_round = (group.socket.bytes_sent - bytes_before) as f64 / f64::from(rounds);
        let seconds = LEASE_TERMS.renew_interval().secs();
        cpu.push(Point { x: leases as f64, y: us / seconds });
        bytes.push(Point { x: leases as f64, y: bytes_per_round / seconds });
        memory.push(Point { x: leases as f64, y: memory_of(|| group.voter.duty_table.clone()).0 });
    }
    let costs = [Cost::VoterLeaseMemory, Cost::VoterLeaseCpu, Cost::VoterLeaseBytes];
    Ok(costs.into_iter().zip([memory, cpu, bytes]).collect())
}

/// A member that wants duties, among other members that are all alive. Its voters answer.
struct WantingMember {
    node: Node,
    boot: u64,
    voters: u16,
    socket: LoopbackSocket,
    now: Micros,
}

impl WantingMember {
    fn new(members: u16, wanted: u64) -> Result<WantingMember, String> {
        let (me, voters) = (members - 1, VOTER_COUNT.min(members - 1));
        let mut node = Node::new(me, members, voters, members);
        node.duty_table.set_alive(Micros(0), (0..members).map(Member).collect());
        (0..wanted).for_each(|target| node.duty_table.want(duty(target), FOREVER));
        Ok(WantingMember { node, boot: boot_id(me), voters, socket: LoopbackSocket::new()?, now: START })
    }

    /// Runs one round over all wanted duties, in which the member sends to the members that should hold them.
    /// Sending and receiving are timed.
    fn run_round(&mut self, timer: &mut CpuTimer) {
        // The duties are handled only if a majority of the voters has answered lately.
        for voter in 0..self.voters {
            let (boot, granted, refused) = (self.boot, Vec::new(), Vec::new());
            let answer = Message::LeaseResponse { boot, sent: 0, granted, refused };
            self.node.duty_table.receive(self.now, Member(voter), answer);
        }
        self.now = self.now.plus(LEASE_TERMS.renew_interval());
        let now = self.now;
        let sent: Vec<_> = timer.time(|| {
            let sent = self.node.tick(now).into_iter();
            sent.map(|(_, bytes)| self.socket.transfer(&bytes)).collect()
        });
        drop(sent);
    }
}

/// Measures wanted duties that other members hold.
pub fn wanted_duties(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let seconds = LEASE_TERMS.renew_interval().secs();
    let mut cpu = Vec::new();
    for members in plan.sizes(plan.size.forwarders) {
        let mut member = WantingMember::new(members as u16, SEARCHED_DUTIES)?;
        (0..2).for_each(|_| member.run_round(&mut CpuTimer::default()));
        let us = smallest_of(plan.repeats, || {
            let mut timer = CpuTimer::default();
            member.run_round(&mut timer);
            Ok::<_, String>(timer.us)
        })?;
        cpu.push(Point { x: members as f64, y: us / seconds / SEARCHED_DUTIES as f64 });
    }
    let (mut bytes, mut memory) = (Vec::new(), Vec::new());
    for duties in plan.sizes(MAX_WANTED_DUTIES) {
        let members = plan.size.forwarders as u16;
        let empty = memory_of(|| WantingMember::new(members, 0)).0;
        let (with_duties, member) = memory_of(|| WantingMember::new(members, duties));
        let mut member = member?;
        memory.push(Point { x: duties as f64, y: with_duties - empty });
        member.run_round(&mut CpuTimer::default());
        let before = member.socket.bytes_sent;
        member.run_round(&mut CpuTimer::default());
        bytes.push(Point { x: duties as f64, y: (member.socket.bytes_sent - before) as f64 / seconds });
    }
    let costs = [Cost::WantedDutyMemberCpu, Cost::WantedDutyBytes, Cost::WantedDutyMemory];
    Ok(costs.into_iter().zip([cpu, bytes, memory]).collect())
}
