//! The directory through list changes: listed, active and deactivated endpoints, and the health that is kept
//! of them.

use onyxrock::interface::{EntryState, Micros, ReceiverId, RetainedHealth};
use onyxrock_roster::{
    DestinationStatus, Directory, DirectoryOutput, DirectorySettings, Endpoint, EndpointCommand, EntryError,
    HealthDecay, HealthKey,
};
use std::net::SocketAddr;

fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

fn settings(deactivate_after: Option<Micros>) -> DirectorySettings {
    let zones = [("z".to_owned(), 3)].into_iter().collect();
    DirectorySettings {
        max_endpoints: 60_000,
        deactivate_after,
        health_decay: HealthDecay { half_life: secs(600.0), forget_after: secs(3600.0) },
        zones,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(name: &str, destination: u64, state: EntryState) -> Endpoint<'_> {
    Endpoint { name, address: address(7), zone: "z", kind: 1, destination, weight: 2.0, state, started_ms: 0 }
}

/// Applies one changed entry as a list of its own.
fn put(directory: &mut Directory, now: Micros, endpoint: Endpoint<'_>) -> DirectoryOutput {
    let mut output = DirectoryOutput::default();
    directory.put(now, endpoint, &mut output).unwrap();
    directory.finish_list();
    output
}

/// Applies a complete list of these endpoints; each has a destination of its own.
fn put_complete_list(directory: &mut Directory, now: Micros, names: &[String]) -> DirectoryOutput {
    let mut output = DirectoryOutput::default();
    directory.begin_complete_list();
    for (i, name) in names.iter().enumerate() {
        directory.put(now, endpoint(name, i as u64, EntryState::Ready), &mut output).unwrap();
    }
    while !directory.sweep(now, 1000, &mut output) {}
    directory.finish_list();
    output
}

fn endpoint_names(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|i| format!("e-{i}")).collect()
}

/// Uses an inactive destination: the receiver ids of its endpoints, the output, and the destination's health.
fn activate(
    directory: &mut Directory, now: Micros, destination: u64,
) -> (Vec<ReceiverId>, DirectoryOutput, RetainedHealth) {
    let mut output = DirectoryOutput::default();
    let activated = directory.touch(now, destination, &mut output).expect("the destination is inactive");
    (activated.endpoints.iter().map(|(entry, _)| entry.receiver).collect(), output, activated.health)
}

#[test]
fn unused_endpoints_cost_only_their_table_record() {
    let mut directory = Directory::new(settings(None));
    assert_eq!(directory.destination_status(secs(0.0), 7), DestinationStatus::NoList);
    let output = put_complete_list(&mut directory, secs(0.0), &endpoint_names(0, 50_000));
    assert!(output.commands.is_empty() && output.entries.is_empty());
    assert_eq!(
        (
            directory.listed_endpoint_count(),
            directory.active_destination_count(),
            directory.active_endpoints().len()
        ),
        (50_000, 0, 0)
    );
    assert_eq!(
        (directory.destination_status(secs(0.0), 7), directory.destination_status(secs(0.0), 50_000)),
        (DestinationStatus::Known, DestinationStatus::Unknown)
    );
    let (receivers, output, _) = activate(&mut directory, secs(1.0), 7);
    assert_eq!(output.commands, [EndpointCommand::Open(receivers[0], address(7))]);
    let entry =
        directory.touch(secs(1.0), 8, &mut DirectoryOutput::default()).unwrap().endpoints[0].0.clone();
    assert_eq!((entry.zone.0, entry.kind.0, entry.weight, entry.state), (3, 1, 2.0, EntryState::Ready));
    assert!(
        directory.touch(secs(2.0), 7, &mut DirectoryOutput::default()).is_none(),
        "the destination is active already"
    );
}

