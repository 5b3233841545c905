//! Tests of the capacity table: its arithmetic, the reports that are refused, and the check that the page
//! shows the table of the reports.

use onyxrock_lab::capacity::cost::{Cost, EXPERIMENT, REPORT_VERSION, Slope, Slopes};
use onyxrock_lab::capacity::fit::{Point, fit};
use onyxrock_lab::capacity::size::TWO_YEAR_SIZE;
use onyxrock_lab::capacity::{
    BEGIN_MARKER, Basis, BudgetCheck, Deployment, END_MARKER, Quantity, Reports, Role, Row, first_difference,
    insert_table, rows,
};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A temporary folder of one test, which is removed at its end.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("onyxrock-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
    fn write_report(&self, name: &str, report: &Value) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, report.to_string()).unwrap();
        file
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A report in which every cost is linear without a constant. Its slope is `scale` times its position in
/// [`Cost::ALL`], from 1 on, and it was measured at sizes of up to two million.
fn report(scale: f64) -> Value {
    let slope = |(i, cost): (usize, &Cost)| {
        let unit_cost = scale * (i + 1) as f64;
        let points = [2e3, 2e4, 2e5, 2e6].map(|x| Point { x, y: unit_cost * x }).to_vec();
        (*cost, Slope::new(*cost, fit(points).unwrap()))
    };
    let slopes = Cost::ALL.iter().enumerate().map(slope).collect();
    let results = Slopes { version: REPORT_VERSION, seed: 7, peak_mb: 1.0, resident_share: 1.0, slopes };
    json!({"experiment": EXPERIMENT, "short": false, "claims": [], "figures": results})
}

/// The cost of one item in [`report`] with a scale of 1.
fn unit_cost(cost: Cost) -> f64 {
    (Cost::ALL.iter().position(|c| *c == cost).unwrap() + 1) as f64
}

/// The row with this role, label and quantity.
fn row<'a>(rows: &'a [Row], role: Role, label: &str, quantity: Quantity) -> &'a Row {
    let matching = rows.iter().find(|r| r.role == role && r.label == label && r.quantity == quantity);
    matching.unwrap_or_else(|| panic!("no row {role:?}, {label}"))
}

/// Whether two numbers are equal up to rounding.
fn close(a: f64, b: f64) -> bool {
    (a / b - 1.0).abs() < 1e-6
}

#[test]
fn row_amount_is_count_times_slope_and_is_compared_with_its_budget() {
    let folder = TempFolder::new("rows");
    folder.write_report("slopes-7.json", &report(1.0));
    let reports = Reports::read(&folder.0).unwrap();
    let unpartitioned = rows(&reports, &Deployment::unpartitioned(TWO_YEAR_SIZE));
    let listed = row(&unpartitioned, Role::Forwarder, "destinations listed", Quantity::Memory);
    let bytes = 1.3e6 * unit_cost(Cost::ListedMemory);
    assert!(close(listed.figure.amount, bytes), "{listed:?}");
    assert_eq!((listed.figure.basis, listed.budget), (Basis::Fitted, Some(128e6)));
    assert_eq!(listed.mechanism(), "roster::Directory");
    assert_eq!(listed.slope, Some((Cost::ListedMemory, "slopes-7".to_owned())));
    // At most 20,000 duties are wanted, and each of them costs processor time for each of the 11,000 members.
    let wanted = row(&unpartitioned, Role::Forwarder, "whose the wanted duties are", Quantity::Processor);
    assert!(close(wanted.figure.amount, 2e4 * 11_000.0 * unit_cost(Cost::WantedDutyMemberCpu)), "{wanted:?}");
    let Some(BudgetCheck::Exceeded(factor)) = wanted.budget_check() else { panic!("{wanted:?}") };
    assert!(close(factor, wanted.figure.amount / 2e4));
    // 74 billion messages over 11,000 forwarders are more per forwarder than the largest measured size.
    let backlog = row(&unpartitioned, Role::BacklogHolder, "messages owed", Quantity::Memory);
    assert!(close(backlog.figure.amount, 74e9 / 11_000.0 * unit_cost(Cost::BacklogMemory)));
    assert_eq!(backlog.figure.basis, Basis::Extrapolated);
    let heartbeats = row(&unpartitioned, Role::Coordinator, "signs of life to all", Quantity::Traffic);
    assert!(close(heartbeats.figure.amount, 11_000.0 / 0.75 * unit_cost(Cost::BroadcastBytes)));
}

