//! Runs this instance's part of the shared duties next to the core: determines which destinations need a
//! probe, and submits the probes that may run now.
//!
//! This module decides neither which member holds a duty (`onyxrock-duties`) nor whether and where a call
//! goes (the core). It submits a probe to the core as a message without content. Immediately before the
//! probe's call is written, the lease is checked for the last time, against the clock of that moment.

use crate::messages::{FromPeers, ListRole, ListUpdate, ToList, ToPeers};
use async_channel::Sender;
use onyxrock::core::Ledger;
use onyxrock::interface::{ClassId, DestinationId, Micros};
use onyxrock_config::duties::{DutySettings, NamedMember};
use onyxrock_duties::{Duty, DutyKind, DutyTable, Epoch, Fence, LeaseTerms, Member, Output, StoredBound};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Factor by which the minimum interval between probes exceeds the configured one. Without it, a probe
/// delayed on its way could bring two probes into one window of the configured rate.
const INTERVAL_FACTOR: f64 = 1.1;

/// The single duty of asking discovery for the list.
const LIST_DUTY: Duty = Duty { kind: DutyKind::List, target: 0 };
/// The single duty of coordinating the fleet.
const COORDINATOR_DUTY: Duty = Duty { kind: DutyKind::Coordinator, target: 0 };

/// Persists an epoch bound for the [`StoredBound`] of the next start. Returns false if that failed; the voter
/// then promises nothing beyond the previous bound.
pub type PersistBound = Box<dyn Fn(Epoch) -> bool>;

/// A probe that was submitted to the core.
struct Probe {
    duty: Duty,
    /// The probe is cancelled if it has not begun by this time.
    begin_by: Micros,
    has_begun: bool,
}

/// The duties of this instance.
pub struct DutyRunner {
    table: DutyTable,
    me: Member,
    members: Vec<NamedMember>,
    /// Whether this instance runs duties without leases of the other members: it is then its own majority.
    without_leases: bool,
    class: ClassId,
    /// The path of a probe's request.
    pub probe_path: Rc<str>,
    probes: BTreeMap<u64, Probe>,
    next_review: Micros,
    /// Nothing is due before this time. A message from another member, or the end of a probe, brings it
    /// forward.
    due: Micros,
    reported_wins: u64,
    to_peers: Sender<ToPeers>,
    list: Option<ListDuty>,
    persist_bound: PersistBound,
    stored_epoch: Epoch,
    /// Whether the members elect one of them as coordinator of the fleet.
    elects_coordinator: bool,
    /// The coordinator and its epoch, as it announced itself or as won here.
    coordinator: Option<(Member, Epoch)>,
    fence: Fence,
}

/// The state of the duty of asking discovery for the list.
struct ListDuty {
    to_list: Sender<ToList>,
    role: ListRole,
    /// When the owner of the duty was last heard from.
    last_heard: Option<Micros>,
    /// The generation of the list held here; none while discovery does not answer.
    generation: Option<u64>,
}

impl DutyRunner {
    /// Creates the runner. `class` is the result of
    /// [`core::add_probe_class`](onyxrock::core::add_probe_class), `boot` a number that no other process of
    /// this instance has. `to_peers` is the inbox of the [`Peers`](crate::Peers) actor, `to_list` that of the
    /// list actor. `stored_bound` is what `persist_bound` stored in an earlier process.
    #[expect(clippy::too_many_arguments, reason = "each is another part of the program, passed once")]
    pub fn new(
        settings: &DutySettings, me: Member, boot: u64, now: Micros, class: ClassId,
        to_peers: Sender<ToPeers>, to_list: Sender<ToList>, stored_bound: StoredBound,
        persist_bound: PersistBound,
    ) -> DutyRunner {
        let min_interval = Micros::from_secs(INTERVAL_FACTOR / settings.probe.per_s);
        let terms = LeaseTerms {
            duration: settings.lease_duration,
            min_interval,
            run_timeout: settings.probe.timeout,
        };
        let without_leases = settings.probe.without_leases;
        let table = match without_leases {
            true => DutyTable::new(Member(0), 1, 1, terms, boot, now, stored_bound),
            false => DutyTable::new(
                me,
                settings.members.len() as u16,
                settings.voter_count as u16,
                terms,
                boot,
                now,
                stored_bound,
            ),
        };
        let path = settings.probe.path.as_str().into();
        let (members, probes) = (settings.members.clone(), BTreeMap::new());
        let shares_list = settings.share_list && !without_leases;
        let list = shares_list.then_some(ListDuty {
            to_list,
            role: ListRole::Standalone,
            last_heard: None,
            generation: None,
        });
        let elects_coordinator = settings.elect_coordinator && !without_leases;
        let (stored_epoch, coordinator, fence) = (0, None, Fence::default());
        let mut runner = DutyRunner {
            table,
            me,
            members,
            without_leases,
            class,
            probe_path: path,
            probes,
            next_review: now,
            due: now,
            reported_wins: 0,
            to_peers,
            list,
            persist_bound,
            stored_epoch,
            elects_coordinator,
            coordinator,
            fence,
        };
        runner.persist_pending_bound();
        tracing::debug!(votes = runner.table.is_voting(), "duties: a new life");
        runner
    }

