//! Runs a hollow cluster of one size from its start through every fault, and measures it.

use super::cluster::{Cluster, Plan};
use super::links::{BETWEEN_REGIONS, WITHIN_REGION, WITHIN_ZONE};
use super::measurement::{Reading, UnsimulatedCost, Usage, resident_bytes};
use super::placement::{Region, Zone};
use crate::testbed::faults::FaultRecord;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of list changes in a day, as expected in two years.
pub const CHANGES_PER_DAY: f64 = 9_000.0;
const DAY_S: f64 = 86_400.0;
/// Interval at which a starting cluster is checked for whether it has settled.
const STATUS_INTERVAL: Micros = Micros(2_000_000);
/// Number of list changes in a burst.
const BURST_CHANGES: u32 = 40;
/// Interval between the changes of a burst.
const BURST_INTERVAL: Micros = Micros(25_000);
/// Time that a restarted process is down.
const RESTART_DOWNTIME: Micros = Micros(1_000_000);
/// One of this number of forwarders is restarted.
const RESTARTED_DIVISOR: usize = 20;
/// The zone whose forwarders are all killed.
const LOST_ZONE: Zone = Zone(7);
/// The region that is cut off.
const PARTITIONED_REGION: Region = Region(3);
/// Time after the last fault, long enough that the last change can be judged at every forwarder.
const FINAL_RUN: Micros = Micros(12_000_000);

/// Durations of the parts of a run.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioTimes {
    /// The longest time that a start may take until every forwarder sees all others and has a role in the
    /// list duty.
    pub max_settle_time: Micros,
    /// The shortest time of a start: after a start, new information continues to be sent for a while.
    pub min_settle_time: Micros,
    /// The time that is measured without faults.
    pub steady_time: Micros,
    /// The time after each fault and after each return.
    pub time_after_fault: Micros,
}

/// The results of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Number of forwarders.
    pub forwarders: u16,
    /// Virtual seconds until the start had settled; none if it did not settle in time.
    pub settled_s: Option<f64>,
    /// Share of a core, including what the datagrams and wakes would cost a real daemon, mean and worst
    /// forwarder.
    pub cpu_share_mean: f64,
    pub cpu_share_worst: f64,
    /// The same without the cost of datagrams and wakes.
    pub cpu_share_hollow_mean: f64,
    pub cpu_share_hollow_worst: f64,
    /// Payload bytes sent and received, mean and worst forwarder.
    pub bytes_per_s_mean: f64,
    pub bytes_per_s_worst: f64,
    /// Datagrams sent and received, mean and worst forwarder.
    pub datagrams_per_s_mean: f64,
    pub datagrams_per_s_worst: f64,
    /// Wakes per second of the forwarder that is woken most often.
    pub wakes_per_s_worst: f64,
    /// Payload bytes of datagrams sent per forwarder, mean.
    pub sent_bytes_per_s_mean: f64,
    /// Share of a core and payload bytes while the faults occurred, worst forwarder.
    pub faults_cpu_share_worst: f64,
    pub faults_bytes_per_s_worst: f64,
    /// Processor time and payload bytes of the start, mean of all forwarders.
    pub start_cpu_s_mean: f64,
    pub start_bytes_mean: f64,
    /// Resident memory in megabytes per forwarder.
    pub mb_each: f64,
    /// Number of list changes, and the times that they took to come into force.
    pub changes: usize,
    pub change_p50_ms: f64,
    pub change_p99_ms: f64,
    pub change_worst_ms: f64,
    pub change_worst_at: u16,
    /// The longest time from the change or the start of a process, whether discovery could be reached or not.
    pub change_worst_unexcused_ms: f64,
    pub change_samples: u64,
    pub change_missing: u64,
    /// Calls for the list per second over the whole run.
    pub discovery_calls_per_s: f64,
    /// Datagrams and calls that were lost by faults.
    pub lost: u64,
    /// Virtual and real seconds of the run.
    pub virtual_s: f64,
    pub wall_s: f64,
    /// The faults of the run.
    pub faults: Vec<FaultRecord>,
}

/// The delays of the links, for a report.
#[must_use]
pub fn link_delays_json() -> Value {
    json!({"within_zone_ms": WITHIN_ZONE.0 / 1000, "within_region_ms": WITHIN_REGION.0 / 1000,
        "between_regions_ms": BETWEEN_REGIONS.0 / 1000})
}

