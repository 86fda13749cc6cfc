//! Small stand-ins of the platform, endpoints and callers, and what is measured
//! with them: the demo and the experiments.
//!
//! Everything here runs inside one process, on loopback; only the daemons are
//! processes of their own.

pub mod caller;
pub mod endpoint;
pub mod experiment;
pub mod fault;
pub mod ledger;
pub mod platform;
pub mod server;
pub mod work;
