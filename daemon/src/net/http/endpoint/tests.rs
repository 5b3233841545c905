//! Calls over kept and new connections, with the test in the place of the endpoint and of the core.

use super::*;
use crate::core_actor::Permit;
use onyxrock::interface::ReceiverId;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

const PERMIT: Permit = Permit { epoch: 0, valid_until: Micros(u64::MAX), repeat: false, logged: true };

/// An endpoint's actor between an endpoint and a core that the test plays.
struct Harness {
    shared: Rc<SharedState>,
    core: Receiver<CoreMessage>,
    mailbox: Sender<ToEndpoint>,
    peer: TcpListener,
}

impl Harness {
    fn new() -> Harness {
        let (core, messages) = bounded(8);
        let shared = SharedState::for_test(core);
        let peer = TcpListener::bind("127.0.0.1:0").unwrap();
        let mailbox = start(&shared, peer.local_addr().unwrap(), 8);
        Harness { shared, core: messages, mailbox, peer }
    }
    /// Starts a call of a message that must not be repeated. It is cancelled when the returned sender is
    /// dropped.
    fn call(&self, id: &str, body: usize) -> Sender<()> {
        self.start_call(id, body, true)
    }
    fn start_call(&self, id: &str, body: usize, unsafe_to_repeat: bool) -> Sender<()> {
        self.start_call_with_timeout(id, body, unsafe_to_repeat, Micros(20_000_000))
    }
    fn start_call_with_timeout(
        &self, id: &str, body: usize, unsafe_to_repeat: bool, timeout: Micros,
    ) -> Sender<()> {
        let (cancel, cancelled) = bounded(1);
        let call = OutboundCall {
            endpoint: "e1".into(),
            number: 1,
            attempt: 0,
            receiver: ReceiverId(7),
            request_id: id.into(),
            idempotency_key: String::new(),
            frontend_note: String::new(),
            body: vec![b'x'; body].into(),
            started: self.shared.clock.now(),
            timeout,
            unsafe_to_repeat,
            probe_path: None,
            cancellation: Some(cancelled),
        };
        self.mailbox.try_send(ToEndpoint::Call(Box::new(call))).unwrap();
        cancel
    }
    fn next_message(&self) -> CoreMessage {
        async_io::block_on(self.shared.executor.run(self.core.recv())).unwrap()
    }
    /// Answers the actor's request for a permit; returns whether the call was partly written by then.
    fn answer_permit_request(&self, result: crate::core_actor::PermitResult) -> bool {
        let CoreMessage::RequestPermit { request, reply, .. } = self.next_message() else {
            panic!("no permit request")
        };
        reply.try_send(result).unwrap();
        request.partly_written
    }
    fn next_outcome(&self) -> AttemptOutcome {
        match self.next_message() {
            CoreMessage::AttemptEnded(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }
    fn accept(&self, received: &mut Vec<u8>, until: &str) -> TcpStream {
        // Lets the actor write the call that was permitted.
        async_io::block_on(self.shared.executor.run(future::yield_now()));
        let mut stream = self.peer.accept().unwrap().0;
        let mut byte = [0];
        while !String::from_utf8_lossy(received).contains(until) {
            stream.read_exact(&mut byte).unwrap();
            received.extend(byte);
        }
        stream
    }
}

#[test]
fn a_call_held_back_writes_nothing_and_leaves_its_connection_usable() {
    let harness = Harness::new();
    let _first = harness.call("first", 10);
    assert!(!harness.answer_permit_request(Err(Verdict::HeldBack)));
    assert_eq!(harness.next_outcome().verdict, Verdict::HeldBack);
    let _second = harness.call("second", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut received = Vec::new();
    let mut stream = harness.accept(&mut received, "\r\n\r\n");
    let received = String::from_utf8(received).unwrap();
    assert!(received.contains("second") && !received.contains("first"), "{received}");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::Delivered);
    assert_eq!(harness.shared.counters.outbound_opened.get(), 1);
}

/// The endpoint closes the connection between the permit and the first byte: the call has not run and must
/// not count as lost.
#[test]
fn a_close_that_crosses_the_permit_leaves_the_call_unsent() {
    let harness = Harness::new();
    let _first = harness.call("first", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut stream = harness.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::Delivered);
    let _second = harness.call("second", 0);
    let CoreMessage::RequestPermit { reply, .. } = harness.next_message() else {
        panic!("no permit request")
    };
    assert_eq!(harness.shared.counters.outbound_reused.get(), 1);
    drop(stream);
    reply.try_send(Ok(PERMIT)).unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::HeldBack, "over a kept connection");
    assert_eq!(harness.shared.counters.held_back_closed.get(), 1);
    let _third = harness.call("third", 0);
    let CoreMessage::RequestPermit { reply, .. } = harness.next_message() else {
        panic!("no permit request")
    };
    drop(harness.peer.accept().unwrap());
    reply.try_send(Ok(PERMIT)).unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::ConnectFailed, "over a new connection");
    assert_eq!(
        (harness.shared.counters.outbound_calls.get(), harness.shared.counters.outbound_open.get()),
        (1, 0)
    );
}