fn changes_per_s() -> f64 {
    CHANGES_PER_DAY / DAY_S
}

/// Runs until every forwarder sees all others and has a role in the list duty. Returns the virtual time at
/// which that was so.
fn settle(cluster: &mut Cluster, spans: &ScenarioTimes) -> Result<Option<f64>, String> {
    let running_count = cluster.running().len();
    let mut settled = None;
    while cluster.elapsed() < spans.min_settle_time
        || settled.is_none() && cluster.elapsed() < spans.max_settle_time
    {
        cluster.run(STATUS_INTERVAL)?;
        let readings = cluster.readings()?;
        let has_settled = |r: &Reading| r.alive == running_count && (r.owns_list || r.follows_list_owner);
        let seconds = cluster.elapsed().0 as f64 / 1e6;
        settled = if readings.iter().all(has_settled) { settled.or(Some(seconds)) } else { None };
    }
    Ok(settled)
}

/// The usage of every running forwarder.
fn usage_by_member(cluster: &Cluster) -> Result<BTreeMap<Member, Usage>, String> {
    Ok(cluster.readings()?.into_iter().map(|reading| (reading.member, reading.usage)).collect())
}

/// Mean and greatest of some values.
fn mean_and_worst(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (mut sum, mut count, mut worst) = (0.0, 0.0, 0.0f64);
    for value in values {
        (sum, count, worst) = (sum + value, count + 1.0, worst.max(value));
    }
    if count > 0.0 { (sum / count, worst) } else { (f64::NAN, f64::NAN) }
}

/// Changes the list many times within a second.
fn run_change_burst(cluster: &mut Cluster) -> Result<(), String> {
    let now = cluster.elapsed();
    cluster.links.record_fault(now, format!("{BURST_CHANGES} changes within a second"));
    for _ in 0..BURST_CHANGES {
        cluster.add_endpoint();
        cluster.run(BURST_INTERVAL)?;
    }
    Ok(())
}

/// Goes through all faults one after the other.
fn run_faults(cluster: &mut Cluster, spans: &ScenarioTimes) -> Result<(), String> {
    let record_fault = |cluster: &mut Cluster, description: String| {
        let now = cluster.elapsed();
        cluster.links.record_fault(now, description);
    };
    run_change_burst(cluster)?;
    cluster.run_with_changes(spans.time_after_fault, changes_per_s())?;
    let zone_members = cluster.in_zone(LOST_ZONE);
    record_fault(cluster, format!("zone {} is lost, {} forwarders", LOST_ZONE.0, zone_members.len()));
    cluster.kill(&zone_members)?;
    cluster.run_with_changes(spans.time_after_fault, changes_per_s())?;
    record_fault(cluster, "the zone is back".to_owned());
    cluster.start(&zone_members)?;
    cluster.run_with_changes(spans.time_after_fault, changes_per_s())?;
    record_fault(cluster, format!("region {} is cut off", PARTITIONED_REGION.0));
    cluster.partition(PARTITIONED_REGION);
    cluster.run_with_changes(spans.time_after_fault, changes_per_s())?;
    // The cut-off forwarders must miss at least one change.
    cluster.add_endpoint();
    cluster.run(WITHIN_REGION)?;
    record_fault(cluster, "all regions are joined".to_owned());
    cluster.heal();
    cluster.run_with_changes(spans.time_after_fault, changes_per_s())?;
    let count = cluster.members().count().div_ceil(RESTARTED_DIVISOR);
    let restarted = cluster.choose_members(count);
    record_fault(cluster, format!("{count} forwarders restart at once"));
    cluster.kill(&restarted)?;
    cluster.run(RESTART_DOWNTIME)?;
    cluster.start(&restarted)?;
    cluster.run_with_changes(spans.time_after_fault, changes_per_s())?;
    cluster.run(FINAL_RUN)
}

