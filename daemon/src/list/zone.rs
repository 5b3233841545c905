//! A zone whose SRV records list endpoints, and the dynamic updates of RFC 2136 to it. No I/O.
//!
//! `_onyxrock._tcp.57 SRV 0 RATE PORT HOST` lists an endpoint of destination 57; HOST has an address, and a TXT
//! record with `zone=`, `kind=` and, while it drains, `state=draining`.

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::serialize::txt::Parser;
use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use onyxrock_config::duties::NamedMember;
use onyxrock_config::list::{EndpointList, ListedEndpoint};
use std::fmt::Write;
use std::net::SocketAddr;

/// Records of a zone, three for an endpoint at most: more is refused.
const MOST: usize = 65_536;

#[derive(Clone, Debug)]
pub struct Zone {
    pub origin: Name,
    records: Vec<Record>,
}

impl Zone {
    /// Reads a zone file (RFC 1035).
    pub fn parse(text: &str, origin: &str) -> Result<Zone, String> {
        let origin = Name::from_ascii(origin).map_err(|e| format!("origin: {e}"))?;
        let (origin, sets) = Parser::new(text, None, Some(origin)).parse().map_err(|e| e.to_string())?;
        let records = sets.values().flat_map(|s| s.records_without_rrsigs().cloned()).collect();
        let zone = Zone { origin, records };
        if zone.soa().is_none() {
            return Err("the zone has no SOA record".into());
        }
        if let Some(r) = zone.records.iter().find(|r| !kept(r.record_type())) {
            return Err(format!("{} records have no use here", r.record_type()));
        }
        Ok(zone)
    }

    fn soa(&self) -> Option<usize> {
        self.records.iter().position(|r| r.record_type() == RecordType::SOA)
    }
    pub fn serial(&self) -> u32 {
        match self.soa().map(|i| &self.records[i].data) {
            Some(RData::SOA(soa)) => soa.serial,
            _ => 0,
        }
    }
    fn named<'a>(&'a self, name: &'a Name) -> impl Iterator<Item = &'a Record> {
        self.records.iter().filter(move |r| r.name == *name)
    }
    fn set<'a>(&'a self, name: &'a Name, kind: RecordType) -> impl Iterator<Item = &'a Record> {
        self.named(name).filter(move |r| r.record_type() == kind)
    }

    /// Carries an update out as a whole or not at all. True if the zone is another one now.
    pub fn update(&mut self, m: &Message) -> (ResponseCode, bool) {
        let [zone] = m.queries.as_slice() else { return (ResponseCode::FormErr, false) };
        if zone.query_type() != RecordType::SOA {
            return (ResponseCode::FormErr, false);
        }
        if *zone.name() != self.origin || zone.query_class() != DNSClass::IN {
            return (ResponseCode::NotAuth, false);
        }
        let mut next = self.clone();
        let done = self.prerequisites(&m.answers).and_then(|()| next.change(&m.authorities));
        match done {
            Err(code) => (code, false),
            Ok(()) => {
                let same = next.records.len() == self.records.len()
                    && next.records.iter().all(|r| self.records.iter().any(|o| o == r && o.ttl == r.ttl));
                if !same && next.serial() == self.serial() {
                    next.count();
                }
                *self = next;
                (ResponseCode::NoError, !same)
            }
        }
    }

    fn count(&mut self) {
        if let Some(i) = self.soa()
            && let RData::SOA(soa) = &mut self.records[i].data
        {
            soa.increment_serial();
        }
    }

