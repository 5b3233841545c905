//! A bad command line or configuration: one plain line on stderr, and an exit that is not zero.

use rstest::rstest;
use std::process::Command;

const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
    "settings":{"classes":[{"name":"a","effect":"once"}]}}"#;

fn run(args: &[&str], config: Option<&str>) -> (i32, String, String) {
    let folder =
        std::env::temp_dir().join(format!("onyxrock-line-{}-{:x}", std::process::id(), hash(args, config)));
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxrock"));
    command.args(args).env_clear().env("GW_STATE", &folder);
    if let Some(text) = config {
        std::fs::write(folder.join("c.json"), text).unwrap();
        command.env("GW_CONFIG", folder.join("c.json"));
    }
    let out = command.output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

fn hash(args: &[&str], config: Option<&str>) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut h = DefaultHasher::new();
    (args, config).hash(&mut h);
    h.finish()
}

#[rstest]
#[case::no_command(&[], None, "no command")]
#[case::unknown_command(&["fly"], None, "unknown command")]
#[case::unknown_option(&["serve", "--fast"], None, "--fast")]
#[case::option_without_value(&["serve", "--config"], None, "--config")]
#[case::no_configuration(&["serve"], None, "GW_CONFIG")]
#[case::missing_file(&["check", "--config", "/nonexistent"], None, "/nonexistent")]
#[case::not_json(&["serve"], Some("{"), "JSON")]
#[case::no_settings(&["check"], Some(r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}"#), "settings")]
#[case::bad_address(&["check"], Some(r#"{"name":"n","listen":"here","discovery":"x","settings":{"classes":[{}]}}"#), "listen")]
#[case::bad_list(&["check"], Some(r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
    "settings":{"classes":[{"name":"a"}]},"known":{"generation":1,"instances":[{}]}}"#), "list")]
#[case::wrong_setting(&["serve"], Some(r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
    "settings":{"classes":[{"name":"a"}],"limits":{"secondCopies":"yes"}}}"#), "limits.secondCopies is not true or false")]
#[case::members_of_whom(&["members"], None, "--at ADDRESS")]
#[case::duties_of_nobody(&["duties", "--at", "127.0.0.1:1"], None, "127.0.0.1:1: ")]
#[case::no_address(&["duties", "--at", "here"], None, "--at is no address")]
#[case::no_product_file(&["check", "--product", "/nonexistent"], Some(GOOD), "/nonexistent")]
#[case::product_is_no_toml(&["serve", "--product", "/proc/self/cmdline"], Some(GOOD), "/proc/self/cmdline:1: ")]
fn bad_lines_are_told_plainly(#[case] args: &[&str], #[case] config: Option<&str>, #[case] word: &str) {
    let (code, out, err) = run(args, config);
    assert_ne!(code, 0);
    assert_eq!((out.as_str(), err.trim_end().lines().count()), ("", 1), "{err}");
    assert!(err.starts_with("onyxrock: ") && err.contains(word), "{err}");
}

#[test]
fn good_ones_are_answered() {
    assert_eq!(run(&["version"], None).1, format!("onyxrock {}\n", env!("CARGO_PKG_VERSION")));
    assert!(run(&["--help"], None).1.starts_with("usage: "));
    let (code, out, _) = run(&["check"], Some(GOOD));
    let said: Vec<_> = out.lines().collect();
    assert_eq!((code, said[0]), (0, "n1: listens on 127.0.0.1:0, 1 classes, 0 endpoints known"));
    assert!(said.iter().any(|l| l.ends_with("never two at once")), "what the settings allow: {out}");
}

#[test]
fn the_files_of_the_deployment_are_sound() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/");
    let settings = include_str!("harness/settings.json");
    let config =
        format!(r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{settings}}}"#);
    let product = format!("{deploy}product.toml");
    let (code, out, err) = run(&["check", "--product", &product], Some(&config));
    assert_eq!((code, err.as_str()), (0, ""));
    assert!(out.contains("1 clients, 1 gateways") && out.contains("1 endpoints in the zone"), "{out}");
    assert!(out.contains("duties on 127.0.0.1:7946, 3 members, 3 voters"), "{out}");
}
