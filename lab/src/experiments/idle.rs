//! A list of many destinations of which few are in use: its cost, and what happens when idle destinations
//! come into use.

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

/// Number of listeners that all destinations share.
const LISTENERS: u64 = 5;
/// Messages a second at each daemon.
const MESSAGES_PER_S: f64 = 200.0;

/// Sizes of the full or the short form.
struct Parameters {
    listed_endpoints: u64,
    /// Seconds over which CPU time is measured.
    cpu_span_s: f64,
    /// How often the list is replaced by one of new destinations.
    list_replacements: u64,
}

/// Runs both parts of the experiment.
pub async fn run(context: &ExperimentContext) -> Result<Report, String> {
    let parameters = if context.short {
        Parameters { listed_endpoints: 5_000, cpu_span_s: 5.0, list_replacements: 4 }
    } else {
        Parameters { listed_endpoints: 50_000, cpu_span_s: 20.0, list_replacements: 7 }
    };
    let mut claims = measure_large_list(context, &parameters).await?;
    let figures = measure_reactivation(context, &mut claims).await?;
    Ok(Report { experiment: "idle-50k".into(), short: context.short, claims, figures })
}

/// Returns the list entries of the destinations from `from` up to, but not including, `to`.
fn list_entries(partners: &[Rc<Partner>], from: u64, to: u64, state: &str) -> Vec<String> {
    let address = |destination: u64| partners[(destination % LISTENERS) as usize].address;
    (from..to).map(|d| entry_json(&format!("club-endpoint-{d:08}"), address(d), d, state, 50.0)).collect()
}

async fn counter(daemon: &Daemon, name: &str) -> Option<f64> {
    daemon.get_json("/counters").await?[name].as_f64()
}

/// Waits until a daemon has this many endpoints in its list. Returns the milliseconds that it took.
async fn wait_for_list(daemon: &Daemon, runtime: &Runtime, endpoints: u64) -> Result<f64, String> {
    let began = runtime.now();
    while counter(daemon, "listed").await != Some(endpoints as f64) {
        if runtime.now() - began > 20.0 {
            return Err(format!("{}: no list of {endpoints} endpoints within 20 s", daemon.name));
        }
        sleep(0.005).await;
    }
    Ok((runtime.now() - began) * 1000.0)
}

/// Sends readiness requests to a daemon all the time, from a separate thread. A slow response shows that
/// something blocked the daemon's only thread.
struct Pinger {
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<std::io::Result<Vec<f64>>>,
}

impl Pinger {
    fn start(address: SocketAddr) -> Pinger {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            let (mut latencies_ms, mut buffer) = (Vec::new(), [0; 1024]);
            while !stopped.load(Ordering::Relaxed) {
                let began = Instant::now();
                stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n")?;
                // The response is short enough to arrive in one piece.
                if stream.read(&mut buffer)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                latencies_ms.push(began.elapsed().as_secs_f64() * 1000.0);
                std::thread::sleep(Duration::from_micros(500));
            }
            Ok(latencies_ms)
        });
        Pinger { stop, thread }
    }

    /// Stops the thread. Returns the latency of each response in milliseconds.
    fn finish(self) -> Result<Vec<f64>, String> {
        self.stop.store(true, Ordering::Relaxed);
        let latencies_ms = self.thread.join().map_err(|_| "the thread of the readiness requests panicked")?;
        latencies_ms.map_err(|e| format!("a readiness request failed: {e}"))
    }
}

