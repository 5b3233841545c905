//! The life of a message in the ledger and its log, over crashes and restarts, without a network and on a
//! virtual clock.

mod common;
use common::*;
use onyxrock::core::*;
use onyxrock::interface::*;
use rstest::rstest;

/// A ledger, its clock and its log.
struct LedgerHarness {
    ledger: Ledger,
    now: Micros,
    log: Vec<Record>,
}

fn name_index() -> NameIndex {
    let named = |all: &[(&str, usize)]| all.iter().map(|(name, i)| ((*name).to_owned(), *i)).collect();
    let classes = named(&[("safe", SAFE), ("unsafe", UNSAFE), ("zoned", ZONED)]);
    NameIndex { classes, zones: named(&[("a", 0), ("b", 1)]), ..NameIndex::default() }
}

impl LedgerHarness {
    /// Starts a ledger with an empty log; the given destinations do not deduplicate.
    fn new(without_deduplication: &[u64]) -> LedgerHarness {
        let without_deduplication = without_deduplication.iter().map(|d| DestinationId(*d)).collect();
        let mut ledger = Ledger::new(settings(), name_index(), without_deduplication, 5);
        let list = vec![entry(1, 1, 0, 0), entry(2, 1, 0, 1)];
        ledger.on_list_event(ms(1000), Event::FullList(list));
        LedgerHarness { ledger, now: ms(1000), log: Vec::new() }
    }
    /// Accepts and logs a message of a class with this time left.
    fn accept_message(&mut self, class: &str, time_left_ms: u64) -> u64 {
        self.accept_edited_message(class, time_left_ms, |_| ())
    }
    /// The same for a message that is changed before it is accepted.
    fn accept_edited_message(
        &mut self, class: &str, time_left_ms: u64, edit: impl FnOnce(&mut AcceptedMessage),
    ) -> u64 {
        let number = self.ledger.allocate_number();
        let deadline = self.now.plus(ms(time_left_ms));
        let mut message = AcceptedMessage {
            number,
            request_id: format!("m{number}"),
            class: class.into(),
            destination: 1,
            deadline,
            idempotency_key: "key".to_owned(),
            ..AcceptedMessage::default()
        };
        edit(&mut message);
        self.log.push(Record::Accepted(message.clone()));
        self.ledger.accept(self.now, message);
        number
    }
    /// Lets the ledger decide and logs the final statuses among its actions.
    fn decide(&mut self) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        self.ledger.decide(self.now, Sending::Allowed, &mut actions);
        actions.retain(|action| !matches!(action, LedgerAction::LogUnhealthy { .. }));
        for action in &actions {
            if let LedgerAction::ReportFinalStatus { number, status } = action {
                self.log.push(Record::FinalStatus { number: *number, status: *status });
            }
        }
        actions
    }
    /// Begins and logs the first attempt that the ledger decides.
    fn begin_attempt(&mut self) -> (u64, u32, ReceiverId) {
        let call = self.decide().into_iter().find_map(|action| match action {
            LedgerAction::Call { number, attempt, receiver, .. } => Some((number, attempt, receiver)),
            _ => None,
        });
        let call = call.expect("the ledger decides a call");
        let zone = if call.2 == ReceiverId(1) { "a" } else { "b" };
        self.log.extend(self.ledger.begin_attempt(call.0, call.1, "e", zone, self.now));
        call
    }
    /// Ends an attempt after 100 ms and logs its outcome.
    fn end_attempt(&mut self, call: (u64, u32, ReceiverId), verdict: Verdict) {
        self.end_attempt_and_message(call, verdict, false);
    }
    /// The same, with whether the receiver has said that the message is over.
    fn end_attempt_and_message(
        &mut self, (number, attempt, receiver): (u64, u32, ReceiverId), verdict: Verdict, finished: bool,
    ) {
        let elapsed = ms(100);
        self.now = self.now.plus(elapsed);
        let outcome = AttemptOutcome {
            number,
            attempt,
            receiver,
            verdict,
            elapsed,
            finished,
            load_report: (None, None),
            wait_until: Micros(0),
        };
        self.log.extend(self.ledger.end_attempt(self.now, &outcome));
    }
    /// Crashes and recovers from the log after a pause. Returns the number of resumed messages.
    fn restart(&mut self, pause_ms: u64, without_deduplication: &[u64]) -> usize {
        let mut bytes = Vec::new();
        self.log.iter().for_each(|record| record.write(&mut bytes));
        let open = recover(scan_log(&bytes).records);
        let (now, log) = (self.now.plus(ms(pause_ms)), std::mem::take(&mut self.log));
        *self = LedgerHarness { now, log, ..LedgerHarness::new(without_deduplication) };
        let count = open.len();
        for message in open.into_values() {
            self.ledger.resume(now, message);
        }
        count
    }
    /// Advances the clock in steps of 10 ms and returns the final statuses that the ledger reports.
    fn final_statuses(&mut self, span_ms: u64) -> Vec<(u64, FinalStatus)> {
        let mut statuses = Vec::new();
        for _ in 0..span_ms / 10 {
            let actions = self.decide();
            statuses.extend(actions.iter().filter_map(|action| match action {
                LedgerAction::ReportFinalStatus { number, status } => Some((*number, *status)),
                _ => None,
            }));
            self.now = self.now.plus(ms(10));
        }
        statuses
    }
}

