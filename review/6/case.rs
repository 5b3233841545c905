//! A `booking` that came in over SMPP goes to an HTTP endpoint without an idempotency key, and is repeated after a
//! lost answer as if it had one.
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::sync::Arc;

fn main() {
    let trouble = begin();
    let log: SharedLog = Arc::default();
    // Endpoints of one floor drop the repeat of a key for 6 s.
    let dropped = Arc::default();
    let answer = move |call: &Call| {
        if trouble && call.earlier == 0 { Answer::RunAndClose(30) } else { Answer::Run(60, 200) }
    };
    let e1 = endpoint("e1", &log, &dropped, 6000, answer);
    let e2 = endpoint("e2", &log, &dropped, 6000, answer);
    let (discovery, _) = platform(vec![
        entry("e1", e1, "floor-2", "club", 57, 10.0),
        entry("e2", e2, "floor-2", "club", 57, 10.0),
    ]);
    let mut forwarder = Forwarder::new("n1", discovery);
    let smpp = free_address();
    forwarder.write_product(&format!(
        "[smpp]\nlisten = \"{smpp}\"\nsystem_id = \"onyxrock\"\n\
         [[smpp.client]]\nsystem_id = \"head-office\"\ntenant = \"khangai-clubs\"\n\
         [[smpp.class]]\nclass = \"status\"\n[[smpp.class]]\nservice_type = \"BOOK\"\nclass = \"booking\"\n\
         [[smpp.route]]\nprefix = \"976\"\ndestination = 57\n"
    ));
    forwarder.start("first.log");
    forwarder.wait_ready();
    let mut esme = Esme::bind("esme", smpp, "head-office");
    let mut messages = Vec::new();
    for n in 1..=3 {
        let text = format!("smpp-booking-{n}");
        let Some(id) = esme.submit("BOOK", "97699110011", &text, "") else {
            cannot_run("the submission was not taken on");
        };
        messages.push((id, text));
        pause(1500);
    }
    // The same over HTTP, with the key that the class carries: the endpoints drop its repeat.
    let over_http = Message {
        id: "9b1f03aa5c7e2d41".into(),
        class: "booking",
        destination: 57,
        key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211".into(),
        deadline_s: 16.0,
        body: "http-booking".into(),
    };
    if over_http.hand_in(forwarder.listen) != Some(202) {
        cannot_run("the HTTP message was not taken on");
    }
    // Each message has an end within the time of its class.
    let ended = wait_for(20_000, || {
        let delivered = log.lock().unwrap().calls.iter().any(|c| c.body == "http-booking");
        (delivered && messages.iter().all(|(id, _)| !esme.receipts(id).is_empty())).then_some(())
    });
    pause(3000);
    note(format!("all messages have an end: {}", ended.is_some()));
    let log = log.lock().unwrap();
    let mut broken = Vec::new();
    let texts = messages.iter().map(|m| m.1.clone()).chain(["http-booking".to_owned()]);
    for text in texts {
        let runs: Vec<_> = log.runs.iter().filter(|r| r.1.body == text).collect();
        let calls = log.calls.iter().filter(|c| c.body == text).count();
        note(format!("{text}: {calls} calls, {} runs", runs.len()));
        if runs.len() > 1 {
            let places: Vec<_> = runs.iter().map(|r| format!("{} at {:.3} s", r.0, r.1.at)).collect();
            broken.push(format!("{text} took effect {} times: {}", runs.len(), places.join(", ")));
        }
    }
    finish(&broken);
}
