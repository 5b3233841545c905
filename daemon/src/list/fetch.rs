//! One call to discovery: the request, its time-outs, and the list that comes as its answer.

use super::{DiscoveryParams, GRACE, PIECE, roster_endpoint};
use crate::clock::Clock;
use crate::net::http::client::{Answer, Conn, Lost};
use futures_lite::future;
use onyxrock::interface::Micros;
use onyxrock_config::list::ListReader;
use onyxrock_roster::{EntryError, StagedList};
use onyxrock_sharing::{ListRole, MAX_LIST_UPDATE_BYTES};
use std::net::SocketAddr;

/// A list as it was read.
pub struct Fetched {
    pub generation: u64,
    /// It names all endpoints; else only those that have changed.
    pub whole: bool,
    pub entries: StagedList,
    /// Its text where that is short enough to be passed on to other instances, else nothing.
    pub text: Vec<u8>,
}

/// Why there is no list.
#[derive(Debug)]
pub enum Failed {
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

/// What one call needs to know.
pub struct Call<'a> {
    pub clock: &'a Clock,
    pub discovery: &'a DiscoveryParams,
    /// It waits so long for news.
    pub wait: Micros,
    /// A connection may take until then.
    pub connect_by: Micros,
    /// The answer may begin until then; after that it must go on coming.
    pub answer_by: Micros,
    pub address: SocketAddr,
    pub role: ListRole,
}

fn text_of(e: std::io::Error) -> String {
    e.to_string()
}

fn late() -> Failed {
    Failed::Silent("no answer in time".to_owned())
}

impl Call<'_> {
    /// Asks for the list, over the connection of the last call where that is still good.
    pub async fn fetch(&self, kept: &mut Option<Conn>) -> Result<Fetched, Failed> {
        let mut conn = self.connection(kept).await?;
        let answer = self.clock.timeout_at(self.answer_by, self.ask(&mut conn)).await.ok_or_else(late)??;
        let (fetched, again) = self.read(&mut conn, &answer).await?;
        *kept = again.then_some(conn);
        Ok(fetched)
    }

    async fn connection(&self, kept: &mut Option<Conn>) -> Result<Conn, Failed> {
        if let Some(conn) = kept.take().filter(|c| !c.is_stale()) {
            return Ok(conn);
        }
        let open = self.clock.timeout_at(self.connect_by, Conn::open(self.address, PIECE)).await;
        let conn = open.ok_or_else(|| "no connection in time".to_owned())?;
        Ok(conn.map_err(text_of)?)
    }

    fn request(&self) -> String {
        let query = match self.discovery.generation {
            None => String::new(),
            Some(g) => format!("?since={g}&timeout_ms={}", self.wait.0 / 1000),
        };
        // Who asks for all says under which lease: a source that keeps the highest refuses one that is over.
        let epoch = match self.role {
            ListRole::Owner(epoch) => format!("X-Epoch: {epoch}\r\n"),
            ListRole::Standalone | ListRole::Follower => String::new(),
        };
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n{epoch}\r\n", self.address)
    }

    async fn ask(&self, conn: &mut Conn) -> Result<Answer, Failed> {
        conn.write(self.request().as_bytes()).await.map_err(text_of)?;
        match conn.read_head(self.clock, self.answer_by).await {
            Err(Lost::TimedOut) => Err(late()),
            Err(Lost::Spoilt(why)) => Err(Failed::Silent(why)),
            answer => answer.map_err(|e| text_of(e.into()).into()),
        }
    }

    /// Reads the body in pieces, and whether the connection can take another call.
    async fn read(&self, conn: &mut Conn, answer: &Answer) -> Result<(Fetched, bool), Failed> {
        let bounds = &self.discovery.bounds;
        let (most, memory_mb) = (bounds.entries.0 as usize, bounds.memory_mb.0);
        let mut entries = StagedList::new(most, memory_mb as usize * 1_000_000);
        let mut reader = ListReader::new(&self.discovery.names);
        let mut text = Vec::new();
        let mut body = conn.begin_body(answer, usize::MAX).map_err(|e| Failed::Silent(e.to_string()))?;
        // A long list takes its time; one that comes by drops is as good as silence.
        let (mut soon, mut came) = (self.clock.now().plus(GRACE), 0);
        loop {
            let part = self.clock.timeout_at(soon, conn.read_part(&mut body)).await.ok_or_else(late)?;
            let Some(part) = part.map_err(text_of)? else { break };
            came += part.len();
            if came >= PIECE {
                (soon, came) = (self.clock.now().plus(GRACE), 0);
            }
            if answer.status != 200 {
                continue;
            }
            if text.len() <= MAX_LIST_UPDATE_BYTES {
                text.extend_from_slice(part);
            }
            reader.feed(part, |l| {
                entries.push(&roster_endpoint(&l)).map_err(|refused| match refused {
                    EntryError::Full => Failed::TooLong(format!(
                        "over {most} entries or {memory_mb} MB, its bounds in [list]"
                    )),
                    EntryError::OutOfBounds => {
                        Failed::Lost("a name or the number of zones is out of bounds".into())
                    }
                })
            })?;
            // Nobody waits for the rest of a long list.
            future::yield_now().await;
        }
        if answer.status != 200 {
            return Err(Failed::Lost(format!("answer {}", answer.status)));
        }
        let (generation, whole) = reader.finish()?;
        if text.len() > MAX_LIST_UPDATE_BYTES {
            text = Vec::new();
        }
        Ok((Fetched { generation, whole, entries, text }, body.again))
    }
}
