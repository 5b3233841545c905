//! What a sender tells [`PolicyEngine`](crate::PolicyEngine) and what it is told to do: settings, events, actions.
//!
//! All times are microseconds on one clock of the caller's, which never runs backwards; the policy owns no
//! clock of its own. Ids are the caller's and only compared for equality and order.

/// A point in time or a span, in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Micros(pub u64);

impl Micros {
    /// This point in time moved later by a span.
    #[must_use]
    pub fn plus(self, span: Micros) -> Micros {
        Micros(self.0.saturating_add(span.0))
    }
    /// The span from `earlier` to this point, zero if `earlier` is not earlier.
    #[must_use]
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
    /// The span in seconds.
    #[must_use]
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// A span from seconds; negative and undefined values give zero.
    #[must_use]
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
}

/// A message, as named by the caller; never used twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MessageId(pub u64);
/// One endpoint that takes calls.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct ReceiverId(pub u64);
/// A destination: one or more receivers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct DestinationId(pub u64);
/// Place in [`Settings::classes`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct ClassId(pub usize);
/// Place in [`Settings::tenants`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct TenantId(pub usize);
/// Place in [`Settings::kinds`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct KindId(pub usize);
/// Place in [`Settings::zone_fees`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct ZoneId(pub usize);

/// Which receivers of a destination drop the repeat of a keyed message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupScope {
    /// All of them.
    Destination,
    /// Those in the zone of the receiver that was tried first.
    Zone,
}

/// What a repeat of a message does.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Effect {
    /// Nothing: safe to repeat.
    Safe,
    /// Dropped by the `group` for `window` from the send of the first attempt that may have run.
    Keyed {
        /// Who drops the repeat.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// It takes effect again: must never happen.
    #[default]
    Unsafe,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ValueDecay {
    #[default]
    /// Evenly, down to the late share at the deadline.
    Linear,
    /// By half with each further aim, not below the late share.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Full worth when delivered within this span.
    pub target_latency: Micros,
    /// The span after which a message is given up.
    pub give_up_after: Micros,
    /// What a repeat does.
    pub effect: Effect,
    /// Messages with one key go one at a time, in order of arrival.
    pub in_order: bool,
    /// Worth of one message.
    pub value: f64,
    /// Share of the worth left at the deadline.
    pub late_value_share: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Messages a second within its share, from all senders together; zero if unbounded.
    pub allowance_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Its receivers are separate routes, each with a limit and outages of its own.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub messages_per_call: u32,
}

/// What the weights in the list mean.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Weights {
    /// Nothing.
    #[default]
    Off,
    /// Calls a second that the destination (the route, where apart) takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// Facts stated once, at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of destinations.
    pub kinds: Vec<KindSettings>,
    /// For each zone, what a message taken on by a separate route there costs.
    pub zone_fees: Vec<f64>,
    /// How worth falls after the aim.
    pub value_decay: ValueDecay,
    /// Worth of a message beyond its tenant's share, as a fraction.
    pub over_share_value: f64,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held.
    pub max_held: u32,
    /// Attempts allowed for one message.
    pub max_attempts: u32,
    /// A message that is safe to repeat may have two attempts out at once.
    pub second_copies: bool,
    /// An attempt may be called off.
    pub allow_cancel: bool,
    /// Answers may report a limit and what is left of it; what comes without that word is not believed.
    pub load_reports: bool,
    /// Senders that share the traffic, this one included.
    pub sender_count: u32,
    /// Which of them this one is, from zero.
    pub sender_index: u32,
    /// A refusal's retry-after reaches the client.
    pub send_retry_after: bool,
    /// The longest wait that a client heeds.
    pub max_retry_after: Micros,
    /// The list must be subscribed to.
    pub subscribe_to_list: bool,
    /// What weights mean.
    pub weights: Weights,
    /// How long a key rests after an attempt with an unsure end.
    pub key_cooldown: Micros,
    /// A destination back from an outage falls over when sent more than this multiple of its capacity...
    pub collapse_multiple: f64,
    /// ... for this long.
    pub collapse_window: Micros,
    /// Share of its capacity that it has at first.
    pub cold_start_share: f64,
    /// It has all of it after this.
    pub warm_up_time: Micros,
    /// How long a connection stays open without a call; zero if that is not known.
    pub connection_idle_timeout: Micros,
    /// Short notes to the other senders are allowed.
    pub peer_hints: bool,
    /// The class of probes, if one sender probes for all; see [`Settings::hold_back`].
    pub probe_class: Option<ClassId>,
    /// So much later than a probe would, other messages try what is out of order: by then no sender may be probing it.
    pub message_probe_delay: Micros,
    /// Without a subscription the list must be asked for at least this often.
    pub list_poll_interval: Micros,
}

