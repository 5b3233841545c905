//! The duties of one instance: which are wanted, which member should run each, and the leases that this
//! instance holds.

use crate::{
    BootId, Duty, Epoch, Holder, LeaseTerms, MAX_DUTIES_PER_MESSAGE, Member, Message, RunError, StoredBound,
    Voter, rank,
};
use onyxrock::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of wanted duties at a time. A duty beyond it is ignored until the next call that wants it.
const MAX_WANTED_DUTIES: usize = 20_000;

/// Number of consecutive rounds with only a minority of promises after which a member backs off.
const MAX_MINORITY_ROUNDS: u32 = 6;

/// A member must have been alive for this many lease durations before duties move to it.
const ESTABLISHED_AFTER_LEASES: u64 = 8;

/// An action for the caller to carry out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Output {
    /// Send this message to another member. It may be lost.
    Send {
        /// The receiving member; never this one.
        to: Member,
        /// The message to send.
        message: Message,
    },
}

/// A lease that this instance holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HeldLease {
    /// The duty of the lease.
    pub duty: Duty,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// When the lease was won.
    pub since: Micros,
    /// When the lease ends without renewal.
    pub until: Micros,
}

#[derive(Clone, Copy, Debug)]
struct WantedDuty {
    until: Micros,
    /// Until when this instance itself wants the duty; other members may want it for longer.
    local_until: Micros,
    /// Number of consecutive rounds in which only a minority of voters promised the lease.
    minority_rounds: u32,
    /// The lease is not requested before this time.
    retry_at: Micros,
}

/// The state of all duties at one instance.
#[derive(Clone, Debug)]
pub struct DutyTable {
    me: Member,
    members: u16,
    voters: u16,
    boot: BootId,
    terms: LeaseTerms,
    holder: Holder,
    voter: Option<Voter>,
    /// The members that are seen alive, each with the time since which this has been so.
    alive: BTreeMap<Member, Micros>,
    wanted: BTreeMap<Duty, WantedDuty>,
    next_round: Micros,
    /// When each other voter last responded.
    last_responses: BTreeMap<Member, Micros>,
    leases_won: u64,
}

impl DutyTable {
    /// Creates the table of the member `me`, one of `members` of which the first `voters` vote. `boot` is a
    /// number that no other process of this member has; `stored_bound` is the number that an earlier process
    /// persisted, see [`DutyTable::bound_to_persist`].
    #[must_use]
    pub fn new(
        me: Member, members: u16, voters: u16, terms: LeaseTerms, boot: BootId, now: Micros,
        stored_bound: StoredBound,
    ) -> DutyTable {
        let voters = voters.clamp(1, members.max(1));
        DutyTable {
            me,
            members,
            voters,
            terms,
            holder: Holder::new(terms, boot, voters),
            boot,
            voter: (me.0 < voters).then(|| Voter::new(terms, voters, now, stored_bound)),
            alive: BTreeMap::from([(me, now)]),
            wanted: BTreeMap::new(),
            next_round: now,
            last_responses: BTreeMap::new(),
            leases_won: 0,
        }
    }

    /// The terms of every lease.
    #[must_use]
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// Sets the members that are seen alive now. They only determine which member should request a lease; a
    /// wrong view costs time, not safety.
    pub fn set_alive(&mut self, now: Micros, alive: BTreeSet<Member>) {
        self.alive.retain(|m, _| alive.contains(m) || *m == self.me);
        for m in alive {
            self.alive.entry(m).or_insert(now);
        }
    }

    /// Records that this instance wants a duty to run until the given time.
    pub fn want(&mut self, duty: Duty, until: Micros) {
        if let Some(wanted) = self.wanted_entry(duty) {
            (wanted.local_until, wanted.until) = (wanted.local_until.max(until), wanted.until.max(until));
        }
    }

    /// Records that this instance does not want a duty any more; other members still may.
    pub fn unwant(&mut self, now: Micros, duty: Duty) {
        if let Some(wanted) = self.wanted.get_mut(&duty) {
            wanted.until = if wanted.local_until >= wanted.until { now } else { wanted.until };
            wanted.local_until = Micros(0);
        }
    }

