//! Which new versions of the configuration are accepted while the daemon runs, and which are refused.

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

/// The configuration without the keys that a new version may omit.
fn required() -> Value {
    reload::without_optional_keys(&config())
}

/// Collects the paths of all keys; only the first entry of each list is visited.
fn collect_paths(value: &Value, path: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = format!("{path}/{key}");
                all.push(path.clone());
                collect_paths(value, &path, all);
            }
        }
        Value::Array(list) => {
            list.iter().take(1).for_each(|entry| collect_paths(entry, &format!("{path}/0"), all))
        }
        _ => {}
    }
}

#[test]
fn a_file_that_lacks_any_key_is_refused_and_the_error_names_the_key() {
    let mut all = Vec::new();
    collect_paths(&required(), "", &mut all);
    assert!(all.len() > 20);
    for path in all {
        let mut new = required();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        new.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object").remove(key);
        let error = reload::check(&required(), &new).expect_err(&path);
        assert!(error.contains(key) && error.contains("missing"), "{path}: {error}");
    }
}

#[test]
fn a_file_that_is_truncated_anywhere_is_refused() {
    let text = config().to_string();
    let file: PathBuf = std::env::temp_dir().join(format!("onyxrock-cut-{}.json", std::process::id()));
    let read = |bytes: &[u8]| {
        std::fs::write(&file, bytes).unwrap();
        daemon::read(&file, |name| (name == "GW_STATE").then(|| "state".to_owned()))
    };
    assert!(read(text.as_bytes()).is_ok());
    for length in 0..text.len() {
        assert!(read(&text.as_bytes()[..length]).is_err(), "{length} bytes");
    }
    std::fs::remove_file(&file).unwrap();
}

#[rstest]
#[case::no_deadline("/settings/classes/1/giveUpUs", json!(0))]
#[case::negative_deadline("/settings/classes/0/giveUpUs", json!(-1))]
#[case::deadline_of_another_type("/settings/classes/0/giveUpUs", json!("3"))]
#[case::no_attempts("/settings/limits/maxAttempts", json!(0))]
#[case::attempts_null("/settings/limits/maxAttempts", Value::Null)]
#[case::no_classes("/settings/classes", json!([]))]
#[case::classes_are_no_list("/settings/classes", json!({}))]
fn a_value_without_a_valid_meaning_is_refused(#[case] path: &str, #[case] value: Value) {
    let mut new = required();
    *new.pointer_mut(path).expect("a key") = value;
    assert!(reload::check(&required(), &new).is_err());
}

#[test]
fn classes_may_be_added_and_removed_and_values_may_change() {
    let mut new = required();
    let classes = new.pointer_mut("/settings/classes").unwrap();
    *classes = json!([class("booking"), class("rush")]);
    classes[0]["effect"] = json!("once");
    classes[0]["giveUpUs"] = json!(1);
    *new.pointer_mut("/settings/limits/maxAttempts").unwrap() = json!(2);
    new["settings"]["more"] = json!(1);
    assert_eq!(reload::check(&required(), &new), Ok(()));
}
