//! Faults outside the daemons' code: discovery, servers, configurations, disks, file descriptors, clocks and
//! scheduling.

use super::discovery;
use super::faults::DiskFailure;
use super::run::{POLL_INTERVAL_S, Run};
use super::server::{self, Server};
use super::settings::with_added_class;
use crate::testbed::sleep;

/// Time after the reload signal from which the new settings must be in force.
const SETTINGS_IN_FORCE_AFTER_S: f64 = 1.2;
/// Interval between the configurations of one series of reloads.
const RELOAD_INTERVAL_S: f64 = 0.4;
/// An address of discovery stays open for this long after a reload replaced it.
const OLD_ADDRESS_OPEN_S: f64 = 1.5;
/// A server that drains is removed from the list after this time.
const SERVER_REMOVED_AFTER_S: f64 = 3.0;

impl Run {
    /// Suspends a daemon's process for a while.
    pub(super) async fn stall(&self, index: usize, duration_s: f64) {
        if self.with_running(index, |d| d.pause()).is_some() {
            self.log.record_fault_hit("daemon_stalled");
            sleep(duration_s).await;
            if let Some(daemon) = self.nodes[index].daemon.borrow_mut().as_mut() {
                daemon.resume();
            }
        }
    }

    /// Leaves a daemon without free file descriptors for a while.
    pub(super) async fn exhaust_descriptors(&self, index: usize, duration_s: f64) {
        if self.with_running(index, |d| d.limit_descriptors(0)) == Some(true) {
            self.log.record_fault_hit("no_descriptors");
            sleep(duration_s).await;
            if let Some(daemon) = self.nodes[index].daemon.borrow().as_ref() {
                daemon.restore_descriptor_limit();
            }
        }
    }

    /// Makes the writes to a daemon's log fail for a while. Counts as a hit only if a write failed in that
    /// time.
    pub(super) async fn fail_disk(&self, index: usize, failure: DiskFailure, duration_s: f64) {
        let preload = self.with_running(index, |d| d.preload.clone()).flatten();
        let Some(preload) = preload else { return };
        let hits = |operation| preload.hit_count(operation);
        let before = hits("write") + hits("short");
        if preload.write_plan(failure.plan()).is_err() {
            return;
        }
        sleep(duration_s).await;
        let _ = preload.write_plan("");
        if hits("write") + hits("short") > before {
            self.log.record_fault_hit(failure.name());
        }
    }

    /// Adds an offset to the wall clock that the daemon's next process reads.
    pub(super) fn step_clock(&self, index: usize, offset_s: i64) {
        let stepped = self.with_running(index, |d| {
            d.preload.as_mut().map(|preload| preload.clock_step_s += offset_s).is_some()
        });
        if stepped == Some(true) {
            self.log.record_fault_hit("clock_stepped");
        }
    }

    /// Reloads a daemon's configuration a number of times, each time with another address of discovery.
    pub(super) async fn move_discovery(&self, index: usize, count: usize) {
        for _ in 0..count {
            let Ok(new) = self.discovery.open(index) else { return };
            let at = new.address;
            if self.with_running(index, |d| d.reload_with_discovery(at).is_ok()) != Some(true) {
                return;
            }
            self.log.record_fault_hit("discovery_moved");
            let old = self.nodes[index].discovery_address.replace(new);
            self.runtime.spawn(async move {
                sleep(OLD_ADDRESS_OPEN_S).await;
                old.open.set(false);
            });
            sleep(RELOAD_INTERVAL_S).await;
        }
    }

    /// Adds a class to a daemon's settings, lets clients use it for a while, and removes it.
    pub(super) async fn change_settings(&self, index: usize, duration_s: f64) {
        // Only one change of the settings at a time at each daemon.
        if self.nodes[index].settings_change_active.replace(true) {
            return;
        }
        self.add_and_drop_class(index, duration_s).await;
        self.nodes[index].settings_change_active.set(false);
    }

    /// Adds and removes the class. Does not remove it if the run has ended in the meantime.
    async fn add_and_drop_class(&self, index: usize, duration_s: f64) {
        let clients = &self.nodes[index].clients;
        if !self.reload_settings(index, true).await {
            return;
        }
        self.log.record_fault_hit("settings_changed");
        sleep(SETTINGS_IN_FORCE_AFTER_S).await;
        clients.added_class_active.set(true);
        sleep(duration_s).await;
        clients.added_class_active.set(false);
        if self.reload_settings(index, false).await {
            sleep(SETTINGS_IN_FORCE_AFTER_S).await;
            clients.submit_dropped_class().await;
        }
    }

    /// Reloads the settings, with retries until the daemon is running. Returns false if the submissions ended
    /// before.
    pub(super) async fn reload_settings(&self, index: usize, added: bool) -> bool {
        while !self.submissions_stopped() {
            let reloaded = self.with_running(index, |d| {
                let settings = with_added_class(d.settings.clone(), added);
                d.reload_with_settings(settings).is_ok()
            });
            if reloaded == Some(true) {
                return true;
            }
            sleep(POLL_INTERVAL_S).await;
        }
        false
    }

    /// Puts discovery into a mode for a while, or until another fault sets another mode.
    pub(super) async fn impair_discovery(&self, mode: discovery::Mode, duration_s: f64) {
        let started_at = self.runtime.now();
        self.discovery.mode.set(mode);
        // Another fault may set another mode before the time has passed.
        while self.discovery.mode.get() == mode && self.runtime.now() < started_at + duration_s {
            sleep(POLL_INTERVAL_S).await;
        }
        if self.discovery.mode.get() == mode {
            self.discovery.mode.set(discovery::Mode::Healthy);
        }
        if matches!(mode, discovery::Mode::Down | discovery::Mode::Silent) {
            let until = self.runtime.now();
            self.log.with(|observations| observations.discovery_outages.push((started_at, until)));
        }
    }

    /// Puts a server into a mode for a while.
    pub(super) async fn impair_server(&self, index: usize, mode: server::Mode, duration_s: f64) {
        let server = self.servers.borrow()[index].clone();
        server.mode.set(mode);
        sleep(duration_s).await;
        if server.mode.get() == mode {
            server.mode.set(server::Mode::Healthy);
        }
    }

    /// Replaces a server: a new one is listed first, then the old one drains and is removed from the list.
    pub(super) async fn replace(&self, index: usize) {
        let old = self.servers.borrow()[index].clone();
        let name = format!("r{}", self.replacement_count.get());
        self.replacement_count.set(self.replacement_count.get() + 1);
        let Ok(new) = Server::start(&self.runtime, &self.log, &name, old.destination) else { return };
        self.discovery.add(&new);
        self.servers.borrow_mut()[index] = new;
        self.log.record_fault_hit("server_replaced");
        let name = old.name.clone();
        self.discovery.set_lifecycle(&name, "Terminating");
        sleep(SERVER_REMOVED_AFTER_S).await;
        self.discovery.set_lifecycle(&name, "Gone");
    }
}
