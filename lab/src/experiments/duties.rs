//! Experiments on the duties that a cluster shares: probes of partners and the request for the endpoint list.

use super::ExperimentContext;
use super::cluster::{Cluster, Plan};
use crate::report::{Claim, Report, max_in_span, quantile};
use crate::testbed::partner::{CapacityModel, Mode, Partner};
use crate::testbed::sleep;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::rc::Rc;

/// The cluster that the experiments start from.
fn base_plan() -> Plan {
    Plan {
        name_prefix: "n",
        daemons: 5,
        partners: 6,
        // At this capacity, the policy engine's budget for a partner that may be cold allows one daemon about
        // one probe a second.
        capacity_model: CapacityModel { calls_per_s: 60.0, ..CapacityModel::default() },
        messages_per_s: 30.0,
        lease_s: 1.2,
        probes_per_s: 2.0,
        probe_timeout_s: 0.5,
        standalone_probes: false,
        share_list: false,
        elect_coordinator: false,
        voters: 5,
        without_duties: false,
    }
}

/// Makes every partner fail each call, slowly enough that two probes sent at the same time would overlap.
/// Waits until each probe duty has one holder.
async fn fail_all_partners(cluster: &Cluster, context: &ExperimentContext) -> Result<(), String> {
    cluster.partners.iter().for_each(|partner| partner.mode.set(Mode::Failing(0.15)));
    let settled_after_s = cluster
        .wait_until_settled(20.0)
        .await
        .ok_or("not every probe duty had exactly one holder within 20 s")?;
    context.log_progress(&format!(
        "each of {} duties has one holder, {settled_after_s:.1} s after the partners failed",
        cluster.plan.partners
    ));
    Ok(())
}

/// Claims on the highest number of probes in a second at any partner, and on pairs of overlapping probes at
/// one partner.
fn probe_claims(cluster: &Cluster) -> [Claim; 2] {
    let probe_rate = |partner: &Rc<Partner>| max_in_span(&partner.probe_times(0.0, f64::MAX), 1.0);
    let max_rate = cluster.partners.iter().map(probe_rate).max().unwrap_or(usize::MAX);
    let overlaps: usize = cluster.partners.iter().map(|partner| partner.overlapping_probes()).sum();
    [
        Claim::at_most("probe_rate_max", max_rate as f64, cluster.plan.probes_per_s, "probes/s"),
        Claim::at_most("probe_overlap", overlaps as f64, 0.0, "pairs"),
    ]
}

/// Returns the longest time without a probe at any partner, in milliseconds.
fn longest_probe_gap_ms(cluster: &Cluster, from: f64, to: f64) -> f64 {
    let longest_gap_s = |partner: &Rc<Partner>| {
        let times: Vec<_> = [vec![from], partner.probe_times(from, to), vec![to]].concat();
        times.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
    };
    let worst = cluster
        .partners
        .iter()
        .map(|partner| (partner.destination, longest_gap_s(partner)))
        .max_by(|a, b| a.1.total_cmp(&b.1));
    let (partner, gap_s) = worst.unwrap_or((0, f64::NAN));
    eprintln!("the longest time without a probe was {gap_s:.1} s, at partner {partner}");
    gap_s * 1000.0
}

/// Maximum time from the death of a lease's holder until another daemon holds the lease. In this time the
/// failure is detected, and the promises of a majority of voters expire; voters that have restarted may
/// refuse to promise for one promise duration. Then a round or two of lease requests follow.
const MAX_TAKEOVER_MS: f64 = 4_000.0;
/// Maximum time until the new holder probes. It has the takeover, the minimum interval between probes, and
/// the delay of the policy engine, which tries an unhealthy receiver at most every 1.5 s and within its
/// budget.
const MAX_PROBE_GAP_MS: f64 = 8_000.0;

/// Times from the death of a lease's holder until another daemon holds the lease.
#[derive(Default)]
struct Takeovers {
    /// When the holder was killed, and the partner whose probe duty it held.
    pending: Vec<(f64, u64)>,
    durations_ms: Vec<f64>,
}

