//! What destinations in use, and messages for them, cost in the policy engine, and what the log takes.

use super::listing::full;
use super::meter::{Stopwatch, memory_of};
use super::wire::names;
use super::{Plan, least_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::core::{
    AcceptedMessage, AttemptOutcome, AttemptStatus, Ledger, LedgerAction, OpenMessage, Record, recover,
};
use onyxrock::interface::*;
use onyxrock::{PolicyEngine, interface::Settings};
use onyxrock_daemon::wal::Wal;
use onyxrock_duties::LeaseTerms;
use onyxrock_roster::{Directory, DirectoryOutput};
use std::path::Path;

/// Bytes of what is delivered.
pub const BODY: usize = 256;
/// Destinations that a backlog is for.
const BACKLOG_DESTINATIONS: u64 = 100;
const DISK_BYTES: u64 = 8 << 30;
/// How often the engine is looked through for what is doubted, as `sharing::Probing` does: at each renewal of leases of
/// the settings' default length.
pub const LEASE: LeaseTerms = LeaseTerms {
    duration: Micros(3_000_000),
    min_interval: Micros(1_100_000),
    run_timeout: Micros(1_000_000),
};
/// Senders of one destination. Memory does not depend on it; with thousands the pace of each lets no second call go
/// within the time in which a destination is proven warm.
const SENDERS: u32 = 4;
/// A destination that wakes is warm by then.
const WARM: Micros = Micros(30_000_000);
const CLASS_TIME: Micros = Micros(3_600_000_000);

fn settings() -> Settings {
    let class = ClassSettings {
        target_latency: Micros(800_000),
        give_up_after: CLASS_TIME,
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
        sender_count: SENDERS,
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

fn ledger(plan: &Plan) -> Ledger {
    Ledger::new(settings(), names(), Default::default(), plan.seed)
}

fn taken(n: u64, destination: u64) -> AcceptedMessage {
    AcceptedMessage {
        number: n,
        request_id: format!("message-{n:012}"),
        class: "status".into(),
        destination,
        idempotency_key: format!("key-{n:012}"),
        deadline: CLASS_TIME,
        body: vec![7; BODY],
        ..AcceptedMessage::default()
    }
}

/// Brings a destination into use, as the daemon's module does at the first message for it.
fn wake(ledger: &mut Ledger, directory: &mut Directory, now: Micros, destination: u64, sick: bool) {
    let mut follows = DirectoryOutput::default();
    let Some(mut woken) = directory.touch(now, destination, &mut follows) else { return };
    woken.endpoints.iter_mut().for_each(|(_, repute)| repute.unhealthy = sick);
    ledger.activate(now, destination, woken.health, woken.endpoints, 10.0);
}

/// One message to it, delivered at once.
fn deliver(ledger: &mut Ledger, now: Micros, n: u64, destination: u64) {
    ledger.accept(now, taken(n, destination));
    let mut steps = Vec::new();
    ledger.decide(now, true, &mut steps);
    for step in steps {
        let LedgerAction::Call { number: n, attempt, receiver: to, .. } = step else { continue };
        ledger.begin_attempt(n, attempt, "club-endpoint", "floor-2", now).expect("the first attempt");
        let answered = AttemptOutcome {
            number: n,
            attempt,
            receiver: to,
            verdict: Verdict::Delivered,
            elapsed: Micros(20_000),
            finished: true,
            load_report: (None, None),
            wait_until: Micros(0),
        };
        ledger.end_attempt(now, &answered);
    }
}

fn in_use(plan: &Plan, directory: &mut Directory, n: u64, sick: bool) -> Ledger {
    let mut ledger = ledger(plan);
    let at = |destination| Micros(1_000_000 + destination);
    for destination in 0..n {
        let now = at(destination);
        wake(&mut ledger, directory, now, destination, sick);
        if !sick {
            deliver(&mut ledger, now, destination + 1, destination);
        }
    }
    // One that wakes is in doubt until it is served again once it must be warm.
    for destination in (0..n).filter(|_| !sick) {
        let now = at(destination).plus(WARM);
        deliver(&mut ledger, now, n + destination + 1, destination);
    }
    ledger
}

/// Destinations in use, well and out of order, and looking through them.
pub fn active(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut well, mut down, mut look) = (Vec::new(), Vec::new(), Vec::new());
    for n in plan.sizes(plan.size.destinations / 4.0) {
        for (sick, points) in [(false, &mut well), (true, &mut down)] {
            let mut directory = full(n);
            let (bytes, ledger) = memory_of(|| in_use(plan, &mut directory, n, sick));
            points.push(Point { x: n as f64, y: bytes });
            let doubted = ledger.unconfirmed_destinations().count() as u64;
            if sick != (doubted == n) {
                return Err(format!("{doubted} of {n} destinations are doubted"));
            }
            if !sick {
                let us = least_of(plan.repeats, || {
                    let mut watch = Stopwatch::default();
                    watch.time(|| std::hint::black_box(ledger.unconfirmed_destinations().count()));
                    Ok::<_, String>(watch.us)
                })?;
                look.push(Point { x: n as f64, y: us / LEASE.renew_interval().secs() });
            }
        }
    }
    Ok(vec![(Cost::ActiveMemory, well), (Cost::DownMemory, down), (Cost::ActiveLookCpu, look)])
}

fn held(plan: &Plan, n: u64) -> PolicyEngine {
    let mut policy = PolicyEngine::new(settings(), plan.seed);
    let mut actions = Vec::new();
    for i in 0..n {
        let message = Message {
            id: MessageId(i + 1),
            class: ClassId(0),
            tenant: None,
            ordering_key: None,
            destination: DestinationId(i % BACKLOG_DESTINATIONS),
            time_left: CLASS_TIME,
        };
        policy.on_event(Micros(1_000_000), Event::Submit(message), &mut actions);
    }
    policy
}

fn owed(plan: &Plan, n: u64) -> Ledger {
    let mut ledger = ledger(plan);
    for i in 0..n {
        let taken = taken(i + 1, i % BACKLOG_DESTINATIONS);
        ledger.remember_request_id(Micros(1_000_000), &taken.request_id);
        ledger.accept(Micros(1_000_000), taken);
    }
    ledger
}

/// Messages that wait, in memory.
pub fn backlog_memory(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut engine, mut all) = (Vec::new(), Vec::new());
    for n in plan.sizes(plan.size.backlog_per_forwarder() / 16.0) {
        engine.push(Point { x: n as f64, y: memory_of(|| held(plan, n)).0 });
        let (bytes, ledger) = memory_of(|| owed(plan, n));
        if ledger.held_count() as u64 != n {
            return Err(format!("{} of {n} messages are held", ledger.held_count()));
        }
        all.push(Point { x: n as f64, y: bytes });
    }
    Ok(vec![(Cost::HeldMemory, engine), (Cost::BacklogMemory, all)])
}

/// Messages that wait, in the log, each after one attempt that never ran; and reading them back.
pub fn backlog_disk(plan: &Plan, out: &Path) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut disk, mut restart) = (Vec::new(), Vec::new());
    for n in plan.sizes(plan.size.backlog_per_forwarder() / 64.0) {
        let folder = out.join(format!("log-{n}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let (mut wal, _) = Wal::open(&folder, DISK_BYTES).map_err(|e| e.to_string())?;
        wal.compact(log(n).iter()).map_err(|e| e.to_string())?;
        disk.push(Point { x: n as f64, y: wal.size() as f64 });
        let us = least_of(plan.repeats, || {
            let mut watch = Stopwatch::default();
            let found = watch.time(|| Wal::open(&folder, DISK_BYTES).map(|(_, scan)| recover(scan.records)));
            let found = found.map_err(|e| e.to_string())?.len() as u64;
            if found == n { Ok(watch.us) } else { Err(format!("{found} of {n} messages are in the log")) }
        })?;
        restart.push(Point { x: n as f64, y: us });
        std::fs::remove_dir_all(&folder).map_err(|e| e.to_string())?;
    }
    Ok(vec![(Cost::BacklogDisk, disk), (Cost::BacklogRestartCpu, restart)])
}

fn log(n: u64) -> Vec<OpenMessage> {
    let one = |i: u64| {
        let mut owed =
            OpenMessage { accepted: taken(i + 1, i % BACKLOG_DESTINATIONS), ..OpenMessage::default() };
        let (n, attempt, at) = (i + 1, 0, Micros(1_000_000));
        let (endpoint, zone) = ("club-endpoint".to_owned(), "floor-2".to_owned());
        owed.apply(&Record::Attempt { number: n, attempt, endpoint, zone, at });
        owed.apply(&Record::Outcome { number: n, attempt, status: AttemptStatus::NeverRan });
        owed
    };
    (0..n).map(one).collect()
}
