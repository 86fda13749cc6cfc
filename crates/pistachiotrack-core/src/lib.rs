//! Decision logic of the pistachiotrack proxy fleet, without I/O.
//!
//! Each component is a plain struct that takes typed events together with a
//! monotonic [`time::Time`] and returns typed actions. Nothing here opens a
//! socket, reads a clock or starts a thread, so that the daemon, the fault
//! injection tests, the fuzzers and the experiments all run the same code.

pub mod admin;
pub mod admission;
pub mod api_key;
pub mod authentication;
pub mod caller_limits;
pub mod concurrency_limit;
pub mod config;
pub mod config_lease;
pub mod config_sync;
pub mod contract;
pub mod copies;
pub mod customer;
pub mod customer_limit;
pub mod data_centre;
pub mod endpoint;
pub mod endpoint_notice;
pub mod feature_flags;
pub mod fingerprint;
pub mod hash;
pub mod header;
pub mod health;
pub mod idempotency;
pub mod membership;
pub mod message;
pub mod name;
pub mod ownership;
pub mod pause;
pub mod prior_attempts;
pub mod quarantine;
pub mod rate_limit;
pub mod reachability;
pub mod refusal;
pub mod registry_view;
pub mod request;
pub mod retry;
pub mod rule;
pub mod service;
pub mod shard;
pub mod steering;
pub mod stop;
pub mod time;
pub mod transfers;
pub mod vm;
pub mod work_time;