/// Runs one size. `prepare` can change the cluster before its start. Resident memory is counted from
/// `before_bytes`.
///
/// # Errors
/// The thread of a shard has exited, or the resident memory cannot be read.
pub fn run_scenario(
    plan: Plan, spans: &ScenarioTimes, unpaid: &UnsimulatedCost, before_bytes: u64,
    prepare: impl FnOnce(&mut Cluster),
) -> Result<Outcome, String> {
    let wall_start = Instant::now();
    let forwarders = plan.members;
    let mut cluster = Cluster::new(plan)?;
    prepare(&mut cluster);
    let members: Vec<Member> = cluster.members().collect();
    cluster.start(&members)?;
    let settled_s = settle(&mut cluster, spans)?;
    let usage_at_start = usage_by_member(&cluster)?;
    cluster.run_with_changes(spans.steady_time, changes_per_s())?;
    let usage_at_steady_end = usage_by_member(&cluster)?;
    let resident_total = resident_bytes().ok_or("no figure of resident memory")?;
    let seconds = spans.steady_time.secs();
    let mean_and_worst_per_s = |value_of: &dyn Fn(&Usage) -> f64| {
        let used = |m: &Member| value_of(&usage_at_steady_end[m].since(usage_at_start[m])) / seconds;
        mean_and_worst(usage_at_steady_end.keys().filter(|m| usage_at_start.contains_key(m)).map(used))
    };
    let mean_at_start = |value_of: fn(&Usage) -> f64| mean_and_worst(usage_at_start.values().map(value_of)).0;
    let before_faults = cluster.elapsed();
    run_faults(&mut cluster, spans)?;
    let usage_at_end = usage_by_member(&cluster)?;
    let faults_s = cluster.elapsed().since(before_faults).secs();
    let worst_with_faults = |value_of: &dyn Fn(&Usage) -> f64| {
        let used = |m: &Member| value_of(&usage_at_end[m].since(usage_at_steady_end[m])) / faults_s;
        mean_and_worst(usage_at_end.keys().filter(|m| usage_at_steady_end.contains_key(m)).map(used)).1
    };
    cluster.finish();
    let change_times = cluster.change_times();
    let slowest = change_times.slowest();
    let virtual_s = cluster.elapsed().secs();
    let daemon_cpu_s = |seconds: f64| move |u: &Usage| u.cpu_s + unpaid.cpu_s_for(u, seconds);
    let (cpu, hollow_cpu) =
        (mean_and_worst_per_s(&daemon_cpu_s(seconds)), mean_and_worst_per_s(&|u| u.cpu_s));
    let (bytes, datagrams) =
        (mean_and_worst_per_s(&|u| u.bytes() as f64), mean_and_worst_per_s(&|u| u.datagrams as f64));
    Ok(Outcome {
        forwarders,
        settled_s,
        cpu_share_mean: cpu.0,
        cpu_share_worst: cpu.1,
        cpu_share_hollow_mean: hollow_cpu.0,
        cpu_share_hollow_worst: hollow_cpu.1,
        bytes_per_s_mean: bytes.0,
        bytes_per_s_worst: bytes.1,
        datagrams_per_s_mean: datagrams.0,
        datagrams_per_s_worst: datagrams.1,
        wakes_per_s_worst: mean_and_worst_per_s(&|u| u.wakes as f64).1,
        sent_bytes_per_s_mean: mean_and_worst_per_s(&|u| u.sent_bytes as f64).0,
        faults_cpu_share_worst: worst_with_faults(&daemon_cpu_s(faults_s)),
        faults_bytes_per_s_worst: worst_with_faults(&|u| u.bytes() as f64),
        start_cpu_s_mean: mean_at_start(|u| u.cpu_s),
        start_bytes_mean: mean_at_start(|u| u.bytes() as f64),
        mb_each: resident_total.saturating_sub(before_bytes) as f64 / 1e6 / f64::from(forwarders),
        changes: change_times.changes(),
        change_p50_ms: change_times.quantile_ms(0.5),
        change_p99_ms: change_times.quantile_ms(0.99),
        change_worst_ms: if change_times.samples() > 0 {
            slowest.duration.0 as f64 / 1000.0
        } else {
            f64::NAN
        },
        change_worst_at: slowest.member.map_or(u16::MAX, |m| m.0),
        change_worst_unexcused_ms: change_times.since_change_ms(1.0),
        change_samples: change_times.samples(),
        change_missing: change_times.missing(),
        discovery_calls_per_s: cluster.discovery_load().0 as f64 / virtual_s,
        lost: cluster.links.lost_count(),
        virtual_s,
        wall_s: wall_start.elapsed().as_secs_f64(),
        faults: cluster.links.fault_records().to_vec(),
    })
}