    fn wanted_entry(&mut self, duty: Duty) -> Option<&mut WantedDuty> {
        if self.wanted.len() >= MAX_WANTED_DUTIES && !self.wanted.contains_key(&duty) {
            return None;
        }
        let empty =
            WantedDuty { until: Micros(0), local_until: Micros(0), minority_rounds: 0, retry_at: Micros(0) };
        Some(self.wanted.entry(duty).or_insert(empty))
    }

    /// The member that should hold the lease of a duty: the first-ranked of the established members.
    #[must_use]
    pub fn preferred_owner(&self, now: Micros, duty: Duty) -> Member {
        rank::first(duty, self.established(now)).unwrap_or(self.me)
    }

    /// The members among which duties are assigned: those that have been alive for a while. A member that has
    /// just joined may fail again and knows little yet, so duties do not move to it at once. If most members
    /// have just joined, the network is likely at fault, and all members count: each of the few established
    /// ones would otherwise take itself for the first.
    fn established(&self, now: Micros) -> Vec<Member> {
        let established_age = Micros(self.terms.duration.0 * ESTABLISHED_AFTER_LEASES);
        let established = self.alive.iter().filter(|(_, since)| now.since(**since) >= established_age);
        let established: Vec<_> = established.map(|(m, _)| *m).collect();
        if established.len() * 2 <= self.alive.len() {
            self.alive.keys().copied().collect()
        } else {
            established
        }
    }

    /// Processes a message of another member. The caller must have authenticated the sender.
    pub fn receive(&mut self, now: Micros, from: Member, message: Message) -> Vec<Output> {
        if from.0 >= self.members || from == self.me || !message.is_within_limit() {
            return Vec::new();
        }
        if let Message::Want { duties } = &message {
            let until = now.plus(self.terms.duration);
            for duty in duties {
                if let Some(wanted) = self.wanted_entry(*duty) {
                    wanted.until = wanted.until.max(until);
                }
            }
            // Newly wanted duties are requested in the next round.
            return Vec::new();
        }
        if matches!(message, Message::LeaseResponse { .. }) && from.0 < self.voters {
            let responded_before = self.quorum_responds(now);
            self.last_responses.insert(from, now);
            // A majority responds again, so wanted duties need not wait for the next round.
            if !responded_before && self.quorum_responds(now) {
                self.next_round = now;
            }
        }
        if let Message::EpochBound { boot, bound } = &message
            && (*boot, from.0 < self.voters) == (self.boot, true)
            && let Some(voter) = &mut self.voter
        {
            voter.record_bound(from, *bound);
        }
        self.leases_won += u64::from(self.holder.receive(now, from, &message));
        let response = self.voter.as_mut().and_then(|voter| voter.receive(now, from, &message));
        response.into_iter().map(|message| Output::Send { to: from, message }).collect()
    }

    /// Whether a majority of voters has responded within the duration of a lease. This instance counts if it
    /// is a voter.
    fn quorum_responds(&self, now: Micros) -> bool {
        let recent = self.last_responses.values().filter(|t| now.since(**t) < self.terms.duration).count();
        recent + usize::from(self.voter.is_some()) >= self.holder.quorum()
    }

