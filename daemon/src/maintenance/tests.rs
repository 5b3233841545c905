//! The file of endpoints in maintenance.

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("onyxrock-maintenance-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn change(endpoint: &str, in_maintenance: bool) -> MaintenanceChange {
    MaintenanceChange { endpoint: endpoint.into(), in_maintenance }
}

fn names(endpoints: &[&str]) -> BTreeSet<String> {
    endpoints.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn changes_at_two_processes_in_turn_are_both_kept() {
    let folder = folder("two");
    let (mut first, mut second) = (MaintenanceFile::new(&folder), MaintenanceFile::new(&folder));
    assert_eq!(first.load().unwrap(), names(&[]), "there is no file yet");
    first.apply(change("a", true)).unwrap();
    second.apply(change("b", true)).unwrap();
    first.apply(change("c", true)).unwrap();
    second.apply(change("a", false)).unwrap();
    second.apply(change("a", false)).unwrap();
    for file in [&first, &second, &MaintenanceFile::new(&folder)] {
        assert_eq!(file.load().unwrap(), names(&["b", "c"]));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Another process may be writing the file, or the folder may fail. A change must apply all the same, and be
/// written later, in order.
#[test]
fn a_change_that_could_not_be_written_applies_and_stays_queued() {
    let folder = folder("waits");
    let mut file = MaintenanceFile::new(&folder);
    let held_lock = lock(&folder).unwrap();
    assert!(file.apply(change("a", true)).is_err());
    assert!(file.apply(change("b", true)).is_err());
    assert!(file.apply(change("a", false)).is_err());
    assert!(file.has_unwritten());
    assert_eq!(file.load().unwrap(), names(&["b"]));
    assert_eq!(MaintenanceFile::new(&folder).load().unwrap(), names(&[]));
    drop(held_lock);
    file.write().unwrap();
    assert!(!file.has_unwritten());
    assert_eq!(MaintenanceFile::new(&folder).load().unwrap(), names(&["b"]));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn an_incomplete_replacement_is_ignored_and_invalid_content_causes_no_panic() {
    let folder = folder("noise");
    let mut file = MaintenanceFile::new(&folder);
    file.apply(change("a", true)).unwrap();
    std::fs::write(&files(&folder)[1], "b\nc").unwrap();
    assert_eq!(file.load().unwrap(), names(&["a"]));
    std::fs::write(&files(&folder)[0], b"a\n\n\xff\xfe\n").unwrap();
    assert!(file.load().unwrap().contains("a"));
    // A directory in place of the file cannot be read, so a start has to wait.
    std::fs::remove_file(&files(&folder)[0]).unwrap();
    std::fs::create_dir(&files(&folder)[0]).unwrap();
    assert!(file.load().is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_file_size_is_limited() {
    let mut endpoints = BTreeSet::new();
    let name = |i: usize| format!("s-{i:08x}");
    while MaintenanceFile::has_room(&endpoints, &name(endpoints.len())) {
        endpoints.insert(name(endpoints.len()));
    }
    assert!(endpoints.len() > 1024, "{} endpoints fit", endpoints.len());
    assert!(endpoints.iter().map(|n| n.len() + 1).sum::<usize>() <= MAX_FILE_BYTES);
}
