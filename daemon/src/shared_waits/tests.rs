//! What two processes of a forwarder tell each other of waits.

use super::*;
use std::fs::OpenOptions;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("onyxrock-waits-{name}-{}", std::process::id()))
}

fn wait(clock: &Clock, endpoint: &str, left_ms: u64) -> SharedRetryAfter {
    SharedRetryAfter { endpoint: endpoint.into(), until: clock.now().plus(Micros(left_ms * 1000)) }
}

fn names(told: &[SiblingEntry]) -> Vec<&str> {
    let name = |one: &SiblingEntry| match one {
        SiblingEntry::RetryAfter(wait) => wait.endpoint.clone(),
        SiblingEntry::Drain(drain) => format!("{} drains by {}", drain.endpoint, drain.generation),
        SiblingEntry::EndOfSnapshot => END_OF_SNAPSHOT.to_owned(),
    };
    told.iter().map(name).map(|name| &*name.leak()).collect()
}

#[test]
fn what_was_known_before_comes_first_and_each_wait_comes_once() {
    let (clock, path) = (Clock::default(), path("order"));
    let (mut writer, mut reader) = (WaitWriter::new(path.clone()), WaitReader::new(path.clone()));
    assert_eq!(reader.read(&clock).unwrap(), [], "there is no file yet");
    assert!(writer.needs_snapshot());
    let known = [wait(&clock, "a", 900), wait(&clock, "over", 0)];
    writer.write_snapshot(&clock, &known, &[]).unwrap();
    let told = reader.read(&clock).unwrap();
    assert_eq!(names(&told), ["a", "."], "a wait that is over is none");
    let SiblingEntry::RetryAfter(heard) = &told[0] else { panic!("{told:?}") };
    let off = heard.until.since(known[0].until).max(known[0].until.since(heard.until));
    assert!(off < Micros(20_000), "by the clock of another process: {off:?}");
    writer.append_retry_after(&clock, &wait(&clock, "b", 500)).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["b"]);
    assert_eq!(reader.read(&clock).unwrap(), []);
    drop(writer);
    assert!(!path.exists(), "it goes with its process's part in it");
}

#[test]
fn half_a_line_is_read_once_it_is_whole_and_noise_is_passed_over() {
    let (clock, path) = (Clock::default(), path("half"));
    let mut writer = WaitWriter::new(path.clone());
    let mut reader = WaitReader::new(path.clone());
    writer.write_snapshot(&clock, &[], &[]).unwrap();
    let mut file = OpenOptions::new().append(true).open(&path).unwrap();
    let whole = retry_after_line(&clock, &wait(&clock, "a", 900));
    file.write_all(b"noise\n\xff \n").unwrap();
    file.write_all(&whole.as_bytes()[..5]).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["."]);
    file.write_all(&whole.as_bytes()[5..]).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["a"]);
}

#[test]
fn a_file_that_grew_long_is_begun_anew() {
    let (clock, path) = (Clock::default(), path("long"));
    let mut writer = WaitWriter::new(path.clone());
    let mut reader = WaitReader::new(path);
    writer.write_snapshot(&clock, &[], &[]).unwrap();
    while !writer.needs_snapshot() {
        writer.append_retry_after(&clock, &wait(&clock, "s-00000000", 900)).unwrap();
    }
    assert!(reader.read(&clock).unwrap().len() > 1000);
    writer.write_snapshot(&clock, &[wait(&clock, "a", 900)], &[]).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["a", "."]);
}

#[test]
fn drains_are_told_with_the_version_of_their_list() {
    let (clock, path) = (Clock::default(), path("drains"));
    let (mut writer, mut reader) = (WaitWriter::new(path.clone()), WaitReader::new(path));
    let drain = |endpoint: &str, generation| SharedDrain { endpoint: endpoint.into(), generation };
    writer.write_snapshot(&clock, &[], &[drain("a", 7)]).unwrap();
    writer.append_drain(&drain("b", 8)).unwrap();
    assert_eq!(names(&reader.read(&clock).unwrap()), ["a drains by 7", ".", "b drains by 8"]);
}