/// Guards against a response in pieces without end: the call ended seconds behind its time, and its message with it.
#[rstest::rstest]
#[case::interim_heads("HTTP/1.1 102 ", "X\r\n\r\nHTTP/1.1 102 ")]
#[case::body("HTTP/1.1 503 X\r\nContent-Length: 1000\r\n\r\n", "x")]
fn a_response_in_pieces_ends_its_call_in_time(#[case] first: &'static str, #[case] piece: &'static str) {
    const TIMEOUT: Micros = Micros(500_000);
    const ENDS_WITHIN: std::time::Duration = std::time::Duration::from_millis(300);
    const PIECE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
    let harness = Harness::new();
    let started = std::time::Instant::now();
    let _call = harness.start_call_with_timeout("pieces", 0, true, TIMEOUT);
    harness.answer_permit_request(Ok(PERMIT));
    let mut stream = harness.accept(&mut Vec::new(), "\r\n\r\n");
    // The rest of an interim head and the beginning of the next one come in one piece.
    let pieces = std::thread::spawn(move || {
        std::thread::sleep(PIECE_INTERVAL * 4);
        let mut sent = stream.write_all(first.as_bytes());
        while sent.is_ok() {
            std::thread::sleep(PIECE_INTERVAL);
            sent = stream.write_all(piece.as_bytes());
        }
    });
    let outcome = harness.next_outcome();
    assert_eq!(outcome.verdict, Verdict::Error, "it may have run");
    let late = started.elapsed().saturating_sub(std::time::Duration::from_micros(TIMEOUT.0));
    assert!(late < ENDS_WITHIN, "{late:?} behind its time");
    drop(harness);
    pieces.join().unwrap();
}

/// An endpoint that is gone refuses the connect; one that runs with a full connection table answers and
/// closes.
#[test]
fn a_full_connection_table_is_distinguished_from_a_refused_connect() {
    let harness = Harness::new();
    let _full = harness.call("full", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut stream = harness.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::ConnectionLimit);
    let Harness { shared, core, mailbox, peer } = harness;
    let address = peer.local_addr().unwrap();
    drop(peer);
    let harness = Harness { shared, core, mailbox, peer: TcpListener::bind("127.0.0.1:0").unwrap() };
    assert_ne!(harness.peer.local_addr().unwrap(), address);
    let _gone = harness.call("gone", 0);
    assert_eq!(harness.next_outcome().verdict, Verdict::ConnectFailed);
}

/// The verdict is known from the first line, and the connection is returned after the rest of the response.
/// If `CloseIdle` arrives in between, it has to be closed as well.
#[test]
fn a_connection_returned_after_close_idle_is_closed_too() {
    let harness = Harness::new();
    let _cancel = harness.call("m", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut stream = harness.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx").unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::Delivered);
    harness.mailbox.try_send(ToEndpoint::CloseIdle).unwrap();
    async_io::block_on(harness.shared.executor.run(future::yield_now()));
    stream.write_all(b"y").unwrap();
    let read = std::thread::spawn(move || stream.read(&mut [0]));
    let closed = harness.shared.executor.run(async {
        while !read.is_finished() {
            async_io::Timer::after(std::time::Duration::from_millis(1)).await;
        }
    });
    let timeout = async {
        async_io::Timer::after(std::time::Duration::from_secs(5)).await;
    };
    async_io::block_on(future::or(closed, timeout));
    assert_eq!(harness.shared.counters.outbound_open.get(), 0, "the connection is still open");
}

/// A call that exceeds the socket's buffer needs a second permit for its rest; closed before its last byte,
/// it has not run.
#[test]
fn a_partly_written_call_needs_a_new_permit_before_it_continues() {
    let harness = Harness::new();
    let body = 24 << 20;
    let _cancel = harness.call("big", body);
    assert!(!harness.answer_permit_request(Ok(PERMIT)));
    let peer = harness.peer.try_clone().unwrap();
    let read = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.accept().unwrap().0.read_to_end(&mut all).map(|_| all.len())
    });
    assert!(harness.answer_permit_request(Err(Verdict::HeldBack)), "the call is partly written");
    assert_eq!(harness.next_outcome().verdict, Verdict::HeldBack);
    assert!(read.join().unwrap().is_ok_and(|n| n < body));
}

