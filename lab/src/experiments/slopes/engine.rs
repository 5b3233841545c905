//! Measures the cost of active destinations and of open messages in the policy engine, and of open messages
//! in the write-ahead log.

use super::endpoint_list::filled_directory;
use super::meter::{CpuTimer, memory_of};
use super::wire::name_index;
use super::{Plan, smallest_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::core::{
    AcceptedMessage, AttemptOutcome, AttemptStatus, Ledger, LedgerAction, OpenMessage, Record,
    RequestIdDigest, Sending,
};
use onyxrock::interface::*;
use onyxrock::{PolicyEngine, interface::Settings};
use onyxrock_daemon::wal::Wal;
use onyxrock_duties::LeaseTerms;
use onyxrock_roster::{Directory, DirectoryOutput};
use std::path::Path;

/// Bytes of a message's body.
pub const BODY_BYTES: usize = 256;
/// Number of destinations over which the messages of a backlog are spread.
const BACKLOG_DESTINATIONS: u64 = 100;
/// Maximum size of the write-ahead log in bytes.
const MAX_LOG_BYTES: u64 = 8 << 30;
/// Terms of leases of the settings' default duration. `sharing::DutyRunner` searches the active destinations
/// for unconfirmed destinations at each renewal.
pub const LEASE_TERMS: LeaseTerms = LeaseTerms {
    duration: Micros(3_000_000),
    min_interval: Micros(1_100_000),
    run_timeout: Micros(1_000_000),
};
/// Number of senders of a destination. The memory does not depend on it; with thousands of senders the pace
/// of each sender would not allow a second call within the time in which a destination is confirmed to be
/// warm.
const SENDER_COUNT: u32 = 4;
/// Time after its activation by which a destination is warm.
const WARM_AFTER: Micros = Micros(30_000_000);
/// Deadline of messages, and the class's time until it gives up.
const MESSAGE_DEADLINE: Micros = Micros(3_600_000_000);

fn settings() -> Settings {
    let class = ClassSettings {
        target_latency: Micros(800_000),
        give_up_after: MESSAGE_DEADLINE,
        effect: Effect::Safe,
        value: 1.0,
        late_value_share: 0.1,
        ..ClassSettings::default()
    };
    Settings {
        classes: vec![class],
        kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
        zone_fees: vec![0.0],
        slots: u32::MAX,
        max_held: u32::MAX,
        max_attempts: 12,
        sender_count: SENDER_COUNT,
        weights: Weights::Rough,
        subscribe_to_list: true,
        collapse_multiple: 2.0,
        collapse_window: Micros(3_000_000),
        cold_start_share: 0.17,
        warm_up_time: Micros(12_000_000),
        connection_idle_timeout: Micros(60_000_000),
        ..Settings::default()
    }
}

fn empty_ledger(plan: &Plan) -> Ledger {
    Ledger::new(settings(), name_index(), Default::default(), plan.seed)
}

fn accepted_message(number: u64, destination: u64) -> AcceptedMessage {
    AcceptedMessage {
        number,
        request_id: format!("message-{number:012}"),
        class: "status".into(),
        destination,
        idempotency_key: format!("key-{number:012}"),
        deadline: MESSAGE_DEADLINE,
        body: vec![7; BODY_BYTES].into(),
        ..AcceptedMessage::default()
    }
}

/// Activates a destination, as the daemon's core actor does at the first message for it.
fn activate(ledger: &mut Ledger, directory: &mut Directory, now: Micros, destination: u64, unhealthy: bool) {
    let mut output = DirectoryOutput::default();
    let Some(mut activated) = directory.touch(now, destination, &mut output) else { return };
    activated.endpoints.iter_mut().for_each(|(_, health)| health.unhealthy = unhealthy);
    ledger.activate(now, destination, activated.health, activated.endpoints, 10.0);
}

/// Submits one message for a destination and delivers it at once.
fn deliver(ledger: &mut Ledger, now: Micros, number: u64, destination: u64) {
    ledger.accept(now, accepted_message(number, destination));
    let mut actions = Vec::new();
    ledger.decide(now, Sending::Allowed, &mut actions);
    for action in actions {
        let LedgerAction::Call { number, attempt, receiver, .. } = action else { continue };
        ledger
            .begin_attempt(number, attempt, "club-endpoint", "floor-2", now)
            .expect("the first attempt is allowed");
        let outcome = AttemptOutcome {
            number,
            attempt,
            receiver,
            verdict: Verdict::Delivered,
            elapsed: Micros(20_000),
            finished: true,
            load_report: (None, None),
            wait_until: Micros(0),
        };
        ledger.end_attempt(now, &outcome);
    }
}

/// A ledger in which this number of destinations is active, all of them unhealthy or all of them confirmed.
fn ledger_with_active(plan: &Plan, directory: &mut Directory, destinations: u64, unhealthy: bool) -> Ledger {
    let mut ledger = empty_ledger(plan);
    let activated_at = |destination| Micros(1_000_000 + destination);
    for destination in 0..destinations {
        let now = activated_at(destination);
        activate(&mut ledger, directory, now, destination, unhealthy);
        if !unhealthy {
            deliver(&mut ledger, now, destination + 1, destination);
        }
    }
    // An activated destination is unconfirmed until a delivery after the time by which it must be warm.
    for destination in (0..destinations).filter(|_| !unhealthy) {
        let now = activated_at(destination).plus(WARM_AFTER);
        deliver(&mut ledger, now, destinations + destination + 1, destination);
    }
    ledger
}

/// Measures active destinations, healthy and down, and the search for unconfirmed destinations among them.
pub fn active_destinations(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut healthy, mut down, mut scan) = (Vec::new(), Vec::new(), Vec::new());
    for destinations in plan.sizes(plan.size.destinations / 4.0) {
        for (unhealthy, points) in [(false, &mut healthy), (true, &mut down)] {
            let mut directory = filled_directory(destinations);
            let (bytes, ledger) =
                memory_of(|| ledger_with_active(plan, &mut directory, destinations, unhealthy));
            points.push(Point { x: destinations as f64, y: bytes });
            let unconfirmed = ledger.unconfirmed_destinations().count() as u64;
            if unhealthy != (unconfirmed == destinations) {
                return Err(format!("{unconfirmed} of {destinations} destinations are unconfirmed"));
            }
            if !unhealthy {
                let us = smallest_of(plan.repeats, || {
                    let mut timer = CpuTimer::default();
                    timer.time(|| std::hint::black_box(ledger.unconfirmed_destinations().count()));
                    Ok::<_, String>(timer.us)
                })?;
                scan.push(Point { x: destinations as f64, y: us / LEASE_TERMS.renew_interval().secs() });
            }
        }
    }
    Ok(vec![(Cost::ActiveMemory, healthy), (Cost::DownMemory, down), (Cost::UnconfirmedScanCpu, scan)])
}

