//! The file format of stored health: a header with a version, blocks with their length and checksum, and an
//! empty block at the end, so that a truncated file is detected.

use crate::health_store::{HealthKey, StoredHealth};
use onyxrock::interface::Micros;
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 8] = b"onyxidle";
const VERSION: u32 = 1;

/// Entries of one block, which is what one call of [`SnapshotWriter::next`] encodes.
const BLOCK_ENTRIES: usize = 256;

/// Bound on the length of a block that is read. The writer makes no block as long as this.
const MAX_BLOCK_BYTES: usize = 1 << 20;

/// Length of a block's header: its payload length and checksum, four bytes each.
const BLOCK_HEADER_BYTES: usize = 8;

#[derive(Serialize, Deserialize)]
struct FileEntry {
    #[serde(rename = "whose")]
    key: HealthKey,
    #[serde(rename = "rested")]
    deactivated_at: u64,
    wait_until: u64,
    #[serde(rename = "served")]
    served_per_s: f32,
    #[serde(rename = "sick")]
    unhealthy: bool,
}

/// Encodes stored health as a file of bounded length, block by block. The entries that were deactivated last
/// come first.
#[derive(Debug)]
pub struct SnapshotWriter {
    remaining: std::vec::IntoIter<(HealthKey, StoredHealth)>,
    bytes_left: usize,
    header_written: bool,
    ended: bool,
    /// Number of entries that did not fit into the file.
    pub omitted: usize,
}

impl SnapshotWriter {
    /// Creates a writer for these entries, and a file of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(mut entries: Vec<(HealthKey, StoredHealth)>, max_bytes: usize) -> SnapshotWriter {
        entries
            .sort_unstable_by(|a, b| b.1.deactivated_at.cmp(&a.1.deactivated_at).then_with(|| a.0.cmp(&b.0)));
        let bytes_left = max_bytes.saturating_sub(MAGIC.len() + 4 + BLOCK_HEADER_BYTES);
        SnapshotWriter {
            remaining: entries.into_iter(),
            bytes_left,
            header_written: false,
            ended: false,
            omitted: 0,
        }
    }
}

fn append_block(output: &mut Vec<u8>, payload: &[u8]) {
    output.extend((payload.len() as u32).to_le_bytes());
    output.extend(crc32fast::hash(payload).to_le_bytes());
    output.extend(payload);
}

impl Iterator for SnapshotWriter {
    type Item = Vec<u8>;

    /// The next bytes of the file; none after its end.
    fn next(&mut self) -> Option<Vec<u8>> {
        if std::mem::replace(&mut self.ended, self.remaining.len() == 0) {
            return None;
        }
        let mut output = Vec::new();
        if !std::mem::replace(&mut self.header_written, true) {
            output.extend(MAGIC);
            output.extend(VERSION.to_le_bytes());
        }
        let file_entry = |(key, stored): (HealthKey, StoredHealth)| FileEntry {
            key,
            deactivated_at: stored.deactivated_at.0,
            wait_until: stored.wait_until.0,
            served_per_s: stored.served_per_s,
            unhealthy: stored.unhealthy,
        };
        let block: Vec<_> = self.remaining.by_ref().take(BLOCK_ENTRIES).map(file_entry).collect();
        let entry_count = block.len();
        let payload = postcard::to_allocvec(&block).unwrap_or_default();
        if entry_count > 0 && payload.len() + BLOCK_HEADER_BYTES <= self.bytes_left {
            self.bytes_left -= payload.len() + BLOCK_HEADER_BYTES;
            append_block(&mut output, &payload);
        } else {
            // The entries left out are the oldest, whose health is worth least.
            self.omitted = entry_count + self.remaining.len();
            self.remaining = Vec::new().into_iter();
        }
        if self.remaining.len() == 0 {
            self.ended = true;
            append_block(&mut output, &[]);
        }
        Some(output)
    }
}

