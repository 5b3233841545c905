//! The list: follows discovery for as long as that works, and says when it does not.

pub mod dns;
pub mod zone;

use crate::clock::Clock;
use crate::module::ToModule;
use crate::net::Shared;
use crate::net::http::client::{Conn, Lost};
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use futures_lite::future;
use onyxrock::core::Names;
use onyxrock::interface::Micros;
use onyxrock_config::idle::Bounds;
use onyxrock_config::list::{self, Listed, Reader};
use onyxrock_roster::{Block, Endpoint, Refused, Staged};
use onyxrock_sharing::{LIST_NEWS_MOST, ListNews, Role, ToList, ToPeers};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A list comes in pieces; so much of it is read at once.
const PIECE: usize = 64 * 1024;
/// Records that it looks at in one turn for what a whole list no longer names.
pub const SWEEP: usize = 2048;
/// What a call may take beyond the wait that it asks for.
const GRACE: Micros = Micros(1_500_000);
/// A watch goes on if the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(50);

pub struct Discovery {
    pub names: Names,
    /// The version that is held; none before the first list. Versions begin at 0, which is not the same. The list
    /// that a start finds in the file may have been told by another discovery: its version means nothing here.
    pub generation: Option<u64>,
    /// How long a call may wait for news. Shorter than discovery would allow: on a connection that has gone
    /// silent nothing else tells that news is missed.
    pub wait: Micros,
    pub bounds: Bounds,
}

/// A list as it was read, and its text where that is short enough to be told to others.
struct Answer {
    generation: u64,
    whole: bool,
    entries: Staged,
    text: Vec<u8>,
}

enum Failed {
    /// There was no answer, or none that can be read.
    Lost(String),
    /// The call was made, and nothing or no end of its answer came: a watch that has fallen silent.
    Silent(String),
    /// It is longer than may be held.
    TooLong(String),
}

impl From<String> for Failed {
    fn from(why: String) -> Failed {
        Failed::Lost(why)
    }
}

/// One part of a list that is too long for one turn of the module.
#[derive(Debug)]
pub enum Part {
    /// A whole list follows.
    Begin,
    Entries(Block),
    /// Look for what it no longer names; false if there is more to look at.
    Sweep(Sender<bool>),
    End(u64),
}

enum Heard {
    Letter(ToList),
    Answer(Result<Answer, Failed>),
    /// There is another discovery now.
    Moved,
}

