//! A cluster of hollow forwarders: its shards in lockstep, the links between them, and discovery.

use super::discovery::{Answer, Call, Discovery, FIRST_GENERATION, first_lines, text};
use super::forwarder::{Input, Sent, Setup};
use super::in_force::InForce;
use super::links::{Links, Node, WITHIN_ZONE};
use super::meter::Reading;
use super::placement::{Region, Zone, zone_of};
use super::shard::{Arrival, Command, Departure, Handle, Reply};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_config::duties::{DutySettings, NamedMember as Named, ProbeSettings};
use onyxrock_config::list::{self, EndpointList};
use onyxrock_duties::Member;
use onyxrock_membership::{Key, Keys};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Where the virtual clock begins.
const EPOCH: Micros = Micros(1_000_000_000);

/// How a cluster is made.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Forwarders.
    pub members: u16,
    /// Members that vote.
    pub voters: usize,
    /// How long a lease holds.
    pub lease: Micros,
    /// Endpoints on the list that all start with.
    pub listed: u64,
    /// Of all chance.
    pub seed: u64,
    /// Threads that run forwarders.
    pub threads: usize,
}

/// A call or its end on its way to discovery.
#[derive(Clone, Copy, Debug)]
enum ToDiscovery {
    Ask(super::discovery::Ask),
    Close,
}

/// Hollow forwarders, and what is between them.
#[derive(Debug)]
pub struct Cluster {
    plan: Plan,
    shards: Vec<Handle>,
    /// What has been sent and is not with its shard yet, by shard.
    arrivals: Vec<Vec<Arrival>>,
    /// When the next thing happens in each shard.
    next: Vec<Micros>,
    now: Micros,
    running: BTreeSet<Member>,
    /// The network.
    pub links: Links,
    discovery: Discovery,
    questions: BTreeMap<(Micros, Call, u64), ToDiscovery>,
    answers: u64,
    in_force: InForce,
    rng: StdRng,
}

fn duties(plan: &Plan) -> Result<DutySettings, String> {
    let nowhere = ([127, 0, 0, 1], 9).into();
    let named = |index| Named { name: format!("n{}", index + 1), address: nowhere };
    let keys = Keys::new(1, [Key { id: 1, secret: [0x5a; 32] }]).map_err(|e| format!("{e:?}"))?;
    let patience = Micros((plan.lease.0 * 2 / 5).min(1_000_000));
    Ok(DutySettings {
        listen: nowhere,
        members: (0..plan.members).map(named).collect(),
        voter_count: plan.voters,
        lease_duration: plan.lease,
        probe: ProbeSettings {
            per_s: 1.0,
            timeout: patience,
            path: "/health".to_owned(),
            without_leases: false,
        },
        share_list: true,
        elect_coordinator: true,
        keys,
    })
}

/// The list that all start with.
fn known(listed: u64) -> Result<EndpointList, String> {
    list::parse(&text(FIRST_GENERATION, true, first_lines(0, listed)), &NameIndex::default())
}

impl Cluster {
    /// Makes a cluster in which nothing runs yet.
    ///
    /// # Errors
    /// The settings or the list cannot be made.
    pub fn new(plan: Plan) -> Result<Cluster, String> {
        let setup = Setup { duties: duties(&plan)?, known: Arc::new(known(plan.listed)?), seed: plan.seed };
        let setup = Arc::new(setup);
        let threads = plan.threads.clamp(1, usize::from(plan.members).max(1));
        Ok(Cluster {
            shards: (0..threads).map(|_| Handle::spawn(setup.clone())).collect(),
            arrivals: vec![Vec::new(); threads],
            next: vec![Micros(u64::MAX); threads],
            now: EPOCH,
            running: BTreeSet::new(),
            links: Links::default(),
            discovery: Discovery::new(plan.listed),
            questions: BTreeMap::new(),
            answers: 0,
            in_force: InForce::new(plan.members)?,
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
        })
    }

