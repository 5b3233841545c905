//! What an experiment ends in.

use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// Longer figures are not shown beside the claims.
const MAX_SHOWN_BYTES: usize = 4_000;

/// One claim.
#[derive(Clone, Debug, Serialize)]
pub struct Claim {
    pub name: &'static str,
    pub value: f64,
    /// The most that the value may be, or the least.
    pub bound: f64,
    pub held: bool,
    /// `"<="` or `">="`.
    pub sense: &'static str,
    pub unit: &'static str,
}

impl Claim {
    /// What was not measured is no number, and holds nothing.
    pub fn at_most(name: &'static str, value: f64, bound: f64, unit: &'static str) -> Claim {
        Claim { name, value, bound, held: value <= bound, sense: "<=", unit }
    }
    pub fn at_least(name: &'static str, value: f64, bound: f64, unit: &'static str) -> Claim {
        Claim { name, value, bound, held: value >= bound, sense: ">=", unit }
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    pub short: bool,
    pub claims: Vec<Claim>,
    /// Figures without a bound.
    pub figures: Value,
}

impl Report {
    pub fn all_claims_hold(&self) -> bool {
        !self.claims.is_empty() && self.claims.iter().all(|c| c.held)
    }

    pub fn table(&self) -> String {
        let mut out = format!("{}{}\n", self.experiment, if self.short { " (short)" } else { "" });
        for c in &self.claims {
            let number = |n: f64| if n.fract() == 0.0 { format!("{n:.0}") } else { format!("{n:.2}") };
            out += &format!(
                "  {:<24} {:>10} {} {:<8} {:<10} {}\n",
                c.name,
                number(c.value),
                c.sense,
                number(c.bound),
                c.unit,
                if c.held { "held" } else { "NOT HELD" }
            );
        }
        if let Value::Object(figures) = &self.figures {
            for (name, v) in figures {
                let text = v.to_string();
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

/// The most events in any span of so many seconds; the end of the span does not belong to it.
pub fn max_in_span(times: &[f64], span: f64) -> usize {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    let (mut from, mut most) = (0, 0);
    for (i, t) in times.iter().enumerate() {
        while t - times[from] >= span {
            from += 1;
        }
        most = most.max(i + 1 - from);
    }
    most
}

/// The least value that a share of all does not exceed; no number where there are none.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut v = values.to_vec();
    v.sort_by(f64::total_cmp);
    let at = (share * v.len() as f64).ceil() as usize;
    v.get(at.max(1) - 1).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_claim_without_a_measurement_does_not_hold() {
        assert!(
            !Claim::at_most("x", f64::NAN, 1.0, "").held && !Claim::at_least("x", f64::NAN, 1.0, "").held
        );
        let none = Report { experiment: "x".into(), short: false, claims: vec![], figures: Value::Null };
        assert!(!none.all_claims_hold());
    }

    #[test]
    fn windows_and_quantiles() {
        assert_eq!(max_in_span(&[0.0, 1.0, 0.5, 1.4], 1.0), 3);
        assert_eq!(max_in_span(&[], 1.0), 0);
        assert_eq!(quantile(&[1.0, 2.0, 3.0, 4.0], 0.5), 2.0);
        assert_eq!(quantile(&[1.0, 2.0, 3.0], 0.99), 3.0);
        assert!(quantile(&[], 0.5).is_nan());
    }
}