impl Takeovers {
    /// Polls the daemons that are up for the leases that they hold, until this time.
    async fn observe_until(&mut self, cluster: &Cluster, context: &ExperimentContext, until: f64) {
        while context.runtime.now() < until {
            let holders = cluster.probe_holders().await;
            let now = context.runtime.now();
            let durations_ms = &mut self.durations_ms;
            self.pending.retain(|(killed_at, duty)| {
                let held = holders.get(duty).is_some_and(|h| !h.is_empty());
                if held {
                    durations_ms.push((now - killed_at) * 1000.0);
                }
                !held
            });
            sleep(0.03).await;
        }
    }
}

/// Kills holders of probe duties, one after the other, and starts each again.
pub async fn kill(context: &ExperimentContext) -> Result<Report, String> {
    let mut cluster = Cluster::start(context, base_plan()).await?;
    fail_all_partners(&cluster, context).await?;
    sleep(3.0).await;
    let began = context.runtime.now();
    let rounds = if context.short { 4 } else { 30 };
    let mut rng = StdRng::seed_from_u64(3);
    let mut kills: Vec<(f64, Vec<u64>)> = Vec::new();
    let mut takeovers = Takeovers::default();
    let (traffic_before, traffic_since) = (
        (cluster.network.forwarded_datagrams.get(), cluster.network.forwarded_bytes.get()),
        context.runtime.now(),
    );
    for round in 0..rounds {
        let holders = cluster.probe_holders().await;
        let held_duties: Vec<_> = holders.iter().filter(|(_, h)| !h.is_empty()).collect();
        if held_duties.is_empty() {
            context.log_progress("no duty has a holder; no daemon is killed in this round");
            sleep(2.0).await;
            continue;
        }
        let (_, duty_holders) = held_duties[rng.random_range(0..held_duties.len())];
        let victim = duty_holders[0];
        let lost_duties: Vec<_> =
            holders.iter().filter(|(_, h)| h.contains(&victim)).map(|(duty, _)| *duty).collect();
        // Every second kill hits a probe in flight: wait until a partner that the victim probes has one.
        if round % 2 == 0 {
            let until = context.runtime.now() + 1.0;
            let probe_in_flight = || {
                let probed =
                    cluster.partners.iter().filter(|partner| lost_duties.contains(&partner.destination));
                probed.into_iter().any(|partner| {
                    partner
                        .calls
                        .borrow()
                        .iter()
                        .rev()
                        .take(8)
                        .any(|call| call.is_probe && call.ended_at.is_infinite())
                })
            };
            while !probe_in_flight() && context.runtime.now() < until {
                sleep(0.002).await;
            }
        }
        let killed_at = context.runtime.now();
        cluster.kill_daemon(victim);
        context.log_progress(&format!(
            "killed {}, which held the probe duties of partners {lost_duties:?}",
            cluster.daemons[victim].name
        ));
        takeovers.pending.extend(lost_duties.iter().map(|duty| (killed_at, *duty)));
        kills.push((killed_at, lost_duties));
        takeovers.observe_until(&cluster, context, killed_at + 1.0).await;
        cluster.start_daemon(victim).await?;
        takeovers.observe_until(&cluster, context, killed_at + 2.0).await;
        cluster.check_for_crashes()?;
    }
    let ended = context.runtime.now();
    takeovers.observe_until(&cluster, context, ended + MAX_PROBE_GAP_MS / 1000.0).await;
    let mut takeovers_ms = takeovers.durations_ms;
    takeovers_ms.extend(takeovers.pending.iter().map(|_| f64::INFINITY));
    let mut probed_again_ms = Vec::new();
    for (killed_at, duties) in &kills {
        for partner in cluster.partners.iter().filter(|partner| duties.contains(&partner.destination)) {
            let next = partner
                .probe_times(*killed_at + 1e-6, f64::MAX)
                .first()
                .map(|probed_at| (probed_at - killed_at) * 1000.0);
            probed_again_ms.push(next.unwrap_or(f64::INFINITY));
        }
    }
    let seconds = ended - traffic_since;
    let rate_per_daemon =
        |count: u64, before: u64| (count - before) as f64 / seconds / cluster.plan.daemons as f64;
    let datagrams = rate_per_daemon(cluster.network.forwarded_datagrams.get(), traffic_before.0);
    let bytes = rate_per_daemon(cluster.network.forwarded_bytes.get(), traffic_before.1);
    let probes: usize = cluster.partners.iter().map(|partner| partner.probe_times(began, ended).len()).sum();
    let [rate, overlap] = probe_claims(&cluster);
    Ok(Report {
        experiment: "duties-kill".into(),
        short: context.short,
        claims: vec![
            rate,
            overlap,
            Claim::at_most("takeover_p99_ms", quantile(&takeovers_ms, 0.99), MAX_TAKEOVER_MS, "ms"),
            Claim::at_most("probed_again_p99_ms", quantile(&probed_again_ms, 0.99), MAX_PROBE_GAP_MS, "ms"),
            Claim::at_most(
                "duty_gap_max_ms",
                longest_probe_gap_ms(&cluster, began, ended),
                MAX_PROBE_GAP_MS,
                "ms",
            ),
        ],
        figures: json!({"answers": *cluster.clients.status_counts.borrow(), "kills": kills.len(),
            "takeovers": takeovers_ms.len(),
            "takeover_p50_ms": quantile(&takeovers_ms, 0.5).round(), "probes": probes,
            "datagrams_per_s_each": datagrams.round(), "bytes_per_s_each": bytes.round()}),
    })
}

