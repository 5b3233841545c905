//! Starts a forwarder, runs it, and shuts it down in order.

use crate::clock::Clock;
use crate::core_actor::{CoreActor, CoreMessage, FirstListHold, LiveSettings, SiblingLink};
use crate::counters::Counters;
use crate::list::{self, DiscoveryParams, dns};
use crate::maintenance;
use crate::memory_plan::MemoryPlan;
use crate::net::SharedState;
use crate::net::connection_limits::ConnectionLimits;
use crate::net::http::{inbound, request};
use crate::net::input_budget::InputBudget;
use crate::net::mgmt;
use crate::net::smpp;
use crate::notices;
use crate::resource_usage::{self, ResourceUsage};
use crate::shared_ids;
use crate::sibling;
use crate::startup::{OpenedState, open_folder};
use crate::state_files;
use crate::state_folder::OtherProcess;
use async_channel::bounded;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use onyxrock::core::{Ledger, RequestIdDigest, add_probe_class};
use onyxrock::interface::{DestinationId, Micros};
use onyxrock_config::daemon::{Config, ReadError};
use onyxrock_config::idle::{BoundedCount, ListLimits};
use onyxrock_config::product::ProductSettings;
use onyxrock_membership::Membership;
use onyxrock_roster::{Directory, DirectorySettings, HealthDecay};
use onyxrock_sharing::{DutyRunner, Peers, ToPeers, bind_socket, detector_timing, member_by_name};
use rustix::net::sockopt::{set_socket_reuseaddr, set_socket_reuseport};
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, listen as listen_at, socket_with};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long after SIGTERM new connections are still accepted: a client whose connection is refused has lost
/// an attempt.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// How long after SIGTERM accepted messages are still sent. The next process starts seconds later, so the
/// fewer messages are left to it, the fewer expire without an attempt.
const SEND_AFTER_SIGTERM: Duration = Duration::from_millis(2300);
/// When after SIGTERM the process exits. Between `SEND_AFTER_SIGTERM` and this, calls in flight may end, but
/// no new call is sent.
const EXIT_AFTER_SIGTERM: Duration = Duration::from_millis(3300);

/// Interval between checks, during shutdown, of whether the last client connections have ended.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the configuration again.
type Reread<'a> = &'a dyn Fn() -> Result<(Config, ProductSettings), ReadError>;

/// How often reading the configuration is retried if the system cannot open the file at the moment of SIGHUP.
/// All retries fit into the 1.2 s after which new settings are binding. A SIGTERM that arrives meanwhile has
/// to wait for them; that leaves it `EXIT_AFTER_SIGTERM` and 0.4 s until the kill.
const REREAD_RETRIES: u32 = 8;
/// Interval between retries of reading the configuration.
const REREAD_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a forwarder until SIGTERM or SIGINT. `reread` reads the configuration again at each SIGHUP.
pub fn run(config: Config, product: ProductSettings, reread: Reread) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(config, product, reread, executor.clone());
    async_io::block_on(executor.run(serving))
}