/// Each wish is the module's, to follow the list. Where discovery has moved it is followed there at once. An instance
/// that is told the list by another asks for itself only what it was not told.
pub async fn run(
    shared: Rc<Shared>, mut discovery: Discovery, wishes: Receiver<()>, moves: Receiver<()>,
    letters: Receiver<ToList>,
) {
    let mut conn = None;
    let mut role = Role::Alone;
    // What was told does not follow from what is held: ask once.
    let mut behind = false;
    let mut complained = String::new();
    let mut silent = false;
    loop {
        let wish = async { wishes.recv().await.is_ok().then_some(false) };
        let moved = async { moves.recv().await.is_ok().then_some(true) };
        match future::or(moved, wish).await {
            Some(false) => {}
            // Versions of the old one mean nothing to the new one, whether a call was out when it moved or not.
            Some(true) => discovery.generation = None,
            None => return,
        }
        loop {
            let asked = shared.clock.now();
            let by = asked.after(discovery.wait).after(GRACE);
            let address = shared.discovery.get();
            let stands_by = role == Role::Told && discovery.generation.is_some() && !behind;
            let heard = async {
                if stands_by {
                    return future::pending().await;
                }
                let connect = shared.clock.now().after(shared.connect_timeout).min(by);
                let answer = ask(&shared.clock, &discovery, (connect, by), address, role, &mut conn).await;
                Heard::Answer(answer)
            };
            let moved = async {
                match moves.recv().await {
                    Ok(()) => Heard::Moved,
                    Err(_) => future::pending().await,
                }
            };
            let letter = async {
                match letters.recv().await {
                    Ok(letter) => Heard::Letter(letter),
                    Err(_) => future::pending().await,
                }
            };
            match future::or(moved, future::or(heard, letter)).await {
                Heard::Letter(ToList::Role(new)) => role = new,
                Heard::Letter(ToList::Told(_)) if role != Role::Told => {}
                Heard::Letter(ToList::Told(news)) if discovery.generation == Some(news.generation) => {}
                Heard::Letter(ToList::Told(news)) => {
                    let follows = discovery.generation == Some(news.from) && !news.body.is_empty();
                    let list = follows.then(|| list::parse(&news.body, &discovery.names).ok()).flatten();
                    let Some(list) = list.filter(|l| l.generation == news.generation) else {
                        behind = true;
                        continue;
                    };
                    shared.counters.list_told.up();
                    discovery.generation = Some(list.generation);
                    if shared.module.send(ToModule::List(list)).await.is_err() {
                        return;
                    }
                }
                Heard::Moved => {
                    // Versions of the old one mean nothing to the new one.
                    (conn, discovery.generation) = (None, None);
                }
                // A version below the one that was asked from is another service's: what was held is not a part of it.
                Heard::Answer(Ok(list))
                    if !list.whole && discovery.generation.is_some_and(|g| list.generation < g) =>
                {
                    discovery.generation = None;
                }
                Heard::Answer(Ok(list)) => {
                    shared.counters.list_answers.up();
                    // It has what it wished for.
                    while wishes.try_recv().is_ok() {}
                    (behind, silent, complained) = (false, false, String::new());
                    let quick = shared.clock.now().since(asked) < Micros(20_000);
                    if let (Role::Owner(epoch), Some(peers)) = (role, &shared.peers) {
                        let from = discovery.generation.unwrap_or(list.generation);
                        let news = ListNews { epoch, from, generation: list.generation, body: list.text };
                        let _ = peers.try_send(ToPeers::List(news));
                    }
                    discovery.generation = Some(list.generation);
                    if pass(&shared, list.generation, list.whole, list.entries).await.is_none() {
                        return;
                    }
                    // Whatever makes it answer at once, all forwarders share it.
                    if quick {
                        Timer::after(PAUSE).await;
                    }
                }
                Heard::Answer(Err(failed)) => {
                    shared.counters.list_failures.up();
                    conn = None;
                    // What a watch that has fallen silent misses counts as told in half a second: it is opened anew at
                    // once. Those of a fleet were not all opened at one moment, so neither are these. One that is
                    // silent again is taken for a service in trouble.
                    let again = !silent && matches!(failed, Failed::Silent(_));
                    silent = matches!(failed, Failed::Silent(_));
                    // A list that is too long stays so for a while: one line tells.
                    let why = match failed {
                        Failed::Lost(why) | Failed::Silent(why) => {
                            tracing::warn!("list: {why}");
                            why
                        }
                        Failed::TooLong(why) => {
                            shared.counters.list_refused.up();
                            if complained != why {
                                tracing::error!("list: {why}; the list that was held stays");
                            }
                            complained.clone_from(&why);
                            why
                        }
                    };
                    if again {
                        continue;
                    }
                    if shared.module.send(ToModule::ListFailed(why)).await.is_err() {
                        return;
                    }
                    break;
                }
            }
        }
    }
}

/// Hands a list to the module in parts, so that no turn of it takes long.
async fn pass(shared: &Shared, generation: u64, whole: bool, entries: Staged) -> Option<()> {
    let send = async |part| shared.module.send(ToModule::Part(part)).await.ok();
    if whole {
        send(Part::Begin).await?;
    }
    for block in entries.into_blocks() {
        send(Part::Entries(block)).await?;
        future::yield_now().await;
    }
    let mut swept = !whole;
    while !swept {
        let (reply, done) = bounded(1);
        send(Part::Sweep(reply)).await?;
        swept = done.recv().await.ok()?;
    }
    send(Part::End(generation)).await
}

