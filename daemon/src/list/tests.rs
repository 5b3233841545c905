//! Following the endpoint list, with the test in the place of discovery and of the core.

use super::*;
use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use crate::shared_waits::SharedDrain;
use async_channel::{Receiver, bounded};
use async_io::Timer;
use futures_lite::future;
use onyxrock_sharing::{ListRole, ListUpdate, ToList};
use rstest::rstest;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// How long a test waits for a request or a message.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// The actor that follows the list, between a discovery and a core that the test plays.
struct Harness {
    shared: Rc<SharedState>,
    messages: Receiver<CoreMessage>,
    requests: Sender<()>,
    address_changes: Sender<()>,
    list_messages: Sender<ToList>,
}

/// Parameters without a list in use.
fn params_without_list() -> DiscoveryParams {
    let (names, bounds) = (NameIndex::default(), onyxrock_config::idle::ListLimits::default());
    let (large_fleet, lists_pushed, watch_wait) = (false, false, Micros(10_000));
    DiscoveryParams { names, generation: None, watch_wait, large_fleet, lists_pushed, limits: bounds }
}

impl Harness {
    fn new(address: SocketAddr) -> Harness {
        Harness::waiting(address, Micros(10_000))
    }
    fn waiting(address: SocketAddr, watch_wait: Micros) -> Harness {
        Harness::with(address, DiscoveryParams { watch_wait, ..params_without_list() })
    }
    fn with(address: SocketAddr, discovery: DiscoveryParams) -> Harness {
        let (core, messages) = bounded(64);
        let shared = SharedState::for_test(core);
        shared.discovery.set(address);
        let ((requests, list_requests), (address_changes, moves), (list_messages, list_message_inbox)) =
            (bounded(4), bounded(1), bounded(4));
        shared
            .executor
            .spawn(run(shared.clone(), discovery, list_requests, moves, list_message_inbox))
            .detach();
        // A start requests the list twice, once itself and once through the core: one response serves both.
        (0..2).for_each(|_| requests.try_send(()).unwrap());
        Harness { shared, messages, requests, address_changes, list_messages }
    }
    /// The next connection to discovery and the request on it; `None` if none arrives in time.
    fn next_request(&self, discovery: &TcpListener) -> Option<(TcpStream, String)> {
        let (accepted, request) = bounded(1);
        let discovery = discovery.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut stream = discovery.accept().unwrap().0;
            let request = read(&mut stream);
            accepted.try_send((stream, request))
        });
        self.within(async { request.recv().await.ok() })
    }
    /// Runs the actor until the event or a timeout.
    fn within<T>(&self, event: impl Future<Output = Option<T>>) -> Option<T> {
        let timeout = async {
            Timer::after(EVENT_TIMEOUT).await;
            None
        };
        async_io::block_on(self.shared.executor.run(future::or(event, timeout)))
    }
    /// Generation of the next list that the core receives; `None` if the core is told that the call failed.
    fn next_generation(&self) -> Option<u64> {
        self.within(async {
            loop {
                match self.messages.recv().await.ok()? {
                    CoreMessage::EndpointListPart(ListPart::Sweep(done)) => done.try_send(true).unwrap(),
                    CoreMessage::EndpointListPart(ListPart::End(generation)) => return Some(generation),
                    CoreMessage::ListFailed { .. } => return None,
                    _ => {}
                }
            }
        })
    }
}

/// Reads the head of a request.
fn read(stream: &mut TcpStream) -> String {
    let (mut received, mut byte) = (String::new(), [0]);
    while !received.ends_with("\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        received.push(byte[0].into());
    }
    received
}

/// Answers with a complete list that is empty.
fn send_list(stream: &mut TcpStream, generation: u64) {
    let body = format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[]}}");
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
}

/// A listener in the place of discovery.
fn discovery() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Changes that a silent watch misses count as known half a second later: the watch is opened again from
/// the current generation, without a request of the core. After a second silence the core decides when to
/// call again.
#[rstest]
#[case::no_head("")]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-")]
#[case::half_a_body("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"generation\":8")]
fn a_silent_watch_is_opened_again_at_once_and_only_once(#[case] partial_response: &str) {
    let (listener, address) = discovery();
    let harness = Harness::new(address);
    let (mut stream, request) = harness.next_request(&listener).unwrap();
    assert!(!request.contains("since"), "{request}");
    send_list(&mut stream, 7);
    assert_eq!(harness.next_generation(), Some(7));
    async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(100))));
    assert!(read(&mut stream).contains("since=7"));
    stream.write_all(partial_response.as_bytes()).unwrap();
    let (second, request) = harness.next_request(&listener).expect("the watch is opened again");
    assert!(request.contains("since=7"), "{request}");
    assert_eq!(harness.next_generation(), None, "the second watch is silent too");
    assert!(harness.next_request(&listener).is_none(), "the core decides when to call again");
    drop((stream, second));
}