/// The body trickles in, ends early or has an invalid length: the head's Retry-After applies nevertheless.
/// Whether the call has run is not known.
#[rstest::rstest]
#[case("Content-Length: 9\r\n\r\nx", false, Verdict::Error)]
#[case("Content-Length: 9\r\n\r\nx", true, Verdict::Error)]
#[case("Content-Length: -1\r\n\r\n", false, Verdict::Error)]
#[case("Retry-After: 0.2\r\nContent-Length: 9\r\n\r\n", false, Verdict::Error)]
fn retry_after_of_a_complete_head_applies_whatever_the_body_does(
    #[case] rest: &str, #[case] ends: bool, #[case] verdict: Verdict,
) {
    let harness = Harness::new();
    let _cancel = harness.call("m", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut stream = harness.accept(&mut Vec::new(), "\r\n\r\n");
    let before = harness.shared.clock.now();
    stream.write_all(format!("HTTP/1.1 429 X\r\nRetry-After: 2.5\r\n{rest}").as_bytes()).unwrap();
    if ends {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let CoreMessage::RetryAfter { receiver, until } = harness.next_message() else {
        panic!("no Retry-After although the head was complete")
    };
    assert_eq!((receiver, until >= before.plus(Micros(2_500_000))), (ReceiverId(7), true));
    let outcome = harness.next_outcome();
    assert_eq!((outcome.verdict, outcome.wait_until), (verdict, until));
}

#[test]
fn a_cancellation_that_crosses_a_refusal_keeps_its_retry_after() {
    let harness = Harness::new();
    let cancel = harness.call("m", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut stream = harness.accept(&mut Vec::new(), "\r\n\r\n");
    stream.write_all(b"HTTP/1.1 429 X\r\nRetry-After: 2.5\r\nContent-Length: 9\r\n\r\n").unwrap();
    drop(cancel);
    let mut reported_until = Micros(0);
    let outcome = loop {
        match harness.next_message() {
            CoreMessage::RetryAfter { until, .. } => reported_until = until,
            CoreMessage::AttemptEnded(outcome) => break outcome,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!((outcome.verdict, outcome.wait_until > Micros(0)), (Verdict::Cancelled, true));
    assert!(reported_until == Micros(0) || reported_until == outcome.wait_until);
}

const KEPT_200: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const KEPT_503: &str = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
const LAST_200: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
const LAST_503: &str = "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Reads one call without a body; returns its head.
fn read_call(stream: &mut TcpStream) -> String {
    let (mut received, mut byte) = (Vec::new(), [0]);
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        received.extend(byte);
    }
    String::from_utf8(received).unwrap()
}

impl Harness {
    /// Makes the first call on a connection, and answers it.
    fn answered_connection(&self, response: &str) -> TcpStream {
        let _first = self.call("first", 0);
        self.answer_permit_request(Ok(PERMIT));
        let mut stream = self.accept(&mut Vec::new(), "\r\n\r\n");
        stream.write_all(response.as_bytes()).unwrap();
        self.next_outcome();
        stream
    }
    /// Starts the second call on the connection, and reads it there.
    fn second_call(&self, stream: &mut TcpStream) -> Sender<()> {
        let second = self.call("second", 0);
        self.answer_permit_request(Ok(PERMIT));
        async_io::block_on(self.shared.executor.run(future::yield_now()));
        let head = read_call(stream);
        assert!(head.contains("second") && head.contains("Connection: close\r\n"), "{head}");
        second
    }
}

/// Guards against the copy of an earlier response that is taken for the response to the next call: a message
/// was lost, or it was sent again although it had run. The copy comes at any time while that call is out.
#[rstest::rstest]
#[case::a_refusal_behind_the_copy_of_a_delivery(KEPT_200, LAST_503, Verdict::Full(None))]
#[case::a_delivery_behind_the_copy_of_a_refusal(KEPT_503, LAST_200, Verdict::Delivered)]
fn the_copy_of_a_response_is_not_taken_for_the_next_one(
    #[case] first: &str, #[case] own: &str, #[case] verdict: Verdict, #[values(1, 3)] copies: usize,
    #[values(true, false)] in_one_write: bool,
) {
    let harness = Harness::new();
    let mut stream = harness.answered_connection(first);
    let _second = harness.second_call(&mut stream);
    if in_one_write {
        stream.write_all((first.repeat(copies) + own).as_bytes()).unwrap();
    } else {
        for _ in 0..copies {
            stream.write_all(first.as_bytes()).unwrap();
            let skipped = async { async_io::Timer::after(std::time::Duration::from_millis(20)).await };
            async_io::block_on(harness.shared.executor.run(skipped));
            assert!(harness.core.is_empty(), "the copy was taken for the response");
        }
        stream.write_all(own.as_bytes()).unwrap();
    }
    assert_eq!(harness.next_outcome().verdict, verdict);
    assert_eq!(harness.shared.counters.copies_skipped.get(), copies as u64);
    let _third = harness.call("third", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut received = Vec::new();
    harness.accept(&mut received, "\r\n\r\n");
    let received = String::from_utf8(received).unwrap();
    assert!(received.contains("third"), "a third call goes over a new connection: {received}");
}

/// An endpoint that ignores the request to close leaves unknown whether its response was a copy. Where no
/// endpoint has confirmed it yet, the call is not waited for, and further connections carry one call each.
#[test]
fn an_endpoint_that_never_confirms_the_close_gets_one_call_a_connection() {
    let harness = Harness::new();
    harness.shared.confirms_close.set(false);
    let stream = harness.answered_connection(KEPT_200);
    let _unsafe = harness.call("unsafe", 0);
    harness.answer_permit_request(Ok(PERMIT));
    let mut received = Vec::new();
    let mut other = harness.accept(&mut received, "\r\n\r\n");
    assert!(String::from_utf8(received).unwrap().contains("unsafe"), "it must not run unconfirmed");
    other.write_all(KEPT_200.as_bytes()).unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::Delivered);
    drop((stream, other));
    let mut stream = harness.answered_connection(KEPT_200);
    let _repeatable = harness.start_call("repeatable", 0, false);
    harness.answer_permit_request(Ok(PERMIT));
    async_io::block_on(harness.shared.executor.run(future::yield_now()));
    read_call(&mut stream);
    stream.write_all(KEPT_200.as_bytes()).unwrap();
    assert_eq!(harness.next_outcome().verdict, Verdict::Error, "it may have run");
    for _ in 0..2 {
        harness.answered_connection(KEPT_200);
    }
    assert_eq!(harness.shared.counters.outbound_reused.get(), 1);
}

/// The first response on a connection was well-formed, so a malformed one is no copy of it: its first line
/// counts as it does on a new connection. What did not arrive completely may be a part of a copy.
#[rstest::rstest]
#[case::length_that_does_not_fit("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", Verdict::Delivered)]
#[case::head_that_cannot_be_read("HTTP/1.1 200 OK\r\n\0: x\r\n\r\n", Verdict::Delivered)]
#[case::head_without_end("HTTP/1.1 200 OK\r\nContent-", Verdict::Error)]
#[case::noise("noise\r\n\r\n", Verdict::Error)]
fn a_malformed_second_response_is_no_copy(#[case] response: &str, #[case] verdict: Verdict) {
    let harness = Harness::new();
    let mut stream = harness.answered_connection(KEPT_200);
    let _second = harness.second_call(&mut stream);
    stream.write_all(response.as_bytes()).unwrap();
    assert_eq!(harness.next_outcome().verdict, verdict);
    assert_eq!(harness.shared.counters.copies_skipped.get(), 0);
    // The endpoint has not failed to confirm the end of a connection.
    let mut stream = harness.answered_connection(KEPT_200);
    let _fourth = harness.second_call(&mut stream);
}
