//! Zone files, and a client of RFC 2136.

use hickory_proto::op::{Message, MessageType, OpCode, Query};
use hickory_proto::rr::rdata::{SRV, TXT};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// All endpoints as destination 1.
pub fn zone<'a>(endpoints: impl Iterator<Item = (&'a String, SocketAddr)>) -> String {
    let mut out = "@ 60 IN SOA ns admin 1 3600 600 86400 60\n@ 60 IN NS ns\n".to_owned();
    for (name, at) in endpoints {
        let _ = writeln!(out, "_onyxrock._tcp.1 60 IN SRV 0 50 {} {name}", at.port());
        let _ = writeln!(out, "{name} 60 IN A {}", at.ip());
        let _ = writeln!(out, "{name} 60 IN TXT \"zone=floor-2\" \"kind=club\"");
    }
    out
}

fn name(n: &str) -> Name {
    Name::from_ascii(format!("{n}.p.example.")).unwrap()
}

/// `drain HOST`, `back HOST`, `remove HOST PORT` or `garbage`; the answer's code.
pub fn update(to: SocketAddr, words: &[&str]) -> Result<String, String> {
    let mut m = Message::new(9, MessageType::Query, OpCode::Update);
    m.add_query(Query::query(Name::from_ascii("p.example.").unwrap(), RecordType::SOA));
    let draining = || RData::TXT(TXT::new(vec!["state=draining".to_owned()]));
    let record = match words {
        ["drain", host] => Record::from_rdata(name(host), 60, draining()),
        ["back", host] => none(Record::from_rdata(name(host), 0, draining())),
        ["remove", host, port] => {
            let port = port.parse().map_err(|_| "which port?")?;
            none(Record::from_rdata(
                name("_onyxrock._tcp.1"),
                0,
                RData::SRV(SRV::new(0, 50, port, name(host))),
            ))
        }
        ["garbage"] => Record::update0(Name::from_ascii("x.other.").unwrap(), 0, RecordType::A),
        _ => return Err("which update?".into()),
    };
    m.authorities.push(record);
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    socket.set_read_timeout(Some(Duration::from_secs(20))).map_err(|e| e.to_string())?;
    socket.send_to(&m.to_vec().map_err(|e| e.to_string())?, to).map_err(|e| e.to_string())?;
    let mut bytes = [0; 512];
    let n = socket.recv(&mut bytes).map_err(|e| e.to_string())?;
    let answer = Message::from_vec(&bytes[..n]).map_err(|e| e.to_string())?;
    Ok(format!("{:?}", answer.metadata.response_code))
}

fn none(mut r: Record) -> Record {
    r.dns_class = DNSClass::NONE;
    r
}
