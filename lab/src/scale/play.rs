//! One size of a hollow cluster, from its start through every fault.

use super::cluster::{Cluster, Plan};
use super::links::{BETWEEN_REGIONS, WITHIN_REGION, WITHIN_ZONE};
use super::meter::{Reading, Unpaid, Usage, resident_bytes};
use super::placement::{Region, Zone};
use crate::testbed::faults::FaultRecord;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Instant;

/// Changes of the list in a day, two years from now.
pub const CHANGES_PER_DAY: f64 = 9_000.0;
const DAY_S: f64 = 86_400.0;
/// How often a cluster that settles is looked at.
const LOOK_EVERY: Micros = Micros(2_000_000);
const BURST_CHANGES: u32 = 40;
const BURST_EVERY: Micros = Micros(25_000);
/// A restarted process is down for so long.
const RESTART: Micros = Micros(1_000_000);
/// Of all forwarders, those that restart at once.
const RESTARTED: usize = 20;
const LOST_ZONE: Zone = Zone(7);
const CUT_REGION: Region = Region(3);
/// Long enough that the last change is judged everywhere.
const TAIL: Micros = Micros(12_000_000);

/// How long the parts of a play take.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// The longest that a start may take until everybody sees everybody and is told the list.
    pub settle_most: Micros,
    /// The least: what is new at a start goes on being told for a while.
    pub settle_least: Micros,
    /// What is measured without faults.
    pub steady: Micros,
    /// After each fault, and after each return.
    pub fault: Micros,
}

/// What a size came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Forwarders.
    pub forwarders: u16,
    /// Virtual seconds until the start had settled; none if it had not in time.
    pub settled_s: Option<f64>,
    /// Share of a core, with what its datagrams and wakes would cost a real daemon, mean and worst forwarder.
    pub cpu_share_mean: f64,
    pub cpu_share_worst: f64,
    /// The same without that.
    pub cpu_share_hollow_mean: f64,
    pub cpu_share_hollow_worst: f64,
    /// Payload bytes sent and received, mean and worst forwarder.
    pub bytes_per_s_mean: f64,
    pub bytes_per_s_worst: f64,
    /// Datagrams sent and received, mean and worst forwarder.
    pub datagrams_per_s_mean: f64,
    pub datagrams_per_s_worst: f64,
    /// Times that the forwarder that is woken most is.
    pub wakes_per_s_worst: f64,
    /// Bytes sent in datagrams by each, mean.
    pub sent_bytes_per_s_mean: f64,
    /// Share of a core and bytes while the faults came, worst forwarder.
    pub faults_cpu_share_worst: f64,
    pub faults_bytes_per_s_worst: f64,
    /// Processor and bytes of the start, mean of all forwarders.
    pub start_cpu_s_mean: f64,
    pub start_bytes_mean: f64,
    /// Resident megabytes that one forwarder needs.
    pub mb_each: f64,
    /// Changes that came, and how long they took to be in force.
    pub changes: usize,
    pub change_p50_ms: f64,
    pub change_p99_ms: f64,
    pub change_worst_ms: f64,
    pub change_worst_at: u16,
    /// The worst from the change or the start of a process, whether discovery could be reached or not.
    pub change_worst_unexcused_ms: f64,
    pub change_samples: u64,
    pub change_missing: u64,
    /// Calls for the list a second, over the whole play.
    pub discovery_calls_per_s: f64,
    /// Lost by faults.
    pub lost: u64,
    /// Virtual and real seconds of the play.
    pub virtual_s: f64,
    pub wall_s: f64,
    /// What was done to it.
    pub faults: Vec<FaultRecord>,
}

/// The links, for a report.
#[must_use]
pub fn links() -> Value {
    json!({"within_zone_ms": WITHIN_ZONE.0 / 1000, "within_region_ms": WITHIN_REGION.0 / 1000,
        "between_regions_ms": BETWEEN_REGIONS.0 / 1000})
}

fn per_day() -> f64 {
    CHANGES_PER_DAY / DAY_S
}

/// Waits until everybody sees everybody and is told the list; when that was.
fn settle(cluster: &mut Cluster, spans: &Spans) -> Result<Option<f64>, String> {
    let all = cluster.running().len();
    let mut settled = None;
    while cluster.elapsed() < spans.settle_least || settled.is_none() && cluster.elapsed() < spans.settle_most
    {
        cluster.run(LOOK_EVERY)?;
        let readings = cluster.readings()?;
        let told = |r: &Reading| r.alive == all && (r.owns_list || r.told_list);
        let seconds = cluster.elapsed().0 as f64 / 1e6;
        settled = if readings.iter().all(told) { settled.or(Some(seconds)) } else { None };
    }
    Ok(settled)
}

fn usage(cluster: &Cluster) -> Result<BTreeMap<Member, Usage>, String> {
    Ok(cluster.readings()?.into_iter().map(|reading| (reading.member, reading.usage)).collect())
}

/// Mean and greatest.
fn mean_and_worst(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (mut sum, mut count, mut worst) = (0.0, 0.0, 0.0f64);
    for value in values {
        (sum, count, worst) = (sum + value, count + 1.0, worst.max(value));
    }
    if count > 0.0 { (sum / count, worst) } else { (f64::NAN, f64::NAN) }
}

