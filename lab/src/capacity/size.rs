//! The size that the design is made for.

/// What runs, and what happens to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub forwarders: f64,
    pub events_per_s: f64,
    pub destinations: f64,
    /// Share of the destinations that is down at any time.
    pub down: f64,
    pub backlog: f64,
    pub changes_per_day: f64,
    /// Forwarders that are restarted or replaced.
    pub restarts_per_day: f64,
    /// Machines that are set aside for control.
    pub machines_for_control: f64,
}

/// Two years from now.
pub const TWO_YEARS: Size = Size {
    forwarders: 11_000.0,
    events_per_s: 6_400_000.0,
    destinations: 1_300_000.0,
    down: 0.027,
    backlog: 74e9,
    changes_per_day: 9_000.0,
    restarts_per_day: 3_100.0,
    machines_for_control: 45.0,
};

/// What a forwarder may spend on control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Microseconds of a processor a second.
    pub cpu_us_per_s: f64,
    pub memory_bytes: f64,
    pub bytes_per_s: f64,
    /// Seconds until a change is in force everywhere.
    pub in_force_s: f64,
}

pub const BUDGET: Budget =
    Budget { cpu_us_per_s: 20_000.0, memory_bytes: 128e6, bytes_per_s: 9_000.0, in_force_s: 10.0 };

pub const SECONDS_PER_DAY: f64 = 86_400.0;

impl Size {
    #[must_use]
    pub fn destinations_down(&self) -> f64 {
        self.destinations * self.down
    }
    #[must_use]
    pub fn events_per_forwarder(&self) -> f64 {
        self.events_per_s / self.forwarders
    }
    #[must_use]
    pub fn backlog_per_forwarder(&self) -> f64 {
        self.backlog / self.forwarders
    }
    #[must_use]
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / SECONDS_PER_DAY
    }
}
