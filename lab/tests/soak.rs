//! Checks that the judges of the soak test report each broken rule and nothing that the rules allow, and that
//! the seed alone determines the faults of a run.

use onyxrock_lab::soak::faults::{RunSize, generate_faults};
use onyxrock_lab::soak::judge::{JudgeParameters, RULES, judge};
use onyxrock_lab::soak::observations::{
    Call, Class, ClientResult, Drain, Maintenance, Message, Observations, Restart, RetryAfter, Upgrade,
};

const PARAMETERS: JudgeParameters = JudgeParameters { dedup_window_s: 1.0, lateness_s: 0.0 };
const START: f64 = 100.0;

fn call(server: &str, started_at: f64) -> Call {
    let (id, server) = ("d0-1".to_owned(), server.to_owned());
    Call {
        id,
        server,
        daemon: 0,
        started_at,
        ended_at: Some(started_at + 0.02),
        took_effect: true,
        status: Some(200),
    }
}

fn message(class: Class) -> Message {
    Message {
        class,
        daemon: 0,
        submitted_at: START,
        deadline: START + 3.0,
        client_result: Some(ClientResult::Status(202)),
        on_reused_connection: false,
        client_left_early: false,
        notice_received_at: None,
    }
}

/// Observations of one message and its calls.
fn observations_of(class: Class, calls: Vec<Call>) -> Observations {
    let mut observations = Observations { calls, ..Observations::default() };
    observations.messages.insert("d0-1".into(), message(class));
    observations
}

/// The rules that are broken, in the order of `RULES`.
fn broken_rules(observations: &Observations) -> Vec<&'static str> {
    let verdict = judge(observations, PARAMETERS);
    RULES.into_iter().filter(|rule| verdict.count(rule) > 0).collect()
}

#[test]
fn a_delivered_message_breaks_no_rule() {
    assert!(broken_rules(&observations_of(Class::Unsafe, vec![call("a", START)])).is_empty());
}

#[test]
fn calls_after_a_drain_break_a_rule_from_its_delivery_or_six_seconds_on() {
    let rules_for_call = |sent_at: Option<f64>, started_at: f64| {
        let mut observations = observations_of(Class::Safe, vec![call("a", START + started_at)]);
        observations.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
        observations.drains.push(Drain { server: "a".into(), at: START, generation: 2 });
        observations.list_deliveries.extend(sent_at.map(|at| (START + at, 0, 2)));
        broken_rules(&observations)
    };
    assert!(rules_for_call(Some(0.5), 1.54).is_empty());
    assert_eq!(rules_for_call(Some(0.5), 1.56), ["drain"]);
    assert!(rules_for_call(None, 7.04).is_empty());
    assert_eq!(rules_for_call(None, 7.06), ["drain"]);
}

#[test]
fn a_drain_does_not_count_as_known_while_discovery_is_unreachable() {
    let mut observations = observations_of(Class::Safe, vec![call("a", START + 7.5)]);
    observations.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
    observations.drains.push(Drain { server: "a".into(), at: START, generation: 2 });
    assert_eq!(broken_rules(&observations), ["drain"]);
    observations.discovery_outages.push((START + 0.5, START + 1.0));
    assert!(broken_rules(&observations).is_empty());
}

#[test]
fn repeated_effects_are_judged_by_the_class_of_the_message() {
    let rules_for_repeat = |class, after: f64| {
        broken_rules(&observations_of(class, vec![call("a", START), call("b", START + after)]))
    };
    assert!(rules_for_repeat(Class::Safe, 2.0).is_empty());
    assert!(rules_for_repeat(Class::Keyed, 1.04).is_empty());
    assert_eq!(rules_for_repeat(Class::Keyed, 1.06), ["duplicate"]);
    assert_eq!(rules_for_repeat(Class::Unsafe, 0.5), ["duplicate"]);
    let mut rejected = call("a", START);
    (rejected.took_effect, rejected.status) = (false, Some(503));
    assert!(broken_rules(&observations_of(Class::Unsafe, vec![rejected, call("b", START + 0.5)])).is_empty());
}

