//! What an experiment may use of the machine.

use onyxrock_lab::experiments::slopes::limits::{Limits, Need};

const LIMITS: Limits = Limits { memory_bytes: 12_000_000_000, processes: 300 };

#[test]
fn what_is_needed_beyond_the_limits_is_told_in_one_line() {
    let fits = Need { memory_bytes: 12_000_000_000, processes: 300 };
    assert_eq!(LIMITS.allow(fits), Ok(()));
    let large = Need { memory_bytes: 13_000_000_000, ..fits };
    let why = "it would need 13000 MB of memory, 12000 MB are allowed";
    assert_eq!(LIMITS.allow(large), Err(why.to_owned()));
    let many = Need { processes: 301, ..fits };
    assert_eq!(LIMITS.allow(many), Err("it would need 301 processes, 300 are allowed".to_owned()));
}

#[test]
fn half_of_the_machine_may_be_used() {
    let limits = Limits::of_machine().unwrap();
    let info = std::fs::read_to_string("/proc/meminfo").unwrap();
    let total = info.lines().find_map(|l| l.strip_prefix("MemTotal:")).unwrap();
    let kb: u64 = total.split_whitespace().next().unwrap().parse().unwrap();
    assert_eq!(limits.memory_bytes, kb * 512);
}
