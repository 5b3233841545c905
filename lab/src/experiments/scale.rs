//! Thousands of simulated forwarders on a virtual clock. Before them, a few dozen real daemons run, to show
//! that a simulated forwarder costs what a real one does.

use super::ExperimentContext;
use super::cluster::{Cluster, Plan};
use crate::daemon::Daemon;
use crate::report::{Claim, Report};
use crate::scale::cluster::{Cluster as SimulatedCluster, Plan as SimulatedPlan};
use crate::scale::links::Links;
use crate::scale::measurement::{UnsimulatedCost, machine_bytes, resident_bytes};
use crate::scale::resource_check::{ResourceNeeds, check_resources};
use crate::scale::scenario::{CHANGES_PER_DAY, Outcome, ScenarioTimes, link_delays_json, run_scenario};
use crate::scale::{list_memory, placement};
use crate::testbed::partner::CapacityModel;
use crate::testbed::sleep;
use onyxrock::interface::Micros;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Maximum share of a core that a forwarder may use for control work.
const MAX_CPU_SHARE: f64 = 0.02;
/// Maximum control traffic that a forwarder may send.
const MAX_BYTES_PER_S: f64 = 9_000.0;
/// Maximum memory of a forwarder's control state, with the list.
const MAX_MB: f64 = 128.0;
/// Maximum time until a list change is in force at every forwarder.
const MAX_IN_FORCE_MS: f64 = 10_000.0;
/// Maximum relative difference of the bytes that simulated and real forwarders send. The same code sends them
/// on the same schedule, so only random choices may make a difference.
const MAX_BYTES_DIFFERENCE: f64 = 0.15;
/// Maximum ratio of the CPU time of simulated and real forwarders. A real daemon also spends time that a
/// simulated forwarder does not (timers, mailboxes between actors, the scheduler), and both are measured on a
/// machine with other load.
const MAX_CPU_RATIO: f64 = 2.0;

/// Lease duration in the simulated clusters.
const LEASE: Micros = Micros(3_000_000);
/// Voters in every cluster.
const VOTERS: usize = 5;
/// Endpoints in the list of each simulated forwarder of a cluster.
const LISTED_ENDPOINTS: u64 = 200;
/// From this number of forwarders on, a simulation runs on several threads.
const MULTI_THREADED_FROM: u16 = 300;
const THREADS: usize = 4;

/// Lease duration in the comparison of real and simulated forwarders; it is short so that the clusters settle
/// soon.
const COMPARISON_LEASE: Micros = Micros(1_200_000);
/// Partners in the comparison.
const COMPARISON_PARTNERS: u64 = 6;
/// Real daemons that run without duties, to measure the CPU time that is not control work.
const DAEMONS_WITHOUT_DUTIES: usize = 4;
/// A rate at which no message falls within an experiment.
const NEGLIGIBLE_MESSAGES_PER_S: f64 = 1e-6;

/// Sizes of the full or the short form.
struct Parameters {
    /// Real daemons in the comparison.
    daemons: usize,
    /// Time for the compared clusters to settle, and the time over which they are then measured.
    comparison_spans_s: (f64, f64),
    /// Numbers of simulated forwarders.
    sizes: &'static [u16],
    /// Endpoints in the list whose memory is measured.
    listed_endpoints: u64,
}

const SHORT_PARAMETERS: Parameters =
    Parameters { daemons: 8, comparison_spans_s: (14.0, 10.0), sizes: &[8, 24], listed_endpoints: 100_000 };
const FULL_PARAMETERS: Parameters = Parameters {
    daemons: 24,
    comparison_spans_s: (16.0, 20.0),
    sizes: &[24, 100, 300, 1000],
    listed_endpoints: 1_300_000,
};

const fn seconds(seconds: u64) -> Micros {
    Micros(seconds * 1_000_000)
}

const SPANS: ScenarioTimes = ScenarioTimes {
    max_settle_time: seconds(120),
    min_settle_time: seconds(40),
    steady_time: seconds(20),
    time_after_fault: seconds(20),
};

