//! Probes, hints of other senders about a retry-after, and messages that wait while another sender probes.

mod common;
use common::*;
use onyxrock::core::{AttemptOutcome, Ledger, LedgerAction, NameIndex, Sending, add_probe_class};
use onyxrock::interface::*;

/// Index of the class of probes.
const PROBE: usize = 4;

/// Settings with a class of probes, where messages wait this long for the probes of an unhealthy receiver.
fn settings_with_probes(message_probe_delay_ms: u64) -> Settings {
    let mut settings = settings();
    assert_eq!(add_probe_class(&mut settings, ms(2000), ms(message_probe_delay_ms)), ClassId(PROBE));
    settings
}

/// The hints that a sender sends when a call is refused with a retry-after.
fn retry_after_hints(retry_after_ms: u64) -> Vec<Vec<u8>> {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.submit(1, SAFE, 1);
    harness.end_attempt(1, Verdict::Full(Some(ms(retry_after_ms))));
    harness.hints_sent
}

#[test]
fn retry_after_from_a_hint_is_kept() {
    let hints = retry_after_hints(3000);
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1, 3, 1);
    let before = harness.sent.len();
    hints.iter().for_each(|hint| harness.handle_event(Event::PeerHint(hint.clone())));
    for id in 10..30 {
        harness.submit(id, SAFE, 1);
    }
    harness.advance(ms(2990));
    assert_eq!(harness.sent.len(), before, "nothing is sent within the retry-after");
    // After a long retry-after the receiver is taken for cold: one message is sent, not all that are held.
    harness.advance(ms(1200));
    assert_eq!(harness.sent.len(), before + 1);
    // A hint of a delivery, which may be late or out of order, does not end a retry-after.
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    hints.iter().for_each(|hint| harness.handle_event(Event::PeerHint(hint.clone())));
    harness.handle_event(Event::PeerHint(vec![1, 0, 0, 0, 1]));
    harness.submit(1, SAFE, 1);
    harness.advance(ms(2990));
    assert!(harness.sent.is_empty());
}

#[test]
fn malformed_hints_are_ignored_and_long_retry_after_is_capped() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    for bytes in [&[1, 0, 0, 0, 2, 9][..], &[1, 0, 0, 0, 7], &[9, 0, 0, 0, 2, 1, 1, 1, 1], &[2]] {
        harness.handle_event(Event::PeerHint(bytes.to_vec()));
    }
    harness.submit(1, SAFE, 1);
    harness.advance(ms(100));
    assert_eq!(harness.sent.len(), 1, "none of these hints is valid");
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.handle_event(Event::PeerHint([&[1, 0, 0, 0, 2][..], &u32::MAX.to_le_bytes()].concat()));
    harness.advance(ms(59_000));
    harness.submit(1, SAFE, 1);
    harness.advance(ms(900));
    assert!(harness.sent.is_empty());
    harness.advance(ms(3_000));
    assert_eq!(harness.sent.len(), 1, "the retry-after is capped at a minute");
}

/// Guards against messages that are used as trials where one sender probes an unhealthy receiver for all
/// senders.
#[test]
fn messages_wait_for_a_probe_of_an_unhealthy_receiver() {
    let first_attempt_ms = |message_probe_delay_ms: u64, class: usize| {
        let mut harness = Harness::new(settings_with_probes(message_probe_delay_ms), vec![entry(1, 1, 0, 0)]);
        harness.warm_up(1, 3, 1);
        harness.submit(10, SAFE, 1);
        for _ in 0..3 {
            harness.end_attempt(10, Verdict::Reset);
            harness.advance(ms(10));
        }
        harness.handle_event(Event::Withdrawn(MessageId(10)));
        let (unhealthy_at, sent) = (harness.now, harness.sent.len());
        harness.submit(50, class, 1);
        harness.advance(ms(15_000));
        harness.sent.get(sent).map(|s| s.at.since(unhealthy_at).0 / 1000).unwrap_or(u64::MAX)
    };
    let (usual, delayed) = (first_attempt_ms(0, SAFE), first_attempt_ms(4000, SAFE));
    assert!(usual < 3000 && delayed >= 4000, "{usual} ms without a delay, {delayed} ms with one");
    assert!(first_attempt_ms(4000, PROBE) < 2000);
}

/// A ledger with a class of probes, and its clock.
struct LedgerHarness {
    ledger: Ledger,
    now: Micros,
}

