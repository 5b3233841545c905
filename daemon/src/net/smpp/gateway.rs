//! One gateway: a session that is bound when it is needed, and the outbound calls over it.

use super::{Note, PDU_MOST, PROMPT, Read, command, field, next, write};
use crate::core_actor::CoreMessage;
use crate::net::buffer::Buffer;
use crate::net::{OutboundCall, SharedState, ToEndpoint};
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use futures_lite::future;
use onyxrock::interface::{Micros, ReceiverId, Verdict};
use onyxrock_config::smpp::Gateway;
use rusmpp::pdus::{BindTransceiver, DeliverSmResp, SubmitSm};
use rusmpp::tlvs::{MessageSubmissionRequestTlvValue as Tlv, TlvTag, TlvValue};
use rusmpp::types::OctetString;
use rusmpp::values::{DataCoding, EsmClass, InterfaceVersion, MessagePayload};
use rusmpp::{Command, CommandId, CommandStatus, Pdu};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;

/// The longest short_message; more goes as message_payload.
const SHORT: usize = 254;

/// Starts the actor of a gateway.
pub fn start(shared: &Rc<SharedState>, gateway: Gateway, room: usize) -> Sender<ToEndpoint> {
    let (mailbox, inbox) = bounded(room);
    let (shared, executor) = (shared.clone(), shared.executor.clone());
    executor.spawn(run(shared, gateway, inbox)).detach();
    mailbox
}

async fn run(shared: Rc<SharedState>, gateway: Gateway, inbox: Receiver<ToEndpoint>) {
    while let Ok(message) = inbox.recv().await {
        let ToEndpoint::Call(call) = message else { continue };
        let by = call.until().min(shared.clock.now().plus(shared.connect_timeout));
        shared.counters.outbound_open.increment();
        shared.counters.outbound_opened.increment();
        match shared.clock.timeout_at(by, bind(&shared, &gateway)).await {
            Some(Some(link)) => {
                let to = call.receiver;
                let waiting = VecDeque::from([*call]);
                let session = Session {
                    shared: &shared,
                    gateway: &gateway,
                    link,
                    waiting,
                    out: BTreeMap::new(),
                    heard: shared.clock.now(),
                    asked: false,
                    closing: false,
                    to,
                };
                session.run(&inbox).await;
            }
            _ => {
                // What came meanwhile would only wait for the next bind to fail, past its time.
                end(&shared, &call, Verdict::ConnectFailed).await;
                while let Ok(message) = inbox.try_recv() {
                    if let ToEndpoint::Call(call) = message {
                        end(&shared, &call, Verdict::ConnectFailed).await;
                    }
                }
            }
        }
        shared.counters.outbound_open.decrement();
    }
}

async fn end(shared: &SharedState, call: &OutboundCall, verdict: Verdict) {
    let answered = call.outcome(shared.clock.now(), verdict);
    let _ = shared.core.send(CoreMessage::AttemptEnded(answered)).await;
}

struct Link {
    stream: Async<TcpStream>,
    buffer: Buffer,
    sequence: u32,
}

impl Link {
    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence % 0x7fff_ffff + 1;
        self.sequence
    }
}

/// A bound session. None if there is no connection, or the gateway says no.
async fn bind(shared: &SharedState, gateway: &Gateway) -> Option<Link> {
    let stream = Async::<TcpStream>::connect(gateway.address).await.ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut link = Link { stream, buffer: Buffer::new(PDU_MOST), sequence: 0 };
    let bind = BindTransceiver {
        system_id: field(&gateway.system_id),
        interface_version: InterfaceVersion::Smpp3_4,
        ..BindTransceiver::default()
    };
    let sequence = link.next_sequence();
    write(&mut link.stream, &command(CommandStatus::EsmeRok, sequence, bind)).await.ok()?;
    match next(&mut link.buffer, &mut link.stream).await? {
        Read::Pdu(c) if c.id() == CommandId::BindTransceiverResp => {
            if c.status() != CommandStatus::EsmeRok {
                tracing::warn!(peer = %gateway.name, "gateway: bind refused, {:?}", c.status());
                return None;
            }
            Some(link)
        }
        Read::Pdu(_) => None,
        Read::Unreadable(_) | Read::Lost => {
            shared.counters.smpp_bad_pdus.increment();
            None
        }
    }
}

