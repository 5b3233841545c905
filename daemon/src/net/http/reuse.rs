//! What a kept connection is worth: how often calls over one broke at once, by the time that it had been idle.

use onyxrock::interface::Micros;

/// Idle times up to which a kept connection belongs to a class, the last one open.
const AGES: [Micros; 5] =
    [Micros(100_000), Micros(300_000), Micros(800_000), Micros(2_000_000), Micros(u64::MAX)];
/// What a further call leaves of the earlier ones.
const MEMORY: f64 = 0.98;
/// A call that may not be repeated is lost if its connection was stale; a new connection costs little.
const RISK_UNSAFE: f64 = 0.008;
/// Others are only late, and cost a call.
const RISK: f64 = 0.15;
/// Above it, one in so many goes over a kept one all the same, to see whether that has changed.
const TRIAL: u32 = 8;
/// What breaks later than this was not stale: its endpoint broke it.
pub const AT_ONCE: Micros = Micros(200_000);

#[derive(Debug, Default)]
pub struct Reuse {
    /// Calls and breaks for each class of ages.
    seen: [(f64, f64); AGES.len()],
    passed_over: u32,
}

fn class(idle: Micros) -> usize {
    AGES.iter().position(|a| idle <= *a).unwrap_or(AGES.len() - 1)
}

impl Reuse {
    /// A call over a connection that had been idle for so long was answered, or broke at once.
    pub fn note(&mut self, idle: Micros, broke: bool) {
        let (calls, breaks) = &mut self.seen[class(idle)];
        *calls = *calls * MEMORY + 1.0;
        *breaks = *breaks * MEMORY + f64::from(u8::from(broke));
    }

    /// What breaks young connections breaks older ones too.
    fn risk(&self, idle: Micros) -> f64 {
        self.seen[..=class(idle)].iter().map(|(calls, breaks)| breaks / (calls + 1.0)).fold(0.0, f64::max)
    }

    /// A call may go over a connection that has been idle for so long.
    pub fn allows(&mut self, idle: Micros, harmful: bool) -> bool {
        let risk = self.risk(idle);
        if harmful || risk <= RISK {
            return risk <= if harmful { RISK_UNSAFE } else { RISK };
        }
        self.passed_over += 1;
        self.passed_over.is_multiple_of(TRIAL)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A middlebox that forgets connections without a word resets the next call over one: it may have run, so a
    /// message that must not be repeated is lost by it.
    #[test]
    fn old_connections_that_break_are_not_used_where_a_break_costs_the_message() {
        let (young, old) = (Micros(50_000), Micros(1_500_000));
        let mut r = Reuse::default();
        assert!(r.allows(old, true) && r.allows(old, false), "nothing speaks against it yet");
        (0..20).for_each(|_| r.note(young, false));
        r.note(old, true);
        assert!(!r.allows(old, true) && r.allows(young, true));
        (0..10).for_each(|_| r.note(old, true));
        let used = (0..80).filter(|_| r.allows(old, false)).count();
        assert_eq!(used, 10, "a few go to see whether it has changed");
        (0..400).for_each(|_| r.note(old, false));
        assert!(r.allows(old, true), "and it may have");
        r.note(young, true);
        assert!(!r.allows(old, true), "what breaks the young breaks the old");
    }
}
