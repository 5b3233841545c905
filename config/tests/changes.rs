//! What a new configuration may change while the daemon runs, and what is no configuration to be taken.

use onyxrock_config::{daemon, reload};
use rstest::rstest;
use serde_json::{Value, json};
use std::path::PathBuf;

fn class(name: &str) -> Value {
    json!({"name": name, "effect": "repeatable", "group": "all", "giveUpUs": 3_000_000, "targetUs": 800_000,
        "windowUs": 0, "lateShare": 0.1, "worth": 1.0})
}

fn config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f", "known": null,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": {
            "azs": ["z"], "classes": [class("status"), class("booking")], "hostTypes": ["club"],
            "limits": {"maxAttempts": 5, "maxOpen": 450, "cancel": true}, "rules": {"askEveryUs": 1},
            "replicasOfMe": 1, "slotNo": 0, "tenants": []
        }
    })
}

fn lasting() -> Value {
    reload::without_optional_keys(&config())
}

/// The paths of all keys, by way of the first entry of each list.
fn paths(value: &Value, path: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = format!("{path}/{key}");
                all.push(path.clone());
                paths(value, &path, all);
            }
        }
        Value::Array(list) => list.iter().take(1).for_each(|v| paths(v, &format!("{path}/0"), all)),
        _ => {}
    }
}

#[test]
fn a_file_that_lacks_any_key_is_refused_by_its_name() {
    let mut all = Vec::new();
    paths(&lasting(), "", &mut all);
    assert!(all.len() > 20);
    for path in all {
        let mut new = lasting();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        new.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object").remove(key);
        let why = reload::check(&lasting(), &new).expect_err(&path);
        assert!(why.contains(key) && why.contains("missing"), "{path}: {why}");
    }
}

#[test]
fn a_file_that_was_cut_anywhere_is_not_read() {
    let text = config().to_string();
    let file: PathBuf = std::env::temp_dir().join(format!("onyxrock-cut-{}.json", std::process::id()));
    let read = |bytes: &[u8]| {
        std::fs::write(&file, bytes).unwrap();
        daemon::read(&file, |name| (name == "GW_STATE").then(|| "state".to_owned()))
    };
    assert!(read(text.as_bytes()).is_ok());
    for length in 0..text.len() {
        assert!(read(&text.as_bytes()[..length]).is_err(), "of {length} bytes");
    }
    std::fs::remove_file(&file).unwrap();
}

#[rstest]
#[case::no_deadline("/settings/classes/1/giveUpUs", json!(0))]
#[case::deadline_below_zero("/settings/classes/0/giveUpUs", json!(-1))]
#[case::deadline_of_another_kind("/settings/classes/0/giveUpUs", json!("3"))]
#[case::no_attempts("/settings/limits/maxAttempts", json!(0))]
#[case::attempts_null("/settings/limits/maxAttempts", Value::Null)]
#[case::no_classes("/settings/classes", json!([]))]
#[case::classes_are_no_list("/settings/classes", json!({}))]
fn a_value_that_means_nothing_is_refused(#[case] path: &str, #[case] value: Value) {
    let mut new = lasting();
    *new.pointer_mut(path).expect("a key") = value;
    assert!(reload::check(&lasting(), &new).is_err());
}

#[test]
fn classes_come_and_go_and_values_change() {
    let mut new = lasting();
    let classes = new.pointer_mut("/settings/classes").unwrap();
    *classes = json!([class("booking"), class("rush")]);
    classes[0]["effect"] = json!("once");
    classes[0]["giveUpUs"] = json!(1);
    *new.pointer_mut("/settings/limits/maxAttempts").unwrap() = json!(2);
    new["settings"]["more"] = json!(1);
    assert_eq!(reload::check(&lasting(), &new), Ok(()));
}
