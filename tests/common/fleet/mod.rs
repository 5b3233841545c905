//! An emulator of a fleet of senders that share destinations, on a virtual clock and without a network.
//!
//! Each sender is a [`PolicyEngine`] of its own. They meet only in the connection tables of the endpoints: a
//! connection that one sender keeps idle is one that no other sender can open. A run is the same every time.
#![allow(dead_code, unused_imports)] // each test file uses its part

mod endpoint;
mod report;
mod scenario;

pub use report::{Made, Report};
pub use scenario::{FALL_MULTIPLE, FALL_WINDOW, Outage, Scenario, WARM_WITHIN, warmth};

use endpoint::{Connection, Endpoint};
use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use scenario::{CALL, CLASS_SHARES, CONNECT_REFUSED, FIRST, HANDSHAKE, IDLE_LIMIT, START};
use std::collections::BTreeMap;

/// Something that is due at a time.
enum Due {
    /// The next message of the traffic arrives.
    Arrival,
    /// A sender asked to be woken.
    Wake(usize),
    /// A call ends.
    End(CallId),
    /// A connection that was kept at this time may have been idle for too long.
    IdleLimit(usize, ReceiverId, Micros),
    /// The endpoints stop.
    Down,
    /// The endpoints run again.
    Up,
}

/// A message and the number of the attempt.
type CallId = (MessageId, u32);

/// A call that is out.
struct Call {
    sender: usize,
    to: ReceiverId,
    sent: Micros,
    verdict: Verdict,
    connection: Option<Connection>,
}

/// One process of the fleet.
struct Sender {
    policy: PolicyEngine,
    /// Connections kept open without a call, the longest idle first.
    idle: BTreeMap<ReceiverId, Vec<Connection>>,
}

/// A message that is under way.
struct Pending {
    class: usize,
    arrived: Micros,
    attempts: u32,
}

/// The senders, the endpoints and the clock.
pub struct Fleet {
    scenario: Scenario,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Due>,
    queued: u64,
    /// Chance of the traffic: the same messages come whatever the senders do.
    traffic: StdRng,
    /// Chance of the calls.
    network: StdRng,
    senders: Vec<Sender>,
    endpoints: BTreeMap<ReceiverId, Endpoint>,
    pending: BTreeMap<MessageId, Pending>,
    calls: BTreeMap<CallId, Call>,
    report: Report,
}

impl Fleet {
    /// Plays a scenario to its end: the traffic, and then the longest time that a message may take.
    pub fn run(scenario: Scenario) -> Report {
        let mut fleet = Fleet::new(scenario);
        while let Some(((at, _), due)) = fleet.queue.pop_first() {
            fleet.now = at;
            if at > fleet.scenario.end() {
                break;
            }
            fleet.handle(due);
        }
        fleet.report
    }

    /// The counts of a scenario together, played with each of these seeds.
    pub fn run_all(scenario: &Scenario, seeds: std::ops::RangeInclusive<u64>) -> Report {
        let runs = seeds.map(|seed| Fleet::run(Scenario { seed, ..scenario.clone() }));
        runs.reduce(Report::merge).expect("at least one seed")
    }

    fn new(scenario: Scenario) -> Fleet {
        let senders = (0..scenario.senders).map(|number| Sender {
            policy: PolicyEngine::new(scenario.settings(number), scenario.seed * 1000 + u64::from(number)),
            idle: BTreeMap::new(),
        });
        let endpoints = scenario.receivers().map(|id| (id, Endpoint::new(&scenario)));
        let mut fleet = Fleet {
            now: START,
            queue: BTreeMap::new(),
            queued: 0,
            traffic: StdRng::seed_from_u64(scenario.seed),
            network: StdRng::seed_from_u64(!scenario.seed),
            senders: senders.collect(),
            endpoints: endpoints.collect(),
            pending: BTreeMap::new(),
            calls: BTreeMap::new(),
            report: Report::new(&scenario),
            scenario,
        };
        for number in 0..fleet.senders.len() {
            fleet.hand_in(number, Event::PersistedList(fleet.scenario.list()));
        }
        fleet.schedule(START, Due::Arrival);
        if let Some(outage) = fleet.scenario.outage {
            fleet.schedule(START.plus(outage.from), Due::Down);
            outage.until.iter().for_each(|until| fleet.schedule(START.plus(*until), Due::Up));
        }
        fleet
    }

