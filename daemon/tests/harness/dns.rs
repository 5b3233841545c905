//! DNS zone files, and a client for dynamic updates (RFC 2136).

use hickory_proto::op::{Message, MessageType, OpCode, Query};
use hickory_proto::rr::rdata::{A, SRV, TXT};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// A zone file in which all endpoints belong to destination 1.
pub fn zone_file<'a>(endpoints: impl Iterator<Item = (&'a String, SocketAddr)>) -> String {
    let mut out = "@ 60 IN SOA ns admin 1 3600 600 86400 60\n@ 60 IN NS ns\n".to_owned();
    for (name, address) in endpoints {
        let _ = writeln!(out, "_onyxrock._tcp.1 60 IN SRV 0 50 {} {name}", address.port());
        let _ = writeln!(out, "{name} 60 IN A {}", address.ip());
        let _ = writeln!(out, "{name} 60 IN TXT \"zone=floor-2\" \"kind=club\"");
    }
    out
}

/// The name of a host in the zone.
fn name_in_zone(host: &str) -> Name {
    Name::from_ascii(format!("{host}.p.example.")).unwrap()
}

/// An update without changes.
fn empty_update() -> Message {
    let mut request = Message::new(9, MessageType::Query, OpCode::Update);
    request.add_query(Query::query(Name::from_ascii("p.example.").unwrap(), RecordType::SOA));
    request
}

/// A record that names an endpoint of destination 1 at port 9.
fn service_record(host: &str) -> Record {
    Record::from_rdata(
        name_in_zone("_onyxrock._tcp.1"),
        60,
        RData::SRV(SRV::new(0, 50, 9, name_in_zone(host))),
    )
}

/// An update that adds an endpoint of destination 1 at port 9.
pub fn addition(host: &str) -> Vec<u8> {
    let mut request = empty_update();
    request.authorities.push(service_record(host));
    request.to_vec().unwrap()
}

/// An update that adds an endpoint with its address, or removes it again.
pub fn addition_or_removal(host: &str, removes: bool) -> Vec<u8> {
    let mut request = empty_update();
    let address = Record::from_rdata(name_in_zone(host), 60, RData::A(A::new(127, 0, 0, 1)));
    for mut record in [service_record(host), address] {
        if removes {
            record.ttl = 0;
            record = as_deletion(record);
        }
        request.authorities.push(record);
    }
    request.to_vec().unwrap()
}

/// The host `name` with addresses, `count` from number `first` on.
fn addresses(name: &str, first: usize, count: usize, ttl: u32) -> impl Iterator<Item = Record> {
    let name = name_in_zone(name);
    (first..first + count).map(move |n| {
        let [_, b, c, d] = (n as u32).to_be_bytes();
        Record::from_rdata(name.clone(), ttl, RData::A(A::new(127, b, c, d)))
    })
}

/// An update that adds addresses to one host, `count` from number `first` on.
pub fn addition_of_addresses(host: &str, first: usize, count: usize) -> Vec<u8> {
    let mut request = empty_update();
    request.authorities.extend(addresses(host, first, count, 60));
    request.to_vec().unwrap()
}

/// An update that adds a host if another one has `count` addresses, and no others.
pub fn addition_if_addresses(host: &str, required: &str, count: usize) -> Vec<u8> {
    let mut request = empty_update();
    request.answers.extend(addresses(required, 0, count, 0));
    request.authorities.extend(addresses(host, 0, 1, 60));
    request.to_vec().unwrap()
}

/// Sends one update: `drain HOST`, `back HOST`, `remove HOST PORT`, or `garbage`, which names another zone.
/// Returns the code of the response.
pub fn send_update(server: SocketAddr, words: &[&str]) -> Result<String, String> {
    let mut request = empty_update();
    let draining_record = || RData::TXT(TXT::new(vec!["state=draining".to_owned()]));
    let record = match words {
        ["drain", host] => Record::from_rdata(name_in_zone(host), 60, draining_record()),
        ["back", host] => as_deletion(Record::from_rdata(name_in_zone(host), 0, draining_record())),
        ["remove", host, port] => {
            let port = port.parse().map_err(|_| "the port is not a number")?;
            as_deletion(Record::from_rdata(
                name_in_zone("_onyxrock._tcp.1"),
                0,
                RData::SRV(SRV::new(0, 50, port, name_in_zone(host))),
            ))
        }
        ["garbage"] => Record::update0(Name::from_ascii("x.other.").unwrap(), 0, RecordType::A),
        _ => return Err("unknown DNS update".into()),
    };
    request.authorities.push(record);
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    socket.set_read_timeout(Some(Duration::from_secs(20))).map_err(|e| e.to_string())?;
    socket.send_to(&request.to_vec().map_err(|e| e.to_string())?, server).map_err(|e| e.to_string())?;
    let mut bytes = [0; 512];
    let length = socket.recv(&mut bytes).map_err(|e| e.to_string())?;
    let response = Message::from_vec(&bytes[..length]).map_err(|e| e.to_string())?;
    Ok(format!("{:?}", response.metadata.response_code))
}

/// Class NONE deletes the record (RFC 2136, section 2.5.4).
fn as_deletion(mut record: Record) -> Record {
    record.dns_class = DNSClass::NONE;
    record
}
