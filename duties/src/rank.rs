//! Rendezvous (highest random weight) hashing.

use crate::{Duty, Member};
use xxhash_rust::xxh64::xxh64;

fn weight(duty: Duty, m: Member) -> u64 {
    let mut bytes = [0; 11];
    bytes[0] = duty.kind as u8;
    bytes[1..9].copy_from_slice(&duty.target.to_le_bytes());
    bytes[9..].copy_from_slice(&m.0.to_le_bytes());
    xxh64(&bytes, 0)
}

/// Whose a duty is among these members. When one comes or goes only its own duties move. The hash (XXH64) is the same on
/// every machine and in every version.
#[must_use]
pub fn first(duty: Duty, members: impl IntoIterator<Item = Member>) -> Option<Member> {
    members.into_iter().max_by_key(|m| (weight(duty, *m), *m))
}

/// How many of these members come before this one in the order for a duty.
#[must_use]
pub fn place(duty: Duty, member: Member, members: impl IntoIterator<Item = Member>) -> usize {
    let own = (weight(duty, member), member);
    members.into_iter().filter(|m| (weight(duty, *m), *m) > own).count()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::DutyKind;
    use std::collections::BTreeMap;

    fn first(of: u64, members: &[u16]) -> Member {
        let (duty, all) = (Duty { kind: DutyKind::Probe, target: of }, members.iter().map(|m| Member(*m)));
        let first = super::first(duty, all.clone()).unwrap();
        assert_eq!(all.clone().filter(|m| place(duty, *m, all.clone()) == 0).collect::<Vec<_>>(), [first]);
        first
    }

    #[test]
    fn duties_spread_evenly_and_only_the_lost_ones_move() {
        let (all, rest) = ([0, 1, 2, 3, 4], [0, 1, 3, 4]);
        let mut share: BTreeMap<Member, u32> = BTreeMap::new();
        for of in 0..5000 {
            let owner = first(of, &all);
            *share.entry(owner).or_default() += 1;
            if owner != Member(2) {
                assert_eq!(first(of, &rest), owner);
            }
        }
        assert!(share.values().all(|n| (850..1150).contains(n)), "{share:?}");
    }

    /// Instances of two versions must agree on who is first.
    #[test]
    fn the_order_is_fixed_for_good() {
        let order: Vec<_> = (0..8).map(|of| first(of, &[0, 1, 2, 3, 4]).0).collect();
        assert_eq!(order, FIXED);
    }
    const FIXED: [u16; 8] = [4, 2, 4, 2, 4, 1, 3, 1];
}