/// Guards against messages that end seconds late after a start while discovery is down: while no call might be sent,
/// none ended at its time, and the list was not requested again.
#[test]
fn messages_end_and_the_list_is_requested_while_calls_are_held() {
    let mut harness = LedgerHarness::new(&[]);
    let settings = Settings { subscribe_to_list: true, ..settings() };
    harness.ledger = Ledger::new(settings, name_index(), Default::default(), 5);
    let list = vec![entry(1, 1, 0, 0), entry(2, 1, 0, 1)];
    harness.ledger.on_list_event(harness.now, Event::CachedEntries(list));
    let short = harness.accept_message("safe", 2000);
    let long = harness.accept_message("safe", 9000);
    let (start, mut ended_at, mut requests) = (harness.now, None, 0);
    // Each step is at the time that the ledger asks for.
    while harness.now < start.plus(ms(4000)) {
        let mut actions = Vec::new();
        harness.ledger.decide(harness.now, Sending::Held, &mut actions);
        if actions.contains(&LedgerAction::RequestList) {
            requests += 1;
            harness.ledger.on_list_event(harness.now, Event::ListRefused);
            harness.ledger.decide(harness.now, Sending::Held, &mut actions);
        }
        for action in actions {
            match action {
                LedgerAction::RequestList => {}
                LedgerAction::ReportFinalStatus { number, .. } => {
                    assert_eq!((number, ended_at.replace(harness.now)), (short, None));
                }
                action => panic!("{action:?}"),
            }
        }
        let Some(due) = harness.ledger.decide_due() else { break };
        harness.now = due.max(harness.now.plus(Micros(1)));
    }
    let ended_after = ended_at.expect("the message ends").since(start);
    assert!(ended_after <= ms(2000), "{ended_after:?}");
    // A change has to be known within 6 s, so refused requests are repeated several times in 4 s.
    assert!(requests >= 5, "{requests} requests");
    // Once calls may be sent, the other message goes at once.
    let actions = harness.decide();
    let is_call =
        |action: &LedgerAction| matches!(action, LedgerAction::Call { number, .. } if *number == long);
    assert!(actions.iter().any(is_call), "{actions:?}");
}

#[test]
fn delivered_message_is_not_resumed_after_a_restart() {
    let mut harness = LedgerHarness::new(&[]);
    harness.accept_message("safe", 5000);
    let call = harness.begin_attempt();
    harness.end_attempt(call, Verdict::Delivered);
    assert_eq!((harness.ledger.held_count(), harness.ledger.open_messages().count()), (0, 0));
    assert_eq!(harness.restart(100, &[]), 0);
}

#[test]
fn unsafe_message_in_flight_at_a_crash_fails_at_once() {
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_message("unsafe", 20_000);
    harness.begin_attempt();
    assert_eq!(harness.restart(700, &[]), 1);
    assert_eq!(harness.decide(), [LedgerAction::ReportFinalStatus { number, status: FinalStatus::Failed }]);
}

