//! The directory of endpoints: which are listed, which are in use, and what a change of the list means for
//! the latter.

use crate::active::ActiveDestinations;
use crate::address_owners::AddressOwners;
use crate::health_store::{HealthDecay, HealthKey, HealthStore};
use crate::table::{Change, Endpoint, EndpointTable, EntryError, RosterId};
use hashbrown::HashMap;
use onyxrock::interface::{
    DestinationId, EntryState, KindId, ListEntry, Micros, ReceiverId, RetainedHealth, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// An active endpoint that is gone is kept for this long (3 s), for calls that are still to be written or to
/// end.
const GONE_ENDPOINT_RETENTION: Micros = Micros(3_000_000);

/// How long the receiver id of a released endpoint, and a destination that was removed from the list, are
/// remembered (75 s). The core forgets an endpoint one minute after its last use; both are kept longer than
/// that.
const REMOVED_NAME_RETENTION: Micros = Micros(75_000_000);

/// Bound on the remembered destinations that have left the list. Those that are still active are kept beyond
/// it.
const MAX_REMOVED_DESTINATIONS: usize = 16_384;

/// Parameters of a [`Directory`].
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// Bound on the endpoints that the list may name. While one complete list replaces another, both are
    /// held.
    pub max_endpoints: usize,
    /// A destination that has been idle for this long may be deactivated. `None`: destinations stay active.
    pub deactivate_after: Option<Micros>,
    /// How the stored health of deactivated destinations and endpoints ages.
    pub health_decay: HealthDecay,
    /// Zone ids by name.
    pub zones: BTreeMap<String, usize>,
}

/// An endpoint in use.
#[derive(Clone, PartialEq, Debug)]
pub struct ActiveEndpoint {
    /// Name of the endpoint, by which other processes know it.
    pub name: String,
    /// Zone of the endpoint.
    pub zone: String,
    /// Destination that the endpoint serves.
    pub destination: u64,
    /// Current address.
    pub address: SocketAddr,
    /// When the list or an operator marked the endpoint as draining or gone.
    pub draining_since: Option<Micros>,
    /// The list no longer names the endpoint, or names it as gone.
    pub(crate) gone: bool,
    /// The endpoint is configured (a gateway): no list names it, and no list removes it.
    pub(crate) fixed: bool,
    /// Calls that were started and have not been reported as ended.
    pub calls_in_flight: usize,
    /// End of the latest retry-after of the endpoint: no call may be sent before.
    wait_until: Micros,
}

/// A command that the caller carries out for an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointCommand {
    /// The endpoint comes into use at this address.
    Open(ReceiverId, SocketAddr),
    /// No new call will be sent to the endpoint: close its idle connections.
    CloseIdle(ReceiverId),
    /// The endpoint has this address now.
    AddressChanged(ReceiverId, SocketAddr),
    /// The endpoint is no longer in use and has no call in flight.
    Close(ReceiverId),
}

/// What follows from a change: commands for the endpoints in use, and updates for the core.
#[derive(Clone, Debug, Default)]
pub struct DirectoryOutput {
    /// Commands, in the order in which they are to be carried out.
    pub commands: Vec<EndpointCommand>,
    /// Changed list entries of endpoints in use.
    pub entries: Vec<ListEntry>,
    /// Retained health of those in `entries` that come into use.
    pub restored_health: Vec<(ReceiverId, RetainedHealth)>,
    /// Those in `entries` that operators have put back into use: they were restarted, and start cold.
    pub restarted: Vec<ReceiverId>,
}

/// Retained health of a destination that becomes active, and of its endpoints.
#[derive(Clone, Debug, Default)]
pub struct ActivatedDestination {
    /// Health of the destination as a whole.
    pub health: RetainedHealth,
    /// List entry and health of each of its endpoints.
    pub endpoints: Vec<(ListEntry, RetainedHealth)>,
}

/// Whether a message for a destination may be accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DestinationStatus {
    /// The destination is listed or active.
    Known,
    /// No list has been received yet.
    NoList,
    /// The list stopped naming the destination a short time ago: it may come back.
    RecentlyRemoved,
    /// The list does not name the destination, and did not recently.
    Unknown,
}

