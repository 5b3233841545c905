//! The fence at the receiver of a duty's effects, which refuses outdated epochs.

use crate::{Duty, Epoch};
use std::collections::BTreeMap;

/// Maximum number of duties that the fence tracks. It refuses any further duty, which costs time but admits
/// no outdated effect.
const MAX_TRACKED_DUTIES: usize = 100_000;

/// Refuses effects under a lease earlier than one already seen. A holder that was suspended, or whose
/// datagrams were delayed, may act long after another member has won the lease. The holder's own clock cannot
/// show this; the receiver can detect it.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<Duty, Epoch>,
    refused_count: u64,
}

impl Fence {
    /// Whether an effect under this epoch may be applied here. Remembers the epoch if so.
    pub fn admit(&mut self, duty: Duty, epoch: Epoch) -> bool {
        let has_capacity = self.highest.len() < MAX_TRACKED_DUTIES;
        let admitted = match self.highest.get_mut(&duty) {
            Some(highest) if epoch < *highest => false,
            Some(highest) => {
                *highest = epoch;
                true
            }
            // No lease has epoch zero.
            None if has_capacity && epoch > 0 => {
                self.highest.insert(duty, epoch);
                true
            }
            None => false,
        };
        self.refused_count += u64::from(!admitted);
        admitted
    }

    /// The highest epoch seen for a duty; zero if none.
    #[must_use]
    pub fn highest(&self, duty: Duty) -> Epoch {
        self.highest.get(&duty).copied().unwrap_or(0)
    }

    /// The number of effects refused since the start.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.refused_count
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::DutyKind;

    #[test]
    fn effects_under_an_earlier_lease_are_refused_and_counted() {
        let (list_duty, probe_duty) =
            (Duty { kind: DutyKind::List, target: 0 }, Duty { kind: DutyKind::Probe, target: 0 });
        let mut fence = Fence::default();
        assert!(!fence.admit(list_duty, 0), "no lease has epoch zero");
        assert!(fence.admit(list_duty, 3) && fence.admit(list_duty, 3) && fence.admit(probe_duty, 1));
        assert!(fence.admit(list_duty, 5) && !fence.admit(list_duty, 3) && !fence.admit(list_duty, 4));
        assert_eq!((fence.highest(list_duty), fence.highest(probe_duty), fence.refused_count()), (5, 1, 3));
    }
}
