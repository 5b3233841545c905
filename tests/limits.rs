//! A destination with a used-up limit and a destination with an outage both refuse everything, but only the
//! second one is cold afterwards.

mod common;
use common::*;
use onyxrock::interface::*;

/// Refuses all calls for `span`, then delivers them. Returns the number of calls in the two seconds after the
/// refusals.
fn calls_after_refusals(span: Micros, retry_after: Option<Micros>, remaining_share: Option<f64>) -> usize {
    let mut harness = Harness::new(Settings { peer_hints: false, ..settings() }, vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 40, 1);
    let end = harness.now.plus(span);
    let mut id = 0;
    while harness.now.plus(ms(100)) < end {
        id += 1;
        harness.submit(id, SAFE, 1);
        harness.advance(ms(100));
        for call in harness.in_flight.clone() {
            let rest = end.since(harness.now).max(ms(1));
            harness.end_attempt_with_limit(
                call.id,
                Verdict::Full(retry_after.map(|wait| wait.min(rest))),
                remaining_share,
            );
        }
    }
    let before = harness.sent.len();
    for _ in 0..40 {
        harness.advance(ms(50));
        harness
            .in_flight
            .clone()
            .iter()
            .for_each(|call| harness.end_attempt_with_limit(call.id, Verdict::Delivered, Some(0.9)));
    }
    harness.sent.len() - before
}

/// Guards against a used-up limit that is taken for an outage: each used-up window of two seconds then
/// limited the destination to the budget of a cold one for ten seconds.
#[test]
fn used_up_limit_is_not_treated_as_an_outage() {
    for retry_after in [None, Some(ms(1700))] {
        let (limited, outage) = (
            calls_after_refusals(ms(1700), retry_after, Some(0.0)),
            calls_after_refusals(ms(1700), retry_after, Some(0.9)),
        );
        assert!(limited >= 6, "{limited} calls in two seconds after retry-after {retry_after:?}");
        assert!(
            retry_after.is_some() || outage < limited / 2,
            "{outage} calls where the limit was not used, {limited} where it was"
        );
    }
}

#[test]
fn retry_after_too_long_for_a_limit_is_treated_as_an_outage() {
    let calls = |retry_after_ms| calls_after_refusals(ms(retry_after_ms), Some(ms(retry_after_ms)), None);
    let (limited, outage) = (calls(1900), calls(9000));
    assert!(
        outage <= 6 && limited > 2 * outage,
        "{outage} calls after an outage, {limited} after a used-up limit"
    );
}

/// Guards against a burst into a limit that responses report: a sender spaces its calls before the first
/// refusal, and the more the less of the limit remains.
#[test]
fn reported_limit_paces_calls_before_any_refusal() {
    let calls = |remaining_share: Option<f64>| {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        for id in 1..=4 {
            harness.submit(id, SAFE, 1);
            harness.advance(ms(500));
            harness.end_attempt_with_limit(id, Verdict::Delivered, remaining_share);
        }
        let before = harness.sent.len();
        (10..30).for_each(|id| harness.submit(id, SAFE, 1));
        for _ in 0..100 {
            harness.advance(ms(20));
            harness.in_flight.clone().iter().for_each(|call| {
                harness.end_attempt_with_limit(call.id, Verdict::Delivered, remaining_share)
            });
        }
        harness.sent.len() - before
    };
    // The limit of ten a second is for two senders, so this sender's share is ten calls in two seconds.
    let (unreported, unused, used_up) = (calls(None), calls(Some(1.0)), calls(Some(0.0)));
    assert_eq!(unreported, 20, "without a reported limit all messages are sent at once");
    assert!((15..=20).contains(&unused), "{unused} calls with all of the limit remaining");
    assert!((6..=10).contains(&used_up), "{used_up} calls with nothing remaining");
}
