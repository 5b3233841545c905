//! Calls of operators over real sockets.

use super::*;
use std::io::{Read, Write};
use std::net::SocketAddr;

fn start() -> (Rc<SharedState>, SocketAddr) {
    let shared = SharedState::for_test(async_channel::bounded(1).0);
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    shared.executor.spawn(listen(shared.clone(), listener)).detach();
    (shared, at)
}

/// What is answered, and whether that was all.
fn ask(shared: &SharedState, at: SocketAddr, says: &[u8]) -> String {
    let says = says.to_vec();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(&says).unwrap();
        let mut answer = String::new();
        // Bytes that were not read are a reset for whoever said them.
        let _ = stream.read_to_string(&mut answer);
        answer
    });
    let answered = async {
        while !caller.is_finished() {
            async_io::Timer::after(std::time::Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(shared.executor.run(answered));
    caller.join().unwrap()
}

#[test]
fn status_tells_the_truth_and_anything_else_is_a_plain_no() {
    let (shared, at) = start();
    assert_eq!(ask(&shared, at, b"status\n"), "400 no list yet\n");
    *shared.list_state.borrow_mut() = ListState::Current;
    assert_eq!(ask(&shared, at, b"status\r\nstatus\n"), "200 ready\n", "one call to a connection");
    *shared.list_state.borrow_mut() = ListState::Outdated("down\n200 x".into());
    assert_eq!(ask(&shared, at, b"status\n"), "200 ready, with an old list: down 200 x\n");
    shared.taking_over.set(true);
    assert_eq!(ask(&shared, at, b"status\n"), "400 it learns what the process beside it knows\n");
    shared.taking_over.set(false);
    shared.stopping.set(true);
    assert_eq!(ask(&shared, at, b"status\n"), "400 it ends\n");
    assert_eq!(ask(&shared, at, b"\n"), "400 an empty call\n");
    assert_eq!(ask(&shared, at, b"stat\xff\n"), "400 no such call: stat\u{fffd}\n");
    assert_eq!(ask(&shared, at, &[b'x'; 513]), "400 the line is too long\n");
}

#[test]
fn a_crowd_that_says_nothing_or_half_a_call_keeps_nobody_out() {
    let (shared, at) = start();
    *shared.list_state.borrow_mut() = ListState::Current;
    let crowd: Vec<_> = (0..3 * CALLERS)
        .map(|i| {
            let mut stream = TcpStream::connect(at).unwrap();
            stream.write_all(&b"status"[..i % 7]).unwrap();
            stream
        })
        .collect();
    assert_eq!(ask(&shared, at, b"status\n"), "200 ready\n");
    drop(crowd);
}
