//! `[duties]`: which instances share their periodic duties, and how.

use crate::product::{InvalidValue, Seconds};
use onyxrock::interface::Micros;
use onyxrock_membership::{Key, Keys, MissingSigningKey};
use serde::{Deserialize, Deserializer, de};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use toml::Spanned;

/// Names cross the wire in every datagram.
const NAME_MOST: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Where other members' datagrams come to (UDP).
    pub listen: SocketAddr,
    /// Every member, this one included, in the same order at all of them.
    pub members: Vec<NamedMember>,
    /// The first so many of them decide who holds a lease.
    pub voter_count: usize,
    /// How long a lease holds without renewal.
    pub lease_duration: Micros,
    pub probe: ProbeSettings,
    /// One instance asks for the list and tells the others.
    pub share_list: bool,
    /// One instance at a time leads the fleet.
    pub elect_coordinator: bool,
    /// Keys that a datagram may be signed with, and the one that this instance signs with.
    pub keys: Keys,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedMember {
    pub name: String,
    pub address: SocketAddr,
}

/// How a partner that is doubted or returning is probed.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// Probes a second at one partner, from all instances together.
    pub per_s: f64,
    /// How long a probe waits for its answer.
    pub timeout: Micros,
    /// What is asked for.
    pub path: String,
    /// Each instance probes on its own account, with no leases: for comparison.
    pub without_leases: bool,
}

impl DutySettings {
    /// What another reading of the file says otherwise and only a new start can take over: all but the keys.
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

/// Unless fewer are members; more make every renewal dearer and an outage of a majority rarer.
const VOTERS: usize = 5;
const LEASE: Seconds = Seconds(Micros(3_000_000));
const PATIENCE: Seconds = Seconds(Micros(1_000_000));
const PATH: &str = "/health";

/// Over 0, at most 100 a second: it is a look, not a load.
struct Pace(f64);

impl<'de> Deserialize<'de> for Pace {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Pace, D::Error> {
        let n = f64::deserialize(d)?;
        if n > 0.0 && n <= 100.0 {
            Ok(Pace(n))
        } else {
            Err(de::Error::custom("must be over 0 and at most 100"))
        }
    }
}

/// 32 bytes as 64 hexadecimal digits. What is wrong with it is told without repeating it.
struct Secret([u8; 32]);

impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Secret, D::Error> {
        let text = String::deserialize(d)?;
        let mut bytes = [0; 32];
        let well = text.len() == 64
            && text.is_ascii()
            && bytes
                .iter_mut()
                .enumerate()
                .all(|(i, b)| u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).map(|n| *b = n).is_ok());
        if well { Ok(Secret(bytes)) } else { Err(de::Error::custom("must be 64 hexadecimal digits")) }
    }
}

impl Raw {
    /// `at` is where the section stands; `members` reads those that a service of the zone in `[dns]` names.
    pub(crate) fn check(
        self, at: Range<usize>, members_of: impl Fn(&str) -> Option<Result<Vec<NamedMember>, String>>,
    ) -> Result<DutySettings, InvalidValue> {
        let mut members = Vec::new();
        let mut seen = BTreeSet::new();
        for m in self.member {
            let name = m.name.get_ref();
            if name.is_empty() || name.len() > NAME_MOST || !name.bytes().all(|b| b.is_ascii_graphic()) {
                return Err(InvalidValue::new(&m.name, "must be 1 to 64 printable characters"));
            }
            if !seen.insert(name.clone()) {
                return Err(InvalidValue::new(&m.name, format!("\"{name}\" stands here twice")));
            }
            members.push(NamedMember { name: name.clone(), address: m.address });
        }
        if let Some(from) = &self.members_from {
            let found = members_of(from.get_ref());
            let found =
                found.ok_or_else(|| InvalidValue::new(from, "needs [dns], whose zone names the members"))?;
            let found = found.map_err(|e| InvalidValue::new(from, e))?;
            members.extend(found.into_iter().filter(|m| seen.insert(m.name.clone())));
        }
        if members.is_empty() {
            return Err(InvalidValue {
                span: at,
                message: "no [[duties.member]] and no members_from".into(),
            });
        }
        let voters = self.voters.as_ref().map_or(members.len().min(VOTERS), |v| *v.get_ref() as usize);
        if let Some(given) = &self.voters {
            if voters == 0 {
                return Err(InvalidValue::new(given, "must be 1 at least"));
            }
            // A majority of those that are named could not be made of those that there are.
            if voters > members.len() {
                return Err(InvalidValue::new(given, format!("there are only {} members", members.len())));
            }
        }
        let mut seen = BTreeSet::new();
        if let Some(k) = self.key.iter().find(|k| !seen.insert(*k.id.get_ref())) {
            return Err(InvalidValue::new(&k.id, format!("key {} stands here twice", k.id.get_ref())));
        }
        let keys = self.key.into_iter().map(|k| Key { id: k.id.into_inner(), secret: k.secret.0 });
        let keys = Keys::new(*self.sign.get_ref(), keys);
        let keys = keys.map_err(|MissingSigningKey| {
            InvalidValue::new(&self.sign, format!("there is no key {}", self.sign.get_ref()))
        })?;
        let lease = self.lease_s.as_ref().map_or(LEASE, |l| *l.get_ref());
        let patience = self.probe.patience_s.as_ref().map_or(PATIENCE, |p| *p.get_ref());
        // A probe starts only where its whole patience fits into the lease that is left.
        if patience.0 >= Micros(lease.0.0 / 2) {
            let at = self.lease_s.or(self.probe.patience_s).map_or(at, |s| s.span());
            let what = "lease_s must be over twice the probe's patience_s".into();
            return Err(InvalidValue { span: at, message: what });
        }
        let path = self.probe.path.as_ref().map_or(PATH, |p| p.get_ref());
        if let Some(p) = self
            .probe
            .path
            .as_ref()
            .filter(|_| !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(InvalidValue::new(p, "must begin with / and hold no spaces"));
        }
        Ok(DutySettings {
            listen: self.listen,
            voter_count: voters,
            members,
            lease_duration: lease.0,
            probe: ProbeSettings {
                per_s: self.probe.per_s.0,
                timeout: patience.0,
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

    fn nobody(_: &crate::dns::DnsSettings, _: &str) -> Result<Vec<super::NamedMember>, String> {
        Ok(Vec::new())
    }

    fn read(head: &str, rest: &str) -> Result<super::DutySettings, String> {
        let text = format!("[duties]\nlisten = \"127.0.0.1:0\"\nsign = 1\n{head}{MEMBER}{rest}{KEY}");
        parse(&text, Path::new("p.toml"), &NameIndex::default(), &nobody).map(|p| p.duties.unwrap())
    }

    #[test]
    fn what_is_not_said_has_a_default() {
        let d = read("", "").unwrap();
        assert_eq!((d.voter_count, d.lease_duration.0, d.probe.per_s), (1, 3_000_000, 1.0));
        assert_eq!(format!("{:?}", d.keys), "Keys { sign: 1, all: {1: Key(1)} }", "a secret is never shown");
    }

    #[test]
    fn what_cannot_hold_is_refused() {
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
            let e = read(head, rest).expect_err(word);
            assert!(e.contains(word), "{e}");
        }
        let short = format!(
            "[duties]\nlisten = \"127.0.0.1:0\"\nsign = 1\n{MEMBER}{}",
            KEY.replace("00112233", "beef")
        );
        let e = parse(&short, Path::new("p.toml"), &NameIndex::default(), &nobody).unwrap_err();
        assert!(e.contains("64 hexadecimal digits") && !e.contains("beef"), "{e}");
    }
}
