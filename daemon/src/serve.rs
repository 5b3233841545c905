//! Puts a forwarder together, runs it, and ends it in order.

use crate::clock::Clock;
use crate::core_actor::{Beside, CoreActor, CoreMessage, FirstList, LiveSettings};
use crate::counters::Counters;
use crate::list::{self, DiscoveryParams, dns};
use crate::maintenance;
use crate::net::SharedState;
use crate::net::http::inbound;
use crate::net::mgmt;
use crate::net::smpp;
use crate::notices;
use crate::sibling;
use crate::startup::{Opened, open_folder};
use crate::state_files;
use crate::state_folder::Other;
use async_channel::bounded;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use onyxrock::core::{Ledger, Record, add_probe_class, recover};
use onyxrock::interface::{DestinationId, Micros};
use onyxrock_config::daemon::{Config, ReadError};
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

/// After SIGTERM connections still come for a moment; whoever finds the door shut has lost a try.
const ACCEPT_FOR: Duration = Duration::from_millis(500);
/// Until then what was taken on goes out as before: the less is left for the next process, which comes seconds later,
/// the less of it runs out of time untried. Then calls that are out may end, while nothing new goes.
const SEND_FOR: Duration = Duration::from_millis(2300);
const END_BY: Duration = Duration::from_millis(3300);

/// How often a process that ends looks whether its last connections have ended.
const LOOK: Duration = Duration::from_millis(50);

type Reread<'a> = &'a dyn Fn() -> Result<(Config, ProductSettings), ReadError>;

/// A file that the system does not let be read at the moment of the signal is read again, so often: within the 1.2 s after which
/// new settings bind, and no longer than a SIGTERM behind it can wait, which leaves `END_BY` and 0.4 s until the kill.
const REREAD_TRIES: u32 = 8;
const REREAD_EVERY: Duration = Duration::from_millis(50);

/// Runs a forwarder until it is told to end.
/// `reread` reads the configuration anew when SIGHUP comes.
pub fn run(config: Config, product: ProductSettings, reread: Reread) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let served = serve(config, product, reread, executor.clone());
    async_io::block_on(executor.run(served))
}

