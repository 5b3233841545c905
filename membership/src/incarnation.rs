//! One life of a member, as the failure detector tells members apart.

use foca::Identity;
use onyxrock_duties::Member;
use serde::{Deserialize, Serialize};

/// How far a member leaps that is told it is dead, or an older one than is known: further than clocks are usually off.
const LEAP: u64 = 60_000_000;

/// A member since a start of its process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Life {
    /// Who.
    pub member: Member,
    /// Later lives have greater numbers: microseconds of the wall clock at the start, and leaps.
    pub number: u64,
}

impl Life {
    pub(crate) fn next(self) -> Life {
        Life { number: self.number.saturating_add(LEAP), ..self }
    }
}

impl Identity for Life {
    type Addr = Member;
    fn renew(&self) -> Option<Life> {
        Some(self.next())
    }
    fn addr(&self) -> Member {
        self.member
    }
    fn win_addr_conflict(&self, other: &Life) -> bool {
        self.number > other.number
    }
}
