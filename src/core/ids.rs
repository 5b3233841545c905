//! Ids of requests that came in lately.

use crate::interface::Micros;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// So many are remembered at most; the oldest goes first.
const MOST: usize = 16_384;

/// Remembers ids for as long as a request with one of them could still run: a second request with that id would be a
/// second copy at an endpoint. Of an id only a hash is kept, so that its length costs nothing.
#[derive(Clone, Debug, Default)]
pub struct Ids {
    span: Micros,
    hash: RandomState,
    known: HashSet<u64>,
    order: VecDeque<(Micros, u64)>,
}

impl Ids {
    /// Each id is kept for this span.
    pub fn new(span: Micros) -> Ids {
        Ids { span, ..Ids::default() }
    }
    /// From now on each id is kept for this span, if that is longer than before.
    pub fn keep_for(&mut self, span: Micros) {
        self.span = self.span.max(span);
    }
    /// Takes note of an id. False if it is one that is remembered.
    pub fn fresh(&mut self, now: Micros, id: &str) -> bool {
        let over = |t: Micros| now.since(t) > self.span;
        while self.order.len() >= MOST || self.order.front().is_some_and(|(t, _)| over(*t)) {
            let Some((_, old)) = self.order.pop_front() else { break };
            self.known.remove(&old);
        }
        let hash = self.hash.hash_one(id);
        let fresh = self.known.insert(hash);
        if fresh {
            self.order.push_back((now, hash));
        }
        fresh
    }
}
