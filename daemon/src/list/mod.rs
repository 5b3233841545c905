//! The list: follows discovery for as long as that works, and says when it does not.

pub mod dns;
pub mod zone;

use crate::clock::Clock;
use crate::module::ToModule;
use crate::net::Shared;
use crate::net::http::client::Conn;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use onyxrock::core::Names;
use onyxrock::interface::Micros;
use onyxrock_config::list::{self, List};
use onyxrock_sharing::{LIST_NEWS_MOST, ListNews, Role, ToList, ToPeers};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const LIST_MOST: usize = 1 << 20;
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
}

enum Heard {
    Letter(ToList),
    Answer(Result<(List, Vec<u8>), String>),
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
            let wait = if role == Role::Told { Micros(0) } else { discovery.wait };
            let heard = async {
                if stands_by {
                    return future::pending().await;
                }
                let asked = ask(&shared.clock, &discovery, wait, address, &mut conn);
                let answer = shared.clock.before(by, asked).await;
                Heard::Answer(answer.unwrap_or_else(|| Err("no answer in time".into())))
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
                    let list = follows.then(|| parse(&news.body, &discovery.names).ok()).flatten();
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
                Heard::Answer(Ok((list, body))) => {
                    shared.counters.list_answers.up();
                    behind = false;
                    let quick = shared.clock.now().since(asked) < Micros(20_000);
                    if let (Role::Owner, Some(peers)) = (role, &shared.peers) {
                        let from = discovery.generation.unwrap_or(list.generation);
                        let body = if body.len() <= LIST_NEWS_MOST { body } else { Vec::new() };
                        let news = ListNews { from, generation: list.generation, body };
                        let _ = peers.try_send(ToPeers::List(news));
                    }
                    discovery.generation = Some(list.generation);
                    if shared.module.send(ToModule::List(list)).await.is_err() {
                        return;
                    }
                    // Whatever makes it answer at once, all forwarders share it.
                    if quick {
                        Timer::after(PAUSE).await;
                    }
                }
                Heard::Answer(Err(why)) => {
                    shared.counters.list_failures.up();
                    tracing::warn!("list: {why}");
                    conn = None;
                    if shared.module.send(ToModule::ListFailed).await.is_err() {
                        return;
                    }
                    break;
                }
            }
        }
    }
}

async fn ask(
    clock: &Clock, d: &Discovery, wait: Micros, address: SocketAddr, kept: &mut Option<Conn>,
) -> Result<(List, Vec<u8>), String> {
    let fail = |e: std::io::Error| e.to_string();
    let mut conn = match kept.take().filter(|c| !c.stale()) {
        Some(conn) => conn,
        None => Conn::open(address, LIST_MOST).await.map_err(fail)?,
    };
    let query = match d.generation {
        None => String::new(),
        Some(g) => format!("?since={g}&timeout_ms={}", wait.0 / 1000),
    };
    let request = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    conn.write(request.as_bytes()).await.map_err(fail)?;
    let by = clock.now().after(wait).after(GRACE);
    let answer = conn.answer(clock, by).await.map_err(|e| fail(e.into()))?;
    let (body, again) = conn.body(&answer, LIST_MOST).await.map_err(fail)?;
    if answer.status != 200 {
        return Err(format!("answer {}", answer.status));
    }
    let list = parse(&body, &d.names)?;
    *kept = again.then_some(conn);
    Ok((list, body))
}

fn parse(body: &[u8], names: &Names) -> Result<List, String> {
    let v = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    list::read(&v, names)
}
