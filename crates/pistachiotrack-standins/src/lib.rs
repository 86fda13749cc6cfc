//! Test stand-ins for the platform, endpoints and callers, and the demo, experiments and soak
//! test that use them.
//!
//! All stand-ins run in one process on loopback addresses; each daemon is a separate process.

pub mod admin;
pub mod caller;
pub mod daemon;
pub mod demo;
pub mod deployment;
pub mod ejection;
pub mod endpoint;
pub mod execution_counter;
pub mod experiment;
pub mod fault;
pub mod fleet;
mod late_copies;
pub mod link;
pub mod link_proxy;
pub mod load;
pub mod platform;
pub mod runtime;
pub mod server;
pub mod soak;
pub mod summary;
pub mod work;
pub mod work_log;
pub mod workload;
