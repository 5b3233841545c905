//! Checks how an actor shares the executor with others.

use super::SharedState;
use crate::counters::Counter;
use futures_lite::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limits how long a failing test runs.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// What an actor does at most between two turns of another one.
const MAX_IN_A_TURN: u64 = 1;

/// Runs all actors until a counter reaches `total`, and asserts that another actor gets its turns meanwhile.
pub fn assert_others_get_turns(
    shared: &Rc<SharedState>, counter: impl Fn(&SharedState) -> &Counter + 'static, total: u64,
) {
    let other_actor = shared.executor.spawn({
        let shared = shared.clone();
        async move {
            let (mut count, mut most_in_a_turn) = (0, 0);
            let started = Instant::now();
            while count < total {
                assert!(started.elapsed() < EVENT_TIMEOUT, "counted {count} of {total}");
                let count_now = counter(&shared).get();
                most_in_a_turn = most_in_a_turn.max(count_now - count);
                count = count_now;
                future::yield_now().await;
            }
            most_in_a_turn
        }
    });
    let most_in_a_turn = async_io::block_on(shared.executor.run(other_actor));
    assert!(most_in_a_turn <= MAX_IN_A_TURN, "{most_in_a_turn} of {total} in one turn");
}
