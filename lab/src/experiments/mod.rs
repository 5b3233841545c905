//! The scripts, by name.

mod cluster;
mod duties;
mod fleet_limit;
mod idle;
mod lease;
mod list_size;
mod scale;
pub mod slopes;
mod soak;

use crate::report::Report;
use crate::testbed::Runtime;
use std::path::PathBuf;

/// What an experiment is run with.
pub struct ExperimentContext {
    pub output_dir: PathBuf,
    pub daemon_program: PathBuf,
    /// A shorter form of the same, for CI.
    pub short: bool,
    /// Of what is drawn: load and faults.
    pub seed: u64,
    pub runtime: Runtime,
}

impl ExperimentContext {
    /// Long work says how far it is.
    pub fn log_progress(&self, what: &str) {
        eprintln!("{:7.1} s  {what}", self.runtime.now());
    }
}

pub struct Experiment {
    pub name: &'static str,
    pub summary: &'static str,
    run: fn(&ExperimentContext) -> Result<Report, String>,
}

/// Each by its name, what it is about, and its script.
macro_rules! experiments {
    ($($name:literal, $about:literal, $script:path;)*) => {
        pub const ALL: &[Experiment] =
            &[$(Experiment { name: $name, summary: $about, run: |s| run_script(s, $script(s)) }),*];
    };
}

experiments! {
    "duties-kill", "5 daemons share the probes at 6 partners; an owner is killed every 2 s", duties::kill;
    "duties-split", "the same through a split, one that is open one way, and an owner that stands still", duties::split;
    "duties-cold", "a partner returns cold under 5 daemons that share, beside 5 that probe alone", duties::cold;
    "duties-list", "one of 5 asks for the list and tells the others, beside 5 that each ask", duties::list;
    "duties-wait", "one daemon's probe is told to wait 3 s; none of 5 may call before", duties::wait;
    "lease-stall", "leases of 22 duties under stalls, cuts, loss, delay, and voters killed and wiped", lease::stall;
    "idle-50k", "50,000 destinations of which few are in use: memory, processor, list, waking, rest", idle::run;
    "list-size", "30, 300 and 1,024 endpoints listed, then all used: memory and threads", list_size::run;
    "scale", "hollow forwarders by the thousand beside real daemons: control, list changes and faults", scale::run;
    "slopes", "bytes and processor time of one role at rising sizes, and the line through them", slopes::run;
    "soak-faults", "real daemons under random faults that overlap, judged by the rules", soak::run;
    "fleet-limit", "2 to 100 modules at a limit that refused calls use up, and their calls for the list", fleet_limit::limit;
}

fn run_script(
    setup: &ExperimentContext, script: impl Future<Output = Result<Report, String>>,
) -> Result<Report, String> {
    async_io::block_on(setup.runtime.executor.run(script))
}

/// Runs one by its name.
pub fn run(name: &str, setup: &ExperimentContext) -> Result<Report, String> {
    let found = ALL.iter().find(|e| e.name == name);
    let found = found.ok_or_else(|| format!("no experiment \"{name}\"; `onyxrock-lab list` names them"))?;
    std::fs::create_dir_all(&setup.output_dir)
        .map_err(|e| format!("cannot make {}: {e}", setup.output_dir.display()))?;
    let report = (found.run)(setup)?;
    report.write_json(&setup.output_dir)?;
    Ok(report)
}
