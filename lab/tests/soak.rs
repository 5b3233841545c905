//! The judges of the soak test: each rule broken once is seen, and what the rules allow is not; and the faults are drawn by
//! their seed alone.

use onyxrock_lab::soak::faults::{Extent, draw};
use onyxrock_lab::soak::judge::{RULES, Terms, judge};
use onyxrock_lab::soak::ledger::{
    Call, Class, Drained, Heard, Maintenance, Message, Restart, Seen, Upgrade, Wait,
};

const TERMS: Terms = Terms { window_s: 1.0, lateness_s: 0.0 };
const START: f64 = 100.0;

fn call(server: &str, began: f64) -> Call {
    let (id, server) = ("d0-1".to_owned(), server.to_owned());
    Call { id, server, daemon: 0, began, over: Some(began + 0.02), ran: true, status: Some(200) }
}

fn message(class: Class) -> Message {
    Message {
        class,
        daemon: 0,
        handed_in: START,
        deadline: START + 3.0,
        heard: Some(Heard::Status(202)),
        on_kept_connection: false,
        left_early: false,
        noticed: None,
    }
}

/// One message and its calls.
fn seen(class: Class, calls: Vec<Call>) -> Seen {
    let mut seen = Seen { calls, ..Seen::default() };
    seen.messages.insert("d0-1".into(), message(class));
    seen
}

/// Just these rules are broken, once each.
fn broken(seen: &Seen) -> Vec<&'static str> {
    let verdict = judge(seen, TERMS);
    RULES.into_iter().filter(|rule| verdict.count(rule) > 0).collect()
}

#[test]
fn a_message_that_is_delivered_breaks_nothing() {
    assert!(broken(&seen(Class::Unsafe, vec![call("a", START)])).is_empty());
}

#[test]
fn a_drain_counts_from_when_it_was_told_and_at_the_latest_six_seconds_later() {
    let drained = |told: Option<f64>, began: f64| {
        let mut seen = seen(Class::Safe, vec![call("a", START + began)]);
        seen.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
        seen.drained.push(Drained { server: "a".into(), at: START, generation: 2 });
        seen.told.extend(told.map(|at| (START + at, 0, 2)));
        broken(&seen)
    };
    assert!(drained(Some(0.5), 1.54).is_empty());
    assert_eq!(drained(Some(0.5), 1.56), ["drain"]);
    assert!(drained(None, 7.04).is_empty());
    assert_eq!(drained(None, 7.06), ["drain"]);
}

#[test]
fn while_discovery_cannot_be_reached_nothing_counts_as_known() {
    let mut seen = seen(Class::Safe, vec![call("a", START + 7.5)]);
    seen.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
    seen.drained.push(Drained { server: "a".into(), at: START, generation: 2 });
    assert_eq!(broken(&seen), ["drain"]);
    seen.unreachable.push((START + 0.5, START + 1.0));
    assert!(broken(&seen).is_empty());
}

#[test]
fn a_repeat_is_judged_by_its_class() {
    let twice = |class, after: f64| broken(&seen(class, vec![call("a", START), call("b", START + after)]));
    assert!(twice(Class::Safe, 2.0).is_empty());
    assert!(twice(Class::Keyed, 1.04).is_empty());
    assert_eq!(twice(Class::Keyed, 1.06), ["duplicate"]);
    assert_eq!(twice(Class::Unsafe, 0.5), ["duplicate"]);
    let mut turned_away = call("a", START);
    (turned_away.ran, turned_away.status) = (false, Some(503));
    assert!(broken(&seen(Class::Unsafe, vec![turned_away, call("b", START + 0.5)])).is_empty());
}

#[test]
fn two_attempts_out_at_once_overlap_but_over_a_restart() {
    let mut first = call("a", START);
    (first.over, first.status) = (Some(START + 1.0), None);
    let mut both = seen(Class::Safe, vec![first, call("b", START + 0.5)]);
    assert_eq!(broken(&both), ["overlap"]);
    both.restarts.push(Restart { daemon: 0, from: START + 0.2, down: None, ready: Some(START + 0.4) });
    assert!(broken(&both).is_empty());
}

#[test]
fn what_was_taken_on_and_has_no_end_is_lost_but_for_the_time_of_a_restart() {
    let mut lost = seen(Class::Safe, Vec::new());
    assert_eq!(broken(&lost), ["lost"]);
    lost.messages.get_mut("d0-1").unwrap().noticed = Some(START + 3.34);
    assert!(broken(&lost).is_empty());
    lost.messages.get_mut("d0-1").unwrap().noticed = Some(START + 3.36);
    assert_eq!(broken(&lost), ["lost"]);
    let (from, down, ready) = (START + 1.0, Some(START + 1.1), Some(START + 2.0));
    lost.restarts.push(Restart { daemon: 0, from, down, ready });
    assert!(broken(&lost).is_empty());
}

#[test]
fn a_request_without_an_answer_is_seen_unless_its_daemon_was_down() {
    let mut closed = seen(Class::Safe, Vec::new());
    closed.messages.get_mut("d0-1").unwrap().heard = Some(Heard::Closed);
    assert_eq!(broken(&closed), ["unanswered"]);
    let restart = Restart { daemon: 0, from: START - 1.0, down: None, ready: None };
    closed.restarts.push(restart);
    assert_eq!(broken(&closed), ["unanswered"], "it was told to end, and has not ended yet");
    closed.restarts[0].down = Some(START + 0.1);
    assert!(broken(&closed).is_empty());
    closed.restarts.clear();
    closed.messages.get_mut("d0-1").unwrap().on_kept_connection = true;
    assert!(broken(&closed).is_empty(), "the close may have crossed it");
}

