//! Many senders at an endpoint that takes few connections, idle ones counted, on a virtual clock.
//!
//! `cargo test --release -p onyxrock --test connection_table -- --nocapture --test-threads 1` shows the figures.

#[path = "common/fleet/mod.rs"]
mod fleet;

use fleet::{Fleet, Outage, Report, Scenario};
use onyxrock::interface::Micros;
use rstest::rstest;

/// When the endpoint stops, and when it runs again, in seconds.
const STOPS: usize = 20;
const RETURNS: usize = 30;

fn seconds(n: usize) -> Micros {
    Micros(n as u64 * 1_000_000)
}

fn name(s: &Scenario) -> String {
    let table = if s.table == usize::MAX { "any".to_owned() } else { s.table.to_string() };
    format!("senders {:3} table {table:>3} load {:.2}", s.senders, s.load)
}

/// One line of the table of figures.
fn print(kind: &str, s: &Scenario, r: &Report) {
    println!(
        "{kind:5} {} | delivered {:.3} worth {:.3} senders {:.3} | connections {:.2} refused {:.2} \
         | early {:.3} untried {:.3} | offered {}",
        name(s),
        r.share_delivered(),
        r.share_of_worth(),
        r.share_of_senders(),
        r.connections_each(),
        r.refused_each(),
        r.share_early(),
        r.early_untried as f64 / r.offered as f64,
        r.offered,
    );
}

/// One line on an outage: calls a second before it, and while the endpoint is down.
fn print_outage(kind: &str, s: &Scenario, r: &Report) {
    println!(
        "{kind:5} {} | calls a second before {:4.1}, down 0-2 s {:4.1}, 2-5 s {:4.1}, 5-10 s {:4.1} | back after {} \
         | most calls in 3 s after return {} | delivered {:.3}",
        name(s),
        r.calls_per_s(STOPS - 5..STOPS),
        r.calls_per_s(STOPS..STOPS + 2),
        r.calls_per_s(STOPS + 2..STOPS + 5),
        r.calls_per_s(STOPS + 5..RETURNS),
        back_after(s, r).map_or("never".to_owned(), |t| format!("{t} s")),
        (RETURNS..RETURNS + 10).map(|t| r.calls_per_s(t..t + 3) * 3.0).fold(0.0, f64::max),
        r.share_delivered(),
    );
}

/// Seconds from the return of the endpoint until two seconds deliver seven tenths of what is offered.
fn back_after(s: &Scenario, r: &Report) -> Option<usize> {
    (0..20).find(|t| r.delivered_per_s(RETURNS + t..RETURNS + t + 2) >= 0.7 * s.offered_per_s())
}

#[rstest]
fn full_table(
    #[values(4, 16, 60, 300)] senders: u32, #[values(6, 14, usize::MAX)] table: usize,
    #[values(0.35, 0.7)] load: f64,
) {
    let scenario = Scenario::new(senders, table, load);
    let report = Fleet::run(scenario.clone());
    print("table", &scenario, &report);
    assert_eq!(report.delivered + report.undelivered, report.offered, "each message ends once");
}

#[rstest]
fn rate_limit(
    #[values(4, 16, 60, 300)] senders: u32, #[values(14, usize::MAX)] table: usize,
    #[values(0.7, 1.1)] load: f64,
) {
    let limit_per_s = Some(40.0);
    let scenario = Scenario { limit_per_s, ..Scenario::new(senders, table, load) };
    let report = Fleet::run(scenario.clone());
    print("limit", &scenario, &report);
    assert_eq!(report.delivered + report.undelivered, report.offered, "each message ends once");
}

#[rstest]
fn endpoint_that_stops(
    #[values(4, 16, 60, 300)] senders: u32, #[values(6, 14, usize::MAX)] table: usize,
    #[values(None, Some(RETURNS))] until: Option<usize>,
) {
    let outage = Some(Outage { from: seconds(STOPS), until: until.map(seconds) });
    let scenario = Scenario { outage, traffic: seconds(60), ..Scenario::new(senders, table, 0.7) };
    let report = Fleet::run(scenario.clone());
    print_outage(if until.is_some() { "back" } else { "gone" }, &scenario, &report);
    assert_eq!(report.delivered + report.undelivered, report.offered, "each message ends once");
}