    /// RFC 2136, 3.2.
    fn prerequisites(&self, conditions: &[Record]) -> Result<(), ResponseCode> {
        let mut exact: Vec<&Record> = Vec::new();
        for c in conditions {
            let (kind, any) = (c.record_type(), c.record_type() == RecordType::ANY);
            if c.ttl != 0 {
                return Err(ResponseCode::FormErr);
            }
            if !self.origin.zone_of(&c.name) {
                return Err(ResponseCode::NotZone);
            }
            let there =
                if any { self.named(&c.name).next() } else { self.set(&c.name, kind).next() }.is_some();
            match c.dns_class {
                DNSClass::ANY | DNSClass::NONE if !empty(c) => return Err(ResponseCode::FormErr),
                DNSClass::ANY if !there => {
                    return Err(if any { ResponseCode::NXDomain } else { ResponseCode::NXRRSet });
                }
                DNSClass::NONE if there => {
                    return Err(if any { ResponseCode::YXDomain } else { ResponseCode::YXRRSet });
                }
                DNSClass::ANY | DNSClass::NONE => {}
                DNSClass::IN => exact.push(c),
                _ => return Err(ResponseCode::FormErr),
            }
        }
        for c in &exact {
            let wanted = || exact.iter().filter(|e| e.name == c.name && e.record_type() == c.record_type());
            let same = |r: &Record| wanted().any(|e| e.data == r.data);
            let mut there = self.set(&c.name, c.record_type());
            if !there.all(same) || self.set(&c.name, c.record_type()).count() != wanted().count() {
                return Err(ResponseCode::NXRRSet);
            }
        }
        Ok(())
    }

    /// RFC 2136, 3.4: first a look at all of it, then the changes.
    fn change(&mut self, updates: &[Record]) -> Result<(), ResponseCode> {
        for u in updates {
            let kind = u.record_type();
            if !self.origin.zone_of(&u.name) {
                return Err(ResponseCode::NotZone);
            }
            match u.dns_class {
                DNSClass::IN if kind == RecordType::ANY || empty(u) => return Err(ResponseCode::FormErr),
                DNSClass::IN if !kept(kind) => return Err(ResponseCode::Refused),
                DNSClass::ANY if u.ttl != 0 || !empty(u) => return Err(ResponseCode::FormErr),
                DNSClass::NONE if u.ttl != 0 || kind == RecordType::ANY => return Err(ResponseCode::FormErr),
                DNSClass::IN | DNSClass::ANY | DNSClass::NONE => {}
                _ => return Err(ResponseCode::FormErr),
            }
        }
        for u in updates {
            let (kind, apex) = (u.record_type(), u.name == self.origin);
            let guarded = |k: RecordType| apex && matches!(k, RecordType::SOA | RecordType::NS);
            match u.dns_class {
                DNSClass::ANY => self.records.retain(|r| {
                    let named = r.name == u.name && (kind == RecordType::ANY || r.record_type() == kind);
                    !named || guarded(r.record_type())
                }),
                DNSClass::NONE => {
                    let last = kind == RecordType::NS && apex && self.set(&u.name, kind).count() == 1;
                    if kind != RecordType::SOA && !last {
                        self.records.retain(|r| r.name != u.name || r.data != u.data);
                    }
                }
                _ => self.add(u),
            }
        }
        if self.records.len() > MOST { Err(ResponseCode::Refused) } else { Ok(()) }
    }

    fn add(&mut self, u: &Record) {
        match (&u.data, self.soa()) {
            (RData::SOA(new), Some(i)) => {
                // Serial numbers go round: later is what lies less than half the circle ahead.
                let ahead = new.serial.wrapping_sub(self.serial());
                if u.name == self.origin && ahead != 0 && ahead < 1 << 31 {
                    self.records[i] = u.clone();
                }
            }
            _ => {
                self.records.retain(|r| r.name != u.name || r.data != u.data);
                self.records.push(u.clone());
            }
        }
    }

