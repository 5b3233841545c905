//! What goes wrong in a run: faults drawn from a seed that begin at random times and overlap.

use super::discovery;
use super::server;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How writes to the log fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    NoSpace,
    Io,
    /// Half of a record is written, the rest fails, and the half cannot be cut off.
    Short,
}

impl DiskFault {
    /// The plan that the library in the process reads.
    pub fn plan(self) -> &'static str {
        match self {
            DiskFault::NoSpace => "write = \"ENOSPC\"\npath = \"onyxrock.log\"\n",
            DiskFault::Io => "write = \"EIO\"\npath = \"onyxrock.log\"\n",
            DiskFault::Short => "write = \"short\"\ntruncate = true\npath = \"onyxrock.log\"\n",
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            DiskFault::NoSpace => "disk_no_space",
            DiskFault::Io => "disk_io_error",
            DiskFault::Short => "disk_short_write",
        }
    }
}

/// How an upgrade goes on once the new process is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeEnds {
    /// The old process gets SIGTERM.
    Planned,
    /// It is killed.
    OldKilled,
    /// The new one is killed before it is ready, and the old one goes on.
    NewKilled,
}

/// One thing that goes wrong, with what it hits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL, and a new start.
    Kill {
        daemon: usize,
    },
    /// So many SIGTERMs with SIGHUPs between them, and a new start once it has ended.
    Terminate {
        daemon: usize,
        signals: u32,
    },
    /// A second process beside the first.
    Upgrade {
        daemon: usize,
        ends: UpgradeEnds,
    },
    /// SIGHUPs in quick succession.
    HangUps {
        daemon: usize,
        count: u32,
    },
    /// An operator takes a server out, and puts it back.
    Maintenance {
        daemon: usize,
        server: usize,
    },
    /// New settings, with a class that is added and later dropped.
    Settings {
        daemon: usize,
    },
    /// Clients that connect and say nothing, or half a request.
    Crowd {
        daemon: usize,
        clients: usize,
    },
    /// It is held up.
    Stall {
        daemon: usize,
    },
    /// New configurations in quick succession, each of which names another address of discovery.
    Reloads {
        daemon: usize,
        count: usize,
    },
    /// A configuration that cannot be read.
    BrokenReload {
        daemon: usize,
    },
    /// Its log cannot be written.
    Disk {
        daemon: usize,
        fault: DiskFault,
    },
    /// Its machine's wall clock is stepped, and it is started anew.
    ClockStep {
        daemon: usize,
        seconds: i64,
    },
    /// The system has no descriptor for it: accept, socket and open fail.
    NoDescriptors {
        daemon: usize,
    },
    Discovery {
        mode: discovery::Mode,
    },
    Server {
        server: usize,
        mode: server::Mode,
    },
    /// A server drains, goes, and another takes its place.
    Replace {
        server: usize,
    },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill { .. } => "daemon_killed",
            Fault::Terminate { .. } => "daemon_terminated",
            Fault::Upgrade { .. } => "daemon_upgraded",
            Fault::HangUps { .. } => "signals_in_series",
            Fault::Maintenance { .. } => "operators_called",
            Fault::Settings { .. } => "settings_changed",
            Fault::Crowd { .. } => "crowd",
            Fault::Stall { .. } => "daemon_stalled",
            Fault::Reloads { .. } => "discovery_moved",
            Fault::BrokenReload { .. } => "broken_reload",
            Fault::NoDescriptors { .. } => "no_descriptors",
            Fault::Disk { fault, .. } => fault.name(),
            Fault::ClockStep { .. } => "clock_stepped",
            Fault::Discovery { mode } => mode.name(),
            Fault::Server { mode, .. } => mode.name(),
            Fault::Replace { .. } => "server_replaced",
        }
    }
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// Seconds from the begin of the load.
    pub at: f64,
    /// For so many seconds, where it lasts.
    pub lasts: f64,
    pub fault: Fault,
}

/// What the faults of a run are drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    pub daemons: usize,
    pub servers: usize,
    pub seconds: f64,
}

