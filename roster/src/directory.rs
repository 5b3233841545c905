//! Which endpoints are listed, which of them are in use, and what is to be done about a change.

use crate::active::ActiveDestinations;
use crate::health_store::{HealthDecay, HealthKey, HealthStore};
use crate::table::{Change, Endpoint, EndpointTable, EntryError, RosterId};
use hashbrown::HashMap;
use onyxrock::interface::{
    DestinationId, EntryState, KindId, ListEntry, Micros, ReceiverId, RetainedHealth, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// An endpoint that is gone is kept so long for calls that come late.
const PEER_REST: Micros = Micros(3_000_000);
/// The module forgets an endpoint a minute after it was last used; its number and its destination are kept longer.
const FORGET: Micros = Micros(75_000_000);

/// Destinations that have left the list and are known to have, at most; and those of them that are in use.
const LEFT_MOST: usize = 16_384;

/// What a directory is made with.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// Endpoints that the list may name; while one whole list follows another, both are held.
    pub max_endpoints: usize,
    /// Unused so long, a destination may rest; never, where there is none.
    pub deactivate_after: Option<Micros>,
    /// How what was learned ages.
    pub health_decay: HealthDecay,
    /// Numbers of zones by name.
    pub zones: BTreeMap<String, usize>,
}

/// An endpoint in use.
#[derive(Clone, PartialEq, Debug)]
pub struct ActiveEndpoint {
    /// Its name, by which other processes know it.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its destination.
    pub destination: u64,
    /// Where it is.
    pub address: SocketAddr,
    /// When the list, or an operator, told that it drains or is gone.
    pub draining_since: Option<Micros>,
    /// The list does not name it any more, or as gone.
    pub(crate) gone: bool,
    /// No list names it, and it stays.
    pub(crate) fixed: bool,
    /// Calls that it has and has not told the end of.
    pub calls_in_flight: usize,
    /// It told that nothing may go there before.
    wait_until: Micros,
}

/// Something for the caller to carry out at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointCommand {
    /// It comes into use.
    Open(ReceiverId, SocketAddr),
    /// Nothing new will go there: close the connections that are idle.
    CloseIdle(ReceiverId),
    /// It has another address now.
    AddressChanged(ReceiverId, SocketAddr),
    /// It is in use no more, and nothing is out there.
    Close(ReceiverId),
}

/// What follows from a change: orders for the endpoints in use, and what the module is told of them.
#[derive(Clone, Debug, Default)]
pub struct DirectoryOutput {
    /// In the order in which they are to be carried out.
    pub commands: Vec<EndpointCommand>,
    /// Changed lines of the list.
    pub entries: Vec<ListEntry>,
    /// What is still known of those among them that come into use.
    pub restored_health: Vec<(ReceiverId, RetainedHealth)>,
    /// Those among them that operators have put back: they were restarted, and are cold.
    pub restarted: Vec<ReceiverId>,
}

/// What is known of a destination that wakes.
#[derive(Clone, Debug, Default)]
pub struct ActivatedDestination {
    /// Of itself.
    pub health: RetainedHealth,
    /// Its endpoints, and what is known of each.
    pub endpoints: Vec<(ListEntry, RetainedHealth)>,
}

/// Whether something may be taken on for a destination.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DestinationStatus {
    /// It is listed, or in use.
    Known,
    /// No list has ever been had.
    NoList,
    /// The list does not name it any more, as of late: it may come back.
    RecentlyRemoved,
    /// No list has named it.
    Unknown,
}

