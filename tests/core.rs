//! The life of a request without a wire, on a clock that the test moves.

mod common;
use common::*;
use onyxrock::core::*;
use onyxrock::interface::*;
use rstest::rstest;

struct Table {
    ledger: Ledger,
    now: Micros,
    log: Vec<Record>,
}

fn names() -> NameIndex {
    let named = |all: &[(&str, usize)]| all.iter().map(|(n, i)| ((*n).to_owned(), *i)).collect();
    let classes = named(&[("safe", SAFE), ("unsafe", UNSAFE), ("zoned", ZONED)]);
    NameIndex { classes, zones: named(&[("a", 0), ("b", 1)]), ..NameIndex::default() }
}

impl Table {
    fn new(plain: &[u64]) -> Table {
        let plain = plain.iter().map(|d| DestinationId(*d)).collect();
        let mut ledger = Ledger::new(settings(), names(), plain, 5);
        let list = vec![entry(1, 1, 0, 0), entry(2, 1, 0, 1)];
        ledger.on_list_event(ms(1000), Event::FullList(list));
        Table { ledger, now: ms(1000), log: Vec::new() }
    }
    fn take(&mut self, class: &str, left: u64) -> u64 {
        let n = self.ledger.allocate_number();
        let deadline = self.now.plus(ms(left));
        let taken = AcceptedMessage {
            number: n,
            request_id: format!("m{n}"),
            class: class.into(),
            destination: 1,
            deadline,
            ..AcceptedMessage::default()
        };
        self.log.push(Record::Accepted(taken.clone()));
        self.ledger.accept(self.now, taken);
        n
    }
    fn steps(&mut self) -> Vec<LedgerAction> {
        let mut steps = Vec::new();
        self.ledger.decide(self.now, true, &mut steps);
        steps.retain(|s| !matches!(s, LedgerAction::LogUnhealthy { .. }));
        for s in &steps {
            if let LedgerAction::ReportFinalStatus { number: n, status: end } = s {
                self.log.push(Record::FinalStatus { number: *n, status: *end });
            }
        }
        steps
    }
    /// Writes the call that the last steps ask for.
    fn call(&mut self) -> (u64, u32, ReceiverId) {
        let call = self.steps().into_iter().find_map(|s| match s {
            LedgerAction::Call { number: n, attempt, receiver: to, .. } => Some((n, attempt, to)),
            _ => None,
        });
        let call = call.expect("a call is asked for");
        let zone = if call.2 == ReceiverId(1) { "a" } else { "b" };
        self.log.extend(self.ledger.begin_attempt(call.0, call.1, "e", zone, self.now));
        call
    }
    fn end_attempt(&mut self, (n, attempt, to): (u64, u32, ReceiverId), verdict: Verdict) {
        let elapsed = ms(100);
        self.now = self.now.plus(elapsed);
        let a = AttemptOutcome {
            number: n,
            attempt,
            receiver: to,
            verdict,
            elapsed,
            finished: false,
            load_report: (None, None),
            wait_until: Micros(0),
        };
        self.log.extend(self.ledger.end_attempt(self.now, &a));
    }
    /// Another process, from what the log holds.
    fn restart(&mut self, pause: u64, plain: &[u64]) -> usize {
        let mut bytes = Vec::new();
        self.log.iter().for_each(|r| r.write(&mut bytes));
        let owed = recover(scan_log(&bytes).records);
        let (now, log) = (self.now.plus(ms(pause)), std::mem::take(&mut self.log));
        *self = Table { now, log, ..Table::new(plain) };
        let count = owed.len();
        for o in owed.into_values() {
            self.ledger.resume(now, o);
        }
        count
    }
    fn ends(&mut self, span: u64) -> Vec<(u64, FinalStatus)> {
        let mut ends = Vec::new();
        for _ in 0..span / 10 {
            let steps = self.steps();
            ends.extend(steps.iter().filter_map(|s| match s {
                LedgerAction::ReportFinalStatus { number: n, status: end } => Some((*n, *end)),
                _ => None,
            }));
            self.now = self.now.plus(ms(10));
        }
        ends
    }
}

#[test]
fn a_delivery_ends_a_request_and_leaves_nothing_owed() {
    let mut t = Table::new(&[]);
    t.take("safe", 5000);
    let call = t.call();
    t.end_attempt(call, Verdict::Delivered);
    assert_eq!((t.ledger.held_count(), t.ledger.open_messages().count()), (0, 0));
    assert_eq!(t.restart(100, &[]), 0);
}

#[test]
fn an_unsafe_call_out_at_death_ends_by_failed_at_once() {
    let mut t = Table::new(&[]);
    let n = t.take("unsafe", 20_000);
    t.call();
    assert_eq!(t.restart(700, &[]), 1);
    assert_eq!(t.steps(), [LedgerAction::ReportFinalStatus { number: n, status: FinalStatus::Failed }]);
}

