//! Destinations that rest and wake: what is used of them, and how they are pushed, on a virtual clock.

mod common;

use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use std::collections::BTreeMap;

fn s(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

fn settings() -> Settings {
    Settings {
        classes: vec![ClassSettings {
            target_latency: s(1.0),
            give_up_after: s(20.0),
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
        max_retry_after: s(3.0),
        weights: Weights::Rough,
        collapse_multiple: 2.0,
        collapse_window: s(3.0),
        cold_start_share: 0.17,
        warm_up_time: s(12.0),
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

/// One destination of one receiver: it takes `capacity` calls a second once warm, a part of that when cold, refuses
/// what is over, and falls over when it is sent a multiple of what it has.
struct World {
    policy: PolicyEngine,
    now: Micros,
    capacity: f64,
    cold_from: Option<Micros>,
    out: BTreeMap<u64, (Micros, bool)>,
    sent: Vec<(u64, Micros)>,
    refused: usize,
    delivered: usize,
    fell: bool,
    warms: f64,
    /// It refuses nothing.
    open: bool,
    allowance: f64,
    wakes: Vec<Micros>,
    next: u64,
}

impl World {
    fn new(set: Settings) -> World {
        World {
            policy: PolicyEngine::new(set, 7),
            now: s(1000.0),
            capacity: 25.0,
            cold_from: None,
            out: BTreeMap::new(),
            sent: Vec::new(),
            refused: 0,
            delivered: 0,
            fell: false,
            warms: 12.0,
            open: false,
            allowance: 1.0,
            wakes: Vec::new(),
            next: 1,
        }
    }
    fn present(&self) -> f64 {
        let warm = self.cold_from.map_or(1.0, |t| (self.now.since(t).secs() / self.warms).min(1.0));
        self.capacity * (0.17 + 0.83 * warm)
    }
    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.act(actions);
    }
    fn submit(&mut self, left: f64) -> u64 {
        let id = self.next;
        self.next += 1;
        let (class, destination) = (ClassId(0), DestinationId(1));
        self.event(Event::Submit(Message {
            id: MessageId(id),
            class,
            tenant: None,
            ordering_key: None,
            destination,
            time_left: s(left),
        }));
        id
    }
    fn act(&mut self, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Send { id, .. } => {
                    self.sent.push((id.0, self.now));
                    let window = self.sent.iter().filter(|x| self.now.since(x.1) < s(3.0)).count();
                    self.fell |= window as f64 > 2.0 * self.present() * 3.0;
                    let taken = self.open || self.allowance >= 1.0;
                    self.allowance -= f64::from(u8::from(taken));
                    self.out.insert(id.0, (self.now.plus(s(0.02)), taken));
                }
                Action::SetTimer(span) => self.wakes.push(self.now.plus(span)),
                _ => {}
            }
        }
    }
    /// Goes on in steps of 5 ms.
    fn run(&mut self, secs: f64) {
        let end = self.now.plus(s(secs));
        while self.now < end {
            self.now = self.now.plus(s(0.005));
            self.allowance = (self.allowance + self.present() * 0.005).min(2.0);
            let now = self.now;
            let due: Vec<_> = self.out.iter().filter(|(_, o)| o.0 <= now).map(|(id, o)| (*id, o.1)).collect();
            for (id, taken) in due {
                self.out.remove(&id);
                let attempt = self.sent.iter().filter(|x| x.0 == id).count() as u32 - 1;
                *(if taken { &mut self.delivered } else { &mut self.refused }) += 1;
                self.event(Event::Outcome(Outcome {
                    id: MessageId(id),
                    attempt,
                    receiver: ReceiverId(1),
                    verdict: if taken { Verdict::Delivered } else { Verdict::Full(None) },
                    elapsed: s(0.02),
                    finished: taken,
                    limit_per_s: None,
                    remaining_share: None,
                }));
            }
            let n = self.wakes.len();
            self.wakes.retain(|t| *t > now);
            if self.wakes.len() < n {
                self.event(Event::TimerFired);
            }
            let mut actions = Vec::new();
            self.policy.decide(now, &mut actions);
            self.act(actions);
        }
    }
    fn wake(&mut self, whole: RetainedHealth, weight: f64) {
        let each = vec![(entry(1, 0, weight), RetainedHealth::default())];
        self.policy.activate(self.now, DestinationId(1), whole, each, 10.0);
    }
}

/// 400 messages within two seconds, the weight twice too high, the machine fresh from the night.
fn clump(w: &mut World) {
    w.cold_from = Some(w.now);
    for _ in 0..400 {
        w.submit(14.0);
        w.run(0.005);
    }
    w.run(14.0);
}

#[test]
fn a_clump_at_opening_meets_a_budget_and_no_storm_of_refusals() {
    let mut woken = World::new(settings());
    woken.wake(RetainedHealth { served_per_s: 60.0, ..RetainedHealth::default() }, 50.0);
    clump(&mut woken);
    let mut plain = World::new(settings());
    plain.event(Event::FullList(vec![entry(1, 0, 50.0)]));
    clump(&mut plain);
    assert!(!woken.fell);
    assert!(woken.refused * 2 < plain.refused, "{} and {}", woken.refused, plain.refused);
    assert!(woken.delivered > 150, "{}: 177 would be all that it takes in that time", woken.delivered);
}

/// Nothing but the budget holds back where no refusal tells of a limit: it warms more slowly than a pace may rise.
#[test]
fn one_that_refuses_nothing_does_not_fall_over() {
    let mut w = World::new(Settings { warm_up_time: s(40.0), ..settings() });
    (w.open, w.warms) = (true, 40.0);
    w.wake(RetainedHealth { served_per_s: 30.0, ..RetainedHealth::default() }, 50.0);
    clump(&mut w);
    assert!(!w.fell && w.delivered > 50, "{} {}", w.fell, w.delivered);
}

/// Where nothing is known of it, the first message goes at once and the next soon.
#[test]
fn a_single_message_for_a_woken_destination_does_not_wait() {
    for (weight, weights, senders) in
        [(50.0, Weights::Rough, 1), (0.0, Weights::Off, 1), (0.0, Weights::Off, 16)]
    {
        let mut w = World::new(Settings { weights, sender_count: senders, ..settings() });
        w.wake(RetainedHealth::default(), weight);
        w.submit(5.0);
        w.run(0.01);
        assert_eq!(w.sent.len(), 1, "at once");
        w.submit(5.0);
        w.run(1.0);
        assert!(w.delivered == 2 || senders > 1, "{:?}", w.sent);
    }
}

#[test]
fn a_wait_is_heeded_and_what_was_sick_gets_one_trial() {
    let mut w = World::new(settings());
    let until = w.now.plus(s(2.0));
    w.wake(RetainedHealth { wait_until: until, unhealthy: true, served_per_s: 40.0 }, 50.0);
    for _ in 0..10 {
        w.submit(8.0);
    }
    w.run(1.99);
    assert_eq!(w.sent.len(), 0);
    w.run(0.03);
    assert_eq!(w.sent.len(), 1, "one call tells");
    w.run(6.0);
    assert!(w.delivered > 5, "{}", w.delivered);
}

#[test]
fn a_destination_rests_only_when_nothing_is_held_or_out_and_leaves_nothing_behind() {
    let mut w = World::new(settings());
    w.event(Event::FullList(vec![entry(1, 0, 50.0)]));
    assert!(w.policy.deactivate(w.now, DestinationId(9)).is_some(), "nothing is known of it");
    w.submit(5.0);
    assert!(w.policy.deactivate(w.now, DestinationId(1)).is_none(), "held");
    w.run(0.01);
    assert!(w.policy.deactivate(w.now, DestinationId(1)).is_none(), "out");
    w.run(1.0);
    for _ in 0..200 {
        w.submit(5.0);
        w.run(0.1);
    }
    w.run(1.0);
    let (whole, each) = w.policy.deactivate(w.now, DestinationId(1)).unwrap();
    assert!((8.0..12.0).contains(&whole.served_per_s) && !whole.unhealthy, "{whole:?}");
    assert_eq!((each.len(), each[0].0), (1, ReceiverId(1)));
    let mut actions = Vec::new();
    w.policy.decide(w.now.plus(s(60.0)), &mut actions);
    assert!(actions.is_empty(), "it asks for nothing: {actions:?}");
    assert!(w.policy.unconfirmed_destinations().next().is_none());
}

/// Routes apart have waits of their own, which go to rest with each.
#[test]
fn routes_apart_keep_what_each_was_like() {
    let mut w = World::new(settings());
    let now = w.now;
    let wait = RetainedHealth { wait_until: now.plus(s(5.0)), unhealthy: true, served_per_s: 3.0 };
    let each = vec![(entry(1, 1, 9.0), RetainedHealth::default()), (entry(2, 1, 9.0), wait)];
    w.policy.activate(now, DestinationId(1), RetainedHealth::default(), each, 10.0);
    w.submit(3.0);
    w.submit(3.0);
    w.run(2.0);
    let (_, each) = w.policy.deactivate(w.now, DestinationId(1)).unwrap();
    let of = |n| each.iter().find(|e| e.0 == ReceiverId(n)).unwrap().1;
    assert_eq!(
        (of(2).wait_until, of(2).unhealthy, of(1).wait_until, of(1).unhealthy),
        (wait.wait_until, true, Micros(0), false)
    );
    assert_eq!(w.delivered, 2, "over the other route");
}

#[test]
fn a_route_that_is_back_with_a_wait_is_not_used_before() {
    let mut w = World::new(settings());
    w.event(Event::FullList(vec![entry(1, 1, 9.0)]));
    let wait = RetainedHealth { wait_until: w.now.plus(s(1.0)), ..RetainedHealth::default() };
    w.policy.restore_receiver(w.now, ReceiverId(1), wait);
    w.submit(5.0);
    w.run(0.99);
    assert!(w.sent.is_empty());
    w.run(0.1);
    assert_eq!(w.sent.len(), 1);
    w.policy.restore_receiver(
        w.now,
        ReceiverId(1),
        RetainedHealth { unhealthy: true, ..RetainedHealth::default() },
    );
    assert_eq!(w.policy.unconfirmed_destinations().count(), 1);
}