/// A policy engine with this number of open messages.
fn engine_with_messages(plan: &Plan, messages: u64) -> PolicyEngine {
    let mut policy = PolicyEngine::new(settings(), plan.seed);
    let mut actions = Vec::new();
    for i in 0..messages {
        let message = Message {
            id: MessageId(i + 1),
            class: ClassId(0),
            tenant: None,
            ordering_key: None,
            destination: DestinationId(i % BACKLOG_DESTINATIONS),
            time_left: MESSAGE_DEADLINE,
        };
        policy.on_event(Micros(1_000_000), Event::Submit(message), &mut actions);
    }
    policy
}

/// A ledger with this number of open messages.
fn ledger_with_messages(plan: &Plan, messages: u64) -> Ledger {
    let mut ledger = empty_ledger(plan);
    for i in 0..messages {
        let message = accepted_message(i + 1, i % BACKLOG_DESTINATIONS);
        let id = RequestIdDigest::of(&message.request_id);
        ledger.remember_request_id(Micros(1_000_000), id);
        ledger.accept(Micros(1_000_000), message);
    }
    ledger
}

/// Measures the memory of open messages, in the policy engine alone and in the whole ledger.
pub fn backlog_memory(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut engine_memory, mut ledger_memory) = (Vec::new(), Vec::new());
    for messages in plan.sizes(plan.size.backlog_per_forwarder() / 16.0) {
        engine_memory
            .push(Point { x: messages as f64, y: memory_of(|| engine_with_messages(plan, messages)).0 });
        let (bytes, ledger) = memory_of(|| ledger_with_messages(plan, messages));
        if ledger.held_count() as u64 != messages {
            return Err(format!("{} of {messages} messages are open in the ledger", ledger.held_count()));
        }
        ledger_memory.push(Point { x: messages as f64, y: bytes });
    }
    Ok(vec![(Cost::EngineMessageMemory, engine_memory), (Cost::BacklogMemory, ledger_memory)])
}

/// Measures open messages in the write-ahead log, each with one attempt that never ran, and reading them
/// back.
pub fn backlog_disk(plan: &Plan, output_dir: &Path) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut disk, mut restart) = (Vec::new(), Vec::new());
    for messages in plan.sizes(plan.size.backlog_per_forwarder() / 64.0) {
        let folder = output_dir.join(format!("log-{messages}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let (mut wal, _) = Wal::open(&folder, MAX_LOG_BYTES).map_err(|e| e.to_string())?;
        wal.compact(open_messages(messages).iter()).map_err(|e| e.to_string())?;
        disk.push(Point { x: messages as f64, y: wal.size() as f64 });
        let us = smallest_of(plan.repeats, || {
            let mut timer = CpuTimer::default();
            let recovered = timer.time(|| Wal::open(&folder, MAX_LOG_BYTES).map(|(_, logged)| logged.open));
            let recovered = recovered.map_err(|e| e.to_string())?.len() as u64;
            if recovered == messages {
                Ok(timer.us)
            } else {
                Err(format!("{recovered} of {messages} messages were recovered from the log"))
            }
        })?;
        restart.push(Point { x: messages as f64, y: us });
        std::fs::remove_dir_all(&folder).map_err(|e| e.to_string())?;
    }
    Ok(vec![(Cost::BacklogDisk, disk), (Cost::BacklogRestartCpu, restart)])
}

/// Open messages, each after one attempt that never ran.
fn open_messages(count: u64) -> Vec<OpenMessage> {
    let open_message = |i: u64| {
        let mut message = OpenMessage {
            accepted: accepted_message(i + 1, i % BACKLOG_DESTINATIONS),
            ..OpenMessage::default()
        };
        let (number, attempt, at) = (i + 1, 0, Micros(1_000_000));
        let (endpoint, zone) = ("club-endpoint".to_owned(), "floor-2".to_owned());
        message.apply(&Record::Attempt { number, attempt, endpoint, zone, at });
        message.apply(&Record::Outcome { number, attempt, status: AttemptStatus::NeverRan });
        message
    };
    (0..count).map(open_message).collect()
}
