//! The forwarder daemon: it carries out the core's decisions on real sockets. Everything runs on one thread.
//! The core, each endpoint, the endpoint list and the status notices are actors with bounded mailboxes.

pub mod clock;
pub mod core_actor;
pub mod counters;
pub mod invariants;
pub mod list;
pub mod log;
pub mod log_reader;
pub mod maintenance;
pub mod memory_plan;
pub mod net;
pub mod notices;
pub mod resource_usage;
pub mod serve;
pub mod shared_ids;
pub mod shared_waits;
pub mod show;
pub mod sibling;
pub mod sibling_log;
pub mod startup;
pub mod state_files;
pub mod state_folder;
pub mod wal;
