//! One run: starts daemons and stand-ins, carries out the faults, and collects what was observed.

use super::clients::Clients;
use super::discovery::{Discovery, DiscoveryAddress};
use super::faults::{Fault, PlannedFault, RunSize, generate_faults};
use super::judge::{JudgeParameters, Verdict, judge};
use super::observations::{ClientResult, Message, ObservationLog, Restart};
use super::server::Server;
use super::settings::{DEDUP_WINDOW_S, settings};
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
pub struct SoakSize {
    pub daemons: usize,
    pub destinations: u64,
    /// Servers of each destination.
    pub servers_per_destination: usize,
    /// Messages a second that the clients of each daemon submit.
    pub messages_per_s: f64,
    /// Length of the load; the faults are begun in this time.
    pub duration_s: f64,
    pub seed: u64,
}

/// The result of a run.
pub struct Outcome {
    pub verdict: Verdict,
    /// Violations that the daemons counted themselves, by rule.
    pub violations_by_rule: BTreeMap<String, u64>,
    /// Lines of the daemons' logs that report a violation or a panic.
    pub logged_violations: Vec<String>,
    pub crashes: Vec<String>,
    /// Incomplete requests that were neither answered nor closed in time.
    pub unanswered_partial_requests: u64,
    pub figures: Value,
    /// Kinds of planned faults that had no effect, or were not carried out at all.
    pub faults_without_hit: Vec<&'static str>,
}

/// Time from the end of the submissions to the judgement: the longest deadline of a message, and the time
/// that its outcome may take beyond the deadline.
const OUTCOME_WAIT_S: f64 = 6.5;
/// The front proxy sends new connections to a daemon for this long after the daemon received SIGTERM.
pub(super) const NEW_CONNECTIONS_AFTER_SIGTERM_S: f64 = 0.3;
/// A process that has not exited this long after SIGTERM gets SIGKILL.
pub(super) const SIGKILL_AFTER_S: f64 = 3.7;
/// Time between the exit of a process and the start of the next one.
const RESTART_DELAY_S: f64 = 0.6;
/// Interval at which the run checks for an awaited state.
pub(super) const POLL_INTERVAL_S: f64 = 0.02;

/// One daemon, its clients, and the address at which it finds discovery. `daemon` is none while the daemon is
/// being started.
pub(super) struct Node {
    pub(super) daemon: RefCell<Option<Daemon>>,
    pub(super) clients: Rc<Clients>,
    pub(super) discovery_address: RefCell<DiscoveryAddress>,
    /// The daemon is being stopped, started or upgraded: nothing else stops or starts it in the meantime.
    pub(super) process_change_active: Cell<bool>,
    /// A class is being added to the daemon's settings, used and removed again.
    pub(super) settings_change_active: Cell<bool>,
    /// Servers that an operator has put into maintenance at this daemon.
    pub(super) in_maintenance: RefCell<BTreeSet<String>>,
}

/// The daemons and stand-ins of a run, and what has been observed of them.
pub(super) struct Run {
    pub(super) runtime: Runtime,
    pub(super) log: ObservationLog,
    pub(super) nodes: Vec<Rc<Node>>,
    pub(super) servers: RefCell<Vec<Rc<Server>>>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) crashes: RefCell<Vec<String>>,
    pub(super) replacement_count: Cell<u64>,
}

/// Carries out one run with real daemons.
pub async fn run_soak(setup: &ExperimentContext, soak: SoakSize) -> Result<Outcome, String> {
    let run = Rc::new(Run::start(setup, &soak).await?);
    let lateness = Rc::new(Cell::new(0.0f64));
    run.runtime.spawn(monitor_lateness(run.runtime.clone(), lateness.clone()));
    let servers = run.servers.borrow().len();
    let plan =
        generate_faults(RunSize { daemons: soak.daemons, servers, duration_s: soak.duration_s }, soak.seed);
    let load_started_at = run.runtime.now();
    for planned in &plan {
        sleep(load_started_at + planned.start_s - run.runtime.now()).await;
        run.log.with(|observations| *observations.faults_begun.entry(planned.fault.name()).or_default() += 1);
        let (this, planned) = (run.clone(), *planned);
        run.runtime.spawn(async move { this.apply_fault(planned).await });
    }
    sleep(load_started_at + soak.duration_s - run.runtime.now()).await;
    run.nodes.iter().for_each(|node| node.clients.stopped.set(true));
    sleep(OUTCOME_WAIT_S).await;
    run.finish(&plan, lateness.get()).await
}

