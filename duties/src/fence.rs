//! The side that receives what is done under a duty.

use crate::{Duty, Epoch};
use std::collections::BTreeMap;

/// Duties that are told apart; an unknown one beyond them is refused, which costs time and lets nothing stale in.
const KNOWN_MOST: usize = 100_000;

/// Refuses what comes from an earlier lease than one that it has heard of. A holder that stood still, or whose datagrams
/// did, may act long after its lease was another's; its clock cannot tell it, the receiver can.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<Duty, Epoch>,
    refused: u64,
}

impl Fence {
    /// What was done under this epoch may take effect here.
    pub fn admit(&mut self, duty: Duty, epoch: Epoch) -> bool {
        let room = self.highest.len() < KNOWN_MOST;
        let admitted = match self.highest.get_mut(&duty) {
            Some(highest) if epoch < *highest => false,
            Some(highest) => {
                *highest = epoch;
                true
            }
            // Zero is nobody's epoch.
            None if room && epoch > 0 => {
                self.highest.insert(duty, epoch);
                true
            }
            None => false,
        };
        self.refused += u64::from(!admitted);
        admitted
    }

    /// The highest epoch seen of a duty; zero if none.
    #[must_use]
    pub fn highest(&self, duty: Duty) -> Epoch {
        self.highest.get(&duty).copied().unwrap_or(0)
    }

    /// What was refused since the start.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::DutyKind;

    #[test]
    fn what_comes_from_an_earlier_lease_is_refused_and_counted() {
        let (a, b) = (Duty { kind: DutyKind::List, target: 0 }, Duty { kind: DutyKind::Probe, target: 0 });
        let mut fence = Fence::default();
        assert!(!fence.admit(a, 0), "no lease has that epoch");
        assert!(fence.admit(a, 3) && fence.admit(a, 3) && fence.admit(b, 1));
        assert!(fence.admit(a, 5) && !fence.admit(a, 3) && !fence.admit(a, 4));
        assert_eq!((fence.highest(a), fence.highest(b), fence.refused()), (5, 1, 3));
    }
}
