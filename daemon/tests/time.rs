//! The wall clock may be stepped by an hour: it is read in one place, at a start, and all spans run on the monotonic clock.

use std::fs;
use std::path::{Path, PathBuf};

/// Where wall time is read; docs/design/time.md says what a step does there.
const READS_WALL_TIME: &str = "daemon/src/clock.rs";
/// Sources of what runs in the daemon.
const SOURCES: [&str; 9] = [
    "src",
    "config/src",
    "daemon/src",
    "duties/src",
    "membership/src",
    "roster/src",
    "sharing/src",
    "tower/src",
    "benchlink/src",
];

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder is there").map(|e| e.expect("an entry").path());
    entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect()
}

#[test]
fn wall_time_is_read_in_one_place() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the repository");
    let sources = SOURCES.iter().flat_map(|folder| files(&root.join(folder)));
    let reads = |path: &PathBuf| {
        let text = fs::read_to_string(path).expect("a source");
        ["SystemTime", "CLOCK_REALTIME", "ClockId::Realtime", "UNIX_EPOCH"]
            .iter()
            .any(|word| text.contains(word))
    };
    let found: Vec<_> = sources.filter(reads).collect();
    assert_eq!(found, [root.join(READS_WALL_TIME)]);
}
