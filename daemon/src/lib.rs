//! The forwarder: the module's decisions on real sockets. Everything runs on one thread; each peer, the list,
//! the notices and the module are actors with bounded mailboxes.

pub mod beside;
pub mod clock;
pub mod counters;
pub mod folder;
pub mod invariants;
pub mod keep;
pub mod list;
pub mod log;
pub mod maintenance;
pub mod module;
pub mod net;
pub mod notices;
pub mod serve;
pub mod shared_waits;
pub mod show;
pub mod start;
pub mod wal;
