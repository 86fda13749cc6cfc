//! What is asked of an endpoint, and which one was chosen.

use std::net::SocketAddr;

use super::PoolEntry;
use crate::{health::Standing, name::Name, shard::SelectionReason, time::Time};

/// What the endpoint of an attempt must be like.
#[derive(Clone, Copy, Debug)]
pub(in crate::shard) struct PickCriteria<'a> {
    pub(in crate::shard) idempotent: bool,
    /// Whether a failure on an endpoint under trial can still be mended.
    pub(in crate::shard) allow_trial: bool,
    pub(in crate::shard) tried: &'a [Name],
    /// Largest risk that the request may be put to.
    pub(in crate::shard) max_risk: f64,
    /// Present moment.
    pub(in crate::shard) now: Time,
    /// Whether so much of the service's work is lost that all endpoints are needed.
    pub(in crate::shard) is_failure_rate_high: bool,
    /// Whether an endpoint that was tried already is better than none.
    pub(in crate::shard) allow_already_tried: bool,
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug)]
pub(in crate::shard) struct Pick {
    pub(in crate::shard) name: Name,
    pub(in crate::shard) address: SocketAddr,
    pub(in crate::shard) health_status: Standing,
    pub(in crate::shard) reason: SelectionReason,
}

impl Pick {
    pub(super) fn of(entry: &PoolEntry, reason: SelectionReason) -> Pick {
        Pick {
            name: entry.endpoint.name.clone(),
            address: entry.endpoint.address,
            health_status: entry.health_status,
            reason,
        }
    }
}
