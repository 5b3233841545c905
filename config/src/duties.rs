//! `[duties]`: the forwarders (members) that share periodic duties, and how they share them.

use crate::product::{InvalidValue, Seconds};
use onyxrock::interface::Micros;
use onyxrock_membership::{Key, Keys, MissingSigningKey};
use serde::{Deserialize, Deserializer, de};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use toml::Spanned;

/// Bound on the length of a member name. It is short because every datagram carries names.
const MAX_NAME_BYTES: usize = 64;

/// The checked section.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// UDP address that receives the datagrams of other members.
    pub listen: SocketAddr,
    /// Every member, including this one. All members must list them in the same order.
    pub members: Vec<NamedMember>,
    /// Number of voters: the first members in the list, which decide who holds a lease.
    pub voter_count: usize,
    /// How long a lease is valid without renewal.
    pub lease_duration: Micros,
    /// How endpoints are probed.
    pub probe: ProbeSettings,
    /// One member requests the list and sends it to the others.
    pub share_list: bool,
    /// One member at a time is the coordinator of the fleet.
    pub elect_coordinator: bool,
    /// Keys that are accepted on datagrams, and the key that this member signs with.
    pub keys: Keys,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedMember {
    /// Unique name of the member.
    pub name: String,
    /// UDP address of the member.
    pub address: SocketAddr,
}

/// How a partner's endpoint is probed while it is suspected, or returns from an outage.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// Probes per second to one partner, from all members together.
    pub per_s: f64,
    /// How long a probe waits for its response.
    pub timeout: Micros,
    /// Path that a probe requests.
    pub path: String,
    /// Each member probes independently, without leases. This exists for comparison.
    pub without_leases: bool,
}

impl DutySettings {
    /// Whether a new version of the section differs in a value that takes effect only at the next start.
    /// These are all values except the keys.
    #[must_use]
    pub fn requires_restart(&self, new: &DutySettings) -> bool {
        *self != DutySettings { keys: self.keys.clone(), ..new.clone() }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    listen: SocketAddr,
    #[serde(default)]
    member: Vec<RawMember>,
    members_from: Option<Spanned<String>>,
    voters: Option<Spanned<u32>>,
    lease_s: Option<Spanned<Seconds>>,
    #[serde(default)]
    probe: RawProbe,
    #[serde(default)]
    list: bool,
    #[serde(default)]
    coordinator: bool,
    key: Vec<RawKey>,
    sign: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: Spanned<String>,
    address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKey {
    id: Spanned<u32>,
    secret: Secret,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawProbe {
    per_s: Pace,
    patience_s: Option<Spanned<Seconds>>,
    path: Option<Spanned<String>>,
    alone: bool,
}

impl Default for RawProbe {
    fn default() -> RawProbe {
        RawProbe { per_s: Pace(1.0), patience_s: None, path: None, alone: false }
    }
}

/// Number of voters by default, or all members if there are fewer. More voters make each renewal more
/// expensive, and an outage of a majority less likely.
const DEFAULT_VOTERS: usize = 5;

/// Lease duration by default (3 s).
const DEFAULT_LEASE: Seconds = Seconds(Micros(3_000_000));

/// Timeout of a probe by default (1 s).
const DEFAULT_PROBE_TIMEOUT: Seconds = Seconds(Micros(1_000_000));

/// Path of a probe by default.
const DEFAULT_PROBE_PATH: &str = "/health";

/// A probe rate over 0 and at most 100 per second: probes check an endpoint and must not load it.
struct Pace(f64);

impl<'de> Deserialize<'de> for Pace {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Pace, D::Error> {
        let per_s = f64::deserialize(d)?;
        if per_s > 0.0 && per_s <= 100.0 {
            Ok(Pace(per_s))
        } else {
            Err(de::Error::custom("must be over 0 and at most 100"))
        }
    }
}

/// 32 bytes, written as 64 hexadecimal digits. Errors never repeat the text of a secret.
struct Secret([u8; 32]);

impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Secret, D::Error> {
        let text = String::deserialize(d)?;
        let mut bytes = [0; 32];
        let valid = text.len() == 64
            && text.is_ascii()
            && bytes
                .iter_mut()
                .enumerate()
                .all(|(i, byte)| u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).map(|n| *byte = n).is_ok());
        if valid { Ok(Secret(bytes)) } else { Err(de::Error::custom("must be 64 hexadecimal digits")) }
    }
}

impl Raw {
    /// Checks the section. `span` is its byte range in the file; `members_of` looks up the members that a
    /// service of the zone in `[dns]` names.
    pub(crate) fn check(
        self, span: Range<usize>, members_of: impl Fn(&str) -> Option<Result<Vec<NamedMember>, String>>,
    ) -> Result<DutySettings, InvalidValue> {
        let mut members = Vec::new();
        let mut seen = BTreeSet::new();
        for member in self.member {
            let name = member.name.get_ref();
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
                return Err(InvalidValue::new(&member.name, "must be 1 to 64 printable characters"));
            }
            if !seen.insert(name.clone()) {
                return Err(InvalidValue::new(&member.name, format!("\"{name}\" is given twice")));
            }
            members.push(NamedMember { name: name.clone(), address: member.address });
        }
        if let Some(from) = &self.members_from {
            let found = members_of(from.get_ref());
            let found =
                found.ok_or_else(|| InvalidValue::new(from, "needs [dns], whose zone names the members"))?;
            let found = found.map_err(|e| InvalidValue::new(from, e))?;
            members.extend(found.into_iter().filter(|m| seen.insert(m.name.clone())));
        }
        if members.is_empty() {
            return Err(InvalidValue { span, message: "no [[duties.member]] and no members_from".into() });
        }
        let voter_count = self
            .voters
            .as_ref()
            .map_or(members.len().min(DEFAULT_VOTERS), |voters| *voters.get_ref() as usize);
        if let Some(given) = &self.voters {
            if voter_count == 0 {
                return Err(InvalidValue::new(given, "must be 1 at least"));
            }
            // With more voters than members, no majority of voters could be reached.
            if voter_count > members.len() {
                return Err(InvalidValue::new(given, format!("there are only {} members", members.len())));
            }
        }
        let mut seen = BTreeSet::new();
        if let Some(key) = self.key.iter().find(|key| !seen.insert(*key.id.get_ref())) {
            return Err(InvalidValue::new(&key.id, format!("key {} is given twice", key.id.get_ref())));
        }
        let keys = self.key.into_iter().map(|key| Key { id: key.id.into_inner(), secret: key.secret.0 });
        let keys = Keys::new(*self.sign.get_ref(), keys);
        let keys = keys.map_err(|MissingSigningKey| {
            InvalidValue::new(&self.sign, format!("there is no key with the id {}", self.sign.get_ref()))
        })?;
        let lease = self.lease_s.as_ref().map_or(DEFAULT_LEASE, |lease| *lease.get_ref());
        let timeout =
            self.probe.patience_s.as_ref().map_or(DEFAULT_PROBE_TIMEOUT, |timeout| *timeout.get_ref());
        // A probe is started only if its whole timeout fits into the rest of the lease.
        if timeout.0 >= Micros(lease.0.0 / 2) {
            let span = self.lease_s.or(self.probe.patience_s).map_or(span, |value| value.span());
            let message = "lease_s must be over twice the probe's patience_s".into();
            return Err(InvalidValue { span, message });
        }
        let path = self.probe.path.as_ref().map_or(DEFAULT_PROBE_PATH, |path| path.get_ref());
        if let Some(given) = self
            .probe
            .path
            .as_ref()
            .filter(|_| !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(InvalidValue::new(given, "must begin with / and hold no spaces"));
        }
        Ok(DutySettings {
            listen: self.listen,
            voter_count,
            members,
            lease_duration: lease.0,
            probe: ProbeSettings {
                per_s: self.probe.per_s.0,
                timeout: timeout.0,
                path: path.to_owned(),
                without_leases: self.probe.alone,
            },
            share_list: self.list,
            elect_coordinator: self.coordinator,
            keys,
        })
    }
}

