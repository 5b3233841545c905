//! Which of several instances does a periodic duty, and how often: no I/O, no clock, no wire.
//!
//! A [`Duty`] is something that one instance should do for all, such as probing one partner. The members are known by
//! place in a list that is the same at all of them; the first few are voters. A duty is done under a lease:
//!
//! - [`Voter`] promises a duty to one member at a time, for a span of its own clock. After a start it promises nothing
//!   for one such span, since an earlier process may have. What is kept over a restart is one number, [`Memory`].
//! - [`Holder`] asks the voters and holds a lease where a majority has promised, until the lease's length after the
//!   oldest of those questions *left*. Promises run from when the question *came* and a margin longer, so that they end
//!   later by any two clocks whose rates differ by less than the margin. What the clocks show does not matter.
//! - [`Holder::begin`] is the only way to do something under a lease. It passes where the whole patience of the doing
//!   fits into what is left of the lease, the last doing has ended, and the gap of the pace has passed both since it
//!   began and since the lease was won.
//!
//! - Every lease has an [`Epoch`]: a voter promises a duty anew only under one that is higher than any it has known of
//!   it, so no two leases share one, and a later lease has the higher. Whatever receives what is done under a duty keeps
//!   a [`Fence`] and refuses an epoch lower than the highest it has seen: that is what stops a holder that stood still
//!   between its last look at the clock and the act itself.
//!
//! From the first three follows what must hold in every split and crash, with nothing said about who sees whom: two doings
//! of one duty never overlap, and begin at least a gap apart. The argument is in `docs/design/duties.md`; the model in
//! `tests/model.rs` runs this code through all interleavings of crash, restart, delay, loss, duplicate and split.
//!
//! Who *should* hold a lease is a matter of liveness alone: rendezvous hashing orders the members, so that each
//! duty has a first, and the first that is alive asks for it. [`Book`] puts all this together for one instance.
//!
//! ```
//! use onyxrock::interface::Micros;
//! use onyxrock_duties::{Book, Duty, Kind, Member, Memory, Terms};
//!
//! // One member that is its own majority.
//! let terms = Terms { lease: Micros(3_000_000), gap: Micros(500_000), patience: Micros(1_000_000) };
//! let mut book = Book::new(Member(0), 1, 1, terms, 7, Micros(0), Memory::Lost);
//! let duty = Duty { kind: Kind::Probe, of: 57 };
//! book.view(Micros(0), [Member(0)].into());
//! book.want(duty, Micros(60_000_000));
//!
//! // It promised nothing yet: an earlier process of it may have. After that span it is asked again, and promises.
//! let mut now = Micros(0);
//! while book.begin(now, duty).is_err() {
//!     now = now.after(Micros(100_000));
//!     let others = book.tick(now);
//!     // The caller makes this number last before the voter goes on.
//!     book.to_keep().into_iter().for_each(|n| book.kept(n));
//!     assert!(others.is_empty(), "its own vote needs no wire");
//! }
//! assert!(now >= terms.span());
//! // While that is being done, and until the gap has passed, nothing more may begin.
//! assert!(book.begin(now, duty).is_err());
//! ```

mod duty_table;
mod fence;
mod holder;
mod message;
mod rank;
mod voter;

pub use duty_table::{DutyTable, Output, Owned};
pub use fence::Fence;
pub use holder::{Holder, NotNow};
pub use message::{DUTIES_MOST, Message};
pub use voter::{StoredBound, Voter};

use onyxrock::interface::Micros;
use serde::{Deserialize, Serialize};

/// A member, by its place in the list that all share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Member(pub u16);

/// One life of a member: a number that no other process of it has.
pub type BootId = u64;

/// Which lease of a duty: of two, the later one has the higher number. Zero is none.
pub type Epoch = u64;

/// What kind of duty.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum DutyKind {
    /// Probing a partner that is doubted or returning.
    Probe,
    /// Asking for the list of endpoints, and telling the others.
    List,
    /// Leading the fleet: what must be decided by one at a time is decided by this one.
    Coordinator,
}

impl DutyKind {
    /// As people and JSON read it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            DutyKind::Probe => "probe",
            DutyKind::List => "list",
            DutyKind::Coordinator => "coordinator",
        }
    }
}

/// Something that one instance does for all.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Duty {
    /// What is done.
    pub kind: DutyKind,
    /// To whom: the number of a destination.
    #[serde(rename = "of")]
    pub target: u64,
}

/// The terms of every lease; the same at all members.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseTerms {
    /// How long a lease holds without renewal.
    pub duration: Micros,
    /// Between two beginnings of one duty, whoever does it.
    pub min_interval: Micros,
    /// How long one doing may take at most; less than the lease.
    pub run_timeout: Micros,
}

impl LeaseTerms {
    /// How long a promise of a voter binds it: the lease and a tenth more, for clocks that run at other rates.
    #[must_use]
    pub fn promise_duration(self) -> Micros {
        self.duration.plus(Micros(self.duration.0.div_ceil(10)))
    }
    /// How often a lease is renewed: a lost question or answer may be made good before it is over.
    #[must_use]
    pub fn renew_interval(self) -> Micros {
        Micros((self.duration.0 / 4).max(1))
    }
}
