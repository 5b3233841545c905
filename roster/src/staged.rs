//! A list on its way in.

use crate::table::{Endpoint, Refused};
use onyxrock::interface::Listing;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug)]
struct Line {
    destination: u64,
    address: SocketAddr,
    name_end: u32,
    weight: f32,
    zone: u16,
    kind: u16,
    listing: Listing,
}

/// Entries of a list that is still being read: the table takes it as a whole or not at all. Names lie in one run of
/// bytes, so that it comes and goes in a few large pieces.
#[derive(Debug, Default)]
pub struct Staged {
    most: usize,
    most_bytes: usize,
    names: String,
    zones: Vec<Box<str>>,
    lines: Vec<Line>,
}

impl Staged {
    /// For so many entries, in so many bytes, at most.
    #[must_use]
    pub fn new(most: usize, most_bytes: usize) -> Staged {
        Staged { most, most_bytes, ..Staged::default() }
    }
    /// Entries that are here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.len()
    }
    /// None is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
    /// Bytes that they take.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.names.len() + self.lines.len() * size_of::<Line>()
    }

    /// Takes one more.
    ///
    /// # Errors
    /// [`Refused::Full`] beyond a bound, [`Refused::Shape`] for one that no table takes.
    pub fn push(&mut self, e: &Endpoint<'_>) -> Result<(), Refused> {
        if self.lines.len() >= self.most
            || self.bytes() + e.name.len() + size_of::<Line>() > self.most_bytes
            || u16::try_from(e.name.len()).is_err()
        {
            return Err(if e.name.len() > usize::from(u16::MAX) { Refused::Shape } else { Refused::Full });
        }
        let at = self.zones.iter().rposition(|z| &**z == e.zone).unwrap_or_else(|| {
            self.zones.push(e.zone.into());
            self.zones.len() - 1
        });
        let zone = u16::try_from(at).map_err(|_| Refused::Shape)?;
        self.names.push_str(e.name);
        self.lines.push(Line {
            destination: e.destination,
            address: e.address,
            name_end: u32::try_from(self.names.len()).map_err(|_| Refused::Full)?,
            weight: e.weight,
            zone,
            kind: e.kind,
            listing: e.listing,
        });
        Ok(())
    }

    /// One of them.
    #[must_use]
    pub fn get(&self, i: usize) -> Option<Endpoint<'_>> {
        let l = self.lines.get(i)?;
        let from = i.checked_sub(1).map_or(0, |before| self.lines[before].name_end as usize);
        Some(Endpoint {
            name: self.names.get(from..l.name_end as usize)?,
            address: l.address,
            zone: self.zones.get(usize::from(l.zone))?,
            kind: l.kind,
            destination: l.destination,
            weight: l.weight,
            listing: l.listing,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_come_out_as_they_went_in_and_bounds_hold() {
        let mut s = Staged::new(3, 10_000);
        let one = |name, zone, listing| Endpoint {
            name,
            address: "[::1]:7".parse().unwrap(),
            zone,
            kind: 2,
            destination: 9,
            weight: 1.5,
            listing,
        };
        let all =
            [one("a", "x", Listing::Ready), one("", "y", Listing::Gone), one("cc", "x", Listing::Draining)];
        all.iter().for_each(|e| s.push(e).unwrap());
        for (i, e) in all.iter().enumerate() {
            assert_eq!(s.get(i).as_ref(), Some(e));
        }
        assert_eq!((s.push(&all[0]), s.len()), (Err(Refused::Full), 3));
        let mut small = Staged::new(1000, 200);
        let taken = (0..1000).take_while(|_| small.push(&all[0]).is_ok()).count();
        assert!((1..10).contains(&taken) && small.bytes() <= 200, "{taken}");
        let long = "n".repeat(70_000);
        assert_eq!(Staged::new(9, 1 << 20).push(&one(&long, "x", Listing::Ready)), Err(Refused::Shape));
    }
}
