//! What the ledger has its caller carry out, and what it is told of it.

use super::record::FinalStatus;
use crate::interface::{DestinationId, Micros, ReceiverId, Verdict};

/// Something for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Make an attempt.
    Call {
        /// The request.
        number: u64,
        /// Which attempt of this process, for its outcome.
        attempt: u32,
        /// Where to.
        receiver: ReceiverId,
        /// How long to wait for the answer.
        timeout: Micros,
    },
    /// Wait no longer for the answer of an attempt: its request has ended by another.
    CancelAttempt {
        /// The request.
        number: u64,
        /// Which attempt.
        attempt: u32,
    },
    /// Make the call of a probe.
    Probe {
        /// Its number; requests have others.
        number: u64,
        /// Where to.
        receiver: ReceiverId,
        /// How long to wait for the answer.
        timeout: Micros,
    },
    /// Send these bytes to all other senders, who take them as [`Ledger::note`]. They name the endpoint by its number here.
    SendPeerHint(ReceiverId, Vec<u8>),
    /// Tell the client that the request has ended undelivered.
    ReportFinalStatus {
        /// The request.
        number: u64,
        /// How.
        status: FinalStatus,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(ReceiverId),
    /// Ask for the list and its changes.
    RequestList,
    /// For the log: an endpoint is taken for out of order from now on.
    LogUnhealthy {
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
pub enum AttemptDenied {
    /// The request is over, or has as many attempts out as it may.
    NotOpen,
    /// An earlier attempt may have run, and the request may not run again, here or now.
    RepeatForbidden,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub number: u64,
    /// Which attempt.
    pub attempt: u32,
    /// Where it went.
    pub receiver: ReceiverId,
    /// How it ended.
    pub verdict: Verdict,
    /// Time since it was decided on.
    pub elapsed: Micros,
    /// Nothing more is owed.
    pub finished: bool,
    /// The limit that the answer told, and what is left of it.
    pub load_report: (Option<f64>, Option<f64>),
    /// Nothing more may go there before, as its answer told, whatever became of the attempt; zero if it told nothing.
    pub wait_until: Micros,
}

/// What became of the messages that a start found taken on and untried. What is in none of the ends still waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryStats {
    /// So many there were.
    pub untried: usize,
    /// Their time was over at the start.
    pub expired_at_start: usize,
    /// They got their call.
    pub attempted: usize,
    /// They ended without one, at the end of their time.
    pub expired_unattempted: usize,
    /// The same with time left: a wait was told, or their class has left the settings.
    pub ended_early: usize,
}

impl RecoveryStats {
    /// None of them waits any more.
    pub fn settled(&self) -> bool {
        self.expired_at_start + self.attempted + self.expired_unattempted + self.ended_early >= self.untried
    }
}
