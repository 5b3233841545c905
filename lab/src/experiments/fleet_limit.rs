//! A fleet of senders that together exceed the rate limit of a destination, and the requests for the list
//! when all of them start at once. No daemon runs here: the policy engines run alone, on a virtual clock.

use super::ExperimentContext;
use crate::report::{Claim, Report};
use crate::senders::{SecondCounts, Simulation, count_list_requests};
use serde_json::{Value, json};

/// Rate limit of the destination.
const LIMIT_PER_S: f64 = 80.0;
/// Minimum share of the calls that are both offered and within the limit, under a load more than a third over
/// the limit.
const MIN_DELIVERED_SHARE: f64 = 0.75;
/// Maximum share of refused calls under the same load.
const MAX_REFUSED_SHARE: f64 = 0.15;
/// First requests are spread to one in 60 ms; a second in which repeated requests arrive as well has more.
const MAX_LIST_REQUESTS_PER_S: f64 = 24.0;

/// A name, and the messages a second over all senders at each second.
type LoadProfile = (&'static str, fn(usize) -> f64);
const LOAD_PROFILES: [LoadProfile; 3] = [
    ("overrun", |s| if s < 5 { 60.0 } else { 110.0 }),
    ("edge", |_| 85.0),
    ("clumps", |s| if s % 12 > 9 { 160.0 } else { 60.0 }),
];

/// Returns the delivered calls, the refused calls, and the coefficient of variation (standard deviation over
/// mean) of the senders' deliveries.
fn summarize(counts: &[SecondCounts]) -> (f64, f64, f64) {
    let delivered = counts.iter().map(|s| f64::from(s.delivered)).sum::<f64>();
    let refused = counts.iter().map(|s| f64::from(s.refused)).sum();
    let senders = counts.first().map_or(0, |s| s.delivered_by_sender.len());
    let delivered_by =
        |sender: usize| counts.iter().map(|s| f64::from(s.delivered_by_sender[sender])).sum::<f64>();
    let mean = delivered / senders as f64;
    let variance = (0..senders).map(|n| (delivered_by(n) - mean).powi(2)).sum::<f64>() / senders as f64;
    (delivered, refused, variance.sqrt() / mean)
}

/// Runs all load profiles at several sizes of the fleet.
pub async fn limit(context: &ExperimentContext) -> Result<Report, String> {
    let (seeds, sizes): (u64, &[u32]) = if context.short { (1, &[100]) } else { (8, &[2, 10, 50, 100]) };
    let (mut claims, mut figures) = (Vec::new(), serde_json::Map::new());
    for &senders in sizes {
        let mut totals = (0.0, 0.0);
        for (name, offered) in LOAD_PROFILES {
            let (mut delivered, mut refused, mut max_variation) = (0.0, 0.0, 0.0f64);
            for (seed, listed_weight) in (0..seeds).flat_map(|s| [(s, 55.0), (s, 80.0), (s, 115.0)]) {
                let simulation =
                    Simulation { senders, limit_per_s: LIMIT_PER_S, listed_weight, seconds: 30, seed };
                let (run_delivered, run_refused, variation) = summarize(&simulation.run(offered));
                (delivered, refused, max_variation) =
                    (delivered + run_delivered, refused + run_refused, max_variation.max(variation));
            }
            let runs = seeds as f64 * 3.0;
            let possible: f64 = (0..30).map(|s| offered(s).min(LIMIT_PER_S)).sum::<f64>() * runs;
            let mean_per_run = |sum: f64| (sum / runs).round();
            let figure = json!({"delivered": mean_per_run(delivered), "refused": mean_per_run(refused),
                "share": (delivered / possible * 1e3).round() / 1e3,
                "spread_most": (max_variation * 100.0).round() / 100.0});
            figures.insert(format!("{name}_{senders}"), figure);
            totals = (totals.0 + delivered, totals.1 + refused);
            if senders == 100 && name == "overrun" {
                claims.push(Claim::at_least("delivered", delivered / possible, MIN_DELIVERED_SHARE, "share"));
                claims.push(Claim::at_most(
                    "refused",
                    refused / (delivered + refused),
                    MAX_REFUSED_SHARE,
                    "share",
                ));
            }
        }
        figures.insert(format!("all_{senders}"), json!([totals.0, totals.1]));
        context.log_progress(&format!("finished the simulations with {senders} senders"));
    }
    let max_requests = count_list_requests(100, true).into_iter().max().unwrap_or(u32::MAX);
    claims.push(Claim::at_most("list_calls", f64::from(max_requests), MAX_LIST_REQUESTS_PER_S, "a second"));
    figures.insert("list_calls_without_a_list".into(), json!(count_list_requests(100, false)));
    Ok(Report {
        experiment: "fleet-limit".into(),
        short: context.short,
        claims,
        figures: Value::Object(figures),
    })
}
