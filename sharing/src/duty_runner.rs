//! The module's side of shared duties: which partners are worth a probe, and the probes that may go now.
//!
//! Nothing here decides whose a duty is (`onyxrock-duties`) or whether and where a call goes (the module). A probe is
//! handed to the module as a message without content; when its call is about to be written the lease is asked for the
//! last time, by the clock of that moment.

use crate::messages::{FromPeers, ListRole, ListUpdate, ToList, ToPeers};
use async_channel::Sender;
use onyxrock::core::Ledger;
use onyxrock::interface::{ClassId, DestinationId, Micros};
use onyxrock_config::duties::{DutySettings, NamedMember as Named};
use onyxrock_duties::{Duty, DutyKind, DutyTable, Epoch, Fence, LeaseTerms, Member, Output, StoredBound};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Probes come at most so often, in parts of the pace: what delays one on its way must not push two into one window.
const SLACK: f64 = 1.1;

/// The one duty of asking for the list.
const LIST: Duty = Duty { kind: DutyKind::List, target: 0 };
/// The one duty of leading the fleet.
const LEAD: Duty = Duty { kind: DutyKind::Coordinator, target: 0 };

/// Makes an epoch last, for [`Memory`] at the next start. False: it could not, and nothing beyond the last is promised.
pub type Keep = Box<dyn Fn(Epoch) -> bool>;

/// A probe that the module has.
struct Probe {
    duty: Duty,
    /// If it has not gone by then, it is called off.
    by: Micros,
    begun: bool,
}

/// The duties of this instance.
pub struct DutyRunner {
    book: DutyTable,
    me: Member,
    members: Vec<Named>,
    /// Leases are for others to see; alone each instance is its own majority.
    alone: bool,
    class: ClassId,
    pub probe_path: Rc<str>,
    probes: BTreeMap<u64, Probe>,
    look_at: Micros,
    /// Nothing is to be done before: a word from others, or the end of a probe, brings it forward.
    due: Micros,
    won: u64,
    out: Sender<ToPeers>,
    list: Option<ListDuty>,
    keep: Keep,
    kept: Epoch,
    /// One of all leads.
    leads: bool,
    /// Who leads, by its own word or here, and under which epoch.
    leader: Option<(Member, Epoch)>,
    fence: Fence,
}

/// Who asks for the list.
struct ListDuty {
    to: Sender<ToList>,
    role: ListRole,
    /// When the one that asks was last heard.
    heard: Option<Micros>,
    /// The version that is held here, while discovery answers.
    generation: Option<u64>,
}

impl DutyRunner {
    /// `class` is what [`core::probes`](onyxrock::core::probes) gave, `boot` a number that no other process of this
    /// instance has. `out` is the mailbox of the other instances' actor, `list` that of the list's. `memory` is what
    /// `keep` made last in an earlier process.
    #[expect(clippy::too_many_arguments, reason = "each is another part of the program, handed over once")]
    pub fn new(
        d: &DutySettings, me: Member, boot: u64, now: Micros, class: ClassId, out: Sender<ToPeers>,
        list: Sender<ToList>, memory: StoredBound, keep: Keep,
    ) -> DutyRunner {
        let gap = Micros::from_secs(SLACK / d.probe.per_s);
        let terms =
            LeaseTerms { duration: d.lease_duration, min_interval: gap, run_timeout: d.probe.timeout };
        let alone = d.probe.without_leases;
        let book = match alone {
            true => DutyTable::new(Member(0), 1, 1, terms, boot, now, memory),
            false => {
                DutyTable::new(me, d.members.len() as u16, d.voter_count as u16, terms, boot, now, memory)
            }
        };
        let path = d.probe.path.as_str().into();
        let (members, probes) = (d.members.clone(), BTreeMap::new());
        let share = d.share_list && !alone;
        let list =
            share.then_some(ListDuty { to: list, role: ListRole::Standalone, heard: None, generation: None });
        let leads = d.elect_coordinator && !alone;
        let (kept, leader, fence) = (0, None, Fence::default());
        let mut new = DutyRunner {
            book,
            me,
            members,
            alone,
            class,
            probe_path: path,
            probes,
            look_at: now,
            due: now,
            won: 0,
            out,
            list,
            keep,
            kept,
            leads,
            leader,
            fence,
        };
        new.make_last();
        tracing::debug!(votes = new.book.is_voting(), "duties: a new life");
        new
    }

