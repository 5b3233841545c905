//! Destinations that are deactivated and activated again: which state is kept, and how fast messages are sent
//! after the activation, on a virtual clock.

mod common;

use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use std::collections::BTreeMap;

fn seconds(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

fn settings() -> Settings {
    Settings {
        classes: vec![ClassSettings {
            target_latency: seconds(1.0),
            give_up_after: seconds(20.0),
            effect: Effect::Safe,
            value: 1.0,
            ..ClassSettings::default()
        }],
        kinds: vec![
            KindSettings { separate_routes: false, messages_per_call: 1 },
            KindSettings { separate_routes: true, messages_per_call: 1 },
        ],
        slots: 24,
        max_held: 1000,
        max_attempts: 12,
        sender_count: 1,
        send_retry_after: true,
        max_retry_after: seconds(3.0),
        weights: Weights::Rough,
        collapse_multiple: 2.0,
        collapse_window: seconds(3.0),
        cold_start_share: 0.17,
        warm_up_time: seconds(12.0),
        ..Settings::default()
    }
}

fn entry(receiver: u64, kind: usize, weight: f64) -> ListEntry {
    ListEntry {
        receiver: ReceiverId(receiver),
        state: EntryState::Ready,
        destination: DestinationId(1),
        kind: KindId(kind),
        zone: ZoneId(0),
        weight,
    }
}

/// A policy and one destination with one receiver. The destination accepts `capacity` calls a second when
/// warm and a share of that when cold, refuses further calls, and collapses when it gets a multiple of its
/// current capacity.
struct Simulation {
    policy: PolicyEngine,
    now: Micros,
    capacity: f64,
    /// When the destination came back cold; `None` if it is warm.
    recovered_at: Option<Micros>,
    /// Calls in flight by message: when the outcome comes and whether the call was accepted.
    in_flight: BTreeMap<u64, (Micros, bool)>,
    /// Message and time of each attempt.
    sent: Vec<(u64, Micros)>,
    /// Calls that the destination refused.
    refused: usize,
    delivered: usize,
    /// Whether the destination collapsed.
    collapsed: bool,
    /// Time after the return until the destination is warm.
    warm_up_s: f64,
    /// Whether the destination accepts all calls.
    accepts_all: bool,
    /// Calls that the destination can accept now.
    allowance: f64,
    /// Times at which the policy's timer fires.
    timers: Vec<Micros>,
    next_id: u64,
}

impl Simulation {
    fn new(set: Settings) -> Simulation {
        Simulation {
            policy: PolicyEngine::new(set, 7),
            now: seconds(1000.0),
            capacity: 25.0,
            recovered_at: None,
            in_flight: BTreeMap::new(),
            sent: Vec::new(),
            refused: 0,
            delivered: 0,
            collapsed: false,
            warm_up_s: 12.0,
            accepts_all: false,
            allowance: 1.0,
            timers: Vec::new(),
            next_id: 1,
        }
    }
    /// The current capacity in calls a second.
    fn capacity_now(&self) -> f64 {
        let warm = self.recovered_at.map_or(1.0, |t| (self.now.since(t).secs() / self.warm_up_s).min(1.0));
        self.capacity * (0.17 + 0.83 * warm)
    }
    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.apply_actions(actions);
    }
    fn submit(&mut self, time_left_s: f64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let (class, destination) = (ClassId(0), DestinationId(1));
        self.handle_event(Event::Submit(Message {
            id: MessageId(id),
            class,
            tenant: None,
            ordering_key: None,
            destination,
            time_left: seconds(time_left_s),
        }));
        id
    }
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, .. } => {
                    self.sent.push((id.0, self.now));
                    let window =
                        self.sent.iter().filter(|attempt| self.now.since(attempt.1) < seconds(3.0)).count();
                    self.collapsed |= window as f64 > 2.0 * self.capacity_now() * 3.0;
                    let accepted = self.accepts_all || self.allowance >= 1.0;
                    self.allowance -= f64::from(u8::from(accepted));
                    self.in_flight.insert(id.0, (self.now.plus(seconds(0.02)), accepted));
                }
                Action::SetTimer(span) => self.timers.push(self.now.plus(span)),
                _ => {}
            }
        }
    }
    /// Advances the clock in steps of 5 ms.
    fn advance(&mut self, secs: f64) {
        let end = self.now.plus(seconds(secs));
        while self.now < end {
            self.now = self.now.plus(seconds(0.005));
            self.allowance = (self.allowance + self.capacity_now() * 0.005).min(2.0);
            let now = self.now;
            let due: Vec<_> =
                self.in_flight.iter().filter(|(_, o)| o.0 <= now).map(|(id, o)| (*id, o.1)).collect();
            for (id, accepted) in due {
                self.in_flight.remove(&id);
                let attempt = self.sent.iter().filter(|attempt| attempt.0 == id).count() as u32 - 1;
                *(if accepted { &mut self.delivered } else { &mut self.refused }) += 1;
                self.handle_event(Event::Outcome(Outcome {
                    id: MessageId(id),
                    attempt,
                    receiver: ReceiverId(1),
                    verdict: if accepted { Verdict::Delivered } else { Verdict::Full(None) },
                    elapsed: seconds(0.02),
                    finished: accepted,
                    limit_per_s: None,
                    remaining_share: None,
                }));
            }
            let timers = self.timers.len();
            self.timers.retain(|t| *t > now);
            if self.timers.len() < timers {
                self.handle_event(Event::TimerFired);
            }
            let mut actions = Vec::new();
            self.policy.decide(now, &mut actions);
            self.apply_actions(actions);
        }
    }
    /// Activates the destination with its retained health and one receiver of this weight.
    fn activate(&mut self, health: RetainedHealth, weight: f64) {
        let receivers = vec![(entry(1, 0, weight), RetainedHealth::default())];
        self.policy.activate(self.now, DestinationId(1), health, receivers, 10.0);
    }
}

