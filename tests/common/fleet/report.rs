//! What a run of the fleet came to.

use super::scenario::{START, Scenario};
use onyxrock::interface::Micros;
use std::collections::BTreeSet;

/// Ended undelivered before this share of its time a message counts as given up early.
const EARLY: f64 = 0.7;

/// Counts of one second at the first destination, over all senders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Attempts, those whose connect was refused among them.
    pub calls: u64,
    pub delivered: u64,
}

/// A call to the first destination: when it was made, counted from the start, and by whom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Made {
    pub at: Micros,
    pub sender: usize,
    /// This sender had had a call that failed.
    pub warned: bool,
}

/// Counts of a whole run, over all senders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub offered: u64,
    pub delivered: u64,
    /// Worth of what was delivered, as the settings state it, and of all that was offered.
    pub worth: f64,
    pub worth_offered: f64,
    pub connections: u64,
    pub connects_refused: u64,
    /// Ended undelivered before seven tenths of their time; of those, without a call.
    pub early: u64,
    pub early_untried: u64,
    pub undelivered: u64,
    pub seconds: Vec<Second>,
    /// Each call to the first destination.
    pub calls: Vec<Made>,
    /// Senders with traffic, and those of them that delivered any, by run and number.
    senders: BTreeSet<(u64, usize)>,
    senders_served: BTreeSet<(u64, usize)>,
    /// Senders of which a call failed in the whole run.
    warned: BTreeSet<usize>,
    run: u64,
    /// Runs that are counted together.
    runs: u64,
}

impl Report {
    pub fn new(scenario: &Scenario) -> Report {
        let seconds = scenario.end().since(START).secs().ceil() as usize + 1;
        Report { seconds: vec![Second::default(); seconds], run: scenario.seed, runs: 1, ..Report::default() }
    }

    /// The counts of two runs of one scenario together.
    pub fn merge(mut self, other: Report) -> Report {
        self.runs += other.runs;
        self.offered += other.offered;
        self.delivered += other.delivered;
        self.worth += other.worth;
        self.worth_offered += other.worth_offered;
        self.connections += other.connections;
        self.connects_refused += other.connects_refused;
        self.early += other.early;
        self.early_untried += other.early_untried;
        self.undelivered += other.undelivered;
        for (mine, theirs) in self.seconds.iter_mut().zip(other.seconds) {
            mine.calls += theirs.calls;
            mine.delivered += theirs.delivered;
        }
        self.calls.extend(other.calls);
        self.senders.extend(other.senders);
        self.senders_served.extend(other.senders_served);
        self
    }

    fn second(&mut self, now: Micros) -> &mut Second {
        &mut self.seconds[now.since(START).secs() as usize]
    }

    pub fn arrived(&mut self, number: usize, worth: f64) {
        self.offered += 1;
        self.worth_offered += worth;
        self.senders.insert((self.run, number));
    }

    /// A call to the first destination was made.
    pub fn called_first(&mut self, now: Micros, sender: usize) {
        self.second(now).calls += 1;
        let warned = self.warned.contains(&sender);
        self.calls.push(Made { at: now.since(START), sender, warned });
    }

    /// A call of this sender ended without an answer.
    pub fn failed(&mut self, sender: usize) {
        self.warned.insert(sender);
    }

    pub fn connected(&mut self) {
        self.connections += 1;
    }

    pub fn connect_refused(&mut self) {
        self.connects_refused += 1;
    }

    pub fn delivered(&mut self, now: Micros, number: usize, worth: f64, first: bool) {
        self.delivered += 1;
        self.worth += worth;
        self.senders_served.insert((self.run, number));
        self.second(now).delivered += u64::from(first);
    }

    /// A message ended undelivered when this share of its time was used.
    pub fn undelivered(&mut self, used: f64, attempts: u32) {
        self.undelivered += 1;
        if used < EARLY {
            self.early += 1;
            self.early_untried += u64::from(attempts == 0);
        }
    }

    /// Share of the offered messages that was delivered.
    pub fn share_delivered(&self) -> f64 {
        self.delivered as f64 / self.offered as f64
    }

    /// Share of the offered worth that was delivered, lateness counted.
    pub fn share_of_worth(&self) -> f64 {
        self.worth / self.worth_offered
    }

    /// Share of the senders with traffic that delivered anything.
    pub fn share_of_senders(&self) -> f64 {
        self.senders_served.len() as f64 / self.senders.len() as f64
    }

    /// New connections for each delivery.
    pub fn connections_each(&self) -> f64 {
        self.connections as f64 / self.delivered.max(1) as f64
    }

    /// Refused connects for each offered message.
    pub fn refused_each(&self) -> f64 {
        self.connects_refused as f64 / self.offered as f64
    }

    /// Share of the offered messages that ended undelivered before seven tenths of their time.
    pub fn share_early(&self) -> f64 {
        self.early as f64 / self.offered as f64
    }

    /// Calls a second in these seconds of a run.
    pub fn calls_per_s(&self, seconds: std::ops::Range<usize>) -> f64 {
        let count = seconds.len() as f64 * self.runs as f64;
        self.seconds[seconds].iter().map(|s| s.calls as f64).sum::<f64>() / count
    }

    /// Deliveries a second in these seconds of a run.
    pub fn delivered_per_s(&self, seconds: std::ops::Range<usize>) -> f64 {
        let count = seconds.len() as f64 * self.runs as f64;
        self.seconds[seconds].iter().map(|s| s.delivered as f64).sum::<f64>() / count
    }
}
