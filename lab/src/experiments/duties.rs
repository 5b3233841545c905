//! Duties shared among instances.

use super::ExperimentContext;
use super::cluster::{Cluster, Plan};
use crate::report::{Claim, Report, max_in_span, quantile};
use crate::testbed::partner::{CapacityModel, Mode, Partner};
use crate::testbed::sleep;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::rc::Rc;

fn base_plan() -> Plan {
    Plan {
        name_prefix: "n",
        daemons: 5,
        partners: 6,
        // The module's budget for what may be cold lets one daemon try about once a second here.
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

/// Every partner fails what it is sent, slowly enough that two probes at once would meet.
async fn fail_all_partners(c: &Cluster, setup: &ExperimentContext) -> Result<(), String> {
    c.partners.iter().for_each(|p| p.mode.set(Mode::Failing(0.15)));
    let took = c.wait_until_settled(20.0).await.ok_or("the duties found no owners within 20 s")?;
    setup.log_progress(&format!(
        "each of {} duties has one owner, {took:.1} s after the partners failed",
        c.plan.partners
    ));
    Ok(())
}

/// The highest count of probes in a second at any partner, and pairs of probes at one partner at once.
fn probe_claims(c: &Cluster) -> [Claim; 2] {
    let rate = |p: &Rc<Partner>| max_in_span(&p.probe_times(0.0, f64::MAX), 1.0);
    let most = c.partners.iter().map(rate).max().unwrap_or(usize::MAX);
    let overlaps: usize = c.partners.iter().map(|p| p.overlapping_probes()).sum();
    [
        Claim::at_most("probe_rate_max", most as f64, c.plan.probes_per_s, "probes/s"),
        Claim::at_most("probe_overlap", overlaps as f64, 0.0, "pairs"),
    ]
}

/// The longest time without a probe at any partner, in milliseconds.
fn longest_probe_gap_ms(c: &Cluster, from: f64, to: f64) -> f64 {
    let one = |p: &Rc<Partner>| {
        let times: Vec<_> = [vec![from], p.probe_times(from, to), vec![to]].concat();
        times.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max)
    };
    let worst = c.partners.iter().map(|p| (p.destination, one(p))).max_by(|a, b| a.1.total_cmp(&b.1));
    let (partner, longest) = worst.unwrap_or((0, f64::NAN));
    eprintln!("the longest time without a probe was {longest:.1} s, at partner {partner}");
    longest * 1000.0
}

/// Until another holds a dead owner's lease: its death is seen, its promises run out at a majority, of which some voters
/// may have restarted and keep quiet for a span, and a round or two of questions.
const MAX_TAKEOVER_MS: f64 = 4_000.0;
/// Until it probes: a gap, and the module, which tries what is out of order every 1.5 s at most, within its budget.
const MAX_PROBE_GAP_MS: f64 = 8_000.0;

/// Leases whose owner was killed, until another holds them.
#[derive(Default)]
struct Takeovers {
    pending: Vec<(f64, u64)>,
    durations_ms: Vec<f64>,
}

impl Takeovers {
    /// Looks who holds what until a time, by the word of those that are up.
    async fn observe_until(&mut self, c: &Cluster, setup: &ExperimentContext, until: f64) {
        while setup.runtime.now() < until {
            let owners = c.probe_holders().await;
            let now = setup.runtime.now();
            let took = &mut self.durations_ms;
            self.pending.retain(|(at, duty)| {
                let held = owners.get(duty).is_some_and(|o| !o.is_empty());
                if held {
                    took.push((now - at) * 1000.0);
                }
                !held
            });
            sleep(0.03).await;
        }
    }
}

pub async fn kill(setup: &ExperimentContext) -> Result<Report, String> {
    let mut c = Cluster::start(setup, base_plan()).await?;
    fail_all_partners(&c, setup).await?;
    sleep(3.0).await;
    let began = setup.runtime.now();
    let rounds = if setup.short { 4 } else { 30 };
    let mut dice = StdRng::seed_from_u64(3);
    let mut killed: Vec<(f64, Vec<u64>)> = Vec::new();
    let mut takeovers = Takeovers::default();
    let (net_before, at_before) =
        ((c.network.forwarded_datagrams.get(), c.network.forwarded_bytes.get()), setup.runtime.now());
    for round in 0..rounds {
        let owners = c.probe_holders().await;
        let duties: Vec<_> = owners.iter().filter(|(_, o)| !o.is_empty()).collect();
        if duties.is_empty() {
            setup.log_progress("no duty has an owner: nobody to kill");
            sleep(2.0).await;
            continue;
        }
        let (_, of) = duties[dice.random_range(0..duties.len())];
        let victim = of[0];
        let lost: Vec<_> = owners.iter().filter(|(_, o)| o.contains(&victim)).map(|(d, _)| *d).collect();
        // Half of them in the middle of a probe: wait until one is out at a partner that it probes.
        if round % 2 == 0 {
            let until = setup.runtime.now() + 1.0;
            let out = || {
                let theirs = c.partners.iter().filter(|p| lost.contains(&p.destination));
                theirs.into_iter().any(|p| {
                    p.calls.borrow().iter().rev().take(8).any(|h| h.is_probe && h.ended_at.is_infinite())
                })
            };
            while !out() && setup.runtime.now() < until {
                sleep(0.002).await;
            }
        }
        let at = setup.runtime.now();
        c.kill_daemon(victim);
        setup.log_progress(&format!("killed {}, which had {lost:?}", c.daemons[victim].name));
        takeovers.pending.extend(lost.iter().map(|d| (at, *d)));
        killed.push((at, lost));
        takeovers.observe_until(&c, setup, at + 1.0).await;
        c.start_daemon(victim).await?;
        takeovers.observe_until(&c, setup, at + 2.0).await;
        c.check_for_crashes()?;
    }
    let ended = setup.runtime.now();
    takeovers.observe_until(&c, setup, ended + MAX_PROBE_GAP_MS / 1000.0).await;
    let mut took = takeovers.durations_ms;
    took.extend(takeovers.pending.iter().map(|_| f64::INFINITY));
    let mut probed = Vec::new();
    for (at, duties) in &killed {
        for p in c.partners.iter().filter(|p| duties.contains(&p.destination)) {
            let next = p.probe_times(*at + 1e-6, f64::MAX).first().map(|t| (t - at) * 1000.0);
            probed.push(next.unwrap_or(f64::INFINITY));
        }
    }
    let seconds = ended - at_before;
    let each = |n: u64, before: u64| (n - before) as f64 / seconds / c.plan.daemons as f64;
    let datagrams = each(c.network.forwarded_datagrams.get(), net_before.0);
    let bytes = each(c.network.forwarded_bytes.get(), net_before.1);
    let probes: usize = c.partners.iter().map(|p| p.probe_times(began, ended).len()).sum();
    let [rate, overlap] = probe_claims(&c);
    Ok(Report {
        experiment: "duties-kill".into(),
        short: setup.short,
        claims: vec![
            rate,
            overlap,
            Claim::at_most("takeover_p99_ms", quantile(&took, 0.99), MAX_TAKEOVER_MS, "ms"),
            Claim::at_most("probed_again_p99_ms", quantile(&probed, 0.99), MAX_PROBE_GAP_MS, "ms"),
            Claim::at_most("duty_gap_max_ms", longest_probe_gap_ms(&c, began, ended), MAX_PROBE_GAP_MS, "ms"),
        ],
        figures: json!({"answers": *c.clients.status_counts.borrow(), "kills": killed.len(), "takeovers": took.len(),
            "takeover_p50_ms": quantile(&took, 0.5).round(), "probes": probes,
            "datagrams_per_s_each": datagrams.round(), "bytes_per_s_each": bytes.round()}),
    })
}

pub async fn split(setup: &ExperimentContext) -> Result<Report, String> {
    let mut c = Cluster::start(setup, base_plan()).await?;
    fail_all_partners(&c, setup).await?;
    let span = if setup.short { 4.0 } else { 12.0 };
    let began = setup.runtime.now();
    let mut heals = Vec::new();
    let mut healed = async |c: &Cluster, what: &str| {
        c.network.heal();
        let took = c.wait_until_settled(20.0).await.unwrap_or(f64::INFINITY);
        setup.log_progress(&format!("{what} is over; one owner each after {took:.1} s"));
        heals.push(took * 1000.0);
    };
    sleep(2.0).await;
    for (what, low) in [("a split of 2 and 3", 2), ("a split of 4 and 1", 4)] {
        setup.log_progress(what);
        c.network.partition(|m| m < low);
        sleep(span).await;
        healed(&c, what).await;
    }
    // The others hear A, A does not hear them, and the other way round.
    for (what, deaf) in [("one that hears nobody", true), ("one that nobody hears", false)] {
        setup.log_progress(what);
        let a = c.probe_holders().await.values().flatten().next().copied().unwrap_or(0);
        let ways = (0..c.daemons.len()).filter(|b| *b != a).map(|b| if deaf { (b, a) } else { (a, b) });
        c.network.faults.cut(ways);
        sleep(span).await;
        healed(&c, what).await;
    }
    // Owners that stand still for longer than their leases, in the middle of a probe or not, and go on.
    for i in 0..if setup.short { 2 } else { 6 } {
        let Some(a) = c.probe_holders().await.values().flatten().next().copied() else { continue };
        setup.log_progress(&format!("{} stands still", c.daemons[a].name));
        c.daemons[a].pause();
        sleep(c.plan.lease_s * 1.5 + 0.17 * f64::from(i)).await;
        c.daemons[a].resume();
        sleep(1.0).await;
    }
    healed(&c, "standing still").await;
    c.check_for_crashes()?;
    let ended = setup.runtime.now();
    let [rate, overlap] = probe_claims(&c);
    let probes: usize = c.partners.iter().map(|p| p.probe_times(began, ended).len()).sum();
    Ok(Report {
        experiment: "duties-split".into(),
        short: setup.short,
        claims: vec![
            rate,
            overlap,
            Claim::at_most("one_owner_after_ms", heals.iter().copied().fold(0.0, f64::max), 8_000.0, "ms"),
            Claim::at_most("duty_gap_max_ms", longest_probe_gap_ms(&c, began, ended), MAX_PROBE_GAP_MS, "ms"),
        ],
        figures: json!({"heals_ms": heals.iter().map(|h| h.round()).collect::<Vec<_>>(), "probes": probes}),
    })
}

pub async fn cold(setup: &ExperimentContext) -> Result<Report, String> {
    let strength = CapacityModel { calls_per_s: 40.0, ..CapacityModel::default() };
    let one = |label, alone| Plan {
        name_prefix: label,
        partners: 1,
        capacity_model: strength,
        messages_per_s: 5.0,
        probes_per_s: 1.0,
        standalone_probes: alone,
        ..base_plan()
    };
    let shared = Cluster::start(setup, one("s", false)).await?;
    let alone = Cluster::start(setup, one("a", true)).await?;
    let mut both = [shared, alone];
    sleep(4.0).await;
    setup.log_progress("both partners hang");
    both.iter().for_each(|c| c.partners[0].mode.set(Mode::Hanging));
    let down = setup.runtime.now();
    sleep(if setup.short { 8.0 } else { 20.0 }).await;
    let back = setup.runtime.now();
    setup.log_progress("both come back cold");
    both.iter().for_each(|c| c.partners[0].mode.set(Mode::WarmingUp(back)));
    sleep(strength.warm_up_s + 3.0).await;
    let mut seen = Vec::new();
    for c in &mut both {
        c.check_for_crashes()?;
        let p = &c.partners[0];
        // In each second of the return: what probes took of what it could do.
        let share = |i: usize| {
            let from = back + i as f64 * 0.1;
            p.probe_times(from, from + 1.0).len() as f64 / p.capacity_at(from)
        };
        let most = (0..(strength.warm_up_s * 10.0) as usize).map(share).fold(0.0, f64::max);
        let delivered = c.sum_counter("delivered").await;
        let hits = p.calls.borrow();
        let lost =
            hits.iter().filter(|h| !h.is_probe && h.received_at >= down && h.received_at < back).count();
        let first = hits
            .iter()
            .find(|h| h.received_at >= back && h.status == 200)
            .map_or(f64::INFINITY, |h| h.received_at - back);
        let fell = p.mode.get() == Mode::Collapsed;
        seen.push((most, p.probe_times(down, back).len(), lost, first * 1000.0, fell, delivered));
    }
    let (s, a) = (&seen[0], &seen[1]);
    let pace = 1.0 / (strength.calls_per_s * strength.cold_start_share);
    Ok(Report {
        experiment: "duties-cold".into(),
        short: setup.short,
        claims: vec![
            Claim::at_most("probe_share_max", s.0, pace, "share"),
            Claim::at_most("probe_share_of_alone", s.0 / a.0, 0.5, "ratio"),
            // Where nothing is probed nothing is shared.
            Claim::at_least("probes_in_outage", s.1 as f64, 1.0, "probes"),
            Claim::at_most("probes_in_outage_ratio", s.1 as f64 / a.1 as f64, 0.5, "ratio"),
            Claim::at_most("fell_over", f64::from(u8::from(s.4)), 0.0, "partners"),
        ],
        figures: json!({
            "shared": {"probe_share_max": s.0, "probes_in_outage": s.1, "messages_lost_to_outage": s.2,
                "first_served_ms": s.3.round(), "fell_over": s.4, "delivered": s.5},
            "alone": {"probe_share_max": a.0, "probes_in_outage": a.1, "messages_lost_to_outage": a.2,
                "first_served_ms": a.3.round(), "fell_over": a.4, "delivered": a.5},
        }),
    })
}

pub async fn wait(setup: &ExperimentContext) -> Result<Report, String> {
    const WAIT: f64 = 3.0;
    let mut c = Cluster::start(setup, Plan { partners: 2, ..base_plan() }).await?;
    fail_all_partners(&c, setup).await?;
    sleep(2.0).await;
    let mut early = 0;
    let mut waits = 0;
    let until = setup.runtime.now() + if setup.short { 10.0 } else { 40.0 };
    setup.log_progress("both partners tell everybody to wait 3 s");
    c.partners.iter().for_each(|p| p.mode.set(Mode::RetryAfter(WAIT)));
    sleep(until - setup.runtime.now()).await;
    c.check_for_crashes()?;
    for p in &c.partners {
        let hits = p.calls.borrow();
        let told: Vec<_> =
            hits.iter().filter(|h| h.status == 429).map(|h| (h.ended_at, h.is_probe)).collect();
        // A wait begins when its answer is written; what comes within 100 ms of that passes.
        for (at, probe) in &told {
            waits += usize::from(*probe);
            early += hits.iter().filter(|h| h.received_at > at + 0.1 && h.received_at < at + WAIT).count();
        }
    }
    let [rate, overlap] = probe_claims(&c);
    Ok(Report {
        experiment: "duties-wait".into(),
        short: setup.short,
        claims: vec![
            Claim::at_most("calls_in_wait", early as f64, 0.0, "calls"),
            Claim::at_least("waits_told_to_probes", waits as f64, 1.0, "waits"),
            rate,
            overlap,
        ],
        figures: json!({"notes_heard": c.sum_counter("notes_heard").await}),
    })
}

/// The list is asked for by one and told to all, beside five that ask each for itself.
pub async fn list(setup: &ExperimentContext) -> Result<Report, String> {
    let one = |label, list| Plan {
        name_prefix: label,
        share_list: list,
        partners: 6,
        messages_per_s: 20.0,
        ..base_plan()
    };
    let shared = Cluster::start(setup, one("s", true)).await?;
    let alone = Cluster::start(setup, one("a", false)).await?;
    // Beside both, the same without anything shared: what it costs.
    let off = Cluster::start(setup, Plan { without_duties: true, ..one("o", false) }).await?;
    let mut both = [shared, alone];
    sleep(6.0).await;
    let costs =
        |both: &[Cluster; 2]| [both[0].cpu_and_memory(), both[1].cpu_and_memory(), off.cpu_and_memory()];
    let cost_before = costs(&both);
    let asked_before = both.each_ref().map(|c| c.discovery.list_requests.get());
    let span = if setup.short { 10.0 } else { 30.0 };
    sleep(span).await;
    let cost = costs(&both);
    let cpu = |i: usize| ((cost[i].0 - cost_before[i].0) / span / 5.0 * 1e5).round() / 100.0;
    let each = |i: usize| json!({"cpu_ms_per_s": cpu(i), "rss_kb": cost[i].1 / 5});
    let asked = [0, 1].map(|i| (both[i].discovery.list_requests.get() - asked_before[i]) as f64);
    setup.log_progress(&format!(
        "the list was asked for {} times in {span} s, and {} times by all",
        asked[0], asked[1]
    ));
    // A partner drains: all must have heard within a second, whoever was asked.
    let mut late = 0;
    let mut last: f64 = 0.0;
    let mut before: usize = usize::MAX;
    for destination in 1..=2 {
        let told = setup.runtime.now();
        both[0].discovery.set_lifecycle(destination, "Terminating");
        sleep(2.5).await;
        let hits = both[0].partners[destination as usize - 1].calls.borrow();
        let after: Vec<_> =
            hits.iter().filter(|h| h.received_at > told).map(|h| h.received_at - told).collect();
        before =
            before.min(hits.iter().filter(|h| h.received_at <= told && told - h.received_at < 1.0).count());
        late += after.iter().filter(|t| **t > 1.05).count();
        last = after.iter().copied().fold(last, f64::max);
    }
    setup.log_progress(&format!(
        "the last call to what drains came {:.0} ms after it was told",
        last * 1000.0
    ));
    // The one that asks dies, and at the same moment a third partner drains.
    let mut owner = None;
    for (i, d) in both[0].daemons.iter().enumerate() {
        let shown = d.get_json("/duties").await.unwrap_or_default();
        if shown["owned"].as_array().into_iter().flatten().any(|o| o["duty"] == "list") {
            owner = Some(i);
        }
    }
    let owner = owner.ok_or("nobody asks for the list")?;
    both[0].kill_daemon(owner);
    let told = setup.runtime.now();
    both[0].discovery.set_lifecycle(3, "Terminating");
    sleep(6.0).await;
    let died = {
        let hits = both[0].partners[2].calls.borrow();
        hits.iter().filter(|h| h.received_at > told).map(|h| h.received_at - told).fold(0.0, f64::max)
            * 1000.0
    };
    for c in &mut both {
        c.check_for_crashes()?;
    }
    Ok(Report {
        experiment: "duties-list".into(),
        short: setup.short,
        claims: vec![
            Claim::at_most("list_questions_ratio", asked[0] / asked[1], 0.4, "ratio"),
            // Without load before it nothing after it would tell.
            Claim::at_least("calls_before_drain", before as f64, 5.0, "calls/s"),
            Claim::at_most("calls_after_drain", late as f64, 0.0, "calls"),
            // A lease until the others miss the one that asked, and the second that the rule allows.
            Claim::at_most("drain_after_death_ms", died, 1_200.0 + 1_050.0, "ms"),
        ],
        figures: json!({"drain_last_call_ms": (last * 1000.0).round(),
            "each_sharing": each(0), "each_asking_for_itself": each(1), "each_without_duties": each(2),
            "told": both[0].sum_counter("list_told").await}),
    })
}
