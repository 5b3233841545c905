//! Delivery receipts: one for each message that was submitted over SMPP, sent again only until a session
//! acknowledges it.

use super::{MessageNote, c_octet_string, time};
use crate::core_actor::{CoreMessage, StatusNotice};
use crate::net::SharedState;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use onyxrock::core::FinalStatus;
use onyxrock::interface::Micros;
use rusmpp::Pdu;
use rusmpp::pdus::DeliverSm;
use rusmpp::tlvs::MessageDeliveryRequestTlvValue as Tlv;
use rusmpp::types::OctetString;
use rusmpp::values::{DataCoding, EsmClass, MessageState};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time after a message's deadline for which its receipt is kept if no session binds or acknowledges it.
const KEEP_AFTER_DEADLINE: Micros = Micros(60_000_000);
/// A session that has not acknowledged a receipt by then is taken for silent, and another session of its client gets the
/// receipt as well.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros(2_000_000);
/// How often receipts that no session holds are offered again.
const OFFER_INTERVAL: Micros = Micros(250_000);

/// A message to the receipts' actor.
#[derive(Debug)]
pub enum ToReceipts {
    /// A session that receives receipts has bound.
    Bound { session: u64, system_id: String, mailbox: Sender<StatusNotice> },
    /// The session with this number has ended.
    Closed(u64),
    /// The client has acknowledged the receipt of the message with this ledger number over a session.
    Acknowledged { number: u64, session: u64 },
}

/// A bound session that receives receipts.
struct Session {
    system_id: String,
    mailbox: Sender<StatusNotice>,
    /// It has left a receipt unacknowledged, and has acknowledged none since.
    silent: bool,
}

/// A receipt that no session has acknowledged.
struct PendingReceipt {
    notice: StatusNotice,
    /// The client that is to get it.
    system_id: String,
    /// The sessions that have it, each with the time at which it was passed to them, the latest last.
    passed_to: Vec<(u64, Micros)>,
}

impl PendingReceipt {
    fn new(notice: StatusNotice) -> PendingReceipt {
        let system_id = MessageNote::decode(&notice.frontend_note).system_id;
        PendingReceipt { notice, system_id, passed_to: Vec::new() }
    }

    /// Passes the receipt to a session of its client that does not have it, a silent one last. The session that was
    /// bound last is the likeliest to be there.
    fn pass_on(&mut self, now: Micros, sessions: &BTreeMap<u64, Session>) {
        let has_it = |id: &u64| self.passed_to.iter().any(|(session, _)| session == id);
        let of_client = sessions.iter().rev().filter(|(id, s)| s.system_id == self.system_id && !has_it(id));
        let (silent, sound): (Vec<_>, Vec<_>) = of_client.partition(|(_, session)| session.silent);
        let taken_by = sound
            .into_iter()
            .chain(silent)
            .find(|(_, session)| session.mailbox.try_send(self.notice.clone()).is_ok());
        self.passed_to.extend(taken_by.map(|(id, _)| (*id, now)));
    }

    /// The session that got the receipt last, if it has had it for too long.
    fn silent_holder(&self, now: Micros) -> Option<u64> {
        let (session, at) = self.passed_to.last()?;
        (now >= at.plus(ACKNOWLEDGEMENT_TIMEOUT)).then_some(*session)
    }
}

