//! Measures the cost of the endpoint list: its memory, parsing a complete list, applying changes, and a
//! watch.

use super::meter::{CpuTimer, memory_of};
use super::wire::{directory_entry, endpoint_name, entry_text, list_text, name_index, parsed_entry};
use super::{Plan, smallest_of};
use crate::capacity::cost::Cost;
use crate::capacity::fit::Point;
use onyxrock::core::NameIndex;
use onyxrock::interface::{Micros, RetainedHealth};
use onyxrock_config::list::ListReader;
use onyxrock_roster::{
    Directory, DirectoryOutput, DirectorySettings, HealthDecay, HealthKey, HealthStore, StagedList,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Entries in one chunk of the text of a complete list: about as much as the daemon reads at once.
const ENTRIES_PER_CHUNK: u64 = 256;
/// Entries that one step of a sweep handles.
const SWEEP_BATCH_ENTRIES: usize = 2048;
/// Maximum memory of a list that is being read, in bytes.
const MAX_STAGED_BYTES: usize = 1 << 30;
/// Number of destinations in the directory that changes are applied to.
const CHANGED_LIST_DESTINATIONS: u64 = 81_250;
/// An unused destination may be deactivated after this time; the settings' default.
pub const DEACTIVATE_AFTER: Micros = Micros(300_000_000);

/// An empty directory with room for this number of endpoints.
pub fn empty_directory(max_endpoints: u64) -> Directory {
    let settings = DirectorySettings {
        max_endpoints: max_endpoints as usize,
        deactivate_after: Some(DEACTIVATE_AFTER),
        health_decay: HealthDecay::default(),
        zones: name_index().zones,
    };
    Directory::new(settings)
}

/// A directory that lists this number of destinations with one endpoint each.
pub fn filled_directory(listed: u64) -> Directory {
    let mut directory = empty_directory(listed);
    let mut output = DirectoryOutput::default();
    directory.begin_complete_list();
    for destination in 0..listed {
        let name = endpoint_name(destination);
        directory
            .put(Micros(0), directory_entry(&name, destination), &mut output)
            .expect("the directory has room for all endpoints");
    }
    while !directory.sweep(Micros(0), SWEEP_BATCH_ENTRIES, &mut output) {}
    directory.finish_list();
    directory
}

/// Measures the memory of a directory without active destinations.
pub fn listed_memory(plan: &Plan) -> Vec<(Cost, Vec<Point>)> {
    let sizes = plan.sizes(plan.size.destinations);
    let point = |n: &u64| Point { x: *n as f64, y: memory_of(|| filled_directory(*n)).0 };
    vec![(Cost::ListedMemory, sizes.iter().map(point).collect())]
}

/// Measures the memory of the retained health of inactive destinations: of each destination and of its
/// endpoint.
pub fn retained_health_memory(plan: &Plan) -> Vec<(Cost, Vec<Point>)> {
    let health = RetainedHealth { served_per_s: 5.0, ..RetainedHealth::default() };
    let filled_store = |destinations: u64| {
        let mut store = HealthStore::new(HealthDecay::default());
        for destination in 0..destinations {
            store.store(Micros(1), HealthKey::Destination(destination), health);
            store.store(Micros(1), HealthKey::Endpoint(endpoint_name(destination).into()), health);
        }
        store
    };
    let point = |n: &u64| Point { x: *n as f64, y: memory_of(|| filled_store(*n)).0 };
    vec![(Cost::RetainedHealthMemory, plan.sizes(plan.size.destinations).iter().map(point).collect())]
}

/// Parses an answer of discovery and applies it, as the daemon's list actor and core actor do.
fn apply(text: &[u8], names: &NameIndex, directory: &mut Directory) -> Result<(), String> {
    let mut staged = StagedList::new(usize::MAX, MAX_STAGED_BYTES);
    let mut reader = ListReader::new(names);
    reader.feed(text, |l| staged.push(&parsed_entry(&l)).map_err(|e| format!("{e:?}")))?;
    reader.finish()?;
    let mut output = DirectoryOutput::default();
    for block in staged.into_blocks() {
        for entry in block.iter() {
            directory.put(Micros(1), entry, &mut output).map_err(|e| format!("{e:?}"))?;
        }
    }
    directory.finish_list();
    Ok(())
}

/// Measures parsing and applying a complete list at a start, in chunks.
pub fn complete_list(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for entries in plan.sizes(plan.size.destinations) {
        let mut length = 0;
        let us = smallest_of(plan.repeats, || {
            let mut timer = CpuTimer::default();
            length = parse_complete_list(entries, &mut timer)?;
            Ok::<_, String>(timer.us)
        })?;
        cpu.push(Point { x: entries as f64, y: us });
        bytes.push(Point { x: entries as f64, y: length as f64 });
    }
    Ok(vec![(Cost::CompleteListCpu, cpu), (Cost::CompleteListBytes, bytes)])
}

/// Parses and applies one complete list. Returns the length of its text in bytes.
fn parse_complete_list(entry_count: u64, timer: &mut CpuTimer) -> Result<usize, String> {
    let names = name_index();
    let mut reader = ListReader::new(&names);
    let mut staged = StagedList::new(usize::MAX, MAX_STAGED_BYTES);
    let mut length = 0;
    let mut feed = |text: &str| {
        length += text.len();
        let stage = |l| staged.push(&parsed_entry(&l)).map_err(|e| format!("{e:?}"));
        timer.time(|| reader.feed(text.as_bytes(), stage))
    };
    feed("{\"generation\":1,\"reset\":true,\"instances\":[")?;
    for from in (0..entry_count).step_by(ENTRIES_PER_CHUNK as usize) {
        let until = entry_count.min(from + ENTRIES_PER_CHUNK);
        let entries: Vec<_> = (from..until).map(|d| entry_text(d, "Ready", 50.0)).collect();
        let end = if until < entry_count { "," } else { "]}" };
        feed(&(entries.join(",") + end))?;
    }
    timer.time(|| {
        reader.finish()?;
        let (mut directory, mut output) = (empty_directory(entry_count), DirectoryOutput::default());
        directory.begin_complete_list();
        for block in staged.into_blocks() {
            for entry in block.iter() {
                directory.put(Micros(1), entry, &mut output).map_err(|e| format!("{e:?}"))?;
            }
        }
        while !directory.sweep(Micros(1), SWEEP_BATCH_ENTRIES, &mut output) {}
        directory.finish_list();
        Ok::<_, String>(())
    })?;
    Ok(length)
}

/// Measures parsing and applying several changes in one answer, on a filled directory.
pub fn list_changes(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let names = name_index();
    let listed = plan.fixed_size(CHANGED_LIST_DESTINATIONS);
    let mut directory = filled_directory(listed);
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    let mut generation = 1;
    for changes in [20, 80, 320, 1_280, 5_120].into_iter().filter(|n| *n <= listed) {
        let mut length = 0;
        let us = smallest_of(plan.repeats * 3, || {
            generation += 1;
            // Each answer has another weight, so that each entry is a change.
            let weight = generation as f64;
            // The prime stride spreads the changes over the list.
            let entry = |i: u64| entry_text(i * 7919 % listed, "Ready", weight);
            let text = list_text(generation, false, &(0..changes).map(entry).collect::<Vec<_>>());
            length = text.len();
            let mut timer = CpuTimer::default();
            timer.time(|| apply(text.as_bytes(), &names, &mut directory))?;
            Ok::<_, String>(timer.us)
        })?;
        cpu.push(Point { x: changes as f64, y: us });
        bytes.push(Point { x: changes as f64, y: length as f64 });
    }
    Ok(vec![(Cost::ListChangeCpu, cpu), (Cost::ListChangeBytes, bytes)])
}

/// Measures watches: requests one after the other on one connection, each answered with one change.
pub fn watch(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let mut client = TcpStream::connect(address).map_err(|e| e.to_string())?;
    let (mut server, _) = listener.accept().map_err(|e| e.to_string())?;
    client.set_nodelay(true).and_then(|()| server.set_nodelay(true)).map_err(|e| e.to_string())?;
    let names = name_index();
    let listed = plan.fixed_size(CHANGED_LIST_DESTINATIONS);
    let mut directory = filled_directory(listed);
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    let mut generation = 1;
    for requests in [20u64, 80, 320, 1_280, 5_120] {
        let mut bytes_carried = 0;
        let us = smallest_of(plan.repeats, || {
            let mut timer = CpuTimer::default();
            bytes_carried = 0;
            for i in 0..requests {
                let request = format!(
                    "GET /v1/endpoints?since={generation}&timeout_ms=4500 HTTP/1.1\r\nHost: {address}\r\n\r\n"
                );
                generation += 1;
                let entry = entry_text(i * 7919 % listed, "Ready", generation as f64);
                let body = list_text(generation, false, &[entry]);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                bytes_carried += request.len() + head.len() + body.len();
                timer.time(|| client.write_all(request.as_bytes())).map_err(|e| e.to_string())?;
                let mut buffer = vec![0; request.len().max(head.len() + body.len())];
                server.read_exact(&mut buffer[..request.len()]).map_err(|e| e.to_string())?;
                server.write_all((head.clone() + &body).as_bytes()).map_err(|e| e.to_string())?;
                timer.time(|| {
                    let answer = &mut buffer[..head.len() + body.len()];
                    client.read_exact(answer).map_err(|e| e.to_string())?;
                    apply(&answer[head.len()..], &names, &mut directory)
                })?;
            }
            Ok::<_, String>(timer.us)
        })?;
        cpu.push(Point { x: requests as f64, y: us });
        bytes.push(Point { x: requests as f64, y: bytes_carried as f64 });
    }
    Ok(vec![(Cost::WatchAnswerCpu, cpu), (Cost::WatchAnswerBytes, bytes)])
}
