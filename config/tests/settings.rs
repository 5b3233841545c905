//! The settings of two deployments that differ in almost all they allow, and what is wrong in either.

use onyxrock::interface::*;
use onyxrock_config::settings;
use rstest::rstest;
use serde_json::{Value, json};

/// Rough rates in the list, nothing in answers, one attempt at a time, repeats dropped by one zone: as the daemon's tests.
fn listed() -> Value {
    serde_json::from_str(include_str!("../../daemon/tests/harness/settings.json")).unwrap()
}

/// Limits in answers, none in the list, second copies, repeats dropped everywhere.
fn reported() -> Value {
    json!({
        "azs": ["hall"],
        "classes": [
            {"name": "event", "effect": "by_key", "group": "all", "windowUs": 5_000_000, "targetUs": 2_000_000,
             "giveUpUs": 20_000_000, "worth": 1, "lateShare": 0.3},
            {"name": "state", "effect": "repeatable", "targetUs": 1_000_000, "giveUpUs": 8_000_000, "worth": 2, "lateShare": 0.1}],
        "discovery": "subscribe", "weightSource": "off", "replicasOfMe": 2, "slotNo": 0,
        "extra": {"slots": 7, "kindApart": [false], "perCall": [1], "fades": "line"},
        "feedback": {"how": "inline", "columns": ["x0", "x1"]},
        "hostTypes": ["buyer"],
        "limits": {"maxAttempts": 8, "maxOpen": 114, "secondCopies": true, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 2_000_000},
        "rules": {"fallMultiple": 1.5, "fallUs": 1_500_000, "coldFrom": 0.25, "warmWithinUs": 10_000_000}})
}

#[test]
fn two_deployments_are_read_as_they_say() {
    let (a, names) = settings::read(&listed()).unwrap();
    assert!(
        !a.second_copies && !a.load_reports && a.weights == Weights::Rough && names.classes["payment"] == 2
    );
    assert_eq!(a.classes[1].effect, Effect::Keyed { scope: DedupScope::Zone, window: Micros(6_000_000) });
    let (b, names) = settings::read(&reported()).unwrap();
    assert!(
        b.second_copies
            && b.allow_cancel
            && b.load_reports
            && b.weights == Weights::Off
            && b.send_retry_after
    );
    assert_eq!(
        b.classes[0].effect,
        Effect::Keyed { scope: DedupScope::Destination, window: Micros(5_000_000) }
    );
    let words = settings::describe(&b, &names).join("\n");
    for said in ["dropped for 5 s by any endpoint", "a second copy may go", "told in answers", "2 senders"] {
        assert!(words.contains(said), "{said}: {words}");
    }
}

/// What is wrong is one line that names the key; a limit that is misread is a rule that is broken.
#[rstest]
#[case("/limits/secondCopies", json!("yes"), "limits.secondCopies is not true or false")]
#[case("/limits/maxAttempts", json!("8"), "limits.maxAttempts is not a number")]
#[case("/limits/maxOpen", json!(-1), "limits.maxOpen is not a number, zero or more")]
#[case("/classes/0/windowUs", json!(0), "windowUs is missing or 0, where effect is by_key (class event)")]
#[case("/classes/0/effect", json!("sometimes"), "effect is not known: \"sometimes\" (class event)")]
#[case("/classes/0/group", json!("friends"), "group is not all or zone: \"friends\" (class event)")]
#[case("/feedback/how", json!(3), "feedback.how is not text")]
#[case("/slotNo", json!(2), "slotNo is 2, but replicasOfMe is 2")]
#[case("/classes/1/name", json!("event"), "classes names \"event\" twice")]
#[case("/tenants", json!([{"name": "a"}, {"name": "a"}]), "tenants names \"a\" twice")]
#[case("/azs", json!(["hall", "hall"]), "azs names \"hall\" twice")]
#[case("/hostTypes", json!(["buyer", "buyer"]), "hostTypes names \"buyer\" twice")]
#[case("/limits/connectTimeoutUs", json!("1s"), "limits.connectTimeoutUs is not a number")]
fn what_is_wrong_is_named(#[case] path: &str, #[case] value: Value, #[case] says: &str) {
    let mut v = reported();
    (v["tenants"], v["limits"]["connectTimeoutUs"]) = (json!([]), json!(1_000_000));
    *v.pointer_mut(path).unwrap() = value;
    let read = settings::read(&v).and_then(|_| settings::connect_timeout(&v));
    let error = read.unwrap_err();
    assert!(error.contains(says) && !error.contains('\n'), "{error}");
}

