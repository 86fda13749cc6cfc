//! The daemon of pistachiotrack: the same program on every VM of a deployment.
//!
//! It accepts callers' requests, routes each to the shard that the rules select
//! and dispatches it from there to an endpoint. All decisions are made by
//! `pistachiotrack-core`; this crate does the I/O: it turns sockets, timers and
//! signals into events for the core and carries out the core's actions.

mod admin;
mod answer;
mod arrival;
mod attempt;
mod body;
pub mod clock;
mod connection;
mod connection_pool;
mod context;
mod crash_check;
mod customer_limits;
pub mod daemon;
mod datagram;
pub mod dialect;
mod endpoint_notices;
mod entries;
mod exchange;
pub mod exit_codes;
mod exposition;
mod fleet;
mod forward;
mod forward_stats;
mod forwarded_route;
mod guarded_stream;
pub mod gzip;
mod hand_off;
mod hand_over;
mod headers;
mod histogram;
pub mod http_call;
mod inbound;
mod listener;
pub mod logging;
mod metrics;
mod path_check;
mod path_fault;
mod peer_client;
mod peer_message;
pub mod peer_result;
mod peer_service;
mod platform;
mod probe;
pub mod process;
mod proxy;
mod quarantine;
mod reach_monitor;
mod receive;
mod refusal_log;
pub mod registry;
mod rejection;
mod relay_client;
mod relay_server;
mod request_body;
mod request_task;
pub mod settings;
mod shard_actor;
mod shard_status;
mod shard_table;
mod shard_update_link;
mod socket;
pub mod source;
mod stall_guard;
mod timer;
mod traffic;
mod udp;
mod view;
