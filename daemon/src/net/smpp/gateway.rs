//! The actor of one gateway: a session that is bound on demand, and the outbound calls over it.

use super::{
    IO_TIMEOUT, MAX_PDU_BYTES, MessageNote, ReadResult, c_octet_string, encode_pdu, first_ready, read_pdu,
    write_pdu,
};
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

/// Longest short_message; a longer body is sent as message_payload.
const MAX_SHORT_MESSAGE_BYTES: usize = 254;

/// Starts the actor of a gateway; `capacity` is the length of its mailbox.
pub fn start(shared: &Rc<SharedState>, gateway: Gateway, capacity: usize) -> Sender<ToEndpoint> {
    let (mailbox, inbox) = bounded(capacity);
    let (shared, executor) = (shared.clone(), shared.executor.clone());
    executor.spawn(run(shared, gateway, inbox)).detach();
    mailbox
}

async fn run(shared: Rc<SharedState>, gateway: Gateway, inbox: Receiver<ToEndpoint>) {
    while let Ok(message) = inbox.recv().await {
        let ToEndpoint::Call(call) = message else { continue };
        let deadline = call.deadline().min(shared.clock.now().plus(shared.connect_timeout));
        shared.counters.outbound_open.increment();
        shared.counters.outbound_opened.increment();
        match shared.clock.timeout_at(deadline, bind(&shared, &gateway)).await {
            Some(Some(link)) => {
                let receiver = call.receiver;
                let waiting = VecDeque::from([*call]);
                let session = Session {
                    shared: &shared,
                    gateway: &gateway,
                    link,
                    waiting,
                    in_flight: BTreeMap::new(),
                    last_received: shared.clock.now(),
                    enquiry_pending: false,
                    closing: false,
                    receiver,
                };
                session.run(&inbox).await;
            }
            _ => {
                // Calls that arrived in the meantime would only wait for the next bind to fail, beyond
                // their deadlines.
                report_outcome(&shared, &call, Verdict::ConnectFailed).await;
                while let Ok(message) = inbox.try_recv() {
                    if let ToEndpoint::Call(call) = message {
                        report_outcome(&shared, &call, Verdict::ConnectFailed).await;
                    }
                }
            }
        }
        shared.counters.outbound_open.decrement();
    }
}

/// Reports the outcome of a call to the core.
async fn report_outcome(shared: &SharedState, call: &OutboundCall, verdict: Verdict) {
    let outcome = call.outcome(shared.clock.now(), verdict);
    let _ = shared.core.send(CoreMessage::AttemptEnded(outcome)).await;
}

/// A connection to the gateway.
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

/// Opens and binds a session. `None` if there is no connection or the gateway refuses the bind.
async fn bind(shared: &SharedState, gateway: &Gateway) -> Option<Link> {
    let stream = Async::<TcpStream>::connect(gateway.address).await.ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut link = Link { stream, buffer: Buffer::new(MAX_PDU_BYTES), sequence: 0 };
    let bind = BindTransceiver {
        system_id: c_octet_string(&gateway.system_id),
        interface_version: InterfaceVersion::Smpp3_4,
        ..BindTransceiver::default()
    };
    let sequence = link.next_sequence();
    write_pdu(&mut link.stream, &encode_pdu(CommandStatus::EsmeRok, sequence, bind)).await.ok()?;
    match read_pdu(&mut link.buffer, &mut link.stream).await? {
        ReadResult::Pdu(pdu) if pdu.id() == CommandId::BindTransceiverResp => {
            if pdu.status() != CommandStatus::EsmeRok {
                tracing::warn!(
                    peer = %gateway.name,
                    "gateway: bind refused with status {:?}; waiting calls fail",
                    pdu.status()
                );
                return None;
            }
            Some(link)
        }
        ReadResult::Pdu(_) => None,
        ReadResult::Undecodable(_) | ReadResult::FramingLost => {
            shared.counters.smpp_bad_pdus.increment();
            None
        }
    }
}

/// What a session waits for.
enum Event {
    Message(Option<ToEndpoint>),
    Pdu(Option<ReadResult>),
    Timer,
    Closing,
}

/// A bound session with the gateway.
struct Session<'a> {
    shared: &'a SharedState,
    gateway: &'a Gateway,
    link: Link,
    /// Calls that wait for space in the window.
    waiting: VecDeque<OutboundCall>,
    /// Submissions without a response, by sequence number.
    in_flight: BTreeMap<u32, OutboundCall>,
    /// When the last PDU arrived.
    last_received: Micros,
    /// An enquire_link has been sent and not answered.
    enquiry_pending: bool,
    /// The session ends once no call is left.
    closing: bool,
    /// The core's id of this gateway.
    receiver: ReceiverId,
}