#[test]
fn what_was_turned_away_before_death_may_go_again() {
    let mut t = Table::new(&[]);
    t.take("unsafe", 20_000);
    let call = t.call();
    t.end_attempt(call, Verdict::Full(None));
    t.restart(700, &[]);
    assert_eq!(t.call().1, 1, "the attempt before counts");
}

#[test]
fn a_keyed_call_out_at_death_goes_to_its_zone_within_its_window() {
    let mut t = Table::new(&[]);
    t.take("zoned", 20_000);
    let first = t.call();
    t.restart(700, &[]);
    assert_eq!(t.call().2, first.2);
    // And not at all once the window, counted from the first send, has passed.
    let mut t = Table::new(&[]);
    let n = t.take("zoned", 20_000);
    t.call();
    t.restart(5000, &[]);
    assert_eq!(t.steps(), [LedgerAction::ReportFinalStatus { number: n, status: FinalStatus::Failed }]);
}

#[test]
fn a_destination_that_drops_no_repeats_gets_none_of_a_keyed_message() {
    let mut t = Table::new(&[1]);
    let n = t.take("zoned", 20_000);
    let call = t.call();
    t.end_attempt(call, Verdict::Reset);
    assert_eq!(t.ends(100), [(n, FinalStatus::Failed)]);
}

#[test]
fn an_end_that_was_given_is_only_told_after_a_restart() {
    let mut t = Table::new(&[]);
    let n = t.take("unsafe", 20_000);
    let call = t.call();
    t.end_attempt(call, Verdict::Error);
    assert_eq!(t.ends(10), [(n, FinalStatus::Failed)]);
    let mut bytes = Vec::new();
    t.log.iter().for_each(|r| r.write(&mut bytes));
    let owed = recover(scan_log(&bytes).records);
    assert_eq!(owed[&n].final_status, Some(FinalStatus::Failed));
    t.restart(10, &[]);
    assert_eq!((t.ends(3000), t.ledger.held_count()), (vec![], 0), "it is not decided on again");
    t.ledger.close(n);
    assert_eq!(t.ledger.open_messages().count(), 0);
}

#[test]
fn a_client_that_wants_a_receipt_is_told_of_the_delivery() {
    let mut t = Table::new(&[]);
    let n = t.take("safe", 5000);
    let Some(Record::Accepted(taken)) = t.log.first().cloned() else { panic!("it is in the log") };
    t.ledger.withdraw(t.now, n);
    t.ledger.accept(t.now, AcceptedMessage { wants_receipt: true, number: n + 1, ..taken });
    let call = (n + 1, 0, t.call().2);
    t.end_attempt(call, Verdict::Delivered);
    assert_eq!(t.ends(10), [(n + 1, FinalStatus::Delivered)]);
}

#[test]
fn an_attempt_is_not_written_for_a_request_that_is_over() {
    let mut t = Table::new(&[]);
    let n = t.take("safe", 5000);
    let steps = t.steps();
    assert!(matches!(steps[0], LedgerAction::Call { .. }));
    t.ledger.withdraw(t.now, n);
    assert_eq!(t.ledger.begin_attempt(n, 0, "e", "a", t.now), Err(AttemptDenied::NotOpen));
}

/// Whatever the module decides, an attempt that the class does not allow to be repeated is refused by what
/// the log knows.
#[rstest]
#[case::once("unsafe", "a", 0, Err(AttemptDenied::RepeatForbidden))]
#[case::safe("safe", "b", 9_000, Ok(()))]
#[case::same_zone("zoned", "a", 1_000, Ok(()))]
#[case::other_zone("zoned", "b", 1_000, Err(AttemptDenied::RepeatForbidden))]
#[case::window_over("zoned", "a", 900_000, Err(AttemptDenied::RepeatForbidden))]
fn a_repeat_that_the_class_does_not_allow_is_refused(
    #[case] class: &str, #[case] zone: &str, #[case] later: u64, #[case] says: Result<(), AttemptDenied>,
) {
    let mut t = Table::new(&[]);
    let n = t.take(class, 20_000);
    let (_, attempt, to) = t.call();
    t.end_attempt((n, attempt, to), Verdict::Reset);
    let at = t.now.plus(ms(later));
    let again = t.ledger.begin_attempt(n, 1, "e", zone, at).map(drop);
    assert_eq!(again, says);
}

