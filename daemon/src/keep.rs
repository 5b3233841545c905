//! What is remembered of destinations at rest, in a file of the folder that lasts. Losing it costs only caution.

use crate::net::Shared;
use async_channel::Receiver;
use futures_lite::future;
use onyxrock_roster::{Memory, Whose, Writer, read};
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

const NAME: &str = "onyxrock.idle";
const NEW: &str = "onyxrock.idle.new";

/// Reads what an earlier process kept. One line tells of a file that cannot be used, which is removed.
pub fn load(folder: &Path, most: usize) -> Vec<(Whose, Memory)> {
    let path = folder.join(NAME);
    let mut bytes = Vec::new();
    // Of a file longer than any that is written no more is read than shows it.
    let read_all = File::open(&path).and_then(|f| f.take(most as u64 + 1).read_to_end(&mut bytes));
    let why = match read_all {
        Err(e) if e.kind() == ErrorKind::NotFound => return Vec::new(),
        Err(e) => e.to_string(),
        Ok(_) => match read(&bytes) {
            Ok(all) => return all,
            Err(why) => why,
        },
    };
    tracing::warn!("idle: {} is left out: {why}", path.display());
    let _ = std::fs::remove_file(path);
    Vec::new()
}

/// Writes each of these in place of the last, in slices: nobody waits for all of it.
pub async fn run(shared: Rc<Shared>, folder: PathBuf, most: usize, inbox: Receiver<Vec<(Whose, Memory)>>) {
    while let Ok(all) = inbox.recv().await {
        match write(&folder, most, all).await {
            Ok(()) => shared.counters.idle_kept.up(),
            Err(e) => {
                tracing::warn!("idle: what is remembered could not be kept: {e}");
                let _ = std::fs::remove_file(folder.join(NEW));
            }
        }
    }
}

async fn write(folder: &Path, most: usize, all: Vec<(Whose, Memory)>) -> io::Result<()> {
    let new = folder.join(NEW);
    let mut file = File::create(&new)?;
    let mut blocks = Writer::new(all, most);
    for block in blocks.by_ref() {
        file.write_all(&block)?;
        future::yield_now().await;
    }
    if blocks.left_out > 0 {
        tracing::debug!("idle: {} memories found no room", blocks.left_out);
    }
    std::fs::rename(new, folder.join(NAME))
}