#[test]
fn message_refused_before_a_crash_is_sent_again() {
    let mut harness = LedgerHarness::new(&[]);
    harness.accept_message("unsafe", 20_000);
    let call = harness.begin_attempt();
    harness.end_attempt(call, Verdict::Full(None));
    harness.restart(700, &[]);
    assert_eq!(harness.begin_attempt().1, 1, "the attempt before the crash counts");
}

#[test]
fn keyed_message_in_flight_at_a_crash_is_repeated_only_in_its_zone_and_window() {
    let mut harness = LedgerHarness::new(&[]);
    harness.accept_message("zoned", 20_000);
    let first = harness.begin_attempt();
    harness.restart(700, &[]);
    assert_eq!(harness.begin_attempt().2, first.2);
    // It is not repeated once the window, counted from its first attempt, has passed.
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_message("zoned", 20_000);
    harness.begin_attempt();
    harness.restart(5000, &[]);
    assert_eq!(harness.decide(), [LedgerAction::ReportFinalStatus { number, status: FinalStatus::Failed }]);
}

#[test]
fn keyed_message_is_not_repeated_at_a_destination_without_deduplication() {
    let mut harness = LedgerHarness::new(&[1]);
    let number = harness.accept_message("zoned", 20_000);
    let call = harness.begin_attempt();
    harness.end_attempt(call, Verdict::Reset);
    assert_eq!(harness.final_statuses(100), [(number, FinalStatus::Failed)]);
}

/// Guards against a booking that takes effect twice: a receiver cannot drop the repeat of a message without a key.
#[rstest]
fn keyed_message_without_a_key_is_not_repeated(#[values(false, true)] restarts: bool) {
    let mut harness = LedgerHarness::new(&[]);
    let without_key = |message: &mut AcceptedMessage| message.idempotency_key.clear();
    let number = harness.accept_edited_message("zoned", 20_000, without_key);
    let call = harness.begin_attempt();
    if restarts {
        harness.restart(700, &[]);
    } else {
        harness.end_attempt(call, Verdict::Reset);
    }
    assert_eq!(harness.final_statuses(100), [(number, FinalStatus::Failed)]);
    // Nothing has run: it may go anywhere.
    let number = harness.accept_edited_message("zoned", 20_000, without_key);
    let call = harness.begin_attempt();
    harness.end_attempt(call, Verdict::Full(None));
    harness.now = harness.now.plus(ms(2000));
    assert_eq!(harness.begin_attempt().0, number);
}

#[test]
fn recorded_final_status_is_not_decided_again_after_a_restart() {
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_message("unsafe", 20_000);
    let call = harness.begin_attempt();
    harness.end_attempt(call, Verdict::Error);
    assert_eq!(harness.final_statuses(10), [(number, FinalStatus::Failed)]);
    let mut bytes = Vec::new();
    harness.log.iter().for_each(|r| r.write(&mut bytes));
    let open = recover(scan_log(&bytes).records);
    assert_eq!(open[&number].final_status, Some(FinalStatus::Failed));
    harness.restart(10, &[]);
    assert_eq!(
        (harness.final_statuses(3000), harness.ledger.held_count()),
        (vec![], 0),
        "the status is not decided again"
    );
    harness.ledger.close(number);
    assert_eq!(harness.ledger.open_messages().count(), 0);
}

#[test]
fn delivery_is_reported_to_a_client_that_wants_a_receipt() {
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_message("safe", 5000);
    let Some(Record::Accepted(message)) = harness.log.first().cloned() else {
        panic!("the message is in the log")
    };
    harness.ledger.withdraw(harness.now, number);
    harness
        .ledger
        .accept(harness.now, AcceptedMessage { wants_receipt: true, number: number + 1, ..message });
    let call = (number + 1, 0, harness.begin_attempt().2);
    harness.end_attempt(call, Verdict::Delivered);
    assert_eq!(harness.final_statuses(10), [(number + 1, FinalStatus::Delivered)]);
}

