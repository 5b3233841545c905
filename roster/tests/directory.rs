//! What is listed, in use and at rest, through the changes that lists bring.

use onyxrock::interface::{EntryState, Micros, ReceiverId, RetainedHealth};
use onyxrock_roster::{
    DestinationStatus, Directory, DirectoryOutput, DirectorySettings, Endpoint, EndpointCommand, EntryError,
    HealthDecay, HealthKey,
};
use std::net::SocketAddr;

fn s(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

fn rules(rest: Option<Micros>) -> DirectorySettings {
    let zones = [("z".to_owned(), 3)].into_iter().collect();
    DirectorySettings {
        max_endpoints: 60_000,
        deactivate_after: rest,
        health_decay: HealthDecay { half_life: s(600.0), forget_after: s(3600.0) },
        zones,
    }
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn one(name: &str, destination: u64, listing: EntryState) -> Endpoint<'_> {
    Endpoint { name, address: at(7), zone: "z", kind: 1, destination, weight: 2.0, state: listing }
}

fn put(d: &mut Directory, now: Micros, e: Endpoint<'_>) -> DirectoryOutput {
    let mut follows = DirectoryOutput::default();
    d.put(now, e, &mut follows).unwrap();
    d.finish_list();
    follows
}

/// A whole list of these.
fn whole(d: &mut Directory, now: Micros, names: &[String]) -> DirectoryOutput {
    let mut follows = DirectoryOutput::default();
    d.begin_complete_list();
    for (i, name) in names.iter().enumerate() {
        d.put(now, one(name, i as u64, EntryState::Ready), &mut follows).unwrap();
    }
    while !d.sweep(now, 1000, &mut follows) {}
    d.finish_list();
    follows
}

fn names(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|i| format!("e-{i}")).collect()
}

fn wake(
    d: &mut Directory, now: Micros, destination: u64,
) -> (Vec<ReceiverId>, DirectoryOutput, RetainedHealth) {
    let mut follows = DirectoryOutput::default();
    let woken = d.touch(now, destination, &mut follows).expect("it was at rest");
    (woken.endpoints.iter().map(|(e, _)| e.receiver).collect(), follows, woken.health)
}

#[test]
fn what_nobody_uses_has_nothing_but_its_line() {
    let mut d = Directory::new(rules(None));
    assert_eq!(d.destination_status(s(0.0), 7), DestinationStatus::NoList);
    let follows = whole(&mut d, s(0.0), &names(0, 50_000));
    assert!(follows.commands.is_empty() && follows.entries.is_empty());
    assert_eq!(
        (d.listed_endpoint_count(), d.active_destination_count(), d.active_endpoints().len()),
        (50_000, 0, 0)
    );
    assert_eq!(
        (d.destination_status(s(0.0), 7), d.destination_status(s(0.0), 50_000)),
        (DestinationStatus::Known, DestinationStatus::Unknown)
    );
    let (to, follows, _) = wake(&mut d, s(1.0), 7);
    assert_eq!(follows.commands, [EndpointCommand::Open(to[0], at(7))]);
    let e = d.touch(s(1.0), 8, &mut DirectoryOutput::default()).unwrap().endpoints[0].0.clone();
    assert_eq!((e.zone.0, e.kind.0, e.weight, e.state), (3, 1, 2.0, EntryState::Ready));
    assert!(d.touch(s(2.0), 7, &mut DirectoryOutput::default()).is_none(), "awake already");
}

#[test]
fn ten_thousand_wake_at_once_and_all_rest_again() {
    let mut d = Directory::new(rules(Some(s(10.0))));
    whole(&mut d, s(0.0), &names(0, 50_000));
    for i in 0..10_000u64 {
        wake(&mut d, s(1.0 + i as f64 * 1e-4), i);
    }
    assert_eq!((d.active_destination_count(), d.active_endpoints().len()), (10_000, 10_000));
    assert_eq!(d.next_idle(s(10.9)), None);
    let (mut follows, mut rests) = (DirectoryOutput::default(), 0);
    while let Some(destination) = d.next_idle(s(12.1)) {
        let served = RetainedHealth { served_per_s: 4.0, ..RetainedHealth::default() };
        d.deactivate(s(12.1), destination, served, &[], &mut follows);
        rests += 1;
    }
    assert_eq!(
        (rests, d.active_destination_count(), d.active_endpoints().len(), follows.commands.len()),
        (10_000, 0, 0, 10_000)
    );
    assert_eq!(d.health_store().len(), 10_000);
    let (to, _, whole) = wake(&mut d, s(612.1), 5);
    assert_eq!(
        (whole.served_per_s, to),
        (2.0, vec![ReceiverId(10_001)]),
        "worth half after a half-life; a number of its own"
    );
}