/// Starts all actors, waits for signals, and shuts down.
async fn serve(
    config: Config, product: ProductSettings, reread: Reread<'_>, executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("cannot wait for signals: {e}"))?;
    let mut current_config = Config { cached_list: None, ..config.clone() };
    let ProductSettings { smpp, dns, duties, list: bounds, idle: idle_settings, .. } = product.clone();
    // The persisted zone and its replacement share the folder with the log.
    let kept_zone_bytes = dns
        .as_ref()
        .map_or(0, |settings| dns::max_kept_zone_bytes(&settings.zone_text, config.max_disk_bytes));
    let reserved_bytes = 2 * kept_zone_bytes;
    let reserved_bytes = reserved_bytes + if duties.is_some() { state_files::EPOCH_DISK_BYTES } else { 0 };
    let snapshot_bytes = idle_settings.map_or(0, |idle| idle.max_snapshot_bytes);
    if 2 * snapshot_bytes + reserved_bytes > config.max_disk_bytes / 2 {
        return Err(format!(
            "[idle]: keep_kb: twice that is more than half of disk_mb, {} bytes",
            config.max_disk_bytes
        ));
    }
    // The snapshot of retained health and its replacement share the folder, too.
    let other_file_bytes = reserved_bytes + 2 * snapshot_bytes;
    let memory_plan = MemoryPlan::for_starting(&config, other_file_bytes);
    let log_bytes = memory_plan.file_bytes.saturating_sub(other_file_bytes);
    let OpenedState { claim, wal, logged, in_maintenance } =
        open_folder(&config.state_folder, log_bytes).await?;
    if logged.damaged_bytes > 0 {
        tracing::warn!("log: {} bytes belong to no complete record and are skipped", logged.damaged_bytes);
    }
    let (to_core, core_inbox) = bounded::<CoreMessage>(4096);
    let (shutdown_signal, shutdown_started) = bounded(1);
    let (calls_finished_signal, calls_finished) = bounded(1);
    let idle_timeout = config.settings.connection_idle_timeout;
    // Room for one round of lease requests to all members, and their responses. A message that finds no room
    // is lost, and its request is sent again.
    let member_count = duties.as_ref().map_or(0, |duty_settings| duty_settings.members.len());
    let (to_peers, peers_inbox) = bounded((4 * member_count).max(1024));
    let (to_list, list_updates) = bounded(64);
    let shared = Rc::new(SharedState {
        clock: Clock::resume(&config.state_folder),
        counters: Counters::default(),
        invariants: Default::default(),
        core: to_core.clone(),
        shutdown_started,
        calls_finished,
        eviction_queue: Default::default(),
        confirms_close: Cell::new(false),
        reuse_stats: Default::default(),
        last_serial: Cell::new(0),
        stopping: Cell::new(false),
        taking_over: Cell::new(false),
        list_state: Default::default(),
        list_fault: Default::default(),
        list_answered_at: Cell::default(),
        discovery: Cell::new(config.discovery),
        connect_timeout: config.connect_timeout,
        idle_timeout: (idle_timeout > Micros(0)).then_some(Micros(idle_timeout.0 * 4 / 5)),
        peers: duties.as_ref().map(|_| to_peers.clone()),
        connection_limits: ConnectionLimits::new(
            memory_plan.client_connections,
            (config.max_sockets / 4).max(8) as u64,
        ),
        input_budget: InputBudget::new(memory_plan.input_bytes as usize),
        executor: executor.clone(),
    });
    shared.list_answered_at.set(shared.clock.now());
    let (list_requests, list_request_inbox) = bounded(4);
    let (list_source_changed, list_source_changes) = bounded(1);
    let (notice_target_changed, notice_target_changes) = bounded(1);
    let (http_notices, http_notice_inbox) = bounded(1024);
    let (smpp_notices, smpp_notice_inbox) = bounded(1024);
    let frontends = BTreeMap::from([(request::FRONTEND_ID, http_notices), (smpp::FRONTEND_ID, smpp_notices)]);
    let slots = (config.settings.slots as usize).min(4096);
    let (poll_interval, large_fleet) = (config.settings.list_poll_interval, config.settings.large_fleet());
    // Whether the call limit of discovery has room for two calls: one that shows whether discovery responds,
    // and the watch behind it.
    let two_calls_fit = config.settings.list_calls_fit(2);
    let classes = config.names.classes.iter();
    let give_up_after =
        classes.map(|(c, i)| (c.clone(), config.settings.classes[*i].give_up_after)).collect();
    let gateways = smpp.as_ref().map_or(Vec::new(), |s| s.gateways.clone());
    // A gateway has no idempotency key, so it would carry out a repeated message.
    let non_idempotent = gateways.iter().map(|g| DestinationId(g.destination)).collect();
    let mut settings = config.settings;
    let probe_class = duties.as_ref().map(|duty_settings| {
        let with_leases = !duty_settings.probe.without_leases;
        settings.peer_hints = with_leases;
        // Longer than it takes to move the duty to another member.
        let probe_delay = if with_leases { Micros(duty_settings.lease_duration.0 * 3) } else { Micros(0) };
        add_probe_class(&mut settings, Micros(duty_settings.probe.timeout.0 * 2), probe_delay)
    });
    let mut ledger = Ledger::new(settings, config.names.clone(), non_idempotent, config.seed);
    ledger.set_max_message_bytes(memory_plan.message_bytes as usize);
    ledger.set_max_request_ids(memory_plan.request_ids as usize);
    let health_decay = idle_settings
        .map(|i| HealthDecay { half_life: i.half_life, forget_after: i.forget_after })
        .unwrap_or_default();
    let zones = config.names.zones.clone();
    let directory_settings = DirectorySettings {
        max_endpoints: bounds.entries.0 as usize,
        deactivate_after: idle_settings.map(|i| i.deactivate_after),
        health_decay,
        zones,
    };
    let mut core = CoreActor::new(
        shared.clone(),
        ledger,
        wal,
        list_requests,
        frontends,
        slots,
        Directory::new(directory_settings),
    );
    core.assumed_rate_per_s = idle_settings.map(|i| i.assumed_per_s);
    if snapshot_bytes > 0 {
        let now = shared.clock.now();
        for (key, health) in state_files::load_health(&config.state_folder, snapshot_bytes as usize) {
            core.directory.health_store_mut().restore(now, key, health);
        }
        let (snapshots, snapshot_inbox) = bounded(1);
        core.health_saver = Some(snapshots);
        executor
            .spawn(state_files::run_health_saver(
                shared.clone(),
                config.state_folder.clone(),
                snapshot_bytes as usize,
                snapshot_inbox,
            ))
            .detach();
    }
    gateways.into_iter().for_each(|g| core.add_gateway(g));
    core.restore_maintenance(&in_maintenance);
    if let (Some(duty_settings), Some(class)) = (&duties, probe_class) {
        let (me, now) = (member_by_name(duty_settings, &config.name)?, shared.clock.now());
        let socket = bind_socket(duty_settings)?;
        let mut entropy = [0; 8];
        getrandom::fill(&mut entropy).map_err(|e| format!("cannot read random numbers: {e}"))?;
        let membership_settings = onyxrock_membership::MembershipSettings {
            me,
            member_count: u16::try_from(duty_settings.members.len())
                .map_err(|_| "[duties]: too many members")?,
            keys: duty_settings.keys.clone(),
            timing: detector_timing(duty_settings.lease_duration),
        };
        let membership = Membership::new(membership_settings, now.0, u64::from_le_bytes(entropy), now);
        let boot_id = membership.boot_id();
        let folder = config.state_folder.clone();
        let save_bound = Box::new(move |bound| {
            let saved = state_files::save_epoch_bound(&folder, bound);
            saved
                .inspect_err(|e| {
                    tracing::error!("duties: the epoch bound could not be saved and will be retried: {e}")
                })
                .is_ok()
        });
        let stored_bound = state_files::load_epoch_bound(&config.state_folder);
        let outbox = to_peers.clone();
        core.duty_runner = Some(DutyRunner::new(
            duty_settings,
            me,
            boot_id,
            now,
            class,
            outbox,
            to_list,
            stored_bound,
            save_bound,
        ));
        let address = socket.get_ref().local_addr().map_err(|e| e.to_string())?;
        tracing::info!("listens on {address} for members");
        let (clock, outbox, members) = (shared.clock, to_core.clone(), duty_settings.members.clone());
        let peers = Peers { now: move || clock.now(), outbox, socket, membership, members, send_failures: 0 };
        executor.spawn(peers.run(peers_inbox)).detach();
    }
    // The configured DNS zone is more recent than the cached list of discovery.
    let zone = dns.map(|settings| {
        dns::DnsServer::open(
            &settings.zone_text,
            &settings.origin,
            settings.listen,
            config.state_folder,
            kept_zone_bytes,
            config.names.clone(),
        )
    });
    let zone = zone.transpose()?;
    shared.list_fault.replace(zone.as_ref().and_then(|zone| zone.file_fault.clone()));
    // In a large fleet a starting process asks only for changes: sending a complete list to each keeps
    // discovery busy for seconds, in which it answers no other call.
    let known_generation =
        config.cached_list.as_ref().filter(|_| large_fleet && zone.is_none()).map(|k| k.generation);
    if let Some(cached_list) = zone.as_ref().map(|z| z.zone.endpoints(&z.names).0).or(config.cached_list) {
        core.load_cached_list(cached_list);
    }
    // A message with a request id that an earlier process received may still run.
    let now = shared.clock.now();
    for (_, request_id, _) in logged.accepted.iter().filter(|(.., deadline)| *deadline > now) {
        core.ledger.remember_request_id(now, RequestIdDigest::of(request_id));
    }
    core.note_logged_messages(logged.accepted);
    core.resume(logged.open.into_values());
    if config.lists_pushed && zone.is_none() {
        core.first_list = Some(FirstListHold::new(now));
        let _ = core.list_requests.try_send(());
    }
    // A sibling process may have ended before this one started, and left its log behind.
    let sibling_state =
        claim.check_other().map_err(|e| format!("cannot lock the log in {}: {e}", claim.folder.display()))?;
    let sibling_running = matches!(sibling_state, OtherProcess::Running);
    if sibling_running {
        let [waits_path, _] = claim.waits_files();
        core.sibling = Some(SiblingLink::for_starting(now, waits_path));
        core.shared_ids = Some(claim.shared_ids());
        shared.taking_over.set(true);
        shared.connection_limits.set_shared(true);
    } else {
        shared_ids::remove_left_over(&claim.folder)
            .map_err(|e| format!("cannot use {}: {e}", claim.folder.display()))?;
    }
    if let OtherProcess::Gone(orphaned_log) = sibling_state {
        core.try_take_over_log(&orphaned_log);
    } else {
        core.logged_keys.clear();
    }
    // The rewritten log holds the open messages as this process knows them, without the damaged bytes. It
    // does not name ended messages, so it is written only after the other log has been compared.
    if let Err(e) = core.wal.compact(core.ledger.open_messages()) {
        tracing::error!("log: it could not be rewritten at the start, and the old one is continued: {e}");
    }
    let watch_wait = if poll_interval > Micros(0) { Micros(poll_interval.0 / 2) } else { Micros(5_000_000) };
    let discovery = DiscoveryParams {
        names: config.names,
        generation: known_generation,
        large_fleet: !two_calls_fit,
        lists_pushed: config.lists_pushed,
        limits: ListLimits { memory_mb: BoundedCount(bounds.memory_mb.0.min(memory_plan.list_mb)), ..bounds },
        watch_wait: watch_wait.clamp(Micros(1_000_000), list::MAX_WATCH_WAIT),
    };
    if let Some(dns) = zone {
        let address = dns.socket.get_ref().local_addr().map_err(|e| e.to_string())?;
        tracing::info!("listens on {address} for DNS");
        executor.spawn(dns::run(shared.clone(), dns, list_request_inbox)).detach();
    } else {
        executor
            .spawn(list::run(
                shared.clone(),
                discovery,
                list_request_inbox,
                list_source_changes,
                list_updates,
            ))
            .detach();
    }
    executor.spawn(notices::run(shared.clone(), http_notice_inbox, notice_target_changes)).detach();
    executor.spawn(core.run(core_inbox)).detach();

    let state_folder = claim.folder.clone();
    executor
        .spawn(resource_usage::watch(shared.clone(), state_folder.clone(), config.max_memory_bytes))
        .detach();
    let [sibling_log, _] = claim.other_logs();
    let counted_folder = claim.folder.clone();
    let upgrades_expected = config.mgmt.is_some();
    executor.spawn(sibling::watch(shared.clone(), claim, sibling_running, upgrades_expected)).detach();
    if sibling_running {
        sibling::learn_request_ids(&to_core, &sibling_log).await;
    }
    let listener = client_listener(config.listen, sibling_running)
        .and_then(Async::new)
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
    let (accepting, accepting_ended) = bounded::<()>(1);
    executor.spawn(inbound::listen(shared.clone(), listener, accepting_ended.clone())).detach();
    let (receipts, sessions) = bounded(256);
    executor.spawn(smpp::receipts::run(shared.clone(), smpp_notice_inbox, sessions)).detach();
    if let Some(smpp) = smpp {
        let address = smpp.listen;
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|e| format!("cannot listen on {address} for SMPP: {e}"))?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let frontend =
            Rc::new(smpp::inbound::Frontend { shared: shared.clone(), smpp, give_up_after, receipts });
        executor.spawn(smpp::inbound::listen(frontend, listener, accepting_ended)).detach();
        tracing::info!("listens on {address} for SMPP");
    }
    if let Some(address) = config.mgmt {
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|e| format!("cannot listen on {address} for operators: {e}"))?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        executor.spawn(mgmt::listen(shared.clone(), listener)).detach();
        executor.spawn(maintenance::watch(shared.clone(), state_folder)).detach();
        tracing::info!("listens on {address} for operators");
    }
    tracing::info!("listens on {address}");

    while let Some(Ok(Signal::Hup)) = signals.next().await {
        if reload(&shared, &mut current_config, &product, reread).await {
            let _ = list_source_changed.try_send(());
            let _ = notice_target_changed.try_send(());
        }
    }
    let terminated_at = Instant::now();
    shared.stopping.set(true);
    Timer::after(ACCEPT_AFTER_SIGTERM).await;
    drop((accepting, shutdown_signal));
    Timer::at(terminated_at + SEND_AFTER_SIGTERM).await;
    let (no_calls, no_calls_left) = bounded(1);
    let _ = to_core.send(CoreMessage::StopSending).await;
    let _ = to_core.send(CoreMessage::NotifyWhenNoCalls(no_calls)).await;
    let calls_end = async { no_calls_left.recv().await.unwrap_or_default() };
    let exit_deadline = async {
        Timer::at(terminated_at + EXIT_AFTER_SIGTERM).await;
    };
    future::or(calls_end, exit_deadline).await;
    if let Some(peers) = &shared.peers {
        let (leave_done, has_left) = bounded(1);
        let _ = peers.try_send(ToPeers::Leave(leave_done));
        let leave_sent = async { has_left.recv().await.unwrap_or_default() };
        future::or(leave_sent, async {
            Timer::after(Duration::from_millis(50)).await;
        })
        .await;
    }
    // A connection accepted just before the listener closed is still served, until its client has been silent
    // for too long.
    while shared.counters.inbound_open.get() > 0 && terminated_at.elapsed() < EXIT_AFTER_SIGTERM {
        Timer::after(CONNECTION_CHECK_INTERVAL).await;
    }
    drop(calls_finished_signal);
    // The last status notices are still on their way to the platform.
    Timer::after(Duration::from_millis(100)).await;
    let (check_done, checked) = bounded(1);
    let _ = to_core.send(CoreMessage::FinalCheck(check_done)).await;
    let _ = checked.recv().await;
    shared.counters.set_resource_usage(&ResourceUsage::read(&counted_folder));
    tracing::info!("counters {}", shared.counters_json());
    Ok(())
}

