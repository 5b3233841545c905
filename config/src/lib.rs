//! Reads and checks all configuration: the platform's settings object ([`settings`]), the daemon's
//! configuration file ([`daemon`]), the endpoint list ([`list`]), and the file that enables features beyond
//! the platform's settings ([`product`]).

pub mod daemon;
pub mod dns;
pub mod duties;
pub mod idle;
pub mod list;
pub mod product;
pub mod reload;
pub mod settings;
pub mod smpp;