    /// As a zone file.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let soa_first = self.records.iter().filter(|r| r.record_type() == RecordType::SOA);
        let rest = self.records.iter().filter(|r| r.record_type() != RecordType::SOA);
        for r in soa_first.chain(rest) {
            let data = match &r.data {
                RData::TXT(t) => {
                    let quoted = |s: &[u8]| format!("\"{}\"", String::from_utf8_lossy(s).replace('"', ""));
                    t.txt_data.iter().map(|s| quoted(s)).collect::<Vec<_>>().join(" ")
                }
                other => other.to_string(),
            };
            let _ = writeln!(out, "{} {} IN {} {data}", r.name, r.ttl, r.record_type());
        }
        out
    }

    /// The endpoints that it lists, and a line for each SRV record that names none.
    pub fn endpoints(&self, names: &NameIndex) -> (EndpointList, Vec<String>) {
        let (mut entries, mut wrong) = (Vec::new(), Vec::new());
        for r in &self.records {
            let RData::SRV(srv) = &r.data else { continue };
            // Others than endpoints may stand in the zone: instances, which speak UDP.
            if r.name.iter().nth(1) == Some(b"_udp") {
                continue;
            }
            match self.endpoint(&r.name, srv, names) {
                Some(listed) => entries.push(listed),
                None => wrong.push(format!("{} {srv}: no destination, or its host has no address", r.name)),
            }
        }
        (EndpointList { generation: self.serial().into(), complete: true, entries }, wrong)
    }

    /// The instances that a service of this zone names, in the order of their names, so that it is one everywhere: its
    /// SRV records' hosts, by their first label.
    pub fn members(&self, service: &str) -> Result<Vec<NamedMember>, String> {
        let wrong = |e: hickory_proto::ProtoError| format!("{service}: {e}");
        let owner = Name::from_ascii(service).and_then(|n| n.append_domain(&self.origin)).map_err(wrong)?;
        let mut members = Vec::new();
        for r in self.set(&owner, RecordType::SRV) {
            let RData::SRV(srv) = &r.data else { continue };
            let ip = self.named(&srv.target).find_map(|r| r.data.ip_addr());
            let ip = ip.ok_or_else(|| format!("{} has no address", srv.target))?;
            let label = srv.target.iter().next().unwrap_or_default();
            let name = String::from_utf8_lossy(label).into_owned();
            members.push(NamedMember { name, address: SocketAddr::new(ip, srv.port) });
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members.is_empty() { Err(format!("the zone has no SRV record {owner}")) } else { Ok(members) }
    }

    fn endpoint(
        &self, owner: &Name, srv: &hickory_proto::rr::rdata::SRV, names: &NameIndex,
    ) -> Option<ListedEndpoint> {
        let labels: Vec<&[u8]> = owner.iter().collect();
        let [b"_onyxrock", b"_tcp", destination, ..] = labels.as_slice() else { return None };
        let destination = std::str::from_utf8(destination).ok()?.parse().ok()?;
        let ip = self.named(&srv.target).find_map(|r| r.data.ip_addr())?;
        let texts = self.set(&srv.target, RecordType::TXT).filter_map(|r| match &r.data {
            RData::TXT(t) => Some(t.txt_data.iter().map(|s| String::from_utf8_lossy(s).into_owned())),
            _ => None,
        });
        let texts: Vec<String> = texts.flatten().collect();
        let text = |key: &str| texts.iter().find_map(|t| t.strip_prefix(key)?.strip_prefix('='));
        let place = |of: &std::collections::BTreeMap<String, usize>, name: &str| {
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
                kind: KindId(place(&names.kinds, text("kind").unwrap_or(""))),
                zone: ZoneId(place(&names.zones, zone)),
                weight: f64::from(srv.weight),
            },
        })
    }
}

fn empty(r: &Record) -> bool {
    matches!(r.data, RData::Update0(_))
}

fn kept(kind: RecordType) -> bool {
    use RecordType::{A, AAAA, NS, SOA, SRV, TXT};
    matches!(kind, A | AAAA | NS | SOA | SRV | TXT)
}

#[cfg(test)]
mod tests {
    use super::*;
    use hickory_proto::op::{MessageType, OpCode, Query};

    const TEXT: &str = "$TTL 60\n@ IN SOA ns admin 7 3600 600 86400 60\n@ IN NS ns\nns IN A 127.0.0.1\n\
        _onyxrock._tcp.57 IN SRV 0 12 7070 e1\ne1 IN A 127.0.0.9\ne1 IN TXT \"zone=z2\" \"kind=k\"\n";

    fn zone() -> Zone {
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
        Message::from_vec(&m.to_vec().unwrap()).unwrap() // as it comes over the wire
    }
    fn names() -> NameIndex {
        let one = |n: &str, i| [(n.to_owned(), i)].into_iter().collect();
        NameIndex { zones: one("z2", 1), kinds: one("k", 0), ..NameIndex::default() }
    }

