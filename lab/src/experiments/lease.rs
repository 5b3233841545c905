//! Leases under stalls, cuts, loss and delay, and with voters that are killed and wiped. The effects of
//! leases are judged by what their receivers saw; a daemon's own report counts only for the leases that it
//! holds.

use super::ExperimentContext;
use super::cluster::{Cluster, Plan};
use crate::report::{Claim, Report, quantile};
use crate::testbed::faults::LinkFaults;
use crate::testbed::partner::{CapacityModel, Mode};
use crate::testbed::sleep;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

const LEASE_S: f64 = 1.2;
const PROBES_PER_S: f64 = 2.0;
/// Minimum interval between the starts of two runs of a duty, see `onyxrock-sharing`.
const MIN_PROBE_INTERVAL_S: f64 = 1.1 / PROBES_PER_S;
/// Maximum time from the last sign of life of a holder until another member holds the lease.
const MAX_HANDOVER_MS: f64 = (LEASE_S + 2.0 * MIN_PROBE_INTERVAL_S) * 1000.0;
/// Maximum time in which a duty has no holder: one handover, and a second one if the new holder has just lost
/// a voter.
const MAX_UNHELD_MS: f64 = 2.0 * MAX_HANDOVER_MS;
const COORDINATOR_DUTY: (&str, u64) = ("coordinator", 0);

fn plan() -> Plan {
    Plan {
        name_prefix: "n",
        daemons: 5,
        partners: 20,
        capacity_model: CapacityModel { calls_per_s: 60.0, ..CapacityModel::default() },
        messages_per_s: 10.0,
        lease_s: LEASE_S,
        probes_per_s: PROBES_PER_S,
        probe_timeout_s: 0.5,
        standalone_probes: false,
        share_list: true,
        elect_coordinator: true,
        voters: 3,
        without_duties: false,
    }
}

/// A duty by its kind and target.
type Duty = (String, u64);

/// What polling the daemons shows of their leases.
#[derive(Default)]
struct LeaseObserver {
    /// The daemon that held each epoch of each duty, with how often that daemon had been started.
    holder_by_epoch: BTreeMap<(Duty, u64), (usize, u32)>,
    /// Number of times that an epoch was seen with a second holder.
    reused_epochs: usize,
    /// When each duty was last seen with a holder.
    last_held: BTreeMap<Duty, f64>,
    longest_unheld_ms: f64,
    /// The duty that had no holder for the longest time, and when that time ended.
    longest_unheld_duty: String,
    /// Whether the network loses and delays datagrams, or the cluster is still settling after that. The time
    /// without a holder has no known bound then, so it is measured separately.
    links_are_lossy: bool,
    longest_unheld_lossy_ms: f64,
    /// When a holder stopped responding, which daemon it was, and those of its duties that no other daemon
    /// holds yet.
    holder_losses: Vec<(f64, usize, BTreeSet<Duty>)>,
    handovers_ms: Vec<f64>,
    last_holder: BTreeMap<Duty, usize>,
}

impl LeaseObserver {
    /// Polls the daemons for their leases until this time.
    async fn observe_until(&mut self, cluster: &Cluster, context: &ExperimentContext, until: f64) {
        while context.runtime.now() < until {
            let leases = cluster.leases().await;
            let now = context.runtime.now();
            for (kind, target, epoch, holder, start_count) in leases {
                let duty = (kind, target);
                let first_holder =
                    *self.holder_by_epoch.entry((duty.clone(), epoch)).or_insert((holder, start_count));
                self.reused_epochs += usize::from(first_holder != (holder, start_count));
                let held_before = self.last_held.insert(duty.clone(), now);
                let unheld_ms = held_before.map_or(0.0, |t| (now - t) * 1000.0);
                if self.links_are_lossy {
                    self.longest_unheld_lossy_ms = self.longest_unheld_lossy_ms.max(unheld_ms);
                } else if unheld_ms > self.longest_unheld_ms {
                    self.longest_unheld_ms = unheld_ms;
                    self.longest_unheld_duty = format!("{} {}, until {now:.1} s", duty.0, duty.1);
                }
                self.last_holder.insert(duty.clone(), holder);
                for (lost_at, lost_holder, duties) in &mut self.holder_losses {
                    if holder != *lost_holder && duties.remove(&duty) {
                        self.handovers_ms.push((now - *lost_at) * 1000.0);
                    }
                }
            }
            sleep(0.03).await;
        }
    }

    /// Records that a daemon does not respond to any other member from now on.
    fn record_holder_loss(&mut self, now: f64, holder: usize) {
        let duties =
            self.last_holder.iter().filter(|(_, h)| **h == holder).map(|(duty, _)| duty.clone()).collect();
        self.holder_losses.push((now, holder, duties));
    }

    fn coordinator(&self) -> usize {
        self.last_holder.get(&(COORDINATOR_DUTY.0.to_owned(), COORDINATOR_DUTY.1)).copied().unwrap_or(0)
    }
}

