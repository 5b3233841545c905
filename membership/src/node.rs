//! The failure detector over sealed datagrams.

use crate::authenticator::{Authenticator, Body, DropReason, Keys};
use crate::{Life, PAYLOAD_MOST};
use foca::{Foca, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// While members of the list are not seen, one of them is greeted this often, and more while nobody is. It brings
/// members together at a start and heals a split: who is greeted by one it believes dead tells it so, and it lives anew.
const GREET_ALONE: usize = 2;
const GREET_EVERY: Micros = Micros(500_000);
/// Alone for so long although others are heard: they take this for an older life of itself.
const SHUNNED: Micros = Micros(3_000_000);

/// How fast members look after each other.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DetectorTiming {
    /// Each member probes another one this often.
    pub probe_interval: Micros,
    /// An answer that takes longer is asked for through others. Less than half of the period.
    pub probe_timeout: Micros,
    /// A member that no probe reaches has so long to contradict.
    pub suspicion_timeout: Micros,
}

impl Default for DetectorTiming {
    fn default() -> DetectorTiming {
        DetectorTiming {
            probe_interval: Micros(500_000),
            probe_timeout: Micros(200_000),
            suspicion_timeout: Micros(1_000_000),
        }
    }
}

/// What a member starts with.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This member.
    pub me: Member,
    /// How many there are.
    pub member_count: u16,
    /// To sign and to verify with.
    pub keys: Keys,
    /// How fast.
    pub timing: DetectorTiming,
}

/// Something for the caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Output {
    /// Send these bytes to the address of a member.
    Datagram {
        /// Whose.
        to: Member,
        /// What.
        bytes: Vec<u8>,
    },
    /// A member has sent this with [`Membership::send`].
    Payload {
        /// Who.
        from: Member,
        /// What.
        bytes: Vec<u8>,
    },
    /// It is seen alive now.
    Up(Member),
    /// It is not any more.
    Down(Member),
}

/// What was sent and dropped since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams believed, and their bytes.
    pub believed: (u64, u64),
    /// Datagrams dropped, by reason.
    pub refused: BTreeMap<DropReason, u64>,
}

struct Ground<'a> {
    now: Micros,
    seal: &'a mut Authenticator,
    out: &'a mut VecDeque<Output>,
    timers: &'a mut BTreeMap<(Micros, u64), Timer<Life>>,
    serial: &'a mut u64,
    counts: &'a mut Counts,
}

impl Runtime<Life> for Ground<'_> {
    fn notify(&mut self, n: Notification<'_, Life>) {
        match n {
            Notification::MemberUp(l) => self.out.push_back(Output::Up(l.member)),
            Notification::MemberDown(l) => self.out.push_back(Output::Down(l.member)),
            _ => {}
        }
    }
    fn send_to(&mut self, to: Life, data: &[u8]) {
        if let Some(bytes) = self.seal.sign_datagram(to.member, Body::Swim(data)) {
            self.counts.sent.0 += 1;
            self.counts.sent.1 += bytes.len() as u64;
            self.out.push_back(Output::Datagram { to: to.member, bytes });
        }
    }
    fn submit_after(&mut self, event: Timer<Life>, after: Duration) {
        *self.serial += 1;
        let at = self.now.plus(Micros(after.as_micros() as u64));
        self.timers.insert((at, *self.serial), event);
    }
}

/// One member's view of all.
pub struct Membership {
    me: Member,
    members: u16,
    foca: Foca<Life, PostcardCodec, StdRng, NoCustomBroadcast>,
    seal: Authenticator,
    out: VecDeque<Output>,
    timers: BTreeMap<(Micros, u64), Timer<Life>>,
    serial: u64,
    counts: Counts,
    greet_at: Micros,
    greeted: u16,
    /// Since when nobody is seen, and whether a datagram was believed since.
    alone: Option<(Micros, bool)>,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Membership")
            .field("me", &self.me)
            .field("alive", &self.alive())
            .finish_non_exhaustive()
    }
}

fn duration(m: Micros) -> Duration {
    Duration::from_micros(m.0)
}

fn config(members: u16, tempo: DetectorTiming) -> foca::Config {
    let some = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let often = |at, n| Some(PeriodicParams { frequency: duration(at), num_members: some(n) });
    // What is new is passed on to so many that all have it with a probability that no size changes.
    let spread = 3 * (u32::from(members).max(2).ilog2() as u8 + 1);
    foca::Config {
        probe_period: duration(tempo.probe_interval),
        probe_rtt: duration(tempo.probe_timeout),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(spread).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(tempo.suspicion_timeout),
        remove_down_after: Some(Duration::from_secs(20)),
        max_packet_size: some(PAYLOAD_MOST),
        notify_down_members: true,
        periodic_announce: None,
        // `greet` does it, for those too that were never seen.
        periodic_announce_to_down_members: None,
        periodic_gossip: often(tempo.probe_interval, 2),
    }
}

