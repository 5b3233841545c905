//! Incident e26570: what counts as memory (the processes of a forwarder and its files) stays within
//! `limits.memory_mb`, whatever the clients send and whatever is open, and usual clients are answered meanwhile.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use harness::crowd::{BODY_BYTES, SILENT_DESTINATION, all_kinds, payments_in_a_row, short_payments};
use harness::memory::{MemoryPeak, MemorySampler};
use harness::pressure::{Crowd, RequestSource, UsualClients, peak_memory};
use harness::smpp::encode_pdu;
use onyxrock::core::{AcceptedMessage, AttemptStatus, Record};
use onyxrock::interface::Micros;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a crowd goes on.
const SPAN: Duration = Duration::from_secs(6);
/// Connections of a crowd: more than are accepted with 1,024 descriptors.
const CONNECTIONS: usize = 600;
const USUAL_CLIENTS: usize = 4;
/// The lowest limit of the tests in MB. A debug build takes 13 MB for itself, a release build 8.
const LEAST_MEMORY_MB: u64 = if cfg!(debug_assertions) { 32 } else { 16 };
const INTERVAL: Duration = Duration::from_millis(100);

/// Each test needs hundreds of connections, and times answers: they run one after the other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

/// A daemon with these limits in MB. Its endpoint for destination 1 answers at once, the one for destination 2 never.
fn started_daemon(memory_mb: u64, disk_mb: u64, more: &[&str]) -> Harness {
    let mut harness = Harness::default();
    harness.add_accepting_endpoint("e1", "1", Arc::default());
    for destination in [SILENT_DESTINATION, 90] {
        run_step(&mut harness, &format!("given endpoint silent{destination} dest={destination}"));
    }
    run_step(&mut harness, &format!("given limit memory_mb={memory_mb}"));
    run_step(&mut harness, &format!("given limit disk_mb={disk_mb}"));
    for line in more {
        run_step(&mut harness, line);
    }
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    harness
}

/// What a test saw.
struct Seen {
    usual: UsualClients,
    peak: MemoryPeak,
}

impl Seen {
    fn print(&self, name: &str) {
        let mb = |bytes: u64| format!("{:.1}", bytes as f64 / 1e6);
        let resident: Vec<_> = self.peak.largest.resident.iter().map(|bytes| mb(*bytes)).collect();
        println!(
            "{name}: {} MB, resident {} and files {}, {} descriptors; {:?}",
            mb(self.peak.largest.total()),
            resident.join(" + "),
            mb(self.peak.largest.files),
            self.peak.descriptors,
            self.usual
        );
    }

    fn assert_within(&self, memory_mb: u64) {
        let total = self.peak.largest.total();
        assert!(total <= memory_mb * 1_000_000, "{total} bytes of {memory_mb} MB: {:?}", self.peak.largest);
    }

    /// Each usual message has its answer within the time that a client waits. A refusal is one: handing in again is
    /// harmless.
    fn assert_answered(&self) {
        let answered = self.usual.accepted + self.usual.refused;
        assert!(answered > 0 && self.usual.unanswered == 0, "{:?}", self.usual);
    }
}

/// Runs usual clients beside a crowd, with `disturb` on the daemon meanwhile.
fn measure(
    mut harness: Harness, to: SocketAddr, crowd: Crowd, disturb: impl FnOnce(&mut Harness, &MemorySampler),
) -> Seen {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let sampler = MemorySampler::start(harness.process_ids(), harness.state_folder());
    let stop = Arc::new(AtomicBool::new(false));
    let until = Instant::now() + SPAN;
    let misbehaving = crowd.start(to, &stop);
    let http = harness.addresses().http;
    let usual = std::thread::spawn(move || UsualClients::run_many(http, USUAL_CLIENTS, until));
    disturb(&mut harness, &sampler);
    let usual = usual.join().unwrap();
    stop.store(true, Ordering::Relaxed);
    misbehaving.into_iter().for_each(|thread| thread.join().unwrap());
    Seen { usual, peak: sampler.finish() }
}

fn crowd_of(requests: Vec<RequestSource>) -> Crowd {
    Crowd { requests, connections: CONNECTIONS, most_bytes: usize::MAX, interval: INTERVAL }
}

