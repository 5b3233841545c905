//! Account of the connections that this sender holds, and of what it has seen of full connection tables.

use crate::interface::{Micros, Verdict};
use std::collections::VecDeque;

/// What one sender has seen of the connection tables of a kind of receivers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionTable {
    /// The share of new connections that found the table full.
    pub refused_share: f64,
}

impl ConnectionTable {
    /// Weight of each new connection in the share.
    const STEP: f64 = 0.1;

    /// Takes in what became of a new connection. A call over a kept one says nothing of the table.
    pub fn note(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::ConnectionLimit => self.refused_share += Self::STEP * (1.0 - self.refused_share),
            Verdict::Delivered => self.refused_share -= Self::STEP * self.refused_share,
            _ => {}
        }
    }
}

/// The connections of this sender to one receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    /// When each idle one had its last call, the longest idle first.
    idle: VecDeque<Micros>,
    /// Connections in a row that a full table refused; those asked for at one time count once.
    pub refused_run: u32,
    /// When one was last refused.
    pub refused_at: Micros,
    /// Until then no more calls go out at once than `most`.
    pub connect_at: Micros,
    /// Calls that were out over other connections when one was refused.
    pub most: usize,
    /// Calls over kept connections since the last new one.
    pub reused: u32,
    /// So many of them, and the connection is given back. None until the first.
    pub renew_after: Option<u32>,
}

impl Connections {
    /// A call goes out, over the youngest idle connection if there is one. True if it needs a new connection.
    pub fn take(&mut self, now: Micros, idle_limit: Micros) -> bool {
        let kept = self.idle.pop_back().is_some_and(|used| now.since(used) < idle_limit);
        self.reused = if kept { self.reused + 1 } else { 0 };
        !kept
    }

    /// A call has ended: what becomes of its connection, and what that says of the others.
    pub fn put_back(&mut self, now: Micros, verdict: Verdict) {
        match verdict {
            Verdict::Delivered | Verdict::Full(_) => self.idle.push_back(now),
            Verdict::TimedOut | Verdict::Reset | Verdict::Stale => self.idle.clear(),
            _ => {}
        }
    }

    /// The idle ones are closed.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// One is idle and no other is.
    pub fn one_idle(&self) -> bool {
        self.idle.len() == 1
    }
}
