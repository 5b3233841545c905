//! The measured costs, and the figures of the report that contains them.

use super::fit::{Fit, Shape};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the report's figures. A report of another version is refused.
pub const REPORT_VERSION: u32 = 1;
/// Name of the experiment that measures the slopes.
pub const EXPERIMENT: &str = "slopes";

/// Defines the costs, each with its name, the item whose cost it is, its unit, and the code that incurs it.
/// The three texts are written into the reports and the page, so they keep the former names of some types:
/// `roster::Memories` is `roster::HealthStore` today, `duties::Book` is `duties::DutyTable`, and
/// `config::list::Reader` is `config::list::ListReader`.
macro_rules! costs {
    ($($(#[$attribute:meta])* $name:ident, $item:literal, $unit:literal, $mechanism:literal;)*) => {
        /// A cost that was measured at rising sizes. Reports and the page contain its name in snake case.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Cost {
            $($(#[$attribute])* $name,)*
        }

        impl Cost {
            /// All costs, in the order of the page.
            pub const ALL: &[Cost] = &[$(Cost::$name),*];

            /// The item whose cost this is; the size is a number of such items.
            #[must_use]
            pub fn item(self) -> &'static str {
                match self { $(Cost::$name => $item),* }
            }
            /// The unit of the cost.
            #[must_use]
            pub fn unit(self) -> &'static str {
                match self { $(Cost::$name => $unit),* }
            }
            /// The crates and types that incur the cost.
            #[must_use]
            pub fn mechanism(self) -> &'static str {
                match self { $(Cost::$name => $mechanism),* }
            }
        }
    };
}

costs! {
    /// A destination with one endpoint in the list.
    ListedMemory, "destination listed", "bytes", "roster::Directory";
    /// An active destination, in the policy engine and the directory.
    ActiveMemory, "destination active", "bytes", "onyxrock::PolicyEngine, roster::Directory";
    /// An active destination that is down, in the policy engine and the directory.
    DownMemory, "destination down", "bytes", "onyxrock::PolicyEngine, roster::Directory";
    /// The health that is retained of an inactive destination.
    #[serde(rename = "resting_memory")]
    RetainedHealthMemory, "destination remembered", "bytes", "roster::Memories";
    /// A wanted duty that another member holds.
    #[serde(rename = "wanted_memory")]
    WantedDutyMemory, "duty wanted", "bytes", "duties::Book";
    /// A lease at its holder.
    HolderLeaseMemory, "lease held", "bytes", "duties::Holder";
    /// A lease at a voter.
    VoterLeaseMemory, "lease promised", "bytes", "duties::Voter";
    /// A member, in the failure detector of another member.
    MemberMemory, "member watched", "bytes", "membership::Membership";
    /// A message in the policy engine alone.
    #[serde(rename = "held_memory")]
    EngineMessageMemory, "message held", "bytes", "onyxrock::PolicyEngine";
    /// A message in the policy engine and in the ledger's open messages, with its body.
    BacklogMemory, "message of backlog", "bytes", "core::Ledger";
    /// A message of the backlog in the write-ahead log.
    BacklogDisk, "message of backlog", "bytes", "daemon::wal::Wal";
    /// Reading a message back from the write-ahead log at a start.
    BacklogRestartCpu, "message of backlog", "us", "daemon::wal::Wal, core::recover";
    /// A change in an answer of discovery, parsed and applied.
    ListChangeCpu, "list change", "us", "config::list::Reader, roster::Directory";
    ListChangeBytes, "list change", "bytes", "config::list::Reader";
    /// An entry of a complete list at a start, parsed and applied.
    #[serde(rename = "whole_list_cpu")]
    CompleteListCpu, "list entry", "us", "config::list::Reader, roster::Directory";
    #[serde(rename = "whole_list_bytes")]
    CompleteListBytes, "list entry", "bytes", "config::list::Reader";
    /// A watch request and its answer with one change, over a loopback connection.
    WatchAnswerCpu, "answer to a watch", "us", "config::list::Reader, roster::Directory";
    WatchAnswerBytes, "answer to a watch", "bytes", "config::list::Reader";
    /// Failure detection among the members, while one of them is away.
    MemberCpu, "member watched", "us/s", "membership::Membership";
    MemberBytes, "member watched", "bytes/s", "membership::Membership";
    /// Renewing leases, at their holder.
    HolderLeaseCpu, "lease held", "us/s", "duties::Holder";
    HolderLeaseBytes, "lease held", "bytes/s", "duties::Holder";
    /// Promising leases, of which each holder has three, at a voter.
    VoterLeaseCpu, "lease promised", "us/s", "duties::Voter";
    VoterLeaseBytes, "lease promised", "bytes/s", "duties::Voter";
    /// For one wanted duty: finding the member that should hold it among all members, and sending that member
    /// a message.
    #[serde(rename = "wanted_member_cpu")]
    WantedDutyMemberCpu, "member, for one duty wanted", "us/s", "duties::Book";
    #[serde(rename = "wanted_bytes")]
    WantedDutyBytes, "duty wanted, of 11,000 members", "bytes/s", "duties::Book";
    /// Searching the active destinations for unconfirmed destinations.
    #[serde(rename = "active_look_cpu")]
    UnconfirmedScanCpu, "destination active", "us/s", "onyxrock::PolicyEngine";
    /// Sending the same message to every member once.
    #[serde(rename = "tell_all_cpu")]
    BroadcastCpu, "member told", "us", "membership::Membership, sharing::Peers";
    #[serde(rename = "tell_all_bytes")]
    BroadcastBytes, "member told", "bytes", "membership::Membership, sharing::Peers";
}

impl Cost {
    /// The name in reports.
    #[must_use]
    pub fn name(self) -> String {
        let name = serde_json::to_value(self).unwrap_or_default();
        name.as_str().unwrap_or_default().to_owned()
    }
}

/// One cost with its fit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The item whose cost this is; the size is a number of such items.
    #[serde(rename = "per")]
    pub item: String,
    /// The unit of the cost.
    pub unit: String,
    /// The crates and types that incur the cost.
    pub mechanism: String,
    #[serde(flatten)]
    pub fit: Fit,
}

impl Slope {
    /// Combines a cost's texts with its fit.
    #[must_use]
    pub fn new(cost: Cost, fit: Fit) -> Slope {
        let [item, unit, mechanism] = [cost.item(), cost.unit(), cost.mechanism()].map(str::to_owned);
        Slope { item, unit, mechanism, fit }
    }

    /// One readable line for the log of progress. It calls a nonlinear cost `BENT`, after the report's
    /// `bent`.
    #[must_use]
    pub fn line(&self, cost: Cost) -> String {
        let (name, unit, item) = (cost.name(), &self.unit, &self.item);
        let (points, residual) = (self.fit.points.len(), self.fit.residual);
        let shape = match &self.fit.shape {
            Shape::Linear { slope, intercept } => format!("{slope:.4} {unit} + {intercept:.1}"),
            Shape::Nonlinear { reason } => {
                format!("BENT ({reason}); {:.4} {unit} at the largest size", self.fit.unit_cost_at_largest())
            }
        };
        format!("{name:<20} {shape} for each {item}; {points} points, residual {residual:.3}")
    }
}

/// The results of the experiment: the `figures` of its report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// [`REPORT_VERSION`] of the program that wrote the report.
    pub version: u32,
    pub seed: u64,
    /// Peak memory of the process in megabytes.
    pub peak_mb: f64,
    /// Resident bytes for each byte that was requested from the allocator, at the longest list.
    pub resident_share: f64,
    /// The slope of every cost.
    pub slopes: BTreeMap<Cost, Slope>,
}