/// Opens the listener for clients. A sibling process may listen on the same address, to take over. Any other
/// listener there is a configuration error, which is detected as long as no sibling runs.
fn client_listener(address: SocketAddr, sibling_running: bool) -> std::io::Result<TcpListener> {
    if !sibling_running {
        drop(TcpListener::bind(address)?);
    }
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    set_socket_reuseaddr(&socket, true)?;
    // Without SO_REUSEPORT only one process can run at a time.
    let _ = set_socket_reuseport(&socket, true);
    bind(&socket, &address)?;
    listen_at(&socket, 1024)?;
    Ok(TcpListener::from(socket))
}

/// Applies new member keys at once, and logs which other changes of the product file wait for a restart.
fn reload_product(shared: &SharedState, current: &ProductSettings, new: &ProductSettings) {
    if let (Some(peers), Some(duty_settings)) = (&shared.peers, &new.duties) {
        let _ = peers.try_send(ToPeers::Rekey(duty_settings.keys.clone()));
        tracing::info!(
            "reload: members sign with key {}, {} are believed",
            duty_settings.keys.signing_key_id(),
            duty_settings.keys.accepted_count()
        );
    }
    let differs = match (&current.duties, &new.duties) {
        (Some(current), Some(new)) => current.requires_restart(new),
        (current, new) => current.is_some() != new.is_some(),
    };
    if (current.list, current.idle) != (new.list, new.idle) {
        tracing::warn!("reload: changes of [list] and [idle] take effect at the next start");
    }
    if differs {
        tracing::warn!("reload: changes of [duties] other than its keys take effect at the next start");
    }
}

