//! All interleavings of asking, answering, doing, giving back, crash, restart, delay, loss, duplicate and split, for
//! three members (all voters) and two duties: the code itself, on a clock of few ticks.
//!
//! A message that was sent stays in the net: it may arrive at any later time, many times, or never. A split, a pause of
//! a process and a slow network are orders of these steps like any other. What is bounded is the number of ticks,
//! questions and restarts, see each test.

use onyxrock::interface::Micros;
use onyxrock_duties::{Duty, DutyKind, Epoch, Holder, LeaseTerms, Member, Message, StoredBound, Voter};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Span 4: a promise outlives its lease by a tick, so that the model covers clocks that drift by it.
const WIDE: LeaseTerms = LeaseTerms { duration: Micros(3), min_interval: Micros(2), run_timeout: Micros(1) };
/// A doing may still be out when the pace alone would allow the next.
const LONG: LeaseTerms = LeaseTerms { duration: Micros(3), min_interval: Micros(1), run_timeout: Micros(2) };
const NODES: u16 = 3;

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Node {
    voter: Voter,
    holder: Holder,
    asks: u8,
    /// It has passed the check, and what it does under this epoch is still to take effect: it may stand still meanwhile.
    begun: Option<Epoch>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    net: BTreeSet<(u16, u16, Message)>,
    restarts: u8,
    releases: u8,
    /// Of each duty: when the last doing began, and until when it may be out.
    last: [Option<(u64, u64)>; 2],
    done: u8,
    overlap: bool,
    too_soon: bool,
    /// What the receiver has seen, with holders that may stand still: the highest epoch, and whether one came after a
    /// higher one and took effect.
    seen: Epoch,
    stale: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Step {
    Tick,
    Ask(u16, u64),
    Deliver(u16, u16, Message),
    Do(u16, u64),
    /// What was begun reaches its receiver.
    Effect(u16),
    Release(u16, u64),
    Restart(u16),
}

struct World {
    terms: LeaseTerms,
    ticks: u64,
    duties: u64,
    /// The first so many ask; all vote.
    candidates: u16,
    /// Of the first; the others ask once.
    asks: u8,
    restarts: u8,
    releases: u8,
    /// A voter that has restarted waits out what it may have promised.
    waits_out: bool,
    /// A restarted process is told from its earlier life.
    new_boot: bool,
    /// A holder may stand still between its check and the effect.
    freezes: bool,
    /// The receiver refuses an epoch lower than one that it has seen.
    fenced: bool,
}

fn voter(terms: LeaseTerms, now: Micros, memory: StoredBound) -> Voter {
    let mut v = Voter::new(terms, NODES, now, memory);
    v.to_keep().into_iter().for_each(|n| v.kept(n));
    v
}

/// One that has heard of this epoch: each asks for another, so that a question is not wasted on finding out.
fn holder(terms: LeaseTerms, boot: u64, heard: Epoch) -> Holder {
    let mut h = Holder::new(terms, boot, NODES);
    (0..2).for_each(|d| h.hint(duty(d), heard));
    h
}

fn duty(of: u64) -> Duty {
    Duty { kind: DutyKind::Probe, target: of }
}

/// What the voters and the holder are made with at time 1; before it nothing was promised by anybody.
const START: u64 = 10;

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |n: u16| Node {
            voter: voter(self.terms, Micros(START - self.terms.promise_duration().0), StoredBound::Known(0)),
            holder: holder(self.terms, 1, Epoch::from(n)),
            asks: 0,
            begun: None,
        };
        vec![State {
            now: START,
            nodes: (0..NODES).map(node).collect(),
            net: BTreeSet::new(),
            restarts: 0,
            releases: 0,
            last: [None; 2],
            done: 0,
            overlap: false,
            too_soon: false,
            seen: 0,
            stale: false,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < START + self.ticks {
            steps.push(Step::Tick);
        }
        for n in 0..self.candidates {
            let node = &s.nodes[usize::from(n)];
            for d in 0..self.duties {
                if node.asks < if n == 0 { self.asks } else { 1 }
                    && node.holder.asked(duty(d)).is_none_or(|a| a.0 < s.now)
                {
                    steps.push(Step::Ask(n, d));
                }
                if node.holder.may_begin(Micros(s.now), duty(d)).is_ok() && node.begun.is_none() {
                    steps.push(Step::Do(n, d));
                }
                if node.begun.is_some() {
                    steps.push(Step::Effect(n));
                }
                if s.releases < self.releases && node.holder.asked(duty(d)).is_some() {
                    steps.push(Step::Release(n, d));
                }
            }
        }
        if s.restarts < self.restarts {
            steps.extend((0..NODES).map(Step::Restart));
        }
        steps.extend(s.net.iter().map(|(from, to, m)| Step::Deliver(*from, *to, m.clone())));
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        let mut next = s.clone();
        let now = Micros(s.now);
        match step {
            // What is over has no effect any more; forgetting it joins states that differ in nothing else.
            Step::Tick => {
                next.now += 1;
                let now = Micros(next.now);
                for node in &mut next.nodes {
                    node.voter.tidy(now);
                    node.holder.tidy(now);
                }
                let over = |m: &Message| match m {
                    Message::LeaseResponse { sent, .. } => Micros(*sent).plus(self.terms.duration) <= now,
                    _ => false,
                };
                next.net.retain(|(_, _, m)| !over(m));
                for l in &mut next.last {
                    // Older than the gap it says nothing more than that something was done.
                    *l = l.map(|(began, until)| (began.max(next.now - 3), until.max(next.now - 3)));
                }
            }
            Step::Ask(n, d) => {
                let node = &mut next.nodes[usize::from(n)];
                node.asks += 1;
                let m = node.holder.ask(now, vec![duty(d)])?;
                Self::send(&mut next, n, &m);
            }
            Step::Deliver(from, to, m) => {
                let node = &mut next.nodes[usize::from(to)];
                node.holder.receive(now, Member(from), &m);
                if let Some(answer) = node.voter.receive(now, Member(from), &m) {
                    next.net.insert((to, from, answer));
                }
            }
            Step::Do(n, d) => {
                let node = &mut next.nodes[usize::from(n)];
                let begun = node.holder.begin(now, duty(d));
                node.begun = begun.ok().filter(|_| self.freezes);
                if let Some((began, until)) = s.last[d as usize] {
                    next.overlap |= s.now < until;
                    next.too_soon |= s.now < began + self.terms.min_interval.0;
                }
                next.last[d as usize] = Some((s.now, s.now + self.terms.run_timeout.0));
                next.done = (next.done + 1).min(2);
            }
            Step::Effect(n) => {
                let epoch = next.nodes[usize::from(n)].begun.take()?;
                // Refused, it has no effect: nothing more comes of it.
                if !self.fenced || epoch >= s.seen {
                    next.stale |= epoch < s.seen;
                    next.seen = epoch.max(s.seen);
                }
            }
            Step::Release(n, d) => {
                next.releases += 1;
                let m = next.nodes[usize::from(n)].holder.release(now, &[duty(d)])?;
                Self::send(&mut next, n, &m);
            }
            Step::Restart(n) => {
                next.restarts += 1;
                let since =
                    if self.waits_out { now } else { Micros(START - self.terms.promise_duration().0) };
                let boot = if self.new_boot { 2 + u64::from(s.restarts) } else { 1 };
                let asks = s.nodes[usize::from(n)].asks;
                // What it kept is above all that it has promised; its epochs then, too.
                let old = &s.nodes[usize::from(n)].voter;
                let voter = voter(self.terms, since, StoredBound::Known(old.bound()));
                let holder = holder(self.terms, boot, 2 + u64::from(s.restarts));
                next.nodes[usize::from(n)] = Node { voter, holder, asks, begun: None };
            }
        }
        (next != *s).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at most", |_, s| !two_hold(s)),
            Property::always("no two at once", |_, s: &State| !s.overlap),
            Property::always("nothing stale takes effect", |_, s: &State| !s.stale),
            Property::always("the pace", |_, s: &State| !s.too_soon),
            // The model is not empty: things are done, and by another after the first.
            Property::sometimes(DONE, |_, s: &State| s.done > 0),
        ]
    }
}