#[test]
fn ten_thousand_destinations_are_activated_and_all_deactivated_with_their_health() {
    let mut directory = Directory::new(settings(Some(secs(10.0))));
    put_complete_list(&mut directory, secs(0.0), &endpoint_names(0, 50_000));
    for i in 0..10_000u64 {
        activate(&mut directory, secs(1.0 + i as f64 * 1e-4), i);
    }
    assert_eq!((directory.active_destination_count(), directory.active_endpoints().len()), (10_000, 10_000));
    assert_eq!(directory.next_idle(secs(10.9)), None);
    let (mut output, mut deactivated) = (DirectoryOutput::default(), 0);
    while let Some(destination) = directory.next_idle(secs(12.1)) {
        let served = RetainedHealth { served_per_s: 4.0, ..RetainedHealth::default() };
        directory.deactivate(secs(12.1), destination, served, &[], &mut output);
        deactivated += 1;
    }
    assert_eq!(
        (
            deactivated,
            directory.active_destination_count(),
            directory.active_endpoints().len(),
            output.commands.len()
        ),
        (10_000, 0, 0, 10_000)
    );
    assert_eq!(directory.health_store().len(), 10_000);
    let (receivers, _, health) = activate(&mut directory, secs(612.1), 5);
    assert_eq!(
        (health.served_per_s, receivers),
        (2.0, vec![ReceiverId(10_001)]),
        "half the rate after a half-life, and a new receiver id"
    );
}

#[test]
fn the_core_is_told_only_of_active_endpoints_when_half_the_list_goes() {
    let mut directory = Directory::new(settings(None));
    put_complete_list(&mut directory, secs(0.0), &endpoint_names(0, 50_000));
    let (receivers, _, _) = activate(&mut directory, secs(0.5), 40_000);
    let output = put_complete_list(&mut directory, secs(1.0), &endpoint_names(0, 25_000));
    assert_eq!(
        (directory.listed_endpoint_count(), output.entries.len()),
        (25_000, 1),
        "the core is told of the endpoint that it knows"
    );
    assert_eq!(output.commands, [EndpointCommand::CloseIdle(receivers[0])]);
    assert_eq!(directory.destination_status(secs(1.0), 49_999), DestinationStatus::RecentlyRemoved);
    assert_eq!(
        directory.destination_status(secs(1.0), 40_000),
        DestinationStatus::Known,
        "messages may be held for it"
    );
    for i in 0..10 {
        let count = if i % 2 == 0 { 1 } else { 50_000 };
        put_complete_list(&mut directory, secs(2.0 + f64::from(i)), &endpoint_names(0, count));
        assert_eq!(directory.listed_endpoint_count(), count);
    }
    assert_eq!(directory.destination_status(secs(12.0), 30_000), DestinationStatus::Known);
}

/// The bound holds for the endpoints of one list; while a complete list replaces another, both are held.
#[test]
fn a_complete_list_may_replace_a_full_one_and_changes_are_bounded() {
    let mut directory = Directory::new(DirectorySettings { max_endpoints: 100, ..settings(None) });
    put_complete_list(&mut directory, secs(0.0), &endpoint_names(0, 100));
    put_complete_list(&mut directory, secs(1.0), &endpoint_names(100, 200));
    assert_eq!(directory.listed_endpoint_count(), 100);
    let refused =
        directory.put(secs(2.0), endpoint("more", 999, EntryState::Ready), &mut DirectoryOutput::default());
    assert_eq!((refused, directory.listed_endpoint_count()), (Err(EntryError::Full), 100));
    put(&mut directory, secs(2.0), endpoint("e-150", 50, EntryState::Draining));
}

#[test]
fn an_endpoint_that_drained_while_inactive_gets_no_calls_on_activation() {
    let mut directory = Directory::new(settings(None));
    put(&mut directory, secs(0.0), endpoint("a", 1, EntryState::Ready));
    put(&mut directory, secs(0.0), endpoint("b", 1, EntryState::Ready));
    put(&mut directory, secs(1.0), endpoint("a", 1, EntryState::Draining));
    put(&mut directory, secs(1.0), endpoint("b", 1, EntryState::Gone));
    let (receivers, _, _) = activate(&mut directory, secs(5.0), 1);
    assert_eq!(receivers.len(), 1);
    let active = directory.active_endpoint(receivers[0]).unwrap();
    assert_eq!(
        (active.name.as_str(), active.draining_since),
        ("a", Some(Micros(0))),
        "no time to send is left of its drain"
    );
}