impl Run {
    /// Starts all stand-ins and daemons, and waits until the daemons are ready.
    async fn start(setup: &ExperimentContext, soak: &SoakSize) -> Result<Run, String> {
        let (runtime, log) = (setup.runtime.clone(), ObservationLog::default());
        let mut servers = Vec::new();
        for destination in 1..=soak.destinations {
            for index in 0..soak.servers_per_destination {
                servers.push(Server::start(&runtime, &log, &format!("s{destination}-{index}"), destination)?);
            }
        }
        let discovery = Discovery::new(&runtime, &log, &servers, soak.seed);
        let mut nodes = Vec::new();
        for index in 0..soak.daemons {
            let address = discovery.open(index)?;
            let (name, last_list) = (format!("n{index}"), discovery.list(None));
            let mut daemon = Daemon::new(
                &name,
                &setup.daemon_program,
                &setup.output_dir,
                address.address,
                last_list,
                String::new(),
                soak.daemons,
            )?;
            daemon.settings = settings(soak.daemons, index);
            daemon.operators_enabled = true;
            daemon.preload = Some(Preload::with_plan(setup.output_dir.join(&name).join("faults"))?);
            let seed = soak.seed.wrapping_mul(1000).wrapping_add(index as u64);
            let clients = Clients::start(&runtime, &log, index, soak.destinations, soak.messages_per_s, seed);
            let (daemon, discovery_address) = (RefCell::new(Some(daemon)), RefCell::new(address));
            nodes.push(Rc::new(Node {
                daemon,
                clients,
                discovery_address,
                process_change_active: Cell::new(false),
                settings_change_active: Cell::new(false),
                in_maintenance: RefCell::default(),
            }));
        }
        let (servers, crashes, replacement_count) = (RefCell::new(servers), RefCell::default(), Cell::new(0));
        let run = Run { runtime, log, nodes, servers, discovery, crashes, replacement_count };
        for index in 0..soak.daemons {
            run.start_daemon(index).await?;
        }
        Ok(run)
    }

    /// Starts a daemon and waits until it is ready.
    async fn start_daemon(&self, index: usize) -> Result<(), String> {
        let node = &self.nodes[index];
        let mut daemon = node.daemon.borrow_mut().take().ok_or("it is being started already")?;
        if let Some(last_list) = self.discovery.last_list_sent_to(index) {
            daemon.set_cached_list(last_list);
        }
        let started = daemon.start().await;
        let client_address = daemon.client_address;
        node.daemon.replace(Some(daemon));
        started?;
        let at = client_address.ok_or("it does not listen")?;
        let request = "GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
        while send_request(at, request, Duration::from_millis(500)).await.map(|a| a.0) != Some(200) {
            sleep(POLL_INTERVAL_S).await;
        }
        node.clients.daemon_address.set(client_address);
        Ok(())
    }

    /// Carries out one fault, and records a hit if the fault could be applied.
    async fn apply_fault(self: Rc<Self>, planned: PlannedFault) {
        match planned.fault {
            Fault::Kill { daemon } => self.kill(daemon).await,
            Fault::Terminate { daemon, signals } => self.terminate(daemon, signals).await,
            Fault::Upgrade { daemon, scenario } => self.upgrade(daemon, scenario).await,
            Fault::HangupSignals { daemon, count } => self.send_sighups(daemon, count).await,
            Fault::Maintenance { daemon, server } => {
                self.maintenance(daemon, server, planned.duration_s).await
            }
            Fault::SettingsChange { daemon } => self.change_settings(daemon, planned.duration_s).await,
            Fault::ConnectionFlood { daemon, connections } => {
                if let Some(at) = self.nodes[daemon].clients.daemon_address.get() {
                    self.log.record_fault_hit("crowd");
                    self.nodes[daemon].clients.flood(at, connections, planned.duration_s).await;
                }
            }
            Fault::Stall { daemon } => self.stall(daemon, planned.duration_s).await,
            Fault::DiscoveryMoves { daemon, count } => self.move_discovery(daemon, count).await,
            Fault::InvalidReload { daemon } => {
                let done = self.with_running(daemon, |d| d.reload_invalid_config().is_ok());
                if done == Some(true) {
                    self.log.record_fault_hit("broken_reload");
                }
            }
            Fault::DescriptorExhaustion { daemon } => {
                self.exhaust_descriptors(daemon, planned.duration_s).await
            }
            Fault::DiskFailure { daemon, failure } => {
                self.fail_disk(daemon, failure, planned.duration_s).await
            }
            Fault::ClockStep { daemon, offset_s } => {
                self.step_clock(daemon, offset_s);
                self.kill(daemon).await;
            }
            Fault::Discovery { mode } => self.impair_discovery(mode, planned.duration_s).await,
            Fault::Server { server, mode } => self.impair_server(server, mode, planned.duration_s).await,
            Fault::ReplaceServer { server } => self.replace(server).await,
        }
    }

    /// Whether the clients have stopped submitting messages.
    pub(super) fn submissions_stopped(&self) -> bool {
        self.nodes.iter().all(|node| node.clients.stopped.get())
    }

