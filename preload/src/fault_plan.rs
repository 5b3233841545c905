//! The fault plan: a text file of `key = value` lines, which may be replaced while the process runs.

/// How a write fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// Every write fails with this error number.
    Errno(i32),
    /// Half of the data is written, and the next write fails.
    Short,
}

/// Which calls fail, and for which files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// How writes to files whose path contains `path` fail, if they do.
    pub write: Option<WriteFault>,
    /// Truncations of those files fail.
    pub truncate: bool,
    /// Part of a path, which selects the files.
    pub path: String,
}

/// Parses a plan.
///
/// # Errors
/// A message of one line: the number of the invalid line, its key and what is wrong.
pub fn parse(text: &str) -> Result<FaultPlan, String> {
    let mut plan = FaultPlan::default();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let error = |message: &str| format!("line {}: {message}: {line}", index + 1);
        let (key, value) = line.split_once('=').ok_or_else(|| error("not key = value"))?;
        let value = value.trim().trim_matches('"');
        match key.trim() {
            "write" => {
                plan.write = Some(parse_write_fault(value).ok_or_else(|| error("write: no such error"))?)
            }
            "truncate" => plan.truncate = value.parse().map_err(|_| error("truncate: true or false"))?,
            "path" if !value.is_empty() && !value.contains("..") => value.clone_into(&mut plan.path),
            "path" => return Err(error("path: a part of a path inside the folder")),
            _ => return Err(error("no such key")),
        }
    }
    if plan.write.is_some() && plan.path.is_empty() {
        return Err("path: missing".to_owned());
    }
    Ok(plan)
}

fn parse_write_fault(name: &str) -> Option<WriteFault> {
    match name {
        "ENOSPC" => Some(WriteFault::Errno(libc::ENOSPC)),
        "EIO" => Some(WriteFault::Errno(libc::EIO)),
        "short" => Some(WriteFault::Short),
        _ => None,
    }
}
