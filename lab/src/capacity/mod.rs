//! Control cost of the design at a given size: the measured slopes, the table computed from them, and the
//! check that the committed page shows exactly that table.

pub mod cost;
mod figure;
pub mod fit;
mod page;
mod reports;
mod roles;
pub mod size;
mod table;

pub use figure::{Basis, BudgetCheck, Figure, Quantity};
pub use page::{BEGIN_MARKER, END_MARKER, first_difference, insert_table};
pub use reports::{Reports, SlopesReport};
pub use roles::{Deployment, Role, Row, rows};
pub use table::render;

use size::TWO_YEAR_SIZE;
use std::path::{Path, PathBuf};

/// Default number of senders of each destination in the table's second deployment.
pub const DEFAULT_SENDERS_PER_DESTINATION: f64 = 3.0;

/// Arguments of the `capacity` command.
#[derive(Clone, Debug, Default)]
pub struct CapacityArgs {
    /// The folder with the reports.
    pub reports: PathBuf,
    /// The page whose table is compared with the table computed from the reports.
    pub check: Option<PathBuf>,
    /// The page whose table is replaced by the table computed from the reports.
    pub write: Option<PathBuf>,
    /// Senders of each destination in the second deployment, instead of [`DEFAULT_SENDERS_PER_DESTINATION`].
    pub senders_per_destination: Option<f64>,
}

/// Computes the table, and prints it, compares it with a page or writes it into one. Returns false if the
/// page shows another table.
///
/// # Errors
/// One line: a report or the page cannot be used.
pub fn run(request: &CapacityArgs) -> Result<bool, String> {
    let reports = Reports::read(&request.reports)?;
    let unpartitioned = Deployment::unpartitioned(TWO_YEAR_SIZE);
    let senders_per_destination = request.senders_per_destination.unwrap_or(DEFAULT_SENDERS_PER_DESTINATION);
    let partitioned = Deployment::partitioned(TWO_YEAR_SIZE, senders_per_destination)?;
    let table = render(&reports, &unpartitioned, &partitioned);
    if let Some(page) = &request.write {
        let text = insert_table(&read(page)?, &table).map_err(|e| format!("{}: {e}", page.display()))?;
        std::fs::write(page, text).map_err(|e| format!("{}: {e}", page.display()))?;
    }
    let Some(page) = &request.check else {
        if request.write.is_none() {
            print!("{table}");
        }
        return Ok(true);
    };
    let difference =
        first_difference(&read(page)?, &table).map_err(|e| format!("{}: {e}", page.display()))?;
    match &difference {
        Some(lines) => {
            println!("{}: the table differs from the one computed from the reports:\n{lines}", page.display())
        }
        None => println!("{}: the table matches the reports", page.display()),
    }
    Ok(difference.is_none())
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}
