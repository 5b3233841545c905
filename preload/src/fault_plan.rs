//! The plan of faults: a few lines of `key = value`, which may be replaced while the process runs.

/// How a write fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// With this error.
    Errno(i32),
    /// Half of it is written, and the next one fails.
    Short,
}

/// What is to fail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Writes to files whose path holds `path` fail so.
    pub write: Option<WriteFault>,
    /// Truncations of such files fail, too.
    pub truncate: bool,
    /// Part of a path.
    pub path: String,
}

/// Reads a plan.
///
/// # Errors
/// One line with the number of the line, its key and what is wrong.
pub fn parse(text: &str) -> Result<FaultPlan, String> {
    let mut plan = FaultPlan::default();
    for (at, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let wrong = |what: &str| format!("line {}: {what}: {line}", at + 1);
        let (key, value) = line.split_once('=').ok_or_else(|| wrong("not key = value"))?;
        let value = value.trim().trim_matches('"');
        match key.trim() {
            "write" => plan.write = Some(fault(value).ok_or_else(|| wrong("write: no such error"))?),
            "truncate" => plan.truncate = value.parse().map_err(|_| wrong("truncate: true or false"))?,
            "path" if !value.is_empty() && !value.contains("..") => value.clone_into(&mut plan.path),
            "path" => return Err(wrong("path: a part of a path inside the folder")),
            _ => return Err(wrong("no such key")),
        }
    }
    if plan.write.is_some() && plan.path.is_empty() {
        return Err("path: missing".to_owned());
    }
    Ok(plan)
}

fn fault(name: &str) -> Option<WriteFault> {
    match name {
        "ENOSPC" => Some(WriteFault::Errno(libc::ENOSPC)),
        "EIO" => Some(WriteFault::Errno(libc::EIO)),
        "short" => Some(WriteFault::Short),
        _ => None,
    }
}