/// The wall clock was set back by an hour between two processes: nothing is owed for longer than its class
/// gives, and no window is open for an attempt of the future.
#[test]
fn a_clock_that_was_set_back_opens_no_window_and_gives_no_time() {
    let mut before = Table::new(&[]);
    let hour = ms(3_600_000);
    before.now = before.now.plus(hour).plus(hour);
    let n = before.take("zoned", 9_000);
    let tried = before.call();
    before.end_attempt(tried, Verdict::Reset);
    let owed = recover(before.log).remove(&n).expect("it is owed");
    let mut after = Table::new(&[]);
    after.now = after.now.plus(hour);
    after.ledger.resume(after.now, owed);
    let steps = after.steps();
    assert!(!steps.iter().any(|s| matches!(s, LedgerAction::Call { .. })), "{steps:?}");
    let owed = after.ledger.get(n).expect("it is owed still");
    assert!(owed.accepted.deadline <= after.ledger.latest_deadline(after.now, "zoned"));
    assert!(after.ledger.begin_attempt(n, 1, "e", "a", after.now).is_err());
}

#[test]
fn damage_costs_only_the_records_that_it_hits() {
    let over = |n| Record::Closed(n);
    let mut bytes = Vec::new();
    (1..=3).for_each(|n| over(n).write(&mut bytes));
    let one = bytes.len() / 3;
    for cut in 0..one {
        let scan = scan_log(&bytes[..2 * one + cut]);
        assert_eq!((scan.records, scan.damaged_bytes), (vec![over(1), over(2)], cut), "a torn tail");
    }
    for hit in 0..one {
        let mut bad = bytes.clone();
        bad[one + hit] ^= 0x55;
        let scan = scan_log(&bad);
        assert_eq!((scan.records, scan.damaged_bytes), (vec![over(1), over(3)], one), "a bad byte");
    }
    assert_eq!(scan_log(&[0xa7; 64]).damaged_bytes, 64);
}

#[test]
fn a_new_log_says_what_the_old_one_said() {
    let mut t = Table::new(&[]);
    for (class, verdict) in
        [("safe", Verdict::TimedOut), ("zoned", Verdict::Reset), ("unsafe", Verdict::Error)]
    {
        t.take(class, 20_000);
        let call = t.call();
        t.end_attempt(call, verdict);
    }
    t.ends(10);
    t.take("unsafe", 20_000);
    t.now = t.now.plus(ms(3000));
    t.call();
    let read = |records: &[Record]| {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| r.write(&mut bytes));
        recover(scan_log(&bytes).records)
    };
    let compact: Vec<Record> = t.ledger.open_messages().flat_map(OpenMessage::records).collect();
    assert_eq!(read(&t.log), read(&compact));
    assert_eq!(t.ledger.open_messages().count(), 4);
}

/// An id is refused for as long as its request could still run, and no longer: what is kept of ids has a
/// bound.
#[test]
fn an_id_comes_once_and_is_forgotten_in_time() {
    let mut ids = onyxrock::core::RecentIds::new(Micros(1000));
    assert!(ids.insert(Micros(0), "a") && !ids.insert(Micros(900), "a") && ids.insert(Micros(900), "b"));
    assert!(ids.insert(Micros(1001), "a"), "its time is over");
    assert!(!ids.insert(Micros(1001), "b"));
    assert!((0..20_000).all(|i| ids.insert(Micros(1001), &i.to_string())));
    assert!(ids.insert(Micros(1001), "b"), "the oldest goes when there are too many");
    assert!(!ids.insert(Micros(1001), "19999"));
}

/// With a second copy out, what the log knows of the first must not be lost to the outcome of the other: its
/// window and its group bind a repeat.
#[test]
fn of_two_attempts_out_at_death_the_earlier_binds() {
    let taken =
        AcceptedMessage { number: 1, class: "zoned".into(), destination: 1, ..AcceptedMessage::default() };
    let attempt = |attempt, at, zone: &str| Record::Attempt {
        number: 1,
        attempt,
        endpoint: "e".into(),
        zone: zone.into(),
        at: ms(at),
    };
    for end in [AttemptStatus::NeverRan, AttemptStatus::MayHaveRun] {
        let mut log = vec![Record::Accepted(taken.clone()), attempt(0, 100, "a"), attempt(1, 200, "b")];
        log.push(Record::Outcome { number: 1, attempt: 1, status: end });
        let owed = recover(log).remove(&1).unwrap();
        assert_eq!(
            (owed.attempts, owed.first_possible_run.clone()),
            (2, Some((ms(100), "a".to_owned()))),
            "{end:?}"
        );
        // As a new log would say it.
        assert_eq!(recover(owed.records()).remove(&1), Some(owed));
    }
    // Both out: the new log has each, and a log of before copies, which names no attempts, is read as it was
    // meant.
    let mut owed = OpenMessage { accepted: taken, ..OpenMessage::default() };
    for record in [attempt(0, 100, "a"), attempt(1, 200, "b")] {
        owed.apply(&record);
    }
    let again = recover(owed.records()).remove(&1).unwrap();
    assert_eq!((again.attempts, again.first_possible_run), (2, Some((ms(100), "a".to_owned()))));
}
