//! The experiment `slopes`: measures the memory, processor time and bytes of one role at rising sizes, and
//! fits a line to each cost. It runs the code of the daemon itself, not a model of it.
//!
//! The largest size is the two-year size where this machine allows it, and each smaller size is a quarter of
//! the next. Tables that double when they are full are then equally full at each size.

mod endpoint_list;
mod engine;
mod leases;
pub mod limits;
mod members;
pub mod meter;
mod wire;

use super::ExperimentContext;
use crate::capacity::cost::{Cost, EXPERIMENT, REPORT_VERSION, Slope, Slopes};
use crate::capacity::fit::{MAX_RESIDUAL, MIN_POINTS, Point, fit};
use crate::capacity::size::{Size, TWO_YEAR_SIZE};
use crate::report::{Claim, Report};
use limits::{Limits, Need};
use std::collections::BTreeMap;

/// Ratio between one size and the next smaller size.
const SIZE_RATIO: f64 = 4.0;
/// Number of sizes, unless a measurement needs another number.
const SIZE_COUNT: i32 = 5;
/// Resources for the largest sizes, with a margin.
const RESOURCE_NEED: Need = Need { memory_bytes: 3_000_000_000, processes: 1 };
/// Divisor of the largest size in the short form.
const SHORT_DIVISOR: f64 = 256.0;
/// The largest size is not reduced below this in the short form: for smaller sizes each cost is mostly its
/// constant part.
const MIN_SHORT_SIZE: f64 = 8_192.0;
/// Destinations in the list by which the resident memory is compared with the counted memory.
const RESIDENT_CHECK_DESTINATIONS: u64 = 325_000;
/// Maximum number of resident bytes per counted byte; above it the count leaves out too much memory.
const MAX_RESIDENT_SHARE: f64 = 1.5;

/// The sizes and repetitions of the measurements.
pub struct Plan {
    /// The system size from which the largest sizes are derived.
    pub size: Size,
    pub seed: u64,
    /// Repetitions of each measurement of processor time. The smallest result counts, since other load on the
    /// machine can only add to it.
    pub repeats: u32,
    /// Whether the short form is run, with smaller sizes.
    short: bool,
}

impl Plan {
    fn new(short: bool, seed: u64) -> Plan {
        Plan { size: TWO_YEAR_SIZE, seed, repeats: if short { 2 } else { 5 }, short }
    }

    /// The default number of rising sizes up to the largest size.
    #[must_use]
    pub fn sizes(&self, largest: f64) -> Vec<u64> {
        self.rising_sizes(SIZE_COUNT, largest)
    }

    /// Rising sizes up to the largest size, which is reduced in the short form.
    #[must_use]
    pub fn rising_sizes(&self, count: i32, largest: f64) -> Vec<u64> {
        let largest =
            if self.short { (largest / SHORT_DIVISOR).max(MIN_SHORT_SIZE.min(largest)) } else { largest };
        let size = |i: i32| (largest / SIZE_RATIO.powi(count - 1 - i)).round() as u64;
        (0..count).map(size).collect()
    }

    /// A size that stays the same while another size rises; an eighth of it in the short form.
    #[must_use]
    pub fn fixed_size(&self, size: u64) -> u64 {
        if self.short { size / 8 } else { size }
    }
}

/// Repeats a measurement and returns the smallest result.
///
/// # Errors
/// The error of the first measurement that fails.
pub fn smallest_of<E>(repeats: u32, mut measure: impl FnMut() -> Result<f64, E>) -> Result<f64, E> {
    let mut smallest = f64::INFINITY;
    for _ in 0..repeats {
        smallest = smallest.min(measure()?);
    }
    Ok(smallest)
}

/// Maximum number of nonlinear costs, a third of all costs. With more of them the table would depend mostly
/// on chords between few points.
const MAX_NONLINEAR_COSTS: f64 = 9.0;

/// The measured points of each cost of one part of the experiment.
type Measurements = Result<Vec<(Cost, Vec<Point>)>, String>;

