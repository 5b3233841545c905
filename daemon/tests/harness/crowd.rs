//! What the connections of a crowd send.

use super::pressure::{RequestSource, submission, submission_to};
use std::sync::Arc;

/// The longest body that a client may send.
pub const BODY_BYTES: usize = 64 * 1024;
/// Destination whose endpoint answers no call.
pub const SILENT_DESTINATION: u64 = 2;

/// Whole payments of the largest size, in a row, whose endpoint does not answer: they stay open.
pub fn payments_in_a_row(count: usize) -> RequestSource {
    let payment = |id: String| submission_to("payment", 25.0, SILENT_DESTINATION, &id, BODY_BYTES);
    Arc::new(move |n| (0..count).flat_map(|index| payment(format!("p{n}-{index}"))).collect())
}

/// As `payments_in_a_row`, without bodies: what counts is what each open message takes beside its body.
pub fn short_payments(count: usize) -> RequestSource {
    let payment = |id: String| submission_to("payment", 25.0, SILENT_DESTINATION, &id, 0);
    Arc::new(move |n| (0..count).flat_map(|index| payment(format!("s{n}-{index}"))).collect())
}

pub fn half_a_request() -> RequestSource {
    Arc::new(|n| {
        let mut request = submission(&format!("h{n}"), BODY_BYTES);
        request.pop();
        request
    })
}

pub fn many_short_fields() -> RequestSource {
    Arc::new(|_| [&b"POST /status HTTP/1.1\r\n"[..], &b"a:b\r\n".repeat(3000)].concat())
}

pub fn nothing() -> RequestSource {
    Arc::new(|_| Vec::new())
}

/// All kinds that the pages name, by turns.
pub fn all_kinds() -> Vec<RequestSource> {
    vec![payments_in_a_row(3), half_a_request(), many_short_fields(), nothing(), short_payments(20)]
}