/// Faults a second in the mean.
const RATE: f64 = 3.0;
const LASTS: std::ops::Range<f64> = 0.5..5.0;
/// System calls fail for a moment.
const MOMENT_MOST: f64 = 0.3;
/// The longest that a forwarder may be held up between reading its clock and writing.
const STALL_MOST: f64 = 0.12;

/// Draws the faults of a run: every kind once at least, in any order, then whatever comes.
pub fn draw(extent: Extent, seed: u64) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kinds: Vec<usize> = (0..KINDS).collect();
    let mut plan = Vec::new();
    let mut at = 0.0;
    loop {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / RATE;
        if at > extent.seconds {
            return plan;
        }
        let kind = match kinds.is_empty() {
            true => rng.random_range(0..KINDS),
            false => kinds.swap_remove(rng.random_range(0..kinds.len())),
        };
        let fault = fault(kind, extent, &mut rng);
        let lasts = match fault {
            Fault::Stall { .. } => rng.random_range(0.02..STALL_MOST),
            Fault::NoDescriptors { .. } => rng.random_range(0.05..MOMENT_MOST),
            _ => rng.random_range(LASTS),
        };
        plan.push(Planned { at, lasts, fault });
    }
}

const KINDS: usize = 33;
/// More connections than a daemon keeps, of the descriptors that it has.
const CROWD: usize = 600;
/// Steps of the wall clock, in seconds.
const STEPS_S: [i64; 4] = [-3600, -7, 7, 3600];

fn fault(kind: usize, extent: Extent, rng: &mut StdRng) -> Fault {
    let daemon = rng.random_range(0..extent.daemons);
    let server = rng.random_range(0..extent.servers);
    let share = rng.random_range(0.3..0.7);
    match kind {
        0 => Fault::Kill { daemon },
        1 => Fault::Terminate { daemon, signals: rng.random_range(1..4) },
        2 => Fault::Stall { daemon },
        3 | 4 => Fault::Reloads { daemon, count: rng.random_range(1..5) },
        5 => Fault::BrokenReload { daemon },
        6 => Fault::Discovery { mode: discovery::Mode::Crowded(share) },
        7 => Fault::Discovery { mode: discovery::Mode::Slow(share) },
        8 => Fault::Discovery { mode: discovery::Mode::Silent },
        9 => Fault::Discovery { mode: discovery::Mode::Down },
        10 => Fault::Discovery { mode: discovery::Mode::Spoilt(share) },
        11 => Fault::Server { server, mode: server::Mode::Slow(rng.random_range(0.1..1.0)) },
        12 => Fault::Server { server, mode: server::Mode::Failing },
        13 => Fault::Server { server, mode: server::Mode::Hanging },
        14 => Fault::Server { server, mode: server::Mode::Full(rng.random_range(0.2..2.0)) },
        15 => Fault::Server { server, mode: server::Mode::Shut },
        16 => Fault::Server { server, mode: server::Mode::ResetBefore },
        17 => Fault::Server { server, mode: server::Mode::ResetAfter },
        18 => Fault::Server { server, mode: server::Mode::Spoilt },
        19 => Fault::Server { server, mode: server::Mode::Refusing },
        20 => Fault::NoDescriptors { daemon },
        21 => Fault::Disk { daemon, fault: DiskFault::NoSpace },
        22 => Fault::Disk { daemon, fault: DiskFault::Io },
        23 => Fault::Disk { daemon, fault: DiskFault::Short },
        24 => Fault::ClockStep { daemon, seconds: STEPS_S[rng.random_range(0..STEPS_S.len())] },
        25 | 26 => Fault::Maintenance { daemon, server },
        27 => Fault::Upgrade { daemon, ends: UpgradeEnds::Planned },
        28 if share < 0.5 => Fault::Upgrade { daemon, ends: UpgradeEnds::OldKilled },
        28 => Fault::Upgrade { daemon, ends: UpgradeEnds::NewKilled },
        29 => Fault::HangUps { daemon, count: rng.random_range(2..9) },
        31 => Fault::Settings { daemon },
        30 => Fault::Crowd { daemon, clients: CROWD },
        _ => Fault::Replace { server },
    }
}