/// Partitions the network, cuts single directions and pauses holders.
pub async fn split(context: &ExperimentContext) -> Result<Report, String> {
    let mut cluster = Cluster::start(context, base_plan()).await?;
    fail_all_partners(&cluster, context).await?;
    let fault_duration_s = if context.short { 4.0 } else { 12.0 };
    let began = context.runtime.now();
    let mut settle_times_ms = Vec::new();
    let mut heal = async |cluster: &Cluster, fault: &str| {
        cluster.network.heal();
        let settled_after_s = cluster.wait_until_settled(20.0).await.unwrap_or(f64::INFINITY);
        context.log_progress(&format!("{fault}: ended; one holder each after {settled_after_s:.1} s"));
        settle_times_ms.push(settled_after_s * 1000.0);
    };
    sleep(2.0).await;
    for (fault, first_side) in [("partition of 2 and 3 members", 2), ("partition of 4 members and 1", 4)] {
        context.log_progress(fault);
        cluster.network.partition(|member| member < first_side);
        sleep(fault_duration_s).await;
        heal(&cluster, fault).await;
    }
    // One member's datagrams reach the others but it receives none, and then the reverse.
    for (fault, inbound) in
        [("one member receives nothing", true), ("nothing that one member sends arrives", false)]
    {
        context.log_progress(fault);
        let member = cluster.probe_holders().await.values().flatten().next().copied().unwrap_or(0);
        let links = (0..cluster.daemons.len())
            .filter(|other| *other != member)
            .map(|other| if inbound { (other, member) } else { (member, other) });
        cluster.network.faults.cut(links);
        sleep(fault_duration_s).await;
        heal(&cluster, fault).await;
    }
    // Pause holders for longer than their leases, with or without a probe in flight.
    for i in 0..if context.short { 2 } else { 6 } {
        let Some(holder) = cluster.probe_holders().await.values().flatten().next().copied() else { continue };
        context.log_progress(&format!("{} is paused", cluster.daemons[holder].name));
        cluster.daemons[holder].pause();
        sleep(cluster.plan.lease_s * 1.5 + 0.17 * f64::from(i)).await;
        cluster.daemons[holder].resume();
        sleep(1.0).await;
    }
    heal(&cluster, "pauses of holders").await;
    cluster.check_for_crashes()?;
    let ended = context.runtime.now();
    let [rate, overlap] = probe_claims(&cluster);
    let probes: usize = cluster.partners.iter().map(|partner| partner.probe_times(began, ended).len()).sum();
    Ok(Report {
        experiment: "duties-split".into(),
        short: context.short,
        claims: vec![
            rate,
            overlap,
            Claim::at_most(
                "one_owner_after_ms",
                settle_times_ms.iter().copied().fold(0.0, f64::max),
                8_000.0,
                "ms",
            ),
            Claim::at_most(
                "duty_gap_max_ms",
                longest_probe_gap_ms(&cluster, began, ended),
                MAX_PROBE_GAP_MS,
                "ms",
            ),
        ],
        figures: json!({"heals_ms": settle_times_ms.iter().map(|ms| ms.round()).collect::<Vec<_>>(),
            "probes": probes}),
    })
}

