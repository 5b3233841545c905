//! The actor that communicates with the other instances over UDP; it owns the socket and the membership.

use crate::messages::{FromPeers, ListUpdate, ToPeers};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use onyxrock::interface::Micros;
use onyxrock_config::duties::{DutySettings, NamedMember};
use onyxrock_duties::{Epoch, Member, Message};
use onyxrock_membership::{DropReason, Membership, Output};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::time::Duration;

/// The maximum length of an endpoint's name in a hint. Hints about longer names are not sent.
const MAX_ENDPOINT_NAME_BYTES: usize = 512;
/// The maximum number of datagrams read before the actor handles other events.
const DATAGRAMS_PER_TURN: usize = 64;

/// A message between instances.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    /// A message about duties and their leases.
    Duties(Message),
    /// What the core reports about an endpoint, by the name that discovery gives it everywhere.
    #[serde(rename = "Note")]
    EndpointHint {
        endpoint: String,
        #[serde(rename = "news")]
        hint: Vec<u8>,
    },
    /// The list changed from one generation to another, with discovery's answer. The answer is empty if it is
    /// too long, or if this message is only a heartbeat.
    #[serde(rename = "List")]
    ListUpdate {
        epoch: Epoch,
        #[serde(rename = "from")]
        previous_generation: u64,
        generation: u64,
        body: Vec<u8>,
    },
    /// The sender coordinates the fleet.
    #[serde(rename = "Lead")]
    Coordinator { epoch: Epoch },
}

/// Binds the socket to the address in the settings.
pub fn bind_socket(settings: &DutySettings) -> Result<Async<UdpSocket>, String> {
    Async::<UdpSocket>::bind(settings.listen)
        .map_err(|e| format!("cannot listen on {} for members: {e}", settings.listen))
}

/// The actor. `M` is the message type of the program's inbox, and `N` returns the current time.
pub struct Peers<M, N> {
    /// Returns the current time.
    pub now: N,
    /// The program's inbox.
    pub outbox: Sender<M>,
    /// The socket for datagrams to and from the other members.
    pub socket: Async<UdpSocket>,
    /// The failure detector, which also signs and verifies the datagrams.
    pub membership: Membership,
    /// The names and addresses of all members, in their shared order.
    pub members: Vec<NamedMember>,
    /// Datagrams that the socket did not accept.
    pub send_failures: u64,
}

impl<M: From<FromPeers>, N: Fn() -> Micros> Peers<M, N> {
    /// Runs until the program's inbox or that of this actor is closed.
    pub async fn run(mut self, inbox: Receiver<ToPeers>) {
        // The buffer has one byte more than the longest valid datagram, so that a longer one is detected.
        let mut bytes = vec![0; onyxrock_membership::MAX_DATAGRAM_BYTES + 1];
        loop {
            let now = (self.now)();
            self.membership.tick(now);
            if !self.process_outputs().await {
                return;
            }
            let due = self.membership.due();
            let message = async { Some(inbox.recv().await) };
            let io_or_timer = async {
                let readable = async { drop(self.socket.readable().await) };
                let timer = async {
                    Timer::after(Duration::from_micros(due.since((self.now)()).0)).await;
                };
                future::or(readable, timer).await;
                None
            };
            match future::or(message, io_or_timer).await {
                Some(Ok(ToPeers::Leave(done))) => {
                    self.membership.leave((self.now)());
                    self.process_outputs().await;
                    let _ = done.try_send(());
                }
                Some(Ok(message)) => self.handle(message),
                Some(Err(_)) => return,
                None => {
                    for _ in 0..DATAGRAMS_PER_TURN {
                        let Ok((n, from)) = self.socket.get_ref().recv_from(&mut bytes) else { break };
                        let now = (self.now)();
                        if let Err(reason) = self.membership.receive(now, &bytes[..n])
                            && !matches!(reason, DropReason::Unproven | DropReason::Hello)
                        {
                            tracing::debug!(peer = %from, "members: dropped a datagram: {reason:?}");
                        }
                    }
                }
            }
        }
    }

