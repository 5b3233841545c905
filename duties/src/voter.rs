//! The voter's side of the protocol: promises duties to holders.

use crate::{BootId, Duty, Epoch, LeaseTerms, Member, Message};
use onyxrock::interface::Micros;
use std::collections::BTreeMap;

/// Maximum number of promises at a time; beyond it the voter makes no new ones.
const MAX_PROMISES: usize = 100_000;
/// Number of epochs that one write to disk reserves: at one lease won per second, one write every quarter of
/// an hour.
const EPOCH_BLOCK: Epoch = 1000;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Promise {
    holder: Member,
    /// A restarted member counts as another holder here, because a run that its earlier process began may not
    /// be over.
    boot: BootId,
    epoch: Epoch,
    /// When the latest request that this promise granted was sent, on the holder's clock.
    sent: u64,
    /// When the promise expires, on the voter's clock.
    expires_at: Micros,
}

/// What a voter still knows from its earlier processes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum StoredBound {
    /// No epoch that the voter knew was higher than this.
    Known(Epoch),
    /// The bound is missing: the voter is new, or its state folder was deleted. The voter votes once enough
    /// of the other voters have reported their bounds.
    Lost,
}

/// Promises each duty to one process of one member at a time, under an epoch higher than any before.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Voter {
    terms: LeaseTerms,
    /// The voter promises nothing before this time: an earlier process may have promised the duty to another
    /// member.
    silent_until: Micros,
    promises: BTreeMap<Duty, Promise>,
    /// Every duty may have had any epoch up to this one.
    epoch_floor: Epoch,
    /// The highest epoch of each duty beyond `epoch_floor`, and the holder of that lease.
    highest: BTreeMap<Duty, (Epoch, Member, BootId)>,
    /// The next process will know of epochs up to this one; the voter promises none beyond it.
    persisted_bound: Epoch,
    /// The highest epoch beyond `persisted_bound` that was requested: another voter, which has restarted, may
    /// know of higher epochs.
    highest_requested: Epoch,
    /// Set while the voter has to collect bounds from other voters before it votes.
    recovery: Option<Recovery>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Recovery {
    reports_needed: usize,
    bounds: BTreeMap<Member, Epoch>,
}

impl Voter {
    /// Creates one of `voters` voters, in a process that starts now.
    #[must_use]
    pub fn new(terms: LeaseTerms, voters: u16, now: Micros, stored_bound: StoredBound) -> Voter {
        let quorum = voters / 2 + 1;
        // A majority knew each epoch. This voter aside, up to `voters - quorum` others may not know it, so
        // that at least one of the voters that report must know it.
        let reports_needed = usize::from((voters - quorum + 1).min(voters - 1));
        let (epoch_floor, recovery) = match stored_bound {
            StoredBound::Known(epoch_floor) => (epoch_floor, None),
            StoredBound::Lost => {
                (0, (reports_needed > 0).then(|| Recovery { reports_needed, bounds: BTreeMap::new() }))
            }
        };
        let (promises, highest) = (BTreeMap::new(), BTreeMap::new());
        Voter {
            terms,
            silent_until: now.plus(terms.promise_duration()),
            promises,
            epoch_floor,
            highest,
            persisted_bound: epoch_floor,
            highest_requested: 0,
            recovery,
        }
    }

