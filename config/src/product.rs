//! Our own settings: one TOML file that switches on what the platform does not use.
//!
//! Every section is optional and everything in it is off while it is absent. Unknown keys are refused. An error is one
//! line, `FILE:LINE: KEY: what is wrong`, and nothing of a file with an error is used.

use crate::duties::{self, DutySettings};
use crate::{dns, idle, smpp};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use serde::{Deserialize, Deserializer, de};
use std::ops::Range;
use std::path::Path;
use toml::Spanned;

/// What the file holds, checked.
#[derive(Clone, Debug, Default)]
pub struct ProductSettings {
    pub log: Log,
    pub smpp: Option<smpp::SmppSettings>,
    pub dns: Option<dns::DnsSettings>,
    pub duties: Option<DutySettings>,
    pub list: idle::ListLimits,
    pub idle: Option<idle::IdleSettings>,
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lines for people, or one JSON object a line.
    pub format: Format,
    /// The least level that is written.
    pub level: Level,
    /// Lines a second from one place in the program; what is over it is counted, not written. At least 1.
    #[serde(deserialize_with = "positive")]
    pub lines_per_s: u32,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: Format::Text, level: Level::Info, lines_per_s: 20 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

fn positive<'de, D: Deserializer<'de>>(d: D) -> Result<u32, D::Error> {
    match u32::deserialize(d)? {
        0 => Err(de::Error::custom("must be at least 1")),
        n => Ok(n),
    }
}

/// A span over zero, at most a day, written as a number of seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seconds(pub Micros);

impl<'de> Deserialize<'de> for Seconds {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Seconds, D::Error> {
        struct Visitor;
        impl de::Visitor<'_> for Visitor {
            type Value = Seconds;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("a number of seconds over 0 and at most 86400")
            }
            fn visit_f64<E: de::Error>(self, secs: f64) -> Result<Seconds, E> {
                if secs > 0.0 && secs <= 86_400.0 {
                    Ok(Seconds(Micros::from_secs(secs)))
                } else {
                    Err(E::invalid_value(de::Unexpected::Float(secs), &self))
                }
            }
            fn visit_i64<E: de::Error>(self, secs: i64) -> Result<Seconds, E> {
                self.visit_f64(secs as f64)
            }
        }
        d.deserialize_any(Visitor)
    }
}

/// Something wrong with a value that its type alone does not show, and where the value stands.
#[derive(Debug)]
pub struct InvalidValue {
    pub span: Range<usize>,
    pub message: String,
}

impl InvalidValue {
    pub fn new<T>(value: &Spanned<T>, what: impl Into<String>) -> InvalidValue {
        InvalidValue { span: value.span(), message: what.into() }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    log: Log,
    smpp: Option<smpp::Raw>,
    dns: Option<dns::Raw>,
    duties: Option<Spanned<duties::Raw>>,
    #[serde(default)]
    list: idle::ListLimits,
    idle: Option<idle::Raw>,
}

/// Reads the members that a service of the zone names.
pub type MemberLookup<'a> = &'a dyn Fn(&dns::DnsSettings, &str) -> Result<Vec<duties::NamedMember>, String>;

/// Reads the file. Names of classes, tenants, kinds and zones must be those of the platform's settings.
pub fn read(path: &Path, names: &NameIndex, zones: MemberLookup) -> Result<ProductSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    parse(&text, path, names, zones)
}

/// Reads the text of a file; other files that it names stand beside it.
pub fn parse(
    text: &str, path: &Path, names: &NameIndex, zones: MemberLookup,
) -> Result<ProductSettings, String> {
    let line = |at: Option<Range<usize>>, what: &str| {
        // Several lines of explanation, and control characters from the file, have no place in one line.
        let what: String = what.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
        match at.map(|r| place(text, r.start)) {
            Some((line, Some(key))) => format!("{}:{line}: {key}: {what}", path.display()),
            Some((line, None)) => format!("{}:{line}: {what}", path.display()),
            None => format!("{}: {what}", path.display()),
        }
    };
    let raw: Raw = toml::from_str(text).map_err(|e| line(e.span(), e.message()))?;
    let wrong = |w: InvalidValue| line(Some(w.span), &w.message);
    let dns = raw.dns.map(|d| d.check(path)).transpose().map_err(wrong)?;
    let members = |service: &str| dns.as_ref().map(|d| zones(d, service));
    let duties = raw.duties.map(|d| (d.span(), d.into_inner()));
    let duties = duties.map(|(at, d)| d.check(at, members)).transpose().map_err(wrong)?;
    Ok(ProductSettings {
        log: raw.log,
        smpp: raw.smpp.map(|s| s.check(names)).transpose().map_err(wrong)?,
        duties,
        dns,
        list: raw.list,
        idle: raw.idle.map(idle::Raw::check).transpose().map_err(wrong)?,
    })
}

