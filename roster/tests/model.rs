//! Compares the table with a plain map (the model) after random complete lists, changes, removals and sweep
//! slices.

use onyxrock::interface::EntryState;
use onyxrock_roster::{Change, Endpoint, EndpointTable, EntryError};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An entry of the model: an endpoint without its name.
#[derive(Clone, Debug, PartialEq)]
struct ModelEntry {
    address: SocketAddr,
    zone: String,
    kind: u16,
    destination: u64,
    weight: f32,
    state: EntryState,
}

fn endpoint<'a>(name: &'a str, entry: &'a ModelEntry) -> Endpoint<'a> {
    Endpoint {
        name,
        address: entry.address,
        zone: &entry.zone,
        kind: entry.kind,
        destination: entry.destination,
        weight: entry.weight,
        state: entry.state,
        started_ms: 0,
    }
}

fn model_entry() -> impl Strategy<Value = ModelEntry> {
    let address = prop_oneof![
        (0..4u8, 1..4u16).prop_map(|(ip, port)| SocketAddr::from(([10, 0, 0, ip], port))),
        (0..3u16, 1..4u16).prop_map(|(ip, port)| SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, ip], port))),
    ];
    let state = prop_oneof![6 => Just(EntryState::Ready), 2 => Just(EntryState::Draining), 1 => Just(EntryState::Gone)];
    (address, 0..3u8, 0..2u16, 0..5u64, 0..3u8, state).prop_map(
        |(address, zone, kind, destination, weight, state)| ModelEntry {
            address,
            zone: format!("floor-{zone}"),
            kind,
            destination,
            weight: f32::from(weight),
            state,
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8, ModelEntry),
    /// A complete list, and how many records each slice of its sweep checks.
    CompleteList(Vec<(u8, ModelEntry)>, usize),
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..24u8, model_entry()).prop_map(|(number, entry)| Step::Put(number, entry)),
        2 => (proptest::collection::vec((0..24u8, model_entry()), 0..16), 1..9usize)
            .prop_map(|(list, slice)| Step::CompleteList(list, slice)),
        2 => (0..24u8).prop_map(Step::Remove),
    ]
}

const MAX_ENDPOINTS: usize = 18;

fn endpoint_name(number: u8) -> String {
    format!("club-{}", "x".repeat(usize::from(number)))
}

/// The table under test beside its model.
struct TableAndModel {
    table: EndpointTable,
    model: BTreeMap<String, ModelEntry>,
}

impl TableAndModel {
    fn put(&mut self, number: u8, entry: &ModelEntry) {
        let name = endpoint_name(number);
        let change = self.table.put(endpoint(&name, entry));
        let before = self.model.get(&name).cloned();
        let expected = match &before {
            None if entry.state == EntryState::Gone => Ok(None),
            None if self.model.len() >= MAX_ENDPOINTS => Err(EntryError::Full),
            Some(before) if before == entry => Ok(None),
            Some(before) if before.state == EntryState::Gone && entry.state == EntryState::Gone => Ok(None),
            Some(_) if entry.state == EntryState::Gone => Ok(Some('g')),
            Some(_) => Ok(Some('c')),
            None => Ok(Some('a')),
        };
        if expected.is_ok() && (before.is_some() || entry.state != EntryState::Gone) {
            self.model.insert(name, entry.clone());
        }
        let letter = |change: Change| match change {
            Change::Added(_) => 'a',
            Change::Changed(_) => 'c',
            Change::Gone(_) => 'g',
        };
        assert_eq!(change.map(|change| change.map(letter)), expected);
    }

    fn assert_same(&self) {
        assert_eq!(self.table.len(), self.model.len());
        let mut by_destination: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for (name, entry) in &self.model {
            let id = self.table.find(name).expect("the model holds the name");
            assert_eq!(self.table.get(id), Some(endpoint(name, entry)));
            by_destination.entry(entry.destination).or_default().insert(name);
        }
        for destination in 0..6 {
            let names: Vec<_> =
                self.table.endpoints_of(destination).map(|id| self.table.get(id).unwrap().name).collect();
            let expected = by_destination.get(&destination).cloned().unwrap_or_default();
            assert_eq!(
                (names.len(), names.into_iter().collect::<BTreeSet<_>>()),
                (expected.len(), expected.clone())
            );
            assert_eq!(self.table.has_destination(destination), !expected.is_empty());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_table_holds_what_its_model_holds(steps in proptest::collection::vec(step(), 1..60)) {
        let mut pair = TableAndModel { table: EndpointTable::new(MAX_ENDPOINTS), model: BTreeMap::new() };
        for step in steps {
            match step {
                Step::Put(number, entry) => pair.put(number, &entry),
                Step::Remove(number) => {
                    if let Some(id) = pair.table.find(&endpoint_name(number)) {
                        pair.table.remove(id);
                        assert_eq!(pair.table.get(id), None);
                    }
                    pair.model.remove(&endpoint_name(number));
                }
                Step::CompleteList(list, slice) => {
                    pair.table.begin_complete_list();
                    for (number, entry) in &list {
                        pair.put(*number, entry);
                    }
                    let mut gone = Vec::new();
                    while !pair.table.sweep(slice, &mut gone) {}
                    let named: BTreeSet<_> = list.iter().map(|(number, _)| endpoint_name(*number)).collect();
                    let mut expected_gone = 0;
                    for (_, entry) in pair.model.iter_mut().filter(|(name, _)| !named.contains(*name)) {
                        expected_gone += usize::from(entry.state != EntryState::Gone);
                        entry.state = EntryState::Gone;
                    }
                    assert_eq!(gone.len(), expected_gone);
                }
            }
            pair.assert_same();
        }
    }
}

/// 200,000 names come and go through a table of 50,000: removed names must not leave memory in use.
#[test]
fn memory_is_flat_while_names_come_and_go() {
    let mut table = EndpointTable::new(50_000);
    let put = |table: &mut EndpointTable, i: u32| {
        let (name, address) = (format!("club-endpoint-{i:08}"), SocketAddr::from((i.to_be_bytes(), 7070)));
        let destination = u64::from(i);
        let state = EntryState::Ready;
        let entry = Endpoint {
            name: &name,
            address,
            zone: "floor-2",
            kind: 1,
            destination,
            weight: 2.0,
            state,
            started_ms: 0,
        };
        table.put(entry).unwrap();
    };
    (0..50_000).for_each(|i| put(&mut table, i));
    let first_bytes = table.memory_bytes();
    for i in 50_000..200_000 {
        let old = table.find(&format!("club-endpoint-{:08}", i - 50_000)).unwrap();
        table.remove(old);
        put(&mut table, i);
    }
    let (bytes_each, last_bytes) = (first_bytes / 50_000, table.memory_bytes());
    println!("{bytes_each} bytes each, {first_bytes} at first, {last_bytes} at last");
    assert!(bytes_each <= 120 && last_bytes <= first_bytes * 2, "{bytes_each} {first_bytes} {last_bytes}");
}
