//! Daemons that share duties, their partners, clients and network.

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

pub struct Plan {
    pub name_prefix: &'static str,
    pub daemons: usize,
    pub partners: u64,
    pub capacity_model: CapacityModel,
    /// Messages a second at each daemon.
    pub messages_per_s: f64,
    pub lease_s: f64,
    pub probes_per_s: f64,
    pub probe_timeout_s: f64,
    pub standalone_probes: bool,
    /// One asks for the list and tells the others.
    pub share_list: bool,
    /// One leads.
    pub elect_coordinator: bool,
    pub voters: usize,
    /// Nothing of all this: daemons without `[duties]`.
    pub without_duties: bool,
}

pub struct Cluster {
    pub daemons: Vec<Daemon>,
    pub partners: Vec<Rc<Partner>>,
    pub clients: Rc<Clients>,
    pub network: Rc<Network>,
    pub discovery: Rc<Discovery>,
    pub plan: Plan,
    runtime: Runtime,
}

fn product_config(plan: &Plan, net: &Network, me: usize) -> String {
    if plan.without_duties {
        return String::new();
    }
    let mut out = format!(
        "[log]\nlevel = \"debug\"\nlines_per_s = 1000\n[duties]\nlisten = \"127.0.0.1:0\"\nvoters = {}\nlease_s = {}\nsign = 1\nlist = {}\ncoordinator = {}\n[duties.probe]\nper_s = {}\n\
         patience_s = {}\nalone = {}\n",
        plan.voters,
        plan.lease_s,
        plan.share_list,
        plan.elect_coordinator,
        plan.probes_per_s,
        plan.probe_timeout_s,
        plan.standalone_probes
    );
    for (to, address) in net.relays[me].iter().enumerate() {
        let _ =
            write!(out, "[[duties.member]]\nname = \"{}\"\naddress = \"{address}\"\n", daemon_name(plan, to));
    }
    let _ = write!(out, "[[duties.key]]\nid = 1\nsecret = \"{}\"\n", "5a".repeat(32));
    out
}

fn daemon_name(plan: &Plan, i: usize) -> String {
    format!("{}{}", plan.name_prefix, i + 1)
}

impl Cluster {
    pub async fn start(setup: &ExperimentContext, plan: Plan) -> Result<Cluster, String> {
        let world = setup.runtime.clone();
        let partner = |d| Partner::start(&world, d, plan.capacity_model);
        let partners = (1..=plan.partners).map(partner).collect::<Result<Vec<_>, _>>()?;
        let discovery = Discovery::start(&world, &partners)?;
        let net = Network::start(&world, plan.daemons, setup.seed)?;
        let destinations: Vec<_> = (1..=plan.partners).collect();
        let clients = Clients::start(&world, plan.daemons, &destinations, plan.messages_per_s, setup.seed);
        let mut daemons = Vec::new();
        for i in 0..plan.daemons {
            let product = product_config(&plan, &net, i);
            let list = discovery.list_json();
            let d = Daemon::new(
                &daemon_name(&plan, i),
                &setup.daemon_program,
                &setup.output_dir,
                discovery.address,
                list,
                product,
                plan.daemons,
            )?;
            daemons.push(d);
        }
        let mut cluster =
            Cluster { daemons, partners, clients, network: net, discovery, plan, runtime: world };
        for i in 0..cluster.daemons.len() {
            cluster.start_daemon(i).await?;
        }
        Ok(cluster)
    }

    pub async fn start_daemon(&mut self, i: usize) -> Result<(), String> {
        self.daemons[i].start().await?;
        self.network.targets[i].set(self.daemons[i].member_address);
        self.clients.daemon_addresses[i].set(self.daemons[i].client_address);
        Ok(())
    }

    pub fn kill_daemon(&mut self, i: usize) {
        self.network.targets[i].set(None);
        self.clients.daemon_addresses[i].set(None);
        self.daemons[i].kill();
    }

    /// Every lease that a daemon says it holds: its kind, of what, its epoch, whose, and in which life.
    pub async fn leases(&self) -> Vec<(String, u64, u64, usize, u32)> {
        let mut all = Vec::new();
        for (i, d) in self.daemons.iter().enumerate() {
            let Some(shown) = d.get_json("/duties").await else { continue };
            for o in shown["owned"].as_array().into_iter().flatten() {
                let number = |key: &str| o[key].as_u64().unwrap_or(0);
                let kind = o["duty"].as_str().unwrap_or("?").to_owned();
                all.push((kind, number("of"), number("epoch"), i, d.start_count()));
            }
        }
        all
    }

    /// Which daemons say that they probe which partner.
    pub async fn probe_holders(&self) -> BTreeMap<u64, Vec<usize>> {
        let mut owners: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (i, d) in self.daemons.iter().enumerate() {
            let Some(shown) = d.get_json("/duties").await else { continue };
            let owned = shown["owned"].as_array().into_iter().flatten();
            for o in owned.filter(|o| o["duty"] == "probe") {
                owners.entry(o["of"].as_u64().unwrap_or(0)).or_default().push(i);
            }
        }
        owners
    }

    /// Waits until each partner's duty has one owner. The seconds that it took; none if it took too long.
    pub async fn wait_until_settled(&self, within: f64) -> Option<f64> {
        let began = self.runtime.now();
        while self.runtime.now() - began < within {
            let owners = self.probe_holders().await;
            if owners.len() as u64 == self.plan.partners && owners.values().all(|o| o.len() == 1) {
                return Some(self.runtime.now() - began);
            }
            sleep(0.05).await;
        }
        None
    }

    /// Seconds of the processor that all have taken, and kilobytes of memory that they have.
    pub fn cpu_and_memory(&self) -> (f64, u64) {
        let costs = self.daemons.iter().filter_map(Daemon::memory_and_cpu);
        costs.fold((0.0, 0), |sum, (rss, cpu)| (sum.0 + cpu, sum.1 + rss))
    }

    /// A daemon that ended by itself voids the run.
    pub fn check_for_crashes(&mut self) -> Result<(), String> {
        match self.daemons.iter_mut().find_map(|d| d.has_crashed().then(|| d.name.clone())) {
            Some(name) => Err(format!("{name} has crashed; its log is {name}/daemon.log")),
            None => Ok(()),
        }
    }

    /// The sum of a counter over the daemons that are up.
    pub async fn sum_counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for d in &self.daemons {
            sum += d.get_json("/counters").await.and_then(|c| c[name].as_u64()).unwrap_or(0);
        }
        sum
    }
}
