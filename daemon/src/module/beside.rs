//! Another process of this forwarder beside this one: what endpoints tell one of them binds both.

use super::Module;
use crate::shared_waits::{Shared, ToldWait, WaitWriter};
use onyxrock::interface::{Micros, ReceiverId};
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
    again_at: Micros,
    /// Nothing new goes out before, unless it has told what it knows.
    silent_until: Micros,
}

impl Beside {
    /// This process starts beside another: it does not know yet what that one was told.
    pub fn newcomer(now: Micros, waits: PathBuf) -> Beside {
        Beside { silent_until: now.after(SNAPSHOT_WITHIN), ..Beside::first(waits) }
    }

    /// Another process has started beside this one.
    pub fn first(waits: PathBuf) -> Beside {
        Beside { waits: WaitWriter::at(waits), again_at: Micros(0), silent_until: Micros(0) }
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

impl Module {
    /// Another process is beside this one, or is gone.
    pub(super) fn set_beside(&mut self, waits: Option<PathBuf>) {
        self.beside = waits.map(Beside::first);
        self.share_all_waits(self.shared.clock.now());
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
        }
    }

    fn told_beside(&mut self, now: Micros, wait: &ToldWait) {
        // It holds for what rests here, too.
        if let Some(destination) = self.directory.destination_of(&wait.endpoint) {
            self.used(now, destination);
        }
        let Some(to) = self.directory.number_of(&wait.endpoint) else { return };
        self.shared.counters.waits_told_beside.up();
        self.ledger.wait(now, to, wait.until);
        self.directory.told(to, wait.until);
        self.shared.invariants.told_wait(now, to, wait.until);
    }

    /// An endpoint told this process a wait.
    pub(super) fn share_wait(&mut self, now: Micros, to: ReceiverId, until: Micros) {
        let Some(beside) = self.beside.as_mut().filter(|_| until > now) else { return };
        let Some(peer) = self.directory.peer(to) else { return };
        let wait = ToldWait { endpoint: peer.name.clone(), until };
        if let Err(e) = beside.waits.add(&self.shared.clock, &wait) {
            beside.again_at = now.after(AGAIN);
            tracing::warn!("waits: not shared with the other process yet: {e}");
        }
    }

    /// Begins the file anew, if it has to be and it is time.
    pub(super) fn share_all_waits(&mut self, now: Micros) {
        let Some(beside) = &mut self.beside else { return };
        if !beside.waits.wants_snapshot() || now < beside.again_at {
            return;
        }
        let waits: Vec<_> = self
            .directory
            .waits(now)
            .map(|(endpoint, until)| ToldWait { endpoint: endpoint.to_owned(), until })
            .collect();
        if beside.waits.snapshot(&self.shared.clock, &waits).is_err() {
            beside.again_at = now.after(AGAIN);
        }
    }
}
