//! Measuring memory and processor time of code in this process.

use rustix::time::{ClockId, clock_gettime};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts what is asked of the system's allocator. It does not see the allocator's own overhead; the report gives the
/// ratio to the resident size beside it.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated now.
#[must_use]
pub fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// What a value takes that is made by this, in bytes, and the value.
pub fn memory_of<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = allocated();
    let made = make();
    (allocated().saturating_sub(before) as f64, made)
}

/// Microseconds that this thread has had of a processor, in the kernel too.
#[must_use]
pub fn cpu_us() -> f64 {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    now.tv_sec as f64 * 1e6 + now.tv_nsec as f64 / 1e3
}

/// Processor time of several pieces of work.
#[derive(Debug, Default)]
pub struct Stopwatch {
    pub us: f64,
}

impl Stopwatch {
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = cpu_us();
        let done = work();
        self.us += cpu_us() - before;
        done
    }
}

/// Kilobytes of a line of `/proc/self/status`.
#[must_use]
pub fn status_kb(key: &str) -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}