impl Membership {
    /// A member that starts now. `life` is the wall clock in microseconds, `entropy` a number from the system's source
    /// of chance.
    #[must_use]
    pub fn new(settings: MembershipSettings, life: u64, entropy: u64, now: Micros) -> Membership {
        let MembershipSettings { me, member_count: members, keys, timing: tempo } = settings;
        let seal = Authenticator::new(me, members, keys, entropy);
        let dice = StdRng::seed_from_u64(entropy ^ 0x9e37_79b9_7f4a_7c15);
        let identity = Life { member: me, number: life };
        Membership {
            me,
            members,
            foca: Foca::new(identity, config(members, tempo), dice, PostcardCodec),
            seal,
            out: VecDeque::new(),
            timers: BTreeMap::new(),
            serial: 0,
            counts: Counts::default(),
            greet_at: now,
            greeted: me.0,
            alone: Some((now, false)),
        }
    }

    /// Other keys from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.seal.rekey(keys);
    }

    /// This member.
    #[must_use]
    pub fn me(&self) -> Member {
        self.me
    }

    /// A number that no other process of any member has.
    #[must_use]
    pub fn boot_id(&self) -> u64 {
        self.seal.boot()
    }

    /// Who is seen alive, this member included.
    #[must_use]
    pub fn alive(&self) -> BTreeSet<Member> {
        self.foca.iter_members().map(|m| m.id().member).chain([self.me]).collect()
    }

    /// What was sent and dropped.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The next thing for the caller.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When [`Membership::tick`] is due.
    #[must_use]
    pub fn due(&self) -> Micros {
        let timer = self.timers.first_key_value().map(|(at, _)| at.0);
        let missing = self.foca.num_members() + 1 < usize::from(self.members);
        timer.into_iter().chain(missing.then_some(self.greet_at)).min().unwrap_or(Micros(u64::MAX))
    }

    fn act(
        &mut self, now: Micros,
        what: impl FnOnce(
            &mut Foca<Life, PostcardCodec, StdRng, NoCustomBroadcast>,
            &mut Ground<'_>,
        ) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let Membership { foca, seal, out, timers, serial, counts, .. } = self;
        let done = what(foca, &mut Ground { now, seal, out, timers, serial, counts });
        let alone = self.foca.num_members() == 0;
        self.alone = if alone { Some(self.alone.unwrap_or((now, false))) } else { None };
        done
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // An error here tells of a timer that came late; foca goes on with the next cycle by itself.
            let _ = self.act(now, |foca, ground| foca.handle_timer(timer, ground));
        }
        if let Some((since, true)) = self.alone
            && now.since(since) > SHUNNED
        {
            let next = self.foca.identity().next();
            self.alone = Some((now, false));
            let _ = self.act(now, |foca, ground| foca.change_identity(next, ground));
        }
        if now >= self.greet_at {
            self.greet_at = now.plus(GREET_EVERY);
            self.greet(now);
        }
    }

    fn greet(&mut self, now: Micros) {
        let alive = self.alive();
        let many = if self.alone.is_some() { GREET_ALONE } else { 1 };
        let after = (1..self.members).map(|i| (self.greeted + i) % self.members);
        let missing = after.filter(|m| !alive.contains(&Member(*m)) && *m != self.me.0);
        for m in missing.take(many).collect::<Vec<_>>() {
            self.greeted = m;
            let to = Life { member: Member(m), number: 0 };
            let _ = self.act(now, |foca, ground| foca.announce(to, ground));
        }
    }

    /// Sends bytes to another member, which may be lost. False if they are too many.
    pub fn send(&mut self, to: Member, payload: &[u8]) -> bool {
        let Some(bytes) = self.seal.sign_datagram(to, Body::Payload(payload)) else { return false };
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.out.push_back(Output::Datagram { to, bytes });
        true
    }

    /// Takes a datagram, whoever sent it.
    ///
    /// # Errors
    /// [`Refused`]: it was dropped and counted, and cost no state.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) -> Result<(), DropReason> {
        let mut reply = None;
        let read = self.seal.verify_datagram(now, datagram, &mut reply);
        if let Some((to, bytes)) = reply {
            self.counts.sent.0 += 1;
            self.counts.sent.1 += bytes.len() as u64;
            self.out.push_back(Output::Datagram { to, bytes });
        }
        let taken = match read {
            Ok((from, Body::Payload(bytes))) => {
                self.out.push_back(Output::Payload { from, bytes: bytes.to_vec() });
                Ok(())
            }
            Ok((_, Body::Swim(data))) => {
                if let Some((_, heard)) = &mut self.alone {
                    *heard = true;
                }
                match self.act(now, |foca, ground| foca.handle_data(data, ground)) {
                    // Signed by a member, and yet no message: another version of it.
                    Err(foca::Error::Decode(_) | foca::Error::MalformedPacket) => Err(DropReason::Senseless),
                    _ => Ok(()),
                }
            }
            Err(why) => Err(why),
        };
        match taken {
            Ok(()) => {
                self.counts.believed.0 += 1;
                self.counts.believed.1 += datagram.len() as u64;
            }
            Err(why) => *self.counts.refused.entry(why).or_default() += 1,
        }
        taken
    }

    /// Tells the others that this member goes.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.act(now, |foca, ground| foca.leave_cluster(ground));
    }
}
