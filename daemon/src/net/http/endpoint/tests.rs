//! Calls over kept and new connections, with a peer and a module that the test plays.

use super::*;
use crate::core_actor::Permit;
use onyxrock::interface::ReceiverId;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

const PERMIT: Permit = Permit { epoch: 0, valid_until: Micros(u64::MAX), repeat: false, logged: true };

/// An endpoint's actor between a peer and a module that the test plays.
struct Rig {
    shared: Rc<SharedState>,
    module: Receiver<CoreMessage>,
    mailbox: Sender<ToEndpoint>,
    peer: TcpListener,
}

impl Rig {
    fn new() -> Rig {
        let (module, messages) = bounded(8);
        let shared = SharedState::for_test(module);
        let peer = TcpListener::bind("127.0.0.1:0").unwrap();
        let mailbox = start(&shared, peer.local_addr().unwrap(), 8);
        Rig { shared, module: messages, mailbox, peer }
    }
    /// Has a call made; it ends when what is returned is dropped.
    fn call(&self, id: &str, body: usize) -> Sender<()> {
        let (wanted, called_off) = bounded(1);
        let call = OutboundCall {
            endpoint: "e1".into(),
            number: 1,
            attempt: 0,
            receiver: ReceiverId(7),
            id: id.into(),
            idempotency_key: String::new(),
            frontend_note: String::new(),
            body: vec![b'x'; body],
            started: self.shared.clock.now(),
            timeout: Micros(20_000_000),
            unsafe_to_repeat: true,
            probe_path: None,
            cancellation: Some(called_off),
        };
        self.mailbox.try_send(ToEndpoint::Call(Box::new(call))).unwrap();
        wanted
    }
    fn message(&self) -> CoreMessage {
        async_io::block_on(self.shared.executor.run(self.module.recv())).unwrap()
    }
    /// The actor asks whether its call may go.
    fn gate(&self, says: crate::core_actor::PermitResult) -> bool {
        let CoreMessage::RequestPermit { request: asks, reply, .. } = self.message() else {
            panic!("no question")
        };
        reply.try_send(says).unwrap();
        asks.partly_written
    }
    fn answered(&self) -> AttemptOutcome {
        match self.message() {
            CoreMessage::AttemptEnded(a) => a,
            other => panic!("{other:?}"),
        }
    }
    fn accept(&self, said: &mut Vec<u8>, until: &str) -> TcpStream {
        // What was allowed is written.
        async_io::block_on(self.shared.executor.run(future::yield_now()));
        let mut stream = self.peer.accept().unwrap().0;
        let mut byte = [0];
        while !String::from_utf8_lossy(said).contains(until) {
            stream.read_exact(&mut byte).unwrap();
            said.extend(byte);
        }
        stream
    }
}

#[test]
fn of_a_call_held_back_no_byte_leaves_and_its_connection_takes_the_next() {
    let rig = Rig::new();
    let _first = rig.call("first", 10);
    assert!(!rig.gate(Err(Verdict::HeldBack)));
    assert_eq!(rig.answered().verdict, Verdict::HeldBack);
    let _second = rig.call("second", 0);
    rig.gate(Ok(PERMIT));
    let mut said = Vec::new();
    let mut stream = rig.accept(&mut said, "\r\n\r\n");
    let said = String::from_utf8(said).unwrap();
    assert!(said.contains("second") && !said.contains("first"), "{said}");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(rig.answered().verdict, Verdict::Delivered);
    assert_eq!(rig.shared.counters.outbound_opened.get(), 1);
}

/// The other side closes between the module's yes and the first byte: nothing has run, and nothing is lost.
#[test]
fn a_close_that_crosses_the_yes_leaves_the_call_unsent() {
    let rig = Rig::new();
    let _first = rig.call("first", 0);
    rig.gate(Ok(PERMIT));
    let mut stream = rig.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(rig.answered().verdict, Verdict::Delivered);
    let _second = rig.call("second", 0);
    let CoreMessage::RequestPermit { reply, .. } = rig.message() else { panic!("no question") };
    assert_eq!(rig.shared.counters.outbound_reused.get(), 1);
    drop(stream);
    reply.try_send(Ok(PERMIT)).unwrap();
    assert_eq!(rig.answered().verdict, Verdict::HeldBack, "a kept one");
    assert_eq!(rig.shared.counters.held_back_closed.get(), 1);
    let _third = rig.call("third", 0);
    let CoreMessage::RequestPermit { reply, .. } = rig.message() else { panic!("no question") };
    drop(rig.peer.accept().unwrap());
    reply.try_send(Ok(PERMIT)).unwrap();
    assert_eq!(rig.answered().verdict, Verdict::ConnectFailed, "a new one");
    assert_eq!((rig.shared.counters.outbound_calls.get(), rig.shared.counters.outbound_open.get()), (1, 0));
}

