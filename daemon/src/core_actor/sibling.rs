//! Another process of this forwarder beside this one: what endpoints tell one of them binds both.

use super::CoreActor;
use crate::shared_waits::{Shared, ToldDrain, ToldWait, WaitWriter};
use onyxrock::interface::{Micros, ReceiverId};
use onyxrock_roster::DirectoryOutput;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// The other process sees this one within a twentieth of a second and tells what it knows at once. One that does not is not
/// waited for any longer.
const SNAPSHOT_WITHIN: Micros = Micros(150_000);
/// How often a file that could not be written is begun anew.
const AGAIN: Micros = Micros(20_000);

/// What is shared with the process beside this one.
#[derive(Debug)]
pub struct Beside {
    waits: WaitWriter,
    /// Endpoints of which it was told that they drain.
    drains: BTreeSet<String>,
    again_at: Micros,
    /// Nothing new goes out before, unless it has told what it knows.
    silent_until: Micros,
}

impl Beside {
    /// This process starts beside another: it does not know yet what that one was told.
    pub fn newcomer(now: Micros, waits: PathBuf) -> Beside {
        Beside { silent_until: now.plus(SNAPSHOT_WITHIN), ..Beside::first(waits) }
    }

    /// Another process has started beside this one.
    pub fn first(waits: PathBuf) -> Beside {
        let waits = WaitWriter::at(waits);
        Beside { waits, drains: BTreeSet::new(), again_at: Micros(0), silent_until: Micros(0) }
    }

    /// Nothing new may go out now.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.silent_until
    }

    /// When something is due.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let again = self.waits.wants_snapshot().then_some(self.again_at);
        again.into_iter().chain(Some(self.silent_until).filter(|until| *until > now)).min()
    }
}

impl CoreActor {
    /// Another process is beside this one, or is gone.
    pub(super) fn set_beside(&mut self, waits: Option<PathBuf>) {
        self.beside = waits.map(Beside::first);
        self.share_all(self.shared.clock.now());
    }

    /// What the process beside this one has told.
    pub(super) fn heard_beside(&mut self, now: Micros, shared: Shared) {
        match shared {
            Shared::EndOfSnapshot => {
                if let Some(beside) = &mut self.beside {
                    beside.silent_until = now;
                }
            }
            Shared::Wait(wait) => self.told_beside(now, &wait),
            Shared::Drain(drain) => self.drains_beside(now, &drain),
        }
    }

    /// A drain that the own list tells as well is no news.
    fn drains_beside(&mut self, now: Micros, drain: &ToldDrain) {
        if self.generation.is_some_and(|own| own >= drain.generation) {
            return;
        }
        let mut follows = DirectoryOutput::default();
        self.directory.on_sibling_drain(now, &drain.endpoint, drain.generation, &mut follows);
        tracing::info!(endpoint = drain.endpoint, "list: drains, as the other process was told");
        self.follow_up(now, follows);
    }

    /// A list has been taken, or its source is another one. What it says of drains is told to the other process.
    pub(super) fn list_of(&mut self, now: Micros, generation: Option<u64>) {
        self.generation = generation;
        let mut follows = DirectoryOutput::default();
        // Of a process that is gone nothing is to be waited for.
        let as_late_as = generation.filter(|_| self.beside.is_some());
        self.directory.on_list_generation(now, as_late_as, &mut follows);
        self.follow_up(now, follows);
        if self.beside.is_some() {
            self.share_drains(now);
        }
    }

    fn share_drains(&mut self, now: Micros) {
        let drains = self.drains();
        let Some(beside) = &mut self.beside else { return };
        for drain in drains {
            if beside.drains.insert(drain.endpoint.clone()) && beside.waits.add_drain(&drain).is_err() {
                beside.again_at = now.plus(AGAIN);
            }
        }
    }

    /// Endpoints that drain by the list that is held.
    fn drains(&self) -> Vec<ToldDrain> {
        let Some(generation) = self.generation else { return Vec::new() };
        let told = |endpoint: &str| ToldDrain { endpoint: endpoint.to_owned(), generation };
        self.directory.draining().map(told).collect()
    }

    fn told_beside(&mut self, now: Micros, wait: &ToldWait) {
        // It holds for what rests here, too.
        if let Some(destination) = self.directory.destination_of(&wait.endpoint) {
            self.used(now, destination);
        }
        let Some(to) = self.directory.receiver_id(&wait.endpoint) else { return };
        self.shared.counters.waits_told_beside.increment();
        self.ledger.on_retry_after(now, to, wait.until);
        self.directory.on_retry_after(to, wait.until);
        self.shared.invariants.told_wait(now, to, wait.until);
    }

    /// An endpoint told this process a wait.
    pub(super) fn share_wait(&mut self, now: Micros, to: ReceiverId, until: Micros) {
        let Some(beside) = self.beside.as_mut().filter(|_| until > now) else { return };
        let Some(peer) = self.directory.active_endpoint(to) else { return };
        let wait = ToldWait { endpoint: peer.name.clone(), until };
        if let Err(e) = beside.waits.add(&self.shared.clock, &wait) {
            beside.again_at = now.plus(AGAIN);
            tracing::warn!("waits: not shared with the other process yet: {e}");
        }
    }

    /// Begins the file anew, if it has to be and it is time.
    pub(super) fn share_all(&mut self, now: Micros) {
        let drains = if self.beside.is_some() { self.drains() } else { Vec::new() };
        let Some(beside) = &mut self.beside else { return };
        if !beside.waits.wants_snapshot() || now < beside.again_at {
            return;
        }
        let waits: Vec<_> = self
            .directory
            .pending_retry_afters(now)
            .map(|(endpoint, until)| ToldWait { endpoint: endpoint.to_owned(), until })
            .collect();
        if beside.waits.snapshot(&self.shared.clock, &waits, &drains).is_err() {
            beside.again_at = now.plus(AGAIN);
        }
    }
}
