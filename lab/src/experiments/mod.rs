//! The experiments, by name.

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

/// The options and the runtime of one run of an experiment.
pub struct ExperimentContext {
    /// Folder for the report and for the daemons' folders.
    pub output_dir: PathBuf,
    /// Path of the daemon's program.
    pub daemon_program: PathBuf,
    /// Whether to run a shorter form of the experiment, for CI.
    pub short: bool,
    /// Seed of the random choices: load and faults.
    pub seed: u64,
    pub runtime: Runtime,
}

impl ExperimentContext {
    /// Writes a line on the progress of the experiment to stderr, with the time since its start.
    pub fn log_progress(&self, text: &str) {
        eprintln!("{:7.1} s  {text}", self.runtime.now());
    }
}

/// An experiment that can be run by its name.
pub struct Experiment {
    pub name: &'static str,
    /// One line for `onyxrock-lab list`.
    pub summary: &'static str,
    run: fn(&ExperimentContext) -> Result<Report, String>,
}

/// Defines [`ALL`] from lines of a name, a summary and a script.
macro_rules! experiments {
    ($($name:literal, $summary:literal, $script:path;)*) => {
        /// All experiments.
        pub const ALL: &[Experiment] =
            &[$(Experiment {
                name: $name,
                summary: $summary,
                run: |context| run_script(context, $script(context)),
            }),*];
    };
}

experiments! {
    "duties-kill",
        "5 daemons share the probes of 6 partners; the holder of a probe duty is killed every 2 s",
        duties::kill;
    "duties-split", "the same during partitions, cuts of one direction, and a paused holder", duties::split;
    "duties-cold",
        "a partner returns cold: 5 daemons that share its probes, compared to 5 that each probe alone",
        duties::cold;
    "duties-list",
        "one of 5 requests the list and shares it, compared to 5 that each request it",
        duties::list;
    "duties-wait",
        "one daemon's probe gets a retry-after of 3 s; none of 5 may call before its end",
        duties::wait;
    "lease-stall",
        "leases of 22 duties under stalls, cuts, loss and delay, with voters killed and their state wiped",
        lease::stall;
    "idle-50k",
        "50,000 destinations of which few are in use: memory, CPU, list, activation, deactivation",
        idle::run;
    "list-size", "30, 300 and 1,024 endpoints listed, then all used: memory and threads", list_size::run;
    "scale",
        "thousands of simulated forwarders, compared to real daemons: control traffic, list changes, faults",
        scale::run;
    "slopes", "bytes and CPU time of one role at increasing sizes, and the line fitted to them", slopes::run;
    "soak-faults", "real daemons under random overlapping faults, checked against the rules", soak::run;
    "fleet-limit",
        "2 to 100 policy engines at a limit that refused calls use up, and their requests for the list",
        fleet_limit::limit;
}

fn run_script(
    context: &ExperimentContext, script: impl Future<Output = Result<Report, String>>,
) -> Result<Report, String> {
    async_io::block_on(context.runtime.executor.run(script))
}

/// Runs an experiment by its name and writes its report.
pub fn run(name: &str, context: &ExperimentContext) -> Result<Report, String> {
    let experiment = ALL.iter().find(|e| e.name == name);
    let experiment =
        experiment.ok_or_else(|| format!("no experiment \"{name}\"; `onyxrock-lab list` lists them"))?;
    std::fs::create_dir_all(&context.output_dir)
        .map_err(|e| format!("cannot create {}: {e}", context.output_dir.display()))?;
    let report = (experiment.run)(context)?;
    report.write_json(&context.output_dir)?;
    Ok(report)
}
