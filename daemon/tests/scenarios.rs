//! Runs the scenarios in tests/scenarios against a real daemon process over loopback sockets.
//!
//! A scenario first names its simulated peers in lines of `given ...`. Lines of `send NAME ...`, `expect NAME
//! ...`, `close NAME` and `wait MILLISECONDS` follow. `expect` waits for the event up to a time limit that
//! only a failing test reaches. Only `expect NAME nothing MILLISECONDS` depends on the clock: on a slow
//! machine it may miss a fault, but it never reports one that is not there.

#[allow(dead_code)] // the scenarios use a part of the harness; other tests use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn scenario(#[files("tests/scenarios/*.scn")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the scenario file is readable");
    let mut harness = Harness::default();
    for (index, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if let Err(e) = harness.run_step(&words) {
            panic!("{}:{}: {line}\n{e}\nlog:\n{}", path.display(), index + 1, harness.log());
        }
    }
}
