//! What is asked of an endpoint, and which one was chosen.

use std::net::SocketAddr;

use super::Slots;
use crate::{health::HealthState, name::Name, shard::Choice, time::Time};

/// What the endpoint of an attempt must be like.
#[derive(Clone, Copy, Debug)]
pub(in crate::shard) struct Wanted<'a> {
    pub(in crate::shard) idempotent: bool,
    /// Whether a failure on an endpoint under trial can still be mended.
    pub(in crate::shard) may_try: bool,
    pub(in crate::shard) tried: &'a [Name],
    /// Largest risk that the request may be put to.
    pub(in crate::shard) max_risk: f64,
    /// Present moment.
    pub(in crate::shard) now: Time,
    /// Whether so much of the service's work is lost that all endpoints are needed.
    pub(in crate::shard) is_strained: bool,
    /// Whether an endpoint that was tried already is better than none.
    pub(in crate::shard) allow_tried: bool,
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug)]
pub(in crate::shard) struct Pick {
    pub(in crate::shard) name: Name,
    pub(in crate::shard) address: SocketAddr,
    pub(in crate::shard) standing: HealthState,
    pub(in crate::shard) choice: Choice,
}

impl Pick {
    pub(super) fn of(slots: &Slots, choice: Choice) -> Pick {
        Pick {
            name: slots.endpoint.name.clone(),
            address: slots.endpoint.address,
            standing: slots.standing,
            choice,
        }
    }
}