    /// Seconds since the beginning.
    #[must_use]
    pub fn elapsed(&self) -> Micros {
        self.now.since(EPOCH)
    }
    /// How changes have come into force.
    #[must_use]
    pub fn in_force(&self) -> &InForce {
        &self.in_force
    }
    /// Calls that discovery had, and bytes that it sent.
    #[must_use]
    pub fn discovery_load(&self) -> (u64, u64) {
        (self.discovery.calls, self.discovery.bytes)
    }
    /// Processes that run.
    #[must_use]
    pub fn running(&self) -> &BTreeSet<Member> {
        &self.running
    }
    /// All members.
    pub fn members(&self) -> impl Iterator<Item = Member> + use<> {
        (0..self.plan.members).map(Member)
    }

    fn shard_of(&self, member: Member) -> usize {
        usize::from(member.0) % self.shards.len()
    }

    /// Gives each shard its part of the members in one command.
    fn tell_members(
        &mut self, members: &[Member], command: impl Fn(Vec<Member>) -> Command,
    ) -> Result<(), String> {
        for shard in 0..self.shards.len() {
            let theirs = members.iter().copied().filter(|m| self.shard_of(*m) == shard).collect();
            self.shards[shard].tell(command(theirs))?;
            self.collect(shard)?;
        }
        Ok(())
    }

    /// Starts processes. Each has the list of the first version from before.
    ///
    /// # Errors
    /// A shard has ended.
    pub fn start(&mut self, members: &[Member]) -> Result<(), String> {
        let now = self.now;
        for member in members {
            self.running.insert(*member);
            self.in_force.started(now, *member, FIRST_GENERATION);
            self.in_force.reachable(now, *member, !self.links.cut_off(*member));
        }
        self.tell_members(members, |theirs| Command::Start(now, theirs))
    }

    /// Kills processes.
    ///
    /// # Errors
    /// A shard has ended.
    pub fn kill(&mut self, members: &[Member]) -> Result<(), String> {
        for member in members {
            self.running.remove(member);
            self.in_force.reachable(self.now, *member, false);
        }
        self.tell_members(members, Command::Kill)
    }

    /// The members of a zone.
    #[must_use]
    pub fn in_zone(&self, zone: Zone) -> Vec<Member> {
        self.members().filter(|member| zone_of(*member) == zone).collect()
    }

    /// So many members by chance.
    pub fn draw(&mut self, count: usize) -> Vec<Member> {
        let mut left: Vec<Member> = self.members().collect();
        let count = count.min(left.len());
        (0..count).map(|_| left.swap_remove(self.rng.random_range(0..left.len()))).collect()
    }

    /// Cuts a region off from all others.
    pub fn partition(&mut self, region: Region) {
        self.links.partition(region);
        self.review_links();
    }

    /// Joins all regions again.
    pub fn heal(&mut self) {
        self.links.heal();
        self.review_links();
    }

    fn review_links(&mut self) {
        for member in &self.running {
            self.in_force.reachable(self.now, *member, !self.links.cut_off(*member));
        }
    }

    /// Discovery lists one endpoint more.
    pub fn change(&mut self) {
        let answers = self.discovery.change();
        self.in_force.changed(self.now);
        answers.into_iter().for_each(|answer| self.send_answer(self.now, answer));
    }

    /// Runs for so long while changes come at random, so many a second on average.
    ///
    /// # Errors
    /// A shard has ended.
    pub fn run_with_changes(&mut self, span: Micros, per_s: f64) -> Result<(), String> {
        let end = self.now.plus(span);
        loop {
            let pause = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / per_s;
            let next = self.now.plus(Micros::from_secs(pause));
            if next >= end {
                return self.run_until(end);
            }
            self.run_until(next)?;
            self.change();
        }
    }

    /// Runs for so long.
    ///
    /// # Errors
    /// A shard has ended.
    pub fn run(&mut self, span: Micros) -> Result<(), String> {
        self.run_until(self.now.plus(span))
    }

    fn run_until(&mut self, end: Micros) -> Result<(), String> {
        while self.now < end {
            let waiting = self.arrivals.iter().flatten().map(|arrival| arrival.at);
            let next = self.next.iter().copied().chain(waiting).chain(self.discovery_due()).min();
            let from = next.unwrap_or(end).clamp(self.now, end);
            // Nothing that is sent from then on can arrive before this.
            let until = from.plus(WITHIN_ZONE).min(end);
            self.window(until)?;
            self.now = until;
        }
        Ok(())
    }

