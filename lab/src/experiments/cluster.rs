//! A cluster of daemons that share duties, with their partners, clients and network.

use super::ExperimentContext;
use crate::daemon::Daemon;
use crate::testbed::clients::Clients;
use crate::testbed::discovery::Discovery;
use crate::testbed::network::Network;
use crate::testbed::partner::{CapacityModel, Partner};
use crate::testbed::{Runtime, sleep};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Size and configuration of a cluster.
pub struct Plan {
    /// The daemons are named after it: `n1`, `n2` and so on.
    pub name_prefix: &'static str,
    pub daemons: usize,
    pub partners: u64,
    /// The capacity of each partner.
    pub capacity_model: CapacityModel,
    /// Messages a second at each daemon.
    pub messages_per_s: f64,
    pub lease_s: f64,
    pub probes_per_s: f64,
    pub probe_timeout_s: f64,
    /// Whether each daemon probes for itself instead of one daemon for all.
    pub standalone_probes: bool,
    /// Whether one daemon requests the list and shares it with the others.
    pub share_list: bool,
    /// Whether the daemons elect a coordinator.
    pub elect_coordinator: bool,
    pub voters: usize,
    /// Whether the daemons run without `[duties]`, so that nothing is shared.
    pub without_duties: bool,
}

/// Running daemons and their stand-ins.
pub struct Cluster {
    pub daemons: Vec<Daemon>,
    pub partners: Vec<Rc<Partner>>,
    pub clients: Rc<Clients>,
    pub network: Rc<Network>,
    pub discovery: Rc<Discovery>,
    pub plan: Plan,
    runtime: Runtime,
}

/// Returns the text of `product.toml` of one daemon.
fn product_config(plan: &Plan, network: &Network, index: usize) -> String {
    if plan.without_duties {
        return String::new();
    }
    let mut out = format!(
        "[log]\nlevel = \"debug\"\nlines_per_s = 1000\n\
         [duties]\nlisten = \"127.0.0.1:0\"\nvoters = {}\nlease_s = {}\nsign = 1\n\
         list = {}\ncoordinator = {}\n[duties.probe]\nper_s = {}\npatience_s = {}\nalone = {}\n",
        plan.voters,
        plan.lease_s,
        plan.share_list,
        plan.elect_coordinator,
        plan.probes_per_s,
        plan.probe_timeout_s,
        plan.standalone_probes
    );
    for (to, address) in network.relays[index].iter().enumerate() {
        let _ =
            write!(out, "[[duties.member]]\nname = \"{}\"\naddress = \"{address}\"\n", daemon_name(plan, to));
    }
    let _ = write!(out, "[[duties.key]]\nid = 1\nsecret = \"{}\"\n", "5a".repeat(32));
    out
}

fn daemon_name(plan: &Plan, index: usize) -> String {
    format!("{}{}", plan.name_prefix, index + 1)
}

impl Cluster {
    /// Starts the stand-ins and all daemons.
    pub async fn start(context: &ExperimentContext, plan: Plan) -> Result<Cluster, String> {
        let runtime = context.runtime.clone();
        let partner = |destination| Partner::start(&runtime, destination, plan.capacity_model);
        let partners = (1..=plan.partners).map(partner).collect::<Result<Vec<_>, _>>()?;
        let discovery = Discovery::start(&runtime, &partners)?;
        let network = Network::start(&runtime, plan.daemons, context.seed)?;
        let destinations: Vec<_> = (1..=plan.partners).collect();
        let clients =
            Clients::start(&runtime, plan.daemons, &destinations, plan.messages_per_s, context.seed);
        let mut daemons = Vec::new();
        for i in 0..plan.daemons {
            let product_config = product_config(&plan, &network, i);
            let list = discovery.list_json();
            let daemon = Daemon::new(
                &daemon_name(&plan, i),
                &context.daemon_program,
                &context.output_dir,
                discovery.address,
                list,
                product_config,
                plan.daemons,
            )?;
            daemons.push(daemon);
        }
        let mut cluster = Cluster { daemons, partners, clients, network, discovery, plan, runtime };
        for i in 0..cluster.daemons.len() {
            cluster.start_daemon(i).await?;
        }
        Ok(cluster)
    }

    /// Starts a daemon and connects it to the network and the clients.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), String> {
        self.daemons[index].start().await?;
        self.network.targets[index].set(self.daemons[index].member_address);
        self.clients.daemon_addresses[index].set(self.daemons[index].client_address);
        Ok(())
    }

    /// Kills a daemon; its datagrams and messages go nowhere until it is started again.
    pub fn kill_daemon(&mut self, index: usize) {
        self.network.targets[index].set(None);
        self.clients.daemon_addresses[index].set(None);
        self.daemons[index].kill();
    }

    /// Returns every lease that a daemon reports to hold: the duty's kind and target, the epoch, the index of
    /// the daemon, and how often that daemon has been started.
    pub async fn leases(&self) -> Vec<(String, u64, u64, usize, u32)> {
        let mut leases = Vec::new();
        for (i, daemon) in self.daemons.iter().enumerate() {
            let Some(status) = daemon.get_json("/duties").await else { continue };
            for lease in status["owned"].as_array().into_iter().flatten() {
                let number = |key: &str| lease[key].as_u64().unwrap_or(0);
                let kind = lease["duty"].as_str().unwrap_or("?").to_owned();
                leases.push((kind, number("of"), number("epoch"), i, daemon.start_count()));
            }
        }
        leases
    }

    /// Returns, by partner, the daemons that report to hold the duty to probe it.
    pub async fn probe_holders(&self) -> BTreeMap<u64, Vec<usize>> {
        let mut holders: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (i, daemon) in self.daemons.iter().enumerate() {
            let Some(status) = daemon.get_json("/duties").await else { continue };
            let leases = status["owned"].as_array().into_iter().flatten();
            for lease in leases.filter(|lease| lease["duty"] == "probe") {
                holders.entry(lease["of"].as_u64().unwrap_or(0)).or_default().push(i);
            }
        }
        holders
    }

    /// Waits until the probe duty of each partner has exactly one holder. Returns the seconds that it took,
    /// or `None` after `timeout_s`.
    pub async fn wait_until_settled(&self, timeout_s: f64) -> Option<f64> {
        let started = self.runtime.now();
        while self.runtime.now() - started < timeout_s {
            let holders = self.probe_holders().await;
            if holders.len() as u64 == self.plan.partners && holders.values().all(|h| h.len() == 1) {
                return Some(self.runtime.now() - started);
            }
            sleep(0.05).await;
        }
        None
    }

    /// Returns the CPU time in seconds and the resident memory in kilobytes of all daemons together.
    pub fn cpu_and_memory(&self) -> (f64, u64) {
        let usages = self.daemons.iter().filter_map(Daemon::memory_and_cpu);
        usages.fold((0.0, 0), |sum, (rss, cpu)| (sum.0 + cpu, sum.1 + rss))
    }

    /// Fails if a daemon has exited by itself: the run is void then.
    pub fn check_for_crashes(&mut self) -> Result<(), String> {
        match self.daemons.iter_mut().find_map(|daemon| daemon.has_crashed().then(|| daemon.name.clone())) {
            Some(name) => Err(format!("{name} has crashed; its log is {name}/daemon.log")),
            None => Ok(()),
        }
    }

    /// Returns the sum of a counter over the daemons that respond.
    pub async fn sum_counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for daemon in &self.daemons {
            sum += daemon.get_json("/counters").await.and_then(|c| c[name].as_u64()).unwrap_or(0);
        }
        sum
    }
}
