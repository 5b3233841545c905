//! Many destinations of which few are in use.

use super::ExperimentContext;
use crate::daemon::Daemon;
use crate::report::{Claim, Report, quantile};
use crate::testbed::clients::{self, Clients};
use crate::testbed::discovery::{Discovery, entry_json};
use crate::testbed::partner::{CapacityModel, Mode, Partner};
use crate::testbed::{Runtime, sleep};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Listeners that all destinations share.
const LISTENERS: u64 = 5;
/// Messages a second at each daemon.
const MESSAGES_PER_S: f64 = 200.0;

struct Parameters {
    listed_endpoints: u64,
    /// Seconds that the processor's time is measured for.
    cpu_span_s: f64,
    /// Whole lists of new destinations, one after the other.
    list_replacements: u64,
}

pub async fn run(setup: &ExperimentContext) -> Result<Report, String> {
    let sizes = if setup.short {
        Parameters { listed_endpoints: 5_000, cpu_span_s: 5.0, list_replacements: 4 }
    } else {
        Parameters { listed_endpoints: 50_000, cpu_span_s: 20.0, list_replacements: 7 }
    };
    let mut claims = measure_large_list(setup, &sizes).await?;
    let figures = measure_reactivation(setup, &mut claims).await?;
    Ok(Report { experiment: "idle-50k".into(), short: setup.short, claims, figures })
}

/// Lines of the list for these destinations.
fn list_entries(partners: &[Rc<Partner>], from: u64, to: u64, state: &str) -> Vec<String> {
    let at = |d: u64| partners[(d % LISTENERS) as usize].address;
    (from..to).map(|d| entry_json(&format!("club-endpoint-{d:08}"), at(d), d, state, 50.0)).collect()
}

async fn counter(d: &Daemon, name: &str) -> Option<f64> {
    d.get_json("/counters").await?[name].as_f64()
}

/// Waits until a daemon counts so many endpoints in its list. The milliseconds that it took.
async fn wait_for_list(d: &Daemon, world: &Runtime, n: u64) -> Result<f64, String> {
    let began = world.now();
    while counter(d, "listed").await != Some(n as f64) {
        if world.now() - began > 20.0 {
            return Err(format!("{}: no list of {n} within 20 s", d.name));
        }
        sleep(0.005).await;
    }
    Ok((world.now() - began) * 1000.0)
}

/// Asks whether it is ready, all the time, from a thread of its own: whoever holds the daemon's one thread shows here.
struct Pinger {
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<std::io::Result<Vec<f64>>>,
}

impl Pinger {
    fn start(at: SocketAddr) -> Pinger {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(at)?;
            stream.set_nodelay(true)?;
            let (mut took, mut some) = (Vec::new(), [0; 1024]);
            while !stopped.load(Ordering::Relaxed) {
                let began = Instant::now();
                stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n")?;
                // The answer is short: it comes in one piece.
                if stream.read(&mut some)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                took.push(began.elapsed().as_secs_f64() * 1000.0);
                std::thread::sleep(Duration::from_micros(500));
            }
            Ok(took)
        });
        Pinger { stop, thread }
    }

    /// How long each answer took, in milliseconds.
    fn finish(self) -> Result<Vec<f64>, String> {
        self.stop.store(true, Ordering::Relaxed);
        let took = self.thread.join().map_err(|_| "the pinger has ended")?;
        took.map_err(|e| format!("the pinger: {e}"))
    }
}

