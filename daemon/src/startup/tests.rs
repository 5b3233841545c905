//! Starts with a state folder that fails for a while.

use super::*;
use async_io::block_on;

#[test]
fn a_start_waits_for_a_missing_folder() {
    let folder = std::env::temp_dir().join(format!("onyxrock-start-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let missing_folder = folder.clone();
    // The folder does not exist until then.
    let creation = std::thread::spawn(move || {
        std::thread::sleep(FOLDER_RETRY_INTERVAL);
        std::fs::create_dir_all(missing_folder).unwrap();
    });
    let opened = block_on(open_folder(&folder, 1_000_000)).expect("the folder exists by then");
    assert!(opened.logged.accepted.is_empty() && opened.logged.log_bytes == 0);
    creation.join().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A process that was killed may have left its waits file. Its sibling must not take that for what the new
/// process knows.
#[test]
fn a_start_removes_the_waits_file_of_an_earlier_process() {
    let folder = std::env::temp_dir().join(format!("onyxrock-start-waits-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let waits = folder.join(crate::state_folder::PROCESS_FILES[0].waits);
    std::fs::write(&waits, ".\n").unwrap();
    std::fs::write(folder.join("onyxrock.maintenance"), "s-1\n").unwrap();
    let opened = block_on(open_folder(&folder, 1_000_000)).unwrap();
    assert!(!waits.exists());
    assert_eq!(
        opened.in_maintenance.into_iter().collect::<Vec<_>>(),
        ["s-1"],
        "the maintenance file must stay"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