    /// Persists what the voter may promise from now on, so that its next process knows it.
    fn persist_pending_bound(&mut self) {
        if let Some(n) = self.table.bound_to_persist().filter(|n| (self.persist_bound)(*n)) {
            self.table.mark_bound_persisted(n);
            self.stored_epoch = n;
        }
    }

    /// The epoch of the coordinator, as far as this instance knows; zero if there is none.
    pub fn coordinator_epoch(&self) -> Epoch {
        self.coordinator.map_or(0, |coordinator| coordinator.1)
    }

    /// Number of messages from other members that were refused because their lease was outdated.
    pub fn fence_refusals(&self) -> u64 {
        self.fence.refused_count()
    }

    /// Makes the fence refuse epochs earlier than that of a lease held here. Returns false if a later epoch
    /// has been seen.
    fn fence_earlier_epochs(&mut self, duty: Duty, epoch: Epoch) -> bool {
        self.fence.highest(duty) <= epoch && self.fence.admit(duty, epoch)
    }

    /// Whether an effect under this epoch may be applied here.
    fn admit(&mut self, duty: Duty, epoch: Epoch) -> bool {
        let admitted = self.fence.admit(duty, epoch);
        tracing::debug!(
            told = duty.kind.name(),
            epoch,
            admitted,
            "duties: checked the epoch of a message from another member"
        );
        admitted
    }

    /// Acts as coordinator if the lease is held here, and announces it to the other members when `announce`
    /// is set.
    fn update_coordinator(&mut self, now: Micros, announce: bool) {
        let Some(epoch) = self.table.epoch(now, COORDINATOR_DUTY).filter(|_| self.elects_coordinator) else {
            return;
        };
        if self.fence_earlier_epochs(COORDINATOR_DUTY, epoch) {
            self.coordinator = Some((self.me, epoch));
        }
        if announce && self.table.may_continue(now, COORDINATOR_DUTY, epoch).is_ok() {
            let _ = self.to_peers.try_send(ToPeers::Coordinator(epoch));
        }
    }

    /// Processes a message from the other instances. Endpoint hints are left to the caller.
    pub fn receive(&mut self, now: Micros, message: FromPeers) {
        self.due = now;
        match message {
            FromPeers::Alive(_) | FromPeers::Duties { .. } if self.without_leases => {}
            FromPeers::Alive(alive) => self.table.set_alive(now, alive),
            FromPeers::Duties { from, message } => {
                let outputs = self.table.receive(now, from, message);
                self.persist_pending_bound();
                self.send(outputs);
            }
            FromPeers::EndpointHint { .. } => {}
            FromPeers::Coordinator { from, epoch } => {
                if self.admit(COORDINATOR_DUTY, epoch) {
                    self.coordinator = Some((from, epoch));
                }
            }
            // A list update sent under an outdated lease reports an outdated list.
            FromPeers::ListUpdate(update) if !self.admit(LIST_DUTY, update.epoch) => {}
            FromPeers::ListUpdate(update) => {
                if let Some(list) = &mut self.list {
                    list.last_heard = Some(now);
                    let _ = list.to_list.try_send(ToList::Update(update));
                }
            }
        }
    }

    /// Sets the generation of the list that discovery returned; none if discovery did not answer. Other
    /// members must not rely on an owner that has no answer itself.
    pub fn set_list_generation(&mut self, generation: Option<u64>) {
        if let Some(list) = &mut self.list {
            list.generation = generation;
        }
    }

    /// Whether another instance asks discovery for the list, and tells this one of changes.
    #[must_use]
    pub fn follows_list_holder(&self) -> bool {
        self.list.as_ref().is_some_and(|list| list.role == ListRole::Follower)
    }

