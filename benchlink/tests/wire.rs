//! Tests the adapter as a process: its replies, its errors and the names on its wire.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_onyxrock-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("stdin is a pipe");
    for line in lines {
        // The adapter may have exited on an error in an earlier line.
        let _ = writeln!(stdin, "{line}");
    }
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

fn batch(now_us: u64, messages: Value) -> String {
    json!({"tUs": now_us, "msgs": messages}).to_string()
}

fn setup() -> Value {
    json!({
        "classes": [{"name": "a", "effect": "once", "giveUpUs": 8_000_000, "targetUs": 1_000_000, "worth": 1.0}],
        "hostTypes": ["k"], "azs": ["z"], "unheardOf": {"x": [1]},
        "extra": {"slots": 4, "kindApart": [false], "perCall": [1]},
        "limits": {"maxAttempts": 3, "maxOpen": 50, "retryAfter": true, "maxRetryAfterUs": 3_000_000}
    })
}

/// A batch that starts instance 3, gives it an endpoint list and submits message 900.
fn first_batch() -> String {
    batch(
        100,
        json!([
            ["born", 3, 99, setup()],
            ["defineList", 0, [[51, "ready", null, "z", 7, "k", 1]]],
            ["fleet", 3, "disk", 1, 0],
            ["submit", 3, 900, "a", null, null, 2_000_000, null, 7, 0]
        ]),
    )
}

fn actions(output: &Output, reply_index: usize) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("output is UTF-8");
    let line: Value =
        serde_json::from_str(text.lines().nth(reply_index).expect("reply exists")).expect("reply is JSON");
    line["do"].as_array().expect("actions are an array").clone()
}

#[test]
fn a_message_is_sent_and_fails_after_an_error_response() {
    let error_outcome = json!([["answer", 3, 900, 0, 51, 20, 5000, false, null, {"x0": 0.5, "odd": 1}]]);
    let output = run(&[batch(0, json!([])), first_batch(), batch(200, error_outcome)]);
    assert!(output.status.success());
    assert!(actions(&output, 0).is_empty());
    assert!(actions(&output, 1).contains(&json!(["relay", 3, 900, 51, 1_999_900 + 100])));
    assert!(actions(&output, 2).contains(&json!(["endFailed", 3, 900])));
}

#[test]
fn an_instance_that_is_created_again_keeps_no_messages() {
    let restart = json!([["powerOff", 3], ["born", 3, 5, setup()], ["gone", 3, 900]]);
    let output = run(&[first_batch(), batch(200, restart)]);
    assert!(output.status.success());
    assert!(actions(&output, 1).is_empty());
}

#[test]
fn malformed_input_gets_a_one_line_error_and_a_failure_exit() {
    for (line, expected) in [
        ("{".to_owned(), "JSON"),
        ("[]".to_owned(), "tUs"),
        (batch(1, json!({})), "msgs"),
        (batch(1, json!([7])), "array"),
        (batch(1, json!([["nonsense", 1]])), "nonsense"),
        (batch(1, json!([["tickDue", 44, "x"]])), "44"),
        (batch(1, json!([["born", 1, "seed", {}]])), "prng"),
        (batch(1, json!([["born", 1, 1, []]])), "settings"),
        (batch(1, json!([["submit", 3, 1, "b", null, null, 5, null, 7, 0]])), "\"b\""),
        (batch(1, json!([["fleet", 3, "diff", 1, 9]])), "9"),
        (batch(1, json!([["answer", 3, 900, 0, 51, 99, 5, false, null, null]])), "verdict"),
        ("{\"tUs\":1,\"msgs\":[[\"\u{1}".to_owned(), "JSON"),
    ] {
        let output = run(&[first_batch(), line.clone()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(error.contains(expected) && error.lines().count() == 1, "{line}: {error}");
        assert_eq!(
            output.stdout.iter().filter(|byte| **byte == b'\n').count(),
            1,
            "only the well-formed line has a reply"
        );
    }
}
