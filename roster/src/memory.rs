//! What is kept of a destination at rest, and what it is still worth when it wakes.

use onyxrock::interface::Micros;

/// How fast what was learned ages.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Terms {
    /// A rate that was served so long ago is worth half.
    pub half_life: Micros,
    /// Older than this it is worth nothing.
    pub forget: Micros,
}

impl Default for Terms {
    /// Ten minutes, and four hours.
    fn default() -> Terms {
        Terms { half_life: Micros(600_000_000), forget: Micros(14_400_000_000) }
    }
}

/// What a destination was like when it went to rest; 24 bytes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Memory {
    /// When it went.
    pub rested: Micros,
    /// It had told to wait until then; outlives everything else.
    pub wait_until: Micros,
    /// Calls a second that it served us.
    pub served: f32,
    /// It was out of order.
    pub sick: bool,
}

/// What that is worth now.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Recall {
    /// Calls a second that it may still be good for; nothing if it was out of order or too long ago.
    pub served: f32,
    /// Nothing may go before.
    pub wait_until: Option<Micros>,
    /// It was out of order, and nothing has been heard of it since.
    pub sick: bool,
}

impl Memory {
    /// What it is worth at a time. A clock that went back makes nothing younger.
    #[must_use]
    pub fn recall(&self, now: Micros, terms: Terms) -> Recall {
        let age = now.since(self.rested);
        let wait_until = Some(self.wait_until).filter(|w| *w > now);
        let served = if self.sick || age >= terms.forget || !self.served.is_finite() {
            0.0
        } else {
            let halves = age.secs() / terms.half_life.secs().max(1e-6);
            (f64::from(self.served.max(0.0)) * (-halves).exp2()) as f32
        };
        Recall { served, wait_until, sick: self.sick && age < terms.forget }
    }

    /// Nothing in it is worth keeping any more.
    #[must_use]
    pub fn is_stale(&self, now: Micros, terms: Terms) -> bool {
        self.recall(now, terms) == Recall::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Terms = Terms { half_life: Micros(100), forget: Micros(1000) };

    #[test]
    fn a_rate_halves_and_then_is_nothing() {
        let m = Memory { rested: Micros(1000), served: 8.0, ..Memory::default() };
        let at = |now| m.recall(Micros(now), T).served;
        assert_eq!((at(1000), at(1100), at(1300), at(2000)), (8.0, 4.0, 1.0, 0.0));
        assert_eq!(at(500), 8.0, "a clock that went back");
        assert!(!m.is_stale(Micros(1999), T) && m.is_stale(Micros(2000), T));
    }

    #[test]
    fn what_was_sick_has_no_rate_and_a_wait_outlives_the_rest() {
        let m = Memory { rested: Micros(0), wait_until: Micros(5000), served: 8.0, sick: true };
        assert_eq!(
            m.recall(Micros(10), T),
            Recall { served: 0.0, wait_until: Some(Micros(5000)), sick: true }
        );
        let later = m.recall(Micros(4000), T);
        assert_eq!(later, Recall { served: 0.0, wait_until: Some(Micros(5000)), sick: false });
        assert!(!m.is_stale(Micros(4999), T) && m.is_stale(Micros(5000), T));
        let odd = Memory { served: f32::NAN, ..Memory::default() };
        assert_eq!(odd.recall(Micros(1), T).served, 0.0);
    }
}