#[test]
fn two_open_calls_of_a_message_break_a_rule_except_across_a_restart() {
    let mut first = call("a", START);
    (first.ended_at, first.status) = (Some(START + 1.0), None);
    let mut overlapping = observations_of(Class::Safe, vec![first, call("b", START + 0.5)]);
    assert_eq!(broken_rules(&overlapping), ["overlap"]);
    overlapping.restarts.push(Restart {
        daemon: 0,
        signalled_at: START + 0.2,
        exited_at: None,
        ready_at: Some(START + 0.4),
    });
    assert!(broken_rules(&overlapping).is_empty());
}

#[test]
fn an_accepted_message_without_outcome_is_lost_except_during_a_restart() {
    let mut lost = observations_of(Class::Safe, Vec::new());
    assert_eq!(broken_rules(&lost), ["lost"]);
    lost.messages.get_mut("d0-1").unwrap().notice_received_at = Some(START + 3.34);
    assert!(broken_rules(&lost).is_empty());
    lost.messages.get_mut("d0-1").unwrap().notice_received_at = Some(START + 3.36);
    assert_eq!(broken_rules(&lost), ["lost"]);
    let (signalled_at, exited_at, ready_at) = (START + 1.0, Some(START + 1.1), Some(START + 2.0));
    lost.restarts.push(Restart { daemon: 0, signalled_at, exited_at, ready_at });
    assert!(broken_rules(&lost).is_empty());
}

#[test]
fn a_closed_request_breaks_a_rule_unless_the_daemon_was_down() {
    let mut closed = observations_of(Class::Safe, Vec::new());
    closed.messages.get_mut("d0-1").unwrap().client_result = Some(ClientResult::Closed);
    assert_eq!(broken_rules(&closed), ["unanswered"]);
    let restart = Restart { daemon: 0, signalled_at: START - 1.0, exited_at: None, ready_at: None };
    closed.restarts.push(restart);
    assert_eq!(
        broken_rules(&closed),
        ["unanswered"],
        "the daemon got its signal, but its process has not exited yet"
    );
    closed.restarts[0].exited_at = Some(START + 0.1);
    assert!(broken_rules(&closed).is_empty());
    closed.restarts.clear();
    closed.messages.get_mut("d0-1").unwrap().on_reused_connection = true;
    assert!(broken_rules(&closed).is_empty(), "the close may have crossed the request");
}

#[test]
fn a_call_within_a_retry_after_breaks_a_rule_at_every_server_of_the_destination() {
    let rules_for_call = |server: &str, started_at: f64| {
        let mut observations = observations_of(Class::Safe, vec![call(server, START + started_at)]);
        for server in ["a", "b"] {
            let (server, sent_at, until) = (server.to_owned(), START, START + 1.0);
            observations.retry_afters.push(RetryAfter { server, destination: 1, daemon: 0, sent_at, until });
        }
        broken_rules(&observations)
    };
    assert!(rules_for_call("a", 0.14).is_empty());
    assert_eq!(rules_for_call("a", 0.2), ["wait"]);
    assert_eq!(rules_for_call("b", 0.2), ["wait"]);
    assert!(rules_for_call("a", 1.0).is_empty());
}

#[test]
fn a_call_to_a_server_in_maintenance_breaks_a_rule_after_one_second() {
    let rules_for_call = |daemon: usize, started_at: f64| {
        let mut observations = observations_of(Class::Safe, vec![call("a", START + started_at)]);
        observations.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
        let (server, from, until) = ("a".to_owned(), START, START + 5.0);
        observations.maintenance.push(Maintenance { daemon, server, from, until });
        broken_rules(&observations)
    };
    assert!(rules_for_call(0, 1.04).is_empty());
    assert_eq!(rules_for_call(0, 1.06), ["maintenance"]);
    assert!(rules_for_call(0, 4.96).is_empty());
    assert!(rules_for_call(1, 2.0).is_empty(), "the server is in maintenance at another daemon only");
}

#[test]
fn operator_and_settings_errors_break_rules() {
    let mut errors = observations_of(Class::Safe, vec![call("a", START)]);
    errors.operator_errors.push("n0: maint-on a: 400".into());
    assert_eq!(broken_rules(&errors), ["operators"]);
    errors.settings_errors.push("d0-1: its class holds, and is unknown".into());
    assert_eq!(broken_rules(&errors), ["operators", "settings"]);
}

