//! Rate limits that endpoints announce, in requests per second.

use rand::RngExt;

use super::Pool;
use crate::{
    name::Name,
    rate_limit::{RateLimit, RateShare, RateUpdate, SharedRateLimiter},
    shard::EndpointKey,
    time::Time,
};

impl Pool {
    /// Sets this VM's share of the limits that endpoints announce.
    pub(in crate::shard) fn set_rate_share(&mut self, rate_share: RateShare) {
        self.rate_share = rate_share;
    }

    /// Returns the requests per second that all visible VMs can send to endpoints with a rate
    /// limit.
    pub(in crate::shard) fn rate_limited_per_second(&self) -> f64 {
        self.rate_limited_per_second
    }

    /// Sets the limit that an endpoint announces, or no longer announces, in its answer to a
    /// request sent at `sent_at`; returns whether it changed.
    pub(in crate::shard) fn on_rate_limit(
        &mut self,
        now: Time,
        name: &str,
        sent_at: Time,
        limit: Option<RateLimit>,
    ) -> bool {
        let Some(entry) = self.endpoints.get_mut(name) else { return false };
        match (&mut entry.rate, limit) {
            (Some(rate), limit) => rate.on_answer(sent_at, limit),
            (None, Some(limit)) => {
                let (share, turn) = (self.rate_share, self.rng.random());
                entry.rate = Some(SharedRateLimiter::new(now, sent_at, limit, share, turn));
                true
            }
            (None, None) => false,
        }
    }

    /// Records what another VM has sent to an endpoint with a rate limit.
    pub(in crate::shard) fn on_peer_sent(&mut self, now: Time, name: &str, peer: &Name, sent: u32) {
        if let Some(rate) = self.endpoints.get_mut(name).and_then(|entry| entry.rate.as_mut()) {
            rate.on_peer_count(now, peer, sent, self.rate_share, self.rng.random());
        }
    }

    /// Returns the update for other VMs on an endpoint with a rate limit.
    pub(in crate::shard) fn rate_update(&self, now: Time, name: &str) -> Option<RateUpdate> {
        self.endpoints.get(name).and_then(|entry| entry.rate.as_ref()?.update(now))
    }

    /// Returns all endpoints with a rate limit.
    pub(in crate::shard) fn rate_limits(&self, now: Time) -> Vec<(EndpointKey, RateUpdate)> {
        let limited = self.endpoints.iter().filter_map(|(name, entry)| {
            Some((EndpointKey::of(name), entry.rate.as_ref()?.update(now)?))
        });
        limited.collect()
    }
}
