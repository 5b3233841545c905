//! The table of what each role costs: its arithmetic, the reports that it refuses, and the page that must not drift.

use onyxrock_lab::capacity::cost::{Cost, EXPERIMENT, Slope, Slopes, VERSION};
use onyxrock_lab::capacity::fit::{Point, fit};
use onyxrock_lab::capacity::size::TWO_YEARS;
use onyxrock_lab::capacity::{
    BEGIN, Basis, Deployment, END, Quantity, Reports, Role, Row, Verdict, difference, put, rows,
};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A folder of the test's own.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxrock-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
    fn put(&self, name: &str, report: &Value) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, report.to_string()).unwrap();
        file
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Each cost grows by `scale` times its place among all, from one, and has been measured at up to two million.
fn report(scale: f64) -> Value {
    let slope = |(i, cost): (usize, &Cost)| {
        let of_one = scale * (i + 1) as f64;
        let points = [2e3, 2e4, 2e5, 2e6].map(|x| Point { x, y: of_one * x }).to_vec();
        (*cost, Slope::new(*cost, fit(points).unwrap()))
    };
    let slopes = Cost::ALL.iter().enumerate().map(slope).collect();
    let found = Slopes { version: VERSION, seed: 7, peak_mb: 1.0, resident_share: 1.0, slopes };
    json!({"experiment": EXPERIMENT, "short": false, "claims": [], "figures": found})
}

fn of_one(cost: Cost) -> f64 {
    (Cost::ALL.iter().position(|c| *c == cost).unwrap() + 1) as f64
}

fn row<'a>(rows: &'a [Row], role: Role, what: &str, quantity: Quantity) -> &'a Row {
    let found = rows.iter().find(|r| r.role == role && r.what == what && r.quantity == quantity);
    found.unwrap_or_else(|| panic!("no row {role:?}, {what}"))
}

fn close(a: f64, b: f64) -> bool {
    (a / b - 1.0).abs() < 1e-6
}

#[test]
fn a_row_is_its_count_times_its_slope_beside_its_budget() {
    let folder = Folder::new("rows");
    folder.put("slopes-7.json", &report(1.0));
    let reports = Reports::read(&folder.0).unwrap();
    let flat = rows(&reports, &Deployment::flat(TWO_YEARS));
    let listed = row(&flat, Role::Forwarder, "destinations listed", Quantity::Memory);
    let bytes = 1.3e6 * of_one(Cost::ListedMemory);
    assert!(close(listed.figure.amount, bytes), "{listed:?}");
    assert_eq!((listed.figure.basis, listed.budget), (Basis::Fitted, Some(128e6)));
    assert_eq!(listed.mechanism(), "roster::Directory");
    assert_eq!(listed.slope, Some((Cost::ListedMemory, "slopes-7".to_owned())));
    // 20,000 duties are wanted at most, and each costs time for each of 11,000 members.
    let wanted = row(&flat, Role::Forwarder, "whose the wanted duties are", Quantity::Processor);
    assert!(close(wanted.figure.amount, 2e4 * 11_000.0 * of_one(Cost::WantedMemberCpu)), "{wanted:?}");
    let Some(Verdict::Fails(by)) = wanted.verdict() else { panic!("{wanted:?}") };
    assert!(close(by, wanted.figure.amount / 2e4));
    // 74 billion over 11,000 forwarders are beyond what was measured.
    let backlog = row(&flat, Role::BacklogHolder, "messages owed", Quantity::Memory);
    assert!(close(backlog.figure.amount, 74e9 / 11_000.0 * of_one(Cost::BacklogMemory)));
    assert_eq!(backlog.figure.basis, Basis::Extrapolated);
    let told = row(&flat, Role::Coordinator, "signs of life to all", Quantity::Traffic);
    assert!(close(told.figure.amount, 11_000.0 / 0.75 * of_one(Cost::TellAllBytes)));
}

#[test]
fn a_sum_is_that_of_the_rows_of_its_role_and_quantity() {
    let folder = Folder::new("sums");
    folder.put("slopes-7.json", &report(1.0));
    let reports = Reports::read(&folder.0).unwrap();
    let flat = rows(&reports, &Deployment::flat(TWO_YEARS));
    for (what, quantity) in [
        ("memory for control", Quantity::Memory),
        ("processor time for control", Quantity::Processor),
        ("bytes for control", Quantity::Traffic),
    ] {
        let sum = row(&flat, Role::Forwarder, what, quantity);
        let parts = flat.iter().filter(|r| r.role == Role::Forwarder && r.quantity == quantity);
        let parts: f64 = parts.filter(|r| r.slope.is_some()).map(|r| r.figure.amount).sum();
        assert!(parts > 0.0 && close(sum.figure.amount, parts), "{sum:?}");
    }
}

#[test]
fn with_few_senders_of_each_destination_what_is_counted_by_destination_falls() {
    let folder = Folder::new("owned");
    folder.put("slopes-7.json", &report(1.0));
    let reports = Reports::read(&folder.0).unwrap();
    let flat = rows(&reports, &Deployment::flat(TWO_YEARS));
    let owned = rows(&reports, &Deployment::owned(TWO_YEARS, 3.0).unwrap());
    assert_eq!(flat.len(), owned.len());
    let listed = |rows| row(rows, Role::Forwarder, "destinations listed", Quantity::Memory).figure.amount;
    assert!(close(listed(&owned), listed(&flat) * 3.0 / 11_000.0));
    let members = |rows| row(rows, Role::Forwarder, "members watched", Quantity::Memory).figure.amount;
    assert!(close(members(&owned), members(&flat)), "they are as many as before");
    let all = Deployment::owned(TWO_YEARS, 11_000.0).unwrap();
    assert!(close(listed(&rows(&reports, &all)), listed(&flat)));
    assert!(Deployment::owned(TWO_YEARS, 0.5).is_err() && Deployment::owned(TWO_YEARS, 11_001.0).is_err());
}

