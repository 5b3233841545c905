//! The generated part of the capacity page.

/// The line before the generated part of the page.
pub const BEGIN_MARKER: &str = "<!-- capacity:begin -->";
/// The line after the generated part of the page.
pub const END_MARKER: &str = "<!-- capacity:end -->";

/// Splits the page into the text before the generated part, the generated part, and the text after it.
fn split(page: &str) -> Result<(&str, &str, &str), String> {
    let (before, rest) =
        page.split_once(BEGIN_MARKER).ok_or_else(|| format!("the page has no line {BEGIN_MARKER}"))?;
    let (table, after) =
        rest.split_once(END_MARKER).ok_or_else(|| format!("the page has no line {END_MARKER}"))?;
    Ok((before, table, after))
}

/// The first line of the page's table that differs from the computed table, or `None` if the tables are
/// equal.
///
/// # Errors
/// The page has no markers for the table.
pub fn first_difference(page: &str, table: &str) -> Result<Option<String>, String> {
    let (_, shown, _) = split(page)?;
    let (mut shown_lines, mut computed_lines) = (shown.trim().lines(), table.trim().lines());
    loop {
        match (shown_lines.next(), computed_lines.next()) {
            (None, None) => return Ok(None),
            (shown, computed) if shown == computed => {}
            (shown, computed) => {
                let line = |l: Option<&str>| l.unwrap_or("(nothing)").to_owned();
                return Ok(Some(format!("  page:    {}\n  reports: {}", line(shown), line(computed))));
            }
        }
    }
}

/// The page with its generated part replaced by this table.
///
/// # Errors
/// The page has no markers for the table.
pub fn insert_table(page: &str, table: &str) -> Result<String, String> {
    let (before, _, after) = split(page)?;
    Ok(format!("{before}{BEGIN_MARKER}\n{}\n{END_MARKER}{after}", table.trim()))
}
