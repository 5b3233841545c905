//! The table as the page shows it.

use super::cost::{Cost, Slope};
use super::figure::{Quantity, digits};
use super::fit::Shape;
use super::reports::{Measured, Reports};
use super::roles::{Deployment, Role, Row, VOTERS, rows};
use std::fmt::Write;

/// Microseconds of a whole core in a second.
const CORE_US_PER_S: f64 = 1e6;

/// The roles at the two-year size, the slopes behind them, and what the scale runs say.
#[must_use]
pub fn render(reports: &Reports, flat: &Deployment, owned: &Deployment) -> String {
    let (today, other) = (rows(reports, flat), rows(reports, owned));
    let mut out = String::new();
    let _ = writeln!(out, "{}\n", largest(&today, "of today's design"));
    let listed = digits(owned.destinations);
    let head = "| Role | What | Slope, report | Basis | Mechanism | Count | Today | Against the budget |";
    let _ = writeln!(out, "{head} With {listed} destinations each | Against the budget |");
    let _ = writeln!(out, "|{}", "---|".repeat(10));
    for (row, other) in today.iter().zip(&other) {
        let _ = writeln!(out, "{}", line(row, other));
    }
    let _ = writeln!(out, "\n{}", control_machines(&today, flat));
    let _ = writeln!(out, "\nSlopes:\n");
    let _ = writeln!(out, "| Slope | Report | Sizes | Cost of one | Constant | Residual | Shape |");
    let _ = writeln!(out, "|{}", "---|".repeat(7));
    for cost in Cost::ALL {
        for Measured { name, slopes } in &reports.slopes {
            if let Some(slope) = slopes.slopes.get(cost) {
                let _ = writeln!(out, "{}", slope_line(*cost, name, slope));
            }
        }
    }
    let _ = writeln!(out, "\nScale runs:\n\n{}", scale(reports));
    out
}

fn amount(row: &Row) -> String {
    row.quantity.show(row.figure.amount)
}

fn verdict(row: &Row) -> String {
    row.verdict().map_or_else(|| "no budget".to_owned(), |v| v.to_string())
}

fn line(row: &Row, other: &Row) -> String {
    let slope = row.slope.as_ref().map_or("-".to_owned(), |(c, report)| format!("`{}`, {report}", c.name()));
    let (role, what, basis) = (row.role.name(), row.what, row.figure.basis);
    let (count, mechanism) = (&row.count, row.mechanism());
    let today = format!("{} | {}", amount(row), verdict(row));
    let other = format!("{} | {}", amount(other), verdict(other));
    format!("| {role} | {what} | {slope} | {basis} | {mechanism} | {count} | {today} | {other} |")
}

/// The row that fails by the largest factor, in one line.
fn largest(rows: &[Row], of: &str) -> String {
    let factor = |r: &Row| r.budget.map_or(0.0, |b| r.figure.amount / b);
    let worst = rows.iter().max_by(|a, b| factor(a).total_cmp(&factor(b)));
    worst.map_or_else(String::new, |r| {
        let (role, what, by) = (r.role.name(), r.what, digits(factor(r)));
        format!("Largest failing factor {of}: {role}, {what}: {}, {by} times its budget.", amount(r))
    })
}

/// What the roles that serve all would take of the machines that are set aside for control, at a core for a process.
fn control_machines(rows: &[Row], deployment: &Deployment) -> String {
    let cores = |role: Role| {
        let of_role = rows.iter().filter(|r| r.role == role && r.quantity == Quantity::Processor);
        of_role.map(|r| r.figure.amount).sum::<f64>() / CORE_US_PER_S
    };
    let voter = cores(Role::Voter);
    let others = cores(Role::ListRelay) + cores(Role::Coordinator);
    let all = voter * VOTERS + others;
    let (each, machines) = (digits(voter), digits(deployment.size.machines_for_control));
    format!(
        "Set aside for control: {machines} machines. A voter would take {each} cores of one, and a process runs on one; \
         {VOTERS} voters, the list relay and the coordinator together {} cores.",
        digits(all)
    )
}

fn slope_line(cost: Cost, report: &str, slope: &Slope) -> String {
    let (unit, per, fit) = (&slope.unit, &slope.per, &slope.fit);
    let [first, .., last] = fit.points.as_slice() else { return String::new() };
    let sizes = format!("{} to {}, {} points", first.x, last.x, fit.points.len());
    let (each, constant, shape) = match &fit.shape {
        // What the solver leaves of a constant that is none.
        Shape::Straight { slope, intercept } if intercept.abs() < 1e-6 => {
            (*slope, "0".to_owned(), "straight".to_owned())
        }
        Shape::Straight { slope, intercept } => (*slope, digits(*intercept), "straight".to_owned()),
        Shape::Bent { why } => {
            (fit.each_at_largest(), "-".to_owned(), format!("bent: {why}; at the largest size"))
        }
    };
    let each = format!("{} {unit} for each {per}", digits(each));
    format!(
        "| `{}` | {report} | {sizes} | {each} | {constant} | {:.3} | {shape} |",
        cost.name(),
        fit.residual
    )
}

fn scale(reports: &Reports) -> String {
    if reports.scale.is_empty() {
        return "No report of a scale run is there: not measured.".to_owned();
    }
    let mut out = "| Report | Claim | Measured | Bound | |\n|---|---|---|---|---|".to_owned();
    for (report, claims) in &reports.scale {
        for c in claims {
            let value = c.value.map_or("not measured".to_owned(), digits);
            let held = if c.held { "held" } else { "**not held**" };
            let (name, sense, bound, unit) = (&c.name, &c.sense, digits(c.bound), &c.unit);
            let _ = write!(out, "\n| {report} | {name} | {value} | {sense} {bound} {unit} | {held} |");
        }
    }
    out
}
