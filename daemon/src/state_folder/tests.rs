//! Places in the folder that lasts.

use super::*;

#[test]
fn two_have_a_place_each_and_a_third_has_none() {
    let folder = std::env::temp_dir().join(format!("onyxrock-folder-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let first = Claim::take(&folder).unwrap();
    assert!(matches!(first.other(), Ok(Other::Free(_))));
    let second = Claim::take(&folder).unwrap();
    assert_eq!((first.place, second.place), (PLACES[0], PLACES[1]));
    assert!(matches!(first.other(), Ok(Other::Held)));
    let third = Claim::take(&folder).unwrap_err();
    assert!(third.to_string().contains("two processes"), "{third}");
    std::fs::write(folder.join(PLACES[0].log), b"noise").unwrap();
    drop(first);
    let Ok(Other::Free(left)) = second.other() else { panic!("its process is gone") };
    assert!(left.is_there());
    assert_eq!(left.scan().unwrap().damaged_bytes, 5);
    assert_eq!(lock(&folder, PLACES[0]).unwrap().map(drop), None, "it is nobody's while it is looked at");
    left.clear().unwrap();
    assert!(!left.is_there());
    drop(left);
    assert_eq!(Claim::take(&folder).unwrap().place, PLACES[0]);
    std::fs::remove_dir_all(&folder).unwrap();
}