    fn discovery_due(&self) -> Option<Micros> {
        let question = self.questions.first_key_value().map(|((at, _, _), _)| *at);
        question.into_iter().chain(self.discovery.due()).min()
    }

    /// Runs all shards and discovery up to a time.
    fn window(&mut self, until: Micros) -> Result<(), String> {
        for shard in 0..self.shards.len() {
            let arrivals = std::mem::take(&mut self.arrivals[shard]);
            self.shards[shard].tell(Command::Run(until, arrivals))?;
        }
        self.run_discovery(until);
        for shard in 0..self.shards.len() {
            self.collect(shard)?;
        }
        Ok(())
    }

    fn collect(&mut self, shard: usize) -> Result<(), String> {
        let Reply::Ran { departures, adopted, next } = self.shards[shard].reply()? else {
            return Err("a shard gave another reply".into());
        };
        self.next[shard] = next;
        adopted.into_iter().for_each(|one| self.in_force.adopted(one));
        departures.into_iter().for_each(|departure| self.depart(departure));
        Ok(())
    }

    fn depart(&mut self, departure: Departure) {
        let Departure { at, from, number, sent } = departure;
        let (node, order) = (Node::Forwarder(from), (Node::Forwarder(from), number));
        match sent {
            Sent::Datagram(to, bytes) => {
                if let Some(takes) = self.links.carry(node, Node::Forwarder(to)) {
                    let arrival = Arrival { at: at.plus(takes), to, order, input: Input::Datagram(bytes) };
                    let shard = self.shard_of(to);
                    self.arrivals[shard].push(arrival);
                }
            }
            Sent::Ask(call, ask) => self.ask(at, call, number, ToDiscovery::Ask(ask)),
            Sent::Close(call) => self.ask(at, call, number, ToDiscovery::Close),
        }
    }

    fn ask(&mut self, at: Micros, call: Call, number: u64, question: ToDiscovery) {
        if let Some(takes) = self.links.carry(Node::Forwarder(call.member), Node::Discovery) {
            self.questions.insert((at.plus(takes), call, number), question);
        }
    }

    fn run_discovery(&mut self, until: Micros) {
        while let Some(at) = self.discovery_due().filter(|at| *at < until) {
            for (ended, answer) in self.discovery.tick(at) {
                self.send_answer(ended, answer);
            }
            while let Some(entry) = self.questions.first_entry().filter(|entry| entry.key().0 <= at) {
                let ((asked, call, _), question) = entry.remove_entry();
                match question {
                    ToDiscovery::Close => self.discovery.close(call),
                    ToDiscovery::Ask(ask) => {
                        let answer = self.discovery.ask(asked, call, ask);
                        answer.into_iter().for_each(|answer| self.send_answer(asked, answer));
                    }
                }
            }
        }
    }

    fn send_answer(&mut self, at: Micros, answer: Answer) {
        let to = answer.call.member;
        let Some(takes) = self.links.carry(Node::Discovery, Node::Forwarder(to)) else { return };
        self.answers += 1;
        let (order, input) = ((Node::Discovery, self.answers), Input::Answer(answer.call, answer.body));
        let shard = self.shard_of(to);
        self.arrivals[shard].push(Arrival { at: at.plus(takes), to, order, input });
    }

    /// Every forwarder that runs, in order.
    ///
    /// # Errors
    /// A shard has ended.
    pub fn readings(&self) -> Result<Vec<Reading>, String> {
        let mut all = Vec::new();
        for shard in &self.shards {
            shard.tell(Command::Read)?;
            if let Reply::Readings(readings) = shard.reply()? {
                all.extend(readings);
            }
        }
        all.sort_by_key(|reading: &Reading| reading.member);
        Ok(all)
    }

    /// The run has ended: what is not in force is counted.
    pub fn end(&mut self) {
        self.in_force.end(self.now);
    }
}
