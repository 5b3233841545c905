//! Endpoints that operators take out of use, through all that lists say of them meanwhile.

use onyxrock::interface::{EntryState, ListEntry, Micros};
use onyxrock_roster::{
    Directory, DirectoryOutput, DirectorySettings, Endpoint, HealthDecay, UnknownEndpoint,
};
use rstest::rstest;
use std::net::SocketAddr;

const NOW: Micros = Micros(1_000_000);
const DESTINATION: u64 = 7;

fn directory(rest: Option<Micros>) -> Directory {
    let terms = HealthDecay { half_life: Micros(600_000_000), forget_after: Micros(3_600_000_000) };
    Directory::new(DirectorySettings {
        max_endpoints: 100,
        deactivate_after: rest,
        health_decay: terms,
        zones: Default::default(),
    })
}

fn endpoint(port: u16, listing: EntryState) -> Endpoint<'static> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Endpoint { name: "e", address, zone: "z", kind: 0, destination: DESTINATION, weight: 1.0, state: listing }
}

/// What the module is told when the list says this.
fn listed(d: &mut Directory, e: Endpoint<'_>) -> Vec<ListEntry> {
    let mut follows = DirectoryOutput::default();
    d.put(NOW, e, &mut follows).unwrap();
    d.finish_list();
    follows.entries
}

fn set(d: &mut Directory, out: bool) -> DirectoryOutput {
    let mut follows = DirectoryOutput::default();
    d.set_maintenance(NOW, "e", out, &mut follows);
    follows
}

fn listings(entries: &[ListEntry]) -> Vec<EntryState> {
    entries.iter().map(|e| e.state).collect()
}

fn drains(d: &Directory) -> bool {
    let to = d.receiver_id("e").expect("it is in use");
    d.active_endpoint(to).is_some_and(|peer| peer.draining_since.is_some())
}

/// A destination in use with one endpoint.
fn in_use() -> Directory {
    let mut d = directory(None);
    listed(&mut d, endpoint(1, EntryState::Ready));
    d.touch(NOW, DESTINATION, &mut DirectoryOutput::default());
    d
}

#[test]
fn one_that_is_out_drains_until_it_is_put_back_cold() {
    let mut d = in_use();
    assert_eq!(d.check_known("nobody"), Err(UnknownEndpoint));
    assert_eq!(d.check_known("e"), Ok(()));
    assert_eq!(listings(&set(&mut d, true).entries), [EntryState::Draining]);
    assert!(drains(&d));
    assert!(set(&mut d, true).entries.is_empty(), "called twice");
    let back = set(&mut d, false);
    assert_eq!((listings(&back.entries), back.restarted.len()), (vec![EntryState::Ready], 1));
    assert!(!drains(&d));
    assert!(set(&mut d, false).entries.is_empty());
}

#[rstest]
#[case::it_is_ready_elsewhere(EntryState::Ready)]
#[case::it_drains(EntryState::Draining)]
fn a_list_does_not_put_it_back(#[case] listing: EntryState) {
    let mut d = in_use();
    set(&mut d, true);
    assert_eq!(listings(&listed(&mut d, endpoint(2, listing))), [EntryState::Draining]);
    assert!(drains(&d));
    let back = set(&mut d, false);
    assert_eq!(listings(&back.entries), [listing], "then the list holds");
    assert_eq!(back.restarted.is_empty(), listing != EntryState::Ready);
}

#[test]
fn one_that_leaves_the_list_and_comes_back_is_still_out() {
    let mut d = in_use();
    set(&mut d, true);
    assert_eq!(listings(&listed(&mut d, endpoint(1, EntryState::Gone))), [EntryState::Gone]);
    assert_eq!(d.check_known("e"), Ok(()), "it can be put back all the same");
    assert_eq!(listings(&listed(&mut d, endpoint(1, EntryState::Ready))), [EntryState::Draining]);
    assert!(drains(&d));
    assert_eq!(listings(&set(&mut d, false).entries), [EntryState::Ready]);
}

#[test]
fn one_that_comes_into_use_while_it_is_out_is_not_used() {
    let mut d = directory(None);
    // As a start does that finds it in the file, before there is a list.
    assert!(set(&mut d, true).entries.is_empty());
    listed(&mut d, endpoint(1, EntryState::Ready));
    let woken = d.touch(NOW, DESTINATION, &mut DirectoryOutput::default()).expect("it was at rest");
    assert_eq!(woken.endpoints.iter().map(|(e, _)| e.state).collect::<Vec<_>>(), [EntryState::Draining]);
    assert!(drains(&d));
}

#[test]
fn a_gateway_can_be_taken_out_by_its_name() {
    let mut d = directory(None);
    let (to, entry) = d.add_fixed(NOW, &endpoint(1, EntryState::Ready));
    assert_eq!((entry.state, d.check_known("e")), (EntryState::Ready, Ok(())));
    assert_eq!(listings(&set(&mut d, true).entries), [EntryState::Draining]);
    assert!(d.active_endpoint(to).is_some_and(|peer| peer.draining_since.is_some()));
    assert_eq!(listings(&set(&mut d, false).entries), [EntryState::Ready]);
}

#[test]
fn one_that_drains_by_another_process_s_list_drains_here_until_the_own_list_is_as_late() {
    let mut d = in_use();
    let mut follows = DirectoryOutput::default();
    d.on_sibling_drain(NOW, "e", 7, &mut follows);
    assert_eq!(listings(&follows.entries), [EntryState::Draining]);
    assert!(drains(&d));
    assert!(
        listings(&listed(&mut d, endpoint(2, EntryState::Ready))) == [EntryState::Draining],
        "an older list"
    );
    for (generation, after) in [(Some(6), true), (Some(7), false)] {
        d.on_list_generation(NOW, generation, &mut DirectoryOutput::default());
        assert_eq!(drains(&d), after, "{generation:?}");
    }
    d.on_sibling_drain(NOW, "e", 9, &mut DirectoryOutput::default());
    d.on_list_generation(NOW, None, &mut DirectoryOutput::default());
    assert!(!drains(&d), "another source has versions of its own");
}
