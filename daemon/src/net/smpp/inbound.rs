//! The clients' side of SMPP: one actor a session.

use super::receipts::{ToReceipts, receipt};
use super::{FRONTEND_ID, Note, PDU_MOST, PROMPT, Read, command, field, next, text, time, write};
use crate::core_actor::{CoreMessage, StatusNotice, Submission, SubmitReply};
use crate::net::SharedState;
use crate::net::buffer::Buffer;
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use futures_lite::future;
use onyxrock::core::AcceptedMessage;
use onyxrock::interface::Micros;
use onyxrock_config::smpp::SmppSettings;
use rusmpp::pdus::{BindReceiverResp, BindTransceiverResp, BindTransmitterResp, SubmitSm, SubmitSmResp};
use rusmpp::tlvs::TlvValue;
use rusmpp::values::InterfaceVersion;
use rusmpp::{Command, CommandStatus, Pdu};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// The receipt needs its way before the message's time is up.
const MARGIN: Micros = Micros(150_000);
/// A connection that does not bind is closed.
const BIND_WITHIN: Micros = Micros(10_000_000);

/// What all sessions need.
pub struct Frontend {
    pub shared: Rc<SharedState>,
    pub smpp: SmppSettings,
    /// How long a message of each class may take.
    pub give_up: BTreeMap<String, Micros>,
    pub receipts: Sender<ToReceipts>,
}