/// Lets a partner return cold, for a cluster that shares its probes and for one whose daemons each probe
/// alone.
pub async fn cold(context: &ExperimentContext) -> Result<Report, String> {
    let capacity_model = CapacityModel { calls_per_s: 40.0, ..CapacityModel::default() };
    let plan = |name_prefix, standalone_probes| Plan {
        name_prefix,
        partners: 1,
        capacity_model,
        messages_per_s: 5.0,
        probes_per_s: 1.0,
        standalone_probes,
        ..base_plan()
    };
    let shared = Cluster::start(context, plan("s", false)).await?;
    let standalone = Cluster::start(context, plan("a", true)).await?;
    let mut clusters = [shared, standalone];
    sleep(4.0).await;
    context.log_progress("both partners hang");
    clusters.iter().for_each(|cluster| cluster.partners[0].mode.set(Mode::Hanging));
    let outage_began = context.runtime.now();
    sleep(if context.short { 8.0 } else { 20.0 }).await;
    let returned_at = context.runtime.now();
    context.log_progress("both partners come back cold");
    clusters.iter().for_each(|cluster| cluster.partners[0].mode.set(Mode::WarmingUp(returned_at)));
    sleep(capacity_model.warm_up_s + 3.0).await;
    let mut results = Vec::new();
    for cluster in &mut clusters {
        cluster.check_for_crashes()?;
        let partner = &cluster.partners[0];
        // For each second of the warm-up, the share of the partner's capacity that probes used.
        let probe_share = |i: usize| {
            let from = returned_at + i as f64 * 0.1;
            partner.probe_times(from, from + 1.0).len() as f64 / partner.capacity_at(from)
        };
        let max_share = (0..(capacity_model.warm_up_s * 10.0) as usize).map(probe_share).fold(0.0, f64::max);
        let delivered = cluster.sum_counter("delivered").await;
        let calls = partner.calls.borrow();
        let lost = calls
            .iter()
            .filter(|call| {
                !call.is_probe && call.received_at >= outage_began && call.received_at < returned_at
            })
            .count();
        let first_served_s = calls
            .iter()
            .find(|call| call.received_at >= returned_at && call.status == 200)
            .map_or(f64::INFINITY, |call| call.received_at - returned_at);
        let collapsed = partner.mode.get() == Mode::Collapsed;
        results.push((
            max_share,
            partner.probe_times(outage_began, returned_at).len(),
            lost,
            first_served_s * 1000.0,
            collapsed,
            delivered,
        ));
    }
    let (shared, standalone) = (&results[0], &results[1]);
    let one_probe_share = 1.0 / (capacity_model.calls_per_s * capacity_model.cold_start_share);
    Ok(Report {
        experiment: "duties-cold".into(),
        short: context.short,
        claims: vec![
            Claim::at_most("probe_share_max", shared.0, one_probe_share, "share"),
            Claim::at_most("probe_share_of_alone", shared.0 / standalone.0, 0.5, "ratio"),
            // Without any probe in the outage, the ratio below would prove nothing.
            Claim::at_least("probes_in_outage", shared.1 as f64, 1.0, "probes"),
            Claim::at_most("probes_in_outage_ratio", shared.1 as f64 / standalone.1 as f64, 0.5, "ratio"),
            Claim::at_most("fell_over", f64::from(u8::from(shared.4)), 0.0, "partners"),
        ],
        figures: json!({
            "shared": {"probe_share_max": shared.0, "probes_in_outage": shared.1,
                "messages_lost_to_outage": shared.2, "first_served_ms": shared.3.round(),
                "fell_over": shared.4, "delivered": shared.5},
            "alone": {"probe_share_max": standalone.0, "probes_in_outage": standalone.1,
                "messages_lost_to_outage": standalone.2, "first_served_ms": standalone.3.round(),
                "fell_over": standalone.4, "delivered": standalone.5},
        }),
    })
}

