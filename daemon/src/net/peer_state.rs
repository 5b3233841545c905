//! Whether the other end of a connection is still there. A read shows that only once all that came before has been
//! read; the system knows it as soon as it has arrived.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::os::fd::AsFd;

/// The other end of a connection, as far as this system knows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeerState {
    /// It may send more, and reads.
    Present,
    /// It sends no more. It may have closed the connection, or may still read.
    SendsNoMore,
    /// The connection is reset or closed.
    Gone,
}

impl PeerState {
    /// The state of a connection's other end.
    pub fn of(stream: &impl AsFd) -> PeerState {
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
        // A failed call says nothing; the next write shows the state.
        if poll(&mut fds, Some(&at_once)).is_err() {
            return PeerState::Present;
        }
        let events = fds[0].revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            PeerState::Gone
        } else if events.contains(PollFlags::RDHUP) {
            PeerState::SendsNoMore
        } else {
            PeerState::Present
        }
    }
}
