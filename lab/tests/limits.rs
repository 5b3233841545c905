//! The limits on what an experiment may use of the machine.

use onyxrock_lab::experiments::slopes::limits::{Limits, Need};

const LIMITS: Limits = Limits { memory_bytes: 12_000_000_000, processes: 300 };

#[test]
fn an_experiment_beyond_the_limits_is_refused_with_a_one_line_reason() {
    let fits = Need { memory_bytes: 12_000_000_000, processes: 300 };
    assert_eq!(LIMITS.allow(fits), Ok(()));
    let large = Need { memory_bytes: 13_000_000_000, ..fits };
    let reason = "it would need 13000 MB of memory, 12000 MB are allowed";
    assert_eq!(LIMITS.allow(large), Err(reason.to_owned()));
    let many = Need { processes: 301, ..fits };
    assert_eq!(LIMITS.allow(many), Err("it would need 301 processes, 300 are allowed".to_owned()));
}

#[test]
fn the_memory_limit_is_half_of_the_machine() {
    let limits = Limits::of_machine().unwrap();
    let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap();
    let total = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap();
    let kb: u64 = total.split_whitespace().next().unwrap().parse().unwrap();
    assert_eq!(limits.memory_bytes, kb * 512);
}
