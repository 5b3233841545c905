//! A soak test: a few dozen real daemons under random faults that overlap, judged by the rules.
//!
//! - [`faults`] draws what goes wrong from a seed.
//! - [`server`], [`discovery`] and [`clients`] are the stand-ins, and carry most of it out.
//! - [`ledger`] is what they saw, each for itself; nothing in a daemon is asked to judge itself.
//! - [`judge`] says which rules were broken. The daemons' own counts of violations have to be 0 as well.

pub mod clients;
pub mod discovery;
pub mod faults;
pub mod judge;
pub mod ledger;
mod operators;
mod processes;
mod run;
pub mod server;
mod settings;
mod surroundings;

pub use run::{Soak, play};
