//! Runs instances of the onyxrock policy engine behind a protocol of JSON lines on standard input and output.

mod wire;

use std::io::{BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut output = BufWriter::new(std::io::stdout().lock());
    for (number, line) in std::io::stdin().lock().split(b'\n').enumerate() {
        let line = line.map_err(|error| format!("cannot read input: {error}"))?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = host.reply(&line).map_err(|error| format!("line {}: {error}", number + 1))?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|error| format!("cannot write a reply: {error}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // The default hook would print panics; the wire reports them as crashed instances instead, see wire.rs.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("onyxrock-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
