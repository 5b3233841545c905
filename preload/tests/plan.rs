//! Parsing of fault plans, and the errors of invalid ones.

use onyxrock_preload::fault_plan::{FaultPlan, WriteFault, parse};

#[test]
fn a_valid_plan_is_parsed() {
    let plan =
        parse("write = \"ENOSPC\"  # a full disk\npath = \"onyxrock.log\"\ntruncate = true\n").unwrap();
    let write = Some(WriteFault::Errno(28));
    assert_eq!(plan, FaultPlan { write, truncate: true, path: "onyxrock.log".into() });
    assert_eq!(parse("").unwrap(), FaultPlan::default());
}

#[test]
fn an_invalid_line_is_refused_by_its_number_and_key() {
    for (text, expected) in [
        ("write = \"ENOENT\"", "line 1: write: no such error: write = \"ENOENT\""),
        ("\nread = \"EIO\"", "line 2: no such key: read = \"EIO\""),
        ("path = \"../x\"", "line 1: path: a part of a path inside the folder: path = \"../x\""),
        ("truncate = 1", "line 1: truncate: true or false: truncate = 1"),
        ("write", "line 1: not key = value: write"),
        ("write = \"EIO\"", "path: missing"),
    ] {
        assert_eq!(parse(text), Err(expected.to_owned()));
    }
}