    /// What a voter may promise from now on must be known to its next process.
    fn make_last(&mut self) {
        if let Some(n) = self.book.bound_to_persist().filter(|n| (self.keep)(*n)) {
            self.book.mark_bound_persisted(n);
            self.kept = n;
        }
    }

    /// The epoch under which the fleet is led, as far as is known here; zero if by nobody.
    pub fn coordinator_epoch(&self) -> Epoch {
        self.leader.map_or(0, |l| l.1)
    }

    /// What came from the others under a lease that was over, and was refused.
    pub fn fence_refusals(&self) -> u64 {
        self.fence.refused_count()
    }

    /// A lease that is held here fences off the earlier ones, too. False if a later one has been heard of.
    fn own(&mut self, duty: Duty, epoch: Epoch) -> bool {
        self.fence.highest(duty) <= epoch && self.fence.admit(duty, epoch)
    }

    /// What was done under this epoch may take effect here.
    fn admit(&mut self, duty: Duty, epoch: Epoch) -> bool {
        let admitted = self.fence.admit(duty, epoch);
        tracing::debug!(told = duty.kind.name(), epoch, admitted, "duties: news under a lease");
        admitted
    }

    /// Leads, if it holds the lease, and says so.
    fn settle_lead(&mut self, now: Micros, sign_of_life: bool) {
        let Some(epoch) = self.book.epoch(now, LEAD).filter(|_| self.leads) else { return };
        if self.own(LEAD, epoch) {
            self.leader = Some((self.me, epoch));
        }
        if sign_of_life && self.book.may_continue(now, LEAD, epoch).is_ok() {
            let _ = self.out.try_send(ToPeers::Coordinator(epoch));
        }
    }

    /// What came from the other instances. Notes are the module's.
    pub fn receive(&mut self, now: Micros, news: FromPeers) {
        self.due = now;
        match news {
            FromPeers::Alive(_) | FromPeers::Duties { .. } if self.alone => {}
            FromPeers::Alive(alive) => self.book.set_alive(now, alive),
            FromPeers::Duties { from, message } => {
                let out = self.book.receive(now, from, message);
                self.make_last();
                self.send(out);
            }
            FromPeers::EndpointHint { .. } => {}
            FromPeers::Coordinator { from, epoch } => {
                if self.admit(LEAD, epoch) {
                    self.leader = Some((from, epoch));
                }
            }
            // Who asked for it under a lease that was over tells of a list that is over, too.
            FromPeers::ListUpdate(news) if !self.admit(LIST, news.epoch) => {}
            FromPeers::ListUpdate(news) => {
                if let Some(l) = &mut self.list {
                    l.heard = Some(now);
                    let _ = l.to.try_send(ToList::Update(news));
                }
            }
        }
    }

    /// Discovery told the list, and this is its version; none where it could not be asked. The others must not rely on
    /// one that has no answer itself.
    pub fn set_list_generation(&mut self, generation: Option<u64>) {
        if let Some(l) = &mut self.list {
            l.generation = generation;
        }
    }

