//! What the module does with its messages, shown without a socket.

use super::*;
use onyxrock::interface::{ClassSettings, Effect, KindSettings, Settings};
use onyxrock::interface::{DestinationId, KindId, ListEntry, ZoneId};
use onyxrock_config::list::ListedEndpoint;
use onyxrock_roster::{DirectorySettings, HealthDecay};
use rstest::rstest;

fn module(folder: &std::path::Path) -> CoreActor {
    let shared = SharedState::for_test(bounded(8).0);
    let class =
        ClassSettings { give_up_after: Micros(9_000_000), effect: Effect::Unsafe, ..Default::default() };
    let settings = Settings {
        classes: vec![class],
        kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
        slots: 4,
        max_held: 9,
        max_attempts: 3,
        ..Settings::default()
    };
    let classes = [("a".to_owned(), 0)].into_iter().collect();
    let names = onyxrock::core::NameIndex { classes, ..Default::default() };
    let ledger = Ledger::new(settings, names, Default::default(), 1);
    let wal = Wal::open(folder, 1_000_000).unwrap().0;
    let rules = DirectorySettings {
        max_endpoints: 100,
        deactivate_after: None,
        health_decay: HealthDecay::default(),
        zones: BTreeMap::new(),
    };
    CoreActor::new(shared, ledger, wal, bounded(1).0, BTreeMap::new(), 4, Directory::new(rules))
}

/// An attempt of message 1 at the one endpoint.
fn asks(attempt: u32, begun: bool) -> PermitRequest {
    PermitRequest { number: 1, attempt, receiver: ReceiverId(1), partly_written: begun }
}

