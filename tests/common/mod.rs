//! Drives a [`PolicyEngine`] without a network, on a virtual clock, and records the actions that it decides.
#![allow(dead_code)] // each test file uses some of the items

use onyxrock::PolicyEngine;
use onyxrock::interface::*;

/// Index of the class whose effect may be repeated without harm.
pub const SAFE: usize = 0;
/// Index of the class that is delivered in order and deduplicated by the whole destination.
pub const ORDERED: usize = 1;
/// Index of the class that must take effect at most once.
pub const UNSAFE: usize = 2;
/// Index of the class that is deduplicated within a zone.
pub const ZONED: usize = 3;

/// A duration in milliseconds.
pub fn ms(millis: u64) -> Micros {
    Micros(millis * 1000)
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

/// Settings with the four classes above and three kinds of receivers: plain, with separate routes, and with
/// four messages to a call.
pub fn settings() -> Settings {
    let keyed = |scope| Effect::Keyed { scope, window: ms(5000) };
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

/// A list entry of a ready receiver.
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

/// An attempt that the policy has sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAttempt {
    pub id: u64,
    pub attempt: u32,
    pub receiver: u64,
    pub at: Micros,
    pub timeout: Micros,
}

/// A policy engine, its clock and the actions that it has decided so far.
pub struct Harness {
    pub policy: PolicyEngine,
    pub now: Micros,
    /// Attempts without an outcome.
    pub in_flight: Vec<SentAttempt>,
    /// All attempts.
    pub sent: Vec<SentAttempt>,
    /// Refused messages with their retry-after.
    pub refused: Vec<(u64, Option<Micros>)>,
    pub failed: Vec<u64>,
    /// Number of requests for the endpoint list.
    pub list_requests: usize,
    /// Receivers whose idle connections were closed.
    pub closed_idle: Vec<u64>,
    /// Hints to other senders.
    pub hints_sent: Vec<Vec<u8>>,
    /// Cancelled attempts: message and attempt number.
    pub cancelled: Vec<(u64, u32)>,
    /// Number of attempts by message.
    pub attempt_counts: std::collections::BTreeMap<u64, u32>,
}

impl Harness {
    /// Starts a policy that holds `entries` as its persisted list.
    pub fn new(settings: Settings, entries: Vec<ListEntry>) -> Harness {
        let policy = PolicyEngine::new(settings, 7);
        let mut harness = Harness {
            policy,
            now: Micros(5_000_000_000),
            in_flight: vec![],
            sent: vec![],
            refused: vec![],
            failed: vec![],
            list_requests: 0,
            closed_idle: vec![],
            hints_sent: vec![],
            cancelled: vec![],
            attempt_counts: Default::default(),
        };
        harness.handle_event(Event::PersistedList(entries));
        harness
    }
    /// Passes one event to the policy, lets it decide and applies its actions.
    pub fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.policy.decide(self.now, &mut actions);
        self.apply_actions(actions);
    }
    /// Records the actions of the policy.
    pub fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, receiver, timeout } => {
                    let count = self.attempt_counts.entry(id.0).or_insert(0);
                    let sent = SentAttempt {
                        id: id.0,
                        attempt: *count,
                        receiver: receiver.0,
                        at: self.now,
                        timeout,
                    };
                    *count += 1;
                    self.in_flight.push(sent.clone());
                    self.sent.push(sent);
                }
                Action::Refuse { id, retry_after } => self.refused.push((id.0, retry_after)),
                Action::Fail(id) => self.failed.push(id.0),
                Action::RequestList => self.list_requests += 1,
                Action::CloseIdleConnections(id) => self.closed_idle.push(id.0),
                Action::SendPeerHint(data) => self.hints_sent.push(data),
                Action::CancelAttempt { id, attempt } => self.cancelled.push((id.0, attempt)),
                Action::SetTimer(_) | Action::LogUnhealthy { .. } => {}
            }
        }
    }
    /// Advances the clock in steps of 10 ms and fires the policy's timer at each.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(ms(10)).min(end);
            self.handle_event(Event::TimerFired);
        }
    }
    /// Submits a message without an ordering key that has 20 s left.
    pub fn submit(&mut self, id: u64, class: usize, destination: u64) {
        self.submit_with(id, class, destination, None, ms(20_000));
    }
    /// Submits a message with an ordering key and the given time left.
    pub fn submit_with(
        &mut self, id: u64, class: usize, destination: u64, ordering_key: Option<&str>, time_left: Micros,
    ) {
        self.handle_event(Event::Submit(Message {
            id: MessageId(id),
            class: ClassId(class),
            tenant: None,
            ordering_key: ordering_key.map(str::to_owned),
            destination: DestinationId(destination),
            time_left,
        }));
    }
    /// Ends the oldest attempt in flight of a message; the message is finished if the verdict is a delivery.
    pub fn end_attempt(&mut self, id: u64, verdict: Verdict) {
        self.end_attempt_with_limit(id, verdict, None);
    }
    /// The same, where the response reports the remaining share of a limit of ten calls a second.
    pub fn end_attempt_with_limit(&mut self, id: u64, verdict: Verdict, remaining_share: Option<f64>) {
        let index =
            self.in_flight.iter().position(|s| s.id == id).expect("the message has an attempt in flight");
        let sent = self.in_flight.remove(index);
        self.handle_event(Event::Outcome(Outcome {
            id: MessageId(id),
            attempt: sent.attempt,
            receiver: ReceiverId(sent.receiver),
            verdict,
            elapsed: self.now.since(sent.at),
            finished: verdict == Verdict::Delivered,
            limit_per_s: remaining_share.map(|_| 10.0),
            remaining_share,
        }));
    }
    /// Delivers `count` messages to a destination one by one, so that the policy has measured its receivers.
    pub fn warm_up(&mut self, first: u64, count: u64, destination: u64) {
        for id in first..first + count {
            self.submit(id, SAFE, destination);
            self.advance(ms(50));
            self.end_attempt(id, Verdict::Delivered);
            self.advance(ms(50));
        }
    }
    /// Number of attempts that were sent for a message.
    pub fn attempts_of(&self, id: u64) -> usize {
        self.sent.iter().filter(|s| s.id == id).count()
    }
}
