//! The waits files of two sibling processes.

use super::*;
use std::fs::OpenOptions;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("onyxrock-waits-{name}-{}", std::process::id()))
}

fn wait(clock: &Clock, endpoint: &str, ms_left: u64) -> SharedRetryAfter {
    SharedRetryAfter { endpoint: endpoint.into(), until: clock.now().plus(Micros(ms_left * 1000)) }
}

fn names(entries: &[SiblingEntry]) -> Vec<&str> {
    let name = |entry: &SiblingEntry| match entry {
        SiblingEntry::RetryAfter(wait) => wait.endpoint.clone(),
        SiblingEntry::Drain(drain) => format!("{} drains by {}", drain.endpoint, drain.generation),
        SiblingEntry::EndOfSnapshot => END_OF_SNAPSHOT.to_owned(),
    };
    entries.iter().map(name).map(|name| &*name.leak()).collect()
}

#[test]
fn the_snapshot_comes_first_and_each_retry_after_is_read_once() {
    let (clock, path) = (Clock::default(), path("order"));
    let (mut writer, mut reader) = (WaitsFileWriter::new(path.clone()), WaitsFileReader::new(path.clone()));
    assert_eq!(reader.read(&clock).unwrap(), [], "there is no file yet");
    assert!(writer.needs_snapshot());
    let known = [wait(&clock, "a", 900), wait(&clock, "over", 0)];
    writer.write_snapshot(&clock, &known, &[]).unwrap();
    let entries = reader.read(&clock).unwrap();
    assert_eq!(names(&entries), ["a", "."], "an expired retry-after must not be returned");
    let SiblingEntry::RetryAfter(received) = &entries[0] else { panic!("{entries:?}") };
    let difference = received.until.since(known[0].until).max(known[0].until.since(received.until));
    assert!(
        difference < Micros(20_000),
        "times must agree with the clock of the other process: {difference:?}"
    );
    writer.append_retry_after(&clock, &wait(&clock, "b", 500)).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["b"]);
    assert_eq!(reader.read(&clock).unwrap(), []);
    drop(writer);
    assert!(!path.exists(), "the file must be removed with its writer");
}

#[test]
fn an_incomplete_line_is_read_later_and_invalid_lines_are_skipped() {
    let (clock, path) = (Clock::default(), path("half"));
    let mut writer = WaitsFileWriter::new(path.clone());
    let mut reader = WaitsFileReader::new(path.clone());
    writer.write_snapshot(&clock, &[], &[]).unwrap();
    let mut file = OpenOptions::new().append(true).open(&path).unwrap();
    let line = retry_after_line(&clock, &wait(&clock, "a", 900));
    file.write_all(b"noise\n\xff \n").unwrap();
    file.write_all(&line.as_bytes()[..5]).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["."]);
    file.write_all(&line.as_bytes()[5..]).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["a"]);
}

#[test]
fn a_file_that_is_too_long_is_rewritten_and_read_again() {
    let (clock, path) = (Clock::default(), path("long"));
    let mut writer = WaitsFileWriter::new(path.clone());
    let mut reader = WaitsFileReader::new(path);
    writer.write_snapshot(&clock, &[], &[]).unwrap();
    while !writer.needs_snapshot() {
        writer.append_retry_after(&clock, &wait(&clock, "s-00000000", 900)).unwrap();
    }
    assert!(reader.read(&clock).unwrap().len() > 1000);
    writer.write_snapshot(&clock, &[wait(&clock, "a", 900)], &[]).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["a", "."]);
}

#[test]
fn drains_are_shared_with_the_generation_of_their_list() {
    let (clock, path) = (Clock::default(), path("drains"));
    let (mut writer, mut reader) = (WaitsFileWriter::new(path.clone()), WaitsFileReader::new(path));
    let drain = |endpoint: &str, generation| SharedDrain { endpoint: endpoint.into(), generation };
    writer.write_snapshot(&clock, &[], &[drain("a", 7)]).unwrap();
    writer.append_drain(&drain("b", 8)).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["a drains by 7", ".", "b drains by 8"]);
}
