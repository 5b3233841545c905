//! The actions that the ledger returns to its caller, and the results that the caller reports back.

use super::record::FinalStatus;
use crate::interface::{DestinationId, Micros, ReceiverId, Verdict};

/// Something that the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Make an attempt to deliver a message.
    Call {
        /// Number of the message.
        number: u64,
        /// Index of the attempt within this process, to be repeated in its [`AttemptOutcome`].
        attempt: u32,
        /// The endpoint to call.
        receiver: ReceiverId,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Stop waiting for the response to an attempt: its message has ended by another attempt, or later calls
    /// overtook the attempt and its slot is needed.
    CancelAttempt {
        /// Number of the message.
        number: u64,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Make the call of a probe.
    Probe {
        /// Number of the probe; no message has the same number.
        number: u64,
        /// The endpoint to call.
        receiver: ReceiverId,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Send these bytes to all other senders, which pass them to
    /// [`Ledger::on_peer_hint`](super::Ledger::on_peer_hint). The hint is about this endpoint, by the id that
    /// it has in this process.
    SendPeerHint(ReceiverId, Vec<u8>),
    /// Report the final status of a message to its client.
    ReportFinalStatus {
        /// Number of the message.
        number: u64,
        /// The final status.
        status: FinalStatus,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(ReceiverId),
    /// Request the endpoint list and subscribe to its changes.
    RequestList,
    /// Log that an endpoint counts as unhealthy from now on.
    LogUnhealthy {
        /// The endpoint.
        receiver: ReceiverId,
        /// Its destination.
        destination: DestinationId,
        /// How the call ended that made it unhealthy.
        verdict: Verdict,
    },
}

/// Why an attempt must not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The message has ended, or has its maximum number of attempts in flight.
    NotOpen,
    /// An earlier attempt may have run, and the message must not run again at this endpoint or at this time.
    RepeatForbidden,
}

/// The outcome of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Number of the message or probe.
    pub number: u64,
    /// Index of the attempt.
    pub attempt: u32,
    /// The endpoint that was called.
    pub receiver: ReceiverId,
    /// How the attempt ended.
    pub verdict: Verdict,
    /// Time since the attempt was decided.
    pub elapsed: Micros,
    /// Nothing more has to be done for the message.
    pub finished: bool,
    /// The limit that the response reported, in calls per second, and the remaining share of it.
    pub load_report: (Option<f64>, Option<f64>),
    /// No call may be sent to the endpoint before this time, by the retry-after of its response, which
    /// applies whatever the verdict is; zero if the response had none.
    pub wait_until: Micros,
}

/// How the messages ended that an earlier process had accepted but not attempted. A message that none of the
/// counts after `untried` includes is still waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryStats {
    /// Number of such messages at the start.
    pub untried: usize,
    /// Messages whose deadline had passed at the start.
    pub expired_at_start: usize,
    /// Messages that got an attempt.
    pub attempted: usize,
    /// Messages that ended at their deadline without an attempt.
    pub expired_unattempted: usize,
    /// Messages that ended before their deadline without an attempt: because of a retry-after, or because
    /// their class has left the settings.
    pub ended_early: usize,
}

impl RecoveryStats {
    /// Whether none of these messages is still waiting.
    pub fn settled(&self) -> bool {
        self.expired_at_start + self.attempted + self.expired_unattempted + self.ended_early >= self.untried
    }
}

/// Whether a ledger may decide on new attempts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Sending {
    /// New attempts may be sent.
    Allowed,
    /// None may be sent for now, while something is still to be learned. Everything else is decided.
    Held,
    /// None will be sent any more, as the process shuts down. What is open at the end is left to the next
    /// process; messages only end at their deadline.
    Stopped,
}
