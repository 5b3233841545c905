//! A library for tests that is loaded into a process by LD_PRELOAD and stands in for a few functions of the C library.
//!
//! - `write` and `ftruncate` of files named by a plan fail. The plan is the file that `ONYXROCK_FAULT_PLAN` names; it is read
//!   anew at each such call, so that whoever runs the test may switch faults on and off. Each hit is a line in a file beside
//!   it, by which the test knows that the fault was met.
//! - `clock_gettime` of the wall clock is moved by `ONYXROCK_CLOCK_STEP_S` seconds.
//!
//! Calls that do not go through the C library are not seen: rustix makes its own (sockets, epoll), the standard library's
//! files and clocks do not.

pub mod fault_plan;

use fault_plan::{FaultPlan, WriteFault};
use libc::{c_int, c_void, clockid_t, off_t, size_t, ssize_t, timespec};
use std::ffi::CString;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// The last write was cut short: the next one fails.
static CUT: AtomicBool = AtomicBool::new(false);

fn plan_file() -> Option<&'static PathBuf> {
    static FILE: OnceLock<Option<PathBuf>> = OnceLock::new();
    FILE.get_or_init(|| std::env::var_os("ONYXROCK_FAULT_PLAN").map(PathBuf::from)).as_ref()
}

/// The plan, if it is about the file behind this descriptor.
fn plan_for(fd: c_int) -> Option<FaultPlan> {
    let file = plan_file()?;
    // Terminals and sockets need no look at the plan.
    if fd <= 2 {
        return None;
    }
    let path = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    if !path.is_absolute() {
        return None;
    }
    let plan = fault_plan::parse(&std::fs::read_to_string(file).ok()?).ok()?;
    let named = !plan.path.is_empty() && path.to_string_lossy().contains(&plan.path);
    named.then_some(plan)
}

/// Notes that a fault was met, by system calls of its own.
fn hit(what: &str) {
    let Some(file) = plan_file() else { return };
    let Ok(path) = CString::new(format!("{}.hits", file.display())) else { return };
    let line = format!("{what}\n");
    // SAFETY: the path ends with a zero, the line lives until the call is over, and the descriptor is closed once.
    unsafe {
        let flags = libc::O_WRONLY | libc::O_APPEND | libc::O_CREAT | libc::O_CLOEXEC;
        let fd = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644);
        if fd >= 0 {
            libc::syscall(libc::SYS_write, fd, line.as_ptr(), line.len());
            libc::syscall(libc::SYS_close, fd);
        }
    }
}

fn fail(errno: c_int) {
    // SAFETY: the C library gives each thread a place for its error.
    unsafe { *libc::__errno_location() = errno };
}

/// Stands in for the C library's `write`.
///
/// # Safety
/// As of that.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, count: size_t) -> ssize_t {
    let fault = plan_for(fd).and_then(|plan| plan.write);
    let count = match fault {
        None => count,
        Some(WriteFault::Short) if !CUT.swap(true, Ordering::Relaxed) && count > 1 => {
            hit("short");
            count / 2
        }
        Some(WriteFault::Short) => {
            CUT.store(false, Ordering::Relaxed);
            hit("write");
            fail(libc::ENOSPC);
            return -1;
        }
        Some(WriteFault::Errno(errno)) => {
            hit("write");
            fail(errno);
            return -1;
        }
    };
    // SAFETY: the caller's promise, for no more bytes than it gave.
    unsafe { libc::syscall(libc::SYS_write, fd, from, count) as ssize_t }
}

/// Stands in for the C library's `ftruncate`.
///
/// # Safety
/// As of that.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    if plan_for(fd).is_some_and(|plan| plan.truncate) {
        hit("truncate");
        fail(libc::EIO);
        return -1;
    }
    // SAFETY: the caller's promise.
    unsafe { libc::syscall(libc::SYS_ftruncate, fd, length) as c_int }
}

/// Stands in for the C library's `clock_gettime`.
///
/// # Safety
/// As of that.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    static STEP: OnceLock<i64> = OnceLock::new();
    // SAFETY: the caller's promise.
    let done = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) as c_int };
    if done == 0 && clock == libc::CLOCK_REALTIME {
        let step = || std::env::var("ONYXROCK_CLOCK_STEP_S").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
        // SAFETY: the system has just written there.
        unsafe { (*to).tv_sec += STEP.get_or_init(step) };
    }
    done
}
