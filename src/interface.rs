//! The interface of the [`PolicyEngine`](crate::PolicyEngine): its settings, the events that the caller
//! reports to it and the actions that the caller carries out for it.
//!
//! All times are microseconds on a single clock of the caller, which must never run backwards; the policy
//! engine has no clock of its own. The caller assigns all ids; the engine only compares them for equality and
//! order.

/// A point in time or a time span, in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Micros(pub u64);

impl Micros {
    /// The point in time that is `span` later than this one.
    #[must_use]
    pub fn plus(self, span: Micros) -> Micros {
        Micros(self.0.saturating_add(span.0))
    }
    /// The span from `earlier` to this point in time; zero if `earlier` is not earlier.
    #[must_use]
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
    /// This span in seconds.
    #[must_use]
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Converts a span from seconds; negative and undefined (NaN) values give zero.
    #[must_use]
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
}

/// Id of a message or probe. The caller assigns it and never uses it twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MessageId(pub u64);
/// Id of a receiver: one endpoint that takes calls.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct ReceiverId(pub u64);
/// Id of a destination, which has one or more receivers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct DestinationId(pub u64);
/// Index into [`Settings::classes`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct ClassId(pub usize);
/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct TenantId(pub usize);
/// Index into [`Settings::kinds`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct KindId(pub usize);
/// Index into [`Settings::zone_fees`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct ZoneId(pub usize);

/// Which receivers of a destination recognise and drop the repeat of a message with an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupScope {
    /// All receivers of the destination.
    Destination,
    /// Only receivers in the zone of the receiver that got the first attempt.
    Zone,
}

/// What happens when a destination runs a message a second time.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Effect {
    /// A repeat has no further effect: the message is safe to repeat.
    Safe,
    /// The receivers in `scope` drop a repeat by its idempotency key for `window`, counted from the send of
    /// the first attempt that may have run.
    Keyed {
        /// The receivers that drop the repeat.
        scope: DedupScope,
        /// How long they drop it.
        window: Micros,
    },
    /// A repeat takes effect again: the message must never run twice.
    #[default]
    Unsafe,
}

/// How the value of a message falls once its target latency has passed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ValueDecay {
    #[default]
    /// Linearly, down to the late value share at the deadline.
    Linear,
    /// By half with each further target latency, but not below the late value share.
    Halving,
}

/// Settings of one class of messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// A message that is delivered within this span has its full value.
    pub target_latency: Micros,
    /// Span from submission to deadline: a message that is not delivered by then is given up.
    pub give_up_after: Micros,
    /// What happens when a message runs a second time.
    pub effect: Effect,
    /// Messages with the same ordering key are sent one at a time, in order of arrival.
    pub in_order: bool,
    /// Value of one message, relative to messages of other classes.
    pub value: f64,
    /// Share of the value that is left at the deadline.
    pub late_value_share: f64,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Messages per second within its share, summed over all senders; zero means unlimited.
    pub allowance_per_s: f64,
}

/// Settings of one kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// The receivers of a destination are separate routes, each with its own limit and its own outages.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub messages_per_call: u32,
}

/// What the weights in the endpoint list mean.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Weights {
    /// Weights have no meaning.
    #[default]
    Off,
    /// Capacity of the destination (of the route, where routes are separate): calls per second from all
    /// senders together.
    Nominal,
    /// The same capacity, but up to half too high or too low.
    Rough,
}

/// Settings that the caller states once, at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Message classes.
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of destination.
    pub kinds: Vec<KindSettings>,
    /// The cost, per zone, of a message that a separate route in that zone accepts.
    pub zone_fees: Vec<f64>,
    /// How the value of a message falls once its target latency has passed.
    pub value_decay: ValueDecay,
    /// The fraction of its value that a message beyond its tenant's share has.
    pub over_share_value: f64,
    /// Maximum number of calls in flight.
    pub slots: u32,
    /// Maximum number of messages that the engine holds.
    pub max_held: u32,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// A message that is safe to repeat may have two attempts in flight at once.
    pub second_copies: bool,
    /// An attempt in flight may be cancelled.
    pub allow_cancel: bool,
    /// Responses may report a limit and the share of it that remains. If false, such reports are ignored.
    pub load_reports: bool,
    /// Number of senders that share the traffic, including this one.
    pub sender_count: u32,
    /// Index of this sender among them, from zero.
    pub sender_index: u32,
    /// A refusal can pass a retry-after on to the client.
    pub send_retry_after: bool,
    /// The longest retry-after that a client honours.
    pub max_retry_after: Micros,
    /// The endpoint list must be requested by subscription.
    pub subscribe_to_list: bool,
    /// What the weights in the endpoint list mean.
    pub weights: Weights,
    /// How long an ordering key is held back after an attempt whose effect is unknown.
    pub key_cooldown: Micros,
    /// A destination that is back from an outage collapses again if it gets more than this multiple of its
    /// capacity for the length of [`Settings::collapse_window`].
    pub collapse_multiple: f64,
    /// How long a load above [`Settings::collapse_multiple`] lasts before the destination collapses.
    pub collapse_window: Micros,
    /// The share of its capacity that a destination has when it comes back from an outage.
    pub cold_start_share: f64,
    /// How long a destination takes from its return to its full capacity.
    pub warm_up_time: Micros,
    /// How long a connection stays open without a call; zero if unknown.
    pub connection_idle_timeout: Micros,
    /// Short hints may be sent to the other senders.
    pub peer_hints: bool,
    /// The class of probes, if one sender probes for all; see [`Settings::message_probe_delay`].
    pub probe_class: Option<ClassId>,
    /// How much later than a probe an ordinary message may try an unhealthy receiver. If a receiver is still
    /// unhealthy after this delay, there may be no sender that probes it.
    pub message_probe_delay: Micros,
    /// Without a subscription the list must be requested at least this often.
    pub list_poll_interval: Micros,
}

