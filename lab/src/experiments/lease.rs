//! Leases under stalls, cuts, loss, delay, and voters that are killed and wiped: what the receivers of what is done under
//! them saw. Nothing here believes a holder of itself but who holds what.

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
/// Between two beginnings of one doing, see `onyxrock-sharing`.
const MIN_PROBE_INTERVAL_S: f64 = 1.1 / PROBES_PER_S;
/// From the last sign of life to the lease of another.
const MAX_HANDOVER_MS: f64 = (LEASE_S + 2.0 * MIN_PROBE_INTERVAL_S) * 1000.0;
/// No duty is without a holder for longer: a hand-over, and one more where it goes to one that has just lost a voter.
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

type Duty = (String, u64);

/// What is seen of leases from outside.
#[derive(Default)]
struct LeaseObserver {
    /// Whose each epoch of each duty was, and in which life.
    holder_by_epoch: BTreeMap<(Duty, u64), (usize, u32)>,
    reused_epochs: usize,
    /// When each duty was last seen held.
    last_held: BTreeMap<Duty, f64>,
    longest_unheld_ms: f64,
    /// The longest such time: when it ended, and of what.
    longest_unheld_duty: String,
    /// The same while the net loses and delays, and until all is settled after it: no bound is known for that.
    links_are_lossy: bool,
    longest_unheld_lossy_ms: f64,
    /// When a holder stopped answering, whom it was, and the duties it had.
    holder_losses: Vec<(f64, usize, BTreeSet<Duty>)>,
    handovers_ms: Vec<f64>,
    last_holder: BTreeMap<Duty, usize>,
}

impl LeaseObserver {
    async fn observe_until(&mut self, c: &Cluster, setup: &ExperimentContext, until: f64) {
        while setup.runtime.now() < until {
            let leases = c.leases().await;
            let now = setup.runtime.now();
            for (kind, of, epoch, who, life) in leases {
                let duty = (kind, of);
                let whose = *self.holder_by_epoch.entry((duty.clone(), epoch)).or_insert((who, life));
                self.reused_epochs += usize::from(whose != (who, life));
                let before = self.last_held.insert(duty.clone(), now);
                let unheld = before.map_or(0.0, |t| (now - t) * 1000.0);
                if self.links_are_lossy {
                    self.longest_unheld_lossy_ms = self.longest_unheld_lossy_ms.max(unheld);
                } else if unheld > self.longest_unheld_ms {
                    self.longest_unheld_ms = unheld;
                    self.longest_unheld_duty = format!("{} {}, until {now:.1} s", duty.0, duty.1);
                }
                self.last_holder.insert(duty.clone(), who);
                for (at, from, duties) in &mut self.holder_losses {
                    if who != *from && duties.remove(&duty) {
                        self.handovers_ms.push((now - *at) * 1000.0);
                    }
                }
            }
            sleep(0.03).await;
        }
    }

    /// From now on this one answers nobody.
    fn record_holder_loss(&mut self, now: f64, who: usize) {
        let duties = self.last_holder.iter().filter(|(_, o)| **o == who).map(|(d, _)| d.clone()).collect();
        self.holder_losses.push((now, who, duties));
    }

    fn coordinator(&self) -> usize {
        self.last_holder.get(&(COORDINATOR_DUTY.0.to_owned(), COORDINATOR_DUTY.1)).copied().unwrap_or(0)
    }
}

/// What receivers saw of effects that came under an epoch lower than one before: how many, and how many they refused.
#[derive(Default)]
struct StaleEffects {
    received: usize,
    refused: usize,
    concurrent: usize,
}