/// Submits 400 messages within two seconds to a cold destination; the weight on the list is twice its
/// capacity.
fn submit_burst(sim: &mut Simulation) {
    sim.recovered_at = Some(sim.now);
    for _ in 0..400 {
        sim.submit(14.0);
        sim.advance(0.005);
    }
    sim.advance(14.0);
}

/// Guards against a storm of refusals, or a collapse, when many messages come right after the activation.
#[test]
fn burst_after_activation_does_not_collapse_a_cold_destination() {
    let mut activated = Simulation::new(settings());
    activated.activate(RetainedHealth { served_per_s: 60.0, ..RetainedHealth::default() }, 50.0);
    submit_burst(&mut activated);
    let mut plain = Simulation::new(settings());
    plain.handle_event(Event::FullList(vec![entry(1, 0, 50.0)]));
    submit_burst(&mut plain);
    assert!(!activated.collapsed);
    assert!(
        activated.refused * 2 < plain.refused,
        "{} refusals after an activation, {} without one",
        activated.refused,
        plain.refused
    );
    assert!(
        activated.delivered > 150,
        "{} delivered; the destination can accept 177 in that time",
        activated.delivered
    );
}

/// Guards against a collapse where no refusal shows a limit: only the budget restrains the sender, since the
/// destination warms up more slowly than a pace may rise.
#[test]
fn activated_destination_without_refusals_does_not_collapse() {
    let mut sim = Simulation::new(Settings { warm_up_time: seconds(40.0), ..settings() });
    (sim.accepts_all, sim.warm_up_s) = (true, 40.0);
    sim.activate(RetainedHealth { served_per_s: 30.0, ..RetainedHealth::default() }, 50.0);
    submit_burst(&mut sim);
    assert!(
        !sim.collapsed && sim.delivered > 50,
        "collapsed: {}, delivered: {}",
        sim.collapsed,
        sim.delivered
    );
}

/// Guards against a delay at an activated destination of which nothing is known: the first message is sent at
/// once and the next one soon.
#[test]
fn first_message_after_activation_is_not_delayed() {
    for (weight, weights, senders) in
        [(50.0, Weights::Rough, 1), (0.0, Weights::Off, 1), (0.0, Weights::Off, 16)]
    {
        let mut sim = Simulation::new(Settings { weights, sender_count: senders, ..settings() });
        sim.activate(RetainedHealth::default(), weight);
        sim.submit(5.0);
        sim.advance(0.01);
        assert_eq!(sim.sent.len(), 1, "at once");
        sim.submit(5.0);
        sim.advance(1.0);
        assert!(sim.delivered == 2 || senders > 1, "{:?}", sim.sent);
    }
}

