//! The system size that the design is made for, and the control budget of a forwarder.

/// The size of a system and the rate of its changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Number of forwarders.
    pub forwarders: f64,
    /// Messages per second over all forwarders.
    pub events_per_s: f64,
    /// Number of destinations.
    pub destinations: f64,
    /// Share of the destinations that is down at any time.
    pub down_share: f64,
    /// Messages in the backlog of all forwarders.
    pub backlog: f64,
    /// Changes of the endpoint list per day.
    pub changes_per_day: f64,
    /// Forwarders that are restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Machines that are reserved for control.
    pub control_machines: f64,
}

/// The size expected two years from now.
pub const TWO_YEAR_SIZE: Size = Size {
    forwarders: 11_000.0,
    events_per_s: 6_400_000.0,
    destinations: 1_300_000.0,
    down_share: 0.027,
    backlog: 74e9,
    changes_per_day: 9_000.0,
    restarts_per_day: 3_100.0,
    control_machines: 45.0,
};

/// The resources that one forwarder may spend on control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Microseconds of processor time per second.
    pub cpu_us_per_s: f64,
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Bytes sent and received per second.
    pub bytes_per_s: f64,
    /// Seconds until a change is in force everywhere.
    pub in_force_s: f64,
}

/// The control budget of a forwarder.
pub const BUDGET: Budget =
    Budget { cpu_us_per_s: 20_000.0, memory_bytes: 128e6, bytes_per_s: 9_000.0, in_force_s: 10.0 };

pub const SECONDS_PER_DAY: f64 = 86_400.0;

impl Size {
    /// Number of destinations that are down at any time.
    #[must_use]
    pub fn destinations_down(&self) -> f64 {
        self.destinations * self.down_share
    }
    /// Messages per second at one forwarder.
    #[must_use]
    pub fn events_per_forwarder(&self) -> f64 {
        self.events_per_s / self.forwarders
    }
    /// Messages in the backlog of one forwarder.
    #[must_use]
    pub fn backlog_per_forwarder(&self) -> f64 {
        self.backlog / self.forwarders
    }
    /// Changes of the endpoint list per second.
    #[must_use]
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / SECONDS_PER_DAY
    }
}