fn upgrade(ready_at: Option<f64>, killed_at: Option<f64>) -> Upgrade {
    Upgrade {
        daemon: 0,
        started_at: START,
        ready_at: ready_at.map(|t| START + t),
        killed_at: killed_at.map(|t| START + t),
    }
}

/// The two processes of an upgrade count as one daemon: a list that discovery sent to the first one binds the
/// second one from two seconds after it reported that it is ready.
#[test]
fn a_drain_binds_the_second_process_of_an_upgrade_after_two_seconds() {
    let rules_for_call = |upgrade: Upgrade, started_at: f64| {
        let mut observations = observations_of(Class::Safe, vec![call("a", START + started_at)]);
        observations.messages.get_mut("d0-1").unwrap().deadline = START + 9.0;
        observations.drains.push(Drain { server: "a".into(), at: START, generation: 2 });
        observations.list_deliveries.push((START + 0.3, 0, 2));
        observations.upgrades.push(upgrade);
        broken_rules(&observations)
    };
    assert!(rules_for_call(upgrade(Some(0.2), None), 3.24).is_empty());
    assert_eq!(rules_for_call(upgrade(Some(0.2), None), 3.26), ["drain"]);
    assert_eq!(
        rules_for_call(upgrade(None, Some(0.1)), 1.4),
        ["drain"],
        "the second process was killed before it was ready"
    );
}

#[test]
fn an_outcome_may_be_late_only_if_a_process_of_an_upgrade_was_killed() {
    let mut delayed = observations_of(Class::Safe, Vec::new());
    delayed.messages.get_mut("d0-1").unwrap().notice_received_at = Some(START + 4.4);
    delayed.upgrades.push(upgrade(Some(0.2), None));
    assert_eq!(broken_rules(&delayed), ["lost"], "a planned upgrade does not excuse a late outcome");
    delayed.upgrades[0].killed_at = Some(START + 2.95);
    assert!(broken_rules(&delayed).is_empty());
    delayed.messages.get_mut("d0-1").unwrap().notice_received_at = Some(START + 4.52);
    assert_eq!(broken_rules(&delayed), ["lost"]);
}

#[test]
fn a_retry_after_binds_across_an_upgrade_unless_the_process_was_killed_at_once() {
    let rules_for_call = |killed_at: Option<f64>| {
        let mut observations = observations_of(Class::Safe, vec![call("a", START + 0.5)]);
        let (server, sent_at, until) = ("a".to_owned(), START, START + 1.0);
        observations.retry_afters.push(RetryAfter { server, destination: 1, daemon: 0, sent_at, until });
        observations.upgrades.push(upgrade(Some(0.0), killed_at));
        broken_rules(&observations)
    };
    assert_eq!(rules_for_call(None), ["wait"]);
    assert_eq!(rules_for_call(Some(0.2)), ["wait"]);
    assert!(rules_for_call(Some(0.03)).is_empty());
}

#[test]
fn a_connection_flood_excuses_an_unread_new_connection() {
    let mut closed = observations_of(Class::Safe, Vec::new());
    closed.messages.get_mut("d0-1").unwrap().client_result = Some(ClientResult::Closed);
    closed.connection_floods.push((1, START - 1.0, START + 1.0));
    assert_eq!(broken_rules(&closed), ["unanswered"], "the flood is at another daemon");
    closed.connection_floods.push((0, START - 1.0, START + 1.0));
    assert!(broken_rules(&closed).is_empty());
}

#[test]
fn a_seed_reproduces_its_faults_and_a_long_run_has_every_kind() {
    let run_size = RunSize { daemons: 24, servers: 12, duration_s: 30.0 };
    for seed in 1..20u64 {
        let plan = generate_faults(run_size, seed);
        assert_eq!(plan, generate_faults(run_size, seed));
        let mut kinds: Vec<_> = plan.iter().map(|p| p.fault.name()).collect();
        kinds.sort_unstable();
        kinds.dedup();
        assert_eq!(kinds.len(), 30, "seed {seed}: {kinds:?}");
        assert!(plan.iter().all(|p| p.start_s <= run_size.duration_s && p.duration_s > 0.0));
    }
}
