//! The duties of one instance: which are wanted, whose each should be, and the leases for its own.

use crate::{
    BootId, DUTIES_MOST, Duty, Epoch, Holder, LeaseTerms, Member, Message, NotNow, StoredBound, Voter, rank,
};
use onyxrock::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Duties that may be wanted at once; what is beyond it waits for its next want.
const WANTED_MOST: usize = 20_000;

/// Questions that only a minority granted, after which a member steps back.
const TRIES: u32 = 6;

/// Leases for which a member must have been seen before duties move to it.
const SETTLE: u64 = 8;

/// Something for the caller to carry out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Output {
    /// Send this to another member. It may be lost.
    Send {
        /// To whom; never to itself.
        to: Member,
        /// What.
        message: Message,
    },
}

/// A lease that is held.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Owned {
    /// For what.
    pub duty: Duty,
    /// Which lease of it.
    pub epoch: Epoch,
    /// Since when.
    pub since: Micros,
    /// Until when, without renewal.
    pub until: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    until: Micros,
    /// This instance itself wants it.
    mine: Micros,
    /// Questions in a row that only a minority granted.
    tries: u32,
    /// Not to be asked for before.
    rest: Micros,
}

/// All that one instance knows of duties.
#[derive(Clone, Debug)]
pub struct DutyTable {
    me: Member,
    members: u16,
    voters: u16,
    boot: BootId,
    terms: LeaseTerms,
    holder: Holder,
    voter: Option<Voter>,
    /// Who is seen alive, and since when.
    alive: BTreeMap<Member, Micros>,
    wanted: BTreeMap<Duty, Wanted>,
    round: Micros,
    /// When each other voter last answered.
    answered: BTreeMap<Member, Micros>,
    won: u64,
}

impl DutyTable {
    /// A book for the member `me` of so many, of which the first `voters` vote. `boot` is a number that no other
    /// process of this member has, `memory` what [`Book::to_keep`] asked an earlier one to make last.
    #[must_use]
    pub fn new(
        me: Member, members: u16, voters: u16, terms: LeaseTerms, boot: BootId, now: Micros,
        memory: StoredBound,
    ) -> DutyTable {
        let voters = voters.clamp(1, members.max(1));
        DutyTable {
            me,
            members,
            voters,
            terms,
            holder: Holder::new(terms, boot, voters),
            boot,
            voter: (me.0 < voters).then(|| Voter::new(terms, voters, now, memory)),
            alive: BTreeMap::from([(me, now)]),
            wanted: BTreeMap::new(),
            round: now,
            answered: BTreeMap::new(),
            won: 0,
        }
    }

    /// The terms of every lease.
    #[must_use]
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// Who is seen alive now. It only says who should ask; a view that is wrong costs time, not safety.
    pub fn set_alive(&mut self, now: Micros, alive: BTreeSet<Member>) {
        self.alive.retain(|m, _| alive.contains(m) || *m == self.me);
        for m in alive {
            self.alive.entry(m).or_insert(now);
        }
    }

    /// This instance wants a duty done until then.
    pub fn want(&mut self, duty: Duty, until: Micros) {
        if let Some(w) = self.wanted_entry(duty) {
            (w.mine, w.until) = (w.mine.max(until), w.until.max(until));
        }
    }

    /// This instance does not want it any more; others may.
    pub fn unwant(&mut self, now: Micros, duty: Duty) {
        if let Some(w) = self.wanted.get_mut(&duty) {
            w.until = if w.mine >= w.until { now } else { w.until };
            w.mine = Micros(0);
        }
    }

    fn wanted_entry(&mut self, duty: Duty) -> Option<&mut Wanted> {
        if self.wanted.len() >= WANTED_MOST && !self.wanted.contains_key(&duty) {
            return None;
        }
        let none = Wanted { until: Micros(0), mine: Micros(0), tries: 0, rest: Micros(0) };
        Some(self.wanted.entry(duty).or_insert(none))
    }

    /// Whose a duty should be: the first of those that have been seen for a while, where there are any.
    #[must_use]
    pub fn first(&self, now: Micros, duty: Duty) -> Member {
        rank::first(duty, self.settled(now)).unwrap_or(self.me)
    }

    /// A member that has only just come may go again, and knows little yet: duties do not move to it at once. Where most
    /// have only just come the net is at fault: by the few that are left each would take itself for the first.
    fn settled(&self, now: Micros) -> Vec<Member> {
        let rest = Micros(self.terms.duration.0 * SETTLE);
        let old = self.alive.iter().filter(|(_, since)| now.since(**since) >= rest);
        let old: Vec<_> = old.map(|(m, _)| *m).collect();
        if old.len() * 2 <= self.alive.len() { self.alive.keys().copied().collect() } else { old }
    }