/// Reads the configuration, with retries while the system cannot open the file.
async fn read_with_retries(reread: Reread<'_>) -> Result<(Config, ProductSettings), ReadError> {
    for _ in 0..REREAD_RETRIES {
        match reread() {
            Err(ReadError::Unreadable(_)) => Timer::after(REREAD_INTERVAL).await,
            read => return read,
        };
    }
    reread()
}

/// Reloads the configuration and applies the settings that can change at run time. Returns true if discovery
/// may have moved. A configuration that cannot be read or is invalid changes nothing.
async fn reload(
    shared: &SharedState, current_config: &mut Config, current: &ProductSettings, reread: Reread<'_>,
) -> bool {
    let read = read_with_retries(reread).await.map_err(String::from);
    let read = read.and_then(|(new, product)| current_config.check_reload(&new).map(|()| (new, product)));
    let (new, product) = match read {
        Ok(read) => read,
        Err(e) => {
            shared.counters.reloads_refused.increment();
            tracing::error!("reload: {e}; the old settings stay");
            return false;
        }
    };
    reload_product(shared, current, &product);
    shared.counters.reloads.increment();
    let restart_only = current_config.restart_only_differences(&new);
    if !restart_only.is_empty() {
        tracing::warn!("reload: changes of {} take effect at the next start", restart_only.join(", "));
    }
    // The same address may belong to another discovery server now.
    shared.discovery.set(new.discovery);
    tracing::info!("reload: discovery is at {}", new.discovery);
    let Config { settings, names, .. } = new.clone();
    let new_settings = Box::new(LiveSettings { settings, names });
    let _ = shared.core.send(CoreMessage::NewSettings(new_settings)).await;
    // Restart-only settings are always compared with those of the start.
    let Config { discovery, required_values, .. } = new;
    (current_config.discovery, current_config.required_values) = (discovery, required_values);
    true
}

#[cfg(test)]
mod tests;
