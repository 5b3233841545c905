use super::*;
use onyxrock::core::scan_log;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A log of messages of any size, of which some are closed.
fn log(rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in 0..60 {
        let body_bytes = if rng.random_bool(0.1) { 64 * 1024 } else { rng.random_range(0..300) };
        let message = AcceptedMessage {
            number,
            request_id: format!("id{number}"),
            deadline: Micros(number),
            body: vec![0xa7; body_bytes].into(),
            ..AcceptedMessage::default()
        };
        Record::Accepted(message).write(&mut bytes);
        if rng.random_bool(0.5) {
            Record::Closed(rng.random_range(0..=number)).write(&mut bytes);
        }
    }
    bytes
}

/// A log that is read piece by piece holds what it holds as a whole, wherever its pieces end and whatever is damaged.
#[test]
fn pieces_of_a_log_hold_the_same_records() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bytes = log(&mut rng);
        for _ in 0..rng.random_range(0..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] ^= 0x55;
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        let whole = scan_log(&bytes);
        let (mut decoder, mut records, mut rest) = (LogDecoder::default(), Vec::new(), &bytes[..]);
        while !rest.is_empty() {
            let (piece, behind) = rest.split_at(rng.random_range(1..=rest.len().min(9000)));
            decoder.push(piece, |record| records.push(record));
            rest = behind;
        }
        let damaged_bytes = decoder.finish(|record| records.push(record));
        assert_eq!((damaged_bytes, records), (whole.damaged_bytes, whole.records), "seed {seed}");
    }
}

#[test]
fn a_log_that_does_not_exist_is_empty() {
    let read = read_messages(Path::new("/nonexistent/onyxrock.log")).unwrap();
    assert!(read.open.is_empty() && read.accepted.is_empty() && read.log_bytes == 0);
}
