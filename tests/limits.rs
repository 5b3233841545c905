//! A limit that is used up, and a destination that is shut: both refuse everything, and only one of them
//! comes back cold.

mod common;
use common::*;
use onyxrock::interface::*;

/// Refuses whatever comes for so long; then calls are delivered. Sends within the two seconds after it.
fn after_refusals(span: Micros, wait: Option<Micros>, left: Option<f64>) -> usize {
    let mut harness = Harness::new(Settings { peer_hints: false, ..settings() }, vec![entry(1, 1, 0, 0)]);
    harness.warm_up(1000, 40, 1);
    let end = harness.now.plus(span);
    let mut id = 0;
    while harness.now.plus(ms(100)) < end {
        id += 1;
        harness.submit(id, SAFE, 1);
        harness.advance(ms(100));
        for call in harness.in_flight.clone() {
            let until = end.since(harness.now).max(ms(1));
            harness.end_attempt_with_limit(call.id, Verdict::Full(wait.map(|w| w.min(until))), left);
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

/// Read as an outage, each used-up span of two seconds put its destination on the budget of a cold one for
/// ten.
#[test]
fn a_span_that_is_used_up_is_no_outage() {
    for wait in [None, Some(ms(1700))] {
        let (limit, shut) =
            (after_refusals(ms(1700), wait, Some(0.0)), after_refusals(ms(1700), wait, Some(0.9)));
        assert!(limit >= 6, "{limit} calls in two seconds, told {wait:?}");
        assert!(
            wait.is_some() || shut < limit / 2,
            "{shut} calls where the limit was not used, {limit} where it was"
        );
    }
}

#[test]
fn a_wait_that_no_limit_asks_for_tells_of_an_outage() {
    let calls = |ms_told| after_refusals(ms(ms_told), Some(ms(ms_told)), None);
    let (limit, shut) = (calls(1900), calls(9000));
    assert!(shut <= 6 && limit > 2 * shut, "{shut} calls at one that has just opened, {limit} at a limit");
}

/// Told of a limit by answers, a sender keeps its calls apart before it is refused once, and the further the
/// less is left.
#[test]
fn a_limit_that_answers_report_spaces_calls_before_any_refusal() {
    let calls = |left: Option<f64>| {
        let mut harness = Harness::new(settings(), vec![entry(1, 1, 0, 0)]);
        for id in 1..=4 {
            harness.submit(id, SAFE, 1);
            harness.advance(ms(500));
            harness.end_attempt_with_limit(id, Verdict::Delivered, left);
        }
        let before = harness.sent.len();
        (10..30).for_each(|id| harness.submit(id, SAFE, 1));
        for _ in 0..100 {
            harness.advance(ms(20));
            harness
                .in_flight
                .clone()
                .iter()
                .for_each(|call| harness.end_attempt_with_limit(call.id, Verdict::Delivered, left));
        }
        harness.sent.len() - before
    };
    // Ten a second for two senders: in two seconds ten are this one's part.
    let (none, much, little) = (calls(None), calls(Some(1.0)), calls(Some(0.0)));
    assert_eq!(none, 20, "nothing is told: all go at once");
    assert!((15..=20).contains(&much), "{much} with all of it left");
    assert!((6..=10).contains(&little), "{little} with nothing left");
}
