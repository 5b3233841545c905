//! Endpoints that operators take out of use for maintenance and put back. One that is out counts as draining until it is put
//! back, whatever lists say of it meanwhile: that it is ready, gone, or back at another address.

use crate::directory::{Directory, DirectoryOutput};
use onyxrock::interface::{EntryState, ListEntry, Micros, ReceiverId};
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
    pub fn check_known(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let known = self.maintenance.contains(name)
            || self.roster.find(name).is_some()
            || self.number_in_use(name).is_some();
        if known { Ok(()) } else { Err(UnknownEndpoint) }
    }

    /// Takes an endpoint out of use, or puts it back. Where it is in that state already nothing follows.
    pub fn set_maintenance(&mut self, now: Micros, name: &str, out: bool, follows: &mut DirectoryOutput) {
        let changed =
            if out { self.maintenance.insert(name.to_owned()) } else { self.maintenance.remove(name) };
        let Some(to) = self.number_in_use(name).filter(|_| changed) else { return };
        // Operators restart what they have taken out.
        if self.refresh(now, to, name, follows) == Some(EntryState::Ready) {
            follows.restarted.push(to);
        }
    }

    /// Another process of this forwarder was told that an endpoint drains, by a list of this version: it counts as draining
    /// until the own list is as late.
    pub fn on_sibling_drain(
        &mut self, now: Micros, name: &str, generation: u64, follows: &mut DirectoryOutput,
    ) {
        self.drained_elsewhere.insert(name.to_owned(), generation);
        if let Some(to) = self.number_in_use(name) {
            self.refresh(now, to, name, follows);
        }
    }

    /// The own list is of this version, or its source is another one, whose versions mean something else.
    pub fn on_list_generation(
        &mut self, now: Micros, generation: Option<u64>, follows: &mut DirectoryOutput,
    ) {
        let later = |told: &u64| generation.is_some_and(|generation| *told > generation);
        let over: Vec<_> =
            self.drained_elsewhere.iter().filter(|(_, told)| !later(told)).map(|(n, _)| n.clone()).collect();
        for name in over {
            self.drained_elsewhere.remove(&name);
            if let Some(to) = self.number_in_use(&name) {
                self.refresh(now, to, &name, follows);
            }
        }
    }

    /// Endpoints in use that drain by the list.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        let drains = self.peers.values().filter(|p| p.draining_since.is_some() && !p.fixed);
        drains.map(|p| p.name.as_str()).filter(|name| !self.maintenance.contains(*name))
    }

    /// Says anew what an endpoint in use is.
    fn refresh(
        &mut self, now: Micros, to: ReceiverId, name: &str, follows: &mut DirectoryOutput,
    ) -> Option<EntryState> {
        let entry = self.listed_entry(to, name)?;
        let listing = entry.state;
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.draining_since =
                if listing == EntryState::Ready { None } else { peer.draining_since.or(Some(now)) };
        }
        follows.entries.push(entry);
        Some(listing)
    }

    /// The number of an endpoint that is in use, a gateway among them.
    fn number_in_use(&self, name: &str) -> Option<ReceiverId> {
        let number = self.numbers.get(name).or_else(|| self.numbers.get(&format!("gateway {name}")));
        number.copied().filter(|to| self.peers.get(to).is_some_and(|peer| !peer.gone))
    }

    /// What is told of an endpoint in use now.
    fn listed_entry(&self, to: ReceiverId, name: &str) -> Option<ListEntry> {
        if let Some(entry) = self.fixed_entries.get(&to) {
            let out = self.maintenance.contains(name);
            let listing = if out { EntryState::Draining } else { entry.state };
            return Some(ListEntry { state: listing, ..entry.clone() });
        }
        let endpoint = self.roster.get(self.roster.find(name)?)?;
        Some(self.entry(to, &endpoint))
    }
}