#[test]
fn a_call_during_a_wait_is_seen_wherever_in_its_destination_it_goes() {
    let waited = |server: &str, began: f64| {
        let mut seen = seen(Class::Safe, vec![call(server, START + began)]);
        for server in ["a", "b"] {
            let (server, told, until) = (server.to_owned(), START, START + 1.0);
            seen.waits.push(Wait { server, destination: 1, daemon: 0, told, until });
        }
        broken(&seen)
    };
    assert!(waited("a", 0.14).is_empty());
    assert_eq!(waited("a", 0.2), ["wait"]);
    assert_eq!(waited("b", 0.2), ["wait"]);
    assert!(waited("a", 1.0).is_empty());
}

#[test]
fn a_call_to_a_server_that_is_out_is_seen_from_a_second_on_until_it_is_put_back() {
    let out = |daemon: usize, began: f64| {
        let mut seen = seen(Class::Safe, vec![call("a", START + began)]);
        seen.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
        let (server, from, until) = ("a".to_owned(), START, START + 5.0);
        seen.maintenance.push(Maintenance { daemon, server, from, until });
        broken(&seen)
    };
    assert!(out(0, 1.04).is_empty());
    assert_eq!(out(0, 1.06), ["maintenance"]);
    assert!(out(0, 4.96).is_empty());
    assert!(out(1, 2.0).is_empty(), "it is out for another daemon alone");
}

#[test]
fn wrong_answers_to_operators_and_by_old_settings_are_seen() {
    let mut wrong = seen(Class::Safe, vec![call("a", START)]);
    wrong.operators_wrong.push("n0: maint-on a: 400".into());
    assert_eq!(broken(&wrong), ["operators"]);
    wrong.settings_wrong.push("d0-1: its class holds, and is unknown".into());
    assert_eq!(broken(&wrong), ["operators", "settings"]);
}

fn upgrade(ready: Option<f64>, killed: Option<f64>) -> Upgrade {
    Upgrade { daemon: 0, from: START, ready: ready.map(|t| START + t), killed: killed.map(|t| START + t) }
}

/// To the rules two processes are one: what discovery told the first binds the second from two seconds behind its yes.
#[test]
fn a_drain_binds_a_second_process_from_two_seconds_on() {
    let drained = |upgrade: Upgrade, began: f64| {
        let mut seen = seen(Class::Safe, vec![call("a", START + began)]);
        seen.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
        seen.drained.push(Drained { server: "a".into(), at: START, generation: 2 });
        seen.told.push((START + 0.3, 0, 2));
        seen.upgrades.push(upgrade);
        broken(&seen)
    };
    assert!(drained(upgrade(Some(0.2), None), 3.24).is_empty());
    assert_eq!(drained(upgrade(Some(0.2), None), 3.26), ["drain"]);
    assert_eq!(drained(upgrade(None, Some(0.1)), 1.4), ["drain"], "the second one is gone again");
}

#[test]
fn an_end_waits_for_a_process_that_was_killed_beside_another_and_no_longer() {
    let mut late = seen(Class::Safe, Vec::new());
    late.messages.get_mut("d0-1").unwrap().noticed = Some(START + 4.4);
    late.upgrades.push(upgrade(Some(0.2), None));
    assert_eq!(broken(&late), ["lost"], "a planned upgrade delays no end");
    late.upgrades[0].killed = Some(START + 2.95);
    assert!(broken(&late).is_empty());
    late.messages.get_mut("d0-1").unwrap().noticed = Some(START + 4.52);
    assert_eq!(broken(&late), ["lost"]);
}

#[test]
fn a_wait_binds_over_an_upgrade_but_for_one_that_a_dying_process_was_told() {
    let waited = |killed: Option<f64>| {
        let mut seen = seen(Class::Safe, vec![call("a", START + 0.5)]);
        let (server, told, until) = ("a".to_owned(), START, START + 1.0);
        seen.waits.push(Wait { server, destination: 1, daemon: 0, told, until });
        seen.upgrades.push(upgrade(Some(0.0), killed));
        broken(&seen)
    };
    assert_eq!(waited(None), ["wait"]);
    assert_eq!(waited(Some(0.2)), ["wait"]);
    assert!(waited(Some(0.03)).is_empty());
}

#[test]
fn a_crowd_may_have_a_new_connection_shut_unread() {
    let mut closed = seen(Class::Safe, Vec::new());
    closed.messages.get_mut("d0-1").unwrap().heard = Some(Heard::Closed);
    closed.crowds.push((1, START - 1.0, START + 1.0));
    assert_eq!(broken(&closed), ["unanswered"], "it is at another daemon");
    closed.crowds.push((0, START - 1.0, START + 1.0));
    assert!(broken(&closed).is_empty());
}

#[test]
fn a_seed_draws_the_same_faults_again_and_a_long_run_has_every_kind() {
    let extent = Extent { daemons: 24, servers: 12, seconds: 30.0 };
    for seed in 1..20u64 {
        let plan = draw(extent, seed);
        assert_eq!(plan, draw(extent, seed));
        let mut kinds: Vec<_> = plan.iter().map(|p| p.fault.name()).collect();
        kinds.sort_unstable();
        kinds.dedup();
        assert_eq!(kinds.len(), 30, "seed {seed}: {kinds:?}");
        assert!(plan.iter().all(|p| p.at <= extent.seconds && p.lasts > 0.0));
    }
}
