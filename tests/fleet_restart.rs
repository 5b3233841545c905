//! A fleet of senders at full load, each killed with attempts in flight and restarted from its log, then a
//! burst of 2.4 times the load. Each accepted message must end once and in time, and take effect no more
//! often than its class allows. The tests use the settings of both deployments and a virtual clock. Calls of
//! a killed sender still run at the receivers.

mod common;
use common::*;
use onyxrock::core::*;
use onyxrock::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const SENDERS: usize = 3;
/// Each destination has two endpoints, one in zone 0 and one in zone 1.
const DESTINATIONS: u64 = 4;
/// Step of the clock in milliseconds.
const TICK_MS: u64 = 10;

/// Settings and traffic of a deployment.
struct Deployment {
    settings: Settings,
    name_index: NameIndex,
    /// Class name, its share of the traffic in hundredths, and the milliseconds that a receiver takes for a
    /// message.
    class_mix: Vec<(&'static str, u64, u64)>,
    /// Calls that each destination accepts in one window, and the length of the window in milliseconds.
    rate_limit: (usize, u64),
}

/// Names of the classes by their index in the mix, and of the two zones. Endpoints with an even number are in
/// zone "a", the others in "b".
fn name_index(class_mix: &[(&'static str, u64, u64)]) -> NameIndex {
    let named =
        |all: Vec<&str>| all.into_iter().enumerate().map(|(index, name)| (name.to_owned(), index)).collect();
    NameIndex {
        classes: named(class_mix.iter().map(|c| c.0).collect()),
        zones: named(vec!["a", "b"]),
        ..NameIndex::default()
    }
}

/// The first deployment, without second copies. Its classes are safe, keyed by destination, unsafe and keyed
/// by zone.
fn first_deployment() -> Deployment {
    let class_mix = vec![("safe", 40, 120), ("keyed", 20, 120), ("unsafe", 20, 120), ("zoned", 20, 120)];
    let name_index = name_index(&class_mix);
    let settings = Settings { sender_count: SENDERS as u32, slots: 12, max_held: 80, ..settings() };
    Deployment { settings, name_index, class_mix, rate_limit: (6, 1000) }
}

/// The second deployment, with load reports and second copies and without hints. Its classes are keyed events
/// of value 1 and status messages that are safe to repeat, take longer and have a higher value.
fn second_deployment() -> Deployment {
    let class_mix = vec![("order-event", 80, 100), ("tile-status", 20, 250)];
    let keyed = Effect::Keyed { scope: DedupScope::Destination, window: ms(5000) };
    let class = |effect, target_ms, give_up_ms, value| ClassSettings {
        target_latency: ms(target_ms),
        give_up_after: ms(give_up_ms),
        effect,
        in_order: false,
        value,
        late_value_share: 0.3,
    };
    let settings = Settings {
        classes: vec![class(keyed, 2000, 20_000, 1.0), class(Effect::Safe, 1000, 8000, 2.0)],
        sender_count: SENDERS as u32,
        slots: 8,
        max_held: 60,
        max_attempts: 8,
        second_copies: true,
        peer_hints: false,
        weights: Weights::Off,
        ..settings()
    };
    let name_index = name_index(&class_mix);
    Deployment { settings, name_index, class_mix, rate_limit: (10, 2000) }
}

impl Deployment {
    /// The same deployment with another deduplication window.
    fn with_window(mut self, window_ms: u64) -> Deployment {
        for class in &mut self.settings.classes {
            if let Effect::Keyed { window, .. } = &mut class.effect {
                *window = ms(window_ms);
            }
        }
        self
    }
}

/// One sender: its ledger, its log and its attempts in flight.
struct Sender {
    /// `None` while the sender is down.
    ledger: Option<Ledger>,
    log: Vec<Record>,
    /// Attempts in flight by message and attempt number: when the outcome comes, the receiver, the verdict,
    /// and when the call was sent.
    in_flight: BTreeMap<(u64, u32), (Micros, ReceiverId, Verdict, Micros)>,
    /// When the sender last started; messages whose deadline passed while it was down end then.
    started_at: Micros,
}

/// What the receivers have seen.
#[derive(Default)]
struct ReceiverState {
    /// Start of the current window of the rate limit and the calls accepted in it, by destination.
    window_calls: BTreeMap<u64, (Micros, usize)>,
    /// Time and zone of each effect, by message.
    effects: BTreeMap<u64, Vec<(Micros, u64)>>,
    /// Descriptions of effects that were repeated against the rules of their class.
    repeated_effects: Vec<String>,
}

/// An accepted message: sender, class, deadline, and the reported ends.
type MessageHistory = (usize, usize, Micros, Vec<(Micros, &'static str)>);

/// The senders, the receivers, the clock and all accepted messages.
struct Fleet {
    deployment: Deployment,
    now: Micros,
    senders: Vec<Sender>,
    receivers: ReceiverState,
    /// All accepted messages.
    accepted: BTreeMap<u64, MessageHistory>,
    next_message: u64,
    /// Number of attempts that were in flight when their sender was killed.
    attempts_cut_off: usize,
    /// Number of messages that restarted senders took from their logs.
    messages_resumed: usize,
}

fn endpoint_list() -> Event {
    Event::FullList((0..DESTINATIONS * 2).map(|r| entry(r, r / 2, 0, (r % 2) as usize)).collect())
}

impl Fleet {
    fn new(deployment: Deployment) -> Fleet {
        let senders = (0..SENDERS).map(|_| Sender {
            ledger: None,
            log: vec![],
            in_flight: BTreeMap::new(),
            started_at: Micros(0),
        });
        let mut fleet = Fleet {
            deployment,
            now: ms(1_000_000),
            senders: senders.collect(),
            receivers: ReceiverState::default(),
            accepted: BTreeMap::new(),
            next_message: 0,
            attempts_cut_off: 0,
            messages_resumed: 0,
        };
        (0..SENDERS).for_each(|index| fleet.start(index));
        fleet
    }

    /// Starts sender `index` from its log.
    fn start(&mut self, index: usize) {
        let deployment = &self.deployment;
        let mut ledger = Ledger::new(
            deployment.settings.clone(),
            deployment.name_index.clone(),
            BTreeSet::new(),
            11 + index as u64,
        );
        ledger.on_list_event(self.now, endpoint_list());
        let mut bytes = Vec::new();
        self.senders[index].log.iter().for_each(|r| r.write(&mut bytes));
        for open in recover(scan_log(&bytes).records).into_values() {
            self.messages_resumed += 1;
            assert!(
                !ledger.resume(self.now, open),
                "an end is reported in the same step in which it is decided"
            );
        }
        let sender = &mut self.senders[index];
        (sender.ledger, sender.started_at) = (Some(ledger), self.now);
    }

    /// Kills sender `index`. Its attempts in flight still run at the receivers, but their outcomes are lost.
    fn kill(&mut self, index: usize) {
        let sender = &mut self.senders[index];
        self.attempts_cut_off += sender.in_flight.len();
        sender.ledger = None;
        sender.in_flight.clear();
    }

    /// Submits the `sequence`-th message to a live sender, unless its ledger is full.
    fn submit(&mut self, sequence: u64) {
        let live: Vec<usize> = (0..SENDERS).filter(|index| self.senders[*index].ledger.is_some()).collect();
        let Some(&index) = live.get(sequence as usize % live.len().max(1)) else { return };
        let point = sequence * 37 % 100;
        let mut cumulative_share = 0;
        let class = self.deployment.class_mix.iter().position(|c| {
            cumulative_share += c.1;
            point < cumulative_share
        });
        let (class, name) = (class.unwrap_or(0), self.deployment.class_mix[class.unwrap_or(0)].0);
        let give_up = self.deployment.settings.classes[class].give_up_after;
        let sender = &mut self.senders[index];
        let ledger = sender.ledger.as_mut().expect("the sender is up");
        if ledger.is_full() {
            return;
        }
        // Numbers are unique in the fleet, so that the receivers can distinguish a repeat from another
        // message.
        let number = self.next_message;
        self.next_message += 1;
        let deadline = self.now.plus(give_up);
        let destination = sequence * 7 % 10 % DESTINATIONS;
        let message = AcceptedMessage {
            number,
            request_id: format!("m{number}"),
            class: name.into(),
            destination,
            deadline,
            ..AcceptedMessage::default()
        };
        sender.log.push(Record::Accepted(message.clone()));
        ledger.accept(self.now, message);
        self.accepted.insert(number, (index, class, deadline, vec![]));
    }

    /// Serves a call at a receiver: applies the rate limit, records the effect unless it is a dropped repeat,
    /// and returns when the outcome is known, and the verdict.
    fn receive(&mut self, number: u64, receiver: ReceiverId, timeout: Micros) -> (Micros, Verdict) {
        let (class, destination, zone) = (self.accepted[&number].1, receiver.0 / 2, receiver.0 % 2);
        let (max_calls, window_ms) = self.deployment.rate_limit;
        let start = self.now.0 / (window_ms * 1000) * window_ms * 1000;
        let calls = self.receivers.window_calls.entry(destination).or_insert((Micros(start), 0));
        if calls.0 != Micros(start) {
            *calls = (Micros(start), 0);
        }
        if calls.1 >= max_calls {
            let retry_after = Micros(start + window_ms * 1000 - self.now.0);
            return (self.now.plus(ms(5)), Verdict::Full(Some(retry_after)));
        }
        calls.1 += 1;
        let effect = self.deployment.settings.classes[class].effect;
        let effects = self.receivers.effects.entry(number).or_default();
        let dropped = match effect {
            Effect::Keyed { scope, window } => effects.iter().any(|(at, effect_zone)| {
                self.now.since(*at) <= window && (scope == DedupScope::Destination || *effect_zone == zone)
            }),
            Effect::Safe | Effect::Unsafe => false,
        };
        if !dropped {
            effects.push((self.now, zone));
            if effects.len() > 1 && effect != Effect::Safe {
                self.receivers
                    .repeated_effects
                    .push(format!("m{number} took effect {} times: {effects:?}", effects.len()));
            }
        }
        let duration = ms(self.deployment.class_mix[class].2 + number % 5 * 20);
        if duration > timeout {
            (self.now.plus(timeout), Verdict::TimedOut)
        } else {
            (self.now.plus(duration), Verdict::Delivered)
        }
    }

    /// Records that sender `index` reported the end of a message, and checks the end.
    fn record_end(&mut self, index: usize, number: u64, status: &'static str) {
        let (owner, class, deadline, ends) = self.accepted.get_mut(&number).expect("an accepted message");
        assert_eq!(*owner, index, "m{number} is ended by the sender that accepted it");
        ends.push((self.now, status));
        // A client submits a returned message again, which is harmless only if the effect may be repeated.
        let effect = self.deployment.settings.classes[*class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { scope: DedupScope::Destination, .. });
        let effects = self.receivers.effects.get(&number).map_or(0, Vec::len);
        assert!(
            status != "returned" || harmless || effects == 0,
            "m{number} was returned after it took effect"
        );
        let late = self.now.since((*deadline).max(self.senders[index].started_at));
        assert!(late <= ms(TICK_MS), "m{number} ended {late:?} after its deadline or the restart ({status})");
    }

    /// Ends the attempts of sender `index` that are due and carries out the decisions of its ledger.
    fn step(&mut self, index: usize) {
        let now = self.now;
        let due: Vec<_> =
            self.senders[index].in_flight.iter().filter(|(_, c)| c.0 <= now).map(|(k, c)| (*k, *c)).collect();
        for ((number, attempt), (_, receiver, verdict, sent_at)) in due {
            self.senders[index].in_flight.remove(&(number, attempt));
            let outcome = AttemptOutcome {
                number,
                attempt,
                receiver,
                verdict,
                elapsed: now.since(sent_at),
                finished: false,
                load_report: (None, None),
                wait_until: Micros(0),
            };
            let record =
                self.senders[index].ledger.as_mut().expect("the sender is up").end_attempt(now, &outcome);
            if let Some(record) = record {
                let closed = matches!(record, Record::Closed(_));
                self.senders[index].log.push(record);
                if closed && verdict == Verdict::Delivered {
                    self.record_end(index, number, "delivered");
                }
            }
        }
        let mut actions = Vec::new();
        self.senders[index].ledger.as_mut().expect("the sender is up").decide(
            now,
            Sending::Allowed,
            &mut actions,
        );
        for action in actions {
            match action {
                LedgerAction::Call { number, attempt, receiver, timeout } => {
                    let zone = if receiver.0 % 2 == 0 { "a" } else { "b" };
                    let ledger = self.senders[index].ledger.as_mut().expect("the sender is up");
                    let Ok(record) =
                        ledger.begin_attempt(number, attempt, &format!("e{}", receiver.0), zone, now)
                    else {
                        continue;
                    };
                    self.senders[index].log.push(record);
                    let (at, verdict) = self.receive(number, receiver, timeout);
                    self.senders[index].in_flight.insert((number, attempt), (at, receiver, verdict, now));
                }
                LedgerAction::CancelAttempt { number, attempt } => {
                    self.senders[index].in_flight.remove(&(number, attempt));
                }
                LedgerAction::ReportFinalStatus { number, status } => {
                    let sender = &mut self.senders[index];
                    sender.log.push(Record::FinalStatus { number, status });
                    let closed = sender.ledger.as_mut().expect("the sender is up").close(number);
                    sender.log.extend(closed);
                    self.record_end(
                        index,
                        number,
                        if status == FinalStatus::Failed { "failed" } else { "returned" },
                    );
                }
                _ => {}
            }
        }
    }

    /// Advances the clock by `span_ms` with `rate` submissions a second, of which `from` is the first
    /// message. Each entry of `plan` is a time in milliseconds, a sender, and whether it is killed or
    /// started. Returns the next message.
    fn run(&mut self, span_ms: u64, rate: u64, plan: &[(u64, usize, bool)], from: u64) -> u64 {
        let mut submitted = from;
        for elapsed_ms in (0..span_ms).step_by(TICK_MS as usize) {
            for &(_, index, kill) in plan.iter().filter(|p| p.0 == elapsed_ms) {
                if kill { self.kill(index) } else { self.start(index) }
            }
            while submitted < from + (elapsed_ms + TICK_MS) * rate / 1000 {
                self.submit(submitted);
                submitted += 1;
            }
            for index in 0..SENDERS {
                if self.senders[index].ledger.is_some() {
                    self.step(index);
                }
            }
            self.now = self.now.plus(ms(TICK_MS));
        }
        submitted
    }
}

/// Kills and restarts the senders of a deployment under full load, adds the burst and waits until all
/// messages have ended.
fn run_restarts(deployment: Deployment) -> Fleet {
    // Full load in messages a second: the sum of the rate limits of all destinations.
    let full_load = deployment.rate_limit.0 as u64 * DESTINATIONS * 1000 / deployment.rate_limit.1;
    let mut fleet = Fleet::new(deployment);
    let mut submitted = fleet.run(4000, full_load, &[], 0);
    // Each sender is killed in turn, and two at the same time; they restart after 400 to 900 ms from their
    // logs and the list.
    let plan =
        [(60, 0, true), (460, 0, false), (2060, 1, true), (2960, 1, false), (3060, 2, true), (3080, 0, true)];
    submitted = fleet.run(3600, full_load, &plan, submitted);
    submitted = fleet.run(1000, full_load, &[(0, 2, false), (500, 0, false)], submitted);
    submitted = fleet.run(6000, full_load * 24 / 10, &[], submitted);
    fleet.run(25_000, 0, &[], submitted);
    fleet
}

/// Guards against messages that are lost, ended twice or repeated when senders are killed with attempts in
/// flight.
#[test]
fn restarts_at_full_load_and_a_burst_lose_or_repeat_no_message() {
    assert_each_message_ends_once([("first", first_deployment()), ("second", second_deployment())]);
}

/// Guards against repeats after a deduplication window of one second, which passes while a sender is down.
#[test]
fn restarts_longer_than_the_deduplication_window_lose_or_repeat_no_message() {
    assert_each_message_ends_once([
        ("first", first_deployment().with_window(1000)),
        ("second", second_deployment().with_window(1000)),
    ]);
}

fn assert_each_message_ends_once(deployments: [(&str, Deployment); 2]) {
    for (name, deployment) in deployments {
        let fleet = run_restarts(deployment);
        assert!(
            fleet.receivers.repeated_effects.is_empty(),
            "{name}: {:?}",
            &fleet.receivers.repeated_effects[..fleet.receivers.repeated_effects.len().min(5)]
        );
        let mut delivered = 0;
        for (number, (_, _, _, ends)) in &fleet.accepted {
            assert_eq!(ends.len(), 1, "{name}: m{number} has one end: {ends:?}");
            delivered += usize::from(ends[0].1 == "delivered");
        }
        for sender in &fleet.senders {
            assert_eq!(
                sender.ledger.as_ref().map(Ledger::held_count),
                Some(0),
                "{name}: nothing is held at the end"
            );
        }
        // Checks that the run exercised the failure: kills cut off attempts, restarts resumed messages, and
        // most messages were delivered.
        let accepted = fleet.accepted.len();
        assert!(
            fleet.attempts_cut_off >= 5 && fleet.messages_resumed >= 10,
            "{name}: {} attempts lost, {} messages recovered",
            fleet.attempts_cut_off,
            fleet.messages_resumed
        );
        assert!(
            delivered * 10 >= accepted * 7 && accepted > 400,
            "{name}: {delivered} of {accepted} delivered"
        );
    }
}
