//! The connections that this sender keeps, and what it has seen of full connection tables at receivers.

use crate::interface::{Micros, Verdict};
use std::collections::VecDeque;

/// What this sender has seen of the connection tables of one kind of receivers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionTable {
    /// Moving share of the new connections that a full table refused.
    pub refused_share: f64,
}

impl ConnectionTable {
    /// Weight of each new connection in the share.
    const WEIGHT: f64 = 0.1;

    /// Counts the outcome of a call over a new connection. A call over a kept connection shows nothing of the
    /// table.
    pub fn note(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::ConnectionLimit => self.refused_share += Self::WEIGHT * (1.0 - self.refused_share),
            Verdict::Delivered => self.refused_share -= Self::WEIGHT * self.refused_share,
            _ => {}
        }
    }
}

/// The connections of this sender to one receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    /// When each idle connection had its last call, the longest idle one first.
    idle: VecDeque<Micros>,
    /// Connections in a row that a full table refused. Those requested before the previous refusal do not
    /// count.
    pub refusal_run: u32,
    /// When a connection was last refused.
    pub refused_at: Micros,
    /// Until this time there are no more calls in flight than `max_while_full`.
    pub connect_at: Micros,
    /// Calls that were in flight over other connections when one was refused; zero if the receiver did not
    /// answer lately.
    pub max_while_full: usize,
    /// Calls over kept connections since the last new connection.
    pub reuse_count: u32,
    /// The value of `reuse_count` at which the connection is closed. None until the first renewal is planned.
    pub renew_after: Option<u32>,
}

impl Connections {
    /// Takes a connection for a call: the idle one that was used last, if it is still open. Returns whether
    /// the call needs a new connection.
    pub fn take(&mut self, now: Micros, idle_timeout: Micros) -> bool {
        let kept = self.idle.pop_back().is_some_and(|last_used| now.since(last_used) < idle_timeout);
        self.reuse_count = if kept { self.reuse_count + 1 } else { 0 };
        !kept
    }

    /// Keeps the connection of a call that has ended, or forgets all idle ones if the outcome shows that they
    /// are probably broken too.
    pub fn call_ended(&mut self, now: Micros, verdict: Verdict) {
        match verdict {
            Verdict::Delivered | Verdict::Full(_) => self.idle.push_back(now),
            Verdict::TimedOut | Verdict::Reset | Verdict::Stale => self.idle.clear(),
            _ => {}
        }
    }

    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Exactly one connection is idle.
    pub fn one_idle(&self) -> bool {
        self.idle.len() == 1
    }
}
