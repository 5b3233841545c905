//! The table against a plain map, through any order of lists, changes, removals and slices of a sweep.

use onyxrock::interface::EntryState;
use onyxrock_roster::{Change, Endpoint, EndpointTable, EntryError};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
struct Plain {
    address: SocketAddr,
    zone: String,
    kind: u16,
    destination: u64,
    weight: f32,
    listing: EntryState,
}

fn endpoint<'a>(name: &'a str, p: &'a Plain) -> Endpoint<'a> {
    Endpoint {
        name,
        address: p.address,
        zone: &p.zone,
        kind: p.kind,
        destination: p.destination,
        weight: p.weight,
        state: p.listing,
    }
}

fn plain() -> impl Strategy<Value = Plain> {
    let address = prop_oneof![
        (0..4u8, 1..4u16).prop_map(|(ip, port)| SocketAddr::from(([10, 0, 0, ip], port))),
        (0..3u16, 1..4u16).prop_map(|(ip, port)| SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, ip], port))),
    ];
    let listing = prop_oneof![6 => Just(EntryState::Ready), 2 => Just(EntryState::Draining), 1 => Just(EntryState::Gone)];
    (address, 0..3u8, 0..2u16, 0..5u64, 0..3u8, listing).prop_map(
        |(address, zone, kind, destination, w, listing)| Plain {
            address,
            zone: format!("floor-{zone}"),
            kind,
            destination,
            weight: f32::from(w),
            listing,
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8, Plain),
    /// A whole list, and how many records a slice of its sweep looks at.
    Whole(Vec<(u8, Plain)>, usize),
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..24u8, plain()).prop_map(|(n, p)| Step::Put(n, p)),
        2 => (proptest::collection::vec((0..24u8, plain()), 0..16), 1..9usize).prop_map(|(l, n)| Step::Whole(l, n)),
        2 => (0..24u8).prop_map(Step::Remove),
    ]
}

const MOST: usize = 18;

fn name(n: u8) -> String {
    format!("club-{}", "x".repeat(usize::from(n)))
}

struct Both {
    roster: EndpointTable,
    map: BTreeMap<String, Plain>,
}

impl Both {
    fn put(&mut self, n: u8, p: &Plain) {
        let name = name(n);
        let got = self.roster.put(endpoint(&name, p));
        let before = self.map.get(&name).cloned();
        let want = match &before {
            None if p.listing == EntryState::Gone => Ok(None),
            None if self.map.len() >= MOST => Err(EntryError::Full),
            Some(b) if b == p => Ok(None),
            Some(b) if b.listing == EntryState::Gone && p.listing == EntryState::Gone => Ok(None),
            Some(_) if p.listing == EntryState::Gone => Ok(Some('g')),
            Some(_) => Ok(Some('c')),
            None => Ok(Some('a')),
        };
        if want.is_ok() && (before.is_some() || p.listing != EntryState::Gone) {
            self.map.insert(name, p.clone());
        }
        let kind = |c: Change| match c {
            Change::Added(_) => 'a',
            Change::Changed(_) => 'c',
            Change::Gone(_) => 'g',
        };
        assert_eq!(got.map(|c| c.map(kind)), want);
    }

    fn same(&self) {
        assert_eq!(self.roster.len(), self.map.len());
        let mut by: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for (name, p) in &self.map {
            let id = self.roster.find(name).expect("it is here");
            assert_eq!(self.roster.get(id), Some(endpoint(name, p)));
            by.entry(p.destination).or_default().insert(name);
        }
        for d in 0..6 {
            let got: Vec<_> =
                self.roster.endpoints_of(d).map(|id| self.roster.get(id).unwrap().name).collect();
            let want = by.get(&d).cloned().unwrap_or_default();
            assert_eq!((got.len(), got.into_iter().collect::<BTreeSet<_>>()), (want.len(), want.clone()));
            assert_eq!(self.roster.has_destination(d), !want.is_empty());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn it_says_what_a_plain_map_says(steps in proptest::collection::vec(step(), 1..60)) {
        let mut both = Both { roster: EndpointTable::new(MOST), map: BTreeMap::new() };
        for s in steps {
            match s {
                Step::Put(n, p) => both.put(n, &p),
                Step::Remove(n) => {
                    if let Some(id) = both.roster.find(&name(n)) {
                        both.roster.remove(id);
                        assert_eq!(both.roster.get(id), None);
                    }
                    both.map.remove(&name(n));
                }
                Step::Whole(list, slice) => {
                    both.roster.begin_complete_list();
                    for (n, p) in &list {
                        both.put(*n, p);
                    }
                    let mut gone = Vec::new();
                    while !both.roster.sweep(slice, &mut gone) {}
                    let named: BTreeSet<_> = list.iter().map(|(n, _)| name(*n)).collect();
                    let mut want = 0;
                    for (_, p) in both.map.iter_mut().filter(|(n, _)| !named.contains(*n)) {
                        want += usize::from(p.listing != EntryState::Gone);
                        p.listing = EntryState::Gone;
                    }
                    assert_eq!(gone.len(), want);
                }
            }
            both.same();
        }
    }
}

/// 200,000 names come and go through a table of 50,000: what is gone leaves nothing behind.
#[test]
fn memory_is_flat_while_names_come_and_go() {
    let mut roster = EndpointTable::new(50_000);
    let put = |roster: &mut EndpointTable, i: u32| {
        let (name, address) = (format!("club-endpoint-{i:08}"), SocketAddr::from((i.to_be_bytes(), 7070)));
        let destination = u64::from(i);
        let listing = EntryState::Ready;
        let e = Endpoint {
            name: &name,
            address,
            zone: "floor-2",
            kind: 1,
            destination,
            weight: 2.0,
            state: listing,
        };
        roster.put(e).unwrap();
    };
    (0..50_000).for_each(|i| put(&mut roster, i));
    let first = roster.memory_bytes();
    for i in 50_000..200_000 {
        let old = roster.find(&format!("club-endpoint-{:08}", i - 50_000)).unwrap();
        roster.remove(old);
        put(&mut roster, i);
    }
    let (each, last) = (first / 50_000, roster.memory_bytes());
    println!("{each} bytes each, {first} at first, {last} at last");
    assert!(each <= 120 && last <= first * 2, "{each} {first} {last}");
}
