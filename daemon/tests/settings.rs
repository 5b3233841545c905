//! New settings on SIGHUP, with a real process: classes are added, changed and dropped, and what was taken on keeps its own.

#[allow(dead_code)] // the scenarios use the rest
mod stage;

use rstest::rstest;
use serde_json::{Value, json};
use stage::Stage;

fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "giveUpUs": 20_000_000, "targetUs": 800_000,
        "windowUs": 5_000_000, "lateShare": 0.1, "worth": 1.0, "oneAtATime": false})
}

fn play(stage: &mut Stage, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        stage.play(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", stage.log()));
    }
}

fn given_classes(stage: &mut Stage, classes: &[Value]) {
    stage.set("/classes", json!(classes));
}

fn start(classes: &[Value]) -> Stage {
    let mut stage = Stage::default();
    given_classes(&mut stage, classes);
    play(&mut stage, &["given http alone", "given endpoint e1 dest=1", "send daemon start"]);
    stage
}

fn reload(stage: &mut Stage, classes: &[Value], reloads: u32) {
    given_classes(stage, classes);
    stage.write_configuration();
    play(stage, &["send daemon HUP", &format!("expect counter reloads={reloads}")]);
}

#[test]
fn a_class_is_added_and_later_another_is_dropped() {
    let status = class("status", "repeatable");
    let mut stage = start(std::slice::from_ref(&status));
    play(&mut stage, &["send c1 rush id=r1 dest=1 deadline=9", "expect c1 400"]);
    reload(&mut stage, &[status, class("rush", "repeatable")], 1);
    play(&mut stage, &["send c2 rush id=r2 dest=1 deadline=9", "expect c2 202", "expect e1 r2"]);
    // One that is out while its class goes is still delivered by that class's rules: it may be repeated.
    reload(&mut stage, &[class("status", "repeatable")], 2);
    play(&mut stage, &["send c3 rush id=r3 dest=1 deadline=9", "expect c3 400"]);
    play(&mut stage, &["send e1 r2 500", "expect e1 r2", "send e1 r2 200", "expect counter delivered=1"]);
}

#[rstest]
#[case::may_not_be_repeated_before("once", "repeatable", false)]
#[case::may_be_repeated_before("repeatable", "once", true)]
fn what_was_taken_on_keeps_its_effect(#[case] before: &str, #[case] after: &str, #[case] repeated: bool) {
    let mut stage = start(&[class("status", before)]);
    play(&mut stage, &["send c1 status id=old dest=1 deadline=9", "expect c1 202", "expect e1 old"]);
    reload(&mut stage, &[class("status", after)], 1);
    play(&mut stage, &["send e1 old 500"]);
    if repeated {
        play(&mut stage, &["expect e1 old", "send e1 old 200", "expect counter delivered=1"]);
    } else {
        play(&mut stage, &["expect platform old failed"]);
    }
    play(&mut stage, &["send c2 status id=new dest=1 deadline=9", "expect c2 202", "expect e1 new"]);
    play(&mut stage, &["send e1 new 500"]);
    if repeated {
        play(&mut stage, &["expect platform new failed"]);
    } else {
        play(&mut stage, &["expect e1 new", "send e1 new 200", "expect counter delivered=1"]);
    }
}

#[test]
fn fewer_attempts_bind_what_is_taken_on_from_then_on() {
    let mut stage = start(&[class("status", "repeatable")]);
    play(&mut stage, &["send c1 status id=old dest=1 deadline=9", "expect c1 202", "expect e1 old"]);
    stage.set("/limits/maxAttempts", json!(1));
    reload(&mut stage, &[class("status", "repeatable")], 1);
    play(&mut stage, &["send e1 old 500", "expect e1 old", "send e1 old 200"]);
    play(&mut stage, &["send c2 status id=new dest=1 deadline=9", "expect c2 202", "expect e1 new"]);
    play(&mut stage, &["send e1 new 500", "expect platform new *"]);
}

#[rstest]
#[case::cut_short(None)]
#[case::a_deadline_of_zero(Some(("/classes/0/giveUpUs", json!(0))))]
#[case::no_attempts(Some(("/limits/maxAttempts", json!(0))))]
fn of_a_broken_file_nothing_is_taken(#[case] wrong: Option<(&str, Value)>) {
    let mut stage = start(&[class("status", "repeatable")]);
    given_classes(&mut stage, &[class("rush", "repeatable")]);
    match wrong {
        Some((path, value)) => {
            stage.set(path, value);
            stage.write_configuration();
        }
        None => play(&mut stage, &["given file broken"]),
    }
    play(&mut stage, &["send daemon HUP", "expect log the old settings stay"]);
    play(&mut stage, &["expect counter reloads_refused=1", "expect counter reloads=0"]);
    play(&mut stage, &["send c1 status id=s1 dest=1 deadline=9", "expect c1 202", "expect e1 s1"]);
    play(&mut stage, &["send c2 rush id=r1 dest=1 deadline=9", "expect c2 400"]);
}

/// Killed, and started with a file in which its class is another one or gone: a message keeps the class of its hand-in.
#[rstest]
#[case::its_effect_has_changed(Some("repeatable"))]
#[case::it_was_dropped(None)]
fn a_kill_does_not_change_the_class_of_a_message(#[case] after: Option<&str>) {
    let mut stage = start(&[class("rush", "once"), class("status", "repeatable")]);
    play(&mut stage, &["send c1 rush id=out dest=1 deadline=15", "expect c1 202", "expect e1 out"]);
    play(&mut stage, &["send daemon KILL"]);
    let rush = after.map(|effect| class("rush", effect));
    let classes: Vec<_> = rush.into_iter().chain([class("status", "repeatable")]).collect();
    given_classes(&mut stage, &classes);
    play(&mut stage, &["send daemon start", "expect platform out failed", "expect e1 nothing 300"]);
}

#[test]
fn what_may_be_repeated_is_delivered_after_a_kill_though_its_class_was_dropped() {
    let mut stage = start(&[class("rush", "repeatable"), class("status", "repeatable")]);
    play(&mut stage, &["send c1 rush id=out dest=1 deadline=15", "expect c1 202", "expect e1 out"]);
    play(&mut stage, &["send daemon KILL"]);
    given_classes(&mut stage, &[class("status", "repeatable")]);
    play(
        &mut stage,
        &["send daemon start", "expect e1 out", "send e1 out 200", "expect counter delivered=1"],
    );
}