    /// Processes a message to a voter and returns the response, if it needs one.
    pub fn receive(&mut self, now: Micros, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::LeaseRequest { boot, sent, duties } => {
                let (mut granted, mut refused) = (Vec::new(), Vec::new());
                for (duty, epoch) in duties {
                    if self.grant(now, from, *boot, *sent, *duty, *epoch) {
                        granted.push((*duty, *epoch));
                    } else {
                        refused.push((*duty, self.highest_known(*duty)));
                    }
                }
                Some(Message::LeaseResponse { boot: *boot, sent: *sent, granted, refused })
            }
            Message::Release { boot, sent, duties } => {
                for duty in duties {
                    let is_senders = |p: &Promise| (p.holder, p.boot) == (from, *boot);
                    // A delayed release must not cancel a promise that a later request has renewed.
                    if self.promises.get(duty).is_some_and(|p| is_senders(p) && p.sent <= *sent) {
                        self.promises.remove(duty);
                    }
                }
                None
            }
            Message::EpochQuery { boot } => {
                Some(Message::EpochBound { boot: *boot, bound: self.epoch_bound() })
            }
            Message::LeaseResponse { .. } | Message::Want { .. } | Message::EpochBound { .. } => None,
        }
    }

    fn highest_known(&self, duty: Duty) -> Epoch {
        self.highest.get(&duty).map_or(0, |highest| highest.0).max(self.epoch_floor)
    }

    /// The highest epoch that the voter knows, over all duties.
    #[must_use]
    pub fn epoch_bound(&self) -> Epoch {
        self.highest.values().map(|highest| highest.0).fold(self.epoch_floor, Epoch::max)
    }

    fn grant(
        &mut self, now: Micros, from: Member, boot: BootId, sent: u64, duty: Duty, epoch: Epoch,
    ) -> bool {
        if epoch > self.persisted_bound {
            self.highest_requested = self.highest_requested.max(epoch);
        }
        if now < self.silent_until || self.recovery.is_some() || epoch > self.persisted_bound {
            return false;
        }
        let (expires_at, known) = (now.plus(self.terms.promise_duration()), self.highest_known(duty));
        let current = self.promises.get(&duty).copied().filter(|p| p.expires_at > now);
        match current {
            Some(p) if (p.holder, p.boot) != (from, boot) => return false,
            // Requests may arrive out of order: a promise is only ever extended.
            Some(p) if p.epoch == epoch => {
                let extended =
                    Promise { sent: p.sent.max(sent), expires_at: p.expires_at.max(expires_at), ..p };
                self.promises.insert(duty, extended);
                return true;
            }
            // The promise has expired here, but promises of other voters may still support the lease: only
            // its holder may have the same epoch again.
            _ if epoch < known || epoch == known && self.highest.get(&duty) != Some(&(epoch, from, boot)) => {
                return false;
            }
            _ => {}
        }
        if current.is_none() && self.promises.len() >= MAX_PROMISES {
            self.remove_expired(now);
            if self.promises.len() >= MAX_PROMISES {
                return false;
            }
        }
        self.highest.insert(duty, (epoch, from, boot));
        if self.highest.len() > MAX_PROMISES {
            self.epoch_floor = self.epoch_bound();
            self.highest.clear();
        }
        self.promises.insert(duty, Promise { holder: from, boot, epoch, sent, expires_at });
        true
    }

    /// Removes expired promises.
    pub fn remove_expired(&mut self, now: Micros) {
        self.promises.retain(|_, p| p.expires_at > now);
    }

    /// The bound on promised epochs that the caller should persist now, if a write is due. The caller reports
    /// the completed write with [`Voter::mark_bound_persisted`].
    #[must_use]
    pub fn bound_to_persist(&self) -> Option<Epoch> {
        let next = self.epoch_bound().max(self.highest_requested).saturating_add(EPOCH_BLOCK);
        (self.recovery.is_none() && self.persisted_bound < next - EPOCH_BLOCK / 2).then_some(next)
    }

    /// Records that the bound has been persisted and survives the process.
    pub fn mark_bound_persisted(&mut self, bound: Epoch) {
        self.persisted_bound = self.persisted_bound.max(bound);
    }

    /// Whether the voter does not vote yet because its stored bound was lost.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Whether the voter, whose stored bound was lost, may query the others now. It waits until the promises
    /// that it may have made have expired: until then a holder may count one of them towards a majority that
    /// includes a voter which does not know of the lease yet.
    #[must_use]
    pub fn may_query_voters(&self, now: Micros) -> bool {
        self.recovery.is_some() && now >= self.silent_until
    }

    /// Records the bound that another voter has reported.
    pub fn record_bound(&mut self, from: Member, bound: Epoch) {
        let Some(recovery) = &mut self.recovery else { return };
        recovery.bounds.insert(from, bound);
        if recovery.bounds.len() >= recovery.reports_needed {
            self.epoch_floor = recovery.bounds.values().copied().fold(self.epoch_floor, Epoch::max);
            self.recovery = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::DutyKind;

    const TERMS: LeaseTerms =
        LeaseTerms { duration: Micros(40), min_interval: Micros(10), run_timeout: Micros(5) };
    const DUTY: Duty = Duty { kind: DutyKind::Coordinator, target: 0 };

    fn request(voter: &mut Voter, now: u64, from: u16, epoch: Epoch) -> Result<Epoch, Epoch> {
        let message = Message::LeaseRequest { boot: 1, sent: now, duties: vec![(DUTY, epoch)] };
        match voter.receive(Micros(now), Member(from), &message) {
            Some(Message::LeaseResponse { granted, refused, .. }) => match granted.first() {
                Some((_, e)) => Ok(*e),
                None => Err(refused[0].1),
            },
            other => panic!("{other:?}"),
        }
    }

    fn new_voter(stored_bound: StoredBound) -> Voter {
        let mut voter = Voter::new(TERMS, 3, Micros(0), stored_bound);
        voter.bound_to_persist().into_iter().for_each(|n| voter.mark_bound_persisted(n));
        voter
    }

    #[test]
    fn new_promise_needs_a_higher_epoch_and_a_refusal_names_the_known_one() {
        let mut voter = new_voter(StoredBound::Known(0));
        assert_eq!((request(&mut voter, 100, 0, 1), request(&mut voter, 101, 1, 2)), (Ok(1), Err(1)));
        assert_eq!(request(&mut voter, 120, 0, 1), Ok(1), "the same lease is extended");
        assert_eq!(request(&mut voter, 200, 0, 1), Ok(1), "no other holder had the lease meanwhile");
        assert_eq!(request(&mut voter, 250, 1, 1), Err(1), "the epoch belongs to another holder");
        assert_eq!((request(&mut voter, 260, 1, 2), request(&mut voter, 261, 0, 9)), (Ok(2), Err(2)));
    }

    /// An epoch that was promised and then forgotten could be granted to two leases.
    #[test]
    fn no_epoch_beyond_the_persisted_bound_is_promised() {
        let mut voter = Voter::new(TERMS, 3, Micros(0), StoredBound::Known(5));
        assert_eq!(request(&mut voter, 100, 0, 6), Err(5));
        assert_eq!(voter.bound_to_persist(), Some(6 + EPOCH_BLOCK));
        voter.mark_bound_persisted(6 + EPOCH_BLOCK);
        assert_eq!((request(&mut voter, 101, 0, 6), voter.bound_to_persist()), (Ok(6), None));
        assert_eq!(request(&mut voter, 200, 1, 7 + EPOCH_BLOCK), Err(6), "beyond the persisted bound");
        assert_eq!(
            voter.bound_to_persist(),
            Some(7 + 2 * EPOCH_BLOCK),
            "another voter may know of higher epochs"
        );
        let mut next = new_voter(StoredBound::Known(5 + EPOCH_BLOCK));
        assert_eq!(
            request(&mut next, 100, 1, 7),
            Err(5 + EPOCH_BLOCK),
            "the next process cannot tell the epochs below the bound apart"
        );
    }

    #[test]
    fn voter_without_stored_bound_votes_only_after_enough_reports() {
        let mut voter = Voter::new(TERMS, 3, Micros(0), StoredBound::Lost);
        assert!(
            !voter.may_query_voters(Micros(43)) && voter.may_query_voters(Micros(44)),
            "its earlier promises may still bind until then"
        );
        assert_eq!((request(&mut voter, 100, 0, 1), voter.bound_to_persist()), (Err(0), None));
        voter.record_bound(Member(1), 0);
        voter.record_bound(Member(1), 0);
        assert!(
            voter.may_query_voters(Micros(100)),
            "one report of two is not enough: that voter may not know the epoch"
        );
        voter.record_bound(Member(2), 70);
        voter.bound_to_persist().into_iter().for_each(|n| voter.mark_bound_persisted(n));
        assert_eq!((request(&mut voter, 101, 0, 70), request(&mut voter, 101, 0, 71)), (Err(70), Ok(71)));
    }
}