    /// Who asks for the list: the one with the lease, and everybody who does not hear from it.
    fn settle_list(&mut self, now: Micros, sign_of_life: bool) {
        let (lease, owner) = (self.book.terms().duration, self.book.epoch(now, LIST));
        if let Some(epoch) = owner {
            self.own(LIST, epoch);
        }
        let Some(l) = &mut self.list else { return };
        let fresh = l.heard.is_some_and(|t| now.since(t) < lease);
        let role = match owner {
            Some(epoch) => ListRole::Owner(epoch),
            None if fresh => ListRole::Follower,
            None => ListRole::Standalone,
        };
        if role != l.role && l.to.try_send(ToList::Role(role)).is_ok() {
            l.role = role;
        }
        if let (Some(epoch), true, Some(generation)) = (owner, sign_of_life, l.generation) {
            let news = ListUpdate { epoch, previous_generation: generation, generation, body: Vec::new() };
            let _ = self.out.try_send(ToPeers::ListUpdate(news));
        }
    }

    fn send(&self, out: Vec<Output>) {
        // A full mailbox is a lost datagram like any other.
        for Output::Send { to, message } in out {
            let _ = self.out.try_send(ToPeers::Duties { to, message });
        }
    }

    /// Wants, asks, renews, and hands probes that may go to the module. The leases that were won since the last time.
    /// Costs next to nothing between the times at which something is due.
    pub fn tick(&mut self, now: Micros, ledger: &mut Ledger) -> u64 {
        if now < self.due {
            return 0;
        }
        let look = now >= self.look_at;
        if look {
            let terms = self.book.terms();
            self.look_at = now.plus(terms.renew_interval());
            let probe = |d: DestinationId| Duty { kind: DutyKind::Probe, target: d.0 };
            let doubted: Vec<_> = ledger.unconfirmed_destinations().map(probe).collect();
            for duty in self.book.wanted(now).into_iter().filter(|d| d.kind == DutyKind::Probe) {
                if doubted.binary_search(&duty).is_err() {
                    self.book.unwant(now, duty);
                }
            }
            doubted.into_iter().for_each(|d| self.book.want(d, now.plus(terms.duration)));
            if self.list.is_some() {
                self.book.want(LIST, now.plus(terms.duration));
            }
            if self.leads {
                self.book.want(LEAD, now.plus(terms.duration));
            }
        }
        self.settle_list(now, look);
        self.settle_lead(now, look);
        let out = self.book.tick(now);
        self.make_last();
        self.send(out);
        // Those that the module would not let go: a told wait, its budget for what may be cold, no slot.
        let late = |p: &Probe| !p.begun && p.by <= now;
        let over: Vec<_> = self.probes.iter().filter(|(_, p)| late(p)).map(|(n, _)| *n).collect();
        for n in over {
            if let Some(p) = self.probes.remove(&n) {
                tracing::debug!(of = p.duty.target, "duties: the module did not let a probe go in time");
            }
            ledger.cancel_probe(now, n);
        }
        for duty in self.book.ready(now).into_iter().filter(|d| d.kind == DutyKind::Probe) {
            if self.probes.values().any(|p| p.duty == duty) {
                continue;
            }
            let patience = self.book.terms().run_timeout;
            let left = Micros(patience.0 * 2);
            let n = ledger.submit_probe(now, self.class, DestinationId(duty.target), left);
            self.probes.insert(n, Probe { duty, by: now.plus(patience), begun: false });
        }
        let by = self.probes.values().filter(|p| !p.begun).map(|p| p.by);
        let timed = [self.book.due(), self.book.next_ready(now)].into_iter().flatten();
        self.due = by.chain(timed).fold(self.look_at, Micros::min);
        let won = self.book.leases_won();
        won - std::mem::replace(&mut self.won, won)
    }

    /// When [`Probing::settle`] is due.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// How long a probe's call may take.
    pub fn probe_timeout(&self) -> Micros {
        self.book.terms().run_timeout
    }

    /// The call of a probe is about to be written: the epoch that it carries. None: it must not be.
    pub fn begin_probe(&mut self, now: Micros, n: u64) -> Option<Epoch> {
        let p = self.probes.get_mut(&n).filter(|p| !p.begun)?;
        let begins = self.book.begin(now, p.duty);
        tracing::debug!(of = p.duty.target, "duties: a probe, {begins:?}");
        p.begun = begins.is_ok();
        begins.ok()
    }

