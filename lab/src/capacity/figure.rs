//! One figure of the table: an amount, the basis of the amount, and its comparison with the budget.

use super::fit::Fit;
use std::fmt;

/// The kind and unit of an amount.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Quantity {
    /// Bytes of memory.
    Memory,
    /// Microseconds of processor time per second.
    Processor,
    /// Bytes sent and received per second.
    Traffic,
    /// Bytes on disk.
    Disk,
    /// Messages or datagrams sent and received per second.
    Messages,
    /// Seconds.
    Delay,
}

impl Quantity {
    /// The amount with its unit, as the page shows it.
    #[must_use]
    pub fn format(self, amount: f64) -> String {
        match self {
            Quantity::Memory | Quantity::Disk => format_bytes(amount),
            Quantity::Processor => format!("{} % of a core", format_number(amount / 1e4)),
            Quantity::Traffic => format!("{}/s", format_bytes(amount)),
            Quantity::Messages => format!("{} messages/s", format_number(amount)),
            Quantity::Delay => format!("{} s", format_number(amount)),
        }
    }
}

fn format_bytes(amount: f64) -> String {
    match amount {
        a if a >= 1e9 => format!("{} GB", format_number(a / 1e9)),
        a if a >= 1e6 => format!("{} MB", format_number(a / 1e6)),
        a if a >= 1e3 => format!("{} KB", format_number(a / 1e3)),
        a => format!("{} B", format_number(a)),
    }
}

/// Formats a number with three significant digits, or a whole number with all its digits.
#[must_use]
pub fn format_number(amount: f64) -> String {
    match amount.abs() {
        a if a >= 100.0 || amount.fract() == 0.0 => format!("{amount:.0}"),
        a if a >= 10.0 => format!("{amount:.1}"),
        a if a >= 1.0 => format!("{amount:.2}"),
        a if a >= 0.01 => format!("{amount:.3}"),
        _ => format!("{amount:.1e}"),
    }
}

/// How an amount was obtained, from the most to the least reliable. The order is that of [`Ord`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Basis {
    /// From a line through measured points, within their range.
    Fitted,
    /// From measured points of a cost that does not grow linearly, by interpolation between them.
    Nonlinear,
    /// From a line through measured points, beyond the largest measured size.
    Extrapolated,
    /// From the last chord of a cost that does not grow linearly, beyond the largest measured size.
    NonlinearExtrapolated,
    /// Computed without a slope.
    Estimate,
}

impl Basis {
    /// The basis of a fit's cost at a size.
    #[must_use]
    pub fn of(fit: &Fit, size: f64) -> Basis {
        match (fit.is_linear(), fit.covers(size)) {
            (true, true) => Basis::Fitted,
            (false, true) => Basis::Nonlinear,
            (true, false) => Basis::Extrapolated,
            (false, false) => Basis::NonlinearExtrapolated,
        }
    }
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Basis::Fitted => "fit",
            Basis::Nonlinear => "bent",
            Basis::Extrapolated => "fit, beyond its points",
            Basis::NonlinearExtrapolated => "bent, beyond its points",
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

/// The comparison of an amount with its budget.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum BudgetCheck {
    /// The amount is within the budget, and could grow by this factor.
    Within(f64),
    /// The amount exceeds the budget by this factor.
    Exceeded(f64),
}

impl BudgetCheck {
    /// Compares an amount with its budget.
    #[must_use]
    pub fn of(amount: f64, budget: f64) -> BudgetCheck {
        if amount <= budget {
            BudgetCheck::Within(budget / amount)
        } else {
            BudgetCheck::Exceeded(amount / budget)
        }
    }
}

impl fmt::Display for BudgetCheck {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BudgetCheck::Within(factor) if *factor >= 1000.0 => f.write_str("holds, over 1000 times"),
            BudgetCheck::Within(factor) => write!(f, "holds, {} times", format_number(*factor)),
            BudgetCheck::Exceeded(factor) => write!(f, "**fails, {} times**", format_number(*factor)),
        }
    }
}
