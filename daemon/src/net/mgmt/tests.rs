//! The operators' interface over real sockets.

use super::*;
use std::io::{Read, Write};
use std::net::SocketAddr;

fn start() -> (Rc<SharedState>, SocketAddr) {
    let shared = SharedState::for_test(async_channel::bounded(1).0);
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    shared.executor.spawn(listen(shared.clone(), listener)).detach();
    (shared, address)
}

/// Sends bytes over a new connection; returns everything that is answered.
fn send_command(shared: &SharedState, address: SocketAddr, command: &[u8]) -> String {
    let command = command.to_vec();
    let client = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&command).unwrap();
        let mut answer = String::new();
        // Bytes that the server has not read cause a reset, which is not an error here.
        let _ = stream.read_to_string(&mut answer);
        answer
    });
    let client_finished = async {
        while !client.is_finished() {
            async_io::Timer::after(std::time::Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(shared.executor.run(client_finished));
    client.join().unwrap()
}

#[test]
fn status_reports_the_state_and_invalid_commands_are_refused() {
    let (shared, address) = start();
    assert_eq!(send_command(&shared, address, b"status\n"), "400 no list yet\n");
    *shared.list_state.borrow_mut() = ListState::Current;
    assert_eq!(
        send_command(&shared, address, b"status\r\nstatus\n"),
        "200 ready\n",
        "one command a connection"
    );
    *shared.list_state.borrow_mut() = ListState::Outdated("down\n200 x".into());
    assert_eq!(send_command(&shared, address, b"status\n"), "200 ready, with an old list: down 200 x\n");
    shared.taking_over.set(true);
    assert_eq!(
        send_command(&shared, address, b"status\n"),
        "400 it learns what the process beside it knows\n"
    );
    shared.taking_over.set(false);
    shared.stopping.set(true);
    assert_eq!(send_command(&shared, address, b"status\n"), "400 it ends\n");
    assert_eq!(send_command(&shared, address, b"\n"), "400 an empty call\n");
    assert_eq!(send_command(&shared, address, b"stat\xff\n"), "400 no such call: stat\u{fffd}\n");
    assert_eq!(send_command(&shared, address, &[b'x'; 513]), "400 the line is too long\n");
}

#[test]
fn silent_or_incomplete_connections_do_not_keep_operators_out() {
    let (shared, address) = start();
    *shared.list_state.borrow_mut() = ListState::Current;
    let unfinished: Vec<_> = (0..3 * MAX_CONNECTIONS)
        .map(|i| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(&b"status"[..i % 7]).unwrap();
            stream
        })
        .collect();
    assert_eq!(send_command(&shared, address, b"status\n"), "200 ready\n");
    drop(unfinished);
}

/// Guards against callers that connect faster than they are answered: each further connection closed an older
/// one whose command had not been read, and no other actor ran.
#[test]
fn each_of_many_waiting_connections_is_answered() {
    let shared = SharedState::for_test(async_channel::bounded(1).0);
    *shared.list_state.borrow_mut() = ListState::Current;
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let callers: Vec<_> = (0..4 * MAX_CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(b"status\n").unwrap();
            stream
        })
        .collect();
    shared.executor.spawn(listen(shared.clone(), listener)).detach();
    let answers = std::thread::spawn(move || {
        let read_answer = |mut stream: TcpStream| {
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            answer
        };
        callers.into_iter().map(read_answer).collect::<Vec<_>>()
    });
    let answered = async {
        while !answers.is_finished() {
            async_io::Timer::after(std::time::Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(shared.executor.run(answered));
    let answers = answers.join().unwrap();
    assert!(answers.iter().all(|answer| answer == "200 ready\n"), "{answers:?}");
}
