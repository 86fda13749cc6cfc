//! Clocks, timers and sockets.

pub mod clock;
pub mod exit_codes;
pub mod http_call;
pub(crate) mod path_fault;
pub(crate) mod socket;
pub(crate) mod timer;
