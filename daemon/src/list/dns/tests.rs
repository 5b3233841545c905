//! The DNS socket, with the test in the place of a client.

use super::*;
use crate::net::tests::assert_others_get_turns;
use async_channel::bounded;
use hickory_proto::op::{MessageType, Query};
use hickory_proto::rr::rdata::{A, TXT};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use rstest::rstest;

const ZONE: &str = "$TTL 60\n@ IN SOA ns admin 7 3600 600 86400 60\n@ IN NS ns\nns IN A 127.0.0.1\n";

/// Guards against a client that sends datagrams faster than they are handled: no other actor ran meanwhile.
#[rstest]
#[case::too_short_and_answered_with_an_error(&[0; 4])]
#[case::response_and_left_unanswered(&[0, 1, 0xa8, 0, 0, 0, 0, 0, 0, 0, 0, 0])]
fn other_actors_run_between_two_datagrams(#[case] datagram: &[u8]) {
    const DATAGRAM_COUNT: u64 = 50;
    let shared = SharedState::for_test(bounded(1).0);
    let listen = ([127, 0, 0, 1], 0).into();
    let folder =
        std::env::temp_dir().join(format!("onyxrock-dns-turns-{}-{}", datagram.len(), std::process::id()));
    let server =
        DnsServer::open(ZONE, "partners.example.", listen, folder, 1 << 16, NameIndex::default()).unwrap();
    let client = UdpSocket::bind("127.0.0.1:0").unwrap();
    client.connect(server.socket.get_ref().local_addr().unwrap()).unwrap();
    (0..DATAGRAM_COUNT).for_each(|_| assert_eq!(client.send(datagram).unwrap(), datagram.len()));
    let (_requests, request_inbox) = bounded(1);
    shared.executor.spawn(run(shared.clone(), server, request_inbox)).detach();
    assert_others_get_turns(&shared, |shared| &shared.counters.dns_messages, DATAGRAM_COUNT);
}

const ORIGIN: &str = "partners.example.";

/// Guards against a start that fails, or that loses endpoints, because the zone file has been cut short.
#[rstest]
#[case::within_a_record("e2 60 IN A 127.0.\n")]
#[case::within_a_name("_onyxrock._tcp.2 60 IN SRV 0 50 7070 n")]
fn zone_file_that_was_cut_short_leaves_the_stored_zone_in_use(#[case] last_line: &str) {
    let folder =
        std::env::temp_dir().join(format!("onyxrock-cut-{}-{}", last_line.len(), std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let open = |text: &str| {
        let listen = ([127, 0, 0, 1], 0).into();
        DnsServer::open(text, ORIGIN, listen, folder.clone(), 1 << 16, NameIndex::default())
    };
    let whole = format!("{ZONE}_onyxrock._tcp.1 60 IN SRV 0 50 7070 ns\n");
    let stored = stored_zone::encode(&open(&whole).unwrap().zone);
    let later = format!("{}{last_line}", ZONE.replace("admin 7 ", "admin 8 "));
    let server = open(&later).unwrap();
    assert_eq!((stored_zone::encode(&server.zone), future::block_on(server.list()).1.len()), (stored, 1));
    assert!(server.file_fault.is_some());
    // The whole file is in use again.
    let server = open(&whole.replace("admin 7 ", "admin 9 ")).unwrap();
    assert_eq!((server.zone.serial(), server.file_fault), (9, None));
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(open(&later).is_ok(), !last_line.ends_with('\n'), "without a stored zone");
}

/// An update that adds these records.
fn update(id: u16, records: Vec<Record>) -> Vec<u8> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Update);
    message.add_query(Query::query(Name::from_ascii(ORIGIN).unwrap(), RecordType::SOA));
    message.authorities = records;
    message.to_vec().unwrap()
}

fn record(label: &[u8], data: RData) -> Record {
    Record::from_rdata(Name::from_labels([label, b"partners", b"example"]).unwrap(), 60, data)
}

/// Guards against an update that is answered with NOERROR and gone after a restart, with all others: the stored copy
/// of the zone could not be read again for one name or string.
#[rstest]
#[case::underscore_in_host(b"khan_bank_3", b"zone=z2")]
#[case::blank_in_host(b"khan bank 3", b"zone=z2")]
#[case::semicolon_in_host(b"khan;3", b"zone=z2")]
#[case::backslash_at_the_end_of_a_text(b"khan-bank-3", b"zone=z2\\")]
#[case::quote_in_a_text(b"khan-bank-3", b"zone=\"z2\"")]
fn accepted_updates_outlast_a_restart(#[case] host: &[u8], #[case] text: &[u8]) {
    let folder = std::env::temp_dir().join(format!("onyxrock-dns-{}-{host:?}{text:?}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let open = || {
        let listen = ([127, 0, 0, 1], 0).into();
        DnsServer::open(ZONE, ORIGIN, listen, folder.clone(), 1 << 16, NameIndex::default()).unwrap()
    };
    let mut server = open();
    let host_records = vec![
        record(host, RData::A(A::new(127, 0, 0, 9))),
        record(host, RData::TXT(TXT::from_bytes(vec![text]))),
    ];
    let mut withdrawal = record(b"ns", RData::Update0(RecordType::ANY));
    (withdrawal.dns_class, withdrawal.ttl) = (DNSClass::ANY, 0);
    for (id, records) in [(1, host_records), (2, vec![withdrawal])] {
        let (reply, changed) = server.answer(&update(id, records)).unwrap();
        let code = Message::from_vec(&reply).unwrap().metadata.response_code;
        assert_eq!((code, changed), (ResponseCode::NoError, true));
    }
    let reopened = open();
    let content = |zone: &Zone| format!("{} {:?}", zone.origin, zone.records().collect::<Vec<_>>());
    assert_eq!(content(&reopened.zone), content(&server.zone));
    assert_eq!(stored_zone::encode(&reopened.zone), stored_zone::encode(&server.zone));
    std::fs::remove_dir_all(&folder).unwrap();
}
