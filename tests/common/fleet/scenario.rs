//! What a run consists of: the deployment's settings, the destination, the traffic and its troubles.

use onyxrock::interface::*;

/// When a run starts.
pub const START: Micros = Micros(5_000_000_000);
/// What a call takes once its connection is up.
pub const CALL: (Micros, Micros) = (Micros(100_000), Micros(150_000));
/// What a new connection takes.
pub const HANDSHAKE: (Micros, Micros) = (Micros(30_000), Micros(60_000));
/// When a refused connect is known.
pub const CONNECT_REFUSED: Micros = Micros(30_000);
/// When the refusal of a used-up limit is known.
pub const REFUSED_BY_LIMIT: Micros = Micros(20_000);
/// A connection is closed after so long without a call.
pub const IDLE_LIMIT: Micros = Micros(10_000_000);
/// Share of the traffic by class.
pub const CLASS_SHARES: [f64; 3] = [0.66, 0.18, 0.16];

/// A destination is this part of a sender's traffic, as long as there are few: slots and holding room are for all of it.
const PART_OF_TRAFFIC: f64 = 0.25;
/// Slots are this multiple of the calls that a sender has out on average ...
const SLOTS_ROOM: f64 = 2.2;
/// ... and at least so many.
const SLOTS_LEAST: f64 = 2.0;
/// Messages held: the traffic of so many seconds ...
const HELD_S: f64 = 8.0;
/// ... and at least so many.
const HELD_LEAST: f64 = 12.0;
/// A destination back from an outage falls over when it gets more than this multiple of its capacity ...
pub const FALL_MULTIPLE: f64 = 2.0;
/// ... for so long.
pub const FALL_WINDOW: Micros = Micros(3_000_000);
/// The share of its capacity that it has at first ...
const COLD_FROM: f64 = 0.18;
/// ... and the time within which it has all of it.
pub const WARM_WITHIN: Micros = Micros(10_000_000);

/// An endpoint that takes any number of connections is offered what one with this table is.
const TABLE_OF_UNBOUNDED: usize = 14;

/// The destination that has outages, and of which the seconds tell.
pub const FIRST: DestinationId = DestinationId(1);

/// The endpoints refuse every connect, and all that is open to them breaks.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Counted from the start.
    pub from: Micros,
    /// None: for good.
    pub until: Option<Micros>,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub senders: u32,
    /// Destinations of one kind, among which the messages are spread evenly.
    pub destinations: u64,
    /// Endpoints of each destination.
    pub endpoints: u64,
    /// Connections that each endpoint takes from all senders together, idle ones counted.
    pub table: usize,
    /// Calls a second that each endpoint takes, if it has a limit.
    pub limit_per_s: Option<f64>,
    /// What is offered, as a share of the capacity.
    pub load: f64,
    /// How long messages arrive.
    pub traffic: Micros,
    pub outage: Option<Outage>,
    /// What the list tells of the capacity.
    pub weights: Weights,
    pub seed: u64,
}

impl Scenario {
    /// Forty seconds of messages for one endpoint.
    pub fn new(senders: u32, table: usize, load: f64) -> Scenario {
        let traffic = Micros(40_000_000);
        let weights = Weights::Nominal;
        Scenario {
            senders,
            destinations: 1,
            endpoints: 1,
            table,
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

    /// Calls a second that each destination serves even if every one needs a connection of its own.
    pub fn capacity_per_s(&self) -> f64 {
        let table = if self.table == usize::MAX { TABLE_OF_UNBOUNDED } else { self.table };
        let by_table = table as f64 / (mean_secs(CALL) + mean_secs(HANDSHAKE));
        self.endpoints as f64 * by_table.min(self.limit_per_s.unwrap_or(f64::INFINITY))
    }

    /// Messages a second for each destination, over all senders.
    pub fn offered_per_s(&self) -> f64 {
        self.load * self.capacity_per_s()
    }

    pub fn traffic_end(&self) -> Micros {
        START.plus(self.traffic)
    }

    /// When the last message must have ended.
    pub fn end(&self) -> Micros {
        let longest = classes().iter().map(|c| c.give_up_after).max();
        self.traffic_end().plus(longest.unwrap_or_default()).plus(Micros(1_000_000))
    }

    pub fn deadline(&self, class: usize) -> Micros {
        classes()[class].give_up_after
    }

    /// What a message is worth when it is delivered after so long.
    pub fn worth(&self, class: usize, took: Micros) -> f64 {
        let c = &classes()[class];
        let late = took.since(c.target_latency).secs() / c.give_up_after.since(c.target_latency).secs();
        c.value * (1.0 - (1.0 - c.late_value_share) * late.min(1.0))
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

    /// The settings of one sender of a deployment like `tema-depot`, where many small senders share small partners.
    pub fn settings(&self, number: u32) -> Settings {
        let each = self.offered_per_s() / f64::from(self.senders);
        let traffic = each * (self.destinations as f64).max(1.0 / PART_OF_TRAFFIC);
        let out = traffic * mean_secs(CALL);
        Settings {
            classes: classes(),
            kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
            zone_fees: vec![0.0],
            value_decay: ValueDecay::Linear,
            over_share_value: 1.0,
            slots: (out * SLOTS_ROOM).ceil().max(SLOTS_LEAST) as u32,
            max_held: (traffic * HELD_S).ceil().max(HELD_LEAST) as u32,
            max_attempts: 6,
            allow_cancel: true,
            load_reports: true,
            sender_count: self.senders,
            sender_index: number,
            max_retry_after: Micros(2_000_000),
            weights: self.weights,
            collapse_multiple: FALL_MULTIPLE,
            collapse_window: FALL_WINDOW,
            cold_start_share: COLD_FROM,
            warm_up_time: WARM_WITHIN,
            connection_idle_timeout: IDLE_LIMIT,
            list_poll_interval: Micros(10_000_000),
            ..Settings::default()
        }
    }
}

/// The share of its capacity that an endpoint has when it has been back for so long.
pub fn warmth(back: Micros) -> f64 {
    COLD_FROM + (1.0 - COLD_FROM) * (back.secs() / WARM_WITHIN.secs()).min(1.0)
}

fn mean_secs(span: (Micros, Micros)) -> f64 {
    (span.0.secs() + span.1.secs()) / 2.0
}

/// One keyed class of long life, one safe class of short life, and one that must not be repeated.
fn classes() -> Vec<ClassSettings> {
    let keyed = Effect::Keyed { scope: DedupScope::Zone, window: Micros(12_000_000) };
    let class = |effect, aim: u64, give_up: u64, worth, late_share| ClassSettings {
        target_latency: Micros(aim * 1000),
        give_up_after: Micros(give_up * 1000),
        effect,
        in_order: false,
        value: worth,
        late_value_share: late_share,
    };
    vec![
        class(keyed, 2500, 28_000, 1.0, 0.3),
        class(Effect::Safe, 1000, 8000, 2.0, 0.1),
        class(Effect::Unsafe, 2000, 28_000, 5.0, 0.5),
    ]
}
