//! One hollow forwarder: the crates of a daemon's control, put together as the daemon does.

use super::discovery::{Ask, Call, added_by, answer_bytes};
use super::follower::{Action, Follower};
use super::in_force::Adopted;
use super::meter::{Reading, Usage};
use super::wire::{self, Audience};
use async_channel::{Receiver, bounded};
use onyxrock::core::{Ledger, LedgerAction, NameIndex, add_probe_class};
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

/// Endpoints that a list may name, over those of the two-year size.
pub const LISTED_MOST: usize = 2_000_000;
/// As the lab's daemons are configured.
const ASK_EVERY: Micros = Micros(10_000_000);
/// A call for the list waits for half of that.
const WATCH: Micros = Micros(5_000_000);
const GIVE_UP: Micros = Micros(5_000_000);

/// What every forwarder of a cluster is configured with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Members, voters, keys and the length of leases.
    pub duties: DutySettings,
    /// The list that a start finds, which discovery had told before.
    pub known: Arc<EndpointList>,
    /// Of all chance.
    pub seed: u64,
}

/// What happens to a forwarder.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram came.
    Datagram(Vec<u8>),
    /// Discovery answered.
    Answer(Call, Arc<[u8]>),
    /// Time has passed.
    Timer,
}

/// What a forwarder sends.
#[derive(Clone, Debug)]
pub enum Sent {
    /// To another forwarder.
    Datagram(Member, Vec<u8>),
    /// To discovery.
    Ask(Call, Ask),
    /// To discovery: a call is closed.
    Close(Call),
}

/// What came of a step.
#[derive(Debug, Default)]
pub struct Results {
    /// What leaves now.
    pub sent: Vec<Sent>,
    /// Lists that came into force.
    pub adopted: Vec<Adopted>,
}

/// One forwarder without messages.
pub struct Forwarder {
    member: Member,
    names: NameIndex,
    membership: Membership,
    probing: DutyRunner,
    ledger: Ledger,
    directory: Directory,
    follower: Follower,
    to_peers: Receiver<ToPeers>,
    to_list: Receiver<ToList>,
    usage: Usage,
}

/// The settings of the core, of one of so many senders.
fn settings(members: u16, member: Member) -> Settings {
    let class = ClassSettings {
        target_latency: Micros(800_000),
        give_up_after: GIVE_UP,
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
        list_poll_interval: ASK_EVERY,
        peer_hints: true,
        ..Settings::default()
    }
}

/// An entry of the list, as the directory takes it.
fn endpoint(listed: &ListedEndpoint) -> Endpoint<'_> {
    Endpoint {
        name: &listed.name,
        address: listed.address,
        zone: &listed.zone,
        kind: u16::try_from(listed.entry.kind.0).unwrap_or(u16::MAX),
        destination: listed.entry.destination.0,
        weight: listed.entry.weight as f32,
        state: listed.entry.state,
    }
}

/// A directory as every forwarder has it, with nothing listed.
#[must_use]
pub fn directory() -> Directory {
    let (terms, zones) = (HealthDecay::default(), BTreeMap::new());
    Directory::new(DirectorySettings {
        max_endpoints: LISTED_MOST,
        deactivate_after: None,
        health_decay: terms,
        zones,
    })
}

/// Takes a list into a directory.
pub fn take(directory: &mut Directory, now: Micros, list: &EndpointList) -> DirectoryOutput {
    let mut follows = DirectoryOutput::default();
    if list.complete {
        directory.begin_complete_list();
    }
    for listed in &list.entries {
        // What finds no place is left out, and `Forwarder::take` sees that it is missing.
        let _ = directory.put(now, endpoint(listed), &mut follows);
    }
    directory.sweep(now, usize::MAX, &mut follows);
    directory.finish_list();
    follows
}