impl StaleEffects {
    fn count_probes(&mut self, c: &Cluster) {
        for p in &c.partners {
            let hits = p.calls.borrow();
            let mut seen = 0;
            for (i, h) in hits.iter().enumerate().filter(|(_, h)| h.is_probe) {
                if h.epoch < seen {
                    self.received += 1;
                    self.refused += usize::from(h.status == 409);
                }
                seen = seen.max(h.epoch);
                // Two leases of one duty that act at the same time.
                let other = |o: &&crate::testbed::partner::ReceivedCall| {
                    o.is_probe && o.epoch != h.epoch && o.status != 409
                };
                let at_once = hits[..i]
                    .iter()
                    .rev()
                    .take(64)
                    .filter(other)
                    .filter(|o| o.ended_at > h.received_at)
                    .count();
                self.concurrent += if h.status == 409 { 0 } else { at_once };
            }
        }
    }

    /// What daemons wrote down of the news that they were told. A new life has seen nothing yet.
    fn count_member_messages(&mut self, c: &Cluster) {
        for d in &c.daemons {
            let mut seen: BTreeMap<String, u64> = BTreeMap::new();
            for line in d.log_lines_containing("duties: ") {
                if line.contains("duties: a new life") {
                    seen.clear();
                }
                let field = |key: &str| {
                    let at = line.split_whitespace().find_map(|w| w.strip_prefix(key));
                    at.map(|v| v.trim_matches('"').to_owned())
                };
                let (Some(duty), Some(epoch), Some(admitted)) =
                    (field("told="), field("epoch="), field("admitted="))
                else {
                    continue;
                };
                let epoch = epoch.parse().unwrap_or(0);
                let highest = seen.entry(duty).or_default();
                if epoch < *highest {
                    self.received += 1;
                    self.refused += usize::from(admitted == "false");
                }
                *highest = epoch.max(*highest);
            }
        }
    }
}