#[cfg(test)]
mod tests {
    use crate::product::parse;
    use onyxrock::core::NameIndex;
    use std::path::Path;

    const KEY: &str = "[[duties.key]]\nid = 1\nsecret = \
        \"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\"\n";
    const MEMBER: &str = "[[duties.member]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\n";

    fn no_members(_: &crate::dns::DnsSettings, _: &str) -> Result<Vec<super::NamedMember>, String> {
        Ok(Vec::new())
    }

    fn read(head: &str, rest: &str) -> Result<super::DutySettings, String> {
        let text = format!("[duties]\nlisten = \"127.0.0.1:0\"\nsign = 1\n{head}{MEMBER}{rest}{KEY}");
        parse(&text, Path::new("p.toml"), &NameIndex::default(), &no_members)
            .map(|settings| settings.duties.unwrap())
    }

    #[test]
    fn absent_values_have_defaults() {
        let settings = read("", "").unwrap();
        assert_eq!(
            (settings.voter_count, settings.lease_duration.0, settings.probe.per_s),
            (1, 3_000_000, 1.0)
        );
        assert_eq!(
            format!("{:?}", settings.keys),
            "Keys { sign: 1, all: {1: Key(1)} }",
            "a secret is never shown"
        );
    }

    #[test]
    fn invalid_values_are_refused_by_line_and_key() {
        for (head, rest, word) in [
            ("voters = 0\n", "", "p.toml:4: voters: must be 1 at least"),
            ("voters = 2\n", "", "p.toml:4: voters: there are only 1 members"),
            ("lease_s = 2\n", "", "p.toml:4: lease_s: "),
            ("", MEMBER, "twice"),
            ("", KEY, "twice"),
            ("members_from = \"_m._udp\"\n", "", "needs [dns]"),
            ("", "[duties.probe]\nper_s = 0\n", "over 0"),
            ("", "[duties.probe]\npath = \"health\"\n", "p.toml:8: path: must begin"),
            ("", "[duties.probe]\npatience_s = 2\n", "p.toml:8: patience_s: lease_s must be"),
        ] {
            let error = read(head, rest).expect_err(word);
            assert!(error.contains(word), "{error}");
        }
        let short = format!(
            "[duties]\nlisten = \"127.0.0.1:0\"\nsign = 1\n{MEMBER}{}",
            KEY.replace("00112233", "beef")
        );
        let error = parse(&short, Path::new("p.toml"), &NameIndex::default(), &no_members).unwrap_err();
        assert!(error.contains("64 hexadecimal digits") && !error.contains("beef"), "{error}");
    }
}
