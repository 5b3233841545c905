//! A limit that many senders overrun together, and the calls for the list when all start at once. No daemon runs here:
//! the modules alone, on a clock of the experiment's own.

use super::ExperimentContext;
use crate::report::{Claim, Report};
use crate::senders::{SecondCounts, Simulation, count_list_requests};
use serde_json::{Value, json};

const LIMIT_PER_S: f64 = 80.0;
/// Of what the limit allows and is offered, at an overrun of more than a third.
const MIN_DELIVERED_SHARE: f64 = 0.75;
const MAX_REFUSED_SHARE: f64 = 0.15;
/// One for each 60 ms, in a second in which second turns come too.
const MAX_LIST_REQUESTS_PER_S: f64 = 24.0;

type LoadProfile = (&'static str, fn(usize) -> f64);
const LOAD_PROFILES: [LoadProfile; 3] = [
    ("overrun", |s| if s < 5 { 60.0 } else { 110.0 }),
    ("edge", |_| 85.0),
    ("clumps", |s| if s % 12 > 9 { 160.0 } else { 60.0 }),
];

/// Delivered, refused, and how far the senders' own deliveries lie apart: the deviation over the mean.
fn summarize(seen: &[SecondCounts]) -> (f64, f64, f64) {
    let delivered = seen.iter().map(|s| f64::from(s.delivered)).sum::<f64>();
    let refused = seen.iter().map(|s| f64::from(s.refused)).sum();
    let senders = seen.first().map_or(0, |s| s.delivered_by_sender.len());
    let each = |n: usize| seen.iter().map(|s| f64::from(s.delivered_by_sender[n])).sum::<f64>();
    let mean = delivered / senders as f64;
    let spread = (0..senders).map(|n| (each(n) - mean).powi(2)).sum::<f64>() / senders as f64;
    (delivered, refused, spread.sqrt() / mean)
}

pub async fn limit(setup: &ExperimentContext) -> Result<Report, String> {
    let (seeds, sizes): (u64, &[u32]) = if setup.short { (1, &[100]) } else { (8, &[2, 10, 50, 100]) };
    let (mut claims, mut figures) = (Vec::new(), serde_json::Map::new());
    for &senders in sizes {
        let mut all = (0.0, 0.0);
        for (name, offered) in LOAD_PROFILES {
            let (mut delivered, mut refused, mut spread) = (0.0, 0.0, 0.0f64);
            for (seed, weight) in (0..seeds).flat_map(|s| [(s, 55.0), (s, 80.0), (s, 115.0)]) {
                let play = Simulation {
                    senders,
                    limit_per_s: LIMIT_PER_S,
                    listed_weight: weight,
                    seconds: 30,
                    seed,
                };
                let (d, r, apart) = summarize(&play.run(offered));
                (delivered, refused, spread) = (delivered + d, refused + r, spread.max(apart));
            }
            let plays = seeds as f64 * 3.0;
            let wanted: f64 = (0..30).map(|s| offered(s).min(LIMIT_PER_S)).sum::<f64>() * plays;
            let whole = |x: f64| (x / plays).round();
            let figure = json!({"delivered": whole(delivered), "refused": whole(refused),
                "share": (delivered / wanted * 1e3).round() / 1e3, "spread_most": (spread * 100.0).round() / 100.0});
            figures.insert(format!("{name}_{senders}"), figure);
            all = (all.0 + delivered, all.1 + refused);
            if senders == 100 && name == "overrun" {
                claims.push(Claim::at_least("delivered", delivered / wanted, MIN_DELIVERED_SHARE, "share"));
                claims.push(Claim::at_most(
                    "refused",
                    refused / (delivered + refused),
                    MAX_REFUSED_SHARE,
                    "share",
                ));
            }
        }
        figures.insert(format!("all_{senders}"), json!([all.0, all.1]));
        setup.log_progress(&format!("{senders} senders"));
    }
    let most = count_list_requests(100, true).into_iter().max().unwrap_or(u32::MAX);
    claims.push(Claim::at_most("list_calls", f64::from(most), MAX_LIST_REQUESTS_PER_S, "a second"));
    figures.insert("list_calls_without_a_list".into(), json!(count_list_requests(100, false)));
    Ok(Report {
        experiment: "fleet-limit".into(),
        short: setup.short,
        claims,
        figures: Value::Object(figures),
    })
}
