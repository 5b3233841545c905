//! Injection of faults into the system calls of a daemon; see the crate `preload`.

use super::write_file;
use std::path::PathBuf;

/// The preloaded library that makes system calls fail, and the file that tells it which.
#[derive(Clone, Debug)]
pub struct Preload {
    pub(super) library: PathBuf,
    pub(super) plan: PathBuf,
    /// Offset, in seconds, of the wall clock that the next process sees.
    pub clock_step_s: i64,
}

impl Preload {
    /// Uses the library in the folder of this program, where one build puts both, and the fault plan at this
    /// path.
    pub fn with_plan(plan: PathBuf) -> Result<Preload, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let library = program.with_file_name("libonyxrock_preload.so");
        if !library.exists() {
            return Err(format!("the preload library is missing at {}", library.display()));
        }
        Ok(Preload { library, plan, clock_step_s: 0 })
    }

    /// Replaces the fault plan; it applies from now on.
    pub fn write_plan(&self, plan: &str) -> Result<(), String> {
        write_file(&self.plan, plan)
    }

    /// How often a fault of this name was injected.
    pub fn hit_count(&self, fault: &str) -> usize {
        let file = format!("{}.hits", self.plan.display());
        std::fs::read_to_string(file).unwrap_or_default().lines().filter(|line| *line == fault).count()
    }
}
