//! Many forwarders on one thread.
//!
//! A shard runs without the others until a time before which nothing that the others send meanwhile can
//! arrive. Then it waits for the cluster. Its forwarders never leave its thread.

use super::change_times::Adoption;
use super::forwarder::{ClusterSettings, Forwarder, Input, Outbound, StepResults};
use super::links::Node;
use super::measurement::{Reading, Usage, thread_cpu_s};
use async_channel::{Receiver, Sender, bounded};
use onyxrock::interface::Micros;
use onyxrock_duties::{Epoch, Member};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::sync::Arc;

/// Timers of an operating system fire late by some of this time; a forwarder is not woken again sooner.
const TIMER_RESOLUTION: Micros = Micros(200);

/// An input that arrives at a forwarder.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Micros,
    /// The forwarder at which the input arrives.
    pub to: Member,
    /// Sender and number of the input, which order the inputs that arrive at the same time.
    pub order: (Node, u64),
    /// The input.
    pub input: Input,
}

/// Something that a forwarder sends.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Time of the departure.
    pub at: Micros,
    /// The forwarder that sends it.
    pub from: Member,
    /// Number of the departure among those of the forwarder.
    pub number: u64,
    /// The outbound datagram or call.
    pub outbound: Outbound,
}

/// A command of the cluster to a shard.
#[derive(Debug)]
pub enum Command {
    /// Run up to a time, with these arrivals.
    Run(Micros, Vec<Arrival>),
    /// Start processes at a time.
    Start(Micros, Vec<Member>),
    /// Kill processes.
    Kill(Vec<Member>),
    /// Report the readings of all running forwarders.
    Read,
}

/// The reply of a shard to a command.
#[derive(Debug)]
pub enum Reply {
    /// The shard has run, or has started or killed the processes.
    Ran {
        /// What the forwarders sent.
        departures: Vec<Departure>,
        /// Lists that came into force.
        adoptions: Vec<Adoption>,
        /// Time of the next event.
        next_event_at: Micros,
    },
    /// Readings of all running forwarders.
    Readings(Vec<Reading>),
}

/// The cluster's handle to a shard.
#[derive(Debug)]
pub struct ShardHandle {
    commands: Sender<Command>,
    replies: Receiver<Reply>,
}

impl ShardHandle {
    /// Starts the thread of a shard without forwarders. The thread exits when the handle is dropped.
    #[must_use]
    pub fn spawn(settings: Arc<ClusterSettings>) -> ShardHandle {
        let ((commands, inbox), (outbox, replies)) = (bounded(1), bounded(1));
        std::thread::spawn(move || Shard::new(settings).run(&inbox, &outbox));
        ShardHandle { commands, replies }
    }

    /// Sends a command to the shard.
    ///
    /// # Errors
    /// The thread of the shard has exited.
    pub fn send_command(&self, command: Command) -> Result<(), String> {
        self.commands.send_blocking(command).map_err(|_| "the thread of a shard has exited early".to_owned())
    }

    /// Waits for the shard's reply to a command.
    ///
    /// # Errors
    /// The thread of the shard has exited.
    pub fn receive_reply(&self) -> Result<Reply, String> {
        self.replies.recv_blocking().map_err(|_| "the thread of a shard has exited early".to_owned())
    }
}

/// State of a member that outlives its processes.
#[derive(Clone, Default)]
struct StoredState {
    voter_epoch: Rc<Cell<Epoch>>,
    start_count: u64,
    usage: Usage,
    departures: u64,
}

/// An arrival or a timer of a forwarder, ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Micros,
    to: Member,
    /// None for a timer: timers come before the arrivals of the same time.
    order: Option<(Node, u64)>,
}

struct Shard {
    settings: Arc<ClusterSettings>,
    forwarders: BTreeMap<Member, Forwarder>,
    stored: BTreeMap<Member, StoredState>,
    events: BinaryHeap<Reverse<Event>>,
    arrivals: BTreeMap<(Member, Node, u64), Input>,
    /// The time for which each forwarder's timer is set; earlier settings in `events` are ignored.
    timers: BTreeMap<Member, Micros>,
    departures: Vec<Departure>,
    adoptions: Vec<Adoption>,
}

