//! Limits that endpoints name in requests a second.

use rand::RngExt;

use super::Pool;
use crate::{
    name::Name,
    rate_limit::{RateLimit, RateNews, RateShare, SharedRate},
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
        let Some(entry) = self.endpoints.get_mut(name) else { return false };
        match (&mut entry.rate, limit) {
            (Some(rate), limit) => rate.on_answer(sent_at, limit),
            (None, Some(limit)) => {
                let (share, phase) = (self.rate_share, self.rng.random());
                entry.rate = Some(SharedRate::new(now, sent_at, limit, share, phase));
                true
            }
            (None, None) => false,
        }
    }

    /// Takes what another VM has sent to an endpoint that names a limit.
    pub(in crate::shard) fn on_peer_sent(&mut self, now: Time, name: &str, peer: &Name, sent: u32) {
        if let Some(rate) = self.endpoints.get_mut(name).and_then(|entry| entry.rate.as_mut()) {
            rate.on_peer(now, peer, sent, self.rate_share, self.rng.random());
        }
    }

    /// Returns what other VMs are told of an endpoint that names a limit.
    pub(in crate::shard) fn rate_update(&self, now: Time, name: &str) -> Option<RateNews> {
        self.endpoints.get(name).and_then(|entry| entry.rate.as_ref()?.news(now))
    }

    /// Returns all endpoints that name a limit.
    pub(in crate::shard) fn rate_limits(&self, now: Time) -> Vec<(EndpointKey, RateNews)> {
        let limited = self.endpoints.iter().filter_map(|(name, entry)| {
            Some((EndpointKey::of(name), entry.rate.as_ref()?.news(now)?))
        });
        limited.collect()
    }
}
