//! A list that is still being read.

use crate::table::{Endpoint, EntryError};
use onyxrock::interface::EntryState;
use std::net::SocketAddr;

/// Entries of one block. A block is what the table applies at a time, and is small enough for the allocator
/// to reuse the memory of freed blocks.
const BLOCK_ENTRIES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct StagedEntry {
    destination: u64,
    address: SocketAddr,
    /// End of the name in `EntryBlock::names`; it starts where the name before it ends.
    name_end: u32,
    weight: f32,
    /// Index into `EntryBlock::zones`.
    zone: u16,
    kind: u16,
    state: EntryState,
    started_ms: u64,
}

/// Consecutive entries of a list; their names lie in one string.
#[derive(Debug, Default)]
pub struct EntryBlock {
    names: String,
    zones: Vec<Box<str>>,
    entries: Vec<StagedEntry>,
}

/// Entries of a list that is still being read; the table applies a list as a whole or not at all. Each block
/// is freed as soon as it has been applied, so that a long list is not held twice.
#[derive(Debug, Default)]
pub struct StagedList {
    max_entries: usize,
    max_bytes: usize,
    len: usize,
    name_bytes: usize,
    blocks: Vec<EntryBlock>,
}

impl StagedList {
    /// Creates an empty list that holds at most `max_entries` entries in at most `max_bytes` bytes.
    #[must_use]
    pub fn new(max_entries: usize, max_bytes: usize) -> StagedList {
        StagedList { max_entries, max_bytes, ..StagedList::default() }
    }
    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }
    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
    /// Bytes of memory that the entries take.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.name_bytes + self.len.next_multiple_of(BLOCK_ENTRIES) * size_of::<StagedEntry>()
    }

    /// Appends an entry.
    ///
    /// # Errors
    /// [`EntryError::Full`] beyond a bound, [`EntryError::OutOfBounds`] for an entry that no table takes.
    pub fn push(&mut self, entry: &Endpoint<'_>) -> Result<(), EntryError> {
        if u16::try_from(entry.name.len()).is_err() {
            return Err(EntryError::OutOfBounds);
        }
        let new_block_bytes =
            if self.len.is_multiple_of(BLOCK_ENTRIES) { BLOCK_ENTRIES * size_of::<StagedEntry>() } else { 0 };
        if self.len >= self.max_entries
            || self.memory_bytes() + entry.name.len() + new_block_bytes > self.max_bytes
        {
            return Err(EntryError::Full);
        }
        if new_block_bytes > 0 {
            self.blocks
                .push(EntryBlock { entries: Vec::with_capacity(BLOCK_ENTRIES), ..EntryBlock::default() });
        }
        let Some(block) = self.blocks.last_mut() else { return Err(EntryError::Full) };
        let zone_index = block.zones.iter().rposition(|zone| &**zone == entry.zone).unwrap_or_else(|| {
            block.zones.push(entry.zone.into());
            block.zones.len() - 1
        });
        let zone = u16::try_from(zone_index).map_err(|_| EntryError::OutOfBounds)?;
        block.names.push_str(entry.name);
        block.entries.push(StagedEntry {
            destination: entry.destination,
            address: entry.address,
            name_end: u32::try_from(block.names.len()).map_err(|_| EntryError::OutOfBounds)?,
            weight: entry.weight,
            zone,
            kind: entry.kind,
            state: entry.state,
            started_ms: entry.started_ms,
        });
        (self.len, self.name_bytes) = (self.len + 1, self.name_bytes + entry.name.len());
        Ok(())
    }

    /// The blocks of entries, in the order of the list.
    pub fn into_blocks(self) -> impl Iterator<Item = EntryBlock> {
        self.blocks.into_iter()
    }
}

impl EntryBlock {
    /// The entries of the block.
    pub fn iter(&self) -> impl Iterator<Item = Endpoint<'_>> {
        let name_starts = std::iter::once(0).chain(self.entries.iter().map(|entry| entry.name_end as usize));
        self.entries.iter().zip(name_starts).filter_map(|(entry, name_start)| {
            Some(Endpoint {
                name: self.names.get(name_start..entry.name_end as usize)?,
                address: entry.address,
                zone: self.zones.get(usize::from(entry.zone))?,
                kind: entry.kind,
                destination: entry.destination,
                weight: entry.weight,
                state: entry.state,
                started_ms: entry.started_ms,
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn blocks_return_the_entries_unchanged_and_bounds_hold() {
        let endpoint = |name, zone, state| Endpoint {
            name,
            address: "[::1]:7".parse().unwrap(),
            zone,
            kind: 2,
            destination: 9,
            weight: 1.5,
            state,
            started_ms: 7,
        };
        let all = [
            endpoint("a", "x", EntryState::Ready),
            endpoint("", "y", EntryState::Gone),
            endpoint("cc", "x", EntryState::Draining),
        ];
        let mut staged = StagedList::new(900, 1 << 20);
        (0..900).for_each(|i| staged.push(&all[i % 3]).unwrap());
        assert_eq!((staged.push(&all[0]), staged.len()), (Err(EntryError::Full), 900));
        let blocks: Vec<_> = staged.into_blocks().collect();
        let out: Vec<_> = blocks.iter().flat_map(EntryBlock::iter).collect();
        assert!(out.len() == 900 && out.iter().enumerate().all(|(i, e)| *e == all[i % 3]));
        let bytes = 3 * BLOCK_ENTRIES * size_of::<StagedEntry>();
        let mut small = StagedList::new(10_000, bytes);
        let accepted = (0..10_000).take_while(|_| small.push(&all[1]).is_ok()).count();
        assert!(accepted == 3 * BLOCK_ENTRIES && small.memory_bytes() <= bytes, "{accepted}");
        let long = "n".repeat(70_000);
        assert_eq!(
            StagedList::new(9, 1 << 20).push(&endpoint(&long, "x", EntryState::Ready)),
            Err(EntryError::OutOfBounds)
        );
    }
}
