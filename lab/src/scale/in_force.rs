//! How long a list change takes until it is in force at every forwarder.

use hdrhistogram::Histogram;
use onyxrock::interface::Micros;
use onyxrock_duties::Member;

/// Digits that histograms keep, and the longest time that they tell from longer ones, in microseconds.
const DIGITS: u8 = 3;
const LONGEST: u64 = 3_600_000_000;
/// A change that is not in force anywhere after so long is counted as missing where it is not.
pub const JUDGED_AFTER: Micros = Micros(10_000_000);

/// A forwarder has taken a list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Adopted {
    /// When.
    pub at: Micros,
    /// Who.
    pub member: Member,
    /// The version that is in force there from now on.
    pub generation: u64,
}

/// The slowest of all.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Worst {
    /// How long it took, or has taken by the end.
    pub took: Micros,
    /// Where.
    pub member: Option<Member>,
    /// Which version.
    pub generation: u64,
}

/// What one forwarder holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    generation: u64,
    /// When its process started.
    started: Micros,
    /// Since when it runs and can reach discovery; none while it cannot.
    reachable: Option<Micros>,
}

/// Follows every change to every forwarder.
///
/// The time of a change at a forwarder runs from the moment at which discovery had it and that forwarder ran and could
/// reach discovery over the network. Changes from before the start of its process count as one, the latest. What is
/// `unexcused` runs from the change alone.
#[derive(Debug)]
pub struct InForce {
    /// When each version came, from the first on.
    changes: Vec<Micros>,
    held: Vec<Held>,
    since_reachable: Histogram<u64>,
    since_change: Histogram<u64>,
    worst: Worst,
    missing: u64,
}

impl InForce {
    /// For so many forwarders; nobody runs yet. Changes have versions above `base`, which all hold.
    ///
    /// # Errors
    /// The histogram cannot be made.
    pub fn new(members: u16) -> Result<InForce, String> {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST, DIGITS).map_err(|e| format!("histogram: {e:?}"));
        let held = Held { generation: 1, started: Micros(0), reachable: None };
        Ok(InForce {
            changes: Vec::new(),
            held: vec![held; usize::from(members)],
            since_reachable: histogram()?,
            since_change: histogram()?,
            worst: Worst::default(),
            missing: 0,
        })
    }

    /// The next version has come.
    pub fn changed(&mut self, now: Micros) {
        self.changes.push(now);
    }

    /// Changes so far.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.changes.len()
    }

    /// The forwarder can reach discovery from now on, or cannot.
    pub fn reachable(&mut self, now: Micros, member: Member, reachable: bool) {
        let held = &mut self.held[usize::from(member.0)];
        held.reachable = reachable.then_some(held.reachable.unwrap_or(now));
    }

    /// It has started anew with the list of this version.
    pub fn started(&mut self, now: Micros, member: Member, generation: u64) {
        self.held[usize::from(member.0)] = Held { generation, started: now, reachable: Some(now) };
    }

    /// The version that a forwarder holds.
    #[must_use]
    pub fn generation(&self, member: Member) -> u64 {
        self.held[usize::from(member.0)].generation
    }

    /// A forwarder holds a version now.
    pub fn adopted(&mut self, adopted: Adopted) {
        let Held { generation, reachable, .. } = self.held[usize::from(adopted.member.0)];
        for version in generation + 1..=adopted.generation {
            // While it is cut off it may still be told by others of its region.
            let reachable = reachable.unwrap_or(adopted.at);
            self.count(adopted.at, adopted.member, version, adopted.generation, reachable);
        }
        let held = &mut self.held[usize::from(adopted.member.0)];
        held.generation = held.generation.max(adopted.generation);
    }

    /// When a version came. The first one is what all start with.
    fn changed_at(&self, version: u64) -> Option<Micros> {
        self.changes.get((version as usize).checked_sub(2)?).copied()
    }

    /// Counts one of the versions up to `last`.
    fn count(&mut self, at: Micros, member: Member, version: u64, last: u64, reachable: Micros) {
        let Some(changed) = self.changed_at(version) else { return };
        let started = self.held[usize::from(member.0)].started;
        let old = |version| self.changed_at(version).is_some_and(|changed| changed < started);
        if old(version) && version < last && old(version + 1) {
            return;
        }
        let took = at.since(changed.max(reachable));
        self.since_reachable.saturating_record(took.0);
        self.since_change.saturating_record(at.since(changed.max(started)).0);
        if took > self.worst.took || self.worst.member.is_none() {
            self.worst = Worst { took, member: Some(member), generation: version };
        }
    }

    /// The run has ended: what is not in force anywhere counts with the time that has passed.
    pub fn end(&mut self, now: Micros) {
        let last = self.changes.len() as u64 + 1;
        for index in 0..self.held.len() {
            let Held { generation, reachable: Some(reachable), .. } = self.held[index] else { continue };
            for version in generation + 1..=last {
                let Some(changed) = self.changed_at(version) else { continue };
                if changed.max(reachable).plus(JUDGED_AFTER) <= now {
                    self.missing += 1;
                    self.count(now, Member(index as u16), version, last, reachable);
                }
            }
        }
    }

    /// The least time in milliseconds that a share of all does not exceed; no number where nothing was measured.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.since_reachable, share)
    }

    /// The same from the change, or the start of the process, whether discovery could be reached or not.
    #[must_use]
    pub fn unexcused_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.since_change, share)
    }

    /// The slowest.
    #[must_use]
    pub fn worst(&self) -> Worst {
        self.worst
    }

    /// Changes at forwarders, together.
    #[must_use]
    pub fn samples(&self) -> u64 {
        self.since_reachable.len()
    }

    /// Those of them that were not in force by the end.
    #[must_use]
    pub fn missing(&self) -> u64 {
        self.missing
    }
}

fn quantile_ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    if histogram.is_empty() { f64::NAN } else { histogram.value_at_quantile(share) as f64 / 1000.0 }
}
