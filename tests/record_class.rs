//! The settings of a message's class in the log: they are restored exactly, and logs from before they were
//! recorded can still be read.

use onyxrock::core::{AcceptedMessage, Record, RecordedClass, scan_log};
use onyxrock::interface::{ClassSettings, DedupScope, Effect, Micros};
use rstest::rstest;

const WINDOW: Micros = Micros(5_000_000);

fn write_and_read(message: &AcceptedMessage) -> Vec<Record> {
    let mut bytes = Vec::new();
    Record::Accepted(message.clone()).write(&mut bytes);
    let scan = scan_log(&bytes);
    assert_eq!(scan.damaged_bytes, 0);
    scan.records
}

#[rstest]
fn class_is_read_from_the_log_as_it_was_written(
    #[values(
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { scope: DedupScope::Destination, window: WINDOW },
        Effect::Keyed { scope: DedupScope::Zone, window: WINDOW }
    )]
    effect: Effect,
    #[values(false, true)] in_order: bool, #[values(0.0, 0.1, 3.0, f64::MAX)] value: f64,
) {
    let (target_latency, give_up_after) = (Micros(800_000), Micros(u64::MAX));
    let class =
        ClassSettings { target_latency, give_up_after, effect, in_order, value, late_value_share: 0.3 };
    let recorded_class = Some(RecordedClass::from(&class));
    assert_eq!(recorded_class.map(ClassSettings::from), Some(class));
    let message = AcceptedMessage {
        number: 1,
        class: "a".into(),
        recorded_class,
        body: vec![7; 9].into(),
        ..AcceptedMessage::default()
    };
    assert_eq!(write_and_read(&message), [Record::Accepted(message)]);
}

#[test]
fn record_without_a_class_is_read() {
    let message = AcceptedMessage {
        number: 1,
        class: "a".into(),
        body: vec![7; 9].into(),
        ..AcceptedMessage::default()
    };
    assert_eq!(write_and_read(&message), [Record::Accepted(message)]);
}
