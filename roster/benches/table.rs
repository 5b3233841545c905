//! Lookup, change, removal and list difference at several sizes: `cargo bench -p onyxrock-roster`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use onyxrock::interface::{EntryState, Micros, RetainedHealth};
use onyxrock_roster::{
    Directory, DirectoryOutput, DirectorySettings, Endpoint, EndpointTable, HealthDecay, HealthKey,
    HealthStore, SnapshotWriter,
};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

fn entry(name: &str, i: u32) -> Endpoint<'_> {
    let address = SocketAddr::from((i.to_be_bytes(), 7070));
    let (destination, listing) = (u64::from(i), EntryState::Ready);
    Endpoint { name, address, zone: "floor-2", kind: 1, destination, weight: 1.0, state: listing }
}

fn put(roster: &mut EndpointTable, i: u32) {
    roster.put(entry(&format!("club-{i:08}"), i)).expect("there is room");
}

fn full(n: u32) -> EndpointTable {
    let mut roster = EndpointTable::new(n as usize + 1);
    (0..n).for_each(|i| put(&mut roster, i));
    roster
}

fn table(c: &mut Criterion) {
    let mut group = c.benchmark_group("roster");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    for n in [1_000u32, 10_000, 100_000, 1_000_000] {
        let mut roster = full(n);
        println!("{n} endpoints: {} bytes each", roster.memory_bytes() / n as usize);
        let mut i = 0u32;
        let mut next = move || {
            i = i.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            i % n
        };
        group.bench_function(BenchmarkId::new("of_destination", n), |b| {
            b.iter(|| black_box(roster.endpoints_of(u64::from(next())).next()));
        });
        group.bench_function(BenchmarkId::new("gone_and_back", n), |b| {
            b.iter(|| {
                let at = next();
                let id = roster.endpoints_of(u64::from(at)).next().expect("it is listed");
                roster.remove(id);
                put(&mut roster, at);
            });
        });
        group.bench_function(BenchmarkId::new("whole_list_again", n), |b| {
            b.iter(|| {
                roster.begin_complete_list();
                (0..n).for_each(|i| put(&mut roster, i));
                let mut gone = Vec::new();
                while !roster.sweep(4096, &mut gone) {}
                assert!(gone.is_empty());
            });
        });
    }
    group.finish();
}

/// One that wakes and rests again, while a hundred others are awake; and half of all that go and come back.
fn directory(c: &mut Criterion) {
    let mut group = c.benchmark_group("directory");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    for n in [1_000u32, 10_000, 100_000, 1_000_000] {
        let rest = Some(Micros(1_000_000));
        let mut d = Directory::new(DirectorySettings {
            max_endpoints: n as usize,
            deactivate_after: rest,
            health_decay: HealthDecay::default(),
            zones: Default::default(),
        });
        let mut follows = DirectoryOutput::default();
        let names: Vec<_> = (0..n).map(|i| format!("club-{i:08}")).collect();
        let put = |d: &mut Directory, i: u32, follows: &mut DirectoryOutput| {
            d.put(Micros(0), entry(&names[i as usize], i), follows).expect("there is room");
        };
        let whole = |d: &mut Directory, to: u32, follows: &mut DirectoryOutput| {
            d.begin_complete_list();
            (0..to).for_each(|i| put(d, i, follows));
            while !d.sweep(Micros(0), 4096, follows) {}
        };
        whole(&mut d, n, &mut follows);
        (0..100).for_each(|i| drop(d.touch(Micros(0), i, &mut follows)));
        let mut i = 0u32;
        group.bench_function(BenchmarkId::new("wake_and_rest", n), |b| {
            b.iter(|| {
                i = i.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let at = u64::from(100 + i % (n - 100));
                let woken = d.touch(Micros(0), at, &mut follows).expect("it was at rest");
                let each: Vec<_> = woken.endpoints.iter().map(|(e, r)| (e.receiver, *r)).collect();
                let whole = RetainedHealth { served_per_s: 2.0, ..RetainedHealth::default() };
                d.deactivate(Micros(0), at, whole, &each, &mut follows);
                follows.commands.clear();
            });
        });
        group.bench_function(BenchmarkId::new("half_go_and_come_back", n), |b| {
            b.iter(|| {
                whole(&mut d, n / 2, &mut follows);
                whole(&mut d, n, &mut follows);
                follows = DirectoryOutput::default();
            });
        });
    }
    group.finish();
}

/// What one turn does before the file of memories is written in slices, and all of the slices together.
fn snapshot(c: &mut Criterion) {
    let mut memories = HealthStore::new(HealthDecay::default());
    for i in 0..50_000u64 {
        let r = RetainedHealth { served_per_s: 2.0, ..RetainedHealth::default() };
        memories.store(Micros(i), HealthKey::Destination(i), r);
    }
    let copy = || memories.iter().map(|(w, m)| (w.clone(), *m)).collect::<Vec<_>>();
    c.bench_function("snapshot/copy_and_sort/50000", |b| {
        b.iter(|| black_box(SnapshotWriter::new(copy(), 4 << 20)))
    });
    c.bench_function("snapshot/all_blocks/50000", |b| {
        b.iter(|| SnapshotWriter::new(copy(), 4 << 20).map(|block| block.len()).sum::<usize>());
    });
}

criterion_group!(benches, table, directory, snapshot);
criterion_main!(benches);