/// Asks for the list. A connection may take until the first of these times, and the answer may begin until the second;
/// then it must go on coming.
async fn ask(
    clock: &Clock, d: &Discovery, (connect, by): (Micros, Micros), address: SocketAddr, role: Role,
    kept: &mut Option<Conn>,
) -> Result<Answer, Failed> {
    let fail = |e: std::io::Error| e.to_string();
    let late = || Failed::Silent("no answer in time".to_owned());
    let mut conn = match kept.take().filter(|c| !c.stale()) {
        Some(conn) => conn,
        None => {
            let open = clock.before(connect, Conn::open(address, PIECE)).await;
            open.ok_or_else(|| "no connection in time".to_owned())?.map_err(fail)?
        }
    };
    let begin = async {
        let wait = if role == Role::Told { Micros(0) } else { d.wait };
        let query = match d.generation {
            None => String::new(),
            Some(g) => format!("?since={g}&timeout_ms={}", wait.0 / 1000),
        };
        // Who asks for all says under which lease: a source that keeps the highest refuses one that is over.
        let epoch = match role {
            Role::Owner(epoch) => format!("X-Epoch: {epoch}\r\n"),
            Role::Alone | Role::Told => String::new(),
        };
        let request = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {address}\r\n{epoch}\r\n");
        conn.write(request.as_bytes()).await.map_err(fail)?;
        match conn.answer(clock, by).await {
            Err(Lost::TimedOut) => Err(late()),
            Err(Lost::Spoilt(why)) => Err(Failed::Silent(why)),
            answer => answer.map_err(|e| fail(e.into()).into()),
        }
    };
    let answer = clock.before(by, begin).await.ok_or_else(late)??;
    let (most, most_bytes) = (d.bounds.entries.0 as usize, d.bounds.memory_mb.0 as usize * 1_000_000);
    let mut entries = Staged::new(most, most_bytes);
    let mut reader = Reader::new(&d.names);
    let mut text = Vec::new();
    let mut body = conn.body(&answer, usize::MAX).map_err(|e| Failed::Silent(e.to_string()))?;
    // A long list takes its time; one that comes by drops is as good as silence.
    let (mut soon, mut came) = (clock.now().after(GRACE), 0);
    loop {
        let part = clock.before(soon, conn.part(&mut body)).await.ok_or_else(late)?;
        let Some(part) = part.map_err(fail)? else { break };
        came += part.len();
        if came >= PIECE {
            (soon, came) = (clock.now().after(GRACE), 0);
        }
        if answer.status != 200 {
            continue;
        }
        if text.len() <= LIST_NEWS_MOST {
            text.extend_from_slice(part);
        }
        reader.feed(part, |l| {
            entries.push(&endpoint(&l)).map_err(|refused| match refused {
                Refused::Full => {
                    let mb = d.bounds.memory_mb.0;
                    Failed::TooLong(format!("over {most} entries or {mb} MB, its bounds in [list]"))
                }
                Refused::Shape => Failed::Lost("a name or the number of zones is out of bounds".into()),
            })
        })?;
        // Nobody waits for the rest of a long list.
        future::yield_now().await;
    }
    if answer.status != 200 {
        return Err(Failed::Lost(format!("answer {}", answer.status)));
    }
    let (generation, whole) = reader.end()?;
    if text.len() > LIST_NEWS_MOST {
        text = Vec::new();
    }
    *kept = body.again.then_some(conn);
    Ok(Answer { generation, whole, entries, text })
}

/// An entry of the list, as the table takes it.
pub fn endpoint(l: &Listed) -> Endpoint<'_> {
    Endpoint {
        name: &l.name,
        address: l.address,
        zone: &l.zone,
        kind: u16::try_from(l.entry.kind.0).unwrap_or(u16::MAX),
        destination: l.entry.destination.0,
        weight: l.entry.weight as f32,
        listing: l.entry.listing,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    const SOON: Duration = Duration::from_millis(2500);

    /// The list's actor between a discovery and a module that the test plays.
    struct Rig {
        shared: Rc<Shared>,
        letters: Receiver<ToModule>,
        wishes: Sender<()>,
        moves: Sender<()>,
        _roles: Sender<ToList>,
    }

    impl Rig {
        fn new(at: SocketAddr) -> Rig {
            Rig::waiting(at, Micros(10_000))
        }
        fn waiting(at: SocketAddr, wait: Micros) -> Rig {
            let (module, letters) = bounded(64);
            let shared = Shared::alone(module);
            shared.discovery.set(at);
            let bounds = onyxrock_config::idle::Bounds::default();
            let discovery = Discovery { names: Names::default(), generation: None, wait, bounds };
            let ((wishes, wished), (moves, moved), (_roles, roles)) = (bounded(4), bounded(1), bounded(4));
            shared.executor.spawn(run(shared.clone(), discovery, wished, moved, roles)).detach();
            // That of a start, and the module's own: one answer is what both want.
            (0..2).for_each(|_| wishes.try_send(()).unwrap());
            Rig { shared, letters, wishes, moves, _roles }
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
                    match self.letters.recv().await.ok()? {
                        ToModule::Part(Part::Sweep(done)) => done.try_send(true).unwrap(),
                        ToModule::Part(Part::End(generation)) => return Some(generation),
                        ToModule::ListFailed(_) => return None,
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
        let failed = rig.within(async { rig.letters.recv().await.ok() });
        assert!(matches!(failed, Some(ToModule::ListFailed(why)) if why == "no connection in time"));
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
}