fn burst(cluster: &mut Cluster) -> Result<(), String> {
    let now = cluster.elapsed();
    cluster.links.note(now, format!("{BURST_CHANGES} changes within a second"));
    for _ in 0..BURST_CHANGES {
        cluster.change();
        cluster.run(BURST_EVERY)?;
    }
    Ok(())
}

fn faults(cluster: &mut Cluster, spans: &Spans) -> Result<(), String> {
    let note = |cluster: &mut Cluster, what: String| {
        let now = cluster.elapsed();
        cluster.links.note(now, what);
    };
    burst(cluster)?;
    cluster.run_with_changes(spans.fault, per_day())?;
    let zone = cluster.in_zone(LOST_ZONE);
    note(cluster, format!("zone {} is lost, {} forwarders", LOST_ZONE.0, zone.len()));
    cluster.kill(&zone)?;
    cluster.run_with_changes(spans.fault, per_day())?;
    note(cluster, "the zone is back".to_owned());
    cluster.start(&zone)?;
    cluster.run_with_changes(spans.fault, per_day())?;
    note(cluster, format!("region {} is cut off", CUT_REGION.0));
    cluster.partition(CUT_REGION);
    cluster.run_with_changes(spans.fault, per_day())?;
    // At least one change must be waited for by those that were cut off.
    cluster.change();
    cluster.run(WITHIN_REGION)?;
    note(cluster, "all regions are joined".to_owned());
    cluster.heal();
    cluster.run_with_changes(spans.fault, per_day())?;
    let count = cluster.members().count().div_ceil(RESTARTED);
    let restarted = cluster.draw(count);
    note(cluster, format!("{count} forwarders restart at once"));
    cluster.kill(&restarted)?;
    cluster.run(RESTART)?;
    cluster.start(&restarted)?;
    cluster.run_with_changes(spans.fault, per_day())?;
    cluster.run(TAIL)
}

/// Plays one size. `prepare` may do something to the links before the start. Resident memory counts from `before_bytes`.
///
/// # Errors
/// A shard has ended, or nothing could be measured.
pub fn play(
    plan: Plan, spans: &Spans, unpaid: &Unpaid, before_bytes: u64, prepare: impl FnOnce(&mut Cluster),
) -> Result<Outcome, String> {
    let began = Instant::now();
    let forwarders = plan.members;
    let mut cluster = Cluster::new(plan)?;
    prepare(&mut cluster);
    let all: Vec<Member> = cluster.members().collect();
    cluster.start(&all)?;
    let settled_s = settle(&mut cluster, spans)?;
    let started = usage(&cluster)?;
    cluster.run_with_changes(spans.steady, per_day())?;
    let steady = usage(&cluster)?;
    let resident = resident_bytes().ok_or("no figure of resident memory")?;
    let seconds = spans.steady.secs();
    let rate = |of: &dyn Fn(&Usage) -> f64| {
        let used = |m: &Member| of(&steady[m].since(started[m])) / seconds;
        mean_and_worst(steady.keys().filter(|m| started.contains_key(m)).map(used))
    };
    let start = |of: fn(&Usage) -> f64| mean_and_worst(started.values().map(of)).0;
    let before_faults = cluster.elapsed();
    faults(&mut cluster, spans)?;
    let ended = usage(&cluster)?;
    let faults_s = cluster.elapsed().since(before_faults).secs();
    let faults = |of: &dyn Fn(&Usage) -> f64| {
        let used = |m: &Member| of(&ended[m].since(steady[m])) / faults_s;
        mean_and_worst(ended.keys().filter(|m| steady.contains_key(m)).map(used)).1
    };
    cluster.end();
    let in_force = cluster.in_force();
    let worst = in_force.worst();
    let virtual_s = cluster.elapsed().secs();
    let cpu_s = |seconds: f64| move |u: &Usage| u.cpu_s + unpaid.of(u, seconds);
    let (cpu, hollow_cpu) = (rate(&cpu_s(seconds)), rate(&|u| u.cpu_s));
    let (bytes, datagrams) = (rate(&|u| u.bytes() as f64), rate(&|u| u.datagrams as f64));
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
        wakes_per_s_worst: rate(&|u| u.wakes as f64).1,
        sent_bytes_per_s_mean: rate(&|u| u.sent_bytes as f64).0,
        faults_cpu_share_worst: faults(&cpu_s(faults_s)),
        faults_bytes_per_s_worst: faults(&|u| u.bytes() as f64),
        start_cpu_s_mean: start(|u| u.cpu_s),
        start_bytes_mean: start(|u| u.bytes() as f64),
        mb_each: resident.saturating_sub(before_bytes) as f64 / 1e6 / f64::from(forwarders),
        changes: in_force.changes(),
        change_p50_ms: in_force.quantile_ms(0.5),
        change_p99_ms: in_force.quantile_ms(0.99),
        change_worst_ms: if in_force.samples() > 0 { worst.took.0 as f64 / 1000.0 } else { f64::NAN },
        change_worst_at: worst.member.map_or(u16::MAX, |m| m.0),
        change_worst_unexcused_ms: in_force.unexcused_ms(1.0),
        change_samples: in_force.samples(),
        change_missing: in_force.missing(),
        discovery_calls_per_s: cluster.discovery_load().0 as f64 / virtual_s,
        lost: cluster.links.lost(),
        virtual_s,
        wall_s: began.elapsed().as_secs_f64(),
        faults: cluster.links.record().to_vec(),
    })
}
