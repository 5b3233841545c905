//! The faults of a run: generated from a seed, they begin at random times and overlap.

use super::discovery;
use super::server;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How writes to a daemon's log fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFailure {
    NoSpace,
    IoError,
    /// Half of a record is written, the rest fails, and the file cannot be truncated to remove that half.
    ShortWrite,
}

impl DiskFailure {
    /// The plan for the fault injection library that is preloaded into the daemon's process.
    pub fn plan(self) -> &'static str {
        match self {
            DiskFailure::NoSpace => "write = \"ENOSPC\"\npath = \"onyxrock.log\"\n",
            DiskFailure::IoError => "write = \"EIO\"\npath = \"onyxrock.log\"\n",
            DiskFailure::ShortWrite => "write = \"short\"\ntruncate = true\npath = \"onyxrock.log\"\n",
        }
    }

    /// The name of the fault in reports.
    pub fn name(self) -> &'static str {
        match self {
            DiskFailure::NoSpace => "disk_no_space",
            DiskFailure::IoError => "disk_io_error",
            DiskFailure::ShortWrite => "disk_short_write",
        }
    }
}

/// How an upgrade continues after the new process was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeScenario {
    /// The old process gets SIGTERM.
    PlannedFault,
    /// The old process is killed.
    OldKilled,
    /// The new process is killed before it is ready, and the old one continues.
    NewKilled,
}

/// One fault, and what it affects. `daemon` and `server` are indices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The daemon gets SIGKILL and is started again.
    Kill { daemon: usize },
    /// The daemon gets this number of SIGTERMs, with SIGHUPs between them, and is started again once it has
    /// exited.
    Terminate { daemon: usize, signals: u32 },
    /// A second process of the daemon is started while the first one runs.
    Upgrade { daemon: usize, scenario: UpgradeScenario },
    /// The daemon gets SIGHUPs in quick succession.
    HangupSignals { daemon: usize, count: u32 },
    /// An operator puts a server into maintenance, and ends the maintenance later.
    Maintenance { daemon: usize, server: usize },
    /// New settings with an additional class, which is removed again later.
    SettingsChange { daemon: usize },
    /// Clients connect and send nothing, or half a request.
    ConnectionFlood { daemon: usize, connections: usize },
    /// The daemon's process is suspended for a moment.
    Stall { daemon: usize },
    /// The daemon gets new configurations in quick succession, each with another address of discovery.
    DiscoveryMoves { daemon: usize, count: usize },
    /// The daemon gets a configuration that cannot be parsed.
    InvalidReload { daemon: usize },
    /// The daemon's log cannot be written.
    DiskFailure { daemon: usize, failure: DiskFailure },
    /// The wall clock of the daemon's machine is stepped, and the daemon is started again.
    ClockStep { daemon: usize, offset_s: i64 },
    /// The daemon gets no file descriptors: accept, socket and open fail.
    DescriptorExhaustion { daemon: usize },
    /// Discovery treats calls according to another mode.
    Discovery { mode: discovery::Mode },
    /// A server treats calls according to another mode.
    Server { server: usize, mode: server::Mode },
    /// A server drains and is removed from the list, and another takes its place.
    ReplaceServer { server: usize },
}

impl Fault {
    /// The name of the fault in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill { .. } => "daemon_killed",
            Fault::Terminate { .. } => "daemon_terminated",
            Fault::Upgrade { .. } => "daemon_upgraded",
            Fault::HangupSignals { .. } => "signals_in_series",
            Fault::Maintenance { .. } => "operators_called",
            Fault::SettingsChange { .. } => "settings_changed",
            Fault::ConnectionFlood { .. } => "crowd",
            Fault::Stall { .. } => "daemon_stalled",
            Fault::DiscoveryMoves { .. } => "discovery_moved",
            Fault::InvalidReload { .. } => "broken_reload",
            Fault::DescriptorExhaustion { .. } => "no_descriptors",
            Fault::DiskFailure { failure, .. } => failure.name(),
            Fault::ClockStep { .. } => "clock_stepped",
            Fault::Discovery { mode } => mode.name(),
            Fault::Server { mode, .. } => mode.name(),
            Fault::ReplaceServer { .. } => "server_replaced",
        }
    }
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Seconds from the begin of the load to the begin of the fault.
    pub start_s: f64,
    /// How long the fault lasts, if it is of a kind that lasts.
    pub duration_s: f64,
    pub fault: Fault,
}

/// The parts of a run that faults can affect, and the length of the run.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    pub daemons: usize,
    pub servers: usize,
    pub duration_s: f64,
}

