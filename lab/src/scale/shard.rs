//! Many forwarders on one thread.
//!
//! A shard runs on its own until a time before which nothing that others send meanwhile can arrive, and then waits for
//! the cluster. Its forwarders never leave its thread.

use super::forwarder::{Forwarder, Input, Results, Sent, Setup};
use super::in_force::Adopted;
use super::links::Node;
use super::meter::{Reading, Usage, thread_cpu_s};
use async_channel::{Receiver, Sender, bounded};
use onyxrock::interface::Micros;
use onyxrock_duties::{Epoch, Member};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::sync::Arc;

/// Timers of a system come late by some of this; a forwarder is not woken again sooner.
const TIMER_STEP: Micros = Micros(200);

/// Something that arrives at a forwarder.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Where.
    pub to: Member,
    /// Orders what arrives at one moment.
    pub order: (Node, u64),
    /// What.
    pub input: Input,
}

/// Something that leaves a forwarder.
#[derive(Clone, Debug)]
pub struct Departure {
    /// When.
    pub at: Micros,
    /// Whence.
    pub from: Member,
    /// Orders what leaves one forwarder.
    pub number: u64,
    /// What.
    pub sent: Sent,
}

/// From the cluster.
#[derive(Debug)]
pub enum Command {
    /// Run up to a time, and take what arrives.
    Run(Micros, Vec<Arrival>),
    /// Processes start.
    Start(Micros, Vec<Member>),
    /// Processes are killed.
    Kill(Vec<Member>),
    /// How are the forwarders?
    Read,
}

/// To the cluster.
#[derive(Debug)]
pub enum Reply {
    /// All up to that time is done.
    Ran {
        /// What left.
        departures: Vec<Departure>,
        /// What came into force.
        adopted: Vec<Adopted>,
        /// When the next timer is due.
        next: Micros,
    },
    /// Of every forwarder that runs.
    Readings(Vec<Reading>),
}

/// The cluster's end of a shard.
#[derive(Debug)]
pub struct Handle {
    commands: Sender<Command>,
    replies: Receiver<Reply>,
}

impl Handle {
    /// Starts the thread of a shard without forwarders. It ends with the handle.
    #[must_use]
    pub fn spawn(setup: Arc<Setup>) -> Handle {
        let ((commands, inbox), (outbox, replies)) = (bounded(1), bounded(1));
        std::thread::spawn(move || Shard::new(setup).run(&inbox, &outbox));
        Handle { commands, replies }
    }

    /// Gives a command.
    ///
    /// # Errors
    /// The thread has ended.
    pub fn tell(&self, command: Command) -> Result<(), String> {
        self.commands.send_blocking(command).map_err(|_| "a shard has ended".to_owned())
    }

    /// Waits for the reply to a command.
    ///
    /// # Errors
    /// The thread has ended.
    pub fn reply(&self) -> Result<Reply, String> {
        self.replies.recv_blocking().map_err(|_| "a shard has ended".to_owned())
    }
}

/// What outlives a forwarder's process.
#[derive(Clone, Default)]
struct Kept {
    epoch: Rc<Cell<Epoch>>,
    lives: u64,
    usage: Usage,
    departures: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Micros,
    to: Member,
    /// Timers come first of what happens at one moment.
    order: Option<(Node, u64)>,
}

struct Shard {
    setup: Arc<Setup>,
    forwarders: BTreeMap<Member, Forwarder>,
    kept: BTreeMap<Member, Kept>,
    events: BinaryHeap<Reverse<Event>>,
    arrivals: BTreeMap<(Member, Node, u64), Input>,
    /// The one timer of each forwarder that holds.
    timers: BTreeMap<Member, Micros>,
    departures: Vec<Departure>,
    adopted: Vec<Adopted>,
}

impl Shard {
    fn new(setup: Arc<Setup>) -> Shard {
        Shard {
            setup,
            forwarders: BTreeMap::new(),
            kept: BTreeMap::new(),
            events: BinaryHeap::new(),
            arrivals: BTreeMap::new(),
            timers: BTreeMap::new(),
            departures: Vec::new(),
            adopted: Vec::new(),
        }
    }

    fn run(mut self, inbox: &Receiver<Command>, outbox: &Sender<Reply>) {
        while let Ok(command) = inbox.recv_blocking() {
            let reply = match command {
                Command::Run(until, arrivals) => {
                    arrivals.into_iter().for_each(|arrival| self.arrive(arrival));
                    self.run_until(until);
                    self.ran()
                }
                Command::Start(now, members) => {
                    members.into_iter().for_each(|member| self.start(now, member));
                    self.ran()
                }
                Command::Kill(members) => {
                    members.into_iter().for_each(|member| self.kill(member));
                    self.ran()
                }
                Command::Read => Reply::Readings(self.forwarders.values().map(Forwarder::reading).collect()),
            };
            if outbox.send_blocking(reply).is_err() {
                return;
            }
        }
    }

    fn ran(&mut self) -> Reply {
        let next = self.events.peek().map_or(Micros(u64::MAX), |Reverse(event)| event.at);
        let (departures, adopted) = (std::mem::take(&mut self.departures), std::mem::take(&mut self.adopted));
        Reply::Ran { departures, adopted, next }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let Arrival { at, to, order, input } = arrival;
        self.arrivals.insert((to, order.0, order.1), input);
        self.events.push(Reverse(Event { at, to, order: Some(order) }));
    }

    fn start(&mut self, now: Micros, member: Member) {
        let kept = self.kept.entry(member).or_default();
        kept.lives += 1;
        let (life, epoch) = (kept.lives, kept.epoch.clone());
        let mut forwarder = Forwarder::start(&self.setup, member, life, epoch, now);
        forwarder.add_usage(kept.usage);
        self.forwarders.insert(member, forwarder);
        self.arm(now, member);
    }

    fn kill(&mut self, member: Member) {
        let Some(forwarder) = self.forwarders.remove(&member) else { return };
        self.timers.remove(&member);
        self.kept.entry(member).or_default().usage = forwarder.reading().usage;
    }

    /// Sets the timer of a forwarder, unless the one that is set is early enough.
    fn arm(&mut self, now: Micros, member: Member) {
        let Some(forwarder) = self.forwarders.get(&member) else { return };
        let due = forwarder.due().max(now.plus(TIMER_STEP));
        if self.timers.get(&member).is_some_and(|set| *set == due) {
            return;
        }
        self.timers.insert(member, due);
        self.events.push(Reverse(Event { at: due, to: member, order: None }));
    }

    fn run_until(&mut self, until: Micros) {
        while let Some(Reverse(event)) = self.events.peek()
            && event.at < until
        {
            let Some(Reverse(event)) = self.events.pop() else { return };
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        let Event { at, to, order } = event;
        let input = match order {
            Some((node, number)) => self.arrivals.remove(&(to, node, number)),
            // One that was set anew meanwhile does not hold.
            None => self.timers.get(&to).is_some_and(|set| *set == at).then_some(Input::Timer),
        };
        let (Some(input), Some(forwarder)) = (input, self.forwarders.get_mut(&to)) else { return };
        let mut results = Results::default();
        let before = thread_cpu_s();
        forwarder.step(at, input, &mut results);
        forwarder.add_cpu(thread_cpu_s() - before);
        let kept = self.kept.entry(to).or_default();
        for sent in results.sent {
            kept.departures += 1;
            self.departures.push(Departure { at, from: to, number: kept.departures, sent });
        }
        self.adopted.extend(results.adopted);
        self.arm(at, to);
    }
}
