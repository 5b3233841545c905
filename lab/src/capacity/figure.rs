//! One figure of the table: an amount, where it comes from, and what it may be.

use super::fit::Fit;
use std::fmt;

/// What is counted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Quantity {
    /// Bytes of memory.
    Memory,
    /// Microseconds of a processor a second.
    Processor,
    /// Bytes a second, sent and received.
    Traffic,
    /// Bytes on disk.
    Disk,
    /// Messages or datagrams a second, sent and received.
    Messages,
    /// Seconds.
    Delay,
}

impl Quantity {
    #[must_use]
    pub fn show(self, amount: f64) -> String {
        match self {
            Quantity::Memory | Quantity::Disk => bytes(amount),
            Quantity::Processor => format!("{} % of a core", digits(amount / 1e4)),
            Quantity::Traffic => format!("{}/s", bytes(amount)),
            Quantity::Messages => format!("{} messages/s", digits(amount)),
            Quantity::Delay => format!("{} s", digits(amount)),
        }
    }
}

fn bytes(amount: f64) -> String {
    match amount {
        a if a >= 1e9 => format!("{} GB", digits(a / 1e9)),
        a if a >= 1e6 => format!("{} MB", digits(a / 1e6)),
        a if a >= 1e3 => format!("{} KB", digits(a / 1e3)),
        a => format!("{} B", digits(a)),
    }
}

/// Three significant digits, or all of a whole number.
#[must_use]
pub fn digits(amount: f64) -> String {
    match amount.abs() {
        a if a >= 100.0 || amount.fract() == 0.0 => format!("{amount:.0}"),
        a if a >= 10.0 => format!("{amount:.1}"),
        a if a >= 1.0 => format!("{amount:.2}"),
        a if a >= 0.01 => format!("{amount:.3}"),
        _ => format!("{amount:.1e}"),
    }
}

/// What a figure rests on, best first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Basis {
    /// A line through measured points, within their range.
    Fitted,
    /// Measured, but the cost does not grow evenly: taken between the points.
    Bent,
    /// A line beyond the largest size that was measured.
    Extrapolated,
    /// The last chord of a cost that does not grow evenly, beyond the largest size.
    BentExtrapolated,
    /// Worked out without a slope.
    Estimate,
}

impl Basis {
    #[must_use]
    pub fn of(fit: &Fit, x: f64) -> Basis {
        match (fit.is_straight(), fit.covers(x)) {
            (true, true) => Basis::Fitted,
            (false, true) => Basis::Bent,
            (true, false) => Basis::Extrapolated,
            (false, false) => Basis::BentExtrapolated,
        }
    }
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Basis::Fitted => "fit",
            Basis::Bent => "bent",
            Basis::Extrapolated => "fit, beyond its points",
            Basis::BentExtrapolated => "bent, beyond its points",
            Basis::Estimate => "estimate",
        })
    }
}

/// An amount with its basis.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Figure {
    pub amount: f64,
    pub basis: Basis,
}

/// An amount beside its budget.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Verdict {
    /// It could grow by this factor.
    Holds(f64),
    /// It is too large by this factor.
    Fails(f64),
}

impl Verdict {
    #[must_use]
    pub fn of(amount: f64, budget: f64) -> Verdict {
        if amount <= budget { Verdict::Holds(budget / amount) } else { Verdict::Fails(amount / budget) }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Verdict::Holds(by) if *by >= 1000.0 => f.write_str("holds, over 1000 times"),
            Verdict::Holds(by) => write!(f, "holds, {} times", digits(*by)),
            Verdict::Fails(by) => write!(f, "**fails, {} times**", digits(*by)),
        }
    }
}
