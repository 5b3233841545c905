//! The one reader of what the platform and the deployment state: the settings object, the daemon's
//! configuration, and the files that switch on what the platform does not use.

pub mod daemon;
pub mod dns;
pub mod list;
pub mod settings;
pub mod smpp;
mod toml;
