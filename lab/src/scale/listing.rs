//! The memory of a long list in the directory of one forwarder.

use super::discovery::{FIRST_GENERATION, first_lines, text};
use super::forwarder::{directory, take};
use super::meter::resident_bytes;
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use onyxrock_config::list;
use onyxrock_roster::Directory;

/// Entries that are read at once: what holds their text is not the directory's.
const AT_ONCE: u64 = 10_000;

/// A directory with a long list, and the resident megabytes that it has taken.
pub struct Held {
    /// It stays, so that nothing else has its memory.
    pub directory: Directory,
    /// Megabytes.
    pub mb: f64,
}

/// Lists so many endpoints.
///
/// # Errors
/// The list cannot be read, or an entry found no place.
pub fn hold(listed: u64) -> Result<Held, String> {
    let resident = || resident_bytes().ok_or("no figure of resident memory");
    let (before, names, mut directory) = (resident()?, NameIndex::default(), directory());
    for from in (0..listed).step_by(AT_ONCE as usize) {
        let lines = first_lines(from, listed.min(from + AT_ONCE));
        let part = list::parse(&text(FIRST_GENERATION, false, lines), &names)?;
        take(&mut directory, Micros(1), &part);
    }
    if directory.listed_endpoint_count() as u64 != listed {
        return Err(format!("{} of {listed} endpoints found a place", directory.listed_endpoint_count()));
    }
    Ok(Held { mb: resident()?.saturating_sub(before) as f64 / 1e6, directory })
}
