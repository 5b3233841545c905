//! Endpoints that operators take out of use for maintenance and put back. An endpoint in maintenance counts
//! as draining until it is put back, whatever lists say of it meanwhile: that it is ready, gone, or back at
//! another address.

use crate::directory::{Directory, DirectoryOutput};
use onyxrock::interface::{EntryState, ListEntry, Micros, ReceiverId};
use std::collections::BTreeSet;

/// No endpoint has this name: neither the list, nor a gateway, nor an endpoint in maintenance.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UnknownEndpoint;

impl Directory {
    /// Names of the endpoints in maintenance.
    #[must_use]
    pub fn maintenance(&self) -> &BTreeSet<String> {
        &self.maintenance
    }

    /// Checks that an endpoint of this name can be taken out of use or put back.
    ///
    /// # Errors
    /// [`UnknownEndpoint`].
    pub fn check_known(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let known = self.maintenance.contains(name)
            || self.table.find(name).is_some()
            || self.receiver_in_use(name).is_some();
        if known { Ok(()) } else { Err(UnknownEndpoint) }
    }

    /// Takes an endpoint out of use, or puts it back. If the endpoint is in that state already, this has no
    /// effect.
    pub fn set_maintenance(
        &mut self, now: Micros, name: &str, in_maintenance: bool, output: &mut DirectoryOutput,
    ) {
        let changed = if in_maintenance {
            self.maintenance.insert(name.to_owned())
        } else {
            self.maintenance.remove(name)
        };
        let Some(receiver) = self.receiver_in_use(name).filter(|_| changed) else { return };
        // Operators restart the endpoints that they have taken out of use.
        if self.refresh_entry(now, receiver, name, output) == Some(EntryState::Ready) {
            output.restarted.push(receiver);
        }
    }

    /// Another process or member received a list of this generation by which an endpoint drains. The
    /// endpoint counts as draining here until the list of this process has reached that generation.
    pub fn on_foreign_drain(
        &mut self, now: Micros, name: &str, generation: u64, output: &mut DirectoryOutput,
    ) {
        self.foreign_drains.insert(name.to_owned(), generation);
        if let Some(receiver) = self.receiver_in_use(name) {
            self.refresh_entry(now, receiver, name, output);
        }
    }

    /// The list of this process has reached a generation, or (`None`) comes from another source, whose
    /// generations cannot be compared with earlier ones.
    pub fn on_list_generation(&mut self, now: Micros, generation: Option<u64>, output: &mut DirectoryOutput) {
        let is_later =
            |drain_generation: &u64| generation.is_some_and(|generation| *drain_generation > generation);
        let ended: Vec<_> = self
            .foreign_drains
            .iter()
            .filter(|(_, drain_generation)| !is_later(drain_generation))
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            self.foreign_drains.remove(&name);
            if let Some(receiver) = self.receiver_in_use(&name) {
                self.refresh_entry(now, receiver, &name, output);
            }
        }
    }

    /// Names of the endpoints in use that drain by the list.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        let draining = self.active_endpoints.values().filter(|e| e.draining_since.is_some() && !e.fixed);
        draining.map(|e| e.name.as_str()).filter(|name| !self.maintenance.contains(*name))
    }

    /// Recomputes the list entry of an endpoint in use and adds it to the output. Returns the new state.
    pub(crate) fn refresh_entry(
        &mut self, now: Micros, receiver: ReceiverId, name: &str, output: &mut DirectoryOutput,
    ) -> Option<EntryState> {
        let entry = self.current_entry(receiver, name)?;
        let state = entry.state;
        if let Some(active) = self.active_endpoints.get_mut(&receiver) {
            active.draining_since =
                if state == EntryState::Ready { None } else { active.draining_since.or(Some(now)) };
        }
        output.entries.push(entry);
        Some(state)
    }

    /// The receiver id of an endpoint in use; a gateway is found by its name, too.
    fn receiver_in_use(&self, name: &str) -> Option<ReceiverId> {
        let receiver =
            self.receiver_ids.get(name).or_else(|| self.receiver_ids.get(&format!("gateway {name}")));
        receiver.copied().filter(|id| self.active_endpoints.get(id).is_some_and(|active| !active.gone))
    }

    /// The list entry that the core is to be given for an endpoint in use now.
    fn current_entry(&self, receiver: ReceiverId, name: &str) -> Option<ListEntry> {
        if let Some(entry) = self.fixed_entries.get(&receiver) {
            let in_maintenance = self.maintenance.contains(name);
            let state = if in_maintenance { EntryState::Draining } else { entry.state };
            return Some(ListEntry { state, ..entry.clone() });
        }
        let endpoint = self.table.get(self.table.find(name)?)?;
        Some(self.list_entry(receiver, &endpoint))
    }
}