/// All endpoints: the listed in a [`Roster`], those in use as [`Peer`]s with numbers that the module knows.
#[derive(Debug)]
pub struct Directory {
    rules: DirectorySettings,
    pub(crate) roster: EndpointTable,
    awake: ActiveDestinations,
    memories: HealthStore,
    pub(crate) peers: BTreeMap<ReceiverId, ActiveEndpoint>,
    /// Numbers by name. One that is gone keeps its number for a while: the module still knows of waits there.
    pub(crate) numbers: HashMap<String, ReceiverId>,
    /// Endpoints that operators have taken out of use, by name: they count as draining, whatever the list says.
    pub(crate) maintenance: BTreeSet<String>,
    /// Endpoints that drain by a list which another process of this forwarder has had, and its version.
    pub(crate) drained_elsewhere: BTreeMap<String, u64>,
    /// What is told of the endpoints that no list names.
    pub(crate) fixed_entries: BTreeMap<ReceiverId, ListEntry>,
    last: u64,
    /// Those that are gone, and when to look whether they can be let go.
    leaving: BTreeSet<(Micros, ReceiverId)>,
    forget: BTreeSet<(Micros, String)>,
    /// Destinations that have left the list, and until when that is known.
    left: HashMap<u64, Micros>,
    left_order: VecDeque<(Micros, u64)>,
    /// Destinations of endpoints that no list names.
    fixed: BTreeSet<u64>,
    had_list: bool,
    /// A whole list is being taken.
    whole: bool,
}

impl Directory {
    /// An empty one.
    #[must_use]
    pub fn new(rules: DirectorySettings) -> Directory {
        Directory {
            // A whole list is taken before what it does not name goes.
            roster: EndpointTable::new(rules.max_endpoints.saturating_mul(2)),
            awake: ActiveDestinations::new(rules.deactivate_after),
            memories: HealthStore::new(rules.health_decay),
            peers: BTreeMap::new(),
            numbers: HashMap::new(),
            maintenance: BTreeSet::new(),
            drained_elsewhere: BTreeMap::new(),
            fixed_entries: BTreeMap::new(),
            last: 0,
            leaving: BTreeSet::new(),
            forget: BTreeSet::new(),
            left: HashMap::new(),
            left_order: VecDeque::new(),
            fixed: BTreeSet::new(),
            had_list: false,
            whole: false,
            rules,
        }
    }

    /// Endpoints that the list names.
    #[must_use]
    pub fn listed_endpoint_count(&self) -> usize {
        self.roster.len()
    }
    /// Destinations that are in use.
    #[must_use]
    pub fn active_destination_count(&self) -> usize {
        self.awake.len()
    }
    /// Endpoints that are in use.
    #[must_use]
    pub fn active_endpoints(&self) -> &BTreeMap<ReceiverId, ActiveEndpoint> {
        &self.peers
    }
    /// One of them.
    #[must_use]
    pub fn active_endpoint(&self, to: ReceiverId) -> Option<&ActiveEndpoint> {
        self.peers.get(&to)
    }
    /// The number of one that is in use, or was a moment ago.
    #[must_use]
    pub fn receiver_id(&self, name: &str) -> Option<ReceiverId> {
        self.numbers.get(name).copied()
    }
    /// The destination of an endpoint that the list names.
    #[must_use]
    pub fn destination_of(&self, name: &str) -> Option<u64> {
        Some(self.roster.get(self.roster.find(name)?)?.destination)
    }
    /// What is kept of those at rest.
    #[must_use]
    pub fn health_store(&self) -> &HealthStore {
        &self.memories
    }
    /// The same, to put back what an earlier process kept.
    pub fn health_store_mut(&mut self) -> &mut HealthStore {
        &mut self.memories
    }
    /// A list has been had.
    #[must_use]
    pub fn has_received_list(&self) -> bool {
        self.had_list
    }

    /// Whether something may be taken on for a destination.
    #[must_use]
    pub fn destination_status(&self, now: Micros, destination: u64) -> DestinationStatus {
        if self.roster.has_destination(destination) || self.awake.contains(destination) {
            DestinationStatus::Known
        } else if !self.had_list {
            DestinationStatus::NoList
        } else if self.left.get(&destination).is_some_and(|until| *until > now) {
            DestinationStatus::RecentlyRemoved
        } else {
            DestinationStatus::Unknown
        }
    }

    /// A call goes to an endpoint.
    pub fn call_started(&mut self, to: ReceiverId) {
        if let Some(p) = self.peers.get_mut(&to) {
            p.calls_in_flight += 1;
        }
    }
    /// A call there has ended.
    pub fn call_ended(&mut self, to: ReceiverId) {
        if let Some(p) = self.peers.get_mut(&to) {
            p.calls_in_flight = p.calls_in_flight.saturating_sub(1);
        }
    }

