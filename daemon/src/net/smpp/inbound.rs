//! SMPP sessions of clients, each served by an actor of its own.

use super::receipts::{ToReceipts, receipt};
use super::request::{BindKind, Request, Submitter};
use super::{
    IO_TIMEOUT, MAX_PDU_BYTES, ReadResult, c_octet_string, encode_pdu, first_ready, take_pdu, write_pdu,
};
use crate::core_actor::{CoreMessage, StatusNotice, Submission, SubmitReply};
use crate::net::SharedState;
use crate::net::buffer::Buffer;
use crate::net::input_budget::InputReservation;
use crate::net::peer_state::PeerState;
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use futures_lite::future;
use onyxrock::core::AcceptedMessage;
use onyxrock::interface::Micros;
use onyxrock_config::smpp::SmppSettings;
use rusmpp::pdus::SubmitSmResp;
use rusmpp::{CommandStatus, Pdu};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Largest PDU of a connection that has not bound: a bind has some hundred bytes.
const MAX_UNBOUND_PDU_BYTES: usize = 1024;
/// A connection that has not bound by then is closed.
const BIND_TIMEOUT: Micros = Micros(10_000_000);

/// State that all sessions share.
pub struct Frontend {
    pub shared: Rc<SharedState>,
    pub smpp: SmppSettings,
    /// Longest lifetime of a message of each class.
    pub give_up_after: BTreeMap<String, Micros>,
    /// Mailbox of the receipts' actor.
    pub receipts: Sender<ToReceipts>,
}

