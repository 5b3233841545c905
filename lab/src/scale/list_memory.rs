//! Measures the memory that a long list needs in the directory of one forwarder.

use super::discovery::{FIRST_GENERATION, initial_entries, list_json};
use super::forwarder::{apply_list, directory};
use super::measurement::resident_bytes;
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_config::list;
use onyxrock_roster::Directory;

/// Number of entries that are parsed at once, so that the memory of their text does not count as the
/// directory's.
const ENTRIES_PER_PART: u64 = 10_000;

/// A directory with a long list, and the resident memory that it needs.
pub struct ListMemory {
    /// The directory is kept, so that nothing else reuses its memory.
    pub directory: Directory,
    /// Resident memory in megabytes.
    pub mb: f64,
}

/// Fills a directory with this number of endpoints.
///
/// # Errors
/// The list cannot be parsed, an endpoint does not fit, or the resident memory cannot be read.
pub fn measure_list_memory(listed: u64) -> Result<ListMemory, String> {
    let resident = || resident_bytes().ok_or("no figure of resident memory");
    let (before, names, mut directory) = (resident()?, NameIndex::default(), directory());
    for first in (0..listed).step_by(ENTRIES_PER_PART as usize) {
        let entries = initial_entries(first, listed.min(first + ENTRIES_PER_PART));
        let part = list::parse(&list_json(FIRST_GENERATION, false, entries), &names)?;
        apply_list(&mut directory, Micros(1), &part);
    }
    if directory.listed_endpoint_count() as u64 != listed {
        return Err(format!("{} of {listed} endpoints found a place", directory.listed_endpoint_count()));
    }
    Ok(ListMemory { mb: resident()?.saturating_sub(before) as f64 / 1e6, directory })
}