    /// An endpoint told that nothing may go there before: its name is known by the same number until then.
    pub fn on_retry_after(&mut self, to: ReceiverId, until: Micros) {
        if let Some(p) = self.peers.get_mut(&to) {
            p.wait_until = p.wait_until.max(until);
        }
    }

    /// Endpoints in use that told a wait which is not over, and until when.
    pub fn pending_retry_afters(&self, now: Micros) -> impl Iterator<Item = (&str, Micros)> {
        let waits = self.peers.values().filter(move |p| p.wait_until > now && !p.fixed);
        waits.map(|p| (p.name.as_str(), p.wait_until))
    }

    fn number(&mut self) -> ReceiverId {
        self.last += 1;
        ReceiverId(self.last)
    }

    /// An endpoint that no list names and that stays in use.
    pub fn add_fixed(&mut self, now: Micros, e: &Endpoint<'_>) -> (ReceiverId, ListEntry) {
        let to = self.number();
        self.awake.touch(now, e.destination);
        self.fixed.insert(e.destination);
        let (name, zone) = (e.name.to_owned(), e.zone.to_owned());
        self.numbers.insert(format!("gateway {name}"), to);
        let (destination, address) = (e.destination, e.address);
        let peer = ActiveEndpoint {
            name,
            zone,
            destination,
            address,
            draining_since: None,
            gone: false,
            fixed: true,
            calls_in_flight: 0,
            wait_until: Micros(0),
        };
        self.peers.insert(to, peer);
        let entry = self.entry(to, e);
        self.fixed_entries.insert(to, entry.clone());
        (to, entry)
    }

    /// This one stays, whatever the list says.
    #[must_use]
    pub fn is_fixed(&self, to: ReceiverId) -> bool {
        self.peers.get(&to).is_some_and(|p| p.fixed)
    }

    /// What the module is told of an endpoint: one that is ready and in maintenance, or drains elsewhere, drains.
    pub(crate) fn entry(&self, receiver: ReceiverId, e: &Endpoint<'_>) -> ListEntry {
        let held_out = e.state == EntryState::Ready
            && (self.maintenance.contains(e.name) || self.drained_elsewhere.contains_key(e.name));
        ListEntry {
            receiver,
            state: if held_out { EntryState::Draining } else { e.state },
            destination: DestinationId(e.destination),
            kind: KindId(if e.kind == u16::MAX { usize::MAX } else { usize::from(e.kind) }),
            zone: ZoneId(self.rules.zones.get(e.zone).copied().unwrap_or(usize::MAX)),
            weight: f64::from(e.weight),
        }
    }

    /// A destination is used. What is known of it, if it was at rest.
    pub fn touch(
        &mut self, now: Micros, destination: u64, follows: &mut DirectoryOutput,
    ) -> Option<ActivatedDestination> {
        if !self.awake.touch(now, destination) {
            return None;
        }
        let whole = self.memories.take(now, &HealthKey::Destination(destination));
        let ids: Vec<_> = self.roster.endpoints_of(destination).collect();
        let each = ids.into_iter().filter_map(|id| self.rouse(now, id, follows)).collect();
        Some(ActivatedDestination { health: whole, endpoints: each })
    }

    /// Brings an endpoint into use.
    fn rouse(
        &mut self, now: Micros, id: RosterId, follows: &mut DirectoryOutput,
    ) -> Option<(ListEntry, RetainedHealth)> {
        let e = self.roster.get(id)?;
        let known = self.numbers.get(e.name).copied();
        let to = known.unwrap_or(ReceiverId(self.last + 1));
        let entry = self.entry(to, &e);
        // One that drained meanwhile has no time left in which a call might go.
        let drains = (entry.state != EntryState::Ready).then_some(Micros(0));
        let (name, zone) = (e.name.to_owned(), e.zone.to_owned());
        let (destination, address) = (e.destination, e.address);
        let peer = ActiveEndpoint {
            name: name.clone(),
            zone,
            destination,
            address,
            draining_since: drains,
            gone: false,
            fixed: false,
            calls_in_flight: 0,
            wait_until: Micros(0),
        };
        if known.is_none() {
            self.last += 1;
            self.numbers.insert(name.clone(), to);
        }
        match self.peers.get_mut(&to) {
            // It had not been let go yet.
            Some(p) => {
                if p.address != address {
                    follows.commands.push(EndpointCommand::AddressChanged(to, address));
                }
                *p = ActiveEndpoint { calls_in_flight: p.calls_in_flight, wait_until: p.wait_until, ..peer };
            }
            None => {
                self.peers.insert(to, peer);
                follows.commands.push(EndpointCommand::Open(to, address));
            }
        }
        Some((entry, self.memories.take(now, &HealthKey::Endpoint(name.into()))))
    }

