//! Zones and updates of them.

use super::*;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::DNSClass;
use hickory_proto::rr::rdata::A;

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

/// The response to an update, and whether the zone has changed.
fn update(zone: &mut Zone, message: &Message) -> (ResponseCode, bool) {
    let (code, change) = zone.update(message);
    (code, change.is_some())
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
    let stored = stored_zone::encode(&zone);
    let (read, left_out) = stored_zone::decode(&stored, "partners.example.").unwrap();
    assert!(left_out.is_empty(), "{left_out:?}");
    assert_eq!((stored_zone::encode(&read), list.generation), (stored, 7));
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
    assert_eq!(update(&mut zone, &message(vec![], vec![add.clone()])), (ResponseCode::NoError, true));
    assert_eq!(zone.endpoints(&names()).0.entries[0].entry.state, EntryState::Draining);
    assert_eq!(zone.serial(), 8);
    assert_eq!(
        update(&mut zone, &message(vec![], vec![add])),
        (ResponseCode::NoError, false),
        "an update without effect"
    );
    assert_eq!(zone.serial(), 8);
    // The second change is invalid, so the first one is not applied either.
    let delete = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
    let foreign = Record::from_rdata(Name::from_ascii("x.example.").unwrap(), 1, text("a"));
    assert_eq!(
        update(&mut zone, &message(vec![], vec![delete.clone(), foreign])),
        (ResponseCode::NotZone, false)
    );
    assert_eq!(zone.endpoints(&names()).0.entries.len(), 1);
    assert_eq!(update(&mut zone, &message(vec![], vec![delete])), (ResponseCode::NoError, true));
    let (list, errors) = zone.endpoints(&names());
    assert_eq!((list.entries.len(), errors.len()), (0, 1), "the SRV record's host has no address any more");
}

#[test]
fn deletions_remove_single_records_but_never_the_apex() {
    let mut zone = test_zone();
    let draining = record(DNSClass::IN, "e1", 60, text("state=draining"));
    update(&mut zone, &message(vec![], vec![draining]));
    let back = record(DNSClass::NONE, "e1", 0, text("state=draining"));
    assert_eq!(update(&mut zone, &message(vec![], vec![back])), (ResponseCode::NoError, true));
    assert_eq!(zone.endpoints(&names()).0.entries[0].entry.state, EntryState::Ready);
    let mut all = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
    all.name = zone.origin.clone();
    assert_eq!(update(&mut zone, &message(vec![], vec![all])), (ResponseCode::NoError, false));
    let has = |of_type| zone.records().any(|r| r.record_type() == of_type);
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

fn address(class: DNSClass, ttl: u32, last_byte: u8) -> Record {
    record(class, "e1", ttl, RData::A(A::new(127, 0, 0, last_byte)))
}

fn addresses_of_e1(zone: &Zone) -> Vec<String> {
    zone.record_set(&name("e1"), RecordType::A).map(|r| format!("{} {}", r.data, r.ttl)).collect()
}

#[test]
fn changes_that_cancel_out_leave_the_zone_as_it_was() {
    let mut zone = test_zone();
    let whole = stored_zone::encode(&zone);
    let both = vec![address(DNSClass::IN, 60, 1), address(DNSClass::NONE, 0, 1)];
    assert_eq!(update(&mut zone, &message(vec![], both)), (ResponseCode::NoError, false));
    let delete = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::A));
    let again = vec![delete, address(DNSClass::IN, 60, 9)];
    assert_eq!(update(&mut zone, &message(vec![], again)), (ResponseCode::NoError, false));
    assert_eq!((stored_zone::encode(&zone), zone.serial()), (whole, 7));
}

#[test]
fn record_is_replaced_in_its_place_and_the_first_address_counts() {
    let mut zone = test_zone();
    let updates = vec![address(DNSClass::IN, 60, 1), address(DNSClass::IN, 90, 9)];
    assert_eq!(update(&mut zone, &message(vec![], updates)), (ResponseCode::NoError, true));
    assert_eq!(addresses_of_e1(&zone), ["127.0.0.9 90", "127.0.0.1 60"]);
    assert_eq!(zone.endpoints(&names()).0.entries[0].address.to_string(), "127.0.0.9:7070");
}

/// Guards against an update that cannot be kept and of which something stays.
#[test]
fn reverted_update_leaves_nothing() {
    let mut zone = test_zone();
    let (whole, count) = (stored_zone::encode(&zone), zone.records().count());
    let everything = record(DNSClass::ANY, "e1", 0, RData::Update0(RecordType::ANY));
    let updates =
        vec![everything, address(DNSClass::IN, 90, 9), record(DNSClass::IN, "e2", 60, text("zone=z1"))];
    let change = zone.update(&message(vec![], updates)).1.unwrap();
    assert_eq!(zone.serial(), 8);
    zone.revert(change);
    assert_eq!((stored_zone::encode(&zone), zone.record_count, zone.stored_bytes), {
        let parts: usize = zone.stored_parts().map(<[u8]>::len).sum();
        (whole, count, parts)
    });
    assert!(!zone.names.contains_key(&name("e2")));
}

#[test]
fn prerequisite_names_a_whole_set_of_records() {
    let mut zone = test_zone();
    update(&mut zone, &message(vec![], vec![address(DNSClass::IN, 60, 1)]));
    let require = |last_bytes: &[u8]| {
        message(last_bytes.iter().map(|byte| address(DNSClass::IN, 0, *byte)).collect(), vec![])
    };
    assert_eq!(zone.update(&require(&[1, 9])).0, ResponseCode::NoError);
    for other_set in [&[9][..], &[1, 8], &[1, 8, 9]] {
        assert_eq!(zone.update(&require(other_set)).0, ResponseCode::NXRRSet, "{other_set:?}");
    }
}
