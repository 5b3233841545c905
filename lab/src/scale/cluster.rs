//! A cluster of hollow forwarders: its shards, which run in lockstep, the links between the forwarders, and
//! discovery.

use super::change_times::ChangeTimes;
use super::discovery::{Answer, CallId, Discovery, FIRST_GENERATION, initial_entries, list_json};
use super::forwarder::{ClusterSettings, Input, Outbound};
use super::links::{Links, Node, WITHIN_ZONE};
use super::measurement::Reading;
use super::placement::{Region, Zone, zone_of};
use super::shard::{Arrival, Command, Departure, Reply, ShardHandle};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_config::duties::{DutySettings, NamedMember, ProbeSettings};
use onyxrock_config::list::{self, EndpointList};
use onyxrock_duties::Member;
use onyxrock_membership::{Key, Keys};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time of the virtual clock at the start of a cluster.
const CLOCK_START: Micros = Micros(1_000_000_000);

/// Parameters of a cluster.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of forwarders.
    pub members: u16,
    /// Number of members that are voters for leases.
    pub voters: usize,
    /// Duration of a lease.
    pub lease_duration: Micros,
    /// Number of endpoints on the list that all forwarders start with.
    pub listed_endpoints: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of threads that run forwarders.
    pub threads: usize,
}

/// A request to discovery, or the close of a call, in transit.
#[derive(Clone, Copy, Debug)]
enum DiscoveryInput {
    Request(super::discovery::ListRequest),
    Close,
}

/// Hollow forwarders, and the network and the discovery stand-in that connect them.
#[derive(Debug)]
pub struct Cluster {
    plan: Plan,
    shards: Vec<ShardHandle>,
    /// Inputs that were sent and not yet handed to the shard of their receiver, by shard.
    arrivals: Vec<Vec<Arrival>>,
    /// Time of the next event in each shard.
    next_event_at: Vec<Micros>,
    now: Micros,
    running: BTreeSet<Member>,
    /// The network between the forwarders and discovery.
    pub links: Links,
    discovery: Discovery,
    /// Requests in transit to discovery, by arrival time, call and number of the departure.
    discovery_inputs: BTreeMap<(Micros, CallId, u64), DiscoveryInput>,
    answer_count: u64,
    change_times: ChangeTimes,
    rng: StdRng,
}

fn duty_settings(plan: &Plan) -> Result<DutySettings, String> {
    let unused_address = ([127, 0, 0, 1], 9).into();
    let named_member = |index| NamedMember { name: format!("n{}", index + 1), address: unused_address };
    let keys = Keys::new(1, [Key { id: 1, secret: [0x5a; 32] }]).map_err(|e| format!("{e:?}"))?;
    let probe_timeout = Micros((plan.lease_duration.0 * 2 / 5).min(1_000_000));
    Ok(DutySettings {
        listen: unused_address,
        members: (0..plan.members).map(named_member).collect(),
        voter_count: plan.voters,
        lease_duration: plan.lease_duration,
        probe: ProbeSettings {
            per_s: 1.0,
            timeout: probe_timeout,
            path: "/health".to_owned(),
            without_leases: false,
        },
        share_list: true,
        elect_coordinator: true,
        keys,
    })
}

/// The list that all forwarders start with.
fn initial_list(listed: u64) -> Result<EndpointList, String> {
    list::parse(&list_json(FIRST_GENERATION, true, initial_entries(0, listed)), &NameIndex::default())
}

impl Cluster {
    /// Makes a cluster without running forwarders.
    ///
    /// # Errors
    /// The settings or the list cannot be created.
    pub fn new(plan: Plan) -> Result<Cluster, String> {
        let settings = ClusterSettings {
            duties: duty_settings(&plan)?,
            initial_list: Arc::new(initial_list(plan.listed_endpoints)?),
            seed: plan.seed,
        };
        let settings = Arc::new(settings);
        let threads = plan.threads.clamp(1, usize::from(plan.members).max(1));
        Ok(Cluster {
            shards: (0..threads).map(|_| ShardHandle::spawn(settings.clone())).collect(),
            arrivals: vec![Vec::new(); threads],
            next_event_at: vec![Micros(u64::MAX); threads],
            now: CLOCK_START,
            running: BTreeSet::new(),
            links: Links::default(),
            discovery: Discovery::new(plan.listed_endpoints),
            discovery_inputs: BTreeMap::new(),
            answer_count: 0,
            change_times: ChangeTimes::new(plan.members)?,
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
        })
    }