    /// A whole list follows.
    pub fn begin_complete_list(&mut self) {
        self.whole = true;
        self.roster.begin_complete_list();
    }

    /// Takes an entry of the list.
    ///
    /// # Errors
    /// [`Refused`]: it has no place; all else is as before.
    pub fn put(
        &mut self, now: Micros, e: Endpoint<'_>, follows: &mut DirectoryOutput,
    ) -> Result<(), EntryError> {
        if !self.whole && self.roster.len() >= self.rules.max_endpoints && self.roster.find(e.name).is_none()
        {
            return Err(EntryError::Full);
        }
        if let Some(change) = self.roster.put(e)? {
            self.changed(now, change, follows);
        }
        Ok(())
    }

    /// The entries have ended: looks at so many of those that are held for what a whole list did not name. True once
    /// all have been looked at.
    pub fn sweep(&mut self, now: Micros, most: usize, follows: &mut DirectoryOutput) -> bool {
        let mut gone = Vec::new();
        let done = self.roster.sweep(most, &mut gone);
        self.whole &= !done;
        for change in gone {
            self.changed(now, change, follows);
        }
        done
    }

    /// A list has been taken to its end.
    pub fn finish_list(&mut self) {
        self.had_list = true;
    }

    fn changed(&mut self, now: Micros, change: Change, follows: &mut DirectoryOutput) {
        let (Change::Added(id) | Change::Changed(id) | Change::Gone(id)) = change;
        let Some(e) = self.roster.get(id) else { return };
        let (destination, to) = (e.destination, self.numbers.get(e.name).copied());
        let peer = to.and_then(|to| Some((to, self.peers.get(&to)?)));
        match (change, peer) {
            // What the module knows of it belongs to the destination that it had.
            (_, Some((to, p))) if p.destination != destination && !p.fixed => {
                let (before, name) = (p.destination, p.name.clone());
                // All but its wait, which was told by whoever is there.
                let wait = RetainedHealth { wait_until: p.wait_until, ..RetainedHealth::default() };
                self.memories.store(now, HealthKey::Endpoint(name.as_str().into()), wait);
                self.leave(now, to, follows);
                self.numbers.remove(&name);
                if !self.roster.has_destination(before) {
                    self.departs(now, before);
                }
                if change == Change::Gone(id) {
                    self.roster.remove(id);
                } else {
                    self.added(now, id, destination, follows);
                }
            }
            (Change::Gone(_), peer) => {
                let to = peer.map(|(to, _)| to);
                self.roster.remove(id);
                if let Some(to) = to {
                    self.leave(now, to, follows);
                }
                if !self.roster.has_destination(destination) {
                    self.departs(now, destination);
                }
            }
            (Change::Changed(_), Some((to, p))) if !p.gone => {
                let entry = self.entry(to, &e);
                let (address, zone) = (e.address, e.zone.to_owned());
                let Some(p) = self.peers.get_mut(&to) else { return };
                if p.address != address {
                    p.address = address;
                    follows.commands.push(EndpointCommand::AddressChanged(to, address));
                }
                p.zone = zone;
                p.draining_since =
                    if entry.state == EntryState::Ready { None } else { p.draining_since.or(Some(now)) };
                follows.entries.push(entry);
            }
            _ => self.added(now, id, destination, follows),
        }
    }

    /// It is new to a destination: brought into use if that is.
    fn added(&mut self, now: Micros, id: RosterId, destination: u64, follows: &mut DirectoryOutput) {
        self.left.remove(&destination);
        if self.awake.contains(destination)
            && let Some((entry, repute)) = self.rouse(now, id, follows)
        {
            // A route may come back under its name while others of its destination are in use.
            if repute != RetainedHealth::default() {
                follows.restored_health.push((entry.receiver, repute));
            }
            follows.entries.push(entry);
        }
    }