pub async fn stall(setup: &ExperimentContext) -> Result<Report, String> {
    let mut c = Cluster::start(setup, plan()).await?;
    c.partners.iter().for_each(|p| p.mode.set(Mode::Failing(0.15)));
    let took = c.wait_until_settled(30.0).await.ok_or("the duties found no owners within 30 s")?;
    setup.log_progress(&format!("each of 20 probes has one owner after {took:.1} s"));
    let mut w = LeaseObserver::default();
    let now = || setup.runtime.now();
    let tell = |c: &Cluster, what: String| {
        setup.log_progress(&what);
        c.network.faults.record_fault(setup.runtime.now(), what);
    };
    w.observe_until(&c, setup, now() + 2.0).await;
    // The network of the leader's machine stands still, then its processor; both go on together.
    let stalls: &[f64] = if setup.short { &[2.0, 5.0] } else { &[2.0, 5.0, 2.0, 5.0, 3.0, 2.0] };
    for leases in stalls {
        let a = w.coordinator();
        w.record_holder_loss(now(), a);
        c.network.faults.freeze(a);
        w.observe_until(&c, setup, now() + 0.35).await;
        c.daemons[a].pause();
        tell(&c, format!("{} leads and is stalled for {leases} leases", c.daemons[a].name));
        w.observe_until(&c, setup, now() + leases * LEASE_S).await;
        c.daemons[a].resume();
        let late = c.network.release_held(a).await;
        tell(&c, format!("{} goes on; {late} datagrams leave late", c.daemons[a].name));
        w.observe_until(&c, setup, now() + 2.0).await;
    }
    // Cut off both ways, deaf, and mute.
    for (what, from, to) in [("cut off", true, true), ("deaf", false, true), ("mute", true, false)] {
        let a = w.coordinator();
        let others = || (0..c.daemons.len()).filter(move |b| *b != a);
        c.network.faults.cut(others().filter(|_| from).map(|b| (a, b)));
        c.network.faults.cut(others().filter(|_| to).map(|b| (b, a)));
        tell(&c, format!("{} leads and is {what}", c.daemons[a].name));
        // Who is heard goes on answering.
        if from {
            w.record_holder_loss(now(), a);
        }
        w.observe_until(&c, setup, now() + if setup.short { 3.0 } else { 3.0 * LEASE_S + 2.0 }).await;
        c.network.heal();
        tell(&c, "all ways are open".into());
        w.observe_until(&c, setup, now() + 2.0).await;
    }
    w.links_are_lossy = true;
    c.network
        .faults
        .set_all_links(c.daemons.len(), LinkFaults { loss: 0.3, delay: LEASE_S / 2.0, duplication: 0.05 });
    tell(&c, "30% are lost, 5% come twice, all take up to half a lease".into());
    w.observe_until(&c, setup, now() + if setup.short { 4.0 } else { 20.0 }).await;
    c.network.heal();
    tell(&c, "all ways are as before".into());
    w.observe_until(&c, setup, now() + 12.0 * LEASE_S).await;
    w.links_are_lossy = false;
    // The voters, one after the other; the second one's folder is gone.
    for voter in 0..3 {
        w.record_holder_loss(now(), voter);
        c.kill_daemon(voter);
        tell(&c, format!("{} is killed", c.daemons[voter].name));
        w.observe_until(&c, setup, now() + 1.0).await;
        if voter == 1 {
            c.daemons[voter].wipe_state()?;
            tell(&c, format!("the folder of {} is wiped", c.daemons[voter].name));
        }
        c.start_daemon(voter).await?;
        tell(&c, format!("{} is started", c.daemons[voter].name));
        w.observe_until(&c, setup, now() + 5.0).await;
        c.check_for_crashes()?;
    }
    while !setup.short && now() < 120.0 {
        w.observe_until(&c, setup, now() + 1.0).await;
    }
    c.check_for_crashes()?;
    let ended = now();
    for (duty, at) in &w.last_held {
        w.longest_unheld_ms = w.longest_unheld_ms.max((ended - at) * 1000.0);
        if ended - at > LEASE_S {
            setup.log_progress(&format!("{duty:?} was last seen held {:.1} s before the end", ended - at));
        }
    }
    let mut stale = StaleEffects::default();
    stale.count_probes(&c);
    stale.count_member_messages(&c);
    let (tried, refused) = c.discovery.stale_requests.get();
    stale.received += tried;
    stale.refused += refused;
    let overlap = (stale.concurrent + stale.received - stale.refused) as f64;
    let mut claims = vec![
        Claim::at_most("fenced_overlap", overlap, 0.0, "effects"),
        Claim::at_least("stale_refused", stale.refused as f64, stale.received.max(1) as f64, "effects"),
        Claim::at_most("epoch_reused", w.reused_epochs as f64, 0.0, "epochs"),
    ];
    // What must never happen does not in any run; how long things take hangs on the machine, which CI shares.
    if !setup.short {
        claims.push(Claim::at_most(
            "handover_p99_ms",
            quantile(&w.handovers_ms, 0.99),
            MAX_HANDOVER_MS,
            "ms",
        ));
        claims.push(Claim::at_most("duty_gap_max_ms", w.longest_unheld_ms, MAX_UNHELD_MS, "ms"));
    }
    Ok(Report {
        experiment: "lease-stall".into(),
        short: setup.short,
        claims,
        figures: json!({"seed": setup.seed, "duties": w.last_held.len(), "leases": w.holder_by_epoch.len(),
            "handovers": w.handovers_ms.len(), "handover_p50_ms": quantile(&w.handovers_ms, 0.5).round(),
            "handover_p99_ms": quantile(&w.handovers_ms, 0.99).round(), "duty_gap_max_ms": w.longest_unheld_ms.round(),
            "duty_gap_lossy_ms": w.longest_unheld_lossy_ms.round(),
            "stale_tried": stale.received, "stale_at_the_list": tried, "duty_gap_of": w.longest_unheld_duty, "datagrams_lost": c.network.faults.datagrams_lost.get(),
            "datagrams_delayed": c.network.faults.datagrams_delayed.get(), "fence_refused": c.sum_counter("fence_refused").await,
            "faults": c.network.faults.records()}),
    })
}
