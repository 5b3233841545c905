//! DNS zone files, and a client for dynamic updates (RFC 2136).

use hickory_proto::op::{Message, MessageType, OpCode, Query};
use hickory_proto::rr::rdata::{SRV, TXT};
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

/// An update that adds an endpoint of destination 1 at port 9.
pub fn addition(host: &str) -> Vec<u8> {
    let mut request = Message::new(9, MessageType::Query, OpCode::Update);
    request.add_query(Query::query(Name::from_ascii("p.example.").unwrap(), RecordType::SOA));
    let service = name_in_zone("_onyxrock._tcp.1");
    request.authorities.push(Record::from_rdata(
        service,
        60,
        RData::SRV(SRV::new(0, 50, 9, name_in_zone(host))),
    ));
    request.to_vec().unwrap()
}

/// Sends one update: `drain HOST`, `back HOST`, `remove HOST PORT`, or `garbage`, which names another zone.
/// Returns the code of the response.
pub fn send_update(server: SocketAddr, words: &[&str]) -> Result<String, String> {
    let mut request = Message::new(9, MessageType::Query, OpCode::Update);
    request.add_query(Query::query(Name::from_ascii("p.example.").unwrap(), RecordType::SOA));
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
