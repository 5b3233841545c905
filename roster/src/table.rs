//! The table of all endpoints that the list names, found by name and by destination.

use hashbrown::{DefaultHashBuilder, HashTable};
use onyxrock::interface::EntryState;
use slab::Slab;
use std::hash::BuildHasher;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Identifies the record of an endpoint. Once the record has been removed, the id may be given to another
/// endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RosterId(u32);

/// One endpoint, as the list describes it.
#[derive(Clone, PartialEq, Debug)]
pub struct Endpoint<'a> {
    /// Unique name, at most 65,535 bytes.
    pub name: &'a str,
    /// Address that calls are sent to.
    pub address: SocketAddr,
    /// Name of the zone.
    pub zone: &'a str,
    /// The caller's number of the endpoint's kind.
    pub kind: u16,
    /// Destination that the endpoint serves.
    pub destination: u64,
    /// Approximate rate that its destination takes, in calls per second.
    pub weight: f32,
    /// State of the entry.
    pub state: EntryState,
    /// When its process started, in milliseconds since 1970; 0 if that was long ago or is not known. The table does not
    /// keep it.
    pub started_ms: u64,
}

/// What [`EndpointTable::put`] or [`EndpointTable::sweep`] changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// The endpoint is new.
    Added(RosterId),
    /// The endpoint's state, address, zone, kind, weight or destination has changed.
    Changed(RosterId),
    /// The list no longer names the endpoint, or names it as gone. Its record stays until
    /// [`EndpointTable::remove`].
    Gone(RosterId),
}

/// Why an entry was not taken. The table is unchanged.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EntryError {
    /// The table, or its arena of names, is full.
    Full,
    /// The name is too long, or the list has more zones than is plausible.
    OutOfBounds,
}

/// Marks the end of a chain of records.
const NO_RECORD: u32 = u32::MAX;

/// Bound on the distinct zone names. A network has few zones; more mean that the list is malformed.
const MAX_ZONES: usize = 4096;

/// The arena of names is compacted once removed names take more than this many bytes and more than half of
/// it.
const MAX_DEAD_NAME_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug)]
struct Record {
    destination: u64,
    name_offset: u32,
    /// Index of the next record of the same destination, or [`NO_RECORD`].
    next: u32,
    weight: f32,
    /// Value of `EndpointTable::current_list` when a list last named the endpoint.
    last_list: u32,
    /// An IPv4 address, or an index into `EndpointTable::ipv6_addresses` if `is_ipv6` is set.
    ip: u32,
    name_len: u16,
    port: u16,
    zone: u16,
    kind: u16,
    is_ipv6: bool,
    state: EntryState,
}

/// All endpoints that the list names, one fixed-size record each.
#[derive(Debug)]
pub struct EndpointTable {
    max_endpoints: usize,
    records: Slab<Record>,
    /// Arena that holds all names; a removed name stays in it until the arena is compacted.
    names: Vec<u8>,
    dead_name_bytes: usize,
    zones: Vec<Box<str>>,
    /// Addresses that are not IPv4.
    ipv6_addresses: Slab<IpAddr>,
    by_name: HashTable<u32>,
    /// Index of the first record of each destination; the others are chained by `Record::next`.
    by_destination: HashTable<u32>,
    hash: DefaultHashBuilder,
    /// Number of the latest complete list; it wraps around.
    current_list: u32,
    /// Index of the next record to check, while a complete list is being applied.
    sweep_position: Option<usize>,
}

impl EndpointTable {
    /// Creates an empty table for at most `max_endpoints` endpoints.
    #[must_use]
    pub fn new(max_endpoints: usize) -> EndpointTable {
        EndpointTable {
            max_endpoints: max_endpoints.min(NO_RECORD as usize - 1),
            records: Slab::new(),
            names: Vec::new(),
            dead_name_bytes: 0,
            zones: Vec::new(),
            ipv6_addresses: Slab::new(),
            by_name: HashTable::new(),
            by_destination: HashTable::new(),
            hash: DefaultHashBuilder::default(),
            current_list: 0,
            sweep_position: None,
        }
    }