#[test]
fn the_drain_of_an_active_endpoint_counts_from_its_first_entry() {
    let mut directory = Directory::new(settings(None));
    put(&mut directory, secs(0.0), endpoint("a", 1, EntryState::Ready));
    let (receivers, _, _) = activate(&mut directory, secs(1.0), 1);
    let output = put(&mut directory, secs(2.0), endpoint("a", 1, EntryState::Draining));
    assert_eq!((output.entries[0].state, output.commands.len()), (EntryState::Draining, 0));
    put(&mut directory, secs(3.0), endpoint("a", 1, EntryState::Gone));
    assert_eq!(directory.active_endpoint(receivers[0]).unwrap().draining_since, Some(secs(2.0)));
    put(&mut directory, secs(4.0), endpoint("a", 1, EntryState::Ready));
    assert_eq!(
        (directory.receiver_id("a"), directory.active_endpoint(receivers[0]).unwrap().draining_since),
        (Some(receivers[0]), None),
        "back under its receiver id"
    );
}

/// Endpoints come and go for as long as the process runs: state that is kept for each of them would be a
/// leak.
#[test]
fn gone_endpoints_are_released_once_they_have_no_call_in_flight() {
    let mut directory = Directory::new(settings(None));
    for i in 0..300u64 {
        let (now, name) = (secs(i as f64), format!("e-{i}"));
        put(&mut directory, now, endpoint(&name, i, EntryState::Ready));
        let (receivers, output, _) = activate(&mut directory, now, i);
        assert_eq!(
            (receivers[0], &output.commands[0]),
            (ReceiverId(i + 1), &EndpointCommand::Open(receivers[0], address(7))),
            "a receiver id of its own, though the address is the same"
        );
        put(&mut directory, now, endpoint(&name, i, EntryState::Gone));
        let mut output = DirectoryOutput::default();
        directory.release_gone_endpoints(now, &mut output);
        while let Some(destination) = directory.next_idle(now) {
            directory.deactivate(now, destination, RetainedHealth::default(), &[], &mut output);
        }
    }
    assert!(
        directory.active_endpoints().len() <= 4 && directory.active_destination_count() <= 77,
        "{} {}",
        directory.active_endpoints().len(),
        directory.active_destination_count()
    );
    let last = *directory.active_endpoints().last_key_value().unwrap().0;
    directory.call_started(last);
    let mut output = DirectoryOutput::default();
    directory.release_gone_endpoints(secs(400.0), &mut output);
    assert_eq!(directory.active_endpoints().len(), 1, "a call is in flight");
    directory.call_ended(last);
    directory.release_gone_endpoints(secs(500.0), &mut output);
    assert_eq!(
        (directory.active_endpoints().len(), output.commands.last()),
        (0, Some(&EndpointCommand::Close(last)))
    );
    assert!(
        directory.receiver_id("e-299").is_some(),
        "the core may still hold a retry-after under its receiver id"
    );
    directory.release_gone_endpoints(secs(600.0), &mut output);
    assert_eq!(
        (directory.receiver_id("e-299"), directory.destination_status(secs(600.0), 299)),
        (None, DestinationStatus::Known)
    );
}

/// A message must never be sent to an endpoint of another destination.
#[test]
fn an_endpoint_that_moves_to_another_destination_gets_a_new_receiver_id() {
    let mut directory = Directory::new(settings(None));
    put(&mut directory, secs(0.0), endpoint("a", 1, EntryState::Ready));
    let (receivers, _, _) = activate(&mut directory, secs(1.0), 1);
    activate(&mut directory, secs(1.0), 2);
    let output = put(&mut directory, secs(2.0), endpoint("a", 2, EntryState::Ready));
    let entries: Vec<_> = output.entries.iter().map(|e| (e.destination.0, e.state)).collect();
    assert_eq!(entries, [(1, EntryState::Gone), (2, EntryState::Ready)]);
    assert_ne!(directory.receiver_id("a"), Some(receivers[0]));
    assert_eq!(directory.active_endpoint(receivers[0]).unwrap().draining_since, Some(secs(2.0)));
    // The core is told nothing of endpoints whose destinations are inactive.
    put(&mut directory, secs(3.0), endpoint("b", 8, EntryState::Ready));
    assert!(put(&mut directory, secs(3.0), endpoint("b", 9, EntryState::Ready)).entries.is_empty());
    assert_eq!(
        (directory.destination_status(secs(3.0), 8), activate(&mut directory, secs(4.0), 9).0.len()),
        (DestinationStatus::Unknown, 1)
    );
}

