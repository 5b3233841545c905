//! Time must continue from one process to the next, whatever was done to the wall clock between them.

use super::*;
use rstest::rstest;

const WALL: Micros = Micros(1_800_000_000_000_000);
const BOOT: Micros = Micros(5_000_000_000);
const HOUR: Micros = Micros(3_600_000_000);

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("onyxrock-clock-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Starts one process at `WALL` and a second one `later`, when the wall clock shows `wall`. Returns the start
/// time of the second.
fn start_of_second_process(name: &str, boot_id: &str, later: Micros, wall: Micros) -> Micros {
    let folder = folder(name);
    assert_eq!(start_time(&folder, "boot-1", WALL, BOOT), WALL);
    let time = start_time(&folder, boot_id, wall, BOOT.plus(later));
    std::fs::remove_dir_all(&folder).unwrap();
    time
}

#[rstest]
#[case::set_back(Micros(WALL.0 - HOUR.0))]
#[case::set_forward(WALL.plus(HOUR))]
#[case::seconds_forward(WALL.plus(Micros(9_000_000)))]
fn a_step_of_the_wall_clock_does_not_change_the_time(#[case] wall: Micros) {
    let later = Micros(2_000_000);
    let time = start_of_second_process(&format!("step-{}", wall.0), "boot-1", later, wall.plus(later));
    assert_eq!(time, WALL.plus(later));
}

#[test]
fn the_wall_time_is_used_if_it_was_not_stepped() {
    let drifted = WALL.plus(Micros(2_000_400));
    assert_eq!(start_of_second_process("drift", "boot-1", Micros(2_000_000), drifted), drifted);
}

#[test]
fn the_wall_time_is_used_after_a_reboot() {
    let wall = WALL.plus(HOUR);
    assert_eq!(start_of_second_process("boot", "boot-2", Micros(1_000_000), wall), wall);
}

#[rstest]
#[case::empty("")]
#[case::torn("boot-1 17999950")]
#[case::no_number("boot-1 soon\n")]
fn an_invalid_offset_file_is_replaced(#[case] text: &str) {
    let folder = folder(&format!("bad-{}", text.len()));
    std::fs::write(folder.join(OFFSET_FILE), text).unwrap();
    assert_eq!(start_time(&folder, "boot-1", WALL, BOOT), WALL);
    let stepped = WALL.plus(HOUR);
    assert_eq!(start_time(&folder, "boot-1", stepped, BOOT.plus(Micros(1))), WALL.plus(Micros(1)));
    std::fs::remove_dir_all(&folder).unwrap();
}
