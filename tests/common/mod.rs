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
    ClassSettings {
        target_latency: ms(1000),
        give_up_after: ms(20_000),
        effect,
        in_order,
        value: 1.0,
        late_value_share: 0.2,
    }
}

pub fn settings() -> Settings {
    let keyed = |group| Effect::Keyed { scope: group, window: ms(5000) };
    Settings {
        classes: vec![
            class(Effect::Safe, false),
            class(keyed(DedupScope::Destination), true),
            class(Effect::Unsafe, false),
            class(keyed(DedupScope::Zone), false),
        ],
        tenants: Vec::new(),
        kinds: vec![
            KindSettings { separate_routes: false, messages_per_call: 1 },
            KindSettings { separate_routes: true, messages_per_call: 1 },
            KindSettings { separate_routes: false, messages_per_call: 4 },
        ],
        zone_fees: vec![0.0, 0.0],
        value_decay: ValueDecay::Halving,
        over_share_value: 0.1,
        slots: 16,
        max_held: 200,
        max_attempts: 6,
        second_copies: false,
        allow_cancel: true,
        load_reports: true,
        sender_count: 2,
        sender_index: 0,
        send_retry_after: true,
        max_retry_after: ms(3000),
        subscribe_to_list: false,
        weights: Weights::Nominal,
        key_cooldown: ms(100),
        collapse_multiple: 1.5,
        collapse_window: ms(1500),
        cold_start_share: 0.25,
        warm_up_time: ms(10_000),
        list_poll_interval: ms(10_000),
        connection_idle_timeout: ms(10_000),
        peer_hints: true,
        probe_class: None,
        message_probe_delay: Micros(0),
    }
}

pub fn entry(receiver: u64, destination: u64, kind: usize, zone: usize) -> ListEntry {
    ListEntry {
        receiver: ReceiverId(receiver),
        state: EntryState::Ready,
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
    pub fn new(settings: Settings, entries: Vec<ListEntry>) -> Rig {
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
        rig.event(Event::PersistedList(entries));
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
                Action::Send { id, receiver, timeout: patience } => {
                    let n = self.attempts.entry(id.0).or_insert(0);
                    let sent = Sent { id: id.0, attempt: *n, receiver: receiver.0, at: self.now, patience };
                    *n += 1;
                    self.out.push(sent.clone());
                    self.sent.push(sent);
                }
                Action::Refuse { id, retry_after } => self.refused.push((id.0, retry_after)),
                Action::Fail(id) => self.failed.push(id.0),
                Action::RequestList => self.follows += 1,
                Action::CloseIdleConnections(id) => self.closed.push(id.0),
                Action::SendPeerHint(data) => self.told.push(data),
                Action::CancelAttempt { id, attempt } => self.called_off.push((id.0, attempt)),
                Action::SetTimer(_) | Action::LogUnhealthy { .. } => {}
            }
        }
    }
    /// Lets time pass in steps, waking the policy at each.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(ms(10)).min(end);
            self.event(Event::TimerFired);
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
            ordering_key: key.map(str::to_owned),
            destination: DestinationId(destination),
            time_left: left,
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
            limit_per_s: left.map(|_| 10.0),
            remaining_share: left,
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