#[test]
fn a_retry_after_survives_deactivation_a_changed_address_and_an_absence_from_the_list() {
    let mut directory = Directory::new(settings(Some(secs(1.0))));
    put(&mut directory, secs(0.0), endpoint("a", 1, EntryState::Ready));
    let (receivers, _, _) = activate(&mut directory, secs(0.0), 1);
    assert_eq!(directory.next_idle(secs(1.0)), Some(1));
    let health = RetainedHealth { wait_until: secs(100.0), unhealthy: true, served_per_s: 9.0 };
    directory.deactivate(secs(1.0), 1, health, &[(receivers[0], health)], &mut DirectoryOutput::default());
    assert_eq!(directory.health_store().len(), 2);
    put(&mut directory, secs(2.0), endpoint("a", 1, EntryState::Gone));
    put(&mut directory, secs(3.0), Endpoint { address: address(8), ..endpoint("a", 1, EntryState::Ready) });
    put(&mut directory, secs(3.0), endpoint("b", 1, EntryState::Ready));
    let mut output = DirectoryOutput::default();
    let activated = directory.touch(secs(50.0), 1, &mut output).unwrap();
    let retained = RetainedHealth { served_per_s: 0.0, ..health };
    assert_eq!(activated.health, retained, "of the destination, whichever endpoints serve it now");
    let endpoints: Vec<_> = activated
        .endpoints
        .iter()
        .map(|(entry, health)| (directory.active_endpoint(entry.receiver).unwrap().name.clone(), *health))
        .collect();
    assert!(
        endpoints.contains(&("a".into(), retained))
            && endpoints.contains(&("b".into(), RetainedHealth::default())),
        "{endpoints:?}"
    );
    assert!(
        directory.health_store().iter().all(|(key, _)| !matches!(key, HealthKey::Destination(_))),
        "removed on activation"
    );
}

/// Destinations that have left the list are remembered for a while; a list that loses most of its entries
/// must not make that memory grow without bound.
#[test]
fn removed_destinations_are_remembered_up_to_a_bound_and_active_ones_beyond_it() {
    let mut directory = Directory::new(settings(None));
    put_complete_list(&mut directory, secs(0.0), &endpoint_names(0, 50_000));
    for i in 1..=100 {
        activate(&mut directory, secs(0.0), i);
    }
    put_complete_list(&mut directory, secs(1.0), &endpoint_names(50_000, 50_001));
    let remembered = (0..50_000)
        .filter(|i| directory.destination_status(secs(1.0), *i) == DestinationStatus::RecentlyRemoved)
        .count();
    assert!((10_000..17_000).contains(&remembered), "{remembered}");
    assert!((1..=100).all(|i| directory.destination_status(secs(1.0), i) == DestinationStatus::Known));
    let mut deactivated = 0;
    while let Some(destination) = directory.next_idle(secs(100.0)) {
        directory.deactivate(
            secs(100.0),
            destination,
            RetainedHealth::default(),
            &[],
            &mut DirectoryOutput::default(),
        );
        deactivated += 1;
    }
    assert_eq!((deactivated, directory.active_destination_count()), (100, 0), "each is released in the end");
}

/// A route leaves the list and comes back while other endpoints of its destination are in use. Its
/// retry-after must not be lost, although the destination is not activated anew.
#[test]
fn a_route_that_comes_back_to_an_active_destination_restores_its_retry_after() {
    let mut directory = Directory::new(settings(Some(secs(1.0))));
    put(&mut directory, secs(0.0), endpoint("a", 1, EntryState::Ready));
    put(&mut directory, secs(0.0), endpoint("b", 1, EntryState::Ready));
    let (receivers, _, _) = activate(&mut directory, secs(0.0), 1);
    let health = RetainedHealth { wait_until: secs(100.0), ..RetainedHealth::default() };
    let receiver = directory.receiver_id("a").unwrap();
    directory.deactivate(
        secs(1.0),
        1,
        RetainedHealth::default(),
        &[(receiver, health)],
        &mut DirectoryOutput::default(),
    );
    put(&mut directory, secs(2.0), endpoint("a", 1, EntryState::Gone));
    let (receivers_later, _, _) = activate(&mut directory, secs(3.0), 1);
    assert_eq!((receivers.len(), receivers_later.len()), (2, 1));
    let output = put(&mut directory, secs(4.0), endpoint("a", 1, EntryState::Ready));
    assert_eq!(output.restored_health, [(directory.receiver_id("a").unwrap(), health)]);
}