    /// An endpoint in use is gone.
    fn leave(&mut self, now: Micros, to: ReceiverId, follows: &mut DirectoryOutput) {
        let Some(p) = self.peers.get_mut(&to).filter(|p| !p.gone && !p.fixed) else { return };
        p.draining_since.get_or_insert(now);
        p.gone = true;
        follows.commands.push(EndpointCommand::CloseIdle(to));
        follows.entries.push(ListEntry {
            receiver: to,
            state: EntryState::Gone,
            destination: DestinationId(p.destination),
            kind: KindId(usize::MAX),
            zone: ZoneId(usize::MAX),
            weight: 0.0,
        });
        self.leaving.insert((now.plus(PEER_REST), to));
    }

    /// The last endpoint of a destination has left the list.
    fn departs(&mut self, now: Micros, destination: u64) {
        let until = now.plus(FORGET);
        self.left.insert(destination, until);
        self.left_order.push_back((until, destination));
        // Of many that go at once the first are known no more; those in use stay until they rest.
        let mut looks = self.left_order.len().saturating_sub(LEFT_MOST).min(2);
        while looks > 0
            && let Some((until, destination)) = self.left_order.pop_front()
        {
            looks -= 1;
            if self.awake.contains(destination) {
                self.left_order.push_back((until, destination));
            } else if self.left.get(&destination) == Some(&until) {
                self.left.remove(&destination);
            }
        }
    }

    /// Lets go of endpoints that are gone: of the endpoint once nothing is out there and no call may still ask whether
    /// it may be written, of the number once the module has forgotten it too.
    pub fn release_gone_endpoints(&mut self, now: Micros, follows: &mut DirectoryOutput) {
        while let Some((at, to)) = self.leaving.first().copied().filter(|l| l.0 <= now) {
            self.leaving.remove(&(at, to));
            let Some(p) = self.peers.get(&to).filter(|p| p.gone) else { continue };
            if p.calls_in_flight > 0 {
                self.leaving.insert((now.plus(PEER_REST), to));
                continue;
            }
            if let Some(p) = self.peers.remove(&to) {
                follows.commands.push(EndpointCommand::Close(to));
                self.forget.insert((now.plus(FORGET).max(p.wait_until), p.name));
            }
        }
        while self.forget.first().is_some_and(|(t, _)| *t <= now) {
            let Some((_, name)) = self.forget.pop_first() else { break };
            // It may be back meanwhile.
            if self.numbers.get(&name).is_some_and(|to| !self.peers.contains_key(to)) {
                self.numbers.remove(&name);
            }
        }
    }

    /// A destination that may rest, if its module can do without it.
    pub fn next_idle(&mut self, now: Micros) -> Option<u64> {
        while let Some((until, destination)) = self.left_order.front().copied().filter(|l| l.0 <= now) {
            self.left_order.pop_front();
            if self.left.get(&destination) != Some(&until) {
                continue;
            }
            if self.awake.contains(destination) {
                // What is held for it may not have ended yet.
                self.departs(now, destination);
                return Some(destination);
            }
            self.left.remove(&destination);
        }
        loop {
            let destination = self.awake.next_idle(now)?;
            if !self.fixed.contains(&destination) {
                return Some(destination);
            }
        }
    }

    /// The module has forgotten a destination, and this is what it was like.
    pub fn deactivate(
        &mut self, now: Micros, destination: u64, whole: RetainedHealth,
        each: &[(ReceiverId, RetainedHealth)], follows: &mut DirectoryOutput,
    ) {
        self.memories.store(now, HealthKey::Destination(destination), whole);
        for (to, repute) in each {
            if let Some(p) = self.peers.get(to) {
                self.memories.store(now, HealthKey::Endpoint(p.name.as_str().into()), *repute);
            }
        }
        for e in self.roster.endpoints_of(destination).filter_map(|id| self.roster.get(id)) {
            if let Some(to) = self.numbers.remove(e.name)
                && self.peers.remove(&to).is_some()
            {
                follows.commands.push(EndpointCommand::Close(to));
            }
        }
        self.awake.deactivate(now, destination);
        if !self.roster.has_destination(destination) {
            self.left.remove(&destination);
        }
    }
}
