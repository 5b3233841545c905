//! The log in a folder that fails, is full, or was left by a process that died.

use super::*;
use onyxrock::core::{AcceptedMessage, AttemptStatus, scan_log};
use onyxrock::interface::Micros;
use rstest::rstest;
use rustix::fs::{MemfdFlags, SealFlags, fcntl_add_seals, memfd_create};
use std::collections::BTreeMap;
use std::os::unix::fs::FileExt;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxrock-wal-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
    /// Bytes of all files in whole blocks of 512 bytes, as the platform counts them.
    fn used(&self) -> u64 {
        let files = std::fs::read_dir(&self.0).unwrap();
        files.map(|f| f.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn put(wal: &mut Wal, open_messages: &mut BTreeMap<u64, OpenMessage>, record: &Record) -> bool {
    let purpose = match record {
        Record::Accepted(_) => WritePurpose::Acceptance,
        _ => WritePurpose::FollowUp,
    };
    if wal.append(std::slice::from_ref(record), purpose, || Box::new(open_messages.values())).is_err() {
        return false;
    }
    match record {
        Record::Accepted(message) => drop(
            open_messages
                .insert(message.number, OpenMessage { accepted: message.clone(), ..OpenMessage::default() }),
        ),
        other if open_messages.get_mut(&other.number()).is_some_and(|o| !o.apply(other)) => {
            drop(open_messages.remove(&other.number()))
        }
        _ => {}
    }
    true
}

#[test]
fn a_log_under_long_use_stays_within_its_budget_and_loses_nothing() {
    const BOUND: u64 = 500_000;
    let folder = Folder::new("life");
    let (mut wal, _) = Wal::open(&folder.0, BOUND).unwrap();
    let (mut open_messages, mut refused) = (BTreeMap::new(), 0);
    for n in 1..4000u64 {
        let body = vec![n as u8; if n % 50 == 0 { 60_000 } else { 300 }];
        let accepted = AcceptedMessage {
            number: n,
            request_id: format!("{n}"),
            deadline: Micros(n),
            body: body.into(),
            ..AcceptedMessage::default()
        };
        if !put(&mut wal, &mut open_messages, &Record::Accepted(accepted)) {
            refused += 1;
            continue;
        }
        let at = Micros(n);
        // The later records of each accepted message must fit: a run in which they cannot be logged is
        // lost.
        assert!(put(
            &mut wal,
            &mut open_messages,
            &Record::Attempt { number: n, attempt: 0, endpoint: "e".into(), zone: "z".into(), at }
        ));
        assert!(put(
            &mut wal,
            &mut open_messages,
            &Record::Outcome { number: n, attempt: 0, status: AttemptStatus::MayHaveRun }
        ));
        if n > 200 {
            assert!(put(&mut wal, &mut open_messages, &Record::Closed(n - 200)));
        }
        assert!(folder.used() <= BOUND);
    }
    assert!(refused > 0 && wal.compactions > 0, "{refused} refused, {} rewritten", wal.compactions);
    let (_, logged) = Wal::open(&folder.0, BOUND).unwrap();
    assert_eq!((logged.damaged_bytes, logged.open), (0, open_messages));
}

#[test]
fn a_rewrite_interrupted_by_a_crash_changes_nothing() {
    let folder = Folder::new("cut");
    let (mut wal, _) = Wal::open(&folder.0, 1_000_000).unwrap();
    let accepted = Record::Accepted(AcceptedMessage { number: 7, ..AcceptedMessage::default() });
    assert!(put(&mut wal, &mut BTreeMap::new(), &accepted));
    std::fs::write(folder.0.join(PROCESS_FILES[0].new), b"half of a rec").unwrap();
    let (mut wal, logged) = Wal::open(&folder.0, 1_000_000).unwrap();
    let log = std::fs::read(folder.0.join(PROCESS_FILES[0].log)).unwrap();
    assert_eq!(scan_log(&log).records, [accepted]);
    wal.compact(logged.open.values()).unwrap();
    assert_eq!(Wal::open(&folder.0, 1_000_000).unwrap().1.open.len(), 1);
}

/// A failed write may leave part of a record that cannot be truncated. The records behind it must stay,
/// whatever fails later.
#[test]
fn a_partial_record_that_stays_does_not_remove_later_records() {
    let folder = Folder::new("half");
    let (mut wal, _) = Wal::open(&folder.0, 1_000_000).unwrap();
    // This file cannot be made shorter.
    let sealed = memfd_create("log", MemfdFlags::ALLOW_SEALING).unwrap();
    fcntl_add_seals(&sealed, SealFlags::SHRINK).unwrap();
    wal.file = File::from(sealed);
    let mut open_messages = BTreeMap::new();
    let accepted = |n: u64| {
        Record::Accepted(AcceptedMessage { number: n, deadline: Micros(n), ..AcceptedMessage::default() })
    };
    assert!(put(&mut wal, &mut open_messages, &accepted(1)));
    let mut partial = Vec::new();
    accepted(2).write(&mut partial);
    partial.truncate(partial.len() / 2);
    wal.file.write_all(&partial).unwrap();
    wal.truncate_failed_write(partial.len() as u64 * 2);
    assert!(put(&mut wal, &mut open_messages, &accepted(3)));
    let length = wal.file.metadata().unwrap().len();
    assert_eq!(wal.size(), length, "a later truncation must keep what has been written since");
    let mut bytes = vec![0; length as usize];
    wal.file.read_exact_at(&mut bytes, 0).unwrap();
    let scan = scan_log(&bytes);
    assert_eq!((scan.records, scan.damaged_bytes), (vec![accepted(1), accepted(3)], partial.len()));
}

/// Guards against messages that can be accepted and never be taken over: two processes share the budget, each
/// accepts as many messages as it may, and whichever is left copies what the other one owes.
#[rstest]
fn what_two_processes_accept_can_be_taken_over(
    #[values(300, 56 * 1024)] body_bytes: usize, #[values(0, 30, 60, 100)] first_share_percent: u64,
    #[values(0, 1)] survivor: usize,
) {
    const BOUND: u64 = 1_500_000;
    let folder = Folder::new(&format!("both-{body_bytes}-{first_share_percent}-{survivor}"));
    let claims = [Claim::acquire(&folder.0).unwrap(), Claim::acquire(&folder.0).unwrap()];
    let mut logs = claims.each_ref().map(|claim| Wal::open_claimed(claim, BOUND).unwrap().0);
    let mut open_messages = [BTreeMap::new(), BTreeMap::new()];
    let mut accept = |index: usize, most_bytes: u64| {
        let (wal, open_messages): (&mut Wal, &mut BTreeMap<_, _>) =
            (&mut logs[index], &mut open_messages[index]);
        while wal.size() < most_bytes {
            let number = open_messages.len() as u64 + 1;
            let accepted =
                AcceptedMessage { number, body: vec![b'x'; body_bytes].into(), ..AcceptedMessage::default() };
            if !put(wal, open_messages, &Record::Accepted(accepted)) {
                return;
            }
            let (endpoint, zone) = ("e".to_owned(), "z".to_owned());
            let attempt = Record::Attempt { number, attempt: 0, endpoint, zone, at: Micros(number) };
            if number.is_multiple_of(8) {
                assert!(put(wal, open_messages, &attempt), "what has been accepted can be attempted");
            }
        }
    };
    accept(0, BOUND / 2 * first_share_percent / 100);
    accept(1, BOUND);
    accept(0, BOUND);
    let records: Vec<_> = open_messages[1 - survivor].values().flat_map(OpenMessage::records).collect();
    let own_messages = &open_messages[survivor];
    logs[survivor].append(&records, WritePurpose::Takeover, || Box::new(own_messages.values())).unwrap();
    assert!(folder.used() <= BOUND, "{} bytes of {BOUND}", folder.used());
    claims[survivor].other_logs().iter().for_each(|log| remove_if_exists(log).unwrap());
    // The messages that have been taken over need their later records.
    let mut all_messages = own_messages.clone();
    let shift = all_messages.len() as u64;
    all_messages.extend(open_messages[1 - survivor].iter().map(|(n, open)| (n + shift, open.clone())));
    for number in all_messages.keys().copied().collect::<Vec<_>>() {
        assert!(put(&mut logs[survivor], &mut all_messages, &Record::Closed(number)), "message {number}");
    }
    assert!(folder.used() <= BOUND, "{} bytes of {BOUND}", folder.used());
}

/// Guards against a process that does nothing but rewrite its log: each refused message rewrote a log that is full of open
/// messages, and each message that ended made room for one more rewrite.
#[test]
fn a_log_full_of_open_messages_is_not_rewritten_for_each_message() {
    const BOUND: u64 = 3_000_000;
    const BODY_BYTES: usize = 20_000;
    let folder = Folder::new("full");
    let (mut wal, _) = Wal::open(&folder.0, BOUND).unwrap();
    let mut open_messages = BTreeMap::new();
    let accepted = |number: u64| {
        let body = vec![b'x'; BODY_BYTES].into();
        Record::Accepted(AcceptedMessage { number, body, ..AcceptedMessage::default() })
    };
    let mut next = 1;
    while put(&mut wal, &mut open_messages, &accepted(next)) {
        next += 1;
    }
    let before = wal.compactions;
    assert!((0..500).all(|n| !put(&mut wal, &mut open_messages, &accepted(next + n))));
    assert_eq!(wal.compactions, before, "rewritten although that makes no room");
    // From here on each message that ends is followed by ten that come.
    let (mut ended, mut taken) = (0, 0);
    for _ in 0..200 {
        let oldest = *open_messages.keys().next().unwrap();
        ended += u64::from(put(&mut wal, &mut open_messages, &Record::Closed(oldest)));
        next += 1;
        taken += (0..10).filter(|n| put(&mut wal, &mut open_messages, &accepted(next * 1000 + n))).count();
    }
    assert!(taken as u64 * 10 >= ended * 8, "{taken} taken after {ended} had ended");
    let rewritten = wal.compactions - before;
    assert!(rewritten <= ended / 4, "rewritten {rewritten} times for {ended} messages that ended");
    assert!(folder.used() <= BOUND);
}