#[test]
fn half_of_all_go_in_one_change_and_the_list_shrinks_to_one_and_back() {
    let mut d = Directory::new(rules(None));
    whole(&mut d, s(0.0), &names(0, 50_000));
    let (to, _, _) = wake(&mut d, s(0.5), 40_000);
    let follows = whole(&mut d, s(1.0), &names(0, 25_000));
    assert_eq!(
        (d.listed_endpoint_count(), follows.entries.len()),
        (25_000, 1),
        "the module hears of the one that it knows"
    );
    assert_eq!(follows.commands, [EndpointCommand::CloseIdle(to[0])]);
    assert_eq!(d.destination_status(s(1.0), 49_999), DestinationStatus::RecentlyRemoved);
    assert_eq!(
        d.destination_status(s(1.0), 40_000),
        DestinationStatus::Known,
        "something may be held for it"
    );
    for i in 0..10 {
        let n = if i % 2 == 0 { 1 } else { 50_000 };
        whole(&mut d, s(2.0 + f64::from(i)), &names(0, n));
        assert_eq!(d.listed_endpoint_count(), n);
    }
    assert_eq!(d.destination_status(s(12.0), 30_000), DestinationStatus::Known);
}

/// The bound holds for what is held, while one whole list may take another's place.
#[test]
fn a_whole_list_may_be_exchanged_for_another_and_changes_have_a_bound() {
    let mut d = Directory::new(DirectorySettings { max_endpoints: 100, ..rules(None) });
    whole(&mut d, s(0.0), &names(0, 100));
    whole(&mut d, s(1.0), &names(100, 200));
    assert_eq!(d.listed_endpoint_count(), 100);
    let refused = d.put(s(2.0), one("more", 999, EntryState::Ready), &mut DirectoryOutput::default());
    assert_eq!((refused, d.listed_endpoint_count()), (Err(EntryError::Full), 100));
    put(&mut d, s(2.0), one("e-150", 50, EntryState::Draining));
}

#[test]
fn one_that_drains_or_goes_at_rest_gets_nothing_when_its_destination_wakes() {
    let mut d = Directory::new(rules(None));
    put(&mut d, s(0.0), one("a", 1, EntryState::Ready));
    put(&mut d, s(0.0), one("b", 1, EntryState::Ready));
    put(&mut d, s(1.0), one("a", 1, EntryState::Draining));
    put(&mut d, s(1.0), one("b", 1, EntryState::Gone));
    let (to, _, _) = wake(&mut d, s(5.0), 1);
    assert_eq!(to.len(), 1);
    let a = d.active_endpoint(to[0]).unwrap();
    assert_eq!((a.name.as_str(), a.draining_since), ("a", Some(Micros(0))), "no time is left from its drain");
}

#[test]
fn one_that_drains_while_awake_has_the_time_from_when_it_was_told() {
    let mut d = Directory::new(rules(None));
    put(&mut d, s(0.0), one("a", 1, EntryState::Ready));
    let (to, _, _) = wake(&mut d, s(1.0), 1);
    let follows = put(&mut d, s(2.0), one("a", 1, EntryState::Draining));
    assert_eq!((follows.entries[0].state, follows.commands.len()), (EntryState::Draining, 0));
    put(&mut d, s(3.0), one("a", 1, EntryState::Gone));
    assert_eq!(d.active_endpoint(to[0]).unwrap().draining_since, Some(s(2.0)));
    put(&mut d, s(4.0), one("a", 1, EntryState::Ready));
    assert_eq!(
        (d.receiver_id("a"), d.active_endpoint(to[0]).unwrap().draining_since),
        (Some(to[0]), None),
        "back under its number"
    );
}

