//! One hollow forwarder: the crates that a daemon runs for control, combined as in the daemon.

use super::change_times::Adoption;
use super::discovery::{CallId, ListRequest, answer_bytes, endpoint_added_by};
use super::follower::{Action, Follower};
use super::measurement::{Reading, Usage};
use super::wire::{self, Audience};
use async_channel::{Receiver, bounded};
use onyxrock::core::{Ledger, LedgerAction, NameIndex, Sending, add_probe_class};
use onyxrock::interface::{ClassSettings, Effect, Event, KindSettings, Micros, Settings};
use onyxrock_config::duties::DutySettings;
use onyxrock_config::list::{EndpointList, ListedEndpoint};
use onyxrock_duties::{Epoch, Member, StoredBound};
use onyxrock_membership::{Membership, MembershipSettings, Output};
use onyxrock_roster::{Directory, DirectoryOutput, DirectorySettings, Endpoint, HealthDecay};
use onyxrock_sharing::{DutyRunner, FromPeers, ListRole, ToList, ToPeers, detector_timing};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Number of endpoints that a list may contain: more than the list has at the size expected in two years.
pub const MAX_LISTED_ENDPOINTS: usize = 2_000_000;
/// Interval of polls of the list, as the lab's daemons are configured.
const LIST_POLL_INTERVAL: Micros = Micros(10_000_000);
/// Time that a call for the list waits for changes: half of `LIST_POLL_INTERVAL`.
const WATCH_TIMEOUT: Micros = Micros(5_000_000);
/// Time after which messages of the only class are given up.
const GIVE_UP_AFTER: Micros = Micros(5_000_000);

/// The configuration of every forwarder of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Members, voters, keys and the duration of leases.
    pub duties: DutySettings,
    /// The list that a process finds cached at its start.
    pub initial_list: Arc<EndpointList>,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// An input of a forwarder.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram arrived.
    Datagram(Vec<u8>),
    /// Discovery answered a call.
    Answer(CallId, Arc<[u8]>),
    /// The forwarder's timer fired.
    Timer,
}

/// Something that a forwarder sends.
#[derive(Clone, Debug)]
pub enum Outbound {
    /// A datagram to another forwarder.
    Datagram(Member, Vec<u8>),
    /// A request to discovery.
    ListRequest(CallId, ListRequest),
    /// The close of a call to discovery.
    CloseCall(CallId),
}

/// The results of a step.
#[derive(Debug, Default)]
pub struct StepResults {
    /// What the forwarder sends now.
    pub outbound: Vec<Outbound>,
    /// Lists that came into force.
    pub adoptions: Vec<Adoption>,
}

/// One forwarder that takes no messages.
pub struct Forwarder {
    member: Member,
    names: NameIndex,
    membership: Membership,
    duty_runner: DutyRunner,
    ledger: Ledger,
    directory: Directory,
    follower: Follower,
    to_peers: Receiver<ToPeers>,
    to_list: Receiver<ToList>,
    usage: Usage,
}

/// The settings of the core of one of `members` senders.
fn core_settings(members: u16, member: Member) -> Settings {
    let class = ClassSettings {
        target_latency: Micros(800_000),
        give_up_after: GIVE_UP_AFTER,
        effect: Effect::Safe,
        value: 1.0,
        late_value_share: 0.1,
        ..ClassSettings::default()
    };
    Settings {
        classes: vec![class],
        kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
        slots: 24,
        max_held: 450,
        max_attempts: 12,
        sender_count: u32::from(members),
        sender_index: u32::from(member.0),
        subscribe_to_list: true,
        list_poll_interval: LIST_POLL_INTERVAL,
        peer_hints: true,
        ..Settings::default()
    }
}

/// An entry of the list in the form that the directory takes.
fn directory_endpoint(listed: &ListedEndpoint) -> Endpoint<'_> {
    Endpoint {
        name: &listed.name,
        address: listed.address,
        zone: &listed.zone,
        kind: u16::try_from(listed.entry.kind.0).unwrap_or(u16::MAX),
        destination: listed.entry.destination.0,
        weight: listed.entry.weight as f32,
        state: listed.entry.state,
        started_ms: listed.started_ms,
    }
}

/// An empty directory with the settings that every forwarder uses.
#[must_use]
pub fn directory() -> Directory {
    let (health_decay, zones) = (HealthDecay::default(), BTreeMap::new());
    Directory::new(DirectorySettings {
        max_endpoints: MAX_LISTED_ENDPOINTS,
        deactivate_after: None,
        health_decay,
        zones,
    })
}