    /// Calls a function with a daemon if that daemon is running.
    pub(super) fn with_running<T>(&self, index: usize, call: impl FnOnce(&mut Daemon) -> T) -> Option<T> {
        let is_running = self.nodes[index].clients.daemon_address.get().is_some();
        self.nodes[index].daemon.borrow_mut().as_mut().filter(|_| is_running).map(call)
    }

    /// Records a crash if a daemon's process exited by itself. Returns false in that case.
    pub(super) fn check_for_crash(&self, index: usize) -> bool {
        let crashed = self.with_running(index, Daemon::has_crashed).unwrap_or(false);
        if crashed {
            self.crashes.borrow_mut().push(format!("n{index} at {:.1} s", self.runtime.now()));
        }
        !crashed
    }

    /// Records that a daemon is going down, and returns the index of the restart.
    pub(super) fn record_restart(&self, index: usize) -> usize {
        let signalled_at = self.runtime.now();
        self.log.with(|observations| {
            observations.restarts.push(Restart {
                daemon: index,
                signalled_at,
                exited_at: None,
                ready_at: None,
            });
            observations.restarts.len() - 1
        })
    }

    /// Starts a daemon whose process has exited, and records when it is ready.
    pub(super) async fn restart_daemon(&self, index: usize, restart: usize) {
        let exited_at = self.runtime.now();
        self.log.with(|observations| observations.restarts[restart].exited_at = Some(exited_at));
        sleep(RESTART_DELAY_S).await;
        if let Err(e) = self.start_daemon(index).await {
            self.crashes.borrow_mut().push(format!("n{index} does not start: {e}"));
            return;
        }
        let ready_at = self.runtime.now();
        self.log.with(|observations| observations.restarts[restart].ready_at = Some(ready_at));
    }

    /// Collects the daemons' counters and log lines, and judges the run.
    async fn finish(&self, plan: &[PlannedFault], lateness_s: f64) -> Result<Outcome, String> {
        let mut counted: BTreeMap<String, u64> = BTreeMap::new();
        let mut logged = Vec::new();
        let mut longest_unanswered_list_call_ms = 0;
        for (index, node) in self.nodes.iter().enumerate() {
            self.check_for_crash(index);
            // The daemon is taken out of its cell, because no borrow may be held across the request.
            let Some(daemon) = node.daemon.borrow_mut().take() else { continue };
            let counters = daemon.get_json("/counters").await.unwrap_or_default();
            for (name, count) in counters.as_object().into_iter().flatten() {
                if name.starts_with("violations_") {
                    *counted.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
                }
            }
            let unanswered = counters["list_unanswered_most_ms"].as_u64().unwrap_or(0);
            longest_unanswered_list_call_ms = longest_unanswered_list_call_ms.max(unanswered);
            logged.extend(
                daemon.log_lines_containing("violation:").into_iter().map(|line| format!("n{index}: {line}")),
            );
            logged.extend(
                daemon.log_lines_containing("panicked").into_iter().map(|line| format!("n{index}: {line}")),
            );
            node.daemon.replace(Some(daemon));
        }
        let parameters = JudgeParameters { dedup_window_s: DEDUP_WINDOW_S, lateness_s };
        let bad_unanswered = self.nodes.iter().map(|node| node.clients.bad_unanswered.get()).sum();
        let planned: Vec<_> = plan.iter().map(|p| p.fault.name()).collect();
        let outcome = self.log.with(|observations| {
            let verdict = judge(observations, parameters);
            let mut not_met: Vec<_> =
                planned.iter().copied().filter(|f| !observations.fault_hits.contains_key(f)).collect();
            not_met.sort_unstable();
            not_met.dedup();
            let message_count = |status: u16| {
                let has_status = |m: &&Message| m.client_result == Some(ClientResult::Status(status));
                observations.messages.values().filter(has_status).count()
            };
            let delivered = observations.calls.iter().filter(|c| c.status == Some(200)).count();
            let figures = json!({
                "messages": observations.messages.len(), "taken_on": message_count(202),
                "refused": message_count(503), "calls": observations.calls.len(), "delivered": delivered,
                "drains": observations.drains.len(), "restarts": observations.restarts.len(),
                "faults_begun": observations.faults_begun, "faults_met": observations.fault_hits,
                "stand_ins_late_s": lateness_s, "list_unanswered_most_ms": longest_unanswered_list_call_ms,
            });
            Outcome {
                verdict,
                violations_by_rule: counted,
                logged_violations: logged,
                crashes: self.crashes.take(),
                unanswered_partial_requests: bad_unanswered,
                figures,
                faults_without_hit: not_met,
            }
        });
        Ok(outcome)
    }
}
