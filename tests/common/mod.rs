//! A sender without a network: hands events to the policy and keeps what it decides.
#![allow(dead_code)] // each test file uses its part

use onyxrock::PolicyEngine;
use onyxrock::interface::*;

pub const SAFE: usize = 0;
pub const ORDERED: usize = 1;
pub const UNSAFE: usize = 2;
pub const ZONED: usize = 3;

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

fn class(effect: Effect, in_order: bool) -> ClassSettings {
    ClassSettings { aim: ms(1000), give_up: ms(20_000), effect, in_order, worth: 1.0, late_share: 0.2 }
}

pub fn settings() -> Settings {
    let keyed = |group| Effect::Keyed { group, window: ms(5000) };
    Settings {
        classes: vec![
            class(Effect::Safe, false),
            class(keyed(Group::All), true),
            class(Effect::Unsafe, false),
            class(keyed(Group::Zone), false),
        ],
        tenants: Vec::new(),
        kinds: vec![
            KindSettings { apart: false, batch: 1 },
            KindSettings { apart: true, batch: 1 },
            KindSettings { apart: false, batch: 4 },
        ],
        zone_fees: vec![0.0, 0.0],
        fade: Fade::Halves,
        over_share_worth: 0.1,
        slots: 16,
        max_held: 200,
        max_attempts: 6,
        second_copies: false,
        cancel: true,
        reports: true,
        senders: 2,
        number: 0,
        retry_after: true,
        max_retry_after: ms(3000),
        subscribe: false,
        weights: Weights::Nominal,
        key_rest: ms(100),
        fall_multiple: 1.5,
        fall_window: ms(1500),
        cold_from: 0.25,
        warm_within: ms(10_000),
        ask_every: ms(10_000),
        connection_idle: ms(10_000),
        notes: true,
        probe_class: None,
        hold_back: Micros(0),
    }
}

pub fn entry(receiver: u64, destination: u64, kind: usize, zone: usize) -> Entry {
    Entry {
        receiver: ReceiverId(receiver),
        listing: Listing::Ready,
        destination: DestinationId(destination),
        kind: KindId(kind),
        zone: ZoneId(zone),
        weight: 10.0,
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub id: u64,
    pub attempt: u32,
    pub receiver: u64,
    pub at: Micros,
    pub patience: Micros,
}

pub struct Rig {
    pub policy: PolicyEngine,
    pub now: Micros,
    pub out: Vec<Sent>,
    pub sent: Vec<Sent>,
    pub refused: Vec<(u64, Option<Micros>)>,
    pub failed: Vec<u64>,
    pub follows: usize,
    pub closed: Vec<u64>,
    pub told: Vec<Vec<u8>>,
    pub called_off: Vec<(u64, u32)>,
    pub attempts: std::collections::BTreeMap<u64, u32>,
}

impl Rig {
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Rig {
        let policy = PolicyEngine::new(settings, 7);
        let mut rig = Rig {
            policy,
            now: Micros(5_000_000_000),
            out: vec![],
            sent: vec![],
            refused: vec![],
            failed: vec![],
            follows: 0,
            closed: vec![],
            told: vec![],
            called_off: vec![],
            attempts: Default::default(),
        };
        rig.event(Event::DiskList(entries));
        rig
    }
    /// Hands in one event and lets the policy decide.
    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.policy.decide(self.now, &mut actions);
        self.carry_out(actions);
    }
    pub fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, receiver, patience } => {
                    let n = self.attempts.entry(id.0).or_insert(0);
                    let sent = Sent { id: id.0, attempt: *n, receiver: receiver.0, at: self.now, patience };
                    *n += 1;
                    self.out.push(sent.clone());
                    self.sent.push(sent);
                }
                Action::Refuse { id, retry_after } => self.refused.push((id.0, retry_after)),
                Action::Fail(id) => self.failed.push(id.0),
                Action::Follow => self.follows += 1,
                Action::CloseIdle(id) => self.closed.push(id.0),
                Action::Tell(data) => self.told.push(data),
                Action::CallOff { id, attempt } => self.called_off.push((id.0, attempt)),
                Action::WakeAfter(_) | Action::Sick { .. } => {}
            }
        }
    }
    /// Lets time pass in steps, waking the policy at each.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(ms(10)).min(end);
            self.event(Event::Wake);
        }
    }
    pub fn submit(&mut self, id: u64, class: usize, destination: u64) {
        self.submit_with(id, class, destination, None, ms(20_000));
    }
    pub fn submit_with(&mut self, id: u64, class: usize, destination: u64, key: Option<&str>, left: Micros) {
        self.event(Event::Submit(Message {
            id: MessageId(id),
            class: ClassId(class),
            tenant: None,
            key: key.map(str::to_owned),
            destination: DestinationId(destination),
            left,
        }));
    }
    /// The outcome of the call that is out for a message. `finished` as the world would say it.
    pub fn answer(&mut self, id: u64, verdict: Verdict) {
        self.answer_with(id, verdict, None);
    }
    /// The same, with the share that is left of a told limit of ten calls a second.
    pub fn answer_with(&mut self, id: u64, verdict: Verdict, left: Option<f64>) {
        let at = self.out.iter().position(|s| s.id == id).expect("a call is out");
        let sent = self.out.remove(at);
        self.event(Event::Outcome(Outcome {
            id: MessageId(id),
            attempt: sent.attempt,
            receiver: ReceiverId(sent.receiver),
            verdict,
            elapsed: self.now.since(sent.at),
            finished: verdict == Verdict::Delivered,
            limit: left.map(|_| 10.0),
            left,
        }));
    }
    /// Delivers `count` messages to a destination, one by one, so that its receivers are known as well.
    pub fn warm(&mut self, first: u64, count: u64, destination: u64) {
        for id in first..first + count {
            self.submit(id, SAFE, destination);
            self.pass(ms(50));
            self.answer(id, Verdict::Delivered);
            self.pass(ms(50));
        }
    }
    pub fn sends_of(&self, id: u64) -> usize {
        self.sent.iter().filter(|s| s.id == id).count()
    }
}
