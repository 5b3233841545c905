//! The failure detector, over authenticated datagrams.

use crate::authenticator::{Authenticator, Body, DropReason, Keys};
use crate::{Incarnation, MAX_PAYLOAD_BYTES};
use foca::{Foca, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Announcements sent at a time while no other member is seen alive; otherwise one is sent.
const ISOLATED_ANNOUNCEMENTS: usize = 2;
/// How often a member announces itself to members of the list that it does not see. This brings members
/// together at a start and heals a partition: a member that is believed dead learns so from the receiver and
/// starts a new incarnation.
const ANNOUNCE_INTERVAL: Micros = Micros(500_000);
/// How long a member may be isolated, although it receives datagrams, before it starts a new incarnation: the
/// other members then take it for an older incarnation of itself.
const ISOLATION_TIMEOUT: Micros = Micros(3_000_000);

/// The timing of the failure detector.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DetectorTiming {
    /// How often each member probes another one.
    pub probe_interval: Micros,
    /// How long a direct probe may take before the member is probed through others. Less than half of the
    /// probe interval.
    pub probe_timeout: Micros,
    /// How long a member that no probe reaches has to refute the suspicion.
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

/// The settings of a member.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This member.
    pub me: Member,
    /// The number of members in the list.
    pub member_count: u16,
    /// The keys to sign and to verify with.
    pub keys: Keys,
    /// The timing of the failure detector.
    pub timing: DetectorTiming,
}

/// An event or an action for the caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Output {
    /// Send these bytes to the address of a member.
    Datagram {
        /// The receiving member.
        to: Member,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Another member has sent this payload with [`Membership::send`].
    Payload {
        /// The sending member.
        from: Member,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// The member is seen alive now.
    Up(Member),
    /// The member is not seen alive any more.
    Down(Member),
}

/// Counts of datagrams since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams accepted, and their bytes.
    pub accepted: (u64, u64),
    /// Datagrams dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

struct FocaRuntime<'a> {
    now: Micros,
    authenticator: &'a mut Authenticator,
    outputs: &'a mut VecDeque<Output>,
    timers: &'a mut BTreeMap<(Micros, u64), Timer<Incarnation>>,
    timer_sequence: &'a mut u64,
    counts: &'a mut DatagramCounts,
}

impl Runtime<Incarnation> for FocaRuntime<'_> {
    fn notify(&mut self, notification: Notification<'_, Incarnation>) {
        match notification {
            Notification::MemberUp(identity) => self.outputs.push_back(Output::Up(identity.member)),
            Notification::MemberDown(identity) => self.outputs.push_back(Output::Down(identity.member)),
            _ => {}
        }
    }
    fn send_to(&mut self, to: Incarnation, data: &[u8]) {
        if let Some(bytes) = self.authenticator.sign_datagram(to.member, Body::Swim(data)) {
            self.counts.sent.0 += 1;
            self.counts.sent.1 += bytes.len() as u64;
            self.outputs.push_back(Output::Datagram { to: to.member, bytes });
        }
    }
    fn submit_after(&mut self, event: Timer<Incarnation>, after: Duration) {
        *self.timer_sequence += 1;
        let due = self.now.plus(Micros(after.as_micros() as u64));
        self.timers.insert((due, *self.timer_sequence), event);
    }
}

