//! The part of the page that the command makes.

/// It stands between these lines.
pub const BEGIN: &str = "<!-- capacity:begin -->";
pub const END: &str = "<!-- capacity:end -->";

/// Before, in, and behind the part that the command makes.
fn parts(page: &str) -> Result<(&str, &str, &str), String> {
    let (before, rest) = page.split_once(BEGIN).ok_or_else(|| format!("it has no line {BEGIN}"))?;
    let (table, behind) = rest.split_once(END).ok_or_else(|| format!("it has no line {END}"))?;
    Ok((before, table, behind))
}

/// The first line of the page's table that differs from the one worked out, if any does.
///
/// # Errors
/// The page has no place for the table.
pub fn difference(page: &str, table: &str) -> Result<Option<String>, String> {
    let (_, shown, _) = parts(page)?;
    let (mut shown, mut wanted) = (shown.trim().lines(), table.trim().lines());
    loop {
        match (shown.next(), wanted.next()) {
            (None, None) => return Ok(None),
            (a, b) if a == b => {}
            (a, b) => {
                let line = |l: Option<&str>| l.unwrap_or("(nothing)").to_owned();
                return Ok(Some(format!("  page:    {}\n  reports: {}", line(a), line(b))));
            }
        }
    }
}

/// The page with this table.
///
/// # Errors
/// The page has no place for it.
pub fn put(page: &str, table: &str) -> Result<String, String> {
    let (before, _, behind) = parts(page)?;
    Ok(format!("{before}{BEGIN}\n{}\n{END}{behind}", table.trim()))
}
