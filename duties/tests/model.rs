//! Model check of the lease protocol: all interleavings of request, response, run, release, crash, restart,
//! delay, loss, duplication and partition, for three members (all voters) and two duties. It runs the real
//! code on a clock of few ticks.
//!
//! A message that was sent stays in the network: it may arrive at any later time, many times, or never. A
//! partition, a suspended process and a slow network are therefore orders of these steps like any other. The
//! numbers of ticks, requests and restarts are bounded; see each test.

use onyxrock::interface::Micros;
use onyxrock_duties::{Duty, DutyKind, Epoch, Holder, LeaseTerms, Member, Message, StoredBound, Voter};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Promise duration 4: a promise outlives its lease by one tick, so that the model covers clocks that drift
/// by one tick.
const WITH_DRIFT: LeaseTerms =
    LeaseTerms { duration: Micros(3), min_interval: Micros(2), run_timeout: Micros(1) };
/// A run may still be in progress when the minimum interval alone would permit the next.
const LONG_RUNS: LeaseTerms =
    LeaseTerms { duration: Micros(3), min_interval: Micros(1), run_timeout: Micros(2) };
const NODES: u16 = 3;

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Node {
    voter: Voter,
    holder: Holder,
    requests: u8,
    /// The epoch of a run that has passed the check and whose effect has not happened yet; the node may be
    /// suspended in between.
    pending_effect: Option<Epoch>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    network: BTreeSet<(u16, u16, Message)>,
    restarts: u8,
    releases: u8,
    /// For each duty: when the last run began, and until when it may last.
    last_run: [Option<(u64, u64)>; 2],
    runs: u8,
    overlap: bool,
    too_soon: bool,
    /// What the receiver of effects has seen, with holders that may be suspended: the highest epoch, and
    /// whether a lower one took effect after it.
    highest_seen: Epoch,
    outdated_effect: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Step {
    Tick,
    Request(u16, u64),
    Deliver(u16, u16, Message),
    Run(u16, u64),
    /// The effect of a run reaches its receiver.
    Effect(u16),
    Release(u16, u64),
    Restart(u16),
}

struct LeaseModel {
    terms: LeaseTerms,
    ticks: u64,
    duties: u64,
    /// The number of members that request leases; all members vote.
    candidates: u16,
    /// The number of requests of the first member; the others send one.
    requests: u8,
    restarts: u8,
    releases: u8,
    /// A restarted voter waits until the promises that it may have made have expired.
    waits_for_promises: bool,
    /// A restarted process has a boot ID of its own.
    new_boot_id: bool,
    /// A holder may be suspended between its check and the effect.
    may_suspend: bool,
    /// The receiver refuses an epoch lower than one that it has seen.
    fenced: bool,
}

fn new_voter(terms: LeaseTerms, now: Micros, stored_bound: StoredBound) -> Voter {
    let mut voter = Voter::new(terms, NODES, now, stored_bound);
    voter.bound_to_persist().into_iter().for_each(|n| voter.mark_bound_persisted(n));
    voter
}

/// Creates a holder that knows this epoch: each holder requests a different one, so that no request is spent
/// on finding out the epoch.
fn new_holder(terms: LeaseTerms, boot: u64, known: Epoch) -> Holder {
    let mut holder = Holder::new(terms, boot, NODES);
    (0..2).for_each(|duty_index| holder.record_epoch(duty(duty_index), known));
    holder
}

fn duty(target: u64) -> Duty {
    Duty { kind: DutyKind::Probe, target }
}

/// The time at which the model begins. Time 1 and later precede it so that voters can count as started one
/// promise duration before the model; nothing was promised in that time.
const START_TICK: u64 = 10;

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |member: u16| Node {
            voter: new_voter(
                self.terms,
                Micros(START_TICK - self.terms.promise_duration().0),
                StoredBound::Known(0),
            ),
            holder: new_holder(self.terms, 1, Epoch::from(member)),
            requests: 0,
            pending_effect: None,
        };
        vec![State {
            now: START_TICK,
            nodes: (0..NODES).map(node).collect(),
            network: BTreeSet::new(),
            restarts: 0,
            releases: 0,
            last_run: [None; 2],
            runs: 0,
            overlap: false,
            too_soon: false,
            highest_seen: 0,
            outdated_effect: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < START_TICK + self.ticks {
            steps.push(Step::Tick);
        }
        for member in 0..self.candidates {
            let node = &state.nodes[usize::from(member)];
            for duty_index in 0..self.duties {
                if node.requests < if member == 0 { self.requests } else { 1 }
                    && node.holder.last_requested(duty(duty_index)).is_none_or(|a| a.0 < state.now)
                {
                    steps.push(Step::Request(member, duty_index));
                }
                if node.holder.may_begin(Micros(state.now), duty(duty_index)).is_ok()
                    && node.pending_effect.is_none()
                {
                    steps.push(Step::Run(member, duty_index));
                }
                if node.pending_effect.is_some() {
                    steps.push(Step::Effect(member));
                }
                if state.releases < self.releases && node.holder.last_requested(duty(duty_index)).is_some() {
                    steps.push(Step::Release(member, duty_index));
                }
            }
        }
        if state.restarts < self.restarts {
            steps.extend((0..NODES).map(Step::Restart));
        }
        steps.extend(
            state.network.iter().map(|(from, to, message)| Step::Deliver(*from, *to, message.clone())),
        );
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        let now = Micros(state.now);
        match step {
            // Expired promises and responses have no effect any more; removing them merges states that differ
            // in nothing else.
            Step::Tick => {
                next.now += 1;
                let now = Micros(next.now);
                for node in &mut next.nodes {
                    node.voter.remove_expired(now);
                    node.holder.remove_expired(now);
                }
                let is_expired = |message: &Message| match message {
                    Message::LeaseResponse { sent, .. } => Micros(*sent).plus(self.terms.duration) <= now,
                    _ => false,
                };
                next.network.retain(|(_, _, message)| !is_expired(message));
                for last_run in &mut next.last_run {
                    // Beyond the minimum interval, the time of a run says only that there was one.
                    *last_run =
                        last_run.map(|(began, until)| (began.max(next.now - 3), until.max(next.now - 3)));
                }
            }
            Step::Request(member, duty_index) => {
                let node = &mut next.nodes[usize::from(member)];
                node.requests += 1;
                let message = node.holder.request(now, vec![duty(duty_index)])?;
                Self::send(&mut next, member, &message);
            }
            Step::Deliver(from, to, message) => {
                let node = &mut next.nodes[usize::from(to)];
                node.holder.receive(now, Member(from), &message);
                if let Some(response) = node.voter.receive(now, Member(from), &message) {
                    next.network.insert((to, from, response));
                }
            }
            Step::Run(member, duty_index) => {
                let node = &mut next.nodes[usize::from(member)];
                let epoch = node.holder.begin(now, duty(duty_index));
                node.pending_effect = epoch.ok().filter(|_| self.may_suspend);
                if let Some((began, until)) = state.last_run[duty_index as usize] {
                    next.overlap |= state.now < until;
                    next.too_soon |= state.now < began + self.terms.min_interval.0;
                }
                next.last_run[duty_index as usize] = Some((state.now, state.now + self.terms.run_timeout.0));
                next.runs = (next.runs + 1).min(2);
            }
            Step::Effect(member) => {
                let epoch = next.nodes[usize::from(member)].pending_effect.take()?;
                // A refused epoch has no effect.
                if !self.fenced || epoch >= state.highest_seen {
                    next.outdated_effect |= epoch < state.highest_seen;
                    next.highest_seen = epoch.max(state.highest_seen);
                }
            }
            Step::Release(member, duty_index) => {
                next.releases += 1;
                let message = next.nodes[usize::from(member)].holder.release(now, &[duty(duty_index)])?;
                Self::send(&mut next, member, &message);
            }
            Step::Restart(member) => {
                next.restarts += 1;
                let started_at = if self.waits_for_promises {
                    now
                } else {
                    Micros(START_TICK - self.terms.promise_duration().0)
                };
                let boot = if self.new_boot_id { 2 + u64::from(state.restarts) } else { 1 };
                let requests = state.nodes[usize::from(member)].requests;
                // The stored bound is above all epochs that the voter has promised, so its next epochs are,
                // too.
                let old_voter = &state.nodes[usize::from(member)].voter;
                let voter = new_voter(self.terms, started_at, StoredBound::Known(old_voter.epoch_bound()));
                let holder = new_holder(self.terms, boot, 2 + u64::from(state.restarts));
                next.nodes[usize::from(member)] = Node { voter, holder, requests, pending_effect: None };
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |_, state| !two_holders(state)),
            Property::always("no overlapping runs", |_, state: &State| !state.overlap),
            Property::always("no outdated effect", |_, state: &State| !state.outdated_effect),
            Property::always("minimum interval between runs", |_, state: &State| !state.too_soon),
            // Shows that the model is not empty: duties run, and another member runs them after the first.
            Property::sometimes(A_DUTY_RUNS, |_, state: &State| state.runs > 0),
        ]
    }
}

fn two_holders(state: &State) -> bool {
    let holders = |duty_index| {
        state.nodes.iter().filter(|n| n.holder.holds(Micros(state.now), duty(duty_index))).count()
    };
    (0..2).any(|d| holders(d) > 1)
}

impl LeaseModel {
    fn send(state: &mut State, from: u16, message: &Message) {
        state.network.extend((0..NODES).filter(|to| *to != from).map(|to| (from, to, message.clone())));
        // The member's own vote needs no network.
        let node = &mut state.nodes[usize::from(from)];
        if let Some(response) = node.voter.receive(Micros(state.now), Member(from), message) {
            node.holder.receive(Micros(state.now), Member(from), &response);
        }
    }
    /// Explores every state and returns the properties that fail.
    fn failing_properties(self) -> BTreeSet<&'static str> {
        let checker = self.checker().threads(4).target_state_count(MAX_STATES).spawn_bfs().join();
        let discovered: BTreeSet<_> = checker.discoveries().into_keys().collect();
        let failing: BTreeSet<_> = discovered.iter().filter(|p| **p != A_DUTY_RUNS).copied().collect();
        let states = checker.unique_state_count();
        println!("{states} states, depth {}, failing: {failing:?}", checker.max_depth());
        if failing.is_empty() {
            assert!(checker.state_count() < MAX_STATES, "{states}: not all states were explored");
            assert!(discovered.contains(A_DUTY_RUNS), "the model is empty: no duty runs");
        }
        failing
    }
}

