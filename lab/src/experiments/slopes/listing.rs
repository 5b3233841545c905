//! What the list costs: held, read as a whole, changed, and watched.

use super::meter::{Stopwatch, memory_of};
use super::wire::{as_endpoint, entry_of, entry_text, list_text, name_of, names};
use super::{Plan, least_of};
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

/// Entries of one piece of text of a whole list: about as much as the daemon reads at once.
const PIECE_ENTRIES: u64 = 256;
const SWEEP: usize = 2048;
/// Bytes that a list may take while it is read.
const STAGED_BYTES: usize = 1 << 30;
/// Destinations of the directory that changes are applied to.
const CHANGED_LIST: u64 = 81_250;
/// After so long without use a destination may rest; as the settings' default.
pub const REST: Micros = Micros(300_000_000);

/// An empty directory for so many endpoints.
pub fn directory(most: u64) -> Directory {
    let rules = DirectorySettings {
        max_endpoints: most as usize,
        deactivate_after: Some(REST),
        health_decay: HealthDecay::default(),
        zones: names().zones,
    };
    Directory::new(rules)
}

/// One that lists so many destinations of one endpoint each.
pub fn full(listed: u64) -> Directory {
    let mut directory = directory(listed);
    let mut follows = DirectoryOutput::default();
    directory.begin_complete_list();
    for destination in 0..listed {
        let name = name_of(destination);
        directory.put(Micros(0), entry_of(&name, destination), &mut follows).expect("there is room");
    }
    while !directory.sweep(Micros(0), SWEEP, &mut follows) {}
    directory.finish_list();
    directory
}

/// Memory of the directory with nothing in use.
pub fn listed_memory(plan: &Plan) -> Vec<(Cost, Vec<Point>)> {
    let sizes = plan.sizes(plan.size.destinations);
    let one = |n: &u64| Point { x: *n as f64, y: memory_of(|| full(*n)).0 };
    vec![(Cost::ListedMemory, sizes.iter().map(one).collect())]
}

/// Memory of what is remembered of destinations at rest: of each destination and of its endpoint.
pub fn resting_memory(plan: &Plan) -> Vec<(Cost, Vec<Point>)> {
    let repute = RetainedHealth { served_per_s: 5.0, ..RetainedHealth::default() };
    let make = |n: u64| {
        let mut memories = HealthStore::new(HealthDecay::default());
        for destination in 0..n {
            memories.store(Micros(1), HealthKey::Destination(destination), repute);
            memories.store(Micros(1), HealthKey::Endpoint(name_of(destination).into()), repute);
        }
        memories
    };
    let one = |n: &u64| Point { x: *n as f64, y: memory_of(|| make(*n)).0 };
    vec![(Cost::RestingMemory, plan.sizes(plan.size.destinations).iter().map(one).collect())]
}

/// Reads an answer and applies it, as the daemon's list and its module do.
fn apply(text: &[u8], names: &NameIndex, directory: &mut Directory) -> Result<(), String> {
    let mut staged = StagedList::new(usize::MAX, STAGED_BYTES);
    let mut reader = ListReader::new(names);
    reader.feed(text, |l| staged.push(&as_endpoint(&l)).map_err(|e| format!("{e:?}")))?;
    reader.finish()?;
    let mut follows = DirectoryOutput::default();
    for block in staged.into_blocks() {
        for entry in block.iter() {
            directory.put(Micros(1), entry, &mut follows).map_err(|e| format!("{e:?}"))?;
        }
    }
    directory.finish_list();
    Ok(())
}

/// Reading a whole list at a start, in pieces.
pub fn whole_list(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for n in plan.sizes(plan.size.destinations) {
        let mut carried = 0;
        let us = least_of(plan.repeats, || {
            let mut watch = Stopwatch::default();
            carried = whole_once(n, &mut watch)?;
            Ok::<_, String>(watch.us)
        })?;
        cpu.push(Point { x: n as f64, y: us });
        bytes.push(Point { x: n as f64, y: carried as f64 });
    }
    Ok(vec![(Cost::WholeListCpu, cpu), (Cost::WholeListBytes, bytes)])
}

