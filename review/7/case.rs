//! During an upgrade the two processes of a forwarder do not know each other's request ids: the copy of an open
//! request, handed in by a bad client, is taken on by the other process, and a payment takes effect twice.
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Payments that are handed in when the new process has said yes.
const PAYMENTS: usize = 10;
/// Connections on which the bad client sends its copy of each.
const COPIES: usize = 8;

fn status(mgmt: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(mgmt).ok()?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(1))).ok()?;
    stream.write_all(b"status\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    Some(line.trim().to_owned())
}

fn main() {
    let trouble = begin();
    let log: SharedLog = Arc::default();
    // A payment carries no key: the endpoint runs each call that it gets. It takes 150 ms, as usual.
    let e1 = endpoint("e1", &log, &Arc::default(), 0, |_| Answer::Run(150, 200));
    let (discovery, _) = platform(vec![entry("e1", e1, "floor-2", "club", 57, 20.0)]);
    let mut old = Forwarder::new("n1", discovery);
    old.mgmt = Some(free_address());
    let old_id = old.start("old.log");
    old.wait_ready();
    // Some deliveries, so that the endpoint is known.
    let message = |id: String, body: String| Message {
        id,
        class: "payment",
        destination: 57,
        key: String::new(),
        deadline_s: 28.0,
        body,
    };
    for n in 0..4 {
        message(format!("f{n}"), format!("first-{n}")).hand_in(old.listen);
        pause(300);
    }
    if trouble {
        let mut new = old.clone();
        new.mgmt = Some(free_address());
        new.start("new.log");
        let yes = || status(new.mgmt.unwrap()).filter(|s| s.starts_with("200"));
        let Some(answer) = wait_for(6000, yes) else { cannot_run("the new process did not say yes") };
        note(format!("new process: status answered '{answer}'"));
    }
    // Each on a connection of its own, which the system leads to one of the two processes.
    let charges: Vec<_> =
        (1..=PAYMENTS).map(|n| message(format!("9b1f03aa5c7e2d{n:02}"), format!("charge-{n}"))).collect();
    let taken: Vec<_> = charges.iter().filter(|charge| charge.hand_in(old.listen) == Some(202)).collect();
    if taken.len() < PAYMENTS / 2 {
        cannot_run("most payments were not taken on");
    }
    if trouble {
        signal(old_id, "TERM");
    }
    let copies: Vec<_> = taken
        .iter()
        .flat_map(|charge| (0..COPIES).map(|_| (*charge).clone()))
        .map(|copy| {
            let to = old.listen;
            std::thread::spawn(move || {
                let answer = exchange(to, &copy.head(), copy.body.as_bytes(), 400);
                (copy.id, answer.map(|a| a.status))
            })
        })
        .collect();
    let answers: Vec<_> = copies.into_iter().map(|c| c.join().unwrap()).collect();
    for charge in &taken {
        let of_this: Vec<_> = answers.iter().filter(|a| a.0 == charge.id).map(|a| a.1).collect();
        note(format!("bad client: the id {} on {COPIES} connections: answered {of_this:?}", charge.id));
    }
    if trouble {
        wait_for(4500, || ended(old_id));
    }
    pause(1500);
    let log = log.lock().unwrap();
    let mut broken = Vec::new();
    for n in 1..=PAYMENTS {
        let runs: Vec<_> = log.runs.iter().filter(|r| r.1.body == format!("charge-{n}")).collect();
        if runs.len() > 1 {
            let times: Vec<_> = runs.iter().map(|r| format!("{:.3}", r.1.at)).collect();
            broken.push(format!(
                "payment charge-{n}, id {}, took effect {} times, at {} s",
                runs[0].1.id,
                runs.len(),
                times.join(" s and ")
            ));
        }
    }
    finish(&broken);
}