    /// Determines which role this instance has for the list: owner with the lease, follower while it hears
    /// from the owner, standalone otherwise.
    fn update_list_role(&mut self, now: Micros, announce: bool) {
        let (lease, owner) = (self.table.terms().duration, self.table.epoch(now, LIST_DUTY));
        if let Some(epoch) = owner {
            self.fence_earlier_epochs(LIST_DUTY, epoch);
        }
        let Some(list) = &mut self.list else { return };
        let owner_heard = list.last_heard.is_some_and(|t| now.since(t) < lease);
        let role = match owner {
            Some(epoch) => ListRole::Owner(epoch),
            None if owner_heard => ListRole::Follower,
            None => ListRole::Standalone,
        };
        if role != list.role && list.to_list.try_send(ToList::Role(role)).is_ok() {
            list.role = role;
        }
        if let (Some(epoch), true, Some(generation)) = (owner, announce, list.generation) {
            let update = ListUpdate { epoch, previous_generation: generation, generation, body: Vec::new() };
            let _ = self.to_peers.try_send(ToPeers::ListUpdate(update));
        }
    }

    fn send(&self, outputs: Vec<Output>) {
        // A full inbox loses a message, as the network may lose a datagram.
        for Output::Send { to, message } in outputs {
            let _ = self.to_peers.try_send(ToPeers::Duties { to, message });
        }
    }

    /// Does what is due: wants duties, requests and renews leases, and submits the probes that may run to the
    /// core. Returns the number of leases won since the last call. Costs next to nothing while nothing is
    /// due.
    pub fn tick(&mut self, now: Micros, ledger: &mut Ledger) -> u64 {
        if now < self.due {
            return 0;
        }
        let review_due = now >= self.next_review;
        if review_due {
            let terms = self.table.terms();
            self.next_review = now.plus(terms.renew_interval());
            let probe_duty =
                |destination: DestinationId| Duty { kind: DutyKind::Probe, target: destination.0 };
            let unconfirmed: Vec<_> = ledger.unconfirmed_destinations().map(probe_duty).collect();
            for duty in self.table.wanted(now).into_iter().filter(|d| d.kind == DutyKind::Probe) {
                if unconfirmed.binary_search(&duty).is_err() {
                    self.table.unwant(now, duty);
                }
            }
            unconfirmed.into_iter().for_each(|d| self.table.want(d, now.plus(terms.duration)));
            if self.list.is_some() {
                self.table.want(LIST_DUTY, now.plus(terms.duration));
            }
            if self.elects_coordinator {
                self.table.want(COORDINATOR_DUTY, now.plus(terms.duration));
            }
        }
        self.update_list_role(now, review_due);
        self.update_coordinator(now, review_due);
        let outputs = self.table.tick(now);
        self.persist_pending_bound();
        self.send(outputs);
        // The core may hold a probe back because of a retry-after, the budget for destinations that may be
        // cold, or a lack of slots.
        let is_late = |probe: &Probe| !probe.has_begun && probe.begin_by <= now;
        let late_probes: Vec<_> =
            self.probes.iter().filter(|(_, probe)| is_late(probe)).map(|(number, _)| *number).collect();
        for number in late_probes {
            if let Some(probe) = self.probes.remove(&number) {
                tracing::debug!(
                    of = probe.duty.target,
                    "duties: cancelled a probe that the core did not send in time"
                );
            }
            ledger.cancel_probe(now, number);
        }
        for duty in self.table.ready(now).into_iter().filter(|d| d.kind == DutyKind::Probe) {
            if self.probes.values().any(|probe| probe.duty == duty) {
                continue;
            }
            let timeout = self.table.terms().run_timeout;
            let time_to_live = Micros(timeout.0 * 2);
            let number = ledger.submit_probe(now, self.class, DestinationId(duty.target), time_to_live);
            self.probes.insert(number, Probe { duty, begin_by: now.plus(timeout), has_begun: false });
        }
        let begin_times = self.probes.values().filter(|probe| !probe.has_begun).map(|probe| probe.begin_by);
        let table_times = [self.table.due(), self.table.next_ready(now)].into_iter().flatten();
        self.due = begin_times.chain(table_times).fold(self.next_review, Micros::min);
        let won = self.table.leases_won();
        won - std::mem::replace(&mut self.reported_wins, won)
    }

    /// When [`DutyRunner::tick`] is due.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// How long a probe's call may take.
    pub fn probe_timeout(&self) -> Micros {
        self.table.terms().run_timeout
    }