/// Guards against a process that is killed for its memory, because messages that are open have no part in its sum.
#[rstest]
#[case::of_32_mb_with_disk_3(32, 3)]
#[case::of_32_mb_with_disk_8(32, 8)]
#[case::of_32_mb_with_disk_30(32, 30)]
#[case::of_48_mb_with_disk_12(48, 12)]
fn memory_stays_within_its_limit_while_payments_are_open(#[case] memory_mb: u64, #[case] disk_mb: u64) {
    let harness = started_daemon(memory_mb, disk_mb, &[]);
    let to = harness.addresses().http;
    let seen = measure(harness, to, crowd_of(vec![payments_in_a_row(3)]), |_, _| {});
    seen.print(&format!("open payments, {memory_mb} MB and disk {disk_mb}"));
    seen.assert_within(memory_mb);
}

/// Guards against usual clients without an answer beside clients whose payments stay open.
#[rstest]
#[case::of_32_mb_with_disk_3(32, 3)]
#[case::of_32_mb_with_disk_30(32, 30)]
#[case::of_192_mb_with_disk_3(192, 3)]
fn usual_clients_are_answered_while_payments_of_others_are_open(
    #[case] memory_mb: u64, #[case] disk_mb: u64,
) {
    let harness = started_daemon(memory_mb, disk_mb, &[]);
    let to = harness.addresses().http;
    let seen = measure(harness, to, crowd_of(vec![payments_in_a_row(3)]), |_, _| {});
    seen.print(&format!("usual clients, {memory_mb} MB and disk {disk_mb}"));
    seen.assert_answered();
}

/// Guards against the same with short messages, which take much more memory than they take of the folder.
#[test]
fn memory_stays_within_its_limit_while_many_short_messages_are_open() {
    const MEMORY_MB: u64 = LEAST_MEMORY_MB;
    let settings = ["given setting limits.maxOpen=1000000"];
    let harness = started_daemon(MEMORY_MB, 30, &settings);
    let to = harness.addresses().http;
    let seen = measure(harness, to, crowd_of(vec![short_payments(100)]), |_, _| {});
    seen.print("short open payments");
    seen.assert_within(MEMORY_MB);
}

/// bind_transceiver.
fn bind_pdu() -> Vec<u8> {
    encode_pdu(0x09, 0, 1, b"office\0\0\0\x34\0\0\0")
}

/// submit_sm of class `status` with a payload of nearly the largest size, for destination 90.
fn payload_pdu() -> Vec<u8> {
    const PAYLOAD_BYTES: u16 = 65_000;
    let mandatory = b"\0\0\0\0\x01\x01971\0\0\0\0\0\0\0\0\0\0\0";
    let payload = [&[0x04, 0x24][..], &PAYLOAD_BYTES.to_be_bytes(), &[b'x'; PAYLOAD_BYTES as usize]].concat();
    encode_pdu(0x04, 0, 2, &[&mandatory[..], &payload].concat())
}

/// Guards against the same over SMPP, whose messages stay open until their receipts are acknowledged.
#[rstest]
#[case::with_disk_3(3)]
#[case::with_disk_30(30)]
fn memory_stays_within_its_limit_while_payloads_of_sessions_are_open(#[case] disk_mb: u64) {
    const MEMORY_MB: u64 = LEAST_MEMORY_MB;
    let harness = started_daemon(MEMORY_MB, disk_mb, &[]);
    let to = harness.addresses().smpp.unwrap();
    let submit: RequestSource = Arc::new(|_| [bind_pdu(), payload_pdu().repeat(3)].concat());
    let crowd = Crowd { connections: 200, ..crowd_of(vec![submit]) };
    let seen = measure(harness, to, crowd, |_, _| {});
    seen.print(&format!("open payloads over SMPP, disk {disk_mb}"));
    seen.assert_within(MEMORY_MB);
}

/// Guards against usual clients over HTTP that find no place, because sessions over SMPP, which stay, have all of them.
#[test]
fn usual_clients_are_answered_beside_sessions_that_take_every_place_they_get() {
    let harness = started_daemon(32, 3, &[]);
    let to = harness.addresses().smpp.unwrap();
    let bind: RequestSource = Arc::new(|_| bind_pdu());
    let seen = measure(harness, to, crowd_of(vec![bind]), |_, _| {});
    seen.print("sessions over SMPP");
    seen.assert_answered();
}