/// Guards against a receipt that says delivered where the receiver said that the message is over and has not run.
#[rstest]
#[case::nothing_has_run(None, FinalStatus::Returned(None))]
#[case::an_earlier_attempt_may_have_run(Some(Verdict::Reset), FinalStatus::Failed)]
fn message_that_its_receiver_calls_over_is_not_reported_as_delivered(
    #[case] earlier: Option<Verdict>, #[case] status: FinalStatus,
) {
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_edited_message("safe", 20_000, |message| message.wants_receipt = true);
    if let Some(verdict) = earlier {
        let call = harness.begin_attempt();
        harness.end_attempt(call, verdict);
        harness.now = harness.now.plus(ms(2000));
    }
    let call = harness.begin_attempt();
    harness.end_attempt_and_message(call, Verdict::Moot, true);
    assert_eq!(harness.final_statuses(10), [(number, status)]);
}

/// Guards against a client that acknowledges no receipt and takes the room of all others.
#[test]
fn receipts_that_nobody_acknowledges_are_bounded_for_each_tenant() {
    let mut harness = LedgerHarness::new(&[]);
    let max_held = settings().max_held as usize;
    let receipt_of = |tenant: &str| {
        let tenant = tenant.to_owned();
        move |message: &mut AcceptedMessage| (message.wants_receipt, message.tenant) = (true, tenant)
    };
    let mut last = 0;
    for _ in 0..max_held {
        assert!(!harness.ledger.is_full_of_receipts("a"));
        last = harness.accept_edited_message("safe", 20_000, receipt_of("a"));
        let call = harness.begin_attempt();
        harness.end_attempt(call, Verdict::Delivered);
    }
    let full = |harness: &LedgerHarness| ["a", "b"].map(|tenant| harness.ledger.is_full_of_receipts(tenant));
    assert_eq!((full(&harness), harness.ledger.is_full()), ([true, false], false));
    let receipts = harness.restart(10, &[]);
    assert_eq!((receipts, full(&harness)), (max_held, [true, false]));
    harness.ledger.close(last);
    assert_eq!(full(&harness), [false, false]);
}

#[test]
fn attempt_of_an_ended_message_is_not_recorded() {
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_message("safe", 5000);
    let actions = harness.decide();
    assert!(matches!(actions[0], LedgerAction::Call { .. }));
    harness.ledger.withdraw(harness.now, number);
    assert_eq!(harness.ledger.begin_attempt(number, 0, "e", "a", harness.now), Err(AttemptDenied::NotOpen));
}

/// Guards against a wrong decision of the policy: a repeat that the class forbids is denied by the ledger's
/// own records.
#[rstest]
#[case::once("unsafe", "a", 0, Err(AttemptDenied::RepeatForbidden))]
#[case::safe("safe", "b", 9_000, Ok(()))]
#[case::same_zone("zoned", "a", 1_000, Ok(()))]
#[case::other_zone("zoned", "b", 1_000, Err(AttemptDenied::RepeatForbidden))]
#[case::window_over("zoned", "a", 900_000, Err(AttemptDenied::RepeatForbidden))]
fn repeat_that_the_class_forbids_is_denied(
    #[case] class: &str, #[case] zone: &str, #[case] delay_ms: u64,
    #[case] expected: Result<(), AttemptDenied>,
) {
    let mut harness = LedgerHarness::new(&[]);
    let number = harness.accept_message(class, 20_000);
    let (_, attempt, receiver) = harness.begin_attempt();
    harness.end_attempt((number, attempt, receiver), Verdict::Reset);
    let at = harness.now.plus(ms(delay_ms));
    let repeat = harness.ledger.begin_attempt(number, 1, "e", zone, at).map(drop);
    assert_eq!(repeat, expected);
}

