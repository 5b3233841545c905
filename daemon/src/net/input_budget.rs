//! Memory for input of clients that is not complete yet. All connections share it, so that many long requests which
//! do not end cannot use up the memory of the process.
//!
//! A connection reserves memory before its read buffer grows beyond a small size that each one has. While there is
//! none left, the input that has been coming in for longest is given up, and the latest connection gets the memory
//! first: a client that sends without pausing needs it for a moment only.

use crate::clock::Clock;
use async_channel::{Receiver, Sender, bounded};
use futures_lite::future;
use onyxrock::interface::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Bytes of a read buffer that need no reservation.
pub const FREE_BYTES: usize = 4096;
/// Input is not given up earlier than this after its first byte: a client that sends without pausing is done by then.
const MIN_AGE: Micros = Micros(100_000);

/// Identifies the input of a connection: when its first byte came, and a number that tells connections apart.
type InputRank = (Micros, u64);

#[derive(Debug, Default)]
struct State {
    free_bytes: usize,
    /// Connections with a reservation that have not been told to give up.
    holders: BTreeMap<InputRank, (usize, Sender<()>)>,
    /// Connections that wait for so many bytes.
    waiters: BTreeMap<InputRank, (usize, Sender<()>)>,
}

/// The memory that is left.
#[derive(Debug)]
pub struct InputBudget(RefCell<State>);

impl InputBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> InputBudget {
        InputBudget(RefCell::new(State { free_bytes: bytes, ..State::default() }))
    }

    fn try_take(&self, bytes: usize) -> bool {
        let mut state = self.0.borrow_mut();
        let fits = state.free_bytes >= bytes;
        if fits {
            state.free_bytes -= bytes;
        }
        fits
    }

    /// Gives bytes back, and wakes the latest waiters that they suffice for.
    fn give_back(&self, bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.free_bytes = state.free_bytes.saturating_add(bytes);
        let mut left = state.free_bytes;
        for (needed, wake) in state.waiters.values().rev() {
            if *needed > left {
                break;
            }
            left -= needed;
            let _ = wake.try_send(());
        }
    }

    /// Tells the oldest holders to give up, until this many bytes will be given back or none may be told now. Returns
    /// when to look again.
    fn give_up_oldest(&self, now: Micros, bytes: usize) -> Micros {
        let mut state = self.0.borrow_mut();
        let mut awaited = 0;
        while awaited < bytes
            && let Some(oldest) = state.holders.first_entry()
        {
            let from = oldest.key().0.plus(MIN_AGE);
            if now < from {
                return from;
            }
            let (held, give_up) = oldest.remove();
            let _ = give_up.try_send(());
            awaited += held;
        }
        now.plus(MIN_AGE)
    }
}

/// What one connection has reserved. It is given back when this is dropped.
#[derive(Debug)]
pub struct InputReservation<'a> {
    budget: &'a InputBudget,
    rank: InputRank,
    bytes: usize,
    give_up: (Sender<()>, Receiver<()>),
}

impl<'a> InputReservation<'a> {
    /// No bytes yet, for the connection with this number.
    pub fn new(budget: &'a InputBudget, serial: u64) -> InputReservation<'a> {
        InputReservation { budget, rank: (Micros(0), serial), bytes: 0, give_up: bounded(1) }
    }

    /// Begins a new input, whose first byte came at this time. What was reserved for the one before is kept.
    pub fn begin(&mut self, first_byte_at: Micros) {
        self.complete();
        self.rank.0 = first_byte_at;
        while self.give_up.1.try_recv().is_ok() {}
        self.hold();
    }

    /// Waits until a buffer of this many bytes may be used. Completes with false once the input is to be given up.
    pub async fn grow_to(&mut self, clock: &Clock, buffer_bytes: usize) -> bool {
        let missing = buffer_bytes.saturating_sub(FREE_BYTES).saturating_sub(self.bytes);
        while missing > 0 && !self.budget.try_take(missing) {
            if !self.wait(clock, missing).await {
                return false;
            }
        }
        self.bytes += missing;
        if missing > 0 {
            self.hold();
        }
        true
    }

    /// Completes when the input is to be given up.
    pub async fn given_up(&self) {
        let _ = self.give_up.1.recv().await;
    }

    /// The input is complete: it is not given up any more. What is reserved stays so until
    /// [`InputReservation::shrink_to`].
    pub fn complete(&mut self) {
        self.budget.0.borrow_mut().holders.remove(&self.rank);
    }

    /// Keeps only what a buffer of this many bytes needs.
    pub fn shrink_to(&mut self, buffer_bytes: usize) {
        let kept = self.bytes.min(buffer_bytes.saturating_sub(FREE_BYTES));
        let surplus = self.bytes - kept;
        self.bytes = kept;
        if surplus > 0 {
            self.budget.give_back(surplus);
        }
    }

    fn hold(&self) {
        if self.bytes > 0 {
            let holder = (self.bytes, self.give_up.0.clone());
            self.budget.0.borrow_mut().holders.insert(self.rank, holder);
        }
    }

    /// Waits until bytes have been given back or further input may be given up. Returns false if this input is to be
    /// given up itself.
    async fn wait(&self, clock: &Clock, bytes: usize) -> bool {
        let next_at = self.budget.give_up_oldest(clock.now(), bytes);
        let (wake, woken) = bounded(1);
        let _waiter = Waiter::new(self, bytes, wake);
        let given_up = async {
            self.given_up().await;
            false
        };
        let room = async {
            let _ = woken.recv().await;
            true
        };
        let next = async {
            clock.sleep_until(Some(next_at)).await;
            true
        };
        future::or(given_up, future::or(room, next)).await
    }
}

impl Drop for InputReservation<'_> {
    fn drop(&mut self) {
        self.complete();
        self.shrink_to(0);
    }
}

/// A connection's place among those that wait, which ends when this is dropped.
struct Waiter<'a> {
    budget: &'a InputBudget,
    rank: InputRank,
}

impl<'a> Waiter<'a> {
    fn new(reservation: &InputReservation<'a>, bytes: usize, wake: Sender<()>) -> Waiter<'a> {
        let (budget, rank) = (reservation.budget, reservation.rank);
        budget.0.borrow_mut().waiters.insert(rank, (bytes, wake));
        Waiter { budget, rank }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.budget.0.borrow_mut().waiters.remove(&self.rank);
    }
}

#[cfg(test)]
mod tests;
