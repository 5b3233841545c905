//! The result of an experiment: claims and figures.

use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// Figures whose JSON is longer are left out of the table.
const MAX_SHOWN_BYTES: usize = 4_000;

/// A figure with a bound that it must keep.
#[derive(Clone, Debug, Serialize)]
pub struct Claim {
    pub name: &'static str,
    pub value: f64,
    /// The maximum of the value, or its minimum, as `sense` says.
    pub bound: f64,
    /// Whether the value keeps the bound.
    pub held: bool,
    /// How the value has to compare to the bound: `"<="` or `">="`.
    pub sense: &'static str,
    pub unit: &'static str,
}

impl Claim {
    /// Claims that a value is at most this bound. A value that was not measured is NaN, and its claim does
    /// not hold.
    pub fn at_most(name: &'static str, value: f64, bound: f64, unit: &'static str) -> Claim {
        Claim { name, value, bound, held: value <= bound, sense: "<=", unit }
    }
    /// Claims that a value is at least this bound. The claim of a NaN does not hold.
    pub fn at_least(name: &'static str, value: f64, bound: f64, unit: &'static str) -> Claim {
        Claim { name, value, bound, held: value >= bound, sense: ">=", unit }
    }
}

/// What `report.json` holds.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    /// Whether the short form was run.
    pub short: bool,
    pub claims: Vec<Claim>,
    /// Figures without a bound.
    pub figures: Value,
}

impl Report {
    /// Whether there are claims and all of them hold.
    pub fn all_claims_hold(&self) -> bool {
        !self.claims.is_empty() && self.claims.iter().all(|c| c.held)
    }

    /// Formats the claims and the short figures for the terminal.
    pub fn table(&self) -> String {
        let mut out = format!("{}{}\n", self.experiment, if self.short { " (short)" } else { "" });
        for claim in &self.claims {
            let number = |n: f64| if n.fract() == 0.0 { format!("{n:.0}") } else { format!("{n:.2}") };
            out += &format!(
                "  {:<24} {:>10} {} {:<8} {:<10} {}\n",
                claim.name,
                number(claim.value),
                claim.sense,
                number(claim.bound),
                claim.unit,
                if claim.held { "held" } else { "NOT HELD" }
            );
        }
        if let Value::Object(figures) = &self.figures {
            for (name, figure) in figures {
                let text = figure.to_string();
                let text = if text.len() > MAX_SHOWN_BYTES { "see report.json" } else { &text };
                out += &format!("  {name}: {text}\n");
            }
        }
        out
    }

    /// Writes `report.json` into the folder.
    pub fn write_json(&self, folder: &Path) -> Result<(), String> {
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        let file = folder.join("report.json");
        std::fs::write(&file, text + "\n").map_err(|e| format!("cannot write {}: {e}", file.display()))
    }
}

/// Returns the maximum number of events in any span of `span` seconds. An event at the end of the span does
/// not count.
pub fn max_in_span(times: &[f64], span: f64) -> usize {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    let (mut first, mut max) = (0, 0);
    for (last, time) in times.iter().enumerate() {
        while time - times[first] >= span {
            first += 1;
        }
        max = max.max(last + 1 - first);
    }
    max
}

/// Returns the smallest of the values that at least this share of them does not exceed; NaN if there are no
/// values.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_claim_without_a_measurement_does_not_hold() {
        assert!(
            !Claim::at_most("x", f64::NAN, 1.0, "").held && !Claim::at_least("x", f64::NAN, 1.0, "").held
        );
        let empty = Report { experiment: "x".into(), short: false, claims: vec![], figures: Value::Null };
        assert!(!empty.all_claims_hold());
    }

    #[test]
    fn event_counts_and_quantiles_match_known_values() {
        assert_eq!(max_in_span(&[0.0, 1.0, 0.5, 1.4], 1.0), 3);
        assert_eq!(max_in_span(&[], 1.0), 0);
        assert_eq!(quantile(&[1.0, 2.0, 3.0, 4.0], 0.5), 2.0);
        assert_eq!(quantile(&[1.0, 2.0, 3.0], 0.99), 3.0);
        assert!(quantile(&[], 0.5).is_nan());
    }
}