    #[test]
    fn a_zone_file_lists_endpoints_and_comes_back_as_text() {
        let z = zone();
        let (list, wrong) = z.endpoints(&names());
        assert!(wrong.is_empty(), "{wrong:?}");
        let e = &list.entries[0];
        assert_eq!(
            (e.name.as_str(), e.address.to_string()),
            ("e1.partners.example:7070", "127.0.0.9:7070".into())
        );
        assert_eq!((e.entry.destination, e.entry.zone, e.entry.weight), (DestinationId(57), ZoneId(1), 12.0));
        let again = Zone::parse(&z.text(), "partners.example.").unwrap();
        assert_eq!((again.text(), list.generation), (z.text(), 7));
    }

    #[test]
    fn a_service_names_instances_and_no_endpoints() {
        let text = format!(
            "{TEXT}m2 IN A 127.0.0.2\n_m._udp IN SRV 0 0 70 m2 ; second\n IN SRV 0 0 71 m1\nm1 A 127.0.0.1\n"
        );
        let z = Zone::parse(&text, "partners.example.").unwrap();
        let shown: Vec<_> =
            z.members("_m._udp").unwrap().iter().map(|m| format!("{} {}", m.name, m.address)).collect();
        assert_eq!(shown, ["m1 127.0.0.1:71", "m2 127.0.0.2:70"]);
        assert_eq!((z.endpoints(&names()).0.entries.len(), z.endpoints(&names()).1.len()), (1, 0));
        assert!(z.members("_x._udp").unwrap_err().contains("no SRV record"));
        let lost = Zone::parse(&text.replace("m1 A 127.0.0.1\n", ""), "partners.example.").unwrap();
        assert!(lost.members("_m._udp").unwrap_err().contains("no address"));
    }

    #[test]
    fn an_update_is_done_as_a_whole_and_counted() {
        let mut z = zone();
        let add = record(DNSClass::IN, "e1", 60, text("state=draining"));
        assert_eq!(z.update(&message(vec![], vec![add.clone()])), (ResponseCode::NoError, true));
        assert_eq!(z.endpoints(&names()).0.entries[0].entry.state, EntryState::Draining);
        assert_eq!(z.serial(), 8);
        assert_eq!(z.update(&message(vec![], vec![add])), (ResponseCode::NoError, false), "nothing new");
        assert_eq!(z.serial(), 8);
        // The second part is wrong, so the first is not done either.
        let delete = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
        let foreign = Record::from_rdata(Name::from_ascii("x.example.").unwrap(), 1, text("a"));
        assert_eq!(z.update(&message(vec![], vec![delete.clone(), foreign])), (ResponseCode::NotZone, false));
        assert_eq!(z.endpoints(&names()).0.entries.len(), 1);
        assert_eq!(z.update(&message(vec![], vec![delete])), (ResponseCode::NoError, true));
        let (list, wrong) = z.endpoints(&names());
        assert_eq!((list.entries.len(), wrong.len()), (0, 1), "its host has no address any more");
    }

    #[test]
    fn one_record_goes_and_the_apex_stays() {
        let mut z = zone();
        let draining = record(DNSClass::IN, "e1", 60, text("state=draining"));
        z.update(&message(vec![], vec![draining]));
        let back = record(DNSClass::NONE, "e1", 0, text("state=draining"));
        assert_eq!(z.update(&message(vec![], vec![back])), (ResponseCode::NoError, true));
        assert_eq!(z.endpoints(&names()).0.entries[0].entry.state, EntryState::Ready);
        let mut all = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
        all.name = z.origin.clone();
        assert_eq!(z.update(&message(vec![], vec![all])), (ResponseCode::NoError, false));
        assert!(z.text().contains("SOA") && z.text().contains("NS"));
    }

    #[test]
    fn prerequisites_decide() {
        let case = |class, owner: &str, data| message(vec![record(class, owner, 0, data)], vec![]);
        let none = |t| RData::Update0(t);
        let mut z = zone();
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
            assert_eq!(z.update(&m).0, code);
        }
        let mut other = message(vec![], vec![]);
        other.queries[0].set_name(Name::from_ascii("other.example.").unwrap());
        assert_eq!(z.update(&other).0, ResponseCode::NotAuth);
    }
}
