//! Hollow forwarders by the thousand on a virtual clock, after a few dozen real daemons have shown that a hollow one
//! costs what a real one costs.

use super::ExperimentContext;
use super::cluster::{Cluster, Plan};
use crate::daemon::Daemon;
use crate::report::{Claim, Report};
use crate::scale::cluster::{Cluster as Hollow, Plan as HollowPlan};
use crate::scale::links::Links;
use crate::scale::meter::{Unpaid, machine_bytes, resident_bytes};
use crate::scale::play::{CHANGES_PER_DAY, Outcome, Spans, links, play};
use crate::scale::room::{Needs, check_room};
use crate::scale::{listing, placement};
use crate::testbed::partner::CapacityModel;
use crate::testbed::sleep;
use onyxrock::interface::Micros;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// What a forwarder may spend on control.
const MAX_CPU_SHARE: f64 = 0.02;
const MAX_BYTES_PER_S: f64 = 9_000.0;
const MAX_MB: f64 = 128.0;
/// A change is in force everywhere within this.
const MAX_IN_FORCE_MS: f64 = 10_000.0;
/// Bytes come from the same code on the same schedule; only what chance decides may differ.
const MAX_BYTES_DIFFERENCE: f64 = 0.15;
/// The processor's time of a real daemon holds what a hollow forwarder leaves out (timers, mailboxes between actors, the
/// scheduler), and both are measured on a machine that others use.
const MAX_CPU_RATIO: f64 = 2.0;

const LEASE: Micros = Micros(3_000_000);
const VOTERS: usize = 5;
/// Endpoints that each hollow forwarder of a cluster has listed.
const LISTED_ENDPOINTS: u64 = 200;
/// From this size on a play is spread over threads.
const MULTI_THREADED_FROM: u16 = 300;
const THREADS: usize = 4;

/// Leases of the clusters that are compared, so that their start is over soon.
const COMPARISON_LEASE: Micros = Micros(1_200_000);
const COMPARISON_PARTNERS: u64 = 6;
/// Real daemons without duties, for what is not control.
const DAEMONS_WITHOUT_DUTIES: usize = 4;
/// No message within an experiment.
const NEGLIGIBLE_MESSAGES_PER_S: f64 = 1e-6;

