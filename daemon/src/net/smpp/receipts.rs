//! The ends of what came over SMPP: one delivery receipt each, repeated only until its session acknowledges it.

use super::{Note, field, time};
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

/// A receipt whose client does not bind, or does not acknowledge it, is kept so long after the message's time is up.
const KEEP: Micros = Micros(60_000_000);
const LOOK_AGAIN: Micros = Micros(250_000);

#[derive(Debug)]
pub enum ToReceipts {
    /// A session that takes receipts is bound.
    Up {
        session: u64,
        system_id: String,
        mailbox: Sender<StatusNotice>,
    },
    Down(u64),
    Acknowledged(u64),
}

struct Session {
    system_id: String,
    mailbox: Sender<StatusNotice>,
}

pub async fn run(shared: Rc<SharedState>, endings: Receiver<StatusNotice>, sessions: Receiver<ToReceipts>) {
    let mut bound: BTreeMap<u64, Session> = BTreeMap::new();
    // Each with the session that has it in hand.
    let mut pending: BTreeMap<u64, (StatusNotice, Option<u64>)> = BTreeMap::new();
    loop {
        let ending = async { endings.recv().await.ok().map(|e| (Some(e), None)) };
        let session = async { sessions.recv().await.ok().map(|s| (None, Some(s))) };
        let now = shared.clock.now();
        let again = (!pending.is_empty()).then(|| now.plus(LOOK_AGAIN));
        let look = async {
            shared.clock.sleep_until(again).await;
            Some((None, None))
        };
        let Some((ending, session)) = future::or(future::or(ending, session), look).await else { return };
        if let Some(e) = ending {
            pending.insert(e.number, (e, None));
        }
        match session {
            Some(ToReceipts::Up { session, system_id, mailbox }) => {
                bound.insert(session, Session { system_id, mailbox });
            }
            Some(ToReceipts::Down(session)) => {
                bound.remove(&session);
                pending.values_mut().filter(|p| p.1 == Some(session)).for_each(|p| p.1 = None);
            }
            Some(ToReceipts::Acknowledged(n)) if pending.remove(&n).is_some() => {
                shared.counters.smpp_receipts.increment();
                let _ = shared.core.send(CoreMessage::NoticeDelivered(n)).await;
            }
            _ => {}
        }
        for (e, held) in pending.values_mut().filter(|p| p.1.is_none()) {
            let system_id = Note::read(&e.frontend_note).system_id;
            let fits = bound.iter().filter(|(_, s)| s.system_id == system_id);
            *held = fits.into_iter().find(|(_, s)| s.mailbox.try_send(e.clone()).is_ok()).map(|(id, _)| *id);
        }
        let now = shared.clock.now();
        // Also where a session has it and never acknowledges it: nothing else would let go of it.
        let stale = |p: &(StatusNotice, Option<u64>)| now > p.0.deadline.plus(KEEP);
        let gone: Vec<_> = pending.iter().filter(|(_, p)| stale(p)).map(|(n, _)| *n).collect();
        for n in gone {
            tracing::warn!(request = %pending[&n].0.id, "smpp: a receipt was not acknowledged and is given up");
            pending.remove(&n);
            shared.counters.smpp_receipts_lost.increment();
            let _ = shared.core.send(CoreMessage::NoticeDelivered(n)).await;
        }
    }
}

/// The receipt as a PDU: from the message's destination to its source.
pub fn receipt(e: &StatusNotice, now: Micros) -> Pdu {
    let note = Note::read(&e.frontend_note);
    // REJECTD is the end that says: handing it in again is harmless; the text may say when.
    let (stat, state, delivered, hint) = match e.status {
        FinalStatus::Delivered => ("DELIVRD", MessageState::Delivered, 1, String::new()),
        FinalStatus::Failed => ("UNDELIV", MessageState::Undeliverable, 0, String::new()),
        FinalStatus::Returned(wait) => {
            let hint = wait.map_or(String::new(), |w| format!("retry-after-ms={}", w.0.div_ceil(1000)));
            ("REJECTD", MessageState::Rejected, 0, hint)
        }
    };
    let at = time::receipt(now);
    let text = format!(
        "id:{} sub:001 dlvrd:{delivered:03} submit date:{at} done date:{at} stat:{stat} err:000 text:{hint}",
        e.id
    );
    let mut sm = DeliverSm::default();
    sm.source_addr = field(&note.destination);
    sm.destination_addr = field(&note.source);
    sm.esm_class = EsmClass::from(0x04);
    sm.data_coding = DataCoding::from(0);
    sm.set_short_message(OctetString::from_vec(text.into_bytes()).unwrap_or_default());
    sm.push_tlv(Tlv::ReceiptedMessageId(field(&e.id)));
    sm.push_tlv(Tlv::MessageState(state));
    sm.into()
}