/// Applies a list to a directory.
pub fn apply_list(directory: &mut Directory, now: Micros, list: &EndpointList) -> DirectoryOutput {
    let mut output = DirectoryOutput::default();
    if list.complete {
        directory.begin_complete_list();
    }
    for listed in &list.entries {
        // An endpoint that does not fit is left out; `Forwarder::adopt_list` detects that it is missing.
        let _ = directory.put(now, directory_endpoint(listed), &mut output);
    }
    directory.sweep(now, usize::MAX, &mut output);
    directory.finish_list();
    output
}

impl Forwarder {
    /// Starts a process. `start_number` counts the starts of this member, `stored_epoch` is the last epoch
    /// that its voter issued.
    #[must_use]
    pub fn start(
        settings: &ClusterSettings, member: Member, start_number: u64, stored_epoch: Rc<Cell<Epoch>>,
        now: Micros,
    ) -> Forwarder {
        let duties = &settings.duties;
        let members = duties.members.len() as u16;
        let entropy = settings.seed ^ (u64::from(member.0) << 40) ^ start_number;
        let membership_settings = MembershipSettings {
            me: member,
            member_count: members,
            keys: duties.keys.clone(),
            timing: detector_timing(duties.lease_duration),
        };
        let membership = Membership::new(membership_settings, now.0 + start_number, entropy, now);
        let mut core_settings = core_settings(members, member);
        let message_probe_delay = Micros(duties.lease_duration.0 * 3);
        let class =
            add_probe_class(&mut core_settings, Micros(duties.probe.timeout.0 * 2), message_probe_delay);
        let mut ledger = Ledger::new(core_settings, NameIndex::default(), Default::default(), entropy);
        let (to_peers_sender, to_peers) = bounded((4 * usize::from(members)).max(1024));
        let (to_list_sender, to_list) = bounded(64);
        let stored_bound = match stored_epoch.get() {
            0 => StoredBound::Lost,
            epoch => StoredBound::Known(epoch),
        };
        let store_epoch = Box::new(move |epoch| {
            stored_epoch.set(epoch);
            true
        });
        let boot = membership.boot_id();
        let duty_runner = DutyRunner::new(
            duties,
            member,
            boot,
            now,
            class,
            to_peers_sender,
            to_list_sender,
            stored_bound,
            store_epoch,
        );
        let mut directory = directory();
        apply_list(&mut directory, now, &settings.initial_list);
        ledger.on_list_event(now, Event::ListChanges(Vec::new()));
        let follower = Follower::new(member, WATCH_TIMEOUT, settings.initial_list.generation);
        let (names, usage) = (NameIndex::default(), Usage::default());
        Forwarder {
            member,
            names,
            membership,
            duty_runner,
            ledger,
            directory,
            follower,
            to_peers,
            to_list,
            usage,
        }
    }

    /// When [`Input::Timer`] is due.
    #[must_use]
    pub fn due(&self) -> Micros {
        let fixed = [self.membership.due(), self.duty_runner.due()];
        let optional = self.ledger.decide_due().into_iter().chain(self.follower.due());
        fixed.into_iter().chain(optional).min().unwrap_or(Micros(u64::MAX))
    }

    /// Sets the usage to that of the member's earlier processes.
    pub fn set_usage(&mut self, earlier: Usage) {
        self.usage = earlier;
    }

    /// Adds processor time that was spent on this forwarder.
    pub fn add_cpu(&mut self, seconds: f64) {
        self.usage.cpu_s += seconds;
    }

    /// The forwarder's current state and usage.
    #[must_use]
    pub fn reading(&self) -> Reading {
        Reading {
            member: self.member,
            usage: self.usage,
            alive: self.membership.alive().len(),
            owns_list: matches!(self.follower.role(), ListRole::Owner(_)),
            follows_list_owner: self.follower.role() == ListRole::Follower,
        }
    }

    /// Handles an input and everything that follows from it.
    pub fn step(&mut self, now: Micros, input: Input, results: &mut StepResults) {
        let mut actions = Vec::new();
        self.usage.wakes += 1;
        match input {
            Input::Datagram(bytes) => {
                self.usage.datagrams += 1;
                self.usage.datagram_bytes += bytes.len() as u64;
                // The membership counts rejected datagrams itself.
                let _ = self.membership.receive(now, &bytes);
            }
            Input::Answer(call, body) => {
                self.usage.discovery_bytes += answer_bytes(&body);
                self.follower.on_answer(now, call, &body, &self.names, &mut actions);
            }
            Input::Timer => {}
        }
        self.membership.tick(now);
        loop {
            let membership_active = self.process_membership_outputs(now, results);
            let list_active = self.process_list_actions(now, &mut actions, results);
            let list_requested = self.decide(now);
            let messages_sent = self.send_duty_messages();
            if !(membership_active || list_active || list_requested || messages_sent) {
                break;
            }
        }
    }