/// Effects that their receivers saw under a lower epoch than an earlier effect of the same duty.
#[derive(Default)]
struct StaleEffects {
    received: usize,
    /// How many of them the receiver refused.
    refused: usize,
    /// Pairs of probes that ran at the same time under two leases of one duty.
    concurrent: usize,
}

impl StaleEffects {
    /// Adds the probes that the partners received.
    fn count_probes(&mut self, cluster: &Cluster) {
        for partner in &cluster.partners {
            let calls = partner.calls.borrow();
            let mut highest_epoch = 0;
            for (i, probe) in calls.iter().enumerate().filter(|(_, call)| call.is_probe) {
                if probe.epoch < highest_epoch {
                    self.received += 1;
                    self.refused += usize::from(probe.status == 409);
                }
                highest_epoch = highest_epoch.max(probe.epoch);
                // Two leases of one duty that act at the same time.
                let of_other_lease = |call: &&crate::testbed::partner::ReceivedCall| {
                    call.is_probe && call.epoch != probe.epoch && call.status != 409
                };
                let concurrent = calls[..i]
                    .iter()
                    .rev()
                    .take(64)
                    .filter(of_other_lease)
                    .filter(|call| call.ended_at > probe.received_at)
                    .count();
                self.concurrent += if probe.status == 409 { 0 } else { concurrent };
            }
        }
    }

    /// Adds the messages of members, from the daemons' logs. A restarted daemon has not seen any epoch yet.
    fn count_member_messages(&mut self, cluster: &Cluster) {
        for daemon in &cluster.daemons {
            let mut highest_epochs: BTreeMap<String, u64> = BTreeMap::new();
            for line in daemon.log_lines_containing("duties: ") {
                if line.contains("duties: a new life") {
                    highest_epochs.clear();
                }
                let field = |key: &str| {
                    let value = line.split_whitespace().find_map(|word| word.strip_prefix(key));
                    value.map(|v| v.trim_matches('"').to_owned())
                };
                let (Some(duty), Some(epoch), Some(admitted)) =
                    (field("told="), field("epoch="), field("admitted="))
                else {
                    continue;
                };
                let epoch = epoch.parse().unwrap_or(0);
                let highest_epoch = highest_epochs.entry(duty).or_default();
                if epoch < *highest_epoch {
                    self.received += 1;
                    self.refused += usize::from(admitted == "false");
                }
                *highest_epoch = epoch.max(*highest_epoch);
            }
        }
    }
}

