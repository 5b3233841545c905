//! The cost of each role: rows computed from slopes.

use super::cost::Cost;
use super::figure::{Basis, BudgetCheck, Figure, Quantity, format_number};
use super::reports::Reports;
use super::size::{BUDGET, SECONDS_PER_DAY, Size};

/// An unused destination is deactivated after this time; the default of `[idle] rest_s`.
const DEACTIVATE_AFTER_S: f64 = 300.0;
/// The health of a destination is retained for this time after its last use; the default of `[idle]
/// forget_s`.
const FORGET_AFTER_S: f64 = 14_400.0;
/// Interval of lease renewals and of heartbeats; a quarter of the default of `[duties] lease_s`.
const RENEW_INTERVAL_S: f64 = 0.75;
/// Number of voters; the default of `[duties] voters`.
pub const VOTER_COUNT: f64 = 5.0;
/// Duration of an outage of a destination; an estimate.
const OUTAGE_DURATION_S: f64 = 3_600.0;
/// Maximum number of duties that a forwarder wants at a time; `MAX_WANTED_DUTIES` in
/// `duties/src/duty_table.rs`.
const MAX_WANTED_DUTIES: f64 = 20_000.0;
/// Longest time constant of a rate meter of the policy engine; `RATE_MEMORY_MAX_S` in `src/policy/tuning.rs`.
const RATE_MEMORY_MAX_S: f64 = 30.0;

/// A system size, and the number of destinations that each forwarder sends to.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub size: Size,
    /// Destinations that one forwarder lists and sends to.
    pub destinations: f64,
}

impl Deployment {
    /// Today's deployment: every forwarder sends to every destination.
    #[must_use]
    pub fn unpartitioned(size: Size) -> Deployment {
        Deployment { size, destinations: size.destinations }
    }

    /// A deployment in which each destination has a fixed number of senders, spread evenly over the
    /// forwarders.
    ///
    /// # Errors
    /// The number of senders is below one or above the number of forwarders.
    pub fn partitioned(size: Size, senders_per_destination: f64) -> Result<Deployment, String> {
        if !(1.0..=size.forwarders).contains(&senders_per_destination) {
            return Err(format!(
                "--owners {senders_per_destination}: a destination has 1 to {} senders",
                size.forwarders
            ));
        }
        Ok(Deployment { size, destinations: size.destinations * senders_per_destination / size.forwarders })
    }

    /// Mean seconds between two messages of one forwarder for the same destination.
    fn message_interval_s(&self) -> f64 {
        self.destinations / self.size.events_per_forwarder()
    }
    /// Destinations that one forwarder uses within a span, with traffic spread evenly over the destinations.
    fn used_within(&self, span_s: f64) -> f64 {
        self.destinations * -(-span_s / self.message_interval_s()).exp_m1()
    }
    /// Active destinations of one forwarder.
    fn active(&self) -> f64 {
        self.used_within(DEACTIVATE_AFTER_S)
    }
    /// Inactive destinations whose health one forwarder retains.
    fn retained(&self) -> f64 {
        self.used_within(FORGET_AFTER_S) - self.active()
    }
    /// Destinations that are down and that this forwarder has used during their outage.
    fn known_down(&self) -> f64 {
        self.used_within(OUTAGE_DURATION_S) * self.size.down_share
    }
    /// Activated destinations that are deactivated again before a second message could confirm them.
    fn unconfirmed(&self) -> f64 {
        self.active() * (-DEACTIVATE_AFTER_S / self.message_interval_s()).exp()
    }
    /// Probe duties that one forwarder wants: those of its unconfirmed destinations, up to the maximum.
    fn wanted_duties(&self) -> f64 {
        (self.known_down() + self.unconfirmed()).min(MAX_WANTED_DUTIES)
    }
    /// List changes per second that concern a destination of this forwarder.
    fn changes_per_s(&self) -> f64 {
        self.size.changes_per_s() * self.destinations / self.size.destinations
    }
    /// Restarts per second of one forwarder.
    fn restarts_per_s(&self) -> f64 {
        self.size.restarts_per_day / self.size.forwarders / SECONDS_PER_DAY
    }
    /// Leases that one forwarder holds.
    fn leases_held(&self) -> f64 {
        self.size.destinations_down() / self.size.forwarders
    }
    /// Number of members that hold leases.
    fn holders(&self) -> f64 {
        self.size.forwarders.min(self.size.destinations_down())
    }
    /// Datagrams per second about leases, wanted duties and heartbeats, at one forwarder.
    fn control_messages_per_s(&self) -> f64 {
        // The wanted duties of one member go in one message.
        let contacted_members = self.members() * -(-self.wanted_duties() / self.members()).exp_m1();
        let wanted = 2.0 * contacted_members;
        let leases = 2.0 * VOTER_COUNT;
        let heartbeats = 2.0;
        (wanted + leases + heartbeats) / RENEW_INTERVAL_S
    }
    fn members(&self) -> f64 {
        self.size.forwarders
    }
}

