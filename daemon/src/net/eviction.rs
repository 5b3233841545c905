//! Client connections that wait for a request, in the order in which they are closed to make room.

use async_channel::Sender;
use onyxrock::interface::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Position in the eviction order: a connection that has not sent a request yet goes before one that was
/// answered, and an older one before a newer one.
pub type EvictionRank = (bool, Micros, u64);

/// The connections that may be closed, each with the channel that tells its actor to close.
#[derive(Default)]
pub struct EvictionQueue(RefCell<BTreeMap<EvictionRank, Sender<()>>>);

impl EvictionQueue {
    /// Adds a connection that begins to wait for a request.
    pub fn add(&self, rank: EvictionRank, close_signal: Sender<()>) {
        self.0.borrow_mut().insert(rank, close_signal);
    }
    /// Removes a connection that no longer waits for a request.
    pub fn remove(&self, rank: EvictionRank) {
        self.0.borrow_mut().remove(&rank);
    }
    /// Signals the first connection in the order to close. Returns false if there is none to close: a
    /// connection whose request was answered is kept for `min_idle` after the response.
    pub fn evict_first(&self, now: Micros, min_idle: Micros) -> bool {
        let mut connections = self.0.borrow_mut();
        let first =
            connections.first_entry().filter(|entry| !entry.key().0 || now.since(entry.key().1) >= min_idle);
        first.map(|entry| entry.remove().try_send(())).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_channel::bounded;

    /// Without eviction, hundreds of silent connections would keep out the clients that send requests.
    #[test]
    fn evicts_oldest_silent_connection_first_and_keeps_recently_answered_ones() {
        let (queue, min_idle) = (EvictionQueue::default(), Micros(2_000_000));
        let ranks = [(true, Micros(1), 1), (false, Micros(20), 2), (false, Micros(10), 3)];
        let signals = ranks.map(|rank| {
            let (close_signal, signal) = bounded(1);
            queue.add(rank, close_signal);
            signal
        });
        let now = Micros(1_000_000);
        assert!(queue.evict_first(now, min_idle) && signals[2].try_recv().is_ok());
        assert!(queue.evict_first(now, min_idle) && signals[1].try_recv().is_ok());
        assert!(!queue.evict_first(now, min_idle));
        assert!(queue.evict_first(Micros(2_000_001), min_idle) && signals[0].try_recv().is_ok());
        assert!(!queue.evict_first(Micros(9_000_000), min_idle));
    }
}