/// Lets both partners respond with a retry-after: no daemon may call before its end, whichever daemon
/// received it.
pub async fn wait(context: &ExperimentContext) -> Result<Report, String> {
    const RETRY_AFTER_S: f64 = 3.0;
    let mut cluster = Cluster::start(context, Plan { partners: 2, ..base_plan() }).await?;
    fail_all_partners(&cluster, context).await?;
    sleep(2.0).await;
    let mut early_calls = 0;
    let mut probes_with_retry_after = 0;
    let until = context.runtime.now() + if context.short { 10.0 } else { 40.0 };
    context.log_progress("both partners respond to every call with a retry-after of 3 s");
    cluster.partners.iter().for_each(|partner| partner.mode.set(Mode::RetryAfter(RETRY_AFTER_S)));
    sleep(until - context.runtime.now()).await;
    cluster.check_for_crashes()?;
    for partner in &cluster.partners {
        let calls = partner.calls.borrow();
        let refusals: Vec<_> = calls
            .iter()
            .filter(|call| call.status == 429)
            .map(|call| (call.ended_at, call.is_probe))
            .collect();
        // A retry-after begins when its response is written; calls that arrive within 100 ms of that are
        // allowed.
        for (responded_at, is_probe) in &refusals {
            probes_with_retry_after += usize::from(*is_probe);
            early_calls += calls
                .iter()
                .filter(|call| {
                    call.received_at > responded_at + 0.1 && call.received_at < responded_at + RETRY_AFTER_S
                })
                .count();
        }
    }
    let [rate, overlap] = probe_claims(&cluster);
    Ok(Report {
        experiment: "duties-wait".into(),
        short: context.short,
        claims: vec![
            Claim::at_most("calls_in_wait", early_calls as f64, 0.0, "calls"),
            Claim::at_least("waits_told_to_probes", probes_with_retry_after as f64, 1.0, "waits"),
            rate,
            overlap,
        ],
        figures: json!({"notes_heard": cluster.sum_counter("notes_heard").await}),
    })
}