/// Passes receipts to sessions of their clients until they are acknowledged.
pub async fn run(shared: Rc<SharedState>, notices: Receiver<StatusNotice>, sessions: Receiver<ToReceipts>) {
    let mut bound_sessions: BTreeMap<u64, Session> = BTreeMap::new();
    let mut pending: BTreeMap<u64, PendingReceipt> = BTreeMap::new();
    loop {
        let notice = async { notices.recv().await.ok().map(|notice| (Some(notice), None)) };
        let session = async { sessions.recv().await.ok().map(|event| (None, Some(event))) };
        let now = shared.clock.now();
        let next_offer = (!pending.is_empty()).then(|| now.plus(OFFER_INTERVAL));
        let offer = async {
            shared.clock.sleep_until(next_offer).await;
            Some((None, None))
        };
        let Some((notice, session)) = future::or(future::or(notice, session), offer).await else { return };
        if let Some(notice) = notice {
            pending.insert(notice.number, PendingReceipt::new(notice));
        }
        match session {
            Some(ToReceipts::Bound { session, system_id, mailbox }) => {
                bound_sessions.insert(session, Session { system_id, mailbox, silent: false });
            }
            Some(ToReceipts::Closed(session)) => {
                bound_sessions.remove(&session);
                let is_other = |(id, _): &mut (u64, Micros)| *id != session;
                pending.values_mut().for_each(|receipt| receipt.passed_to.retain_mut(is_other));
            }
            Some(ToReceipts::Acknowledged { number, session }) => {
                bound_sessions.entry(session).and_modify(|session| session.silent = false);
                if pending.remove(&number).is_some() {
                    shared.counters.smpp_receipts.increment();
                    let _ = shared.core.send(CoreMessage::NoticeDelivered(number)).await;
                }
            }
            None => {}
        }
        let now = shared.clock.now();
        for receipt in pending.values_mut() {
            let silent_holder = receipt.silent_holder(now);
            if let Some(session) = silent_holder {
                bound_sessions.entry(session).and_modify(|session| session.silent = true);
            }
            if receipt.passed_to.is_empty() || silent_holder.is_some() {
                receipt.pass_on(now, &bound_sessions);
            }
        }
        // Also applies to a receipt that a session holds and never acknowledges: nothing else would remove
        // it.
        let is_expired = |receipt: &PendingReceipt| now > receipt.notice.deadline.plus(KEEP_AFTER_DEADLINE);
        let expired: Vec<_> =
            pending.iter().filter(|(_, receipt)| is_expired(receipt)).map(|(number, _)| *number).collect();
        for number in expired {
            tracing::warn!(
                request = %pending[&number].notice.request_id,
                "smpp: receipt not acknowledged in time, dropped"
            );
            pending.remove(&number);
            shared.counters.smpp_receipts_lost.increment();
            let _ = shared.core.send(CoreMessage::NoticeDelivered(number)).await;
        }
    }
}

/// The receipt as a PDU, from the message's destination to its source.
pub fn receipt(notice: &StatusNotice, now: Micros) -> Pdu {
    let message_note = MessageNote::decode(&notice.frontend_note);
    // REJECTD is the final status that makes it harmless to submit the message again; the text may say
    // when.
    let (stat, state, delivered, hint) = match notice.status {
        FinalStatus::Delivered => ("DELIVRD", MessageState::Delivered, 1, String::new()),
        FinalStatus::Failed => ("UNDELIV", MessageState::Undeliverable, 0, String::new()),
        FinalStatus::Returned(wait) => {
            let hint = wait.map_or(String::new(), |wait| format!("retry-after-ms={}", wait.0.div_ceil(1000)));
            ("REJECTD", MessageState::Rejected, 0, hint)
        }
    };
    let at = time::receipt_time(now);
    let text = format!(
        "id:{} sub:001 dlvrd:{delivered:03} submit date:{at} done date:{at} stat:{stat} err:000 text:{hint}",
        notice.request_id
    );
    let mut sm = DeliverSm::default();
    sm.source_addr = c_octet_string(&message_note.destination);
    sm.destination_addr = c_octet_string(&message_note.source);
    sm.esm_class = EsmClass::from(0x04);
    sm.data_coding = DataCoding::from(0);
    sm.set_short_message(OctetString::from_vec(text.into_bytes()).unwrap_or_default());
    sm.push_tlv(Tlv::ReceiptedMessageId(c_octet_string(&notice.request_id)));
    sm.push_tlv(Tlv::MessageState(state));
    sm.into()
}
