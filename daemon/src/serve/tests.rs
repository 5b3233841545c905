//! Where a process listens.

use super::*;

#[test]
fn another_process_of_ours_may_listen_beside_this_one_and_nobody_else() {
    let first = client_listener(([127, 0, 0, 1], 0).into(), false).unwrap();
    let at = first.local_addr().unwrap();
    assert!(client_listener(at, false).is_err(), "whoever that is has another folder");
    assert!(client_listener(at, true).is_ok());
}

/// The system has no descriptor for the file at the moment of the signal: it is read again, and a file that is wrong is not.
#[test]
fn a_file_that_cannot_be_read_for_a_moment_is_read_again() {
    let calls = Cell::new(0);
    let fails = |first: ReadError| {
        calls.set(0);
        let reread = || {
            calls.set(calls.get() + 1);
            Err(if calls.get() < 4 { first.clone() } else { ReadError::Invalid("read".into()) })
        };
        async_io::block_on(read_with_retries(&reread)).map(drop)
    };
    assert_eq!(fails(ReadError::Unreadable("no descriptor".into())), Err(ReadError::Invalid("read".into())));
    assert_eq!(calls.get(), 4);
    assert_eq!(fails(ReadError::Invalid("no JSON".into())), Err(ReadError::Invalid("no JSON".into())));
    assert_eq!(calls.get(), 1);
    let never = || Err(ReadError::Unreadable("no descriptor".into()));
    assert!(async_io::block_on(read_with_retries(&never)).is_err(), "it is given up in time");
}