async fn serve(
    config: Config, product: ProductSettings, reread: Reread<'_>, executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("cannot wait for signals: {e}"))?;
    let mut held = Config { cached_list: None, ..config.clone() };
    let ProductSettings { smpp, dns, duties, list: bounds, idle: resting, .. } = product.clone();
    // The kept zone, old and new, shares the folder with the log.
    let kept_zone = dns.as_ref().map_or(0, |d| dns::max_kept_zone_bytes(&d.zone_text, config.max_disk_bytes));
    let zones = 2 * kept_zone;
    let zones = zones + if duties.is_some() { state_files::EPOCH_BYTES } else { 0 };
    let kept = resting.map_or(0, |i| i.max_snapshot_bytes);
    if 2 * kept + zones > config.max_disk_bytes / 2 {
        return Err(format!(
            "[idle]: keep_kb: twice that is more than half of disk_mb, {} bytes",
            config.max_disk_bytes
        ));
    }
    // The file of what is remembered, old and new, too.
    let log_bytes = config.max_disk_bytes.saturating_sub(zones + 2 * kept);
    let Opened { claim, wal, scan, maintenance: taken_out } =
        open_folder(&config.state_folder, log_bytes).await?;
    if scan.damaged_bytes > 0 {
        tracing::warn!("log: {} bytes belong to no whole record and are left out", scan.damaged_bytes);
    }
    let (to_module, module_inbox) = bounded::<CoreMessage>(4096);
    let (ending, ended) = bounded(1);
    let (closing, closed) = bounded(1);
    let idle = config.settings.connection_idle_timeout;
    // One round of questions to all members, and their answers: what finds no place is lost, and asked again.
    let others = duties.as_ref().map_or(0, |d| d.members.len());
    let (to_peers, peers_inbox) = bounded((4 * others).max(1024));
    let (to_list, list_letters) = bounded(64);
    let shared = Rc::new(SharedState {
        clock: Clock::continued(&config.state_folder),
        counters: Counters::default(),
        invariants: Default::default(),
        core: to_module.clone(),
        shutdown_started: ended,
        calls_finished: closed,
        eviction_queue: Default::default(),
        reuse_stats: Default::default(),
        last_serial: Cell::new(0),
        stopping: Cell::new(false),
        taking_over: Cell::new(false),
        list_state: Default::default(),
        list_answered_at: Cell::default(),
        discovery: Cell::new(config.discovery),
        connect_timeout: config.connect_timeout,
        idle_timeout: (idle > Micros(0)).then_some(Micros(idle.0 * 4 / 5)),
        peers: duties.as_ref().map(|_| to_peers.clone()),
        max_inbound: (config.max_sockets / 2).max(8) as u64,
        max_outbound: (config.max_sockets / 4).max(8) as u64,
        executor: executor.clone(),
    });
    shared.list_answered_at.set(shared.clock.now());
    let (follow, wishes) = bounded(4);
    let (move_list, list_moves) = bounded(1);
    let (move_notices, notice_moves) = bounded(1);
    let (notice, endings) = bounded(1024);
    let (receipt, smpp_endings) = bounded(1024);
    let fronts = BTreeMap::from([(inbound::FRONTEND_ID, notice), (smpp::FRONTEND_ID, receipt)]);
    let slots = (config.settings.slots as usize).min(4096);
    let (ask_every, share_much) = (config.settings.list_poll_interval, config.settings.large_fleet());
    // One that tells whether it is answered, and the watch behind it.
    let asks_twice = config.settings.list_calls_fit(2);
    let classes = config.names.classes.iter();
    let give_up = classes.map(|(c, i)| (c.clone(), config.settings.classes[*i].give_up_after)).collect();
    let gateways = smpp.as_ref().map_or(Vec::new(), |s| s.gateways.clone());
    // A gateway knows no idempotency key: it would carry out a repeat.
    let plain = gateways.iter().map(|g| DestinationId(g.destination)).collect();
    let mut settings = config.settings;
    let probe_class = duties.as_ref().map(|d| {
        let shared = !d.probe.without_leases;
        settings.peer_hints = shared;
        // Longer than a hand-over of the duty takes.
        let hold_back = if shared { Micros(d.lease_duration.0 * 3) } else { Micros(0) };
        add_probe_class(&mut settings, Micros(d.probe.timeout.0 * 2), hold_back)
    });
    let ledger = Ledger::new(settings, config.names.clone(), plain, config.seed);
    let terms = resting
        .map(|i| HealthDecay { half_life: i.half_life, forget_after: i.forget_after })
        .unwrap_or_default();
    let zones = config.names.zones.clone();
    let rules = DirectorySettings {
        max_endpoints: bounds.entries.0 as usize,
        deactivate_after: resting.map(|i| i.deactivate_after),
        health_decay: terms,
        zones,
    };
    let mut module =
        CoreActor::new(shared.clone(), ledger, wal, follow, fronts, slots, Directory::new(rules));
    module.assumed = resting.map(|i| i.assumed_per_s);
    if kept > 0 {
        let now = shared.clock.now();
        for (whose, memory) in state_files::load(&config.state_folder, kept as usize) {
            module.directory.health_store_mut().restore(now, whose, memory);
        }
        let (to_keep, keeping) = bounded(1);
        module.keep = Some(to_keep);
        executor
            .spawn(state_files::run(shared.clone(), config.state_folder.clone(), kept as usize, keeping))
            .detach();
    }
    gateways.into_iter().for_each(|g| module.gateway(g));
    module.begin_maintenance(&taken_out);
    if let (Some(d), Some(class)) = (&duties, probe_class) {
        let (me, now) = (member_by_name(d, &config.name)?, shared.clock.now());
        let socket = bind_socket(d)?;
        let mut entropy = [0; 8];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let setup = onyxrock_membership::MembershipSettings {
            me,
            member_count: u16::try_from(d.members.len()).map_err(|_| "[duties]: too many members")?,
            keys: d.keys.clone(),
            timing: detector_timing(d.lease_duration),
        };
        let membership = Membership::new(setup, now.0, u64::from_le_bytes(entropy), now);
        let boot = membership.boot_id();
        let folder = config.state_folder.clone();
        let keep = Box::new(move |bound| {
            let kept = state_files::keep_epoch(&folder, bound);
            kept.inspect_err(|e| tracing::error!("duties: an epoch could not be kept: {e}")).is_ok()
        });
        let memory = state_files::epoch(&config.state_folder);
        let out = to_peers.clone();
        module.probing = Some(DutyRunner::new(d, me, boot, now, class, out, to_list, memory, keep));
        let at = socket.get_ref().local_addr().map_err(|e| e.to_string())?;
        tracing::info!("listens on {at} for members");
        let (clock, out, members) = (shared.clock, to_module.clone(), d.members.clone());
        let peers =
            Peers { now: move || clock.now(), outbox: out, socket, membership, members, send_failures: 0 };
        executor.spawn(peers.run(peers_inbox)).detach();
    }
    // A zone of our own is later than what discovery last told.
    let zone = dns.map(|d| {
        dns::DnsServer::open(
            &d.zone_text,
            &d.origin,
            d.listen,
            config.state_folder,
            kept_zone,
            config.names.clone(),
        )
    });
    let zone = zone.transpose()?;
    // Where many share discovery, a start asks only for what has changed: a whole list for each of them keeps it busy
    // for seconds in which no other call is answered.
    let since = config.cached_list.as_ref().filter(|_| share_much && zone.is_none()).map(|k| k.generation);
    if let Some(known) = zone.as_ref().map(|z| z.zone.endpoints(&z.names).0).or(config.cached_list) {
        module.known(known);
    }
    // An id that came to an earlier process could still run.
    let now = shared.clock.now();
    for record in &scan.records {
        if let Record::Accepted(t) = record
            && t.deadline > now
        {
            module.ledger.remember_request_id(now, &t.request_id);
        }
    }
    module.knows(&scan.records);
    module.resume(recover(scan.records).into_values());
    if config.lists_pushed && zone.is_none() {
        module.first_list = Some(FirstList::new(now));
        let _ = module.follow.try_send(());
    }
    // A process that ended beside another one, both of which are gone.
    let other =
        claim.other().map_err(|e| format!("cannot lock the log in {}: {e}", claim.folder.display()))?;
    let other_is_there = matches!(other, Other::Held);
    if other_is_there {
        let [waits, _] = claim.waits();
        module.beside = Some(Beside::newcomer(now, waits));
        shared.taking_over.set(true);
    }
    if let Other::Free(left) = other {
        module.adopt(&left);
    } else {
        module.seen.clear();
    }
    // The new log says what is owed as this process knows it, and nothing of the damage. Of what is over it says nothing
    // either, so it comes after the look at the other log.
    if let Err(e) = module.wal.compact(module.ledger.open_messages()) {
        tracing::error!("log: {e}");
    }
    let wait = if ask_every > Micros(0) { Micros(ask_every.0 / 2) } else { Micros(5_000_000) };
    let discovery = DiscoveryParams {
        names: config.names,
        generation: since,
        large_fleet: !asks_twice,
        lists_pushed: config.lists_pushed,
        bounds,
        watch_wait: wait.clamp(Micros(1_000_000), list::MAX_WATCH_WAIT),
    };
    if let Some(dns) = zone {
        let at = dns.socket.get_ref().local_addr().map_err(|e| e.to_string())?;
        tracing::info!("listens on {at} for DNS");
        executor.spawn(dns::run(shared.clone(), dns, wishes)).detach();
    } else {
        executor.spawn(list::run(shared.clone(), discovery, wishes, list_moves, list_letters)).detach();
    }
    executor.spawn(notices::run(shared.clone(), endings, notice_moves)).detach();
    executor.spawn(module.run(module_inbox)).detach();

    let claim_folder = claim.folder.clone();
    let upgrades = config.mgmt.is_some();
    executor.spawn(sibling::follow(shared.clone(), claim, other_is_there, upgrades)).detach();
    let listener = door(config.listen, other_is_there)
        .and_then(Async::new)
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let at = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
    let (open, door_shut) = bounded::<()>(1);
    executor.spawn(inbound::listen(shared.clone(), listener, door_shut.clone())).detach();
    let (receipts, sessions) = bounded(256);
    executor.spawn(smpp::receipts::run(shared.clone(), smpp_endings, sessions)).detach();
    if let Some(smpp) = smpp {
        let address = smpp.listen;
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|e| format!("cannot listen on {address} for SMPP: {e}"))?;
        let at = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let front = Rc::new(smpp::inbound::Frontend { shared: shared.clone(), smpp, give_up, receipts });
        executor.spawn(smpp::inbound::listen(front, listener, door_shut)).detach();
        tracing::info!("listens on {at} for SMPP");
    }
    if let Some(address) = config.mgmt {
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|e| format!("cannot listen on {address} for operators: {e}"))?;
        let at = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        executor.spawn(mgmt::listen(shared.clone(), listener)).detach();
        executor.spawn(maintenance::follow(shared.clone(), claim_folder)).detach();
        tracing::info!("listens on {at} for operators");
    }
    tracing::info!("listens on {at}");

    while let Some(Ok(Signal::Hup)) = signals.next().await {
        if reload(&shared, &mut held, &product, reread).await {
            let _ = move_list.try_send(());
            let _ = move_notices.try_send(());
        }
    }
    let told = Instant::now();
    shared.stopping.set(true);
    Timer::after(ACCEPT_FOR).await;
    drop((open, ending));
    Timer::at(told + SEND_FOR).await;
    let (quiet, is_quiet) = bounded(1);
    let _ = to_module.send(CoreMessage::StopSending).await;
    let _ = to_module.send(CoreMessage::NotifyWhenNoCalls(quiet)).await;
    let calls_end = async { is_quiet.recv().await.unwrap_or_default() };
    let in_time = async {
        Timer::at(told + END_BY).await;
    };
    future::or(calls_end, in_time).await;
    if let Some(peers) = &shared.peers {
        let (left, has_left) = bounded(1);
        let _ = peers.try_send(ToPeers::Leave(left));
        let said = async { has_left.recv().await.unwrap_or_default() };
        future::or(said, async {
            Timer::after(Duration::from_millis(50)).await;
        })
        .await;
    }
    // Who was accepted just before the listener closed is answered, or has said nothing in time.
    while shared.counters.inbound_open.get() > 0 && told.elapsed() < END_BY {
        Timer::after(LOOK).await;
    }
    drop(closing);
    // Ends that came last are still on their way to the platform.
    Timer::after(Duration::from_millis(100)).await;
    let (look, looked) = bounded(1);
    let _ = to_module.send(CoreMessage::FinalCheck(look)).await;
    let _ = looked.recv().await;
    tracing::info!("counters {}", shared.counters_json());
    Ok(())
}

