//! What a longer endpoint list costs a daemon in memory and threads, merely listed and in use.

use super::ExperimentContext;
use crate::daemon::Daemon;
use crate::report::{Claim, Report};
use crate::testbed::clients::submit;
use crate::testbed::discovery::{Discovery, entry_json};
use crate::testbed::partner::{CapacityModel, Partner};
use crate::testbed::sleep;
use serde_json::{Value, json};

/// Numbers of endpoints, each with its own destination; the other sizes are compared to the first.
const ENDPOINT_COUNTS: [u64; 3] = [30, 300, 1024];
/// Number of listeners that all destinations share.
const LISTENERS: u64 = 5;

/// Measures one daemon at each size.
pub async fn run(context: &ExperimentContext) -> Result<Report, String> {
    let runtime = &context.runtime;
    let ample_capacity =
        CapacityModel { calls_per_s: 1e6, service_time_s: 0.002, ..CapacityModel::default() };
    let partners = (0..LISTENERS)
        .map(|destination| Partner::start(runtime, destination, ample_capacity))
        .collect::<Result<Vec<_>, _>>()?;
    let (mut measurements, mut undelivered) = (Vec::new(), 0);
    for endpoints in ENDPOINT_COUNTS {
        let discovery = Discovery::start(runtime, &partners)?;
        let address = |destination: u64| partners[(destination % LISTENERS) as usize].address;
        let entries: Vec<_> =
            (1..=endpoints).map(|d| entry_json(&format!("e-{d:08}"), address(d), d, "Ready", 50.0)).collect();
        discovery.publish(&entries, None);
        let name = format!("listed-{endpoints}");
        let product_config = "[log]\nlines_per_s = 50\n".to_owned();
        let mut daemon = Daemon::new(
            &name,
            &context.daemon_program,
            &context.output_dir,
            discovery.address,
            Value::Null,
            product_config,
            1,
        )?;
        daemon.start().await?;
        let counter = async |daemon: &Daemon, name: &str| {
            daemon.get_json("/counters").await.and_then(|counters| counters[name].as_u64())
        };
        while counter(&daemon, "listed").await != Some(endpoints) {
            sleep(0.02).await;
        }
        sleep(1.0).await;
        let memory_and_threads =
            |daemon: &Daemon| Some((daemon.memory_and_cpu()?.0 as f64 / 1024.0, daemon.thread_count()?));
        let (listed_mb, threads) =
            memory_and_threads(&daemon).ok_or("cannot read the daemon's memory and threads from /proc")?;
        let client_address = daemon.client_address.ok_or("the daemon does not listen for clients")?;
        let mut accepted = 0;
        for i in 1..=endpoints {
            accepted +=
                u64::from(submit(client_address, &format!("{endpoints:08x}{i:08x}"), i, 4.0).await == 202);
        }
        sleep(2.0).await;
        let delivered = counter(&daemon, "delivered").await.unwrap_or_default();
        undelivered += endpoints - delivered.min(accepted);
        let (used_mb, threads_used) =
            memory_and_threads(&daemon).ok_or("cannot read the daemon's memory and threads from /proc")?;
        context.log_progress(&format!(
            "{endpoints} endpoints: {listed_mb:.1} MB listed, {used_mb:.1} MB in use, {threads_used} threads"
        ));
        measurements.push((endpoints, listed_mb, used_mb, threads.max(threads_used)));
        daemon.kill();
    }
    let last = measurements[measurements.len() - 1];
    let claims = vec![
        Claim::at_most("listed_1024_mb_more_than_30", last.1 - measurements[0].1, 1.0, "MB"),
        Claim::at_most("used_1024_mb", last.2, 25.0, "MB"),
        Claim::at_most(
            "threads_1024",
            last.3 as f64,
            measurements[0].3 as f64,
            "threads, as many as with 30",
        ),
        Claim::at_most("unserved", undelivered as f64, 0.0, "messages, one to each endpoint"),
    ];
    let figure =
        |m: &(u64, f64, f64, usize)| json!({"listed": m.0, "mb": m.1, "mb_used": m.2, "threads": m.3});
    let figures = json!(measurements.iter().map(figure).collect::<Vec<_>>());
    Ok(Report { experiment: "list-size".into(), short: context.short, claims, figures })
}