/// What one forwarder uses a second.
#[derive(Clone, Copy, Debug, Serialize)]
struct Cost {
    sent_bytes_per_s: f64,
    cpu_share: f64,
    /// Voluntary context switches of a real daemon, or wake-ups of a simulated forwarder.
    wakes_per_s: f64,
}

/// Runs real daemons that share duties and some that do not. Returns the cost of control for each daemon, and
/// its memory in megabytes.
async fn measure_daemons(
    context: &ExperimentContext, parameters: &Parameters,
) -> Result<(Cost, f64), String> {
    let capacity_model = CapacityModel { calls_per_s: 60.0, ..CapacityModel::default() };
    let plan = |name_prefix, daemons, without_duties| Plan {
        name_prefix,
        daemons,
        partners: COMPARISON_PARTNERS,
        capacity_model,
        messages_per_s: NEGLIGIBLE_MESSAGES_PER_S,
        lease_s: COMPARISON_LEASE.secs(),
        probes_per_s: 1.0,
        probe_timeout_s: 0.48,
        standalone_probes: false,
        share_list: true,
        elect_coordinator: true,
        voters: VOTERS,
        without_duties,
    };
    let mut shared = Cluster::start(context, plan("n", parameters.daemons, false)).await?;
    let mut without_duties = Cluster::start(context, plan("o", DAEMONS_WITHOUT_DUTIES, true)).await?;
    let (settle_s, span_s) = parameters.comparison_spans_s;
    sleep(settle_s).await;
    let context_switches = |cluster: &Cluster| {
        cluster.daemons.iter().filter_map(Daemon::voluntary_context_switches).sum::<u64>()
    };
    let reading = |cluster: &Cluster| {
        (
            cluster.cpu_and_memory().0 / cluster.plan.daemons as f64,
            cluster.network.forwarded_bytes.get(),
            context_switches(cluster),
        )
    };
    let (before, before_without, began) = (reading(&shared), reading(&without_duties), context.runtime.now());
    sleep(span_s).await;
    let (after, after_without) = (reading(&shared), reading(&without_duties));
    let elapsed_s = context.runtime.now() - began;
    shared.check_for_crashes()?;
    without_duties.check_for_crashes()?;
    let base_cpu_share = (after_without.0 - before_without.0) / elapsed_s;
    context.log_progress(&format!(
        "a daemon without duties uses {:.2} ms of CPU time a second",
        base_cpu_share * 1e3
    ));
    let mb = shared.cpu_and_memory().1 as f64 / 1000.0 / parameters.daemons as f64;
    let control_cpu_s = (after.0 - before.0) - (after_without.0 - before_without.0);
    let sent_bytes = (after.1 - before.1) as f64 / parameters.daemons as f64;
    let wakes = (after.2 - before.2) as f64 / parameters.daemons as f64;
    let cost = Cost {
        sent_bytes_per_s: sent_bytes / elapsed_s,
        cpu_share: control_cpu_s / elapsed_s,
        wakes_per_s: wakes / elapsed_s,
    };
    Ok((cost, mb))
}

/// Runs as many simulated forwarders for the same time. Returns the cost of each.
fn measure_simulated(
    context: &ExperimentContext, parameters: &Parameters, unsimulated_cost: &UnsimulatedCost,
) -> Result<Cost, String> {
    let plan = SimulatedPlan {
        members: parameters.daemons as u16,
        voters: VOTERS,
        lease_duration: COMPARISON_LEASE,
        listed_endpoints: COMPARISON_PARTNERS,
        seed: context.seed,
        threads: 1,
    };
    let mut cluster = SimulatedCluster::new(plan)?;
    cluster.links = Links::within_one_zone();
    let members: Vec<_> = cluster.members().collect();
    cluster.start(&members)?;
    let (settle_s, span_s) = parameters.comparison_spans_s;
    cluster.run(Micros::from_secs(settle_s))?;
    let before = cluster.readings()?;
    cluster.run(Micros::from_secs(span_s))?;
    let (mut sent_bytes, mut cpu_s, mut wakes) = (0.0, 0.0, 0.0);
    for (after, before) in cluster.readings()?.iter().zip(&before) {
        let used = after.usage.since(before.usage);
        wakes += used.wakes as f64;
        sent_bytes += used.sent_bytes as f64;
        cpu_s += used.cpu_s + unsimulated_cost.cpu_s_for(&used, span_s);
    }
    let forwarder_seconds = f64::from(parameters.daemons as u16) * span_s;
    Ok(Cost {
        sent_bytes_per_s: sent_bytes / forwarder_seconds,
        cpu_share: cpu_s / forwarder_seconds,
        wakes_per_s: wakes / forwarder_seconds,
    })
}

