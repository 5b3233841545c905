//! Incident e26570: signals in series, restarts and upgrades at random, mostly beside a crowd. No process ends by itself,
//! each start listens, and memory, files and descriptors stay within the limits.
//!
//! Without ONYXROCK_SOAK_SEEDS=FIRST..LAST a few seeds are played; the long run is started by hand, in a release build.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use harness::crowd::{SILENT_DESTINATION, all_kinds};
use harness::memory::{MemoryPeak, MemorySampler};
use harness::pressure::{Crowd, UsualClients};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Limits on memory in MB. A debug build takes 13 MB for itself, a release build 8.
const MEMORY_MB: [u64; 3] = if cfg!(debug_assertions) { [32, 48, 96] } else { [16, 32, 96] };
/// The same where two processes may run at a time.
const MEMORY_MB_OF_TWO: [u64; 3] = if cfg!(debug_assertions) { [64, 96, 192] } else { [32, 64, 96] };
const DISK_MB: [u64; 3] = [3, 8, 30];
const SOCKETS: [u64; 2] = [512, 1024];
const CONNECTIONS: [usize; 2] = [600, 1500];
/// SIGKILL follows SIGTERM after this time at the earliest.
const SIGKILL_AFTER: Duration = Duration::from_millis(3700);
/// A new process starts this long after the end of the one before.
const RESTART_DELAY: Duration = Duration::from_millis(600);
const USUAL_CLIENTS: usize = 2;
const INTERVAL: Duration = Duration::from_millis(100);

/// What is done to a daemon.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Wait,
    Kill,
    Terminate { signals: u32 },
    Hangups { count: u32 },
    Upgrade(UpgradeEnd),
}

/// How an upgrade ends.
#[derive(Clone, Copy, Debug)]
enum UpgradeEnd {
    OldTerminated,
    OldKilled,
    NewKilled,
}

/// One run.
#[derive(Clone, Debug)]
struct Plan {
    memory_mb: u64,
    disk_mb: u64,
    sockets: u64,
    operators: bool,
    crowd: Option<usize>,
    disturbances: Vec<(Duration, Disturbance)>,
}

impl Plan {
    fn of(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let operators = rng.random_bool(0.5);
        let memory = if operators { MEMORY_MB_OF_TWO } else { MEMORY_MB };
        let count = rng.random_range(3..6);
        Plan {
            memory_mb: *memory.choose(&mut rng).unwrap(),
            disk_mb: *DISK_MB.choose(&mut rng).unwrap(),
            sockets: *SOCKETS.choose(&mut rng).unwrap(),
            operators,
            crowd: rng.random_bool(0.8).then(|| *CONNECTIONS.choose(&mut rng).unwrap()),
            disturbances: (0..count).map(|_| disturbance(&mut rng, operators)).collect(),
        }
    }
}

/// A disturbance, and the time before it: kills follow starts after 0.4 s, too.
fn disturbance(rng: &mut StdRng, operators: bool) -> (Duration, Disturbance) {
    let before = if rng.random_bool(0.5) { 350..650 } else { 900..2500 };
    let kinds = if operators { 7 } else { 4 };
    let chosen = match rng.random_range(0..kinds) {
        0 => Disturbance::Wait,
        1 => Disturbance::Kill,
        2 => Disturbance::Terminate { signals: rng.random_range(1..4) },
        3 => Disturbance::Hangups { count: rng.random_range(2..9) },
        4 => Disturbance::Upgrade(UpgradeEnd::OldTerminated),
        5 => Disturbance::Upgrade(UpgradeEnd::OldKilled),
        _ => Disturbance::Upgrade(UpgradeEnd::NewKilled),
    };
    (Duration::from_millis(rng.random_range(before)), chosen)
}

/// Runs one line of a scenario.
fn step(harness: &mut Harness, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).map_err(|e| format!("{line}: {e}"))
}

fn started_daemon(plan: &Plan) -> Result<Harness, String> {
    let mut harness = Harness::default();
    harness.add_accepting_endpoint("e1", "1", Arc::default());
    step(&mut harness, &format!("given endpoint silent dest={SILENT_DESTINATION}"))?;
    for (limit, value) in
        [("memory_mb", plan.memory_mb), ("disk_mb", plan.disk_mb), ("sockets", plan.sockets)]
    {
        step(&mut harness, &format!("given limit {limit}={value}"))?;
    }
    step(&mut harness, &format!("given descriptors {}", plan.sockets))?;
    step(&mut harness, "given http alone")?;
    if plan.operators {
        step(&mut harness, "given operators")?;
    }
    step(&mut harness, "send daemon start")?;
    Ok(harness)
}

