//! Ranks members for a duty by rendezvous (highest random weight) hashing.

use crate::{Duty, Member};
use xxhash_rust::xxh64::xxh64;

fn weight(duty: Duty, member: Member) -> u64 {
    let mut bytes = [0; 11];
    bytes[0] = duty.kind as u8;
    bytes[1..9].copy_from_slice(&duty.target.to_le_bytes());
    bytes[9..].copy_from_slice(&member.0.to_le_bytes());
    xxh64(&bytes, 0)
}

/// The member that ranks first for a duty. When a member joins or leaves, only its own duties move. The hash
/// (XXH64) is the same on every machine and in every version.
#[must_use]
pub fn first(duty: Duty, members: impl IntoIterator<Item = Member>) -> Option<Member> {
    members.into_iter().max_by_key(|m| (weight(duty, *m), *m))
}

/// How many of these members rank above this one for a duty.
#[must_use]
pub fn count_above(duty: Duty, member: Member, members: impl IntoIterator<Item = Member>) -> usize {
    let own = (weight(duty, member), member);
    members.into_iter().filter(|m| (weight(duty, *m), *m) > own).count()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::DutyKind;
    use std::collections::BTreeMap;

    fn checked_first(target: u64, members: &[u16]) -> Member {
        let (duty, all) = (Duty { kind: DutyKind::Probe, target }, members.iter().map(|m| Member(*m)));
        let first = super::first(duty, all.clone()).unwrap();
        assert_eq!(
            all.clone().filter(|m| count_above(duty, *m, all.clone()) == 0).collect::<Vec<_>>(),
            [first]
        );
        first
    }

    #[test]
    fn duties_spread_evenly_and_only_those_of_a_lost_member_move() {
        let (all, remaining) = ([0, 1, 2, 3, 4], [0, 1, 3, 4]);
        let mut duties_per_member: BTreeMap<Member, u32> = BTreeMap::new();
        for target in 0..5000 {
            let owner = checked_first(target, &all);
            *duties_per_member.entry(owner).or_default() += 1;
            if owner != Member(2) {
                assert_eq!(checked_first(target, &remaining), owner);
            }
        }
        assert!(duties_per_member.values().all(|n| (850..1150).contains(n)), "{duties_per_member:?}");
    }

    /// Instances of two versions must agree on the ranking.
    #[test]
    fn ranking_is_the_same_in_every_version() {
        let order: Vec<_> = (0..8).map(|target| checked_first(target, &[0, 1, 2, 3, 4]).0).collect();
        assert_eq!(order, EXPECTED_FIRST);
    }
    const EXPECTED_FIRST: [u16; 8] = [4, 2, 4, 2, 4, 1, 3, 1];
}