#[test]
fn sum_row_adds_the_rows_of_its_role_and_quantity() {
    let folder = TempFolder::new("sums");
    folder.write_report("slopes-7.json", &report(1.0));
    let reports = Reports::read(&folder.0).unwrap();
    let unpartitioned = rows(&reports, &Deployment::unpartitioned(TWO_YEAR_SIZE));
    for (label, quantity) in [
        ("memory for control", Quantity::Memory),
        ("processor time for control", Quantity::Processor),
        ("bytes for control", Quantity::Traffic),
    ] {
        let sum = row(&unpartitioned, Role::Forwarder, label, quantity);
        let parts = unpartitioned.iter().filter(|r| r.role == Role::Forwarder && r.quantity == quantity);
        let parts: f64 = parts.filter(|r| r.slope.is_some()).map(|r| r.figure.amount).sum();
        assert!(parts > 0.0 && close(sum.figure.amount, parts), "{sum:?}");
    }
}

#[test]
fn fewer_senders_per_destination_reduce_costs_per_destination_and_not_costs_per_member() {
    let folder = TempFolder::new("partitioned");
    folder.write_report("slopes-7.json", &report(1.0));
    let reports = Reports::read(&folder.0).unwrap();
    let unpartitioned = rows(&reports, &Deployment::unpartitioned(TWO_YEAR_SIZE));
    let partitioned = rows(&reports, &Deployment::partitioned(TWO_YEAR_SIZE, 3.0).unwrap());
    assert_eq!(unpartitioned.len(), partitioned.len());
    let listed = |rows| row(rows, Role::Forwarder, "destinations listed", Quantity::Memory).figure.amount;
    assert!(close(listed(&partitioned), listed(&unpartitioned) * 3.0 / 11_000.0));
    let members = |rows| row(rows, Role::Forwarder, "members watched", Quantity::Memory).figure.amount;
    assert!(close(members(&partitioned), members(&unpartitioned)), "the number of members is the same");
    let all = Deployment::partitioned(TWO_YEAR_SIZE, 11_000.0).unwrap();
    assert!(close(listed(&rows(&reports, &all)), listed(&unpartitioned)));
    assert!(
        Deployment::partitioned(TWO_YEAR_SIZE, 0.5).is_err()
            && Deployment::partitioned(TWO_YEAR_SIZE, 11_001.0).is_err()
    );
}

#[test]
fn highest_cost_of_several_reports_is_used() {
    let folder = TempFolder::new("two");
    folder.write_report("slopes-7.json", &report(1.0));
    folder.write_report("slopes-8.json", &report(1.5));
    let reports = Reports::read(&folder.0).unwrap();
    let (figure, name) = reports.cost_at(Cost::ListedMemory, 1_000.0);
    assert!(close(figure.amount, 1_500.0 * unit_cost(Cost::ListedMemory)) && name == "slopes-8");
}

/// Runs the command `capacity`.
fn capacity(args: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxrock-lab"));
    command.arg("capacity").args(args).output().unwrap()
}

/// The error message of the command for a folder that it refuses, with exit code 2 and nothing on stdout.
fn refusal(folder: &TempFolder) -> String {
    let out = capacity(&[Path::new("--reports"), &folder.0]);
    let error = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), error.lines().count(), out.stdout.len()), (Some(2), 1, 0), "{error}");
    error
}

