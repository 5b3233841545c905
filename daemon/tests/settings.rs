//! New settings on SIGHUP, with a real process: classes are added, changed and dropped, and what was taken on keeps its own.

#[allow(dead_code)] // the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use serde_json::{Value, json};

fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "giveUpUs": 20_000_000, "targetUs": 800_000,
        "windowUs": 5_000_000, "lateShare": 0.1, "worth": 1.0, "oneAtATime": false})
}

fn run_steps(harness: &mut Harness, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
    }
}

fn given_classes(harness: &mut Harness, classes: &[Value]) {
    harness.override_setting("/classes", json!(classes));
}

fn start(classes: &[Value]) -> Harness {
    let mut harness = Harness::default();
    given_classes(&mut harness, classes);
    run_steps(&mut harness, &["given http alone", "given endpoint e1 dest=1", "send daemon start"]);
    harness
}

fn reload(harness: &mut Harness, classes: &[Value], reloads: u32) {
    given_classes(harness, classes);
    harness.write_configuration();
    run_steps(harness, &["send daemon HUP", &format!("expect counter reloads={reloads}")]);
}

#[test]
fn a_class_is_added_and_later_another_is_dropped() {
    let status = class("status", "repeatable");
    let mut harness = start(std::slice::from_ref(&status));
    run_steps(&mut harness, &["send c1 rush id=r1 dest=1 deadline=9", "expect c1 400"]);
    reload(&mut harness, &[status, class("rush", "repeatable")], 1);
    run_steps(&mut harness, &["send c2 rush id=r2 dest=1 deadline=9", "expect c2 202", "expect e1 r2"]);
    // One that is out while its class goes is still delivered by that class's rules: it may be repeated.
    reload(&mut harness, &[class("status", "repeatable")], 2);
    run_steps(&mut harness, &["send c3 rush id=r3 dest=1 deadline=9", "expect c3 400"]);
    run_steps(
        &mut harness,
        &["send e1 r2 500", "expect e1 r2", "send e1 r2 200", "expect counter delivered=1"],
    );
}

#[rstest]
#[case::may_not_be_repeated_before("once", "repeatable", false)]
#[case::may_be_repeated_before("repeatable", "once", true)]
fn what_was_taken_on_keeps_its_effect(#[case] before: &str, #[case] after: &str, #[case] repeated: bool) {
    let mut harness = start(&[class("status", before)]);
    run_steps(&mut harness, &["send c1 status id=old dest=1 deadline=9", "expect c1 202", "expect e1 old"]);
    reload(&mut harness, &[class("status", after)], 1);
    run_steps(&mut harness, &["send e1 old 500"]);
    if repeated {
        run_steps(&mut harness, &["expect e1 old", "send e1 old 200", "expect counter delivered=1"]);
    } else {
        run_steps(&mut harness, &["expect platform old failed"]);
    }
    run_steps(&mut harness, &["send c2 status id=new dest=1 deadline=9", "expect c2 202", "expect e1 new"]);
    run_steps(&mut harness, &["send e1 new 500"]);
    if repeated {
        run_steps(&mut harness, &["expect platform new failed"]);
    } else {
        run_steps(&mut harness, &["expect e1 new", "send e1 new 200", "expect counter delivered=1"]);
    }
}

#[test]
fn fewer_attempts_bind_what_is_taken_on_from_then_on() {
    let mut harness = start(&[class("status", "repeatable")]);
    run_steps(&mut harness, &["send c1 status id=old dest=1 deadline=9", "expect c1 202", "expect e1 old"]);
    harness.override_setting("/limits/maxAttempts", json!(1));
    reload(&mut harness, &[class("status", "repeatable")], 1);
    run_steps(&mut harness, &["send e1 old 500", "expect e1 old", "send e1 old 200"]);
    run_steps(&mut harness, &["send c2 status id=new dest=1 deadline=9", "expect c2 202", "expect e1 new"]);
    run_steps(&mut harness, &["send e1 new 500", "expect platform new *"]);
}

#[rstest]
#[case::cut_short(None)]
#[case::a_deadline_of_zero(Some(("/classes/0/giveUpUs", json!(0))))]
#[case::no_attempts(Some(("/limits/maxAttempts", json!(0))))]
fn of_a_broken_file_nothing_is_taken(#[case] wrong: Option<(&str, Value)>) {
    let mut harness = start(&[class("status", "repeatable")]);
    given_classes(&mut harness, &[class("rush", "repeatable")]);
    match wrong {
        Some((path, value)) => {
            harness.override_setting(path, value);
            harness.write_configuration();
        }
        None => run_steps(&mut harness, &["given file broken"]),
    }
    run_steps(&mut harness, &["send daemon HUP", "expect log the old settings stay"]);
    run_steps(&mut harness, &["expect counter reloads_refused=1", "expect counter reloads=0"]);
    run_steps(&mut harness, &["send c1 status id=s1 dest=1 deadline=9", "expect c1 202", "expect e1 s1"]);
    run_steps(&mut harness, &["send c2 rush id=r1 dest=1 deadline=9", "expect c2 400"]);
}

/// Killed, and started with a file in which its class is another one or gone: a message keeps the class of its hand-in.
#[rstest]
#[case::its_effect_has_changed(Some("repeatable"))]
#[case::it_was_dropped(None)]
fn a_kill_does_not_change_the_class_of_a_message(#[case] after: Option<&str>) {
    let mut harness = start(&[class("rush", "once"), class("status", "repeatable")]);
    run_steps(&mut harness, &["send c1 rush id=out dest=1 deadline=15", "expect c1 202", "expect e1 out"]);
    run_steps(&mut harness, &["send daemon KILL"]);
    let rush = after.map(|effect| class("rush", effect));
    let classes: Vec<_> = rush.into_iter().chain([class("status", "repeatable")]).collect();
    given_classes(&mut harness, &classes);
    run_steps(&mut harness, &["send daemon start", "expect platform out failed", "expect e1 nothing 300"]);
}

#[test]
fn what_may_be_repeated_is_delivered_after_a_kill_though_its_class_was_dropped() {
    let mut harness = start(&[class("rush", "repeatable"), class("status", "repeatable")]);
    run_steps(&mut harness, &["send c1 rush id=out dest=1 deadline=15", "expect c1 202", "expect e1 out"]);
    run_steps(&mut harness, &["send daemon KILL"]);
    given_classes(&mut harness, &[class("status", "repeatable")]);
    run_steps(
        &mut harness,
        &["send daemon start", "expect e1 out", "send e1 out 200", "expect counter delivered=1"],
    );
}
