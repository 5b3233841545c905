//! One run: starts all, carries the faults out, and collects what was seen.

use super::clients::Clients;
use super::discovery::{Address, Discovery};
use super::faults::{Extent, Fault, Planned, draw};
use super::judge::{Terms, Verdict, judge};
use super::ledger::{Ledger, Restart};
use super::server::Server;
use super::settings::{WINDOW_S, settings};
use crate::daemon::{Daemon, Preload};
use crate::experiments::ExperimentContext;
use crate::http::send_request;
use crate::testbed::{Runtime, monitor_lateness, sleep};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    pub daemons: usize,
    pub destinations: u64,
    pub servers_each: usize,
    /// Messages a second at each daemon.
    pub rate: f64,
    pub seconds: f64,
    pub seed: u64,
}

/// What a run ended in.
pub struct Outcome {
    pub verdict: Verdict,
    /// Violations that the daemons counted themselves, by rule, and lines of their logs that tell of one.
    pub counted: BTreeMap<String, u64>,
    pub logged: Vec<String>,
    pub crashes: Vec<String>,
    pub bad_unanswered: u64,
    pub figures: Value,
    /// Kinds of faults that were begun or had to be met, and were not.
    pub not_met: Vec<&'static str>,
}

/// The longest time of a message, and what its end may take beyond it.
const SETTLE_S: f64 = 6.5;
/// The front deals out new connections for so long after SIGTERM.
pub(super) const FRONT_S: f64 = 0.3;
pub(super) const KILL_AFTER_S: f64 = 3.7;
const START_AFTER_S: f64 = 0.6;
pub(super) const LOOK_S: f64 = 0.02;

/// One daemon, its clients, and where it finds discovery. The daemon is taken out while it is being started.
pub(super) struct Node {
    pub(super) daemon: RefCell<Option<Daemon>>,
    pub(super) clients: Rc<Clients>,
    pub(super) address: RefCell<Address>,
    /// It is being ended, started or upgraded: nothing else ends or starts it meanwhile.
    pub(super) changing: Cell<bool>,
    /// A class is being added there, used and dropped.
    pub(super) settings_change: Cell<bool>,
    /// Servers that an operator has taken out there.
    pub(super) out: RefCell<BTreeSet<String>>,
}

pub(super) struct Run {
    pub(super) world: Runtime,
    pub(super) ledger: Ledger,
    pub(super) nodes: Vec<Rc<Node>>,
    pub(super) servers: RefCell<Vec<Rc<Server>>>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) crashes: RefCell<Vec<String>>,
    pub(super) replaced: Cell<u64>,
}

/// Plays one run with real daemons.
pub async fn play(setup: &ExperimentContext, soak: Soak) -> Result<Outcome, String> {
    let run = Rc::new(Run::start(setup, &soak).await?);
    let lateness = Rc::new(Cell::new(0.0f64));
    run.world.spawn(monitor_lateness(run.world.clone(), lateness.clone()));
    let servers = run.servers.borrow().len();
    let plan = draw(Extent { daemons: soak.daemons, servers, seconds: soak.seconds }, soak.seed);
    let begin = run.world.now();
    for planned in &plan {
        sleep(begin + planned.at - run.world.now()).await;
        run.ledger.with(|seen| *seen.begun.entry(planned.fault.name()).or_default() += 1);
        let (this, planned) = (run.clone(), *planned);
        run.world.spawn(async move { this.carry_out(planned).await });
    }
    sleep(begin + soak.seconds - run.world.now()).await;
    run.nodes.iter().for_each(|n| n.clients.over.set(true));
    sleep(SETTLE_S).await;
    run.end(&plan, lateness.get()).await
}