/// On a long day endpoints come and go without end: whatever is kept for each that was ever here is a leak.
#[test]
fn what_is_gone_is_let_go_with_no_call_out_and_its_address_serves_another() {
    let mut d = Directory::new(rules(None));
    for i in 0..300u64 {
        let (now, name) = (s(i as f64), format!("e-{i}"));
        put(&mut d, now, one(&name, i, EntryState::Ready));
        let (to, follows, _) = wake(&mut d, now, i);
        assert_eq!(
            (to[0], &follows.commands[0]),
            (ReceiverId(i + 1), &EndpointCommand::Open(to[0], at(7))),
            "a number of its own"
        );
        put(&mut d, now, one(&name, i, EntryState::Gone));
        let mut follows = DirectoryOutput::default();
        d.release_gone_endpoints(now, &mut follows);
        while let Some(destination) = d.next_idle(now) {
            d.deactivate(now, destination, RetainedHealth::default(), &[], &mut follows);
        }
    }
    assert!(
        d.active_endpoints().len() <= 4 && d.active_destination_count() <= 77,
        "{} {}",
        d.active_endpoints().len(),
        d.active_destination_count()
    );
    let last = *d.active_endpoints().last_key_value().unwrap().0;
    d.call_started(last);
    let mut follows = DirectoryOutput::default();
    d.release_gone_endpoints(s(400.0), &mut follows);
    assert_eq!(d.active_endpoints().len(), 1, "a call is out there");
    d.call_ended(last);
    d.release_gone_endpoints(s(500.0), &mut follows);
    assert_eq!(
        (d.active_endpoints().len(), follows.commands.last()),
        (0, Some(&EndpointCommand::Close(last)))
    );
    assert!(d.receiver_id("e-299").is_some(), "the module may know of a wait there");
    d.release_gone_endpoints(s(600.0), &mut follows);
    assert_eq!(
        (d.receiver_id("e-299"), d.destination_status(s(600.0), 299)),
        (None, DestinationStatus::Known)
    );
}

/// A message to an endpoint of another destination would void all.
#[test]
fn an_endpoint_that_moves_to_another_destination_is_another_one() {
    let mut d = Directory::new(rules(None));
    put(&mut d, s(0.0), one("a", 1, EntryState::Ready));
    let (to, _, _) = wake(&mut d, s(1.0), 1);
    wake(&mut d, s(1.0), 2);
    let follows = put(&mut d, s(2.0), one("a", 2, EntryState::Ready));
    let told: Vec<_> = follows.entries.iter().map(|e| (e.destination.0, e.state)).collect();
    assert_eq!(told, [(1, EntryState::Gone), (2, EntryState::Ready)]);
    assert_ne!(d.receiver_id("a"), Some(to[0]));
    assert_eq!(d.active_endpoint(to[0]).unwrap().draining_since, Some(s(2.0)));
    // At rest there is nothing to tell.
    put(&mut d, s(3.0), one("b", 8, EntryState::Ready));
    assert!(put(&mut d, s(3.0), one("b", 9, EntryState::Ready)).entries.is_empty());
    assert_eq!(
        (d.destination_status(s(3.0), 8), wake(&mut d, s(4.0), 9).0.len()),
        (DestinationStatus::Unknown, 1)
    );
}

#[test]
fn a_wait_outlives_its_rest_and_its_endpoint_a_changed_address_and_a_name_that_was_away() {
    let mut d = Directory::new(rules(Some(s(1.0))));
    put(&mut d, s(0.0), one("a", 1, EntryState::Ready));
    let (to, _, _) = wake(&mut d, s(0.0), 1);
    assert_eq!(d.next_idle(s(1.0)), Some(1));
    let waits = RetainedHealth { wait_until: s(100.0), unhealthy: true, served_per_s: 9.0 };
    d.deactivate(s(1.0), 1, waits, &[(to[0], waits)], &mut DirectoryOutput::default());
    assert_eq!(d.health_store().len(), 2);
    put(&mut d, s(2.0), one("a", 1, EntryState::Gone));
    put(&mut d, s(3.0), Endpoint { address: at(8), ..one("a", 1, EntryState::Ready) });
    put(&mut d, s(3.0), one("b", 1, EntryState::Ready));
    let mut follows = DirectoryOutput::default();
    let woken = d.touch(s(50.0), 1, &mut follows).unwrap();
    let still = RetainedHealth { served_per_s: 0.0, ..waits };
    assert_eq!(woken.health, still, "of the destination, whoever serves it now");
    let each: Vec<_> = woken
        .endpoints
        .iter()
        .map(|(e, r)| (d.active_endpoint(e.receiver).unwrap().name.clone(), *r))
        .collect();
    assert!(
        each.contains(&("a".into(), still)) && each.contains(&("b".into(), RetainedHealth::default())),
        "{each:?}"
    );
    assert!(d.health_store().iter().all(|(w, _)| !matches!(w, HealthKey::Destination(_))), "taken with it");
}

