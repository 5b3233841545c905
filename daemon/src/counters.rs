//! What the forwarder takes in, sends and answers.

use serde_json::{Value, json};
use std::cell::Cell;

#[derive(Default, Debug)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }
    pub fn decrement(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
    pub fn set(&self, n: usize) {
        self.0.set(n as u64);
    }
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// One count for each thing worth knowing; `/counters` and the exit print them all.
        #[derive(Default, Debug)]
        pub struct Counters { $(pub $name: Counter),* }
        impl Counters {
            pub fn to_json(&self) -> Value {
                let mut all: serde_json::Map<_, _> =
                    [$((stringify!($name).to_owned(), json!(self.$name.get()))),*].into_iter().collect();
                all.insert("log_left_out".to_owned(), json!(crate::log::left_out()));
                Value::Object(all)
            }
        }
    };
}

counters! {
    // the clients' side
    inbound_open, inbound_opened, inbound_turned_away, inbound_sent_off, inbound_given_back, inbound_silent, taken, fail_fast, bad_requests, ids_again, unheard, resumed,
    // requests that were read whole, and those of them that were answered or whose client had gone
    requests_read, requests_answered, requests_abandoned,
    // why a connection of a client was closed
    closed_by_client, closed_quiet, closed_ending, closed_by_error,
    // why a request was refused at once
    refused_full, refused_ending, refused_late, refused_no_list, refused_unlisted, refused_log,
    // of what a start found taken on and untried: what became of it
    resumed_untried, resumed_over, resumed_tried, resumed_late, resumed_early,
    // the endpoints' side
    outbound_open, outbound_opened, outbound_reused, outbound_passed_over, outbound_calls, outbound_no_place,
    delivered, spoilt, error, full, timed_out, connect_failed, reset, stale, moot, cancelled, held_back, late_decisions,
    // the gate before a call's first byte, and the waits that it heeds
    held_back_wait, held_back_drain, held_back_maintenance, held_back_late, held_back_ending, held_back_moved, held_back_closed, held_back_repeat, held_back_local, waits_told, waits_told_beside, waits_unread,
    // attempts after the first, and ends
    retried, failed, returned, notices_sent, notices_retried,
    // the list
    reloads, reloads_refused, list_answers, list_failures, list_refused, list_told, list_old, dns_messages,
    // how often its source moved, milliseconds since the last answer, and the longest such time while calls failed
    list_moves, list_age_ms, list_unanswered_most_ms,
    // destinations at rest and in use
    listed, awake, wakes, rests, remembered, idle_kept,
    // the log
    wal_records, wal_refused, wal_compactions, wal_waiting,
    // calls of operators, those of them that were refused, and the endpoints that are out
    operator_calls, operator_calls_refused, maintenance,
    // duties shared with other instances
    probes, probes_refused, notes_told, notes_heard, notes_unknown, leases_won, lead_epoch, fence_refused,
    // SMPP
    smpp_sessions, smpp_bad_pdus, smpp_receipts, smpp_receipts_lost,
}