/// One that has a list and has taken on message 1, in a folder of its own.
fn busy(name: &str) -> (std::path::PathBuf, CoreActor, Micros) {
    let folder = std::env::temp_dir().join(format!("onyxrock-module-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut m = module(&folder);
    let now = m.shared.clock.now();
    m.on_list(now, list(EntryState::Ready));
    m.activate_destination(now, 1);
    let deadline = now.plus(Micros(5_000_000));
    let taken = AcceptedMessage {
        number: 1,
        class: "a".into(),
        destination: 1,
        deadline,
        ..AcceptedMessage::default()
    };
    assert!(m.log_now(&[Record::Accepted(taken.clone())]));
    m.ledger.accept(now, taken);
    (folder, m, now)
}

fn list(listing: EntryState) -> EndpointList {
    let entry = ListEntry {
        receiver: ReceiverId(0),
        state: listing,
        destination: DestinationId(1),
        kind: KindId(0),
        zone: ZoneId(0),
        weight: 9.0,
    };
    let address = "127.0.0.1:1".parse().unwrap();
    let listed = ListedEndpoint { name: "e".into(), address, zone: "z".into(), entry };
    EndpointList { generation: 1, complete: false, entries: vec![listed] }
}

/// A call may wait for its connection for longer than a drain leaves time to send.
#[test]
fn a_queued_call_is_not_written_once_its_endpoint_drains() {
    let folder = std::env::temp_dir().join(format!("onyxrock-module-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut m = module(&folder);
    let now = m.shared.clock.now();
    m.on_list(now, list(EntryState::Ready));
    m.activate_destination(now, 1);
    let taken = AcceptedMessage {
        number: 1,
        class: "a".into(),
        destination: 1,
        deadline: now.plus(Micros(5_000_000)),
        ..AcceptedMessage::default()
    };
    m.ledger.accept(now, taken);
    let mut steps = Vec::new();
    m.ledger.decide(now, true, &mut steps);
    assert!(matches!(steps[0], LedgerAction::Call { number: 1, .. }));
    assert_eq!(m.permit_call(now, asks(1, false)), Err(Verdict::Moot), "no such attempt");
    m.sending_stopped = true;
    assert_eq!(m.permit_call(now, asks(0, false)), Err(Verdict::HeldBack), "the process ends");
    m.sending_stopped = false;
    m.on_list(now, list(EntryState::Draining));
    assert_eq!(m.permit_call(now.plus(Micros(900_000)), asks(0, false)), Err(Verdict::HeldBack), "too late");
    assert_eq!(
        m.permit_call(now, asks(0, false)),
        Err(Verdict::HeldBack),
        "at once, however late the list came"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Its client may be gone. Until the module's yes to a call it can be taken back; then it cannot, and says so.
#[rstest]
fn what_has_begun_is_not_taken_back(#[values(false, true)] begun: bool) {
    let (folder, mut m, now) = busy(&format!("back-{begun}"));
    m.ledger.decide(now, true, &mut Vec::new());
    if begun {
        assert!(m.permit_call(now, asks(0, false)).is_ok());
    }
    let (reply, back) = bounded(1);
    m.handle(CoreMessage::WithdrawIfUntried(1, reply));
    assert_eq!((back.try_recv(), m.ledger.get(1).is_some()), (Ok(!begun), begun));
    let logged = recover(Wal::open(&folder, 1_000_000).unwrap().1.records);
    assert_eq!(logged.contains_key(&1), begun, "the next process knows it, too");
    if !begun {
        assert_eq!(m.permit_call(now, asks(0, false)), Err(Verdict::Moot), "its call was queued");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Where lists are pushed, the list that a start has from before may be old: nothing goes out on it for a moment.
#[rstest]
#[case::it_drains(Some(EntryState::Draining), 0)]
#[case::it_is_there(Some(EntryState::Ready), 1)]
#[case::no_list_comes(None, 1)]
fn nothing_goes_out_before_the_first_list(#[case] told: Option<EntryState>, #[case] calls: usize) {
    let folder = std::env::temp_dir().join(format!("onyxrock-module-first-{}", std::process::id()));
    let folder = folder.join(format!("{told:?}-{calls}"));
    std::fs::create_dir_all(&folder).unwrap();
    let mut m = module(&folder);
    let now = m.shared.clock.now();
    m.load_cached_list(list(EntryState::Ready));
    m.first_list = Some(FirstListHold::new(now));
    m.activate_destination(now, 1);
    let deadline = now.plus(Micros(5_000_000));
    m.ledger.accept(
        now,
        AcceptedMessage {
            number: 1,
            class: "a".into(),
            destination: 1,
            deadline,
            ..AcceptedMessage::default()
        },
    );
    m.process_due_work();
    let queued = |m: &CoreActor| m.mailboxes.values().map(Sender::len).sum::<usize>();
    assert_eq!(queued(&m), 0);
    match told {
        Some(listing) => m.on_list(m.shared.clock.now(), list(listing)),
        // The source is silent: what it knows may be as old.
        None => m.first_list = Some(FirstListHold::new(Micros(now.0 - 6_000_000))),
    }
    m.process_due_work();
    let called = m.mailboxes.values().filter(|b| !b.is_empty()).count();
    assert_eq!(called, calls);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// An endpoint moves while a connection to where it was comes up: whoever is there now is another.
#[test]
fn a_call_is_not_written_to_where_its_endpoint_was() {
    let (folder, mut m, now) = busy("moved");
    let at = list(EntryState::Ready).entries[0].address;
    m.ledger.decide(now, true, &mut Vec::new());
    let mut moved = list(EntryState::Ready);
    moved.entries[0].address = "127.0.0.1:2".parse().unwrap();
    let there = moved.entries[0].address;
    m.on_list(now, moved);
    let mut asks = |at| {
        let (reply, says) = bounded(1);
        m.handle(CoreMessage::RequestPermit { request: asks(0, false), address: at, reply });
        says.try_recv().unwrap()
    };
    assert_eq!(asks(at), Err(Verdict::HeldBack));
    assert!(asks(there).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The operators' case: one call is decided on and its connection is late; another is told a wait meanwhile. As soon
/// as the head of that answer is read, the first must not leave, and it is none of its message's attempts.
#[test]
fn a_call_that_was_decided_before_a_wait_was_told_is_not_written_within_it() {
    let (folder, mut m, now) = busy("wait");
    let mut steps = Vec::new();
    m.ledger.decide(now, true, &mut steps);
    let to = ReceiverId(1);
    let (told, late) = (now.plus(Micros(300_000)), now.plus(Micros(900_000)));
    assert!(m.permit_call(told, asks(0, false)).is_ok(), "nothing was told yet");
    m.handle(CoreMessage::RetryAfter { receiver: to, until: told.plus(Micros(2_000_000)) });
    assert_eq!(
        m.permit_call(late, asks(0, true)),
        Err(Verdict::HeldBack),
        "its last byte would come too late"
    );
    assert_eq!(m.shared.counters.held_back_wait.get(), 1);
    let (elapsed, verdict) = (late.since(now), Verdict::HeldBack);
    let (finished, limit) = (false, (None, None));
    let held_back = AttemptOutcome {
        number: 1,
        attempt: 0,
        receiver: to,
        verdict,
        elapsed,
        finished,
        load_report: limit,
        wait_until: Micros(0),
    };
    m.on_attempt_ended(late, &held_back);
    assert_eq!(m.ledger.get(1).map(|o| (o.attempts, o.in_flight.len())), Some((0, 0)));
    m.ledger.decide(late, true, &mut steps);
    assert_eq!(steps.len(), 1, "nor is it decided on again");
    let over = told.plus(Micros(2_000_000));
    m.ledger.decide(over, true, &mut steps);
    assert!(matches!(steps[1..], [LedgerAction::Call { number: 1, attempt: 1, .. }]), "{steps:?}");
    assert!(m.permit_call(over, asks(1, false)).is_ok());
    assert_eq!(m.ledger.get(1).map(|o| o.attempts), Some(1));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The other log could not be cleared, and what came out of it has ended here meanwhile: it is not sent again. Nor by
/// the process after this one.
#[test]
fn what_was_taken_over_and_has_ended_is_not_taken_over_again() {
    let folder = std::env::temp_dir().join(format!("onyxrock-module-again-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let claim = crate::state_folder::Claim::acquire(&folder).unwrap();
    let mut m = module(&folder);
    let now = m.shared.clock.now();
    let deadline = now.plus(Micros(5_000_000));
    let mut log = Vec::new();
    let id = "id-1".to_owned();
    Record::Accepted(AcceptedMessage {
        number: 1,
        request_id: id,
        class: "a".into(),
        destination: 1,
        deadline,
        ..AcceptedMessage::default()
    })
    .write(&mut log);
    std::fs::write(&claim.other_logs()[0], &log).unwrap();
    let Ok(crate::state_folder::OtherProcess::Gone(left)) = claim.check_other() else {
        panic!("nobody is there")
    };
    m.copy_open_messages(&left).unwrap();
    let n = m.ledger.open_messages().next().expect("it is taken over").accepted.number;
    m.handle(CoreMessage::NoticeDelivered(n));
    m.copy_open_messages(&left).unwrap();
    assert_eq!(m.ledger.open_messages().count(), 0, "its log is still there");
    let scan = Wal::open(&folder, 1_000_000).unwrap().1;
    let mut next = module(&folder);
    next.note_logged_messages(&scan.records);
    next.copy_open_messages(&left).unwrap();
    assert_eq!(next.ledger.open_messages().count(), 0, "killed before it could be cleared");
    next.take_over_log(&left).unwrap();
    assert!(!left.exists() && next.logged_keys.is_empty());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Killed between the two logs, a process leaves a message in both; what may have run there is not forgotten.
#[test]
fn what_another_process_owed_is_taken_over_once() {
    let folder = std::env::temp_dir().join(format!("onyxrock-module-adopt-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let claim = crate::state_folder::Claim::acquire(&folder).unwrap();
    let mut m = module(&folder);
    let now = m.shared.clock.now();
    m.on_list(now, list(EntryState::Ready));
    let deadline = now.plus(Micros(5_000_000));
    let taken = |n: u64| AcceptedMessage {
        number: n,
        request_id: format!("id-{n}"),
        class: "a".into(),
        destination: 1,
        deadline,
        ..AcceptedMessage::default()
    };
    let (endpoint, zone) = ("e".to_owned(), "z".to_owned());
    let mut log = Vec::new();
    Record::Accepted(taken(1)).write(&mut log);
    Record::Accepted(taken(2)).write(&mut log);
    Record::Attempt { number: 2, attempt: 0, endpoint, zone, at: now }.write(&mut log);
    m.ledger.accept(now, AcceptedMessage { number: 1, request_id: "ours".into(), ..taken(1) });
    for _ in 0..2 {
        std::fs::write(&claim.other_logs()[0], &log).unwrap();
        let Ok(crate::state_folder::OtherProcess::Gone(left)) = claim.check_other() else {
            panic!("nobody is there")
        };
        m.try_take_over_log(&left);
        assert!(!left.exists());
    }
    let owed: Vec<_> = m
        .ledger
        .open_messages()
        .map(|o| (o.accepted.number, o.accepted.request_id.as_str(), o.first_possible_run.is_some()))
        .collect();
    assert_eq!(owed, [(1, "ours", false), (2, "id-1", false), (3, "id-2", true)]);
    let mut steps = Vec::new();
    m.ledger.decide(now, true, &mut steps);
    let ended = |s: &LedgerAction| {
        matches!(s, LedgerAction::ReportFinalStatus { number: 3, status: FinalStatus::Failed })
    };
    assert_eq!(steps.iter().filter(|s| ended(s)).count(), 1, "unsafe: not repeated");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The grace of a second is the start's own; behind it nothing goes out on a list that may be old, until a source that says
/// nothing for so long has to be down.
#[test]
fn a_start_without_its_first_list_sends_within_the_grace_alone() {
    let start = Micros(1_000_000_000);
    let at = |ms: u64| start.plus(Micros(ms * 1000));
    let mut first_list = FirstListHold::new(start);
    assert!(first_list.holds(start));
    first_list.failed(at(30));
    let held: Vec<_> =
        [30, 800, 850, 3000, 5999, 6000].into_iter().filter(|ms| first_list.holds(at(*ms))).collect();
    assert_eq!(held, [850, 3000, 5999]);
    assert_eq!((first_list.due(at(30)), first_list.due(at(850))), (Some(at(850)), Some(at(6000))));
    assert_eq!(first_list.due(at(6000)), None);
}

/// A folder that takes nothing for a while: what needs its record first is refused, and what has happened is written later.
#[test]
fn what_could_not_be_written_is_written_later_and_in_order() {
    let (folder, mut m, now) = busy("unwritten");
    let log = folder.join(crate::state_folder::PROCESS_FILES[0].log);
    m.ledger.decide(now, true, &mut Vec::new());
    assert!(m.permit_call(now, asks(0, false)).is_ok());
    let logged = || recover(Wal::open(&folder, 1_000_000).unwrap().1.records);
    let before = std::fs::read(&log).unwrap();
    // The log has no room at all.
    m.wal = Wal::open(&folder, 0).unwrap().0;
    let n = 1;
    m.log_or_queue(Some(Record::Outcome {
        number: n,
        attempt: 0,
        status: onyxrock::core::AttemptStatus::NeverRan,
    }));
    m.log_or_queue(Some(Record::Closed(n)));
    assert_eq!(std::fs::read(&log).unwrap(), before, "nothing was written");
    assert_eq!(m.shared.counters.wal_waiting.get(), 2);
    assert!(
        !m.log_now(&[Record::Accepted(AcceptedMessage { number: 2, ..AcceptedMessage::default() })]),
        "and nothing is taken on"
    );
    assert!(logged().contains_key(&n));
    let due = m.unwritten.due().expect("it is tried again");
    m.wal = Wal::open(&folder, 1_000_000).unwrap().0;
    m.retry_queued_records(due);
    assert_eq!((m.unwritten.due(), m.shared.counters.wal_waiting.get()), (None, 0));
    assert!(logged().is_empty(), "it is over for the next process, too");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A record that must be there first goes behind those that wait: an attempt behind the outcome of the one before it.
#[test]
fn a_record_goes_behind_those_that_wait() {
    let (folder, mut m, now) = busy("behind");
    m.wal = Wal::open(&folder, 0).unwrap().0;
    m.log_or_queue(Some(Record::FinalStatus { number: 1, status: FinalStatus::Failed }));
    m.wal = Wal::open(&folder, 1_000_000).unwrap().0;
    let taken =
        AcceptedMessage { number: 2, deadline: now.plus(Micros(5_000_000)), ..AcceptedMessage::default() };
    assert!(m.log_now(&[Record::Accepted(taken)]));
    let records = Wal::open(&folder, 1_000_000).unwrap().1.records;
    assert!(
        matches!(
            records[..],
            [Record::Accepted(_), Record::FinalStatus { number: 1, .. }, Record::Accepted(_)]
        ),
        "{records:?}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A call may be decided on and wait for its connection when an operator takes its endpoint out.
#[test]
fn a_queued_call_is_not_written_once_operators_have_taken_its_endpoint_out() {
    let (folder, mut m, now) = busy("maintenance");
    m.ledger.decide(now, true, &mut Vec::new());
    let change = |endpoint: &str, out| crate::maintenance::MaintenanceChange {
        endpoint: endpoint.into(),
        in_maintenance: out,
    };
    assert_eq!(m.change_maintenance(now, change("nobody", true)), MaintenanceReply::UnknownEndpoint);
    assert_eq!(m.change_maintenance(now, change("e", true)), MaintenanceReply::Done);
    assert_eq!(m.permit_call(now, asks(0, false)), Err(Verdict::HeldBack));
    assert_eq!(m.shared.counters.held_back_maintenance.get(), 1);
    m.on_list(now, list(EntryState::Ready));
    assert_eq!(m.permit_call(now, asks(0, false)), Err(Verdict::HeldBack), "whatever the list says");
    assert_eq!(m.change_maintenance(now, change("e", false)), MaintenanceReply::Done);
    assert!(m.permit_call(now, asks(0, false)).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The folder takes nothing: the call holds all the same, says so, and is written later.
#[test]
fn a_call_of_operators_holds_over_a_folder_that_fails() {
    let (folder, mut m, now) = busy("maintenance-folder");
    // The next file cannot be written while a folder has its name.
    let [file, next] = crate::maintenance::files(&folder);
    std::fs::create_dir(&next).unwrap();
    let change = crate::maintenance::MaintenanceChange { endpoint: "e".into(), in_maintenance: true };
    assert!(matches!(m.change_maintenance(now, change), MaintenanceReply::NotPersisted(_)));
    m.reload_maintenance(now);
    assert!(m.directory.maintenance().contains("e"), "the file does not say it yet");
    std::fs::remove_dir(&next).unwrap();
    m.retry_maintenance(m.maintenance_due().expect("it is tried again"));
    assert_eq!((m.maintenance_due(), std::fs::read_to_string(file).unwrap().as_str()), (None, "e\n"));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A process that ends sends nothing new, and owes the ends of what it still has: nobody else can tell them before it is gone.
#[rstest]
#[case::untried(false, FinalStatus::Returned(None))]
#[case::may_have_run(true, FinalStatus::Failed)]
fn a_process_that_ends_tells_ends_in_time(#[case] called: bool, #[case] end: FinalStatus) {
    let (folder, mut m, now) = busy(&format!("expiry-{called}"));
    m.ledger.decide(now, true, &mut Vec::new());
    if called {
        assert!(m.permit_call(now, asks(0, false)).is_ok());
    }
    m.handle(CoreMessage::StopSending);
    let deadline = m.ledger.get(1).expect("it is owed").accepted.deadline;
    assert_eq!(m.due(now), (!called).then_some(deadline), "a call that is out is waited for");
    let verdict = if called { Verdict::TimedOut } else { Verdict::HeldBack };
    let (finished, limit, told) = (false, (None, None), Micros(0));
    let elapsed = Micros(1);
    m.on_attempt_ended(
        now,
        &AttemptOutcome {
            number: 1,
            attempt: 0,
            receiver: ReceiverId(1),
            verdict,
            elapsed,
            finished,
            load_report: limit,
            wait_until: told,
        },
    );
    assert_eq!(m.due(now), Some(deadline));
    let mut steps = Vec::new();
    m.ledger.expire(Micros(deadline.0 - 1), &mut steps);
    assert_eq!(steps, []);
    m.ledger.expire(deadline, &mut steps);
    assert_eq!(steps, [LedgerAction::ReportFinalStatus { number: 1, status: end }]);
    assert_eq!(m.due(now), None);
    std::fs::remove_dir_all(&folder).unwrap();
}