/// Up to so many senders ask for the list as they like.
const FEW: u32 = 8;

impl Settings {
    /// So many senders share what gives out the list that what each asks unasked adds up.
    #[must_use]
    pub fn large_fleet(&self) -> bool {
        self.sender_count > FEW
    }

    /// Where all senders ask for the list at one moment, each may make so many calls, and a change is known in time.
    #[must_use]
    pub fn list_calls_fit(&self, calls_each: u32) -> bool {
        crate::list_refresh::calls_fit(self.sender_count, calls_each)
    }
}

/// State of a receiver in the list. Says nothing of its health.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EntryState {
    /// May be used.
    #[default]
    Ready,
    /// Takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of receivers.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The receiver.
    pub receiver: ReceiverId,
    /// Its state.
    pub state: EntryState,
    /// Its destination.
    pub destination: DestinationId,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// See [`Weights`].
    pub weight: f64,
}

/// A message handed in. From here on the policy owes it one final answer.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// Key of its order.
    pub ordering_key: Option<String>,
    /// Where it goes.
    pub destination: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Micros,
}

/// What an earlier process did with a message. An attempt that was out at its death may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AttemptHistory {
    /// Attempts made; they count.
    pub attempts: u32,
    /// When and where the first attempt went that may have run.
    pub first_possible_run: Option<(Micros, ZoneId)>,
}

/// What a destination, or a route apart, was like when it went to rest, or what that is still worth when it wakes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RetainedHealth {
    /// Calls a second that it served this sender; zero if nothing is known.
    pub served_per_s: f64,
    /// Nothing may go there before.
    pub wait_until: Micros,
    /// It was out of order, and nothing has been heard of it since.
    pub unhealthy: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Delivered; the client has been told.
    Delivered,
    /// The destination answered with an error; may have run.
    Error,
    /// Turned away unseen, with a wait if one was told; never ran.
    Full(Option<Micros>),
    /// No answer in time; may have run or still run.
    TimedOut,
    /// No connection: the receiver is down or unreachable; never ran.
    ConnectFailed,
    /// The receiver runs and has no room for another connection; never ran.
    ConnectionLimit,
    /// The connection broke; may have run.
    Reset,
    /// The connection had been kept from an earlier call and broke at once; may have run. It says nothing of the
    /// receiver: what stands between may have forgotten the connection.
    Stale,
    /// Called off; may have run.
    Cancelled,
    /// Not sent; never ran.
    Moot,
    /// Held back as its first byte was about to leave, or closed before its last one had: it never ran, and it is none
    /// of the attempts that its message may have.
    HeldBack,
}

/// Whether a call may leave that was decided on before: it may have waited for its connection meanwhile.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SendRecheck {
    /// It may.
    Allowed,
    /// Its message has ended.
    MessageEnded,
    /// A wait that its receiver or destination told still runs.
    WithinRetryAfter,
    /// No rule lets it go any more.
    NoLongerAllowed,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The message.
    pub id: MessageId,
    /// Which attempt, from zero.
    pub attempt: u32,
    /// Where it was sent.
    pub receiver: ReceiverId,
    /// How it ended.
    pub verdict: Verdict,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The message is finished; no answer is owed any more.
    pub finished: bool,
    /// The destination's limit in calls a second, if it reported one.
    pub limit_per_s: Option<f64>,
    /// The share of that limit which is left just now, 0 to 1, if it reported one.
    pub remaining_share: Option<f64>,
}

