//! Every tuned value of the policy, and how the size of the fleet stretches them. docs/design/deployments.md
//! says what each follows from.

use super::*;

// --- The mechanism (refusals decide the pace) -----------------------------------------------------------
pub(super) const TARGET_SHARE: f64 = 0.05; // l: one refusal in twenty of this sender's calls ...
pub(super) const TARGET_FLOOR_PER_S: f64 = 0.05; // ... and at least one in twenty seconds
pub(super) const BURST_COUNT: usize = 3; // so many refusals ...
pub(super) const BURST_SPAN_S: f64 = 1.0; // within this sliding window start control ...
pub(super) const BURST_SPAN_MOST_S: f64 = 6.0; // ... longer with many senders
pub(super) const FEW_SENDERS: f64 = 4.0; // up to so many, nothing is stretched
pub(super) const USUAL_STEP: f64 = 0.05; // of the usual rate, at each delivery
pub(super) const START_SHARE: f64 = 0.5; // severe start: share of the recently served rate
pub(super) const STEP_DOWN: f64 = 0.5;
pub(super) const STEP_UP: f64 = 0.25;
pub(super) const STEP_LEAST: f64 = 0.4;
pub(super) const UPDATE_EVERY: Micros = Micros(500_000);
pub(super) const PACE_FLOOR: f64 = 1.0;
pub(super) const FLOOR_OF_TOLD: f64 = 0.8; // of a limit in answers: all senders together stay under it
pub(super) const FLOOR_OF_LISTED: f64 = 0.25; // of one in the list, which is rough and may be old
pub(super) const SPACING: f64 = 1.2; // calls to a limit that answers report keep so many times this sender's part apart,
pub(super) const SPACING_LEFT: f64 = 0.7; // less so much of it where all of it is left
pub(super) const SPACING_MOST: Micros = Micros(4_000_000); // a sender of many comes seldom by itself
pub(super) const CEILING: f64 = 2.0; // times what is offered: the least restriction
pub(super) const TERMINATION: Micros = Micros(5_000_000);
pub(super) const BURST_TOKENS: f64 = 1.0;
pub(super) const SERVED_MEMORY_S: f64 = 1.0; // of the rate that control starts from
pub(super) const RATE_MEMORY_S: f64 = 3.0; // time constant of the rate meters
pub(super) const RATE_MEMORY_MAX_S: f64 = 30.0;
pub(super) const YOUNG_S: f64 = 1.0; // a meter's least age
pub(super) const FLEET: u32 = 16; // beyond it, told of nothing, a sender sees too little to wait for more than ...
pub(super) const FLEET_BURST: usize = 2; // ... so many refusals, and keeps so many calls for its own clumps:
pub(super) const FLEET_TOKENS: f64 = 3.0; // together they come as evenly as if nobody did
pub(super) const BREATH_S: f64 = 1.0; // without a call after a refusal; doubled by each of the next three in a row
pub(super) const WARY: f64 = 1.6; // times as far apart as served calls are what goes until a burst could follow
pub(super) const FLEET_STEP_LEAST: f64 = 0.2; // the steps up of all add up
pub(super) const FLEET_SHUT_SPAN: Micros = Micros(4_000_000); // a limit that all overran refuses all for seconds, too
// --- Calls in flight -------------------------------------------------------------------------------------
pub(super) const CAP_WELL: f64 = 0.75;
pub(super) const CAP_SICK: f64 = 0.5;
pub(super) const BUSY_STRETCH: f64 = 1.5; // a slow receiver may hold this multiple of the calls it usually keeps busy
// --- Health ----------------------------------------------------------------------------------------------
pub(super) const SICK_RUN: f64 = 3.0; // failures in a row that make a receiver sick ...
pub(super) const SICK_RUN_MOST: f64 = 6.0; // ... more where calls fail everywhere, since then runs come by chance ...
pub(super) const CHANCE: f64 = 0.002; // ... as seldom as this
pub(super) const SICK_FAILS: f64 = 5.0; // failures among the last eight that make a receiver sick; as many more
pub(super) const BROAD: f64 = 0.02; // of each outcome, in the share that fails everywhere
pub(super) const SHUT_REFUSALS: f64 = 4.0; // refusals in a row, no delivery between, that look like a shut destination
pub(super) const SHUT_SPAN: Micros = Micros(1_000_000);
pub(super) const ALLOWANCE_LEFT: f64 = 0.5; // refused with more of its allowance left, a destination looks shut
pub(super) const LONG_WAIT: Micros = Micros(2_500_000); // limits count in spans of two seconds at most
pub(super) const TRIAL_FIRST: Micros = Micros(500_000);
pub(super) const TRIAL_MOST: Micros = Micros(1_500_000);
pub(super) const TRIAL_GROWTH: f64 = 1.5;
pub(super) const SILENT_NORMS: f64 = 10.0; // a call out for so many norms ...
pub(super) const SILENT_PLUS: Micros = Micros(1_000_000); // ... and this is silence
pub(super) const SLOW_NORMS: f64 = 3.0;
pub(super) const OUTLIER_S: f64 = 0.5; // out for longer, while later ones are answered, a call tells of itself alone
// So many attempts of a message may be called off; what hangs again may be heavy itself.
pub(super) const GIVES_WAY: u32 = 2;
// --- Return from an outage -------------------------------------------------------------------------------
pub(super) const BUDGET_SHARE: f64 = 0.6; // under the two thirds from which those that knew are blamed
pub(super) const EXTRA_WEIGHT: f64 = 0.25; // of a further message in a call, which weighs a little ...
pub(super) const MOST_WEIGHT: f64 = 2.0; // ... and of all in a call to what may be cold
pub(super) const FRESH_SHARE: f64 = 0.5; // of what senders send that have not met the outage yet
pub(super) const ROUGH_CAUTION: f64 = 0.66; // a rough weight may be half too high
// Calls a second from all senders together, at least, where nothing is known.
pub(super) const UNKNOWN_CAPACITY: f64 = 1.0;
pub(super) const UNKNOWN_PART: f64 = 0.5; // of what is asked for: traffic may be at twice the usual
// --- Messages --------------------------------------------------------------------------------------------
pub(super) const PATIENCE_NORMS: f64 = 8.0;
pub(super) const PATIENCE_LEAST: Micros = Micros(2_000_000);
// Of a message's time: a call that is given up runs on, and its repeat takes room too.
pub(super) const PATIENCE_PART: u64 = 2;
pub(super) const PATIENCE_UNSAFE: f64 = 2.5; // an unsafe call that times out is lost: wait longer
pub(super) const COPY_SHARE: f64 = 0.02; // second copies, of all calls
pub(super) const COPY_AFTER: f64 = 3.0; // times what is slow for the receiver
pub(super) const MARGIN: Micros = Micros(60_000); // answer this long before the deadline
pub(super) const REFUSED_PAUSE_S: f64 = 0.3;
pub(super) const LEADER_PAUSE_S: f64 = 0.15; // where others of its key wait behind it
pub(super) const REFUSED_PAUSE_MOST_S: f64 = 2.0; // ... for the first, with many senders
pub(super) const HELD_HIGH: f64 = 0.95; // share of the holding room above which the least worth goes
pub(super) const SHARE_SPAN_S: f64 = 2.0; // a tenant may use its share of so long at once ...
pub(super) const SHARE_LEAST: f64 = 2.0; // ... and so many messages
pub(super) const FEE_SECONDS: f64 = 20.0; // a route's fee of one worth, as waiting time
pub(super) const CONNECT_BACKOFF_DOUBLINGS: u32 = 5; // of the pause after a connection that a full table refused
pub(super) const RENEW_AFTER_CALLS: u32 = 200; // over one connection: a handshake in so many calls is cheap
pub(super) const LOOK_AGAIN: Micros = Micros(100_000); // at gates that open by degrees

