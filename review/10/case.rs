//! The copy of the zone in the folder that lasts cannot be read again once an accepted update has added a host with an
//! underscore in its name: after a restart all accepted updates are gone, and an endpoint that one of them withdrew
//! gets new work.
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::sync::Arc;

fn main() {
    let trouble = begin();
    let log: SharedLog = Arc::default();
    let e1 = endpoint("khan-bank-1", &log, &Arc::default(), 0, |_| Answer::Run(50, 200));
    let e2 = endpoint("khan-bank-2", &log, &Arc::default(), 0, |_| Answer::Run(50, 200));
    let e3 = endpoint("khan_bank_3", &log, &Arc::default(), 0, |_| Answer::Run(50, 200));
    let (discovery, _) = platform(Vec::new());
    let mut forwarder = Forwarder::new("n1", discovery);
    let dns = free_address();
    let origin = "partners.example.org";
    let endpoint_of = |host: &str, port: u16| {
        format!(
            "_onyxrock._tcp.57 IN SRV 0 12 {port} {host}\n{host} IN A 127.0.0.1\n{host} IN TXT \"zone=floor-2\" \"kind=club\"\n"
        )
    };
    let zone = format!(
        "$TTL 60\n@ IN SOA ns admin 2026120101 3600 600 86400 60\n@ IN NS ns\nns IN A 127.0.0.1\n{}{}",
        endpoint_of("khan-bank-1", e1.port()),
        endpoint_of("khan-bank-2", e2.port())
    );
    std::fs::write(forwarder.config.with_file_name("partners.zone"), zone).unwrap();
    forwarder.write_product(&format!(
        "[dns]\nlisten = \"{dns}\"\norigin = \"{origin}.\"\nzone = \"partners.zone\"\n"
    ));
    let first = forwarder.start("first.log");
    forwarder.wait_ready();
    let hand_in = |n: usize| {
        let message = Message {
            id: format!("9b1f03aa5c7e2d{n:02}"),
            class: "status",
            destination: 57,
            key: String::new(),
            deadline_s: 5.0,
            body: format!("status-{n}"),
        };
        message.hand_in(forwarder.listen);
        pause(150);
    };
    let note_listed = || {
        let counters = get(forwarder.listen, "/counters").map(|answer| answer.text()).unwrap_or_default();
        let listed = counters.split_once("\"listed\":").map_or("", |rest| rest.1);
        let listed: String = listed.chars().take_while(char::is_ascii_digit).collect();
        note(format!("forwarder: endpoints in its list: {listed}"));
    };
    (1..=4).for_each(hand_in);
    note_listed();
    // A third endpoint, whose host has an underscore in its name.
    let port = e3.port().to_be_bytes();
    let target = dns_name(&format!("khan_bank_3.{origin}"));
    let srv = [&[0, 0, 0, 12, port[0], port[1]][..], &target].concat();
    let code = dns_update(
        dns,
        origin,
        7,
        &[
            ("_onyxrock._tcp.57", 33, 1, 60, srv),
            ("khan_bank_3", 1, 1, 60, vec![127, 0, 0, 1]),
            ("khan_bank_3", 16, 1, 60, txt(&["zone=floor-2", "kind=club"])),
        ],
    );
    note(format!("operator: update that adds khan_bank_3: response code {code:?}"));
    pause(200);
    note_listed();
    // khan-bank-1 is withdrawn: all its record sets (type and class ANY).
    let withdraw = dns_update(dns, origin, 8, &[("khan-bank-1", 255, 255, 0, Vec::new())]);
    let withdrawn_at = at();
    note(format!("operator: update that withdraws khan-bank-1: response code {withdraw:?}"));
    if (code, withdraw) != (Some(0), Some(0)) {
        cannot_run("the updates were not accepted");
    }
    pause(1200);
    note_listed();
    (5..=10).for_each(hand_in);
    if trouble {
        signal(first, "KILL");
        pause(600);
        forwarder.start("second.log");
        forwarder.wait_ready();
        forwarder.copy_log("second.log");
        note_listed();
    }
    (11..=20).for_each(hand_in);
    pause(1000);
    let log = log.lock().unwrap();
    let after = log.calls.iter().filter(|c| c.at > withdrawn_at + 1.0).count();
    if after < 10 {
        cannot_run("too few messages were sent after the withdrawal");
    }
    let late = |c: &&Call| c.endpoint == "khan-bank-1" && c.at > withdrawn_at + 1.0;
    let late: Vec<_> = log.calls.iter().filter(late).collect();
    let mut broken = Vec::new();
    if let Some(earliest) = late.first() {
        broken.push(format!(
            "khan-bank-1 got {} calls later than 1 s after its withdrawal was accepted, the first {:.1} s after it",
            late.len(),
            earliest.at - withdrawn_at
        ));
    }
    finish(&broken);
}
