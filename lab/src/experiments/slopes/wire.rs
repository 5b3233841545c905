//! Datagrams over a loopback socket, and the entries of a list, as they are on the wire.

use crate::testbed::discovery::entry_json;
use onyxrock::core::NameIndex;
use onyxrock::interface::EntryState;
use onyxrock_daemon::list::roster_endpoint;
use onyxrock_duties::{Member, Message};
use onyxrock_membership::{Authenticator, Body, DropReason, Key, Keys};
use onyxrock_roster::Endpoint;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Headers of IP and UDP, which count as bytes sent.
pub const HEADERS: usize = 28;

/// A datagram that has not come by then is lost.
const LOST: Duration = Duration::from_secs(1);

/// A socket that is its own other end: what is sent comes back, and costs one call to send and one to receive.
pub struct Loop {
    socket: UdpSocket,
    bytes: Vec<u8>,
    /// Datagrams and bytes, headers included, that went through it.
    pub datagrams: usize,
    pub carried: usize,
}

impl Loop {
    pub fn new() -> Result<Loop, String> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
        let own = socket.local_addr().map_err(|e| e.to_string())?;
        socket.connect(own).map_err(|e| e.to_string())?;
        socket.set_read_timeout(Some(LOST)).map_err(|e| e.to_string())?;
        Ok(Loop { socket, bytes: vec![0; 2048], datagrams: 0, carried: 0 })
    }

    /// Sends a datagram and receives it.
    pub fn carry(&mut self, datagram: &[u8]) -> Vec<u8> {
        self.datagrams += 1;
        self.carried += datagram.len() + HEADERS;
        let sent = self.socket.send(datagram);
        let received = self.socket.recv(&mut self.bytes);
        match (sent, received) {
            (Ok(_), Ok(n)) => self.bytes[..n].to_vec(),
            _ => Vec::new(),
        }
    }
}

/// Keys that all members share.
pub fn keys() -> Keys {
    Keys::new(1, [Key { id: 1, secret: [7; 32] }]).expect("the key to sign with is there")
}

/// A message about leases, sealed for a member.
pub fn sealed(seal: &mut Authenticator, to: Member, message: &Message) -> Vec<u8> {
    let bytes = postcard::to_allocvec(message).unwrap_or_default();
    seal.sign_datagram(to, Body::Payload(&bytes)).unwrap_or_default()
}

/// The message in a datagram, or the reply that its sender must have first.
pub fn opened(
    seal: &mut Authenticator, now: onyxrock::interface::Micros, datagram: &[u8],
) -> Result<Message, Option<Vec<u8>>> {
    let mut reply = None;
    match seal.verify_datagram(now, datagram, &mut reply) {
        Ok((_, Body::Payload(bytes))) => postcard::from_bytes(bytes).map_err(|_| None),
        Err(DropReason::Unproven | DropReason::Hello) => Err(reply.map(|(_, bytes)| bytes)),
        _ => Err(None),
    }
}

/// Names as a deployment has them.
pub fn names() -> NameIndex {
    let one = |name: &str| [(name.to_owned(), 0)].into();
    NameIndex { classes: one("status"), kinds: one("club"), zones: one("floor-2"), ..NameIndex::default() }
}

pub fn name_of(destination: u64) -> String {
    format!("club-endpoint-{destination:08}")
}

fn address_of(destination: u64) -> SocketAddr {
    SocketAddr::from(((destination as u32).to_be_bytes(), 7070))
}

/// The entry of a destination in a list, as discovery tells it.
pub fn entry_text(destination: u64, state: &str, weight: f64) -> String {
    entry_json(&name_of(destination), address_of(destination), destination, state, weight)
}

/// A list, or the changes since an earlier one, as discovery tells it.
pub fn list_text(generation: u64, whole: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!("{{\"generation\":{generation},\"reset\":{whole},\"instances\":[{entries}]}}")
}

/// The same entry as the directory takes it, with a name that the caller holds.
pub fn entry_of(name: &str, destination: u64) -> Endpoint<'_> {
    Endpoint {
        name,
        address: address_of(destination),
        zone: "floor-2",
        kind: 0,
        destination,
        weight: 50.0,
        state: EntryState::Ready,
    }
}

/// An entry that was read, for the directory.
pub fn as_endpoint(listed: &onyxrock_config::list::ListedEndpoint) -> Endpoint<'_> {
    roster_endpoint(listed)
}
