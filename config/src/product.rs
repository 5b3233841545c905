//! The product settings: one TOML file that enables features that the platform's settings do not cover.
//!
//! Every section is optional, and its feature is off while the section is absent. Unknown keys are refused.
//! An error is one line, `FILE:LINE: KEY: message`, and nothing of a file with an error is used.

use crate::duties::{self, DutySettings};
use crate::{dns, idle, smpp};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use serde::{Deserialize, Deserializer, de};
use std::ops::Range;
use std::path::Path;
use toml::Spanned;

/// The checked contents of the file.
#[derive(Clone, Debug, Default)]
pub struct ProductSettings {
    /// `[log]`.
    pub log: Log,
    /// `[smpp]`.
    pub smpp: Option<smpp::SmppSettings>,
    /// `[dns]`.
    pub dns: Option<dns::DnsSettings>,
    /// `[duties]`.
    pub duties: Option<DutySettings>,
    /// `[list]`.
    pub list: idle::ListLimits,
    /// `[idle]`.
    pub idle: Option<idle::IdleSettings>,
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Plain text, or one JSON object a line.
    pub format: Format,
    /// The lowest level that is written.
    pub level: Level,
    /// Bound on the lines per second from one place in the program. Further lines are counted instead of
    /// written. At least 1.
    #[serde(deserialize_with = "positive")]
    pub lines_per_s: u32,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: Format::Text, level: Level::Info, lines_per_s: 20 }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Log level, from the most to the least severe.
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

/// A duration, written as a number of seconds: more than zero, at most one day.
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

/// A value of the right type that is invalid.
#[derive(Debug)]
pub struct InvalidValue {
    /// Byte range of the value in the file.
    pub span: Range<usize>,
    /// What is wrong with the value.
    pub message: String,
}

impl InvalidValue {
    /// Reports a value that was read from the file.
    pub fn new<T>(value: &Spanned<T>, message: impl Into<String>) -> InvalidValue {
        InvalidValue { span: value.span(), message: message.into() }
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

/// Looks up the members that a service of the DNS zone names.
pub type MemberLookup<'a> = &'a dyn Fn(&dns::DnsSettings, &str) -> Result<Vec<duties::NamedMember>, String>;

/// Reads the file. Names of classes, tenants, kinds and zones must be those of the platform's settings.
///
/// # Errors
/// One line, `FILE:LINE: KEY: message`.
pub fn read(path: &Path, names: &NameIndex, members_of: MemberLookup) -> Result<ProductSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    parse(&text, path, names, members_of)
}

/// Parses the text of a file. `path` is shown in errors, and other files that the text names are found
/// relative to it.
///
/// # Errors
/// One line, `FILE:LINE: KEY: message`.
pub fn parse(
    text: &str, path: &Path, names: &NameIndex, members_of: MemberLookup,
) -> Result<ProductSettings, String> {
    let error_line = |span: Option<Range<usize>>, message: &str| {
        // The message may span several lines or hold control characters from the file; the error must be one
        // line.
        let message: String = message.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
        match span.map(|span| locate(text, span.start)) {
            Some((line, Some(key))) => format!("{}:{line}: {key}: {message}", path.display()),
            Some((line, None)) => format!("{}:{line}: {message}", path.display()),
            None => format!("{}: {message}", path.display()),
        }
    };
    let raw: Raw = toml::from_str(text).map_err(|e| error_line(e.span(), e.message()))?;
    let invalid = |value: InvalidValue| error_line(Some(value.span), &value.message);
    let dns = raw.dns.map(|section| section.check(path)).transpose().map_err(invalid)?;
    let members = |service: &str| dns.as_ref().map(|dns| members_of(dns, service));
    let duties = raw.duties.map(|section| (section.span(), section.into_inner()));
    let duties = duties.map(|(span, section)| section.check(span, members)).transpose().map_err(invalid)?;
    Ok(ProductSettings {
        log: raw.log,
        smpp: raw.smpp.map(|section| section.check(names)).transpose().map_err(invalid)?,
        duties,
        dns,
        list: raw.list,
        idle: raw.idle.map(idle::Raw::check).transpose().map_err(invalid)?,
    })
}

/// The number of the line that holds a byte offset, counted from one, and the key or section header on that
/// line.
fn locate(text: &str, offset: usize) -> (usize, Option<&str>) {
    let line = text.get(..offset).unwrap_or(text).matches('\n').count();
    let line_text = text.lines().nth(line).unwrap_or("");
    let key = line_text.split_once('=').map(|(key, _)| key.trim()).filter(|k| !k.is_empty());
    let header = line_text.trim().starts_with('[').then(|| line_text.trim());
    (line + 1, key.or(header))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> NameIndex {
        let index =
            |names: &[&str]| names.iter().enumerate().map(|(i, name)| ((*name).to_owned(), i)).collect();
        NameIndex {
            classes: index(&["status"]),
            tenants: index(&["clubs"]),
            kinds: index(&["club"]),
            zones: index(&["floor-2"]),
        }
    }

    fn error_of(text: &str) -> String {
        let error = parse(text, Path::new("p.toml"), &names(), &|_, _| Ok(Vec::new())).expect_err(text);
        assert_eq!(error.lines().count(), 1, "{error}");
        error
    }

    #[test]
    fn an_empty_file_enables_nothing() {
        let settings = parse("", Path::new("p.toml"), &names(), &|_, _| Ok(Vec::new())).unwrap();
        assert!(settings.smpp.is_none() && settings.dns.is_none() && settings.duties.is_none());
        assert_eq!(settings.log, Log::default());
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
            let error = error_of(text);
            assert!(error.starts_with(start) && error.contains(word), "{error}");
        }
    }
}