    /// Begins a probe whose call is about to be written, and returns the epoch that it carries. `None`: the
    /// call must not be written.
    pub fn begin_probe(&mut self, now: Micros, number: u64) -> Option<Epoch> {
        let probe = self.probes.get_mut(&number).filter(|probe| !probe.has_begun)?;
        let epoch = self.table.begin(now, probe.duty);
        tracing::debug!(of = probe.duty.target, "duties: beginning a probe: {epoch:?}");
        probe.has_begun = epoch.is_ok();
        epoch.ok()
    }

    /// Records that a probe's call has ended or will not be made.
    pub fn probe_ended(&mut self, number: u64) {
        if let Some(probe) = self.probes.remove(&number).filter(|probe| probe.has_begun) {
            self.table.end(probe.duty);
            self.due = Micros(0);
        }
    }

    /// Stops taking part in duties and releases all leases, so that other members need not wait for them to
    /// expire.
    pub fn release_all(&mut self, now: Micros) {
        for duty in self.table.wanted(now) {
            self.table.unwant(now, duty);
        }
        self.next_review = Micros(u64::MAX);
        let outputs = self.table.tick(now);
        self.send(outputs);
    }

    /// The state of the duties for operators.
    pub fn status_json(&self, now: Micros) -> Value {
        let ms = |m: Micros| m.0 / 1000;
        let name = |m: Member| self.members.get(usize::from(m.0)).map_or("?", |n| n.name.as_str());
        let owned = self.table.held_leases(now).into_iter().map(|lease| {
            json!({"duty": lease.duty.kind.name(), "of": lease.duty.target, "epoch": lease.epoch, "held_for_ms": ms(now.since(lease.since)),
                "ends_in_ms": ms(lease.until.since(now))})
        });
        let wanted = self.table.wanted(now).into_iter().map(|d| {
            let preferred = if self.without_leases { self.me } else { self.table.preferred_owner(now, d) };
            json!({"duty": d.kind.name(), "of": d.target, "first": name(preferred)})
        });
        let terms = self.table.terms();
        let coordinator = self.coordinator.filter(|_| self.elects_coordinator);
        json!({"coordinator": coordinator.map(|c| name(c.0)), "coordinator_epoch": coordinator.map(|c| c.1),
            "fence_refused": self.fence.refused_count(), "epoch_kept": self.stored_epoch, "votes": self.table.is_voting(), "me": name(self.me), "alone": self.without_leases, "lease_ms": ms(terms.duration), "gap_ms": ms(terms.min_interval),
            "owned": owned.collect::<Vec<_>>(), "wanted": wanted.collect::<Vec<_>>(), "won": self.table.leases_won()})
    }
}

