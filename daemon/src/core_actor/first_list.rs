//! Where lists are pushed, what their source has counts as known from a start's first moment. A start holds the list of its
//! file, which may be old: what it may send until it has been told the first one.

use onyxrock::interface::Micros;

/// At first nothing goes out: the source answers at once, if not many ask it. What is held meanwhile fills the room (a second
/// cost a tenth of a day's worth), so a source that takes longer is not waited for in the grace ...
const WAIT: Micros = Micros(100_000);
/// ... in which a drain that counts as known allows calls still, but for what a process may be held up ...
const GRACE: Micros = Micros(1_000_000 - 150_000);
/// ... and then nothing goes out until the list has come. A source that is silent for longer is down, and what it knows may
/// be as old as the list of the file.
const BLIND: Micros = Micros(6_000_000);

/// The time from a start until the first list.
#[derive(Clone, Copy, Debug)]
pub struct FirstList {
    wait_until: Micros,
    blind_from: Micros,
    blind_until: Micros,
}

impl FirstList {
    /// That of a start at this time.
    pub fn new(start: Micros) -> FirstList {
        let (wait_until, blind_from) = (start.plus(WAIT), start.plus(GRACE));
        FirstList { wait_until, blind_from, blind_until: start.plus(BLIND) }
    }

    /// The call for the list failed: there is nothing to wait for in the grace.
    pub fn failed(&mut self, now: Micros) {
        self.wait_until = self.wait_until.min(now);
    }

    /// Nothing may go out now.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.wait_until || self.blind_from <= now && now < self.blind_until
    }

    /// When that changes next.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        [self.wait_until, self.blind_from, self.blind_until].into_iter().find(|at| *at > now)
    }
}
