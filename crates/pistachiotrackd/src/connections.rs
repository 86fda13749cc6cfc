//! Connections of callers and to endpoints, and single exchanges on them.

pub(crate) mod arrival;
pub(crate) mod busy_guard;
pub(crate) mod carried_requests;
pub(crate) mod connection;
pub(crate) mod connection_pool;
pub(crate) mod exchange;
pub(crate) mod guarded_stream;
pub(crate) mod peer_monitor;
pub(crate) mod stall_guard;
