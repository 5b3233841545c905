//! What this process uses of the memory, descriptors and files that the platform limits, as the system counts it.

use crate::net::SharedState;
use async_io::Timer;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two looks.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// A warning is logged above this part (seven eighths) of the memory limit.
const WARNING_SHARE: (u64, u64) = (7, 8);

/// What one process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Largest resident memory since the start, in bytes.
    pub peak_resident_bytes: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Bytes of the files in the state folder, which count as memory.
    pub file_bytes: u64,
}

impl ResourceUsage {
    /// The usage of this process; what cannot be read is 0.
    #[must_use]
    pub fn read(state_folder: &Path) -> ResourceUsage {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        ResourceUsage {
            resident_bytes: status_bytes(&status, "VmRSS:"),
            peak_resident_bytes: status_bytes(&status, "VmHWM:"),
            descriptors: std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64),
            file_bytes: folder_bytes(state_folder),
        }
    }
}

/// The value of a line of `/proc/self/status`, in bytes.
fn status_bytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Bytes of the files in a folder.
fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else { return 0 };
    entries.flatten().filter_map(|entry| Some(entry.metadata().ok()?.len())).sum()
}

/// Updates the counters from time to time, and logs a warning for a usage that is near the limit on memory.
pub async fn watch(shared: Rc<SharedState>, state_folder: PathBuf, max_memory_bytes: u64) {
    let (share, whole) = WARNING_SHARE;
    let warning_bytes = max_memory_bytes / whole * share;
    loop {
        let usage = ResourceUsage::read(&state_folder);
        shared.counters.set_resource_usage(&usage);
        if usage.resident_bytes + usage.file_bytes > warning_bytes {
            tracing::warn!(
                resident_bytes = usage.resident_bytes,
                file_bytes = usage.file_bytes,
                descriptors = usage.descriptors,
                connections = shared.counters.inbound_open.get(),
                max_memory_bytes,
                "memory: near the limit"
            );
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_what_the_system_counts() {
        let folder = std::env::temp_dir().join(format!("onyxrock-usage-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("a"), [0; 700]).unwrap();
        std::fs::write(folder.join("b"), [0; 300]).unwrap();
        let usage = ResourceUsage::read(&folder);
        std::fs::remove_dir_all(&folder).unwrap();
        assert_eq!(usage.file_bytes, 1000);
        assert!(usage.resident_bytes > 0 && usage.peak_resident_bytes >= usage.resident_bytes);
        assert!(usage.descriptors >= 3, "standard input, output and error: {usage:?}");
    }

    #[test]
    fn a_missing_line_counts_as_nothing() {
        assert_eq!(status_bytes("VmRSS:\t  12 kB\n", "VmRSS:"), 12 * 1024);
        assert_eq!(status_bytes("VmRSS:\t  12 kB\n", "VmHWM:"), 0);
    }
}