/// The line of a place in the text, from one, and the key that its line sets.
fn place(text: &str, at: usize) -> (usize, Option<&str>) {
    let line = text.get(..at).unwrap_or(text).matches('\n').count();
    let shown = text.lines().nth(line).unwrap_or("");
    let key = shown.split_once('=').map(|(key, _)| key.trim()).filter(|k| !k.is_empty());
    let header = shown.trim().starts_with('[').then(|| shown.trim());
    (line + 1, key.or(header))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> NameIndex {
        let map = |n: &[&str]| n.iter().enumerate().map(|(i, n)| ((*n).to_owned(), i)).collect();
        NameIndex {
            classes: map(&["status"]),
            tenants: map(&["clubs"]),
            kinds: map(&["club"]),
            zones: map(&["floor-2"]),
        }
    }

    fn wrong(text: &str) -> String {
        let e = parse(text, Path::new("p.toml"), &names(), &|_, _| Ok(Vec::new())).expect_err(text);
        assert_eq!(e.lines().count(), 1, "{e}");
        e
    }

    #[test]
    fn an_empty_file_switches_nothing_on() {
        let p = parse("", Path::new("p.toml"), &names(), &|_, _| Ok(Vec::new())).unwrap();
        assert!(p.smpp.is_none() && p.dns.is_none() && p.duties.is_none());
        assert_eq!(p.log, Log::default());
    }

    #[test]
    fn an_error_names_file_line_and_key() {
        let gateway = "[smpp]\nlisten = \"127.0.0.1:1\"\nsystem_id = \"o\"\n[[smpp.gateway]]\nname = \"g\"\n\
            address = \"127.0.0.1:2\"\ndestination = 1\nkind = \"club\"\nzone = \"cellar\"\n";
        for (text, start, word) in [
            ("[log]\nformat = \"xml\"\n", "p.toml:2: format: ", "xml"),
            ("[log]\ncolour = 1\n", "p.toml:2: colour: ", "unknown"),
            ("[log]\nlines_per_s = 0\n", "p.toml:2: lines_per_s: ", "at least 1"),
            ("\n[lgo]\n", "p.toml:2: [lgo]: ", "unknown"),
            ("[smpp]\nsystem_id = 1\n", "p.toml:2: system_id: ", "string"),
            ("[smpp]\nsystem_id = \"o\"\n", "p.toml:1: [smpp]: ", "listen"),
            (
                "[smpp]\nlisten = \"127.0.0.1:1\"\nsystem_id = \"o\"\nenquire_link_s = 0\n",
                "p.toml:4: ",
                "seconds",
            ),
            (
                "[smpp]\nlisten = \"127.0.0.1:1\"\nsystem_id = \"o\"\nenquire_link_s = nan\n",
                "p.toml:4: ",
                "seconds",
            ),
            (gateway, "p.toml:9: zone: ", "cellar"),
            (
                "[dns]\nlisten = \"10.0.0.1:53\"\norigin = \"a.\"\nzone = \"z\"\n",
                "p.toml:2: listen: ",
                "this machine",
            ),
            ("[dns\n", "p.toml:1: ", ""),
            ("[list]\nentries = 0\n", "p.toml:2: entries: ", "from 1"),
            ("[list]\nmemory_mb = 5000\n", "p.toml:2: memory_mb: ", "4096"),
            ("[idle]\nrest_s = 0.5\n", "p.toml:2: rest_s: ", "second"),
            ("[idle]\nhalf_life_s = 60\nforget_s = 30\n", "p.toml:3: forget_s: ", "half_life_s"),
            ("[log]\n[idle]\nhalf_life_s = 20000\n", "p.toml:3: half_life_s: ", "forget_s"),
            ("[idle]\nkeep_kb = 100000\n", "p.toml:2: keep_kb: ", "65536"),
            ("[idle]\nassumed_per_s = 0\n", "p.toml:2: assumed_per_s: ", "0.01"),
        ] {
            let e = wrong(text);
            assert!(e.starts_with(start) && e.contains(word), "{e}");
        }
    }
}
