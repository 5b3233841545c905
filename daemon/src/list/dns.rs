//! Serves the endpoint list from a DNS zone file, which dynamic updates over a UDP socket keep current.

use super::parts::pass_to_core;
use super::zone::Zone;
use super::{roster_endpoint, stored_zone};
use crate::net::SharedState;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use hickory_proto::op::{Message, OpCode, ResponseCode};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_roster::StagedList;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Largest copy of the zone that is kept in the state folder, where it needs twice that space while a new
/// version is written: 4 times the size of the configured zone file, up to 1/8 of the folder's limit, but
/// at least 64 KiB.
pub fn max_kept_zone_bytes(zone: &str, disk_bytes: u64) -> u64 {
    (4 * zone.len() as u64).min(disk_bytes / 8).max(64 * 1024)
}

/// A list names all endpoints, so its cost grows with the zone. After updates the next one is made when this many times
/// as long has passed as the last one took to make: the core needs about as long for it, and the rest is for others.
const LIST_PAUSE_FACTOR: u64 = 8;
/// A datagram that took this long to handle is followed by a pause of the same length before the next one, so that others
/// have at least half of the time.
const PAUSED_HANDLING_TIME: Micros = Micros(1_000);
/// Endpoints of a list that are read before others have their turn.
const ENDPOINTS_PER_TURN: usize = 256;
/// Records without an endpoint that are logged with each list.
const MAX_LOGGED_RECORDS: usize = 20;
/// Name of the zone's copy in the state folder.
const STORED_ZONE_FILE: &str = "onyxrock.zone";

/// The zone in memory, its copy in the state folder, and the socket for updates.
pub struct DnsServer {
    pub zone: Zone,
    /// Names of zones and kinds that records may use.
    pub names: NameIndex,
    /// Receives updates.
    pub socket: Async<UdpSocket>,
    /// Why the configured zone file is not in use, although it may be the latest.
    pub file_fault: Option<String>,
    folder: PathBuf,
    max_bytes: u64,
}

impl DnsServer {
    /// Opens the socket and reads the zone: the one that an earlier process kept, if it is later than the
    /// configured one or that cannot be read whole.
    ///
    /// # Errors
    /// There is no zone to serve, or the socket cannot be opened.
    pub fn open(
        text: &str, origin: &str, listen: SocketAddr, folder: PathBuf, max_bytes: u64, names: NameIndex,
    ) -> Result<DnsServer, String> {
        let (zone, file_fault) = match (parse_whole(text, origin), read_stored(&folder, origin)) {
            (Ok(configured), Some(stored)) if is_later(&stored, &configured) => (stored, None),
            (Ok(configured), _) => (configured, None),
            (Err(fault), Some(stored)) => {
                tracing::error!("dns: the zone file is not used, the stored zone is: {fault}");
                (stored, Some(fault))
            }
            // There is nothing else to serve.
            (Err(_), None) => (Zone::parse(text, origin)?, None),
        };
        let socket = Async::<UdpSocket>::bind(listen)
            .map_err(|e| format!("cannot listen on {listen} for DNS: {e}"))?;
        let server = DnsServer { zone, names, socket, file_fault, folder, max_bytes };
        // A later start can serve it if the file is cut short by then.
        if let Err(e) = server.store() {
            tracing::warn!("dns: cannot store the zone, a later start has the zone file alone: {e}");
        }
        Ok(server)
    }

    /// The generation and the entries of the complete list. Other actors run while it is made.
    async fn list(&self) -> (u64, StagedList) {
        let (mut entries, mut left_out) = (StagedList::new(usize::MAX, usize::MAX), 0);
        for (index, endpoint) in self.zone.each_endpoint(&self.names).enumerate() {
            let staged = endpoint.and_then(|listed| {
                entries
                    .push(&roster_endpoint(&listed))
                    .map_err(|_| format!("{} is out of bounds", listed.name))
            });
            if let Err(reason) = staged {
                left_out += 1;
                if left_out <= MAX_LOGGED_RECORDS {
                    tracing::warn!("dns: record left out: {reason}");
                }
            }
            if (index + 1) % ENDPOINTS_PER_TURN == 0 {
                future::yield_now().await;
            }
        }
        if left_out > MAX_LOGGED_RECORDS {
            tracing::warn!("dns: {left_out} records left out in all");
        }
        (self.zone.generation(), entries)
    }

    /// Stores the zone: an update is acknowledged only once it would survive this process.
    fn store(&self) -> std::io::Result<()> {
        if stored_zone::encoded_bytes(&self.zone) as u64 > self.max_bytes {
            return Err(std::io::Error::other("the zone is too large to be stored"));
        }
        let bytes = stored_zone::encode(&self.zone);
        let new = self.folder.join("onyxrock.zone.new");
        std::fs::write(&new, bytes)?;
        std::fs::rename(new, self.folder.join(STORED_ZONE_FILE))
    }

