//! Measures how long a list change takes until it is in force at every forwarder.

use hdrhistogram::Histogram;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// The longest time that the histograms distinguish from longer ones, in microseconds.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;
/// A change that is not in force at a forwarder after this time counts as missing there.
pub const MISSING_AFTER: Micros = Micros(10_000_000);

/// A list came into force at a forwarder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Adoption {
    /// When the list came into force.
    pub at: Micros,
    /// The forwarder.
    pub member: Member,
    /// The generation of the list.
    pub generation: u64,
}

/// The change at a forwarder that took longest.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct SlowestChange {
    /// Time until the change was in force, or until the end of the run if it never was.
    pub duration: Micros,
    /// The forwarder; none if nothing was measured.
    pub member: Option<Member>,
    /// The generation of the list with the change.
    pub generation: u64,
}

/// The list that one forwarder has in force, and the state of the forwarder's process.
#[derive(Clone, Copy, Debug)]
struct HeldList {
    generation: u64,
    /// When the process started.
    started_at: Micros,
    /// Since when the process runs and can reach discovery; none while it cannot.
    reachable_since: Option<Micros>,
}

/// Tracks every list change to every forwarder.
///
/// The time of a change at a forwarder runs from the moment at which discovery had the change and the
/// forwarder ran and could reach discovery over the network. Changes from before the start of the forwarder's
/// process count as one, the latest. `since_change_ms` counts from the change alone, also while discovery
/// could not be reached.
#[derive(Debug)]
pub struct ChangeTimes {
    /// Time of each change; the first entry is the change to the second generation.
    changes: Vec<Micros>,
    held_lists: Vec<HeldList>,
    since_reachable: Histogram<u64>,
    since_change: Histogram<u64>,
    slowest: SlowestChange,
    missing: u64,
}

impl ChangeTimes {
    /// Creates the measurement for a number of forwarders, none of which runs yet. All have the first
    /// generation of the list.
    ///
    /// # Errors
    /// A histogram cannot be created.
    pub fn new(members: u16) -> Result<ChangeTimes, String> {
        let histogram = || {
            Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
                .map_err(|e| format!("histogram: {e:?}"))
        };
        let held_list = HeldList { generation: 1, started_at: Micros(0), reachable_since: None };
        Ok(ChangeTimes {
            changes: Vec::new(),
            held_lists: vec![held_list; usize::from(members)],
            since_reachable: histogram()?,
            since_change: histogram()?,
            slowest: SlowestChange::default(),
            missing: 0,
        })
    }

    /// Records that discovery has a new generation of the list.
    pub fn on_change(&mut self, now: Micros) {
        self.changes.push(now);
    }

    /// Number of changes so far.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.changes.len()
    }

    /// Records whether a forwarder can reach discovery from now on.
    pub fn set_reachable(&mut self, now: Micros, member: Member, reachable: bool) {
        let held_list = &mut self.held_lists[usize::from(member.0)];
        held_list.reachable_since = reachable.then_some(held_list.reachable_since.unwrap_or(now));
    }

    /// Records that the process of a forwarder started with a list of this generation.
    pub fn on_start(&mut self, now: Micros, member: Member, generation: u64) {
        self.held_lists[usize::from(member.0)] =
            HeldList { generation, started_at: now, reachable_since: Some(now) };
    }

    /// The generation that a forwarder has in force.
    #[must_use]
    pub fn generation(&self, member: Member) -> u64 {
        self.held_lists[usize::from(member.0)].generation
    }

    /// Records a list that came into force at a forwarder.
    pub fn on_adoption(&mut self, adoption: Adoption) {
        let HeldList { generation: previous, reachable_since, .. } =
            self.held_lists[usize::from(adoption.member.0)];
        for generation in previous + 1..=adoption.generation {
            // A forwarder that is cut off from discovery may still receive the list from others of its
            // region.
            let reachable_since = reachable_since.unwrap_or(adoption.at);
            self.record(adoption.at, adoption.member, generation, adoption.generation, reachable_since);
        }
        let held_list = &mut self.held_lists[usize::from(adoption.member.0)];
        held_list.generation = held_list.generation.max(adoption.generation);
    }

    /// When discovery had a generation; none for the first one, which all forwarders start with.
    fn changed_at(&self, generation: u64) -> Option<Micros> {
        self.changes.get((generation as usize).checked_sub(2)?).copied()
    }

    /// Records the time of one generation among those up to `last_generation` that came into force at once.
    fn record(
        &mut self, at: Micros, member: Member, generation: u64, last_generation: u64, reachable_since: Micros,
    ) {
        let Some(changed_at) = self.changed_at(generation) else { return };
        let started_at = self.held_lists[usize::from(member.0)].started_at;
        let is_before_start = |generation| self.changed_at(generation).is_some_and(|at| at < started_at);
        if is_before_start(generation) && generation < last_generation && is_before_start(generation + 1) {
            return;
        }
        let duration = at.since(changed_at.max(reachable_since));
        self.since_reachable.saturating_record(duration.0);
        self.since_change.saturating_record(at.since(changed_at.max(started_at)).0);
        if duration > self.slowest.duration || self.slowest.member.is_none() {
            self.slowest = SlowestChange { duration, member: Some(member), generation };
        }
    }

    /// Ends the measurement: a change that is not in force at a forwarder counts with the time that has
    /// passed.
    pub fn finish(&mut self, now: Micros) {
        let last_generation = self.changes.len() as u64 + 1;
        for index in 0..self.held_lists.len() {
            let HeldList { generation: held, reachable_since: Some(reachable_since), .. } =
                self.held_lists[index]
            else {
                continue;
            };
            for generation in held + 1..=last_generation {
                let Some(changed_at) = self.changed_at(generation) else { continue };
                if changed_at.max(reachable_since).plus(MISSING_AFTER) <= now {
                    self.missing += 1;
                    self.record(now, Member(index as u16), generation, last_generation, reachable_since);
                }
            }
        }
    }

    /// The smallest time in milliseconds that this share of all times does not exceed; NaN if nothing was
    /// measured.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.since_reachable, share)
    }

    /// The same, counted from the change or the start of the process, whether discovery could be reached or
    /// not.
    #[must_use]
    pub fn since_change_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.since_change, share)
    }

    /// The change that took longest.
    #[must_use]
    pub fn slowest(&self) -> SlowestChange {
        self.slowest
    }

    /// Number of recorded times of changes at forwarders.
    #[must_use]
    pub fn samples(&self) -> u64 {
        self.since_reachable.len()
    }

    /// Number of changes at forwarders that were not in force by the end.
    #[must_use]
    pub fn missing(&self) -> u64 {
        self.missing
    }
}

fn quantile_ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    if histogram.is_empty() { f64::NAN } else { histogram.value_at_quantile(share) as f64 / 1000.0 }
}
