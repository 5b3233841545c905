//! Decides which instance runs a periodic duty and how often. Does no I/O and reads no clock or network.
//!
//! A [`Duty`] is a task that one instance should run on behalf of all, such as probing one partner. Members
//! are identified by their index in a list that is the same at every member; the first few of them are
//! voters. A duty runs under a lease:
//!
//! - [`Voter`] promises a duty to one member at a time, for a period of its own clock. For one such period
//!   after its start it promises nothing, because an earlier process of it may have made promises. It keeps
//!   one number across restarts, [`StoredBound`].
//! - [`Holder`] sends requests to the voters and holds a lease once a majority has promised it. The lease
//!   ends its duration after the oldest of those requests was *sent*. A promise runs from the time at which
//!   the request was *received*, and a margin longer, so that it outlives the lease on any two clocks whose
//!   rates differ by less than the margin. The absolute time that the clocks show does not matter.
//! - [`Holder::begin`] is the only way to start a run under a lease. It succeeds if the whole run timeout
//!   fits into the rest of the lease, the previous run has ended, and the minimum interval has passed both
//!   since that run began and since the lease was won.
//! - Every lease has an [`Epoch`]: a voter promises a duty to another holder only under an epoch higher than
//!   any that it knows for this duty. So no two leases share an epoch, and a later lease has the higher one.
//!   The receiver of the effects of a duty keeps a [`Fence`] and refuses an epoch lower than the highest that
//!   it has seen. This stops a holder that was suspended between its last check of the clock and the effect
//!   itself.
//!
//! The first three rules guarantee, during every network partition and crash and whatever members believe
//! about each other: two runs of one duty never overlap, and they begin at least the minimum interval apart.
//! The argument is in `docs/design/duties.md`; the model in `tests/model.rs` runs this code through all
//! interleavings of crash, restart, delay, loss, duplication and partition.
//!
//! Which member *should* hold a lease matters for liveness only: rendezvous hashing ranks the members for
//! each duty, and the first one that is alive requests the lease. [`DutyTable`] combines all of this for one
//! instance.
//!
//! ```
//! use onyxrock::interface::Micros;
//! use onyxrock_duties::{Duty, DutyKind, DutyTable, LeaseTerms, Member, StoredBound};
//!
//! // A single member is its own majority.
//! let terms = LeaseTerms {
//!     duration: Micros(3_000_000),
//!     min_interval: Micros(500_000),
//!     run_timeout: Micros(1_000_000),
//! };
//! let mut table = DutyTable::new(Member(0), 1, 1, terms, 7, Micros(0), StoredBound::Lost);
//! let duty = Duty { kind: DutyKind::Probe, target: 57 };
//! table.set_alive(Micros(0), [Member(0)].into());
//! table.want(duty, Micros(60_000_000));
//!
//! // The voter promises nothing for its first period, because an earlier process of it may have made
//! // promises. After that it grants the request.
//! let mut now = Micros(0);
//! while table.begin(now, duty).is_err() {
//!     now = now.plus(Micros(100_000));
//!     let others = table.tick(now);
//!     // The caller persists this number before the voter relies on it.
//!     table.bound_to_persist().into_iter().for_each(|n| table.mark_bound_persisted(n));
//!     assert!(others.is_empty(), "the member's own vote needs no message");
//! }
//! assert!(now >= terms.promise_duration());
//! // No other run may begin during this one, nor before the minimum interval has passed.
//! assert!(table.begin(now, duty).is_err());
//! ```

mod duty_table;
mod fence;
mod holder;
mod message;
mod rank;
mod voter;

pub use duty_table::{DutyTable, HeldLease, Output};
pub use fence::Fence;
pub use holder::{Holder, RunError};
pub use message::{MAX_DUTIES_PER_MESSAGE, Message};
pub use voter::{StoredBound, Voter};

use onyxrock::interface::Micros;
use serde::{Deserialize, Serialize};

/// A member, identified by its index in the list that all members share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Member(pub u16);

/// Identifies one process of a member; no other process of this member has the same number.
pub type BootId = u64;

/// Number of a lease of a duty. A later lease has a higher number; zero means no lease.
pub type Epoch = u64;

/// The kind of a duty.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum DutyKind {
    /// Probes a partner that is suspected or is coming back.
    Probe,
    /// Fetches the endpoint list from discovery and passes changes on to the other members.
    List,
    /// Coordinates the fleet: makes the decisions that only one member at a time may make.
    Coordinator,
}

impl DutyKind {
    /// The name in JSON and in operator output.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            DutyKind::Probe => "probe",
            DutyKind::List => "list",
            DutyKind::Coordinator => "coordinator",
        }
    }
}

/// A task that one instance runs on behalf of all.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Duty {
    /// The kind of task.
    pub kind: DutyKind,
    /// The number of the destination that the task is about.
    #[serde(rename = "of")]
    pub target: u64,
}

/// The terms of every lease; they are the same at all members.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseTerms {
    /// How long a lease lasts without renewal.
    pub duration: Micros,
    /// The minimum time between the beginnings of two runs of one duty, whichever member runs it.
    pub min_interval: Micros,
    /// The longest time that one run may take; shorter than the lease.
    pub run_timeout: Micros,
}

impl LeaseTerms {
    /// How long a promise binds its voter: the lease and a tenth more, to allow for clocks that run at
    /// different rates.
    #[must_use]
    pub fn promise_duration(self) -> Micros {
        self.duration.plus(Micros(self.duration.0.div_ceil(10)))
    }
    /// How often a lease is renewed. A quarter of the lease leaves time to repeat a lost request or response
    /// before the lease ends.
    #[must_use]
    pub fn renew_interval(self) -> Micros {
        Micros((self.duration.0 / 4).max(1))
    }
}