/// All endpoints: the listed ones in an [`EndpointTable`], and those in use as [`ActiveEndpoint`]s with the
/// receiver ids that the core knows.
#[derive(Debug)]
pub struct Directory {
    settings: DirectorySettings,
    pub(crate) table: EndpointTable,
    active_destinations: ActiveDestinations,
    health_store: HealthStore,
    pub(crate) active_endpoints: BTreeMap<ReceiverId, ActiveEndpoint>,
    /// Receiver ids by endpoint name. An endpoint that is gone keeps its id for a while, because the core
    /// still holds retry-afters under it.
    pub(crate) receiver_ids: HashMap<String, ReceiverId>,
    /// Names of endpoints that operators have taken out of use: they count as draining, whatever the list
    /// says.
    pub(crate) maintenance: BTreeSet<String>,
    /// Endpoints that drain by a list that another process or member has received, with its generation.
    pub(crate) foreign_drains: BTreeMap<String, u64>,
    /// Which endpoints are at an address that several have.
    address_owners: AddressOwners,
    /// List entries that the core has been given for the fixed endpoints.
    pub(crate) fixed_entries: BTreeMap<ReceiverId, ListEntry>,
    last_receiver_id: u64,
    /// Active endpoints that are gone, with the time of the next check whether they can be released.
    release_checks: BTreeSet<(Micros, ReceiverId)>,
    /// Names of released endpoints, with the time at which their receiver ids are forgotten.
    receiver_id_expiry: BTreeSet<(Micros, String)>,
    /// Destinations that have left the list, with the time until which that is remembered.
    removed_destinations: HashMap<u64, Micros>,
    /// The entries of `removed_destinations` in the order of their times; entries that were replaced or
    /// removed there are skipped.
    removed_order: VecDeque<(Micros, u64)>,
    /// Destinations of the fixed endpoints.
    fixed_destinations: BTreeSet<u64>,
    has_received_list: bool,
    /// A complete list is being applied.
    applying_complete_list: bool,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(settings: DirectorySettings) -> Directory {
        Directory {
            // A complete list is added before the endpoints that it does not name are removed.
            table: EndpointTable::new(settings.max_endpoints.saturating_mul(2)),
            active_destinations: ActiveDestinations::new(settings.deactivate_after),
            health_store: HealthStore::new(settings.health_decay),
            active_endpoints: BTreeMap::new(),
            receiver_ids: HashMap::new(),
            maintenance: BTreeSet::new(),
            foreign_drains: BTreeMap::new(),
            address_owners: AddressOwners::default(),
            fixed_entries: BTreeMap::new(),
            last_receiver_id: 0,
            release_checks: BTreeSet::new(),
            receiver_id_expiry: BTreeSet::new(),
            removed_destinations: HashMap::new(),
            removed_order: VecDeque::new(),
            fixed_destinations: BTreeSet::new(),
            has_received_list: false,
            applying_complete_list: false,
            settings,
        }
    }

    /// Number of endpoints that the list names.
    #[must_use]
    pub fn listed_endpoint_count(&self) -> usize {
        self.table.len()
    }
    /// Number of destinations in use.
    #[must_use]
    pub fn active_destination_count(&self) -> usize {
        self.active_destinations.len()
    }
    /// Endpoints in use.
    #[must_use]
    pub fn active_endpoints(&self) -> &BTreeMap<ReceiverId, ActiveEndpoint> {
        &self.active_endpoints
    }
    /// The endpoint in use with this receiver id.
    #[must_use]
    pub fn active_endpoint(&self, receiver: ReceiverId) -> Option<&ActiveEndpoint> {
        self.active_endpoints.get(&receiver)
    }
    /// The receiver id of an endpoint that is in use or was released a short time ago.
    #[must_use]
    pub fn receiver_id(&self, name: &str) -> Option<ReceiverId> {
        self.receiver_ids.get(name).copied()
    }
    /// The destination of an endpoint that the list names.
    #[must_use]
    pub fn destination_of(&self, name: &str) -> Option<u64> {
        Some(self.table.get(self.table.find(name)?)?.destination)
    }
    /// Stored health of deactivated destinations and their endpoints.
    #[must_use]
    pub fn health_store(&self) -> &HealthStore {
        &self.health_store
    }
    /// Mutable access to the stored health, to restore what an earlier process saved.
    pub fn health_store_mut(&mut self) -> &mut HealthStore {
        &mut self.health_store
    }
    /// Whether a list has been received.
    #[must_use]
    pub fn has_received_list(&self) -> bool {
        self.has_received_list
    }

