//! The scripts, by name.

mod cluster;
mod duties;
mod idle;

use crate::report::Report;
use crate::world::World;
use std::path::PathBuf;

/// What an experiment is run with.
pub struct Setup {
    pub out: PathBuf,
    pub daemon: PathBuf,
    /// A shorter form of the same, for CI.
    pub short: bool,
    pub world: World,
}

impl Setup {
    /// Long work says how far it is.
    pub fn progress(&self, what: &str) {
        eprintln!("{:7.1} s  {what}", self.world.now());
    }
}

pub struct Experiment {
    pub name: &'static str,
    pub about: &'static str,
    run: fn(&Setup) -> Result<Report, String>,
}

pub const ALL: &[Experiment] = &[
    Experiment {
        name: "duties-kill",
        about: "5 daemons share the probes at 6 partners; an owner is killed every 2 s",
        run: |s| block(s, duties::kill(s)),
    },
    Experiment {
        name: "duties-split",
        about: "the same through a split, one that is open one way, and an owner that stands still",
        run: |s| block(s, duties::split(s)),
    },
    Experiment {
        name: "duties-cold",
        about: "a partner returns cold under 5 daemons that share, beside 5 that probe alone",
        run: |s| block(s, duties::cold(s)),
    },
    Experiment {
        name: "duties-list",
        about: "one of 5 asks for the list and tells the others, beside 5 that each ask",
        run: |s| block(s, duties::list(s)),
    },
    Experiment {
        name: "duties-wait",
        about: "one daemon's probe is told to wait 3 s; none of 5 may call before",
        run: |s| block(s, duties::wait(s)),
    },
    Experiment {
        name: "idle-50k",
        about: "50,000 destinations of which few are in use: memory, processor, list, waking, rest",
        run: |s| block(s, idle::run(s)),
    },
];

fn block(setup: &Setup, script: impl Future<Output = Result<Report, String>>) -> Result<Report, String> {
    async_io::block_on(setup.world.executor.run(script))
}

/// Runs one by its name.
pub fn run(name: &str, setup: &Setup) -> Result<Report, String> {
    let found = ALL.iter().find(|e| e.name == name);
    let found = found.ok_or_else(|| format!("no experiment \"{name}\"; `onyxrock-lab list` names them"))?;
    std::fs::create_dir_all(&setup.out).map_err(|e| format!("cannot make {}: {e}", setup.out.display()))?;
    let report = (found.run)(setup)?;
    report.write(&setup.out)?;
    Ok(report)
}
