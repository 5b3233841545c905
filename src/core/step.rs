//! What the ledger has its caller carry out, and what it is told of it.

use super::record::End;
use crate::interface::{DestinationId, Micros, ReceiverId, Verdict};

/// Something for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Make an attempt.
    Call {
        /// The request.
        n: u64,
        /// Which attempt of this process, for its outcome.
        attempt: u32,
        /// Where to.
        to: ReceiverId,
        /// How long to wait for the answer.
        patience: Micros,
    },
    /// Wait no longer for the answer of an attempt: its request has ended by another.
    CallOff {
        /// The request.
        n: u64,
        /// Which attempt.
        attempt: u32,
    },
    /// Make the call of a probe.
    Probe {
        /// Its number; requests have others.
        n: u64,
        /// Where to.
        to: ReceiverId,
        /// How long to wait for the answer.
        patience: Micros,
    },
    /// Send these bytes to all other senders, who take them as [`Ledger::note`]. They name the endpoint by its number here.
    Tell(ReceiverId, Vec<u8>),
    /// Tell the client that the request has ended undelivered.
    End {
        /// The request.
        n: u64,
        /// How.
        end: End,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle(ReceiverId),
    /// Ask for the list and its changes.
    Follow,
    /// For the log: an endpoint is taken for out of order from now on.
    Sick {
        /// Which.
        receiver: ReceiverId,
        /// Its destination.
        destination: DestinationId,
        /// How the call ended that showed it.
        verdict: Verdict,
    },
}

/// Why an attempt must not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRefused {
    /// The request is over, or has as many attempts out as it may.
    Over,
    /// An earlier attempt may have run, and the request may not run again, here or now.
    Repeat,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Answered {
    /// The request.
    pub n: u64,
    /// Which attempt.
    pub attempt: u32,
    /// Where it went.
    pub to: ReceiverId,
    /// How it ended.
    pub verdict: Verdict,
    /// Time since it was decided on.
    pub elapsed: Micros,
    /// Nothing more is owed.
    pub finished: bool,
    /// The limit that the answer told, and what is left of it.
    pub limit: (Option<f64>, Option<f64>),
    /// Nothing more may go there before, as its answer told, whatever became of the attempt; zero if it told nothing.
    pub told: Micros,
}

/// What became of the messages that a start found taken on and untried. What is in none of the ends still waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// So many there were.
    pub untried: usize,
    /// Their time was over at the start.
    pub over: usize,
    /// They got their call.
    pub tried: usize,
    /// They ended without one, at the end of their time.
    pub late: usize,
    /// The same with time left: a wait was told, or their class has left the settings.
    pub early: usize,
}

impl Found {
    /// None of them waits any more.
    pub fn settled(&self) -> bool {
        self.over + self.tried + self.late + self.early >= self.untried
    }
}