#[test]
fn what_is_absent_does_not_apply_and_what_is_unknown_is_passed_over() {
    let mut v = reported();
    v["limits"] = json!({"inventedLater": 7});
    v["feedback"] = Value::Null;
    let (set, _) = settings::read(&v).unwrap();
    assert!(!set.second_copies && !set.load_reports && set.max_attempts == u32::MAX);
    v["feedback"] = json!({"how": "inline", "columns": ["x1", "x9"]});
    assert!(!settings::read(&v).unwrap().0.load_reports, "half of a report is none");
    // What is said to be unused is: whatever stands there, nothing changes.
    let read = settings::read(&reported()).unwrap().0;
    for (key, _) in settings::UNUSED_KEYS {
        let mut v = reported();
        let path = key.replace("classes.", "classes.0.").split('.').map(str::to_owned).collect::<Vec<_>>();
        let at = path.iter().fold(&mut v, |v, key| match key.parse::<usize>() {
            Ok(i) => &mut v[i],
            Err(_) => &mut v[key.as_str()],
        });
        *at = json!([{"odd": true}]);
        assert_eq!(settings::read(&v).map(|r| r.0), Ok(read.clone()), "{key}");
    }
}

#[rstest]
#[case(Some(5.0), Some(0.2), true)]
#[case(Some(5.0), None, false)]
#[case(None, Some(0.2), false)]
#[case(Some(-1.0), Some(0.2), false)]
#[case(Some(5.0), Some(-0.1), false)]
#[case(Some(f64::NAN), Some(0.2), false)]
#[case(Some(5.0), Some(f64::INFINITY), false)]
fn a_report_that_cannot_be_is_none(#[case] limit: Option<f64>, #[case] left: Option<f64>, #[case] is: bool) {
    assert_eq!(load_report(limit, left), if is { (limit, left) } else { (None, None) });
}

/// Deployments differ in all of this: what is named, how many there are, which effects, how long, and what is 0 or absent.
#[rstest]
#[case::names_of_any_text(json!([{"name": "a/b %?", "effect": "once", "giveUpUs": 200_000}, {"name": "é", "giveUpUs": 1}]))]
#[case::one_class(json!([{"name": "", "effect": "repeatable", "giveUpUs": 36_000_000_000_u64, "targetUs": 1}]))]
#[case::nothing_is_said(json!([{"name": "a"}]))]
#[case::all_is_nothing(json!([{"name": "a", "giveUpUs": 0, "targetUs": 0, "worth": 0, "lateShare": 0, "windowUs": 0}]))]
#[case::another_order(json!([{"name": "z", "effect": "by_key", "windowUs": 1, "giveUpUs": 9}, {"name": "a", "effect": "once"}]))]
fn settings_of_any_shape_are_read(#[case] classes: Value) {
    let zeros = json!({"limits": {"maxRetryAfterUs": 0, "connIdleUs": 0, "connectTimeoutUs": 0}, "overShareWorth": 0,
        "rules": {"askEveryUs": 0, "fallMultiple": 0, "fallUs": 0, "coldFrom": 0, "warmWithinUs": 0}, "prices": {}});
    for mut v in [json!({}), zeros, listed(), reported()] {
        v["classes"] = classes.clone();
        let (set, names) = settings::read(&v).unwrap();
        assert_eq!(settings::connect_timeout(&v), Ok(Micros(1_000_000)), "0 does not apply");
        for (i, c) in classes.as_array().unwrap().iter().enumerate() {
            assert_eq!(names.classes[c["name"].as_str().unwrap()], i);
            let end = c["giveUpUs"].as_u64().filter(|end| *end > 0);
            assert_eq!(
                set.classes[i].give_up_after,
                end.map_or(Micros(86_400_000_000), Micros),
                "no end is none"
            );
        }
        assert!(set.slots > 0 && set.max_held > 0 && set.max_attempts > 0 && set.sender_count > 0);
        assert!(settings::describe(&set, &names).len() > set.classes.len());
    }
}