impl Run {
    async fn start(setup: &ExperimentContext, soak: &Soak) -> Result<Run, String> {
        let (world, ledger) = (setup.runtime.clone(), Ledger::default());
        let mut servers = Vec::new();
        for destination in 1..=soak.destinations {
            for i in 0..soak.servers_each {
                servers.push(Server::start(&world, &ledger, &format!("s{destination}-{i}"), destination)?);
            }
        }
        let discovery = Discovery::new(&world, &ledger, &servers, soak.seed);
        let mut nodes = Vec::new();
        for i in 0..soak.daemons {
            let address = discovery.open(i)?;
            let (name, known) = (format!("n{i}"), discovery.list(None));
            let mut daemon = Daemon::new(
                &name,
                &setup.daemon_program,
                &setup.output_dir,
                address.at,
                known,
                String::new(),
                soak.daemons,
            )?;
            daemon.settings = settings(soak.daemons, i);
            daemon.operators_enabled = true;
            daemon.preload = Some(Preload::with_plan(setup.output_dir.join(&name).join("faults"))?);
            let seed = soak.seed.wrapping_mul(1000).wrapping_add(i as u64);
            let clients = Clients::start(&world, &ledger, i, soak.destinations, soak.rate, seed);
            let (daemon, address) = (RefCell::new(Some(daemon)), RefCell::new(address));
            nodes.push(Rc::new(Node {
                daemon,
                clients,
                address,
                changing: Cell::new(false),
                settings_change: Cell::new(false),
                out: RefCell::default(),
            }));
        }
        let (servers, crashes, replaced) = (RefCell::new(servers), RefCell::default(), Cell::new(0));
        let run = Run { world, ledger, nodes, servers, discovery, crashes, replaced };
        for i in 0..soak.daemons {
            run.up(i).await?;
        }
        Ok(run)
    }

    /// Starts a daemon and waits until it is ready.
    async fn up(&self, i: usize) -> Result<(), String> {
        let node = &self.nodes[i];
        let mut daemon = node.daemon.borrow_mut().take().ok_or("it is being started already")?;
        if let Some(known) = self.discovery.known_to(i) {
            daemon.set_cached_list(known);
        }
        let started = daemon.start().await;
        let http = daemon.client_address;
        node.daemon.replace(Some(daemon));
        started?;
        let at = http.ok_or("it does not listen")?;
        let request = "GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
        while send_request(at, request, Duration::from_millis(500)).await.map(|a| a.0) != Some(200) {
            sleep(LOOK_S).await;
        }
        node.clients.at.set(http);
        Ok(())
    }

    async fn carry_out(self: Rc<Self>, planned: Planned) {
        match planned.fault {
            Fault::Kill { daemon } => self.kill(daemon).await,
            Fault::Terminate { daemon, signals } => self.terminate(daemon, signals).await,
            Fault::Upgrade { daemon, ends } => self.upgrade(daemon, ends).await,
            Fault::HangUps { daemon, count } => self.hang_up(daemon, count).await,
            Fault::Maintenance { daemon, server } => self.maintenance(daemon, server, planned.lasts).await,
            Fault::Settings { daemon } => self.change_settings(daemon, planned.lasts).await,
            Fault::Crowd { daemon, clients } => {
                if let Some(at) = self.nodes[daemon].clients.at.get() {
                    self.ledger.met("crowd");
                    self.nodes[daemon].clients.crowd(at, clients, planned.lasts).await;
                }
            }
            Fault::Stall { daemon } => self.stall(daemon, planned.lasts).await,
            Fault::Reloads { daemon, count } => self.reload(daemon, count).await,
            Fault::BrokenReload { daemon } => {
                let done = self.with(daemon, |d| d.reload_invalid_config().is_ok());
                if done == Some(true) {
                    self.ledger.met("broken_reload");
                }
            }
            Fault::NoDescriptors { daemon } => self.no_descriptors(daemon, planned.lasts).await,
            Fault::Disk { daemon, fault } => self.trouble_disk(daemon, fault, planned.lasts).await,
            Fault::ClockStep { daemon, seconds } => {
                self.step_clock(daemon, seconds);
                self.kill(daemon).await;
            }
            Fault::Discovery { mode } => self.trouble_discovery(mode, planned.lasts).await,
            Fault::Server { server, mode } => self.trouble_server(server, mode, planned.lasts).await,
            Fault::Replace { server } => self.replace(server).await,
        }
    }

    /// Nothing more is handed in.
    pub(super) fn is_over(&self) -> bool {
        self.nodes.iter().all(|node| node.clients.over.get())
    }

