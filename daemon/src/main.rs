//! The forwarder's command line.

use lexopt::prelude::*;
use onyxrock_daemon::list::zone::Zone;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: onyxrock COMMAND [--config FILE] [--smpp FILE] [--dns FILE]
  serve     run a forwarder
  check     read the configuration, say what it holds, and end
  version   print the version
The configuration is FILE, or $GW_CONFIG. --smpp switches the SMPP front on, --dns takes the
list out of a zone file instead of discovery's, each as its FILE says.";

struct Line {
    command: String,
    config: Option<PathBuf>,
    smpp: Option<PathBuf>,
    dns: Option<PathBuf>,
}

fn line(mut args: lexopt::Parser) -> Result<Line, String> {
    let (mut command, mut config, mut smpp, mut dns) = (None, None, None, None);
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Long("config") => config = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("smpp") => smpp = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("dns") => dns = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("help") | Short('h') => command = Some("help".to_owned()),
            Long("version") => command = Some("version".to_owned()),
            Value(v) if command.is_none() => command = Some(v.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(Line { command: command.ok_or("no command; see --help")?, config, smpp, dns })
}

fn run() -> Result<(), String> {
    let line = line(lexopt::Parser::from_env())?;
    let read = || {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = line.config.clone().or_else(|| var("GW_CONFIG").map(PathBuf::from));
        let config = onyxrock_config::daemon::read(&path.ok_or("no --config and no $GW_CONFIG")?, var)?;
        let smpp = line.smpp.as_ref().map(|f| onyxrock_config::smpp::read(f, &config.names)).transpose()?;
        let dns = line.dns.as_deref().map(onyxrock_config::dns::read).transpose()?;
        Ok::<_, String>((config, smpp, dns))
    };
    match line.command.as_str() {
        "serve" => {
            let (config, smpp, dns) = read()?;
            onyxrock_daemon::serve::run(config, smpp, dns, &|| Ok(read()?.0))
        }
        "check" => {
            let (c, smpp, dns) = read()?;
            let (classes, known) =
                (c.settings.classes.len(), c.known.as_ref().map_or(0, |k| k.entries.len()));
            println!("{}: listens on {}, {classes} classes, {known} endpoints known", c.name, c.listen);
            if let Some(s) = smpp {
                println!("SMPP on {}, {} clients, {} gateways", s.listen, s.clients.len(), s.gateways.len());
            }
            if let Some(d) = dns {
                let zone = Zone::parse(&d.zone, &d.origin)?;
                let (list, wrong) = zone.list(&c.names);
                println!("DNS on {}, {} endpoints in the zone", d.listen, list.entries.len());
                wrong.iter().for_each(|w| println!("  {w}"));
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