/// Up to this many senders may make optional list calls: discovery bears the sum of them.
const SMALL_FLEET_MAX_SENDERS: u32 = 8;

impl Settings {
    /// Whether so many senders share discovery that their optional list calls would add up to a load.
    #[must_use]
    pub fn large_fleet(&self) -> bool {
        self.sender_count > SMALL_FLEET_MAX_SENDERS
    }

    /// Whether every sender still learns of a list change in time if all of them start `calls_each` list
    /// calls at the same moment.
    #[must_use]
    pub fn list_calls_fit(&self, calls_each: u32) -> bool {
        crate::list_refresh::calls_fit(self.sender_count, calls_each)
    }
}

/// State of a receiver in the endpoint list. It is independent of the health of the receiver.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EntryState {
    /// The receiver may be used.
    #[default]
    Ready,
    /// The receiver gets no new calls.
    Draining,
    /// The receiver was removed from the list.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The receiver.
    pub receiver: ReceiverId,
    /// Its state in the list.
    pub state: EntryState,
    /// Its destination.
    pub destination: DestinationId,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its weight, to be read as [`Weights`] says.
    pub weight: f64,
}

/// A submitted message. The engine ends each with exactly one final status.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Its ordering key; see [`ClassSettings::in_order`].
    pub ordering_key: Option<String>,
    /// The destination that it must be delivered to.
    pub destination: DestinationId,
    /// Time from now to its deadline.
    pub time_left: Micros,
}

/// The attempts that an earlier process made for a message. An attempt that was in flight when that process
/// died may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AttemptHistory {
    /// Number of attempts made; they count towards [`Settings::max_attempts`].
    pub attempts: u32,
    /// Send time and zone of the first attempt that may have run.
    pub first_possible_run: Option<(Micros, ZoneId)>,
}

/// State of a destination or receiver that is kept while the destination is inactive, to restart it
/// carefully.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RetainedHealth {
    /// Calls per second that it served this sender; zero if unknown.
    pub served_per_s: f64,
    /// No call may be sent to it before this time.
    pub wait_until: Micros,
    /// It was unhealthy when last used, and there is no later result.
    pub unhealthy: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Delivered; the client has been notified.
    Delivered,
    /// The receiver responded with an error; the message may have run.
    Error,
    /// The receiver refused the call without processing it, optionally with a retry-after; the message never
    /// ran.
    Full(Option<Micros>),
    /// There was no response in time; the message may have run or may still be running.
    TimedOut,
    /// No connection could be made: the receiver is down or unreachable; the message never ran.
    ConnectFailed,
    /// The receiver is up but accepts no further connection; the message never ran.
    ConnectionLimit,
    /// The connection broke during the call; the message may have run.
    Reset,
    /// A reused idle connection broke at once; the message may have run. This says nothing about the
    /// receiver, since a device on the network path may have dropped the connection.
    Stale,
    /// The sender cancelled the attempt; the message may have run.
    Cancelled,
    /// The attempt was not sent; the message never ran.
    Moot,
    /// The attempt was stopped right before its first byte was sent, or its connection was closed before its
    /// last byte was. The message never ran, and the attempt does not count towards
    /// [`Settings::max_attempts`].
    HeldBack,
}

/// Whether an attempt that was decided earlier may still be sent: it may have waited for a connection
/// meanwhile.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SendRecheck {
    /// The attempt may be sent.
    Allowed,
    /// The message has already ended.
    MessageEnded,
    /// A retry-after of the receiver or destination has not passed yet.
    WithinRetryAfter,
    /// The time in which the rules allow this attempt has passed.
    NoLongerAllowed,
}

