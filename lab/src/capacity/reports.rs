//! The reports that the table is worked out from.

use super::cost::{Cost, EXPERIMENT, Slopes, VERSION};
use super::figure::{Basis, Figure};
use super::fit::Fit;
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;

/// The experiment with hollow forwarders.
const SCALE: &str = "scale";

/// A report of slopes, by the name of its file.
#[derive(Clone, Debug)]
pub struct Measured {
    pub name: String,
    pub slopes: Slopes,
}

/// A claim of another experiment's report.
#[derive(Clone, Debug, Deserialize)]
pub struct Claimed {
    pub name: String,
    /// What was not measured is no number.
    pub value: Option<f64>,
    pub bound: f64,
    pub held: bool,
    pub sense: String,
    pub unit: String,
}

#[derive(Deserialize)]
struct Head {
    experiment: String,
    #[serde(default)]
    short: bool,
    #[serde(default)]
    claims: Vec<Claimed>,
    #[serde(default)]
    figures: Value,
}

/// All reports of a folder.
#[derive(Clone, Debug)]
pub struct Reports {
    pub slopes: Vec<Measured>,
    /// Claims of the scale runs, by report.
    pub scale: Vec<(String, Vec<Claimed>)>,
}

impl Reports {
    /// Reads the reports of a folder, in the order of their names. Those of other experiments are left out.
    ///
    /// # Errors
    /// One line names the report that cannot be used, or says that there is none.
    pub fn read(folder: &Path) -> Result<Reports, String> {
        let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut files: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
        files.retain(|f| f.extension().is_some_and(|e| e == "json"));
        files.sort();
        let mut reports = Reports { slopes: Vec::new(), scale: Vec::new() };
        for file in files {
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            reports.take(&name, &text).map_err(|why| format!("{}: {why}", file.display()))?;
        }
        if reports.slopes.is_empty() {
            return Err(format!("{}: no report of the experiment \"{EXPERIMENT}\"", folder.display()));
        }
        Ok(reports)
    }

    fn take(&mut self, name: &str, text: &str) -> Result<(), String> {
        let head: Head = serde_json::from_str(text).map_err(|e| format!("it is no report: {e}"))?;
        match head.experiment.as_str() {
            EXPERIMENT => {
                let slopes = slopes(&head)?;
                self.slopes.push(Measured { name: name.to_owned(), slopes });
            }
            SCALE => self.scale.push((name.to_owned(), head.claims)),
            _ => {}
        }
        Ok(())
    }

    /// The cost at a size by the report in which it is highest, and the name of that report.
    #[must_use]
    pub fn cost(&self, cost: Cost, x: f64) -> (Figure, &str) {
        let at = |fit: &Fit| Figure { amount: fit.at(x), basis: Basis::of(fit, x) };
        self.worst(cost, at)
    }

    /// The same of one, as part of many.
    #[must_use]
    pub fn each(&self, cost: Cost) -> (Figure, &str) {
        let basis = |fit: &Fit| if fit.is_straight() { Basis::Fitted } else { Basis::Bent };
        self.worst(cost, |fit| Figure { amount: fit.each(), basis: basis(fit) })
    }

    fn worst(&self, cost: Cost, figure: impl Fn(&Fit) -> Figure) -> (Figure, &str) {
        let of = |m: &'_ Measured| Some(figure(&m.slopes.slopes.get(&cost)?.fit));
        let each = self.slopes.iter().filter_map(|m| Some((of(m)?, m.name.as_str())));
        let worst = each.max_by(|a, b| a.0.amount.total_cmp(&b.0.amount));
        worst.unwrap_or((Figure { amount: f64::NAN, basis: Basis::Estimate }, "none"))
    }
}

fn slopes(head: &Head) -> Result<Slopes, String> {
    if head.short {
        return Err("it is of the short form".into());
    }
    match head.figures["version"].as_u64() {
        Some(version) if version == u64::from(VERSION) => {}
        Some(version) => return Err(format!("it is of version {version}, {VERSION} is read")),
        None => return Err("it names no version".into()),
    }
    if let Some(cost) = Cost::ALL.iter().find(|c| head.figures["slopes"][c.name()].is_null()) {
        return Err(format!("the slope {} is missing", cost.name()));
    }
    serde_json::from_value(head.figures.clone()).map_err(|e| format!("it is no report of slopes: {e}"))
}
