//! Endpoints that operators take out of use and put back: the calls themselves, and what another process of this forwarder
//! was told.

use super::CoreActor;
use crate::maintenance::{MaintenanceChange, MaintenanceFile};
use onyxrock::interface::Micros;
use onyxrock_roster::DirectoryOutput;
use std::collections::BTreeSet;

/// How often a file that could not be written is tried again.
const AGAIN: Micros = Micros(100_000);

/// What became of a call of operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MaintenanceReply {
    /// It holds, and outlasts this process.
    Done,
    /// It holds here. The folder does not take it yet, as the reason says.
    NotPersisted(String),
    /// No endpoint has this name.
    UnknownEndpoint,
    /// The file has no room for one more.
    TooMany,
}

impl CoreActor {
    /// Those that an earlier process, or another one, was told.
    pub fn begin_maintenance(&mut self, names: &BTreeSet<String>) {
        if !names.is_empty() {
            tracing::info!("maintenance: {} endpoints are out of use", names.len());
        }
        for name in names {
            self.set_maintenance(self.shared.clock.now(), name, true);
        }
    }

    /// A call of operators. It holds from here on, whatever the folder does.
    pub(super) fn maintenance_call(&mut self, now: Micros, change: MaintenanceChange) -> MaintenanceReply {
        if self.directory.check_known(&change.endpoint).is_err() {
            return MaintenanceReply::UnknownEndpoint;
        }
        if change.in_maintenance && !MaintenanceFile::has_room(self.directory.maintenance(), &change.endpoint)
        {
            return MaintenanceReply::TooMany;
        }
        self.set_maintenance(now, &change.endpoint, change.in_maintenance);
        match self.maintenance_file.change(change) {
            Ok(()) => MaintenanceReply::Done,
            Err(e) => {
                self.maintenance_again_at = now.plus(AGAIN);
                MaintenanceReply::NotPersisted(e.to_string())
            }
        }
    }

    /// When to write again what could not be written.
    pub(super) fn maintenance_due(&self) -> Option<Micros> {
        self.maintenance_file.waits().then_some(self.maintenance_again_at)
    }

    /// Writes it, if it is time.
    pub(super) fn retry_maintenance(&mut self, now: Micros) {
        if self.maintenance_due().is_none_or(|due| due > now) {
            return;
        }
        match self.maintenance_file.write() {
            Ok(()) => tracing::info!("maintenance: what waited is written"),
            Err(_) => self.maintenance_again_at = now.plus(AGAIN),
        }
    }

    /// Another process of this forwarder was called.
    pub(super) fn maintenance_changed(&mut self, now: Micros) {
        let names = match self.maintenance_file.load() {
            Ok(names) => names,
            Err(e) => return tracing::warn!("maintenance: cannot be read: {e}"),
        };
        let held = self.directory.maintenance().clone();
        for name in names.difference(&held) {
            tracing::info!(endpoint = name, "maintenance: taken out at another process");
            self.set_maintenance(now, name, true);
        }
        for name in held.difference(&names) {
            tracing::info!(endpoint = name, "maintenance: put back at another process");
            self.set_maintenance(now, name, false);
        }
    }

    fn set_maintenance(&mut self, now: Micros, name: &str, out: bool) {
        self.shared.invariants.maintenance(now, name, out);
        let mut follows = DirectoryOutput::default();
        self.directory.set_maintenance(now, name, out, &mut follows);
        self.shared.counters.maintenance.set(self.directory.maintenance().len());
        self.follow_up(now, follows);
    }
}
