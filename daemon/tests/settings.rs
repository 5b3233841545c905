//! Reload of settings on SIGHUP, with a real daemon process: classes are added, changed and removed, and an
//! accepted message keeps the settings of its class.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use rstest::rstest;
use serde_json::{Value, json};

/// The settings of a class with this name and effect.
fn class_json(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "giveUpUs": 20_000_000, "targetUs": 800_000,
        "windowUs": 5_000_000, "lateShare": 0.1, "worth": 1.0, "oneAtATime": false})
}

fn run_steps(harness: &mut Harness, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
    }
}

fn override_classes(harness: &mut Harness, classes: &[Value]) {
    harness.override_setting("/classes", json!(classes));
}

fn start(classes: &[Value]) -> Harness {
    let mut harness = Harness::default();
    override_classes(&mut harness, classes);
    run_steps(&mut harness, &["given http alone", "given endpoint e1 dest=1", "send daemon start"]);
    harness
}

fn reload(harness: &mut Harness, classes: &[Value], reloads: u32) {
    override_classes(harness, classes);
    harness.write_configuration();
    run_steps(harness, &["send daemon HUP", &format!("expect counter reloads={reloads}")]);
}

#[test]
fn a_reload_adds_a_class_and_a_later_one_removes_it() {
    let status = class_json("status", "repeatable");
    let mut harness = start(std::slice::from_ref(&status));
    run_steps(&mut harness, &["send c1 rush id=r1 dest=1 deadline=9", "expect c1 400"]);
    reload(&mut harness, &[status, class_json("rush", "repeatable")], 1);
    run_steps(&mut harness, &["send c2 rush id=r2 dest=1 deadline=9", "expect c2 202", "expect e1 r2"]);
    // A message with a call in flight when its class is removed is still delivered under the rules of that
    // class: its attempts may be repeated.
    reload(&mut harness, &[class_json("status", "repeatable")], 2);
    run_steps(&mut harness, &["send c3 rush id=r3 dest=1 deadline=9", "expect c3 400"]);
    run_steps(
        &mut harness,
        &["send e1 r2 500", "expect e1 r2", "send e1 r2 200", "expect counter delivered=1"],
    );
}

#[rstest]
#[case::may_not_be_repeated_before("once", "repeatable", false)]
#[case::may_be_repeated_before("repeatable", "once", true)]
fn an_accepted_message_keeps_the_effect_of_its_class(
    #[case] before: &str, #[case] after: &str, #[case] old_is_repeated: bool,
) {
    let mut harness = start(&[class_json("status", before)]);
    run_steps(&mut harness, &["send c1 status id=old dest=1 deadline=9", "expect c1 202", "expect e1 old"]);
    reload(&mut harness, &[class_json("status", after)], 1);
    run_steps(&mut harness, &["send e1 old 500"]);
    if old_is_repeated {
        run_steps(&mut harness, &["expect e1 old", "send e1 old 200", "expect counter delivered=1"]);
    } else {
        run_steps(&mut harness, &["expect platform old failed"]);
    }
    run_steps(&mut harness, &["send c2 status id=new dest=1 deadline=9", "expect c2 202", "expect e1 new"]);
    run_steps(&mut harness, &["send e1 new 500"]);
    if old_is_repeated {
        run_steps(&mut harness, &["expect platform new failed"]);
    } else {
        run_steps(&mut harness, &["expect e1 new", "send e1 new 200", "expect counter delivered=1"]);
    }
}

#[test]
fn a_lower_attempt_limit_applies_to_messages_accepted_after_the_reload() {
    let mut harness = start(&[class_json("status", "repeatable")]);
    run_steps(&mut harness, &["send c1 status id=old dest=1 deadline=9", "expect c1 202", "expect e1 old"]);
    harness.override_setting("/limits/maxAttempts", json!(1));
    reload(&mut harness, &[class_json("status", "repeatable")], 1);
    run_steps(&mut harness, &["send e1 old 500", "expect e1 old", "send e1 old 200"]);
    run_steps(&mut harness, &["send c2 status id=new dest=1 deadline=9", "expect c2 202", "expect e1 new"]);
    run_steps(&mut harness, &["send e1 new 500", "expect platform new *"]);
}

#[rstest]
#[case::truncated_file(None)]
#[case::a_deadline_of_zero(Some(("/classes/0/giveUpUs", json!(0))))]
#[case::no_attempts(Some(("/limits/maxAttempts", json!(0))))]
fn a_reload_of_an_invalid_file_changes_no_setting(#[case] invalid_setting: Option<(&str, Value)>) {
    let mut harness = start(&[class_json("status", "repeatable")]);
    override_classes(&mut harness, &[class_json("rush", "repeatable")]);
    match invalid_setting {
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

/// The process is killed and restarted with a file in which the message's class has changed or is missing:
/// the message keeps the class settings from its submission.
#[rstest]
#[case::the_effect_has_changed(Some("repeatable"))]
#[case::the_class_was_removed(None)]
fn a_kill_does_not_change_the_class_of_a_message(#[case] after: Option<&str>) {
    let mut harness = start(&[class_json("rush", "once"), class_json("status", "repeatable")]);
    run_steps(&mut harness, &["send c1 rush id=out dest=1 deadline=15", "expect c1 202", "expect e1 out"]);
    run_steps(&mut harness, &["send daemon KILL"]);
    let rush_class = after.map(|effect| class_json("rush", effect));
    let classes: Vec<_> = rush_class.into_iter().chain([class_json("status", "repeatable")]).collect();
    override_classes(&mut harness, &classes);
    run_steps(&mut harness, &["send daemon start", "expect platform out failed", "expect e1 nothing 300"]);
}

#[test]
fn a_repeatable_message_is_delivered_after_a_kill_though_its_class_was_removed() {
    let mut harness = start(&[class_json("rush", "repeatable"), class_json("status", "repeatable")]);
    run_steps(&mut harness, &["send c1 rush id=out dest=1 deadline=15", "expect c1 202", "expect e1 out"]);
    run_steps(&mut harness, &["send daemon KILL"]);
    override_classes(&mut harness, &[class_json("status", "repeatable")]);
    run_steps(
        &mut harness,
        &["send daemon start", "expect e1 out", "send e1 out 200", "expect counter delivered=1"],
    );
}