impl Shard {
    fn new(settings: Arc<ClusterSettings>) -> Shard {
        Shard {
            settings,
            forwarders: BTreeMap::new(),
            stored: BTreeMap::new(),
            events: BinaryHeap::new(),
            arrivals: BTreeMap::new(),
            timers: BTreeMap::new(),
            departures: Vec::new(),
            adoptions: Vec::new(),
        }
    }

    fn run(mut self, inbox: &Receiver<Command>, outbox: &Sender<Reply>) {
        while let Ok(command) = inbox.recv_blocking() {
            let reply = match command {
                Command::Run(until, arrivals) => {
                    arrivals.into_iter().for_each(|arrival| self.schedule_arrival(arrival));
                    self.run_until(until);
                    self.run_reply()
                }
                Command::Start(now, members) => {
                    members.into_iter().for_each(|member| self.start(now, member));
                    self.run_reply()
                }
                Command::Kill(members) => {
                    members.into_iter().for_each(|member| self.kill(member));
                    self.run_reply()
                }
                Command::Read => Reply::Readings(self.forwarders.values().map(Forwarder::reading).collect()),
            };
            if outbox.send_blocking(reply).is_err() {
                return;
            }
        }
    }

    /// The reply to a command that ran, started or killed forwarders.
    fn run_reply(&mut self) -> Reply {
        let next_event_at = self.events.peek().map_or(Micros(u64::MAX), |Reverse(event)| event.at);
        let (departures, adoptions) =
            (std::mem::take(&mut self.departures), std::mem::take(&mut self.adoptions));
        Reply::Ran { departures, adoptions, next_event_at }
    }

    /// Adds an arrival to the events.
    fn schedule_arrival(&mut self, arrival: Arrival) {
        let Arrival { at, to, order, input } = arrival;
        self.arrivals.insert((to, order.0, order.1), input);
        self.events.push(Reverse(Event { at, to, order: Some(order) }));
    }

    fn start(&mut self, now: Micros, member: Member) {
        let stored = self.stored.entry(member).or_default();
        stored.start_count += 1;
        let (start_number, voter_epoch) = (stored.start_count, stored.voter_epoch.clone());
        let mut forwarder = Forwarder::start(&self.settings, member, start_number, voter_epoch, now);
        forwarder.set_usage(stored.usage);
        self.forwarders.insert(member, forwarder);
        self.set_timer(now, member);
    }

    fn kill(&mut self, member: Member) {
        let Some(forwarder) = self.forwarders.remove(&member) else { return };
        self.timers.remove(&member);
        self.stored.entry(member).or_default().usage = forwarder.reading().usage;
    }

    /// Sets the timer of a forwarder, unless it is set for that time already.
    fn set_timer(&mut self, now: Micros, member: Member) {
        let Some(forwarder) = self.forwarders.get(&member) else { return };
        let due = forwarder.due().max(now.plus(TIMER_RESOLUTION));
        if self.timers.get(&member).is_some_and(|set_for| *set_for == due) {
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
            self.process_event(event);
        }
    }

    /// Hands an event to its forwarder, and collects the results.
    fn process_event(&mut self, event: Event) {
        let Event { at, to, order } = event;
        let input = match order {
            Some((node, number)) => self.arrivals.remove(&(to, node, number)),
            // A timer that was set anew in the meantime is ignored.
            None => self.timers.get(&to).is_some_and(|set_for| *set_for == at).then_some(Input::Timer),
        };
        let (Some(input), Some(forwarder)) = (input, self.forwarders.get_mut(&to)) else { return };
        let mut results = StepResults::default();
        let before = thread_cpu_s();
        forwarder.step(at, input, &mut results);
        forwarder.add_cpu(thread_cpu_s() - before);
        let stored = self.stored.entry(to).or_default();
        for outbound in results.outbound {
            stored.departures += 1;
            self.departures.push(Departure { at, from: to, number: stored.departures, outbound });
        }
        self.adoptions.extend(results.adoptions);
        self.set_timer(at, to);
    }
}