/// Mean number of faults per second.
const FAULTS_PER_S: f64 = 3.0;
/// Range of the duration of faults of other kinds than the two below.
const DURATION_S: std::ops::Range<f64> = 0.5..5.0;
/// The longest time for which system calls fail for lack of descriptors.
const MAX_DESCRIPTOR_EXHAUSTION_S: f64 = 0.3;
/// The longest suspension of a process. A forwarder tolerates this delay between reading its clock and writing.
const MAX_STALL_S: f64 = 0.12;

/// Generates the faults of a run: first each kind once, in random order, then random kinds.
pub fn generate_faults(run_size: RunSize, seed: u64) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kinds: Vec<usize> = (0..KIND_COUNT).collect();
    let mut plan = Vec::new();
    let mut start_s = 0.0;
    loop {
        start_s += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / FAULTS_PER_S;
        if start_s > run_size.duration_s {
            return plan;
        }
        let kind = match kinds.is_empty() {
            true => rng.random_range(0..KIND_COUNT),
            false => kinds.swap_remove(rng.random_range(0..kinds.len())),
        };
        let fault = fault(kind, run_size, &mut rng);
        let duration_s = match fault {
            Fault::Stall { .. } => rng.random_range(0.02..MAX_STALL_S),
            Fault::DescriptorExhaustion { .. } => rng.random_range(0.05..MAX_DESCRIPTOR_EXHAUSTION_S),
            _ => rng.random_range(DURATION_S),
        };
        plan.push(PlannedFault { start_s, duration_s, fault });
    }
}

/// Number of kinds that `fault` distinguishes.
const KIND_COUNT: usize = 33;
/// Number of connections in a flood: more than a daemon keeps with the file descriptors that it has.
const FLOOD_CONNECTIONS: usize = 600;
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS_S: [i64; 4] = [-3600, -7, 7, 3600];

/// Chooses the target and the parameters of a fault of one kind.
fn fault(kind: usize, run_size: RunSize, rng: &mut StdRng) -> Fault {
    let daemon = rng.random_range(0..run_size.daemons);
    let server = rng.random_range(0..run_size.servers);
    let share = rng.random_range(0.3..0.7);
    match kind {
        0 => Fault::Kill { daemon },
        1 => Fault::Terminate { daemon, signals: rng.random_range(1..4) },
        2 => Fault::Stall { daemon },
        3 | 4 => Fault::DiscoveryMoves { daemon, count: rng.random_range(1..5) },
        5 => Fault::InvalidReload { daemon },
        6 => Fault::Discovery { mode: discovery::Mode::Overloaded(share) },
        7 => Fault::Discovery { mode: discovery::Mode::QueueFull(share) },
        8 => Fault::Discovery { mode: discovery::Mode::Silent },
        9 => Fault::Discovery { mode: discovery::Mode::Down },
        10 => Fault::Discovery { mode: discovery::Mode::InvalidResponse(share) },
        11 => Fault::Server { server, mode: server::Mode::Slow(rng.random_range(0.1..1.0)) },
        12 => Fault::Server { server, mode: server::Mode::Failing },
        13 => Fault::Server { server, mode: server::Mode::Hanging },
        14 => Fault::Server { server, mode: server::Mode::RetryAfter(rng.random_range(0.2..2.0)) },
        15 => Fault::Server { server, mode: server::Mode::Unavailable },
        16 => Fault::Server { server, mode: server::Mode::ResetBefore },
        17 => Fault::Server { server, mode: server::Mode::ResetAfter },
        18 => Fault::Server { server, mode: server::Mode::InvalidResponse },
        19 => Fault::Server { server, mode: server::Mode::ResetOnAccept },
        20 => Fault::DescriptorExhaustion { daemon },
        21 => Fault::DiskFailure { daemon, failure: DiskFailure::NoSpace },
        22 => Fault::DiskFailure { daemon, failure: DiskFailure::IoError },
        23 => Fault::DiskFailure { daemon, failure: DiskFailure::ShortWrite },
        24 => Fault::ClockStep { daemon, offset_s: CLOCK_STEPS_S[rng.random_range(0..CLOCK_STEPS_S.len())] },
        25 | 26 => Fault::Maintenance { daemon, server },
        27 => Fault::Upgrade { daemon, scenario: UpgradeScenario::PlannedFault },
        28 if share < 0.5 => Fault::Upgrade { daemon, scenario: UpgradeScenario::OldKilled },
        28 => Fault::Upgrade { daemon, scenario: UpgradeScenario::NewKilled },
        29 => Fault::HangupSignals { daemon, count: rng.random_range(2..9) },
        31 => Fault::SettingsChange { daemon },
        30 => Fault::ConnectionFlood { daemon, connections: FLOOD_CONNECTIONS },
        _ => Fault::ReplaceServer { server },
    }
}