/// Carries out one disturbance.
fn disturb(harness: &mut Harness, sampler: &MemorySampler, disturbance: Disturbance) -> Result<(), String> {
    if let Some(status) = harness.ended_by_itself() {
        return Err(format!("a process ended by itself: {status}"));
    }
    match disturbance {
        Disturbance::Wait => {}
        Disturbance::Kill => harness.kill_and_restart()?,
        Disturbance::Terminate { signals } => {
            for _ in 0..signals {
                step(harness, "send daemon TERM")?;
            }
            expect_end(harness, "daemon")?;
            std::thread::sleep(RESTART_DELAY);
            harness.restart()?;
        }
        Disturbance::Hangups { count } => {
            for _ in 0..count {
                step(harness, "send daemon HUP")?;
                std::thread::sleep(Duration::from_millis(15));
            }
        }
        Disturbance::Upgrade(end) => upgrade(harness, sampler, end)?,
    }
    sampler.follow(harness.process_ids());
    Ok(())
}

/// Waits for a process that was told to end: it exits with 0, or it is killed.
fn expect_end(harness: &mut Harness, name: &str) -> Result<(), String> {
    let status = harness.wait_or_kill(name, SIGKILL_AFTER)?;
    if status.success() || status.code().is_none() {
        return Ok(());
    }
    Err(format!("the process {name} ended with {status}"))
}

fn upgrade(harness: &mut Harness, sampler: &MemorySampler, end: UpgradeEnd) -> Result<(), String> {
    step(harness, "send daemon beside")?;
    sampler.follow(harness.process_ids());
    std::thread::sleep(Duration::from_millis(400));
    match end {
        UpgradeEnd::OldTerminated => {
            step(harness, "send old TERM")?;
            expect_end(harness, "old")?;
        }
        UpgradeEnd::OldKilled => step(harness, "send old KILL")?,
        UpgradeEnd::NewKilled => return harness.roll_back(),
    }
    harness.forget_previous();
    Ok(())
}

/// Plays a plan; an error says what was broken.
fn play(plan: &Plan) -> Result<(MemoryPeak, UsualClients), String> {
    let mut harness = started_daemon(plan)?;
    let sampler = MemorySampler::start(harness.process_ids(), harness.state_folder());
    let stop = Arc::new(AtomicBool::new(false));
    let address = harness.addresses().http;
    let span: Duration = plan.disturbances.iter().map(|(before, _)| *before).sum();
    let crowd = plan.crowd.map(|connections| {
        let crowd = Crowd { requests: all_kinds(), connections, most_bytes: usize::MAX, interval: INTERVAL };
        crowd.start(address, &stop)
    });
    let until = Instant::now() + span;
    let usual = std::thread::spawn(move || UsualClients::run_many(address, USUAL_CLIENTS, until));
    let played = plan.disturbances.iter().try_for_each(|(before, disturbance)| {
        std::thread::sleep(*before);
        disturb(&mut harness, &sampler, *disturbance).map_err(|e| format!("{disturbance:?}: {e}"))
    });
    let ended = harness.ended_by_itself();
    stop.store(true, Ordering::Relaxed);
    crowd.into_iter().flatten().for_each(|thread| thread.join().unwrap());
    let (peak, usual) = (sampler.finish(), usual.join().unwrap());
    let log = harness.log();
    played.map_err(|e| format!("{e}\n{log}"))?;
    if let Some(status) = ended {
        return Err(format!("a process ended by itself: {status}\n{log}"));
    }
    if let Some(line) = log.lines().find(|line| line.contains("panicked") || line.contains("violation:")) {
        return Err(line.to_owned());
    }
    if peak.largest.total() > plan.memory_mb * 1_000_000 {
        return Err(format!("memory over its limit: {:?}", peak.largest));
    }
    if peak.descriptors as u64 > plan.sockets {
        return Err(format!("{} descriptors", peak.descriptors));
    }
    Ok((peak, usual))
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("ONYXROCK_SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("a number")..last.parse::<u64>().expect("a number") + 1
}

/// Guards against processes that end by themselves or pass a limit, in any order of signals, restarts and upgrades.
#[test]
fn no_process_ends_by_itself_or_passes_a_limit() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let plan = Plan::of(seed);
        match play(&plan) {
            Ok((peak, usual)) => println!(
                "seed {seed}: {:.1} MB of {}, resident {:?} and files {}, {} descriptors of {}; {usual:?}; {plan:?}",
                peak.largest.total() as f64 / 1e6,
                plan.memory_mb,
                peak.largest.resident,
                peak.largest.files,
                peak.descriptors,
                plan.sockets
            ),
            Err(e) => {
                println!("seed {seed}: BROKEN: {e}; {plan:?}");
                broken.push(seed);
            }
        }
    }
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
}