/// One form of the experiment.
struct Parameters {
    daemons: usize,
    /// Seconds until what is compared has settled, and for which it is then measured.
    comparison_spans_s: (f64, f64),
    sizes: &'static [u16],
    /// Endpoints of the list whose memory is measured.
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

const fn seconds(n: u64) -> Micros {
    Micros(n * 1_000_000)
}

const SPANS: Spans =
    Spans { settle_most: seconds(120), settle_least: seconds(40), steady: seconds(20), fault: seconds(20) };

/// What one forwarder costs in a second.
#[derive(Clone, Copy, Debug, Serialize)]
struct Cost {
    sent_bytes_per_s: f64,
    cpu_share: f64,
    /// Times that it went to sleep, by the system's count, or that it was woken.
    wakes_per_s: f64,
}

/// Real daemons that share duties, beside some that do not: what control costs each.
async fn measure_daemons(setup: &ExperimentContext, form: &Parameters) -> Result<(Cost, f64), String> {
    let strength = CapacityModel { calls_per_s: 60.0, ..CapacityModel::default() };
    let plan = |label, daemons, off| Plan {
        name_prefix: label,
        daemons,
        partners: COMPARISON_PARTNERS,
        capacity_model: strength,
        messages_per_s: NEGLIGIBLE_MESSAGES_PER_S,
        lease_s: COMPARISON_LEASE.secs(),
        probes_per_s: 1.0,
        probe_timeout_s: 0.48,
        standalone_probes: false,
        share_list: true,
        elect_coordinator: true,
        voters: VOTERS,
        without_duties: off,
    };
    let mut shared = Cluster::start(setup, plan("n", form.daemons, false)).await?;
    let mut without = Cluster::start(setup, plan("o", DAEMONS_WITHOUT_DUTIES, true)).await?;
    let (settle, span) = form.comparison_spans_s;
    sleep(settle).await;
    let sleeps = |c: &Cluster| c.daemons.iter().filter_map(Daemon::voluntary_context_switches).sum::<u64>();
    let look = |c: &Cluster| {
        (c.cpu_and_memory().0 / c.plan.daemons as f64, c.network.forwarded_bytes.get(), sleeps(c))
    };
    let (before, before_without, at) = (look(&shared), look(&without), setup.runtime.now());
    sleep(span).await;
    let (after, after_without) = (look(&shared), look(&without));
    let took = setup.runtime.now() - at;
    shared.check_for_crashes()?;
    without.check_for_crashes()?;
    let idle = (after_without.0 - before_without.0) / took;
    setup.log_progress(&format!("a daemon without duties uses {:.2} ms a second", idle * 1e3));
    let mb = shared.cpu_and_memory().1 as f64 / 1000.0 / form.daemons as f64;
    let control = (after.0 - before.0) - (after_without.0 - before_without.0);
    let sent = (after.1 - before.1) as f64 / form.daemons as f64;
    let wakes = (after.2 - before.2) as f64 / form.daemons as f64;
    let cost = Cost { sent_bytes_per_s: sent / took, cpu_share: control / took, wakes_per_s: wakes / took };
    Ok((cost, mb))
}

/// Hollow forwarders of the same number, for the same time.
fn measure_simulated(setup: &ExperimentContext, form: &Parameters, unpaid: &Unpaid) -> Result<Cost, String> {
    let plan = HollowPlan {
        members: form.daemons as u16,
        voters: VOTERS,
        lease: COMPARISON_LEASE,
        listed: COMPARISON_PARTNERS,
        seed: setup.seed,
        threads: 1,
    };
    let mut cluster = Hollow::new(plan)?;
    cluster.links = Links::near();
    let all: Vec<_> = cluster.members().collect();
    cluster.start(&all)?;
    let (settle, span) = form.comparison_spans_s;
    cluster.run(Micros::from_secs(settle))?;
    let before = cluster.readings()?;
    cluster.run(Micros::from_secs(span))?;
    let (mut sent, mut cpu, mut wakes) = (0.0, 0.0, 0.0);
    for (after, before) in cluster.readings()?.iter().zip(&before) {
        let used = after.usage.since(before.usage);
        wakes += used.wakes as f64;
        sent += used.sent_bytes as f64;
        cpu += used.cpu_s + unpaid.of(&used, span);
    }
    let each = f64::from(form.daemons as u16) * span;
    Ok(Cost { sent_bytes_per_s: sent / each, cpu_share: cpu / each, wakes_per_s: wakes / each })
}

/// How far apart two figures are: the greater over the smaller.
fn ratio(a: f64, b: f64) -> f64 {
    if a > 0.0 && b > 0.0 { (a / b).max(b / a) } else { f64::NAN }
}

/// A claim at one size.
#[derive(Clone, Copy, Debug, Serialize)]
struct AtSize {
    forwarders: u16,
    value: f64,
    held: bool,
}

/// A claim over all sizes, whose value is the worst of them, and how it stands at each.
struct JudgedClaim {
    claim: Claim,
    sizes: Vec<AtSize>,
}

fn judge_sizes(
    name: &'static str, bound: f64, unit: &'static str, outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64,
) -> JudgedClaim {
    let at_size = |outcome: &Outcome| {
        let value = of(outcome);
        let held = Claim::at_most(name, value, bound, unit).held;
        AtSize { forwarders: outcome.forwarders, value, held }
    };
    let sizes: Vec<_> = outcomes.iter().map(at_size).collect();
    // What was not measured at one size holds nothing at all.
    let worse = |a: f64, b: f64| if a.is_nan() || a > b { a } else { b };
    let worst = sizes.iter().map(|s| s.value).reduce(worse).unwrap_or(f64::NAN);
    JudgedClaim { claim: Claim::at_most(name, worst, bound, unit), sizes }
}

/// Figures without digits that say nothing.
fn rounded(value: Value) -> Value {
    match value {
        Value::Number(n) if n.is_f64() => {
            let text = format!("{:.4e}", n.as_f64().unwrap_or(f64::NAN));
            json!(text.parse::<f64>().unwrap_or(f64::NAN))
        }
        Value::Array(all) => all.into_iter().map(rounded).collect(),
        Value::Object(all) => all.into_iter().map(|(key, value)| (key, rounded(value))).collect(),
        other => other,
    }
}

/// What of a hollow forwarder is a daemon's own code, and what is not.
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

pub async fn run(setup: &ExperimentContext) -> Result<Report, String> {
    let form = if setup.short { SHORT_PARAMETERS } else { FULL_PARAMETERS };
    let largest = form.sizes.iter().copied().max().unwrap_or(0);
    let needs = Needs {
        forwarders: largest,
        daemons: form.daemons + DAEMONS_WITHOUT_DUTIES,
        listed: form.listed_endpoints,
    };
    check_room(&needs, machine_bytes().ok_or("no figure of the machine's memory")?)?;
    let unpaid = Unpaid::measure()?;
    let (real, real_mb) = measure_daemons(setup, &form).await?;
    let hollow = measure_simulated(setup, &form, &unpaid)?;
    setup.log_progress(&format!("{} real daemons: {real:?}, hollow: {hollow:?}", form.daemons));
    let list = listing::hold(form.listed_endpoints)?;
    setup.log_progress(&format!("{} endpoints listed: {:.1} MB", form.listed_endpoints, list.mb));
    let before = resident_bytes().ok_or("no figure of resident memory")?;
    let mut outcomes = Vec::new();
    for &members in form.sizes {
        let threads = if members >= MULTI_THREADED_FROM { THREADS } else { 1 };
        let plan = HollowPlan {
            members,
            voters: VOTERS,
            lease: LEASE,
            listed: LISTED_ENDPOINTS,
            seed: setup.seed,
            threads,
        };
        let outcome = play(plan, &SPANS, &unpaid, before, |_| {})?;
        setup.log_progress(&format!("{members} hollow forwarders: {:.1} s", outcome.wall_s));
        outcomes.push(outcome);
    }
    let worst =
        |name, bound, unit, of: &dyn Fn(&Outcome) -> f64| judge_sizes(name, bound, unit, &outcomes, of);
    let judged = [
        worst("control_cpu_share", MAX_CPU_SHARE, "of a core", &|o| o.cpu_share_worst),
        worst("control_bytes_per_s", MAX_BYTES_PER_S, "bytes/s", &|o| o.bytes_per_s_worst),
        worst("control_mb", MAX_MB, "MB", &|o| o.mb_each + list.mb),
        worst("change_in_force_p99_ms", MAX_IN_FORCE_MS, "ms", &|o| o.change_p99_ms),
        worst("change_in_force_worst_ms", MAX_IN_FORCE_MS, "ms", &|o| o.change_worst_ms),
    ];
    let by_size: BTreeMap<_, _> = judged.iter().map(|j| (j.claim.name, &j.sizes)).collect();
    let by_size = json!(by_size);
    let mut claims: Vec<_> = judged.into_iter().map(|j| j.claim).collect();
    let bytes_ratio = ratio(hollow.sent_bytes_per_s, real.sent_bytes_per_s);
    let cpu_ratio = ratio(hollow.cpu_share, real.cpu_share);
    claims.push(Claim::at_most("hollow_agrees", bytes_ratio, 1.0 + MAX_BYTES_DIFFERENCE, "ratio of bytes"));
    // The processor's time hangs on the machine, which CI shares.
    if !setup.short {
        claims.push(Claim::at_most("hollow_agrees_cpu", cpu_ratio, MAX_CPU_RATIO, "ratio of CPU"));
    }
    let agreement = json!({"daemons": form.daemons, "real": real, "hollow": hollow, "real_mb": real_mb,
        "unpaid": unpaid, "bytes_ratio": bytes_ratio, "cpu_ratio": cpu_ratio});
    let list = json!({"entries": form.listed_endpoints, "listed": list.directory.listed_endpoint_count(), "mb": list.mb});
    let placement = json!({"regions": placement::REGIONS, "zones": placement::ZONES, "links": links()});
    let figures = json!({"seed": setup.seed, "claims_by_size": by_size, "parts": model_parts(),
        "agreement": agreement, "list": list, "placement": placement, "changes_per_day": CHANGES_PER_DAY,
        "sizes": outcomes});
    Ok(Report { experiment: "scale".into(), short: setup.short, claims, figures: rounded(figures) })
}