    /// Sends what is due: requests, renewals and releases. Call this at the time that [`DutyTable::due`]
    /// returns.
    pub fn tick(&mut self, now: Micros) -> Vec<Output> {
        let mut outputs = Vec::new();
        let expired: Vec<_> =
            self.wanted.iter().filter(|(_, wanted)| wanted.until <= now).map(|(d, _)| *d).collect();
        self.release(now, &expired, &mut outputs);
        for duty in expired {
            // A duty with a run in progress is released at a later tick.
            if self.holder.last_requested(duty).is_none() {
                self.wanted.remove(&duty);
            }
        }
        if now < self.next_round {
            return outputs;
        }
        self.next_round = now.plus(self.terms.renew_interval());
        if let Some(voter) = &mut self.voter {
            voter.remove_expired(now);
            if voter.may_query_voters(now) {
                self.send_to_voters(now, &Message::EpochQuery { boot: self.boot }, &mut outputs);
            }
        }
        self.holder.remove_expired(now);
        if !self.quorum_responds(now) && !self.wanted.is_empty() {
            // The requests of a member that receives no responses may still arrive and would block other
            // members without winning a lease. So this member releases what it has requested and requests
            // nothing until it receives responses again. It keeps a lease that it holds until the lease ends.
            let pending = |d: &Duty| self.holder.last_requested(*d).is_some() && !self.holder.holds(now, *d);
            let to_release: Vec<_> = self.wanted.keys().copied().filter(pending).collect();
            self.release(now, &to_release, &mut outputs);
            if let Some(empty_request) = self.holder.request(now, Vec::new()) {
                self.send_to_voters(now, &empty_request, &mut outputs);
            }
            return outputs;
        }
        let (mut to_request, mut to_release) = (Vec::new(), Vec::new());
        let mut to_notify: BTreeMap<Member, Vec<Duty>> = BTreeMap::new();
        let established = self.established(now);
        for (duty, wanted) in &mut self.wanted {
            let owner = rank::first(*duty, established.iter().copied()).unwrap_or(self.me);
            let holds = self.holder.holds(now, *duty);
            if owner == self.me {
                wanted.minority_rounds =
                    if !holds && self.holder.has_minority(*duty) { wanted.minority_rounds + 1 } else { 0 };
                if wanted.minority_rounds >= MAX_MINORITY_ROUNDS {
                    // Several members request the lease and each has a part of the promises: all but one must
                    // back off, lower-ranked ones for longer. A promise to a member that is gone expires
                    // before that.
                    let members_above =
                        rank::count_above(*duty, self.me, (0..self.members).map(Member)) as u64;
                    wanted.retry_at = now.plus(Micros(self.terms.renew_interval().0 * members_above));
                    wanted.minority_rounds = 0;
                    to_release.push(*duty);
                }
                if wanted.retry_at <= now {
                    to_request.push(*duty);
                }
                continue;
            }
            if wanted.local_until > now {
                to_notify.entry(owner).or_default().push(*duty);
            }
            if self.holder.last_requested(*duty).is_some() {
                to_release.push(*duty);
            }
        }
        self.release(now, &to_release, &mut outputs);
        for (to, duties) in to_notify {
            for chunk in duties.chunks(MAX_DUTIES_PER_MESSAGE) {
                outputs.push(Output::Send { to, message: Message::Want { duties: chunk.to_vec() } });
            }
        }
        for chunk in to_request.chunks(MAX_DUTIES_PER_MESSAGE) {
            // A release was sent at this very time: voters could not tell a request sent now from the
            // released ones.
            let Some(message) = self.holder.request(now, chunk.to_vec()) else {
                self.next_round = now.plus(Micros(1));
                break;
            };
            self.send_to_voters(now, &message, &mut outputs);
        }
        outputs
    }

    fn release(&mut self, now: Micros, duties: &[Duty], outputs: &mut Vec<Output>) {
        for chunk in duties.chunks(MAX_DUTIES_PER_MESSAGE) {
            if let Some(message) = self.holder.release(now, chunk) {
                self.send_to_voters(now, &message, outputs);
            }
        }
    }

    /// Sends a message to all voters; this instance's own vote needs no network.
    fn send_to_voters(&mut self, now: Micros, message: &Message, outputs: &mut Vec<Output>) {
        let others = (0..self.voters).map(Member).filter(|m| *m != self.me);
        outputs.extend(others.map(|to| Output::Send { to, message: message.clone() }));
        let own_response = self.voter.as_mut().and_then(|voter| voter.receive(now, self.me, message));
        if let Some(response) = own_response {
            self.leases_won += u64::from(self.holder.receive(now, self.me, &response));
        }
    }

