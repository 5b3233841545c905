//! The side that promises.

use crate::{BootId, Duty, Epoch, LeaseTerms, Member, Message};
use onyxrock::interface::Micros;
use std::collections::BTreeMap;

/// Promises that are kept at once; beyond it nothing new is promised.
const PROMISES_MOST: usize = 100_000;
/// Epochs that one writing makes last: a lease won in each second needs one in a quarter of an hour.
const BLOCK: Epoch = 1000;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Promise {
    to: Member,
    /// A member that has started anew is another one here: what its earlier life began may not be over.
    boot: BootId,
    epoch: Epoch,
    /// When the latest question left that this promise answers, on the holder's clock.
    sent: u64,
    /// It binds until then, on the voter's clock.
    until: Micros,
}

/// What a voter still has of its earlier lives.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum StoredBound {
    /// No epoch that it knew was higher.
    Known(Epoch),
    /// Nothing: it is new, or its folder was wiped. It votes once enough of the others have told theirs.
    Lost,
}

/// Promises each duty to one life of one member at a time, under an epoch higher than any before.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Voter {
    terms: LeaseTerms,
    /// Nothing is promised before: an earlier process may have promised it elsewhere.
    quiet: Micros,
    promises: BTreeMap<Duty, Promise>,
    /// Any duty may have had any epoch up to this.
    floor: Epoch,
    /// The highest epoch of single duties beyond it, and whose it is.
    highest: BTreeMap<Duty, (Epoch, Member, BootId)>,
    /// Epochs up to this will be known to the next process, too; none beyond it is promised.
    durable: Epoch,
    /// The highest that was asked for beyond it: another voter, which has started anew, may know of higher ones.
    wanted: Epoch,
    /// Whom it still has to hear before it votes, and what it has heard.
    lost: Option<Lost>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Lost {
    need: usize,
    heard: BTreeMap<Member, Epoch>,
}

impl Voter {
    /// One of so many voters, in a process that starts now.
    #[must_use]
    pub fn new(terms: LeaseTerms, voters: u16, now: Micros, memory: StoredBound) -> Voter {
        let quorum = voters / 2 + 1;
        // An epoch was known to a majority. Without this voter all but so many others may not know it, and one of those
        // that are heard must.
        let need = usize::from((voters - quorum + 1).min(voters - 1));
        let (floor, lost) = match memory {
            StoredBound::Known(floor) => (floor, None),
            StoredBound::Lost => (0, (need > 0).then(|| Lost { need, heard: BTreeMap::new() })),
        };
        let (promises, highest) = (BTreeMap::new(), BTreeMap::new());
        Voter {
            terms,
            quiet: now.plus(terms.promise_duration()),
            promises,
            floor,
            highest,
            durable: floor,
            wanted: 0,
            lost,
        }
    }

