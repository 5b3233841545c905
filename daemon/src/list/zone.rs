//! A DNS zone whose SRV records list endpoints, and dynamic updates (RFC 2136) of it. This module does no
//! I/O.
//!
//! `_onyxrock._tcp.57 SRV 0 RATE PORT HOST` lists an endpoint of destination 57; HOST has an address, and a
//! TXT record with `zone=`, `kind=` and, while it drains, `state=draining`.

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::serialize::txt::Parser;
use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use onyxrock_config::duties::NamedMember;
use onyxrock_config::list::{EndpointList, ListedEndpoint};
use std::net::SocketAddr;

/// Most records of a zone; an endpoint has at most three. An update beyond that is refused.
const MAX_RECORDS: usize = 65_536;

/// A zone with its records in memory.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The name of the zone.
    pub origin: Name,
    records: Vec<Record>,
}

impl Zone {
    /// Reads a zone file (RFC 1035).
    pub fn parse(text: &str, origin: &str) -> Result<Zone, String> {
        let origin = Name::from_ascii(origin).map_err(|e| format!("origin: {e}"))?;
        let (origin, records) = Zone::parse_records(text, &origin)?;
        Zone { origin, records }.checked()
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
        Zone { origin, records }.checked()
    }

    /// All records.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// The zone, if it has a SOA record and only records of supported types.
    fn checked(self) -> Result<Zone, String> {
        let zone = self;
        if zone.soa_index().is_none() {
            return Err("the zone has no SOA record".into());
        }
        if let Some(r) = zone.records.iter().find(|r| !is_supported(r.record_type())) {
            return Err(format!("{} records have no use here", r.record_type()));
        }
        Ok(zone)
    }

    /// Index of the SOA record.
    fn soa_index(&self) -> Option<usize> {
        self.records.iter().position(|r| r.record_type() == RecordType::SOA)
    }
    /// The serial number of the SOA record.
    pub fn serial(&self) -> u32 {
        match self.soa_index().map(|i| &self.records[i].data) {
            Some(RData::SOA(soa)) => soa.serial,
            _ => 0,
        }
    }
    fn records_of<'a>(&'a self, name: &'a Name) -> impl Iterator<Item = &'a Record> {
        self.records.iter().filter(move |r| r.name == *name)
    }
    fn record_set<'a>(&'a self, name: &'a Name, record_type: RecordType) -> impl Iterator<Item = &'a Record> {
        self.records_of(name).filter(move |r| r.record_type() == record_type)
    }

    /// Applies an update completely or not at all. The flag tells whether the zone has changed.
    pub fn update(&mut self, message: &Message) -> (ResponseCode, bool) {
        let [zone] = message.queries.as_slice() else { return (ResponseCode::FormErr, false) };
        if zone.query_type() != RecordType::SOA {
            return (ResponseCode::FormErr, false);
        }
        if *zone.name() != self.origin || zone.query_class() != DNSClass::IN {
            return (ResponseCode::NotAuth, false);
        }
        let mut next = self.clone();
        let result = self.prerequisites(&message.answers).and_then(|()| next.apply(&message.authorities));
        match result {
            Err(code) => (code, false),
            Ok(()) => {
                let same = next.records.len() == self.records.len()
                    && next.records.iter().all(|r| self.records.iter().any(|o| o == r && o.ttl == r.ttl));
                if !same && next.serial() == self.serial() {
                    next.increment_serial();
                }
                *self = next;
                (ResponseCode::NoError, !same)
            }
        }
    }

