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
/// How often receipts that no session holds are offered again.
const OFFER_INTERVAL: Micros = Micros(250_000);

/// A message to the receipts' actor.
#[derive(Debug)]
pub enum ToReceipts {
    /// A session that receives receipts has bound.
    Bound { session: u64, system_id: String, mailbox: Sender<StatusNotice> },
    /// The session with this number has ended.
    Closed(u64),
    /// The client has acknowledged the receipt of the message with this ledger number.
    Acknowledged(u64),
}

/// A bound session that receives receipts.
struct Session {
    system_id: String,
    mailbox: Sender<StatusNotice>,
}

/// Passes receipts to sessions of their clients until they are acknowledged.
pub async fn run(shared: Rc<SharedState>, notices: Receiver<StatusNotice>, sessions: Receiver<ToReceipts>) {
    let mut bound_sessions: BTreeMap<u64, Session> = BTreeMap::new();
    // Each receipt with the session that it was passed to.
    let mut pending: BTreeMap<u64, (StatusNotice, Option<u64>)> = BTreeMap::new();
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
            pending.insert(notice.number, (notice, None));
        }
        match session {
            Some(ToReceipts::Bound { session, system_id, mailbox }) => {
                bound_sessions.insert(session, Session { system_id, mailbox });
            }
            Some(ToReceipts::Closed(session)) => {
                bound_sessions.remove(&session);
                pending
                    .values_mut()
                    .filter(|entry| entry.1 == Some(session))
                    .for_each(|entry| entry.1 = None);
            }
            Some(ToReceipts::Acknowledged(number)) if pending.remove(&number).is_some() => {
                shared.counters.smpp_receipts.increment();
                let _ = shared.core.send(CoreMessage::NoticeDelivered(number)).await;
            }
            _ => {}
        }
        for (notice, session) in pending.values_mut().filter(|entry| entry.1.is_none()) {
            let system_id = MessageNote::decode(&notice.frontend_note).system_id;
            let candidates = bound_sessions.iter().filter(|(_, s)| s.system_id == system_id);
            *session = candidates
                .into_iter()
                .find(|(_, s)| s.mailbox.try_send(notice.clone()).is_ok())
                .map(|(id, _)| *id);
        }
        let now = shared.clock.now();
        // Also applies to a receipt that a session holds and never acknowledges: nothing else would remove
        // it.
        let is_expired =
            |entry: &(StatusNotice, Option<u64>)| now > entry.0.deadline.plus(KEEP_AFTER_DEADLINE);
        let expired: Vec<_> =
            pending.iter().filter(|(_, entry)| is_expired(entry)).map(|(number, _)| *number).collect();
        for number in expired {
            tracing::warn!(
                request = %pending[&number].0.request_id,
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