/// Where clients connect. Another process of this forwarder may listen there as well, to take over from this one; anybody
/// else who does is a fault, which shows as long as nobody of ours does.
fn door(at: SocketAddr, beside: bool) -> std::io::Result<TcpListener> {
    if !beside {
        drop(TcpListener::bind(at)?);
    }
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    set_socket_reuseaddr(&socket, true)?;
    // Where the system does not know it there is one process at a time, as before.
    let _ = set_socket_reuseport(&socket, true);
    bind(&socket, &at)?;
    listen_at(&socket, 1024)?;
    Ok(TcpListener::from(socket))
}

/// Keys for members hold at once; what else differs in our own file is named.
fn reload_product(shared: &SharedState, ours: &ProductSettings, new: &ProductSettings) {
    if let (Some(peers), Some(d)) = (&shared.peers, &new.duties) {
        let _ = peers.try_send(ToPeers::Rekey(d.keys.clone()));
        tracing::info!(
            "reload: members sign with key {}, {} are believed",
            d.keys.signing_key_id(),
            d.keys.accepted_count()
        );
    }
    let differs = match (&ours.duties, &new.duties) {
        (Some(ours), Some(new)) => ours.requires_restart(new),
        (ours, new) => ours.is_some() != new.is_some(),
    };
    if (ours.list, ours.idle) != (new.list, new.idle) {
        tracing::warn!("reload: [list] and [idle] will hold from the next start on");
    }
    if differs {
        tracing::warn!("reload: [duties] but for its keys will hold from the next start on");
    }
}

