//! The class of a message in the log: kept to the bit, and read from logs of before it was kept.

use onyxrock::core::{AcceptedMessage, Record, RecordedClass, scan_log};
use onyxrock::interface::{ClassSettings, DedupScope, Effect, Micros};
use rstest::rstest;

const WINDOW: Micros = Micros(5_000_000);

fn read_back(taken: &AcceptedMessage) -> Vec<Record> {
    let mut bytes = Vec::new();
    Record::Accepted(taken.clone()).write(&mut bytes);
    let scan = scan_log(&bytes);
    assert_eq!(scan.damaged_bytes, 0);
    scan.records
}

#[rstest]
fn a_class_is_read_as_it_was_written(
    #[values(
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { scope: DedupScope::Destination, window: WINDOW },
        Effect::Keyed { scope: DedupScope::Zone, window: WINDOW }
    )]
    effect: Effect,
    #[values(false, true)] in_order: bool, #[values(0.0, 0.1, 3.0, f64::MAX)] worth: f64,
) {
    let (aim, give_up) = (Micros(800_000), Micros(u64::MAX));
    let class = ClassSettings {
        target_latency: aim,
        give_up_after: give_up,
        effect,
        in_order,
        value: worth,
        late_value_share: 0.3,
    };
    let class_then = Some(RecordedClass::from(&class));
    assert_eq!(class_then.map(ClassSettings::from), Some(class));
    let taken = AcceptedMessage {
        number: 1,
        class: "a".into(),
        recorded_class: class_then,
        body: vec![7; 9],
        ..AcceptedMessage::default()
    };
    assert_eq!(read_back(&taken), [Record::Accepted(taken)]);
}

#[test]
fn a_log_of_before_it_was_kept_is_read() {
    let taken =
        AcceptedMessage { number: 1, class: "a".into(), body: vec![7; 9], ..AcceptedMessage::default() };
    assert_eq!(read_back(&taken), [Record::Accepted(taken)]);
}