/// Stalls and cuts off the coordinator, makes all links lossy, and kills the voters, one fault after the
/// other.
pub async fn stall(context: &ExperimentContext) -> Result<Report, String> {
    let mut cluster = Cluster::start(context, plan()).await?;
    cluster.partners.iter().for_each(|partner| partner.mode.set(Mode::Failing(0.15)));
    let settled_after_s = cluster
        .wait_until_settled(30.0)
        .await
        .ok_or("not every probe duty had exactly one holder within 30 s")?;
    context.log_progress(&format!("each of 20 probe duties has one holder after {settled_after_s:.1} s"));
    let mut observer = LeaseObserver::default();
    let now = || context.runtime.now();
    let record_fault = |cluster: &Cluster, fault: String| {
        context.log_progress(&fault);
        cluster.network.faults.record_fault(context.runtime.now(), fault);
    };
    observer.observe_until(&cluster, context, now() + 2.0).await;
    // Freeze the network of the coordinator's machine, then pause its process; both continue at the same
    // moment.
    let stalls_in_leases: &[f64] = if context.short { &[2.0, 5.0] } else { &[2.0, 5.0, 2.0, 5.0, 3.0, 2.0] };
    for leases in stalls_in_leases {
        let coordinator = observer.coordinator();
        observer.record_holder_loss(now(), coordinator);
        cluster.network.faults.freeze(coordinator);
        observer.observe_until(&cluster, context, now() + 0.35).await;
        cluster.daemons[coordinator].pause();
        record_fault(
            &cluster,
            format!("{} leads and is stalled for {leases} leases", cluster.daemons[coordinator].name),
        );
        observer.observe_until(&cluster, context, now() + leases * LEASE_S).await;
        cluster.daemons[coordinator].resume();
        let late = cluster.network.release_held(coordinator).await;
        record_fault(
            &cluster,
            format!("{} goes on; {late} datagrams leave late", cluster.daemons[coordinator].name),
        );
        observer.observe_until(&cluster, context, now() + 2.0).await;
    }
    // Cut the coordinator off in both directions, then inbound only ("deaf"), then outbound only ("mute").
    for (fault, outbound, inbound) in [("cut off", true, true), ("deaf", false, true), ("mute", true, false)]
    {
        let coordinator = observer.coordinator();
        let others = || (0..cluster.daemons.len()).filter(move |other| *other != coordinator);
        cluster.network.faults.cut(others().filter(|_| outbound).map(|other| (coordinator, other)));
        cluster.network.faults.cut(others().filter(|_| inbound).map(|other| (other, coordinator)));
        record_fault(&cluster, format!("{} leads and is {fault}", cluster.daemons[coordinator].name));
        // A coordinator whose datagrams arrive still counts as responding.
        if outbound {
            observer.record_holder_loss(now(), coordinator);
        }
        observer
            .observe_until(&cluster, context, now() + if context.short { 3.0 } else { 3.0 * LEASE_S + 2.0 })
            .await;
        cluster.network.heal();
        record_fault(&cluster, "all ways are open".into());
        observer.observe_until(&cluster, context, now() + 2.0).await;
    }
    observer.links_are_lossy = true;
    cluster.network.faults.set_all_links(
        cluster.daemons.len(),
        LinkFaults { loss: 0.3, delay: LEASE_S / 2.0, duplication: 0.05 },
    );
    record_fault(&cluster, "30% are lost, 5% come twice, all take up to half a lease".into());
    observer.observe_until(&cluster, context, now() + if context.short { 4.0 } else { 20.0 }).await;
    cluster.network.heal();
    record_fault(&cluster, "all ways are as before".into());
    observer.observe_until(&cluster, context, now() + 12.0 * LEASE_S).await;
    observer.links_are_lossy = false;
    // Kill and restart the voters, one after the other; the second one loses its state folder.
    for voter in 0..3 {
        observer.record_holder_loss(now(), voter);
        cluster.kill_daemon(voter);
        record_fault(&cluster, format!("{} is killed", cluster.daemons[voter].name));
        observer.observe_until(&cluster, context, now() + 1.0).await;
        if voter == 1 {
            cluster.daemons[voter].wipe_state()?;
            record_fault(&cluster, format!("the folder of {} is wiped", cluster.daemons[voter].name));
        }
        cluster.start_daemon(voter).await?;
        record_fault(&cluster, format!("{} is started", cluster.daemons[voter].name));
        observer.observe_until(&cluster, context, now() + 5.0).await;
        cluster.check_for_crashes()?;
    }
    while !context.short && now() < 120.0 {
        observer.observe_until(&cluster, context, now() + 1.0).await;
    }
    cluster.check_for_crashes()?;
    let ended = now();
    for (duty, last_held) in &observer.last_held {
        observer.longest_unheld_ms = observer.longest_unheld_ms.max((ended - last_held) * 1000.0);
        if ended - last_held > LEASE_S {
            context.log_progress(&format!(
                "duty {duty:?} was last seen with a holder {:.1} s before the end",
                ended - last_held
            ));
        }
    }
    let mut stale = StaleEffects::default();
    stale.count_probes(&cluster);
    stale.count_member_messages(&cluster);
    let (received_by_discovery, refused_by_discovery) = cluster.discovery.stale_requests.get();
    stale.received += received_by_discovery;
    stale.refused += refused_by_discovery;
    let overlap = (stale.concurrent + stale.received - stale.refused) as f64;
    let mut claims = vec![
        Claim::at_most("fenced_overlap", overlap, 0.0, "effects"),
        Claim::at_least("stale_refused", stale.refused as f64, stale.received.max(1) as f64, "effects"),
        Claim::at_most("epoch_reused", observer.reused_epochs as f64, 0.0, "epochs"),
    ];
    // The claims above are about safety and must hold in every run. How long a handover takes depends on the
    // machine, which CI shares with other jobs.
    if !context.short {
        claims.push(Claim::at_most(
            "handover_p99_ms",
            quantile(&observer.handovers_ms, 0.99),
            MAX_HANDOVER_MS,
            "ms",
        ));
        claims.push(Claim::at_most("duty_gap_max_ms", observer.longest_unheld_ms, MAX_UNHELD_MS, "ms"));
    }
    Ok(Report {
        experiment: "lease-stall".into(),
        short: context.short,
        claims,
        figures: json!({"seed": context.seed, "duties": observer.last_held.len(),
            "leases": observer.holder_by_epoch.len(),
            "handovers": observer.handovers_ms.len(),
            "handover_p50_ms": quantile(&observer.handovers_ms, 0.5).round(),
            "handover_p99_ms": quantile(&observer.handovers_ms, 0.99).round(),
            "duty_gap_max_ms": observer.longest_unheld_ms.round(),
            "duty_gap_lossy_ms": observer.longest_unheld_lossy_ms.round(),
            "stale_tried": stale.received, "stale_at_the_list": received_by_discovery,
            "duty_gap_of": observer.longest_unheld_duty,
            "datagrams_lost": cluster.network.faults.datagrams_lost.get(),
            "datagrams_delayed": cluster.network.faults.datagrams_delayed.get(),
            "fence_refused": cluster.sum_counter("fence_refused").await,
            "faults": cluster.network.faults.records()}),
    })
}