    fn increment_serial(&mut self) {
        if let Some(i) = self.soa_index()
            && let RData::SOA(soa) = &mut self.records[i].data
        {
            soa.increment_serial();
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

    /// Applies the changes of an update after a check of all of them (RFC 2136, section 3.4).
    fn apply(&mut self, updates: &[Record]) -> Result<(), ResponseCode> {
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
        for update in updates {
            let (record_type, apex) = (update.record_type(), update.name == self.origin);
            let is_protected =
                |of_type: RecordType| apex && matches!(of_type, RecordType::SOA | RecordType::NS);
            match update.dns_class {
                DNSClass::ANY => self.records.retain(|r| {
                    let matches = r.name == update.name
                        && (record_type == RecordType::ANY || r.record_type() == record_type);
                    !matches || is_protected(r.record_type())
                }),
                DNSClass::NONE => {
                    let last = record_type == RecordType::NS
                        && apex
                        && self.record_set(&update.name, record_type).count() == 1;
                    if record_type != RecordType::SOA && !last {
                        self.records.retain(|r| r.name != update.name || r.data != update.data);
                    }
                }
                _ => self.add(update),
            }
        }
        if self.records.len() > MAX_RECORDS { Err(ResponseCode::Refused) } else { Ok(()) }
    }

    /// Adds a record, or replaces the SOA record by a later one.
    fn add(&mut self, update: &Record) {
        match (&update.data, self.soa_index()) {
            (RData::SOA(new), Some(i)) => {
                // Serial numbers wrap around: a later one lies less than half the number range ahead.
                let ahead = new.serial.wrapping_sub(self.serial());
                if update.name == self.origin && ahead != 0 && ahead < 1 << 31 {
                    self.records[i] = update.clone();
                }
            }
            _ => {
                self.records.retain(|r| r.name != update.name || r.data != update.data);
                self.records.push(update.clone());
            }
        }
    }

    /// The endpoints that the zone lists, and an error text for each SRV record that names none.
    pub fn endpoints(&self, names: &NameIndex) -> (EndpointList, Vec<String>) {
        let (mut entries, mut errors) = (Vec::new(), Vec::new());
        for r in &self.records {
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
        let index = |of: &std::collections::BTreeMap<String, usize>, name: &str| {
            of.get(name).copied().unwrap_or(usize::MAX)
        };
        let zone = text("zone").unwrap_or("");
        let draining = text("state") == Some("draining");
        Some(ListedEndpoint {
            name: format!("{}:{}", srv.target.to_ascii().trim_end_matches('.'), srv.port),
            address: SocketAddr::new(ip, srv.port),
            zone: zone.to_owned(),
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
mod tests {
    use super::super::stored_zone;
    use super::*;
    use hickory_proto::op::{MessageType, OpCode, Query};

    const TEXT: &str = "$TTL 60\n@ IN SOA ns admin 7 3600 600 86400 60\n@ IN NS ns\nns IN A 127.0.0.1\n\
        _onyxrock._tcp.57 IN SRV 0 12 7070 e1\ne1 IN A 127.0.0.9\ne1 IN TXT \"zone=z2\" \"kind=k\"\n";

    fn test_zone() -> Zone {
        Zone::parse(TEXT, "partners.example.").unwrap()
    }
    fn name(n: &str) -> Name {
        Name::from_ascii(format!("{n}.partners.example.")).unwrap()
    }
    fn record(class: DNSClass, owner: &str, ttl: u32, data: RData) -> Record {
        let mut r = Record::from_rdata(name(owner), ttl, data);
        r.dns_class = class;
        r
    }
    fn text(t: &str) -> RData {
        RData::TXT(hickory_proto::rr::rdata::TXT::new(vec![t.to_owned()]))
    }
    fn message(conditions: Vec<Record>, updates: Vec<Record>) -> Message {
        let mut m = Message::new(5, MessageType::Query, OpCode::Update);
        m.add_query(Query::query(Name::from_ascii("partners.example.").unwrap(), RecordType::SOA));
        m.answers = conditions;
        m.authorities = updates;
        Message::from_vec(&m.to_vec().unwrap()).unwrap() // encoded and decoded, as over the network
    }
    fn names() -> NameIndex {
        let one = |n: &str, i| [(n.to_owned(), i)].into_iter().collect();
        NameIndex { zones: one("z2", 1), kinds: one("k", 0), ..NameIndex::default() }
    }

    #[test]
    fn zone_file_lists_endpoints_and_survives_a_round_trip_through_its_stored_form() {
        let zone = test_zone();
        let (list, errors) = zone.endpoints(&names());
        assert!(errors.is_empty(), "{errors:?}");
        let e = &list.entries[0];
        assert_eq!(
            (e.name.as_str(), e.address.to_string()),
            ("e1.partners.example:7070", "127.0.0.9:7070".into())
        );
        assert_eq!((e.entry.destination, e.entry.zone, e.entry.weight), (DestinationId(57), ZoneId(1), 12.0));
        let stored = stored_zone::encode(&zone).unwrap();
        let (read, left_out) = stored_zone::decode(&stored, "partners.example.").unwrap();
        assert!(left_out.is_empty(), "{left_out:?}");
        assert_eq!((stored_zone::encode(&read).unwrap(), list.generation), (stored, 7));
    }

    #[test]
    fn udp_service_names_instances_and_no_endpoints() {
        let text = format!(
            "{TEXT}m2 IN A 127.0.0.2\n_m._udp IN SRV 0 0 70 m2 ; second\n IN SRV 0 0 71 m1\nm1 A 127.0.0.1\n"
        );
        let zone = Zone::parse(&text, "partners.example.").unwrap();
        let shown: Vec<_> =
            zone.members("_m._udp").unwrap().iter().map(|m| format!("{} {}", m.name, m.address)).collect();
        assert_eq!(shown, ["m1 127.0.0.1:71", "m2 127.0.0.2:70"]);
        assert_eq!((zone.endpoints(&names()).0.entries.len(), zone.endpoints(&names()).1.len()), (1, 0));
        assert!(zone.members("_x._udp").unwrap_err().contains("no SRV record"));
        let lost = Zone::parse(&text.replace("m1 A 127.0.0.1\n", ""), "partners.example.").unwrap();
        assert!(lost.members("_m._udp").unwrap_err().contains("no address"));
    }

    #[test]
    fn update_is_applied_completely_or_not_at_all_and_raises_the_serial() {
        let mut zone = test_zone();
        let add = record(DNSClass::IN, "e1", 60, text("state=draining"));
        assert_eq!(zone.update(&message(vec![], vec![add.clone()])), (ResponseCode::NoError, true));
        assert_eq!(zone.endpoints(&names()).0.entries[0].entry.state, EntryState::Draining);
        assert_eq!(zone.serial(), 8);
        assert_eq!(
            zone.update(&message(vec![], vec![add])),
            (ResponseCode::NoError, false),
            "an update without effect"
        );
        assert_eq!(zone.serial(), 8);
        // The second change is invalid, so the first one is not applied either.
        let delete = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
        let foreign = Record::from_rdata(Name::from_ascii("x.example.").unwrap(), 1, text("a"));
        assert_eq!(
            zone.update(&message(vec![], vec![delete.clone(), foreign])),
            (ResponseCode::NotZone, false)
        );
        assert_eq!(zone.endpoints(&names()).0.entries.len(), 1);
        assert_eq!(zone.update(&message(vec![], vec![delete])), (ResponseCode::NoError, true));
        let (list, errors) = zone.endpoints(&names());
        assert_eq!(
            (list.entries.len(), errors.len()),
            (0, 1),
            "the SRV record's host has no address any more"
        );
    }

    #[test]
    fn deletions_remove_single_records_but_never_the_apex() {
        let mut zone = test_zone();
        let draining = record(DNSClass::IN, "e1", 60, text("state=draining"));
        zone.update(&message(vec![], vec![draining]));
        let back = record(DNSClass::NONE, "e1", 0, text("state=draining"));
        assert_eq!(zone.update(&message(vec![], vec![back])), (ResponseCode::NoError, true));
        assert_eq!(zone.endpoints(&names()).0.entries[0].entry.state, EntryState::Ready);
        let mut all = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
        all.name = zone.origin.clone();
        assert_eq!(zone.update(&message(vec![], vec![all])), (ResponseCode::NoError, false));
        let has = |of_type| zone.records().iter().any(|r| r.record_type() == of_type);
        assert!(has(RecordType::SOA) && has(RecordType::NS));
    }

    #[test]
    fn failed_prerequisites_are_reported() {
        let case = |class, owner: &str, data| message(vec![record(class, owner, 0, data)], vec![]);
        let none = |t| RData::Update0(t);
        let mut zone = test_zone();
        for (m, code) in [
            (case(DNSClass::ANY, "e1", none(RecordType::ANY)), ResponseCode::NoError),
            (case(DNSClass::ANY, "e2", none(RecordType::ANY)), ResponseCode::NXDomain),
            (case(DNSClass::ANY, "e1", none(RecordType::SRV)), ResponseCode::NXRRSet),
            (case(DNSClass::NONE, "e1", none(RecordType::ANY)), ResponseCode::YXDomain),
            (case(DNSClass::NONE, "e1", none(RecordType::TXT)), ResponseCode::YXRRSet),
            (case(DNSClass::NONE, "e2", none(RecordType::A)), ResponseCode::NoError),
            (case(DNSClass::IN, "e1", RData::A("127.0.0.9".parse().unwrap())), ResponseCode::NoError),
            (case(DNSClass::IN, "e1", RData::A("127.0.0.8".parse().unwrap())), ResponseCode::NXRRSet),
        ] {
            assert_eq!(zone.update(&m).0, code);
        }
        let mut other = message(vec![], vec![]);
        other.queries[0].set_name(Name::from_ascii("other.example.").unwrap());
        assert_eq!(zone.update(&other).0, ResponseCode::NotAuth);
    }
}
