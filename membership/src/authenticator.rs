//! Signs datagrams between members and verifies received ones; each datagram is accepted at most once.
//!
//! ```text
//! version 1 | key 4 | from 2 | to 2 | boot 8 | echo 8 | challenge 8 | number 8 | kind 1
//! | body | keyed BLAKE3 32                            (lengths in bytes)
//! ```
//!
//! `boot` identifies the sending process. `challenge` is a number that the receiver has to echo in everything
//! that it sends back, and `echo` is the challenge that the sender received from the other side. A datagram
//! that echoes the current challenge was made after that challenge was sent, so recordings of earlier
//! datagrams are not accepted; while a challenge is current, each `number` is accepted once. When another
//! process of a member proves itself, the challenge for that member changes, which invalidates everything
//! that the earlier process had sent. A datagram without the current echo is answered with a hello, at most
//! ten a second, which carries the challenge and identifies the datagram that it answers. If that datagram
//! was the last one sent to this member, its sender sends it once more, so that the first message between two
//! members is not lost.

use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// The maximum length of a datagram in bytes, which fits into a usual Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const HEADER_BYTES: usize = 42;
const TAG_BYTES: usize = 32;
/// The maximum length of a datagram's body in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;
const PROTOCOL_VERSION: u8 = 1;
/// The minimum time between two hellos to one member.
const HELLO_INTERVAL: Micros = Micros(100_000);

/// A key that members share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// The key's number on the wire.
    pub id: u32,
    /// The 32 bytes of the key.
    pub secret: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

/// The keys of a member: it signs with one of them and accepts datagrams signed with any of them.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Keys {
    sign: u32,
    all: BTreeMap<u32, Key>,
}

/// The key to sign with is not among the given keys.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MissingSigningKey;

impl Keys {
    /// Collects the keys by number.
    ///
    /// # Errors
    /// [`MissingSigningKey`] if none of the keys has the number `sign`.
    pub fn new(sign: u32, keys: impl IntoIterator<Item = Key>) -> Result<Keys, MissingSigningKey> {
        let all: BTreeMap<_, _> = keys.into_iter().map(|k| (k.id, k)).collect();
        if all.contains_key(&sign) { Ok(Keys { sign, all }) } else { Err(MissingSigningKey) }
    }

    /// The number of the key that signs.
    #[must_use]
    pub fn signing_key_id(&self) -> u32 {
        self.sign
    }

