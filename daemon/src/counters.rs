//! The counters of a forwarder.

use crate::resource_usage::ResourceUsage;
use serde_json::{Value, json};
use std::cell::Cell;

/// A counter or gauge of one thread.
#[derive(Default, Debug)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }
    /// Subtracts one; stays at 0.
    pub fn decrement(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
    /// Sets the value of a gauge.
    pub fn set(&self, value: usize) {
        self.0.set(value as u64);
    }
    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// All counters. `/counters` shows them, and they are logged at exit.
        #[derive(Default, Debug)]
        pub struct Counters { $(pub $name: Counter),* }
        impl Counters {
            /// All counters by name.
            pub fn to_json(&self) -> Value {
                let mut all: serde_json::Map<_, _> =
                    [$((stringify!($name).to_owned(), json!(self.$name.get()))),*].into_iter().collect();
                all.insert("log_left_out".to_owned(), json!(crate::log::omitted_lines()));
                Value::Object(all)
            }
        }
    };
}

counters! {
    // submissions and client connections
    inbound_open, inbound_opened, inbound_turned_away, inbound_sent_off, inbound_given_back, inbound_silent, taken, fail_fast, bad_requests, ids_again, unheard, resumed,
    // requests that were read completely, and those of them that were answered or whose client had gone
    requests_read, requests_answered, requests_abandoned,
    // why a client connection was closed
    closed_by_client, closed_quiet, closed_ending, closed_by_error,
    // requests that did not end in time, and those beyond a bound on their length: both are closed by error as well
    requests_timed_out, requests_too_large,
    // why a submission was refused at once
    refused_full, refused_memory, refused_open_memory, refused_ending, refused_late, refused_no_list, refused_unlisted, refused_log,
    // recovered messages without an attempt: their number, and what became of them
    resumed_untried, resumed_over, resumed_tried, resumed_late, resumed_early,
    // calls to endpoints, and their outcomes
    outbound_open, outbound_opened, outbound_reused, outbound_passed_over, outbound_calls, outbound_no_place, copies_skipped,
    delivered, spoilt, error, full, timed_out, connect_failed, reset, stale, moot, cancelled, held_back, late_decisions,
    // why the send guard held calls back, and the retry-afters that it observes
    held_back_wait, held_back_drain, held_back_maintenance, held_back_late, held_back_ending, held_back_moved, held_back_closed, held_back_repeat, held_back_local, waits_told, waits_told_beside, waits_unread,
    // repeated attempts, final statuses and their reports
    retried, failed, returned, notices_sent, notices_retried,
    // endpoint lists
    reloads, reloads_refused, list_answers, list_failures, list_refused, list_told, list_old, dns_messages,
    // changes of the list's source, milliseconds since its last answer, and the longest such time while
    // requests failed
    list_moves, list_age_ms, list_unanswered_most_ms,
    // listed endpoints, active and inactive destinations, and saved health snapshots
    listed, awake, wakes, rests, remembered, idle_kept,
    // the write-ahead log
    wal_records, wal_refused, wal_compactions, wal_waiting,
    // operator calls, those of them that were refused, and the endpoints that are out of use
    operator_calls, operator_calls_refused, maintenance,
    // duties shared with other members
    probes, probes_refused, notes_told, notes_heard, notes_unknown, leases_won, lead_epoch, fence_refused,
    // memory, files in the state folder (which count as memory) and descriptors, as the system counts them
    memory_bytes, memory_peak_bytes, file_bytes, descriptors,
    // memory that open messages are taken to need
    open_message_bytes,
    // SMPP
    smpp_open, smpp_sessions, smpp_bad_pdus, smpp_receipts, smpp_receipts_lost,
}

impl Counters {
    /// Sets the gauges of what this process uses.
    pub fn set_resource_usage(&self, usage: &ResourceUsage) {
        self.memory_bytes.set(usage.resident_bytes as usize);
        self.memory_peak_bytes.set(usage.peak_resident_bytes as usize);
        self.file_bytes.set(usage.file_bytes as usize);
        self.descriptors.set(usage.descriptors as usize);
    }
}
