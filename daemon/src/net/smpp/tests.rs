//! What the tests of sessions share.

use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use async_channel::{Sender, bounded};
use std::rc::Rc;

/// A PDU with a command id that nobody knows, which each session counts and answers.
pub const UNKNOWN_PDU: [u8; 16] = [0, 0, 0, 16, 0, 0, 0, 0x99, 0, 0, 0, 0, 0, 0, 0, 1];

/// Shared state of a process that runs until the returned sender is dropped.
pub fn running_state(core: Sender<CoreMessage>) -> (Rc<SharedState>, Sender<()>) {
    let mut shared = SharedState::for_test(core);
    let (keep_running, calls_finished) = bounded(1);
    Rc::get_mut(&mut shared).expect("the state is not shared yet").calls_finished = calls_finished;
    (shared, keep_running)
}