/// The list, what it costs to hold and to change, and a process with nothing to do.
async fn measure_large_list(setup: &ExperimentContext, sizes: &Parameters) -> Result<Vec<Claim>, String> {
    let (world, n) = (&setup.runtime, sizes.listed_endpoints);
    let strong = CapacityModel { calls_per_s: 1e6, service_time_s: 0.002, ..CapacityModel::default() };
    let partners = (0..LISTENERS).map(|d| Partner::start(world, d, strong)).collect::<Result<Vec<_>, _>>()?;
    let few = list_entries(&partners, 1, 31, "Ready");
    let start = async |name: &str| {
        let discovery = Discovery::start(world, &partners)?;
        discovery.publish(&few, None);
        let product = "[idle]\nrest_s = 5\n".to_owned();
        let mut d = Daemon::new(
            name,
            &setup.daemon_program,
            &setup.output_dir,
            discovery.address,
            Value::Null,
            product,
            1,
        )?;
        d.start().await?;
        wait_for_list(&d, world, 30).await?;
        Ok::<_, String>((d, discovery))
    };
    let (big, discovery) = start("many").await?;
    let (small, _discovery) = start("few").await?;
    let used: Vec<_> = (1..=20).collect();
    let clients = Clients::start(world, 2, &used, MESSAGES_PER_S, 7);
    let at = |i: usize, to: Option<SocketAddr>| clients.daemon_addresses[i].set(to);
    at(0, big.client_address);
    at(1, small.client_address);
    sleep(2.0).await;

    let pinger = Pinger::start(big.client_address.ok_or("no daemon")?);
    sleep(1.0).await;
    let all = list_entries(&partners, 1, n + 1, "Ready");
    discovery.publish(&all, None);
    let load = wait_for_list(&big, world, n).await?;
    setup.log_progress(&format!("a list of {n} took {load:.0} ms"));
    sleep(0.5).await;
    let half = n / 2;
    discovery.publish(&all[..half as usize], Some(&list_entries(&partners, half + 1, n + 1, "Gone")));
    let change = wait_for_list(&big, world, half).await?;
    setup.log_progress(&format!("{half} that went in one change took {change:.0} ms"));
    sleep(0.5).await;
    discovery.publish(&all, None);
    wait_for_list(&big, world, n).await?;
    let pings = pinger.finish()?;

    let cost = |d: &Daemon| d.memory_and_cpu().ok_or("no daemon");
    let (mut cpu, mut taken) = ([0.0; 2], [0.0; 2]);
    for (i, d) in [&big, &small].into_iter().enumerate() {
        (cpu[i], taken[i]) = (cost(d)?.1, counter(d, "taken").await.ok_or("no counters")?);
    }
    sleep(sizes.cpu_span_s).await;
    for (i, d) in [&big, &small].into_iter().enumerate() {
        (cpu[i], taken[i]) =
            (cost(d)?.1 - cpu[i], counter(d, "taken").await.ok_or("no counters")? - taken[i]);
    }
    let each = [cpu[0] / taken[0] * 1e6, cpu[1] / taken[1] * 1e6];
    setup.log_progress(&format!("{:.0} us a message with {n} listed, {:.0} with 30", each[0], each[1]));

    // A hundred in use.
    let hundred = Clients::start(world, 1, &(1..=100).collect::<Vec<_>>(), MESSAGES_PER_S, 8);
    hundred.daemon_addresses[0].set(big.client_address);
    at(0, None);
    sleep(4.0).await;
    let awake = counter(&big, "awake").await.ok_or("no counters")?;
    let rss = [cost(&big)?.0 as f64 / 1024.0, cost(&small)?.0 as f64 / 1024.0];
    setup.log_progress(&format!(
        "{:.1} MB with {n} listed and {awake} awake, {:.1} MB with 30",
        rss[0], rss[1]
    ));

    // Others take their place, and others again; of each list some are used.
    let mut soak = Vec::new();
    for round in 1..=sizes.list_replacements {
        let from = 1_000_000 * round;
        let next = [
            list_entries(&partners, 1, 101, "Ready"),
            list_entries(&partners, from, from + n - 100, "Ready"),
        ]
        .concat();
        discovery.publish(&next, None);
        sleep(0.5).await;
        wait_for_list(&big, world, n).await?;
        for d in from..from + 500 {
            let status = submit(big.client_address, d, d).await;
            if status != 202 {
                return Err(format!("a message for {d} was answered {status}"));
            }
        }
        // Those of the round go to rest.
        sleep(8.0).await;
        soak.push(cost(&big)?.0 as f64 / 1024.0);
        setup.log_progress(&format!("{:.1} MB after {} destinations", soak[soak.len() - 1], round * n));
    }
    // The table has its size once one list has taken another's place a few times.
    let growth = soak[soak.len() - 1] - soak[2];
    let most = soak.iter().copied().fold(0.0, f64::max);

    // As many at once as one after the other can be asked for before the first may rest.
    let before = (cost(&big)?.0, counter(&big, "awake").await.ok_or("no counters")?);
    let (began, mut woken) = (world.now(), 0);
    while world.now() - began < 4.0 && woken < n / 5 {
        let d = 1_000_000 * sizes.list_replacements + 1000 + woken;
        let statuses = futures_lite::future::zip(
            submit(big.client_address, d, d),
            submit(big.client_address, d + 1, d + 1),
        )
        .await;
        if statuses != (202, 202) {
            return Err(format!("messages for {d} and the next were answered {statuses:?}"));
        }
        woken += 2;
    }
    let after = (cost(&big)?.0, counter(&big, "awake").await.ok_or("no counters")?);
    let kb_each = (after.0 as f64 - before.0 as f64) / (after.1 - before.1);
    setup.log_progress(&format!("{woken} woken in {:.1} s, {kb_each:.1} kB each", world.now() - began));

    hundred.daemon_addresses[0].set(None);
    at(1, None);
    sleep(8.0).await;
    let sleeps = [
        big.voluntary_context_switches().ok_or("no daemon")?,
        small.voluntary_context_switches().ok_or("no daemon")?,
    ];
    let asked = discovery.list_requests.get();
    sleep(10.0).await;
    let wakeups = (big.voluntary_context_switches().ok_or("no daemon")? - sleeps[0]) as f64 / 10.0;
    let asked = (discovery.list_requests.get() - asked) as f64 / 10.0;
    let rested = counter(&big, "awake").await.ok_or("no counters")?;
    setup.log_progress(&format!(
        "{wakeups:.1} wake-ups a second with nothing to do, {asked:.1} questions for the list"
    ));

    let late =
        [&clients, &hundred].into_iter().map(|c| c.status_counts.borrow().get(&0).copied().unwrap_or(0));
    let late = late.sum::<u64>() as f64;
    let others = clients
        .status_counts
        .borrow()
        .iter()
        .filter(|(s, _)| ![0, 202].contains(*s))
        .map(|(_, n)| n)
        .sum::<u64>();
    Ok(vec![
        Claim::at_most("rss_mb", rss[0], 25.0, "MB"),
        Claim::at_most("rss_few_mb", rss[1], 25.0, "MB"),
        Claim::at_least("awake", awake, 100.0, ""),
        Claim::at_most("rss_soak_mb", most, 25.0, "MB"),
        Claim::at_most("rss_growth_mb", growth, 2.5, "MB"),
        Claim::at_most("cpu_per_message_ratio", each[0] / each[1], 1.15, ""),
        Claim::at_most("list_load_ms", load, 2000.0, "ms"),
        Claim::at_most("list_change_ms", change, 2000.0, "ms"),
        Claim::at_most("longest_stall_ms", quantile(&pings, 1.0), 20.0, "ms"),
        Claim::at_most("hand_ins_late", late, 0.0, ""),
        Claim::at_most("hand_ins_refused", others as f64, 0.0, ""),
        Claim::at_most("kb_per_awake", kb_each, 8.0, "kB"),
        Claim::at_most("idle_wakeups_per_s", wakeups, 3.0, "1/s"),
        Claim::at_most("awake_at_rest", rested, 0.0, ""),
    ])
}