/// Each piece arrives in time, but the list would never be complete.
#[test]
fn a_list_that_trickles_in_counts_as_silence() {
    let (listener, address) = discovery();
    let harness = Harness::new(address);
    let (mut stream, _) = harness.next_request(&listener).unwrap();
    std::thread::spawn(move || {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
        while stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(harness.next_request(&listener).is_some(), "the list is requested again");
}

/// A connect is not part of a watch's wait: discovery has not received the call.
#[test]
fn a_connect_without_response_fails_before_the_wait_ends() {
    let listening = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&listening, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&listening, 0).unwrap();
    let listener = TcpListener::from(listening);
    let address = listener.local_addr().unwrap();
    // The accept queue is full: a further connect gets no response.
    let _first = TcpStream::connect(address).unwrap();
    let _second = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let harness = Harness::waiting(address, Micros(20_000_000));
    let failed = harness.within(async { harness.messages.recv().await.ok() });
    assert!(
        matches!(failed, Some(CoreMessage::ListFailed { reason, .. }) if reason == "no connection in time")
    );
}

/// Discovery has moved before the core requests the list again. The new service is asked for the complete
/// list, since generations of the old one mean nothing to it.
#[test]
fn after_a_move_of_discovery_the_complete_list_is_requested() {
    let ((old, address), (new, new_address)) = (discovery(), discovery());
    let harness = Harness::new(address);
    let (mut stream, _) = harness.next_request(&old).unwrap();
    send_list(&mut stream, 41);
    assert_eq!(harness.next_generation(), Some(41));
    drop((stream, old));
    assert_eq!(harness.next_generation(), None);
    harness.shared.discovery.set(new_address);
    harness.address_changes.try_send(()).unwrap();
    let (mut stream, request) = harness.next_request(&new).unwrap();
    assert!(!request.contains("since"), "{request}");
    send_list(&mut stream, 3);
    assert_eq!(harness.next_generation(), Some(3));
    drop(harness.requests);
}

/// A silent watch looks like one without changes until its wait is over. So the first call after a failure
/// does not wait, and the next one waits only once that call was answered.
#[test]
fn the_first_call_after_a_failure_does_not_wait() {
    let (listener, address) = discovery();
    let harness = Harness::waiting(address, Micros(20_000_000));
    let (mut stream, _) = harness.next_request(&listener).unwrap();
    send_list(&mut stream, 7);
    assert_eq!(harness.next_generation(), Some(7));
    async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(100))));
    assert!(read(&mut stream).contains("since=7&timeout_ms=20000"), "the call waits for changes");
    drop(stream);
    assert_eq!(harness.next_generation(), None);
    harness.requests.try_send(()).unwrap();
    let (_silent, request) = harness.next_request(&listener).unwrap();
    assert!(request.contains("since=7&timeout_ms=0"), "{request}");
    // A silent call is repeated long before a wait would have ended.
    let (mut stream, request) = harness.next_request(&listener).expect("a silent call is repeated soon");
    assert!(request.contains("since=7&timeout_ms=0"), "{request}");
    send_list(&mut stream, 7);
    assert_eq!(harness.next_generation(), Some(7));
    async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(100))));
    assert!(read(&mut stream).contains("since=7&timeout_ms=20000"));
}

/// A start with a cached list in a fleet whose calls add up: its first call waits for changes, except where
/// lists are pushed, since such a forwarder sends no messages until it has received the first list.
#[rstest]
#[case::without_pushes(false, "since=7&timeout_ms=20000")]
#[case::lists_pushed(true, "since=7&timeout_ms=0")]
fn the_first_call_in_a_large_fleet_waits_unless_lists_are_pushed(
    #[case] lists_pushed: bool, #[case] query: &str,
) {
    let (listener, address) = discovery();
    let watch_wait = Micros(20_000_000);
    let params = DiscoveryParams {
        generation: Some(7),
        large_fleet: true,
        lists_pushed,
        watch_wait,
        ..params_without_list()
    };
    let harness = Harness::with(address, params);
    let (_stream, request) = harness.next_request(&listener).unwrap();
    assert!(request.contains(query), "{request}");
}

