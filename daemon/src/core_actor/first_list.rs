//! Holds calls back after a start until the first endpoint list arrives, where lists are pushed. With pushed
//! lists, a process is expected to know the state of discovery from its first moment, but it starts with the
//! cached list, which may be old.

use onyxrock::interface::Micros;

/// How long after the start no calls are sent at first: discovery answers at once unless many processes ask
/// it. Messages held meanwhile fill the table (holding for a second cost a tenth of a day's value), so a
/// slower discovery is not waited for.
const INITIAL_HOLD: Micros = Micros(100_000);
/// How long after the start calls may be sent on the cached list: a drain allows calls for one second after
/// it is known, and 150 ms of that second are left for delays in this process.
const STALE_LIST_GRACE: Micros = Micros(1_000_000 - 150_000);
/// How long after the start calls are held back if the list does not arrive. A discovery that is silent for
/// longer is down, and what it knows may be as old as the cached list.
const MAX_HOLD: Micros = Micros(6_000_000);

/// The time between the start and the first endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct FirstListHold {
    hold_until: Micros,
    hold_again_from: Micros,
    hold_again_until: Micros,
}

impl FirstListHold {
    /// Begins at the start of the process.
    pub fn new(start: Micros) -> FirstListHold {
        let (hold_until, hold_again_from) = (start.plus(INITIAL_HOLD), start.plus(STALE_LIST_GRACE));
        FirstListHold { hold_until, hold_again_from, hold_again_until: start.plus(MAX_HOLD) }
    }

    /// The request for the list failed, so waiting for its answer is pointless.
    pub fn failed(&mut self, now: Micros) {
        self.hold_until = self.hold_until.min(now);
    }

    /// Whether no call may be sent now.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.hold_until || self.hold_again_from <= now && now < self.hold_again_until
    }

    /// The next time at which [`FirstListHold::holds`] changes.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        [self.hold_until, self.hold_again_from, self.hold_again_until].into_iter().find(|at| *at > now)
    }
}