    /// The call of a probe has ended, or will not be made.
    pub fn probe_ended(&mut self, n: u64) {
        if let Some(p) = self.probes.remove(&n).filter(|p| p.begun) {
            self.book.end(p.duty);
            self.due = Micros(0);
        }
    }

    /// Takes no part any more: what is held is given back, so that others need not wait for it to run out.
    pub fn release_all(&mut self, now: Micros) {
        for duty in self.book.wanted(now) {
            self.book.unwant(now, duty);
        }
        self.look_at = Micros(u64::MAX);
        let out = self.book.tick(now);
        self.send(out);
    }

    pub fn status_json(&self, now: Micros) -> Value {
        let ms = |m: Micros| m.0 / 1000;
        let name = |m: Member| self.members.get(usize::from(m.0)).map_or("?", |n| n.name.as_str());
        let owned = self.book.held_leases(now).into_iter().map(|o| {
            json!({"duty": o.duty.kind.name(), "of": o.duty.target, "epoch": o.epoch, "held_for_ms": ms(now.since(o.since)),
                "ends_in_ms": ms(o.until.since(now))})
        });
        let wanted = self.book.wanted(now).into_iter().map(|d| {
            let first = if self.alone { self.me } else { self.book.preferred_owner(now, d) };
            json!({"duty": d.kind.name(), "of": d.target, "first": name(first)})
        });
        let terms = self.book.terms();
        let leader = self.leader.filter(|_| self.leads);
        json!({"coordinator": leader.map(|l| name(l.0)), "coordinator_epoch": leader.map(|l| l.1),
            "fence_refused": self.fence.refused_count(), "epoch_kept": self.kept, "votes": self.book.is_voting(), "me": name(self.me), "alone": self.alone, "lease_ms": ms(terms.duration), "gap_ms": ms(terms.min_interval),
            "owned": owned.collect::<Vec<_>>(), "wanted": wanted.collect::<Vec<_>>(), "won": self.book.leases_won()})
    }
}