    /// Whether a message for a destination may be accepted.
    #[must_use]
    pub fn destination_status(&self, now: Micros, destination: u64) -> DestinationStatus {
        if self.table.has_destination(destination) || self.active_destinations.contains(destination) {
            DestinationStatus::Known
        } else if !self.has_received_list {
            DestinationStatus::NoList
        } else if self.removed_destinations.get(&destination).is_some_and(|until| *until > now) {
            DestinationStatus::RecentlyRemoved
        } else {
            DestinationStatus::Unknown
        }
    }

    /// Records that a call to an endpoint has started.
    pub fn call_started(&mut self, receiver: ReceiverId) {
        if let Some(endpoint) = self.active_endpoints.get_mut(&receiver) {
            endpoint.calls_in_flight += 1;
        }
    }
    /// Records that a call to an endpoint has ended.
    pub fn call_ended(&mut self, receiver: ReceiverId) {
        if let Some(endpoint) = self.active_endpoints.get_mut(&receiver) {
            endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        }
    }

    /// Records a retry-after of an endpoint. Until it ends the endpoint's name keeps its receiver id.
    pub fn on_retry_after(&mut self, receiver: ReceiverId, until: Micros) {
        if let Some(endpoint) = self.active_endpoints.get_mut(&receiver) {
            endpoint.wait_until = endpoint.wait_until.max(until);
        }
    }

    /// Names of endpoints in use whose retry-after has not ended, and when it ends.
    pub fn pending_retry_afters(&self, now: Micros) -> impl Iterator<Item = (&str, Micros)> {
        let waits = self.active_endpoints.values().filter(move |e| e.wait_until > now && !e.fixed);
        waits.map(|e| (e.name.as_str(), e.wait_until))
    }

    fn allocate_receiver_id(&mut self) -> ReceiverId {
        self.last_receiver_id += 1;
        ReceiverId(self.last_receiver_id)
    }

