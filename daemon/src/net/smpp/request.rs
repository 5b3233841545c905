//! What a client asks for with a PDU. A decoded PDU may need many times its length in memory, so a session keeps this
//! in its place while it waits for anything.

use super::inbound::Frontend;
use super::{FRONTEND_ID, MessageNote, c_octet_string, c_octet_text, time};
use onyxrock::core::AcceptedMessage;
use onyxrock::interface::Micros;
use rusmpp::pdus::{BindReceiverResp, BindTransceiverResp, BindTransmitterResp, SubmitSm};
use rusmpp::tlvs::TlvValue;
use rusmpp::values::InterfaceVersion;
use rusmpp::{Command, CommandId, CommandStatus, Pdu};

/// Subtracted from a message's validity: the receipt has to arrive before the message expires.
const VALIDITY_MARGIN: Micros = Micros(150_000);

/// A request of a client, or its response to one of this process.
pub enum Request {
    /// Binds the session to the client with this system id.
    Bind(BindKind, String),
    /// Submits a message; the status refuses it.
    Submit(Result<Box<AcceptedMessage>, CommandStatus>),
    /// Submits a message over a session that is not bound for that.
    SubmitUnbound,
    EnquireLink,
    Unbind,
    EnquireLinkResponse,
    /// The response to a receipt, with an error status or without.
    ReceiptResponse,
    UnbindResponse,
    /// Nothing that a client may send.
    Unknown,
}

/// The direction in which a bound session carries messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindKind {
    Transmitter,
    Receiver,
    Transceiver,
}

impl BindKind {
    /// Whether the client may submit messages.
    pub fn submits(self) -> bool {
        self != BindKind::Receiver
    }

    /// Whether the client gets receipts.
    pub fn receives(self) -> bool {
        self != BindKind::Transmitter
    }

    /// The response to the bind, with the system id of this side.
    pub fn response(self, own_system_id: &str) -> Pdu {
        let (system_id, version) = (c_octet_string(own_system_id), Some(InterfaceVersion::Smpp3_4));
        match self {
            BindKind::Transmitter => BindTransmitterResp::new(system_id, version).into(),
            BindKind::Receiver => BindReceiverResp::new(system_id, version).into(),
            BindKind::Transceiver => BindTransceiverResp::new(system_id, version).into(),
        }
    }
}

impl Request {
    /// The request in a PDU of this session.
    pub fn of(pdu: &Command, submitter: &Submitter) -> Request {
        match pdu.pdu() {
            Some(Pdu::BindTransmitter(bind)) => {
                Request::Bind(BindKind::Transmitter, c_octet_text(&bind.system_id).to_owned())
            }
            Some(Pdu::BindReceiver(bind)) => {
                Request::Bind(BindKind::Receiver, c_octet_text(&bind.system_id).to_owned())
            }
            Some(Pdu::BindTransceiver(bind)) => {
                Request::Bind(BindKind::Transceiver, c_octet_text(&bind.system_id).to_owned())
            }
            Some(Pdu::SubmitSm(submission)) => match submitter.system_id {
                Some(system_id) => Request::Submit(submitter.message(system_id, submission).map(Box::new)),
                None => Request::SubmitUnbound,
            },
            Some(Pdu::EnquireLink) => Request::EnquireLink,
            Some(Pdu::Unbind) => Request::Unbind,
            Some(Pdu::EnquireLinkResp) => Request::EnquireLinkResponse,
            Some(Pdu::DeliverSmResp(_) | Pdu::GenericNack) => Request::ReceiptResponse,
            // Some clients omit the body of a response with an error status.
            None if pdu.id() == CommandId::DeliverSmResp => Request::ReceiptResponse,
            Some(Pdu::UnbindResp) => Request::UnbindResponse,
            _ => Request::Unknown,
        }
    }
}

/// Who submits messages over a session.
pub struct Submitter<'a> {
    /// The state that all sessions share.
    pub frontend: &'a Frontend,
    /// Number of the session.
    pub session: u64,
    /// The client, if it is bound and may submit messages.
    pub system_id: Option<&'a str>,
}

impl Submitter<'_> {
    /// The message of a submit_sm PDU, or the status that refuses it.
    fn message(&self, system_id: &str, sm: &SubmitSm) -> Result<AcceptedMessage, CommandStatus> {
        let Frontend { shared, smpp, give_up_after, .. } = self.frontend;
        let now = shared.clock.now();
        let service = c_octet_text(sm.service_type.value());
        let class = smpp.class_for(service).ok_or(CommandStatus::EsmeRinvsertyp)?;
        let destination_address = c_octet_text(&sm.destination_addr);
        let destination = smpp.destination_for(destination_address).ok_or(CommandStatus::EsmeRinvdstadr)?;
        let longest = *give_up_after.get(class).ok_or(CommandStatus::EsmeRinvsertyp)?;
        let lifetime = match c_octet_text(&sm.validity_period) {
            "" => longest,
            period => time::validity(period, now).ok_or(CommandStatus::EsmeRinvexpiry)?.min(longest),
        };
        if !c_octet_text(&sm.schedule_delivery_time).is_empty() {
            return Err(CommandStatus::EsmeRinvsched);
        }
        let payload = sm.tlvs().iter().find_map(|tlv| match tlv.value() {
            Some(TlvValue::MessagePayload(payload)) => Some(payload.value.as_ref().into()),
            _ => None,
        });
        let note = MessageNote {
            system_id: system_id.to_owned(),
            source: c_octet_text(&sm.source_addr).to_owned(),
            destination: destination_address.to_owned(),
            data_coding: sm.data_coding.into(),
            esm_class: sm.esm_class.into(),
        };
        let margin = VALIDITY_MARGIN.min(Micros(lifetime.0 / 8));
        // Unique over sessions and restarts: no two submissions share a microsecond and a serial number of
        // the process.
        let id = format!("{:x}-{:x}-{:x}", now.0, self.session, shared.next_serial());
        Ok(AcceptedMessage {
            number: 0,
            frontend: FRONTEND_ID,
            request_id: id,
            class: class.to_owned(),
            recorded_class: None,
            tenant: smpp.tenant_by_system_id.get(system_id).cloned().unwrap_or_default(),
            destination,
            idempotency_key: String::new(),
            frontend_note: note.encode(),
            wants_receipt: true,
            deadline: now.plus(lifetime.since(margin)),
            body: payload.unwrap_or_else(|| sm.short_message().as_ref().into()),
        })
    }
}