/// The part of the system that bears a cost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    /// Any forwarder, without the additional roles below.
    Forwarder,
    /// A member that votes on leases.
    Voter,
    /// The member that asks discovery for the list and sends the changes to all members.
    ListRelay,
    /// Discovery, which answers watches.
    ListSource,
    /// The member that coordinates the fleet.
    Coordinator,
    /// A forwarder with its share of the backlog.
    BacklogHolder,
}

impl Role {
    /// The name on the page.
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
    /// The text of the column "What".
    pub label: &'static str,
    pub quantity: Quantity,
    /// The number of items that cause the cost.
    pub count: String,
    pub figure: Figure,
    /// The budget in the unit of the quantity, if the row has one.
    pub budget: Option<f64>,
    /// The slope and the name of its report; `None` for a sum or an estimate.
    pub slope: Option<(Cost, String)>,
    /// The crate and type that incur the cost, for a row without a slope.
    pub mechanism: &'static str,
}

impl Row {
    /// The amount compared with the budget, if the row has a budget.
    #[must_use]
    pub fn budget_check(&self) -> Option<BudgetCheck> {
        self.budget.map(|budget| BudgetCheck::of(self.figure.amount, budget))
    }
    /// The crate and type that incur the cost.
    #[must_use]
    pub fn mechanism(&self) -> &'static str {
        self.slope.as_ref().map_or(self.mechanism, |(cost, _)| cost.mechanism())
    }
}

/// The budget of a forwarder, or `None` for a quantity without a budget of its own.
fn budget(quantity: Quantity) -> Option<f64> {
    match quantity {
        Quantity::Memory => Some(BUDGET.memory_bytes),
        Quantity::Processor => Some(BUDGET.cpu_us_per_s),
        Quantity::Traffic => Some(BUDGET.bytes_per_s),
        Quantity::Delay => Some(BUDGET.in_force_s),
        Quantity::Disk | Quantity::Messages => None,
    }
}

/// Collects the rows of one deployment.
struct Builder<'a> {
    reports: &'a Reports,
    rows: Vec<Row>,
}

