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
        std::thread::sleep(FOLDER_AGAIN);
        std::fs::create_dir_all(late).unwrap();
    });
    let opened = block_on(open_folder(&folder, 1_000_000)).expect("it is there by then");
    assert!(opened.scan.records.is_empty());
    comes.join().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}