    /// Takes what another member said; who it was must be known for sure.
    pub fn receive(&mut self, now: Micros, from: Member, message: Message) -> Vec<Output> {
        if from.0 >= self.members || from == self.me || !message.fits() {
            return Vec::new();
        }
        if let Message::Want { duties } = &message {
            let until = now.plus(self.terms.duration);
            for duty in duties {
                if let Some(w) = self.wanted_entry(*duty) {
                    w.until = w.until.max(until);
                }
            }
            // What was not known to be wanted is asked for at the next round.
            return Vec::new();
        }
        if matches!(message, Message::LeaseResponse { .. }) && from.0 < self.voters {
            let before = self.reached(now);
            self.answered.insert(from, now);
            // A majority answers again: what is wanted need not wait for the next round.
            if !before && self.reached(now) {
                self.round = now;
            }
        }
        if let Message::EpochBound { boot, bound } = &message
            && (*boot, from.0 < self.voters) == (self.boot, true)
            && let Some(v) = &mut self.voter
        {
            v.heard(from, *bound);
        }
        self.won += u64::from(self.holder.receive(now, from, &message));
        let answer = self.voter.as_mut().and_then(|v| v.receive(now, from, &message));
        answer.into_iter().map(|message| Output::Send { to: from, message }).collect()
    }

    /// A majority of voters has answered within the length of a lease, this one included where it votes.
    fn reached(&self, now: Micros) -> bool {
        let lately = self.answered.values().filter(|t| now.since(**t) < self.terms.duration).count();
        lately + usize::from(self.voter.is_some()) >= self.holder.quorum()
    }

    /// What is due: questions, renewals, what is given back. Call it when [`Book::due`] says so.
    pub fn tick(&mut self, now: Micros) -> Vec<Output> {
        let mut out = Vec::new();
        let over: Vec<_> = self.wanted.iter().filter(|(_, w)| w.until <= now).map(|(d, _)| *d).collect();
        self.give_back(now, &over, &mut out);
        for duty in over {
            // One that is still being done is given back at a later tick.
            if self.holder.asked(duty).is_none() {
                self.wanted.remove(&duty);
            }
        }
        if now < self.round {
            return out;
        }
        self.round = now.plus(self.terms.renew_interval());
        if let Some(v) = &mut self.voter {
            v.tidy(now);
            if v.asks_others(now) {
                self.tell_voters(now, &Message::EpochQuery { boot: self.boot }, &mut out);
            }
        }
        self.holder.tidy(now);
        if !self.reached(now) && !self.wanted.is_empty() {
            // One that is not answered may be heard all the same, and would keep others from what it cannot win: it asks
            // for nothing until it is, and gives back what it asked for. A lease that is held stays until its end.
            let asked = |d: &Duty| self.holder.asked(*d).is_some() && !self.holder.holds(now, *d);
            let back: Vec<_> = self.wanted.keys().copied().filter(asked).collect();
            self.give_back(now, &back, &mut out);
            if let Some(nothing) = self.holder.ask(now, Vec::new()) {
                self.tell_voters(now, &nothing, &mut out);
            }
            return out;
        }
        let (mut ask, mut back) = (Vec::new(), Vec::new());
        let mut tell: BTreeMap<Member, Vec<Duty>> = BTreeMap::new();
        let settled = self.settled(now);
        for (duty, w) in &mut self.wanted {
            let first = rank::first(*duty, settled.iter().copied()).unwrap_or(self.me);
            let holds = self.holder.holds(now, *duty);
            if first == self.me {
                w.tries = if !holds && self.holder.partial(*duty) { w.tries + 1 } else { 0 };
                if w.tries >= TRIES {
                    // Others ask too, and each has a part: all but one must step back, those behind for longer. A
                    // promise to somebody who is gone ends by itself before that.
                    let place = rank::place(*duty, self.me, (0..self.members).map(Member)) as u64;
                    w.rest = now.plus(Micros(self.terms.renew_interval().0 * place));
                    w.tries = 0;
                    back.push(*duty);
                }
                if w.rest <= now {
                    ask.push(*duty);
                }
                continue;
            }
            if w.mine > now {
                tell.entry(first).or_default().push(*duty);
            }
            if self.holder.asked(*duty).is_some() {
                back.push(*duty);
            }
        }
        self.give_back(now, &back, &mut out);
        for (to, duties) in tell {
            for some in duties.chunks(DUTIES_MOST) {
                out.push(Output::Send { to, message: Message::Want { duties: some.to_vec() } });
            }
        }
        for some in ask.chunks(DUTIES_MOST) {
            // A release left at this very moment: a question now could not be told from what it takes back.
            let Some(message) = self.holder.ask(now, some.to_vec()) else {
                self.round = now.plus(Micros(1));
                break;
            };
            self.tell_voters(now, &message, &mut out);
        }
        out
    }