/// Accepts connections until `stop` is closed.
pub async fn listen(frontend: Rc<Frontend>, listener: Async<TcpListener>, stop: Receiver<()>) {
    let mut session = 0;
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async { stop.recv().await.ok().and(None) };
        match future::or(accepted, stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                session += 1;
                // More connections may be waiting.
                future::yield_now().await;
                let counters = &frontend.shared.counters;
                counters.inbound_opened.increment();
                // At the limit a further connection is closed, so that it does not compete with the bound
                // sessions.
                let limits = &frontend.shared.connection_limits;
                if counters.inbound_open.get() >= limits.max_inbound()
                    || counters.smpp_open.get() >= limits.max_sessions()
                {
                    counters.inbound_turned_away.increment();
                    continue;
                }
                counters.inbound_open.increment();
                counters.smpp_open.increment();
                let (frontend, executor) = (frontend.clone(), frontend.shared.executor.clone());
                let actor = async move {
                    Session::new(&frontend, session, stream).run().await;
                    let _ = frontend.receipts.send(ToReceipts::Closed(session)).await;
                    frontend.shared.counters.inbound_open.decrement();
                    frontend.shared.counters.smpp_open.decrement();
                };
                executor.spawn(actor).detach();
            }
            Some(Err(e)) => {
                tracing::warn!("smpp: cannot accept a connection, retrying: {e}");
                async_io::Timer::after(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

/// The session of a client, or a connection that has not bound yet.
struct Session<'a> {
    frontend: &'a Frontend,
    number: u64,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// System id of the bound client, and whether it may submit messages.
    bound: Option<(String, bool)>,
    sequence: u32,
    /// Ledger numbers of messages whose receipt was sent and not acknowledged, by sequence number of the
    /// receipt.
    unacknowledged: BTreeMap<u32, u64>,
    /// Sequence numbers of enquire_link requests without a response.
    pending_enquiries: BTreeSet<u32>,
    /// Memory for the read buffer, and for the request that was read last.
    reservation: InputReservation<'a>,
    /// A part of a PDU is in the buffer.
    pdu_begun: bool,
}

/// What a session waits for.
enum Event {
    Pdu(Option<ReadResult>),
    Receipt(StatusNotice),
    Silence,
    Closing,
}

impl<'a> Session<'a> {
    fn new(frontend: &'a Frontend, number: u64, stream: Async<TcpStream>) -> Session<'a> {
        let _ = stream.get_ref().set_nodelay(true);
        let buffer = Buffer::new(MAX_PDU_BYTES);
        let (unacknowledged, pending_enquiries) = Default::default();
        Session {
            frontend,
            number,
            stream,
            buffer,
            bound: None,
            sequence: 0,
            unacknowledged,
            pending_enquiries,
            reservation: InputReservation::new(&frontend.shared.input_budget, frontend.shared.next_serial()),
            pdu_begun: false,
        }
    }

    async fn run(mut self) {
        let (mailbox, receipts) = bounded(self.frontend.smpp.window);
        let clock = self.frontend.shared.clock;
        let opened = clock.now();
        let mut last_received = opened;
        // The client alone decides how much input there is: behind each PDU other events come first.
        let mut input_first = true;
        loop {
            let silence_deadline = match (&self.bound, self.pending_enquiries.is_empty()) {
                (None, _) => opened.plus(BIND_TIMEOUT),
                (_, true) => last_received.plus(self.frontend.smpp.enquire_link_interval),
                (_, false) => last_received.plus(self.frontend.smpp.enquire_link_interval).plus(IO_TIMEOUT),
            };
            let window_open = self.unacknowledged.len() < self.frontend.smpp.window;
            let event = {
                let frontend = self.frontend;
                let input = async { Event::Pdu(self.read_pdu().await) };
                let receipt = async {
                    match window_open {
                        // This session holds a sender of the mailbox itself, so the mailbox stays open.
                        true => receipts.recv().await.map_or(Event::Closing, Event::Receipt),
                        false => future::pending().await,
                    }
                };
                let silent = async {
                    clock.sleep_until(Some(silence_deadline)).await;
                    Event::Silence
                };
                let closing = async {
                    let _ = frontend.shared.calls_finished.recv().await;
                    Event::Closing
                };
                let other = future::or(receipt, future::or(silent, closing));
                first_ready(input_first, input, other).await
            };
            input_first = !matches!(event, Event::Pdu(_));
            let session_ok = match event {
                Event::Pdu(None) => false,
                Event::Pdu(Some(ReadResult::Pdu(pdu))) => {
                    last_received = clock.now();
                    let sequence = pdu.sequence_number();
                    let request = Request::of(&pdu, &self.submitter());
                    drop(pdu);
                    self.handle(sequence, request, &mailbox).await
                }
                Event::Pdu(Some(ReadResult::Undecodable(sequence))) => {
                    self.frontend.shared.counters.smpp_bad_pdus.increment();
                    self.send_pdu(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
                }
                Event::Pdu(Some(ReadResult::FramingLost)) => {
                    self.frontend.shared.counters.smpp_bad_pdus.increment();
                    self.send_pdu(CommandStatus::EsmeRinvcmdlen, 0, Pdu::GenericNack).await;
                    false
                }
                Event::Receipt(notice) => {
                    let sequence = self.next_sequence();
                    self.unacknowledged.insert(sequence, notice.number);
                    self.send_pdu(CommandStatus::EsmeRok, sequence, receipt(&notice, clock.now())).await
                }
                Event::Silence if self.bound.is_some() && self.pending_enquiries.is_empty() => {
                    let sequence = self.next_sequence();
                    self.pending_enquiries.insert(sequence);
                    self.send_pdu(CommandStatus::EsmeRok, sequence, Pdu::EnquireLink).await
                }
                Event::Silence => false,
                Event::Closing => {
                    let sequence = self.next_sequence();
                    self.send_pdu(CommandStatus::EsmeRok, sequence, Pdu::Unbind).await;
                    false
                }
            };
            if !session_ok {
                return;
            }
            self.reservation.shrink_to(self.buffer.capacity());
            // The next PDU may be there already and may need no other actor.
            future::yield_now().await;
        }
    }

    /// Reads until a PDU is complete. `None` at the end of the stream, or if the memory for the PDU is needed by
    /// others.
    async fn read_pdu(&mut self) -> Option<ReadResult> {
        let clock = self.frontend.shared.clock;
        let max_bytes = if self.bound.is_some() { MAX_PDU_BYTES } else { MAX_UNBOUND_PDU_BYTES };
        loop {
            if let Some(result) = take_pdu(&mut self.buffer, max_bytes) {
                self.reservation.complete();
                self.pdu_begun = false;
                return Some(result);
            }
            if !self.buffer.is_empty() && !std::mem::replace(&mut self.pdu_begun, true) {
                self.reservation.begin(clock.now());
            }
            if !self.reservation.grow_to(&clock, self.buffer.capacity_for_fill()).await {
                self.frontend.shared.counters.refused_memory.increment();
                return None;
            }
            let given_up = async {
                self.reservation.given_up().await;
                None
            };
            let read = async { self.buffer.fill(&mut self.stream).await.ok().filter(|n| *n > 0) };
            future::or(read, given_up).await?;
        }
    }

    /// Who submits messages over this session.
    fn submitter(&self) -> Submitter<'_> {
        let system_id = self.bound.as_ref().filter(|(_, submits)| *submits).map(|(id, _)| id.as_str());
        Submitter { frontend: self.frontend, session: self.number, system_id }
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence % 0x7fff_ffff + 1;
        self.sequence
    }

    /// Writes a PDU. Returns false if the session has to end: a client that does not read is not waited
    /// for.
    async fn send_pdu(&mut self, status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> bool {
        let bytes = encode_pdu(status, sequence, pdu);
        let clock = self.frontend.shared.clock;
        let deadline = clock.now().plus(IO_TIMEOUT);
        matches!(clock.timeout_at(deadline, write_pdu(&mut self.stream, &bytes)).await, Some(Ok(())))
    }

    /// Handles a request of the client. Returns false if the session has ended.
    async fn handle(&mut self, sequence: u32, request: Request, mailbox: &Sender<StatusNotice>) -> bool {
        let ok = CommandStatus::EsmeRok;
        match request {
            Request::Bind(kind, system_id) => {
                let status = self.bind(&system_id, kind, mailbox).await;
                let response = kind.response(&self.frontend.smpp.system_id);
                self.send_pdu(status, sequence, response).await && status == ok
            }
            Request::Submit(message) => self.submit(sequence, message).await,
            Request::SubmitUnbound => {
                self.send_pdu(CommandStatus::EsmeRinvbndsts, sequence, SubmitSmResp::default()).await
            }
            Request::EnquireLink => self.send_pdu(ok, sequence, Pdu::EnquireLinkResp).await,
            Request::Unbind => {
                self.send_pdu(ok, sequence, Pdu::UnbindResp).await;
                false
            }
            Request::EnquireLinkResponse => {
                self.pending_enquiries.remove(&sequence);
                true
            }
            Request::ReceiptResponse => self.on_receipt_response(sequence).await,
            Request::UnbindResponse => false,
            Request::Unknown => {
                self.frontend.shared.counters.smpp_bad_pdus.increment();
                self.send_pdu(CommandStatus::EsmeRinvcmdid, sequence, Pdu::GenericNack).await
            }
        }
    }

    /// Reports a receipt as acknowledged; a response with an error status counts as well.
    async fn on_receipt_response(&mut self, sequence: u32) -> bool {
        if let Some(number) = self.unacknowledged.remove(&sequence) {
            let acknowledged = ToReceipts::Acknowledged { number, session: self.number };
            let _ = self.frontend.receipts.send(acknowledged).await;
        }
        true
    }

    /// Binds the session to a client; returns the status of the response.
    async fn bind(
        &mut self, system_id: &str, kind: BindKind, mailbox: &Sender<StatusNotice>,
    ) -> CommandStatus {
        if self.bound.is_some() {
            return CommandStatus::EsmeRalybnd;
        }
        if !self.frontend.smpp.tenant_by_system_id.contains_key(system_id) {
            return CommandStatus::EsmeRinvsysid;
        }
        if self.frontend.shared.stopping.get() {
            return CommandStatus::EsmeRbindfail;
        }
        self.frontend.shared.counters.smpp_sessions.increment();
        self.bound = Some((system_id.to_owned(), kind.submits()));
        if kind.receives() {
            let (system_id, mailbox) = (system_id.to_owned(), mailbox.clone());
            let bound_event = ToReceipts::Bound { session: self.number, system_id, mailbox };
            let _ = self.frontend.receipts.send(bound_event).await;
        }
        CommandStatus::EsmeRok
    }

    /// Submits a message to the core and answers with the result.
    async fn submit(&mut self, sequence: u32, message: Result<Box<AcceptedMessage>, CommandStatus>) -> bool {
        let message = match message {
            Ok(message) => *message,
            Err(status) => {
                self.frontend.shared.counters.bad_requests.increment();
                return self.send_pdu(status, sequence, SubmitSmResp::default()).await;
            }
        };
        // A client that has left was not told, and may submit the message elsewhere.
        if PeerState::of(&self.stream) != PeerState::Present {
            self.frontend.shared.counters.unheard.increment();
            return self.send_pdu(CommandStatus::EsmeRthrottled, sequence, SubmitSmResp::default()).await;
        }
        let id = message.request_id.clone();
        let (reply, core_reply) = bounded(1);
        let core = &self.frontend.shared.core;
        let sent = core.send(CoreMessage::Submit(Submission { message, makes_key: true, reply })).await;
        let reply = if sent.is_ok() { core_reply.recv().await.ok() } else { None };
        // The core has the message now. A client that does not read its response must not hold the memory.
        self.reservation.shrink_to(self.buffer.capacity());
        match reply.unwrap_or(SubmitReply::FailFast(None)) {
            SubmitReply::Accepted(number) => {
                let resp = SubmitSmResp::new(c_octet_string(&id), Vec::new());
                let delivered = self.send_pdu(CommandStatus::EsmeRok, sequence, resp).await;
                if !delivered {
                    self.frontend.shared.counters.unheard.increment();
                    let _ = self.frontend.shared.core.send(CoreMessage::ReplyNotDelivered(number)).await;
                }
                delivered
            }
            SubmitReply::Full => {
                self.send_pdu(CommandStatus::EsmeRmsgqful, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::FailFast(_) => {
                self.send_pdu(CommandStatus::EsmeRthrottled, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::UnknownClassOrTenant => {
                self.send_pdu(CommandStatus::EsmeRinvsertyp, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::UnknownDestination => {
                self.send_pdu(CommandStatus::EsmeRinvdstadr, sequence, SubmitSmResp::default()).await
            }
            SubmitReply::DuplicateId => {
                self.send_pdu(CommandStatus::EsmeRsubmitfail, sequence, SubmitSmResp::default()).await
            }
        }
    }
}

#[cfg(test)]
mod tests;
