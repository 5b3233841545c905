//! The list out of a zone file, kept up by dynamic updates that come to a socket of ours.

use super::zone::Zone;
use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use hickory_proto::op::{Message, OpCode, ResponseCode};
use onyxrock::core::NameIndex;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

/// The largest zone that is kept in the folder that lasts, where it stands twice while a new one is written: four times
/// the one in the file, up to an eighth of the folder; 64 KiB at least.
pub fn max_kept_zone_bytes(zone: &str, disk_bytes: u64) -> u64 {
    (4 * zone.len() as u64).min(disk_bytes / 8).max(64 * 1024)
}

const NAME: &str = "onyxrock.zone";

pub struct DnsServer {
    pub zone: Zone,
    pub names: NameIndex,
    pub socket: Async<UdpSocket>,
    folder: PathBuf,
    most: u64,
}

impl DnsServer {
    /// The zone as an earlier process kept it, where that is later than the file.
    pub fn open(
        text: &str, origin: &str, listen: SocketAddr, folder: PathBuf, most: u64, names: NameIndex,
    ) -> Result<DnsServer, String> {
        let mut zone = Zone::parse(text, origin)?;
        if let Ok(kept) = std::fs::read_to_string(folder.join(NAME)) {
            match Zone::parse(&kept, origin) {
                Ok(kept) if (kept.serial().wrapping_sub(zone.serial()) as i32) > 0 => zone = kept,
                Ok(_) => {}
                Err(e) => tracing::warn!("dns: the kept zone cannot be read and is left out: {e}"),
            }
        }
        let socket = Async::<UdpSocket>::bind(listen)
            .map_err(|e| format!("cannot listen on {listen} for DNS: {e}"))?;
        Ok(DnsServer { zone, names, socket, folder, most })
    }

    /// An update is answered once it would survive this process.
    fn keep(&self) -> std::io::Result<()> {
        let text = self.zone.text();
        if text.len() as u64 > self.most {
            return Err(std::io::Error::other("the zone is too large to be kept"));
        }
        let new = self.folder.join("onyxrock.zone.new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.folder.join(NAME))
    }

    /// The answer to a message, and whether the list is another one now. None for what is no question.
    pub fn answer(&mut self, bytes: &[u8]) -> Option<(Vec<u8>, bool)> {
        let m = match Message::from_vec(bytes) {
            Ok(m) if m.metadata.message_type == hickory_proto::op::MessageType::Query => m,
            Ok(_) => return None,
            Err(_) => {
                let id = u16::from_be_bytes(bytes.get(..2)?.try_into().ok()?);
                let reply = Message::error_msg(id, OpCode::Update, ResponseCode::FormErr);
                return Some((reply.to_vec().ok()?, false));
            }
        };
        let (code, changed) = match m.metadata.op_code {
            OpCode::Update => {
                let before = self.zone.clone();
                let (code, changed) = self.zone.update(&m);
                match changed.then(|| self.keep()) {
                    Some(Err(e)) => {
                        tracing::error!("dns: {e}");
                        self.zone = before;
                        (ResponseCode::ServFail, false)
                    }
                    _ => (code, changed),
                }
            }
            OpCode::Query => (ResponseCode::Refused, false),
            _ => (ResponseCode::NotImp, false),
        };
        let reply = Message::error_msg(m.metadata.id, m.metadata.op_code, code);
        Some((reply.to_vec().ok()?, changed))
    }
}

/// Each wish of the module, and each update, is answered with the whole list.
pub async fn run(shared: Rc<SharedState>, mut dns: DnsServer, wishes: Receiver<()>) {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let wish = async { wishes.recv().await.ok().map(|()| None) };
        let message = async { Some(Some(dns.socket.recv_from(&mut bytes).await)) };
        let tell = match future::or(wish, message).await {
            None => return,
            Some(None) => true,
            Some(Some(Err(e))) => {
                tracing::error!("dns: {e}");
                false
            }
            Some(Some(Ok((n, from)))) => match dns.answer(&bytes[..n]) {
                Some((reply, changed)) => {
                    shared.counters.dns_messages.increment();
                    let _ = dns.socket.send_to(&reply, from).await;
                    changed
                }
                None => false,
            },
        };
        if tell {
            shared.counters.list_answers.increment();
            let (list, wrong) = dns.zone.endpoints(&dns.names);
            wrong.iter().for_each(|w| tracing::warn!("dns: {w}"));
            if shared.core.send(CoreMessage::EndpointList(list)).await.is_err() {
                return;
            }
        }
    }
}
