//! What each role costs: rows that are worked out from slopes.

use super::cost::Cost;
use super::figure::{Basis, Figure, Quantity, Verdict, digits};
use super::reports::Reports;
use super::size::{BUDGET, SECONDS_PER_DAY, Size};

/// After so long without use a destination rests; the default of `[idle] rest_s`.
const REST_S: f64 = 300.0;
/// Until then it is remembered; the default of `[idle] forget_s`.
const FORGET_S: f64 = 14_400.0;
/// A lease is renewed, and life is told, this often; a quarter of the default of `[duties] lease_s`.
const RENEW_S: f64 = 0.75;
/// The default of `[duties] voters`.
pub const VOTERS: f64 = 5.0;
/// An outage lasts so long: an estimate.
const OUTAGE_S: f64 = 3_600.0;
/// `WANTED_MOST` in `duties/src/book.rs`.
const WANTED_MOST: f64 = 20_000.0;
/// `MEMORY_MOST_S` in `src/policy/tuning.rs`: no meter of the policy engine remembers longer.
const METER_MEMORY_S: f64 = 30.0;

/// Which destinations a forwarder takes.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub size: Size,
    /// Destinations that one forwarder lists and sends to.
    pub destinations: f64,
}

impl Deployment {
    /// Today's: any forwarder takes any destination.
    #[must_use]
    pub fn flat(size: Size) -> Deployment {
        Deployment { size, destinations: size.destinations }
    }

    /// Each destination has so many senders, spread evenly.
    ///
    /// # Errors
    /// No forwarder can have so few or so many.
    pub fn owned(size: Size, owners: f64) -> Result<Deployment, String> {
        if !(1.0..=size.forwarders).contains(&owners) {
            return Err(format!("{owners} owners of a destination; 1 to {} can be", size.forwarders));
        }
        Ok(Deployment { size, destinations: size.destinations * owners / size.forwarders })
    }

    /// Seconds between two messages of one forwarder for one destination.
    fn meeting_s(&self) -> f64 {
        self.destinations / self.size.events_per_forwarder()
    }
    /// Destinations that were used within a span, with even traffic.
    fn used_within(&self, span_s: f64) -> f64 {
        self.destinations * -(-span_s / self.meeting_s()).exp_m1()
    }
    fn active(&self) -> f64 {
        self.used_within(REST_S)
    }
    fn resting(&self) -> f64 {
        self.used_within(FORGET_S) - self.active()
    }
    /// Destinations down that this forwarder has met in their outage.
    fn known_down(&self) -> f64 {
        self.used_within(OUTAGE_S) * self.size.down
    }
    /// Woken destinations that rest again before a second message could prove them.
    fn unproven(&self) -> f64 {
        self.active() * (-REST_S / self.meeting_s()).exp()
    }
    /// What is doubted, as far as it may be wanted.
    fn wanted(&self) -> f64 {
        (self.known_down() + self.unproven()).min(WANTED_MOST)
    }
    /// Changes a second that concern a destination of this forwarder.
    fn changes_per_s(&self) -> f64 {
        self.size.changes_per_s() * self.destinations / self.size.destinations
    }
    fn restarts_per_s(&self) -> f64 {
        self.size.restarts_per_day / self.size.forwarders / SECONDS_PER_DAY
    }
    /// Leases that one forwarder holds.
    fn leases(&self) -> f64 {
        self.size.destinations_down() / self.size.forwarders
    }
    /// Members that hold leases.
    fn holders(&self) -> f64 {
        self.size.forwarders.min(self.size.destinations_down())
    }
    /// Datagrams a second about leases, duties wanted and signs of life, at one forwarder.
    fn control_messages(&self) -> f64 {
        // Duties of one member go in one message.
        let members_told = self.members() * -(-self.wanted() / self.members()).exp_m1();
        let wants = 2.0 * members_told;
        let leases = 2.0 * VOTERS;
        let signs = 2.0;
        (wants + leases + signs) / RENEW_S
    }
    fn members(&self) -> f64 {
        self.size.forwarders
    }
}

/// Who pays.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Forwarder,
    Voter,
    ListRelay,
    ListSource,
    Coordinator,
    BacklogHolder,
}

impl Role {
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Role::Forwarder => "forwarder",
            Role::Voter => "voter",
            Role::ListRelay => "list relay",
            Role::ListSource => "list source",
            Role::Coordinator => "coordinator",
            Role::BacklogHolder => "backlog holder",
        }
    }
}

/// One row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    pub role: Role,
    pub what: &'static str,
    pub quantity: Quantity,
    /// How many there are of what costs.
    pub count: String,
    pub figure: Figure,
    pub budget: Option<f64>,
    /// The slope and its report; none for a sum.
    pub slope: Option<(Cost, String)>,
    /// Crate and type, where no slope names them.
    pub mechanism: &'static str,
}

impl Row {
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        self.budget.map(|budget| Verdict::of(self.figure.amount, budget))
    }
    #[must_use]
    pub fn mechanism(&self) -> &'static str {
        self.slope.as_ref().map_or(self.mechanism, |(cost, _)| cost.mechanism())
    }
}

