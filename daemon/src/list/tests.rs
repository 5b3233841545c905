//! The list is followed, shown with a discovery service and a module that the test plays.

use super::*;
use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use async_channel::{Receiver, bounded};
use async_io::Timer;
use futures_lite::future;
use onyxrock_sharing::ToList;
use rstest::rstest;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

const SOON: Duration = Duration::from_millis(2500);

/// The list's actor between a discovery and a module that the test plays.
struct Rig {
    shared: Rc<SharedState>,
    messages: Receiver<CoreMessage>,
    wishes: Sender<()>,
    moves: Sender<()>,
    _roles: Sender<ToList>,
}

/// A discovery of which nothing is held.
fn quiet() -> DiscoveryParams {
    let (names, bounds) = (NameIndex::default(), onyxrock_config::idle::ListLimits::default());
    let (shared_by_many, pushed, wait) = (false, false, Micros(10_000));
    DiscoveryParams {
        names,
        generation: None,
        watch_wait: wait,
        large_fleet: shared_by_many,
        lists_pushed: pushed,
        bounds,
    }
}

impl Rig {
    fn new(at: SocketAddr) -> Rig {
        Rig::waiting(at, Micros(10_000))
    }
    fn waiting(at: SocketAddr, wait: Micros) -> Rig {
        Rig::with(at, DiscoveryParams { watch_wait: wait, ..quiet() })
    }
    fn with(at: SocketAddr, discovery: DiscoveryParams) -> Rig {
        let (module, messages) = bounded(64);
        let shared = SharedState::for_test(module);
        shared.discovery.set(at);
        let ((wishes, wished), (moves, moved), (_roles, roles)) = (bounded(4), bounded(1), bounded(4));
        shared.executor.spawn(run(shared.clone(), discovery, wished, moved, roles)).detach();
        // That of a start, and the module's own: one answer is what both want.
        (0..2).for_each(|_| wishes.try_send(()).unwrap());
        Rig { shared, messages, wishes, moves, _roles }
    }
    /// The next connection that comes, and what is asked over it. None if nothing comes.
    fn asked(&self, discovery: &TcpListener) -> Option<(TcpStream, String)> {
        let (asked, question) = bounded(1);
        let discovery = discovery.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut stream = discovery.accept().unwrap().0;
            let question = read(&mut stream);
            asked.try_send((stream, question))
        });
        self.within(async { question.recv().await.ok() })
    }
    fn within<T>(&self, what: impl Future<Output = Option<T>>) -> Option<T> {
        let late = async {
            Timer::after(SOON).await;
            None
        };
        async_io::block_on(self.shared.executor.run(future::or(what, late)))
    }
    /// The version of the list that the module gets, or none where it hears that there is none.
    fn heard(&self) -> Option<u64> {
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

fn read(stream: &mut TcpStream) -> String {
    let (mut said, mut byte) = (String::new(), [0]);
    while !said.ends_with("\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        said.push(byte[0].into());
    }
    said
}

fn tell(stream: &mut TcpStream, generation: u64) {
    let body = format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[]}}");
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
}

fn discovery() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// What it misses counts as told half a second later: nobody waits for the module's turn, and it is asked for what has
/// changed since. Silent again, it is the module that says when.
#[rstest]
#[case::no_head("")]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-")]
#[case::half_a_body("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"generation\":8")]
fn a_watch_that_falls_silent_is_opened_anew(#[case] said: &str) {
    let (listener, at) = discovery();
    let rig = Rig::new(at);
    let (mut stream, question) = rig.asked(&listener).unwrap();
    assert!(!question.contains("since"), "{question}");
    tell(&mut stream, 7);
    assert_eq!(rig.heard(), Some(7));
    async_io::block_on(rig.shared.executor.run(Timer::after(Duration::from_millis(100))));
    assert!(read(&mut stream).contains("since=7"));
    stream.write_all(said.as_bytes()).unwrap();
    let (second, question) = rig.asked(&listener).expect("it is opened anew");
    assert!(question.contains("since=7"), "{question}");
    assert_eq!(rig.heard(), None, "that one is silent too");
    assert!(rig.asked(&listener).is_none(), "the module says when");
    drop((stream, second));
}

