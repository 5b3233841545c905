//! Endpoints that operators take out of use for maintenance and put back. One that is out counts as draining until it is put
//! back, whatever lists say of it meanwhile: that it is ready, gone, or back at another address.

use crate::directory::{Directory, Follows};
use onyxrock::interface::{Entry, Listing, Micros, ReceiverId};
use std::collections::BTreeSet;

/// No endpoint has this name: no list, no gateway, and nothing in maintenance.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UnknownEndpoint;

impl Directory {
    /// Endpoints in maintenance.
    #[must_use]
    pub fn maintenance(&self) -> &BTreeSet<String> {
        &self.maintenance
    }

    /// An endpoint of this name can be taken out or put back.
    ///
    /// # Errors
    /// [`UnknownEndpoint`].
    pub fn known(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let known = self.maintenance.contains(name)
            || self.roster.find(name).is_some()
            || self.number_in_use(name).is_some();
        if known { Ok(()) } else { Err(UnknownEndpoint) }
    }

    /// Takes an endpoint out of use, or puts it back. Where it is in that state already nothing follows.
    pub fn set_maintenance(&mut self, now: Micros, name: &str, out: bool, follows: &mut Follows) {
        let changed =
            if out { self.maintenance.insert(name.to_owned()) } else { self.maintenance.remove(name) };
        let Some(to) = self.number_in_use(name).filter(|_| changed) else { return };
        let Some(entry) = self.listed_entry(to, name) else { return };
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.drains = if entry.listing == Listing::Ready { None } else { peer.drains.or(Some(now)) };
        }
        // Operators restart what they have taken out.
        if entry.listing == Listing::Ready {
            follows.restarted.push(to);
        }
        follows.entries.push(entry);
    }

    /// The number of an endpoint that is in use, a gateway among them.
    fn number_in_use(&self, name: &str) -> Option<ReceiverId> {
        let number = self.numbers.get(name).or_else(|| self.numbers.get(&format!("gateway {name}")));
        number.copied().filter(|to| self.peers.get(to).is_some_and(|peer| !peer.gone))
    }

    /// What is told of an endpoint in use now.
    fn listed_entry(&self, to: ReceiverId, name: &str) -> Option<Entry> {
        if let Some(entry) = self.fixed_entries.get(&to) {
            let out = self.maintenance.contains(name);
            let listing = if out { Listing::Draining } else { entry.listing };
            return Some(Entry { listing, ..entry.clone() });
        }
        let endpoint = self.roster.get(self.roster.find(name)?)?;
        Some(self.entry(to, &endpoint))
    }
}