/// The core holds a retry-after under the endpoint's receiver id, so the id is kept until the retry-after has
/// ended. When the endpoint moves to another destination, the retry-after follows its name.
#[test]
fn a_receiver_id_is_kept_until_its_retry_after_ends_and_the_retry_after_follows_the_name() {
    let mut directory = Directory::new(settings(None));
    put(&mut directory, secs(0.0), endpoint("e", 1, EntryState::Ready));
    let (receivers, _, _) = activate(&mut directory, secs(0.0), 1);
    directory.on_retry_after(receivers[0], secs(300.0));
    directory.on_retry_after(receivers[0], secs(200.0));
    put(&mut directory, secs(1.0), endpoint("e", 1, EntryState::Gone));
    for time in [5.0, 90.0, 200.0] {
        directory.release_gone_endpoints(secs(time), &mut DirectoryOutput::default());
    }
    assert_eq!(directory.receiver_id("e"), Some(receivers[0]));
    let output = put(&mut directory, secs(201.0), endpoint("e", 1, EntryState::Ready));
    assert_eq!(
        output.entries[0].receiver, receivers[0],
        "the core still holds the retry-after under this receiver id"
    );
    directory.on_retry_after(receivers[0], secs(300.0));
    let output = put(&mut directory, secs(202.0), endpoint("e", 2, EntryState::Ready));
    assert!(output.restored_health.is_empty(), "its new destination is inactive");
    let mut output = DirectoryOutput::default();
    let activated = directory.touch(secs(203.0), 2, &mut output).expect("the destination is inactive");
    let (entry, health) = &activated.endpoints[0];
    assert!(entry.receiver != receivers[0]);
    assert_eq!(health.wait_until, secs(300.0));
    for time in [220.0, 301.0, 400.0] {
        directory.release_gone_endpoints(secs(time), &mut DirectoryOutput::default());
    }
    assert_eq!(directory.receiver_id("e"), Some(entry.receiver));
}

/// Guards against calls to a new process at the address of an endpoint that has gone and that the list still names.
#[test]
fn an_endpoint_loses_its_address_to_a_process_that_started_later() {
    let mut directory = Directory::new(settings(None));
    let state_of = |directory: &Directory, name: &str| {
        let receiver = directory.receiver_id(name)?;
        Some(directory.active_endpoint(receiver)?.draining_since.is_none())
    };
    let started = |name, destination, started_ms| Endpoint {
        started_ms,
        ..endpoint(name, destination, EntryState::Ready)
    };
    put(&mut directory, secs(0.0), started("old", 1, 0));
    activate(&mut directory, secs(0.0), 1);
    assert_eq!(state_of(&directory, "old"), Some(true));
    put(&mut directory, secs(1.0), started("new", 2, 5000));
    activate(&mut directory, secs(1.0), 2);
    assert_eq!((state_of(&directory, "old"), state_of(&directory, "new")), (Some(false), Some(true)));
    // Two names with the same start are one process.
    put(&mut directory, secs(2.0), started("twin", 2, 5000));
    assert_eq!((state_of(&directory, "new"), state_of(&directory, "twin")), (Some(true), Some(true)));
    // The first one is restarted at its address, moves, and comes back to one that is in use.
    put(&mut directory, secs(3.0), started("old", 1, 6000));
    assert_eq!((state_of(&directory, "old"), state_of(&directory, "new")), (Some(true), Some(false)));
    put(&mut directory, secs(4.0), Endpoint { address: address(8), ..started("old", 1, 6000) });
    assert_eq!((state_of(&directory, "old"), state_of(&directory, "new")), (Some(true), Some(true)));
    put(&mut directory, secs(5.0), Endpoint { state: EntryState::Gone, ..started("twin", 2, 5000) });
    put(&mut directory, secs(5.0), started("old", 1, 4000));
    assert_eq!((state_of(&directory, "old"), state_of(&directory, "new")), (Some(false), Some(true)));
    // The later one leaves the list.
    put(&mut directory, secs(6.0), Endpoint { state: EntryState::Gone, ..started("new", 2, 5000) });
    assert_eq!(state_of(&directory, "old"), Some(true));
}
