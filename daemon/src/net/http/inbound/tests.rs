//! Connections of clients, with the test in the place of the core.

use super::*;
use crate::net::tests::assert_others_get_turns;
use std::io::{Read, Write};

fn listen_on_loopback() -> (Async<TcpListener>, std::net::SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

fn send_request(stream: &mut TcpStream) {
    stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
}

async fn read_answer(stream: TcpStream) -> String {
    let mut all = String::new();
    let (sender, receiver) = bounded(1);
    std::thread::spawn(move || {
        let mut stream = stream;
        let _ = stream.read_to_string(&mut all);
        sender.try_send(all)
    });
    receiver.recv().await.unwrap()
}

/// The listener closes while connections with written requests wait in the accept queue: each of them must
/// be answered.
#[test]
fn connections_in_the_accept_queue_are_answered_at_shutdown() {
    let shared = SharedState::for_test(bounded(1).0);
    shared.stopping.set(true);
    let (listener, address) = listen_on_loopback();
    let mut clients: Vec<_> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
    clients.iter_mut().for_each(send_request);
    let (_, stop) = bounded(1);
    let all = async {
        listen(shared.clone(), listener, stop).await;
        for client in clients {
            assert!(read_answer(client).await.starts_with("HTTP/1.1 503"));
        }
    };
    async_io::block_on(shared.executor.run(all));
    assert_eq!(shared.counters.inbound_opened.get(), 8);
}

/// Guards against a connection that is closed before its client has written, although no other one needs its place.
#[test]
fn at_the_limit_connections_are_closed_only_for_others_that_wait() {
    let shared = SharedState::for_test(bounded(1).0);
    let (listener, address) = listen_on_loopback();
    let (_keep_open, stop) = bounded(1);
    let connect = || TcpStream::connect(address).unwrap();
    let _silent: Vec<_> = (0..shared.connection_limits.max_inbound()).map(|_| connect()).collect();
    shared.executor.spawn(listen(shared.clone(), listener, stop)).detach();
    let all = async {
        async_io::Timer::after(std::time::Duration::from_millis(200)).await;
        assert_eq!((shared.counters.inbound_open.get(), shared.counters.inbound_sent_off.get()), (10, 0));
        let mut client = connect();
        client.write_all(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
        assert!(read_answer(client).await.starts_with("HTTP/1.1 503"));
        assert!(shared.counters.inbound_sent_off.get() > 0);
    };
    async_io::block_on(shared.executor.run(all));
}

/// A connection that was opened just before the shutdown still gets an answer to its first request.
#[test]
fn a_new_connection_is_answered_during_shutdown() {
    let shared = SharedState::for_test(bounded(1).0);
    let (listener, address) = listen_on_loopback();
    let mut client = TcpStream::connect(address).unwrap();
    let (_keep_open, stop) = bounded(1);
    shared.executor.spawn(listen(shared.clone(), listener, stop)).detach();
    let all = async {
        // The connection's actor waits for a request when the shutdown has begun already.
        async_io::Timer::after(std::time::Duration::from_millis(100)).await;
        assert_eq!(shared.counters.inbound_open.get(), 1);
        send_request(&mut client);
        assert!(read_answer(client).await.starts_with("HTTP/1.1 503"));
    };
    async_io::block_on(shared.executor.run(all));
}

/// A client that has closed its sending side may still read or may be gone: the answer must be correct in
/// both cases.
#[rstest::rstest]
#[case::withdrawn(true, "HTTP/1.1 503")]
#[case::attempt_begun(false, "HTTP/1.1 202")]
fn a_client_that_closed_its_sending_side_gets_a_correct_answer(
    #[case] withdrawn: bool, #[case] expected: &str,
) {
    let (core, messages) = bounded(4);
    let shared = SharedState::for_test(core);
    let (listener, address) = listen_on_loopback();
    let (_keep_open, stop) = bounded(1);
    shared.executor.spawn(listen(shared.clone(), listener, stop)).detach();
    let mut client = TcpStream::connect(address).unwrap();
    client
        .write_all(
            b"POST /a HTTP/1.1\r\nX-Request-Id: 1\r\nX-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n",
        )
        .unwrap();
    let all = async {
        let Ok(CoreMessage::Submit(submission)) = messages.recv().await else { panic!("no submission") };
        client.shutdown(std::net::Shutdown::Write).unwrap();
        submission.reply.try_send(SubmitReply::Accepted(7)).unwrap();
        let Ok(CoreMessage::WithdrawIfUntried(7, reply)) = messages.recv().await else {
            panic!("no request to withdraw")
        };
        reply.try_send(withdrawn).unwrap();
        let response = read_answer(client).await;
        assert!(response.starts_with(expected), "{response}");
    };
    async_io::block_on(shared.executor.run(all));
    assert_eq!(shared.counters.unheard.get(), u64::from(withdrawn));
    assert!(messages.try_recv().is_err());
}

/// Names of classes and tenants may be any text; what is sent on to an endpoint must be printable.
#[rstest::rstest]
#[case("/status", "X-Class: status", Some("status"))]
#[case("/status/7?x=1", "X-Class: status", Some("status"))]
#[case("/status", "X-Tenant: b", Some("status"))]
#[case("/", "X-Class: status", Some("status"))]
#[case("/?x=1", "X-Class: status", Some("status"))]
#[case("/a/b.~1", "X-Class: a/b.~1", Some("a/b.~1"))]
#[case("/a%20b%2F%C3%A9", "X-Class: a b/é", Some("a b/é"))]
#[case("/a%20b", "X-Tenant: Åsa", Some("a b"))]
#[case("/what?", "X-Class: what?", Some("what?"))]
#[case("/50%", "X-Class: 50%", Some("50%"))]
#[case("/statu", "X-Class: status", None)]
#[case("/statuses", "X-Class: status", None)]
#[case("/booking", "X-Class: status", None)]
#[case("/status", "X-Class: sta\u{7f}tus", None)]
#[case("/status", "Idempotency-Key: é", None)]
fn class_header_must_match_the_path(#[case] path: &str, #[case] header: &str, #[case] class: Option<&str>) {
    let request = format!(
        "POST {path} HTTP/1.1\r\n{header}\r\nX-Request-Id: 1\r\nX-Deadline: 1\r\nX-Envelope: dest=1\r\n\r\n"
    );
    let parsed_class = match parse(request.clone().into_bytes(), request.len(), Micros(0)) {
        Ok(Request::Submit(message)) => Some(message.class),
        Ok(other) => panic!("{other:?}"),
        Err(_) => None,
    };
    assert_eq!(parsed_class.as_deref(), class);
}

/// Guards against a client that sends requests faster than they are answered: no other actor ran meanwhile,
/// so that no message was delivered or ended in time.
#[rstest::rstest]
#[case::ready(b"GET /ready HTTP/1.1\r\n\r\n")]
#[case::counters(b"GET /counters HTTP/1.1\r\n\r\n")]
fn other_actors_run_between_two_requests_of_a_client(#[case] request: &[u8]) {
    const REQUEST_COUNT: u64 = 50;
    let shared = SharedState::for_test(bounded(1).0);
    let (listener, address) = listen_on_loopback();
    let (_keep_open, stop) = bounded(1);
    let mut client = TcpStream::connect(address).unwrap();
    client.write_all(&request.repeat(REQUEST_COUNT as usize)).unwrap();
    let reader = client.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut &reader, &mut std::io::sink()));
    shared.executor.spawn(listen(shared.clone(), listener, stop)).detach();
    assert_others_get_turns(&shared, |shared| &shared.counters.requests_answered, REQUEST_COUNT);
}
