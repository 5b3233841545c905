//! The life cycle of a message around the policy engine: accepted, attempted, ended, and recovered after a
//! restart. This module has no I/O, no clock and no network protocol: a frontend submits messages, and the
//! caller carries out [`LedgerAction`]s and stores [`Record`]s.

mod actions;
mod classes;
mod ledger;
mod log_decoder;
mod message_memory;
mod recent_ids;
mod record;
mod recovery;

pub use actions::{AttemptDenied, AttemptOutcome, LedgerAction, RecoveryStats, Sending};
pub use ledger::{Ledger, add_probe_class};
pub use log_decoder::{LogDecoder, scan_log};
pub use message_memory::MessageMemory;
pub use recent_ids::{NoDigest, RecentIds, RequestIdDigest};
pub use record::{AcceptedMessage, AttemptStatus, FinalStatus, LogScan, Record, RecordedClass};
pub use recovery::{OpenMessage, Recovery, recover};

use std::collections::BTreeMap;

/// The names of classes, tenants, kinds and zones as protocols use them, with the index of each in the
/// settings.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Indices of classes by name.
    pub classes: BTreeMap<String, usize>,
    /// Indices of tenants by name.
    pub tenants: BTreeMap<String, usize>,
    /// Indices of kinds of destination by name.
    pub kinds: BTreeMap<String, usize>,
    /// Indices of zones by name.
    pub zones: BTreeMap<String, usize>,
}
