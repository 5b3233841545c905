//! A fault-injection library for tests. It is loaded into a process by LD_PRELOAD and replaces a few
//! functions of the C library.
//!
//! - `write` and `ftruncate` fail for files that a fault plan selects. `ONYXROCK_FAULT_PLAN` names the file
//!   of the plan, which is read at each such call, so that a test may change faults while the process runs.
//!   Each injected fault adds a line to a file beside the plan (`.hits`), which shows the test that the fault
//!   has occurred.
//! - `clock_gettime` for the wall clock is shifted by `ONYXROCK_CLOCK_STEP_S` seconds.
//!
//! System calls that do not go through the C library are not intercepted: rustix makes its own (sockets,
//! epoll). Files and clocks of the standard library do go through the C library.

pub mod fault_plan;

use fault_plan::{FaultPlan, WriteFault};
use libc::{c_int, c_void, clockid_t, off_t, size_t, ssize_t, timespec};
use std::ffi::CString;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// The previous write was cut short, so the next one fails.
static LAST_WRITE_WAS_SHORT: AtomicBool = AtomicBool::new(false);

fn plan_file() -> Option<&'static PathBuf> {
    static FILE: OnceLock<Option<PathBuf>> = OnceLock::new();
    FILE.get_or_init(|| std::env::var_os("ONYXROCK_FAULT_PLAN").map(PathBuf::from)).as_ref()
}

/// The fault plan, if it selects the file behind this descriptor.
fn plan_for(fd: c_int) -> Option<FaultPlan> {
    let file = plan_file()?;
    // Standard streams are never selected. Sockets are not either: their link below is no absolute path.
    if fd <= 2 {
        return None;
    }
    let path = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    if !path.is_absolute() {
        return None;
    }
    let plan = fault_plan::parse(&std::fs::read_to_string(file).ok()?).ok()?;
    let selected = !plan.path.is_empty() && path.to_string_lossy().contains(&plan.path);
    selected.then_some(plan)
}

/// Records an injected fault in the `.hits` file. System calls are made directly, because `write` is
/// intercepted here.
fn record_hit(fault: &str) {
    let Some(file) = plan_file() else { return };
    let Ok(path) = CString::new(format!("{}.hits", file.display())) else { return };
    let line = format!("{fault}\n");
    // SAFETY: the path is null-terminated, the line outlives the call, and the descriptor is closed once.
    unsafe {
        let flags = libc::O_WRONLY | libc::O_APPEND | libc::O_CREAT | libc::O_CLOEXEC;
        let fd = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644);
        if fd >= 0 {
            libc::syscall(libc::SYS_write, fd, line.as_ptr(), line.len());
            libc::syscall(libc::SYS_close, fd);
        }
    }
}

fn set_errno(errno: c_int) {
    // SAFETY: the C library returns a valid pointer to the error number of the calling thread.
    unsafe { *libc::__errno_location() = errno };
}

/// Replaces `write` of the C library.
///
/// # Safety
/// The same requirements as for `write` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, count: size_t) -> ssize_t {
    let fault = plan_for(fd).and_then(|plan| plan.write);
    let count = match fault {
        None => count,
        Some(WriteFault::Short) if !LAST_WRITE_WAS_SHORT.swap(true, Ordering::Relaxed) && count > 1 => {
            record_hit("short");
            count / 2
        }
        Some(WriteFault::Short) => {
            LAST_WRITE_WAS_SHORT.store(false, Ordering::Relaxed);
            record_hit("write");
            set_errno(libc::ENOSPC);
            return -1;
        }
        Some(WriteFault::Errno(errno)) => {
            record_hit("write");
            set_errno(errno);
            return -1;
        }
    };
    // SAFETY: the caller guarantees a valid buffer of at least this many bytes.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, count) as ssize_t }
}

/// Replaces `ftruncate` of the C library.
///
/// # Safety
/// The same requirements as for `ftruncate` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    if plan_for(fd).is_some_and(|plan| plan.truncate) {
        record_hit("truncate");
        set_errno(libc::EIO);
        return -1;
    }
    // SAFETY: truncation has no memory-safety requirements.
    unsafe { libc::syscall(libc::SYS_ftruncate, fd, length) as c_int }
}

/// Replaces `clock_gettime` of the C library.
///
/// # Safety
/// The same requirements as for `clock_gettime` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    static STEP_S: OnceLock<i64> = OnceLock::new();
    // SAFETY: the caller guarantees that the pointer is valid.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let step_s = || std::env::var("ONYXROCK_CLOCK_STEP_S").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
        // SAFETY: the system call has just written to the pointer.
        unsafe { (*time).tv_sec += STEP_S.get_or_init(step_s) };
    }
    result
}
