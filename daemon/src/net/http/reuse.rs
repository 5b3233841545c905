//! Decides whether a kept connection may carry another call, by how often calls over kept connections broke
//! at once, for each class of idle time.

use onyxrock::interface::Micros;

/// Upper bounds of the idle times of each class; the last class has no bound.
const IDLE_CLASS_LIMITS: [Micros; 5] =
    [Micros(100_000), Micros(300_000), Micros(800_000), Micros(2_000_000), Micros(u64::MAX)];
/// Factor by which each further call in a class reduces the weight of earlier calls.
const DECAY_PER_CALL: f64 = 0.98;
/// Highest share of immediate breaks at which a call that must not be repeated may use a kept connection:
/// the message is lost if that connection was stale, and a new connection costs little.
const MAX_BREAK_SHARE_UNSAFE: f64 = 0.008;
/// The same for other calls: a stale connection only delays them and costs another call.
const MAX_BREAK_SHARE: f64 = 0.15;
/// Above that share one call in this many still uses a kept connection, to find out whether the share has
/// changed.
const TRIAL_INTERVAL: u32 = 8;
/// A connection that breaks later than this after a call was not stale: the endpoint broke it.
pub const STALE_BREAK_WITHIN: Micros = Micros(200_000);

/// Results of calls over kept connections to all endpoints.
#[derive(Debug, Default)]
pub struct ReuseStats {
    /// Weighted numbers of calls and of breaks, for each class of idle time.
    calls_and_breaks: [(f64, f64); IDLE_CLASS_LIMITS.len()],
    /// Calls that could have been repeated and were above the limit.
    passed_over: u32,
}

/// Index of the class that an idle time belongs to.
fn idle_class(idle_time: Micros) -> usize {
    IDLE_CLASS_LIMITS.iter().position(|limit| idle_time <= *limit).unwrap_or(IDLE_CLASS_LIMITS.len() - 1)
}

impl ReuseStats {
    /// Records that a call over a connection with this idle time was answered or broke at once.
    pub fn record(&mut self, idle_time: Micros, broke_at_once: bool) {
        let (calls, breaks) = &mut self.calls_and_breaks[idle_class(idle_time)];
        *calls = *calls * DECAY_PER_CALL + 1.0;
        *breaks = *breaks * DECAY_PER_CALL + f64::from(u8::from(broke_at_once));
    }

    /// Highest share of breaks among this class and those of shorter idle times: whatever breaks young
    /// connections breaks older ones too.
    fn break_share(&self, idle_time: Micros) -> f64 {
        self.calls_and_breaks[..=idle_class(idle_time)]
            .iter()
            .map(|(calls, breaks)| breaks / (calls + 1.0))
            .fold(0.0, f64::max)
    }

    /// Whether a call may use a connection with this idle time.
    pub fn may_reuse(&mut self, idle_time: Micros, unsafe_to_repeat: bool) -> bool {
        let break_share = self.break_share(idle_time);
        if unsafe_to_repeat || break_share <= MAX_BREAK_SHARE {
            return break_share <= if unsafe_to_repeat { MAX_BREAK_SHARE_UNSAFE } else { MAX_BREAK_SHARE };
        }
        self.passed_over += 1;
        self.passed_over.is_multiple_of(TRIAL_INTERVAL)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A middlebox that silently forgets idle connections resets the next call over one. That call may have
    /// run, so a message that must not be repeated is lost.
    #[test]
    fn messages_that_must_not_be_repeated_avoid_connections_that_may_be_stale() {
        let (young, old) = (Micros(50_000), Micros(1_500_000));
        let mut stats = ReuseStats::default();
        assert!(stats.may_reuse(old, true) && stats.may_reuse(old, false), "no break has been recorded yet");
        (0..20).for_each(|_| stats.record(young, false));
        stats.record(old, true);
        assert!(!stats.may_reuse(old, true) && stats.may_reuse(young, true));
        (0..10).for_each(|_| stats.record(old, true));
        let used = (0..80).filter(|_| stats.may_reuse(old, false)).count();
        assert_eq!(used, 10, "one call in TRIAL_INTERVAL still uses a kept connection");
        (0..400).for_each(|_| stats.record(old, false));
        assert!(stats.may_reuse(old, true), "recent calls outweigh earlier breaks");
        stats.record(young, true);
        assert!(!stats.may_reuse(old, true), "breaks of young connections count for older ones");
    }
}
