//! Reads the reports from which the table is computed.

use super::cost::{Cost, EXPERIMENT, REPORT_VERSION, Slopes};
use super::figure::{Basis, Figure};
use super::fit::Fit;
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;

/// Name of the experiment with thousands of emulated forwarders.
const SCALE_EXPERIMENT: &str = "scale";

/// A report of the slopes experiment.
#[derive(Clone, Debug)]
pub struct SlopesReport {
    /// The name of the report's file, without the extension.
    pub name: String,
    pub slopes: Slopes,
}

/// A claim in a report of a scale run.
#[derive(Clone, Debug, Deserialize)]
pub struct ScaleClaim {
    pub name: String,
    /// `None` if the value was not measured.
    pub value: Option<f64>,
    pub bound: f64,
    pub held: bool,
    pub sense: String,
    pub unit: String,
}

/// The parts of any experiment's report that are read here.
#[derive(Deserialize)]
struct ReportFile {
    experiment: String,
    #[serde(default)]
    short: bool,
    #[serde(default)]
    claims: Vec<ScaleClaim>,
    #[serde(default)]
    figures: Value,
}

/// All reports of a folder that the table uses.
#[derive(Clone, Debug)]
pub struct Reports {
    /// Reports of the slopes experiment.
    pub slopes: Vec<SlopesReport>,
    /// Claims of the scale runs, by the name of the report.
    pub scale_claims: Vec<(String, Vec<ScaleClaim>)>,
}

impl Reports {
    /// Reads the reports of a folder, in the order of their names. Reports of other experiments are ignored.
    ///
    /// # Errors
    /// One line that names the unusable report, or says that the folder has no report of the slopes
    /// experiment.
    pub fn read(folder: &Path) -> Result<Reports, String> {
        let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut files: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
        files.retain(|f| f.extension().is_some_and(|e| e == "json"));
        files.sort();
        let mut reports = Reports { slopes: Vec::new(), scale_claims: Vec::new() };
        for file in files {
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            reports.add_report(&name, &text).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        if reports.slopes.is_empty() {
            return Err(format!("{}: no report of the experiment \"{EXPERIMENT}\"", folder.display()));
        }
        Ok(reports)
    }

    fn add_report(&mut self, name: &str, text: &str) -> Result<(), String> {
        let file: ReportFile = serde_json::from_str(text).map_err(|e| format!("not a report: {e}"))?;
        match file.experiment.as_str() {
            EXPERIMENT => {
                let slopes = parse_slopes(&file)?;
                self.slopes.push(SlopesReport { name: name.to_owned(), slopes });
            }
            SCALE_EXPERIMENT => self.scale_claims.push((name.to_owned(), file.claims)),
            _ => {}
        }
        Ok(())
    }

    /// The cost at a size in the report in which it is highest, and the name of that report.
    #[must_use]
    pub fn cost_at(&self, cost: Cost, size: f64) -> (Figure, &str) {
        let figure = |fit: &Fit| Figure { amount: fit.cost_at(size), basis: Basis::of(fit, size) };
        self.highest(cost, figure)
    }

    /// The cost of one item among many, in the report in which it is highest, and the name of that report.
    #[must_use]
    pub fn unit_cost(&self, cost: Cost) -> (Figure, &str) {
        let basis = |fit: &Fit| if fit.is_linear() { Basis::Fitted } else { Basis::Nonlinear };
        self.highest(cost, |fit| Figure { amount: fit.unit_cost(), basis: basis(fit) })
    }

    fn highest(&self, cost: Cost, figure: impl Fn(&Fit) -> Figure) -> (Figure, &str) {
        let in_report = |r: &'_ SlopesReport| Some(figure(&r.slopes.slopes.get(&cost)?.fit));
        let figures = self.slopes.iter().filter_map(|r| Some((in_report(r)?, r.name.as_str())));
        let highest = figures.max_by(|a, b| a.0.amount.total_cmp(&b.0.amount));
        highest.unwrap_or((Figure { amount: f64::NAN, basis: Basis::Estimate }, "none"))
    }
}

/// The figures of a report of the slopes experiment, if the report can be used for the table.
fn parse_slopes(file: &ReportFile) -> Result<Slopes, String> {
    if file.short {
        return Err("the report is of the short form, which is not used for the table".into());
    }
    match file.figures["version"].as_u64() {
        Some(version) if version == u64::from(REPORT_VERSION) => {}
        Some(version) => {
            return Err(format!("unsupported report version {version}, expected {REPORT_VERSION}"));
        }
        None => return Err("the report has no version".into()),
    }
    if let Some(cost) = Cost::ALL.iter().find(|c| file.figures["slopes"][c.name()].is_null()) {
        return Err(format!("the slope {} is missing", cost.name()));
    }
    serde_json::from_value(file.figures.clone()).map_err(|e| format!("invalid figures of slopes: {e}"))
}
