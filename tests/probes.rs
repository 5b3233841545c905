//! Probes, what other senders tell of waits, and messages that hold back while others probe.

mod common;
use common::*;
use onyxrock::core::{AttemptOutcome, Ledger, LedgerAction, NameIndex, add_probe_class};
use onyxrock::interface::*;

const PROBE: usize = 4;

fn probed(hold_back: u64) -> Settings {
    let mut set = settings();
    assert_eq!(add_probe_class(&mut set, ms(2000), ms(hold_back)), ClassId(PROBE));
    set
}

/// The notes that a sender tells when a call is refused with a wait.
fn told(wait: u64) -> Vec<Vec<u8>> {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.submit(1, SAFE, 1);
    harness.end_attempt(1, Verdict::Full(Some(ms(wait))));
    harness.hints_sent
}

#[test]
fn a_wait_that_another_was_told_is_heeded() {
    let notes = told(3000);
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1, 3, 1);
    let before = harness.sent.len();
    notes.iter().for_each(|n| harness.handle_event(Event::PeerHint(n.clone())));
    for id in 10..30 {
        harness.submit(id, SAFE, 1);
    }
    harness.advance(ms(2990));
    assert_eq!(harness.sent.len(), before, "nothing goes in the wait");
    // It was long, so what opens then is cold: one tries, and not all that are held.
    harness.advance(ms(1200));
    assert_eq!(harness.sent.len(), before + 1);
    // A delivery that another tells of, late or out of order, ends no wait.
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    notes.iter().for_each(|n| harness.handle_event(Event::PeerHint(n.clone())));
    harness.handle_event(Event::PeerHint(vec![1, 0, 0, 0, 1]));
    harness.submit(1, SAFE, 1);
    harness.advance(ms(2990));
    assert!(harness.sent.is_empty());
}

#[test]
fn a_wait_beyond_reason_and_half_a_note_do_little() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    for bytes in [&[1, 0, 0, 0, 2, 9][..], &[1, 0, 0, 0, 7], &[9, 0, 0, 0, 2, 1, 1, 1, 1], &[2]] {
        harness.handle_event(Event::PeerHint(bytes.to_vec()));
    }
    harness.submit(1, SAFE, 1);
    harness.advance(ms(100));
    assert_eq!(harness.sent.len(), 1, "none of them says anything");
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
    harness.handle_event(Event::PeerHint([&[1, 0, 0, 0, 2][..], &u32::MAX.to_le_bytes()].concat()));
    harness.advance(ms(59_000));
    harness.submit(1, SAFE, 1);
    harness.advance(ms(900));
    assert!(harness.sent.is_empty());
    harness.advance(ms(3_000));
    assert_eq!(harness.sent.len(), 1, "a minute at most");
}

/// Where one sender probes for all, the others' messages do not try what it is trying already.
#[test]
fn messages_hold_back_from_what_is_out_of_order_and_probes_do_not() {
    let first = |hold_back: u64, class: usize| {
        let mut harness = Harness::new(probed(hold_back), vec![entry(1, 1, 0, 0)]);
        harness.warm_up(1, 3, 1);
        harness.submit(10, SAFE, 1);
        for _ in 0..3 {
            harness.end_attempt(10, Verdict::Reset);
            harness.advance(ms(10));
        }
        harness.handle_event(Event::Withdrawn(MessageId(10)));
        let (sick, sent) = (harness.now, harness.sent.len());
        harness.submit(50, class, 1);
        harness.advance(ms(15_000));
        harness.sent.get(sent).map(|s| s.at.since(sick).0 / 1000).unwrap_or(u64::MAX)
    };
    let (usual, held) = (first(0, SAFE), first(4000, SAFE));
    assert!(usual < 3000 && held >= 4000, "{usual} {held}");
    assert!(first(4000, PROBE) < 2000);
}

struct Table {
    ledger: Ledger,
    now: Micros,
}

impl Table {
    fn new() -> Table {
        let mut ledger = Ledger::new(probed(0), NameIndex::default(), Default::default(), 5);
        ledger.on_list_event(ms(1000), Event::FullList(vec![entry(1, 1, 0, 0)]));
        Table { ledger, now: ms(1000) }
    }
    fn probe(&mut self) -> u64 {
        self.ledger.submit_probe(self.now, ClassId(PROBE), DestinationId(1), ms(2000))
    }
    fn steps(&mut self) -> Vec<LedgerAction> {
        let mut steps = Vec::new();
        self.ledger.decide(self.now, true, &mut steps);
        steps.retain(|s| {
            matches!(
                s,
                LedgerAction::Probe { .. }
                    | LedgerAction::Call { .. }
                    | LedgerAction::ReportFinalStatus { .. }
            )
        });
        steps
    }
    fn end_attempt(&mut self, n: u64, verdict: Verdict) {
        self.now = self.now.plus(ms(50));
        let (to, limit) = (ReceiverId(1), (None, None));
        let a = AttemptOutcome {
            number: n,
            attempt: 0,
            receiver: to,
            verdict,
            elapsed: ms(50),
            finished: false,
            load_report: limit,
            wait_until: Micros(0),
        };
        assert_eq!(self.ledger.end_attempt(self.now, &a), None, "no log has it");
    }
}

#[test]
fn a_probe_is_one_call_that_nobody_is_owed_the_end_of() {
    for verdict in [Verdict::Error, Verdict::TimedOut, Verdict::Full(None), Verdict::Delivered, Verdict::Moot]
    {
        let mut t = Table::new();
        let n = t.probe();
        let steps = t.steps();
        assert!(
            matches!(steps[..], [LedgerAction::Probe { number: m, receiver: ReceiverId(1), .. }] if m == n),
            "{steps:?}"
        );
        assert_eq!(
            (t.ledger.held_count(), t.ledger.open_messages().count(), t.ledger.attempts_in_flight()),
            (0, 0, 0)
        );
        t.end_attempt(n, verdict);
        for _ in 0..40 {
            t.now = t.now.plus(ms(100));
            assert_eq!(t.steps(), [], "{verdict:?}: it is not repeated and has no end to tell");
        }
        assert!(!t.ledger.probe_is_open(n));
    }
}

#[test]
fn a_probe_that_cannot_go_ends_by_itself_or_is_called_off() {
    let mut t = Table::new();
    let first = t.probe();
    t.steps();
    t.end_attempt(first, Verdict::Full(Some(ms(10_000))));
    let (late, off) = (t.probe(), t.probe());
    assert_eq!(t.steps(), [], "the told wait holds for probes too");
    t.ledger.cancel_probe(t.now, off);
    for _ in 0..30 {
        t.now = t.now.plus(ms(100));
        assert_eq!(t.steps(), []);
    }
    assert!(!t.ledger.probe_is_open(late) && !t.ledger.probe_is_open(off));
    // One that is out is called off too; its end is still taken.
    t.now = t.now.plus(ms(20_000));
    let out = t.probe();
    assert_eq!(t.steps().len(), 1);
    t.ledger.cancel_probe(t.now, out);
    t.end_attempt(out, Verdict::Error);
    assert_eq!(t.steps(), []);
}

#[test]
fn what_drains_is_not_probed() {
    let mut t = Table::new();
    let drains = ListEntry { state: EntryState::Draining, ..entry(1, 1, 0, 0) };
    t.ledger.on_list_event(t.now, Event::ListChanges(vec![drains]));
    let n = t.probe();
    assert_eq!(t.steps(), []);
    t.now = t.now.plus(ms(2500));
    assert_eq!(t.steps(), []);
    assert!(!t.ledger.probe_is_open(n) && t.ledger.unconfirmed_destinations().next().is_none());
}
