//! The short form of the experiment, as a process of its own.

use onyxrock_lab::capacity::cost::{Cost, EXPERIMENT, Slopes, VERSION};
use onyxrock_lab::capacity::fit::POINTS_LEAST;
use serde_json::Value;
use std::process::Command;

/// Costs that are counted: what else the machine does changes nothing about them.
const COUNTED: &[Cost] = &[
    Cost::ListedMemory,
    Cost::ActiveMemory,
    Cost::DownMemory,
    Cost::RestingMemory,
    Cost::WantedMemory,
    Cost::HolderLeaseMemory,
    Cost::VoterLeaseMemory,
    Cost::BacklogDisk,
    Cost::ListChangeBytes,
    Cost::WholeListBytes,
    Cost::WatchAnswerBytes,
    Cost::VoterLeaseBytes,
    Cost::TellAllBytes,
];

#[test]
fn the_short_form_finds_every_slope_and_what_is_counted_is_straight() {
    let folder = std::env::temp_dir().join(format!("onyxrock-slopes-{}", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxrock-lab"));
    command.args(["run", "slopes", "--short", "--daemon", "/none", "--out"]).arg(&folder);
    let out = command.output().unwrap();
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    let text = std::fs::read_to_string(folder.join("report.json")).unwrap_or_else(|e| panic!("{e}: {said}"));
    std::fs::remove_dir_all(&folder).unwrap();
    let report: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((&report["experiment"], &report["short"]), (&EXPERIMENT.into(), &true.into()));
    let found: Slopes = serde_json::from_value(report["figures"].clone()).unwrap();
    assert_eq!((found.version, found.seed), (VERSION, 7));
    for cost in Cost::ALL {
        let slope = found.slopes.get(cost).unwrap_or_else(|| panic!("no {cost:?}"));
        assert!(slope.fit.points.len() >= POINTS_LEAST && slope.fit.each_at_largest() > 0.0, "{slope:?}");
    }
    for cost in COUNTED {
        assert!(found.slopes[cost].fit.is_straight(), "{}", found.slopes[cost].line(*cost));
    }
    // A message of backlog holds its body of 256 bytes, in memory and in the log.
    for cost in [Cost::BacklogMemory, Cost::BacklogDisk] {
        assert!(found.slopes[&cost].fit.each() > 256.0, "{}", found.slopes[&cost].line(cost));
    }
    // The engine is a part of all that holds a message.
    let each = |cost| found.slopes[&cost].fit.each_at_largest();
    assert!(each(Cost::HeldMemory) < each(Cost::BacklogMemory));
}
