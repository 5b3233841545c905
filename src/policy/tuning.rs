//! Every tuned value of the policy, and how the number of senders scales them. docs/design/deployments.md
//! derives each value.

use super::*;

// --- Rate control by refusals ----------------------------------------------------------------------------
/// Share of this sender's calls that rate control lets be refused: one in twenty.
pub(super) const TARGET_REFUSAL_SHARE: f64 = 0.05;
/// Refusals that rate control lets pass however low the call rate is: one in twenty seconds.
pub(super) const MIN_TARGET_REFUSALS_PER_S: f64 = 0.05;
/// Refusals within the burst window that start rate control.
pub(super) const BURST_REFUSALS: usize = 3;
/// Length of the sliding burst window where there are few senders.
pub(super) const BURST_WINDOW_S: f64 = 1.0;
/// Longest burst window; the window grows with the number of senders.
pub(super) const MAX_BURST_WINDOW_S: f64 = 6.0;
/// Up to this many senders, no value is scaled.
pub(super) const UNSCALED_SENDERS: f64 = 4.0;
/// Weight of the present served rate in the usual rate, at each delivery.
pub(super) const USUAL_RATE_WEIGHT: f64 = 0.05;
/// Rate control starts with a severe restriction: at this share of the rate that was served last.
pub(super) const CONTROL_START_SHARE: f64 = 0.5;
/// Largest relative decrease of the controlled rate in one update.
pub(super) const MAX_RATE_DECREASE: f64 = 0.5;
/// Largest relative increase of the controlled rate in one update.
pub(super) const MAX_RATE_INCREASE: f64 = 0.25;
/// An update with no more refusals than the target allows applies at least this part of the largest increase.
pub(super) const MIN_INCREASE_SHARE: f64 = 0.4;
pub(super) const CONTROL_UPDATE_INTERVAL: Micros = Micros(500_000);
/// Calls a second that rate control always leaves to all senders together.
pub(super) const MIN_TOTAL_RATE_PER_S: f64 = 1.0;
/// The controlled rate stays above this part of the sender's share of a reported limit. At this rate, all
/// senders together stay below the limit.
pub(super) const REPORTED_LIMIT_FLOOR: f64 = 0.8;
/// The same for a limit from the endpoint list, which is approximate and may be outdated.
pub(super) const LISTED_LIMIT_FLOOR: f64 = 0.25;
/// Calls to a destination whose answers report its limit keep apart by this multiple of the interval that the
/// sender's share of the limit gives.
pub(super) const SPACING_FACTOR: f64 = 1.2;
/// Reduction of that multiple where all of the limit is unused, and in proportion where part of it is.
pub(super) const SPACING_REDUCTION: f64 = 0.7;
/// Longest spacing: one of many senders calls rarely even without it.
pub(super) const MAX_SPACING: Micros = Micros(4_000_000);
/// The controlled rate rises to at most this multiple of the offered rate, which is the least restriction.
pub(super) const RATE_CEILING_FACTOR: f64 = 2.0;
/// Rate control ends after its rate has stayed at the ceiling for this long.
pub(super) const CONTROL_TERMINATION_DELAY: Micros = Micros(5_000_000);
/// Capacity of the token bucket of rate control, in calls.
pub(super) const MAX_TOKENS: f64 = 1.0;
/// Time constant of the meter of the served rate, from which rate control starts.
pub(super) const SERVED_RATE_MEMORY_S: f64 = 1.0;
/// Time constant of the meter of the offered rate.
pub(super) const OFFERED_RATE_MEMORY_S: f64 = 3.0;
/// Longest time constant of a rate meter; the time constants grow with the number of senders. Also the
/// longest burst window of an isolated fleet.
pub(super) const RATE_MEMORY_MAX_S: f64 = 30.0;
/// Age that a new rate meter is taken to have at least.
pub(super) const MIN_METER_AGE_S: f64 = 1.0;

// --- Isolated fleets: many senders that exchange no peer hints -------------------------------------------
/// More senders than this, without peer hints, form an isolated fleet: each sees only a small part of the
/// refusals and can't wait for a full burst of them.
pub(super) const MAX_SENDERS_NOT_ISOLATED: u32 = 16;
/// Refusals within the burst window that start rate control in an isolated fleet.
pub(super) const ISOLATED_BURST_REFUSALS: usize = 2;
/// Capacity of the token bucket in an isolated fleet, so that each sender can send its own clumps of messages
/// at once. The calls of all senders together are as evenly spread as if no sender kept tokens.
pub(super) const ISOLATED_MAX_TOKENS: f64 = 3.0;
/// Pause after a refusal in an isolated fleet, doubled by each of the next three refusals in a row.
pub(super) const ISOLATED_REFUSAL_PAUSE_S: f64 = 1.0;
/// Spacing of calls after a refusal in an isolated fleet, in intervals of the served rate, until the time for
/// further refusals of the same burst is over.
pub(super) const ISOLATED_SPACING_FACTOR: f64 = 1.6;
/// Replaces `MIN_INCREASE_SHARE` in an isolated fleet, where the increases of all senders add up.
pub(super) const ISOLATED_MIN_INCREASE_SHARE: f64 = 0.2;
/// Replaces `OUTAGE_REFUSAL_SPAN` in an isolated fleet: a limit that all senders exceed together also refuses
/// every call for seconds.
pub(super) const ISOLATED_OUTAGE_REFUSAL_SPAN: Micros = Micros(4_000_000);

