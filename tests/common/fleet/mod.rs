//! Emulates a fleet of senders that share destinations, on a virtual clock and without a network.
//!
//! Each sender is a [`PolicyEngine`] of its own. The senders interact only through the connection tables and
//! rate limits of the endpoints: a connection that one sender keeps idle takes a place that no other sender
//! can use. A run depends on its scenario alone, so it can be repeated.
#![allow(dead_code, unused_imports)] // each test file uses some of the items

mod endpoint;
mod report;
mod scenario;

pub use report::{FirstDestinationCall, Report};
pub use scenario::{COLLAPSE_MULTIPLE, COLLAPSE_WINDOW, Outage, Scenario, WARM_UP_TIME, capacity_share};

use endpoint::{Connection, Endpoint};
use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use scenario::{
    CALL_DURATION, CLASS_SHARES, CONNECT_REFUSAL_DELAY, FIRST_DESTINATION, HANDSHAKE_DURATION, IDLE_TIMEOUT,
    RUN_START,
};
use std::collections::BTreeMap;

/// An event that happens at a scheduled time.
enum ScheduledEvent {
    /// The next message of the traffic arrives.
    Arrival,
    /// The timer of a sender fires.
    TimerFired(usize),
    /// A call ends.
    CallEnds(CallId),
    /// The idle timeout passes for a sender's connection that was last used at the given time.
    IdleTimeout(usize, ReceiverId, Micros),
    /// The endpoints of the first destination stop.
    OutageStarts,
    /// The endpoints of the first destination run again.
    OutageEnds,
}

/// A message and an attempt number.
type CallId = (MessageId, u32);

/// A call in flight.
struct Call {
    sender: usize,
    receiver: ReceiverId,
    sent_at: Micros,
    verdict: Verdict,
    connection: Option<Connection>,
}

/// One sender of the fleet.
struct Sender {
    policy: PolicyEngine,
    /// Open connections without a call, the longest idle first.
    idle_connections: BTreeMap<ReceiverId, Vec<Connection>>,
}

/// A message that has not ended.
struct Pending {
    class: usize,
    arrived_at: Micros,
    attempts: u32,
}

/// The senders, the endpoints, the clock and the scheduled events.
pub struct Fleet {
    scenario: Scenario,
    now: Micros,
    /// Scheduled events by time and sequence number.
    queue: BTreeMap<(Micros, u64), ScheduledEvent>,
    next_sequence: u64,
    /// Generator of the traffic: the same messages arrive whatever the senders do.
    traffic_rng: StdRng,
    /// Generator of the durations of calls and handshakes.
    network_rng: StdRng,
    senders: Vec<Sender>,
    endpoints: BTreeMap<ReceiverId, Endpoint>,
    pending: BTreeMap<MessageId, Pending>,
    calls: BTreeMap<CallId, Call>,
    report: Report,
}

impl Fleet {
    /// Runs a scenario to its end: the traffic, then the longest time that a message may take.
    pub fn run(scenario: Scenario) -> Report {
        let mut fleet = Fleet::new(scenario);
        while let Some(((at, _), event)) = fleet.queue.pop_first() {
            fleet.now = at;
            if at > fleet.scenario.end() {
                break;
            }
            fleet.handle(event);
        }
        fleet.report
    }

    /// Runs a scenario with each of these seeds and sums the counts.
    pub fn run_all(scenario: &Scenario, seeds: std::ops::RangeInclusive<u64>) -> Report {
        let runs = seeds.map(|seed| Fleet::run(Scenario { seed, ..scenario.clone() }));
        runs.reduce(Report::merge).expect("at least one seed")
    }

