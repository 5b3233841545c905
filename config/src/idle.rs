//! `[list]` and `[idle]`: bounds on the endpoint list, and the deactivation of destinations that are not in
//! use.

use crate::product::{InvalidValue, Seconds};
use onyxrock::interface::Micros;
use serde::Deserialize;
use toml::Spanned;

/// Bounds on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListLimits {
    /// Number of endpoints, 1 to 10,000,000. A longer list is refused as a whole.
    pub entries: BoundedCount<10_000_000>,
    /// Memory in megabytes that a list may take while it is read, 1 to 4,096.
    pub memory_mb: BoundedCount<4096>,
}

impl Default for ListLimits {
    fn default() -> ListLimits {
        ListLimits { entries: BoundedCount(100_000), memory_mb: BoundedCount(16) }
    }
}

/// A whole number from 1 to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundedCount<const MAX: u32>(pub u32);

impl<'de, const MAX: u32> Deserialize<'de> for BoundedCount<MAX> {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match i64::deserialize(d)? {
            n if (1..=i64::from(MAX)).contains(&n) => Ok(BoundedCount(n as u32)),
            n => Err(serde::de::Error::custom(format!("{n} is not from 1 to {MAX}"))),
        }
    }
}

/// `[idle]` as it stands in the file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    #[serde(default = "default_rest")]
    rest_s: Spanned<Seconds>,
    #[serde(default = "default_half_life")]
    half_life_s: Spanned<Seconds>,
    #[serde(default = "default_forget")]
    forget_s: Spanned<Seconds>,
    #[serde(default = "default_assumed")]
    assumed_per_s: Spanned<f64>,
    #[serde(default = "default_keep")]
    keep_kb: Spanned<u64>,
}

/// A default value. Its empty span tells it from a value in the file.
fn not_in_file<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
fn default_rest() -> Spanned<Seconds> {
    not_in_file(Seconds(Micros(300_000_000)))
}
fn default_half_life() -> Spanned<Seconds> {
    not_in_file(Seconds(Micros(600_000_000)))
}
fn default_forget() -> Spanned<Seconds> {
    not_in_file(Seconds(Micros(14_400_000_000)))
}
fn default_keep() -> Spanned<u64> {
    not_in_file(0)
}
fn default_assumed() -> Spanned<f64> {
    not_in_file(10.0)
}

/// The checked `[idle]`: idle destinations are deactivated, and activated again at a cautious rate. Without
/// this section a destination stays active once it has been used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleSettings {
    /// A destination that has been idle for this long is deactivated.
    pub deactivate_after: Micros,
    /// A served rate halves with each period of this length.
    pub half_life: Micros,
    /// Health that is older than this is discarded.
    pub forget_after: Micros,
    /// Rate that an activated destination is assumed to take if no other information is available: calls per
    /// second, from all forwarders together.
    pub assumed_per_s: f64,
    /// Bound on the bytes of the health snapshot; a new snapshot takes as many again while it is written. 0:
    /// no snapshot is kept.
    pub max_snapshot_bytes: u64,
}

/// Lower bound on `deactivate_after` (1 s): late outcomes must still find their destination active, and idle
/// connections must be closed before their endpoint is.
const MIN_DEACTIVATE_AFTER: Micros = Micros(1_000_000);

/// Upper bound on `keep_kb`, in kibibytes (64 MiB).
const MAX_KEEP_KIB: u64 = 65_536;

impl Raw {
    /// Checks the values against each other and against their bounds.
    pub fn check(self) -> Result<IdleSettings, InvalidValue> {
        let (deactivate_after, half_life, forget_after) =
            (self.rest_s.get_ref().0, self.half_life_s.get_ref().0, self.forget_s.get_ref().0);
        if deactivate_after < MIN_DEACTIVATE_AFTER {
            return Err(InvalidValue::new(&self.rest_s, "must be at least one second"));
        }
        if forget_after < half_life {
            // At least one of the two is set in the file, because the defaults fit each other.
            let given = if self.forget_s.span().is_empty() { &self.half_life_s } else { &self.forget_s };
            return Err(InvalidValue::new(given, "forget_s is less than half_life_s"));
        }
        let assumed_per_s = *self.assumed_per_s.get_ref();
        if !(0.01..=1e6).contains(&assumed_per_s) {
            return Err(InvalidValue::new(&self.assumed_per_s, "must be from 0.01 to 1000000"));
        }
        let keep_kib = *self.keep_kb.get_ref();
        if keep_kib > MAX_KEEP_KIB {
            return Err(InvalidValue::new(&self.keep_kb, format!("must be at most {MAX_KEEP_KIB}")));
        }
        Ok(IdleSettings {
            deactivate_after,
            half_life,
            forget_after,
            assumed_per_s,
            max_snapshot_bytes: keep_kib * 1024,
        })
    }
}
