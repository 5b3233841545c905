//! Memories as the blocks of a file: a head with a version, blocks with their length and checksum, and an end, so that
//! a file that was cut off is known as one.

use crate::health_store::{HealthKey, StoredHealth};
use onyxrock::interface::Micros;
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 8] = b"onyxidle";
const VERSION: u32 = 1;
/// Memories of one block: what is put together in one turn.
const BLOCK: usize = 256;
/// No block of ours is longer.
const BLOCK_MOST: usize = 1 << 20;
/// A block's length and checksum.
const FRAME: usize = 8;

#[derive(Serialize, Deserialize)]
struct Line {
    whose: HealthKey,
    rested: u64,
    wait_until: u64,
    served: f32,
    sick: bool,
}

/// Puts memories into a file of so many bytes at most, block by block; those that went to rest last come first.
#[derive(Debug)]
pub struct SnapshotWriter {
    left: std::vec::IntoIter<(HealthKey, StoredHealth)>,
    room: usize,
    begun: bool,
    ended: bool,
    /// Memories that found no room.
    pub omitted: usize,
}

impl SnapshotWriter {
    /// For these.
    #[must_use]
    pub fn new(mut all: Vec<(HealthKey, StoredHealth)>, most: usize) -> SnapshotWriter {
        all.sort_unstable_by(|a, b| b.1.deactivated_at.cmp(&a.1.deactivated_at).then_with(|| a.0.cmp(&b.0)));
        let room = most.saturating_sub(MAGIC.len() + 4 + FRAME);
        SnapshotWriter { left: all.into_iter(), room, begun: false, ended: false, omitted: 0 }
    }
}

fn frame(out: &mut Vec<u8>, payload: &[u8]) {
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(payload).to_le_bytes());
    out.extend(payload);
}

impl Iterator for SnapshotWriter {
    type Item = Vec<u8>;

    /// The next bytes of the file; none after its end.
    fn next(&mut self) -> Option<Vec<u8>> {
        if std::mem::replace(&mut self.ended, self.left.len() == 0) {
            return None;
        }
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.begun, true) {
            out.extend(MAGIC);
            out.extend(VERSION.to_le_bytes());
        }
        let line = |(whose, m): (HealthKey, StoredHealth)| Line {
            whose,
            rested: m.deactivated_at.0,
            wait_until: m.wait_until.0,
            served: m.served_per_s,
            sick: m.unhealthy,
        };
        let block: Vec<_> = self.left.by_ref().take(BLOCK).map(line).collect();
        let n = block.len();
        let payload = postcard::to_allocvec(&block).unwrap_or_default();
        if n > 0 && payload.len() + FRAME <= self.room {
            self.room -= payload.len() + FRAME;
            frame(&mut out, &payload);
        } else {
            // Older ones are worth less.
            self.omitted = n + self.left.len();
            self.left = Vec::new().into_iter();
        }
        if self.left.len() == 0 {
            self.ended = true;
            frame(&mut out, &[]);
        }
        Some(out)
    }
}

/// Takes the memories out of a file.
///
/// # Errors
/// What is wrong with it; then nothing of it is used.
pub fn read_snapshot(bytes: &[u8]) -> Result<Vec<(HealthKey, StoredHealth)>, String> {
    let rest = bytes.strip_prefix(MAGIC).ok_or("it is none of ours")?;
    let (version, mut rest) = rest.split_first_chunk::<4>().ok_or("it is cut off")?;
    match u32::from_le_bytes(*version) {
        VERSION => {}
        other => return Err(format!("its version is {other}, not {VERSION}")),
    }
    let mut all = Vec::new();
    loop {
        let (head, body) = rest.split_first_chunk::<FRAME>().ok_or("it is cut off")?;
        let [a, b, c, d, sum @ ..] = *head;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        let payload = body.get(..length).filter(|_| length <= BLOCK_MOST).ok_or("it is cut off")?;
        if crc32fast::hash(payload) != u32::from_le_bytes(sum) {
            return Err("a checksum is wrong".into());
        }
        rest = &body[length..];
        if length == 0 {
            return if rest.is_empty() { Ok(all) } else { Err("there is more behind its end".into()) };
        }
        let block: Vec<Line> = postcard::from_bytes(payload).map_err(|e| format!("a block: {e}"))?;
        all.extend(block.into_iter().map(|l| {
            let (rested, wait_until) = (Micros(l.rested), Micros(l.wait_until));
            (
                l.whose,
                StoredHealth {
                    deactivated_at: rested,
                    wait_until,
                    served_per_s: l.served,
                    unhealthy: l.sick,
                },
            )
        }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn some(n: u64) -> Vec<(HealthKey, StoredHealth)> {
        let whose = |i| match i % 2 {
            0 => HealthKey::Destination(i),
            _ => HealthKey::Endpoint(format!("e-{i}").into()),
        };
        let m = |i| StoredHealth {
            deactivated_at: Micros(i),
            wait_until: Micros(7 * i),
            served_per_s: 1.5,
            unhealthy: i % 3 == 0,
        };
        (0..n).map(|i| (whose(i), m(i))).collect()
    }

    fn file(all: Vec<(HealthKey, StoredHealth)>, most: usize) -> (Vec<u8>, usize) {
        let mut w = SnapshotWriter::new(all, most);
        let mut bytes = Vec::new();
        for part in w.by_ref() {
            bytes.extend(part);
        }
        (bytes, w.omitted)
    }

    #[test]
    fn what_went_in_comes_out_and_the_last_to_rest_have_room_first() {
        for n in [0, 1, 256, 257, 1000] {
            let mut all = read_snapshot(&file(some(n), 1 << 20).0).unwrap();
            all.reverse();
            assert_eq!(all, some(n));
        }
        let (bytes, left_out) = file(some(1000), 9000);
        let kept = read_snapshot(&bytes).unwrap();
        assert!(bytes.len() <= 9000 && left_out == 1000 - kept.len() && kept.len() >= 256, "{left_out}");
        assert_eq!(kept[0].1.deactivated_at, Micros(999));
        assert!(read_snapshot(&file(some(9), 0).0).unwrap().is_empty(), "no room at all");
    }

    /// Every cut and every flipped bit is found; nothing of such a file is used, and nothing panics.
    #[test]
    fn a_damaged_file_is_known_as_one() {
        let bytes = file(some(300), 1 << 20).0;
        for cut in 0..bytes.len() {
            assert!(read_snapshot(&bytes[..cut]).is_err(), "{cut}");
        }
        for at in 0..bytes.len() {
            let mut other = bytes.clone();
            other[at] ^= 1 << (at % 8);
            assert!(read_snapshot(&other).is_err(), "{at}");
        }
        assert!(read_snapshot(&[&bytes[..], b"x"].concat()).is_err());
        let mut later = bytes;
        later[8] = 2;
        assert_eq!(read_snapshot(&later).unwrap_err(), "its version is 2, not 1");
    }
}
