//! The settings of two deployments that differ in almost everything they allow, and invalid variants of them.

use onyxrock::interface::*;
use onyxrock_config::settings;
use rstest::rstest;
use serde_json::{Value, json};

/// Rough rates in the list, no load reports in responses, one attempt at a time, repeats dropped within one
/// zone. The daemon's tests use the same settings.
fn limits_in_list() -> Value {
    serde_json::from_str(include_str!("../../daemon/tests/harness/settings.json")).unwrap()
}

/// Load reports in responses, no rates in the list, second copies, repeats dropped by every endpoint of a
/// destination.
fn limits_in_responses() -> Value {
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
fn two_deployments_with_different_rules_are_read() {
    let (listed, names) = settings::read(&limits_in_list()).unwrap();
    assert!(
        !listed.second_copies
            && !listed.load_reports
            && listed.weights == Weights::Rough
            && names.classes["payment"] == 2
    );
    assert_eq!(
        listed.classes[1].effect,
        Effect::Keyed { scope: DedupScope::Zone, window: Micros(6_000_000) }
    );
    let (reported, names) = settings::read(&limits_in_responses()).unwrap();
    assert!(
        reported.second_copies
            && reported.allow_cancel
            && reported.load_reports
            && reported.weights == Weights::Off
            && reported.send_retry_after
    );
    assert_eq!(
        reported.classes[0].effect,
        Effect::Keyed { scope: DedupScope::Destination, window: Micros(5_000_000) }
    );
    let description = settings::describe(&reported, &names).join("\n");
    for expected in
        ["dropped for 5 s by any endpoint", "a second copy may go", "told in answers", "2 senders"]
    {
        assert!(description.contains(expected), "{expected}: {description}");
    }
}

/// An error is one line that names the key. A limit that is misread would lead to a broken rule.
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
fn an_invalid_value_is_refused_and_the_error_names_its_key(
    #[case] path: &str, #[case] value: Value, #[case] expected: &str,
) {
    let mut object = limits_in_responses();
    (object["tenants"], object["limits"]["connectTimeoutUs"]) = (json!([]), json!(1_000_000));
    *object.pointer_mut(path).unwrap() = value;
    let read = settings::read(&object).and_then(|_| settings::connect_timeout(&object));
    let error = read.unwrap_err();
    assert!(error.contains(expected) && !error.contains('\n'), "{error}");
}

#[test]
fn absent_values_do_not_apply_and_unknown_and_unused_keys_are_ignored() {
    let mut object = limits_in_responses();
    object["limits"] = json!({"inventedLater": 7});
    object["feedback"] = Value::Null;
    let (read, _) = settings::read(&object).unwrap();
    assert!(!read.second_copies && !read.load_reports && read.max_attempts == u32::MAX);
    object["feedback"] = json!({"how": "inline", "columns": ["x1", "x9"]});
    assert!(!settings::read(&object).unwrap().0.load_reports, "a report needs both columns");
    // A key that is documented as unused has no effect, whatever its value.
    let read = settings::read(&limits_in_responses()).unwrap().0;
    for (key, _) in settings::UNUSED_KEYS {
        let mut object = limits_in_responses();
        let path = key.replace("classes.", "classes.0.").split('.').map(str::to_owned).collect::<Vec<_>>();
        let unused = path.iter().fold(&mut object, |value, key| match key.parse::<usize>() {
            Ok(i) => &mut value[i],
            Err(_) => &mut value[key.as_str()],
        });
        *unused = json!([{"odd": true}]);
        assert_eq!(settings::read(&object).map(|r| r.0), Ok(read.clone()), "{key}");
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
fn a_load_report_with_an_invalid_or_missing_value_is_ignored(
    #[case] limit: Option<f64>, #[case] remaining_share: Option<f64>, #[case] valid: bool,
) {
    assert_eq!(
        load_report(limit, remaining_share),
        if valid { (limit, remaining_share) } else { (None, None) }
    );
}

/// Deployments differ in the names, number and order of classes, in their effects and times, and in which
/// values are 0 or absent.
#[rstest]
#[case::names_of_any_text(json!([{"name": "a/b %?", "effect": "once", "giveUpUs": 200_000}, {"name": "é", "giveUpUs": 1}]))]
#[case::one_class(json!([{"name": "", "effect": "repeatable", "giveUpUs": 36_000_000_000_u64, "targetUs": 1}]))]
#[case::only_a_name(json!([{"name": "a"}]))]
#[case::all_values_zero(json!([{"name": "a", "giveUpUs": 0, "targetUs": 0, "worth": 0, "lateShare": 0, "windowUs": 0}]))]
#[case::another_order(json!([{"name": "z", "effect": "by_key", "windowUs": 1, "giveUpUs": 9}, {"name": "a", "effect": "once"}]))]
fn settings_of_any_shape_are_read(#[case] classes: Value) {
    let zeros = json!({"limits": {"maxRetryAfterUs": 0, "connIdleUs": 0, "connectTimeoutUs": 0}, "overShareWorth": 0,
        "rules": {"askEveryUs": 0, "fallMultiple": 0, "fallUs": 0, "coldFrom": 0, "warmWithinUs": 0}, "prices": {}});
    for mut object in [json!({}), zeros, limits_in_list(), limits_in_responses()] {
        object["classes"] = classes.clone();
        let (read, names) = settings::read(&object).unwrap();
        assert_eq!(settings::connect_timeout(&object), Ok(Micros(1_000_000)), "0 does not apply");
        for (i, class) in classes.as_array().unwrap().iter().enumerate() {
            assert_eq!(names.classes[class["name"].as_str().unwrap()], i);
            let end = class["giveUpUs"].as_u64().filter(|end| *end > 0);
            assert_eq!(
                read.classes[i].give_up_after,
                end.map_or(Micros(86_400_000_000), Micros),
                "0 or absent: one day"
            );
        }
        assert!(read.slots > 0 && read.max_held > 0 && read.max_attempts > 0 && read.sender_count > 0);
        assert!(settings::describe(&read, &names).len() > read.classes.len());
    }
}
