//! The class of a message in the log: kept to the bit, and read from logs of before it was kept.

use onyxrock::core::{ClassThen, Record, Taken, frames};
use onyxrock::interface::{ClassSettings, Effect, Group, Micros};
use rstest::rstest;

const WINDOW: Micros = Micros(5_000_000);

fn read_back(taken: &Taken) -> Vec<Record> {
    let mut bytes = Vec::new();
    Record::Taken(taken.clone()).write(&mut bytes);
    let scan = frames(&bytes);
    assert_eq!(scan.damaged, 0);
    scan.records
}

#[rstest]
fn a_class_is_read_as_it_was_written(
    #[values(
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { group: Group::All, window: WINDOW },
        Effect::Keyed { group: Group::Zone, window: WINDOW }
    )]
    effect: Effect,
    #[values(false, true)] in_order: bool, #[values(0.0, 0.1, 3.0, f64::MAX)] worth: f64,
) {
    let (aim, give_up) = (Micros(800_000), Micros(u64::MAX));
    let class = ClassSettings { aim, give_up, effect, in_order, worth, late_share: 0.3 };
    let class_then = Some(ClassThen::from(&class));
    assert_eq!(class_then.map(ClassSettings::from), Some(class));
    let taken = Taken { n: 1, class: "a".into(), class_then, body: vec![7; 9], ..Taken::default() };
    assert_eq!(read_back(&taken), [Record::Taken(taken)]);
}

#[test]
fn a_log_of_before_it_was_kept_is_read() {
    let taken = Taken { n: 1, class: "a".into(), body: vec![7; 9], ..Taken::default() };
    assert_eq!(read_back(&taken), [Record::Taken(taken)]);
}
