//! Endpoints in maintenance, through list changes that arrive meanwhile.

use onyxrock::interface::{EntryState, ListEntry, Micros};
use onyxrock_roster::{
    Directory, DirectoryOutput, DirectorySettings, Endpoint, HealthDecay, UnknownEndpoint,
};
use rstest::rstest;
use std::net::SocketAddr;

const NOW: Micros = Micros(1_000_000);
const DESTINATION: u64 = 7;

fn new_directory(deactivate_after: Option<Micros>) -> Directory {
    let health_decay = HealthDecay { half_life: Micros(600_000_000), forget_after: Micros(3_600_000_000) };
    Directory::new(DirectorySettings {
        max_endpoints: 100,
        deactivate_after,
        health_decay,
        zones: Default::default(),
    })
}

fn endpoint(port: u16, state: EntryState) -> Endpoint<'static> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Endpoint {
        name: "e",
        address,
        zone: "z",
        kind: 0,
        destination: DESTINATION,
        weight: 1.0,
        state,
        started_ms: 0,
    }
}

/// Applies a list with this entry, and returns the entries that the core is given.
fn put(directory: &mut Directory, endpoint: Endpoint<'_>) -> Vec<ListEntry> {
    let mut output = DirectoryOutput::default();
    directory.put(NOW, endpoint, &mut output).unwrap();
    directory.finish_list();
    output.entries
}

fn set_maintenance(directory: &mut Directory, in_maintenance: bool) -> DirectoryOutput {
    let mut output = DirectoryOutput::default();
    directory.set_maintenance(NOW, "e", in_maintenance, &mut output);
    output
}

fn states(entries: &[ListEntry]) -> Vec<EntryState> {
    entries.iter().map(|entry| entry.state).collect()
}

fn is_draining(directory: &Directory) -> bool {
    let receiver = directory.receiver_id("e").expect("the endpoint is in use");
    directory.active_endpoint(receiver).is_some_and(|active| active.draining_since.is_some())
}

/// A directory with one active destination that has one endpoint.
fn directory_in_use() -> Directory {
    let mut directory = new_directory(None);
    put(&mut directory, endpoint(1, EntryState::Ready));
    directory.touch(NOW, DESTINATION, &mut DirectoryOutput::default());
    directory
}

#[test]
fn an_endpoint_drains_during_maintenance_and_is_reported_as_restarted_after_it() {
    let mut directory = directory_in_use();
    assert_eq!(directory.check_known("nobody"), Err(UnknownEndpoint));
    assert_eq!(directory.check_known("e"), Ok(()));
    assert_eq!(states(&set_maintenance(&mut directory, true).entries), [EntryState::Draining]);
    assert!(is_draining(&directory));
    assert!(set_maintenance(&mut directory, true).entries.is_empty(), "the second call has no effect");
    let output = set_maintenance(&mut directory, false);
    assert_eq!((states(&output.entries), output.restarted.len()), (vec![EntryState::Ready], 1));
    assert!(!is_draining(&directory));
    assert!(set_maintenance(&mut directory, false).entries.is_empty());
}

#[rstest]
#[case::ready_at_another_address(EntryState::Ready)]
#[case::draining(EntryState::Draining)]
fn a_list_does_not_end_maintenance(#[case] state: EntryState) {
    let mut directory = directory_in_use();
    set_maintenance(&mut directory, true);
    assert_eq!(states(&put(&mut directory, endpoint(2, state))), [EntryState::Draining]);
    assert!(is_draining(&directory));
    let output = set_maintenance(&mut directory, false);
    assert_eq!(states(&output.entries), [state], "then the state of the list applies");
    assert_eq!(output.restarted.is_empty(), state != EntryState::Ready);
}

#[test]
fn an_endpoint_that_leaves_the_list_and_comes_back_is_still_in_maintenance() {
    let mut directory = directory_in_use();
    set_maintenance(&mut directory, true);
    assert_eq!(states(&put(&mut directory, endpoint(1, EntryState::Gone))), [EntryState::Gone]);
    assert_eq!(directory.check_known("e"), Ok(()), "it can be put back although no list names it");
    assert_eq!(states(&put(&mut directory, endpoint(1, EntryState::Ready))), [EntryState::Draining]);
    assert!(is_draining(&directory));
    assert_eq!(states(&set_maintenance(&mut directory, false).entries), [EntryState::Ready]);
}

#[test]
fn an_endpoint_that_is_activated_during_maintenance_drains() {
    let mut directory = new_directory(None);
    // As at a start with a maintenance file, before a list has been received.
    assert!(set_maintenance(&mut directory, true).entries.is_empty());
    put(&mut directory, endpoint(1, EntryState::Ready));
    let activated = directory
        .touch(NOW, DESTINATION, &mut DirectoryOutput::default())
        .expect("the destination is inactive");
    assert_eq!(activated.endpoints.iter().map(|(e, _)| e.state).collect::<Vec<_>>(), [EntryState::Draining]);
    assert!(is_draining(&directory));
}

#[test]
fn a_gateway_can_be_put_into_maintenance_by_its_name() {
    let mut directory = new_directory(None);
    let (receiver, entry) = directory.add_fixed(NOW, &endpoint(1, EntryState::Ready));
    assert_eq!((entry.state, directory.check_known("e")), (EntryState::Ready, Ok(())));
    assert_eq!(states(&set_maintenance(&mut directory, true).entries), [EntryState::Draining]);
    assert!(directory.active_endpoint(receiver).is_some_and(|active| active.draining_since.is_some()));
    assert_eq!(states(&set_maintenance(&mut directory, false).entries), [EntryState::Ready]);
}

#[test]
fn a_drain_by_another_process_s_list_holds_until_the_own_list_reaches_its_generation() {
    let mut directory = directory_in_use();
    let mut output = DirectoryOutput::default();
    directory.on_foreign_drain(NOW, "e", 7, &mut output);
    assert_eq!(states(&output.entries), [EntryState::Draining]);
    assert!(is_draining(&directory));
    assert!(
        states(&put(&mut directory, endpoint(2, EntryState::Ready))) == [EntryState::Draining],
        "the own list is older"
    );
    for (generation, still_drains) in [(Some(6), true), (Some(7), false)] {
        directory.on_list_generation(NOW, generation, &mut DirectoryOutput::default());
        assert_eq!(is_draining(&directory), still_drains, "{generation:?}");
    }
    directory.on_foreign_drain(NOW, "e", 9, &mut DirectoryOutput::default());
    directory.on_list_generation(NOW, None, &mut DirectoryOutput::default());
    assert!(!is_draining(&directory), "the generations of another source cannot be compared");
}
