//! Reservations of several connections, without sockets.

use super::*;
use async_executor::LocalExecutor;
use futures_lite::future::{block_on, poll_once};
use std::time::Duration;

const BUDGET: usize = 10_000;

fn reservation(budget: &InputBudget, serial: u64, first_byte_at: Micros) -> InputReservation<'_> {
    let mut reservation = InputReservation::new(budget, serial);
    reservation.begin(first_byte_at);
    reservation
}

fn grows_at_once(reservation: &mut InputReservation, clock: &Clock, bytes: usize) -> Option<bool> {
    block_on(poll_once(reservation.grow_to(clock, FREE_BYTES + bytes)))
}

#[test]
fn what_is_reserved_is_given_back_with_its_connection() {
    let (clock, budget) = (Clock::default(), InputBudget::new(BUDGET));
    let now = clock.now();
    let mut first = reservation(&budget, 1, now);
    assert_eq!(grows_at_once(&mut first, &clock, BUDGET), Some(true));
    let mut second = reservation(&budget, 2, now);
    assert_eq!(grows_at_once(&mut second, &clock, 0), Some(true), "a small buffer needs no reservation");
    assert_eq!(grows_at_once(&mut second, &clock, 1), None);
    first.complete();
    first.shrink_to(FREE_BYTES + 4000);
    assert_eq!(grows_at_once(&mut second, &clock, 6000), Some(true));
    assert_eq!(grows_at_once(&mut second, &clock, 6001), None);
    drop(first);
    assert_eq!(grows_at_once(&mut second, &clock, BUDGET), Some(true));
}

/// Guards against requests that do not end and keep the memory from all others.
#[test]
fn the_oldest_input_is_given_up_and_the_latest_goes_first() {
    let (clock, budget) = (Clock::default(), InputBudget::new(BUDGET));
    let now = clock.now();
    let mut holders: Vec<_> =
        (0..2).map(|serial| reservation(&budget, serial, now.plus(Micros(serial)))).collect();
    for holder in &mut holders {
        assert_eq!(grows_at_once(holder, &clock, BUDGET / 2), Some(true));
    }
    let executor = LocalExecutor::new();
    let admitted = std::cell::RefCell::new(Vec::new());
    let wait = async |serial: u64| {
        let mut waiting = reservation(&budget, serial, now.plus(Micros(serial)));
        assert!(waiting.grow_to(&clock, FREE_BYTES + BUDGET / 2).await);
        admitted.borrow_mut().push(serial);
        waiting
    };
    block_on(executor.run(async {
        let mut waiters = [10, 11].map(|serial| Box::pin(wait(serial)));
        for waiter in &mut waiters {
            assert!(poll_once(waiter).await.is_none());
        }
        assert!(
            holders.iter().all(|holder| holder.give_up.1.is_empty()),
            "they are younger than {MIN_AGE:?}"
        );
        async_io::Timer::after(Duration::from_micros(MIN_AGE.0)).await;
        for waiter in &mut waiters {
            assert!(poll_once(waiter).await.is_none());
        }
        assert!(holders.iter().all(|holder| holder.give_up.1.len() == 1));
        drop(holders.pop());
        let mut held = Vec::new();
        for waiter in &mut waiters {
            held.extend(poll_once(waiter).await);
        }
        assert_eq!(*admitted.borrow(), [11], "the latest goes first");
    }));
}

#[test]
fn a_connection_that_is_told_to_give_up_gets_no_more() {
    let (clock, budget) = (Clock::default(), InputBudget::new(BUDGET));
    let mut holder = reservation(&budget, 1, Micros(0));
    assert_eq!(grows_at_once(&mut holder, &clock, BUDGET), Some(true));
    let mut other = reservation(&budget, 2, clock.now());
    assert_eq!(grows_at_once(&mut other, &clock, 1), None, "it waits until the memory is given back");
    assert_eq!(block_on(poll_once(holder.given_up())), Some(()));
    holder.complete();
    holder.shrink_to(0);
    assert_eq!(grows_at_once(&mut other, &clock, 1), Some(true));
}