/// Guards against a wall clock that is set back by an hour between two processes: no message stays open for
/// longer than its class allows, and the window of an attempt with a time in the future is closed.
#[test]
fn clock_set_back_extends_no_window_and_no_deadline() {
    let mut before = LedgerHarness::new(&[]);
    let hour = ms(3_600_000);
    before.now = before.now.plus(hour).plus(hour);
    let number = before.accept_message("zoned", 9_000);
    let attempt = before.begin_attempt();
    before.end_attempt(attempt, Verdict::Reset);
    let open = recover(before.log).remove(&number).expect("the message is open");
    let mut after = LedgerHarness::new(&[]);
    after.now = after.now.plus(hour);
    after.ledger.resume(after.now, open);
    let actions = after.decide();
    assert!(!actions.iter().any(|action| matches!(action, LedgerAction::Call { .. })), "{actions:?}");
    let open = after.ledger.get(number).expect("the message is still open");
    assert!(open.accepted.deadline <= after.ledger.latest_deadline(after.now, "zoned"));
    assert!(after.ledger.begin_attempt(number, 1, "e", "a", after.now).is_err());
}

#[test]
fn damaged_log_loses_only_the_damaged_records() {
    let closed = |number| Record::Closed(number);
    let mut bytes = Vec::new();
    (1..=3).for_each(|number| closed(number).write(&mut bytes));
    let record_len = bytes.len() / 3;
    for cut in 0..record_len {
        let scan = scan_log(&bytes[..2 * record_len + cut]);
        assert_eq!(
            (scan.records, scan.damaged_bytes),
            (vec![closed(1), closed(2)], cut),
            "a truncated record"
        );
    }
    for offset in 0..record_len {
        let mut damaged = bytes.clone();
        damaged[record_len + offset] ^= 0x55;
        let scan = scan_log(&damaged);
        assert_eq!(
            (scan.records, scan.damaged_bytes),
            (vec![closed(1), closed(3)], record_len),
            "a damaged byte"
        );
    }
    assert_eq!(scan_log(&[0xa7; 64]).damaged_bytes, 64);
}

#[test]
fn compacted_log_recovers_the_same_messages() {
    let mut harness = LedgerHarness::new(&[]);
    for (class, verdict) in
        [("safe", Verdict::TimedOut), ("zoned", Verdict::Reset), ("unsafe", Verdict::Error)]
    {
        harness.accept_message(class, 20_000);
        let call = harness.begin_attempt();
        harness.end_attempt(call, verdict);
    }
    harness.final_statuses(10);
    harness.accept_message("unsafe", 20_000);
    harness.now = harness.now.plus(ms(3000));
    harness.begin_attempt();
    let recovered = |records: &[Record]| {
        let mut bytes = Vec::new();
        records.iter().for_each(|record| record.write(&mut bytes));
        recover(scan_log(&bytes).records)
    };
    let compacted: Vec<Record> = harness.ledger.open_messages().flat_map(OpenMessage::records).collect();
    assert_eq!(recovered(&harness.log), recovered(&compacted));
    assert_eq!(harness.ledger.open_messages().count(), 4);
}

/// Guards against a request that is accepted twice, and against unbounded memory: an id is refused as long as
/// its request could still run, and the number of ids is bounded.
#[test]
fn recent_request_id_is_refused_until_it_expires() {
    let mut ids = RecentIds::new(Micros(1000));
    let mut insert = |now, id: &str| ids.insert(Micros(now), RequestIdDigest::of(id));
    assert!(insert(0, "a") && !insert(900, "a") && insert(900, "b"));
    assert!(insert(1001, "a"), "the id has expired");
    assert!(!insert(1001, "b"));
    assert!((0..70_000).all(|i| insert(1001, &i.to_string())));
    assert!(insert(1001, "b"), "the oldest id is dropped when there are too many");
    assert!(!insert(1001, "69999"));
}

/// Guards against a message that is accepted twice while it is open: its id was dropped for later ones.
#[test]
fn request_id_of_an_open_message_is_refused_however_many_come_later() {
    let mut ids = RecentIds::new(Micros(1000));
    let open = RequestIdDigest::of("open");
    ids.message_opened(open);
    assert!(!ids.insert(Micros(0), open));
    assert!((0..70_000).all(|i| ids.insert(Micros(2000), RequestIdDigest::of(&i.to_string()))));
    assert!(!ids.insert(Micros(9000), open), "neither their number nor time drops it");
    assert_eq!(ids.iter().next(), Some(open));
    ids.message_closed(open);
    assert!(ids.insert(Micros(9000), open));
}

