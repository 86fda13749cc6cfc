//! Free slots that a request accepts.

use super::{EndpointKey, Pool};
use crate::{health::HealthState, time::Time};

impl Pool {
    /// Returns the endpoints that accept a request now and whose risk is at most `max_risk`, with
    /// their free slots.
    pub(in crate::shard) fn free_slots(&self, now: Time, max_risk: f64) -> Vec<(EndpointKey, u32)> {
        self.endpoints
            .values()
            .filter(|entry| entry.is_free(now, self.rate_share) && entry.risk <= max_risk)
            .filter(|entry| entry.health_state != HealthState::Trial)
            .map(|entry| (EndpointKey::of(&entry.endpoint.name), entry.limit - entry.in_flight))
            .collect()
    }

    /// Returns the maximum number of requests that all VMs together can have in flight at
    /// endpoints without a rate limit.
    pub(in crate::shard) fn fleet_capacity(&self) -> u32 {
        self.endpoints
            .values()
            .filter(|entry| entry.accepts_requests() && entry.rate_limit().is_none())
            .map(|entry| {
                entry.limit.saturating_add(entry.peer_in_flight()).min(entry.endpoint.slots)
            })
            .sum()
    }
}
