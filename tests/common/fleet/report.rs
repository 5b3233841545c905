//! Counts of a run of the emulated fleet.

use super::scenario::{RUN_START, Scenario};
use onyxrock::interface::Micros;
use std::collections::BTreeSet;

/// An undelivered message that ends before this share of its time is used counts as ended early.
const EARLY_SHARE: f64 = 0.7;

/// Counts of one second at the first destination, summed over all senders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Attempts, including those whose connect was refused.
    pub calls: u64,
    pub delivered: u64,
}

/// A call to the first destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstDestinationCall {
    /// Time from the start of the run.
    pub at: Micros,
    pub sender: usize,
    /// Whether an earlier call of this sender had failed without a response.
    pub after_failure: bool,
}

/// Counts of one run or of several runs, summed over all senders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub offered: u64,
    pub delivered: u64,
    /// Value of the delivered messages by the settings of their classes, reduced for late deliveries.
    pub delivered_value: f64,
    /// Value of all offered messages if each were delivered at once.
    pub offered_value: f64,
    pub connections: u64,
    pub connects_refused: u64,
    /// Messages that ended undelivered before seven tenths of their time were used.
    pub ended_early: u64,
    /// Messages of `ended_early` that had no attempt.
    pub ended_early_unattempted: u64,
    pub undelivered: u64,
    pub seconds: Vec<Second>,
    /// All calls to the first destination.
    pub calls: Vec<FirstDestinationCall>,
    /// Senders with traffic, by run and index.
    senders: BTreeSet<(u64, usize)>,
    /// Senders that delivered a message, by run and index.
    senders_served: BTreeSet<(u64, usize)>,
    /// Senders with a call that failed without a response in this run.
    senders_with_failure: BTreeSet<usize>,
    /// Seed of the run.
    run: u64,
    /// Number of runs in the counts.
    run_count: u64,
}

impl Report {
    pub fn new(scenario: &Scenario) -> Report {
        let seconds = scenario.end().since(RUN_START).secs().ceil() as usize + 1;
        Report {
            seconds: vec![Second::default(); seconds],
            run: scenario.seed,
            run_count: 1,
            ..Report::default()
        }
    }

    /// Adds the counts of other runs of the same scenario.
    pub fn merge(mut self, other: Report) -> Report {
        self.run_count += other.run_count;
        self.offered += other.offered;
        self.delivered += other.delivered;
        self.delivered_value += other.delivered_value;
        self.offered_value += other.offered_value;
        self.connections += other.connections;
        self.connects_refused += other.connects_refused;
        self.ended_early += other.ended_early;
        self.ended_early_unattempted += other.ended_early_unattempted;
        self.undelivered += other.undelivered;
        for (own, added) in self.seconds.iter_mut().zip(other.seconds) {
            own.calls += added.calls;
            own.delivered += added.delivered;
        }
        self.calls.extend(other.calls);
        self.senders.extend(other.senders);
        self.senders_served.extend(other.senders_served);
        self
    }

    fn second(&mut self, now: Micros) -> &mut Second {
        &mut self.seconds[now.since(RUN_START).secs() as usize]
    }

    /// Counts a message of this value that was offered to a sender.
    pub fn count_offered(&mut self, sender: usize, value: f64) {
        self.offered += 1;
        self.offered_value += value;
        self.senders.insert((self.run, sender));
    }

    /// Counts a call to the first destination.
    pub fn count_first_destination_call(&mut self, now: Micros, sender: usize) {
        self.second(now).calls += 1;
        let after_failure = self.senders_with_failure.contains(&sender);
        self.calls.push(FirstDestinationCall { at: now.since(RUN_START), sender, after_failure });
    }

    /// Records that a call of this sender ended without a response.
    pub fn record_failure(&mut self, sender: usize) {
        self.senders_with_failure.insert(sender);
    }

    pub fn count_connection(&mut self) {
        self.connections += 1;
    }

    pub fn count_refused_connect(&mut self) {
        self.connects_refused += 1;
    }

    /// Counts a delivery of this value; `to_first` says whether it went to the first destination.
    pub fn count_delivery(&mut self, now: Micros, sender: usize, value: f64, to_first: bool) {
        self.delivered += 1;
        self.delivered_value += value;
        self.senders_served.insert((self.run, sender));
        self.second(now).delivered += u64::from(to_first);
    }

    /// Counts a message that ended undelivered after this share of its time was used.
    pub fn count_undelivered(&mut self, used_share: f64, attempts: u32) {
        self.undelivered += 1;
        if used_share < EARLY_SHARE {
            self.ended_early += 1;
            self.ended_early_unattempted += u64::from(attempts == 0);
        }
    }

    /// Share of the offered messages that were delivered.
    pub fn delivered_share(&self) -> f64 {
        self.delivered as f64 / self.offered as f64
    }

    /// Share of the offered value that was delivered, reduced for late deliveries.
    pub fn delivered_value_share(&self) -> f64 {
        self.delivered_value / self.offered_value
    }

    /// Share of the senders with traffic that delivered at least one message.
    pub fn served_senders_share(&self) -> f64 {
        self.senders_served.len() as f64 / self.senders.len() as f64
    }

    /// New connections per delivery.
    pub fn connections_per_delivery(&self) -> f64 {
        self.connections as f64 / self.delivered.max(1) as f64
    }

    /// Refused connects per offered message.
    pub fn refused_connects_per_message(&self) -> f64 {
        self.connects_refused as f64 / self.offered as f64
    }

    /// Share of the offered messages that ended undelivered before seven tenths of their time were used.
    pub fn ended_early_share(&self) -> f64 {
        self.ended_early as f64 / self.offered as f64
    }

    /// Mean number of calls a second to the first destination in these seconds of a run.
    pub fn calls_per_s(&self, seconds: std::ops::Range<usize>) -> f64 {
        let count = seconds.len() as f64 * self.run_count as f64;
        self.seconds[seconds].iter().map(|s| s.calls as f64).sum::<f64>() / count
    }

    /// Mean number of deliveries a second at the first destination in these seconds of a run.
    pub fn delivered_per_s(&self, seconds: std::ops::Range<usize>) -> f64 {
        let count = seconds.len() as f64 * self.run_count as f64;
        self.seconds[seconds].iter().map(|s| s.delivered as f64).sum::<f64>() / count
    }
}
