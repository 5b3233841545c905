//! A soak test: a few dozen real daemons under random, overlapping faults, judged by the rules.
//!
//! - [`faults`] generates the faults of a run from a seed.
//! - [`server`], [`discovery`] and [`clients`] are the stand-ins, which also carry out most faults.
//! - [`observations`] is what the stand-ins recorded, each independently; no daemon judges itself.
//! - [`judge`] says which rules were broken. The daemons' own counts of violations must be 0 as well.

pub mod clients;
pub mod discovery;
mod environment;
pub mod faults;
pub mod judge;
pub mod observations;
mod operators;
mod processes;
mod run;
pub mod server;
mod settings;

pub use run::{SoakSize, run_soak};