fn two_hold(s: &State) -> bool {
    let holders = |d| s.nodes.iter().filter(|n| n.holder.holds(Micros(s.now), duty(d))).count();
    (0..2).any(|d| holders(d) > 1)
}

impl World {
    fn send(s: &mut State, from: u16, m: &Message) {
        s.net.extend((0..NODES).filter(|to| *to != from).map(|to| (from, to, m.clone())));
        // Its own vote needs no wire.
        let node = &mut s.nodes[usize::from(from)];
        if let Some(answer) = node.voter.receive(Micros(s.now), Member(from), m) {
            node.holder.receive(Micros(s.now), Member(from), &answer);
        }
    }
    /// Looks at every state, and gives the properties that fail.
    fn broken(self) -> BTreeSet<&'static str> {
        let checker = self.checker().threads(4).target_state_count(LIMIT).spawn_bfs().join();
        let found: BTreeSet<_> = checker.discoveries().into_keys().collect();
        let broken: BTreeSet<_> = found.iter().filter(|p| **p != DONE).copied().collect();
        let states = checker.unique_state_count();
        println!("{states} states, depth {}, broken: {broken:?}", checker.max_depth());
        if broken.is_empty() {
            assert!(checker.state_count() < LIMIT, "{states}: not all states were looked at");
            assert!(found.contains(DONE), "the model is empty: nothing is done");
        }
        broken
    }
}

