//! Samples what counts as memory of a forwarder: the resident memory of its processes and the files in its folder, at
//! one instant.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two samples. A process needs longer than this to fill some megabytes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(3);

/// What counted as memory at one instant, in bytes.
#[derive(Clone, Debug, Default)]
pub struct MemorySample {
    /// Resident memory of each process.
    pub resident: Vec<u64>,
    /// The files in the state folder.
    pub files: u64,
}

impl MemorySample {
    pub fn total(&self) -> u64 {
        self.resident.iter().sum::<u64>() + self.files
    }
}

/// Largest values seen.
#[derive(Clone, Debug, Default)]
pub struct MemoryPeak {
    /// The sample with the largest total.
    pub largest: MemorySample,
    /// Most open descriptors of all processes together.
    pub descriptors: usize,
}

/// A thread that samples until it is stopped.
pub struct MemorySampler {
    processes: Arc<Mutex<Vec<u32>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<MemoryPeak>>,
}

impl MemorySampler {
    /// Samples these processes, and the files of a folder.
    pub fn start(processes: Vec<u32>, folder: PathBuf) -> MemorySampler {
        let processes = Arc::new(Mutex::new(processes));
        let stop = Arc::new(AtomicBool::new(false));
        let (sampled, stopped) = (processes.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let mut peak = MemoryPeak::default();
            while !stopped.load(Ordering::Relaxed) {
                peak.add(&sampled.lock().unwrap().clone(), &folder);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        MemorySampler { processes, stop, thread: Some(thread) }
    }

    /// Samples these processes from now on.
    pub fn follow(&self, processes: Vec<u32>) {
        *self.processes.lock().unwrap() = processes;
    }

    pub fn finish(mut self) -> MemoryPeak {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().expect("a sampler is finished once").join().unwrap()
    }
}

impl MemoryPeak {
    fn add(&mut self, processes: &[u32], folder: &Path) {
        let resident: Vec<_> = processes.iter().map(|process| resident_bytes(*process)).collect();
        let sample = MemorySample { resident, files: folder_bytes(folder) };
        if sample.total() > self.largest.total() {
            self.largest = sample;
        }
        let descriptors = processes.iter().map(|process| descriptor_count(*process)).sum();
        self.descriptors = self.descriptors.max(descriptors);
    }
}

/// Resident memory of a process, 0 once it has ended. `smaps_rollup` is exact; `status` may be some megabytes behind.
fn resident_bytes(process: u32) -> u64 {
    let rollup = std::fs::read_to_string(format!("/proc/{process}/smaps_rollup")).unwrap_or_default();
    let line = rollup.lines().find_map(|line| line.strip_prefix("Rss:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn descriptor_count(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else { return 0 };
    entries.flatten().filter_map(|entry| Some(entry.metadata().ok()?.len())).sum()
}
