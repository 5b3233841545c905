//! A DNS zone whose SRV records list endpoints, and dynamic updates (RFC 2136) of it. This module does no
//! I/O.
//!
//! `_onyxrock._tcp.57 SRV 0 RATE PORT HOST` lists an endpoint of destination 57; HOST has an address, and a
//! TXT record with `zone=`, `kind=` and, while it drains, `state=draining`.

use super::stored_zone;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::serialize::txt::Parser;
use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use onyxrock_config::duties::NamedMember;
use onyxrock_config::list::{EndpointList, ListedEndpoint};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most records of a zone; an endpoint has at most three. An update beyond that is refused.
const MAX_RECORDS: usize = 65_536;

/// The records of one name, with their stored form.
#[derive(Clone, Debug, Default)]
struct NameRecords {
    records: Vec<Record>,
    /// The records as [`stored_zone`] writes them.
    stored: Vec<u8>,
}

/// A zone with its records in memory.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The name of the zone.
    pub origin: Name,
    names: BTreeMap<Name, NameRecords>,
    record_count: usize,
}

/// What an update has changed: the records that its names had before.
#[derive(Debug, Default)]
pub struct ZoneChange {
    before: BTreeMap<Name, NameRecords>,
}

impl Zone {
    /// Reads a zone file (RFC 1035).
    pub fn parse(text: &str, origin: &str) -> Result<Zone, String> {
        let origin = Name::from_ascii(origin).map_err(|e| format!("origin: {e}"))?;
        let (origin, records) = Zone::parse_records(text, &origin)?;
        Zone::of_records(records, origin)
    }

    /// The records of a zone file or of a part of one, and the origin that it ends with.
    pub fn parse_records(text: &str, origin: &Name) -> Result<(Name, Vec<Record>), String> {
        let parser = Parser::new(text, None, Some(origin.clone()));
        let (origin, sets) = parser.parse().map_err(|e| e.to_string())?;
        let records = sets.values().flat_map(|set| set.records_without_rrsigs().cloned()).collect();
        Ok((origin, records))
    }

    /// A zone of these records.
    pub fn from_records(records: Vec<Record>, origin: &str) -> Result<Zone, String> {
        let origin = Name::from_ascii(origin).map_err(|e| format!("origin: {e}"))?;
        Zone::of_records(records, origin)
    }

    /// The zone of these records, if one of them is the SOA record and all have supported types.
    fn of_records(records: Vec<Record>, origin: Name) -> Result<Zone, String> {
        if let Some(r) = records.iter().find(|r| !is_supported(r.record_type())) {
            return Err(format!("{} records have no use here", r.record_type()));
        }
        let mut names = BTreeMap::<Name, NameRecords>::new();
        let record_count = records.len();
        for record in records {
            names.entry(record.name.clone()).or_default().records.push(record);
        }
        for of_name in names.values_mut() {
            of_name.stored = stored_zone::encode_records(&of_name.records)?;
        }
        let zone = Zone { origin, names, record_count };
        if zone.soa().is_none() { Err("the zone has no SOA record".into()) } else { Ok(zone) }
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.names.values().flat_map(|of_name| &of_name.records)
    }

    /// The stored form of all records, in parts.
    pub fn stored_parts(&self) -> impl Iterator<Item = &[u8]> {
        self.names.values().map(|of_name| of_name.stored.as_slice())
    }

