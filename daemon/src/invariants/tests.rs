//! Each violation must be counted, and what the rules allow must not.

use super::*;
use onyxrock::interface::{DestinationId, KindId, ZoneId};
use rstest::rstest;

const RECEIVER: ReceiverId = ReceiverId(7);
const START: Micros = Micros(1_000_000_000);
const PERMIT: Permit = Permit { epoch: 0, valid_until: Micros(u64::MAX), repeat: false, logged: true };

fn call(unsafe_to_repeat: bool) -> OutboundCall {
    OutboundCall {
        number: 1,
        attempt: 0,
        receiver: RECEIVER,
        endpoint: "e1".into(),
        request_id: "m1".into(),
        idempotency_key: String::new(),
        frontend_note: String::new(),
        body: std::sync::Arc::default(),
        started: START,
        timeout: Micros(1_000_000),
        unsafe_to_repeat,
        probe_path: None,
        cancellation: None,
    }
}

fn entry_in_state(state: EntryState) -> ListEntry {
    let (destination, kind, zone) = (DestinationId(1), KindId(0), ZoneId(0));
    ListEntry { receiver: RECEIVER, state, destination, kind, zone, weight: 1.0 }
}

#[rstest]
#[case::within_the_grace(EntryState::Draining, 1_000_000, 0)]
#[case::beyond_it(EntryState::Draining, 1_000_001, 1)]
#[case::gone(EntryState::Gone, 2_000_000, 1)]
#[case::ready(EntryState::Ready, 9_000_000, 0)]
fn a_call_after_the_drain_grace_is_counted(
    #[case] state: EntryState, #[case] after: u64, #[case] violations: u64,
) {
    let invariants = Invariants::default();
    invariants.note_entry(START, &entry_in_state(state));
    // A repeated report must not restart the grace.
    invariants.note_entry(START.plus(Micros(500_000)), &entry_in_state(state));
    invariants.check_send(START.plus(Micros(after)), &call(false), &PERMIT);
    assert_eq!((invariants.call_after_drain.get(), invariants.total()), (violations, violations));
}

#[test]
fn a_call_to_an_endpoint_that_is_ready_again_is_not_counted() {
    let invariants = Invariants::default();
    invariants.note_entry(START, &entry_in_state(EntryState::Draining));
    invariants.note_entry(START, &entry_in_state(EntryState::Ready));
    invariants.check_send(START.plus(Micros(9_000_000)), &call(false), &PERMIT);
    assert_eq!(invariants.total(), 0);
}

#[rstest]
#[case::within_the_grace(1_000_000, false, 0)]
#[case::beyond_it(1_000_001, false, 1)]
#[case::put_back(9_000_000, true, 0)]
fn a_call_to_an_endpoint_in_maintenance_is_counted(
    #[case] after: u64, #[case] put_back: bool, #[case] violations: u64,
) {
    let invariants = Invariants::default();
    invariants.note_maintenance(START, "e1", true);
    // The operator call may be repeated, and the list may report the endpoint as ready.
    invariants.note_maintenance(START.plus(Micros(500_000)), "e1", true);
    invariants.note_entry(START, &entry_in_state(EntryState::Ready));
    if put_back {
        invariants.note_maintenance(START.plus(Micros(600_000)), "e1", false);
    }
    invariants.check_send(START.plus(Micros(after)), &call(false), &PERMIT);
    assert_eq!((invariants.call_in_maintenance.get(), invariants.total()), (violations, violations));
}

#[rstest]
#[case::crosses_the_response(100_000, 0)]
#[case::during_the_retry_after(100_001, 1)]
#[case::after_it(800_000, 0)]
fn a_call_during_a_retry_after_is_counted(#[case] after: u64, #[case] violations: u64) {
    let invariants = Invariants::default();
    invariants.note_retry_after(START, RECEIVER, START.plus(Micros(800_000)));
    invariants.note_retry_after(START, RECEIVER, START.plus(Micros(300_000)));
    invariants.check_send(START.plus(Micros(after)), &call(false), &PERMIT);
    assert_eq!((invariants.call_in_retry_after.get(), invariants.total()), (violations, violations));
}

#[test]
fn a_call_beyond_its_permit_is_counted() {
    let invariants = Invariants::default();
    let repeat = Permit { repeat: true, valid_until: START, ..PERMIT };
    invariants.check_send(START, &call(false), &repeat);
    assert_eq!(invariants.total(), 0, "a safe repeat within its permit is allowed");
    invariants.check_send(START.plus(Micros(1)), &call(false), &repeat);
    assert_eq!((invariants.expired_repeat.get(), invariants.total()), (1, 1));
    invariants.check_send(START, &call(true), &repeat);
    assert_eq!((invariants.forbidden_repeat.get(), invariants.total()), (1, 2));
    invariants.check_send(START, &call(false), &Permit { logged: false, ..PERMIT });
    assert_eq!((invariants.unlogged_call.get(), invariants.total()), (1, 3));
}

#[test]
fn a_late_status_is_counted_except_shortly_after_a_restart() {
    let invariants = Invariants::default();
    let late = START.plus(Micros(300_001));
    invariants.check_report_time(START.plus(Micros(300_000)), "m1", START, Micros(60_000_000));
    invariants.check_report_time(late, "m1", START, Micros(1_500_000));
    assert_eq!(invariants.total(), 0);
    invariants.check_report_time(late, "m1", START, Micros(1_500_001));
    assert_eq!((invariants.late_status.get(), invariants.total()), (1, 1));
}

#[test]
fn a_request_without_an_answer_is_counted() {
    let invariants = Invariants::default();
    PendingResponse::new(&invariants).resolve();
    assert_eq!(invariants.total(), 0);
    drop(PendingResponse::new(&invariants));
    assert_eq!((invariants.unanswered_request.get(), invariants.total()), (1, 1));
}

/// A late final status counts in the process that left it to the next one, not in the one that finds it
/// expired.
#[test]
fn an_overdue_status_is_counted_in_the_process_that_left_it() {
    let (next_process, leaving) = (Invariants::default(), Invariants::default());
    let (late, uptime) = (START.plus(Micros(300_001)), Micros(60_000_000));
    leaving.check_left_message(START.plus(Micros(300_000)), "m1", START);
    assert_eq!(leaving.total(), 0);
    leaving.check_left_message(late, "m1", START);
    assert_eq!((leaving.late_status.get(), leaving.total()), (1, 1));
    next_process.note_expired_at_takeover("m1");
    next_process.check_report_time(late, "m1", START, uptime);
    assert_eq!(next_process.total(), 0);
    next_process.check_report_time(late, "m1", START, uptime);
    assert_eq!(next_process.late_status.get(), 1, "another message");
}
