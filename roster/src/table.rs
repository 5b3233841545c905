//! The table.

use hashbrown::{DefaultHashBuilder, HashTable};
use onyxrock::interface::EntryState;
use slab::Slab;
use std::hash::BuildHasher;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// An endpoint's record. It names the same endpoint until that is gone and swept; then it may name another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RosterId(u32);

/// One endpoint, as the list states it.
#[derive(Clone, PartialEq, Debug)]
pub struct Endpoint<'a> {
    /// Its name, which no other has; 65,535 bytes at most.
    pub name: &'a str,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a str,
    /// The caller's number for its kind.
    pub kind: u16,
    /// Its destination.
    pub destination: u64,
    /// Calls a second that its destination takes, roughly.
    pub weight: f32,
    /// Its state.
    pub state: EntryState,
}

/// What a [`Roster::put`] or a sweep changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// It was not here.
    Added(RosterId),
    /// Its state, address, zone, kind or weight is another.
    Changed(RosterId),
    /// The list no longer names it, or names it as gone. Its record is as it was until [`Roster::remove`].
    Gone(RosterId),
}

/// An entry was not taken; the table is as before.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EntryError {
    /// The table holds as many as it may.
    Full,
    /// Its name is too long, or there are more zones than a list can mean.
    OutOfBounds,
}

const NONE: u32 = u32::MAX;
/// Zones are few; a list with more is not one.
const ZONES_MOST: usize = 4096;
/// Names that are gone may take so many bytes, and as many as those that are here, before the arena is made anew.
const SLACK: usize = 64 * 1024;

#[derive(Clone, Copy, Debug)]
struct Record {
    destination: u64,
    name_at: u32,
    /// The next of its destination.
    next: u32,
    weight: f32,
    /// The whole list that last named it.
    epoch: u32,
    /// An IPv4 address, or a place among the others.
    ip: u32,
    name_len: u16,
    port: u16,
    zone: u16,
    kind: u16,
    v6: bool,
    listing: EntryState,
}

/// All endpoints that the list names.
#[derive(Debug)]
pub struct EndpointTable {
    most: usize,
    records: Slab<Record>,
    names: Vec<u8>,
    dead_names: usize,
    zones: Vec<Box<str>>,
    /// Addresses that are not IPv4.
    others: Slab<IpAddr>,
    by_name: HashTable<u32>,
    /// The first record of each destination.
    by_destination: HashTable<u32>,
    hash: DefaultHashBuilder,
    epoch: u32,
    /// Where the sweep stands, if a whole list is being taken.
    sweep: Option<usize>,
}

impl EndpointTable {
    /// An empty table for so many endpoints at most.
    #[must_use]
    pub fn new(most: usize) -> EndpointTable {
        EndpointTable {
            most: most.min(NONE as usize - 1),
            records: Slab::new(),
            names: Vec::new(),
            dead_names: 0,
            zones: Vec::new(),
            others: Slab::new(),
            by_name: HashTable::new(),
            by_destination: HashTable::new(),
            hash: DefaultHashBuilder::default(),
            epoch: 0,
            sweep: None,
        }
    }