const DONE: &str = "something is done";
const LIMIT: usize = 12_000_000;
const WORLD: World = World {
    terms: WIDE,
    ticks: 7,
    duties: 1,
    candidates: 2,
    asks: 1,
    restarts: 0,
    releases: 0,
    waits_out: true,
    new_boot: true,
    freezes: false,
    fenced: true,
};
const CRASH: World = World { ticks: 3, restarts: 1, ..WORLD };
const SOUND: [&str; 0] = [];

#[test]
fn two_that_ask_through_every_split_delay_loss_and_duplicate() {
    assert_eq!(WORLD.broken(), SOUND.into());
}

#[test]
fn one_that_asks_again_and_gives_back() {
    assert_eq!(World { ticks: 6, asks: 2, releases: 1, candidates: 1, ..WORLD }.broken(), SOUND.into());
}

#[test]
fn two_that_ask_while_one_gives_back() {
    assert_eq!(World { ticks: 2, asks: 2, releases: 1, ..WORLD }.broken(), SOUND.into());
}

#[test]
fn any_of_three_crashes_and_is_back() {
    assert_eq!(CRASH.broken(), SOUND.into());
    assert_eq!(World { terms: LONG, ..CRASH }.broken(), SOUND.into());
}

#[test]
fn two_duties_at_once() {
    assert_eq!(World { ticks: 3, duties: 2, asks: 1, ..WORLD }.broken(), SOUND.into());
}

/// The guards, each taken away: what they are there for happens.
#[test]
fn without_a_guard_the_model_finds_what_breaks() {
    let forgets = World { waits_out: false, ..CRASH };
    assert!(forgets.broken().contains("one holder at most"), "a voter that has restarted promises anew");
    let again = World { terms: LONG, candidates: 1, asks: 2, ticks: 4, ..CRASH };
    let same = World { new_boot: false, ..again };
    assert!(
        same.broken().contains("no two at once"),
        "a member that has restarted goes on under its old lease"
    );
    assert_eq!(again.broken(), SOUND.into());
}

/// A holder that stands still between its last look at the clock and the act: only the receiver can refuse it.
#[test]
fn fencing_refuses_what_a_frozen_holder_does_late() {
    let frozen = World { ticks: 6, freezes: true, ..WORLD };
    let unfenced = World { fenced: false, ..frozen };
    assert_eq!(unfenced.broken(), BTreeSet::from(["nothing stale takes effect"]));
    assert_eq!(frozen.broken(), SOUND.into());
}
