//! An invalid command line or configuration must give one line on stderr and a non-zero exit status.

use rstest::rstest;
use std::process::Command;

/// A valid configuration.
const VALID_CONFIG: &str = r#"{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
    "settings":{"classes":[{"name":"a","effect":"once"}]}}"#;

/// Runs the program with these arguments and this configuration; returns the exit status, stdout and stderr.
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
    let output = command.output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let to_text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), to_text(output.stdout), to_text(output.stderr))
}

/// Gives each run a folder of its own.
fn hash(args: &[&str], config: Option<&str>) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (args, config).hash(&mut hasher);
    hasher.finish()
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
#[case::invalid_setting(&["serve"], Some(r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
    "settings":{"classes":[{"name":"a"}],"limits":{"secondCopies":"yes"}}}"#), "limits.secondCopies is not true or false")]
#[case::members_without_address(&["members"], None, "--at ADDRESS")]
#[case::duties_of_unreachable_process(&["duties", "--at", "127.0.0.1:1"], None, "127.0.0.1:1: ")]
#[case::invalid_address(&["duties", "--at", "here"], None, "--at is no address")]
#[case::no_product_file(&["check", "--product", "/nonexistent"], Some(VALID_CONFIG), "/nonexistent")]
#[case::product_file_not_toml(&["serve", "--product", "/proc/self/cmdline"], Some(VALID_CONFIG), "/proc/self/cmdline:1: ")]
fn invalid_input_gives_one_line_on_stderr(
    #[case] args: &[&str], #[case] config: Option<&str>, #[case] expected: &str,
) {
    let (code, stdout, stderr) = run(args, config);
    assert_ne!(code, 0);
    assert_eq!((stdout.as_str(), stderr.trim_end().lines().count()), ("", 1), "{stderr}");
    assert!(stderr.starts_with("onyxrock: ") && stderr.contains(expected), "{stderr}");
}

#[test]
fn valid_commands_succeed() {
    assert_eq!(run(&["version"], None).1, format!("onyxrock {}\n", env!("CARGO_PKG_VERSION")));
    assert!(run(&["--help"], None).1.starts_with("usage: "));
    let (code, stdout, _) = run(&["check"], Some(VALID_CONFIG));
    let lines: Vec<_> = stdout.lines().collect();
    assert_eq!((code, lines[0]), (0, "n1: listens on 127.0.0.1:0, 1 classes, 0 endpoints known"));
    assert!(
        lines.iter().any(|l| l.ends_with("never two at once")),
        "no line on what the settings allow: {stdout}"
    );
}

#[test]
fn the_deployment_files_pass_the_check_command() {
    let deploy_folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/");
    let settings = include_str!("harness/settings.json");
    let config =
        format!(r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{settings}}}"#);
    let product_file = format!("{deploy_folder}product.toml");
    let (code, stdout, stderr) = run(&["check", "--product", &product_file], Some(&config));
    assert_eq!((code, stderr.as_str()), (0, ""));
    assert!(
        stdout.contains("1 clients, 1 gateways") && stdout.contains("1 endpoints in the zone"),
        "{stdout}"
    );
    assert!(stdout.contains("duties on 127.0.0.1:7946, 3 members, 3 voters"), "{stdout}");
}