/// What a forwarder may spend, and none for what has no budget of its own.
fn budget(quantity: Quantity) -> Option<f64> {
    match quantity {
        Quantity::Memory => Some(BUDGET.memory_bytes),
        Quantity::Processor => Some(BUDGET.cpu_us_per_s),
        Quantity::Traffic => Some(BUDGET.bytes_per_s),
        Quantity::Delay => Some(BUDGET.in_force_s),
        Quantity::Disk | Quantity::Messages => None,
    }
}

/// Puts the rows of one deployment together.
struct Builder<'a> {
    reports: &'a Reports,
    rows: Vec<Row>,
}

impl Builder<'_> {
    /// The cost of so many, so many times.
    fn add(
        &mut self, role: Role, what: &'static str, quantity: Quantity, cost: Cost, (count, times): (f64, f64),
    ) {
        let (figure, report) = self.reports.cost(cost, count);
        let shown = if times == 1.0 { String::new() } else { format!(" x {}", digits(times)) };
        let count = format!("{}{shown}", digits(count));
        let report = report.to_owned();
        self.push((role, what, quantity), cost, (figure, report), (count, times));
    }

    /// The cost of one, so many times.
    fn add_each(&mut self, role: Role, what: &'static str, quantity: Quantity, cost: Cost, times: f64) {
        let (figure, report) = self.reports.each(cost);
        let report = report.to_owned();
        self.push((role, what, quantity), cost, (figure, report), (digits(times), times));
    }

    fn push(
        &mut self, (role, what, quantity): (Role, &'static str, Quantity), cost: Cost,
        (figure, report): (Figure, String), (count, times): (String, f64),
    ) {
        let figure = Figure { amount: figure.amount * times, ..figure };
        let (budget, slope) = (budget(quantity), Some((cost, report)));
        self.rows.push(Row { role, what, quantity, count, figure, budget, slope, mechanism: "" });
    }

    /// A figure that no slope gives.
    fn estimate(
        &mut self, role: Role, what: &'static str, quantity: Quantity, count: f64,
        figure: (f64, Option<f64>), mechanism: &'static str,
    ) {
        let (amount, budget) = figure;
        let figure = Figure { amount, basis: Basis::Estimate };
        let (count, slope) = (digits(count), None);
        self.rows.push(Row { role, what, quantity, count, figure, budget, slope, mechanism });
    }

    /// Messages a second, which nothing bounds by itself.
    fn messages(&mut self, role: Role, what: &'static str, per_s: f64, mechanism: &'static str) {
        self.estimate(role, what, Quantity::Messages, per_s, (per_s, None), mechanism);
    }

    /// The sum of a role's rows of a quantity, which is as good as the worst of them.
    fn sum(&mut self, role: Role, what: &'static str, quantity: Quantity) {
        let parts = self.rows.iter().filter(|r| r.role == role && r.quantity == quantity);
        let amount = parts.clone().map(|r| r.figure.amount).sum();
        let basis = parts.map(|r| r.figure.basis).max().unwrap_or(Basis::Estimate);
        let (figure, count, slope) = (Figure { amount, basis }, String::new(), None);
        let mechanism = "all of the above";
        let budget = budget(quantity);
        self.rows.push(Row { role, what, quantity, count, figure, budget, slope, mechanism });
    }

    fn forwarder(&mut self, d: &Deployment) {
        use Quantity::{Delay, Memory, Processor, Traffic};
        let role = Role::Forwarder;
        self.add(role, "destinations listed", Memory, Cost::ListedMemory, (d.destinations, 1.0));
        self.add(role, "destinations in use", Memory, Cost::ActiveMemory, (d.active(), 1.0));
        self.add(role, "destinations down that it has met", Memory, Cost::DownMemory, (d.known_down(), 1.0));
        self.add(role, "destinations remembered at rest", Memory, Cost::RestingMemory, (d.resting(), 1.0));
        self.add(role, "duties wanted", Memory, Cost::WantedMemory, (d.wanted(), 1.0));
        self.add(role, "members watched", Memory, Cost::MemberMemory, (d.members(), 1.0));
        self.sum(role, "memory for control", Memory);
        self.add_each(role, "list changes", Processor, Cost::WatchAnswerCpu, d.changes_per_s());
        let restarts = (d.destinations, d.restarts_per_s());
        self.add(role, "whole lists after restarts, over a day", Processor, Cost::WholeListCpu, restarts);
        self.add(role, "looking for what is doubted", Processor, Cost::ActiveLookCpu, (d.active(), 1.0));
        let wanted = (d.members(), d.wanted());
        self.add(role, "whose the wanted duties are", Processor, Cost::WantedMemberCpu, wanted);
        self.add(role, "leases held", Processor, Cost::HolderLeaseCpu, (d.leases(), 1.0));
        self.add(role, "members watched", Processor, Cost::MemberCpu, (d.members(), 1.0));
        self.sum(role, "processor time for control", Processor);
        self.add_each(role, "list changes", Traffic, Cost::WatchAnswerBytes, d.changes_per_s());
        self.add(role, "whole lists after restarts, over a day", Traffic, Cost::WholeListBytes, restarts);
        self.add(role, "duties wanted, told and heard", Traffic, Cost::WantedBytes, (d.wanted(), 2.0));
        self.add(role, "leases held", Traffic, Cost::HolderLeaseBytes, (d.leases(), 1.0));
        self.add(role, "members watched, sent and received", Traffic, Cost::MemberBytes, (d.members(), 2.0));
        let signs = 2.0 / RENEW_S;
        self.add_each(role, "signs of life of coordinator and relay", Traffic, Cost::TellAllBytes, signs);
        self.sum(role, "bytes for control", Traffic);
        self.messages(role, "for control, gossip left out", d.control_messages(), "sharing::Peers");
        let restart = (d.destinations, 1.0 / BUDGET.bytes_per_s);
        self.add(role, "a list in force after a restart, at 9 KB/s", Delay, Cost::WholeListBytes, restart);
        let meeting = (d.meeting_s(), Some(METER_MEMORY_S));
        let mechanism = "onyxrock::PolicyEngine (MEMORY_MOST_S)";
        self.estimate(
            role,
            "between two messages for one destination",
            Delay,
            d.destinations,
            meeting,
            mechanism,
        );
    }

    fn voter(&mut self, d: &Deployment) {
        use Quantity::{Memory, Processor, Traffic};
        let role = Role::Voter;
        let leases = (d.size.destinations_down(), 1.0);
        self.add(role, "leases promised", Memory, Cost::VoterLeaseMemory, leases);
        self.add(role, "leases promised", Processor, Cost::VoterLeaseCpu, leases);
        self.add(role, "leases promised", Traffic, Cost::VoterLeaseBytes, leases);
        self.messages(role, "questions and answers", d.holders() * 2.0 / RENEW_S, "duties::Message");
    }

    fn tellers(&mut self, d: &Deployment) {
        use Quantity::{Memory, Processor, Traffic};
        let signs = (d.members(), 1.0 / RENEW_S);
        let changes = (d.members(), d.size.changes_per_s());
        for role in [Role::ListRelay, Role::Coordinator] {
            self.add(role, "members that it tells", Memory, Cost::MemberMemory, (d.members(), 1.0));
            self.add(role, "signs of life to all", Processor, Cost::TellAllCpu, signs);
            self.add(role, "signs of life to all", Traffic, Cost::TellAllBytes, signs);
            self.messages(role, "signs of life to all", d.members() / RENEW_S, "sharing::Peers");
        }
        let role = Role::ListRelay;
        self.add(role, "each list change to all", Processor, Cost::TellAllCpu, changes);
        let change = self.reports.each(Cost::ListChangeBytes).0.amount;
        let told = self.reports.each(Cost::TellAllBytes).0.amount;
        let bytes = (change + told) * changes.0 * changes.1;
        let mechanism = "sharing::Peers";
        let traffic = budget(Traffic);
        self.estimate(role, "each list change to all", Traffic, changes.0, (bytes, traffic), mechanism);
        let role = Role::ListSource;
        let answers = d.size.changes_per_s() * d.members() * d.destinations / d.size.destinations;
        let what = "answers to watches, where each asks for itself";
        self.add_each(role, what, Traffic, Cost::WatchAnswerBytes, answers);
        self.messages(role, "answers to watches", answers, "config::list::Reader");
        let restarts = (d.destinations, d.size.restarts_per_day / SECONDS_PER_DAY);
        self.add(role, "whole lists after restarts, over a day", Traffic, Cost::WholeListBytes, restarts);
        // The source is no forwarder: it has no budget that was named.
        let source = self.rows.iter_mut().filter(|r| r.role == Role::ListSource);
        source.for_each(|r| r.budget = None);
    }

    fn backlog(&mut self, d: &Deployment) {
        let role = Role::BacklogHolder;
        let messages = d.size.backlog_per_forwarder();
        self.add(role, "messages owed", Quantity::Memory, Cost::BacklogMemory, (messages, 1.0));
        let events = d.size.events_per_forwarder();
        self.messages(role, "events taken on", events, "core::Ledger");
        self.add(role, "messages owed", Quantity::Disk, Cost::BacklogDisk, (messages, 1.0));
        let read_back = (messages, 1e-6);
        self.add(role, "reading them back at a start", Quantity::Delay, Cost::BacklogRestartCpu, read_back);
    }
}

/// All rows of one deployment. Those of two deployments stand in the same order.
#[must_use]
pub fn rows(reports: &Reports, deployment: &Deployment) -> Vec<Row> {
    let mut builder = Builder { reports, rows: Vec::new() };
    builder.forwarder(deployment);
    builder.voter(deployment);
    builder.tellers(deployment);
    builder.backlog(deployment);
    builder.rows
}