    /// The SOA record.
    fn soa(&self) -> Option<&Record> {
        self.record_set(&self.origin, RecordType::SOA).next()
    }
    /// The serial number of the SOA record.
    pub fn serial(&self) -> u32 {
        match self.soa().map(|record| &record.data) {
            Some(RData::SOA(soa)) => soa.serial,
            _ => 0,
        }
    }
    fn records_of<'a>(&'a self, name: &Name) -> impl Iterator<Item = &'a Record> + use<'a> {
        self.names.get(name).into_iter().flat_map(|of_name| &of_name.records)
    }
    fn record_set<'a>(
        &'a self, name: &Name, record_type: RecordType,
    ) -> impl Iterator<Item = &'a Record> + use<'a> {
        self.records_of(name).filter(move |r| r.record_type() == record_type)
    }

    /// Applies an update completely or not at all, in time that grows with the update and not with the zone. Returns
    /// what has changed, if anything has.
    pub fn update(&mut self, message: &Message) -> (ResponseCode, Option<ZoneChange>) {
        let mut change = ZoneChange::default();
        match self.try_update(message, &mut change) {
            Ok(true) => (ResponseCode::NoError, Some(change)),
            Ok(false) => {
                self.revert(change);
                (ResponseCode::NoError, None)
            }
            Err(code) => {
                self.revert(change);
                (code, None)
            }
        }
    }

    fn try_update(&mut self, message: &Message, change: &mut ZoneChange) -> Result<bool, ResponseCode> {
        let [zone] = message.queries.as_slice() else { return Err(ResponseCode::FormErr) };
        if zone.query_type() != RecordType::SOA {
            return Err(ResponseCode::FormErr);
        }
        if *zone.name() != self.origin || zone.query_class() != DNSClass::IN {
            return Err(ResponseCode::NotAuth);
        }
        let serial = self.serial();
        self.prerequisites(&message.answers)?;
        self.check_updates(&message.authorities)?;
        message.authorities.iter().for_each(|update| self.apply(update, change));
        if !self.differs_from(change) {
            return Ok(false);
        }
        if self.serial() == serial {
            self.increment_serial(change);
        }
        self.finish(change)?;
        Ok(true)
    }

    /// Reverts an update, of which this is what it has changed.
    pub fn revert(&mut self, change: ZoneChange) {
        if change.before.is_empty() {
            return;
        }
        for (name, before) in change.before {
            if before.records.is_empty() {
                self.names.remove(&name);
            } else {
                self.names.insert(name, before);
            }
        }
        self.record_count = self.names.values().map(|of_name| of_name.records.len()).sum();
    }

    /// The records of a name, to be changed.
    fn edit(&mut self, name: &Name, change: &mut ZoneChange) -> &mut Vec<Record> {
        let of_name = self.names.entry(name.clone()).or_default();
        if !change.before.contains_key(name) {
            change.before.insert(name.clone(), of_name.clone());
        }
        &mut of_name.records
    }

    fn differs_from(&self, change: &ZoneChange) -> bool {
        let is_same = |(name, before): (&Name, &NameRecords)| {
            let now: Vec<_> = self.records_of(name).collect();
            now.len() == before.records.len()
                && now.iter().all(|r| before.records.iter().any(|b| b == *r && b.ttl == r.ttl))
        };
        !change.before.iter().all(is_same)
    }

    /// Brings the stored form and the count of records up to date.
    fn finish(&mut self, change: &ZoneChange) -> Result<(), ResponseCode> {
        for (name, before) in &change.before {
            let Some(of_name) = self.names.get_mut(name) else { continue };
            of_name.stored = stored_zone::encode_records(&of_name.records).map_err(|e| {
                tracing::error!("dns: a record cannot be stored, update refused: {e}");
                ResponseCode::ServFail
            })?;
            self.record_count = self.record_count + of_name.records.len() - before.records.len();
            if of_name.records.is_empty() {
                self.names.remove(name);
            }
        }
        if self.record_count > MAX_RECORDS { Err(ResponseCode::Refused) } else { Ok(()) }
    }

    fn increment_serial(&mut self, change: &mut ZoneChange) {
        let origin = self.origin.clone();
        for record in self.edit(&origin, change) {
            if let RData::SOA(soa) = &mut record.data {
                soa.increment_serial();
            }
        }
    }

    /// Checks the prerequisites of an update (RFC 2136, section 3.2).
    fn prerequisites(&self, conditions: &[Record]) -> Result<(), ResponseCode> {
        let mut required: Vec<&Record> = Vec::new();
        for condition in conditions {
            let (record_type, any) = (condition.record_type(), condition.record_type() == RecordType::ANY);
            if condition.ttl != 0 {
                return Err(ResponseCode::FormErr);
            }
            if !self.origin.zone_of(&condition.name) {
                return Err(ResponseCode::NotZone);
            }
            let present = if any {
                self.records_of(&condition.name).next()
            } else {
                self.record_set(&condition.name, record_type).next()
            }
            .is_some();
            match condition.dns_class {
                DNSClass::ANY | DNSClass::NONE if !has_no_data(condition) => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::ANY if !present => {
                    return Err(if any { ResponseCode::NXDomain } else { ResponseCode::NXRRSet });
                }
                DNSClass::NONE if present => {
                    return Err(if any { ResponseCode::YXDomain } else { ResponseCode::YXRRSet });
                }
                DNSClass::ANY | DNSClass::NONE => {}
                DNSClass::IN => required.push(condition),
                _ => return Err(ResponseCode::FormErr),
            }
        }
        for condition in &required {
            let wanted = || {
                required
                    .iter()
                    .filter(|e| e.name == condition.name && e.record_type() == condition.record_type())
            };
            let same = |r: &Record| wanted().any(|e| e.data == r.data);
            let mut present = self.record_set(&condition.name, condition.record_type());
            if !present.all(same)
                || self.record_set(&condition.name, condition.record_type()).count() != wanted().count()
            {
                return Err(ResponseCode::NXRRSet);
            }
        }
        Ok(())
    }

    /// Checks the changes of an update (RFC 2136, section 3.4.1).
    fn check_updates(&self, updates: &[Record]) -> Result<(), ResponseCode> {
        for update in updates {
            let record_type = update.record_type();
            if !self.origin.zone_of(&update.name) {
                return Err(ResponseCode::NotZone);
            }
            match update.dns_class {
                DNSClass::IN if record_type == RecordType::ANY || has_no_data(update) => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::IN if !is_supported(record_type) => return Err(ResponseCode::Refused),
                DNSClass::ANY if update.ttl != 0 || !has_no_data(update) => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::NONE if update.ttl != 0 || record_type == RecordType::ANY => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::IN | DNSClass::ANY | DNSClass::NONE => {}
                _ => return Err(ResponseCode::FormErr),
            }
        }
        Ok(())
    }

    /// Applies a change of an update (RFC 2136, section 3.4.2).
    fn apply(&mut self, update: &Record, change: &mut ZoneChange) {
        let (record_type, apex) = (update.record_type(), update.name == self.origin);
        let is_protected = |of_type: RecordType| apex && matches!(of_type, RecordType::SOA | RecordType::NS);
        match update.dns_class {
            DNSClass::ANY => self.edit(&update.name, change).retain(|r| {
                let matches = record_type == RecordType::ANY || r.record_type() == record_type;
                !matches || is_protected(r.record_type())
            }),
            DNSClass::NONE => {
                let last = record_type == RecordType::NS
                    && apex
                    && self.record_set(&update.name, record_type).count() == 1;
                if record_type != RecordType::SOA && !last {
                    self.edit(&update.name, change).retain(|r| r.data != update.data);
                }
            }
            _ => self.add(update, change),
        }
    }

    /// Adds a record, or replaces the SOA record by a later one.
    fn add(&mut self, update: &Record, change: &mut ZoneChange) {
        let Some(serial) = (if let RData::SOA(new) = &update.data { Some(new.serial) } else { None }) else {
            let records = self.edit(&update.name, change);
            records.retain(|r| r.data != update.data);
            return records.push(update.clone());
        };
        // Serial numbers wrap around: a later one lies less than half the number range ahead.
        let ahead = serial.wrapping_sub(self.serial());
        if update.name == self.origin && ahead != 0 && ahead < 1 << 31 {
            let records = self.edit(&update.name, change);
            records
                .iter_mut()
                .filter(|r| r.record_type() == RecordType::SOA)
                .for_each(|r| *r = update.clone());
        }
    }

    /// The endpoints that the zone lists, and an error text for each SRV record that names none.
    pub fn endpoints(&self, names: &NameIndex) -> (EndpointList, Vec<String>) {
        let (mut entries, mut errors) = (Vec::new(), Vec::new());
        for r in self.records() {
            let RData::SRV(srv) = &r.data else { continue };
            // SRV records of `_udp` services name instances instead of endpoints.
            if r.name.iter().nth(1) == Some(b"_udp") {
                continue;
            }
            match self.endpoint(&r.name, srv, names) {
                Some(listed) => entries.push(listed),
                None => errors.push(format!("{} {srv}: no destination, or its host has no address", r.name)),
            }
        }
        (EndpointList { generation: self.serial().into(), complete: true, entries }, errors)
    }

    /// The instances that a service of this zone names: the targets of its SRV records, by their first
    /// label. They are sorted by name, so that the order is the same on every instance.
    pub fn members(&self, service: &str) -> Result<Vec<NamedMember>, String> {
        let error = |e: hickory_proto::ProtoError| format!("{service}: {e}");
        let owner = Name::from_ascii(service).and_then(|n| n.append_domain(&self.origin)).map_err(error)?;
        let mut members = Vec::new();
        for r in self.record_set(&owner, RecordType::SRV) {
            let RData::SRV(srv) = &r.data else { continue };
            let ip = self.records_of(&srv.target).find_map(|r| r.data.ip_addr());
            let ip = ip.ok_or_else(|| format!("{} has no address", srv.target))?;
            let label = srv.target.iter().next().unwrap_or_default();
            let name = String::from_utf8_lossy(label).into_owned();
            members.push(NamedMember { name, address: SocketAddr::new(ip, srv.port) });
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members.is_empty() { Err(format!("the zone has no SRV record {owner}")) } else { Ok(members) }
    }

    /// The endpoint of an SRV record, `None` without a destination or an address.
    fn endpoint(
        &self, owner: &Name, srv: &hickory_proto::rr::rdata::SRV, names: &NameIndex,
    ) -> Option<ListedEndpoint> {
        let labels: Vec<&[u8]> = owner.iter().collect();
        let [b"_onyxrock", b"_tcp", destination, ..] = labels.as_slice() else { return None };
        let destination = std::str::from_utf8(destination).ok()?.parse().ok()?;
        let ip = self.records_of(&srv.target).find_map(|r| r.data.ip_addr())?;
        let texts = self.record_set(&srv.target, RecordType::TXT).filter_map(|r| match &r.data {
            RData::TXT(t) => Some(t.txt_data.iter().map(|s| String::from_utf8_lossy(s).into_owned())),
            _ => None,
        });
        let texts: Vec<String> = texts.flatten().collect();
        let text = |key: &str| texts.iter().find_map(|t| t.strip_prefix(key)?.strip_prefix('='));
        let index = |of: &BTreeMap<String, usize>, name: &str| of.get(name).copied().unwrap_or(usize::MAX);
        let zone = text("zone").unwrap_or("");
        let draining = text("state") == Some("draining");
        Some(ListedEndpoint {
            name: format!("{}:{}", srv.target.to_ascii().trim_end_matches('.'), srv.port),
            address: SocketAddr::new(ip, srv.port),
            zone: zone.to_owned(),
            started_ms: 0,
            entry: ListEntry {
                receiver: ReceiverId(0),
                state: if draining { EntryState::Draining } else { EntryState::Ready },
                destination: DestinationId(destination),
                kind: KindId(index(&names.kinds, text("kind").unwrap_or(""))),
                zone: ZoneId(index(&names.zones, zone)),
                weight: f64::from(srv.weight),
            },
        })
    }
}

/// Whether a record of an update names a record set only, without data.
fn has_no_data(r: &Record) -> bool {
    matches!(r.data, RData::Update0(_))
}

/// Whether the zone may contain records of this type.
fn is_supported(record_type: RecordType) -> bool {
    use RecordType::{A, AAAA, NS, SOA, SRV, TXT};
    matches!(record_type, A | AAAA | NS | SOA | SRV | TXT)
}

#[cfg(test)]
mod tests;
