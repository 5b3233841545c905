//! One role at rising sizes, and how its cost grows: memory, processor time and bytes, of the code that runs in the
//! daemon. Nothing here is a model of it.
//!
//! The largest size is that of two years from now where this machine allows it, and each smaller one a quarter of the
//! next: tables that double when they are full are then as full at each size.

mod engine;
mod leases;
pub mod limits;
mod listing;
mod members;
pub mod meter;
mod wire;

use super::ExperimentContext;
use crate::capacity::cost::{Cost, EXPERIMENT, Slope, Slopes, VERSION};
use crate::capacity::fit::{POINTS_LEAST, Point, RESIDUAL_MOST, fit};
use crate::capacity::size::{Size, TWO_YEARS};
use crate::report::{Claim, Report};
use limits::{Limits, Need};
use std::collections::BTreeMap;

/// Between one size and the next.
const RATIO: f64 = 4.0;
const SIZES: i32 = 5;
/// What the largest sizes need, with a margin.
const NEED: Need = Need { memory_bytes: 3_000_000_000, processes: 1 };
/// The short form: so many times smaller.
const SHORT: f64 = 256.0;
/// What is small anyway is no smaller than this in the short form: below it each cost is mostly its constant part.
const SHORT_LEAST: f64 = 8_192.0;
/// Destinations of the list by which the resident size is compared with the counted one.
const RESIDENT_LIST: u64 = 325_000;
/// Resident bytes for each counted one, at most: else the count leaves too much out.
const RESIDENT_MOST: f64 = 1.5;

/// How an experiment of this kind is run.
pub struct Plan {
    pub size: Size,
    pub seed: u64,
    /// Of a measurement of the processor's time; the least counts, as what else the machine does only adds.
    pub repeats: u32,
    short: bool,
}

impl Plan {
    fn new(short: bool, seed: u64) -> Plan {
        Plan { size: TWO_YEARS, seed, repeats: if short { 2 } else { 5 }, short }
    }

    /// Rising sizes up to this one.
    #[must_use]
    pub fn sizes(&self, largest: f64) -> Vec<u64> {
        self.so_many_sizes(SIZES, largest)
    }

    /// So many of them.
    #[must_use]
    pub fn so_many_sizes(&self, count: i32, largest: f64) -> Vec<u64> {
        let most = if self.short { (largest / SHORT).max(SHORT_LEAST.min(largest)) } else { largest };
        let size = |i: i32| (most / RATIO.powi(count - 1 - i)).round() as u64;
        (0..count).map(size).collect()
    }

    /// A size that stays the same while another grows.
    #[must_use]
    pub fn limited(&self, size: u64) -> u64 {
        if self.short { size / 8 } else { size }
    }
}

/// The least of so many measurements.
///
/// # Errors
/// That of the first which fails.
pub fn least_of<E>(times: u32, mut measure: impl FnMut() -> Result<f64, E>) -> Result<f64, E> {
    let mut least = f64::INFINITY;
    for _ in 0..times {
        least = least.min(measure()?);
    }
    Ok(least)
}

/// A third of the slopes: with more of them bent the table would stand mostly on chords between few points.
const BENT_MOST: f64 = 9.0;

type Found = Result<Vec<(Cost, Vec<Point>)>, String>;

pub async fn run(setup: &ExperimentContext) -> Result<Report, String> {
    let need = if setup.short { Need { memory_bytes: NEED.memory_bytes / 8, ..NEED } } else { NEED };
    Limits::of_machine()?.allow(need).map_err(|why| format!("slopes: {why}"))?;
    let plan = Plan::new(setup.short, setup.seed);
    let resident_share = resident_share()?;
    let mut slopes = BTreeMap::new();
    let mut unfit = Vec::new();
    let parts: [(&str, &dyn Fn() -> Found); 11] = [
        ("members", &|| members::watched(&plan)),
        ("told", &|| members::told(&plan)),
        ("list held", &|| Ok(listing::listed_memory(&plan))),
        ("remembered", &|| Ok(listing::resting_memory(&plan))),
        ("whole list", &|| listing::whole_list(&plan)),
        ("list changes", &|| listing::list_changes(&plan)),
        ("watch", &|| listing::watch(&plan)),
        ("in use", &|| engine::active(&plan)),
        ("backlog", &|| engine::backlog_memory(&plan)),
        ("log", &|| engine::backlog_disk(&plan, &setup.output_dir)),
        ("leases", &|| {
            let found = [leases::holder(&plan)?, leases::voter(&plan)?, leases::wanted(&plan)?];
            Ok(found.into_iter().flatten().collect())
        }),
    ];
    for (what, part) in parts {
        for (cost, points) in part().map_err(|why| format!("slopes: {what}: {why}"))? {
            match fit(points) {
                Ok(fit) => {
                    let slope = Slope::new(cost, fit);
                    setup.log_progress(&slope.line(cost));
                    slopes.insert(cost, slope);
                }
                Err(why) => unfit.push(format!("{}: {why}", cost.name())),
            }
        }
    }
    if !unfit.is_empty() {
        return Err(format!("slopes: {}", unfit.join("; ")));
    }
    let peak_mb = meter::status_kb("VmHWM").unwrap_or(f64::NAN) / 1e3;
    let seed = setup.seed;
    let found = Slopes { version: VERSION, seed, peak_mb, resident_share, slopes };
    let claims = claims(&found, need);
    let figures = serde_json::to_value(&found).map_err(|e| e.to_string())?;
    Ok(Report { experiment: EXPERIMENT.into(), short: setup.short, claims, figures })
}

/// How much more is resident than the allocator was asked for, by a long list.
fn resident_share() -> Result<f64, String> {
    let resident = || meter::status_kb("VmRSS").map(|kb| kb * 1024.0).ok_or("no resident size");
    let before = resident()?;
    let (counted, directory) = meter::memory_of(|| listing::full(RESIDENT_LIST));
    let after = resident()?;
    drop(directory);
    Ok((after - before) / counted)
}

fn claims(found: &Slopes, need: Need) -> Vec<Claim> {
    let slopes = found.slopes.values();
    let fewest = slopes.clone().map(|s| s.fit.points.len()).min().unwrap_or(0);
    let straight = slopes.clone().filter(|s| s.fit.is_straight());
    let worst = straight.map(|s| s.fit.residual).fold(0.0, f64::max);
    let missing = Cost::ALL.iter().filter(|c| !found.slopes.contains_key(c)).count();
    let bent = slopes.filter(|s| !s.fit.is_straight()).count();
    let most_mb = need.memory_bytes as f64 / 1e6;
    vec![
        Claim::at_most("slopes_missing", missing as f64, 0.0, "slopes"),
        Claim::at_least("points_of_a_slope", fewest as f64, POINTS_LEAST as f64, "points"),
        Claim::at_most("slopes_bent", bent as f64, BENT_MOST, "slopes, reported and not fitted"),
        Claim::at_most("residual_of_the_straight", worst, RESIDUAL_MOST, "of a point"),
        Claim::at_most("resident_for_counted", found.resident_share, RESIDENT_MOST, "bytes for a byte"),
        Claim::at_most("memory_mb", found.peak_mb, most_mb, "MB, as was said before the start"),
    ]
}