impl Forwarder {
    /// A process that starts now. `life` counts the starts of all, `kept` is what its voter made last.
    #[must_use]
    pub fn start(setup: &Setup, member: Member, life: u64, kept: Rc<Cell<Epoch>>, now: Micros) -> Forwarder {
        let duties = &setup.duties;
        let members = duties.members.len() as u16;
        let entropy = setup.seed ^ (u64::from(member.0) << 40) ^ life;
        let seen = MembershipSettings {
            me: member,
            member_count: members,
            keys: duties.keys.clone(),
            timing: detector_timing(duties.lease_duration),
        };
        let membership = Membership::new(seen, now.0 + life, entropy, now);
        let mut settings = settings(members, member);
        let hold_back = Micros(duties.lease_duration.0 * 3);
        let class = add_probe_class(&mut settings, Micros(duties.probe.timeout.0 * 2), hold_back);
        let mut ledger = Ledger::new(settings, NameIndex::default(), Default::default(), entropy);
        let (peers, to_peers) = bounded((4 * usize::from(members)).max(1024));
        let (list, to_list) = bounded(64);
        let memory = match kept.get() {
            0 => StoredBound::Lost,
            epoch => StoredBound::Known(epoch),
        };
        let keep = Box::new(move |epoch| {
            kept.set(epoch);
            true
        });
        let boot = membership.boot_id();
        let probing = DutyRunner::new(duties, member, boot, now, class, peers, list, memory, keep);
        let mut directory = directory();
        take(&mut directory, now, &setup.known);
        ledger.on_list_event(now, Event::ListChanges(Vec::new()));
        let follower = Follower::new(member, WATCH, setup.known.generation);
        let (names, usage) = (NameIndex::default(), Usage::default());
        Forwarder {
            member,
            names,
            membership,
            probing,
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
        let fixed = [self.membership.due(), self.probing.due()];
        let open = self.ledger.decide_due().into_iter().chain(self.follower.due());
        fixed.into_iter().chain(open).min().unwrap_or(Micros(u64::MAX))
    }

    /// What it has used is added to what an earlier process of it had.
    pub fn add_usage(&mut self, earlier: Usage) {
        self.usage = earlier;
    }

    /// So much of the processor was used for it.
    pub fn add_cpu(&mut self, seconds: f64) {
        self.usage.cpu_s += seconds;
    }

    /// How it is.
    #[must_use]
    pub fn reading(&self) -> Reading {
        Reading {
            member: self.member,
            usage: self.usage,
            alive: self.membership.alive().len(),
            owns_list: matches!(self.follower.role(), ListRole::Owner(_)),
            told_list: self.follower.role() == ListRole::Follower,
        }
    }

    /// Takes what happened, and does all that follows.
    pub fn step(&mut self, now: Micros, input: Input, results: &mut Results) {
        let mut actions = Vec::new();
        self.usage.wakes += 1;
        match input {
            Input::Datagram(bytes) => {
                self.usage.datagrams += 1;
                self.usage.datagram_bytes += bytes.len() as u64;
                // Refused datagrams are counted by the membership.
                let _ = self.membership.receive(now, &bytes);
            }
            Input::Answer(call, body) => {
                self.usage.discovery_bytes += answer_bytes(&body);
                self.follower.answered(now, call, &body, &self.names, &mut actions);
            }
            Input::Timer => {}
        }
        self.membership.tick(now);
        loop {
            let heard = self.carry_out_membership(now, results);
            let acted = self.carry_out_list(now, &mut actions, results);
            let decided = self.decide(now);
            let told = self.tell_others();
            if !(heard || acted || decided || told) {
                break;
            }
        }
    }

    /// Sends datagrams, and hands what others told to the actors. True if there was any.
    fn carry_out_membership(&mut self, now: Micros, results: &mut Results) -> bool {
        let (mut any, mut view_changed) = (false, false);
        while let Some(output) = self.membership.poll() {
            any = true;
            match output {
                Output::Datagram { to, bytes } => {
                    self.usage.datagrams += 1;
                    self.usage.datagram_bytes += bytes.len() as u64;
                    self.usage.sent_bytes += bytes.len() as u64;
                    results.sent.push(Sent::Datagram(to, bytes));
                }
                Output::Payload { from, bytes } => {
                    if let Some(message) = wire::decode(from, &bytes) {
                        self.probing.receive(now, message);
                    }
                }
                Output::Up(_) | Output::Down(_) => view_changed = true,
            }
        }
        if view_changed {
            self.probing.receive(now, FromPeers::Alive(self.membership.alive()));
        }
        any
    }

    /// Follows the list. True if something was done.
    fn carry_out_list(&mut self, now: Micros, actions: &mut Vec<Action>, results: &mut Results) -> bool {
        while self.follower.listens()
            && let Ok(message) = self.to_list.try_recv()
        {
            self.follower.take(message, &self.names, actions);
        }
        self.follower.advance(now, actions);
        let any = !actions.is_empty();
        for action in actions.drain(..) {
            match action {
                Action::Ask(call, ask) => {
                    self.usage.discovery_bytes += ask.bytes();
                    results.sent.push(Sent::Ask(call, ask));
                }
                Action::Close(call) => results.sent.push(Sent::Close(call)),
                Action::Tell(news) => {
                    if let Some((_, payload)) = wire::encode(ToPeers::ListUpdate(news)) {
                        send_all(&mut self.membership, &payload);
                    }
                }
                Action::Take(list) => self.take(now, &list, results),
                Action::Failed => {
                    self.probing.set_list_generation(None);
                    self.ledger.on_list_event(now, Event::ListFailed);
                }
            }
        }
        any
    }

    /// Takes a list. It is in force if the directory has what the version added.
    fn take(&mut self, now: Micros, list: &EndpointList, results: &mut Results) {
        let follows = take(&mut self.directory, now, list);
        if !follows.entries.is_empty() {
            self.ledger.on_list_event(now, Event::CachedEntries(follows.entries));
        }
        self.probing.set_list_generation(Some(list.generation));
        self.ledger.on_list_event(now, Event::ListChanges(Vec::new()));
        let (name, destination) = added_by(list.generation);
        if self.directory.destination_of(&name) == Some(destination) {
            results.adopted.push(Adopted { at: now, member: self.member, generation: list.generation });
        }
    }

    /// One turn of the actor round the core. True if it wants the list followed.
    fn decide(&mut self, now: Micros) -> bool {
        self.probing.tick(now, &mut self.ledger);
        let mut steps = Vec::new();
        self.ledger.decide(now, true, &mut steps);
        let follow = steps.iter().any(|step| matches!(step, LedgerAction::RequestList));
        if follow {
            self.follower.follow();
        }
        follow
    }

    /// Sends what the duties have for other forwarders. True if there was any.
    fn tell_others(&mut self) -> bool {
        let mut any = false;
        while let Ok(message) = self.to_peers.try_recv() {
            any = true;
            match wire::encode(message) {
                Some((Audience::One(to), payload)) => drop(self.membership.send(to, &payload)),
                Some((Audience::All, payload)) => send_all(&mut self.membership, &payload),
                None => {}
            }
        }
        any
    }
}

fn send_all(membership: &mut Membership, payload: &[u8]) {
    let me = membership.me();
    for to in membership.alive().into_iter().filter(|member| *member != me) {
        membership.send(to, payload);
    }
}
