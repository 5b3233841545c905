//! What happens to the processes of a daemon: killed, ended, signalled, and a second one beside the first.

use super::faults::UpgradeEnds;
use super::ledger::Upgrade;
use super::run::{FRONT_S, KILL_AFTER_S, LOOK_S, Run};
use crate::daemon::{Daemon, ProcessChoice, send_operator_command};
use crate::testbed::sleep;

/// A second process has to be ready within this.
const READY_WITHIN_S: f64 = 6.0;
/// Between the signals of a series.
const SIGNAL_EVERY_S: f64 = 0.015;

impl Run {
    /// Begins to end, start or upgrade a daemon, unless that is under way.
    fn begin_change(&self, i: usize) -> bool {
        !self.nodes[i].changing.get() && self.look(i) && {
            self.nodes[i].changing.set(true);
            true
        }
    }

    fn end_change(&self, i: usize) {
        self.nodes[i].changing.set(false);
    }

    pub(super) async fn kill(&self, i: usize) {
        if !self.begin_change(i) {
            return;
        }
        if self.nodes[i].clients.at.take().is_some() {
            self.ledger.met("daemon_killed");
            let restart = self.goes_down(i);
            if let Some(daemon) = self.nodes[i].daemon.borrow_mut().as_mut() {
                daemon.kill();
            }
            self.comes_back(i, restart).await;
        }
        self.end_change(i);
    }

    /// Clients go on using open connections until the process has gone.
    pub(super) async fn terminate(&self, i: usize, signals: u32) {
        if !self.begin_change(i) {
            return;
        }
        if self.with(i, |d| d.terminate()).is_some() {
            self.ledger.met("daemon_terminated");
            let restart = self.goes_down(i);
            let signalled = self.world.now();
            for _ in 1..signals {
                sleep(SIGNAL_EVERY_S).await;
                self.with(i, |d| {
                    d.send_sighup();
                    d.terminate();
                });
            }
            sleep(signalled + FRONT_S - self.world.now()).await;
            let clients = &self.nodes[i].clients;
            clients.ending.set(clients.at.take());
            self.wait_for_end(i, signalled + KILL_AFTER_S, Daemon::has_exited, Daemon::kill).await;
            clients.ending.set(None);
            self.comes_back(i, restart).await;
        }
        self.end_change(i);
    }

    /// Looks until a process has ended. At a time it is killed.
    async fn wait_for_end(
        &self, i: usize, kill_at: f64, has_ended: fn(&mut Daemon) -> bool, kill: fn(&mut Daemon),
    ) {
        loop {
            sleep(LOOK_S).await;
            let mut daemon = self.nodes[i].daemon.borrow_mut();
            let Some(daemon) = daemon.as_mut() else { continue };
            if has_ended(daemon) {
                return;
            }
            if self.world.now() > kill_at {
                return kill(daemon);
            }
        }
    }

    /// A second process beside the first, over the same folder and at the same address.
    pub(super) async fn upgrade(&self, i: usize, ends: UpgradeEnds) {
        let up = self.nodes[i].clients.at.get().is_some();
        if !up || !self.begin_change(i) {
            return;
        }
        let taken = self.nodes[i].daemon.borrow_mut().take();
        if let Some(daemon) = taken {
            self.ledger.met("daemon_upgraded");
            self.start_beside(i, daemon, ends).await;
        }
        self.end_change(i);
    }

    async fn start_beside(&self, i: usize, mut daemon: Daemon, ends: UpgradeEnds) {
        let from = self.world.now();
        let number = self.ledger.with(|seen| {
            seen.upgrades.push(Upgrade { daemon: i, from, ready: None, killed: None });
            seen.upgrades.len() - 1
        });
        if let Some(known) = self.discovery.known_to(i) {
            daemon.set_cached_list(known);
        }
        let started = daemon.start_sibling().await;
        let operators = daemon.operator_address(ProcessChoice::Newest);
        self.nodes[i].daemon.replace(Some(daemon));
        if let Err(e) = started {
            self.crashes.borrow_mut().push(format!("n{i} does not start beside itself: {e}"));
            return;
        }
        if ends == UpgradeEnds::NewKilled {
            self.with(i, Daemon::kill_newest);
            self.killed(number);
            return;
        }
        while operators.is_none() || !says_ready(operators).await {
            sleep(LOOK_S).await;
            if self.world.now() > from + READY_WITHIN_S {
                self.crashes.borrow_mut().push(format!("n{i}: its second process is not ready in time"));
                break;
            }
        }
        let ready = self.world.now();
        self.ledger.with(|seen| seen.upgrades[number].ready = Some(ready));
        if ends == UpgradeEnds::OldKilled {
            self.killed(number);
            self.with(i, Daemon::kill_previous);
            return;
        }
        if self.with(i, Daemon::previous_has_exited) == Some(true) {
            self.crashes.borrow_mut().push(format!("n{i}: its old process ended before it was told to"));
        }
        self.with(i, |d| d.terminate_previous());
        self.wait_for_end(i, ready + KILL_AFTER_S, Daemon::previous_has_exited, Daemon::kill_previous).await;
    }

    fn killed(&self, upgrade: usize) {
        let now = self.world.now();
        self.ledger.with(|seen| seen.upgrades[upgrade].killed = Some(now));
    }

    pub(super) async fn hang_up(&self, i: usize, count: u32) {
        for _ in 0..count {
            if self.with(i, |d| d.send_sighup()).is_none() {
                return;
            }
            self.ledger.met("signals_in_series");
            sleep(SIGNAL_EVERY_S).await;
        }
    }
}

async fn says_ready(operators: Option<std::net::SocketAddr>) -> bool {
    let Some(at) = operators else { return false };
    send_operator_command(at, "status").await.is_some_and(|answer| answer.starts_with("200"))
}