    /// Number of endpoints in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }
    /// Whether the table holds no endpoint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of memory that the table has allocated, whether in use or not.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let zones: usize = self.zones.iter().map(|z| z.len() + size_of::<Box<str>>()).sum();
        self.records.capacity() * size_of::<Option<Record>>()
            + self.names.capacity()
            + zones
            + self.ipv6_addresses.capacity() * size_of::<Option<IpAddr>>()
            + self.by_name.allocation_size()
            + self.by_destination.allocation_size()
    }

    fn name_of(&self, record: &Record) -> &str {
        let start = record.name_offset as usize;
        let bytes = self.names.get(start..start + usize::from(record.name_len)).unwrap_or_default();
        std::str::from_utf8(bytes).unwrap_or_default()
    }

    fn record(&self, id: RosterId) -> Option<&Record> {
        self.records.get(id.0 as usize)
    }

    fn address(&self, record: &Record) -> SocketAddr {
        let ip = match record.is_ipv6 {
            false => IpAddr::V4(Ipv4Addr::from(record.ip)),
            true => {
                self.ipv6_addresses.get(record.ip as usize).copied().unwrap_or(Ipv4Addr::UNSPECIFIED.into())
            }
        };
        SocketAddr::new(ip, record.port)
    }

    /// The record with this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<RosterId> {
        let same = |i: &u32| self.name_of(&self.records[*i as usize]) == name;
        self.by_name.find(self.hash.hash_one(name), same).map(|i| RosterId(*i))
    }

    /// The contents of a record.
    #[must_use]
    pub fn get(&self, id: RosterId) -> Option<Endpoint<'_>> {
        let record = self.record(id)?;
        Some(Endpoint {
            name: self.name_of(record),
            address: self.address(record),
            zone: self.zones.get(usize::from(record.zone)).map_or("", |zone| zone),
            kind: record.kind,
            destination: record.destination,
            weight: record.weight,
            state: record.state,
            started_ms: 0,
        })
    }

    fn first_of_destination(&self, destination: u64) -> Option<u32> {
        let same = |i: &u32| self.records[*i as usize].destination == destination;
        self.by_destination.find(self.hash.hash_one(destination), same).copied()
    }

    /// Whether an endpoint of this destination is in the table.
    #[must_use]
    pub fn has_destination(&self, destination: u64) -> bool {
        self.first_of_destination(destination).is_some()
    }

    /// The records of a destination, in no particular order.
    pub fn endpoints_of(&self, destination: u64) -> impl Iterator<Item = RosterId> + '_ {
        let next = |i: &u32| Some(self.records[*i as usize].next).filter(|n| *n != NO_RECORD);
        std::iter::successors(self.first_of_destination(destination), next).map(RosterId)
    }

    /// Returns the index of a zone name, and adds the name if it is new.
    fn intern_zone(&mut self, name: &str) -> Result<u16, EntryError> {
        let known = self.zones.iter().position(|z| &**z == name);
        if known.is_none() {
            if self.zones.len() >= MAX_ZONES {
                return Err(EntryError::OutOfBounds);
            }
            self.zones.push(name.into());
        }
        u16::try_from(known.unwrap_or(self.zones.len() - 1)).map_err(|_| EntryError::OutOfBounds)
    }

    /// Returns the `ip` and `is_ipv6` fields of a record, and stores an IPv6 address beside it.
    fn store_ip(&mut self, ip: IpAddr) -> (u32, bool) {
        match ip {
            IpAddr::V4(ip) => (ip.into(), false),
            other => (self.ipv6_addresses.insert(other) as u32, true),
        }
    }

    /// Applies an entry of the list. The entry replaces an earlier one of the same name. An entry that is
    /// gone and has no earlier one is ignored.
    ///
    /// # Errors
    /// [`EntryError`]; the table is unchanged.
    pub fn put(&mut self, entry: Endpoint<'_>) -> Result<Option<Change>, EntryError> {
        let current_list = self.current_list;
        if let Some(id) = self.find(entry.name) {
            return self.update(id, &entry, current_list);
        }
        if entry.state == EntryState::Gone {
            return Ok(None);
        }
        let name_len = u16::try_from(entry.name.len()).map_err(|_| EntryError::OutOfBounds)?;
        if self.records.len() >= self.max_endpoints
            || self.names.len() + entry.name.len() > NO_RECORD as usize
        {
            return Err(EntryError::Full);
        }
        let zone = self.intern_zone(entry.zone)?;
        let (ip, is_ipv6) = self.store_ip(entry.address.ip());
        let name_offset = self.names.len() as u32;
        self.names.extend_from_slice(entry.name.as_bytes());
        let record = Record {
            destination: entry.destination,
            name_offset,
            next: NO_RECORD,
            weight: entry.weight,
            last_list: current_list,
            ip,
            name_len,
            port: entry.address.port(),
            zone,
            kind: entry.kind,
            is_ipv6,
            state: entry.state,
        };
        let index = self.records.insert(record) as u32;
        let EndpointTable { by_name, records, names, hash, .. } = self;
        let hash_of = |i: &u32| {
            let record = &records[*i as usize];
            let start = record.name_offset as usize;
            hash.hash_one(
                std::str::from_utf8(&names[start..start + usize::from(record.name_len)]).unwrap_or_default(),
            )
        };
        by_name.insert_unique(hash.hash_one(entry.name), index, hash_of);
        self.link(index);
        Ok(Some(Change::Added(RosterId(index))))
    }

    fn update(
        &mut self, id: RosterId, entry: &Endpoint<'_>, current_list: u32,
    ) -> Result<Option<Change>, EntryError> {
        let (unchanged, destination) = match self.get(id) {
            Some(known) => (known == *entry, known.destination),
            None => return Ok(None),
        };
        let index = id.0 as usize;
        self.records[index].last_list = current_list;
        if unchanged {
            return Ok(None);
        }
        let zone = self.intern_zone(entry.zone)?;
        let was_gone = self.records[index].state == EntryState::Gone;
        if destination != entry.destination {
            self.unlink(id.0);
            self.records[index].destination = entry.destination;
            self.link(id.0);
        }
        if self.address(&self.records[index]).ip() != entry.address.ip() {
            self.release_ip(id.0);
            (self.records[index].ip, self.records[index].is_ipv6) = self.store_ip(entry.address.ip());
        }
        let record = &mut self.records[index];
        (record.port, record.zone, record.kind, record.weight, record.state) =
            (entry.address.port(), zone, entry.kind, entry.weight, entry.state);
        let gone = entry.state == EntryState::Gone;
        Ok(if gone && was_gone {
            None
        } else {
            Some(if gone { Change::Gone(id) } else { Change::Changed(id) })
        })
    }

    fn release_ip(&mut self, index: u32) {
        let record = &self.records[index as usize];
        if record.is_ipv6 {
            self.ipv6_addresses.try_remove(record.ip as usize);
        }
    }

    /// Adds a record to the chain of its destination.
    fn link(&mut self, index: u32) {
        let destination = self.records[index as usize].destination;
        let EndpointTable { by_destination, records, hash, .. } = self;
        let key = hash.hash_one(destination);
        match by_destination.find_mut(key, |i| records[*i as usize].destination == destination) {
            // The record goes behind the first one, so that the index in the hash table stays valid.
            Some(first) => {
                let first = *first as usize;
                records[index as usize].next = records[first].next;
                records[first].next = index;
            }
            None => {
                records[index as usize].next = NO_RECORD;
                by_destination.insert_unique(key, index, |i| hash.hash_one(records[*i as usize].destination));
            }
        }
    }

    /// Removes a record from the chain of its destination.
    fn unlink(&mut self, index: u32) {
        let (destination, next) =
            (self.records[index as usize].destination, self.records[index as usize].next);
        let EndpointTable { by_destination, records, hash, .. } = self;
        let key = hash.hash_one(destination);
        let Ok(mut found) =
            by_destination.find_entry(key, |i| records[*i as usize].destination == destination)
        else {
            return;
        };
        let mut current = *found.get();
        if current == index {
            if next == NO_RECORD {
                found.remove();
            } else {
                *found.get_mut() = next;
            }
            return;
        }
        while records[current as usize].next != index && records[current as usize].next != NO_RECORD {
            current = records[current as usize].next;
        }
        if records[current as usize].next == index {
            records[current as usize].next = next;
        }
    }

    /// Removes an endpoint. Its id may be given to another endpoint from now on.
    pub fn remove(&mut self, id: RosterId) {
        let Some(record) = self.record(id).copied() else { return };
        let EndpointTable { by_name, names, hash, .. } = self;
        let start = record.name_offset as usize;
        let name = &names[start..start + usize::from(record.name_len)];
        let key = hash.hash_one(std::str::from_utf8(name).unwrap_or_default());
        if let Ok(found) = by_name.find_entry(key, |i| *i == id.0) {
            found.remove();
        }
        self.unlink(id.0);
        self.release_ip(id.0);
        self.records.remove(id.0 as usize);
        self.dead_name_bytes += usize::from(record.name_len);
        if self.dead_name_bytes > MAX_DEAD_NAME_BYTES && self.dead_name_bytes * 2 > self.names.len() {
            self.compact_names();
        }
    }

    /// Rebuilds the arena of names from the records in the table.
    fn compact_names(&mut self) {
        let mut names = Vec::with_capacity(self.names.len() - self.dead_name_bytes);
        for (_, record) in &mut self.records {
            let start = record.name_offset as usize;
            let name = &self.names[start..start + usize::from(record.name_len)];
            record.name_offset = names.len() as u32;
            names.extend_from_slice(name);
        }
        (self.names, self.dead_name_bytes) = (names, 0);
    }

    /// Begins a complete list: its entries follow by [`EndpointTable::put`].
    pub fn begin_complete_list(&mut self) {
        self.current_list = self.current_list.wrapping_add(1);
        self.sweep_position = Some(0);
    }

    /// Called after the last entry of a complete list. Checks up to `max_records` further records; those that
    /// the list did not name are gone. Returns true once all records have been checked. Entries of later
    /// lists that hold only changes may come in between.
    pub fn sweep(&mut self, max_records: usize, gone: &mut Vec<Change>) -> bool {
        let Some(start) = self.sweep_position else { return true };
        // Unused indices are counted as well; skipping them costs little.
        let end = (start.saturating_add(max_records.max(1))).min(self.records.capacity());
        for index in start..end {
            let Some(record) = self.records.get_mut(index) else { continue };
            if record.last_list != self.current_list && record.state != EntryState::Gone {
                record.state = EntryState::Gone;
                gone.push(Change::Gone(RosterId(index as u32)));
            }
        }
        self.sweep_position = Some(end).filter(|end| *end < self.records.capacity());
        self.sweep_position.is_none()
    }
}