/// Reads the file, over a moment in which the system has no descriptor for it.
async fn read_again(reread: Reread<'_>) -> Result<(Config, ProductSettings), ReadError> {
    for _ in 0..REREAD_TRIES {
        match reread() {
            Err(ReadError::Unreadable(_)) => Timer::after(REREAD_EVERY).await,
            read => return read,
        };
    }
    reread()
}

/// Reads the file again, and has all of it hold that can while this process runs. True if discovery has moved. What cannot
/// be read, or is not whole, changes nothing.
async fn reload(shared: &SharedState, held: &mut Config, ours: &ProductSettings, reread: Reread<'_>) -> bool {
    let read = read_again(reread).await.map_err(String::from);
    let read = read.and_then(|(new, product)| held.check_reload(&new).map(|()| (new, product)));
    let (new, product) = match read {
        Ok(read) => read,
        Err(e) => {
            shared.counters.reloads_refused.increment();
            tracing::error!("reload: {e}; the old settings stay");
            return false;
        }
    };
    reload_product(shared, ours, &product);
    shared.counters.reloads.increment();
    let late = held.restart_only_differences(&new);
    if !late.is_empty() {
        tracing::warn!("reload: {} will hold from the next start on", late.join(", "));
    }
    // The same address may be another discovery, too.
    shared.discovery.set(new.discovery);
    tracing::info!("reload: discovery is at {}", new.discovery);
    let Config { settings, names, .. } = new.clone();
    let live = Box::new(LiveSettings { settings, names });
    let _ = shared.core.send(CoreMessage::NewSettings(live)).await;
    // What waits for the next start is compared with what this one had.
    let Config { discovery, required_values: file, .. } = new;
    (held.discovery, held.required_values) = (discovery, file);
    true
}

#[cfg(test)]
mod tests;