/// Compares a daemon with a large list to one with 30 endpoints: load and change of the list, memory, CPU
/// time, and the activity of a daemon without work.
async fn measure_large_list(
    context: &ExperimentContext, parameters: &Parameters,
) -> Result<Vec<Claim>, String> {
    let (runtime, endpoints) = (&context.runtime, parameters.listed_endpoints);
    let ample_capacity =
        CapacityModel { calls_per_s: 1e6, service_time_s: 0.002, ..CapacityModel::default() };
    let partners = (0..LISTENERS)
        .map(|destination| Partner::start(runtime, destination, ample_capacity))
        .collect::<Result<Vec<_>, _>>()?;
    let few_entries = list_entries(&partners, 1, 31, "Ready");
    let start = async |name: &str| {
        let discovery = Discovery::start(runtime, &partners)?;
        discovery.publish(&few_entries, None);
        let product_config = "[idle]\nrest_s = 5\n".to_owned();
        let mut daemon = Daemon::new(
            name,
            &context.daemon_program,
            &context.output_dir,
            discovery.address,
            Value::Null,
            product_config,
            1,
        )?;
        daemon.start().await?;
        wait_for_list(&daemon, runtime, 30).await?;
        Ok::<_, String>((daemon, discovery))
    };
    let (large, discovery) = start("many").await?;
    let (small, _discovery) = start("few").await?;
    let used: Vec<_> = (1..=20).collect();
    let clients = Clients::start(runtime, 2, &used, MESSAGES_PER_S, 7);
    let set_address = |i: usize, address: Option<SocketAddr>| clients.daemon_addresses[i].set(address);
    set_address(0, large.client_address);
    set_address(1, small.client_address);
    sleep(2.0).await;

    let pinger = Pinger::start(large.client_address.ok_or("the daemon does not listen for clients")?);
    sleep(1.0).await;
    let all_entries = list_entries(&partners, 1, endpoints + 1, "Ready");
    discovery.publish(&all_entries, None);
    let load_ms = wait_for_list(&large, runtime, endpoints).await?;
    context.log_progress(&format!("a list of {endpoints} endpoints was loaded in {load_ms:.0} ms"));
    sleep(0.5).await;
    let half = endpoints / 2;
    discovery.publish(
        &all_entries[..half as usize],
        Some(&list_entries(&partners, half + 1, endpoints + 1, "Gone")),
    );
    let change_ms = wait_for_list(&large, runtime, half).await?;
    context.log_progress(&format!("a change that removes {half} endpoints was applied in {change_ms:.0} ms"));
    sleep(0.5).await;
    discovery.publish(&all_entries, None);
    wait_for_list(&large, runtime, endpoints).await?;
    let latencies_ms = pinger.finish()?;

    let memory_and_cpu = |daemon: &Daemon| {
        daemon.memory_and_cpu().ok_or("cannot read the daemon's memory and CPU time from /proc")
    };
    let (mut cpu_s, mut accepted) = ([0.0; 2], [0.0; 2]);
    for (i, daemon) in [&large, &small].into_iter().enumerate() {
        (cpu_s[i], accepted[i]) = (
            memory_and_cpu(daemon)?.1,
            counter(daemon, "taken").await.ok_or("the daemon did not return its counters")?,
        );
    }
    sleep(parameters.cpu_span_s).await;
    for (i, daemon) in [&large, &small].into_iter().enumerate() {
        (cpu_s[i], accepted[i]) = (
            memory_and_cpu(daemon)?.1 - cpu_s[i],
            counter(daemon, "taken").await.ok_or("the daemon did not return its counters")? - accepted[i],
        );
    }
    let us_per_message = [cpu_s[0] / accepted[0] * 1e6, cpu_s[1] / accepted[1] * 1e6];
    context.log_progress(&format!(
        "CPU time of a message: {:.0} us with {endpoints} endpoints listed, {:.0} us with 30",
        us_per_message[0], us_per_message[1]
    ));

    // One hundred destinations in use.
    let hundred = Clients::start(runtime, 1, &(1..=100).collect::<Vec<_>>(), MESSAGES_PER_S, 8);
    hundred.daemon_addresses[0].set(large.client_address);
    set_address(0, None);
    sleep(4.0).await;
    let active = counter(&large, "awake").await.ok_or("the daemon did not return its counters")?;
    let rss_mb = [memory_and_cpu(&large)?.0 as f64 / 1024.0, memory_and_cpu(&small)?.0 as f64 / 1024.0];
    context.log_progress(&format!(
        "{:.1} MB with {endpoints} endpoints listed and {active} active destinations, {:.1} MB with 30",
        rss_mb[0], rss_mb[1]
    ));

    // Replace the list by one of new destinations several times, and use some destinations of each list.
    let mut rss_by_replacement_mb = Vec::new();
    for replacement in 1..=parameters.list_replacements {
        let from = 1_000_000 * replacement;
        let entries = [
            list_entries(&partners, 1, 101, "Ready"),
            list_entries(&partners, from, from + endpoints - 100, "Ready"),
        ]
        .concat();
        discovery.publish(&entries, None);
        sleep(0.5).await;
        wait_for_list(&large, runtime, endpoints).await?;
        for destination in from..from + 500 {
            let status = submit(large.client_address, destination, destination).await;
            if status != 202 {
                return Err(format!("the submission for destination {destination} got the status {status}"));
            }
        }
        // The used destinations of this list become idle and are deactivated.
        sleep(8.0).await;
        rss_by_replacement_mb.push(memory_and_cpu(&large)?.0 as f64 / 1024.0);
        context.log_progress(&format!(
            "{:.1} MB after {} listed destinations",
            rss_by_replacement_mb[rss_by_replacement_mb.len() - 1],
            replacement * endpoints
        ));
    }
    // The roster's table reaches its final size after a few replacements of the list.
    let growth_mb = rss_by_replacement_mb[rss_by_replacement_mb.len() - 1] - rss_by_replacement_mb[2];
    let max_rss_mb = rss_by_replacement_mb.iter().copied().fold(0.0, f64::max);

    // Activate as many destinations as sequential submissions reach before the first of them is deactivated.
    let before = (
        memory_and_cpu(&large)?.0,
        counter(&large, "awake").await.ok_or("the daemon did not return its counters")?,
    );
    let (began, mut activated) = (runtime.now(), 0);
    while runtime.now() - began < 4.0 && activated < endpoints / 5 {
        let destination = 1_000_000 * parameters.list_replacements + 1000 + activated;
        let statuses = futures_lite::future::zip(
            submit(large.client_address, destination, destination),
            submit(large.client_address, destination + 1, destination + 1),
        )
        .await;
        if statuses != (202, 202) {
            return Err(format!(
                "the submissions for destination {destination} and the next got the statuses {statuses:?}"
            ));
        }
        activated += 2;
    }
    let after = (
        memory_and_cpu(&large)?.0,
        counter(&large, "awake").await.ok_or("the daemon did not return its counters")?,
    );
    let kb_per_active = (after.0 as f64 - before.0 as f64) / (after.1 - before.1);
    context.log_progress(&format!(
        "{activated} destinations activated in {:.1} s, {kb_per_active:.1} kB each",
        runtime.now() - began
    ));

    hundred.daemon_addresses[0].set(None);
    set_address(1, None);
    sleep(8.0).await;
    let switches = [
        large.voluntary_context_switches().ok_or("cannot read the daemon's context switches")?,
        small.voluntary_context_switches().ok_or("cannot read the daemon's context switches")?,
    ];
    let list_requests = discovery.list_requests.get();
    sleep(10.0).await;
    let wakeups_per_s = (large
        .voluntary_context_switches()
        .ok_or("cannot read the daemon's context switches")?
        - switches[0]) as f64
        / 10.0;
    let list_requests_per_s = (discovery.list_requests.get() - list_requests) as f64 / 10.0;
    let active_when_idle = counter(&large, "awake").await.ok_or("the daemon did not return its counters")?;
    context.log_progress(&format!(
        "without work: {wakeups_per_s:.1} wake-ups and {list_requests_per_s:.1} list requests a second"
    ));

    let unanswered =
        [&clients, &hundred].into_iter().map(|c| c.status_counts.borrow().get(&0).copied().unwrap_or(0));
    let unanswered = unanswered.sum::<u64>() as f64;
    let refused = clients
        .status_counts
        .borrow()
        .iter()
        .filter(|(status, _)| ![0, 202].contains(*status))
        .map(|(_, count)| count)
        .sum::<u64>();
    Ok(vec![
        Claim::at_most("rss_mb", rss_mb[0], 25.0, "MB"),
        Claim::at_most("rss_few_mb", rss_mb[1], 25.0, "MB"),
        Claim::at_least("awake", active, 100.0, ""),
        Claim::at_most("rss_soak_mb", max_rss_mb, 25.0, "MB"),
        Claim::at_most("rss_growth_mb", growth_mb, 2.5, "MB"),
        Claim::at_most("cpu_per_message_ratio", us_per_message[0] / us_per_message[1], 1.15, ""),
        Claim::at_most("list_load_ms", load_ms, 2000.0, "ms"),
        Claim::at_most("list_change_ms", change_ms, 2000.0, "ms"),
        Claim::at_most("longest_stall_ms", quantile(&latencies_ms, 1.0), 20.0, "ms"),
        Claim::at_most("hand_ins_late", unanswered, 0.0, ""),
        Claim::at_most("hand_ins_refused", refused as f64, 0.0, ""),
        Claim::at_most("kb_per_awake", kb_per_active, 8.0, "kB"),
        Claim::at_most("idle_wakeups_per_s", wakeups_per_s, 3.0, "1/s"),
        Claim::at_most("awake_at_rest", active_when_idle, 0.0, ""),
    ])
}

