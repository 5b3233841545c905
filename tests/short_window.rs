//! A window for repeats of one second: what is repeated goes within it, and what can't go within it never
//! goes again.

mod common;
use common::*;
use onyxrock::interface::*;

const WINDOW: Micros = Micros(1_000_000);
/// Endpoints of one destination; those of odd number are in the first zone, the others in the second.
const ENDPOINTS: [u64; 4] = [1, 2, 3, 4];
const SECOND_ZONE: [u64; 2] = [2, 4];

/// Keyed messages whose repeats are dropped for a second.
fn settings_of_restart_days() -> Settings {
    let mut set = settings();
    for class in &mut set.classes {
        if let Effect::Keyed { window, .. } = &mut class.effect {
            *window = WINDOW;
        }
    }
    set
}

/// One destination that has been used lately.
fn harness() -> Harness {
    let listed = ENDPOINTS.map(|r| entry(r, 1, 0, (r as usize - 1) % 2)).to_vec();
    let mut harness = Harness::new(settings_of_restart_days(), listed);
    harness.warm_up(1000, 8, 1);
    harness.sent.clear();
    harness
}

/// Attempts of the message that left after its window, counted from the first one.
fn late(harness: &Harness, id: u64) -> usize {
    let sent: Vec<_> = harness.sent.iter().filter(|s| s.id == id).collect();
    sent.iter().filter(|s| s.at.since(sent[0].at) >= WINDOW).count()
}

#[test]
fn an_answer_is_waited_for_so_shortly_that_a_repeat_fits_into_the_window() {
    for class in [ORDERED, ZONED] {
        let mut harness = harness();
        harness.submit(1, class, 1);
        let timeout = harness.sent[0].timeout;
        harness.advance(timeout);
        harness.end_attempt(1, Verdict::TimedOut);
        harness.advance(ms(3000));
        assert_eq!(
            (harness.attempts_of(1), late(&harness, 1)),
            (2, 0),
            "class {class}, waited for {timeout:?}"
        );
    }
}

#[test]
fn what_fails_behind_the_window_never_goes_again() {
    for class in [ORDERED, ZONED] {
        for verdict in [Verdict::TimedOut, Verdict::Reset, Verdict::Error] {
            let mut harness = harness();
            harness.submit(1, class, 1);
            harness.advance(ms(1010));
            harness.end_attempt(1, verdict);
            harness.advance(ms(25_000));
            assert_eq!(harness.attempts_of(1), 1, "class {class}, {verdict:?}");
            assert_eq!(harness.failed, [1], "class {class}, {verdict:?}: nothing else is promised");
        }
    }
}

/// A repeat that fails within its own second, but behind that of the first attempt, is the last.
#[test]
fn the_window_runs_from_the_first_attempt_that_may_have_run() {
    for class in [ORDERED, ZONED] {
        let mut harness = harness();
        harness.submit(1, class, 1);
        harness.advance(ms(500));
        harness.end_attempt(1, Verdict::Reset);
        assert_eq!(harness.attempts_of(1), 2, "class {class}: the window is used");
        harness.advance(ms(700));
        harness.end_attempt(1, Verdict::Reset);
        harness.advance(ms(3000));
        assert_eq!((harness.attempts_of(1), late(&harness, 1)), (2, 0), "class {class}");
    }
}

/// Decided on within the window, a repeat may wait for its connection: it is asked again before its first
/// byte.
#[test]
fn a_repeat_whose_connection_comes_up_behind_the_window_does_not_leave() {
    let mut harness = harness();
    harness.submit(1, ZONED, 1);
    harness.advance(ms(300));
    harness.end_attempt(1, Verdict::Reset);
    harness.advance(ms(300));
    let repeat = harness.in_flight.first().cloned().expect("the repeat is decided on");
    let leave = |harness: &Harness, after: u64| {
        let at = harness.sent[0].at.plus(ms(after));
        harness.policy.recheck_send(at, MessageId(1), repeat.attempt, ReceiverId(repeat.receiver))
    };
    // A sender may be held up for 0.15 s between this look and the first byte.
    assert_eq!(leave(&harness, 840), SendRecheck::Allowed);
    assert_eq!(leave(&harness, 850), SendRecheck::NoLongerAllowed);
}

/// What a restart finds with an attempt out: so long ago it was sent, and so often it goes.
#[test]
fn after_a_restart_the_window_of_before_binds() {
    for (ago, sends) in [(300, 1), (990, 0), (1500, 0)] {
        for class in [ORDERED, ZONED] {
            let mut harness = harness();
            let first = Micros(harness.now.0 - ago * 1000);
            let message = Message {
                id: MessageId(1),
                class: ClassId(class),
                tenant: None,
                ordering_key: None,
                destination: DestinationId(1),
                time_left: ms(18_000),
            };
            let past = AttemptHistory { attempts: 1, first_possible_run: Some((first, ZoneId(1))) };
            harness.handle_event(Event::Resume(message, past));
            harness.advance(ms(2000));
            assert_eq!(harness.attempts_of(1), sends, "class {class}, sent {ago} ms ago");
            let elsewhere =
                harness.sent.iter().filter(|s| class == ZONED && !SECOND_ZONE.contains(&s.receiver)).count();
            assert_eq!(elsewhere, 0, "the other zone drops nothing");
        }
    }
}
