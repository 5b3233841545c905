//! A message that came in over SMPP and that its endpoint calls over, without a run, is told to its client as delivered.
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::sync::Arc;

fn main() {
    let trouble = begin();
    let log: SharedLog = Arc::default();
    // The endpoint takes 120 ms for a message, as usual, or 1.8 s while it is slow. A call that leaves less time than
    // that is out of time: it is not run, and answered 410.
    let service_ms = if trouble { 1800 } else { 120 };
    let answer = move |call: &Call| {
        if call.deadline_s * 1000.0 < service_ms as f64 {
            Answer::Refuse(410)
        } else {
            Answer::Run(service_ms, 200)
        }
    };
    let e1 = endpoint("e1", &log, &Arc::default(), 0, answer);
    // Another partner, at its usual pace, which gets three quarters of the traffic.
    let e2 = endpoint("e2", &log, &Arc::default(), 0, |_| Answer::Run(120, 200));
    let (discovery, _) = platform(vec![
        entry("e1", e1, "floor-2", "club", 57, 20.0),
        entry("e2", e2, "floor-4", "club", 58, 20.0),
    ]);
    let mut forwarder = Forwarder::new("n1", discovery);
    let smpp = free_address();
    forwarder.write_product(&format!(
        "[smpp]\nlisten = \"{smpp}\"\nsystem_id = \"onyxrock\"\nwindow = 32\nenquire_link_s = 30\n\
         [[smpp.client]]\nsystem_id = \"head-office\"\ntenant = \"khangai-clubs\"\n\
         [[smpp.class]]\nclass = \"status\"\n[[smpp.class]]\nservice_type = \"PAY\"\nclass = \"payment\"\n\
         [[smpp.route]]\nprefix = \"976\"\ndestination = 57\n\
         [[smpp.route]]\nprefix = \"977\"\ndestination = 58\n"
    ));
    forwarder.start("first.log");
    forwarder.wait_ready();
    let mut esme = Esme::bind("esme", smpp, "head-office");
    let mut messages = Vec::new();
    // Charges that are of use for 1 s only: their validity period says so.
    for text in ["charge-1", "charge-2", "charge-3", "charge-4"] {
        let id = esme.submit("PAY", "97699110011", text, "000000000001000R");
        messages.push((id.unwrap_or_else(|| cannot_run("not taken on")), text));
        for n in 1..=3 {
            esme.submit("", "97799110022", &format!("{text}-status-{n}"), "");
            pause(200);
        }
    }
    pause(4000);
    let log = log.lock().unwrap();
    let mut broken = Vec::new();
    for (id, text) in &messages {
        let runs = log.runs.iter().filter(|r| r.1.body == *text).count();
        let receipts = esme.receipts(id);
        note(format!("{text}: {runs} runs, receipts {receipts:?}"));
        if runs == 0 && receipts.iter().any(|r| r.1 == "DELIVRD") {
            broken.push(format!("{text} never ran, and its client was told DELIVRD"));
        }
    }
    finish(&broken);
}