/// Returns the ratio of the greater of two figures to the smaller; NaN unless both are positive.
fn ratio(a: f64, b: f64) -> f64 {
    if a > 0.0 && b > 0.0 { (a / b).max(b / a) } else { f64::NAN }
}

/// The value of a claim at one size.
#[derive(Clone, Copy, Debug, Serialize)]
struct AtSize {
    forwarders: u16,
    value: f64,
    held: bool,
}

/// A claim whose value is the worst over all sizes, and the value at each size.
struct JudgedClaim {
    claim: Claim,
    sizes: Vec<AtSize>,
}

/// Claims that a figure is at most this bound at every size.
fn judge_sizes(
    name: &'static str, bound: f64, unit: &'static str, outcomes: &[Outcome],
    figure: impl Fn(&Outcome) -> f64,
) -> JudgedClaim {
    let at_size = |outcome: &Outcome| {
        let value = figure(outcome);
        let held = Claim::at_most(name, value, bound, unit).held;
        AtSize { forwarders: outcome.forwarders, value, held }
    };
    let sizes: Vec<_> = outcomes.iter().map(at_size).collect();
    // A figure that was not measured at one size is NaN there, and then the whole claim does not hold.
    let worse = |a: f64, b: f64| if a.is_nan() || a > b { a } else { b };
    let worst = sizes.iter().map(|size| size.value).reduce(worse).unwrap_or(f64::NAN);
    JudgedClaim { claim: Claim::at_most(name, worst, bound, unit), sizes }
}

/// Rounds all figures to five significant digits.
fn rounded(value: Value) -> Value {
    match value {
        Value::Number(number) if number.is_f64() => {
            let text = format!("{:.4e}", number.as_f64().unwrap_or(f64::NAN));
            json!(text.parse::<f64>().unwrap_or(f64::NAN))
        }
        Value::Array(values) => values.into_iter().map(rounded).collect(),
        Value::Object(fields) => fields.into_iter().map(|(key, value)| (key, rounded(value))).collect(),
        other => other,
    }
}

/// Describes, for the report, which parts of a simulated forwarder are a daemon's code and which are not.
fn model_parts() -> Value {
    json!({
        "real": ["onyxrock-membership: failure detector, gossip, sealed datagrams",
            "onyxrock-duties: leases, voters, epochs", "onyxrock-sharing: Probing, its messages and roles",
            "onyxrock-roster: Directory and its tables", "onyxrock-config: the list's parser",
            "onyxrock: Ledger and the policy engine with its discovery refresh"],
        "not_real": ["sockets, timers and the runtime: in-memory links and a virtual clock",
            "the daemon's list actor: its decisions are rewritten in the follower, without connections",
            "the encoding of onyxrock-sharing's actor: rewritten, the same bytes",
            "epochs that a voter keeps: in memory", "discovery: a stand-in that answers at once",
            "messages, probes of destinations that are down, fronts and logs: none"],
        "beside": "real daemons run first and alone, on the real clock; hollow ones have links among themselves only",
    })
}