/// An endpoint that is gone refuses the connect; one that runs, with a full connection table, answers and closes.
#[test]
fn a_full_connection_table_is_told_apart_from_a_refused_connect() {
    let rig = Rig::new();
    let _full = rig.call("full", 0);
    rig.gate(Ok(PERMIT));
    let mut stream = rig.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(rig.answered().verdict, Verdict::ConnectionLimit);
    let Rig { shared, module, mailbox, peer } = rig;
    let address = peer.local_addr().unwrap();
    drop(peer);
    let rig = Rig { shared, module, mailbox, peer: TcpListener::bind("127.0.0.1:0").unwrap() };
    assert_ne!(rig.peer.local_addr().unwrap(), address);
    let _gone = rig.call("gone", 0);
    assert_eq!(rig.answered().verdict, Verdict::ConnectFailed);
}

/// The delivery is known from the first line; the connection comes back with the rest of the answer, behind the word that
/// idle ones are given back.
#[test]
fn a_connection_that_comes_back_late_is_given_back_too() {
    let rig = Rig::new();
    let _wanted = rig.call("m", 0);
    rig.gate(Ok(PERMIT));
    let mut stream = rig.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx").unwrap();
    assert_eq!(rig.answered().verdict, Verdict::Delivered);
    rig.mailbox.try_send(ToEndpoint::CloseIdle).unwrap();
    async_io::block_on(rig.shared.executor.run(future::yield_now()));
    stream.write_all(b"y").unwrap();
    let read = std::thread::spawn(move || stream.read(&mut [0]));
    let closed = rig.shared.executor.run(async {
        while !read.is_finished() {
            async_io::Timer::after(std::time::Duration::from_millis(1)).await;
        }
    });
    let timeout = async {
        async_io::Timer::after(std::time::Duration::from_secs(5)).await;
    };
    async_io::block_on(future::or(closed, timeout));
    assert_eq!(rig.shared.counters.outbound_open.get(), 0, "it is still open");
}

/// More than the system takes at once: its rest asks again, and closed before its last byte it never ran.
#[test]
fn a_call_that_waits_for_room_asks_again_before_it_goes_on() {
    let rig = Rig::new();
    let body = 24 << 20;
    let _wanted = rig.call("big", body);
    assert!(!rig.gate(Ok(PERMIT)));
    let peer = rig.peer.try_clone().unwrap();
    let read = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.accept().unwrap().0.read_to_end(&mut all).map(|_| all.len())
    });
    assert!(rig.gate(Err(Verdict::HeldBack)), "some of it has gone");
    assert_eq!(rig.answered().verdict, Verdict::HeldBack);
    assert!(read.join().unwrap().is_ok_and(|n| n < body));
}

/// Its body drips, ends early, or cannot be framed: what its head told holds. Whether it ran is not known.
#[rstest::rstest]
#[case("Content-Length: 9\r\n\r\nx", false, Verdict::Error)]
#[case("Content-Length: 9\r\n\r\nx", true, Verdict::Error)]
#[case("Content-Length: -1\r\n\r\n", false, Verdict::Error)]
#[case("Retry-After: 0.2\r\nContent-Length: 9\r\n\r\n", false, Verdict::Error)]
fn a_whole_head_tells_its_wait(#[case] rest: &str, #[case] ends: bool, #[case] verdict: Verdict) {
    let rig = Rig::new();
    let _wanted = rig.call("m", 0);
    rig.gate(Ok(PERMIT));
    let mut stream = rig.accept(&mut Vec::new(), "\r\n\r\n");
    let before = rig.shared.clock.now();
    stream.write_all(format!("HTTP/1.1 429 X\r\nRetry-After: 2.5\r\n{rest}").as_bytes()).unwrap();
    if ends {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let CoreMessage::RetryAfter { receiver: to, until } = rig.message() else { panic!("the head was whole") };
    assert_eq!((to, until >= before.plus(Micros(2_500_000))), (ReceiverId(7), true));
    let a = rig.answered();
    assert_eq!((a.verdict, a.wait_until), (verdict, until));
}

#[test]
fn a_call_off_that_crosses_a_refusal_keeps_its_wait() {
    let rig = Rig::new();
    let wanted = rig.call("m", 0);
    rig.gate(Ok(PERMIT));
    let mut stream = rig.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 429 X\r\nRetry-After: 2.5\r\nContent-Length: 9\r\n\r\n").unwrap();
    drop(wanted);
    let mut told = Micros(0);
    let a = loop {
        match rig.message() {
            CoreMessage::RetryAfter { until, .. } => told = until,
            CoreMessage::AttemptEnded(a) => break a,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!((a.verdict, a.wait_until > Micros(0)), (Verdict::Cancelled, true));
    assert!(told == Micros(0) || told == a.wait_until);
}
