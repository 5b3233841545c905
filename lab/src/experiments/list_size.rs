//! What a longer list costs, listed alone and in use.

use super::ExperimentContext;
use crate::daemon::Daemon;
use crate::report::{Claim, Report};
use crate::testbed::clients::submit;
use crate::testbed::discovery::{Discovery, entry_json};
use crate::testbed::partner::{CapacityModel, Partner};
use crate::testbed::sleep;
use serde_json::{Value, json};

/// Endpoints, each a destination of its own; the first is what the others are measured against.
const ENDPOINT_COUNTS: [u64; 3] = [30, 300, 1024];
/// Listeners that all destinations share.
const LISTENERS: u64 = 5;

pub async fn run(setup: &ExperimentContext) -> Result<Report, String> {
    let world = &setup.runtime;
    let strong = CapacityModel { calls_per_s: 1e6, service_time_s: 0.002, ..CapacityModel::default() };
    let partners = (0..LISTENERS).map(|d| Partner::start(world, d, strong)).collect::<Result<Vec<_>, _>>()?;
    let (mut rows, mut unserved) = (Vec::new(), 0);
    for n in ENDPOINT_COUNTS {
        let discovery = Discovery::start(world, &partners)?;
        let at = |d: u64| partners[(d % LISTENERS) as usize].address;
        let all: Vec<_> =
            (1..=n).map(|d| entry_json(&format!("e-{d:08}"), at(d), d, "Ready", 50.0)).collect();
        discovery.publish(&all, None);
        let name = format!("listed-{n}");
        let product = "[log]\nlines_per_s = 50\n".to_owned();
        let mut d = Daemon::new(
            &name,
            &setup.daemon_program,
            &setup.output_dir,
            discovery.address,
            Value::Null,
            product,
            1,
        )?;
        d.start().await?;
        let counter =
            async |d: &Daemon, what: &str| d.get_json("/counters").await.and_then(|c| c[what].as_u64());
        while counter(&d, "listed").await != Some(n) {
            sleep(0.02).await;
        }
        sleep(1.0).await;
        let look = |d: &Daemon| Some((d.memory_and_cpu()?.0 as f64 / 1024.0, d.thread_count()?));
        let (listed, threads) = look(&d).ok_or("no figures of the daemon")?;
        let http = d.client_address.ok_or("no daemon")?;
        let mut taken = 0;
        for i in 1..=n {
            taken += u64::from(submit(http, &format!("{n:08x}{i:08x}"), i, 4.0).await == 202);
        }
        sleep(2.0).await;
        let delivered = counter(&d, "delivered").await.unwrap_or_default();
        unserved += n - delivered.min(taken);
        let (used, threads_used) = look(&d).ok_or("no figures of the daemon")?;
        setup.log_progress(&format!("{n}: {listed:.1} MB listed, {used:.1} MB used, {threads_used} threads"));
        rows.push((n, listed, used, threads.max(threads_used)));
        d.kill();
    }
    let last = rows[rows.len() - 1];
    let claims = vec![
        Claim::at_most("listed_1024_mb_more_than_30", last.1 - rows[0].1, 1.0, "MB"),
        Claim::at_most("used_1024_mb", last.2, 25.0, "MB"),
        Claim::at_most("threads_1024", last.3 as f64, rows[0].3 as f64, "threads, as many as with 30"),
        Claim::at_most("unserved", unserved as f64, 0.0, "messages, one to each endpoint"),
    ];
    let row = |r: &(u64, f64, f64, usize)| json!({"listed": r.0, "mb": r.1, "mb_used": r.2, "threads": r.3});
    let figures = json!(rows.iter().map(row).collect::<Vec<_>>());
    Ok(Report { experiment: "list-size".into(), short: setup.short, claims, figures })
}