// --- Calls in flight -------------------------------------------------------------------------------------
/// Share of the sender's slots that one destination may use while its receivers are healthy.
pub(super) const HEALTHY_SLOT_SHARE: f64 = 0.75;
/// Share of the sender's slots that one destination may use while a receiver of it is slow or not healthy.
pub(super) const DEGRADED_SLOT_SHARE: f64 = 0.5;
/// Calls in flight allowed to a slow receiver, as a multiple of those that it usually keeps busy.
pub(super) const SLOW_CONCURRENCY_FACTOR: f64 = 1.5;

// --- Health ----------------------------------------------------------------------------------------------
/// Failures in a row that make a receiver unhealthy.
pub(super) const UNHEALTHY_FAILURE_RUN: f64 = 3.0;
/// Upper bound of that run. It grows where calls to all receivers fail, since such runs then occur by chance.
pub(super) const MAX_UNHEALTHY_FAILURE_RUN: f64 = 6.0;
/// The run is so long that background failures alone produce it with at most this probability.
pub(super) const CHANCE_RUN_PROBABILITY: f64 = 0.002;
/// Failures among the last eight outcomes that make a receiver unhealthy; the number grows by as much as the
/// run.
pub(super) const UNHEALTHY_RECENT_FAILURES: f64 = 5.0;
/// Weight of each outcome in the share of calls that fail at all receivers.
pub(super) const BACKGROUND_FAILURE_WEIGHT: f64 = 0.02;
/// Refusals in a row, without a delivery between them, that are taken for an outage. Each doubling of the
/// senders beyond `UNSCALED_SENDERS` lowers the number by one, except in an isolated fleet.
pub(super) const OUTAGE_REFUSALS: f64 = 4.0;
/// Least time from the first to the last of these refusals.
pub(super) const OUTAGE_REFUSAL_SPAN: Micros = Micros(1_000_000);
/// A refusal with a larger share of the limit unused is not caused by the limit and may mean an outage.
pub(super) const UNUSED_LIMIT_SHARE: f64 = 0.5;
/// A retry-after of this length means an outage: limits count in spans of two seconds at most.
pub(super) const OUTAGE_RETRY_AFTER: Micros = Micros(2_500_000);
/// Delay before the first trial call to an unhealthy receiver.
pub(super) const FIRST_TRIAL_DELAY: Micros = Micros(500_000);
/// Longest delay between trial calls.
pub(super) const MAX_TRIAL_DELAY: Micros = Micros(1_500_000);
/// Growth of the delay with each failed trial call.
pub(super) const TRIAL_DELAY_GROWTH: f64 = 1.5;
/// A call hangs once it is older than this multiple of the usual latency plus `HUNG_EXTRA`.
pub(super) const HUNG_LATENCY_FACTOR: f64 = 10.0;
/// Part of that threshold which does not depend on the latency, and least time since the last delivery.
pub(super) const HUNG_EXTRA: Micros = Micros(1_000_000);
/// A receiver is slow above this multiple of its usual latency plus a tenth of a second.
pub(super) const SLOW_LATENCY_FACTOR: f64 = 3.0;
/// A call that is in flight for longer than this, while a later one was delivered, does not count for the
/// health of the receiver.
pub(super) const OVERTAKEN_MIN_AGE_S: f64 = 0.5;
/// Attempts of a message that may be cancelled for free slots: if further ones hang too, the message itself
/// may be expensive to process.
pub(super) const MAX_CANCELLABLE_ATTEMPTS: u32 = 2;

// --- Recovery from an outage -----------------------------------------------------------------------------
/// Share of the load that makes the destination collapse which the senders that saw the outage may send
/// together. From two thirds on, they are blamed for a collapse.
pub(super) const RECOVERY_BUDGET_SHARE: f64 = 0.6;
/// Weight of a further message in a call, which adds a little load.
pub(super) const EXTRA_MESSAGE_WEIGHT: f64 = 0.25;
/// Largest weight of a call with all its messages to a receiver that may be cold.
pub(super) const MAX_CALL_WEIGHT: f64 = 2.0;
/// Bound of the traffic of the senders that saw the outage, as a share of what the others still send.
pub(super) const UNAWARE_TRAFFIC_SHARE: f64 = 0.5;
/// Factor for weights that the settings call rough: they may be half too high.
pub(super) const ROUGH_WEIGHT_FACTOR: f64 = 0.66;
/// Least capacity assumed where nothing is known, in calls a second from all senders together.
pub(super) const MIN_UNKNOWN_CAPACITY_PER_S: f64 = 1.0;
/// Capacity assumed where nothing is known, as a share of the offered rate: traffic may be at twice the
/// usual.
pub(super) const UNKNOWN_CAPACITY_SHARE: f64 = 0.5;