/// Each piece comes in time, and the whole never would.
#[test]
fn a_list_that_comes_by_drops_is_as_good_as_silence() {
    let (listener, at) = discovery();
    let rig = Rig::new(at);
    let (mut stream, _) = rig.asked(&listener).unwrap();
    std::thread::spawn(move || {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
        while stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(rig.asked(&listener).is_some(), "it is asked for anew");
}

/// It was not a call that may wait: nobody has heard it.
#[test]
fn a_connection_that_never_comes_up_does_not_use_the_wait() {
    let held = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&held, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&held, 0).unwrap();
    let listener = TcpListener::from(held);
    let at = listener.local_addr().unwrap();
    // The row of those that wait to be accepted is full: what comes now is not answered.
    let _first = TcpStream::connect(at).unwrap();
    let _second = TcpStream::connect_timeout(&at, Duration::from_millis(200));
    let rig = Rig::waiting(at, Micros(20_000_000));
    let failed = rig.within(async { rig.messages.recv().await.ok() });
    assert!(
        matches!(failed, Some(CoreMessage::ListFailed { reason: why, .. }) if why == "no connection in time")
    );
}

/// The old discovery is gone, the module has not wished yet, and there is a new one: whole, for versions of the old
/// one mean nothing to it.
#[test]
fn where_discovery_moves_after_a_failure_the_whole_list_is_asked_for() {
    let ((old, at), (new, there)) = (discovery(), discovery());
    let rig = Rig::new(at);
    let (mut stream, _) = rig.asked(&old).unwrap();
    tell(&mut stream, 41);
    assert_eq!(rig.heard(), Some(41));
    drop((stream, old));
    assert_eq!(rig.heard(), None);
    rig.shared.discovery.set(there);
    rig.moves.try_send(()).unwrap();
    let (mut stream, question) = rig.asked(&new).unwrap();
    assert!(!question.contains("since"), "{question}");
    tell(&mut stream, 3);
    assert_eq!(rig.heard(), Some(3));
    drop(rig.wishes);
}

/// A watch that falls silent looks like one without news until its wait is over: what comes behind a failure asks for what
/// there is now, and waits only once that was answered.
#[test]
fn behind_a_failure_the_first_call_does_not_wait() {
    let (listener, at) = discovery();
    let rig = Rig::waiting(at, Micros(20_000_000));
    let (mut stream, _) = rig.asked(&listener).unwrap();
    tell(&mut stream, 7);
    assert_eq!(rig.heard(), Some(7));
    async_io::block_on(rig.shared.executor.run(Timer::after(Duration::from_millis(100))));
    assert!(read(&mut stream).contains("since=7&timeout_ms=20000"), "it waits for news");
    drop(stream);
    assert_eq!(rig.heard(), None);
    rig.wishes.try_send(()).unwrap();
    let (_silent, question) = rig.asked(&listener).unwrap();
    assert!(question.contains("since=7&timeout_ms=0"), "{question}");
    // Silent, it is asked again long before a wait would have ended.
    let (mut stream, question) = rig.asked(&listener).expect("silence shows soon");
    assert!(question.contains("since=7&timeout_ms=0"), "{question}");
    tell(&mut stream, 7);
    assert_eq!(rig.heard(), Some(7));
    async_io::block_on(rig.shared.executor.run(Timer::after(Duration::from_millis(100))));
    assert!(read(&mut stream).contains("since=7&timeout_ms=20000"));
}

/// A start that holds an old list, in a fleet whose calls add up: it waits for news, but where lists are pushed, since it sends
/// nothing until it is told the first one.
#[rstest]
#[case::asked_for(false, "since=7&timeout_ms=20000")]
#[case::pushed(true, "since=7&timeout_ms=0")]
fn the_first_call_of_a_start_in_a_large_fleet(#[case] pushed: bool, #[case] asks: &str) {
    let (listener, at) = discovery();
    let wait = Micros(20_000_000);
    let held = DiscoveryParams {
        generation: Some(7),
        large_fleet: true,
        lists_pushed: pushed,
        watch_wait: wait,
        ..quiet()
    };
    let rig = Rig::with(at, held);
    let (_stream, question) = rig.asked(&listener).unwrap();
    assert!(question.contains(asks), "{question}");
}
