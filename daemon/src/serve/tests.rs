//! The listening socket for clients, and reloading of the configuration.

use super::*;

#[test]
fn only_a_sibling_process_may_listen_on_the_same_address() {
    let listener = client_listener(([127, 0, 0, 1], 0).into(), false).unwrap();
    let address = listener.local_addr().unwrap();
    assert!(
        client_listener(address, false).is_err(),
        "a process with another state folder must not share the address"
    );
    assert!(client_listener(address, true).is_ok());
}

/// The system may be out of file descriptors at the moment of the signal: reading is retried then, but not
/// for an invalid file.
#[test]
fn a_configuration_that_temporarily_cannot_be_read_is_read_again() {
    let calls = Cell::new(0);
    let read_after = |first_error: ReadError| {
        calls.set(0);
        let reread = || {
            calls.set(calls.get() + 1);
            Err(if calls.get() < 4 { first_error.clone() } else { ReadError::Invalid("read".into()) })
        };
        async_io::block_on(read_with_retries(&reread)).map(drop)
    };
    assert_eq!(
        read_after(ReadError::Unreadable("no descriptor".into())),
        Err(ReadError::Invalid("read".into()))
    );
    assert_eq!(calls.get(), 4);
    assert_eq!(read_after(ReadError::Invalid("no JSON".into())), Err(ReadError::Invalid("no JSON".into())));
    assert_eq!(calls.get(), 1);
    let unreadable = || Err(ReadError::Unreadable("no descriptor".into()));
    assert!(async_io::block_on(read_with_retries(&unreadable)).is_err(), "the retries must end");
}