// --- Messages --------------------------------------------------------------------------------------------
/// Timeout of a call, as a multiple of the usual latency.
pub(super) const TIMEOUT_LATENCY_FACTOR: f64 = 8.0;
pub(super) const MIN_TIMEOUT: Micros = Micros(2_000_000);
/// The timeout is at least the lifetime of a message divided by this: a call that is given up still runs at
/// the receiver, and its repeat takes capacity as well.
pub(super) const TIMEOUTS_PER_LIFETIME: u64 = 2;
/// Factor for the timeout of a message that is unsafe to repeat: a timeout loses the message.
pub(super) const UNSAFE_TIMEOUT_FACTOR: f64 = 2.5;
/// Second copies as a share of all calls.
pub(super) const SECOND_COPY_SHARE: f64 = 0.02;
/// A second copy goes after this multiple of the time from which a call counts as slow.
pub(super) const SECOND_COPY_DELAY_FACTOR: f64 = 3.0;
/// The client gets its answer this long before the deadline.
pub(super) const ANSWER_MARGIN: Micros = Micros(60_000);
/// Delay before the retry of a refused message, doubled with each attempt.
pub(super) const RETRY_DELAY_S: f64 = 0.3;
/// The same for a message that holds up others with its ordering key, or that other receivers may take at
/// once.
pub(super) const SHORT_RETRY_DELAY_S: f64 = 0.15;
/// Upper bound of the first delay, which grows with the number of senders.
pub(super) const MAX_RETRY_DELAY_S: f64 = 2.0;
/// Share of the message limit above which the messages of least value are ended.
pub(super) const SHED_THRESHOLD: f64 = 0.95;
/// A tenant may use the allowance of this many seconds at once.
pub(super) const TENANT_BURST_S: f64 = 2.0;
/// Messages that a tenant may send at once however small its allowance is.
pub(super) const MIN_TENANT_BURST: f64 = 2.0;
/// Latency that weighs as much as a zone fee of one unit of value when a route is chosen.
pub(super) const SECONDS_PER_FEE: f64 = 20.0;
/// Doublings of the pause after connections that a full connection table refused.
pub(super) const MAX_CONNECT_BACKOFF_DOUBLINGS: u32 = 5;
/// Calls over one connection before it is renewed: one handshake in so many calls is cheap.
pub(super) const RENEW_AFTER_CALLS: u32 = 200;
/// Interval of checks at a gate that opens gradually.
pub(super) const RECHECK_INTERVAL: Micros = Micros(100_000);

impl ScaledTuning {
    /// The values for the number of senders in the settings.
    pub(super) fn new(settings: &Settings) -> ScaledTuning {
        let sender_count = f64::from(settings.sender_count.max(1));
        let isolated_fleet = settings.sender_count > MAX_SENDERS_NOT_ISOLATED && !settings.peer_hints;
        let max_burst_window = if isolated_fleet { RATE_MEMORY_MAX_S } else { MAX_BURST_WINDOW_S };
        let scaled = |secs: f64, max: f64| (secs * sender_count / UNSCALED_SENDERS).clamp(secs, max);
        ScaledTuning {
            burst_window: Micros::from_secs(scaled(BURST_WINDOW_S, max_burst_window)),
            served_memory: MeterMemory {
                time_constant_s: scaled(SERVED_RATE_MEMORY_S, RATE_MEMORY_MAX_S),
                min_age_s: MIN_METER_AGE_S,
            },
            offered_memory: MeterMemory {
                time_constant_s: scaled(OFFERED_RATE_MEMORY_S, RATE_MEMORY_MAX_S),
                min_age_s: MIN_METER_AGE_S,
            },
            retry_delay_s: scaled(RETRY_DELAY_S, MAX_RETRY_DELAY_S),
            outage_refusals: OUTAGE_REFUSALS
                - if isolated_fleet { 0.0 } else { (sender_count / UNSCALED_SENDERS).max(1.0).log2() },
            outage_refusal_span: if isolated_fleet {
                ISOLATED_OUTAGE_REFUSAL_SPAN
            } else {
                OUTAGE_REFUSAL_SPAN
            },
            burst_refusals: if isolated_fleet { ISOLATED_BURST_REFUSALS } else { BURST_REFUSALS },
            max_tokens: if isolated_fleet { ISOLATED_MAX_TOKENS } else { MAX_TOKENS },
            min_target_per_s: MIN_TARGET_REFUSALS_PER_S / if isolated_fleet { sender_count } else { 1.0 },
            min_increase_share: if isolated_fleet { ISOLATED_MIN_INCREASE_SHARE } else { MIN_INCREASE_SHARE },
            isolated_fleet,
            sender_count,
            min_rate: MIN_TOTAL_RATE_PER_S / sender_count,
        }
    }
}
