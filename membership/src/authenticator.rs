//! Datagrams that only members can have made, each believed once.
//!
//! ```text
//! version 1 | key 4 | from 2 | to 2 | boot 8 | echo 8 | give 8 | number 8 | kind 1 | body | keyed BLAKE3 32
//! ```
//!
//! `boot` names the sending process. `give` is a challenge that its receiver has to echo in all it sends back, and
//! `echo` is the one that the sender was given. What echoes the present challenge was made after that was given out, so
//! nothing recorded earlier is believed; within that time `number` may come once. When another process of a member
//! proves itself, the challenge for that member changes, and with it all that the process before had sent is void. A
//! datagram that proves nothing is answered by a hello, ten a second at most, which gives the challenge and names what
//! it answers: if that was the last one sent there, it is sent once more, so that the first word between two is not lost.

use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// The longest datagram, in bytes: fits a usual Ethernet frame.
pub const DATAGRAM_MOST: usize = 1400;
const HEAD: usize = 42;
const TAG: usize = 32;
/// The longest body of a datagram.
pub const PAYLOAD_MOST: usize = DATAGRAM_MOST - HEAD - TAG;
const VERSION: u8 = 1;
/// Between two hellos to one member.
const HELLO_GAP: Micros = Micros(100_000);

/// A key that members share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Its number on the wire.
    pub id: u32,
    /// Its 32 bytes.
    pub secret: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

/// The keys of a member: one signs, all are believed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Keys {
    sign: u32,
    all: BTreeMap<u32, Key>,
}

/// The key to sign with is not among those given.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MissingSigningKey;

impl Keys {
    /// # Errors
    /// [`NoKey`] where `sign` is none of them.
    pub fn new(sign: u32, keys: impl IntoIterator<Item = Key>) -> Result<Keys, MissingSigningKey> {
        let all: BTreeMap<_, _> = keys.into_iter().map(|k| (k.id, k)).collect();
        if all.contains_key(&sign) { Ok(Keys { sign, all }) } else { Err(MissingSigningKey) }
    }

    /// The one that signs.
    #[must_use]
    pub fn signing_key_id(&self) -> u32 {
        self.sign
    }