/// Compares a cluster in which one daemon requests the list and shares it to one whose five daemons each
/// request it.
pub async fn list(context: &ExperimentContext) -> Result<Report, String> {
    let plan = |name_prefix, share_list| Plan {
        name_prefix,
        share_list,
        partners: 6,
        messages_per_s: 20.0,
        ..base_plan()
    };
    let shared = Cluster::start(context, plan("s", true)).await?;
    let standalone = Cluster::start(context, plan("a", false)).await?;
    // A third cluster without duties shows what sharing costs.
    let without_duties = Cluster::start(context, Plan { without_duties: true, ..plan("o", false) }).await?;
    let mut clusters = [shared, standalone];
    sleep(6.0).await;
    let usages = |clusters: &[Cluster; 2]| {
        [clusters[0].cpu_and_memory(), clusters[1].cpu_and_memory(), without_duties.cpu_and_memory()]
    };
    let usages_before = usages(&clusters);
    let requests_before = clusters.each_ref().map(|cluster| cluster.discovery.list_requests.get());
    let span_s = if context.short { 10.0 } else { 30.0 };
    sleep(span_s).await;
    let usages = usages(&clusters);
    let cpu_ms_per_s = |i: usize| ((usages[i].0 - usages_before[i].0) / span_s / 5.0 * 1e5).round() / 100.0;
    let usage_per_daemon = |i: usize| json!({"cpu_ms_per_s": cpu_ms_per_s(i), "rss_kb": usages[i].1 / 5});
    let requests = [0, 1].map(|i| (clusters[i].discovery.list_requests.get() - requests_before[i]) as f64);
    context.log_progress(&format!(
        "requests for the list in {span_s} s: {} with a shared list, {} without",
        requests[0], requests[1]
    ));
    // A partner drains: every daemon must know within a second, whichever daemon requested the list.
    let mut late_calls = 0;
    let mut last_call_s: f64 = 0.0;
    let mut calls_before: usize = usize::MAX;
    for destination in 1..=2 {
        let drained_at = context.runtime.now();
        clusters[0].discovery.set_lifecycle(destination, "Terminating");
        sleep(2.5).await;
        let calls = clusters[0].partners[destination as usize - 1].calls.borrow();
        let delays_s: Vec<_> = calls
            .iter()
            .filter(|call| call.received_at > drained_at)
            .map(|call| call.received_at - drained_at)
            .collect();
        calls_before = calls_before.min(
            calls
                .iter()
                .filter(|call| call.received_at <= drained_at && drained_at - call.received_at < 1.0)
                .count(),
        );
        late_calls += delays_s.iter().filter(|delay_s| **delay_s > 1.05).count();
        last_call_s = delays_s.iter().copied().fold(last_call_s, f64::max);
    }
    context.log_progress(&format!(
        "the last call to a draining partner came {:.0} ms after the list had its state",
        last_call_s * 1000.0
    ));
    // The daemon that requests the list is killed, and at the same moment a third partner drains.
    let mut holder = None;
    for (i, daemon) in clusters[0].daemons.iter().enumerate() {
        let status = daemon.get_json("/duties").await.unwrap_or_default();
        if status["owned"].as_array().into_iter().flatten().any(|lease| lease["duty"] == "list") {
            holder = Some(i);
        }
    }
    let holder = holder.ok_or("no daemon holds the duty to request the list")?;
    clusters[0].kill_daemon(holder);
    let drained_at = context.runtime.now();
    clusters[0].discovery.set_lifecycle(3, "Terminating");
    sleep(6.0).await;
    let last_call_after_death_ms = {
        let calls = clusters[0].partners[2].calls.borrow();
        calls
            .iter()
            .filter(|call| call.received_at > drained_at)
            .map(|call| call.received_at - drained_at)
            .fold(0.0, f64::max)
            * 1000.0
    };
    for cluster in &mut clusters {
        cluster.check_for_crashes()?;
    }
    Ok(Report {
        experiment: "duties-list".into(),
        short: context.short,
        claims: vec![
            Claim::at_most("list_questions_ratio", requests[0] / requests[1], 0.4, "ratio"),
            // Without calls before the drain, the absence of calls after it would prove nothing.
            Claim::at_least("calls_before_drain", calls_before as f64, 5.0, "calls/s"),
            Claim::at_most("calls_after_drain", late_calls as f64, 0.0, "calls"),
            // The bound is the lease, until another daemon takes the duty over, and the second that the rule
            // allows.
            Claim::at_most("drain_after_death_ms", last_call_after_death_ms, 1_200.0 + 1_050.0, "ms"),
        ],
        figures: json!({"drain_last_call_ms": (last_call_s * 1000.0).round(),
            "each_sharing": usage_per_daemon(0), "each_asking_for_itself": usage_per_daemon(1),
            "each_without_duties": usage_per_daemon(2),
            "told": clusters[0].sum_counter("list_told").await}),
    })
}