const A_DUTY_RUNS: &str = "a duty runs";
const MAX_STATES: usize = 12_000_000;
const BASE: LeaseModel = LeaseModel {
    terms: WITH_DRIFT,
    ticks: 7,
    duties: 1,
    candidates: 2,
    requests: 1,
    restarts: 0,
    releases: 0,
    waits_for_promises: true,
    new_boot_id: true,
    may_suspend: false,
    fenced: true,
};
const WITH_CRASH: LeaseModel = LeaseModel { ticks: 3, restarts: 1, ..BASE };
const NO_FAILURES: [&str; 0] = [];

#[test]
fn two_requesters_are_safe_under_partition_delay_loss_and_duplication() {
    assert_eq!(BASE.failing_properties(), NO_FAILURES.into());
}

#[test]
fn requester_that_renews_and_releases_is_safe() {
    assert_eq!(
        LeaseModel { ticks: 6, requests: 2, releases: 1, candidates: 1, ..BASE }.failing_properties(),
        NO_FAILURES.into()
    );
}

#[test]
fn two_requesters_are_safe_while_one_releases() {
    assert_eq!(
        LeaseModel { ticks: 2, requests: 2, releases: 1, ..BASE }.failing_properties(),
        NO_FAILURES.into()
    );
}

#[test]
fn crash_and_restart_of_any_member_is_safe() {
    assert_eq!(WITH_CRASH.failing_properties(), NO_FAILURES.into());
    assert_eq!(LeaseModel { terms: LONG_RUNS, ..WITH_CRASH }.failing_properties(), NO_FAILURES.into());
}

