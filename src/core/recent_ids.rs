//! Request ids of recent submissions.

use crate::interface::Micros;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Maximum number of ids that are remembered; beyond it the oldest are dropped first.
const MAX_IDS: usize = 16_384;

/// Remembers each id for as long as a message with it could still run: a second message with that id would be
/// a second copy at an endpoint. Only a hash of each id is kept, so that long ids need no more memory.
#[derive(Clone, Debug, Default)]
pub struct RecentIds {
    retention: Micros,
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// Time and hash of each id, oldest first.
    oldest_first: VecDeque<(Micros, u64)>,
}

impl RecentIds {
    /// An empty set that keeps each id for `retention`.
    pub fn new(retention: Micros) -> RecentIds {
        RecentIds { retention, ..RecentIds::default() }
    }
    /// Keeps each id for `retention` from now on, if that is longer than before.
    pub fn extend_retention(&mut self, retention: Micros) {
        self.retention = self.retention.max(retention);
    }
    /// Adds an id. Returns false if it is still remembered from before.
    pub fn insert(&mut self, now: Micros, id: &str) -> bool {
        let expired = |added: Micros| now.since(added) > self.retention;
        while self.oldest_first.len() >= MAX_IDS
            || self.oldest_first.front().is_some_and(|(added, _)| expired(*added))
        {
            let Some((_, oldest)) = self.oldest_first.pop_front() else { break };
            self.hashes.remove(&oldest);
        }
        let hash = self.hasher.hash_one(id);
        let is_new = self.hashes.insert(hash);
        if is_new {
            self.oldest_first.push_back((now, hash));
        }
        is_new
    }
}
