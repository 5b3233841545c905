//! The settings, destinations, traffic and outage of one emulated run.

use onyxrock::interface::*;

/// Clock at the start of a run.
pub const RUN_START: Micros = Micros(5_000_000_000);
/// Range of the time that a call takes over an open connection.
pub const CALL_DURATION: (Micros, Micros) = (Micros(100_000), Micros(150_000));
/// Range of the time that opening a connection takes.
pub const HANDSHAKE_DURATION: (Micros, Micros) = (Micros(30_000), Micros(60_000));
/// Time until a sender knows that a connect was refused.
pub const CONNECT_REFUSAL_DELAY: Micros = Micros(30_000);
/// Time until a sender knows that a used-up rate limit refused a call.
pub const LIMIT_REFUSAL_DELAY: Micros = Micros(20_000);
/// A sender closes a connection after this time without a call.
pub const IDLE_TIMEOUT: Micros = Micros(10_000_000);
/// Share of the traffic by class.
pub const CLASS_SHARES: [f64; 3] = [0.66, 0.18, 0.16];

/// Share of a sender's traffic that one destination has while a scenario has few destinations. Slots and room
/// for held messages are sized for the whole traffic of the sender.
const DESTINATION_TRAFFIC_SHARE: f64 = 0.25;
/// A sender has this multiple of its mean number of calls in flight as slots.
const SLOTS_PER_MEAN_CALL: f64 = 2.2;
/// Least number of slots of a sender.
const MIN_SLOTS: f64 = 2.0;
/// A sender may hold the messages that arrive in this many seconds.
const HELD_TRAFFIC_S: f64 = 8.0;
/// Least number of messages that a sender may hold.
const MIN_HELD: f64 = 12.0;
/// A recovering destination collapses when it gets more than this multiple of its capacity during
/// [`COLLAPSE_WINDOW`].
pub const COLLAPSE_MULTIPLE: f64 = 2.0;
/// The time during which a recovering destination has to be overloaded to collapse.
pub const COLLAPSE_WINDOW: Micros = Micros(3_000_000);
/// Share of its capacity that a destination has right after an outage.
const COLD_START_SHARE: f64 = 0.18;
/// Time after an outage until a destination has its full capacity.
pub const WARM_UP_TIME: Micros = Micros(10_000_000);

/// An endpoint with an unbounded table is offered the traffic of an endpoint with a table of this size.
const UNBOUNDED_TABLE_EQUIVALENT: usize = 14;

/// The destination that has outages and whose calls and deliveries are counted by second.
pub const FIRST_DESTINATION: DestinationId = DestinationId(1);

/// A time in which the endpoints of the first destination refuse every connect; their open connections break.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Time from the start of the run.
    pub from: Micros,
    /// Time from the start of the run; `None` if the endpoints never recover.
    pub until: Option<Micros>,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub senders: u32,
    /// Number of destinations, all of one kind; messages are spread evenly among them.
    pub destinations: u64,
    /// Number of endpoints of each destination.
    pub endpoints: u64,
    /// Connections that each endpoint accepts from all senders together, including idle ones.
    pub table_size: usize,
    /// Rate limit of each endpoint, if it has one.
    pub limit_per_s: Option<f64>,
    /// Offered traffic as a share of the capacity.
    pub load: f64,
    /// Time during which messages arrive.
    pub traffic: Micros,
    pub outage: Option<Outage>,
    /// How much the list's weights say about capacity.
    pub weights: Weights,
    pub seed: u64,
}

impl Scenario {
    /// Forty seconds of messages for one endpoint.
    pub fn new(senders: u32, table_size: usize, load: f64) -> Scenario {
        let traffic = Micros(40_000_000);
        let weights = Weights::Nominal;
        Scenario {
            senders,
            destinations: 1,
            endpoints: 1,
            table_size,
            limit_per_s: None,
            load,
            traffic,
            outage: None,
            weights,
            seed: 1,
        }
    }

    pub fn receivers(&self) -> impl Iterator<Item = ReceiverId> + use<> {
        (1..=self.destinations * self.endpoints).map(ReceiverId)
    }

    /// The destination of an endpoint.
    pub fn destination(&self, receiver: ReceiverId) -> DestinationId {
        DestinationId((receiver.0 - 1) / self.endpoints + 1)
    }

    /// Calls a second that each destination serves even if every call opens a connection.
    pub fn capacity_per_s(&self) -> f64 {
        let table_size =
            if self.table_size == usize::MAX { UNBOUNDED_TABLE_EQUIVALENT } else { self.table_size };
        let by_table = table_size as f64 / (mean_secs(CALL_DURATION) + mean_secs(HANDSHAKE_DURATION));
        self.endpoints as f64 * by_table.min(self.limit_per_s.unwrap_or(f64::INFINITY))
    }

