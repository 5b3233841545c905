//! The command line of the lab.

use lexopt::prelude::*;
use onyxrock_lab::experiments::{ALL, ExperimentContext, run};
use onyxrock_lab::{capacity, daemon, testbed::Runtime};
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: onyxrock-lab run NAME --out DIR [--short] [--daemon FILE] [--seed N]
       onyxrock-lab list
       onyxrock-lab capacity --reports DIR [--check PAGE | --write PAGE] [--owners N]
`run` runs an experiment against real daemons on loopback, writes DIR/report.json and prints its claims. It
exits with 1 if a claim does not hold, and with 2 if the experiment could not be run. --daemon names the
daemon's program; the default is the one in the folder of this program. --short runs a shorter form. --seed
seeds all random choices, 7 by default.
`capacity` computes from the reports in DIR what each role costs at the two-year size. --check exits with 1 if
the table in PAGE differs, --write replaces it. --owners sets the senders of a destination, 3 by default.";

/// The parsed command arguments.
struct Arguments {
    positional: Vec<String>,
    out: Option<PathBuf>,
    daemon: Option<PathBuf>,
    short: bool,
    seed: u64,
    /// The arguments of `capacity`.
    capacity: capacity::CapacityArgs,
}

fn parse_arguments(mut args: lexopt::Parser) -> Result<Arguments, String> {
    let capacity = capacity::CapacityArgs::default();
    let mut arguments =
        Arguments { positional: Vec::new(), out: None, daemon: None, short: false, seed: 7, capacity };
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Long("out") => arguments.out = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("daemon") => arguments.daemon = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("short") => arguments.short = true,
            Long("seed") => {
                let text = args.value().map_err(|e| e.to_string())?;
                let parsed = text.to_string_lossy().parse();
                arguments.seed = parsed.map_err(|_| format!("--seed must be a number: {text:?}"))?;
            }
            Long("reports") => arguments.capacity.reports = args.value().map_err(|e| e.to_string())?.into(),
            Long("check") => arguments.capacity.check = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("write") => arguments.capacity.write = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("owners") => {
                let text = args.value().map_err(|e| e.to_string())?;
                let parsed = text.to_string_lossy().parse();
                arguments.capacity.senders_per_destination =
                    Some(parsed.map_err(|_| format!("--owners must be a number: {text:?}"))?);
            }
            Long("help") | Short('h') => arguments.positional = vec!["help".into()],
            Value(value) => arguments.positional.push(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(arguments)
}

/// Runs the command. Returns whether all claims or checks hold.
fn run_command() -> Result<bool, String> {
    let arguments = parse_arguments(lexopt::Parser::from_env())?;
    let positional: Vec<&str> = arguments.positional.iter().map(String::as_str).collect();
    match positional.as_slice() {
        ["run", name] => {
            let output_dir = arguments.out.ok_or("run: --out DIR is missing")?;
            let daemon_program = arguments.daemon.map_or_else(daemon::default_program, Ok)?;
            let context = ExperimentContext {
                output_dir,
                daemon_program,
                short: arguments.short,
                seed: arguments.seed,
                runtime: Runtime::default(),
            };
            let report = run(name, &context)?;
            print!("{}", report.table());
            Ok(report.all_claims_hold())
        }
        ["list"] => {
            ALL.iter().for_each(|experiment| println!("{:<16} {}", experiment.name, experiment.summary));
            Ok(true)
        }
        ["capacity"] if arguments.capacity.reports.as_os_str().is_empty() => {
            Err("capacity: --reports DIR is missing".into())
        }
        ["capacity"] => capacity::run(&arguments.capacity),
        ["help"] => {
            println!("{USAGE}");
            Ok(true)
        }
        _ => Err("missing or unknown command; see --help".into()),
    }
}

fn main() -> ExitCode {
    match run_command() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("onyxrock-lab: {e}");
            ExitCode::from(2)
        }
    }
}
