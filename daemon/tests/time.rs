//! The wall clock may be stepped by an hour. To tolerate a step, the daemon reads the wall clock in one
//! source file only, at its start, and measures all durations with the monotonic clock.

use std::fs;
use std::path::{Path, PathBuf};

/// The only file that may read the wall clock; docs/design/time.md describes what a step does there.
const WALL_CLOCK_FILE: &str = "daemon/src/clock.rs";
/// The source folders of all code that runs in the daemon.
const SOURCE_FOLDERS: [&str; 9] = [
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

/// All files in a folder and its subfolders.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .expect("the source folder is readable")
        .map(|e| e.expect("the folder entry is readable").path());
    entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect()
}

#[test]
fn the_wall_clock_is_read_in_one_file_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the package is in the repository");
    let sources = SOURCE_FOLDERS.iter().flat_map(|folder| files(&root.join(folder)));
    let reads_wall_clock = |path: &PathBuf| {
        let text = fs::read_to_string(path).expect("the source file is readable");
        ["SystemTime", "CLOCK_REALTIME", "ClockId::Realtime", "UNIX_EPOCH"]
            .iter()
            .any(|name| text.contains(name))
    };
    let files_found: Vec<_> = sources.filter(reads_wall_clock).collect();
    assert_eq!(files_found, [root.join(WALL_CLOCK_FILE)]);
}
