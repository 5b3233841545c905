//! A sibling is a second process of this forwarder that runs during an upgrade. Retry-afters and drains that
//! one of the two learns bind both.

use super::{CoreActor, SiblingFiles};
use crate::shared_waits::{SharedDrain, SharedRetryAfter, SiblingEntry, WaitsFileWriter};
use onyxrock::interface::{Micros, ReceiverId};
use onyxrock_roster::DirectoryOutput;
use onyxrock_sharing::DutyRunner;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// How long a new process sends nothing while it waits for the sibling's snapshot. The sibling notices a new
/// process within a twentieth of a second (50 ms) and writes its snapshot at once; a sibling that does not is
/// not waited for longer.
const SNAPSHOT_TIMEOUT: Micros = Micros(150_000);
/// Interval between attempts to rewrite a waits file that could not be written.
const REWRITE_INTERVAL: Micros = Micros(20_000);

/// What this process shares with its sibling.
#[derive(Debug)]
pub struct SiblingLink {
    waits_file: WaitsFileWriter,
    /// Draining endpoints that have been written to the waits file.
    shared_drains: BTreeSet<String>,
    retry_at: Micros,
    /// No new call is sent before this time, or before the end of the sibling's snapshot.
    hold_until: Micros,
}

impl SiblingLink {
    /// For a process that starts while its sibling runs: it does not know yet what the sibling has learned.
    pub fn for_starting(now: Micros, waits_path: PathBuf) -> SiblingLink {
        SiblingLink { hold_until: now.plus(SNAPSHOT_TIMEOUT), ..SiblingLink::for_running(waits_path) }
    }

    /// For a process whose sibling has just started.
    pub fn for_running(waits_path: PathBuf) -> SiblingLink {
        let waits_file = WaitsFileWriter::new(waits_path);
        SiblingLink { waits_file, shared_drains: BTreeSet::new(), retry_at: Micros(0), hold_until: Micros(0) }
    }

    /// Whether new calls have to wait.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.hold_until
    }

    /// The time of the next work.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let again = self.waits_file.needs_snapshot().then_some(self.retry_at);
        again.into_iter().chain(Some(self.hold_until).filter(|until| *until > now)).min()
    }
}

impl CoreActor {
    /// Notes that a sibling has started, with the files shared with it, or that it is gone.
    pub(super) fn set_sibling(&mut self, now: Micros, files: Option<SiblingFiles>) {
        match files {
            Some(SiblingFiles { waits_path, shared_ids }) => {
                self.sibling = Some(SiblingLink::for_running(waits_path));
                self.shared_ids = Some(shared_ids);
                self.learn_request_ids(now);
            }
            None => {
                self.sibling = None;
                self.stop_sharing_request_ids(now);
            }
        }
        self.refresh_shared_waits(now);
    }

    /// Applies an entry of the sibling's waits file.
    pub(super) fn on_sibling_entry(&mut self, now: Micros, entry: SiblingEntry) {
        match entry {
            SiblingEntry::EndOfSnapshot => {
                if let Some(sibling) = &mut self.sibling {
                    sibling.hold_until = now;
                }
            }
            SiblingEntry::RetryAfter(wait) => self.on_sibling_retry_after(now, &wait),
            SiblingEntry::Drain(drain) => self.on_foreign_drain(now, &drain, "the other process"),
        }
    }

    /// Applies a drain that the sibling or another member learned, unless the own list is at least as recent.
    pub(super) fn on_foreign_drain(&mut self, now: Micros, drain: &SharedDrain, source: &str) {
        if self.list_generation.is_some_and(|own_generation| own_generation >= drain.generation) {
            return;
        }
        let mut output = DirectoryOutput::default();
        self.directory.on_foreign_drain(now, &drain.endpoint, drain.generation, &mut output);
        tracing::info!(endpoint = drain.endpoint, "list: endpoint drains according to {source}");
        self.apply_directory_output(now, output);
    }

    /// Notes the generation of the current list; `None` after a change of the list's source. Shares its
    /// drains.
    pub(super) fn set_list_generation(&mut self, now: Micros, generation: Option<u64>) {
        self.list_generation = generation;
        let mut output = DirectoryOutput::default();
        // Without a sibling and without a holder of the list duty, their drains need no later list to end.
        let follows_holder = self.duty_runner.as_ref().is_some_and(DutyRunner::follows_list_holder);
        let required_generation = generation.filter(|_| self.sibling.is_some() || follows_holder);
        self.directory.on_list_generation(now, required_generation, &mut output);
        self.apply_directory_output(now, output);
        if self.sibling.is_some() {
            self.share_drains(now);
        }
    }

    /// Shares the drains that have not been shared yet.
    fn share_drains(&mut self, now: Micros) {
        let drains = self.drains();
        let Some(sibling) = &mut self.sibling else { return };
        for drain in drains {
            if sibling.shared_drains.insert(drain.endpoint.clone())
                && sibling.waits_file.append_drain(&drain).is_err()
            {
                sibling.retry_at = now.plus(REWRITE_INTERVAL);
            }
        }
    }

    /// The draining endpoints of the current list.
    fn drains(&self) -> Vec<SharedDrain> {
        let Some(generation) = self.list_generation else { return Vec::new() };
        let shared_drain = |endpoint: &str| SharedDrain { endpoint: endpoint.to_owned(), generation };
        self.directory.draining().map(shared_drain).collect()
    }

    /// Applies a retry-after that an endpoint sent to the sibling.
    fn on_sibling_retry_after(&mut self, now: Micros, wait: &SharedRetryAfter) {
        // The retry-after also applies to an inactive destination.
        if let Some(destination) = self.directory.destination_of(&wait.endpoint) {
            self.activate_destination(now, destination);
        }
        let Some(receiver) = self.directory.receiver_id(&wait.endpoint) else { return };
        self.shared.counters.waits_told_beside.increment();
        self.ledger.on_retry_after(now, receiver, wait.until);
        self.directory.on_retry_after(receiver, wait.until);
        self.shared.invariants.note_retry_after(now, receiver, wait.until);
    }

    /// Shares a retry-after that an endpoint sent to this process.
    pub(super) fn share_retry_after(&mut self, now: Micros, receiver: ReceiverId, until: Micros) {
        let Some(sibling) = self.sibling.as_mut().filter(|_| until > now) else { return };
        let Some(endpoint) = self.directory.active_endpoint(receiver) else { return };
        let wait = SharedRetryAfter { endpoint: endpoint.name.clone(), until };
        if let Err(e) = sibling.waits_file.append_retry_after(&self.shared.clock, &wait) {
            sibling.retry_at = now.plus(REWRITE_INTERVAL);
            tracing::warn!(
                "waits: a retry-after could not be shared with the other process; \
                 the file will be rewritten: {e}"
            );
        }
    }

    /// Rewrites the waits file if that is necessary and due.
    pub(super) fn refresh_shared_waits(&mut self, now: Micros) {
        let drains = if self.sibling.is_some() { self.drains() } else { Vec::new() };
        let Some(sibling) = &mut self.sibling else { return };
        if !sibling.waits_file.needs_snapshot() || now < sibling.retry_at {
            return;
        }
        let waits: Vec<_> = self
            .directory
            .pending_retry_afters(now)
            .map(|(endpoint, until)| SharedRetryAfter { endpoint: endpoint.to_owned(), until })
            .collect();
        if sibling.waits_file.write_snapshot(&self.shared.clock, &waits, &drains).is_err() {
            sibling.retry_at = now.plus(REWRITE_INTERVAL);
        }
    }
}
