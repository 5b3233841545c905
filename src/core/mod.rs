//! The life of a request around the module: taken on, attempted, ended, and carried over a restart. No I/O,
//! no clock and no wire: a front hands requests in, a caller carries out [`Step`]s and keeps [`Record`]s.

mod classes;
mod ids;
mod ledger;
mod record;
mod recovery;
mod step;

pub use ids::Ids;
pub use ledger::{Ledger, add_probe_class};
pub use record::{AcceptedMessage, AttemptStatus, FinalStatus, LogScan, Record, RecordedClass, scan_log};
pub use recovery::{OpenMessage, recover};
pub use step::{AttemptDenied, AttemptOutcome, LedgerAction, RecoveryStats};

use std::collections::BTreeMap;

/// Names that the wires use and the module knows by place.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Of classes.
    pub classes: BTreeMap<String, usize>,
    /// Of tenants.
    pub tenants: BTreeMap<String, usize>,
    /// Of kinds of destination.
    pub kinds: BTreeMap<String, usize>,
    /// Of zones.
    pub zones: BTreeMap<String, usize>,
}
