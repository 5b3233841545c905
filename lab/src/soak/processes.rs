//! Faults of a daemon's processes: kills, terminations, series of signals, and upgrades with a second
//! process.

use super::faults::UpgradeScenario;
use super::observations::Upgrade;
use super::run::{NEW_CONNECTIONS_AFTER_SIGTERM_S, POLL_INTERVAL_S, Run, SIGKILL_AFTER_S};
use crate::daemon::{Daemon, ProcessChoice, send_operator_command};
use crate::testbed::sleep;

/// Time within which the second process of an upgrade must be ready.
const SECOND_PROCESS_READY_WITHIN_S: f64 = 6.0;
/// Interval between the signals of a series.
const SIGNAL_INTERVAL_S: f64 = 0.015;

impl Run {
    /// Reserves a daemon for a stop, start or upgrade. Returns false if another one is under way, or if the
    /// daemon has crashed.
    fn begin_process_change(&self, index: usize) -> bool {
        !self.nodes[index].process_change_active.get() && self.check_for_crash(index) && {
            self.nodes[index].process_change_active.set(true);
            true
        }
    }

    fn end_process_change(&self, index: usize) {
        self.nodes[index].process_change_active.set(false);
    }

    /// Kills a daemon's process, and starts the daemon again.
    pub(super) async fn kill(&self, index: usize) {
        if !self.begin_process_change(index) {
            return;
        }
        if self.nodes[index].clients.daemon_address.take().is_some() {
            self.log.record_fault_hit("daemon_killed");
            let restart = self.record_restart(index);
            if let Some(daemon) = self.nodes[index].daemon.borrow_mut().as_mut() {
                daemon.kill();
            }
            self.restart_daemon(index, restart).await;
        }
        self.end_process_change(index);
    }

    /// Sends SIGTERM, and starts the daemon again. Clients go on using their open connections until the
    /// process has exited.
    pub(super) async fn terminate(&self, index: usize, signals: u32) {
        if !self.begin_process_change(index) {
            return;
        }
        if self.with_running(index, |d| d.terminate()).is_some() {
            self.log.record_fault_hit("daemon_terminated");
            let restart = self.record_restart(index);
            let signalled_at = self.runtime.now();
            for _ in 1..signals {
                sleep(SIGNAL_INTERVAL_S).await;
                self.with_running(index, |d| {
                    d.send_sighup();
                    d.terminate();
                });
            }
            sleep(signalled_at + NEW_CONNECTIONS_AFTER_SIGTERM_S - self.runtime.now()).await;
            let clients = &self.nodes[index].clients;
            clients.draining_address.set(clients.daemon_address.take());
            self.wait_for_exit(index, signalled_at + SIGKILL_AFTER_S, Daemon::has_exited, Daemon::kill).await;
            clients.draining_address.set(None);
            self.restart_daemon(index, restart).await;
        }
        self.end_process_change(index);
    }

    /// Waits until a process has exited, and kills it at `sigkill_at`.
    async fn wait_for_exit(
        &self, index: usize, sigkill_at: f64, has_exited: fn(&mut Daemon) -> bool, kill: fn(&mut Daemon),
    ) {
        loop {
            sleep(POLL_INTERVAL_S).await;
            let mut daemon = self.nodes[index].daemon.borrow_mut();
            let Some(daemon) = daemon.as_mut() else { continue };
            if has_exited(daemon) {
                return;
            }
            if self.runtime.now() > sigkill_at {
                return kill(daemon);
            }
        }
    }

    /// Upgrades a daemon: a second process is started on the same state directory and at the same address.
    pub(super) async fn upgrade(&self, index: usize, scenario: UpgradeScenario) {
        let is_running = self.nodes[index].clients.daemon_address.get().is_some();
        if !is_running || !self.begin_process_change(index) {
            return;
        }
        let taken = self.nodes[index].daemon.borrow_mut().take();
        if let Some(daemon) = taken {
            self.log.record_fault_hit("daemon_upgraded");
            self.start_second_process(index, daemon, scenario).await;
        }
        self.end_process_change(index);
    }

    /// Starts the second process of an upgrade, and continues as the scenario says.
    async fn start_second_process(&self, index: usize, mut daemon: Daemon, scenario: UpgradeScenario) {
        let started_at = self.runtime.now();
        let upgrade_index = self.log.with(|observations| {
            observations.upgrades.push(Upgrade {
                daemon: index,
                started_at,
                ready_at: None,
                killed_at: None,
            });
            observations.upgrades.len() - 1
        });
        if let Some(last_list) = self.discovery.last_list_sent_to(index) {
            daemon.set_cached_list(last_list);
        }
        let started = daemon.start_sibling().await;
        let operator_address = daemon.operator_address(ProcessChoice::Newest);
        self.nodes[index].daemon.replace(Some(daemon));
        if let Err(e) = started {
            self.crashes.borrow_mut().push(format!("n{index} does not start beside itself: {e}"));
            return;
        }
        if scenario == UpgradeScenario::NewKilled {
            self.with_running(index, Daemon::kill_newest);
            self.record_kill(upgrade_index);
            return;
        }
        while operator_address.is_none() || !reports_ready(operator_address).await {
            sleep(POLL_INTERVAL_S).await;
            if self.runtime.now() > started_at + SECOND_PROCESS_READY_WITHIN_S {
                self.crashes.borrow_mut().push(format!("n{index}: its second process is not ready in time"));
                break;
            }
        }
        let ready_at = self.runtime.now();
        self.log.with(|observations| observations.upgrades[upgrade_index].ready_at = Some(ready_at));
        if scenario == UpgradeScenario::OldKilled {
            self.record_kill(upgrade_index);
            self.with_running(index, Daemon::kill_previous);
            return;
        }
        if self.with_running(index, Daemon::previous_has_exited) == Some(true) {
            self.crashes.borrow_mut().push(format!("n{index}: its old process ended before it was told to"));
        }
        self.with_running(index, |d| d.terminate_previous());
        self.wait_for_exit(
            index,
            ready_at + SIGKILL_AFTER_S,
            Daemon::previous_has_exited,
            Daemon::kill_previous,
        )
        .await;
    }

    /// Records that one of the processes of an upgrade was killed.
    fn record_kill(&self, upgrade: usize) {
        let now = self.runtime.now();
        self.log.with(|observations| observations.upgrades[upgrade].killed_at = Some(now));
    }

    /// Sends a series of SIGHUPs to a daemon.
    pub(super) async fn send_sighups(&self, index: usize, count: u32) {
        for _ in 0..count {
            if self.with_running(index, |d| d.send_sighup()).is_none() {
                return;
            }
            self.log.record_fault_hit("signals_in_series");
            sleep(SIGNAL_INTERVAL_S).await;
        }
    }
}

/// Whether a process answers a status command at its operator address.
async fn reports_ready(operator_address: Option<std::net::SocketAddr>) -> bool {
    let Some(at) = operator_address else { return false };
    send_operator_command(at, "status").await.is_some_and(|answer| answer.starts_with("200"))
}