/// One member's view of all members.
pub struct Membership {
    me: Member,
    members: u16,
    foca: Foca<Incarnation, PostcardCodec, StdRng, NoCustomBroadcast>,
    authenticator: Authenticator,
    outputs: VecDeque<Output>,
    timers: BTreeMap<(Micros, u64), Timer<Incarnation>>,
    timer_sequence: u64,
    counts: DatagramCounts,
    next_announcement: Micros,
    last_announced: u16,
    /// Since when no other member is seen alive, and whether a datagram has been accepted since.
    isolated: Option<(Micros, bool)>,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Membership")
            .field("me", &self.me)
            .field("alive", &self.alive())
            .finish_non_exhaustive()
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

fn foca_config(members: u16, timing: DetectorTiming) -> foca::Config {
    let non_zero = |count| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    let periodic = |interval, count| {
        Some(PeriodicParams { frequency: duration(interval), num_members: non_zero(count) })
    };
    // Each update is sent often enough to reach all members with a probability that does not depend on their
    // number.
    let transmissions = 3 * (u32::from(members).max(2).ilog2() as u8 + 1);
    foca::Config {
        probe_period: duration(timing.probe_interval),
        probe_rtt: duration(timing.probe_timeout),
        num_indirect_probes: non_zero(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(timing.suspicion_timeout),
        remove_down_after: Some(Duration::from_secs(20)),
        max_packet_size: non_zero(MAX_PAYLOAD_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        // `announce_to_missing` does this, also for members that were never seen.
        periodic_announce_to_down_members: None,
        periodic_gossip: periodic(timing.probe_interval, 2),
    }
}

impl Membership {
    /// Creates a member that starts now. `incarnation` is the wall clock in microseconds, `entropy` a number
    /// from the system's random source.
    #[must_use]
    pub fn new(settings: MembershipSettings, incarnation: u64, entropy: u64, now: Micros) -> Membership {
        let MembershipSettings { me, member_count: members, keys, timing } = settings;
        let authenticator = Authenticator::new(me, members, keys, entropy);
        let rng = StdRng::seed_from_u64(entropy ^ 0x9e37_79b9_7f4a_7c15);
        let identity = Incarnation { member: me, number: incarnation };
        Membership {
            me,
            members,
            foca: Foca::new(identity, foca_config(members, timing), rng, PostcardCodec),
            authenticator,
            outputs: VecDeque::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            counts: DatagramCounts::default(),
            next_announcement: now,
            last_announced: me.0,
            isolated: Some((now, false)),
        }
    }

    /// Replaces the keys.
    pub fn rekey(&mut self, keys: Keys) {
        self.authenticator.rekey(keys);
    }

    /// This member.
    #[must_use]
    pub fn me(&self) -> Member {
        self.me
    }

    /// A number that no other process of any member has.
    #[must_use]
    pub fn boot_id(&self) -> u64 {
        self.authenticator.boot_id()
    }

    /// The members that are seen alive, including this one.
    #[must_use]
    pub fn alive(&self) -> BTreeSet<Member> {
        self.foca.iter_members().map(|m| m.id().member).chain([self.me]).collect()
    }

    /// Counts of datagrams since the start.
    #[must_use]
    pub fn counts(&self) -> &DatagramCounts {
        &self.counts
    }

    /// Returns the next output for the caller.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Membership::tick`] is due.
    #[must_use]
    pub fn due(&self) -> Micros {
        let timer = self.timers.first_key_value().map(|(at, _)| at.0);
        let missing = self.foca.num_members() + 1 < usize::from(self.members);
        timer.into_iter().chain(missing.then_some(self.next_announcement)).min().unwrap_or(Micros(u64::MAX))
    }

    fn with_foca(
        &mut self, now: Micros,
        operation: impl FnOnce(
            &mut Foca<Incarnation, PostcardCodec, StdRng, NoCustomBroadcast>,
            &mut FocaRuntime<'_>,
        ) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let Membership { foca, authenticator, outputs, timers, timer_sequence, counts, .. } = self;
        let result =
            operation(foca, &mut FocaRuntime { now, authenticator, outputs, timers, timer_sequence, counts });
        let isolated = self.foca.num_members() == 0;
        self.isolated = if isolated { Some(self.isolated.unwrap_or((now, false))) } else { None };
        result
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Micros) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // An error here reports a timer that ran late; foca continues with the next cycle by itself.
            let _ = self.with_foca(now, |foca, runtime| foca.handle_timer(timer, runtime));
        }
        if let Some((since, true)) = self.isolated
            && now.since(since) > ISOLATION_TIMEOUT
        {
            let successor = self.foca.identity().successor();
            self.isolated = Some((now, false));
            let _ = self.with_foca(now, |foca, runtime| foca.change_identity(successor, runtime));
        }
        if now >= self.next_announcement {
            self.next_announcement = now.plus(ANNOUNCE_INTERVAL);
            self.announce_to_missing(now);
        }
    }

    fn announce_to_missing(&mut self, now: Micros) {
        let alive = self.alive();
        let count = if self.isolated.is_some() { ISOLATED_ANNOUNCEMENTS } else { 1 };
        let candidates = (1..self.members).map(|i| (self.last_announced + i) % self.members);
        let missing = candidates.filter(|m| !alive.contains(&Member(*m)) && *m != self.me.0);
        for index in missing.take(count).collect::<Vec<_>>() {
            self.last_announced = index;
            let to = Incarnation { member: Member(index), number: 0 };
            let _ = self.with_foca(now, |foca, runtime| foca.announce(to, runtime));
        }
    }

    /// Sends a payload to another member; it may be lost. Returns false if the payload is too long or the
    /// member unknown.
    pub fn send(&mut self, to: Member, payload: &[u8]) -> bool {
        let Some(bytes) = self.authenticator.sign_datagram(to, Body::Payload(payload)) else { return false };
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.outputs.push_back(Output::Datagram { to, bytes });
        true
    }

    /// Processes a datagram from any sender.
    ///
    /// # Errors
    /// [`DropReason`]: the datagram was dropped and counted; it changed no other state.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) -> Result<(), DropReason> {
        let mut reply = None;
        let verified = self.authenticator.verify_datagram(now, datagram, &mut reply);
        if let Some((to, bytes)) = reply {
            self.counts.sent.0 += 1;
            self.counts.sent.1 += bytes.len() as u64;
            self.outputs.push_back(Output::Datagram { to, bytes });
        }
        let result = match verified {
            Ok((from, Body::Payload(bytes))) => {
                self.outputs.push_back(Output::Payload { from, bytes: bytes.to_vec() });
                Ok(())
            }
            Ok((_, Body::Swim(data))) => {
                if let Some((_, received)) = &mut self.isolated {
                    *received = true;
                }
                match self.with_foca(now, |foca, runtime| foca.handle_data(data, runtime)) {
                    // The datagram is signed by a member but cannot be decoded: the member runs another
                    // version.
                    Err(foca::Error::Decode(_) | foca::Error::MalformedPacket) => Err(DropReason::Senseless),
                    _ => Ok(()),
                }
            }
            Err(reason) => Err(reason),
        };
        match result {
            Ok(()) => {
                self.counts.accepted.0 += 1;
                self.counts.accepted.1 += datagram.len() as u64;
            }
            Err(reason) => *self.counts.dropped.entry(reason).or_default() += 1,
        }
        result
    }

    /// Tells the other members that this member leaves.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.with_foca(now, |foca, runtime| foca.leave_cluster(runtime));
    }
}
