//! The forwarder's command line.

use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: onyxrock COMMAND [--config FILE] [--smpp FILE]
  serve     run a forwarder
  check     read the configuration, say what it holds, and end
  version   print the version
The configuration is FILE, or $GW_CONFIG. --smpp switches the SMPP front on, as its FILE says.";

struct Line {
    command: String,
    config: Option<PathBuf>,
    smpp: Option<PathBuf>,
}

fn line(mut args: lexopt::Parser) -> Result<Line, String> {
    let (mut command, mut config, mut smpp) = (None, None, None);
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Long("config") => config = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("smpp") => smpp = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("help") | Short('h') => command = Some("help".to_owned()),
            Long("version") => command = Some("version".to_owned()),
            Value(v) if command.is_none() => command = Some(v.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(Line { command: command.ok_or("no command; see --help")?, config, smpp })
}

fn run() -> Result<(), String> {
    let line = line(lexopt::Parser::from_env())?;
    let read = || {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = line.config.clone().or_else(|| var("GW_CONFIG").map(PathBuf::from));
        let config = onyxrock_config::daemon::read(&path.ok_or("no --config and no $GW_CONFIG")?, var)?;
        let smpp = line.smpp.as_ref().map(|f| onyxrock_config::smpp::read(f, &config.names)).transpose()?;
        Ok::<_, String>((config, smpp))
    };
    match line.command.as_str() {
        "serve" => read().and_then(|(config, smpp)| onyxrock_daemon::serve::run(config, smpp)),
        "check" => {
            let (c, smpp) = read()?;
            let (classes, known) = (c.settings.classes.len(), c.known.entries.len());
            println!("{}: listens on {}, {classes} classes, {known} endpoints known", c.name, c.listen);
            if let Some(s) = smpp {
                println!("SMPP on {}, {} clients, {} gateways", s.listen, s.clients.len(), s.gateways.len());
            }
            Ok(())
        }
        "version" => {
            println!("onyxrock {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        "help" => {
            println!("{USAGE}");
            Ok(())
        }
        other => Err(format!("unknown command \"{other}\"; see --help")),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("onyxrock: {e}");
            ExitCode::FAILURE
        }
    }
}
