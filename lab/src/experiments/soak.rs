//! The soak test as an experiment: it claims that no rule is broken under overlapping faults.

use super::ExperimentContext;
use crate::report::{Claim, Report};
use crate::soak::judge::RULES;
use crate::soak::{SoakSize, run_soak};
use serde_json::json;

/// How many violations the report quotes. If there are many, the first ones are enough to find the cause.
const MAX_REPORTED_LINES: usize = 40;
/// Minimum share of the accepted messages that is delivered: a run that delivers hardly anything proves
/// nothing.
const MIN_DELIVERED_SHARE: f64 = 0.5;
/// Maximum lateness of the stand-ins' timers. With more, their records are too inaccurate to judge the
/// daemons.
const MAX_LATENESS_S: f64 = 0.25;

/// Returns the parameters of the full or the short form.
fn soak_parameters(context: &ExperimentContext) -> SoakSize {
    let (daemons, seconds) = if context.short { (8, 12.0) } else { (24, 30.0) };
    SoakSize {
        daemons,
        destinations: 6,
        servers_per_destination: 2,
        messages_per_s: 6.0,
        duration_s: seconds,
        seed: context.seed,
    }
}

/// Runs the soak test and turns its verdict into claims.
pub async fn run(context: &ExperimentContext) -> Result<Report, String> {
    let outcome = run_soak(context, soak_parameters(context)).await?;
    let mut claims: Vec<_> = RULES
        .iter()
        .map(|rule| Claim::at_most(rule, outcome.verdict.count(rule) as f64, 0.0, "violations"))
        .collect();
    let counted: u64 = outcome.violations_by_rule.values().sum();
    claims.push(Claim::at_most("counted_by_daemons", counted as f64, 0.0, "violations"));
    claims.push(Claim::at_most("logged_by_daemons", outcome.logged_violations.len() as f64, 0.0, "lines"));
    claims.push(Claim::at_most("crashes", outcome.crashes.len() as f64, 0.0, "daemons"));
    claims.push(Claim::at_most(
        "bad_clients_unanswered",
        outcome.unanswered_partial_requests as f64,
        0.0,
        "clients",
    ));
    let number = |key: &str| outcome.figures[key].as_f64().unwrap_or(f64::NAN);
    let delivered = number("delivered") / number("taken_on");
    claims.push(Claim::at_least("delivered_share", delivered, MIN_DELIVERED_SHARE, "of taken on"));
    claims.push(Claim::at_most("stand_ins_late", number("stand_ins_late_s"), MAX_LATENESS_S, "s"));
    let lines: Vec<_> =
        outcome.verdict.lines.iter().chain(&outcome.logged_violations).take(MAX_REPORTED_LINES).collect();
    let mut figures = outcome.figures;
    figures["violations"] = json!(lines);
    figures["crashes"] = json!(outcome.crashes);
    figures["faults_not_met"] = json!(outcome.faults_without_hit);
    Ok(Report { experiment: "soak-faults".into(), short: context.short, claims, figures })
}
