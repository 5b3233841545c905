//! Divides `limits.memory_mb` among all that counts as memory of a forwarder: the resident memory of its processes and
//! the files in its state folder.
//!
//! The allocator keeps what was freed for later, so the largest use of each part counts, and the parts have bounds that
//! hold together. Two processes run during an upgrade, and open messages cannot be given up then: where upgrades are
//! expected, each process has half from its start on.

use crate::net::input_budget::FREE_BYTES;
use crate::resource_usage::ResourceUsage;
use onyxrock_config::daemon::Config;

/// What a process takes for its code and its actors beyond what it has at the start, before clients come.
const GROWTH_BYTES: u64 = 4_000_000;
/// Least memory of a process without messages, whatever the system says about its start.
const MIN_BASE_BYTES: u64 = 8_000_000;
/// Least memory of a process beyond its base. A limit that leaves less cannot be kept in every state.
const MIN_SHARED_BYTES: u64 = 2_000_000;
/// Least size of the files: a log with a few of the largest messages.
const MIN_FILE_BYTES: u64 = 512 * 1024;
/// The files, and each part of a process, may take a quarter. The fourth quarter of a process is for all else: calls,
/// responses, the endpoint list, and gaps that the allocator cannot use.
const PART_DIVISOR: u64 = 4;
/// Bytes that a connection of a client may take without a reservation: its first buffer, and twice as much for its actor.
const CONNECTION_BYTES: u64 = 3 * FREE_BYTES as u64;
/// Least number of connections of clients.
const MIN_CONNECTIONS: u64 = 8;
/// Bytes that a remembered request id takes in its tables, of which one may be growing.
const REQUEST_ID_BYTES: u64 = 96;
/// Remembered request ids may take an eighth of what a process has beyond its base.
const REQUEST_ID_DIVISOR: u64 = 8;

/// What a forwarder may use in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Resident memory of all its processes, and its files.
    pub memory_bytes: u64,
    /// The files in the state folder.
    pub disk_bytes: u64,
    /// Open descriptors.
    pub sockets: u64,
    /// Processes that may run at a time.
    pub processes: u64,
}

impl Limits {
    /// The limits in a configuration.
    #[must_use]
    pub fn of(config: &Config) -> Limits {
        Limits {
            memory_bytes: config.max_memory_bytes,
            disk_bytes: config.max_disk_bytes,
            sockets: config.max_sockets as u64,
            // Only operators start a second process beside a running one.
            processes: if config.mgmt.is_some() { 2 } else { 1 },
        }
    }
}

/// The bounds of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// All files in the state folder, of all processes.
    pub file_bytes: u64,
    /// Input of clients that is not complete yet, beyond the first bytes of each connection.
    pub input_bytes: u64,
    /// Messages that are open.
    pub message_bytes: u64,
    /// Open connections of clients.
    pub client_connections: u64,
    /// Request ids of ended messages that are remembered.
    pub request_ids: u64,
    /// An endpoint list while it is read, in whole megabytes.
    pub list_mb: u32,
    /// Whether the limit leaves enough for these bounds.
    pub fits: bool,
}

impl MemoryPlan {
    /// The bounds of a process that takes `start_bytes` before clients come, where files other than the log take up to
    /// `other_file_bytes`.
    #[must_use]
    pub fn new(limits: Limits, start_bytes: u64, other_file_bytes: u64) -> MemoryPlan {
        let base_bytes = (start_bytes + GROWTH_BYTES).max(MIN_BASE_BYTES);
        let beyond_bases = limits.memory_bytes.saturating_sub(limits.processes * base_bytes);
        let least_file_bytes = MIN_FILE_BYTES + 2 * other_file_bytes;
        let file_bytes = (beyond_bases / PART_DIVISOR).max(least_file_bytes).min(limits.disk_bytes);
        let left_bytes = beyond_bases.saturating_sub(file_bytes) / limits.processes;
        let shared_bytes = left_bytes.max(MIN_SHARED_BYTES);
        let part_bytes = shared_bytes / PART_DIVISOR;
        let connections_by_memory = part_bytes / CONNECTION_BYTES;
        MemoryPlan {
            file_bytes,
            input_bytes: part_bytes,
            message_bytes: part_bytes,
            client_connections: (limits.sockets / 2).min(connections_by_memory).max(MIN_CONNECTIONS),
            request_ids: shared_bytes / REQUEST_ID_DIVISOR / REQUEST_ID_BYTES,
            list_mb: u32::try_from(part_bytes / 1_000_000).unwrap_or(u32::MAX).max(1),
            fits: left_bytes >= MIN_SHARED_BYTES,
        }
    }

    /// The bounds for a process that has just started.
    #[must_use]
    pub fn for_starting(config: &Config, other_file_bytes: u64) -> MemoryPlan {
        let started = ResourceUsage::read(&config.state_folder);
        let plan = MemoryPlan::new(Limits::of(config), started.resident_bytes, other_file_bytes);
        if !plan.fits {
            tracing::warn!(
                max_memory_bytes = config.max_memory_bytes,
                start_bytes = started.resident_bytes,
                "memory: the limit is too low to be kept in every state"
            );
        }
        plan
    }
}

#[cfg(test)]
mod tests;