/// The index of this instance, with the given name, among the members.
pub fn member_by_name(settings: &DutySettings, name: &str) -> Result<Member, String> {
    let index = settings.members.iter().position(|m| m.name == name);
    let index = index.and_then(|i| u16::try_from(i).ok()).map(Member);
    index.ok_or_else(|| format!("[duties]: \"{name}\", this instance, is none of the members"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_channel::{Receiver, bounded};
    use onyxrock::core::{NameIndex, add_probe_class};
    use onyxrock::interface::Settings;
    use onyxrock_config::duties::ProbeSettings;
    use onyxrock_membership::{Key, Keys};

    struct TestRunner {
        runner: DutyRunner,
        ledger: Ledger,
        now: Micros,
        out: Receiver<ToPeers>,
        list: Receiver<ToList>,
    }

    /// One of `members` members, which receives from the others only what the test passes to it.
    fn test_runner(members: u16) -> TestRunner {
        test_runner_after(members, 0)
    }

    /// The same, after an earlier process that has promised epochs up to `stored_epoch`.
    fn test_runner_after(members: u16, stored_epoch: Epoch) -> TestRunner {
        let named = |i| NamedMember { name: format!("n{i}"), address: ([127, 0, 0, 1], 9).into() };
        let (timeout, path) = (Micros(250_000), "/health".to_owned());
        let duties = DutySettings {
            listen: ([127, 0, 0, 1], 0).into(),
            members: (0..members).map(named).collect(),
            voter_count: usize::from(members),
            lease_duration: Micros(1_200_000),
            probe: ProbeSettings { per_s: 2.0, timeout, path, without_leases: false },
            share_list: true,
            elect_coordinator: true,
            keys: Keys::new(1, [Key { id: 1, secret: [1; 32] }]).unwrap(),
        };
        let mut settings = Settings { slots: 4, max_held: 9, max_attempts: 3, ..Settings::default() };
        let class = add_probe_class(&mut settings, Micros(500_000), Micros(0));
        let ledger = Ledger::new(settings, NameIndex::default(), Default::default(), 1);
        let ((to_peers, out), (to_list, list)) = (bounded(64), bounded(64));
        let now = Micros(1_000_000);
        let (stored_bound, persist_bound) = (StoredBound::Known(stored_epoch), Box::new(|_| true));
        let runner = DutyRunner::new(
            &duties,
            Member(0),
            5,
            now,
            class,
            to_peers,
            to_list,
            stored_bound,
            persist_bound,
        );
        TestRunner { runner, ledger, now, out, list }
    }

    impl TestRunner {
        /// Runs the instance for a time and returns the generations in its list updates to the other members,
        /// and its messages to the list actor.
        fn run(&mut self, ms: u64) -> (Vec<u64>, Vec<ToList>) {
            for _ in 0..ms / 50 {
                self.now = self.now.plus(Micros(50_000));
                self.runner.tick(self.now, &mut self.ledger);
            }
            let update = |m| match m {
                ToPeers::ListUpdate(update) => Some(update.generation),
                _ => None,
            };
            let sent = std::iter::from_fn(|| self.out.try_recv().ok()).filter_map(update).collect();
            (sent, std::iter::from_fn(|| self.list.try_recv().ok()).collect())
        }
    }

    /// A member that owns the list duty but has lost discovery must not keep the others from asking
    /// discovery.
    #[test]
    fn list_owner_sends_heartbeats_only_while_discovery_answers() {
        let mut test = test_runner(1);
        assert_eq!(
            test.run(3000),
            (vec![], vec![ToList::Role(ListRole::Owner(1))]),
            "the owner has no list yet"
        );
        test.runner.set_list_generation(Some(7));
        let (sent, roles) = test.run(1200);
        assert!(sent.len() >= 3 && sent.iter().all(|g| *g == 7) && roles.is_empty(), "{sent:?}");
        test.runner.set_list_generation(None);
        assert_eq!(test.run(3000), (vec![], vec![]));
    }

    #[test]
    fn list_follower_asks_discovery_once_the_owner_falls_silent() {
        let mut test = test_runner(3);
        assert_eq!(test.run(2000).1, [], "the member starts in the standalone role");
        let update = ListUpdate { epoch: 4, previous_generation: 7, generation: 8, body: Vec::new() };
        test.runner.receive(test.now, FromPeers::ListUpdate(update.clone()));
        assert_eq!(test.run(1000).1, [ToList::Update(update), ToList::Role(ListRole::Follower)]);
        assert_eq!(test.run(1000).1, [ToList::Role(ListRole::Standalone)]);
    }

    /// Updates from a holder that was suspended, or whose datagrams were delayed, arrive after another member
    /// has won the list duty.
    #[test]
    fn messages_under_an_outdated_lease_are_refused_and_counted() {
        let mut test = test_runner(3);
        let update =
            |epoch, generation| ListUpdate { epoch, previous_generation: 7, generation, body: Vec::new() };
        test.runner.receive(test.now, FromPeers::ListUpdate(update(4, 8)));
        test.runner.receive(test.now, FromPeers::ListUpdate(update(3, 5)));
        test.runner.receive(test.now, FromPeers::Coordinator { from: Member(1), epoch: 9 });
        test.runner.receive(test.now, FromPeers::Coordinator { from: Member(2), epoch: 8 });
        let received: Vec<_> = std::iter::from_fn(|| test.list.try_recv().ok()).collect();
        assert_eq!(received, [ToList::Update(update(4, 8))]);
        assert_eq!((test.runner.fence_refusals(), test.runner.coordinator_epoch()), (2, 9));
    }

    /// A lease held here counts as seen: an announcement of an earlier coordinator changes nothing here.
    #[test]
    fn coordinator_ignores_an_earlier_coordinator() {
        let mut test = test_runner_after(1, 5);
        test.run(4000);
        assert_eq!(test.runner.coordinator_epoch(), 6);
        test.runner.receive(test.now, FromPeers::Coordinator { from: Member(2), epoch: 5 });
        assert_eq!((test.runner.coordinator_epoch(), test.runner.fence_refusals()), (6, 1));
        assert_eq!(test.runner.status_json(test.now)["coordinator"], "n0");
    }
}
