//! Account of the connections that this sender holds, and of what it has seen of full connection tables.

use crate::interface::{Micros, Verdict};

/// What one sender has seen of the connection tables of a kind of receivers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionTable {
    /// The share of calls that found the table full.
    pub refused_share: f64,
}

impl ConnectionTable {
    /// Of each outcome, in the share.
    const STEP: f64 = 0.1;

    /// Takes an outcome in.
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
    /// Connections in a row that a full table refused; those asked for at one time count once.
    pub refused_run: u32,
    /// When one was last refused.
    pub refused_at: Micros,
    /// Until then no more calls go out at once than `most`.
    pub connect_at: Micros,
    /// Calls that were out over other connections when one was refused.
    pub most: usize,
}
