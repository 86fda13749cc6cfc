//! The daemon of pistachiotrack: the same program on every VM of a deployment.
//!
//! It accepts callers' requests, routes each to the shard that the rules select
//! and dispatches it from there to an endpoint. All decisions are made by
//! `pistachiotrack-core`; this crate does the I/O: it turns sockets, timers and
//! signals into events for the core and carries out the core's actions.

mod config;
mod connections;
mod formats;
mod membership;
mod peers;
mod program;
mod request;
mod runtime;
mod serving;
mod shards;
mod stats;

pub use self::{
    config::{registry, settings, source},
    formats::{dialect, gzip, peer_result},
    program::{daemon, logging, process},
    runtime::{clock, exit_codes, http_call},
};