/// The limit and the share that is left of it, from what an answer held. Half of a report is none, and so is one that
/// cannot be: it must never change what the answer itself says.
#[must_use]
pub fn load_report(limit: Option<f64>, left: Option<f64>) -> (Option<f64>, Option<f64>) {
    match (limit, left) {
        (Some(l), Some(x)) if (0.0..=1e9).contains(&l) && (0.0..=1.0).contains(&x) => (limit, left),
        _ => (None, None),
    }
}

impl Outcome {
    /// The share that is left of a limit, where the answer told both.
    #[must_use]
    pub fn remaining_share(&self) -> Option<f64> {
        self.limit_per_s.filter(|l| *l > 0.0).and(self.remaining_share)
    }
    /// The wait that a refusal told; zero if it told none.
    #[must_use]
    pub fn retry_after(&self) -> Micros {
        if let Verdict::Full(Some(wait)) = self.verdict { wait } else { Micros(0) }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list as last held before a restart; possibly stale.
    PersistedList(Vec<ListEntry>),
    /// Entries of a list that the caller has had for a while: no word from whoever gives the list out.
    CachedEntries(Vec<ListEntry>),
    /// The whole list; what is not in it is gone.
    FullList(Vec<ListEntry>),
    /// Changed lines only.
    ListChanges(Vec<ListEntry>),
    /// The subscription broke, or a call for the list took its time and failed.
    ListFailed,
    /// A call for the list failed at once: it waited in no queue, and no other call need have failed with it.
    ListRefused,
    /// The list comes from elsewhere now, and is being asked for there.
    ListSourceChanged,
    /// A message was handed in.
    Submit(Message),
    /// A message that an earlier process of this sender took on and still owes its end.
    Resume(Message, AttemptHistory),
    /// An attempt ended. Exactly one for each send.
    Outcome(Outcome),
    /// A receiver told a wait, whatever becomes of the call that it told it to.
    RetryAfter(ReceiverId, Micros),
    /// Bytes that another sender was asked to [`Action::Tell`]; anything else is ignored.
    PeerHint(Vec<u8>),
    /// Nobody wants the message any more; attempts in flight run on.
    Withdrawn(MessageId),
    /// A wake-up that was asked for has come.
    TimerFired,
}

/// Something to do.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Call the receiver with the message, giving up waiting after `patience`. Sends of one
    /// [`decide`](crate::PolicyEngine::decide) to one receiver share calls as far as its kind allows.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        receiver: ReceiverId,
        /// How long to wait for the answer.
        timeout: Micros,
    },
    /// Wait no longer for an attempt that is out: its message has ended by another. Its outcome is still owed.
    CancelAttempt {
        /// The message.
        id: MessageId,
        /// Which attempt, from zero.
        attempt: u32,
    },
    /// Final answer: not delivered, harmless to try again, best after the wait.
    Refuse {
        /// The message.
        id: MessageId,
        /// When to come back, if worth telling.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail(MessageId),
    /// Send these bytes to all other senders, who take them as [`Event::Note`]. They may be lost.
    SendPeerHint(Vec<u8>),
    /// Close the idle connections to a receiver; calls out are not touched.
    CloseIdleConnections(ReceiverId),
    /// Subscribe to changes of the list.
    RequestList,
    /// Hand in [`Event::Wake`] after this span.
    SetTimer(Micros),
    /// For the operators' log: the receiver is taken for out of order from now on.
    LogUnhealthy {
        /// Which.
        receiver: ReceiverId,
        /// Its destination.
        destination: DestinationId,
        /// How the call ended that showed it.
        verdict: Verdict,
    },
}
