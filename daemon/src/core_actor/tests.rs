//! The core actor's handling of its messages, tested without sockets.

use super::*;
use crate::state_folder::PROCESS_FILES;
use onyxrock::core::{AcceptedMessage, scan_log};
use onyxrock::interface::{ClassSettings, Effect, KindSettings, Settings};
use onyxrock::interface::{DestinationId, KindId, ListEntry, ZoneId};
use onyxrock_config::list::ListedEndpoint;
use onyxrock_roster::{DirectorySettings, HealthDecay};
use rstest::rstest;

fn new_actor(folder: &std::path::Path) -> CoreActor {
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
    let directory_settings = DirectorySettings {
        max_endpoints: 100,
        deactivate_after: None,
        health_decay: HealthDecay::default(),
        zones: BTreeMap::new(),
    };
    CoreActor::new(shared, ledger, wal, bounded(1).0, BTreeMap::new(), 4, Directory::new(directory_settings))
}

/// A permit request for an attempt of message 1 at the only endpoint.
fn permit_request(attempt: u32, partly_written: bool) -> PermitRequest {
    PermitRequest { number: 1, attempt, receiver: ReceiverId(1), partly_written }
}

/// An actor with an endpoint list that has accepted message 1, in a state folder of its own.
fn actor_with_message(name: &str) -> (std::path::PathBuf, CoreActor, Micros) {
    let folder = std::env::temp_dir().join(format!("onyxrock-actor-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut actor = new_actor(&folder);
    let now = actor.shared.clock.now();
    actor.on_list(now, list_with(EntryState::Ready));
    actor.activate_destination(now, 1);
    let deadline = now.plus(Micros(5_000_000));
    let message = AcceptedMessage {
        number: 1,
        class: "a".into(),
        destination: 1,
        deadline,
        ..AcceptedMessage::default()
    };
    assert!(actor.log_now(&[Record::Accepted(message.clone())], WritePurpose::Acceptance));
    actor.ledger.accept(now, message);
    (folder, actor, now)
}

fn list_with(state: EntryState) -> EndpointList {
    let entry = ListEntry {
        receiver: ReceiverId(0),
        state,
        destination: DestinationId(1),
        kind: KindId(0),
        zone: ZoneId(0),
        weight: 9.0,
    };
    let address = "127.0.0.1:1".parse().unwrap();
    let listed = ListedEndpoint { name: "e".into(), address, zone: "z".into(), entry, started_ms: 0 };
    EndpointList { generation: 1, complete: false, entries: vec![listed] }
}

/// A queued call may wait for its connection longer than a drain allows calls; it must not be written then.
#[test]
fn a_queued_call_is_not_written_after_its_endpoint_began_to_drain() {
    let folder = std::env::temp_dir().join(format!("onyxrock-actor-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut actor = new_actor(&folder);
    let now = actor.shared.clock.now();
    actor.on_list(now, list_with(EntryState::Ready));
    actor.activate_destination(now, 1);
    let message = AcceptedMessage {
        number: 1,
        class: "a".into(),
        destination: 1,
        deadline: now.plus(Micros(5_000_000)),
        ..AcceptedMessage::default()
    };
    actor.ledger.accept(now, message);
    let mut actions = Vec::new();
    actor.ledger.decide(now, Sending::Allowed, &mut actions);
    assert!(matches!(actions[0], LedgerAction::Call { number: 1, .. }));
    assert_eq!(
        actor.permit_call(now, permit_request(1, false)),
        Err(Verdict::Moot),
        "there is no such attempt"
    );
    actor.sending_stopped = true;
    assert_eq!(
        actor.permit_call(now, permit_request(0, false)),
        Err(Verdict::HeldBack),
        "the process shuts down"
    );
    actor.sending_stopped = false;
    actor.on_list(now, list_with(EntryState::Draining));
    assert_eq!(
        actor.permit_call(now.plus(Micros(900_000)), permit_request(0, false)),
        Err(Verdict::HeldBack),
        "too long after the drain"
    );
    assert_eq!(
        actor.permit_call(now, permit_request(0, false)),
        Err(Verdict::HeldBack),
        "the drain applies at once, however late the list came"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A message whose client may be gone can be withdrawn until a call is permitted. After that it must not be
/// withdrawn, and the reply has to say so.
#[rstest]
fn a_message_is_not_withdrawn_after_its_call_is_permitted(#[values(false, true)] permitted: bool) {
    let (folder, mut actor, now) = actor_with_message(&format!("back-{permitted}"));
    actor.ledger.decide(now, Sending::Allowed, &mut Vec::new());
    if permitted {
        assert!(actor.permit_call(now, permit_request(0, false)).is_ok());
    }
    let (reply, withdrawn) = bounded(1);
    actor.handle(CoreMessage::WithdrawIfUntried(1, reply));
    assert_eq!((withdrawn.try_recv(), actor.ledger.get(1).is_some()), (Ok(!permitted), permitted));
    let logged = Wal::open(&folder, 1_000_000).unwrap().1.open;
    assert_eq!(logged.contains_key(&1), permitted, "the log must agree");
    if !permitted {
        assert_eq!(
            actor.permit_call(now, permit_request(0, false)),
            Err(Verdict::Moot),
            "the queued call of a withdrawn message"
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// With pushed lists, the cached list of a start may be old: a call sent on it could reach an endpoint that
/// drains. No calls are sent until the first list arrives, or discovery has been silent for too long.
#[rstest]
#[case::list_reports_a_drain(Some(EntryState::Draining), 0)]
#[case::list_reports_ready(Some(EntryState::Ready), 1)]
#[case::no_list_comes(None, 1)]
fn no_call_is_sent_on_the_cached_list_before_the_first_list(
    #[case] listed_state: Option<EntryState>, #[case] calls: usize,
) {
    let folder = std::env::temp_dir().join(format!("onyxrock-actor-first-{}", std::process::id()));
    let folder = folder.join(format!("{listed_state:?}-{calls}"));
    std::fs::create_dir_all(&folder).unwrap();
    let mut actor = new_actor(&folder);
    let now = actor.shared.clock.now();
    actor.load_cached_list(list_with(EntryState::Ready));
    actor.first_list = Some(FirstListHold::new(now));
    actor.activate_destination(now, 1);
    let deadline = now.plus(Micros(5_000_000));
    actor.ledger.accept(
        now,
        AcceptedMessage {
            number: 1,
            class: "a".into(),
            destination: 1,
            deadline,
            ..AcceptedMessage::default()
        },
    );
    actor.process_due_work();
    let queued = |actor: &CoreActor| actor.mailboxes.values().map(Sender::len).sum::<usize>();
    assert_eq!(queued(&actor), 0);
    match listed_state {
        Some(state) => actor.on_list(actor.shared.clock.now(), list_with(state)),
        // Discovery is silent: what it knows may be as old.
        None => actor.first_list = Some(FirstListHold::new(Micros(now.0 - 6_000_000))),
    }
    actor.process_due_work();
    let called = actor.mailboxes.values().filter(|mailbox| !mailbox.is_empty()).count();
    assert_eq!(called, calls);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// An endpoint's address changes while a connection to the old one is being opened: another endpoint may
/// listen there now.
#[test]
fn a_call_is_not_written_to_the_former_address_of_its_endpoint() {
    let (folder, mut actor, now) = actor_with_message("moved");
    let former_address = list_with(EntryState::Ready).entries[0].address;
    actor.ledger.decide(now, Sending::Allowed, &mut Vec::new());
    let mut moved_list = list_with(EntryState::Ready);
    moved_list.entries[0].address = "127.0.0.1:2".parse().unwrap();
    let new_address = moved_list.entries[0].address;
    actor.on_list(now, moved_list);
    let mut request_permit = |address| {
        let (reply, decision) = bounded(1);
        actor.handle(CoreMessage::RequestPermit { request: permit_request(0, false), address, reply });
        decision.try_recv().unwrap()
    };
    assert_eq!(request_permit(former_address), Err(Verdict::HeldBack));
    assert!(request_permit(new_address).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The connection of a decided call is slow, and another call gets a retry-after meanwhile. As soon as the
/// head of that response is read, the first call must not be sent, and does not count as an attempt.
#[test]
fn a_call_decided_before_a_retry_after_is_not_written_during_it() {
    let (folder, mut actor, now) = actor_with_message("wait");
    let mut actions = Vec::new();
    actor.ledger.decide(now, Sending::Allowed, &mut actions);
    let receiver = ReceiverId(1);
    let (response_at, connected_at) = (now.plus(Micros(300_000)), now.plus(Micros(900_000)));
    assert!(
        actor.permit_call(response_at, permit_request(0, false)).is_ok(),
        "no retry-after has arrived yet"
    );
    actor.handle(CoreMessage::RetryAfter { receiver, until: response_at.plus(Micros(2_000_000)) });
    assert_eq!(
        actor.permit_call(connected_at, permit_request(0, true)),
        Err(Verdict::HeldBack),
        "its last byte would be sent during the retry-after"
    );
    assert_eq!(actor.shared.counters.held_back_wait.get(), 1);
    let (elapsed, verdict) = (connected_at.since(now), Verdict::HeldBack);
    let (finished, load_report) = (false, (None, None));
    let held_back = AttemptOutcome {
        number: 1,
        attempt: 0,
        receiver,
        verdict,
        elapsed,
        finished,
        load_report,
        wait_until: Micros(0),
    };
    actor.on_attempt_ended(connected_at, &held_back);
    assert_eq!(actor.ledger.get(1).map(|o| (o.attempts, o.in_flight.len())), Some((0, 0)));
    actor.ledger.decide(connected_at, Sending::Allowed, &mut actions);
    assert_eq!(actions.len(), 1, "the call must not be decided again");
    let retry_after_end = response_at.plus(Micros(2_000_000));
    actor.ledger.decide(retry_after_end, Sending::Allowed, &mut actions);
    assert!(matches!(actions[1..], [LedgerAction::Call { number: 1, attempt: 1, .. }]), "{actions:?}");
    assert!(actor.permit_call(retry_after_end, permit_request(1, false)).is_ok());
    assert_eq!(actor.ledger.get(1).map(|o| o.attempts), Some(1));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The orphaned log could not be removed, and a message copied from it has ended here since. Neither this
/// process nor the next one may send it again.
#[test]
fn a_message_that_ended_after_its_takeover_is_not_taken_over_again() {
    let folder = std::env::temp_dir().join(format!("onyxrock-actor-again-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let claim = crate::state_folder::Claim::acquire(&folder).unwrap();
    let mut actor = new_actor(&folder);
    let now = actor.shared.clock.now();
    let deadline = now.plus(Micros(5_000_000));
    let mut log = Vec::new();
    let request_id = "id-1".to_owned();
    Record::Accepted(AcceptedMessage {
        number: 1,
        request_id,
        class: "a".into(),
        destination: 1,
        deadline,
        ..AcceptedMessage::default()
    })
    .write(&mut log);
    std::fs::write(&claim.other_logs()[0], &log).unwrap();
    let Ok(crate::state_folder::OtherProcess::Gone(orphaned_log)) = claim.check_other() else {
        panic!("no sibling runs")
    };
    actor.copy_open_messages(&orphaned_log).unwrap();
    let number = actor.ledger.open_messages().next().expect("the message is taken over").accepted.number;
    actor.handle(CoreMessage::NoticeDelivered(number));
    actor.copy_open_messages(&orphaned_log).unwrap();
    assert_eq!(
        actor.ledger.open_messages().count(),
        0,
        "the message must not be taken over again from the log that remained"
    );
    let logged = Wal::open(&folder, 1_000_000).unwrap().1;
    let mut next_process = new_actor(&folder);
    next_process.note_logged_messages(logged.accepted);
    next_process.copy_open_messages(&orphaned_log).unwrap();
    assert_eq!(
        next_process.ledger.open_messages().count(),
        0,
        "the next process must not take it over either"
    );
    next_process.take_over_log(&orphaned_log).unwrap();
    assert!(!orphaned_log.exists() && next_process.logged_keys.is_empty());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A process that is killed while it copies leaves a message in both logs. The message must be taken over
/// once, and remain marked as possibly run.
#[test]
fn a_message_in_both_logs_is_taken_over_once() {
    let folder = std::env::temp_dir().join(format!("onyxrock-actor-adopt-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let claim = crate::state_folder::Claim::acquire(&folder).unwrap();
    let mut actor = new_actor(&folder);
    let now = actor.shared.clock.now();
    actor.on_list(now, list_with(EntryState::Ready));
    let deadline = now.plus(Micros(5_000_000));
    let message = |number: u64| AcceptedMessage {
        number,
        request_id: format!("id-{number}"),
        class: "a".into(),
        destination: 1,
        deadline,
        ..AcceptedMessage::default()
    };
    let (endpoint, zone) = ("e".to_owned(), "z".to_owned());
    let mut log = Vec::new();
    Record::Accepted(message(1)).write(&mut log);
    Record::Accepted(message(2)).write(&mut log);
    Record::Attempt { number: 2, attempt: 0, endpoint, zone, at: now }.write(&mut log);
    actor.ledger.accept(now, AcceptedMessage { number: 1, request_id: "ours".into(), ..message(1) });
    for _ in 0..2 {
        std::fs::write(&claim.other_logs()[0], &log).unwrap();
        let Ok(crate::state_folder::OtherProcess::Gone(orphaned_log)) = claim.check_other() else {
            panic!("no sibling runs")
        };
        actor.try_take_over_log(&orphaned_log);
        assert!(!orphaned_log.exists());
    }
    let open_messages: Vec<_> = actor
        .ledger
        .open_messages()
        .map(|message| {
            (
                message.accepted.number,
                message.accepted.request_id.as_str(),
                message.first_possible_run.is_some(),
            )
        })
        .collect();
    assert_eq!(open_messages, [(1, "ours", false), (2, "id-1", false), (3, "id-2", true)]);
    let mut actions = Vec::new();
    actor.ledger.decide(now, Sending::Allowed, &mut actions);
    let failed = |action: &LedgerAction| {
        matches!(action, LedgerAction::ReportFinalStatus { number: 3, status: FinalStatus::Failed })
    };
    assert_eq!(
        actions.iter().filter(|action| failed(action)).count(),
        1,
        "an unsafe message must not be repeated"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A start may send calls on its cached list only within the grace of one second. After it calls are held
/// back until the list arrives, or discovery has been silent for so long that it must be down.
#[test]
fn a_start_without_its_first_list_sends_only_within_the_grace() {
    let start = Micros(1_000_000_000);
    let after_ms = |ms: u64| start.plus(Micros(ms * 1000));
    let mut first_list = FirstListHold::new(start);
    assert!(first_list.holds(start));
    first_list.failed(after_ms(30));
    let held: Vec<_> =
        [30, 800, 850, 3000, 5999, 6000].into_iter().filter(|ms| first_list.holds(after_ms(*ms))).collect();
    assert_eq!(held, [850, 3000, 5999]);
    assert_eq!(
        (first_list.due(after_ms(30)), first_list.due(after_ms(850))),
        (Some(after_ms(850)), Some(after_ms(6000)))
    );
    assert_eq!(first_list.due(after_ms(6000)), None);
}

/// While the folder fails, work that needs a record first is refused, and records of events that have
/// happened are written later.
#[test]
fn records_that_could_not_be_written_are_written_later_in_order() {
    let (folder, mut actor, now) = actor_with_message("unwritten");
    let log = folder.join(crate::state_folder::PROCESS_FILES[0].log);
    actor.ledger.decide(now, Sending::Allowed, &mut Vec::new());
    assert!(actor.permit_call(now, permit_request(0, false)).is_ok());
    let logged = || Wal::open(&folder, 1_000_000).unwrap().1.open;
    let before = std::fs::read(&log).unwrap();
    // The log has no room at all.
    actor.wal = Wal::open(&folder, 0).unwrap().0;
    let number = 1;
    actor.log_or_queue(Some(Record::Outcome {
        number,
        attempt: 0,
        status: onyxrock::core::AttemptStatus::NeverRan,
    }));
    actor.log_or_queue(Some(Record::Closed(number)));
    assert_eq!(std::fs::read(&log).unwrap(), before, "the full log must not change");
    assert_eq!(actor.shared.counters.wal_waiting.get(), 2);
    assert!(
        !actor.log_now(
            &[Record::Accepted(AcceptedMessage { number: 2, ..AcceptedMessage::default() })],
            WritePurpose::Acceptance
        ),
        "no message may be accepted"
    );
    assert!(logged().contains_key(&number));
    let due = actor.unwritten.due().expect("a retry is due");
    actor.wal = Wal::open(&folder, 1_000_000).unwrap().0;
    actor.retry_queued_records(due);
    assert_eq!((actor.unwritten.due(), actor.shared.counters.wal_waiting.get()), (None, 0));
    assert!(logged().is_empty(), "the message must be closed in the log");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A record that must be written now goes behind the queued ones: otherwise an attempt could precede the
/// outcome of the one before it.
#[test]
fn a_new_record_is_written_behind_queued_ones() {
    let (folder, mut actor, now) = actor_with_message("behind");
    actor.wal = Wal::open(&folder, 0).unwrap().0;
    actor.log_or_queue(Some(Record::FinalStatus { number: 1, status: FinalStatus::Failed }));
    actor.wal = Wal::open(&folder, 1_000_000).unwrap().0;
    let message =
        AcceptedMessage { number: 2, deadline: now.plus(Micros(5_000_000)), ..AcceptedMessage::default() };
    assert!(actor.log_now(&[Record::Accepted(message)], WritePurpose::Acceptance));
    let records = scan_log(&std::fs::read(folder.join(PROCESS_FILES[0].log)).unwrap()).records;
    assert!(
        matches!(
            records[..],
            [Record::Accepted(_), Record::FinalStatus { number: 1, .. }, Record::Accepted(_)]
        ),
        "{records:?}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A queued call may wait for its connection while an operator takes its endpoint out of use; it must not be
/// written then.
#[test]
fn a_queued_call_is_not_written_once_its_endpoint_is_in_maintenance() {
    let (folder, mut actor, now) = actor_with_message("maintenance");
    actor.ledger.decide(now, Sending::Allowed, &mut Vec::new());
    let change = |endpoint: &str, in_maintenance| crate::maintenance::MaintenanceChange {
        endpoint: endpoint.into(),
        in_maintenance,
    };
    assert_eq!(actor.change_maintenance(now, change("nobody", true)), MaintenanceReply::UnknownEndpoint);
    assert_eq!(actor.change_maintenance(now, change("e", true)), MaintenanceReply::Done);
    assert_eq!(actor.permit_call(now, permit_request(0, false)), Err(Verdict::HeldBack));
    assert_eq!(actor.shared.counters.held_back_maintenance.get(), 1);
    actor.on_list(now, list_with(EntryState::Ready));
    assert_eq!(
        actor.permit_call(now, permit_request(0, false)),
        Err(Verdict::HeldBack),
        "a ready entry must not end the maintenance"
    );
    assert_eq!(actor.change_maintenance(now, change("e", false)), MaintenanceReply::Done);
    assert!(actor.permit_call(now, permit_request(0, false)).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// While the folder fails, an operator call takes effect all the same, says that it is not persisted, and is
/// written later.
#[test]
fn an_operator_call_takes_effect_although_the_folder_fails() {
    let (folder, mut actor, now) = actor_with_message("maintenance-folder");
    // The replacement file cannot be written while a folder has its name.
    let [file, replacement] = crate::maintenance::files(&folder);
    std::fs::create_dir(&replacement).unwrap();
    let change = crate::maintenance::MaintenanceChange { endpoint: "e".into(), in_maintenance: true };
    assert!(matches!(actor.change_maintenance(now, change), MaintenanceReply::NotPersisted(_)));
    actor.reload_maintenance(now);
    assert!(actor.directory.maintenance().contains("e"), "the change must hold although the file lacks it");
    std::fs::remove_dir(&replacement).unwrap();
    actor.retry_maintenance(actor.maintenance_due().expect("a retry is due"));
    assert_eq!((actor.maintenance_due(), std::fs::read_to_string(file).unwrap().as_str()), (None, "e\n"));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A process that shuts down sends no new calls, but still has to report final statuses in time: no other
/// process can before it is gone.
#[rstest]
#[case::untried(false, FinalStatus::Returned(None))]
#[case::may_have_run(true, FinalStatus::Failed)]
fn a_process_that_shuts_down_reports_final_statuses_in_time(
    #[case] call_sent: bool, #[case] status: FinalStatus,
) {
    let (folder, mut actor, now) = actor_with_message(&format!("expiry-{call_sent}"));
    actor.ledger.decide(now, Sending::Allowed, &mut Vec::new());
    if call_sent {
        assert!(actor.permit_call(now, permit_request(0, false)).is_ok());
    }
    actor.handle(CoreMessage::StopSending);
    let deadline = actor.ledger.get(1).expect("the message is open").accepted.deadline;
    assert_eq!(actor.due(now), (!call_sent).then_some(deadline), "a call in flight must be waited for");
    let verdict = if call_sent { Verdict::TimedOut } else { Verdict::HeldBack };
    let (finished, load_report, wait_until) = (false, (None, None), Micros(0));
    let elapsed = Micros(1);
    actor.on_attempt_ended(
        now,
        &AttemptOutcome {
            number: 1,
            attempt: 0,
            receiver: ReceiverId(1),
            verdict,
            elapsed,
            finished,
            load_report,
            wait_until,
        },
    );
    assert_eq!(actor.due(now), Some(deadline));
    let mut actions = Vec::new();
    actor.ledger.expire(Micros(deadline.0 - 1), &mut actions);
    assert_eq!(actions, []);
    actor.ledger.expire(deadline, &mut actions);
    assert_eq!(actions, [LedgerAction::ReportFinalStatus { number: 1, status }]);
    assert_eq!(actor.due(now), None);
    std::fs::remove_dir_all(&folder).unwrap();
}
