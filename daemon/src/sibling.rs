//! Watches for a sibling process: forwards the entries of its waits file, and hands over its log once it is
//! gone.

use crate::core_actor::{CoreMessage, SiblingFiles};
use crate::net::SharedState;
use crate::shared_ids;
use crate::shared_waits::WaitsFileReader;
use crate::sibling_log::SiblingLog;
use crate::state_folder::{Claim, OrphanedLog, OtherProcess, remove_if_exists};
use async_channel::{Sender, bounded};
use async_io::Timer;
use onyxrock::interface::Micros;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between checks for a sibling where no upgrade with two processes is expected, because operators
/// cannot reach this process.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between checks for a sibling where such an upgrade is expected: a starting process waits for what
/// this one knows.
const UPGRADE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the sibling's waits file. A call that crosses the response with a retry-after is
/// allowed for a tenth of a second (100 ms); the sibling learns of the retry-after well before.
const WAITS_READ_INTERVAL: Duration = Duration::from_millis(20);

/// How long a start waits for the request ids that the sibling has accepted. The sibling looks for a new process
/// each `UPGRADE_CHECK_INTERVAL`, and may be held up for 150 ms; one that needs longer hangs, or shares none.
const REQUEST_IDS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between looks for those request ids.
const REQUEST_IDS_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Watches until the process ends, and keeps the process's claim until then.
pub async fn watch(shared: Rc<SharedState>, claim: Claim, sibling_running: bool, upgrades_expected: bool) {
    let [sibling_log, _] = claim.other_logs();
    let sibling_log = SiblingLog::new(sibling_log);
    let watcher = SiblingWatcher { shared, claim, waits_reader: None, sibling_log };
    watcher.run(sibling_running, upgrades_expected).await;
}

struct SiblingWatcher {
    shared: Rc<SharedState>,
    claim: Claim,
    /// Set while a sibling runs.
    waits_reader: Option<WaitsFileReader>,
    sibling_log: SiblingLog,
}

impl SiblingWatcher {
    async fn run(mut self, sibling_running: bool, upgrades_expected: bool) {
        if sibling_running {
            self.waits_reader = Some(self.open_reader());
        }
        loop {
            Timer::after(self.check_interval(upgrades_expected)).await;
            match self.claim.check_other() {
                Ok(OtherProcess::Running) => self.on_running().await,
                Ok(OtherProcess::Gone(orphaned_log)) => self.on_gone(orphaned_log).await,
                Err(e) => tracing::warn!("log: cannot check for another process, will be retried: {e}"),
            }
        }
    }

    fn check_interval(&self, upgrades_expected: bool) -> Duration {
        match (&self.waits_reader, upgrades_expected) {
            (Some(_), _) => WAITS_READ_INTERVAL,
            (None, true) => UPGRADE_CHECK_INTERVAL,
            (None, false) => CHECK_INTERVAL,
        }
    }

    fn open_reader(&self) -> WaitsFileReader {
        let [_, sibling_path] = self.claim.waits_files();
        WaitsFileReader::new(sibling_path)
    }

    /// Handles the presence of a sibling.
    async fn on_running(&mut self) {
        if self.waits_reader.is_none() {
            let [waits_path, _] = self.claim.waits_files();
            self.waits_reader = Some(self.open_reader());
            tracing::info!("another process of this forwarder is there");
            self.shared.connection_limits.set_shared(true);
            self.close_surplus_connections();
            let files = SiblingFiles { waits_path, shared_ids: self.claim.shared_ids() };
            let _ = self.shared.core.send(CoreMessage::SiblingChanged(Some(Box::new(files)))).await;
        }
        self.forward_entries().await;
        self.end_overdue_messages().await;
    }

    /// Closes connections of clients that wait for a request, as many as the sibling has to have room for.
    fn close_surplus_connections(&self) {
        let shared = &self.shared;
        let surplus =
            shared.counters.inbound_open.get().saturating_sub(shared.connection_limits.max_inbound());
        for _ in 0..surplus {
            if !shared.eviction_queue.evict_first(shared.clock.now(), Micros(0)) {
                return;
            }
            shared.counters.inbound_sent_off.increment();
        }
    }

    /// Ends messages that the sibling should have ended: it hangs.
    async fn end_overdue_messages(&mut self) {
        match self.sibling_log.has_overdue(self.shared.clock.now()) {
            Ok(false) => {}
            Ok(true) => {
                tracing::warn!(
                    "another process of this forwarder hangs: its overdue messages are ended here"
                );
                let [sibling_log, _] = self.claim.other_logs();
                let _ = self.shared.core.send(CoreMessage::EndOverdue(sibling_log)).await;
            }
            Err(e) => tracing::warn!("log: the log of another process cannot be read, will be retried: {e}"),
        }
    }

    /// Forwards the entries that the sibling has added since the last read.
    async fn forward_entries(&mut self) {
        let Some(reader) = &mut self.waits_reader else { return };
        match reader.read(&self.shared.clock) {
            Ok(entries) => {
                for entry in entries {
                    let _ = self.shared.core.send(CoreMessage::FromSibling(entry)).await;
                }
            }
            Err(e) => {
                tracing::warn!("waits: the file of the other process cannot be read, will be retried: {e}")
            }
        }
    }

    /// Handles the end of the sibling. If this process is shutting down as well, it leaves the sibling's log
    /// to the next process.
    async fn on_gone(&mut self, orphaned_log: OrphanedLog) {
        // What the sibling wrote before it was killed still applies.
        self.forward_entries().await;
        if self.waits_reader.take().is_some() {
            self.shared.connection_limits.set_shared(false);
            let [_, sibling_path] = self.claim.waits_files();
            let _ = remove_if_exists(&sibling_path);
            let _ = self.shared.core.send(CoreMessage::SiblingChanged(None)).await;
        }
        if orphaned_log.exists() && !self.shared.stopping.get() {
            let _ = self.shared.core.send(CoreMessage::TakeOverLog(orphaned_log)).await;
        }
    }
}

/// Waits until the core knows the request ids that the sibling has accepted: a copy of such a message must not be
/// accepted here. Those in the sibling's log are taken in any case: it may share none in time, or not all for lack of
/// room.
pub async fn learn_request_ids(core: &Sender<CoreMessage>, sibling_log: &Path) {
    let started = Instant::now();
    let mut all_known = false;
    while !all_known && started.elapsed() < REQUEST_IDS_TIMEOUT {
        let (reply, known) = bounded(1);
        let _ = core.send(CoreMessage::LearnRequestIds(reply)).await;
        all_known = known.recv().await.unwrap_or(true);
        if !all_known {
            Timer::after(REQUEST_IDS_CHECK_INTERVAL).await;
        }
    }
    if !all_known {
        tracing::warn!("ids: the other process shares no request ids; those in its log are taken");
    }
    match shared_ids::ids_in_log(sibling_log) {
        Ok(ids) => drop(core.send(CoreMessage::SiblingRequestIds(ids)).await),
        Err(e) => tracing::error!("ids: the log of the other process cannot be read: {e}"),
    }
}