impl Builder<'_> {
    /// Adds the cost of a number of items, multiplied by a factor.
    fn add(
        &mut self, role: Role, label: &'static str, quantity: Quantity, cost: Cost,
        (count, factor): (f64, f64),
    ) {
        let (figure, report) = self.reports.cost_at(cost, count);
        let factor_text = if factor == 1.0 { String::new() } else { format!(" x {}", format_number(factor)) };
        let count = format!("{}{factor_text}", format_number(count));
        let report = report.to_owned();
        self.push((role, label, quantity), cost, (figure, report), (count, factor));
    }

    /// Adds the cost of one item, multiplied by a factor.
    fn add_per_item(&mut self, role: Role, label: &'static str, quantity: Quantity, cost: Cost, factor: f64) {
        let (figure, report) = self.reports.unit_cost(cost);
        let report = report.to_owned();
        self.push((role, label, quantity), cost, (figure, report), (format_number(factor), factor));
    }

    fn push(
        &mut self, (role, label, quantity): (Role, &'static str, Quantity), cost: Cost,
        (figure, report): (Figure, String), (count, factor): (String, f64),
    ) {
        let figure = Figure { amount: figure.amount * factor, ..figure };
        let (budget, slope) = (budget(quantity), Some((cost, report)));
        self.rows.push(Row { role, label, quantity, count, figure, budget, slope, mechanism: "" });
    }

    /// Adds a figure that is computed without a slope.
    fn add_estimate(
        &mut self, role: Role, label: &'static str, quantity: Quantity, count: f64,
        figure: (f64, Option<f64>), mechanism: &'static str,
    ) {
        let (amount, budget) = figure;
        let figure = Figure { amount, basis: Basis::Estimate };
        let (count, slope) = (format_number(count), None);
        self.rows.push(Row { role, label, quantity, count, figure, budget, slope, mechanism });
    }

    /// Adds a rate of messages. It has no budget of its own.
    fn add_message_rate(&mut self, role: Role, label: &'static str, per_s: f64, mechanism: &'static str) {
        self.add_estimate(role, label, Quantity::Messages, per_s, (per_s, None), mechanism);
    }

    /// Adds the sum of a role's rows of a quantity. Its basis is the least reliable basis of these rows.
    fn add_sum(&mut self, role: Role, label: &'static str, quantity: Quantity) {
        let parts = self.rows.iter().filter(|r| r.role == role && r.quantity == quantity);
        let amount = parts.clone().map(|r| r.figure.amount).sum();
        let basis = parts.map(|r| r.figure.basis).max().unwrap_or(Basis::Estimate);
        let (figure, count, slope) = (Figure { amount, basis }, String::new(), None);
        let mechanism = "all of the above";
        let budget = budget(quantity);
        self.rows.push(Row { role, label, quantity, count, figure, budget, slope, mechanism });
    }

    /// Adds the rows of a forwarder.
    fn add_forwarder(&mut self, deployment: &Deployment) {
        use Quantity::{Delay, Memory, Processor, Traffic};
        let role = Role::Forwarder;
        self.add(role, "destinations listed", Memory, Cost::ListedMemory, (deployment.destinations, 1.0));
        self.add(role, "destinations in use", Memory, Cost::ActiveMemory, (deployment.active(), 1.0));
        self.add(
            role,
            "destinations down that it has met",
            Memory,
            Cost::DownMemory,
            (deployment.known_down(), 1.0),
        );
        self.add(
            role,
            "destinations remembered at rest",
            Memory,
            Cost::RetainedHealthMemory,
            (deployment.retained(), 1.0),
        );
        self.add(role, "duties wanted", Memory, Cost::WantedDutyMemory, (deployment.wanted_duties(), 1.0));
        self.add(role, "members watched", Memory, Cost::MemberMemory, (deployment.members(), 1.0));
        self.add_sum(role, "memory for control", Memory);
        self.add_per_item(role, "list changes", Processor, Cost::WatchAnswerCpu, deployment.changes_per_s());
        let restarts = (deployment.destinations, deployment.restarts_per_s());
        self.add(role, "whole lists after restarts, over a day", Processor, Cost::CompleteListCpu, restarts);
        self.add(
            role,
            "looking for what is doubted",
            Processor,
            Cost::UnconfirmedScanCpu,
            (deployment.active(), 1.0),
        );
        let wanted = (deployment.members(), deployment.wanted_duties());
        self.add(role, "whose the wanted duties are", Processor, Cost::WantedDutyMemberCpu, wanted);
        self.add(role, "leases held", Processor, Cost::HolderLeaseCpu, (deployment.leases_held(), 1.0));
        self.add(role, "members watched", Processor, Cost::MemberCpu, (deployment.members(), 1.0));
        self.add_sum(role, "processor time for control", Processor);
        self.add_per_item(role, "list changes", Traffic, Cost::WatchAnswerBytes, deployment.changes_per_s());
        self.add(role, "whole lists after restarts, over a day", Traffic, Cost::CompleteListBytes, restarts);
        self.add(
            role,
            "duties wanted, told and heard",
            Traffic,
            Cost::WantedDutyBytes,
            (deployment.wanted_duties(), 2.0),
        );
        self.add(role, "leases held", Traffic, Cost::HolderLeaseBytes, (deployment.leases_held(), 1.0));
        self.add(
            role,
            "members watched, sent and received",
            Traffic,
            Cost::MemberBytes,
            (deployment.members(), 2.0),
        );
        let heartbeats = 2.0 / RENEW_INTERVAL_S;
        self.add_per_item(
            role,
            "signs of life of coordinator and relay",
            Traffic,
            Cost::BroadcastBytes,
            heartbeats,
        );
        self.add_sum(role, "bytes for control", Traffic);
        self.add_message_rate(
            role,
            "for control, gossip left out",
            deployment.control_messages_per_s(),
            "sharing::Peers",
        );
        let after_restart = (deployment.destinations, 1.0 / BUDGET.bytes_per_s);
        self.add(
            role,
            "a list in force after a restart, at 9 KB/s",
            Delay,
            Cost::CompleteListBytes,
            after_restart,
        );
        let message_interval = (deployment.message_interval_s(), Some(RATE_MEMORY_MAX_S));
        // The page still calls the constant by its former name; it is `RATE_MEMORY_MAX_S` today.
        let mechanism = "onyxrock::PolicyEngine (MEMORY_MOST_S)";
        self.add_estimate(
            role,
            "between two messages for one destination",
            Delay,
            deployment.destinations,
            message_interval,
            mechanism,
        );
    }

    /// Adds the rows of a voter.
    fn add_voter(&mut self, deployment: &Deployment) {
        use Quantity::{Memory, Processor, Traffic};
        let role = Role::Voter;
        let leases = (deployment.size.destinations_down(), 1.0);
        self.add(role, "leases promised", Memory, Cost::VoterLeaseMemory, leases);
        self.add(role, "leases promised", Processor, Cost::VoterLeaseCpu, leases);
        self.add(role, "leases promised", Traffic, Cost::VoterLeaseBytes, leases);
        self.add_message_rate(
            role,
            "questions and answers",
            deployment.holders() * 2.0 / RENEW_INTERVAL_S,
            "duties::Message",
        );
    }

    /// Adds the rows of the roles that send to all members or serve all members.
    fn add_broadcasters(&mut self, deployment: &Deployment) {
        use Quantity::{Memory, Processor, Traffic};
        let heartbeats = (deployment.members(), 1.0 / RENEW_INTERVAL_S);
        let changes = (deployment.members(), deployment.size.changes_per_s());
        for role in [Role::ListRelay, Role::Coordinator] {
            self.add(role, "members that it tells", Memory, Cost::MemberMemory, (deployment.members(), 1.0));
            self.add(role, "signs of life to all", Processor, Cost::BroadcastCpu, heartbeats);
            self.add(role, "signs of life to all", Traffic, Cost::BroadcastBytes, heartbeats);
            self.add_message_rate(
                role,
                "signs of life to all",
                deployment.members() / RENEW_INTERVAL_S,
                "sharing::Peers",
            );
        }
        let role = Role::ListRelay;
        self.add(role, "each list change to all", Processor, Cost::BroadcastCpu, changes);
        let change = self.reports.unit_cost(Cost::ListChangeBytes).0.amount;
        let message = self.reports.unit_cost(Cost::BroadcastBytes).0.amount;
        let bytes = (change + message) * changes.0 * changes.1;
        let mechanism = "sharing::Peers";
        let traffic = budget(Traffic);
        self.add_estimate(role, "each list change to all", Traffic, changes.0, (bytes, traffic), mechanism);
        let role = Role::ListSource;
        let answers = deployment.size.changes_per_s() * deployment.members() * deployment.destinations
            / deployment.size.destinations;
        let label = "answers to watches, where each asks for itself";
        self.add_per_item(role, label, Traffic, Cost::WatchAnswerBytes, answers);
        self.add_message_rate(role, "answers to watches", answers, "config::list::Reader");
        let restarts = (deployment.destinations, deployment.size.restarts_per_day / SECONDS_PER_DAY);
        self.add(role, "whole lists after restarts, over a day", Traffic, Cost::CompleteListBytes, restarts);
        // The budget is that of a forwarder. The list source is not a forwarder, and no budget is defined for
        // it.
        let source = self.rows.iter_mut().filter(|r| r.role == Role::ListSource);
        source.for_each(|r| r.budget = None);
    }

    /// Adds the rows of the backlog of one forwarder.
    fn add_backlog(&mut self, deployment: &Deployment) {
        let role = Role::BacklogHolder;
        let messages = deployment.size.backlog_per_forwarder();
        self.add(role, "messages owed", Quantity::Memory, Cost::BacklogMemory, (messages, 1.0));
        let events = deployment.size.events_per_forwarder();
        self.add_message_rate(role, "events taken on", events, "core::Ledger");
        self.add(role, "messages owed", Quantity::Disk, Cost::BacklogDisk, (messages, 1.0));
        let read_back = (messages, 1e-6);
        self.add(role, "reading them back at a start", Quantity::Delay, Cost::BacklogRestartCpu, read_back);
    }
}

/// All rows of one deployment. The order of the rows is the same for every deployment.
#[must_use]
pub fn rows(reports: &Reports, deployment: &Deployment) -> Vec<Row> {
    let mut builder = Builder { reports, rows: Vec::new() };
    builder.add_forwarder(deployment);
    builder.add_voter(deployment);
    builder.add_broadcasters(deployment);
    builder.add_backlog(deployment);
    builder.rows
}