/// Guards against a start that reads a full folder into more memory than there is, in the crowd that filled it.
#[rstest]
#[case::with_disk_3(3)]
#[case::with_disk_30(30)]
fn memory_stays_within_its_limit_when_a_process_is_killed_in_a_crowd(#[case] disk_mb: u64) {
    const MEMORY_MB: u64 = LEAST_MEMORY_MB;
    /// Of the records: two kills follow 0.4 s after the start of the process.
    const RUN_TIMES: [Duration; 3] =
        [Duration::from_millis(2500), Duration::from_millis(420), Duration::from_millis(370)];
    let settings = ["given http alone", "given setting limits.maxOpen=1000000"];
    let harness = started_daemon(MEMORY_MB, disk_mb, &settings);
    let to = harness.addresses().http;
    let seen = measure(harness, to, crowd_of(all_kinds()), |harness, sampler| {
        for run_time in RUN_TIMES {
            std::thread::sleep(run_time);
            harness.kill_and_restart().unwrap_or_else(|e| panic!("{e}\n{}", harness.log()));
            sampler.follow(harness.process_ids());
        }
    });
    seen.print(&format!("kills in a crowd, disk {disk_mb}"));
    seen.assert_within(MEMORY_MB);
}

/// A log of open payments, and of many attempts whose records are short.
fn long_log(payments: u64, attempts: u32) -> Vec<u8> {
    let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let now = Micros(wall_clock.as_micros() as u64);
    let mut log = Vec::new();
    for number in 1..=payments {
        let payment = AcceptedMessage {
            number,
            request_id: format!("kept{number}"),
            class: "payment".into(),
            destination: SILENT_DESTINATION,
            deadline: now.plus(Micros(25_000_000)),
            body: vec![b'x'; BODY_BYTES].into(),
            ..AcceptedMessage::default()
        };
        Record::Accepted(payment).write(&mut log);
    }
    for attempt in 0..attempts {
        let (endpoint, zone) = (String::new(), String::new());
        Record::Attempt { number: 1, attempt, endpoint, zone, at: now }.write(&mut log);
        Record::Outcome { number: 1, attempt, status: AttemptStatus::HeldBack }.write(&mut log);
    }
    log
}

/// Guards against a start that needs many times the memory of the log that it reads.
#[test]
fn memory_stays_within_its_limit_when_a_start_reads_a_long_log() {
    const MEMORY_MB: u64 = 32;
    let mut harness = Harness::default();
    std::fs::write(harness.state_folder().join("onyxrock.log"), long_log(30, 40_000)).unwrap();
    for line in ["given endpoint e1 dest=2", "given limit memory_mb=32", "given limit disk_mb=8"] {
        run_step(&mut harness, line);
    }
    let log_bytes = harness.state_bytes();
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter resumed=30");
    let (peak, files) = (peak_memory(harness.daemon_id()), harness.state_bytes());
    println!("a log of {log_bytes} bytes: peak {peak}, files {files}");
    assert!(peak + log_bytes.max(files) <= MEMORY_MB * 1_000_000, "{peak} and {log_bytes} bytes");
}

/// Guards against two processes of an upgrade that each take the whole limit.
#[rstest]
#[case::with_disk_3(3)]
#[case::with_disk_30(30)]
fn memory_of_both_processes_stays_within_the_limit_in_an_upgrade(#[case] disk_mb: u64) {
    const MEMORY_MB: u64 = 64;
    let settings = ["given http alone", "given operators", "given setting limits.maxOpen=1000000"];
    let harness = started_daemon(MEMORY_MB, disk_mb, &settings);
    let to = harness.addresses().http;
    let seen = measure(harness, to, crowd_of(all_kinds()), |harness, sampler| {
        std::thread::sleep(Duration::from_millis(1500));
        run_step(harness, "send daemon beside");
        sampler.follow(harness.process_ids());
        std::thread::sleep(Duration::from_millis(2000));
        run_step(harness, "send old TERM");
    });
    seen.print(&format!("upgrade in a crowd, disk {disk_mb}"));
    seen.assert_within(MEMORY_MB);
}

/// Guards against two processes of an upgrade that hold more sockets together than the forwarder may.
#[test]
fn descriptors_of_both_processes_stay_within_the_limit_in_an_upgrade() {
    const SOCKETS: usize = 1024;
    let harness = started_daemon(192, 3, &["given http alone", "given operators"]);
    let to = harness.addresses().http;
    let crowd = Crowd { connections: 1500, ..crowd_of(all_kinds()) };
    let seen = measure(harness, to, crowd, |harness, sampler| {
        std::thread::sleep(Duration::from_millis(1500));
        run_step(harness, "send daemon beside");
        sampler.follow(harness.process_ids());
        std::thread::sleep(Duration::from_millis(2000));
    });
    seen.print("descriptors in an upgrade");
    assert!(seen.peak.descriptors <= SOCKETS, "{} descriptors", seen.peak.descriptors);
}