/// Guards against the copy of an earlier response that is taken for the current list: endpoints that drain
/// would be called again.
#[test]
fn an_older_complete_list_over_a_kept_connection_is_not_used() {
    let (listener, address) = discovery();
    let harness = Harness::waiting(address, Micros(20_000_000));
    let (mut stream, _) = harness.next_request(&listener).unwrap();
    for generation in [7, 9] {
        send_list(&mut stream, generation);
        assert_eq!(harness.next_generation(), Some(generation));
        async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(100))));
        assert!(read(&mut stream).contains(&format!("since={generation}")));
    }
    send_list(&mut stream, 7);
    let (mut second, request) = harness.next_request(&listener).expect("the list is requested again");
    assert!(request.contains("since=9"), "{request}");
    assert!(harness.messages.is_empty(), "the core received the older list");
    // Over a new connection it is the list of a discovery that has been restarted.
    send_list(&mut second, 3);
    assert_eq!(harness.next_generation(), Some(3));
}

/// An update of the holder of the list duty, whose discovery reaches each endpoint at port 9.
fn update(previous_generation: u64, generation: u64, entries: &[(&str, &str)]) -> ToList {
    let entries: Vec<_> = entries
        .iter()
        .map(|(name, state)| {
            format!(r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:9","lifecycle":"{state}","cell":57}}"#)
        })
        .collect();
    let body = format!(r#"{{"generation":{generation},"instances":[{}]}}"#, entries.join(","));
    ToList::Update(ListUpdate { epoch: 1, previous_generation, generation, body: body.into_bytes() })
}

/// A member that hears from the holder of the list duty and has generation 7.
fn following_member(listener: &TcpListener, address: SocketAddr) -> Harness {
    let harness = Harness::waiting(address, Micros(20_000_000));
    let (mut stream, _) = harness.next_request(listener).unwrap();
    send_list(&mut stream, 7);
    assert_eq!(harness.next_generation(), Some(7));
    harness.list_messages.try_send(ToList::Role(ListRole::Follower)).unwrap();
    async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(50))));
    harness
}

/// Guards against calls to an address that another member's discovery named: it may belong to an endpoint of another
/// destination here. Only drains are taken from another member, at once; its own discovery is asked for the rest.
#[test]
fn addresses_come_from_the_own_discovery_alone() {
    let (listener, address) = discovery();
    let harness = following_member(&listener, address);
    harness.list_messages.try_send(update(7, 8, &[("new", "Ready"), ("old", "Terminating")])).unwrap();
    let message = harness.within(async { harness.messages.recv().await.ok() });
    let Some(CoreMessage::DrainsTold(drains)) = message else { panic!("{message:?}") };
    assert_eq!(drains, [SharedDrain { endpoint: "old".into(), generation: 8 }]);
    let (mut stream, request) = harness.next_request(&listener).expect("the own discovery is asked");
    assert!(request.contains("since=7"), "{request}");
    send_list(&mut stream, 8);
    assert_eq!(harness.next_generation(), Some(8));
}

/// Guards against a member that never gets its answer, because updates come faster than its discovery answers.
#[test]
fn updates_do_not_drop_a_call_in_progress() {
    let (listener, address) = discovery();
    let harness = following_member(&listener, address);
    harness.list_messages.try_send(update(7, 8, &[])).unwrap();
    let (mut stream, request) = harness.next_request(&listener).unwrap();
    assert!(request.contains("since=7"), "{request}");
    for generation in [9, 10] {
        harness.list_messages.try_send(update(generation - 1, generation, &[])).unwrap();
        async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(50))));
    }
    // Discovery is behind the holder's at first.
    for generation in [9, 10] {
        send_list(&mut stream, generation);
        assert_eq!(harness.next_generation(), Some(generation));
        async_io::block_on(harness.shared.executor.run(Timer::after(Duration::from_millis(100))));
        if generation < 10 {
            assert!(read(&mut stream).contains("since=9&timeout_ms=20000"), "the call waits for changes");
        }
    }
    // Nothing is left to ask for.
    stream.set_nonblocking(true).unwrap();
    assert!(stream.read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
}
