//! A start over a folder that fails for a while.

use super::*;
use async_io::block_on;

#[test]
fn a_start_waits_for_its_folder() {
    let folder = std::env::temp_dir().join(format!("onyxrock-start-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let late = folder.clone();
    // Nothing can be opened in it until then.
    let comes = std::thread::spawn(move || {
        std::thread::sleep(FOLDER_RETRY_INTERVAL);
        std::fs::create_dir_all(late).unwrap();
    });
    let opened = block_on(open_folder(&folder, 1_000_000)).expect("it is there by then");
    assert!(opened.scan.records.is_empty());
    comes.join().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A process that was killed at this place may have left its waits there: whoever starts beside this one must not take them for
/// what this one knows.
#[test]
fn a_start_removes_the_waits_of_the_process_before_it() {
    let folder = std::env::temp_dir().join(format!("onyxrock-start-waits-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let waits = folder.join(crate::state_folder::PROCESS_FILES[0].waits);
    std::fs::write(&waits, ".\n").unwrap();
    std::fs::write(folder.join("onyxrock.maintenance"), "s-1\n").unwrap();
    let opened = block_on(open_folder(&folder, 1_000_000)).unwrap();
    assert!(!waits.exists());
    assert_eq!(opened.in_maintenance.into_iter().collect::<Vec<_>>(), ["s-1"], "what operators said stays");
    std::fs::remove_dir_all(&folder).unwrap();
}
