//! A process that starts while discovery is down holds its calls back until 6 s after its start, also when discovery is
//! back long before, and ends no message meanwhile.
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::sync::Arc;

/// The time of a message: the whole time of its class here.
const TIME_LEFT_S: f64 = 2.0;
/// Half a second past its time it is lost; each limit is 50 ms longer on sockets.
const LOST_AFTER_S: f64 = TIME_LEFT_S + 0.5 + 0.05;

fn main() {
    let trouble = begin();
    let log: SharedLog = Arc::default();
    let e1 = endpoint("e1", &log, &Arc::default(), 0, |_| Answer::Run(150, 200));
    let e2 = endpoint("e2", &log, &Arc::default(), 0, |_| Answer::Run(150, 200));
    let entries =
        vec![entry("e1", e1, "floor-2", "club", 57, 20.0), entry("e2", e2, "floor-4", "club", 57, 20.0)];
    let (discovery, platform) = platform(entries.clone());
    let mut forwarder = Forwarder::new("n1", discovery);
    // The list as this forwarder last had it, which is still true.
    forwarder.known =
        Some(format!("{{\"generation\":41,\"reset\":true,\"instances\":[{}]}}", entries.join(",")));
    // Lists are pushed, as at the sites meadow and ward, and the class has a shorter time.
    let settings = SETTINGS
        .replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
        .replace("\"giveUpUs\":5000000", "\"giveUpUs\":2000000");
    forwarder.write_config(&settings);
    let first = forwarder.start("first.log");
    forwarder.wait_ready();
    pause(1000);
    let mut went_down = at();
    if trouble {
        platform.lock().unwrap().down = true;
        went_down = at();
        note("platform: discovery is down");
        pause(300);
    }
    signal(first, "KILL");
    pause(600);
    forwarder.start("second.log");
    forwarder.wait_ready();
    let ready = at();
    let mut messages = Vec::new();
    while at() < ready + 7.0 {
        let n = messages.len();
        let message = Message {
            id: format!("9b1f03aa5c7e2f{n:02}"),
            class: "status",
            destination: 57,
            key: String::new(),
            deadline_s: TIME_LEFT_S,
            body: format!("status-{n}"),
        };
        let sent = at();
        if message.hand_in(forwarder.listen) == Some(202) {
            messages.push((message.id, sent));
        }
        pause(100);
        let mut state = platform.lock().unwrap();
        if state.down && at() > went_down + 3.0 {
            state.down = false;
            note(format!("platform: discovery is back, {:.1} s after the forwarder was ready", at() - ready));
        }
    }
    pause(4000);
    if messages.len() < 10 {
        cannot_run("too few messages were taken on");
    }
    let mut broken = Vec::new();
    for (id, sent) in &messages {
        let log = log.lock().unwrap();
        let delivered = log.answers.iter().find(|a| a.1.id == *id && a.2 == 200).map(|a| a.0);
        let notice = platform.lock().unwrap().notices.iter().find(|n| n.0 == *id).cloned();
        let end = delivered.into_iter().chain(notice.iter().map(|n| n.2)).fold(f64::INFINITY, f64::min);
        // No notice is overdue until 1.5 s after the forwarder is ready again.
        if end > (sent + LOST_AFTER_S).max(ready + 1.5) {
            let state = notice.map_or("no notice".to_owned(), |n| n.1);
            broken.push(format!(
                "{id} was taken on, had 2 s left, and its end came after {:.2} s: {state}",
                end - sent
            ));
        }
    }
    note(format!("{} messages taken on, {} of them lost", messages.len(), broken.len()));
    forwarder.copy_log("second.log");
    finish(&broken);
}