fn whole_once(n: u64, watch: &mut Stopwatch) -> Result<usize, String> {
    let names = names();
    let mut reader = ListReader::new(&names);
    let mut staged = StagedList::new(usize::MAX, STAGED_BYTES);
    let mut carried = 0;
    let mut feed = |text: &str| {
        carried += text.len();
        let take = |l| staged.push(&as_endpoint(&l)).map_err(|e| format!("{e:?}"));
        watch.time(|| reader.feed(text.as_bytes(), take))
    };
    feed("{\"generation\":1,\"reset\":true,\"instances\":[")?;
    for from in (0..n).step_by(PIECE_ENTRIES as usize) {
        let until = n.min(from + PIECE_ENTRIES);
        let entries: Vec<_> = (from..until).map(|d| entry_text(d, "Ready", 50.0)).collect();
        let end = if until < n { "," } else { "]}" };
        feed(&(entries.join(",") + end))?;
    }
    watch.time(|| {
        reader.finish()?;
        let (mut directory, mut follows) = (directory(n), DirectoryOutput::default());
        directory.begin_complete_list();
        for block in staged.into_blocks() {
            for entry in block.iter() {
                directory.put(Micros(1), entry, &mut follows).map_err(|e| format!("{e:?}"))?;
            }
        }
        while !directory.sweep(Micros(1), SWEEP, &mut follows) {}
        directory.finish_list();
        Ok::<_, String>(())
    })?;
    Ok(carried)
}

/// So many changes in one answer, on a list that is there.
pub fn list_changes(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let names = names();
    let listed = plan.limited(CHANGED_LIST);
    let mut directory = full(listed);
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    let mut generation = 1;
    for n in [20, 80, 320, 1_280, 5_120].into_iter().filter(|n| *n <= listed) {
        let mut length = 0;
        let us = least_of(plan.repeats * 3, || {
            generation += 1;
            // Each time another weight, so that each entry is a change.
            let weight = generation as f64;
            let entry = |i: u64| entry_text(i * 7919 % listed, "Ready", weight);
            let text = list_text(generation, false, &(0..n).map(entry).collect::<Vec<_>>());
            length = text.len();
            let mut watch = Stopwatch::default();
            watch.time(|| apply(text.as_bytes(), &names, &mut directory))?;
            Ok::<_, String>(watch.us)
        })?;
        cpu.push(Point { x: n as f64, y: us });
        bytes.push(Point { x: n as f64, y: length as f64 });
    }
    Ok(vec![(Cost::ListChangeCpu, cpu), (Cost::ListChangeBytes, bytes)])
}

/// A watch: so many questions one after the other on one connection, each answered with one change.
pub fn watch(plan: &Plan) -> Result<Vec<(Cost, Vec<Point>)>, String> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    let mut client = TcpStream::connect(at).map_err(|e| e.to_string())?;
    let (mut server, _) = listener.accept().map_err(|e| e.to_string())?;
    client.set_nodelay(true).and_then(|()| server.set_nodelay(true)).map_err(|e| e.to_string())?;
    let names = names();
    let listed = plan.limited(CHANGED_LIST);
    let mut directory = full(listed);
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    let mut generation = 1;
    for n in [20u64, 80, 320, 1_280, 5_120] {
        let mut carried = 0;
        let us = least_of(plan.repeats, || {
            let mut watch = Stopwatch::default();
            carried = 0;
            for i in 0..n {
                let question = format!(
                    "GET /v1/endpoints?since={generation}&timeout_ms=4500 HTTP/1.1\r\nHost: {at}\r\n\r\n"
                );
                generation += 1;
                let entry = entry_text(i * 7919 % listed, "Ready", generation as f64);
                let body = list_text(generation, false, &[entry]);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                carried += question.len() + head.len() + body.len();
                watch.time(|| client.write_all(question.as_bytes())).map_err(|e| e.to_string())?;
                let mut buffer = vec![0; question.len().max(head.len() + body.len())];
                server.read_exact(&mut buffer[..question.len()]).map_err(|e| e.to_string())?;
                server.write_all((head.clone() + &body).as_bytes()).map_err(|e| e.to_string())?;
                watch.time(|| {
                    let answer = &mut buffer[..head.len() + body.len()];
                    client.read_exact(answer).map_err(|e| e.to_string())?;
                    apply(&answer[head.len()..], &names, &mut directory)
                })?;
            }
            Ok::<_, String>(watch.us)
        })?;
        cpu.push(Point { x: n as f64, y: us });
        bytes.push(Point { x: n as f64, y: carried as f64 });
    }
    Ok(vec![(Cost::WatchAnswerCpu, cpu), (Cost::WatchAnswerBytes, bytes)])
}