    /// The number of keys whose signatures are accepted.
    #[must_use]
    pub fn accepted_count(&self) -> usize {
        self.all.len()
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum DropReason {
    /// The datagram is shorter or longer than any valid one, or of another version.
    Shape,
    /// The datagram is signed with a key that this member does not hold.
    UnknownKey,
    /// The tag is wrong: someone without the key made or changed the datagram.
    Forged,
    /// The sender is not in the member list, or the datagram is meant for another member.
    Stranger,
    /// The datagram does not echo the current challenge: it is old, or its process has not received the
    /// challenge yet.
    Unproven,
    /// The datagram was received before.
    Replayed,
    /// The datagram only carried a challenge; this is no fault.
    Hello,
    /// The signature is valid, but the content cannot be read.
    Senseless,
}

/// The content of a datagram.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Body<'a> {
    /// A message of the failure detector.
    Swim(&'a [u8]),
    /// A payload of the caller.
    Payload(&'a [u8]),
}

/// The numbers received from one process: the highest, and a bit set of those among the 128 up to it.
#[derive(Clone, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    received: u128,
}

impl ReplayWindow {
    fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            self.received = if shift < 128 { self.received << shift } else { 0 } | 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        if age >= 128 || self.received >> age & 1 == 1 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}

#[derive(Clone, Debug)]
struct Peer {
    /// The challenge that the peer has to echo.
    challenge: u64,
    /// The challenge that the peer wants echoed; zero until it has sent one.
    echo: u64,
    boot: Option<u64>,
    window: ReplayWindow,
    next_hello_at: Micros,
    /// The process and the number of the peer's latest hello. An older hello would bring back an outdated
    /// challenge.
    latest_hello: (u64, u64),
    /// The last datagram sent to the peer: its number, kind and body.
    last_sent: Option<(u64, u8, Vec<u8>)>,
}

/// Signs the datagrams that one process sends and verifies those that it receives.
#[derive(Debug)]
pub struct Authenticator {
    me: Member,
    keys: Keys,
    boot: u64,
    number: u64,
    peers: Vec<Peer>,
    rng: StdRng,
}

struct Header {
    from: Member,
    boot: u64,
    echo: u64,
    challenge: u64,
    number: u64,
    kind: u8,
}

const KIND_HELLO: u8 = 0;
const KIND_SWIM: u8 = 1;
const KIND_PAYLOAD: u8 = 2;

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

impl Authenticator {
    /// Creates the authenticator of the member `me`, one of `members`. All its randomness comes from
    /// `entropy`, a number that no other process may ever use.
    #[must_use]
    pub fn new(me: Member, members: u16, keys: Keys, entropy: u64) -> Authenticator {
        let mut rng = StdRng::seed_from_u64(entropy);
        let peer = |rng: &mut StdRng| Peer {
            challenge: rng.random_range(1..=u64::MAX),
            echo: 0,
            boot: None,
            window: ReplayWindow::default(),
            next_hello_at: Micros(0),
            latest_hello: (0, 0),
            last_sent: None,
        };
        let peers = (0..members).map(|_| peer(&mut rng)).collect();
        Authenticator { me, keys, boot: rng.random(), number: 0, peers, rng }
    }

    /// Replaces the keys. Datagrams in transit that are signed with a removed key are lost.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The number that identifies this process.
    #[must_use]
    pub fn boot_id(&self) -> u64 {
        self.boot
    }

    /// Builds a datagram to a member. None if the body is too long or the member unknown.
    pub fn sign_datagram(&mut self, to: Member, body: Body) -> Option<Vec<u8>> {
        let (kind, body) = match body {
            Body::Swim(b) => (KIND_SWIM, b),
            Body::Payload(b) => (KIND_PAYLOAD, b),
        };
        let datagram = self.build_datagram(to, kind, body)?;
        let number = self.number;
        self.peers.get_mut(usize::from(to.0))?.last_sent = Some((number, kind, body.to_vec()));
        Some(datagram)
    }

    fn build_datagram(&mut self, to: Member, kind: u8, body: &[u8]) -> Option<Vec<u8>> {
        let peer =
            self.peers.get(usize::from(to.0)).filter(|_| to != self.me && body.len() <= MAX_PAYLOAD_BYTES)?;
        let key = self.keys.all.get(&self.keys.sign)?;
        self.number += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len() + TAG_BYTES);
        datagram.push(PROTOCOL_VERSION);
        datagram.extend(key.id.to_le_bytes());
        datagram.extend(self.me.0.to_le_bytes());
        datagram.extend(to.0.to_le_bytes());
        for field in [self.boot, peer.echo, peer.challenge, self.number] {
            datagram.extend(field.to_le_bytes());
        }
        datagram.push(kind);
        datagram.extend(body);
        let tag = blake3::keyed_hash(&key.secret, &datagram);
        datagram.extend(tag.as_bytes());
        Some(datagram)
    }

    fn verify_signature<'a>(&self, bytes: &'a [u8]) -> Result<(Header, &'a [u8]), DropReason> {
        if bytes.len() < HEADER_BYTES + TAG_BYTES
            || bytes.len() > MAX_DATAGRAM_BYTES
            || bytes[0] != PROTOCOL_VERSION
        {
            return Err(DropReason::Shape);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let id = u32::from_le_bytes([signed[1], signed[2], signed[3], signed[4]]);
        let key = self.keys.all.get(&id).ok_or(DropReason::UnknownKey)?;
        let tag: [u8; TAG_BYTES] = tag.try_into().map_err(|_| DropReason::Shape)?;
        // This comparison takes constant time.
        if blake3::keyed_hash(&key.secret, signed) != blake3::Hash::from_bytes(tag) {
            return Err(DropReason::Forged);
        }
        let from = Member(u16::from_le_bytes([signed[5], signed[6]]));
        let to = Member(u16::from_le_bytes([signed[7], signed[8]]));
        if to != self.me || from == self.me || usize::from(from.0) >= self.peers.len() {
            return Err(DropReason::Stranger);
        }
        let [boot, echo, challenge, number] = [9, 17, 25, 33].map(|at| read_u64(signed, at));
        Ok((Header { from, boot, echo, challenge, number, kind: signed[41] }, &signed[HEADER_BYTES..]))
    }

    /// Verifies and reads a datagram. Even a dropped datagram may need an answer: `reply` is then set to the
    /// member and the datagram to send.
    ///
    /// # Errors
    /// [`DropReason`] says why the datagram is not accepted; nothing of it is kept.
    pub fn verify_datagram<'a>(
        &mut self, now: Micros, bytes: &'a [u8], reply: &mut Option<(Member, Vec<u8>)>,
    ) -> Result<(Member, Body<'a>), DropReason> {
        let (header, body) = self.verify_signature(bytes)?;
        let own_boot = self.boot;
        let new_challenge = self.rng.random_range(1..=u64::MAX);
        let peer = &mut self.peers[usize::from(header.from.0)];
        if header.kind == KIND_HELLO {
            // Only a hello that answers this process counts, not one that answers an earlier process.
            let outdated = header.boot == peer.latest_hello.0 && header.number <= peer.latest_hello.1;
            if body.len() != 16 || read_u64(body, 0) != own_boot || outdated {
                return Err(DropReason::Replayed);
            }
            peer.latest_hello = (header.boot, header.number);
            peer.echo = header.challenge;
            // Sends the datagram again only once: a repeated hello finds nothing to send again.
            if let Some((_, kind, body)) = peer.last_sent.take_if(|last| last.0 == read_u64(body, 8)) {
                *reply =
                    self.build_datagram(header.from, kind, &body).map(|datagram| (header.from, datagram));
            }
            return Err(DropReason::Hello);
        }
        if header.echo != peer.challenge {
            if peer.next_hello_at <= now {
                peer.next_hello_at = now.plus(HELLO_INTERVAL);
                let hello_body = [header.boot.to_le_bytes(), header.number.to_le_bytes()].concat();
                *reply = self
                    .build_datagram(header.from, KIND_HELLO, &hello_body)
                    .map(|hello| (header.from, hello));
            }
            return Err(DropReason::Unproven);
        }
        if peer.boot != Some(header.boot) {
            // Invalidates all challenges of the peer's earlier process: none of its datagrams can be accepted
            // again.
            let had_process = peer.boot.replace(header.boot).is_some();
            peer.window = ReplayWindow::default();
            if had_process {
                peer.challenge = new_challenge;
                peer.echo = header.challenge;
                // The peer could not know the new challenge before its next datagram, so it is sent here. No
                // datagram has the number 0.
                let hello_body = [header.boot.to_le_bytes(), 0u64.to_le_bytes()].concat();
                *reply = self
                    .build_datagram(header.from, KIND_HELLO, &hello_body)
                    .map(|hello| (header.from, hello));
            }
        }
        let peer = &mut self.peers[usize::from(header.from.0)];
        if !peer.window.accept(header.number) {
            return Err(DropReason::Replayed);
        }
        peer.echo = header.challenge;
        match header.kind {
            KIND_SWIM => Ok((header.from, Body::Swim(body))),
            KIND_PAYLOAD => Ok((header.from, Body::Payload(body))),
            _ => Err(DropReason::Senseless),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Member = Member(0);
    const B: Member = Member(1);
    const NOW: Micros = Micros(5_000_000);

    fn keys(sign: u32, ids: &[u32]) -> Keys {
        Keys::new(sign, ids.iter().map(|id| Key { id: *id, secret: [*id as u8; 32] })).unwrap()
    }
    fn pair() -> (Authenticator, Authenticator) {
        (Authenticator::new(A, 3, keys(1, &[1]), 1), Authenticator::new(B, 3, keys(1, &[1]), 2))
    }
    /// Sends one datagram from one side to the other and delivers the hellos that answer it.
    fn deliver(
        from: &mut Authenticator, to: &mut Authenticator, now: Micros,
    ) -> (Result<(), DropReason>, Vec<u8>) {
        let datagram = from.sign_datagram(to.me, Body::Payload(b"x")).unwrap();
        let mut hello = None;
        let read = to.verify_datagram(now, &datagram, &mut hello).map(drop);
        if let Some((receiver, hello)) = hello {
            assert_eq!(receiver, from.me);
            let mut resent = None;
            assert_eq!(from.verify_datagram(now, &hello, &mut resent).map(drop), Err(DropReason::Hello));
            let Some((_, resent)) = resent else { return (read, datagram) };
            let mut unexpected = None;
            let second = to.verify_datagram(now, &resent, &mut unexpected).map(drop);
            // A new process of the sender gets a new challenge at once.
            if let Some((_, new_hello)) = unexpected.take() {
                assert_eq!(
                    from.verify_datagram(now, &new_hello, &mut unexpected).map(drop),
                    Err(DropReason::Hello)
                );
            }
            // A replayed hello triggers nothing more.
            let _ = from.verify_datagram(now, &hello, &mut unexpected);
            assert!(unexpected.is_none());
            return (second, datagram);
        }
        (read, datagram)
    }
    fn established_pair() -> (Authenticator, Authenticator) {
        let (mut a, mut b) = pair();
        assert_eq!(deliver(&mut a, &mut b, NOW).0, Ok(()), "already the first datagram");
        assert_eq!(
            deliver(&mut b, &mut a, NOW).0,
            Ok(()),
            "the first exchange opens the other direction too"
        );
        (a, b)
    }

    #[test]
    fn accepted_datagram_is_not_accepted_again() {
        let (mut a, mut b) = established_pair();
        let (read, datagram) = deliver(&mut a, &mut b, NOW);
        assert_eq!(read, Ok(()));
        assert_eq!(b.verify_datagram(NOW, &datagram, &mut None).map(drop), Err(DropReason::Replayed));
        // Delayed and reordered datagrams are accepted once, if they are not too old.
        let delayed: Vec<_> = (0..130).map(|_| a.sign_datagram(B, Body::Payload(b"x")).unwrap()).collect();
        assert!(b.verify_datagram(NOW, &delayed[129], &mut None).is_ok());
        assert!(b.verify_datagram(NOW, &delayed[3], &mut None).is_ok());
        assert_eq!(b.verify_datagram(NOW, &delayed[3], &mut None).map(drop), Err(DropReason::Replayed));
        assert_eq!(b.verify_datagram(NOW, &delayed[0], &mut None).map(drop), Err(DropReason::Replayed));
    }

    #[test]
    fn restart_of_either_side_invalidates_earlier_datagrams() {
        let (mut a, mut b) = established_pair();
        let recorded: Vec<_> = (0..3).map(|_| a.sign_datagram(B, Body::Payload(b"old")).unwrap()).collect();
        // The receiver restarts, so that it has not seen any number yet.
        let mut restarted_b = Authenticator::new(B, 3, keys(1, &[1]), 9);
        assert_eq!(
            restarted_b.verify_datagram(NOW, &recorded[0], &mut None).map(drop),
            Err(DropReason::Unproven)
        );
        // The sender restarts and proves itself: datagrams of its earlier process that have not arrived are
        // invalid.
        let mut restarted_a = Authenticator::new(A, 3, keys(1, &[1]), 8);
        let later = NOW.plus(HELLO_INTERVAL);
        assert_eq!(deliver(&mut restarted_a, &mut b, later).0, Ok(()));
        assert_eq!(b.verify_datagram(later, &recorded[1], &mut None).map(drop), Err(DropReason::Unproven));
        assert_eq!(deliver(&mut restarted_a, &mut b, later).0, Ok(()), "later datagrams of the new process");
    }

    #[test]
    fn hellos_are_rate_limited() {
        let (mut a, mut b) = pair();
        let datagram = a.sign_datagram(B, Body::Swim(b"x")).unwrap();
        let hellos = (0..1000u64).filter(|i| {
            let mut hello = None;
            let _ = b.verify_datagram(Micros(i * 1000 + 1_000_000), &datagram, &mut hello);
            hello.is_some()
        });
        assert_eq!(hellos.count(), 10, "hellos in one second");
    }

    #[test]
    fn damaged_forged_and_foreign_datagrams_are_dropped_by_reason() {
        let (mut a, mut b) = established_pair();
        let datagram = a.sign_datagram(B, Body::Payload(b"pay")).unwrap();
        let mut read = |datagram: &[u8]| {
            let mut hello = None;
            let result = b.verify_datagram(NOW, datagram, &mut hello).map(drop);
            assert!(hello.is_none());
            result
        };
        for i in 0..datagram.len() {
            let mut damaged = datagram.clone();
            damaged[i] ^= 1;
            let reason = read(&damaged).unwrap_err();
            assert!(
                matches!(reason, DropReason::Forged | DropReason::UnknownKey | DropReason::Shape),
                "{i}: {reason:?}"
            );
            assert!(read(&datagram[..i]).is_err());
        }
        assert_eq!(read(&[datagram.clone(), vec![0; 1400]].concat()), Err(DropReason::Shape));
        let for_another_member =
            Authenticator::new(A, 3, keys(1, &[1]), 3).sign_datagram(Member(2), Body::Swim(b"")).unwrap();
        assert_eq!(read(&for_another_member), Err(DropReason::Stranger));
        let mut unlisted = Authenticator::new(Member(7), 9, keys(1, &[1]), 3);
        assert_eq!(read(&unlisted.sign_datagram(B, Body::Swim(b"")).unwrap()), Err(DropReason::Stranger));
        let wrong_keys = Keys::new(1, [Key { id: 1, secret: [9; 32] }]).unwrap();
        let mut wrong_key_holder = Authenticator::new(A, 3, wrong_keys, 4);
        assert_eq!(
            read(&wrong_key_holder.sign_datagram(B, Body::Swim(b"")).unwrap()),
            Err(DropReason::Forged)
        );
        assert_eq!(read(&datagram), Ok(()), "the dropped datagrams changed nothing");
        assert!(a.sign_datagram(B, Body::Swim(&[0; MAX_PAYLOAD_BYTES + 1])).is_none());
    }

    /// Keys are changed at one member after the other: first all learn the new key, then all sign with it,
    /// then the old key is removed.
    #[test]
    fn key_rotation_loses_no_datagram() {
        let (mut a, mut b) = established_pair();
        let both = |a: &mut Authenticator, b: &mut Authenticator| {
            assert_eq!(deliver(a, b, NOW).0, Ok(()));
            assert_eq!(deliver(b, a, NOW).0, Ok(()));
        };
        for step in [keys(1, &[1, 2]), keys(2, &[1, 2]), keys(2, &[2])] {
            a.rekey(step.clone());
            both(&mut a, &mut b);
            b.rekey(step);
            both(&mut a, &mut b);
        }
        let datagram = a.sign_datagram(B, Body::Payload(b"x")).unwrap();
        b.rekey(keys(3, &[3]));
        assert_eq!(b.verify_datagram(NOW, &datagram, &mut None).map(drop), Err(DropReason::UnknownKey));
    }
}
