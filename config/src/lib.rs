//! The one reader of what the platform states: the settings object, and the daemon's configuration.

pub mod daemon;
pub mod list;
pub mod settings;
pub mod smpp;