    /// When [`DutyTable::tick`] is due. None while no duty is wanted and the voter, if any, has its bound.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        (!self.wanted.is_empty() || self.is_voting() == Some(false)).then_some(self.next_round)
    }

    /// Whether this member votes now; `None` if it is not a voter.
    #[must_use]
    pub fn is_voting(&self) -> Option<bool> {
        self.voter.as_ref().map(|voter| !voter.is_recovering())
    }

    /// The number to persist for the [`StoredBound`] of the next process, if a write is due. After the write,
    /// call [`DutyTable::mark_bound_persisted`]; until then the voter promises no epoch beyond the previous
    /// number.
    #[must_use]
    pub fn bound_to_persist(&self) -> Option<Epoch> {
        self.voter.as_ref().and_then(Voter::bound_to_persist)
    }

    /// Records that the bound has been persisted and survives the process.
    pub fn mark_bound_persisted(&mut self, bound: Epoch) {
        self.voter.iter_mut().for_each(|voter| voter.mark_bound_persisted(bound));
    }

    /// The epoch of a lease, if it is held.
    #[must_use]
    pub fn epoch(&self, now: Micros, duty: Duty) -> Option<Epoch> {
        self.holder.epoch(now, duty)
    }

    /// Checks that a run that began under this epoch may continue now.
    ///
    /// # Errors
    /// [`RunError`]: the run must not continue.
    pub fn may_continue(&self, now: Micros, duty: Duty, epoch: Epoch) -> Result<(), RunError> {
        self.holder.may_continue(now, duty, epoch)
    }

    /// The duties whose lease this instance holds and which may begin a run at this moment.
    #[must_use]
    pub fn ready(&self, now: Micros) -> Vec<Duty> {
        let may_begin = |d: &Duty| self.holder.may_begin(now, *d).is_ok();
        self.wanted
            .iter()
            .filter(|(_, wanted)| wanted.until > now)
            .map(|(d, _)| *d)
            .filter(may_begin)
            .collect()
    }

    /// The next time at which one of the duties becomes ready if nothing else changes.
    #[must_use]
    pub fn next_ready(&self, now: Micros) -> Option<Micros> {
        let ready_at = |d: &Duty| match self.holder.may_begin(now, *d) {
            Err(RunError::Pace(at)) => Some(at),
            _ => None,
        };
        self.wanted.keys().filter_map(ready_at).min()
    }

    /// Whether the lease of a duty is held at this moment.
    #[must_use]
    pub fn holds(&self, now: Micros, duty: Duty) -> bool {
        self.holder.holds(now, duty)
    }

    /// Begins a run and returns the epoch that it carries. Call this immediately before the run's first byte
    /// is sent. The run must end within the run timeout.
    ///
    /// # Errors
    /// [`RunError`]: the run must not begin.
    pub fn begin(&mut self, now: Micros, duty: Duty) -> Result<Epoch, RunError> {
        self.holder.begin(now, duty)
    }

    /// Records that a run has ended.
    pub fn end(&mut self, duty: Duty) {
        self.holder.end(duty);
    }

    /// The leases that this instance holds.
    #[must_use]
    pub fn held_leases(&self, now: Micros) -> Vec<HeldLease> {
        let held_lease = |duty: &Duty| {
            let (since, until) = (self.holder.held_since(now, *duty)?, self.holder.held_until(now, *duty)?);
            let epoch = self.holder.epoch(now, *duty)?;
            Some(HeldLease { duty: *duty, epoch, since, until })
        };
        self.wanted.keys().filter_map(held_lease).collect()
    }

    /// The duties that are wanted here.
    #[must_use]
    pub fn wanted(&self, now: Micros) -> Vec<Duty> {
        self.wanted.iter().filter(|(_, wanted)| wanted.until > now).map(|(d, _)| *d).collect()
    }

    /// The number of leases won since the start.
    #[must_use]
    pub fn leases_won(&self) -> u64 {
        self.leases_won
    }
}
