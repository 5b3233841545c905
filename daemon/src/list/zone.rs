//! A DNS zone whose SRV records list endpoints. This module does no I/O.
//!
//! `_onyxrock._tcp.57 SRV 0 RATE PORT HOST` lists an endpoint of destination 57; HOST has an address, and a
//! TXT record with `zone=`, `kind=` and, while it drains, `state=draining`.

mod name_records;
mod update;

pub use update::ZoneChange;

use super::stored_zone;
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hickory_proto::serialize::txt::Parser;
use name_records::NameRecords;
use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use onyxrock_config::duties::NamedMember;
use onyxrock_config::list::{EndpointList, ListedEndpoint};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

/// Most records of a zone; an endpoint has at most three. An update beyond that is refused.
const MAX_RECORDS: usize = 65_536;

/// The types of the records that a zone may contain.
const SUPPORTED_TYPES: [RecordType; 6] =
    [RecordType::A, RecordType::AAAA, RecordType::NS, RecordType::SOA, RecordType::SRV, RecordType::TXT];

/// A zone with its records in memory.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The name of the zone.
    pub origin: Name,
    names: BTreeMap<Name, NameRecords>,
    record_count: usize,
    /// Bytes of the stored form of all records.
    stored_bytes: usize,
}

/// What the records of a host say about the endpoints there.
struct Host {
    address: Option<IpAddr>,
    zone: String,
    kind: String,
    draining: bool,
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
        let mut zone = Zone { origin, names: BTreeMap::new(), record_count: 0, stored_bytes: 0 };
        for record in records {
            zone.names.entry(record.name.clone()).or_default().put(record)?;
        }
        zone.record_count = zone.records().count();
        zone.stored_bytes = zone.stored_parts().map(<[u8]>::len).sum();
        if zone.soa().is_none() { Err("the zone has no SOA record".into()) } else { Ok(zone) }
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.names.values().flat_map(NameRecords::iter)
    }

    /// The stored form of all records, in parts.
    pub fn stored_parts(&self) -> impl Iterator<Item = &[u8]> {
        self.names.values().flat_map(NameRecords::stored)
    }

    /// Bytes of the stored form of all records.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
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
    fn record_set<'a>(
        &'a self, name: &Name, record_type: RecordType,
    ) -> impl Iterator<Item = &'a Record> + use<'a> {
        self.names.get(name).into_iter().flat_map(move |of_name| of_name.of_type(record_type))
    }

    /// The address of a host: the first one that it was given.
    fn address(&self, host: &Name) -> Option<IpAddr> {
        self.names.get(host)?.earliest(&[RecordType::A, RecordType::AAAA])?.data.ip_addr()
    }

    /// What the records of a host say.
    fn host(&self, host: &Name) -> Host {
        let texts = self.record_set(host, RecordType::TXT).filter_map(|record| match &record.data {
            RData::TXT(text) => Some(text.txt_data.iter().map(|bytes| String::from_utf8_lossy(bytes))),
            _ => None,
        });
        let texts: Vec<_> = texts.flatten().collect();
        let value = |key: &str| texts.iter().find_map(|text| text.strip_prefix(key)?.strip_prefix('='));
        Host {
            address: self.address(host),
            zone: value("zone").unwrap_or("").to_owned(),
            kind: value("kind").unwrap_or("").to_owned(),
            draining: value("state") == Some("draining"),
        }
    }

    /// The endpoints that the zone lists, and an error text for each SRV record that names none.
    pub fn endpoints(&self, names: &NameIndex) -> (EndpointList, Vec<String>) {
        let (mut entries, mut errors) = (Vec::new(), Vec::new());
        for endpoint in self.each_endpoint(names) {
            match endpoint {
                Ok(listed) => entries.push(listed),
                Err(error) => errors.push(error),
            }
        }
        (EndpointList { generation: self.generation(), complete: true, entries }, errors)
    }

    /// The generation of the list: the serial number of the zone.
    pub fn generation(&self) -> u64 {
        self.serial().into()
    }

    /// The endpoints that the zone lists, one after the other; an error text for an SRV record that names none.
    pub fn each_endpoint<'a>(
        &'a self, names: &'a NameIndex,
    ) -> impl Iterator<Item = Result<ListedEndpoint, String>> + 'a {
        // Many endpoints may have one host, and a host many records.
        let mut hosts: HashMap<&Name, Host> = HashMap::new();
        self.records().filter_map(move |record| {
            let RData::SRV(srv) = &record.data else { return None };
            // SRV records of `_udp` services name instances instead of endpoints.
            if record.name.iter().nth(1) == Some(b"_udp") {
                return None;
            }
            let host = hosts.entry(&srv.target).or_insert_with(|| self.host(&srv.target));
            let error = || format!("{} {srv}: no destination, or its host has no address", record.name);
            Some(endpoint(&record.name, srv, host, names).ok_or_else(error))
        })
    }

    /// The instances that a service of this zone names: the targets of its SRV records, by their first
    /// label. They are sorted by name, so that the order is the same on every instance.
    pub fn members(&self, service: &str) -> Result<Vec<NamedMember>, String> {
        let error = |e: hickory_proto::ProtoError| format!("{service}: {e}");
        let owner = Name::from_ascii(service).and_then(|n| n.append_domain(&self.origin)).map_err(error)?;
        let mut members = Vec::new();
        for r in self.record_set(&owner, RecordType::SRV) {
            let RData::SRV(srv) = &r.data else { continue };
            let ip = self.address(&srv.target).ok_or_else(|| format!("{} has no address", srv.target))?;
            let label = srv.target.iter().next().unwrap_or_default();
            let name = String::from_utf8_lossy(label).into_owned();
            members.push(NamedMember { name, address: SocketAddr::new(ip, srv.port) });
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members.is_empty() { Err(format!("the zone has no SRV record {owner}")) } else { Ok(members) }
    }
}

/// The endpoint of an SRV record, `None` without a destination or an address.
fn endpoint(owner: &Name, srv: &SRV, host: &Host, names: &NameIndex) -> Option<ListedEndpoint> {
    let labels: Vec<&[u8]> = owner.iter().collect();
    let [b"_onyxrock", b"_tcp", destination, ..] = labels.as_slice() else { return None };
    let destination = std::str::from_utf8(destination).ok()?.parse().ok()?;
    let index = |of: &BTreeMap<String, usize>, name: &str| of.get(name).copied().unwrap_or(usize::MAX);
    Some(ListedEndpoint {
        name: format!("{}:{}", srv.target.to_ascii().trim_end_matches('.'), srv.port),
        address: SocketAddr::new(host.address?, srv.port),
        zone: host.zone.clone(),
        started_ms: 0,
        entry: ListEntry {
            receiver: ReceiverId(0),
            state: if host.draining { EntryState::Draining } else { EntryState::Ready },
            destination: DestinationId(destination),
            kind: KindId(index(&names.kinds, &host.kind)),
            zone: ZoneId(index(&names.zones, &host.zone)),
            weight: f64::from(srv.weight),
        },
    })
}

/// Whether the zone may contain records of this type.
fn is_supported(record_type: RecordType) -> bool {
    SUPPORTED_TYPES.contains(&record_type)
}

#[cfg(test)]
mod tests;
