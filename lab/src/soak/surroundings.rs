//! What happens round the daemons: discovery and servers fail, configurations change, disks, descriptors and clocks.

use super::discovery;
use super::faults::DiskFault;
use super::run::{LOOK_S, Run};
use super::server::{self, Server};
use super::settings::with_added_class;
use crate::testbed::sleep;

/// New settings bind so long after their signal.
const SETTINGS_BIND_S: f64 = 1.2;
/// Between two new configurations in quick succession.
const RELOAD_EVERY_S: f64 = 0.4;
/// The old address of discovery goes on for so long.
const OLD_ADDRESS_S: f64 = 1.5;
const GONE_AFTER_S: f64 = 3.0;

impl Run {
    pub(super) async fn stall(&self, i: usize, lasts: f64) {
        if self.with(i, |d| d.pause()).is_some() {
            self.ledger.met("daemon_stalled");
            sleep(lasts).await;
            if let Some(daemon) = self.nodes[i].daemon.borrow_mut().as_mut() {
                daemon.resume();
            }
        }
    }

    pub(super) async fn no_descriptors(&self, i: usize, lasts: f64) {
        if self.with(i, |d| d.limit_descriptors(0)) == Some(true) {
            self.ledger.met("no_descriptors");
            sleep(lasts).await;
            if let Some(daemon) = self.nodes[i].daemon.borrow().as_ref() {
                daemon.restore_descriptor_limit();
            }
        }
    }

    pub(super) async fn trouble_disk(&self, i: usize, fault: DiskFault, lasts: f64) {
        let preload = self.with(i, |d| d.preload.clone()).flatten();
        let Some(preload) = preload else { return };
        let met = |what| preload.hit_count(what);
        let before = met("write") + met("short");
        if preload.write_plan(fault.plan()).is_err() {
            return;
        }
        sleep(lasts).await;
        let _ = preload.write_plan("");
        if met("write") + met("short") > before {
            self.ledger.met(fault.name());
        }
    }

    /// The wall clock of its next process is off by so much.
    pub(super) fn step_clock(&self, i: usize, seconds: i64) {
        let stepped =
            self.with(i, |d| d.preload.as_mut().map(|preload| preload.clock_step_s += seconds).is_some());
        if stepped == Some(true) {
            self.ledger.met("clock_stepped");
        }
    }

    pub(super) async fn reload(&self, i: usize, count: usize) {
        for _ in 0..count {
            let Ok(new) = self.discovery.open(i) else { return };
            let at = new.at;
            if self.with(i, |d| d.reload_with_discovery(at).is_ok()) != Some(true) {
                return;
            }
            self.ledger.met("discovery_moved");
            let old = self.nodes[i].address.replace(new);
            self.world.spawn(async move {
                sleep(OLD_ADDRESS_S).await;
                old.open.set(false);
            });
            sleep(RELOAD_EVERY_S).await;
        }
    }

    /// A class is added, used for a while, and dropped.
    pub(super) async fn change_settings(&self, i: usize, lasts: f64) {
        // One at a time, to the end.
        if self.nodes[i].settings_change.replace(true) {
            return;
        }
        self.add_and_drop_class(i, lasts).await;
        self.nodes[i].settings_change.set(false);
    }

    async fn add_and_drop_class(&self, i: usize, lasts: f64) {
        let clients = &self.nodes[i].clients;
        if !self.reload_settings(i, true).await {
            return;
        }
        self.ledger.met("settings_changed");
        sleep(SETTINGS_BIND_S).await;
        clients.added_class.set(true);
        sleep(lasts).await;
        clients.added_class.set(false);
        if self.reload_settings(i, false).await {
            sleep(SETTINGS_BIND_S).await;
            clients.of_dropped_class().await;
        }
    }

    /// Tries until the daemon is up, or the run is over.
    pub(super) async fn reload_settings(&self, i: usize, added: bool) -> bool {
        while !self.is_over() {
            let reloaded = self.with(i, |d| {
                let settings = with_added_class(d.settings.clone(), added);
                d.reload_with_settings(settings).is_ok()
            });
            if reloaded == Some(true) {
                return true;
            }
            sleep(LOOK_S).await;
        }
        false
    }

    pub(super) async fn trouble_discovery(&self, mode: discovery::Mode, lasts: f64) {
        let from = self.world.now();
        self.discovery.mode.set(mode);
        // Another mode may take its place before.
        while self.discovery.mode.get() == mode && self.world.now() < from + lasts {
            sleep(LOOK_S).await;
        }
        if self.discovery.mode.get() == mode {
            self.discovery.mode.set(discovery::Mode::Well);
        }
        if matches!(mode, discovery::Mode::Down | discovery::Mode::Silent) {
            let until = self.world.now();
            self.ledger.with(|seen| seen.unreachable.push((from, until)));
        }
    }

    pub(super) async fn trouble_server(&self, i: usize, mode: server::Mode, lasts: f64) {
        let server = self.servers.borrow()[i].clone();
        server.mode.set(mode);
        sleep(lasts).await;
        if server.mode.get() == mode {
            server.mode.set(server::Mode::Well);
        }
    }

    /// A new server comes first, then the old one drains and goes.
    pub(super) async fn replace(&self, i: usize) {
        let old = self.servers.borrow()[i].clone();
        let name = format!("r{}", self.replaced.get());
        self.replaced.set(self.replaced.get() + 1);
        let Ok(new) = Server::start(&self.world, &self.ledger, &name, old.destination) else { return };
        self.discovery.add(&new);
        self.servers.borrow_mut()[i] = new;
        self.ledger.met("server_replaced");
        let name = old.name.clone();
        self.discovery.set(&name, "Terminating");
        sleep(GONE_AFTER_S).await;
        self.discovery.set(&name, "Gone");
    }
}
