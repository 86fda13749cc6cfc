//! Small stand-ins of the platform, endpoints and callers, and what is measured
//! with them: the demo and the experiments.
//!
//! Everything here runs inside one process, on loopback; only the daemons are
//! processes of their own.

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
pub mod link;
pub mod link_proxy;
pub mod load;
pub mod platform;
pub mod runtime;
pub mod server;
pub mod soak;
pub mod summary;
pub mod work;
pub mod workload;