impl Session<'_> {
    async fn run(mut self, inbox: &Receiver<ToEndpoint>) {
        let clock = self.shared.clock;
        let mut session_ok = true;
        // The gateway alone decides how much input there is: behind each PDU other events come first.
        let mut input_first = true;
        while session_ok {
            session_ok = self.submit_waiting().await;
            if !session_ok || self.closing && self.in_flight.is_empty() && self.waiting.is_empty() {
                break;
            }
            let silence_deadline = self.last_received.plus(self.gateway.enquire_link_interval);
            let silence_deadline =
                if self.enquiry_pending { silence_deadline.plus(IO_TIMEOUT) } else { silence_deadline };
            let first_deadline =
                self.in_flight.values().chain(&self.waiting).map(OutboundCall::deadline).min();
            let wake_at = first_deadline.map_or(silence_deadline, |deadline| deadline.min(silence_deadline));
            let event = {
                let message = async { Event::Message(inbox.recv().await.ok()) };
                let input =
                    async { Event::Pdu(read_pdu(&mut self.link.buffer, &mut self.link.stream).await) };
                let time = async {
                    clock.sleep_until(Some(wake_at)).await;
                    Event::Timer
                };
                let closing = async {
                    let _ = self.shared.calls_finished.recv().await;
                    Event::Closing
                };
                let other = future::or(message, future::or(time, closing));
                first_ready(input_first, input, other).await
            };
            input_first = !matches!(event, Event::Pdu(_));
            session_ok = match event {
                Event::Message(Some(ToEndpoint::Call(call))) => {
                    self.waiting.push_back(*call);
                    true
                }
                Event::Message(Some(ToEndpoint::CloseIdle)) => {
                    self.closing = self.in_flight.is_empty() && self.waiting.is_empty();
                    true
                }
                Event::Message(Some(ToEndpoint::AddressChanged(_))) => true,
                Event::Message(None) | Event::Pdu(None) => false,
                Event::Pdu(Some(ReadResult::Pdu(pdu))) => {
                    self.last_received = clock.now();
                    self.handle_pdu(*pdu).await
                }
                Event::Pdu(Some(ReadResult::Undecodable(sequence))) => {
                    self.shared.counters.smpp_bad_pdus.increment();
                    self.send_pdu(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
                }
                Event::Pdu(Some(ReadResult::FramingLost)) => {
                    self.shared.counters.smpp_bad_pdus.increment();
                    self.send_pdu(CommandStatus::EsmeRinvcmdlen, 0, Pdu::GenericNack).await;
                    false
                }
                Event::Closing => break,
                Event::Timer => self.on_time(clock.now(), silence_deadline).await,
            };
            // The next PDU may be there already and may need no other actor.
            future::yield_now().await;
        }
        if session_ok {
            let sequence = self.link.next_sequence();
            self.send_pdu(CommandStatus::EsmeRok, sequence, Pdu::Unbind).await;
        }
        // Submissions without a response may have been accepted; waiting calls were never written.
        for call in self.in_flight.into_values() {
            report_outcome(self.shared, &call, Verdict::Reset).await;
        }
        for call in self.waiting {
            report_outcome(self.shared, &call, Verdict::ConnectFailed).await;
        }
    }

    /// Writes a PDU. Returns false if the gateway does not read it in time.
    async fn send_pdu(&mut self, status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> bool {
        let bytes = encode_pdu(status, sequence, pdu);
        let deadline = self.shared.clock.now().plus(IO_TIMEOUT);
        matches!(
            self.shared.clock.timeout_at(deadline, write_pdu(&mut self.link.stream, &bytes)).await,
            Some(Ok(()))
        )
    }

    /// Ends calls whose deadline has passed and checks whether the gateway still answers.
    async fn on_time(&mut self, now: Micros, silence_deadline: Micros) -> bool {
        let expired: Vec<u32> = self
            .in_flight
            .iter()
            .filter(|(_, call)| call.deadline() <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some(call) = self.in_flight.remove(&sequence) {
                report_outcome(self.shared, &call, Verdict::TimedOut).await;
            }
        }
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let (expired, waiting): (VecDeque<_>, VecDeque<_>) = waiting.partition(|call| call.deadline() <= now);
        self.waiting = waiting;
        for call in expired {
            report_outcome(self.shared, &call, Verdict::Moot).await;
        }
        if now < silence_deadline {
            return true;
        }
        if self.enquiry_pending {
            return false; // no response to enquire_link: the gateway is gone
        }
        self.enquiry_pending = true;
        let sequence = self.link.next_sequence();
        self.send_pdu(CommandStatus::EsmeRok, sequence, Pdu::EnquireLink).await
    }

    /// Submits as many waiting calls as the window allows. Returns false if the session broke.
    async fn submit_waiting(&mut self) -> bool {
        while self.in_flight.len() < self.gateway.window
            && let Some(call) = self.waiting.pop_front()
        {
            if call.deadline() <= self.shared.clock.now() {
                report_outcome(self.shared, &call, Verdict::Moot).await;
                continue;
            }
            let permit = match self.shared.request_permit(&call, self.gateway.address, false).await {
                Ok(permit) => permit,
                Err(verdict) => {
                    report_outcome(self.shared, &call, verdict).await;
                    continue;
                }
            };
            self.shared.record_send(&call, &permit);
            let sequence = self.link.next_sequence();
            let bytes = encode_pdu(CommandStatus::EsmeRok, sequence, submission(&call));
            let write = write_pdu(&mut self.link.stream, &bytes);
            if !matches!(self.shared.clock.timeout_at(call.deadline(), write).await, Some(Ok(()))) {
                // The last byte was not written, so the call has not run; an incomplete PDU makes the
                // session useless for other calls.
                report_outcome(self.shared, &call, Verdict::ConnectFailed).await;
                return false;
            }
            self.in_flight.insert(sequence, call);
        }
        true
    }

    /// Handles a PDU of the gateway. Returns false if the session has ended.
    async fn handle_pdu(&mut self, pdu: Command) -> bool {
        let sequence = pdu.sequence_number();
        match (pdu.id(), pdu.pdu()) {
            (CommandId::SubmitSmResp | CommandId::GenericNack, body) => {
                // Of a response that arrives after its call was given up, only the retry-after counts.
                let verdict = self.verdict(pdu.id(), pdu.status(), body);
                if let Some(call) = self.in_flight.remove(&sequence) {
                    report_outcome(self.shared, &call, verdict).await;
                } else if let Verdict::Full(Some(retry_after)) = verdict {
                    let until = self.shared.clock.now().plus(retry_after);
                    let _ = self
                        .shared
                        .core
                        .send(CoreMessage::RetryAfter { receiver: self.receiver, until })
                        .await;
                }
                true
            }
            (CommandId::EnquireLink, _) => {
                self.send_pdu(CommandStatus::EsmeRok, sequence, Pdu::EnquireLinkResp).await
            }
            (CommandId::EnquireLinkResp, _) => {
                self.enquiry_pending = false;
                true
            }
            // The gateway's own receipts report the fate of messages that it has accepted; the forwarder
            // does not pass them on.
            (CommandId::DeliverSm, _) => {
                self.send_pdu(CommandStatus::EsmeRok, sequence, DeliverSmResp::default()).await
            }
            (CommandId::Unbind, _) => {
                self.send_pdu(CommandStatus::EsmeRok, sequence, Pdu::UnbindResp).await;
                false
            }
            _ => {
                self.shared.counters.smpp_bad_pdus.increment();
                self.send_pdu(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
            }
        }
    }

    /// Maps a status to a verdict.
    fn verdict(&self, id: CommandId, status: CommandStatus, pdu: Option<&Pdu>) -> Verdict {
        match status {
            CommandStatus::EsmeRok if id == CommandId::SubmitSmResp => Verdict::Delivered,
            CommandStatus::EsmeRthrottled | CommandStatus::EsmeRmsgqful => {
                Verdict::Full(self.retry_after(pdu))
            }
            _ => Verdict::Error,
        }
    }

    /// The retry-after of a refusal, from the TLV that the configuration names.
    fn retry_after(&self, pdu: Option<&Pdu>) -> Option<Micros> {
        let (tag, unit) = self.gateway.retry_after_tlv?;
        let Some(Pdu::SubmitSmResp(resp)) = pdu else { return None };
        let value = resp.tlvs().iter().find(|tlv| tlv.tag() == TlvTag::from(tag))?.value()?;
        let TlvValue::Other { value, .. } = value else { return None };
        let wait_units = value.as_ref().iter().take(4).fold(0u64, |sum, byte| sum << 8 | u64::from(*byte));
        (wait_units > 0).then(|| Micros(wait_units * unit.0))
    }
}

/// The submit_sm PDU of a call.
fn submission(call: &OutboundCall) -> SubmitSm {
    let note = MessageNote::decode(&call.frontend_note);
    let mut submit_sm = SubmitSm::default();
    submit_sm.source_addr = c_octet_string(&note.source);
    submit_sm.destination_addr = c_octet_string(&note.destination);
    submit_sm.esm_class = EsmClass::from(note.esm_class);
    submit_sm.data_coding = DataCoding::from(note.data_coding);
    if call.body.len() <= MAX_SHORT_MESSAGE_BYTES {
        submit_sm.set_short_message(OctetString::from_slice(&call.body).unwrap_or_default());
    } else {
        let payload = rusmpp::types::AnyOctetString::from_slice(&call.body);
        submit_sm.push_tlv(Tlv::MessagePayload(MessagePayload::new(payload)));
    }
    submit_sm
}

#[cfg(test)]
mod tests;
