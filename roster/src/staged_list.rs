//! A list on its way in.

use crate::table::{Endpoint, EntryError};
use onyxrock::interface::EntryState;
use std::net::SocketAddr;

/// Entries of one block. It is what a table takes in one turn, and small enough that freed ones are used again.
const BLOCK: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Line {
    destination: u64,
    address: SocketAddr,
    name_end: u32,
    weight: f32,
    zone: u16,
    kind: u16,
    listing: EntryState,
}

/// Some entries of a list, in its order; their names lie in one run of bytes.
#[derive(Debug, Default)]
pub struct EntryBlock {
    names: String,
    zones: Vec<Box<str>>,
    lines: Vec<Line>,
}

/// Entries of a list that is still being read: the table takes it as a whole or not at all. Each block goes as soon as
/// it has been taken, so that a long list is not held twice.
#[derive(Debug, Default)]
pub struct StagedList {
    most: usize,
    most_bytes: usize,
    len: usize,
    name_bytes: usize,
    blocks: Vec<EntryBlock>,
}

impl StagedList {
    /// For so many entries, in so many bytes, at most.
    #[must_use]
    pub fn new(most: usize, most_bytes: usize) -> StagedList {
        StagedList { most, most_bytes, ..StagedList::default() }
    }
    /// Entries that are here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }
    /// None is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
    /// Bytes that they take.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.name_bytes + self.len.next_multiple_of(BLOCK) * size_of::<Line>()
    }

    /// Takes one more.
    ///
    /// # Errors
    /// [`Refused::Full`] beyond a bound, [`Refused::Shape`] for one that no table takes.
    pub fn push(&mut self, e: &Endpoint<'_>) -> Result<(), EntryError> {
        if u16::try_from(e.name.len()).is_err() {
            return Err(EntryError::OutOfBounds);
        }
        let block = if self.len.is_multiple_of(BLOCK) { BLOCK * size_of::<Line>() } else { 0 };
        if self.len >= self.most || self.memory_bytes() + e.name.len() + block > self.most_bytes {
            return Err(EntryError::Full);
        }
        if block > 0 {
            self.blocks.push(EntryBlock { lines: Vec::with_capacity(BLOCK), ..EntryBlock::default() });
        }
        let Some(b) = self.blocks.last_mut() else { return Err(EntryError::Full) };
        let at = b.zones.iter().rposition(|z| &**z == e.zone).unwrap_or_else(|| {
            b.zones.push(e.zone.into());
            b.zones.len() - 1
        });
        let zone = u16::try_from(at).map_err(|_| EntryError::OutOfBounds)?;
        b.names.push_str(e.name);
        b.lines.push(Line {
            destination: e.destination,
            address: e.address,
            name_end: u32::try_from(b.names.len()).map_err(|_| EntryError::OutOfBounds)?,
            weight: e.weight,
            zone,
            kind: e.kind,
            listing: e.state,
        });
        (self.len, self.name_bytes) = (self.len + 1, self.name_bytes + e.name.len());
        Ok(())
    }

    /// Them all, in order.
    pub fn into_blocks(self) -> impl Iterator<Item = EntryBlock> {
        self.blocks.into_iter()
    }
}

impl EntryBlock {
    /// Its entries.
    pub fn iter(&self) -> impl Iterator<Item = Endpoint<'_>> {
        let from = std::iter::once(0).chain(self.lines.iter().map(|l| l.name_end as usize));
        self.lines.iter().zip(from).filter_map(|(l, from)| {
            Some(Endpoint {
                name: self.names.get(from..l.name_end as usize)?,
                address: l.address,
                zone: self.zones.get(usize::from(l.zone))?,
                kind: l.kind,
                destination: l.destination,
                weight: l.weight,
                state: l.listing,
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_come_out_as_they_went_in_and_bounds_hold() {
        let one = |name, zone, listing| Endpoint {
            name,
            address: "[::1]:7".parse().unwrap(),
            zone,
            kind: 2,
            destination: 9,
            weight: 1.5,
            state: listing,
        };
        let all = [
            one("a", "x", EntryState::Ready),
            one("", "y", EntryState::Gone),
            one("cc", "x", EntryState::Draining),
        ];
        let mut s = StagedList::new(900, 1 << 20);
        (0..900).for_each(|i| s.push(&all[i % 3]).unwrap());
        assert_eq!((s.push(&all[0]), s.len()), (Err(EntryError::Full), 900));
        let blocks: Vec<_> = s.into_blocks().collect();
        let out: Vec<_> = blocks.iter().flat_map(EntryBlock::iter).collect();
        assert!(out.len() == 900 && out.iter().enumerate().all(|(i, e)| *e == all[i % 3]));
        let bytes = 3 * BLOCK * size_of::<Line>();
        let mut small = StagedList::new(10_000, bytes);
        let taken = (0..10_000).take_while(|_| small.push(&all[1]).is_ok()).count();
        assert!(taken == 3 * BLOCK && small.memory_bytes() <= bytes, "{taken}");
        let long = "n".repeat(70_000);
        assert_eq!(
            StagedList::new(9, 1 << 20).push(&one(&long, "x", EntryState::Ready)),
            Err(EntryError::OutOfBounds)
        );
    }
}