    /// So many are believed.
    #[must_use]
    pub fn accepted_count(&self) -> usize {
        self.all.len()
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum DropReason {
    /// Shorter or longer than any of ours, or of another version.
    Shape,
    /// Signed with a key that is not held.
    UnknownKey,
    /// Its tag is wrong: made or changed by somebody without the key.
    Forged,
    /// From a member that the list does not name, or to another than this one.
    Stranger,
    /// It does not echo the present challenge: an old one, or from a process that was not greeted yet.
    Unproven,
    /// It came before.
    Replayed,
    /// It only gave a challenge; nothing is wrong with it.
    Hello,
    /// It is signed rightly and makes no sense.
    Senseless,
}

/// What a datagram carries.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Body<'a> {
    /// Of the failure detector.
    Swim(&'a [u8]),
    /// Of whoever uses the membership.
    Payload(&'a [u8]),
}

/// Numbers of one process that have come: the highest, and which of the 128 below it.
#[derive(Clone, Debug, Default)]
struct Window {
    highest: u64,
    seen: u128,
}

impl Window {
    fn fresh(&mut self, number: u64) -> bool {
        if number > self.highest {
            let by = number - self.highest;
            self.seen = if by < 128 { self.seen << by } else { 0 } | 1;
            self.highest = number;
            return true;
        }
        let back = self.highest - number;
        if back >= 128 || self.seen >> back & 1 == 1 {
            return false;
        }
        self.seen |= 1 << back;
        true
    }
}

#[derive(Clone, Debug)]
struct Peer {
    /// What it has to echo.
    challenge: u64,
    /// What it wants echoed; nothing until it was heard.
    echo: u64,
    boot: Option<u64>,
    window: Window,
    hello_at: Micros,
    /// The process and the number of its latest hello: an older one would take the challenge back.
    hello: (u64, u64),
    /// The last datagram to it: number, kind and body.
    last: Option<(u64, u8, Vec<u8>)>,
}

/// Signs what one process sends and judges what it is sent.
#[derive(Debug)]
pub struct Authenticator {
    me: Member,
    keys: Keys,
    boot: u64,
    number: u64,
    peers: Vec<Peer>,
    dice: StdRng,
}

struct Head {
    from: Member,
    boot: u64,
    echo: u64,
    give: u64,
    number: u64,
    kind: u8,
}

const HELLO: u8 = 0;
const SWIM: u8 = 1;
const PAYLOAD: u8 = 2;

fn num(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

impl Authenticator {
    /// For the member `me` of so many. All chance comes from `entropy`, which no other process may ever have had.
    #[must_use]
    pub fn new(me: Member, members: u16, keys: Keys, entropy: u64) -> Authenticator {
        let mut dice = StdRng::seed_from_u64(entropy);
        let peer = |dice: &mut StdRng| Peer {
            challenge: dice.random_range(1..=u64::MAX),
            echo: 0,
            boot: None,
            window: Window::default(),
            hello_at: Micros(0),
            hello: (0, 0),
            last: None,
        };
        let peers = (0..members).map(|_| peer(&mut dice)).collect();
        Authenticator { me, keys, boot: dice.random(), number: 0, peers, dice }
    }

    /// Other keys from now on. What is on its way under a key that is not among them is lost.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// This process.
    #[must_use]
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// A datagram to a member. None if the body is too long, or the member unknown.
    pub fn sign_datagram(&mut self, to: Member, body: Body) -> Option<Vec<u8>> {
        let (kind, body) = match body {
            Body::Swim(b) => (SWIM, b),
            Body::Payload(b) => (PAYLOAD, b),
        };
        let frame = self.frame(to, kind, body)?;
        let number = self.number;
        self.peers.get_mut(usize::from(to.0))?.last = Some((number, kind, body.to_vec()));
        Some(frame)
    }

    fn frame(&mut self, to: Member, kind: u8, body: &[u8]) -> Option<Vec<u8>> {
        let peer =
            self.peers.get(usize::from(to.0)).filter(|_| to != self.me && body.len() <= PAYLOAD_MOST)?;
        let key = self.keys.all.get(&self.keys.sign)?;
        self.number += 1;
        let mut out = Vec::with_capacity(HEAD + body.len() + TAG);
        out.push(VERSION);
        out.extend(key.id.to_le_bytes());
        out.extend(self.me.0.to_le_bytes());
        out.extend(to.0.to_le_bytes());
        for n in [self.boot, peer.echo, peer.challenge, self.number] {
            out.extend(n.to_le_bytes());
        }
        out.push(kind);
        out.extend(body);
        let tag = blake3::keyed_hash(&key.secret, &out);
        out.extend(tag.as_bytes());
        Some(out)
    }

    fn open<'a>(&self, bytes: &'a [u8]) -> Result<(Head, &'a [u8]), DropReason> {
        if bytes.len() < HEAD + TAG || bytes.len() > DATAGRAM_MOST || bytes[0] != VERSION {
            return Err(DropReason::Shape);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG);
        let id = u32::from_le_bytes([signed[1], signed[2], signed[3], signed[4]]);
        let key = self.keys.all.get(&id).ok_or(DropReason::UnknownKey)?;
        let tag: [u8; TAG] = tag.try_into().map_err(|_| DropReason::Shape)?;
        // Compared in constant time.
        if blake3::keyed_hash(&key.secret, signed) != blake3::Hash::from_bytes(tag) {
            return Err(DropReason::Forged);
        }
        let from = Member(u16::from_le_bytes([signed[5], signed[6]]));
        let to = Member(u16::from_le_bytes([signed[7], signed[8]]));
        if to != self.me || from == self.me || usize::from(from.0) >= self.peers.len() {
            return Err(DropReason::Stranger);
        }
        let [boot, echo, give, number] = [9, 17, 25, 33].map(|at| num(signed, at));
        Ok((Head { from, boot, echo, give, number, kind: signed[41] }, &signed[HEAD..]))
    }

    /// Reads a datagram. What was refused may have to be answered: `reply` is set to what to send, and to whom.
    ///
    /// # Errors
    /// [`Refused`] says why it is not believed; nothing is kept of it.
    pub fn verify_datagram<'a>(
        &mut self, now: Micros, bytes: &'a [u8], reply: &mut Option<(Member, Vec<u8>)>,
    ) -> Result<(Member, Body<'a>), DropReason> {
        let (head, body) = self.open(bytes)?;
        let own = self.boot;
        let fresh_challenge = self.dice.random_range(1..=u64::MAX);
        let peer = &mut self.peers[usize::from(head.from.0)];
        if head.kind == HELLO {
            // It answers this very process: one to an earlier life says nothing.
            let old = head.boot == peer.hello.0 && head.number <= peer.hello.1;
            if body.len() != 16 || num(body, 0) != own || old {
                return Err(DropReason::Replayed);
            }
            peer.hello = (head.boot, head.number);
            peer.echo = head.give;
            // Once: a hello that comes again finds nothing to repeat.
            if let Some((_, kind, body)) = peer.last.take_if(|l| l.0 == num(body, 8)) {
                *reply = self.frame(head.from, kind, &body).map(|f| (head.from, f));
            }
            return Err(DropReason::Hello);
        }
        if head.echo != peer.challenge {
            if peer.hello_at <= now {
                peer.hello_at = now.plus(HELLO_GAP);
                let answered = [head.boot.to_le_bytes(), head.number.to_le_bytes()].concat();
                *reply = self.frame(head.from, HELLO, &answered).map(|h| (head.from, h));
            }
            return Err(DropReason::Unproven);
        }
        if peer.boot != Some(head.boot) {
            // All that its last life was given is void now: nothing of it can come again.
            let known = peer.boot.replace(head.boot).is_some();
            peer.window = Window::default();
            if known {
                peer.challenge = fresh_challenge;
                peer.echo = head.give;
                // It could not know the new challenge before its next word. No datagram has the number 0.
                let given = [head.boot.to_le_bytes(), 0u64.to_le_bytes()].concat();
                *reply = self.frame(head.from, HELLO, &given).map(|h| (head.from, h));
            }
        }
        let peer = &mut self.peers[usize::from(head.from.0)];
        if !peer.window.fresh(head.number) {
            return Err(DropReason::Replayed);
        }
        peer.echo = head.give;
        match head.kind {
            SWIM => Ok((head.from, Body::Swim(body))),
            PAYLOAD => Ok((head.from, Body::Payload(body))),
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
    /// Sends once from one to the other, and hellos back.
    fn pass(
        from: &mut Authenticator, to: &mut Authenticator, now: Micros,
    ) -> (Result<(), DropReason>, Vec<u8>) {
        let d = from.sign_datagram(to.me, Body::Payload(b"x")).unwrap();
        let mut hello = None;
        let read = to.verify_datagram(now, &d, &mut hello).map(drop);
        if let Some((back, h)) = hello {
            assert_eq!(back, from.me);
            let mut again = None;
            assert_eq!(from.verify_datagram(now, &h, &mut again).map(drop), Err(DropReason::Hello));
            let Some((_, again)) = again else { return (read, d) };
            let mut none = None;
            let second = to.verify_datagram(now, &again, &mut none).map(drop);
            // Another life has another challenge, given at once.
            if let Some((_, given)) = none.take() {
                assert_eq!(from.verify_datagram(now, &given, &mut none).map(drop), Err(DropReason::Hello));
            }
            // The hello, replayed, draws nothing more.
            let _ = from.verify_datagram(now, &h, &mut none);
            assert!(none.is_none());
            return (second, d);
        }
        (read, d)
    }
    fn greeted() -> (Authenticator, Authenticator) {
        let (mut a, mut b) = pair();
        assert_eq!(pass(&mut a, &mut b, NOW).0, Ok(()), "the first word already");
        assert_eq!(pass(&mut b, &mut a, NOW).0, Ok(()), "the other way is open with it");
        (a, b)
    }

    #[test]
    fn what_was_believed_is_not_believed_again() {
        let (mut a, mut b) = greeted();
        let (read, d) = pass(&mut a, &mut b, NOW);
        assert_eq!(read, Ok(()));
        assert_eq!(b.verify_datagram(NOW, &d, &mut None).map(drop), Err(DropReason::Replayed));
        // Late ones and those out of order are, once, if they are not too late.
        let late: Vec<_> = (0..130).map(|_| a.sign_datagram(B, Body::Payload(b"x")).unwrap()).collect();
        assert!(b.verify_datagram(NOW, &late[129], &mut None).is_ok());
        assert!(b.verify_datagram(NOW, &late[3], &mut None).is_ok());
        assert_eq!(b.verify_datagram(NOW, &late[3], &mut None).map(drop), Err(DropReason::Replayed));
        assert_eq!(b.verify_datagram(NOW, &late[0], &mut None).map(drop), Err(DropReason::Replayed));
    }

    #[test]
    fn nothing_of_an_earlier_life_is_believed_by_or_from_one_that_has_restarted() {
        let (mut a, mut b) = greeted();
        let kept: Vec<_> = (0..3).map(|_| a.sign_datagram(B, Body::Payload(b"old")).unwrap()).collect();
        // The receiver restarts: it has seen no number yet.
        let mut b2 = Authenticator::new(B, 3, keys(1, &[1]), 9);
        assert_eq!(b2.verify_datagram(NOW, &kept[0], &mut None).map(drop), Err(DropReason::Unproven));
        // The sender restarts, and proves itself: what its last life had sent and never came is void.
        let mut a2 = Authenticator::new(A, 3, keys(1, &[1]), 8);
        let later = NOW.plus(HELLO_GAP);
        assert_eq!(pass(&mut a2, &mut b, later).0, Ok(()));
        assert_eq!(b.verify_datagram(later, &kept[1], &mut None).map(drop), Err(DropReason::Unproven));
        assert_eq!(pass(&mut a2, &mut b, later).0, Ok(()), "and it goes on");
    }

    #[test]
    fn hellos_are_bounded_and_answer_members_alone() {
        let (mut a, mut b) = pair();
        let d = a.sign_datagram(B, Body::Swim(b"x")).unwrap();
        let hellos = (0..1000u64).filter(|i| {
            let mut hello = None;
            let _ = b.verify_datagram(Micros(i * 1000 + 1_000_000), &d, &mut hello);
            hello.is_some()
        });
        assert_eq!(hellos.count(), 10, "in a second");
    }

    #[test]
    fn damage_forgery_and_strangers_are_told_apart() {
        let (mut a, mut b) = greeted();
        let d = a.sign_datagram(B, Body::Payload(b"pay")).unwrap();
        let mut read = |d: &[u8]| {
            let mut hello = None;
            let r = b.verify_datagram(NOW, d, &mut hello).map(drop);
            assert!(hello.is_none());
            r
        };
        for i in 0..d.len() {
            let mut bad = d.clone();
            bad[i] ^= 1;
            let why = read(&bad).unwrap_err();
            assert!(
                matches!(why, DropReason::Forged | DropReason::UnknownKey | DropReason::Shape),
                "{i}: {why:?}"
            );
            assert!(read(&d[..i]).is_err());
        }
        assert_eq!(read(&[d.clone(), vec![0; 1400]].concat()), Err(DropReason::Shape));
        let other =
            Authenticator::new(A, 3, keys(1, &[1]), 3).sign_datagram(Member(2), Body::Swim(b"")).unwrap();
        assert_eq!(read(&other), Err(DropReason::Stranger));
        let mut nobody = Authenticator::new(Member(7), 9, keys(1, &[1]), 3);
        assert_eq!(read(&nobody.sign_datagram(B, Body::Swim(b"")).unwrap()), Err(DropReason::Stranger));
        let wrong = Keys::new(1, [Key { id: 1, secret: [9; 32] }]).unwrap();
        let mut wrong = Authenticator::new(A, 3, wrong, 4);
        assert_eq!(read(&wrong.sign_datagram(B, Body::Swim(b"")).unwrap()), Err(DropReason::Forged));
        assert_eq!(read(&d), Ok(()), "nothing of all that changed anything");
        assert!(a.sign_datagram(B, Body::Swim(&[0; PAYLOAD_MOST + 1])).is_none());
    }

    /// Keys change one member after the other: first all learn the new one, then all sign with it, then the old goes.
    #[test]
    fn keys_rotate_without_a_datagram_lost() {
        let (mut a, mut b) = greeted();
        let both = |a: &mut Authenticator, b: &mut Authenticator| {
            assert_eq!(pass(a, b, NOW).0, Ok(()));
            assert_eq!(pass(b, a, NOW).0, Ok(()));
        };
        for step in [keys(1, &[1, 2]), keys(2, &[1, 2]), keys(2, &[2])] {
            a.rekey(step.clone());
            both(&mut a, &mut b);
            b.rekey(step);
            both(&mut a, &mut b);
        }
        let d = a.sign_datagram(B, Body::Payload(b"x")).unwrap();
        b.rekey(keys(3, &[3]));
        assert_eq!(b.verify_datagram(NOW, &d, &mut None).map(drop), Err(DropReason::UnknownKey));
    }
}