    fn give_back(&mut self, now: Micros, duties: &[Duty], out: &mut Vec<Output>) {
        for some in duties.chunks(DUTIES_MOST) {
            if let Some(message) = self.holder.release(now, some) {
                self.tell_voters(now, &message, out);
            }
        }
    }

    /// To all voters; this instance's own vote needs no wire.
    fn tell_voters(&mut self, now: Micros, message: &Message, out: &mut Vec<Output>) {
        let others = (0..self.voters).map(Member).filter(|m| *m != self.me);
        out.extend(others.map(|to| Output::Send { to, message: message.clone() }));
        let own = self.voter.as_mut().and_then(|v| v.receive(now, self.me, message));
        if let Some(own) = own {
            self.won += u64::from(self.holder.receive(now, self.me, &own));
        }
    }

    /// When [`Book::tick`] is due; none while nothing is wanted, and this voter has what it needs.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        (!self.wanted.is_empty() || self.votes() == Some(false)).then_some(self.round)
    }

    /// Whether this member has a vote, and casts it.
    #[must_use]
    pub fn votes(&self) -> Option<bool> {
        self.voter.as_ref().map(|v| !v.is_lost())
    }

    /// A number to make last, for the [`Memory`] of the next process; then say [`Book::kept`]. Until it lasts nothing is
    /// promised beyond the one before.
    #[must_use]
    pub fn bound_to_persist(&self) -> Option<Epoch> {
        self.voter.as_ref().and_then(Voter::to_keep)
    }

    /// That number outlives the process now.
    pub fn mark_bound_persisted(&mut self, bound: Epoch) {
        self.voter.iter_mut().for_each(|v| v.kept(bound));
    }

    /// The epoch of a lease that is held.
    #[must_use]
    pub fn epoch(&self, now: Micros, duty: Duty) -> Option<Epoch> {
        self.holder.epoch(now, duty)
    }

    /// A doing that began under this epoch takes its next step now.
    ///
    /// # Errors
    /// [`NotNow`]: it must not.
    pub fn step(&self, now: Micros, duty: Duty, epoch: Epoch) -> Result<(), NotNow> {
        self.holder.step(now, duty, epoch)
    }

    /// The duties that this instance holds a lease for and may begin at this moment.
    #[must_use]
    pub fn ready(&self, now: Micros) -> Vec<Duty> {
        let open = |d: &Duty| self.holder.may_begin(now, *d).is_ok();
        self.wanted.iter().filter(|(_, w)| w.until > now).map(|(d, _)| *d).filter(open).collect()
    }

    /// When one of them is the next to become ready by time alone.
    #[must_use]
    pub fn next_ready(&self, now: Micros) -> Option<Micros> {
        let at = |d: &Duty| match self.holder.may_begin(now, *d) {
            Err(NotNow::Pace(at)) => Some(at),
            _ => None,
        };
        self.wanted.keys().filter_map(at).min()
    }

    /// The lease for a duty is held at this moment.
    #[must_use]
    pub fn holds(&self, now: Micros, duty: Duty) -> bool {
        self.holder.holds(now, duty)
    }

    /// A doing begins now: ask right before its first byte leaves. It must have ended after the terms' patience.
    ///
    /// # Errors
    /// [`NotNow`]: it must not begin.
    pub fn begin(&mut self, now: Micros, duty: Duty) -> Result<Epoch, NotNow> {
        self.holder.begin(now, duty)
    }

    /// A doing has ended.
    pub fn end(&mut self, duty: Duty) {
        self.holder.end(duty);
    }

    /// The leases that are held.
    #[must_use]
    pub fn held_leases(&self, now: Micros) -> Vec<Owned> {
        let one = |duty: &Duty| {
            let (since, until) = (self.holder.since(now, *duty)?, self.holder.until(now, *duty)?);
            let epoch = self.holder.epoch(now, *duty)?;
            Some(Owned { duty: *duty, epoch, since, until })
        };
        self.wanted.keys().filter_map(one).collect()
    }

    /// Duties that are wanted here.
    #[must_use]
    pub fn wanted(&self, now: Micros) -> Vec<Duty> {
        self.wanted.iter().filter(|(_, w)| w.until > now).map(|(d, _)| *d).collect()
    }

    /// Leases that were won since the start.
    #[must_use]
    pub fn won(&self) -> u64 {
        self.won
    }
}