    /// Virtual time since the start of the cluster.
    #[must_use]
    pub fn elapsed(&self) -> Micros {
        self.now.since(CLOCK_START)
    }
    /// Times that list changes took to come into force.
    #[must_use]
    pub fn change_times(&self) -> &ChangeTimes {
        &self.change_times
    }
    /// Number of calls that discovery received, and of bytes that it sent.
    #[must_use]
    pub fn discovery_load(&self) -> (u64, u64) {
        (self.discovery.calls, self.discovery.sent_bytes)
    }
    /// Members whose process is running.
    #[must_use]
    pub fn running(&self) -> &BTreeSet<Member> {
        &self.running
    }
    /// All members.
    pub fn members(&self) -> impl Iterator<Item = Member> + use<> {
        (0..self.plan.members).map(Member)
    }

    /// Index of the shard that runs a member.
    fn shard_of(&self, member: Member) -> usize {
        usize::from(member.0) % self.shards.len()
    }

    /// Sends a command to each shard with the members that the shard runs.
    fn command_members(
        &mut self, members: &[Member], command: impl Fn(Vec<Member>) -> Command,
    ) -> Result<(), String> {
        for shard in 0..self.shards.len() {
            let shard_members = members.iter().copied().filter(|m| self.shard_of(*m) == shard).collect();
            self.shards[shard].send_command(command(shard_members))?;
            self.collect(shard)?;
        }
        Ok(())
    }

    /// Starts processes. Each has a cached list of the first generation.
    ///
    /// # Errors
    /// The thread of a shard has exited.
    pub fn start(&mut self, members: &[Member]) -> Result<(), String> {
        let now = self.now;
        for member in members {
            self.running.insert(*member);
            self.change_times.on_start(now, *member, FIRST_GENERATION);
            self.change_times.set_reachable(now, *member, !self.links.is_cut_off(*member));
        }
        self.command_members(members, |shard_members| Command::Start(now, shard_members))
    }

    /// Kills processes.
    ///
    /// # Errors
    /// The thread of a shard has exited.
    pub fn kill(&mut self, members: &[Member]) -> Result<(), String> {
        for member in members {
            self.running.remove(member);
            self.change_times.set_reachable(self.now, *member, false);
        }
        self.command_members(members, Command::Kill)
    }

    /// The members of a zone.
    #[must_use]
    pub fn in_zone(&self, zone: Zone) -> Vec<Member> {
        self.members().filter(|member| zone_of(*member) == zone).collect()
    }

    /// Chooses `count` members at random.
    pub fn choose_members(&mut self, count: usize) -> Vec<Member> {
        let mut remaining: Vec<Member> = self.members().collect();
        let count = count.min(remaining.len());
        (0..count).map(|_| remaining.swap_remove(self.rng.random_range(0..remaining.len()))).collect()
    }

    /// Cuts a region off from all others.
    pub fn partition(&mut self, region: Region) {
        self.links.partition(region);
        self.update_reachability();
    }

    /// Joins all regions again.
    pub fn heal(&mut self) {
        self.links.heal();
        self.update_reachability();
    }

    fn update_reachability(&mut self) {
        for member in &self.running {
            self.change_times.set_reachable(self.now, *member, !self.links.is_cut_off(*member));
        }
    }

    /// Makes discovery list one more endpoint.
    pub fn add_endpoint(&mut self) {
        let answers = self.discovery.add_endpoint();
        self.change_times.on_change(self.now);
        answers.into_iter().for_each(|answer| self.send_answer(self.now, answer));
    }

    /// Runs for a duration, while list changes come at random with this mean rate.
    ///
    /// # Errors
    /// The thread of a shard has exited.
    pub fn run_with_changes(&mut self, duration: Micros, changes_per_s: f64) -> Result<(), String> {
        let end = self.now.plus(duration);
        loop {
            let pause = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / changes_per_s;
            let next_event_at = self.now.plus(Micros::from_secs(pause));
            if next_event_at >= end {
                return self.run_until(end);
            }
            self.run_until(next_event_at)?;
            self.add_endpoint();
        }
    }

    /// Runs for a duration.
    ///
    /// # Errors
    /// The thread of a shard has exited.
    pub fn run(&mut self, duration: Micros) -> Result<(), String> {
        self.run_until(self.now.plus(duration))
    }

    fn run_until(&mut self, end: Micros) -> Result<(), String> {
        while self.now < end {
            let arrivals = self.arrivals.iter().flatten().map(|arrival| arrival.at);
            let next_event_at =
                self.next_event_at.iter().copied().chain(arrivals).chain(self.discovery_due()).min();
            let from = next_event_at.unwrap_or(end).clamp(self.now, end);
            // No link is faster than `WITHIN_ZONE`, so that nothing that is sent within the window arrives
            // before its end.
            let until = from.plus(WITHIN_ZONE).min(end);
            self.run_window(until)?;
            self.now = until;
        }
        Ok(())
    }