/// Accepts until `stop` is closed.
pub async fn listen(front: Rc<Frontend>, listener: Async<TcpListener>, stop: Receiver<()>) {
    let mut session = 0;
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async { stop.recv().await.ok().and(None) };
        match future::or(accepted, stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                session += 1;
                let counters = &front.shared.counters;
                counters.inbound_opened.increment();
                // Over the bound a session would take the room of those that are bound: it is closed.
                if counters.inbound_open.get() >= front.shared.max_inbound {
                    counters.inbound_turned_away.increment();
                    continue;
                }
                counters.inbound_open.increment();
                let (front, executor) = (front.clone(), front.shared.executor.clone());
                let actor = async move {
                    Session::new(&front, session, stream).run().await;
                    let _ = front.receipts.send(ToReceipts::Down(session)).await;
                    front.shared.counters.inbound_open.decrement();
                };
                executor.spawn(actor).detach();
            }
            Some(Err(e)) => {
                tracing::warn!("smpp accept: {e}");
                async_io::Timer::after(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

struct Session<'a> {
    front: &'a Frontend,
    number: u64,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// Its client, once bound, and whether it may submit.
    bound: Option<(String, bool)>,
    sequence: u32,
    /// Receipts out, by sequence number.
    out: BTreeMap<u32, u64>,
    asked: BTreeSet<u32>,
}

enum Event {
    Pdu(Option<Read>),
    Receipt(StatusNotice),
    Silence,
    Closing,
}

impl<'a> Session<'a> {
    fn new(front: &'a Frontend, number: u64, stream: Async<TcpStream>) -> Session<'a> {
        let _ = stream.get_ref().set_nodelay(true);
        let buffer = Buffer::new(PDU_MOST);
        let (out, asked) = Default::default();
        Session { front, number, stream, buffer, bound: None, sequence: 0, out, asked }
    }

    async fn run(mut self) {
        let (mailbox, receipts) = bounded(self.front.smpp.window);
        let clock = self.front.shared.clock;
        let opened = clock.now();
        let mut heard = opened;
        loop {
            let silence = match (&self.bound, self.asked.is_empty()) {
                (None, _) => opened.plus(BIND_WITHIN),
                (_, true) => heard.plus(self.front.smpp.enquire_link_interval),
                (_, false) => heard.plus(self.front.smpp.enquire_link_interval).plus(PROMPT),
            };
            let room = self.out.len() < self.front.smpp.window;
            let event = {
                let pdu = async { Event::Pdu(next(&mut self.buffer, &mut self.stream).await) };
                let receipt = async {
                    match room {
                        // This session holds a sender itself, so the mailbox stays open.
                        true => receipts.recv().await.map_or(Event::Closing, Event::Receipt),
                        false => future::pending().await,
                    }
                };
                let quiet = async {
                    clock.sleep_until(Some(silence)).await;
                    Event::Silence
                };
                let closing = async {
                    let _ = self.front.shared.calls_finished.recv().await;
                    Event::Closing
                };
                future::or(future::or(pdu, receipt), future::or(quiet, closing)).await
            };
            let sound = match event {
                Event::Pdu(None) => false,
                Event::Pdu(Some(Read::Pdu(command))) => {
                    heard = clock.now();
                    self.take(*command, &mailbox).await
                }
                Event::Pdu(Some(Read::Unreadable(sequence))) => {
                    self.front.shared.counters.smpp_bad_pdus.increment();
                    self.say(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
                }
                Event::Pdu(Some(Read::Lost)) => {
                    self.front.shared.counters.smpp_bad_pdus.increment();
                    self.say(CommandStatus::EsmeRinvcmdlen, 0, Pdu::GenericNack).await;
                    false
                }
                Event::Receipt(e) => {
                    let sequence = self.next_sequence();
                    self.out.insert(sequence, e.number);
                    self.say(CommandStatus::EsmeRok, sequence, receipt(&e, clock.now())).await
                }
                Event::Silence if self.bound.is_some() && self.asked.is_empty() => {
                    let sequence = self.next_sequence();
                    self.asked.insert(sequence);
                    self.say(CommandStatus::EsmeRok, sequence, Pdu::EnquireLink).await
                }
                Event::Silence => false,
                Event::Closing => {
                    let sequence = self.next_sequence();
                    self.say(CommandStatus::EsmeRok, sequence, Pdu::Unbind).await;
                    false
                }
            };
            if !sound {
                return;
            }
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence % 0x7fff_ffff + 1;
        self.sequence
    }

    /// Writes a PDU. False if the session is over: a peer that does not read is not waited for.
    async fn say(&mut self, status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> bool {
        let bytes = command(status, sequence, pdu);
        let clock = self.front.shared.clock;
        let by = clock.now().plus(PROMPT);
        matches!(clock.timeout_at(by, write(&mut self.stream, &bytes)).await, Some(Ok(())))
    }

    async fn take(&mut self, c: Command, mailbox: &Sender<StatusNotice>) -> bool {
        let (sequence, ok) = (c.sequence_number(), CommandStatus::EsmeRok);
        let unbound = CommandStatus::EsmeRinvbndsts;
        match c.pdu() {
            Some(Pdu::BindTransmitter(b)) => {
                let status = self.bind(text(&b.system_id), true, None).await;
                let resp = BindTransmitterResp::new(self.our_id(), Some(InterfaceVersion::Smpp3_4));
                self.say(status, sequence, resp).await && status == ok
            }
            Some(Pdu::BindReceiver(b)) => {
                let status = self.bind(text(&b.system_id), false, Some(mailbox)).await;
                let resp = BindReceiverResp::new(self.our_id(), Some(InterfaceVersion::Smpp3_4));
                self.say(status, sequence, resp).await && status == ok
            }
            Some(Pdu::BindTransceiver(b)) => {
                let status = self.bind(text(&b.system_id), true, Some(mailbox)).await;
                let resp = BindTransceiverResp::new(self.our_id(), Some(InterfaceVersion::Smpp3_4));
                self.say(status, sequence, resp).await && status == ok
            }
            Some(Pdu::SubmitSm(sm)) => match self.bound.clone() {
                Some((system_id, true)) => self.submit(sequence, &system_id, sm).await,
                _ => self.say(unbound, sequence, SubmitSmResp::default()).await,
            },
            Some(Pdu::EnquireLink) => self.say(ok, sequence, Pdu::EnquireLinkResp).await,
            Some(Pdu::Unbind) => {
                self.say(ok, sequence, Pdu::UnbindResp).await;
                false
            }
            Some(Pdu::EnquireLinkResp) => {
                self.asked.remove(&sequence);
                true
            }
            Some(Pdu::DeliverSmResp(_) | Pdu::GenericNack) => self.acknowledged(sequence).await,
            // Some peers leave the body of an answer out where its status is an error.
            None if c.id() == rusmpp::CommandId::DeliverSmResp => self.acknowledged(sequence).await,
            Some(Pdu::UnbindResp) => false,
            _ => {
                self.front.shared.counters.smpp_bad_pdus.increment();
                self.say(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
            }
        }
    }

    async fn acknowledged(&mut self, sequence: u32) -> bool {
        if let Some(n) = self.out.remove(&sequence) {
            let _ = self.front.receipts.send(ToReceipts::Acknowledged(n)).await;
        }
        true
    }

    fn our_id(&self) -> rusmpp::types::COctetString<1, 16> {
        field(&self.front.smpp.system_id)
    }

    async fn bind(
        &mut self, system_id: &str, submits: bool, receives: Option<&Sender<StatusNotice>>,
    ) -> CommandStatus {
        if self.bound.is_some() {
            return CommandStatus::EsmeRalybnd;
        }
        if !self.front.smpp.tenant_by_system_id.contains_key(system_id) {
            return CommandStatus::EsmeRinvsysid;
        }
        if self.front.shared.stopping.get() {
            return CommandStatus::EsmeRbindfail;
        }
        self.front.shared.counters.smpp_sessions.increment();
        self.bound = Some((system_id.to_owned(), submits));
        if let Some(mailbox) = receives {
            let (system_id, mailbox) = (system_id.to_owned(), mailbox.clone());
            let up = ToReceipts::Up { session: self.number, system_id, mailbox };
            let _ = self.front.receipts.send(up).await;
        }
        CommandStatus::EsmeRok
    }

    async fn submit(&mut self, sequence: u32, system_id: &str, sm: &SubmitSm) -> bool {
        let taken = match self.request(system_id, sm) {
            Ok(taken) => taken,
            Err(status) => {
                self.front.shared.counters.bad_requests.increment();
                return self.say(status, sequence, SubmitSmResp::default()).await;
            }
        };
        let id = taken.request_id.clone();
        let (reply, answer) = bounded(1);
        let module = &self.front.shared.core;
        let handed = module.send(CoreMessage::Submit(Submission { message: taken, reply })).await;
        let reply = if handed.is_ok() { answer.recv().await.ok() } else { None };
        match reply.unwrap_or(SubmitReply::FailFast(None)) {
            SubmitReply::Accepted(n) => {
                let resp = SubmitSmResp::new(field(&id), Vec::new());
                let heard = self.say(CommandStatus::EsmeRok, sequence, resp).await;
                if !heard {
                    self.front.shared.counters.unheard.increment();
                    let _ = self.front.shared.core.send(CoreMessage::ReplyNotDelivered(n)).await;
                }
                heard
            }
            SubmitReply::Full => {
                self.say(CommandStatus::EsmeRmsgqful, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::FailFast(_) => {
                self.say(CommandStatus::EsmeRthrottled, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::UnknownClassOrTenant => {
                self.say(CommandStatus::EsmeRinvsertyp, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::UnknownDestination => {
                self.say(CommandStatus::EsmeRinvdstadr, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::DuplicateId => {
                self.say(CommandStatus::EsmeRsubmitfail, sequence, SubmitSmResp::default()).await
            }
        }
    }

    fn request(&self, system_id: &str, sm: &SubmitSm) -> Result<AcceptedMessage, CommandStatus> {
        let Frontend { shared, smpp, give_up, .. } = self.front;
        let now = shared.clock.now();
        let service = text(sm.service_type.value());
        let class = smpp.class_for(service).ok_or(CommandStatus::EsmeRinvsertyp)?;
        let to = text(&sm.destination_addr);
        let destination = smpp.destination_for(to).ok_or(CommandStatus::EsmeRinvdstadr)?;
        let most = *give_up.get(class).ok_or(CommandStatus::EsmeRinvsertyp)?;
        let period = text(&sm.validity_period);
        let left = match period {
            "" => most,
            p => time::validity(p, now).ok_or(CommandStatus::EsmeRinvexpiry)?.min(most),
        };
        if !text(&sm.schedule_delivery_time).is_empty() {
            return Err(CommandStatus::EsmeRinvsched);
        }
        let payload = sm.tlvs().iter().find_map(|t| match t.value() {
            Some(TlvValue::MessagePayload(p)) => Some(p.value.as_ref().to_vec()),
            _ => None,
        });
        let note = Note {
            system_id: system_id.to_owned(),
            source: text(&sm.source_addr).to_owned(),
            destination: to.to_owned(),
            coding: sm.data_coding.into(),
            esm: sm.esm_class.into(),
        };
        let margin = MARGIN.min(Micros(left.0 / 8));
        // Unique over sessions and restarts: no two submissions share a microsecond and a session's sequence.
        let id = format!("{:x}-{:x}-{:x}", now.0, self.number, shared.serial());
        Ok(AcceptedMessage {
            number: 0,
            frontend: FRONTEND_ID,
            request_id: id,
            class: class.to_owned(),
            recorded_class: None,
            tenant: smpp.tenant_by_system_id.get(system_id).cloned().unwrap_or_default(),
            destination,
            idempotency_key: String::new(),
            frontend_note: note.write(),
            wants_receipt: true,
            deadline: now.plus(left.since(margin)),
            body: payload.unwrap_or_else(|| sm.short_message().as_ref().to_vec()),
        })
    }
}