    /// Does something with a daemon that is up.
    pub(super) fn with<T>(&self, i: usize, what: impl FnOnce(&mut Daemon) -> T) -> Option<T> {
        let up = self.nodes[i].clients.at.get().is_some();
        self.nodes[i].daemon.borrow_mut().as_mut().filter(|_| up).map(what)
    }

    /// A daemon that ended by itself is a crash.
    pub(super) fn look(&self, i: usize) -> bool {
        let crashed = self.with(i, Daemon::has_crashed).unwrap_or(false);
        if crashed {
            self.crashes.borrow_mut().push(format!("n{i} at {:.1} s", self.world.now()));
        }
        !crashed
    }

    pub(super) fn goes_down(&self, i: usize) -> usize {
        let signal = self.world.now();
        self.ledger.with(|seen| {
            seen.restarts.push(Restart { daemon: i, from: signal, down: None, ready: None });
            seen.restarts.len() - 1
        })
    }

    pub(super) async fn comes_back(&self, i: usize, restart: usize) {
        let down = self.world.now();
        self.ledger.with(|seen| seen.restarts[restart].down = Some(down));
        sleep(START_AFTER_S).await;
        if let Err(e) = self.up(i).await {
            self.crashes.borrow_mut().push(format!("n{i} does not start: {e}"));
            return;
        }
        let ready = self.world.now();
        self.ledger.with(|seen| seen.restarts[restart].ready = Some(ready));
    }

    async fn end(&self, plan: &[Planned], lateness_s: f64) -> Result<Outcome, String> {
        let mut counted: BTreeMap<String, u64> = BTreeMap::new();
        let mut logged = Vec::new();
        let mut list_unanswered_most_ms = 0;
        for (i, node) in self.nodes.iter().enumerate() {
            self.look(i);
            // Taken out, for the question takes its time.
            let Some(daemon) = node.daemon.borrow_mut().take() else { continue };
            let counters = daemon.get_json("/counters").await.unwrap_or_default();
            for (name, n) in counters.as_object().into_iter().flatten() {
                if name.starts_with("violations_") {
                    *counted.entry(name.clone()).or_default() += n.as_u64().unwrap_or(0);
                }
            }
            let unanswered = counters["list_unanswered_most_ms"].as_u64().unwrap_or(0);
            list_unanswered_most_ms = list_unanswered_most_ms.max(unanswered);
            logged.extend(
                daemon.log_lines_containing("violation:").into_iter().map(|line| format!("n{i}: {line}")),
            );
            logged.extend(
                daemon.log_lines_containing("panicked").into_iter().map(|line| format!("n{i}: {line}")),
            );
            node.daemon.replace(Some(daemon));
        }
        let terms = Terms { window_s: WINDOW_S, lateness_s };
        let bad_unanswered = self.nodes.iter().map(|n| n.clients.bad_unanswered.get()).sum();
        let planned: Vec<_> = plan.iter().map(|p| p.fault.name()).collect();
        let outcome = self.ledger.with(|seen| {
            let verdict = judge(seen, terms);
            let mut not_met: Vec<_> = planned.iter().copied().filter(|f| !seen.met.contains_key(f)).collect();
            not_met.sort_unstable();
            not_met.dedup();
            let heard = |status: u16| {
                let is = |m: &&super::ledger::Message| m.heard == Some(super::ledger::Heard::Status(status));
                seen.messages.values().filter(is).count()
            };
            let delivered = seen.calls.iter().filter(|c| c.status == Some(200)).count();
            let figures = json!({
                "messages": seen.messages.len(), "taken_on": heard(202), "refused": heard(503),
                "calls": seen.calls.len(), "delivered": delivered, "drains": seen.drained.len(),
                "restarts": seen.restarts.len(), "faults_begun": seen.begun, "faults_met": seen.met,
                "stand_ins_late_s": lateness_s, "list_unanswered_most_ms": list_unanswered_most_ms,
            });
            Outcome {
                verdict,
                counted,
                logged,
                crashes: self.crashes.take(),
                bad_unanswered,
                figures,
                not_met,
            }
        });
        Ok(outcome)
    }
}
