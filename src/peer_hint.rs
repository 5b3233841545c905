//! What senders tell each other of a receiver, as bytes: four name it, and what follows says what happened there.

use crate::interface::{Micros, ReceiverId};

const UP: u8 = 1;
const WAIT: u8 = 2;
/// Longer waits are not believed of another sender.
const WAIT_MOST_MS: u32 = 60_000;

/// What happened at a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerHint {
    /// It refused a call, and told no wait.
    Refused,
    /// It took a call, and had been doubted.
    Recovered,
    /// It told a wait.
    RetryAfter(Micros),
}

impl PeerHint {
    pub fn encode(self, of: ReceiverId) -> Vec<u8> {
        let id = &of.0.to_le_bytes()[..4];
        match self {
            PeerHint::Refused => id.to_vec(),
            PeerHint::Recovered => [id, &[UP]].concat(),
            PeerHint::RetryAfter(wait) => {
                let ms = u32::try_from(wait.0.div_ceil(1000)).unwrap_or(u32::MAX).to_le_bytes();
                [id, &[WAIT], &ms].concat()
            }
        }
    }

    /// None of bytes that are no news: they come from outside.
    pub fn decode(data: &[u8]) -> Option<(ReceiverId, PeerHint)> {
        let (id, news) = data.split_first_chunk::<4>()?;
        let news = match news {
            [] => PeerHint::Refused,
            [UP] => PeerHint::Recovered,
            [WAIT, ms @ ..] => {
                let ms = u32::from_le_bytes(ms.try_into().ok()?);
                PeerHint::RetryAfter(Micros(u64::from(ms.min(WAIT_MOST_MS)) * 1000))
            }
            _ => return None,
        };
        Some((ReceiverId(u32::from_le_bytes(*id).into()), news))
    }
}
