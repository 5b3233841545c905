//! With `list = true` in `[duties]`, one instance asks discovery and tells the others, with the addresses that discovery
//! named to itself. Where these differ from one forwarder to the next, messages go to endpoints of other partners.
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::sync::Arc;

fn main() {
    let trouble = begin();
    let log: SharedLog = Arc::default();
    let bank_old = endpoint("khan-bank-1", &log, &Arc::default(), 0, |_| Answer::Run(120, 200));
    let bank = endpoint("khan-bank-2", &log, &Arc::default(), 0, |_| Answer::Run(120, 200));
    let club = endpoint("orkhon-club-1", &log, &Arc::default(), 0, |_| Answer::Run(120, 200));
    let club_elsewhere =
        endpoint("orkhon-club-1 by another address", &log, &Arc::default(), 0, |_| Answer::Run(120, 200));
    // How discovery tells a forwarder the list: the first argument is the club's address, as seen by that forwarder.
    let before = |club| {
        vec![
            entry("khan-bank-1", bank_old, "floor-2", "bank", 57, 20.0),
            entry("orkhon-club-1", club, "floor-4", "club", 58, 20.0),
        ]
    };
    let members: Vec<_> = (0..3).map(|_| free_address()).collect();
    let mut forwarders = Vec::new();
    let mut views = Vec::new();
    for n in 1..=3 {
        let (discovery, view) = platform(before(club));
        let mut f = Forwarder::new(&format!("n{n}"), discovery);
        f.name = format!("n{n}");
        f.write_config(SETTINGS);
        let mut text = format!(
            "[duties]\nlisten = \"{}\"\nvoters = 3\nlease_s = 3\nlist = true\nsign = 1\n[duties.probe]\nper_s = 1.0\npatience_s = 1.0\npath = \"/health\"\n",
            members[n - 1]
        );
        for (i, m) in members.iter().enumerate() {
            text += &format!("[[duties.member]]\nname = \"n{}\"\naddress = \"{m}\"\n", i + 1);
        }
        text += "[[duties.key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\"\n";
        f.write_product(&text);
        f.start("first.log");
        forwarders.push(f);
        views.push(view);
    }
    forwarders.iter().for_each(Forwarder::wait_ready);
    let owner = wait_for(20_000, || {
        (0..3).find(|i| {
            get(forwarders[*i].listen, "/duties")
                .is_some_and(|a| a.text().contains("\"duty\":\"list\"") && a.text().contains("ends_in_ms"))
        })
    });
    let Some(owner) = owner else { cannot_run("nobody got the duty of the list") };
    note(format!("n{} asks discovery for all", owner + 1));
    pause(4000);
    // khan-bank-1 drains and khan-bank-2 takes its place. The forwarder that asks for all reaches it, and the club, at other
    // addresses than the others do: where it has khan-bank-2, they have the club.
    for (i, v) in views.iter().enumerate() {
        let mut v = v.lock().unwrap();
        let elsewhere = trouble && i == owner;
        v.entries = before(if elsewhere { club_elsewhere } else { club });
        v.entries[0] = v.entries[0].replace("Ready", "Terminating");
        v.entries.push(entry(
            "khan-bank-2",
            if elsewhere { club } else { bank },
            "floor-2",
            "bank",
            57,
            20.0,
        ));
        v.generation += 1;
        note(format!("discovery of n{}: {}", i + 1, v.entries.join(",")));
    }
    pause(1500);
    let mut taken = 0;
    let others: Vec<_> = (0..3).filter(|i| *i != owner).collect();
    for n in 1..=6 {
        let m = Message {
            id: format!("9b1f03aa5c7e2d6{n}"),
            class: "payment",
            destination: 57,
            key: String::new(),
            deadline_s: 28.0,
            body: format!("charge-{n}"),
        };
        taken += usize::from(m.hand_in(forwarders[others[n % 2]].listen) == Some(202));
        pause(300);
    }
    pause(3000);
    let log = log.lock().unwrap();
    if taken < 6 || log.runs.is_empty() {
        cannot_run("not all payments were taken on, or none was sent");
    }
    let wrong: Vec<_> = log.runs.iter().filter(|r| !r.0.starts_with("khan-bank")).collect();
    finish(
        &wrong
            .iter()
            .map(|r| format!("{} of destination 57 ran at {}, of destination 58", r.1.body, r.0))
            .collect::<Vec<_>>(),
    );
}
