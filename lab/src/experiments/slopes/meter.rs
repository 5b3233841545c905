//! Measures the memory and processor time of code in this process.

use rustix::time::{ClockId, clock_gettime};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts the bytes requested from the system's allocator. The count does not include the allocator's own
/// overhead; the report contains the ratio of the resident memory to this count.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of bytes that are allocated now.
#[must_use]
pub fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// Makes a value, and returns the bytes that are allocated for it and the value.
pub fn memory_of<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = allocated();
    let value = make();
    (allocated().saturating_sub(before) as f64, value)
}

/// Microseconds of processor time that this thread has used, in the kernel too.
#[must_use]
pub fn thread_cpu_us() -> f64 {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    now.tv_sec as f64 * 1e6 + now.tv_nsec as f64 / 1e3
}

/// Adds up the processor time of several pieces of work.
#[derive(Debug, Default)]
pub struct CpuTimer {
    /// Microseconds of processor time so far.
    pub us: f64,
}

impl CpuTimer {
    /// Runs the work and adds its processor time.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = thread_cpu_us();
        let result = work();
        self.us += thread_cpu_us() - before;
        result
    }
}

/// The value of a line of `/proc/self/status`, in kilobytes.
#[must_use]
pub fn status_kb(key: &str) -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}
