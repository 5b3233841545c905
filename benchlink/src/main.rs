//! Hosts instances of the onyxrock policy behind a wire of JSON lines on standard input and output.

mod wire;

use std::io::{BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut out = BufWriter::new(std::io::stdout().lock());
    for (number, line) in std::io::stdin().lock().split(b'\n').enumerate() {
        let line = line.map_err(|e| format!("cannot read input: {e}"))?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = host.reply(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        writeln!(out, "{reply}")
            .and_then(|()| out.flush())
            .map_err(|e| format!("cannot write a reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {})); // a failure is reported on the wire, see wire.rs
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("onyxrock-benchlink: {e}");
            ExitCode::FAILURE
        }
    }
}
