//! The one reader of what the platform and the deployment state: the settings object, the daemon's
//! configuration, and [`product`], the file that switches on what the platform does not use.

pub mod daemon;
pub mod dns;
pub mod duties;
pub mod idle;
pub mod list;
pub mod product;
pub mod reload;
pub mod settings;
pub mod smpp;
