//! The list: follows discovery for as long as that works, and says when it does not.

pub mod dns;
pub mod zone;

use crate::clock::Clock;
use crate::module::ToModule;
use crate::net::Shared;
use crate::net::http::client::Conn;
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
    loop {
        let wish = async { wishes.recv().await.is_ok() };
        let moved = async { moves.recv().await.is_ok() };
        if !future::or(moved, wish).await {
            return;
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
                let answer = ask(&shared.clock, &discovery, by, address, role, &mut conn).await;
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
                    (behind, complained) = (false, String::new());
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
                    // A list that is too long stays so for a while: one line tells.
                    let why = match failed {
                        Failed::Lost(why) => {
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
                    conn = None;
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

/// Asks for the list. The answer may begin until `by`; then each piece of it must come in time.
async fn ask(
    clock: &Clock, d: &Discovery, by: Micros, address: SocketAddr, role: Role, kept: &mut Option<Conn>,
) -> Result<Answer, Failed> {
    let fail = |e: std::io::Error| e.to_string();
    let late = || "no answer in time".to_owned();
    let begin = async {
        let mut conn = match kept.take().filter(|c| !c.stale()) {
            Some(conn) => conn,
            None => Conn::open(address, PIECE).await.map_err(fail)?,
        };
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
        let answer = conn.answer(clock, by).await.map_err(|e| fail(e.into()))?;
        Ok::<_, String>((conn, answer))
    };
    let (mut conn, answer) = clock.before(by, begin).await.ok_or_else(late)??;
    let (most, most_bytes) = (d.bounds.entries.0 as usize, d.bounds.memory_mb.0 as usize * 1_000_000);
    let mut entries = Staged::new(most, most_bytes);
    let mut reader = Reader::new(&d.names);
    let mut text = Vec::new();
    let mut body = conn.body(&answer, usize::MAX).map_err(fail)?;
    loop {
        let soon = clock.now().after(GRACE);
        let part = clock.before(soon, conn.part(&mut body)).await.ok_or_else(late)?;
        let Some(part) = part.map_err(fail)? else { break };
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
