//! Limits that endpoints name in requests a second.

use rand::RngExt;

use super::Pool;
use crate::{
    name::Name,
    rate_limit::{RateLimit, RateShare, RateUpdate, SharedRateLimiter},
    shard::EndpointKey,
    time::Time,
};

impl Pool {
    /// Sets how this VM takes part in keeping the limits that endpoints name.
    pub(in crate::shard) fn set_rate_share(&mut self, rate_share: RateShare) {
        self.rate_share = rate_share;
    }

    /// Returns the requests a second that all VMs in view can send to endpoints that name a
    /// limit.
    pub(in crate::shard) fn limited_per_second(&self) -> f64 {
        self.limited_per_second
    }

    /// Takes the limit that an endpoint names, or no longer names, in its answer to a request
    /// that was sent at `sent_at`; returns whether it changed.
    pub(in crate::shard) fn on_rate_limit(
        &mut self,
        now: Time,
        name: &str,
        sent_at: Time,
        limit: Option<RateLimit>,
    ) -> bool {
        let Some(slots) = self.slots.get_mut(name) else { return false };
        match (&mut slots.rate, limit) {
            (Some(rate), limit) => rate.on_answer(sent_at, limit),
            (None, Some(limit)) => {
                let (share, turn) = (self.rate_share, self.rng.random());
                slots.rate = Some(SharedRateLimiter::new(now, sent_at, limit, share, turn));
                true
            }
            (None, None) => false,
        }
    }

    /// Takes what another VM has sent to an endpoint that names a limit.
    pub(in crate::shard) fn on_peer_rate(&mut self, now: Time, name: &str, peer: &Name, sent: u32) {
        if let Some(rate) = self.slots.get_mut(name).and_then(|slots| slots.rate.as_mut()) {
            rate.on_peer_count(now, peer, sent, self.rate_share, self.rng.random());
        }
    }

    /// Returns what other VMs are told of an endpoint that names a limit.
    pub(in crate::shard) fn rate_news(&self, now: Time, name: &str) -> Option<RateUpdate> {
        self.slots.get(name).and_then(|slots| slots.rate.as_ref()?.update(now))
    }

    /// Returns all endpoints that name a limit.
    pub(in crate::shard) fn rate_limits(&self, now: Time) -> Vec<(EndpointKey, RateUpdate)> {
        let limited = self.slots.iter().filter_map(|(name, slots)| {
            Some((EndpointKey::of(name), slots.rate.as_ref()?.update(now)?))
        });
        limited.collect()
    }
}
