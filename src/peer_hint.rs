//! Hints about a receiver that senders send each other. In the encoding, the first four bytes are the id of
//! the receiver, and the rest says what happened there.

use crate::interface::{Micros, ReceiverId};

const RECOVERED_CODE: u8 = 1;
const RETRY_AFTER_CODE: u8 = 2;
/// A longer retry-after from another sender is not trusted and is cut to this.
const MAX_RETRY_AFTER_MS: u32 = 60_000;

/// What happened at a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerHint {
    /// It refused a call without a retry-after.
    Refused,
    /// It accepted a call after its health had been in doubt.
    Recovered,
    /// It sent a retry-after.
    RetryAfter(Micros),
}

impl PeerHint {
    pub fn encode(self, receiver: ReceiverId) -> Vec<u8> {
        let id = &receiver.0.to_le_bytes()[..4];
        match self {
            PeerHint::Refused => id.to_vec(),
            PeerHint::Recovered => [id, &[RECOVERED_CODE]].concat(),
            PeerHint::RetryAfter(wait) => {
                let ms = u32::try_from(wait.0.div_ceil(1000)).unwrap_or(u32::MAX).to_le_bytes();
                [id, &[RETRY_AFTER_CODE], &ms].concat()
            }
        }
    }

    /// Returns none for bytes that are not a valid hint: they come from outside the process.
    pub fn decode(data: &[u8]) -> Option<(ReceiverId, PeerHint)> {
        let (id, hint) = data.split_first_chunk::<4>()?;
        let hint = match hint {
            [] => PeerHint::Refused,
            [RECOVERED_CODE] => PeerHint::Recovered,
            [RETRY_AFTER_CODE, ms @ ..] => {
                let ms = u32::from_le_bytes(ms.try_into().ok()?);
                PeerHint::RetryAfter(Micros(u64::from(ms.min(MAX_RETRY_AFTER_MS)) * 1000))
            }
            _ => return None,
        };
        Some((ReceiverId(u32::from_le_bytes(*id).into()), hint))
    }
}