#[test]
fn of_two_reports_the_worse_counts() {
    let folder = Folder::new("two");
    folder.put("slopes-7.json", &report(1.0));
    folder.put("slopes-8.json", &report(1.5));
    let reports = Reports::read(&folder.0).unwrap();
    let (figure, name) = reports.cost(Cost::ListedMemory, 1_000.0);
    assert!(close(figure.amount, 1_500.0 * of_one(Cost::ListedMemory)) && name == "slopes-8");
}

fn capacity(args: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxrock-lab"));
    command.arg("capacity").args(args).output().unwrap()
}

/// What it says before it ends with 2.
fn refusal(folder: &Folder) -> String {
    let out = capacity(&[Path::new("--reports"), &folder.0]);
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), said.lines().count(), out.stdout.len()), (Some(2), 1, 0), "{said}");
    said
}

#[test]
fn a_report_that_cannot_be_used_is_named_in_one_line() {
    let with = |change: fn(&mut Value)| {
        let folder = Folder::new("refused");
        folder.put("slopes-7.json", &report(1.0));
        let mut other = report(1.0);
        change(&mut other);
        folder.put("slopes-8.json", &other);
        refusal(&folder)
    };
    let said = with(|r| r["figures"]["version"] = json!(VERSION + 1));
    assert!(said.ends_with("slopes-8.json: it is of version 2, 1 is read\n"), "{said}");
    let said = with(|r| drop(r["figures"]["slopes"].as_object_mut().unwrap().remove("list_change_cpu")));
    assert!(said.ends_with("slopes-8.json: the slope list_change_cpu is missing\n"), "{said}");
    let said = with(|r| r["short"] = json!(true));
    assert!(said.ends_with("slopes-8.json: it is of the short form\n"), "{said}");
    let said = with(|r| drop(r["figures"].as_object_mut().unwrap().remove("version")));
    assert!(said.ends_with("slopes-8.json: it names no version\n"), "{said}");
    let said = with(|r| *r = json!([1]));
    assert!(said.contains("slopes-8.json: it is no report"), "{said}");
    let empty = Folder::new("empty");
    assert!(refusal(&empty).contains("no report of the experiment \"slopes\""));
}

#[test]
fn a_scale_run_is_shown_if_it_is_there() {
    let folder = Folder::new("scale");
    folder.put("slopes-7.json", &report(1.0));
    let shown = || String::from_utf8(capacity(&[Path::new("--reports"), &folder.0]).stdout).unwrap();
    assert!(shown().contains("not measured"));
    let claim = json!({"name": "control_mb", "value": 31.5, "bound": 128.0, "held": true, "sense": "<=",
        "unit": "MB"});
    let lost = json!({"name": "hollow_agrees", "value": null, "bound": 1.3, "held": false, "sense": "<=",
        "unit": "times"});
    folder.put("scale-7.json", &json!({"experiment": "scale", "claims": [claim, lost], "figures": {}}));
    let shown = shown();
    assert!(shown.contains("| scale-7 | control_mb | 31.5 | <= 128 MB | held |"), "{shown}");
    assert!(shown.contains("| hollow_agrees | not measured | <= 1.30 times | **not held** |"), "{shown}");
}

#[test]
fn a_changed_cell_of_the_page_is_found() {
    let folder = Folder::new("drift");
    folder.put("slopes-7.json", &report(1.0));
    let page = folder.0.join("page.md");
    std::fs::write(&page, format!("# Page\n\n{BEGIN}\n{END}\n\nBelow.\n")).unwrap();
    let reports = [Path::new("--reports"), folder.0.as_path()];
    let check = || capacity(&[reports[0], reports[1], Path::new("--check"), &page]).status.code();
    assert_eq!(check(), Some(1), "the table is not there yet");
    capacity(&[reports[0], reports[1], Path::new("--write"), &page]);
    assert_eq!(check(), Some(0));
    let text = std::fs::read_to_string(&page).unwrap();
    assert!(text.starts_with("# Page\n") && text.ends_with("\nBelow.\n"));
    let cell = "holds, ";
    assert!(text.contains(cell));
    std::fs::write(&page, text.replacen(cell, "holds,  ", 1)).unwrap();
    assert_eq!(check(), Some(1), "one cell is another");
    std::fs::write(&page, text.replace(END, &format!("| one more |\n{END}"))).unwrap();
    assert_eq!(check(), Some(1), "there is one more line");
    std::fs::write(&page, text.replace(BEGIN, "")).unwrap();
    assert_eq!(check(), Some(2), "there is no place for it");
    // The reports change, the page does not.
    std::fs::write(&page, &text).unwrap();
    folder.put("slopes-7.json", &report(2.0));
    assert_eq!(check(), Some(1));
}

#[test]
fn a_difference_names_the_line() {
    let page = put(&format!("{BEGIN}{END}"), "a\nb").unwrap();
    assert_eq!(difference(&page, "a\nb"), Ok(None));
    assert_eq!(difference(&page, "a\nc"), Ok(Some("  page:    b\n  reports: c".to_owned())));
    assert_eq!(difference(&page, "a"), Ok(Some("  page:    b\n  reports: (nothing)".to_owned())));
    assert!(difference("no place", "a").is_err());
}
