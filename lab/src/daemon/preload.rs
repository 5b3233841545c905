//! Faults of system calls inside a daemon's process; see the crate `preload`.

use super::write;
use std::path::PathBuf;

/// Faults of system calls inside a daemon's process.
#[derive(Clone, Debug)]
pub struct Preload {
    pub(super) library: PathBuf,
    pub(super) plan: PathBuf,
    /// How far the next process's wall clock is off.
    pub clock_step_s: i64,
}

impl Preload {
    /// With the library beside this program, as one build makes both, and a plan in a daemon's folder.
    pub fn with_plan(plan: PathBuf) -> Result<Preload, String> {
        let me = std::env::current_exe().map_err(|e| e.to_string())?;
        let library = me.with_file_name("libonyxrock_preload.so");
        if !library.exists() {
            return Err(format!("no library at {}", library.display()));
        }
        Ok(Preload { library, plan, clock_step_s: 0 })
    }

    /// From now on this fails.
    pub fn write_plan(&self, plan: &str) -> Result<(), String> {
        write(&self.plan, plan)
    }

    /// How often a fault of this name was met.
    pub fn hit_count(&self, what: &str) -> usize {
        let file = format!("{}.hits", self.plan.display());
        std::fs::read_to_string(file).unwrap_or_default().lines().filter(|line| *line == what).count()
    }
}
