//! The forwarder's command line.

use lexopt::prelude::*;
use onyxrock_config::daemon::ReadError;
use onyxrock_config::dns::DnsSettings;
use onyxrock_config::product;
use onyxrock_daemon::list::zone::Zone;
use onyxrock_daemon::show;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: onyxrock COMMAND [--config FILE] [--product FILE]
  serve     run a forwarder
  check     read the configuration, say what it holds, and end
  members   what a running instance sees of the others: --at ADDRESS [--json]
  duties    which duties it wants and holds: --at ADDRESS [--json]
  status    who leads the fleet, and whether this one votes: --at ADDRESS [--json]
  version   print the version
The configuration is what the platform states: --config FILE, or $GW_CONFIG. --product names a
file of our own, which switches on what the platform does not use (see deploy/product.toml).";

/// The parsed command line.
struct Args {
    command: String,
    config: Option<PathBuf>,
    product: Option<PathBuf>,
    at: Option<SocketAddr>,
    json: bool,
}

fn parse_args(mut args: lexopt::Parser) -> Result<Args, String> {
    let (mut command, mut config, mut product) = (None, None, None);
    let (mut at, mut json) = (None, false);
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Long("config") => config = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("product") => product = Some(args.value().map_err(|e| e.to_string())?.into()),
            Long("at") => {
                let text = args.value().map_err(|e| e.to_string())?;
                let parsed = text.to_string_lossy().parse();
                at = Some(parsed.map_err(|_| format!("--at is no address with a port: {text:?}"))?);
            }
            Long("json") => json = true,
            Long("help") | Short('h') => command = Some("help".to_owned()),
            Long("version") => command = Some("version".to_owned()),
            Value(value) if command.is_none() => command = Some(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(Args { command: command.ok_or("no command; see --help")?, config, product, at, json })
}

/// Runs the command; an error is one line.
fn run() -> Result<(), String> {
    let args = parse_args(lexopt::Parser::from_env())?;
    let read = || {
        let var = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = args.config.clone().or_else(|| var("GW_CONFIG").map(PathBuf::from));
        let config = onyxrock_config::daemon::read(&path.ok_or("no --config and no $GW_CONFIG")?, var)?;
        let members = |d: &DnsSettings, service: &str| Zone::parse(&d.zone_text, &d.origin)?.members(service);
        let product = args.product.as_ref().map(|f| product::read(f, &config.names, &members)).transpose()?;
        Ok::<_, ReadError>((config, product.unwrap_or_default()))
    };
    match args.command.as_str() {
        "serve" => {
            let (config, product) = read()?;
            let _instance = onyxrock_daemon::log::start(&product.log, &config.name);
            onyxrock_daemon::serve::run(config, product, &read)
        }
        "check" => {
            let (config, product) = read()?;
            let (classes, cached) =
                (config.settings.classes.len(), config.cached_list.as_ref().map_or(0, |k| k.entries.len()));
            println!(
                "{}: listens on {}, {classes} classes, {cached} endpoints known",
                config.name, config.listen
            );
            onyxrock_config::settings::describe(&config.settings, &config.names)
                .iter()
                .for_each(|w| println!("{w}"));
            if let Some(smpp) = product.smpp {
                println!(
                    "SMPP on {}, {} clients, {} gateways",
                    smpp.listen,
                    smpp.tenant_by_system_id.len(),
                    smpp.gateways.len()
                );
            }
            if let Some(dns) = product.dns {
                let zone = Zone::parse(&dns.zone_text, &dns.origin)?;
                let (list, invalid) = zone.endpoints(&config.names);
                println!("DNS on {}, {} endpoints in the zone", dns.listen, list.entries.len());
                invalid.iter().for_each(|w| println!("  {w}"));
            }
            if let Some(duties) = product.duties {
                println!(
                    "duties on {}, {} members, {} voters",
                    duties.listen,
                    duties.members.len(),
                    duties.voter_count
                );
            }
            Ok(())
        }
        command @ ("members" | "duties" | "status") => {
            let value = show::fetch(
                args.at.ok_or_else(|| format!("{command}: --at ADDRESS is missing"))?,
                if command == "members" { "/members" } else { "/duties" },
            )?;
            let format_for_people = match command {
                "members" => show::members,
                "duties" => show::duties,
                _ => show::status,
            };
            print!("{}", if args.json { format!("{value}\n") } else { format_for_people(&value) });
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