enum Event {
    Message(Option<ToEndpoint>),
    Pdu(Option<Read>),
    Time,
    Closing,
}

struct Session<'a> {
    shared: &'a SharedState,
    gateway: &'a Gateway,
    link: Link,
    /// Calls that wait for room in the window.
    waiting: VecDeque<OutboundCall>,
    /// Submissions without their response, by sequence number.
    out: BTreeMap<u32, OutboundCall>,
    heard: Micros,
    asked: bool,
    closing: bool,
    /// The number that the module has for this gateway.
    to: ReceiverId,
}

impl Session<'_> {
    async fn run(mut self, inbox: &Receiver<ToEndpoint>) {
        let clock = self.shared.clock;
        let mut sound = true;
        while sound {
            sound = self.submit_waiting().await;
            if !sound || self.closing && self.out.is_empty() && self.waiting.is_empty() {
                break;
            }
            let silence = self.heard.plus(self.gateway.enquire_link_interval);
            let silence = if self.asked { silence.plus(PROMPT) } else { silence };
            let first = self.out.values().chain(&self.waiting).map(OutboundCall::until).min();
            let due = first.map_or(silence, |f| f.min(silence));
            let event = {
                let message = async { Event::Message(inbox.recv().await.ok()) };
                let pdu = async { Event::Pdu(next(&mut self.link.buffer, &mut self.link.stream).await) };
                let time = async {
                    clock.sleep_until(Some(due)).await;
                    Event::Time
                };
                let closing = async {
                    let _ = self.shared.calls_finished.recv().await;
                    Event::Closing
                };
                future::or(future::or(pdu, message), future::or(time, closing)).await
            };
            sound = match event {
                Event::Message(Some(ToEndpoint::Call(call))) => {
                    self.waiting.push_back(*call);
                    true
                }
                Event::Message(Some(ToEndpoint::CloseIdle)) => {
                    self.closing = self.out.is_empty() && self.waiting.is_empty();
                    true
                }
                Event::Message(Some(ToEndpoint::AddressChanged(_))) => true,
                Event::Message(None) | Event::Pdu(None) => false,
                Event::Pdu(Some(Read::Pdu(c))) => {
                    self.heard = clock.now();
                    self.take(*c).await
                }
                Event::Pdu(Some(Read::Unreadable(sequence))) => {
                    self.shared.counters.smpp_bad_pdus.increment();
                    self.say(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
                }
                Event::Pdu(Some(Read::Lost)) => {
                    self.shared.counters.smpp_bad_pdus.increment();
                    self.say(CommandStatus::EsmeRinvcmdlen, 0, Pdu::GenericNack).await;
                    false
                }
                Event::Closing => break,
                Event::Time => self.on_time(clock.now(), silence).await,
            };
        }
        if sound {
            let sequence = self.link.next_sequence();
            self.say(CommandStatus::EsmeRok, sequence, Pdu::Unbind).await;
        }
        // What was submitted and not answered may have been taken; what still waits was never written.
        for call in self.out.into_values() {
            end(self.shared, &call, Verdict::Reset).await;
        }
        for call in self.waiting {
            end(self.shared, &call, Verdict::ConnectFailed).await;
        }
    }

    async fn say(&mut self, status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> bool {
        let bytes = command(status, sequence, pdu);
        let by = self.shared.clock.now().plus(PROMPT);
        matches!(self.shared.clock.timeout_at(by, write(&mut self.link.stream, &bytes)).await, Some(Ok(())))
    }

    /// Calls whose time is up, and a gateway that may have gone.
    async fn on_time(&mut self, now: Micros, silence: Micros) -> bool {
        let late: Vec<u32> = self.out.iter().filter(|(_, c)| c.until() <= now).map(|(s, _)| *s).collect();
        for sequence in late {
            if let Some(call) = self.out.remove(&sequence) {
                end(self.shared, &call, Verdict::TimedOut).await;
            }
        }
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let (late, waiting): (VecDeque<_>, VecDeque<_>) = waiting.partition(|c| c.until() <= now);
        self.waiting = waiting;
        for call in late {
            end(self.shared, &call, Verdict::Moot).await;
        }
        if now < silence {
            return true;
        }
        if self.asked {
            return false; // no answer to enquire_link: it is gone
        }
        self.asked = true;
        let sequence = self.link.next_sequence();
        self.say(CommandStatus::EsmeRok, sequence, Pdu::EnquireLink).await
    }

    /// Submits what the window has room for. False if the session broke over it.
    async fn submit_waiting(&mut self) -> bool {
        while self.out.len() < self.gateway.window
            && let Some(call) = self.waiting.pop_front()
        {
            if call.until() <= self.shared.clock.now() {
                end(self.shared, &call, Verdict::Moot).await;
                continue;
            }
            let permit = match self.shared.request_permit(&call, self.gateway.address, false).await {
                Ok(permit) => permit,
                Err(verdict) => {
                    end(self.shared, &call, verdict).await;
                    continue;
                }
            };
            self.shared.sends(&call, &permit);
            let sequence = self.link.next_sequence();
            let bytes = command(CommandStatus::EsmeRok, sequence, submission(&call));
            let write = write(&mut self.link.stream, &bytes);
            if !matches!(self.shared.clock.timeout_at(call.until(), write).await, Some(Ok(()))) {
                // Its last byte was not written; half a PDU makes the session useless for the others.
                end(self.shared, &call, Verdict::ConnectFailed).await;
                return false;
            }
            self.out.insert(sequence, call);
        }
        true
    }

    async fn take(&mut self, c: Command) -> bool {
        let sequence = c.sequence_number();
        match (c.id(), c.pdu()) {
            (CommandId::SubmitSmResp | CommandId::GenericNack, pdu) => {
                // An answer that comes after its call was given up counts for nothing but the wait that it tells.
                let verdict = self.verdict(c.id(), c.status(), pdu);
                if let Some(call) = self.out.remove(&sequence) {
                    end(self.shared, &call, verdict).await;
                } else if let Verdict::Full(Some(wait)) = verdict {
                    let until = self.shared.clock.now().plus(wait);
                    let _ = self.shared.core.send(CoreMessage::RetryAfter { receiver: self.to, until }).await;
                }
                true
            }
            (CommandId::EnquireLink, _) => {
                self.say(CommandStatus::EsmeRok, sequence, Pdu::EnquireLinkResp).await
            }
            (CommandId::EnquireLinkResp, _) => {
                self.asked = false;
                true
            }
            // Its own receipts say what becomes of a message that it has taken on; that is not ours to tell.
            (CommandId::DeliverSm, _) => {
                self.say(CommandStatus::EsmeRok, sequence, DeliverSmResp::default()).await
            }
            (CommandId::Unbind, _) => {
                self.say(CommandStatus::EsmeRok, sequence, Pdu::UnbindResp).await;
                false
            }
            _ => {
                self.shared.counters.smpp_bad_pdus.increment();
                self.say(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
            }
        }
    }

    fn verdict(&self, id: CommandId, status: CommandStatus, pdu: Option<&Pdu>) -> Verdict {
        match status {
            CommandStatus::EsmeRok if id == CommandId::SubmitSmResp => Verdict::Delivered,
            CommandStatus::EsmeRthrottled | CommandStatus::EsmeRmsgqful => Verdict::Full(self.wait(pdu)),
            _ => Verdict::Error,
        }
    }

    /// The wait that a refusal names, in the parameter that the file names.
    fn wait(&self, pdu: Option<&Pdu>) -> Option<Micros> {
        let (tag, unit) = self.gateway.retry_after_tlv?;
        let Some(Pdu::SubmitSmResp(resp)) = pdu else { return None };
        let value = resp.tlvs().iter().find(|t| t.tag() == TlvTag::from(tag))?.value()?;
        let TlvValue::Other { value, .. } = value else { return None };
        let n = value.as_ref().iter().take(4).fold(0u64, |n, b| n << 8 | u64::from(*b));
        (n > 0).then(|| Micros(n * unit.0))
    }
}

fn submission(call: &OutboundCall) -> SubmitSm {
    let note = Note::read(&call.frontend_note);
    let mut sm = SubmitSm::default();
    sm.source_addr = field(&note.source);
    sm.destination_addr = field(&note.destination);
    sm.esm_class = EsmClass::from(note.esm);
    sm.data_coding = DataCoding::from(note.coding);
    if call.body.len() <= SHORT {
        sm.set_short_message(OctetString::from_slice(&call.body).unwrap_or_default());
    } else {
        let payload = rusmpp::types::AnyOctetString::from_slice(&call.body);
        sm.push_tlv(Tlv::MessagePayload(MessagePayload::new(payload)));
    }
    sm
}
