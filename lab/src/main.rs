//! The laboratory's command line.

use lexopt::prelude::*;
use onyxrock_lab::experiments::{ALL, ExperimentContext, run};
use onyxrock_lab::{capacity, daemon, testbed::Runtime};
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: onyxrock-lab run NAME --out DIR [--short] [--daemon FILE] [--seed N]
       onyxrock-lab list
       onyxrock-lab capacity --reports DIR [--check PAGE | --write PAGE] [--owners N]
`run` plays an experiment against real daemons on loopback, writes DIR/report.json, prints its claims and
ends with 1 if one does not hold, with 2 if it could not be run. --daemon names the daemon's program; else it
is the one beside this program. --short plays a shorter form. --seed is of what
is drawn, 7 if it is not given.
`capacity` works out from the reports of DIR what each role costs at the two-year size. --check ends with 1 if
the table of PAGE is another one, --write puts it there. --owners is of senders of a destination, 3 by default.";

struct Arguments {
    positional: Vec<String>,
    out: Option<PathBuf>,
    daemon: Option<PathBuf>,
    short: bool,
    seed: u64,
    capacity: capacity::Request,
}

fn parse_arguments(mut args: lexopt::Parser) -> Result<Arguments, String> {
    let capacity = capacity::Request::default();
    let mut line =
        Arguments { positional: Vec::new(), out: None, daemon: None, short: false, seed: 7, capacity };
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Long("out") => line.out = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("daemon") => line.daemon = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("short") => line.short = true,
            Long("seed") => {
                let text = args.value().map_err(|e| e.to_string())?;
                let parsed = text.to_string_lossy().parse();
                line.seed = parsed.map_err(|_| format!("--seed is no number: {text:?}"))?;
            }
            Long("reports") => line.capacity.reports = args.value().map_err(|e| e.to_string())?.into(),
            Long("check") => line.capacity.check = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("write") => line.capacity.write = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("owners") => {
                let text = args.value().map_err(|e| e.to_string())?;
                let parsed = text.to_string_lossy().parse();
                line.capacity.owners = Some(parsed.map_err(|_| format!("--owners is no number: {text:?}"))?);
            }
            Long("help") | Short('h') => line.positional = vec!["help".into()],
            Value(v) => line.positional.push(v.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(line)
}

fn run_command() -> Result<bool, String> {
    let line = parse_arguments(lexopt::Parser::from_env())?;
    let words: Vec<&str> = line.positional.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["run", name] => {
            let out = line.out.ok_or("run: --out DIR is missing")?;
            let daemon = line.daemon.map_or_else(daemon::default_program, Ok)?;
            let setup = ExperimentContext {
                output_dir: out,
                daemon_program: daemon,
                short: line.short,
                seed: line.seed,
                runtime: Runtime::default(),
            };
            let report = run(name, &setup)?;
            print!("{}", report.table());
            Ok(report.all_claims_hold())
        }
        ["list"] => {
            ALL.iter().for_each(|e| println!("{:<16} {}", e.name, e.summary));
            Ok(true)
        }
        ["capacity"] if line.capacity.reports.as_os_str().is_empty() => {
            Err("capacity: --reports DIR is missing".into())
        }
        ["capacity"] => capacity::run(&line.capacity),
        ["help"] => {
            println!("{USAGE}");
            Ok(true)
        }
        _ => Err("what shall be done? see --help".into()),
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
