//! Criteria for the selection of an endpoint, and its result.

use std::net::SocketAddr;

use super::PoolEntry;
use crate::{health::HealthState, name::Name, shard::SelectionReason, time::Time};

/// Criteria for the endpoint of an attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::shard) struct PickCriteria<'a> {
    pub(in crate::shard) idempotent: bool,
    /// Whether an endpoint under trial may be selected because there is time for a retry if it
    /// fails.
    pub(in crate::shard) allow_trial: bool,
    /// Whether requests that must not run twice may select such an endpoint too, because the
    /// service has no others.
    pub(in crate::shard) allow_trial_by_any: bool,
    /// Whether the attempt explores an endpoint with an elevated risk, if there is one.
    pub(in crate::shard) explores: bool,
    pub(in crate::shard) tried: &'a [Name],
    /// Highest risk that the request accepts.
    pub(in crate::shard) max_risk: f64,
    pub(in crate::shard) now: Time,
    /// Whether so many of the service's requests fail that all endpoints are needed.
    pub(in crate::shard) is_failure_rate_high: bool,
    /// Whether an endpoint that was already tried may be selected if there is no other.
    pub(in crate::shard) allow_already_tried: bool,
}

/// The endpoint selected for an attempt.
#[derive(Clone, Debug)]
pub(in crate::shard) struct Pick {
    pub(in crate::shard) name: Name,
    pub(in crate::shard) address: SocketAddr,
    pub(in crate::shard) health_state: HealthState,
    pub(in crate::shard) reason: SelectionReason,
}

impl Pick {
    pub(super) fn of(entry: &PoolEntry, reason: SelectionReason) -> Pick {
        Pick {
            name: entry.endpoint.name.clone(),
            address: entry.endpoint.address,
            health_state: entry.health_state,
            reason,
        }
    }
}
