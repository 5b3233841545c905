//! Renders the generated part of the page.

use super::cost::{Cost, Slope};
use super::figure::{Quantity, format_number};
use super::fit::Shape;
use super::reports::{Reports, SlopesReport};
use super::roles::{Deployment, Role, Row, VOTER_COUNT, rows};
use std::fmt::Write;

/// Microseconds of processor time that one core provides per second.
const CORE_US_PER_S: f64 = 1e6;

/// The costs of the roles at the two-year size in both deployments, the slopes that they are computed from,
/// and the claims of the scale runs.
#[must_use]
pub fn render(reports: &Reports, unpartitioned: &Deployment, partitioned: &Deployment) -> String {
    let (today, other) = (rows(reports, unpartitioned), rows(reports, partitioned));
    let mut out = String::new();
    let _ = writeln!(out, "{}\n", largest_overrun(&today, "of today's design"));
    let listed = format_number(partitioned.destinations);
    let head = "| Role | What | Slope, report | Basis | Mechanism | Count | Today | Against the budget |";
    let _ = writeln!(out, "{head} With {listed} destinations each | Against the budget |");
    let _ = writeln!(out, "|{}", "---|".repeat(10));
    for (row, other) in today.iter().zip(&other) {
        let _ = writeln!(out, "{}", role_line(row, other));
    }
    let _ = writeln!(out, "\n{}", control_machines(&today, unpartitioned));
    let _ = writeln!(out, "\nSlopes:\n");
    let _ = writeln!(out, "| Slope | Report | Sizes | Cost of one | Constant | Residual | Shape |");
    let _ = writeln!(out, "|{}", "---|".repeat(7));
    for cost in Cost::ALL {
        for SlopesReport { name, slopes } in &reports.slopes {
            if let Some(slope) = slopes.slopes.get(cost) {
                let _ = writeln!(out, "{}", slope_line(*cost, name, slope));
            }
        }
    }
    let _ = writeln!(out, "\nScale runs:\n\n{}", scale_claims(reports));
    out
}

/// The amount with its unit.
fn amount(row: &Row) -> String {
    row.quantity.format(row.figure.amount)
}

/// The comparison of the amount with the budget.
fn budget_check(row: &Row) -> String {
    row.budget_check().map_or_else(|| "no budget".to_owned(), |c| c.to_string())
}

/// One line of the table of roles: the row in the first deployment, and the amount in the second.
fn role_line(row: &Row, other: &Row) -> String {
    let slope = row.slope.as_ref().map_or("-".to_owned(), |(c, report)| format!("`{}`, {report}", c.name()));
    let (role, label, basis) = (row.role.name(), row.label, row.figure.basis);
    let (count, mechanism) = (&row.count, row.mechanism());
    let today = format!("{} | {}", amount(row), budget_check(row));
    let other = format!("{} | {}", amount(other), budget_check(other));
    format!("| {role} | {label} | {slope} | {basis} | {mechanism} | {count} | {today} | {other} |")
}

/// One line about the row that exceeds its budget by the largest factor.
fn largest_overrun(rows: &[Row], of: &str) -> String {
    let factor = |r: &Row| r.budget.map_or(0.0, |b| r.figure.amount / b);
    let worst = rows.iter().max_by(|a, b| factor(a).total_cmp(&factor(b)));
    worst.map_or_else(String::new, |r| {
        let (role, label, by) = (r.role.name(), r.label, format_number(factor(r)));
        format!("Largest failing factor {of}: {role}, {label}: {}, {by} times its budget.", amount(r))
    })
}

/// The cores that the roles which serve all forwarders would need, beside the machines reserved for control.
/// A process of these roles runs on one core.
fn control_machines(rows: &[Row], deployment: &Deployment) -> String {
    let cores = |role: Role| {
        let of_role = rows.iter().filter(|r| r.role == role && r.quantity == Quantity::Processor);
        of_role.map(|r| r.figure.amount).sum::<f64>() / CORE_US_PER_S
    };
    let voter = cores(Role::Voter);
    let others = cores(Role::ListRelay) + cores(Role::Coordinator);
    let all = voter * VOTER_COUNT + others;
    let (voter_cores, machines) = (format_number(voter), format_number(deployment.size.control_machines));
    format!(
        "Set aside for control: {machines} machines. A voter would take {voter_cores} cores of one, and a \
         process runs on one; {VOTER_COUNT} voters, the list relay and the coordinator together {} cores.",
        format_number(all)
    )
}

/// One line of the table of slopes.
fn slope_line(cost: Cost, report: &str, slope: &Slope) -> String {
    let (unit, item, fit) = (&slope.unit, &slope.item, &slope.fit);
    let [first, .., last] = fit.points.as_slice() else { return String::new() };
    let sizes = format!("{} to {}, {} points", first.x, last.x, fit.points.len());
    let (unit_cost, constant, shape) = match &fit.shape {
        // The constant is zero but for the rounding error of the solver.
        Shape::Linear { slope, intercept } if intercept.abs() < 1e-6 => {
            (*slope, "0".to_owned(), "straight".to_owned())
        }
        Shape::Linear { slope, intercept } => (*slope, format_number(*intercept), "straight".to_owned()),
        Shape::Nonlinear { reason } => {
            (fit.unit_cost_at_largest(), "-".to_owned(), format!("bent: {reason}; at the largest size"))
        }
    };
    let unit_cost = format!("{} {unit} for each {item}", format_number(unit_cost));
    format!(
        "| `{}` | {report} | {sizes} | {unit_cost} | {constant} | {:.3} | {shape} |",
        cost.name(),
        fit.residual
    )
}

/// The table of the claims of the scale runs.
fn scale_claims(reports: &Reports) -> String {
    if reports.scale_claims.is_empty() {
        return "No report of a scale run is there: not measured.".to_owned();
    }
    let mut out = "| Report | Claim | Measured | Bound | |\n|---|---|---|---|---|".to_owned();
    for (report, claims) in &reports.scale_claims {
        for c in claims {
            let value = c.value.map_or("not measured".to_owned(), format_number);
            let held = if c.held { "held" } else { "**not held**" };
            let (name, sense, bound, unit) = (&c.name, &c.sense, format_number(c.bound), &c.unit);
            let _ = write!(out, "\n| {report} | {name} | {value} | {sense} {bound} {unit} | {held} |");
        }
    }
    out
}
