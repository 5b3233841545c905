//! Connections of clients, with a module that the test plays.

use super::*;
use std::io::{Read, Write};

fn door() -> (Async<TcpListener>, std::net::SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    (listener, at)
}

fn ask(stream: &mut TcpStream) {
    stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
}

async fn answer(stream: TcpStream) -> String {
    let mut all = String::new();
    let (told, tells) = bounded(1);
    std::thread::spawn(move || {
        let mut stream = stream;
        let _ = stream.read_to_string(&mut all);
        told.try_send(all)
    });
    tells.recv().await.unwrap()
}

/// The door shuts while they stand in the row, their requests written: each of them is answered.
#[test]
fn who_stands_in_the_row_when_the_door_shuts_is_answered() {
    let shared = SharedState::for_test(bounded(1).0);
    shared.stopping.set(true);
    let (listener, at) = door();
    let mut clients: Vec<_> = (0..8).map(|_| TcpStream::connect(at).unwrap()).collect();
    clients.iter_mut().for_each(ask);
    let (_, shut) = bounded(1);
    let all = async {
        listen(shared.clone(), listener, shut).await;
        for client in clients {
            assert!(answer(client).await.starts_with("HTTP/1.1 503"));
        }
    };
    async_io::block_on(shared.executor.run(all));
    assert_eq!(shared.counters.inbound_opened.get(), 8);
}

/// One that came just before is waited for; one that was answered is closed at once.
#[test]
fn a_new_connection_is_answered_though_the_process_ends() {
    let shared = SharedState::for_test(bounded(1).0);
    let (listener, at) = door();
    let mut client = TcpStream::connect(at).unwrap();
    let (_open, shut) = bounded(1);
    shared.executor.spawn(listen(shared.clone(), listener, shut)).detach();
    let all = async {
        // Its actor looks for a request, and the end has been told already.
        async_io::Timer::after(std::time::Duration::from_millis(100)).await;
        assert_eq!(shared.counters.inbound_open.get(), 1);
        ask(&mut client);
        assert!(answer(client).await.starts_with("HTTP/1.1 503"));
    };
    async_io::block_on(shared.executor.run(all));
}

/// It has closed its sending half, or has gone: nothing tells which.
#[rstest::rstest]
#[case::taken_back(true, "HTTP/1.1 503")]
#[case::has_begun(false, "HTTP/1.1 202")]
fn a_client_that_sends_no_more_gets_an_answer_that_is_true(#[case] back: bool, #[case] said: &str) {
    let (module, messages) = bounded(4);
    let shared = SharedState::for_test(module);
    let (listener, at) = door();
    let (_open, shut) = bounded(1);
    shared.executor.spawn(listen(shared.clone(), listener, shut)).detach();
    let mut client = TcpStream::connect(at).unwrap();
    client
        .write_all(
            b"POST /a HTTP/1.1\r\nX-Request-Id: 1\r\nX-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n",
        )
        .unwrap();
    let all = async {
        let Ok(CoreMessage::Submit(h)) = messages.recv().await else { panic!("no hand-in") };
        client.shutdown(std::net::Shutdown::Write).unwrap();
        h.reply.try_send(SubmitReply::Accepted(7)).unwrap();
        let Ok(CoreMessage::WithdrawIfUntried(7, reply)) = messages.recv().await else {
            panic!("no question")
        };
        reply.try_send(back).unwrap();
        let heard = answer(client).await;
        assert!(heard.starts_with(said), "{heard}");
    };
    async_io::block_on(shared.executor.run(all));
    assert_eq!(shared.counters.unheard.get(), u64::from(back));
    assert!(messages.try_recv().is_err());
}

/// The names of classes and tenants are any text; what goes on to an endpoint is printed.
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
fn the_class_is_what_path_and_header_say(
    #[case] path: &str, #[case] header: &str, #[case] class: Option<&str>,
) {
    let request = format!(
        "POST {path} HTTP/1.1\r\n{header}\r\nX-Request-Id: 1\r\nX-Deadline: 1\r\nX-Envelope: dest=1\r\n\r\n"
    );
    let got = match parse(request.as_bytes(), request.len(), Micros(0)) {
        Ok(Ask::HandIn(taken)) => Some(taken.class),
        Ok(other) => panic!("{other:?}"),
        Err(_) => None,
    };
    assert_eq!(got.as_deref(), class);
}
