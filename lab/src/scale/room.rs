//! Whether an experiment fits on this machine, asked before it starts.

/// Resident bytes that one forwarder needs for each member of its cluster: measured, and rounded up.
const BYTES_PER_MEMBER: u64 = 1_200;
/// And without any.
const BYTES_PER_FORWARDER: u64 = 200_000;
/// A real daemon of a few dozen.
const BYTES_PER_DAEMON: u64 = 16_000_000;
/// One entry of the list in a directory, and what reads it.
const BYTES_PER_ENTRY: u64 = 250;
/// Of the machine's memory an experiment may have one part in so many.
const MEMORY_PARTS: u64 = 2;
/// Processes that an experiment may have.
pub const PROCESSES_MOST: usize = 300;

/// What an experiment needs.
#[derive(Clone, Copy, Debug)]
pub struct Needs {
    /// Hollow forwarders of the largest cluster.
    pub forwarders: u16,
    /// Real daemons at once.
    pub daemons: usize,
    /// Entries of the longest list.
    pub listed: u64,
}

impl Needs {
    /// Bytes of memory.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let forwarders = u64::from(self.forwarders);
        let hollow = forwarders * (BYTES_PER_FORWARDER + forwarders * BYTES_PER_MEMBER);
        hollow + self.daemons as u64 * BYTES_PER_DAEMON + self.listed * BYTES_PER_ENTRY
    }
}

/// Whether there is room on a machine with so much memory.
///
/// # Errors
/// One line that says what is too much.
pub fn check_room(needs: &Needs, machine_bytes: u64) -> Result<(), String> {
    if needs.daemons > PROCESSES_MOST {
        return Err(format!("{} processes are needed, {PROCESSES_MOST} are allowed", needs.daemons));
    }
    let (needed, allowed) = (needs.bytes(), machine_bytes / MEMORY_PARTS);
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