    fn schedule(&mut self, at: Micros, due: Due) {
        self.queued += 1;
        self.queue.insert((at, self.queued), due);
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::Wake(number) => self.hand_in(number, Event::TimerFired),
            Due::End(id) => self.end_call(id),
            Due::IdleLimit(number, to, kept) => self.close_idle(number, to, |c| c.used == kept),
            Due::Down => self.first_endpoints().for_each(Endpoint::stop),
            Due::Up => {
                let now = self.now;
                self.first_endpoints().for_each(|e| e.start(now));
            }
        }
    }

    fn first_endpoints(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        let scenario = &self.scenario;
        let first = self.endpoints.iter_mut().filter(|(id, _)| scenario.destination(**id) == FIRST);
        first.map(|(_, endpoint)| endpoint)
    }

    /// Hands one event to a sender and carries out what it decides.
    fn hand_in(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        let policy = &mut self.senders[number].policy;
        policy.on_event(self.now, event, &mut actions);
        policy.decide(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, receiver, timeout: patience } => self.call(number, id, receiver, patience),
                Action::CloseIdleConnections(to) => self.close_idle(number, to, |_| true),
                Action::CancelAttempt { id, attempt } => self.call_off((id, attempt)),
                Action::SetTimer(span) => self.schedule(self.now.plus(span), Due::Wake(number)),
                Action::Refuse { id, .. } | Action::Fail(id) => self.give_up(id),
                Action::SendPeerHint(_) | Action::RequestList | Action::LogUnhealthy { .. } => {}
            }
        }
    }

    /// A message arrives at any sender, and the next one is due after an exponential gap.
    fn arrive(&mut self) {
        if self.now >= self.scenario.traffic_end() {
            return;
        }
        let number = self.traffic.random_range(0..self.senders.len());
        let class = self.draw_class();
        let destination = self.draw_destination();
        let id = MessageId(self.report.offered + 1);
        self.report.arrived(number, self.scenario.worth(class, Micros(0)));
        self.pending.insert(id, Pending { class, arrived: self.now, attempts: 0 });
        self.hand_in(number, Event::Submit(self.scenario.message(id, class, destination)));
        let gap = -(1.0 - self.traffic.random::<f64>()).ln()
            / (self.scenario.offered_per_s() * self.scenario.destinations as f64);
        self.schedule(self.now.plus(Micros::from_secs(gap)), Due::Arrival);
    }

    fn draw_destination(&mut self) -> DestinationId {
        match self.scenario.destinations {
            1 => FIRST,
            many => DestinationId(self.traffic.random_range(1..=many)),
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut roll = self.traffic.random::<f64>();
        let drawn = CLASS_SHARES.iter().position(|share| {
            roll -= share;
            roll < 0.0
        });
        drawn.unwrap_or(0)
    }

    fn draw(&mut self, span: (Micros, Micros)) -> Micros {
        Micros(self.network.random_range(span.0.0..=span.1.0))
    }

    /// Makes a call: over a kept connection if there is one, else over a new one if the table has room for it.
    fn call(&mut self, number: usize, id: MessageId, to: ReceiverId, patience: Micros) {
        let first = self.scenario.destination(to) == FIRST;
        if first {
            self.report.called_first(self.now, number);
        }
        let kept = self.senders[number].idle.get_mut(&to).and_then(Vec::pop);
        let (work, handshake) = (self.draw(CALL), self.draw(HANDSHAKE));
        let endpoint = self.endpoints.get_mut(&to).expect("the list names it");
        let (connection, ready) = match kept {
            Some(kept) => (Ok(kept), Micros(0)),
            None => (endpoint.connect(self.now), handshake),
        };
        let (verdict, takes) = match connection {
            Err(refused) => (refused, CONNECT_REFUSED),
            Ok(_) => endpoint.serve(self.now.plus(ready), work),
        };
        if connection.is_err() {
            self.report.connect_refused();
        } else if kept.is_none() {
            self.report.connected();
        }
        let takes = ready.plus(takes);
        let (verdict, takes) =
            if takes > patience { (Verdict::TimedOut, patience) } else { (verdict, takes) };
        let pending = self.pending.get_mut(&id).expect("only what is owed is sent");
        let attempt = pending.attempts;
        pending.attempts += 1;
        let connection = connection.ok();
        self.calls.insert((id, attempt), Call { sender: number, to, sent: self.now, verdict, connection });
        self.schedule(self.now.plus(takes), Due::End((id, attempt)));
    }

    fn call_off(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.verdict = Verdict::Cancelled;
            self.schedule(self.now, Due::End(id));
        }
    }

    /// The connection of a call that was answered is kept; the sender then hears of the outcome.
    fn end_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        let endpoint = self.endpoints.get_mut(&call.to).expect("the list names it");
        let lost = call.connection.is_some_and(|c| !endpoint.holds(c));
        let verdict = if lost { Verdict::Reset } else { call.verdict };
        if let Some(connection) = call.connection.filter(|_| !lost) {
            if matches!(verdict, Verdict::Delivered | Verdict::Full(_)) {
                self.keep(call.sender, call.to, Connection { used: self.now, ..connection });
            } else {
                endpoint.close(connection);
            }
        }
        let delivered = verdict == Verdict::Delivered;
        if delivered {
            self.deliver(id.0, &call);
        }
        if matches!(
            verdict,
            Verdict::ConnectFailed | Verdict::ConnectionLimit | Verdict::Reset | Verdict::TimedOut
        ) {
            self.report.failed(call.sender);
        }
        let outcome = Outcome {
            id: id.0,
            attempt: id.1,
            receiver: call.to,
            verdict,
            elapsed: self.now.since(call.sent),
            finished: delivered,
            limit_per_s: None,
            remaining_share: None,
        };
        self.hand_in(call.sender, Event::Outcome(outcome));
    }

    fn keep(&mut self, number: usize, to: ReceiverId, connection: Connection) {
        self.senders[number].idle.entry(to).or_default().push(connection);
        self.schedule(self.now.plus(IDLE_LIMIT), Due::IdleLimit(number, to, connection.used));
    }

    fn close_idle(&mut self, number: usize, to: ReceiverId, which: impl Fn(&Connection) -> bool) {
        let Some(idle) = self.senders[number].idle.get_mut(&to) else { return };
        let endpoint = self.endpoints.get_mut(&to).expect("the list names it");
        idle.extract_if(.., |c| which(c)).for_each(|c| endpoint.close(c));
    }

    fn deliver(&mut self, id: MessageId, call: &Call) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let took = self.now.since(pending.arrived);
        let first = self.scenario.destination(call.to) == FIRST;
        self.report.delivered(self.now, call.sender, self.scenario.worth(pending.class, took), first);
    }

    fn give_up(&mut self, id: MessageId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let used = self.now.since(pending.arrived).secs() / self.scenario.deadline(pending.class).secs();
        self.report.undelivered(used, pending.attempts);
    }
}
