//! Claims of processes to the state folder.

use super::*;

#[test]
fn two_processes_claim_different_files_and_a_third_is_refused() {
    let folder = std::env::temp_dir().join(format!("onyxrock-folder-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let first = Claim::acquire(&folder).unwrap();
    assert!(matches!(first.check_other(), Ok(OtherProcess::Gone(_))));
    let second = Claim::acquire(&folder).unwrap();
    assert_eq!((first.files, second.files), (PROCESS_FILES[0], PROCESS_FILES[1]));
    assert!(matches!(first.check_other(), Ok(OtherProcess::Running)));
    let third = Claim::acquire(&folder).unwrap_err();
    assert!(third.to_string().contains("two processes"), "{third}");
    std::fs::write(folder.join(PROCESS_FILES[0].log), b"noise").unwrap();
    drop(first);
    let Ok(OtherProcess::Gone(orphaned_log)) = second.check_other() else {
        panic!("the first process is gone")
    };
    assert!(orphaned_log.exists());
    assert_eq!(orphaned_log.read().unwrap().damaged_bytes, 5);
    assert_eq!(
        lock(&folder, PROCESS_FILES[0]).unwrap().map(drop),
        None,
        "the orphaned log must stay locked while it is held"
    );
    orphaned_log.remove().unwrap();
    assert!(!orphaned_log.exists());
    drop(orphaned_log);
    assert_eq!(Claim::acquire(&folder).unwrap().files, PROCESS_FILES[0]);
    std::fs::remove_dir_all(&folder).unwrap();
}
