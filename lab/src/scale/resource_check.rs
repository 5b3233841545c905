//! Checks before an experiment starts whether this machine has the resources that it needs.

/// Resident bytes that one forwarder needs for each member of its cluster: a measured value, rounded up.
const BYTES_PER_MEMBER: u64 = 1_200;
/// Resident bytes that one forwarder needs without any members.
const BYTES_PER_FORWARDER: u64 = 200_000;
/// Resident bytes of a real daemon in a cluster of a few dozen.
const BYTES_PER_DAEMON: u64 = 16_000_000;
/// Resident bytes of one list entry in a directory, including what is needed to parse it.
const BYTES_PER_ENTRY: u64 = 250;
/// An experiment may use the machine's memory divided by this number.
const MEMORY_DIVISOR: u64 = 2;
/// Number of processes that an experiment may start.
pub const MAX_PROCESSES: usize = 300;

/// Resources that an experiment needs.
#[derive(Clone, Copy, Debug)]
pub struct ResourceNeeds {
    /// Number of hollow forwarders in the largest cluster.
    pub forwarders: u16,
    /// Number of real daemons that run at the same time.
    pub daemons: usize,
    /// Number of entries of the longest list.
    pub listed_endpoints: u64,
}

impl ResourceNeeds {
    /// Memory that is needed, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let forwarders = u64::from(self.forwarders);
        let hollow = forwarders * (BYTES_PER_FORWARDER + forwarders * BYTES_PER_MEMBER);
        hollow + self.daemons as u64 * BYTES_PER_DAEMON + self.listed_endpoints * BYTES_PER_ENTRY
    }
}

/// Checks the needs against the limits for a machine with this memory.
///
/// # Errors
/// One line that names the resource that is exceeded.
pub fn check_resources(needs: &ResourceNeeds, machine_bytes: u64) -> Result<(), String> {
    if needs.daemons > MAX_PROCESSES {
        return Err(format!("{} processes are needed, {MAX_PROCESSES} are allowed", needs.daemons));
    }
    let (needed, allowed) = (needs.bytes(), machine_bytes / MEMORY_DIVISOR);
    if needed > allowed {
        let mb = |bytes: u64| bytes / 1_000_000;
        let forwarders = needs.forwarders;
        return Err(format!(
            "{forwarders} hollow forwarders need {} MB, half of this machine's memory is {} MB",
            mb(needed),
            mb(allowed)
        ));
    }
    Ok(())
}