/// One message for a destination.
async fn submit(at: Option<SocketAddr>, destination: u64, n: u64) -> u16 {
    match at {
        Some(daemon) => clients::submit(daemon, &format!("w-{n}"), destination, 4.5).await,
        None => 0,
    }
}

/// So many messages for a destination, evenly over a span.
async fn send_burst(world: &Runtime, at: Option<SocketAddr>, destination: u64, many: u64, over: f64) {
    let first = destination * 1_000_000 + (world.now() * 1000.0) as u64 * 1000;
    for n in first..first + many {
        world.spawn(async move {
            submit(at, destination, n).await;
        });
        sleep(over / many as f64).await;
    }
}

/// What came to a partner in a span: calls that it turned away, and that it took.
fn refused_and_served(p: &Partner, from: f64) -> (usize, usize) {
    let hits = p.calls.borrow();
    let count = |status: u16| hits.iter().filter(|h| h.received_at >= from && h.status == status).count();
    (count(503), count(200))
}

/// A clump at opening, and a return from an outage, at a forwarder whose destinations rest and one that keeps its pace.
async fn measure_reactivation(setup: &ExperimentContext, claims: &mut Vec<Claim>) -> Result<Value, String> {
    let world = &setup.runtime;
    let strength = CapacityModel { calls_per_s: 25.0, ..CapacityModel::default() };
    let mut pairs = Vec::new();
    for (name, product) in [("rests", "[idle]\nrest_s = 2\n"), ("keeps", "")] {
        let partners = (0..2).map(|d| Partner::start(world, d, strength)).collect::<Result<Vec<_>, _>>()?;
        let discovery = Discovery::start(world, &partners)?;
        // Twice what it takes.
        let list: Vec<_> = partners
            .iter()
            .map(|p| entry_json(&format!("c-{}", p.destination), p.address, p.destination, "Ready", 50.0))
            .collect();
        discovery.publish(&list, None);
        let mut d = Daemon::new(
            name,
            &setup.daemon_program,
            &setup.output_dir,
            discovery.address,
            Value::Null,
            product.into(),
            1,
        )?;
        d.start().await?;
        wait_for_list(&d, world, 2).await?;
        pairs.push((d, partners, discovery));
    }
    let both = async |destination: u64, many: u64, over: f64| {
        let way = |i: usize| send_burst(world, pairs[i].0.client_address, destination, many, over);
        futures_lite::future::zip(way(0), way(1)).await;
    };
    // In use for a while, as on any evening; the second fails in the end.
    both(0, 150, 10.0).await;
    both(1, 75, 5.0).await;
    pairs.iter().for_each(|(_, p, _)| p[1].mode.set(Mode::Hanging));
    both(1, 30, 2.0).await;
    setup.log_progress("all are left alone for a while");
    sleep(8.0).await;
    // Something comes by, if only the list.
    sleep(6.0).await;
    let rested = counter(&pairs[0].0, "awake").await.ok_or("no counters")?;
    // Opening: both are cold.
    let now = world.now();
    pairs.iter().for_each(|(_, p, _)| p.iter().for_each(|p| p.mode.set(Mode::WarmingUp(now))));
    futures_lite::future::zip(both(0, 400, 2.0), both(1, 400, 2.0)).await;
    sleep(10.0).await;
    let seen: Vec<_> = pairs
        .iter()
        .map(|(_, p, _)| [refused_and_served(&p[0], now), refused_and_served(&p[1], now)])
        .collect();
    let fallen = pairs[0].1.iter().filter(|p| p.mode.get() == Mode::Collapsed).count();
    let fallen_kept = pairs[1].1.iter().filter(|p| p.mode.get() == Mode::Collapsed).count();
    let full = |i: usize| (seen[i][0].0 + seen[i][1].0) as f64;
    let took = |i: usize| (seen[i][0].1 + seen[i][1].1) as f64;
    claims.push(Claim::at_most("full_on_waking", full(0), full(1), "refusals"));
    claims.push(Claim::at_most("fallen", fallen as f64, 0.0, ""));
    claims.push(Claim::at_most("awake_before_opening", rested, 0.0, ""));
    Ok(json!({
        "clump_refused_taken": {"rests": seen[0][0], "keeps": seen[1][0]},
        "return_refused_taken": {"rests": seen[0][1], "keeps": seen[1][1]},
        "taken": {"rests": took(0), "keeps": took(1)},
        "fallen_that_keeps": fallen_kept,
    }))
}
