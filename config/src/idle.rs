//! Our own file's `[list]` and `[idle]`: how long a list may be, and what becomes of destinations that nobody uses.

use crate::product::{InvalidValue, Seconds};
use onyxrock::interface::Micros;
use serde::Deserialize;
use toml::Spanned;

/// Bounds of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListLimits {
    /// Endpoints that are held, 1 to 10,000,000. A longer list is refused as a whole.
    pub entries: BoundedCount<10_000_000>,
    /// Megabytes that a list may take while it is read, 1 to 4,096.
    pub memory_mb: BoundedCount<4096>,
}

impl Default for ListLimits {
    fn default() -> ListLimits {
        ListLimits { entries: BoundedCount(100_000), memory_mb: BoundedCount(16) }
    }
}

/// A whole number from 1 to `MOST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundedCount<const MOST: u32>(pub u32);

impl<'de, const MOST: u32> Deserialize<'de> for BoundedCount<MOST> {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match i64::deserialize(d)? {
            n if (1..=i64::from(MOST)).contains(&n) => Ok(BoundedCount(n as u32)),
            n => Err(serde::de::Error::custom(format!("{n} is not from 1 to {MOST}"))),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    #[serde(default = "rest")]
    rest_s: Spanned<Seconds>,
    #[serde(default = "half_life")]
    half_life_s: Spanned<Seconds>,
    #[serde(default = "forget")]
    forget_s: Spanned<Seconds>,
    #[serde(default = "assumed")]
    assumed_per_s: Spanned<f64>,
    #[serde(default = "keep")]
    keep_kb: Spanned<u64>,
}

/// A default, which stands nowhere in the file.
fn at<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
fn rest() -> Spanned<Seconds> {
    at(Seconds(Micros(300_000_000)))
}
fn half_life() -> Spanned<Seconds> {
    at(Seconds(Micros(600_000_000)))
}
fn forget() -> Spanned<Seconds> {
    at(Seconds(Micros(14_400_000_000)))
}
fn keep() -> Spanned<u64> {
    at(0)
}
fn assumed() -> Spanned<f64> {
    at(10.0)
}

/// Destinations go to rest and are woken with care. Without it what was used once stays awake.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleSettings {
    /// Unused so long, a destination goes to rest.
    pub deactivate_after: Micros,
    /// A rate served so long ago is worth half.
    pub half_life: Micros,
    /// After so long nothing of it is worth anything.
    pub forget_after: Micros,
    /// Calls a second, from all instances together, that a woken destination takes where nothing says it.
    pub assumed_per_s: f64,
    /// Bytes that the file of what is remembered may take, and as many while a new one is written; 0: there is none.
    pub max_snapshot_bytes: u64,
}

/// Outcomes come late, and a connection is let go before its endpoint is.
const REST_LEAST: Micros = Micros(1_000_000);

const KEEP_MOST_KB: u64 = 65_536;

impl Raw {
    pub fn check(self) -> Result<IdleSettings, InvalidValue> {
        let (rest, half_life, forget) =
            (self.rest_s.get_ref().0, self.half_life_s.get_ref().0, self.forget_s.get_ref().0);
        if rest < REST_LEAST {
            return Err(InvalidValue::new(&self.rest_s, "less than a second"));
        }
        if forget < half_life {
            // At least one of the two was written.
            let written = if self.forget_s.span().is_empty() { &self.half_life_s } else { &self.forget_s };
            return Err(InvalidValue::new(written, "forget_s is less than half_life_s"));
        }
        let assumed_per_s = *self.assumed_per_s.get_ref();
        if !(0.01..=1e6).contains(&assumed_per_s) {
            return Err(InvalidValue::new(&self.assumed_per_s, "not from 0.01 to 1000000"));
        }
        let keep = *self.keep_kb.get_ref();
        if keep > KEEP_MOST_KB {
            return Err(InvalidValue::new(&self.keep_kb, format!("more than {KEEP_MOST_KB}")));
        }
        Ok(IdleSettings {
            deactivate_after: rest,
            half_life,
            forget_after: forget,
            assumed_per_s,
            max_snapshot_bytes: keep * 1024,
        })
    }
}