    /// The answer to a question, if the message is one.
    pub fn receive(&mut self, now: Micros, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::LeaseRequest { boot, sent, duties } => {
                let (mut granted, mut refused) = (Vec::new(), Vec::new());
                for (duty, epoch) in duties {
                    if self.ask(now, from, *boot, *sent, *duty, *epoch) {
                        granted.push((*duty, *epoch));
                    } else {
                        refused.push((*duty, self.known(*duty)));
                    }
                }
                Some(Message::LeaseResponse { boot: *boot, sent: *sent, granted, refused })
            }
            Message::Release { boot, sent, duties } => {
                for duty in duties {
                    let theirs = |p: &Promise| (p.to, p.boot) == (from, *boot);
                    // A release that comes late must not undo what was asked for after it.
                    if self.promises.get(duty).is_some_and(|p| theirs(p) && p.sent <= *sent) {
                        self.promises.remove(duty);
                    }
                }
                None
            }
            Message::EpochQuery { boot } => Some(Message::EpochBound { boot: *boot, bound: self.bound() }),
            Message::LeaseResponse { .. } | Message::Want { .. } | Message::EpochBound { .. } => None,
        }
    }

    fn known(&self, duty: Duty) -> Epoch {
        self.highest.get(&duty).map_or(0, |h| h.0).max(self.floor)
    }

    /// No epoch that it knows is higher.
    #[must_use]
    pub fn bound(&self) -> Epoch {
        self.highest.values().map(|h| h.0).fold(self.floor, Epoch::max)
    }

    fn ask(&mut self, now: Micros, from: Member, boot: BootId, sent: u64, duty: Duty, epoch: Epoch) -> bool {
        if epoch > self.durable {
            self.wanted = self.wanted.max(epoch);
        }
        if now < self.quiet || self.lost.is_some() || epoch > self.durable {
            return false;
        }
        let (until, known) = (now.plus(self.terms.promise_duration()), self.known(duty));
        let live = self.promises.get(&duty).copied().filter(|p| p.until > now);
        match live {
            Some(p) if (p.to, p.boot) != (from, boot) => return false,
            // Questions may come out of order: a promise only ever grows.
            Some(p) if p.epoch == epoch => {
                let grown = Promise { sent: p.sent.max(sent), until: p.until.max(until), ..p };
                self.promises.insert(duty, grown);
                return true;
            }
            // What ran out here may still be held by others' promises: its holder, and nobody else, has it again.
            _ if epoch < known || epoch == known && self.highest.get(&duty) != Some(&(epoch, from, boot)) => {
                return false;
            }
            _ => {}
        }
        if live.is_none() && self.promises.len() >= PROMISES_MOST {
            self.tidy(now);
            if self.promises.len() >= PROMISES_MOST {
                return false;
            }
        }
        self.highest.insert(duty, (epoch, from, boot));
        if self.highest.len() > PROMISES_MOST {
            self.floor = self.bound();
            self.highest.clear();
        }
        self.promises.insert(duty, Promise { to: from, boot, epoch, sent, until });
        true
    }

    /// Forgets promises that are over.
    pub fn tidy(&mut self, now: Micros) {
        self.promises.retain(|_, p| p.until > now);
    }

    /// The caller should make it last that no higher epoch than this is promised, and then say [`Voter::kept`].
    #[must_use]
    pub fn to_keep(&self) -> Option<Epoch> {
        let next = self.bound().max(self.wanted).saturating_add(BLOCK);
        (self.lost.is_none() && self.durable < next - BLOCK / 2).then_some(next)
    }

    /// That number outlives the process now.
    pub fn kept(&mut self, bound: Epoch) {
        self.durable = self.durable.max(bound);
    }

    /// It does not vote yet, for it has lost its memory.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// It has lost its memory, and may ask the others. Not before what it may have promised is over: until then a holder
    /// may count it beside a voter that has not heard of the lease yet.
    #[must_use]
    pub fn asks_others(&self, now: Micros) -> bool {
        self.lost.is_some() && now >= self.quiet
    }

    /// Another voter has told its bound.
    pub fn heard(&mut self, from: Member, bound: Epoch) {
        let Some(lost) = &mut self.lost else { return };
        lost.heard.insert(from, bound);
        if lost.heard.len() >= lost.need {
            self.floor = lost.heard.values().copied().fold(self.floor, Epoch::max);
            self.lost = None;
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

    fn ask(v: &mut Voter, now: u64, from: u16, epoch: Epoch) -> Result<Epoch, Epoch> {
        let m = Message::LeaseRequest { boot: 1, sent: now, duties: vec![(DUTY, epoch)] };
        match v.receive(Micros(now), Member(from), &m) {
            Some(Message::LeaseResponse { granted, refused, .. }) => match granted.first() {
                Some((_, e)) => Ok(*e),
                None => Err(refused[0].1),
            },
            other => panic!("{other:?}"),
        }
    }

    fn voter(memory: StoredBound) -> Voter {
        let mut v = Voter::new(TERMS, 3, Micros(0), memory);
        v.to_keep().into_iter().for_each(|n| v.kept(n));
        v
    }

    #[test]
    fn a_new_promise_needs_a_higher_epoch_and_a_refusal_says_which() {
        let mut v = voter(StoredBound::Known(0));
        assert_eq!((ask(&mut v, 100, 0, 1), ask(&mut v, 101, 1, 2)), (Ok(1), Err(1)));
        assert_eq!(ask(&mut v, 120, 0, 1), Ok(1), "the same lease grows");
        assert_eq!(ask(&mut v, 200, 0, 1), Ok(1), "nobody had it meanwhile");
        assert_eq!(ask(&mut v, 250, 1, 1), Err(1), "it was another's");
        assert_eq!((ask(&mut v, 260, 1, 2), ask(&mut v, 261, 0, 9)), (Ok(2), Err(2)));
    }

    /// An epoch that is promised and then forgotten could be handed out twice.
    #[test]
    fn nothing_is_promised_that_would_not_last() {
        let mut v = Voter::new(TERMS, 3, Micros(0), StoredBound::Known(5));
        assert_eq!(ask(&mut v, 100, 0, 6), Err(5));
        assert_eq!(v.to_keep(), Some(6 + BLOCK));
        v.kept(6 + BLOCK);
        assert_eq!((ask(&mut v, 101, 0, 6), v.to_keep()), (Ok(6), None));
        assert_eq!(ask(&mut v, 200, 1, 7 + BLOCK), Err(6), "beyond what lasts");
        assert_eq!(v.to_keep(), Some(7 + 2 * BLOCK), "another voter knows of such");
        let mut next = voter(StoredBound::Known(5 + BLOCK));
        assert_eq!(ask(&mut next, 100, 1, 7), Err(5 + BLOCK), "the next process knows none of them apart");
    }

    #[test]
    fn one_that_has_lost_its_memory_votes_once_the_others_have_told_theirs() {
        let mut v = Voter::new(TERMS, 3, Micros(0), StoredBound::Lost);
        assert!(!v.asks_others(Micros(43)) && v.asks_others(Micros(44)), "its promises may stand until then");
        assert_eq!((ask(&mut v, 100, 0, 1), v.to_keep()), (Err(0), None));
        v.heard(Member(1), 0);
        v.heard(Member(1), 0);
        assert!(v.asks_others(Micros(100)), "one other of two is not enough: it may not have known");
        v.heard(Member(2), 70);
        v.to_keep().into_iter().for_each(|n| v.kept(n));
        assert_eq!((ask(&mut v, 101, 0, 70), ask(&mut v, 101, 0, 71)), (Err(70), Ok(71)));
    }
}
