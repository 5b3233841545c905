//! Endpoints that operators take out of use and put back: operator calls, and changes made by a sibling
//! process.

use super::CoreActor;
use crate::maintenance::{MaintenanceChange, MaintenanceFile};
use onyxrock::interface::Micros;
use onyxrock_roster::DirectoryOutput;
use std::collections::BTreeSet;

/// Interval between retries of a failed write of the maintenance file.
const WRITE_RETRY_INTERVAL: Micros = Micros(100_000);

/// The result of an operator call.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MaintenanceReply {
    /// The change applies and is persisted.
    Done,
    /// The change applies to this process, but could not be persisted yet for this reason.
    NotPersisted(String),
    /// No endpoint has this name.
    UnknownEndpoint,
    /// The maintenance file has no room for another name.
    TooMany,
}

impl CoreActor {
    /// Takes the endpoints in the maintenance file out of use.
    pub fn restore_maintenance(&mut self, names: &BTreeSet<String>) {
        if !names.is_empty() {
            tracing::info!("maintenance: {} endpoints are out of use", names.len());
        }
        for name in names {
            self.set_maintenance(self.shared.clock.now(), name, true);
        }
    }

    /// Applies an operator call. The change takes effect here even if it cannot be persisted.
    pub(super) fn change_maintenance(&mut self, now: Micros, change: MaintenanceChange) -> MaintenanceReply {
        if self.directory.check_known(&change.endpoint).is_err() {
            return MaintenanceReply::UnknownEndpoint;
        }
        if change.in_maintenance && !MaintenanceFile::has_room(self.directory.maintenance(), &change.endpoint)
        {
            return MaintenanceReply::TooMany;
        }
        self.set_maintenance(now, &change.endpoint, change.in_maintenance);
        match self.maintenance_file.apply(change) {
            Ok(()) => MaintenanceReply::Done,
            Err(e) => {
                self.maintenance_retry_at = now.plus(WRITE_RETRY_INTERVAL);
                MaintenanceReply::NotPersisted(e.to_string())
            }
        }
    }

    /// The time of the next retry, if changes wait to be written.
    pub(super) fn maintenance_due(&self) -> Option<Micros> {
        self.maintenance_file.has_unwritten().then_some(self.maintenance_retry_at)
    }

    /// Retries the write if it is due.
    pub(super) fn retry_maintenance(&mut self, now: Micros) {
        if self.maintenance_due().is_none_or(|due| due > now) {
            return;
        }
        match self.maintenance_file.write() {
            Ok(()) => tracing::info!("maintenance: the changes that waited are persisted"),
            Err(_) => self.maintenance_retry_at = now.plus(WRITE_RETRY_INTERVAL),
        }
    }

    /// Rereads the maintenance file after another process has changed it.
    pub(super) fn reload_maintenance(&mut self, now: Micros) {
        let names = match self.maintenance_file.load() {
            Ok(names) => names,
            Err(e) => {
                return tracing::warn!(
                    "maintenance: the file cannot be read: {e}; its last known content applies"
                );
            }
        };
        let current = self.directory.maintenance().clone();
        for name in names.difference(&current) {
            tracing::info!(endpoint = name, "maintenance: taken out at another process");
            self.set_maintenance(now, name, true);
        }
        for name in current.difference(&names) {
            tracing::info!(endpoint = name, "maintenance: put back at another process");
            self.set_maintenance(now, name, false);
        }
    }

    /// Takes an endpoint out of use, or puts it back.
    fn set_maintenance(&mut self, now: Micros, name: &str, in_maintenance: bool) {
        self.shared.invariants.note_maintenance(now, name, in_maintenance);
        let mut output = DirectoryOutput::default();
        self.directory.set_maintenance(now, name, in_maintenance, &mut output);
        self.shared.counters.maintenance.set(self.directory.maintenance().len());
        self.apply_directory_output(now, output);
    }
}