/// The result of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The message.
    pub id: MessageId,
    /// Index of the attempt within the message, from zero.
    pub attempt: u32,
    /// The receiver that it was sent to.
    pub receiver: ReceiverId,
    /// How the attempt ended.
    pub verdict: Verdict,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The message has ended; the engine owes it no final status any more.
    pub finished: bool,
    /// The limit of the destination in calls per second, if the response reported one.
    pub limit_per_s: Option<f64>,
    /// The share of that limit, 0 to 1, that currently remains, if the response reported one.
    pub remaining_share: Option<f64>,
}

/// The limit in calls per second and the remaining share of it, as reported by a response. An incomplete
/// report or one with impossible values counts as none: it must never change what the response itself says.
#[must_use]
pub fn load_report(limit_per_s: Option<f64>, remaining_share: Option<f64>) -> (Option<f64>, Option<f64>) {
    match (limit_per_s, remaining_share) {
        (Some(limit), Some(share)) if (0.0..=1e9).contains(&limit) && (0.0..=1.0).contains(&share) => {
            (limit_per_s, remaining_share)
        }
        _ => (None, None),
    }
}

impl Outcome {
    /// The remaining share of the limit, if the response reported both.
    #[must_use]
    pub fn remaining_share(&self) -> Option<f64> {
        self.limit_per_s.filter(|limit| *limit > 0.0).and(self.remaining_share)
    }
    /// The retry-after of a refusal; zero if it has none.
    #[must_use]
    pub fn retry_after(&self) -> Micros {
        if let Verdict::Full(Some(wait)) = self.verdict { wait } else { Micros(0) }
    }
}

/// Something that happened and that the caller reports to the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list as the caller stored it before a restart; possibly stale.
    PersistedList(Vec<ListEntry>),
    /// Entries that the caller had already cached; discovery was not contacted for them.
    CachedEntries(Vec<ListEntry>),
    /// The complete list; a receiver that is not in it is gone.
    FullList(Vec<ListEntry>),
    /// Only the entries that changed.
    ListChanges(Vec<ListEntry>),
    /// The subscription broke, or a list call failed after a while.
    ListFailed,
    /// A list call failed at once. It did not wait in a queue, so the calls of other senders need not have
    /// failed too.
    ListRefused,
    /// The list comes from another source now, and the caller has already requested it there.
    ListSourceChanged,
    /// A client submitted a message.
    Submit(Message),
    /// A message that an earlier process of this sender accepted and did not end.
    Resume(Message, AttemptHistory),
    /// An attempt ended. The caller reports exactly one outcome for each [`Action::Send`].
    Outcome(Outcome),
    /// A receiver sent a retry-after; the outcome of the call that got it is reported separately.
    RetryAfter(ReceiverId, Micros),
    /// The bytes of an [`Action::SendPeerHint`] of another sender; any other bytes are ignored.
    PeerHint(Vec<u8>),
    /// The client withdrew the message; attempts in flight are not cancelled.
    Withdrawn(MessageId),
    /// A timer that [`Action::SetTimer`] set has fired.
    TimerFired,
}

/// Something that the caller must do.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Call the receiver with the message and wait for the response for at most `timeout`. Sends to the same
    /// receiver from one [`decide`](crate::PolicyEngine::decide) share calls up to
    /// [`KindSettings::messages_per_call`].
    Send {
        /// The message.
        id: MessageId,
        /// The receiver to call.
        receiver: ReceiverId,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Stop waiting for an attempt in flight: its message has ended by another attempt, or later calls
    /// overtook the attempt and its slot is needed. The caller must still report its outcome.
    CancelAttempt {
        /// The message.
        id: MessageId,
        /// Index of the attempt within the message, from zero.
        attempt: u32,
    },
    /// Final status: not delivered. The client may safely submit the message again, best after `retry_after`.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client should wait; none if it gets no retry-after.
        retry_after: Option<Micros>,
    },
    /// Final status: failed. The message may or may not have run.
    Fail(MessageId),
    /// Send these bytes to all other senders, which handle them as [`Event::PeerHint`]. They may be lost.
    SendPeerHint(Vec<u8>),
    /// Close the idle connections to a receiver; calls in flight are not affected.
    CloseIdleConnections(ReceiverId),
    /// Request the endpoint list and subscribe to its changes.
    RequestList,
    /// Report [`Event::TimerFired`] after this span.
    SetTimer(Micros),
    /// Log for the operators that the receiver counts as unhealthy from now on.
    LogUnhealthy {
        /// The receiver.
        receiver: ReceiverId,
        /// Its destination.
        destination: DestinationId,
        /// How the call ended that made it unhealthy.
        verdict: Verdict,
    },
}