#[test]
fn unusable_report_is_refused_with_one_line_that_names_it() {
    let refusal_after = |change: fn(&mut Value)| {
        let folder = TempFolder::new("refused");
        folder.write_report("slopes-7.json", &report(1.0));
        let mut other = report(1.0);
        change(&mut other);
        folder.write_report("slopes-8.json", &other);
        refusal(&folder)
    };
    let error = refusal_after(|r| r["figures"]["version"] = json!(REPORT_VERSION + 1));
    assert!(error.ends_with("slopes-8.json: unsupported report version 2, expected 1\n"), "{error}");
    let error =
        refusal_after(|r| drop(r["figures"]["slopes"].as_object_mut().unwrap().remove("list_change_cpu")));
    assert!(error.ends_with("slopes-8.json: the slope list_change_cpu is missing\n"), "{error}");
    let error = refusal_after(|r| r["short"] = json!(true));
    assert!(
        error.ends_with("slopes-8.json: the report is of the short form, which is not used for the table\n"),
        "{error}"
    );
    let error = refusal_after(|r| drop(r["figures"].as_object_mut().unwrap().remove("version")));
    assert!(error.ends_with("slopes-8.json: the report has no version\n"), "{error}");
    let error = refusal_after(|r| *r = json!([1]));
    assert!(error.contains("slopes-8.json: not a report"), "{error}");
    let empty = TempFolder::new("empty");
    assert!(refusal(&empty).contains("no report of the experiment \"slopes\""));
}

#[test]
fn claims_of_a_scale_run_are_shown_if_its_report_exists() {
    let folder = TempFolder::new("scale");
    folder.write_report("slopes-7.json", &report(1.0));
    let table = || String::from_utf8(capacity(&[Path::new("--reports"), &folder.0]).stdout).unwrap();
    assert!(table().contains("not measured"));
    let claim = json!({"name": "control_mb", "value": 31.5, "bound": 128.0, "held": true, "sense": "<=",
        "unit": "MB"});
    let not_measured = json!({"name": "hollow_agrees", "value": null, "bound": 1.3, "held": false,
        "sense": "<=", "unit": "times"});
    folder.write_report(
        "scale-7.json",
        &json!({"experiment": "scale", "claims": [claim, not_measured], "figures": {}}),
    );
    let table = table();
    assert!(table.contains("| scale-7 | control_mb | 31.5 | <= 128 MB | held |"), "{table}");
    assert!(table.contains("| hollow_agrees | not measured | <= 1.30 times | **not held** |"), "{table}");
}

#[test]
fn check_fails_if_the_page_or_the_reports_change_and_the_other_does_not() {
    let folder = TempFolder::new("check");
    folder.write_report("slopes-7.json", &report(1.0));
    let page = folder.0.join("page.md");
    std::fs::write(&page, format!("# Page\n\n{BEGIN_MARKER}\n{END_MARKER}\n\nBelow.\n")).unwrap();
    let reports = [Path::new("--reports"), folder.0.as_path()];
    let check = || capacity(&[reports[0], reports[1], Path::new("--check"), &page]).status.code();
    assert_eq!(check(), Some(1), "the page has no table yet");
    capacity(&[reports[0], reports[1], Path::new("--write"), &page]);
    assert_eq!(check(), Some(0));
    let text = std::fs::read_to_string(&page).unwrap();
    assert!(text.starts_with("# Page\n") && text.ends_with("\nBelow.\n"));
    let cell = "holds, ";
    assert!(text.contains(cell));
    std::fs::write(&page, text.replacen(cell, "holds,  ", 1)).unwrap();
    assert_eq!(check(), Some(1), "one cell differs");
    std::fs::write(&page, text.replace(END_MARKER, &format!("| one more |\n{END_MARKER}"))).unwrap();
    assert_eq!(check(), Some(1), "the page has one more line");
    std::fs::write(&page, text.replace(BEGIN_MARKER, "")).unwrap();
    assert_eq!(check(), Some(2), "the page has no marker");
    // The reports change and the page does not.
    std::fs::write(&page, &text).unwrap();
    folder.write_report("slopes-7.json", &report(2.0));
    assert_eq!(check(), Some(1));
}

#[test]
fn difference_shows_the_first_differing_line() {
    let page = insert_table(&format!("{BEGIN_MARKER}{END_MARKER}"), "a\nb").unwrap();
    assert_eq!(first_difference(&page, "a\nb"), Ok(None));
    assert_eq!(first_difference(&page, "a\nc"), Ok(Some("  page:    b\n  reports: c".to_owned())));
    assert_eq!(first_difference(&page, "a"), Ok(Some("  page:    b\n  reports: (nothing)".to_owned())));
    assert!(first_difference("no markers", "a").is_err());
}