#[test]
fn request_id_digest_is_read_from_its_text() {
    let digest = RequestIdDigest::of("9b1f03aa5c7e2d41");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!(
        ["", "x", "é00000000000000000000000", &"0".repeat(25)]
            .iter()
            .all(|t| t.parse::<RequestIdDigest>().is_err())
    );
}

/// Guards against the loss of the first attempt when its second copy has an outcome: the window and the zone
/// of the first attempt still limit a repeat.
#[test]
fn earlier_of_two_attempts_in_flight_at_a_crash_limits_the_repeat() {
    let message =
        AcceptedMessage { number: 1, class: "zoned".into(), destination: 1, ..AcceptedMessage::default() };
    let attempt = |attempt, at, zone: &str| Record::Attempt {
        number: 1,
        attempt,
        endpoint: "e".into(),
        zone: zone.into(),
        at: ms(at),
    };
    for status in [AttemptStatus::NeverRan, AttemptStatus::MayHaveRun] {
        let mut log = vec![Record::Accepted(message.clone()), attempt(0, 100, "a"), attempt(1, 200, "b")];
        log.push(Record::Outcome { number: 1, attempt: 1, status });
        let open = recover(log).remove(&1).unwrap();
        assert_eq!(
            (open.attempts, open.first_possible_run.clone()),
            (2, Some((ms(100), "a".to_owned()))),
            "{status:?}"
        );
        // A compacted log recovers the same message.
        assert_eq!(recover(open.records()).remove(&1), Some(open));
    }
    // With both attempts in flight the compacted log has both. A log from before second copies, which has no
    // attempt numbers, is read with its former meaning.
    let mut open = OpenMessage { accepted: message, ..OpenMessage::default() };
    for record in [attempt(0, 100, "a"), attempt(1, 200, "b")] {
        open.apply(&record);
    }
    let recovered = recover(open.records()).remove(&1).unwrap();
    assert_eq!((recovered.attempts, recovered.first_possible_run), (2, Some((ms(100), "a".to_owned()))));
}

/// A log is rewritten, or not, by the size that it would have.
#[test]
fn the_length_of_records_is_known_before_they_are_written() {
    let accepted = AcceptedMessage {
        request_id: "id".into(),
        class: "status".into(),
        tenant: "t".into(),
        idempotency_key: "key".into(),
        frontend_note: "a note".into(),
        body: vec![7; 300].into(),
        ..AcceptedMessage::default()
    };
    let settings = ClassSettings::default();
    let with_class = AcceptedMessage { recorded_class: Some((&settings).into()), ..accepted.clone() };
    let run = Some((Micros(5), "zone".to_owned()));
    let in_flight = [(3, (Micros(9), "floor".to_owned())), (4, (Micros(9), String::new()))];
    let messages = [
        OpenMessage { accepted: accepted.clone(), ..OpenMessage::default() },
        OpenMessage { accepted: with_class, attempts: 4, ..OpenMessage::default() },
        OpenMessage { accepted: accepted.clone(), first_possible_run: run, ..OpenMessage::default() },
        OpenMessage { accepted: accepted.clone(), in_flight: in_flight.into(), ..OpenMessage::default() },
        OpenMessage { accepted, final_status: Some(FinalStatus::Failed), ..OpenMessage::default() },
    ];
    let others = [
        Record::Outcome { number: 1, attempt: 2, status: AttemptStatus::NeverRan },
        Record::Attempt { number: 1, attempt: 2, endpoint: "e1".into(), zone: "z".into(), at: Micros(4) },
        Record::Closed(8),
    ];
    for record in messages.iter().flat_map(OpenMessage::records).chain(others) {
        let mut bytes = Vec::new();
        record.write(&mut bytes);
        assert_eq!(record.frame_bytes(), bytes.len(), "{record:?}");
    }
    for message in messages {
        let mut bytes = Vec::new();
        message.records().iter().for_each(|record| record.write(&mut bytes));
        assert_eq!(message.log_bytes(), bytes.len(), "{message:?}");
    }
}