impl Scale {
    /// The values for the fleet that the settings tell of.
    pub(super) fn of(set: &Settings) -> Scale {
        let senders = f64::from(set.sender_count.max(1));
        let fleet = set.sender_count > FLEET && !set.peer_hints;
        let span_most = if fleet { RATE_MEMORY_MAX_S } else { BURST_SPAN_MOST_S };
        let stretch = |secs: f64, most: f64| (secs * senders / FEW_SENDERS).clamp(secs, most);
        Scale {
            burst_span: Micros::from_secs(stretch(BURST_SPAN_S, span_most)),
            served_memory: Memory { secs: stretch(SERVED_MEMORY_S, RATE_MEMORY_MAX_S), young: YOUNG_S },
            rate_memory: Memory { secs: stretch(RATE_MEMORY_S, RATE_MEMORY_MAX_S), young: YOUNG_S },
            refused_pause: stretch(REFUSED_PAUSE_S, REFUSED_PAUSE_MOST_S),
            shut_refusals: SHUT_REFUSALS - if fleet { 0.0 } else { (senders / FEW_SENDERS).max(1.0).log2() },
            shut_span: if fleet { FLEET_SHUT_SPAN } else { SHUT_SPAN },
            burst_count: if fleet { FLEET_BURST } else { BURST_COUNT },
            tokens: if fleet { FLEET_TOKENS } else { BURST_TOKENS },
            target_floor: TARGET_FLOOR_PER_S / if fleet { senders } else { 1.0 },
            step_least: if fleet { FLEET_STEP_LEAST } else { STEP_LEAST },
            fleet,
            senders,
            floor: PACE_FLOOR / senders,
        }
    }
}