impl LedgerHarness {
    fn new() -> LedgerHarness {
        let mut ledger = Ledger::new(settings_with_probes(0), NameIndex::default(), Default::default(), 5);
        ledger.on_list_event(ms(1000), Event::FullList(vec![entry(1, 1, 0, 0)]));
        LedgerHarness { ledger, now: ms(1000) }
    }
    fn submit_probe(&mut self) -> u64 {
        self.ledger.submit_probe(self.now, ClassId(PROBE), DestinationId(1), ms(2000))
    }
    /// Lets the ledger decide and returns the calls, probes and final statuses among its actions.
    fn decide(&mut self) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        self.ledger.decide(self.now, Sending::Allowed, &mut actions);
        actions.retain(|action| {
            matches!(
                action,
                LedgerAction::Probe { .. }
                    | LedgerAction::Call { .. }
                    | LedgerAction::ReportFinalStatus { .. }
            )
        });
        actions
    }
    /// Ends the only attempt of a probe after 50 ms.
    fn end_attempt(&mut self, number: u64, verdict: Verdict) {
        self.now = self.now.plus(ms(50));
        let (receiver, load_report) = (ReceiverId(1), (None, None));
        let outcome = AttemptOutcome {
            number,
            attempt: 0,
            receiver,
            verdict,
            elapsed: ms(50),
            finished: false,
            load_report,
            wait_until: Micros(0),
        };
        assert_eq!(self.ledger.end_attempt(self.now, &outcome), None, "a probe is not logged");
    }
}

#[test]
fn probe_is_one_call_without_repeat_or_final_status() {
    for verdict in [Verdict::Error, Verdict::TimedOut, Verdict::Full(None), Verdict::Delivered, Verdict::Moot]
    {
        let mut harness = LedgerHarness::new();
        let number = harness.submit_probe();
        let actions = harness.decide();
        assert!(
            matches!(
                actions[..],
                [LedgerAction::Probe { number: id, receiver: ReceiverId(1), .. }] if id == number
            ),
            "{actions:?}"
        );
        assert_eq!(
            (
                harness.ledger.held_count(),
                harness.ledger.open_messages().count(),
                harness.ledger.attempts_in_flight()
            ),
            (0, 0, 0)
        );
        harness.end_attempt(number, verdict);
        for _ in 0..40 {
            harness.now = harness.now.plus(ms(100));
            assert_eq!(harness.decide(), [], "{verdict:?}: a probe is not repeated and has no final status");
        }
        assert!(!harness.ledger.probe_is_open(number));
    }
}

#[test]
fn probe_that_cannot_be_sent_expires_or_is_cancelled() {
    let mut harness = LedgerHarness::new();
    let first = harness.submit_probe();
    harness.decide();
    harness.end_attempt(first, Verdict::Full(Some(ms(10_000))));
    let (expired, cancelled) = (harness.submit_probe(), harness.submit_probe());
    assert_eq!(harness.decide(), [], "the retry-after applies to probes too");
    harness.ledger.cancel_probe(harness.now, cancelled);
    for _ in 0..30 {
        harness.now = harness.now.plus(ms(100));
        assert_eq!(harness.decide(), []);
    }
    assert!(!harness.ledger.probe_is_open(expired) && !harness.ledger.probe_is_open(cancelled));
    // A probe in flight can be cancelled too; its outcome is still accepted.
    harness.now = harness.now.plus(ms(20_000));
    let in_flight = harness.submit_probe();
    assert_eq!(harness.decide().len(), 1);
    harness.ledger.cancel_probe(harness.now, in_flight);
    harness.end_attempt(in_flight, Verdict::Error);
    assert_eq!(harness.decide(), []);
}

#[test]
fn draining_receiver_is_not_probed() {
    let mut harness = LedgerHarness::new();
    let draining = ListEntry { state: EntryState::Draining, ..entry(1, 1, 0, 0) };
    harness.ledger.on_list_event(harness.now, Event::ListChanges(vec![draining]));
    let number = harness.submit_probe();
    assert_eq!(harness.decide(), []);
    harness.now = harness.now.plus(ms(2500));
    assert_eq!(harness.decide(), []);
    assert!(
        !harness.ledger.probe_is_open(number) && harness.ledger.unconfirmed_destinations().next().is_none()
    );
}