#[test]
fn two_duties_do_not_interfere() {
    assert_eq!(
        LeaseModel { ticks: 3, duties: 2, requests: 1, ..BASE }.failing_properties(),
        NO_FAILURES.into()
    );
}

/// Removes each safeguard in turn: the failure that it prevents must then occur.
#[test]
fn removing_a_safeguard_makes_the_model_fail() {
    let early_voter = LeaseModel { waits_for_promises: false, ..WITH_CRASH };
    assert!(
        early_voter.failing_properties().contains("at most one holder"),
        "a restarted voter makes promises too early"
    );
    let restarting = LeaseModel { terms: LONG_RUNS, candidates: 1, requests: 2, ticks: 4, ..WITH_CRASH };
    let same_boot_id = LeaseModel { new_boot_id: false, ..restarting };
    assert!(
        same_boot_id.failing_properties().contains("no overlapping runs"),
        "a restarted member goes on under its old lease"
    );
    assert_eq!(restarting.failing_properties(), NO_FAILURES.into());
}

/// A holder may be suspended between its last check of the clock and the effect; only the receiver can refuse
/// that effect.
#[test]
fn fence_refuses_late_effects_of_a_suspended_holder() {
    let suspended = LeaseModel { ticks: 6, may_suspend: true, ..BASE };
    let unfenced = LeaseModel { fenced: false, ..suspended };
    assert_eq!(unfenced.failing_properties(), BTreeSet::from(["no outdated effect"]));
    assert_eq!(suspended.failing_properties(), NO_FAILURES.into());
}
