//! The other instances, over UDP: one actor that has the socket and the membership.

use crate::messages::{FromPeers, ListUpdate, ToPeers};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use onyxrock::interface::Micros;
use onyxrock_config::duties::{DutySettings, NamedMember as Named};
use onyxrock_duties::{Epoch, Member, Message};
use onyxrock_membership::{DropReason, Membership, Output};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::time::Duration;

/// A note names an endpoint; longer names are not told.
const NAME_MOST: usize = 512;
/// Datagrams that are read before others have a turn.
const AT_ONCE: usize = 64;

/// What instances say to each other.
#[derive(Debug, Serialize, Deserialize)]
enum Word {
    Duties(Message),
    /// What the module tells of an endpoint, by the name that discovery gives it everywhere.
    Note {
        endpoint: String,
        news: Vec<u8>,
    },
    /// The list went from one version to another, as discovery told it; empty where that is too long, or only a sign
    /// of life.
    List {
        epoch: Epoch,
        from: u64,
        generation: u64,
        body: Vec<u8>,
    },
    /// The sender leads the fleet.
    Lead {
        epoch: Epoch,
    },
}

/// Listens where the settings say.
pub fn bind_socket(d: &DutySettings) -> Result<Async<UdpSocket>, String> {
    Async::<UdpSocket>::bind(d.listen).map_err(|e| format!("cannot listen on {} for members: {e}", d.listen))
}

/// The actor. `M` is what the program's mailbox holds, `N` tells its time.
pub struct Peers<M, N> {
    pub now: N,
    pub outbox: Sender<M>,
    pub socket: Async<UdpSocket>,
    pub membership: Membership,
    pub members: Vec<Named>,
    /// Datagrams that the socket did not take.
    pub send_failures: u64,
}

impl<M: From<FromPeers>, N: Fn() -> Micros> Peers<M, N> {
    pub async fn run(mut self, inbox: Receiver<ToPeers>) {
        // One byte more than any of ours: what is longer is seen to be.
        let mut bytes = vec![0; onyxrock_membership::MAX_DATAGRAM_BYTES + 1];
        loop {
            let now = (self.now)();
            self.membership.tick(now);
            if !self.carry_out().await {
                return;
            }
            let due = self.membership.due();
            let letter = async { Some(inbox.recv().await) };
            let wake = async {
                let readable = async { drop(self.socket.readable().await) };
                let late = async {
                    Timer::after(Duration::from_micros(due.since((self.now)()).0)).await;
                };
                future::or(readable, late).await;
                None
            };
            match future::or(letter, wake).await {
                Some(Ok(ToPeers::Leave(done))) => {
                    self.membership.leave((self.now)());
                    self.carry_out().await;
                    let _ = done.try_send(());
                }
                Some(Ok(letter)) => self.take(letter),
                Some(Err(_)) => return,
                None => {
                    for _ in 0..AT_ONCE {
                        let Ok((n, from)) = self.socket.get_ref().recv_from(&mut bytes) else { break };
                        let now = (self.now)();
                        if let Err(why) = self.membership.receive(now, &bytes[..n])
                            && !matches!(why, DropReason::Unproven | DropReason::Hello)
                        {
                            tracing::debug!(peer = %from, "members: a datagram is dropped: {why:?}");
                        }
                    }
                }
            }
        }
    }

    fn take(&mut self, letter: ToPeers) {
        match letter {
            ToPeers::Duties { to, message } => drop(self.say(to, &Word::Duties(message))),
            ToPeers::EndpointHint { endpoint, hint: news } if endpoint.len() <= NAME_MOST => {
                self.say_all(&Word::Note { endpoint, news });
            }
            ToPeers::ListUpdate(ListUpdate { epoch, previous_generation: from, generation, body }) => {
                self.say_all(&Word::List { epoch, from, generation, body });
            }
            ToPeers::Coordinator(epoch) => self.say_all(&Word::Lead { epoch }),
            ToPeers::EndpointHint { .. } | ToPeers::Leave(_) => {}
            ToPeers::Rekey(keys) => self.membership.rekey(keys),
            ToPeers::Status(reply) => drop(reply.try_send(self.json())),
        }
    }

    fn say_all(&mut self, word: &Word) {
        let me = self.membership.me();
        for to in self.membership.alive().into_iter().filter(|m| *m != me) {
            self.say(to, word);
        }
    }

    fn say(&mut self, to: Member, word: &Word) -> bool {
        postcard::to_allocvec(word).is_ok_and(|bytes| self.membership.send(to, &bytes))
    }

    /// False once the module is gone.
    async fn carry_out(&mut self) -> bool {
        let mut seen = false;
        while let Some(output) = self.membership.poll() {
            let news = match output {
                Output::Datagram { to, bytes } => {
                    let Some(m) = self.members.get(usize::from(to.0)) else { continue };
                    // It is not waited for: a full buffer loses a datagram, as any network may.
                    if self.socket.get_ref().send_to(&bytes, m.address).is_err() {
                        self.send_failures += 1;
                    }
                    continue;
                }
                Output::Payload { from, bytes } => match postcard::from_bytes(&bytes) {
                    Ok(Word::Duties(message)) => FromPeers::Duties { from, message },
                    Ok(Word::Note { endpoint, news }) => FromPeers::EndpointHint { endpoint, hint: news },
                    Ok(Word::List { epoch, from, generation, body }) => FromPeers::ListUpdate(ListUpdate {
                        epoch,
                        previous_generation: from,
                        generation,
                        body,
                    }),
                    Ok(Word::Lead { epoch }) => FromPeers::Coordinator { from, epoch },
                    Err(e) => {
                        tracing::warn!(member = %self.name(from), "members: a message that cannot be read: {e}");
                        continue;
                    }
                },
                Output::Up(m) => {
                    tracing::info!(member = %self.name(m), "members: up");
                    seen = true;
                    continue;
                }
                Output::Down(m) => {
                    tracing::warn!(member = %self.name(m), "members: down");
                    seen = true;
                    continue;
                }
            };
            if self.outbox.send(news.into()).await.is_err() {
                return false;
            }
        }
        !seen || self.outbox.send(FromPeers::Alive(self.membership.alive()).into()).await.is_ok()
    }

    fn name(&self, m: Member) -> &str {
        self.members.get(usize::from(m.0)).map_or("?", |m| m.name.as_str())
    }

    fn json(&self) -> Value {
        let alive = self.membership.alive();
        let one = |(i, m): (usize, &Named)| json!({"name": m.name, "address": m.address.to_string(), "alive": alive.contains(&Member(i as u16))});
        let c = self.membership.counts();
        let refused: serde_json::Map<_, _> =
            c.dropped.iter().map(|(why, n)| (format!("{why:?}").to_lowercase(), json!(n))).collect();
        let pair = |p: (u64, u64)| json!({"datagrams": p.0, "bytes": p.1});
        json!({"me": self.name(self.membership.me()),
            "members": self.members.iter().enumerate().map(one).collect::<Vec<_>>(),
            "sent": pair(c.sent), "lost": self.send_failures, "believed": pair(c.accepted), "refused": refused})
    }
}

/// Times of the failure detector, for leases of this length: a death is seen before the lease of the dead runs out.
pub fn detector_timing(lease: Micros) -> onyxrock_membership::DetectorTiming {
    let period = Micros((lease.0 / 6).clamp(100_000, 1_000_000));
    onyxrock_membership::DetectorTiming {
        probe_interval: period,
        probe_timeout: Micros(period.0 * 2 / 5),
        suspicion_timeout: Micros(period.0 * 2),
    }
}
