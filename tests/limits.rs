//! A limit that is used up, and a destination that is shut: both refuse everything, and only one of them comes back cold.

mod common;
use common::*;
use onyxrock::interface::*;

/// Refuses whatever comes for so long; then calls are delivered. Sends within the two seconds after it.
fn after_refusals(span: Micros, wait: Option<Micros>, left: Option<f64>) -> usize {
    let mut rig = Rig::new(Settings { peer_hints: false, ..settings() }, vec![entry(1, 1, 0, 0)]);
    rig.warm(1000, 40, 1);
    let end = rig.now.plus(span);
    let mut id = 0;
    while rig.now.plus(ms(100)) < end {
        id += 1;
        rig.submit(id, SAFE, 1);
        rig.pass(ms(100));
        for open in rig.out.clone() {
            let until = end.since(rig.now).max(ms(1));
            rig.answer_with(open.id, Verdict::Full(wait.map(|w| w.min(until))), left);
        }
    }
    let before = rig.sent.len();
    for _ in 0..40 {
        rig.pass(ms(50));
        rig.out.clone().iter().for_each(|open| rig.answer_with(open.id, Verdict::Delivered, Some(0.9)));
    }
    rig.sent.len() - before
}

/// Read as an outage, each used-up span of two seconds put its destination on the budget of a cold one for ten.
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

/// Told of a limit by answers, a sender keeps its calls apart before it is refused once, and the further the less is left.
#[test]
fn a_limit_that_answers_report_spaces_calls_before_any_refusal() {
    let calls = |left: Option<f64>| {
        let mut rig = Rig::new(settings(), vec![entry(1, 1, 0, 0)]);
        for id in 1..=4 {
            rig.submit(id, SAFE, 1);
            rig.pass(ms(500));
            rig.answer_with(id, Verdict::Delivered, left);
        }
        let before = rig.sent.len();
        (10..30).for_each(|id| rig.submit(id, SAFE, 1));
        for _ in 0..100 {
            rig.pass(ms(20));
            rig.out.clone().iter().for_each(|open| rig.answer_with(open.id, Verdict::Delivered, left));
        }
        rig.sent.len() - before
    };
    // Ten a second for two senders: in two seconds ten are this one's part.
    let (none, much, little) = (calls(None), calls(Some(1.0)), calls(Some(0.0)));
    assert_eq!(none, 20, "nothing is told: all go at once");
    assert!((15..=20).contains(&much), "{much} with all of it left");
    assert!((6..=10).contains(&little), "{little} with nothing left");
}
