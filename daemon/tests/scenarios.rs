//! Plays the scenarios in tests/scenarios against the program itself, on sockets of this machine.
//!
//! A scenario is lines of `send WHO ...`, `expect WHO ...`, `close WHO` and `wait MILLISECONDS`, after lines of
//! `given ...` that name who is there. `expect` waits for the event, however long it takes within a bound; only
//! `expect WHO nothing MILLISECONDS` looks at the clock, and can pass wrongly but never fail wrongly.

#[allow(dead_code)] // other tests use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn scenario(#[files("tests/scenarios/*.scn")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the scenario is there");
    let mut harness = Harness::default();
    for (i, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if let Err(e) = harness.run_step(&words) {
            panic!("{}:{}: {line}\n{e}\nlog:\n{}", path.display(), i + 1, harness.log());
        }
    }
}