/// Decodes the entries of a file.
///
/// # Errors
/// A description of what is wrong with the file; then nothing of it is used.
pub fn read_snapshot(bytes: &[u8]) -> Result<Vec<(HealthKey, StoredHealth)>, String> {
    let after_magic = bytes.strip_prefix(MAGIC).ok_or("the file is not an onyxrock health snapshot")?;
    let (version, mut remaining) = after_magic.split_first_chunk::<4>().ok_or("the file is truncated")?;
    match u32::from_le_bytes(*version) {
        VERSION => {}
        other => return Err(format!("the file's version is {other}, not {VERSION}")),
    }
    let mut entries = Vec::new();
    loop {
        let (header, body) =
            remaining.split_first_chunk::<BLOCK_HEADER_BYTES>().ok_or("the file is truncated")?;
        let [a, b, c, d, checksum @ ..] = *header;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        let payload =
            body.get(..length).filter(|_| length <= MAX_BLOCK_BYTES).ok_or("the file is truncated")?;
        if crc32fast::hash(payload) != u32::from_le_bytes(checksum) {
            return Err("the checksum of a block does not match".into());
        }
        remaining = &body[length..];
        if length == 0 {
            return if remaining.is_empty() {
                Ok(entries)
            } else {
                Err("the file has data after its last block".into())
            };
        }
        let block: Vec<FileEntry> =
            postcard::from_bytes(payload).map_err(|e| format!("a block cannot be decoded: {e}"))?;
        entries.extend(block.into_iter().map(|entry| {
            let (deactivated_at, wait_until) = (Micros(entry.deactivated_at), Micros(entry.wait_until));
            (
                entry.key,
                StoredHealth {
                    deactivated_at,
                    wait_until,
                    served_per_s: entry.served_per_s,
                    unhealthy: entry.unhealthy,
                },
            )
        }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample_entries(count: u64) -> Vec<(HealthKey, StoredHealth)> {
        let key = |i| match i % 2 {
            0 => HealthKey::Destination(i),
            _ => HealthKey::Endpoint(format!("e-{i}").into()),
        };
        let stored = |i| StoredHealth {
            deactivated_at: Micros(i),
            wait_until: Micros(7 * i),
            served_per_s: 1.5,
            unhealthy: i % 3 == 0,
        };
        (0..count).map(|i| (key(i), stored(i))).collect()
    }

    /// The bytes of a snapshot, and the number of entries that were left out.
    fn encode(entries: Vec<(HealthKey, StoredHealth)>, max_bytes: usize) -> (Vec<u8>, usize) {
        let mut writer = SnapshotWriter::new(entries, max_bytes);
        let mut bytes = Vec::new();
        for part in writer.by_ref() {
            bytes.extend(part);
        }
        (bytes, writer.omitted)
    }

    #[test]
    fn entries_are_read_back_unchanged_and_the_last_deactivated_are_written_first() {
        for count in [0, 1, 256, 257, 1000] {
            let mut entries = read_snapshot(&encode(sample_entries(count), 1 << 20).0).unwrap();
            entries.reverse();
            assert_eq!(entries, sample_entries(count));
        }
        let (bytes, omitted) = encode(sample_entries(1000), 9000);
        let kept = read_snapshot(&bytes).unwrap();
        assert!(bytes.len() <= 9000 && omitted == 1000 - kept.len() && kept.len() >= 256, "{omitted}");
        assert_eq!(kept[0].1.deactivated_at, Micros(999));
        assert!(read_snapshot(&encode(sample_entries(9), 0).0).unwrap().is_empty(), "no entry fits");
    }

    /// Each truncation and a flipped bit in each byte are detected; nothing of such a file is used, and
    /// nothing panics.
    #[test]
    fn a_damaged_file_is_refused() {
        let bytes = encode(sample_entries(300), 1 << 20).0;
        for cut in 0..bytes.len() {
            assert!(read_snapshot(&bytes[..cut]).is_err(), "{cut}");
        }
        for index in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[index] ^= 1 << (index % 8);
            assert!(read_snapshot(&damaged).is_err(), "{index}");
        }
        assert!(read_snapshot(&[&bytes[..], b"x"].concat()).is_err());
        let mut later_version = bytes;
        later_version[8] = 2;
        assert_eq!(read_snapshot(&later_version).unwrap_err(), "the file's version is 2, not 1");
    }
}