/// What has left is known for a while, but not of any number.
#[test]
fn of_many_that_leave_at_once_not_all_are_remembered_but_those_in_use_are() {
    let mut d = Directory::new(rules(None));
    whole(&mut d, s(0.0), &names(0, 50_000));
    for i in 1..=100 {
        wake(&mut d, s(0.0), i);
    }
    whole(&mut d, s(1.0), &names(50_000, 50_001));
    let known = (0..50_000)
        .filter(|i| d.destination_status(s(1.0), *i) == DestinationStatus::RecentlyRemoved)
        .count();
    assert!((10_000..17_000).contains(&known), "{known}");
    assert!((1..=100).all(|i| d.destination_status(s(1.0), i) == DestinationStatus::Known));
    let mut rests = 0;
    while let Some(destination) = d.next_idle(s(100.0)) {
        d.deactivate(s(100.0), destination, RetainedHealth::default(), &[], &mut DirectoryOutput::default());
        rests += 1;
    }
    assert_eq!((rests, d.active_destination_count()), (100, 0), "each is let go in the end");
}

/// The others of its destination are in use when a route comes back: its wait is not lost with its waking.
#[test]
fn a_route_that_comes_back_to_a_destination_in_use_brings_its_wait() {
    let mut d = Directory::new(rules(Some(s(1.0))));
    put(&mut d, s(0.0), one("a", 1, EntryState::Ready));
    put(&mut d, s(0.0), one("b", 1, EntryState::Ready));
    let (to, _, _) = wake(&mut d, s(0.0), 1);
    let waits = RetainedHealth { wait_until: s(100.0), ..RetainedHealth::default() };
    let a = d.receiver_id("a").unwrap();
    d.deactivate(s(1.0), 1, RetainedHealth::default(), &[(a, waits)], &mut DirectoryOutput::default());
    put(&mut d, s(2.0), one("a", 1, EntryState::Gone));
    let (again, _, _) = wake(&mut d, s(3.0), 1);
    assert_eq!((to.len(), again.len()), (2, 1));
    let follows = put(&mut d, s(4.0), one("a", 1, EntryState::Ready));
    assert_eq!(follows.restored_health, [(d.receiver_id("a").unwrap(), waits)]);
}

/// Its number is what the module knows a wait by: it is kept as long as that runs, and a wait moves with its name.
#[test]
fn a_wait_outlives_the_number_of_an_endpoint_that_is_gone_and_follows_its_name() {
    let mut d = Directory::new(rules(None));
    put(&mut d, s(0.0), one("e", 1, EntryState::Ready));
    let (to, _, _) = wake(&mut d, s(0.0), 1);
    d.on_retry_after(to[0], s(300.0));
    d.on_retry_after(to[0], s(200.0));
    put(&mut d, s(1.0), one("e", 1, EntryState::Gone));
    for t in [5.0, 90.0, 200.0] {
        d.release_gone_endpoints(s(t), &mut DirectoryOutput::default());
    }
    assert_eq!(d.receiver_id("e"), Some(to[0]));
    let back = put(&mut d, s(201.0), one("e", 1, EntryState::Ready));
    assert_eq!(back.entries[0].receiver, to[0], "the module still holds the wait under this number");
    d.on_retry_after(to[0], s(300.0));
    let moved = put(&mut d, s(202.0), one("e", 2, EntryState::Ready));
    assert!(moved.restored_health.is_empty(), "its new destination is at rest");
    let mut follows = DirectoryOutput::default();
    let woken = d.touch(s(203.0), 2, &mut follows).expect("it was at rest");
    let (entry, repute) = &woken.endpoints[0];
    assert!(entry.receiver != to[0]);
    assert_eq!(repute.wait_until, s(300.0));
    for t in [220.0, 301.0, 400.0] {
        d.release_gone_endpoints(s(t), &mut DirectoryOutput::default());
    }
    assert_eq!(d.receiver_id("e"), Some(entry.receiver));
}
