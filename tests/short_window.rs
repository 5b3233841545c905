//! A deduplication window of one second: a repeat is sent within the window or not at all.

mod common;
use common::*;
use onyxrock::interface::*;

const WINDOW: Micros = Micros(1_000_000);
/// Endpoints of one destination; endpoints with an odd number are in the first zone, the others in the
/// second.
const ENDPOINTS: [u64; 4] = [1, 2, 3, 4];
/// Endpoints in the second zone.
const SECOND_ZONE: [u64; 2] = [2, 4];

/// Settings with the short window in all keyed classes.
fn short_window_settings() -> Settings {
    let mut settings = settings();
    for class in &mut settings.classes {
        if let Effect::Keyed { window, .. } = &mut class.effect {
            *window = WINDOW;
        }
    }
    settings
}

/// A harness with one destination that has been used recently.
fn new_harness() -> Harness {
    let listed = ENDPOINTS.map(|r| entry(r, 1, 0, (r as usize - 1) % 2)).to_vec();
    let mut harness = Harness::new(short_window_settings(), listed);
    harness.warm_up(1000, 8, 1);
    harness.sent.clear();
    harness
}

/// Number of attempts of a message that were sent after its window, which runs from the first attempt.
fn attempts_after_window(harness: &Harness, id: u64) -> usize {
    let sent: Vec<_> = harness.sent.iter().filter(|s| s.id == id).collect();
    sent.iter().filter(|s| s.at.since(sent[0].at) >= WINDOW).count()
}

#[test]
fn timeout_leaves_time_for_a_repeat_within_the_window() {
    for class in [ORDERED, ZONED] {
        let mut harness = new_harness();
        harness.submit(1, class, 1);
        let timeout = harness.sent[0].timeout;
        harness.advance(timeout);
        harness.end_attempt(1, Verdict::TimedOut);
        harness.advance(ms(3000));
        assert_eq!(
            (harness.attempts_of(1), attempts_after_window(&harness, 1)),
            (2, 0),
            "class {class}, timeout {timeout:?}"
        );
    }
}

#[test]
fn message_that_fails_after_the_window_is_not_repeated() {
    for class in [ORDERED, ZONED] {
        for verdict in [Verdict::TimedOut, Verdict::Reset, Verdict::Error] {
            let mut harness = new_harness();
            harness.submit(1, class, 1);
            harness.advance(ms(1010));
            harness.end_attempt(1, verdict);
            harness.advance(ms(25_000));
            assert_eq!(harness.attempts_of(1), 1, "class {class}, {verdict:?}");
            assert_eq!(
                harness.failed,
                [1],
                "class {class}, {verdict:?}: the message may have run, so it fails"
            );
        }
    }
}

/// Guards against a window that starts anew with each attempt: a repeat that fails within a second of its own
/// start, but after the window of the first attempt, is the last.
#[test]
fn window_runs_from_the_first_attempt_that_may_have_run() {
    for class in [ORDERED, ZONED] {
        let mut harness = new_harness();
        harness.submit(1, class, 1);
        harness.advance(ms(500));
        harness.end_attempt(1, Verdict::Reset);
        assert_eq!(harness.attempts_of(1), 2, "class {class}: the message is repeated within the window");
        harness.advance(ms(700));
        harness.end_attempt(1, Verdict::Reset);
        harness.advance(ms(3000));
        assert_eq!((harness.attempts_of(1), attempts_after_window(&harness, 1)), (2, 0), "class {class}");
    }
}

/// Guards against a repeat that was decided within the window and leaves after it, because it waited for its
/// connection: the policy rechecks it before the first byte.
#[test]
fn repeat_whose_connection_opens_after_the_window_is_held_back() {
    let mut harness = new_harness();
    harness.submit(1, ZONED, 1);
    harness.advance(ms(300));
    harness.end_attempt(1, Verdict::Reset);
    harness.advance(ms(300));
    let repeat = harness.in_flight.first().cloned().expect("the repeat is in flight");
    let recheck = |harness: &Harness, after_ms: u64| {
        let at = harness.sent[0].at.plus(ms(after_ms));
        harness.policy.recheck_send(at, MessageId(1), repeat.attempt, ReceiverId(repeat.receiver))
    };
    // A sender may be delayed for 0.15 s between the recheck and the first byte.
    assert_eq!(recheck(&harness, 840), SendRecheck::Allowed);
    assert_eq!(recheck(&harness, 850), SendRecheck::NoLongerAllowed);
}

/// Guards against a window that starts anew at a restart. Each case gives the milliseconds since the attempt
/// in flight was sent, and the number of repeats after the restart.
#[test]
fn window_from_before_a_restart_limits_the_repeat() {
    for (sent_ms_ago, repeats) in [(300, 1), (990, 0), (1500, 0)] {
        for class in [ORDERED, ZONED] {
            let mut harness = new_harness();
            let first_sent_at = Micros(harness.now.0 - sent_ms_ago * 1000);
            let message = Message {
                id: MessageId(1),
                class: ClassId(class),
                tenant: None,
                ordering_key: None,
                destination: DestinationId(1),
                time_left: ms(18_000),
            };
            let history =
                AttemptHistory { attempts: 1, first_possible_run: Some((first_sent_at, ZoneId(1))) };
            harness.handle_event(Event::Resume(message, history));
            harness.advance(ms(2000));
            assert_eq!(harness.attempts_of(1), repeats, "class {class}, sent {sent_ms_ago} ms ago");
            let in_other_zone =
                harness.sent.iter().filter(|s| class == ZONED && !SECOND_ZONE.contains(&s.receiver)).count();
            assert_eq!(in_other_zone, 0, "the other zone does not deduplicate");
        }
    }
}