    /// Time of the next event at discovery.
    fn discovery_due(&self) -> Option<Micros> {
        let input = self.discovery_inputs.first_key_value().map(|((at, _, _), _)| *at);
        input.into_iter().chain(self.discovery.due()).min()
    }

    /// Runs all shards and discovery up to a time.
    fn run_window(&mut self, until: Micros) -> Result<(), String> {
        for shard in 0..self.shards.len() {
            let arrivals = std::mem::take(&mut self.arrivals[shard]);
            self.shards[shard].send_command(Command::Run(until, arrivals))?;
        }
        self.run_discovery(until);
        for shard in 0..self.shards.len() {
            self.collect(shard)?;
        }
        Ok(())
    }

    /// Takes the results of a command from a shard.
    fn collect(&mut self, shard: usize) -> Result<(), String> {
        let Reply::Ran { departures, adoptions, next_event_at } = self.shards[shard].receive_reply()? else {
            return Err("a shard answered a run command with a reply of another kind".into());
        };
        self.next_event_at[shard] = next_event_at;
        adoptions.into_iter().for_each(|adoption| self.change_times.on_adoption(adoption));
        departures.into_iter().for_each(|departure| self.route_departure(departure));
        Ok(())
    }

    /// Schedules the arrival of an outbound message, unless the network loses it.
    fn route_departure(&mut self, departure: Departure) {
        let Departure { at, from, number, outbound } = departure;
        let (node, order) = (Node::Forwarder(from), (Node::Forwarder(from), number));
        match outbound {
            Outbound::Datagram(to, bytes) => {
                if let Some(delay) = self.links.delay(node, Node::Forwarder(to)) {
                    let arrival = Arrival { at: at.plus(delay), to, order, input: Input::Datagram(bytes) };
                    let shard = self.shard_of(to);
                    self.arrivals[shard].push(arrival);
                }
            }
            Outbound::ListRequest(call, request) => {
                self.send_to_discovery(at, call, number, DiscoveryInput::Request(request))
            }
            Outbound::CloseCall(call) => self.send_to_discovery(at, call, number, DiscoveryInput::Close),
        }
    }

    /// Schedules the arrival of a request at discovery, unless the network loses it.
    fn send_to_discovery(&mut self, at: Micros, call: CallId, number: u64, input: DiscoveryInput) {
        if let Some(delay) = self.links.delay(Node::Forwarder(call.member), Node::Discovery) {
            self.discovery_inputs.insert((at.plus(delay), call, number), input);
        }
    }

    /// Runs discovery up to a time: answers expired watches, and handles the requests that arrived.
    fn run_discovery(&mut self, until: Micros) {
        while let Some(at) = self.discovery_due().filter(|at| *at < until) {
            for (ended_at, answer) in self.discovery.tick(at) {
                self.send_answer(ended_at, answer);
            }
            while let Some(entry) = self.discovery_inputs.first_entry().filter(|entry| entry.key().0 <= at) {
                let ((arrived_at, call, _), input) = entry.remove_entry();
                match input {
                    DiscoveryInput::Close => self.discovery.close(call),
                    DiscoveryInput::Request(request) => {
                        let answer = self.discovery.handle_request(arrived_at, call, request);
                        answer.into_iter().for_each(|answer| self.send_answer(arrived_at, answer));
                    }
                }
            }
        }
    }

    /// Schedules the arrival of an answer of discovery, unless the network loses it.
    fn send_answer(&mut self, at: Micros, answer: Answer) {
        let to = answer.call.member;
        let Some(delay) = self.links.delay(Node::Discovery, Node::Forwarder(to)) else { return };
        self.answer_count += 1;
        let (order, input) = ((Node::Discovery, self.answer_count), Input::Answer(answer.call, answer.body));
        let shard = self.shard_of(to);
        self.arrivals[shard].push(Arrival { at: at.plus(delay), to, order, input });
    }

    /// Readings of all running forwarders, ordered by member.
    ///
    /// # Errors
    /// The thread of a shard has exited.
    pub fn readings(&self) -> Result<Vec<Reading>, String> {
        let mut readings = Vec::new();
        for shard in &self.shards {
            shard.send_command(Command::Read)?;
            if let Reply::Readings(shard_readings) = shard.receive_reply()? {
                readings.extend(shard_readings);
            }
        }
        readings.sort_by_key(|reading: &Reading| reading.member);
        Ok(readings)
    }

    /// Ends the measurement: changes that are not in force anywhere are counted as missing.
    pub fn finish(&mut self) {
        self.change_times.finish(self.now);
    }
}
