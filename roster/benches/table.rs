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

fn endpoint(name: &str, i: u32) -> Endpoint<'_> {
    let address = SocketAddr::from((i.to_be_bytes(), 7070));
    let (destination, state) = (u64::from(i), EntryState::Ready);
    Endpoint { name, address, zone: "floor-2", kind: 1, destination, weight: 1.0, state, started_ms: 0 }
}

fn put(table: &mut EndpointTable, i: u32) {
    table.put(endpoint(&format!("club-{i:08}"), i)).expect("there is room");
}

fn full_table(count: u32) -> EndpointTable {
    let mut table = EndpointTable::new(count as usize + 1);
    (0..count).for_each(|i| put(&mut table, i));
    table
}

fn bench_table(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("roster");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    for endpoint_count in [1_000u32, 10_000, 100_000, 1_000_000] {
        let mut table = full_table(endpoint_count);
        println!("{endpoint_count} endpoints: {} bytes each", table.memory_bytes() / endpoint_count as usize);
        let mut random = 0u32;
        let mut next = move || {
            random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            random % endpoint_count
        };
        group.bench_function(BenchmarkId::new("of_destination", endpoint_count), |bencher| {
            bencher.iter(|| black_box(table.endpoints_of(u64::from(next())).next()));
        });
        group.bench_function(BenchmarkId::new("gone_and_back", endpoint_count), |bencher| {
            bencher.iter(|| {
                let number = next();
                let id = table.endpoints_of(u64::from(number)).next().expect("the endpoint is listed");
                table.remove(id);
                put(&mut table, number);
            });
        });
        group.bench_function(BenchmarkId::new("whole_list_again", endpoint_count), |bencher| {
            bencher.iter(|| {
                table.begin_complete_list();
                (0..endpoint_count).for_each(|i| put(&mut table, i));
                let mut gone = Vec::new();
                while !table.sweep(4096, &mut gone) {}
                assert!(gone.is_empty());
            });
        });
    }
    group.finish();
}

/// A destination that is activated and deactivated while a hundred others are active, and half of all
/// endpoints that leave the list and come back.
fn bench_directory(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("directory");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    for endpoint_count in [1_000u32, 10_000, 100_000, 1_000_000] {
        let deactivate_after = Some(Micros(1_000_000));
        let mut directory = Directory::new(DirectorySettings {
            max_endpoints: endpoint_count as usize,
            deactivate_after,
            health_decay: HealthDecay::default(),
            zones: Default::default(),
        });
        let mut output = DirectoryOutput::default();
        let names: Vec<_> = (0..endpoint_count).map(|i| format!("club-{i:08}")).collect();
        let put = |directory: &mut Directory, i: u32, output: &mut DirectoryOutput| {
            directory.put(Micros(0), endpoint(&names[i as usize], i), output).expect("there is room");
        };
        let put_complete_list = |directory: &mut Directory, count: u32, output: &mut DirectoryOutput| {
            directory.begin_complete_list();
            (0..count).for_each(|i| put(directory, i, output));
            while !directory.sweep(Micros(0), 4096, output) {}
        };
        put_complete_list(&mut directory, endpoint_count, &mut output);
        (0..100).for_each(|i| drop(directory.touch(Micros(0), i, &mut output)));
        let mut random = 0u32;
        group.bench_function(BenchmarkId::new("wake_and_rest", endpoint_count), |bencher| {
            bencher.iter(|| {
                random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let destination = u64::from(100 + random % (endpoint_count - 100));
                let activated = directory
                    .touch(Micros(0), destination, &mut output)
                    .expect("the destination is inactive");
                let endpoints: Vec<_> =
                    activated.endpoints.iter().map(|(e, health)| (e.receiver, *health)).collect();
                let health = RetainedHealth { served_per_s: 2.0, ..RetainedHealth::default() };
                directory.deactivate(Micros(0), destination, health, &endpoints, &mut output);
                output.commands.clear();
            });
        });
        group.bench_function(BenchmarkId::new("half_go_and_come_back", endpoint_count), |bencher| {
            bencher.iter(|| {
                put_complete_list(&mut directory, endpoint_count / 2, &mut output);
                put_complete_list(&mut directory, endpoint_count, &mut output);
                output = DirectoryOutput::default();
            });
        });
    }
    group.finish();
}

/// What is done at once before a snapshot is written block by block, and all of the blocks together.
fn bench_snapshot(criterion: &mut Criterion) {
    let mut health_store = HealthStore::new(HealthDecay::default());
    for i in 0..50_000u64 {
        let health = RetainedHealth { served_per_s: 2.0, ..RetainedHealth::default() };
        health_store.store(Micros(i), HealthKey::Destination(i), health);
    }
    let copy = || health_store.iter().map(|(key, stored)| (key.clone(), *stored)).collect::<Vec<_>>();
    criterion.bench_function("snapshot/copy_and_sort/50000", |bencher| {
        bencher.iter(|| black_box(SnapshotWriter::new(copy(), 4 << 20)))
    });
    criterion.bench_function("snapshot/all_blocks/50000", |bencher| {
        bencher.iter(|| SnapshotWriter::new(copy(), 4 << 20).map(|block| block.len()).sum::<usize>());
    });
}

criterion_group!(benches, bench_table, bench_directory, bench_snapshot);
criterion_main!(benches);