    /// Adds an endpoint that no list names and that stays in use.
    pub fn add_fixed(&mut self, now: Micros, endpoint: &Endpoint<'_>) -> (ReceiverId, ListEntry) {
        let receiver = self.allocate_receiver_id();
        self.active_destinations.touch(now, endpoint.destination);
        self.fixed_destinations.insert(endpoint.destination);
        let (name, zone) = (endpoint.name.to_owned(), endpoint.zone.to_owned());
        self.receiver_ids.insert(format!("gateway {name}"), receiver);
        let (destination, address) = (endpoint.destination, endpoint.address);
        let active = ActiveEndpoint {
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
        self.active_endpoints.insert(receiver, active);
        let entry = self.list_entry(receiver, endpoint);
        self.fixed_entries.insert(receiver, entry.clone());
        (receiver, entry)
    }

    /// Whether the endpoint stays in use whatever the list says.
    #[must_use]
    pub fn is_fixed(&self, receiver: ReceiverId) -> bool {
        self.active_endpoints.get(&receiver).is_some_and(|e| e.fixed)
    }

    /// The list entry of an endpoint as the core is given it. An endpoint that the list has as ready counts
    /// as draining while it is in maintenance, drains by the list of another process or member, or has lost its
    /// address to a process that started later.
    pub(crate) fn list_entry(&self, receiver: ReceiverId, endpoint: &Endpoint<'_>) -> ListEntry {
        let held_out = endpoint.state == EntryState::Ready
            && (self.maintenance.contains(endpoint.name)
                || self.foreign_drains.contains_key(endpoint.name)
                || self.address_owners.is_superseded(endpoint.name, endpoint.address));
        ListEntry {
            receiver,
            state: if held_out { EntryState::Draining } else { endpoint.state },
            destination: DestinationId(endpoint.destination),
            kind: KindId(if endpoint.kind == u16::MAX { usize::MAX } else { usize::from(endpoint.kind) }),
            zone: ZoneId(self.settings.zones.get(endpoint.zone).copied().unwrap_or(usize::MAX)),
            weight: f64::from(endpoint.weight),
        }
    }

    /// Records a use of a destination. If that makes the destination active, returns its retained health.
    pub fn touch(
        &mut self, now: Micros, destination: u64, output: &mut DirectoryOutput,
    ) -> Option<ActivatedDestination> {
        if !self.active_destinations.touch(now, destination) {
            return None;
        }
        let health = self.health_store.take(now, &HealthKey::Destination(destination));
        let ids: Vec<_> = self.table.endpoints_of(destination).collect();
        let endpoints = ids.into_iter().filter_map(|id| self.activate_endpoint(now, id, output)).collect();
        Some(ActivatedDestination { health, endpoints })
    }

    /// Brings a listed endpoint into use.
    fn activate_endpoint(
        &mut self, now: Micros, id: RosterId, output: &mut DirectoryOutput,
    ) -> Option<(ListEntry, RetainedHealth)> {
        let listed = self.table.get(id)?;
        let known = self.receiver_ids.get(listed.name).copied();
        let receiver = known.unwrap_or(ReceiverId(self.last_receiver_id + 1));
        let entry = self.list_entry(receiver, &listed);
        // The drain of an endpoint that drains already counts from time 0: no time is left in which a call
        // may be sent.
        let draining_since = (entry.state != EntryState::Ready).then_some(Micros(0));
        let (name, zone) = (listed.name.to_owned(), listed.zone.to_owned());
        let (destination, address) = (listed.destination, listed.address);
        let active = ActiveEndpoint {
            name: name.clone(),
            zone,
            destination,
            address,
            draining_since,
            gone: false,
            fixed: false,
            calls_in_flight: 0,
            wait_until: Micros(0),
        };
        if known.is_none() {
            self.last_receiver_id += 1;
            self.receiver_ids.insert(name.clone(), receiver);
        }
        match self.active_endpoints.get_mut(&receiver) {
            // The endpoint was gone and has not been released yet.
            Some(previous) => {
                if previous.address != address {
                    output.commands.push(EndpointCommand::AddressChanged(receiver, address));
                }
                *previous = ActiveEndpoint {
                    calls_in_flight: previous.calls_in_flight,
                    wait_until: previous.wait_until,
                    ..active
                };
            }
            None => {
                self.active_endpoints.insert(receiver, active);
                output.commands.push(EndpointCommand::Open(receiver, address));
            }
        }
        Some((entry, self.health_store.take(now, &HealthKey::Endpoint(name.into()))))
    }

    /// Begins a complete list: its entries follow by [`Directory::put`].
    pub fn begin_complete_list(&mut self) {
        self.applying_complete_list = true;
        self.table.begin_complete_list();
    }

    /// Applies an entry of the list.
    ///
    /// # Errors
    /// [`EntryError`]: the entry does not fit; the directory is unchanged.
    pub fn put(
        &mut self, now: Micros, endpoint: Endpoint<'_>, output: &mut DirectoryOutput,
    ) -> Result<(), EntryError> {
        if !self.applying_complete_list
            && self.table.len() >= self.settings.max_endpoints
            && self.table.find(endpoint.name).is_none()
        {
            return Err(EntryError::Full);
        }
        let (name, address, started_ms) = (endpoint.name, endpoint.address, endpoint.started_ms);
        let is_gone = endpoint.state == EntryState::Gone;
        let change = self.table.put(endpoint)?;
        let new_owners =
            if is_gone { Vec::new() } else { self.address_owners.note(name, address, started_ms) };
        if let Some(change) = change {
            self.apply_change(now, change, output);
        }
        new_owners.into_iter().for_each(|address| self.refresh_at_address(now, address, output));
        Ok(())
    }

    /// Called after the last entry of a complete list. Checks up to `max_records` records for endpoints that
    /// the list did not name, which are gone. Returns true once all records have been checked.
    pub fn sweep(&mut self, now: Micros, max_records: usize, output: &mut DirectoryOutput) -> bool {
        let mut gone = Vec::new();
        let done = self.table.sweep(max_records, &mut gone);
        self.applying_complete_list &= !done;
        for change in gone {
            self.apply_change(now, change, output);
        }
        done
    }

    /// Records that a list has been applied to its end.
    pub fn finish_list(&mut self) {
        self.has_received_list = true;
    }

    /// Recomputes the list entries of the endpoints in use at an address that has another owner now.
    fn refresh_at_address(&mut self, now: Micros, address: SocketAddr, output: &mut DirectoryOutput) {
        let at_address = |active: &ActiveEndpoint| active.address == address && !active.gone && !active.fixed;
        let receivers: Vec<_> = self
            .active_endpoints
            .iter()
            .filter(|(_, active)| at_address(active))
            .map(|(receiver, active)| (*receiver, active.name.clone()))
            .collect();
        for (receiver, name) in receivers {
            self.refresh_entry(now, receiver, &name, output);
        }
    }

    /// Applies a change of the table to the endpoint in use under the same name, if there is one.
    fn apply_change(&mut self, now: Micros, change: Change, output: &mut DirectoryOutput) {
        let (Change::Added(id) | Change::Changed(id) | Change::Gone(id)) = change;
        let Some(listed) = self.table.get(id) else { return };
        let freed_address = match change {
            Change::Gone(_) => self.address_owners.forget(listed.name),
            Change::Added(_) | Change::Changed(_) => None,
        };
        self.apply_to_endpoint_in_use(now, change, output);
        freed_address.into_iter().for_each(|address| self.refresh_at_address(now, address, output));
    }

    fn apply_to_endpoint_in_use(&mut self, now: Micros, change: Change, output: &mut DirectoryOutput) {
        let (Change::Added(id) | Change::Changed(id) | Change::Gone(id)) = change;
        let Some(listed) = self.table.get(id) else { return };
        let (destination, receiver) = (listed.destination, self.receiver_ids.get(listed.name).copied());
        let in_use = receiver.and_then(|receiver| Some((receiver, self.active_endpoints.get(&receiver)?)));
        match (change, in_use) {
            // The endpoint has moved to another destination. What the core knows of it belongs to the
            // previous one.
            (_, Some((receiver, active))) if active.destination != destination && !active.fixed => {
                let (previous, name) = (active.destination, active.name.clone());
                // Only the retry-after is kept, because the endpoint itself sent it.
                let wait = RetainedHealth { wait_until: active.wait_until, ..RetainedHealth::default() };
                self.health_store.store(now, HealthKey::Endpoint(name.as_str().into()), wait);
                self.mark_gone(now, receiver, output);
                self.receiver_ids.remove(&name);
                if !self.table.has_destination(previous) {
                    self.remember_removed_destination(now, previous);
                }
                if change == Change::Gone(id) {
                    self.table.remove(id);
                } else {
                    self.on_added(now, id, destination, output);
                }
            }
            (Change::Gone(_), in_use) => {
                let receiver = in_use.map(|(receiver, _)| receiver);
                self.table.remove(id);
                if let Some(receiver) = receiver {
                    self.mark_gone(now, receiver, output);
                }
                if !self.table.has_destination(destination) {
                    self.remember_removed_destination(now, destination);
                }
            }
            (Change::Changed(_), Some((receiver, active))) if !active.gone => {
                let entry = self.list_entry(receiver, &listed);
                let (address, zone) = (listed.address, listed.zone.to_owned());
                let Some(active) = self.active_endpoints.get_mut(&receiver) else { return };
                if active.address != address {
                    active.address = address;
                    output.commands.push(EndpointCommand::AddressChanged(receiver, address));
                }
                active.zone = zone;
                active.draining_since =
                    if entry.state == EntryState::Ready { None } else { active.draining_since.or(Some(now)) };
                output.entries.push(entry);
            }
            _ => self.on_added(now, id, destination, output),
        }
    }

    /// Handles an endpoint that is new to its destination: it comes into use if the destination is active.
    fn on_added(&mut self, now: Micros, id: RosterId, destination: u64, output: &mut DirectoryOutput) {
        self.removed_destinations.remove(&destination);
        if self.active_destinations.contains(destination)
            && let Some((entry, health)) = self.activate_endpoint(now, id, output)
        {
            // A route may come back under its name while other endpoints of its destination are in use.
            if health != RetainedHealth::default() {
                output.restored_health.push((entry.receiver, health));
            }
            output.entries.push(entry);
        }
    }

    /// Marks an endpoint in use as gone, and schedules its release.
    fn mark_gone(&mut self, now: Micros, receiver: ReceiverId, output: &mut DirectoryOutput) {
        let Some(active) = self.active_endpoints.get_mut(&receiver).filter(|e| !e.gone && !e.fixed) else {
            return;
        };
        active.draining_since.get_or_insert(now);
        active.gone = true;
        output.commands.push(EndpointCommand::CloseIdle(receiver));
        output.entries.push(ListEntry {
            receiver,
            state: EntryState::Gone,
            destination: DestinationId(active.destination),
            kind: KindId(usize::MAX),
            zone: ZoneId(usize::MAX),
            weight: 0.0,
        });
        self.release_checks.insert((now.plus(GONE_ENDPOINT_RETENTION), receiver));
    }

    /// Remembers a destination whose last endpoint has left the list.
    fn remember_removed_destination(&mut self, now: Micros, destination: u64) {
        let until = now.plus(REMOVED_NAME_RETENTION);
        self.removed_destinations.insert(destination, until);
        self.removed_order.push_back((until, destination));
        // Over the bound the oldest are forgotten first; active destinations are kept until they are
        // deactivated.
        let mut checks = self.removed_order.len().saturating_sub(MAX_REMOVED_DESTINATIONS).min(2);
        while checks > 0
            && let Some((until, destination)) = self.removed_order.pop_front()
        {
            checks -= 1;
            if self.active_destinations.contains(destination) {
                self.removed_order.push_back((until, destination));
            } else if self.removed_destinations.get(&destination) == Some(&until) {
                self.removed_destinations.remove(&destination);
            }
        }
    }

    /// Releases active endpoints that are gone. The endpoint is released once it has no call in flight and no
    /// call may still request a permit to be written to it; its receiver id is released once the core has
    /// forgotten it as well.
    pub fn release_gone_endpoints(&mut self, now: Micros, output: &mut DirectoryOutput) {
        while let Some((at, receiver)) = self.release_checks.first().copied().filter(|check| check.0 <= now) {
            self.release_checks.remove(&(at, receiver));
            let Some(active) = self.active_endpoints.get(&receiver).filter(|e| e.gone) else { continue };
            if active.calls_in_flight > 0 {
                self.release_checks.insert((now.plus(GONE_ENDPOINT_RETENTION), receiver));
                continue;
            }
            if let Some(active) = self.active_endpoints.remove(&receiver) {
                output.commands.push(EndpointCommand::Close(receiver));
                self.receiver_id_expiry
                    .insert((now.plus(REMOVED_NAME_RETENTION).max(active.wait_until), active.name));
            }
        }
        while self.receiver_id_expiry.first().is_some_and(|(expiry, _)| *expiry <= now) {
            let Some((_, name)) = self.receiver_id_expiry.pop_first() else { break };
            // The endpoint may have come back in the meantime.
            if self
                .receiver_ids
                .get(&name)
                .is_some_and(|receiver| !self.active_endpoints.contains_key(receiver))
            {
                self.receiver_ids.remove(&name);
            }
        }
    }

    /// The next destination that may be deactivated, if the core can do without it.
    pub fn next_idle(&mut self, now: Micros) -> Option<u64> {
        while let Some((until, destination)) = self.removed_order.front().copied().filter(|l| l.0 <= now) {
            self.removed_order.pop_front();
            if self.removed_destinations.get(&destination) != Some(&until) {
                continue;
            }
            if self.active_destinations.contains(destination) {
                // Messages may still be held for the destination, so it is remembered for another period.
                self.remember_removed_destination(now, destination);
                return Some(destination);
            }
            self.removed_destinations.remove(&destination);
        }
        loop {
            let destination = self.active_destinations.next_idle(now)?;
            if !self.fixed_destinations.contains(&destination) {
                return Some(destination);
            }
        }
    }

    /// Deactivates a destination that the core has forgotten, and stores the health that the core had of it
    /// and of its endpoints.
    pub fn deactivate(
        &mut self, now: Micros, destination: u64, health: RetainedHealth,
        endpoints: &[(ReceiverId, RetainedHealth)], output: &mut DirectoryOutput,
    ) {
        self.health_store.store(now, HealthKey::Destination(destination), health);
        for (receiver, endpoint_health) in endpoints {
            if let Some(active) = self.active_endpoints.get(receiver) {
                self.health_store.store(
                    now,
                    HealthKey::Endpoint(active.name.as_str().into()),
                    *endpoint_health,
                );
            }
        }
        for listed in self.table.endpoints_of(destination).filter_map(|id| self.table.get(id)) {
            if let Some(receiver) = self.receiver_ids.remove(listed.name)
                && self.active_endpoints.remove(&receiver).is_some()
            {
                output.commands.push(EndpointCommand::Close(receiver));
            }
        }
        self.active_destinations.deactivate(now, destination);
        if !self.table.has_destination(destination) {
            self.removed_destinations.remove(&destination);
        }
    }
}
