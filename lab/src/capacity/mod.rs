//! What the design costs at a given size: measured slopes, the table worked out from them, and the check that the page
//! shows the table as it is.

pub mod cost;
mod figure;
pub mod fit;
mod page;
mod reports;
mod roles;
pub mod size;
mod table;

pub use figure::{Basis, Figure, Quantity, Verdict};
pub use page::{BEGIN, END, difference, put};
pub use reports::{Measured, Reports};
pub use roles::{Deployment, Role, Row, rows};
pub use table::render;

use size::TWO_YEARS;
use std::path::{Path, PathBuf};

/// Senders of each destination in the table's second column.
pub const OWNERS: f64 = 3.0;

/// What the command is asked to do.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The folder with the reports.
    pub reports: PathBuf,
    /// The page whose table must be the one that they give.
    pub check: Option<PathBuf>,
    /// The page that the table is put into.
    pub write: Option<PathBuf>,
    pub owners: Option<f64>,
}

/// Works the table out, and shows, checks or writes it. False: the page's table is another one.
///
/// # Errors
/// One line: a report or the page cannot be used.
pub fn run(request: &Request) -> Result<bool, String> {
    let reports = Reports::read(&request.reports)?;
    let flat = Deployment::flat(TWO_YEARS);
    let owned = Deployment::owned(TWO_YEARS, request.owners.unwrap_or(OWNERS))?;
    let table = render(&reports, &flat, &owned);
    if let Some(page) = &request.write {
        let text = put(&read(page)?, &table).map_err(|why| format!("{}: {why}", page.display()))?;
        std::fs::write(page, text).map_err(|e| format!("{}: {e}", page.display()))?;
    }
    let Some(page) = &request.check else {
        if request.write.is_none() {
            print!("{table}");
        }
        return Ok(true);
    };
    let difference = difference(&read(page)?, &table).map_err(|why| format!("{}: {why}", page.display()))?;
    match &difference {
        Some(lines) => println!("{}: the table is not that of the reports:\n{lines}", page.display()),
        None => println!("{}: the table is that of the reports", page.display()),
    }
    Ok(difference.is_none())
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}
