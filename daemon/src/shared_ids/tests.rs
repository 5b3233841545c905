//! The shared request ids of two processes, which the tests play in one.

use super::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Barrier};

const ROOM: u64 = 1 << 20;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("onyxrock-ids-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn id(text: &str) -> RequestIdDigest {
    RequestIdDigest::of(text)
}

fn pair(folder: &Path) -> [SharedIds; 2] {
    [SharedIds::new(folder, "a", "b"), SharedIds::new(folder, "b", "a")]
}

fn nothing_known() -> std::iter::Empty<RequestIdDigest> {
    std::iter::empty()
}

#[test]
fn a_process_knows_the_other_one_s_ids_once_that_has_joined() {
    let folder = folder("join");
    let [mut old, mut new] = pair(&folder);
    assert_eq!(new.join(nothing_known(), ROOM).unwrap(), []);
    assert!(!new.other_joined());
    let known = [id("open"), id("ended")];
    assert_eq!(old.join(known.into_iter(), ROOM).unwrap(), []);
    assert!(old.other_joined());
    assert_eq!(new.read().unwrap(), known);
    assert!(new.other_joined());
    assert_eq!(old.claim(id("x"), nothing_known, ROOM).unwrap(), []);
    assert_eq!(new.claim(id("x"), nothing_known, ROOM).unwrap(), [id("x")], "it comes second");
    assert_eq!(new.claim(id("y"), nothing_known, ROOM).unwrap(), []);
    assert_eq!(old.leave().unwrap(), [id("y")]);
    assert!(files(&folder).iter().all(|file| !file.exists()));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a message that both processes accept, because its copies reach them at the same moment.
#[test]
fn of_two_claims_at_the_same_moment_one_comes_second() {
    const ID_COUNT: usize = 400;
    let folder = folder("race");
    let barrier = Arc::new(Barrier::new(2));
    let claimants = pair(&folder).map(|mut shared_ids| {
        let barrier = barrier.clone();
        std::thread::spawn(move || {
            let (mut claimed, mut foreign) = (Vec::new(), Vec::new());
            for n in 0..ID_COUNT {
                barrier.wait();
                let id = id(&n.to_string());
                foreign.extend(shared_ids.claim(id, nothing_known, ROOM).unwrap());
                if !foreign.contains(&id) {
                    claimed.push(n);
                }
            }
            claimed
        })
    });
    let mut claims = BTreeMap::<usize, u32>::new();
    for claimant in claimants {
        claimant.join().unwrap().into_iter().for_each(|n| *claims.entry(n).or_default() += 1);
    }
    assert_eq!(claims.len(), ID_COUNT);
    assert!(claims.values().all(|count| *count == 1), "{claims:?}");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn half_a_line_of_a_killed_process_hides_no_later_claim() {
    let folder = folder("half");
    let [mut old, mut new] = pair(&folder);
    old.join(nothing_known(), ROOM).unwrap();
    let mut file = OpenOptions::new().append(true).open(&files(&folder)[0]).unwrap();
    file.write_all(&id("half").to_string().as_bytes()[..9]).unwrap();
    assert_eq!(new.claim(id("x"), nothing_known, ROOM).unwrap(), []);
    assert_eq!(old.claim(id("x"), nothing_known, ROOM).unwrap(), [id("x")]);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a file that grows as long as two processes run, and against claims that are lost when it is
/// rewritten.
#[test]
fn a_long_file_is_rewritten_with_the_ids_that_are_still_known() {
    let folder = folder("long");
    let [mut old, mut new] = pair(&folder);
    old.join(nothing_known(), ROOM).unwrap();
    new.join(nothing_known(), ROOM).unwrap();
    let mut longest = 0;
    for n in 0..30_000 {
        let claimed = id(&n.to_string());
        // The ids of the last thousand messages are still known.
        let known = || (n.max(1000) - 1000..n).rev().map(|n| id(&n.to_string()));
        assert!(!old.claim(claimed, known, ROOM).unwrap().contains(&claimed));
        if n % 100 == 99 {
            assert!(new.claim(claimed, nothing_known, ROOM).unwrap().contains(&claimed), "{n}");
            assert!(new.claim(id(&format!("new {n}")), nothing_known, ROOM).unwrap().len() < 10_000);
        }
        longest = longest.max(files(&folder)[0].metadata().unwrap().len());
    }
    assert!(longest < MAX_FILE_BYTES + 1024, "{longest} bytes");
    let mut later = SharedIds::new(&folder, "b", "a");
    assert!(later.read().unwrap().contains(&id("29999")) && later.other_joined());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn nothing_is_claimed_while_another_process_holds_the_lock() {
    let folder = folder("lock");
    let [mut old, mut new] = pair(&folder);
    old.join(nothing_known(), ROOM).unwrap();
    let held = lock(&folder).unwrap();
    assert_eq!(new.claim(id("x"), nothing_known, ROOM).unwrap_err().kind(), ErrorKind::WouldBlock);
    drop(held);
    assert_eq!(new.claim(id("x"), nothing_known, ROOM).unwrap(), []);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a folder that exceeds its limit by the ids of messages that are refused for it.
#[test]
fn nothing_is_claimed_in_a_folder_without_room() {
    let folder = folder("room");
    let [mut old, mut new] = pair(&folder);
    old.join((0..9000).map(|n| id(&n.to_string())), SPARE_BYTES + 1000).unwrap();
    let size = || files(&folder)[0].metadata().unwrap().len();
    assert!(size() < SPARE_BYTES, "what does not fit is left out");
    let size_before = size();
    assert_eq!(new.claim(id("x"), nothing_known, 0).unwrap_err().kind(), ErrorKind::StorageFull);
    assert_eq!(size(), size_before);
    assert!(
        new.claim(id("0"), nothing_known, 0).unwrap().contains(&id("0")),
        "what was read meanwhile is not lost"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