    /// Endpoints that are here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }
    /// None is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes that all this takes, allocated or not yet used.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let zones: usize = self.zones.iter().map(|z| z.len() + size_of::<Box<str>>()).sum();
        self.records.capacity() * size_of::<Option<Record>>()
            + self.names.capacity()
            + zones
            + self.others.capacity() * size_of::<Option<IpAddr>>()
            + self.by_name.allocation_size()
            + self.by_destination.allocation_size()
    }

    fn name_of(&self, r: &Record) -> &str {
        let at = r.name_at as usize;
        let bytes = self.names.get(at..at + usize::from(r.name_len)).unwrap_or_default();
        std::str::from_utf8(bytes).unwrap_or_default()
    }

    fn record(&self, id: RosterId) -> Option<&Record> {
        self.records.get(id.0 as usize)
    }

    fn address(&self, r: &Record) -> SocketAddr {
        let ip = match r.v6 {
            false => IpAddr::V4(Ipv4Addr::from(r.ip)),
            true => self.others.get(r.ip as usize).copied().unwrap_or(Ipv4Addr::UNSPECIFIED.into()),
        };
        SocketAddr::new(ip, r.port)
    }

    /// The record of a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<RosterId> {
        let same = |i: &u32| self.name_of(&self.records[*i as usize]) == name;
        self.by_name.find(self.hash.hash_one(name), same).map(|i| RosterId(*i))
    }

    /// What a record says.
    #[must_use]
    pub fn get(&self, id: RosterId) -> Option<Endpoint<'_>> {
        let r = self.record(id)?;
        Some(Endpoint {
            name: self.name_of(r),
            address: self.address(r),
            zone: self.zones.get(usize::from(r.zone)).map_or("", |z| z),
            kind: r.kind,
            destination: r.destination,
            weight: r.weight,
            state: r.listing,
        })
    }

    fn first(&self, destination: u64) -> Option<u32> {
        let same = |i: &u32| self.records[*i as usize].destination == destination;
        self.by_destination.find(self.hash.hash_one(destination), same).copied()
    }

    /// The list names this destination.
    #[must_use]
    pub fn has_destination(&self, destination: u64) -> bool {
        self.first(destination).is_some()
    }

    /// The records of a destination, in no order.
    pub fn endpoints_of(&self, destination: u64) -> impl Iterator<Item = RosterId> + '_ {
        let next = |i: &u32| Some(self.records[*i as usize].next).filter(|n| *n != NONE);
        std::iter::successors(self.first(destination), next).map(RosterId)
    }

    fn zone(&mut self, name: &str) -> Result<u16, EntryError> {
        let known = self.zones.iter().position(|z| &**z == name);
        if known.is_none() {
            if self.zones.len() >= ZONES_MOST {
                return Err(EntryError::OutOfBounds);
            }
            self.zones.push(name.into());
        }
        u16::try_from(known.unwrap_or(self.zones.len() - 1)).map_err(|_| EntryError::OutOfBounds)
    }

    fn pack(&mut self, ip: IpAddr) -> (u32, bool) {
        match ip {
            IpAddr::V4(ip) => (ip.into(), false),
            other => (self.others.insert(other) as u32, true),
        }
    }

    /// Takes an entry of the list. What it says of an endpoint that is here takes the place of what was known; one that
    /// is said to be gone and was never here is nothing.
    ///
    /// # Errors
    /// [`Refused`]: the table is as before.
    pub fn put(&mut self, e: Endpoint<'_>) -> Result<Option<Change>, EntryError> {
        let epoch = self.epoch;
        if let Some(id) = self.find(e.name) {
            return self.update(id, &e, epoch);
        }
        if e.state == EntryState::Gone {
            return Ok(None);
        }
        let name_len = u16::try_from(e.name.len()).map_err(|_| EntryError::OutOfBounds)?;
        if self.records.len() >= self.most || self.names.len() + e.name.len() > NONE as usize {
            return Err(EntryError::Full);
        }
        let zone = self.zone(e.zone)?;
        let (ip, v6) = self.pack(e.address.ip());
        let name_at = self.names.len() as u32;
        self.names.extend_from_slice(e.name.as_bytes());
        let record = Record {
            destination: e.destination,
            name_at,
            next: NONE,
            weight: e.weight,
            epoch,
            ip,
            name_len,
            port: e.address.port(),
            zone,
            kind: e.kind,
            v6,
            listing: e.state,
        };
        let at = self.records.insert(record) as u32;
        let EndpointTable { by_name, records, names, hash, .. } = self;
        let hash_of = |i: &u32| {
            let r = &records[*i as usize];
            let from = r.name_at as usize;
            hash.hash_one(
                std::str::from_utf8(&names[from..from + usize::from(r.name_len)]).unwrap_or_default(),
            )
        };
        by_name.insert_unique(hash.hash_one(e.name), at, hash_of);
        self.join(at);
        Ok(Some(Change::Added(RosterId(at))))
    }

    fn update(&mut self, id: RosterId, e: &Endpoint<'_>, epoch: u32) -> Result<Option<Change>, EntryError> {
        let (known, destination) = match self.get(id) {
            Some(known) => (known == *e, known.destination),
            None => return Ok(None),
        };
        let at = id.0 as usize;
        self.records[at].epoch = epoch;
        if known {
            return Ok(None);
        }
        let zone = self.zone(e.zone)?;
        let was_gone = self.records[at].listing == EntryState::Gone;
        if destination != e.destination {
            self.leave(id.0);
            self.records[at].destination = e.destination;
            self.join(id.0);
        }
        if self.address(&self.records[at]).ip() != e.address.ip() {
            self.unpack(id.0);
            (self.records[at].ip, self.records[at].v6) = self.pack(e.address.ip());
        }
        let r = &mut self.records[at];
        (r.port, r.zone, r.kind, r.weight, r.listing) = (e.address.port(), zone, e.kind, e.weight, e.state);
        let gone = e.state == EntryState::Gone;
        Ok(if gone && was_gone {
            None
        } else {
            Some(if gone { Change::Gone(id) } else { Change::Changed(id) })
        })
    }

    fn unpack(&mut self, at: u32) {
        let r = &self.records[at as usize];
        if r.v6 {
            self.others.try_remove(r.ip as usize);
        }
    }

    /// Puts a record first among those of its destination.
    fn join(&mut self, at: u32) {
        let destination = self.records[at as usize].destination;
        let EndpointTable { by_destination, records, hash, .. } = self;
        let key = hash.hash_one(destination);
        match by_destination.find_mut(key, |i| records[*i as usize].destination == destination) {
            // Behind the first, which the table keeps.
            Some(first) => {
                let first = *first as usize;
                records[at as usize].next = records[first].next;
                records[first].next = at;
            }
            None => {
                records[at as usize].next = NONE;
                by_destination.insert_unique(key, at, |i| hash.hash_one(records[*i as usize].destination));
            }
        }
    }

    fn leave(&mut self, at: u32) {
        let (destination, next) = (self.records[at as usize].destination, self.records[at as usize].next);
        let EndpointTable { by_destination, records, hash, .. } = self;
        let key = hash.hash_one(destination);
        let Ok(mut found) =
            by_destination.find_entry(key, |i| records[*i as usize].destination == destination)
        else {
            return;
        };
        let mut i = *found.get();
        if i == at {
            if next == NONE {
                found.remove();
            } else {
                *found.get_mut() = next;
            }
            return;
        }
        while records[i as usize].next != at && records[i as usize].next != NONE {
            i = records[i as usize].next;
        }
        if records[i as usize].next == at {
            records[i as usize].next = next;
        }
    }

    /// Forgets an endpoint. Its record may name another from now on.
    pub fn remove(&mut self, id: RosterId) {
        let Some(r) = self.record(id).copied() else { return };
        let EndpointTable { by_name, names, hash, .. } = self;
        let from = r.name_at as usize;
        let name = &names[from..from + usize::from(r.name_len)];
        let key = hash.hash_one(std::str::from_utf8(name).unwrap_or_default());
        if let Ok(found) = by_name.find_entry(key, |i| *i == id.0) {
            found.remove();
        }
        self.leave(id.0);
        self.unpack(id.0);
        self.records.remove(id.0 as usize);
        self.dead_names += usize::from(r.name_len);
        if self.dead_names > SLACK && self.dead_names * 2 > self.names.len() {
            self.repack();
        }
    }

    /// Makes the arena anew from the names that are here.
    fn repack(&mut self) {
        let mut names = Vec::with_capacity(self.names.len() - self.dead_names);
        for (_, r) in &mut self.records {
            let from = r.name_at as usize;
            let name = &self.names[from..from + usize::from(r.name_len)];
            r.name_at = names.len() as u32;
            names.extend_from_slice(name);
        }
        (self.names, self.dead_names) = (names, 0);
    }

    /// A whole list follows, by [`Roster::put`].
    pub fn begin_complete_list(&mut self) {
        self.epoch = self.epoch.wrapping_add(1);
        self.sweep = Some(0);
    }

    /// The whole list has ended: looks at so many records more for those that it did not name, which are gone. True
    /// once all have been looked at. Entries of later lists that only tell changes may come in between.
    pub fn sweep(&mut self, most: usize, gone: &mut Vec<Change>) -> bool {
        let Some(from) = self.sweep else { return true };
        // Numbers that name no record now are passed over, at little cost.
        let to = (from.saturating_add(most.max(1))).min(self.records.capacity());
        for at in from..to {
            let Some(r) = self.records.get_mut(at) else { continue };
            if r.epoch != self.epoch && r.listing != EntryState::Gone {
                r.listing = EntryState::Gone;
                gone.push(Change::Gone(RosterId(at as u32)));
            }
        }
        self.sweep = Some(to).filter(|to| *to < self.records.capacity());
        self.sweep.is_none()
    }
}
