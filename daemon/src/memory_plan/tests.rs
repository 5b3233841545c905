use super::*;
use rstest::rstest;

/// What a process takes before clients come, in a release build.
const START_BYTES: u64 = 5_000_000;

fn limits(memory_mb: u64, disk_mb: u64, processes: u64) -> Limits {
    Limits { memory_bytes: memory_mb * 1_000_000, disk_bytes: disk_mb * 1_000_000, sockets: 1024, processes }
}

/// Largest use of all parts together.
fn largest_use(plan: &MemoryPlan, processes: u64) -> u64 {
    let parts = plan.input_bytes + plan.message_bytes + plan.client_connections * CONNECTION_BYTES;
    plan.file_bytes + processes * (START_BYTES + GROWTH_BYTES + parts)
}

/// Guards against parts that are each within the limit, and together beyond it.
#[rstest]
fn the_parts_together_stay_within_the_limit(
    #[values(16, 24, 32, 48, 96, 192, 2048)] memory_mb: u64, #[values(1, 3, 8, 30, 300)] disk_mb: u64,
    #[values(1, 2)] processes: u64,
) {
    let limits = limits(memory_mb, disk_mb, processes);
    let plan = MemoryPlan::new(limits, START_BYTES, 0);
    assert!(plan.file_bytes <= limits.disk_bytes, "{plan:?}");
    assert!(!plan.fits || largest_use(&plan, processes) <= limits.memory_bytes, "{plan:?}");
}

/// The figures of the platform's pages: 192 MB, or half of it, with an upgrade.
#[rstest]
#[case(192)]
#[case(96)]
fn the_limits_of_the_platform_leave_the_log_and_the_connections_as_they_are(#[case] memory_mb: u64) {
    let plan = MemoryPlan::new(limits(memory_mb, 3, 2), START_BYTES, 0);
    assert_eq!((plan.file_bytes, plan.client_connections, plan.fits), (3_000_000, 512, true));
}

#[test]
fn a_limit_below_the_base_is_reported_and_leaves_something_to_work_with() {
    let plan = MemoryPlan::new(limits(16, 3, 2), START_BYTES, 0);
    assert!(!plan.fits && plan.client_connections >= MIN_CONNECTIONS && plan.message_bytes > 0, "{plan:?}");
}

/// A zone or retained health that is configured keeps its room beside the log.
#[test]
fn other_files_leave_room_for_the_log() {
    let plan = MemoryPlan::new(limits(16, 30, 1), START_BYTES, 2_000_000);
    assert!(plan.file_bytes >= 4_000_000 + MIN_FILE_BYTES, "{plan:?}");
}
