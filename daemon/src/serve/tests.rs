//! Where a process listens.

use super::*;

#[test]
fn another_process_of_ours_may_listen_beside_this_one_and_nobody_else() {
    let first = door(([127, 0, 0, 1], 0).into(), false).unwrap();
    let at = first.local_addr().unwrap();
    assert!(door(at, false).is_err(), "whoever that is has another folder");
    assert!(door(at, true).is_ok());
}