    fn handle(&mut self, message: ToPeers) {
        match message {
            ToPeers::Duties { to, message } => drop(self.send_message(to, &PeerMessage::Duties(message))),
            ToPeers::EndpointHint { endpoint, hint } if endpoint.len() <= MAX_ENDPOINT_NAME_BYTES => {
                self.send_to_alive(&PeerMessage::EndpointHint { endpoint, hint });
            }
            ToPeers::ListUpdate(ListUpdate { epoch, previous_generation, generation, body }) => {
                self.send_to_alive(&PeerMessage::ListUpdate { epoch, previous_generation, generation, body });
            }
            ToPeers::Coordinator(epoch) => self.send_to_alive(&PeerMessage::Coordinator { epoch }),
            ToPeers::EndpointHint { .. } | ToPeers::Leave(_) => {}
            ToPeers::Rekey(keys) => self.membership.rekey(keys),
            ToPeers::Status(reply) => drop(reply.try_send(self.json())),
        }
    }

    fn send_to_alive(&mut self, message: &PeerMessage) {
        let me = self.membership.me();
        for to in self.membership.alive().into_iter().filter(|m| *m != me) {
            self.send_message(to, message);
        }
    }

    fn send_message(&mut self, to: Member, message: &PeerMessage) -> bool {
        postcard::to_allocvec(message).is_ok_and(|bytes| self.membership.send(to, &bytes))
    }

    /// Carries out the outputs of the membership. Returns false once the receiver of the program's messages
    /// is gone.
    async fn process_outputs(&mut self) -> bool {
        let mut alive_changed = false;
        while let Some(output) = self.membership.poll() {
            let message = match output {
                Output::Datagram { to, bytes } => {
                    let Some(m) = self.members.get(usize::from(to.0)) else { continue };
                    // The socket is not waited for: a full buffer loses a datagram, as any network may.
                    if self.socket.get_ref().send_to(&bytes, m.address).is_err() {
                        self.send_failures += 1;
                    }
                    continue;
                }
                Output::Payload { from, bytes } => match postcard::from_bytes(&bytes) {
                    Ok(PeerMessage::Duties(message)) => FromPeers::Duties { from, message },
                    Ok(PeerMessage::EndpointHint { endpoint, hint }) => {
                        FromPeers::EndpointHint { endpoint, hint }
                    }
                    Ok(PeerMessage::ListUpdate { epoch, previous_generation, generation, body }) => {
                        FromPeers::ListUpdate(ListUpdate { epoch, previous_generation, generation, body })
                    }
                    Ok(PeerMessage::Coordinator { epoch }) => FromPeers::Coordinator { from, epoch },
                    Err(e) => {
                        tracing::warn!(member = %self.name(from), "members: dropped a message that cannot be decoded: {e}");
                        continue;
                    }
                },
                Output::Up(m) => {
                    tracing::info!(member = %self.name(m), "members: up");
                    alive_changed = true;
                    continue;
                }
                Output::Down(m) => {
                    tracing::warn!(member = %self.name(m), "members: down");
                    alive_changed = true;
                    continue;
                }
            };
            if self.outbox.send(message.into()).await.is_err() {
                return false;
            }
        }
        !alive_changed || self.outbox.send(FromPeers::Alive(self.membership.alive()).into()).await.is_ok()
    }

    fn name(&self, m: Member) -> &str {
        self.members.get(usize::from(m.0)).map_or("?", |m| m.name.as_str())
    }

    fn json(&self) -> Value {
        let alive = self.membership.alive();
        let member_json = |(i, m): (usize, &NamedMember)| json!({"name": m.name, "address": m.address.to_string(), "alive": alive.contains(&Member(i as u16))});
        let counts = self.membership.counts();
        let dropped: serde_json::Map<_, _> = counts
            .dropped
            .iter()
            .map(|(reason, count)| (format!("{reason:?}").to_lowercase(), json!(count)))
            .collect();
        let pair = |count: (u64, u64)| json!({"datagrams": count.0, "bytes": count.1});
        json!({"me": self.name(self.membership.me()),
            "members": self.members.iter().enumerate().map(member_json).collect::<Vec<_>>(),
            "sent": pair(counts.sent), "lost": self.send_failures, "believed": pair(counts.accepted), "refused": dropped})
    }
}

/// The timing of the failure detector for leases of this duration: a death is detected before the leases of
/// the dead member expire.
pub fn detector_timing(lease: Micros) -> onyxrock_membership::DetectorTiming {
    let period = Micros((lease.0 / 6).clamp(100_000, 1_000_000));
    onyxrock_membership::DetectorTiming {
        probe_interval: period,
        probe_timeout: Micros(period.0 * 2 / 5),
        suspicion_timeout: Micros(period.0 * 2),
    }
}