/// Compares simulated forwarders to real daemons, and then simulates each size.
pub async fn run(context: &ExperimentContext) -> Result<Report, String> {
    let parameters = if context.short { SHORT_PARAMETERS } else { FULL_PARAMETERS };
    let largest = parameters.sizes.iter().copied().max().unwrap_or(0);
    let needs = ResourceNeeds {
        forwarders: largest,
        daemons: parameters.daemons + DAEMONS_WITHOUT_DUTIES,
        listed_endpoints: parameters.listed_endpoints,
    };
    check_resources(&needs, machine_bytes().ok_or("cannot read the machine's memory from /proc/meminfo")?)?;
    let unsimulated_cost = UnsimulatedCost::measure()?;
    let (real, real_mb) = measure_daemons(context, &parameters).await?;
    let simulated = measure_simulated(context, &parameters, &unsimulated_cost)?;
    context.log_progress(&format!("{} real daemons: {real:?}, simulated: {simulated:?}", parameters.daemons));
    let list = list_memory::measure_list_memory(parameters.listed_endpoints)?;
    context.log_progress(&format!("{} endpoints listed: {:.1} MB", parameters.listed_endpoints, list.mb));
    let resident_before = resident_bytes().ok_or("cannot read this process's resident memory")?;
    let mut outcomes = Vec::new();
    for &members in parameters.sizes {
        let threads = if members >= MULTI_THREADED_FROM { THREADS } else { 1 };
        let plan = SimulatedPlan {
            members,
            voters: VOTERS,
            lease_duration: LEASE,
            listed_endpoints: LISTED_ENDPOINTS,
            seed: context.seed,
            threads,
        };
        let outcome = run_scenario(plan, &SPANS, &unsimulated_cost, resident_before, |_| {})?;
        context.log_progress(&format!("{members} simulated forwarders: took {:.1} s", outcome.wall_s));
        outcomes.push(outcome);
    }
    let at_all_sizes = |name, bound, unit, figure: &dyn Fn(&Outcome) -> f64| {
        judge_sizes(name, bound, unit, &outcomes, figure)
    };
    let judged = [
        at_all_sizes("control_cpu_share", MAX_CPU_SHARE, "of a core", &|outcome| outcome.cpu_share_worst),
        at_all_sizes("control_bytes_per_s", MAX_BYTES_PER_S, "bytes/s", &|outcome| outcome.bytes_per_s_worst),
        at_all_sizes("control_mb", MAX_MB, "MB", &|outcome| outcome.mb_each + list.mb),
        at_all_sizes("change_in_force_p99_ms", MAX_IN_FORCE_MS, "ms", &|outcome| outcome.change_p99_ms),
        at_all_sizes("change_in_force_worst_ms", MAX_IN_FORCE_MS, "ms", &|outcome| outcome.change_worst_ms),
    ];
    let by_size: BTreeMap<_, _> = judged.iter().map(|judged| (judged.claim.name, &judged.sizes)).collect();
    let by_size = json!(by_size);
    let mut claims: Vec<_> = judged.into_iter().map(|judged| judged.claim).collect();
    let bytes_ratio = ratio(simulated.sent_bytes_per_s, real.sent_bytes_per_s);
    let cpu_ratio = ratio(simulated.cpu_share, real.cpu_share);
    claims.push(Claim::at_most("hollow_agrees", bytes_ratio, 1.0 + MAX_BYTES_DIFFERENCE, "ratio of bytes"));
    // CPU time depends on the machine, which CI shares with other jobs.
    if !context.short {
        claims.push(Claim::at_most("hollow_agrees_cpu", cpu_ratio, MAX_CPU_RATIO, "ratio of CPU"));
    }
    let agreement = json!({"daemons": parameters.daemons, "real": real, "hollow": simulated,
        "real_mb": real_mb,
        "unpaid": unsimulated_cost, "bytes_ratio": bytes_ratio, "cpu_ratio": cpu_ratio});
    let list = json!({"entries": parameters.listed_endpoints,
        "listed": list.directory.listed_endpoint_count(), "mb": list.mb});
    let placement =
        json!({"regions": placement::REGIONS, "zones": placement::ZONES, "links": link_delays_json()});
    let figures = json!({"seed": context.seed, "claims_by_size": by_size, "parts": model_parts(),
        "agreement": agreement, "list": list, "placement": placement, "changes_per_day": CHANGES_PER_DAY,
        "sizes": outcomes});
    Ok(Report { experiment: "scale".into(), short: context.short, claims, figures: rounded(figures) })
}
