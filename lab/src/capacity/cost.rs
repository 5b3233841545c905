//! The costs that are measured, and the report that holds them.

use super::fit::{Fit, Shape};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Of the report. A report of another one is refused.
pub const VERSION: u32 = 1;
/// The experiment that makes it.
pub const EXPERIMENT: &str = "slopes";

/// Each cost: its name, what one is, the unit of its cost, and the code that carries it.
macro_rules! costs {
    ($($(#[$doc:meta])* $name:ident, $per:literal, $unit:literal, $mechanism:literal;)*) => {
        /// Something whose cost was measured at rising sizes.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Cost {
            $($(#[$doc])* $name,)*
        }

        impl Cost {
            pub const ALL: &[Cost] = &[$(Cost::$name),*];

            /// What one of the size is.
            #[must_use]
            pub fn per(self) -> &'static str {
                match self { $(Cost::$name => $per),* }
            }
            #[must_use]
            pub fn unit(self) -> &'static str {
                match self { $(Cost::$name => $unit),* }
            }
            /// Crate and type that carry it.
            #[must_use]
            pub fn mechanism(self) -> &'static str {
                match self { $(Cost::$name => $mechanism),* }
            }
        }
    };
}

costs! {
    /// A destination of one endpoint in the list.
    ListedMemory, "destination listed", "bytes", "roster::Directory";
    /// A destination in use, in the policy engine and the directory.
    ActiveMemory, "destination active", "bytes", "onyxrock::PolicyEngine, roster::Directory";
    /// The same while it is out of order.
    DownMemory, "destination down", "bytes", "onyxrock::PolicyEngine, roster::Directory";
    /// What is remembered of a destination at rest.
    RestingMemory, "destination remembered", "bytes", "roster::Memories";
    /// A duty that is wanted and is another member's.
    WantedMemory, "duty wanted", "bytes", "duties::Book";
    /// A lease at its holder.
    HolderLeaseMemory, "lease held", "bytes", "duties::Holder";
    /// A lease at a voter.
    VoterLeaseMemory, "lease promised", "bytes", "duties::Voter";
    /// A member at another one.
    MemberMemory, "member watched", "bytes", "membership::Membership";
    /// A message in the policy engine alone.
    HeldMemory, "message held", "bytes", "onyxrock::PolicyEngine";
    /// A message in the policy engine and the outstanding messages, with its body.
    BacklogMemory, "message of backlog", "bytes", "core::Ledger";
    /// The same in the log.
    BacklogDisk, "message of backlog", "bytes", "daemon::wal::Wal";
    /// Reading it back at a start.
    BacklogRestartCpu, "message of backlog", "us", "daemon::wal::Wal, core::recover";
    /// A change in an answer of discovery, read and applied.
    ListChangeCpu, "list change", "us", "config::list::Reader, roster::Directory";
    ListChangeBytes, "list change", "bytes", "config::list::Reader";
    /// An entry of a whole list at a start, read and applied.
    WholeListCpu, "list entry", "us", "config::list::Reader, roster::Directory";
    WholeListBytes, "list entry", "bytes", "config::list::Reader";
    /// One question for changes and its answer with one change, over a loopback connection.
    WatchAnswerCpu, "answer to a watch", "us", "config::list::Reader, roster::Directory";
    WatchAnswerBytes, "answer to a watch", "bytes", "config::list::Reader";
    /// Watching members, while one of them is away.
    MemberCpu, "member watched", "us/s", "membership::Membership";
    MemberBytes, "member watched", "bytes/s", "membership::Membership";
    /// Renewing leases.
    HolderLeaseCpu, "lease held", "us/s", "duties::Holder";
    HolderLeaseBytes, "lease held", "bytes/s", "duties::Holder";
    /// Promising them, three to a holder.
    VoterLeaseCpu, "lease promised", "us/s", "duties::Voter";
    VoterLeaseBytes, "lease promised", "bytes/s", "duties::Voter";
    /// For one duty that is wanted: finding among the members whose it is, and telling that member.
    WantedMemberCpu, "member, for one duty wanted", "us/s", "duties::Book";
    WantedBytes, "duty wanted, of 11,000 members", "bytes/s", "duties::Book";
    /// Looking through what is in use for what is doubted.
    ActiveLookCpu, "destination active", "us/s", "onyxrock::PolicyEngine";
    /// Telling every member the same once.
    TellAllCpu, "member told", "us", "membership::Membership, sharing::Peers";
    TellAllBytes, "member told", "bytes", "membership::Membership, sharing::Peers";
}

impl Cost {
    /// As the report names it.
    #[must_use]
    pub fn name(self) -> String {
        let name = serde_json::to_value(self).unwrap_or_default();
        name.as_str().unwrap_or_default().to_owned()
    }
}

/// One cost with its fit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What one of the size is.
    pub per: String,
    pub unit: String,
    pub mechanism: String,
    #[serde(flatten)]
    pub fit: Fit,
}

impl Slope {
    #[must_use]
    pub fn new(cost: Cost, fit: Fit) -> Slope {
        let [per, unit, mechanism] = [cost.per(), cost.unit(), cost.mechanism()].map(str::to_owned);
        Slope { per, unit, mechanism, fit }
    }

    /// One line for people.
    #[must_use]
    pub fn line(&self, cost: Cost) -> String {
        let (name, unit, per) = (cost.name(), &self.unit, &self.per);
        let (points, residual) = (self.fit.points.len(), self.fit.residual);
        let shape = match &self.fit.shape {
            Shape::Straight { slope, intercept } => format!("{slope:.4} {unit} + {intercept:.1}"),
            Shape::Bent { why } => {
                format!("BENT ({why}); {:.4} {unit} at the largest size", self.fit.each_at_largest())
            }
        };
        format!("{name:<20} {shape} for each {per}; {points} points, residual {residual:.3}")
    }
}

/// What the experiment finds; in the report these are the `figures`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    pub version: u32,
    pub seed: u64,
    /// Megabytes that the process had at most.
    pub peak_mb: f64,
    /// Resident bytes for each byte that the allocator counted, at the longest list.
    pub resident_share: f64,
    pub slopes: BTreeMap<Cost, Slope>,
}
