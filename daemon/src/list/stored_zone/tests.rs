//! Records as operators send them, through the stored form and back.

use super::*;
use hickory_proto::rr::rdata::{A, TXT};
use hickory_proto::rr::{DNSClass, RData};
use rstest::rstest;

const ORIGIN: &str = "partners.example.";
const ZONE: &str = "$TTL 60\n@ IN SOA ns admin 7 3600 600 86400 60\n@ IN NS ns\nns IN A 127.0.0.1\n";

fn with_record(name: Name, data: RData) -> Zone {
    let mut records = Zone::parse(ZONE, ORIGIN).unwrap().records().cloned().collect::<Vec<_>>();
    let mut record = Record::from_rdata(name, 60, data);
    record.dns_class = DNSClass::IN;
    records.push(record);
    Zone::from_records(records, ORIGIN).unwrap()
}

fn assert_round_trip(zone: &Zone) {
    let (read, left_out) = decode(&encode(zone), ORIGIN).unwrap();
    assert!(left_out.is_empty());
    assert_eq!(read.records().count(), zone.records().count());
    assert!(read.records().zip(zone.records()).all(|(a, b)| is_same(a, b)));
}

/// Guards against a host name that is accepted and cannot be read after a restart.
#[rstest]
fn any_label_is_read_again(
    #[values(
        &b"khan_bank_3"[..], b"a b", b"a;b", b"(", b"\"", b"\\", b"@", b"$", b"-x", b"a.b", b"\n", b"\0", b"\xff"
    )]
    label: &[u8],
) {
    let name = Name::from_labels([label, b"partners", b"example"]).unwrap();
    assert_round_trip(&with_record(name, RData::A(A::new(127, 0, 0, 9))));
}

/// Guards against a text that is accepted and cannot be read, or reads as another one, after a restart.
#[rstest]
fn any_text_is_read_again(
    #[values(&b""[..], b"ends in \\", b"\\1", b"\"", b"a;b", b"\n", b"\xff\0")] text: &[u8],
) {
    let name = Name::from_ascii("e1.partners.example.").unwrap();
    assert_round_trip(&with_record(name, RData::TXT(TXT::from_bytes(vec![text]))));
}

#[test]
fn damaged_copy_is_refused() {
    let whole = encode(&Zone::parse(ZONE, ORIGIN).unwrap());
    for length in HEADER.len()..whole.len() {
        assert!(decode(&whole[..length], ORIGIN).is_err(), "cut at {length}");
    }
    for position in HEADER.len()..whole.len() {
        let mut damaged = whole.clone();
        damaged[position] ^= 1;
        assert!(decode(&damaged, ORIGIN).is_err(), "changed at {position}");
    }
}

/// Guards against the loss of all updates that an earlier version stored next to a record it cannot read.
#[test]
fn zone_file_of_an_earlier_version_is_read_but_for_the_records_that_cannot_be() {
    let text = "partners.example. 60 IN SOA ns.partners.example. admin.partners.example. 9 3600 600 86400 60\n\
        khan_bank_3.partners.example. 60 IN A 127.0.0.1\n\
        khan-bank-2.partners.example. 60 IN A 127.0.0.2\n\
        khan-bank-2.partners.example. 60 IN TXT \"zone=z2\" \"kind=k\"\n";
    let (zone, left_out) = decode(text.as_bytes(), ORIGIN).unwrap();
    assert_eq!((zone.serial(), zone.records().count()), (9, 3));
    assert!(left_out.len() == 1 && left_out[0].starts_with("khan_bank_3"), "{left_out:?}");
    let without_soa = text.lines().skip(1).collect::<Vec<_>>().join("\n");
    assert!(decode(without_soa.as_bytes(), ORIGIN).is_err());
}