    /// Messages a second for each destination, over all senders.
    pub fn offered_per_s(&self) -> f64 {
        self.load * self.capacity_per_s()
    }

    pub fn traffic_end(&self) -> Micros {
        RUN_START.plus(self.traffic)
    }

    /// Time by which the last message must have ended.
    pub fn end(&self) -> Micros {
        let longest = classes().iter().map(|c| c.give_up_after).max();
        self.traffic_end().plus(longest.unwrap_or_default()).plus(Micros(1_000_000))
    }

    pub fn deadline(&self, class: usize) -> Micros {
        classes()[class].give_up_after
    }

    /// The value of a message of a class that is delivered `took` after its arrival.
    pub fn delivered_value(&self, class: usize, took: Micros) -> f64 {
        let class = &classes()[class];
        let lateness =
            took.since(class.target_latency).secs() / class.give_up_after.since(class.target_latency).secs();
        class.value * (1.0 - (1.0 - class.late_value_share) * lateness.min(1.0))
    }

    pub fn message(&self, id: MessageId, class: usize, destination: DestinationId) -> Message {
        Message {
            id,
            class: ClassId(class),
            tenant: None,
            ordering_key: None,
            destination,
            time_left: self.deadline(class),
        }
    }

    pub fn list(&self) -> Vec<ListEntry> {
        let entry = |receiver| ListEntry {
            receiver,
            state: EntryState::Ready,
            destination: self.destination(receiver),
            kind: KindId(0),
            zone: ZoneId(0),
            weight: self.capacity_per_s() / self.endpoints as f64,
        };
        self.receivers().map(entry).collect()
    }

    /// The settings of one sender of a deployment like `tema-depot`, where many senders with little traffic
    /// share partners with little capacity.
    pub fn settings(&self, sender: u32) -> Settings {
        let destination_traffic = self.offered_per_s() / f64::from(self.senders);
        let sender_traffic =
            destination_traffic * (self.destinations as f64).max(1.0 / DESTINATION_TRAFFIC_SHARE);
        let mean_in_flight = sender_traffic * mean_secs(CALL_DURATION);
        Settings {
            classes: classes(),
            kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
            zone_fees: vec![0.0],
            value_decay: ValueDecay::Linear,
            over_share_value: 1.0,
            slots: (mean_in_flight * SLOTS_PER_MEAN_CALL).ceil().max(MIN_SLOTS) as u32,
            max_held: (sender_traffic * HELD_TRAFFIC_S).ceil().max(MIN_HELD) as u32,
            max_attempts: 6,
            allow_cancel: true,
            load_reports: true,
            sender_count: self.senders,
            sender_index: sender,
            max_retry_after: Micros(2_000_000),
            weights: self.weights,
            collapse_multiple: COLLAPSE_MULTIPLE,
            collapse_window: COLLAPSE_WINDOW,
            cold_start_share: COLD_START_SHARE,
            warm_up_time: WARM_UP_TIME,
            connection_idle_timeout: IDLE_TIMEOUT,
            list_poll_interval: Micros(10_000_000),
            ..Settings::default()
        }
    }
}

/// The share of its capacity that an endpoint has a given time after its recovery.
pub fn capacity_share(since_recovery: Micros) -> f64 {
    COLD_START_SHARE + (1.0 - COLD_START_SHARE) * (since_recovery.secs() / WARM_UP_TIME.secs()).min(1.0)
}

fn mean_secs(span: (Micros, Micros)) -> f64 {
    (span.0.secs() + span.1.secs()) / 2.0
}

/// One keyed class with a long deadline, one safe class with a short one, and one that must not be repeated.
fn classes() -> Vec<ClassSettings> {
    let keyed = Effect::Keyed { scope: DedupScope::Zone, window: Micros(12_000_000) };
    let class = |effect, target_ms: u64, give_up_ms: u64, value, late_value_share| ClassSettings {
        target_latency: Micros(target_ms * 1000),
        give_up_after: Micros(give_up_ms * 1000),
        effect,
        in_order: false,
        value,
        late_value_share,
    };
    vec![
        class(keyed, 2500, 28_000, 1.0, 0.3),
        class(Effect::Safe, 1000, 8000, 2.0, 0.1),
        class(Effect::Unsafe, 2000, 28_000, 5.0, 0.5),
    ]
}