    fn new(scenario: Scenario) -> Fleet {
        let senders = (0..scenario.senders).map(|index| Sender {
            policy: PolicyEngine::new(scenario.settings(index), scenario.seed * 1000 + u64::from(index)),
            idle_connections: BTreeMap::new(),
        });
        let endpoints = scenario.receivers().map(|id| (id, Endpoint::new(&scenario)));
        let mut fleet = Fleet {
            now: RUN_START,
            queue: BTreeMap::new(),
            next_sequence: 0,
            traffic_rng: StdRng::seed_from_u64(scenario.seed),
            network_rng: StdRng::seed_from_u64(!scenario.seed),
            senders: senders.collect(),
            endpoints: endpoints.collect(),
            pending: BTreeMap::new(),
            calls: BTreeMap::new(),
            report: Report::new(&scenario),
            scenario,
        };
        for sender in 0..fleet.senders.len() {
            fleet.handle_sender_event(sender, Event::PersistedList(fleet.scenario.list()));
        }
        fleet.schedule(RUN_START, ScheduledEvent::Arrival);
        if let Some(outage) = fleet.scenario.outage {
            fleet.schedule(RUN_START.plus(outage.from), ScheduledEvent::OutageStarts);
            outage
                .until
                .iter()
                .for_each(|until| fleet.schedule(RUN_START.plus(*until), ScheduledEvent::OutageEnds));
        }
        fleet
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), event);
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.submit_next(),
            ScheduledEvent::TimerFired(sender) => self.handle_sender_event(sender, Event::TimerFired),
            ScheduledEvent::CallEnds(id) => self.end_call(id),
            ScheduledEvent::IdleTimeout(sender, receiver, last_used) => {
                self.close_idle(sender, receiver, |c| c.last_used == last_used)
            }
            ScheduledEvent::OutageStarts => self.first_destination_endpoints().for_each(Endpoint::stop),
            ScheduledEvent::OutageEnds => {
                let now = self.now;
                self.first_destination_endpoints().for_each(|e| e.start(now));
            }
        }
    }

    fn first_destination_endpoints(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        let scenario = &self.scenario;
        let first =
            self.endpoints.iter_mut().filter(|(id, _)| scenario.destination(**id) == FIRST_DESTINATION);
        first.map(|(_, endpoint)| endpoint)
    }

    /// Passes one event to the policy of a sender, lets it decide and applies its actions.
    fn handle_sender_event(&mut self, sender: usize, event: Event) {
        let mut actions = Vec::new();
        let policy = &mut self.senders[sender].policy;
        policy.on_event(self.now, event, &mut actions);
        policy.decide(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, receiver, timeout } => self.call(sender, id, receiver, timeout),
                Action::CloseIdleConnections(receiver) => self.close_idle(sender, receiver, |_| true),
                Action::CancelAttempt { id, attempt } => self.cancel_call((id, attempt)),
                Action::SetTimer(span) => {
                    self.schedule(self.now.plus(span), ScheduledEvent::TimerFired(sender))
                }
                Action::Refuse { id, .. } | Action::Fail(id) => self.end_undelivered(id),
                Action::SendPeerHint(_) | Action::RequestList | Action::LogUnhealthy { .. } => {}
            }
        }
    }

    /// Submits a message to a random sender and schedules the next arrival after an exponentially distributed
    /// gap.
    fn submit_next(&mut self) {
        if self.now >= self.scenario.traffic_end() {
            return;
        }
        let sender = self.traffic_rng.random_range(0..self.senders.len());
        let class = self.draw_class();
        let destination = self.draw_destination();
        let id = MessageId(self.report.offered + 1);
        self.report.count_offered(sender, self.scenario.delivered_value(class, Micros(0)));
        self.pending.insert(id, Pending { class, arrived_at: self.now, attempts: 0 });
        self.handle_sender_event(sender, Event::Submit(self.scenario.message(id, class, destination)));
        let gap = -(1.0 - self.traffic_rng.random::<f64>()).ln()
            / (self.scenario.offered_per_s() * self.scenario.destinations as f64);
        self.schedule(self.now.plus(Micros::from_secs(gap)), ScheduledEvent::Arrival);
    }

    fn draw_destination(&mut self) -> DestinationId {
        match self.scenario.destinations {
            1 => FIRST_DESTINATION,
            count => DestinationId(self.traffic_rng.random_range(1..=count)),
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut point = self.traffic_rng.random::<f64>();
        let drawn = CLASS_SHARES.iter().position(|share| {
            point -= share;
            point < 0.0
        });
        drawn.unwrap_or(0)
    }

    fn draw_duration(&mut self, range: (Micros, Micros)) -> Micros {
        Micros(self.network_rng.random_range(range.0.0..=range.1.0))
    }

    /// Makes a call over an idle connection if the sender has one, otherwise over a new connection if the
    /// endpoint accepts it.
    fn call(&mut self, sender: usize, id: MessageId, receiver: ReceiverId, timeout: Micros) {
        let to_first = self.scenario.destination(receiver) == FIRST_DESTINATION;
        if to_first {
            self.report.count_first_destination_call(self.now, sender);
        }
        let idle = self.senders[sender].idle_connections.get_mut(&receiver).and_then(Vec::pop);
        let (service_time, handshake) =
            (self.draw_duration(CALL_DURATION), self.draw_duration(HANDSHAKE_DURATION));
        let endpoint = self.endpoints.get_mut(&receiver).expect("the endpoint is on the list");
        let (connection, ready_after) = match idle {
            Some(idle) => (Ok(idle), Micros(0)),
            None => (endpoint.connect(self.now), handshake),
        };
        let (verdict, duration) = match connection {
            Err(refused) => (refused, CONNECT_REFUSAL_DELAY),
            Ok(_) => endpoint.serve(self.now.plus(ready_after), service_time),
        };
        if connection.is_err() {
            self.report.count_refused_connect();
        } else if idle.is_none() {
            self.report.count_connection();
        }
        let duration = ready_after.plus(duration);
        let (verdict, duration) =
            if duration > timeout { (Verdict::TimedOut, timeout) } else { (verdict, duration) };
        let pending = self.pending.get_mut(&id).expect("only messages that have not ended are sent");
        let attempt = pending.attempts;
        pending.attempts += 1;
        let connection = connection.ok();
        self.calls.insert((id, attempt), Call { sender, receiver, sent_at: self.now, verdict, connection });
        self.schedule(self.now.plus(duration), ScheduledEvent::CallEnds((id, attempt)));
    }

    fn cancel_call(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.verdict = Verdict::Cancelled;
            self.schedule(self.now, ScheduledEvent::CallEnds(id));
        }
    }

    /// Ends a call: its connection stays open if the endpoint responded, and the sender gets the outcome.
    fn end_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        let endpoint = self.endpoints.get_mut(&call.receiver).expect("the endpoint is on the list");
        let lost = call.connection.is_some_and(|c| !endpoint.is_open(c));
        let verdict = if lost { Verdict::Reset } else { call.verdict };
        if let Some(connection) = call.connection.filter(|_| !lost) {
            if matches!(verdict, Verdict::Delivered | Verdict::Full(_)) {
                self.keep_connection(
                    call.sender,
                    call.receiver,
                    Connection { last_used: self.now, ..connection },
                );
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
            self.report.record_failure(call.sender);
        }
        let outcome = Outcome {
            id: id.0,
            attempt: id.1,
            receiver: call.receiver,
            verdict,
            elapsed: self.now.since(call.sent_at),
            finished: delivered,
            limit_per_s: None,
            remaining_share: None,
        };
        self.handle_sender_event(call.sender, Event::Outcome(outcome));
    }

    fn keep_connection(&mut self, sender: usize, receiver: ReceiverId, connection: Connection) {
        self.senders[sender].idle_connections.entry(receiver).or_default().push(connection);
        self.schedule(
            self.now.plus(IDLE_TIMEOUT),
            ScheduledEvent::IdleTimeout(sender, receiver, connection.last_used),
        );
    }

    /// Closes the idle connections of a sender to a receiver that match `condition`.
    fn close_idle(&mut self, sender: usize, receiver: ReceiverId, condition: impl Fn(&Connection) -> bool) {
        let Some(idle) = self.senders[sender].idle_connections.get_mut(&receiver) else { return };
        let endpoint = self.endpoints.get_mut(&receiver).expect("the endpoint is on the list");
        idle.extract_if(.., |c| condition(c)).for_each(|c| endpoint.close(c));
    }

    fn deliver(&mut self, id: MessageId, call: &Call) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let took = self.now.since(pending.arrived_at);
        let to_first = self.scenario.destination(call.receiver) == FIRST_DESTINATION;
        self.report.count_delivery(
            self.now,
            call.sender,
            self.scenario.delivered_value(pending.class, took),
            to_first,
        );
    }

    fn end_undelivered(&mut self, id: MessageId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let used_share =
            self.now.since(pending.arrived_at).secs() / self.scenario.deadline(pending.class).secs();
        self.report.count_undelivered(used_share, pending.attempts);
    }
}
