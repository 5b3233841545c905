//! Test of the short form of the experiment `slopes`, run as a separate process.

use onyxrock_lab::capacity::cost::{Cost, EXPERIMENT, REPORT_VERSION, Slopes};
use onyxrock_lab::capacity::fit::MIN_POINTS;
use serde_json::Value;
use std::process::Command;

/// Costs that are counted and not timed, so that other load on the machine does not change them.
const COUNTED: &[Cost] = &[
    Cost::ListedMemory,
    Cost::ActiveMemory,
    Cost::DownMemory,
    Cost::RetainedHealthMemory,
    Cost::WantedDutyMemory,
    Cost::HolderLeaseMemory,
    Cost::VoterLeaseMemory,
    Cost::BacklogDisk,
    Cost::ListChangeBytes,
    Cost::CompleteListBytes,
    Cost::WatchAnswerBytes,
    Cost::VoterLeaseBytes,
    Cost::BroadcastBytes,
];

#[test]
fn short_form_measures_every_slope_and_counted_costs_are_linear() {
    let folder = std::env::temp_dir().join(format!("onyxrock-slopes-{}", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxrock-lab"));
    command.args(["run", "slopes", "--short", "--daemon", "/none", "--out"]).arg(&folder);
    let out = command.output().unwrap();
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    let text =
        std::fs::read_to_string(folder.join("report.json")).unwrap_or_else(|e| panic!("{e}: {stderr}"));
    std::fs::remove_dir_all(&folder).unwrap();
    let report: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((&report["experiment"], &report["short"]), (&EXPERIMENT.into(), &true.into()));
    let results: Slopes = serde_json::from_value(report["figures"].clone()).unwrap();
    assert_eq!((results.version, results.seed), (REPORT_VERSION, 7));
    for cost in Cost::ALL {
        let slope = results.slopes.get(cost).unwrap_or_else(|| panic!("no {cost:?}"));
        assert!(slope.fit.points.len() >= MIN_POINTS && slope.fit.unit_cost_at_largest() > 0.0, "{slope:?}");
    }
    for cost in COUNTED {
        assert!(results.slopes[cost].fit.is_linear(), "{}", results.slopes[cost].line(*cost));
    }
    // A message of the backlog contains its body of 256 bytes, in memory and in the log.
    for cost in [Cost::BacklogMemory, Cost::BacklogDisk] {
        assert!(results.slopes[&cost].fit.unit_cost() > 256.0, "{}", results.slopes[&cost].line(cost));
    }
    // The policy engine is a part of the ledger, so its memory for a message is smaller.
    let unit_cost = |cost| results.slopes[&cost].fit.unit_cost_at_largest();
    assert!(unit_cost(Cost::EngineMessageMemory) < unit_cost(Cost::BacklogMemory));
}
