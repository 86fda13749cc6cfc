//! This VM in the fleet: members, configurations, and whether it reaches endpoints.

pub(crate) mod datagram_router;
pub(crate) mod fleet;
pub(crate) mod reach_monitor;