    /// Sends datagrams, and hands the messages of other forwarders to the duties. Returns true if there was
    /// any output.
    fn process_membership_outputs(&mut self, now: Micros, results: &mut StepResults) -> bool {
        let (mut progressed, mut view_changed) = (false, false);
        while let Some(output) = self.membership.poll() {
            progressed = true;
            match output {
                Output::Datagram { to, bytes } => {
                    self.usage.datagrams += 1;
                    self.usage.datagram_bytes += bytes.len() as u64;
                    self.usage.sent_bytes += bytes.len() as u64;
                    results.outbound.push(Outbound::Datagram(to, bytes));
                }
                Output::Payload { from, bytes } => {
                    if let Some(message) = wire::decode(from, &bytes) {
                        self.duty_runner.receive(now, message);
                    }
                }
                Output::Up(_) | Output::Down(_) => view_changed = true,
            }
        }
        if view_changed {
            self.duty_runner.receive(now, FromPeers::Alive(self.membership.alive()));
        }
        progressed
    }

    /// Handles messages about the list and carries out the follower's actions. Returns true if there was any
    /// action.
    fn process_list_actions(
        &mut self, now: Micros, actions: &mut Vec<Action>, results: &mut StepResults,
    ) -> bool {
        while self.follower.reads_messages()
            && let Ok(message) = self.to_list.try_recv()
        {
            self.follower.on_list_message(message, actions);
        }
        self.follower.advance(now, actions);
        let progressed = !actions.is_empty();
        for action in actions.drain(..) {
            match action {
                Action::Request(call, request) => {
                    self.usage.discovery_bytes += request.bytes();
                    results.outbound.push(Outbound::ListRequest(call, request));
                }
                Action::CloseCall(call) => results.outbound.push(Outbound::CloseCall(call)),
                Action::Broadcast(update) => {
                    if let Some((_, payload)) = wire::encode(ToPeers::ListUpdate(update)) {
                        broadcast(&mut self.membership, &payload);
                    }
                }
                Action::Adopt(list) => self.adopt_list(now, &list, results),
                Action::Failed => {
                    self.duty_runner.set_list_generation(None);
                    self.ledger.on_list_event(now, Event::ListFailed);
                }
            }
        }
        progressed
    }

    /// Brings a list into force. It counts as in force if the directory contains the endpoint that its
    /// generation added.
    fn adopt_list(&mut self, now: Micros, list: &EndpointList, results: &mut StepResults) {
        let output = apply_list(&mut self.directory, now, list);
        if !output.entries.is_empty() {
            self.ledger.on_list_event(now, Event::CachedEntries(output.entries));
        }
        self.duty_runner.set_list_generation(Some(list.generation));
        self.ledger.on_list_event(now, Event::ListChanges(Vec::new()));
        let (name, destination) = endpoint_added_by(list.generation);
        if self.directory.destination_of(&name) == Some(destination) {
            results.adoptions.push(Adoption { at: now, member: self.member, generation: list.generation });
        }
    }

    /// One turn of the duties and the core. Returns true if the core requests the list.
    fn decide(&mut self, now: Micros) -> bool {
        self.duty_runner.tick(now, &mut self.ledger);
        let mut ledger_actions = Vec::new();
        self.ledger.decide(now, Sending::Allowed, &mut ledger_actions);
        let follow = ledger_actions.iter().any(|action| matches!(action, LedgerAction::RequestList));
        if follow {
            self.follower.follow();
        }
        follow
    }

    /// Sends the duties' messages to other forwarders. Returns true if there was any.
    fn send_duty_messages(&mut self) -> bool {
        let mut progressed = false;
        while let Ok(message) = self.to_peers.try_recv() {
            progressed = true;
            match wire::encode(message) {
                Some((Audience::One(to), payload)) => drop(self.membership.send(to, &payload)),
                Some((Audience::All, payload)) => broadcast(&mut self.membership, &payload),
                None => {}
            }
        }
        progressed
    }
}

/// Sends a payload to all other members that are seen alive.
fn broadcast(membership: &mut Membership, payload: &[u8]) {
    let me = membership.me();
    for to in membership.alive().into_iter().filter(|member| *member != me) {
        membership.send(to, payload);
    }
}