    /// The reply to a message, and whether the zone has changed. `None` for a message that is not a query.
    pub fn answer(&mut self, bytes: &[u8]) -> Option<(Vec<u8>, bool)> {
        let message = match Message::from_vec(bytes) {
            Ok(message) if message.metadata.message_type == hickory_proto::op::MessageType::Query => message,
            Ok(_) => return None,
            Err(_) => {
                let id = u16::from_be_bytes(bytes.get(..2)?.try_into().ok()?);
                let reply = Message::error_msg(id, OpCode::Update, ResponseCode::FormErr);
                return Some((reply.to_vec().ok()?, false));
            }
        };
        let (code, changed) = match message.metadata.op_code {
            OpCode::Update => {
                let (code, change) = self.zone.update(&message);
                match change.map(|change| (self.store(), change)) {
                    None => (code, false),
                    Some((Ok(()), _)) => (code, true),
                    Some((Err(e), change)) => {
                        tracing::error!("dns: cannot store the zone, update refused: {e}");
                        self.zone.revert(change);
                        (ResponseCode::ServFail, false)
                    }
                }
            }
            OpCode::Query => (ResponseCode::Refused, false),
            _ => (ResponseCode::NotImp, false),
        };
        let reply = Message::error_msg(message.metadata.id, message.metadata.op_code, code);
        Some((reply.to_vec().ok()?, changed))
    }
}

/// Reads a zone file.
///
/// # Errors
/// It cannot be read, or ends within a line and may have been cut short there.
fn parse_whole(text: &str, origin: &str) -> Result<Zone, String> {
    let zone = Zone::parse(text, origin).map_err(|e| format!("the zone file cannot be read: {e}"))?;
    if text.ends_with('\n') { Ok(zone) } else { Err("the last line of the zone file does not end".into()) }
}

/// The zone that an earlier process kept, if there is one that can be read.
fn read_stored(folder: &Path, origin: &str) -> Option<Zone> {
    let stored = std::fs::read(folder.join(STORED_ZONE_FILE)).ok()?;
    match stored_zone::decode(&stored, origin) {
        Ok((zone, left_out)) => {
            left_out.iter().for_each(|line| tracing::error!("dns: stored record left out: {line}"));
            Some(zone)
        }
        Err(e) => {
            tracing::error!("dns: cannot read the stored zone, the zone file alone is used: {e}");
            None
        }
    }
}

/// Whether a zone has a later serial number than another, which wraps around (RFC 1982).
fn is_later(zone: &Zone, other: &Zone) -> bool {
    zone.serial().wrapping_sub(other.serial()) as i32 > 0
}

/// What the actor waits for.
enum Event {
    /// The core requests the list.
    Request,
    Datagram(std::io::Result<(usize, SocketAddr)>),
    /// Updates have changed the list, and it is to be sent now.
    ListDue,
    CoreStopped,
}

/// Sends the complete list to the core for each of its requests, and after updates.
pub async fn run(shared: Rc<SharedState>, mut dns: DnsServer, requests: Receiver<()>) {
    let mut bytes = vec![0; 64 * 1024];
    let (mut list_due, mut next_list_from, mut next_datagram_from) = (None, Micros(0), None);
    loop {
        let event = {
            let request = async { requests.recv().await.map_or(Event::CoreStopped, |()| Event::Request) };
            let datagram = async {
                if next_datagram_from.is_some() {
                    shared.clock.sleep_until(next_datagram_from).await;
                }
                Event::Datagram(dns.socket.recv_from(&mut bytes).await)
            };
            let due = async {
                shared.clock.sleep_until(list_due).await;
                Event::ListDue
            };
            future::or(due, future::or(request, datagram)).await
        };
        match event {
            Event::CoreStopped => return,
            Event::Request | Event::ListDue => {
                list_due = None;
                let started = shared.clock.now();
                let (generation, entries) = dns.list().await;
                let ended = shared.clock.now();
                next_list_from = ended.plus(Micros(ended.since(started).0 * LIST_PAUSE_FACTOR));
                shared.counters.list_answers.increment();
                if pass_to_core(&shared.core, generation, true, entries).await.is_err() {
                    return;
                }
            }
            Event::Datagram(Err(e)) => tracing::error!("dns: cannot receive from the socket: {e}"),
            Event::Datagram(Ok((length, sender))) => {
                shared.counters.dns_messages.increment();
                let started = shared.clock.now();
                let answer = dns.answer(&bytes[..length]);
                let ended = shared.clock.now();
                let took = ended.since(started);
                next_datagram_from = (took >= PAUSED_HANDLING_TIME).then(|| ended.plus(took));
                if let Some((reply, changed)) = answer {
                    let _ = dns.socket.send_to(&reply, sender).await;
                    if changed {
                        list_due.get_or_insert(next_list_from.max(ended));
                    }
                }
            }
        }
        // More datagrams may be waiting.
        future::yield_now().await;
    }
}

#[cfg(test)]
mod tests;