/// Measures all costs, and reports their slopes.
pub async fn run(context: &ExperimentContext) -> Result<Report, String> {
    let need = if context.short {
        Need { memory_bytes: RESOURCE_NEED.memory_bytes / 8, ..RESOURCE_NEED }
    } else {
        RESOURCE_NEED
    };
    Limits::of_machine()?.allow(need).map_err(|e| format!("slopes: {e}"))?;
    let plan = Plan::new(context.short, context.seed);
    let resident_share = resident_share()?;
    let mut slopes = BTreeMap::new();
    let mut not_fitted = Vec::new();
    let parts: [(&str, &dyn Fn() -> Measurements); 11] = [
        ("failure detection", &|| members::failure_detection(&plan)),
        ("broadcast", &|| members::broadcast(&plan)),
        ("memory of the list", &|| Ok(endpoint_list::listed_memory(&plan))),
        ("retained health", &|| Ok(endpoint_list::retained_health_memory(&plan))),
        ("complete list", &|| endpoint_list::complete_list(&plan)),
        ("list changes", &|| endpoint_list::list_changes(&plan)),
        ("watch", &|| endpoint_list::watch(&plan)),
        ("active destinations", &|| engine::active_destinations(&plan)),
        ("memory of the backlog", &|| engine::backlog_memory(&plan)),
        ("log of the backlog", &|| engine::backlog_disk(&plan, &context.output_dir)),
        ("leases", &|| {
            let costs = [leases::holder(&plan)?, leases::voter(&plan)?, leases::wanted_duties(&plan)?];
            Ok(costs.into_iter().flatten().collect())
        }),
    ];
    for (part, measure) in parts {
        for (cost, points) in measure().map_err(|e| format!("slopes: {part}: {e}"))? {
            match fit(points) {
                Ok(fit) => {
                    let slope = Slope::new(cost, fit);
                    context.log_progress(&slope.line(cost));
                    slopes.insert(cost, slope);
                }
                Err(e) => not_fitted.push(format!("{}: {e}", cost.name())),
            }
        }
    }
    if !not_fitted.is_empty() {
        return Err(format!("slopes: {}", not_fitted.join("; ")));
    }
    let peak_mb = meter::status_kb("VmHWM").unwrap_or(f64::NAN) / 1e3;
    let seed = context.seed;
    let results = Slopes { version: REPORT_VERSION, seed, peak_mb, resident_share, slopes };
    let claims = claims(&results, need);
    let figures = serde_json::to_value(&results).map_err(|e| e.to_string())?;
    Ok(Report { experiment: EXPERIMENT.into(), short: context.short, claims, figures })
}

/// Resident bytes for each byte requested from the allocator, measured with a long list.
fn resident_share() -> Result<f64, String> {
    let resident =
        || meter::status_kb("VmRSS").map(|kb| kb * 1024.0).ok_or("/proc/self/status: VmRSS cannot be read");
    let before = resident()?;
    let (counted, directory) =
        meter::memory_of(|| endpoint_list::filled_directory(RESIDENT_CHECK_DESTINATIONS));
    let after = resident()?;
    drop(directory);
    Ok((after - before) / counted)
}

fn claims(results: &Slopes, need: Need) -> Vec<Claim> {
    let slopes = results.slopes.values();
    let fewest_points = slopes.clone().map(|s| s.fit.points.len()).min().unwrap_or(0);
    let linear = slopes.clone().filter(|s| s.fit.is_linear());
    let largest_residual = linear.map(|s| s.fit.residual).fold(0.0, f64::max);
    let missing = Cost::ALL.iter().filter(|c| !results.slopes.contains_key(c)).count();
    let nonlinear = slopes.filter(|s| !s.fit.is_linear()).count();
    let need_mb = need.memory_bytes as f64 / 1e6;
    vec![
        Claim::at_most("slopes_missing", missing as f64, 0.0, "slopes"),
        Claim::at_least("points_of_a_slope", fewest_points as f64, MIN_POINTS as f64, "points"),
        Claim::at_most(
            "slopes_bent",
            nonlinear as f64,
            MAX_NONLINEAR_COSTS,
            "slopes, reported and not fitted",
        ),
        Claim::at_most("residual_of_the_straight", largest_residual, MAX_RESIDUAL, "of a point"),
        Claim::at_most(
            "resident_for_counted",
            results.resident_share,
            MAX_RESIDENT_SHARE,
            "bytes for a byte",
        ),
        Claim::at_most("memory_mb", results.peak_mb, need_mb, "MB, as was said before the start"),
    ]
}
