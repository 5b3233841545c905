//! What leases cost: at their holder, at a voter, and where they are wanted of another member. Messages are sealed, go
//! through a loopback socket and are opened again, as between daemons.

use super::engine::LEASE;
use super::meter::{Stopwatch, memory_of};
use super::wire::{Loop, keys, opened, sealed};
use super::{Plan, least_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::interface::Micros;
use onyxrock_duties::{Duty, DutyKind, DutyTable, Member, Message, Output, StoredBound};
use onyxrock_membership::Authenticator;
use std::collections::VecDeque;

/// Voters, as the settings' default.
pub const VOTERS: u16 = 5;
/// Leases that one holder has at the two-year size, rounded down.
const LEASES_OF_HOLDER: u64 = 3;
/// The most that one member may want.
const WANTED_MOST: f64 = 20_000.0;
/// From a handful on: few leases do not fill a message.
const HOLDER_SIZES: i32 = 7;
/// Fewer entries do not fill the nodes of a tree, whose memory then tells nothing of one entry.
const TREE_LEAST: u64 = 32;
/// Duties for which the search among members is measured.
const WANTED: u64 = 256;
/// A renewal of the most leases takes seconds at a voter.
const VOTER_REPEATS: u32 = 2;
const START: Micros = Micros(1_000_000_000);
/// Renewals until all leases are held.
const WARM: u32 = 6;
const FOREVER: Micros = Micros(u64::MAX);

fn duty(of: u64) -> Duty {
    Duty { kind: DutyKind::Probe, target: of }
}

/// The number of a member's process.
fn boot_of(me: u16) -> u64 {
    u64::from(me) + 1
}

/// A member: its leases, and its seal.
struct Node {
    book: DutyTable,
    seal: Authenticator,
}

impl Node {
    /// `peers` are the members that it can send to: the first so many.
    fn new(me: u16, members: u16, voters: u16, peers: u16) -> Node {
        let boot = boot_of(me);
        let mut book =
            DutyTable::new(Member(me), members, voters, LEASE, boot, Micros(0), StoredBound::Known(0));
        book.set_alive(Micros(0), [Member(me)].into());
        Node { book, seal: Authenticator::new(Member(me), peers, keys(), boot) }
    }

    /// Sealed datagrams with what is due.
    fn tick(&mut self, now: Micros) -> Vec<(Member, Vec<u8>)> {
        let out = self.book.tick(now);
        self.keep();
        let seal = &mut self.seal;
        out.into_iter().map(|Output::Send { to, message }| (to, sealed(seal, to, &message))).collect()
    }

    /// What a voter may promise is made to last, which is free here.
    fn keep(&mut self) {
        self.book.bound_to_persist().into_iter().for_each(|n| self.book.mark_bound_persisted(n));
    }

    /// Takes a datagram; what is to be sent back.
    fn take(&mut self, now: Micros, from: Member, datagram: &[u8]) -> Vec<Vec<u8>> {
        let message = match opened(&mut self.seal, now, datagram) {
            Ok(message) => message,
            Err(reply) => return reply.into_iter().collect(),
        };
        let out = self.book.receive(now, from, message);
        self.keep();
        let seal = &mut self.seal;
        out.into_iter().map(|Output::Send { to, message }| sealed(seal, to, &message)).collect()
    }
}

/// One holder and its voters.
struct Quorum {
    voters: Vec<Node>,
    holder: Node,
    wire: Loop,
    now: Micros,
}

impl Quorum {
    fn new(leases: u64) -> Result<Quorum, String> {
        let members = VOTERS + 1;
        let voters = (0..VOTERS).map(|v| Node::new(v, members, VOTERS, members)).collect();
        let mut holder = Node::new(VOTERS, members, VOTERS, members);
        (0..leases).for_each(|of| holder.book.want(duty(of), FOREVER));
        Ok(Quorum { voters, holder, wire: Loop::new()?, now: START })
    }

    /// One renewal. The holder's part is timed.
    fn renew(&mut self, watch: &mut Stopwatch) {
        self.now = self.now.plus(LEASE.renew_interval());
        let (now, me) = (self.now, Member(VOTERS));
        let (holder, wire) = (&mut self.holder, &mut self.wire);
        let mut out: VecDeque<_> = watch.time(|| {
            let sent = holder.tick(now).into_iter();
            sent.map(|(to, bytes)| (to, wire.carry(&bytes))).collect()
        });
        while let Some((to, bytes)) = out.pop_front() {
            let answers = self.voters[usize::from(to.0)].take(now, me, &bytes);
            for answer in answers {
                let again = watch.time(|| {
                    let answer = self.wire.carry(&answer);
                    self.holder.take(now, to, &answer)
                });
                out.extend(again.into_iter().map(|bytes| (to, bytes)));
            }
        }
    }

    fn held(&self) -> usize {
        self.holder.book.held_leases(self.now).len()
    }
}

/// Leases at their holder.
pub fn holder(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut memory, mut cpu, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for n in plan.so_many_sizes(HOLDER_SIZES, WANTED_MOST) {
        let mut quorum = Quorum::new(n)?;
        (0..WARM).for_each(|_| quorum.renew(&mut Stopwatch::default()));
        if quorum.held() as u64 != n {
            return Err(format!("{} of {n} leases are held", quorum.held()));
        }
        let carried = quorum.wire.carried;
        let mut rounds = 0;
        let us = least_of(plan.repeats, || {
            rounds += 1;
            let mut watch = Stopwatch::default();
            quorum.renew(&mut watch);
            Ok::<_, String>(watch.us)
        })?;
        let per_round = (quorum.wire.carried - carried) as f64 / f64::from(rounds);
        let seconds = LEASE.renew_interval().secs();
        cpu.push(Point { x: n as f64, y: us / seconds });
        bytes.push(Point { x: n as f64, y: per_round / seconds });
        let book = quorum.holder.book.clone();
        let before = super::meter::allocated();
        drop(book);
        let y = (before - super::meter::allocated()) as f64;
        if n >= TREE_LEAST {
            memory.push(Point { x: n as f64, y });
        }
    }
    let costs = [Cost::HolderLeaseMemory, Cost::HolderLeaseCpu, Cost::HolderLeaseBytes];
    Ok(costs.into_iter().zip([memory, cpu, bytes]).collect())
}

/// Holders of a few leases each, at one voter.
struct Voting {
    voter: Node,
    holders: Vec<Node>,
    wire: Loop,
    now: Micros,
}

impl Voting {
    fn new(leases: u64) -> Result<Voting, String> {
        let holders = leases.div_ceil(LEASES_OF_HOLDER) as u16;
        let members = holders + 1;
        let voter = Node::new(0, members, 1, members);
        let node = |i: u16| {
            // It sends to the voter alone.
            let mut node = Node::new(i, members, 1, 1);
            let first = u64::from(i - 1) * LEASES_OF_HOLDER;
            (first..(first + LEASES_OF_HOLDER).min(leases)).for_each(|d| node.book.want(duty(d), FOREVER));
            node
        };
        Ok(Voting { voter, holders: (1..members).map(node).collect(), wire: Loop::new()?, now: START })
    }

    /// One renewal of all. The voter's part is timed.
    fn renew(&mut self, watch: &mut Stopwatch) {
        self.now = self.now.plus(LEASE.renew_interval());
        let now = self.now;
        watch.time(|| self.voter.tick(now));
        for (i, holder) in self.holders.iter_mut().enumerate() {
            let from = Member(i as u16 + 1);
            let mut out: VecDeque<_> = holder.tick(now).into_iter().map(|(_, bytes)| bytes).collect();
            while let Some(bytes) = out.pop_front() {
                let answers: Vec<_> = watch.time(|| {
                    let bytes = self.wire.carry(&bytes);
                    let answers = self.voter.take(now, from, &bytes).into_iter();
                    answers.map(|answer| self.wire.carry(&answer)).collect()
                });
                out.extend(answers.iter().flat_map(|answer| holder.take(now, Member(0), answer)));
            }
        }
    }

    fn held(&self) -> usize {
        self.holders.iter().map(|h| h.book.held_leases(self.now).len()).sum()
    }
}

/// Leases at a voter.
pub fn voter(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut memory, mut cpu, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for n in plan.sizes(plan.size.destinations_down()) {
        let mut voting = Voting::new(n)?;
        (0..WARM).for_each(|_| voting.renew(&mut Stopwatch::default()));
        if voting.held() as u64 != n {
            return Err(format!("{} of {n} leases are promised and held", voting.held()));
        }
        let carried = voting.wire.carried;
        let mut rounds = 0;
        let us = least_of(plan.repeats.min(VOTER_REPEATS), || {
            rounds += 1;
            let mut watch = Stopwatch::default();
            voting.renew(&mut watch);
            Ok::<_, String>(watch.us)
        })?;
        let per_round = (voting.wire.carried - carried) as f64 / f64::from(rounds);
        let seconds = LEASE.renew_interval().secs();
        cpu.push(Point { x: n as f64, y: us / seconds });
        bytes.push(Point { x: n as f64, y: per_round / seconds });
        memory.push(Point { x: n as f64, y: memory_of(|| voting.voter.book.clone()).0 });
    }
    let costs = [Cost::VoterLeaseMemory, Cost::VoterLeaseCpu, Cost::VoterLeaseBytes];
    Ok(costs.into_iter().zip([memory, cpu, bytes]).collect())
}

/// A member that wants duties among so many others, all of which are seen. Its voters answer.
struct Wanting {
    node: Node,
    boot: u64,
    voters: u16,
    wire: Loop,
    now: Micros,
}

impl Wanting {
    fn new(members: u16, wanted: u64) -> Result<Wanting, String> {
        let (me, voters) = (members - 1, VOTERS.min(members - 1));
        let mut node = Node::new(me, members, voters, members);
        node.book.set_alive(Micros(0), (0..members).map(Member).collect());
        (0..wanted).for_each(|of| node.book.want(duty(of), FOREVER));
        Ok(Wanting { node, boot: boot_of(me), voters, wire: Loop::new()?, now: START })
    }

    /// One look at all that is wanted, and telling the members whose it is. Sending and receiving are timed.
    fn look(&mut self, watch: &mut Stopwatch) {
        // A majority of voters must have answered, or nothing is looked at.
        for voter in 0..self.voters {
            let (boot, granted, refused) = (self.boot, Vec::new(), Vec::new());
            let answer = Message::LeaseResponse { boot, sent: 0, granted, refused };
            self.node.book.receive(self.now, Member(voter), answer);
        }
        self.now = self.now.plus(LEASE.renew_interval());
        let now = self.now;
        let sent: Vec<_> = watch.time(|| {
            let sent = self.node.tick(now).into_iter();
            sent.map(|(_, bytes)| self.wire.carry(&bytes)).collect()
        });
        drop(sent);
    }
}

/// Duties that are wanted of other members.
pub fn wanted(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let seconds = LEASE.renew_interval().secs();
    let mut cpu = Vec::new();
    for members in plan.sizes(plan.size.forwarders) {
        let mut wanting = Wanting::new(members as u16, WANTED)?;
        (0..2).for_each(|_| wanting.look(&mut Stopwatch::default()));
        let us = least_of(plan.repeats, || {
            let mut watch = Stopwatch::default();
            wanting.look(&mut watch);
            Ok::<_, String>(watch.us)
        })?;
        cpu.push(Point { x: members as f64, y: us / seconds / WANTED as f64 });
    }
    let (mut bytes, mut memory) = (Vec::new(), Vec::new());
    for n in plan.sizes(WANTED_MOST) {
        let members = plan.size.forwarders as u16;
        let empty = memory_of(|| Wanting::new(members, 0)).0;
        let (all, made) = memory_of(|| Wanting::new(members, n));
        let mut wanting = made?;
        memory.push(Point { x: n as f64, y: all - empty });
        wanting.look(&mut Stopwatch::default());
        let before = wanting.wire.carried;
        wanting.look(&mut Stopwatch::default());
        bytes.push(Point { x: n as f64, y: (wanting.wire.carried - before) as f64 / seconds });
    }
    let costs = [Cost::WantedMemberCpu, Cost::WantedBytes, Cost::WantedMemory];
    Ok(costs.into_iter().zip([cpu, bytes, memory]).collect())
}
