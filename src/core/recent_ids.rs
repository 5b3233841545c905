//! Request ids of recent submissions.

use crate::interface::Micros;
use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::{Display, Formatter};
use std::str::FromStr;

/// Maximum number of ids of ended messages that are remembered; beyond it the oldest are dropped first.
const MAX_IDS: usize = 65_536;
/// Bytes of a digest. Two ids of the same digest cannot be found on purpose, whoever chooses them.
const DIGEST_BYTES: usize = 12;

/// Stands for a request id in little space. All processes have the same digest for an id.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct RequestIdDigest([u8; DIGEST_BYTES]);

impl RequestIdDigest {
    /// The digest of a request id.
    #[must_use]
    pub fn of(request_id: &str) -> RequestIdDigest {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(request_id.as_bytes()).as_bytes()[..DIGEST_BYTES]);
        RequestIdDigest(digest)
    }
}

impl Display for RequestIdDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A text that is no digest.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct NoDigest;

impl FromStr for RequestIdDigest {
    type Err = NoDigest;

    fn from_str(text: &str) -> Result<RequestIdDigest, NoDigest> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(NoDigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| NoDigest)?;
        }
        Ok(RequestIdDigest(digest))
    }
}

/// Remembers each id for as long as a message with it could still run: a second message with that id would be
/// a second copy at an endpoint. The id of an open message is never dropped.
#[derive(Clone, Debug)]
pub struct RecentIds {
    retention: Micros,
    max_ids: usize,
    recent: HashSet<RequestIdDigest>,
    /// When each recent id was added, oldest first.
    oldest_first: VecDeque<(Micros, RequestIdDigest)>,
    /// Ids of open messages, with their number.
    open: HashMap<RequestIdDigest, u32>,
}

impl RecentIds {
    /// An empty set that keeps each id for `retention`.
    #[must_use]
    pub fn new(retention: Micros) -> RecentIds {
        RecentIds {
            retention,
            max_ids: MAX_IDS,
            recent: HashSet::new(),
            oldest_first: VecDeque::new(),
            open: HashMap::new(),
        }
    }

    /// Remembers at most this many ids of ended messages, and never more than `MAX_IDS`.
    pub fn set_max_ids(&mut self, max_ids: usize) {
        self.max_ids = max_ids.min(MAX_IDS);
    }

    /// Keeps each id for `retention` from now on, if that is longer than before.
    pub fn extend_retention(&mut self, retention: Micros) {
        self.retention = self.retention.max(retention);
    }

    /// Whether the id is remembered.
    pub fn contains(&mut self, now: Micros, id: RequestIdDigest) -> bool {
        self.drop_expired(now);
        self.recent.contains(&id) || self.open.contains_key(&id)
    }

    /// Adds an id. Returns false if it is still remembered from before.
    pub fn insert(&mut self, now: Micros, id: RequestIdDigest) -> bool {
        if self.contains(now, id) {
            return false;
        }
        if self.oldest_first.len() >= self.max_ids {
            self.drop_oldest();
        }
        self.recent.insert(id);
        self.oldest_first.push_back((now, id));
        true
    }

    /// A message with this id is open from now on.
    pub fn message_opened(&mut self, id: RequestIdDigest) {
        *self.open.entry(id).or_default() += 1;
    }

    /// A message with this id is no longer open.
    pub fn message_closed(&mut self, id: RequestIdDigest) {
        if let Some(messages) = self.open.get_mut(&id) {
            *messages -= 1;
            if *messages == 0 {
                self.open.remove(&id);
            }
        }
    }

    /// All ids: those of open messages, and then the others, latest first.
    pub fn iter(&self) -> impl Iterator<Item = RequestIdDigest> {
        let latest_first = self.oldest_first.iter().rev().map(|(_, id)| *id);
        let ended = latest_first.filter(|id| !self.open.contains_key(id));
        self.open.keys().copied().chain(ended)
    }

    fn drop_expired(&mut self, now: Micros) {
        while self.oldest_first.front().is_some_and(|(added, _)| now.since(*added) > self.retention) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, oldest)) = self.oldest_first.pop_front() {
            self.recent.remove(&oldest);
        }
    }
}
