//! Incarnations of a member, by which the failure detector distinguishes its processes.

use foca::Identity;
use onyxrock_duties::Member;
use serde::{Deserialize, Serialize};

/// How far the incarnation number advances if other members consider this member dead or know a later
/// incarnation. One minute is more than clocks are usually off.
const INCARNATION_STEP_US: u64 = 60_000_000;

/// A member since one start of its process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Incarnation {
    /// The member.
    pub member: Member,
    /// A later incarnation has a higher number: the wall clock at the start in microseconds, plus any
    /// advances.
    pub number: u64,
}

impl Incarnation {
    pub(crate) fn successor(self) -> Incarnation {
        Incarnation { number: self.number.saturating_add(INCARNATION_STEP_US), ..self }
    }
}

impl Identity for Incarnation {
    type Addr = Member;
    fn renew(&self) -> Option<Incarnation> {
        Some(self.successor())
    }
    fn addr(&self) -> Member {
        self.member
    }
    fn win_addr_conflict(&self, other: &Incarnation) -> bool {
        self.number > other.number
    }
}
