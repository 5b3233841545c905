//! Datagrams over a loopback socket, and the entries of an endpoint list in the format of discovery.

use crate::testbed::discovery::entry_json;
use onyxrock::core::NameIndex;
use onyxrock::interface::EntryState;
use onyxrock_daemon::list::roster_endpoint;
use onyxrock_duties::{Member, Message};
use onyxrock_membership::{Authenticator, Body, DropReason, Key, Keys};
use onyxrock_roster::Endpoint;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Bytes of the IP and UDP headers, which count as bytes sent.
pub const HEADER_BYTES: usize = 28;

/// A datagram that does not arrive within this time is lost.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A socket that is connected to itself: each datagram costs one system call to send and one to receive.
pub struct LoopbackSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    /// Number of datagrams that were sent.
    pub datagrams: usize,
    /// Number of bytes that were sent, headers included.
    pub bytes_sent: usize,
}

impl LoopbackSocket {
    /// Binds a socket on loopback and connects it to itself.
    pub fn new() -> Result<LoopbackSocket, String> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
        let own = socket.local_addr().map_err(|e| e.to_string())?;
        socket.connect(own).map_err(|e| e.to_string())?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).map_err(|e| e.to_string())?;
        Ok(LoopbackSocket { socket, buffer: vec![0; 2048], datagrams: 0, bytes_sent: 0 })
    }

    /// Sends a datagram and receives it. The result is empty if the datagram was lost.
    pub fn transfer(&mut self, datagram: &[u8]) -> Vec<u8> {
        self.datagrams += 1;
        self.bytes_sent += datagram.len() + HEADER_BYTES;
        let sent = self.socket.send(datagram);
        let received = self.socket.recv(&mut self.buffer);
        match (sent, received) {
            (Ok(_), Ok(length)) => self.buffer[..length].to_vec(),
            _ => Vec::new(),
        }
    }
}

/// The keys that all members share.
pub fn keys() -> Keys {
    Keys::new(1, [Key { id: 1, secret: [7; 32] }]).expect("the signing key is among the keys")
}

/// A signed datagram with a message about leases, for one member.
pub fn sign_message(authenticator: &mut Authenticator, to: Member, message: &Message) -> Vec<u8> {
    let bytes = postcard::to_allocvec(message).unwrap_or_default();
    authenticator.sign_datagram(to, Body::Payload(&bytes)).unwrap_or_default()
}

/// The message in a datagram. The error is the reply that the sender needs first, if there is one.
pub fn verify_message(
    authenticator: &mut Authenticator, now: onyxrock::interface::Micros, datagram: &[u8],
) -> Result<Message, Option<Vec<u8>>> {
    let mut reply = None;
    match authenticator.verify_datagram(now, datagram, &mut reply) {
        Ok((_, Body::Payload(bytes))) => postcard::from_bytes(bytes).map_err(|_| None),
        Err(DropReason::Unproven | DropReason::Hello) => Err(reply.map(|(_, bytes)| bytes)),
        _ => Err(None),
    }
}

/// Names of classes, kinds and zones, as in the configuration of a deployment.
pub fn name_index() -> NameIndex {
    let single = |name: &str| [(name.to_owned(), 0)].into();
    NameIndex {
        classes: single("status"),
        kinds: single("club"),
        zones: single("floor-2"),
        ..NameIndex::default()
    }
}

/// The name of the only endpoint of a destination.
pub fn endpoint_name(destination: u64) -> String {
    format!("club-endpoint-{destination:08}")
}

fn endpoint_address(destination: u64) -> SocketAddr {
    SocketAddr::from(((destination as u32).to_be_bytes(), 7070))
}

/// The list entry of a destination's endpoint, in the format of discovery.
pub fn entry_text(destination: u64, state: &str, weight: f64) -> String {
    entry_json(&endpoint_name(destination), endpoint_address(destination), destination, state, weight)
}

/// A complete list, or the changes since an earlier generation, in the format of discovery.
pub fn list_text(generation: u64, complete: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!("{{\"generation\":{generation},\"reset\":{complete},\"instances\":[{entries}]}}")
}

/// The list entry of a destination's endpoint as the directory takes it. The caller owns the name.
pub fn directory_entry(name: &str, destination: u64) -> Endpoint<'_> {
    Endpoint {
        name,
        address: endpoint_address(destination),
        zone: "floor-2",
        kind: 0,
        destination,
        weight: 50.0,
        state: EntryState::Ready,
        started_ms: 0,
    }
}

/// A parsed list entry as the directory takes it.
pub fn parsed_entry(listed: &onyxrock_config::list::ListedEndpoint) -> Endpoint<'_> {
    roster_endpoint(listed)
}