/// This instance's place among the members.
pub fn member_by_name(d: &DutySettings, name: &str) -> Result<Member, String> {
    let at = d.members.iter().position(|m| m.name == name);
    let at = at.and_then(|i| u16::try_from(i).ok()).map(Member);
    at.ok_or_else(|| format!("[duties]: \"{name}\", this instance, is none of the members"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_channel::{Receiver, bounded};
    use onyxrock::core::{NameIndex, add_probe_class};
    use onyxrock::interface::Settings;
    use onyxrock_config::duties::ProbeSettings as Pace;
    use onyxrock_membership::{Key, Keys};

    struct Rig {
        probing: DutyRunner,
        ledger: Ledger,
        now: Micros,
        out: Receiver<ToPeers>,
        list: Receiver<ToList>,
    }

    /// One of so many members, which hears from the others only what the test hands it.
    fn rig(members: u16) -> Rig {
        rig_after(members, 0)
    }

    /// The same, after an earlier life that has promised epochs up to this.
    fn rig_after(members: u16, kept: Epoch) -> Rig {
        let named = |i| Named { name: format!("n{i}"), address: ([127, 0, 0, 1], 9).into() };
        let (patience, path) = (Micros(250_000), "/health".to_owned());
        let duties = DutySettings {
            listen: ([127, 0, 0, 1], 0).into(),
            members: (0..members).map(named).collect(),
            voter_count: usize::from(members),
            lease_duration: Micros(1_200_000),
            probe: Pace { per_s: 2.0, timeout: patience, path, without_leases: false },
            share_list: true,
            elect_coordinator: true,
            keys: Keys::new(1, [Key { id: 1, secret: [1; 32] }]).unwrap(),
        };
        let mut settings = Settings { slots: 4, max_held: 9, max_attempts: 3, ..Settings::default() };
        let class = add_probe_class(&mut settings, Micros(500_000), Micros(0));
        let ledger = Ledger::new(settings, NameIndex::default(), Default::default(), 1);
        let ((to_peers, out), (to_list, list)) = (bounded(64), bounded(64));
        let now = Micros(1_000_000);
        let (memory, keep) = (StoredBound::Known(kept), Box::new(|_| true));
        let probing = DutyRunner::new(&duties, Member(0), 5, now, class, to_peers, to_list, memory, keep);
        Rig { probing, ledger, now, out, list }
    }

    impl Rig {
        /// The news of the list that went to the others, and what the list was told.
        fn run(&mut self, ms: u64) -> (Vec<u64>, Vec<ToList>) {
            for _ in 0..ms / 50 {
                self.now = self.now.plus(Micros(50_000));
                self.probing.tick(self.now, &mut self.ledger);
            }
            let news = |m| match m {
                ToPeers::ListUpdate(news) => Some(news.generation),
                _ => None,
            };
            let told = std::iter::from_fn(|| self.out.try_recv().ok()).filter_map(news).collect();
            (told, std::iter::from_fn(|| self.list.try_recv().ok()).collect())
        }
    }

    /// One that holds the list's duty and has lost discovery must not keep the others from asking it.
    #[test]
    fn who_asks_for_the_list_gives_signs_of_life_only_while_it_is_answered() {
        let mut r = rig(1);
        assert_eq!(r.run(3000), (vec![], vec![ToList::Role(ListRole::Owner(1))]), "it has no list yet");
        r.probing.set_list_generation(Some(7));
        let (told, roles) = r.run(1200);
        assert!(told.len() >= 3 && told.iter().all(|g| *g == 7) && roles.is_empty(), "{told:?}");
        r.probing.set_list_generation(None);
        assert_eq!(r.run(3000), (vec![], vec![]));
    }

    #[test]
    fn one_that_is_told_the_list_asks_for_itself_once_it_hears_nothing() {
        let mut r = rig(3);
        assert_eq!(r.run(2000).1, [], "it asks for itself from the start");
        let news = ListUpdate { epoch: 4, previous_generation: 7, generation: 8, body: Vec::new() };
        r.probing.receive(r.now, FromPeers::ListUpdate(news.clone()));
        assert_eq!(r.run(1000).1, [ToList::Update(news), ToList::Role(ListRole::Follower)]);
        assert_eq!(r.run(1000).1, [ToList::Role(ListRole::Standalone)]);
    }

    /// A stalled holder's news, or its datagrams, come when the list is another's to ask for.
    #[test]
    fn news_under_a_lease_that_is_over_is_refused_and_counted() {
        let mut r = rig(3);
        let news =
            |epoch, generation| ListUpdate { epoch, previous_generation: 7, generation, body: Vec::new() };
        r.probing.receive(r.now, FromPeers::ListUpdate(news(4, 8)));
        r.probing.receive(r.now, FromPeers::ListUpdate(news(3, 5)));
        r.probing.receive(r.now, FromPeers::Coordinator { from: Member(1), epoch: 9 });
        r.probing.receive(r.now, FromPeers::Coordinator { from: Member(2), epoch: 8 });
        let told: Vec<_> = std::iter::from_fn(|| r.list.try_recv().ok()).collect();
        assert_eq!(told, [ToList::Update(news(4, 8))]);
        assert_eq!((r.probing.fence_refusals(), r.probing.coordinator_epoch()), (2, 9));
    }

    /// What the leader itself holds counts as heard of: the word of an earlier one changes nothing here.
    #[test]
    fn one_that_leads_does_not_believe_an_earlier_leader() {
        let mut r = rig_after(1, 5);
        r.run(4000);
        assert_eq!(r.probing.coordinator_epoch(), 6);
        r.probing.receive(r.now, FromPeers::Coordinator { from: Member(2), epoch: 5 });
        assert_eq!((r.probing.coordinator_epoch(), r.probing.fence_refusals()), (6, 1));
        assert_eq!(r.probing.status_json(r.now)["coordinator"], "n0");
    }
}