/// Submits one message. Returns the HTTP status, or 0 if the daemon is down or did not respond in time.
async fn submit(address: Option<SocketAddr>, destination: u64, number: u64) -> u16 {
    match address {
        Some(daemon) => clients::submit(daemon, &format!("w-{number}"), destination, 4.5).await,
        None => 0,
    }
}

/// Submits this many messages for a destination, spread evenly over a time.
async fn send_burst(
    runtime: &Runtime, address: Option<SocketAddr>, destination: u64, messages: u64, duration_s: f64,
) {
    let first = destination * 1_000_000 + (runtime.now() * 1000.0) as u64 * 1000;
    for number in first..first + messages {
        runtime.spawn(async move {
            submit(address, destination, number).await;
        });
        sleep(duration_s / messages as f64).await;
    }
}

/// Counts the calls that a partner refused and that it served since this time.
fn refused_and_served(partner: &Partner, from: f64) -> (usize, usize) {
    let calls = partner.calls.borrow();
    let count =
        |status: u16| calls.iter().filter(|call| call.received_at >= from && call.status == status).count();
    (count(503), count(200))
}

/// Compares a forwarder that deactivates idle destinations to one that keeps them, with its pace for each: a
/// burst after a long idle time, and a return from an outage.
async fn measure_reactivation(context: &ExperimentContext, claims: &mut Vec<Claim>) -> Result<Value, String> {
    let runtime = &context.runtime;
    let capacity_model = CapacityModel { calls_per_s: 25.0, ..CapacityModel::default() };
    let mut setups = Vec::new();
    for (name, product_config) in [("rests", "[idle]\nrest_s = 2\n"), ("keeps", "")] {
        let partners = (0..2)
            .map(|destination| Partner::start(runtime, destination, capacity_model))
            .collect::<Result<Vec<_>, _>>()?;
        let discovery = Discovery::start(runtime, &partners)?;
        // The listed weight is twice the partner's capacity.
        let entries: Vec<_> = partners
            .iter()
            .map(|p| entry_json(&format!("c-{}", p.destination), p.address, p.destination, "Ready", 50.0))
            .collect();
        discovery.publish(&entries, None);
        let mut daemon = Daemon::new(
            name,
            &context.daemon_program,
            &context.output_dir,
            discovery.address,
            Value::Null,
            product_config.into(),
            1,
        )?;
        daemon.start().await?;
        wait_for_list(&daemon, runtime, 2).await?;
        setups.push((daemon, partners, discovery));
    }
    let send_to_both = async |destination: u64, messages: u64, duration_s: f64| {
        let burst =
            |i: usize| send_burst(runtime, setups[i].0.client_address, destination, messages, duration_s);
        futures_lite::future::zip(burst(0), burst(1)).await;
    };
    // Both destinations are in use for a while under normal load; then the second one fails.
    send_to_both(0, 150, 10.0).await;
    send_to_both(1, 75, 5.0).await;
    setups.iter().for_each(|(_, partners, _)| partners[1].mode.set(Mode::Hanging));
    send_to_both(1, 30, 2.0).await;
    context.log_progress("no messages for the next 14 s");
    sleep(8.0).await;
    // Wait until the idle daemon has handled some event; in this time at least a request for the list ends.
    sleep(6.0).await;
    let active_when_idle =
        counter(&setups[0].0, "awake").await.ok_or("the daemon did not return its counters")?;
    // Both partners come back cold at the moment when the burst begins.
    let burst_began = runtime.now();
    setups.iter().for_each(|(_, partners, _)| {
        partners.iter().for_each(|partner| partner.mode.set(Mode::WarmingUp(burst_began)))
    });
    futures_lite::future::zip(send_to_both(0, 400, 2.0), send_to_both(1, 400, 2.0)).await;
    sleep(10.0).await;
    let counts: Vec<_> = setups
        .iter()
        .map(|(_, partners, _)| {
            [refused_and_served(&partners[0], burst_began), refused_and_served(&partners[1], burst_began)]
        })
        .collect();
    let collapsed = setups[0].1.iter().filter(|p| p.mode.get() == Mode::Collapsed).count();
    let collapsed_when_kept = setups[1].1.iter().filter(|p| p.mode.get() == Mode::Collapsed).count();
    let refused = |i: usize| (counts[i][0].0 + counts[i][1].0) as f64;
    let served = |i: usize| (counts[i][0].1 + counts[i][1].1) as f64;
    claims.push(Claim::at_most("full_on_waking", refused(0), refused(1), "refusals"));
    claims.push(Claim::at_most("fallen", collapsed as f64, 0.0, ""));
    claims.push(Claim::at_most("awake_before_opening", active_when_idle, 0.0, ""));
    Ok(json!({
        "clump_refused_taken": {"rests": counts[0][0], "keeps": counts[1][0]},
        "return_refused_taken": {"rests": counts[0][1], "keeps": counts[1][1]},
        "taken": {"rests": served(0), "keeps": served(1)},
        "fallen_that_keeps": collapsed_when_kept,
    }))
}