#[test]
fn activated_destination_keeps_its_retry_after_and_gets_one_trial_if_unhealthy() {
    let mut sim = Simulation::new(settings());
    let until = sim.now.plus(seconds(2.0));
    sim.activate(RetainedHealth { wait_until: until, unhealthy: true, served_per_s: 40.0 }, 50.0);
    for _ in 0..10 {
        sim.submit(8.0);
    }
    sim.advance(1.99);
    assert_eq!(sim.sent.len(), 0);
    sim.advance(0.03);
    assert_eq!(sim.sent.len(), 1, "one trial call");
    sim.advance(6.0);
    assert!(sim.delivered > 5, "{}", sim.delivered);
}

#[test]
fn destination_with_held_or_in_flight_messages_is_not_deactivated() {
    let mut sim = Simulation::new(settings());
    sim.handle_event(Event::FullList(vec![entry(1, 0, 50.0)]));
    assert!(
        sim.policy.deactivate(sim.now, DestinationId(9)).is_some(),
        "an unknown destination holds nothing"
    );
    sim.submit(5.0);
    assert!(sim.policy.deactivate(sim.now, DestinationId(1)).is_none(), "a message is held");
    sim.advance(0.01);
    assert!(sim.policy.deactivate(sim.now, DestinationId(1)).is_none(), "an attempt is in flight");
    sim.advance(1.0);
    for _ in 0..200 {
        sim.submit(5.0);
        sim.advance(0.1);
    }
    sim.advance(1.0);
    let (health, receivers) = sim.policy.deactivate(sim.now, DestinationId(1)).unwrap();
    assert!((8.0..12.0).contains(&health.served_per_s) && !health.unhealthy, "{health:?}");
    assert_eq!((receivers.len(), receivers[0].0), (1, ReceiverId(1)));
    let mut actions = Vec::new();
    sim.policy.decide(sim.now.plus(seconds(60.0)), &mut actions);
    assert!(actions.is_empty(), "a deactivated destination causes no action: {actions:?}");
    assert!(sim.policy.unconfirmed_destinations().next().is_none());
}

/// Separate routes have a retry-after each, which is kept with the route when the destination is deactivated.
#[test]
fn separate_routes_keep_their_own_health_over_deactivation() {
    let mut sim = Simulation::new(settings());
    let now = sim.now;
    let waiting = RetainedHealth { wait_until: now.plus(seconds(5.0)), unhealthy: true, served_per_s: 3.0 };
    let receivers = vec![(entry(1, 1, 9.0), RetainedHealth::default()), (entry(2, 1, 9.0), waiting)];
    sim.policy.activate(now, DestinationId(1), RetainedHealth::default(), receivers, 10.0);
    sim.submit(3.0);
    sim.submit(3.0);
    sim.advance(2.0);
    let (_, receivers) = sim.policy.deactivate(sim.now, DestinationId(1)).unwrap();
    let health_of = |id| receivers.iter().find(|e| e.0 == ReceiverId(id)).unwrap().1;
    assert_eq!(
        (health_of(2).wait_until, health_of(2).unhealthy, health_of(1).wait_until, health_of(1).unhealthy),
        (waiting.wait_until, true, Micros(0), false)
    );
    assert_eq!(sim.delivered, 2, "both are sent over the other route");
}

#[test]
fn restored_receiver_is_not_used_before_its_retry_after() {
    let mut sim = Simulation::new(settings());
    sim.handle_event(Event::FullList(vec![entry(1, 1, 9.0)]));
    let waiting = RetainedHealth { wait_until: sim.now.plus(seconds(1.0)), ..RetainedHealth::default() };
    sim.policy.restore_receiver(sim.now, ReceiverId(1), waiting);
    sim.submit(5.0);
    sim.advance(0.99);
    assert!(sim.sent.is_empty());
    sim.advance(0.1);
    assert_eq!(sim.sent.len(), 1);
    sim.policy.restore_receiver(
        sim.now,
        ReceiverId(1),
        RetainedHealth { unhealthy: true, ..RetainedHealth::default() },
    );
    assert_eq!(sim.policy.unconfirmed_destinations().count(), 1);
}
