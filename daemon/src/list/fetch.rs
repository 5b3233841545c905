//! One call to discovery: the request, its timeouts, and the endpoint list of its response.

use super::{ANSWER_GRACE, DiscoveryParams, READ_BLOCK_BYTES, roster_endpoint};
use crate::clock::Clock;
use crate::net::http::client::{Conn, Response, ResponseError};
use futures_lite::future;
use onyxrock::interface::Micros;
use onyxrock_config::list::ListReader;
use onyxrock_roster::{EntryError, StagedList};
use onyxrock_sharing::{ListRole, MAX_LIST_UPDATE_BYTES};
use std::net::SocketAddr;

/// An endpoint list, or the changes of one, as read from a response.
pub struct FetchedList {
    pub generation: u64,
    /// The list names all endpoints; otherwise only those that have changed.
    pub complete: bool,
    pub entries: StagedList,
    /// The body of the response, if it is short enough to be passed on to other instances; otherwise empty.
    pub text: Vec<u8>,
}

/// Why a call returned no list.
#[derive(Debug)]
pub enum FetchError {
    /// There was no response, or one that cannot be used.
    Unavailable(String),
    /// The call was made, but no response or no end of one arrived: a watch that has fallen silent.
    Silent(String),
    /// The list exceeds the configured limits.
    TooLong(String),
}

impl From<String> for FetchError {
    fn from(reason: String) -> FetchError {
        FetchError::Unavailable(reason)
    }
}

/// The parameters of one call.
pub struct Call<'a> {
    pub clock: &'a Clock,
    /// How to call discovery, and the generation in use.
    pub discovery: &'a DiscoveryParams,
    /// How long discovery may hold the call open until there are changes.
    pub wait: Micros,
    /// Deadline for a new connection.
    pub connect_by: Micros,
    /// Deadline for the first byte of the response; after that the response must keep arriving.
    pub answer_by: Micros,
    pub address: SocketAddr,
    /// Whether this instance holds the list duty.
    pub role: ListRole,
}

fn error_text(e: std::io::Error) -> String {
    e.to_string()
}

fn no_answer_in_time() -> FetchError {
    FetchError::Silent("no answer in time".to_owned())
}

impl Call<'_> {
    /// Requests the list, over the connection of the previous call if it is still usable.
    pub async fn fetch(&self, kept: &mut Option<Conn>) -> Result<FetchedList, FetchError> {
        let mut conn = self.connection(kept).await?;
        let response = self
            .clock
            .timeout_at(self.answer_by, self.send_request(&mut conn))
            .await
            .ok_or_else(no_answer_in_time)??;
        let (fetched, reusable) = self.read(&mut conn, &response).await?;
        *kept = reusable.then_some(conn);
        Ok(fetched)
    }

    /// The connection of the previous call, or a new one.
    async fn connection(&self, kept: &mut Option<Conn>) -> Result<Conn, FetchError> {
        if let Some(conn) = kept.take().filter(|conn| !conn.is_stale()) {
            return Ok(conn);
        }
        let opened = self.clock.timeout_at(self.connect_by, Conn::open(self.address, READ_BLOCK_BYTES)).await;
        let conn = opened.ok_or_else(|| "no connection in time".to_owned())?;
        Ok(conn.map_err(error_text)?)
    }

    fn request(&self) -> String {
        let query = match self.discovery.generation {
            None => String::new(),
            Some(generation) => format!("?since={generation}&timeout_ms={}", self.wait.0 / 1000),
        };
        // The holder of the list duty names the epoch of its lease: a source that remembers the highest
        // epoch refuses a holder whose lease is over.
        let epoch = match self.role {
            ListRole::Owner(epoch) => format!("X-Epoch: {epoch}\r\n"),
            ListRole::Standalone | ListRole::Follower => String::new(),
        };
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n{epoch}\r\n", self.address)
    }

    /// Sends the request and reads the head of the response.
    async fn send_request(&self, conn: &mut Conn) -> Result<Response, FetchError> {
        conn.write(self.request().as_bytes()).await.map_err(error_text)?;
        match conn.read_head(self.clock, self.answer_by).await {
            Err(ResponseError::TimedOut) => Err(no_answer_in_time()),
            Err(ResponseError::Malformed(reason)) => Err(FetchError::Silent(reason)),
            response => response.map_err(|e| error_text(e.into()).into()),
        }
    }

    /// Reads the body in parts; also returns whether the connection can carry another call.
    async fn read(&self, conn: &mut Conn, response: &Response) -> Result<(FetchedList, bool), FetchError> {
        if response.status != 200 {
            return Err(FetchError::Unavailable(format!("answer {}", response.status)));
        }
        let limits = &self.discovery.limits;
        let (most, memory_mb) = (limits.entries.0 as usize, limits.memory_mb.0);
        let mut entries = StagedList::new(most, memory_mb as usize * 1_000_000);
        let mut reader = ListReader::new(&self.discovery.names);
        let mut text = Vec::new();
        let mut body =
            conn.begin_body(response, usize::MAX).map_err(|e| FetchError::Silent(e.to_string()))?;
        // A long list may take its time, but a list that trickles in is treated as silence.
        let (mut deadline, mut received) = (self.clock.now().plus(ANSWER_GRACE), 0);
        loop {
            let part = self
                .clock
                .timeout_at(deadline, conn.read_part(&mut body))
                .await
                .ok_or_else(no_answer_in_time)?;
            let Some(part) = part.map_err(error_text)? else { break };
            received += part.len();
            if received >= READ_BLOCK_BYTES {
                (deadline, received) = (self.clock.now().plus(ANSWER_GRACE), 0);
            }
            // Lets other actors run while a long response is read.
            future::yield_now().await;
            if text.len() <= MAX_LIST_UPDATE_BYTES {
                text.extend_from_slice(part);
            }
            reader.feed(part, |listed| {
                entries.push(&roster_endpoint(&listed)).map_err(|error| match error {
                    EntryError::Full => FetchError::TooLong(format!(
                        "over {most} entries or {memory_mb} MB, its bounds in [list]"
                    )),
                    EntryError::OutOfBounds => {
                        FetchError::Unavailable("a name or the number of zones is out of bounds".into())
                    }
                })
            })?;
        }
        let (generation, complete) = reader.finish()?;
        if text.len() > MAX_LIST_UPDATE_BYTES {
            text = Vec::new();
        }
        Ok((FetchedList { generation, complete, entries, text }, body.reusable))
    }
}
