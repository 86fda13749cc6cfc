//! Rate limits that endpoints announce: updates from answers and from other VMs.

use std::time::Duration;

use super::{
    EndedAttempt, EndpointKey, EndpointUpdate, Shard, ShardAction, ShardMode, state::AttemptState,
};
use crate::{
    name::Name,
    rate_limit::{RateLimit, RateShare, RateUpdate},
    request::{FIRST_FAILURE_STATUS, Outcome},
    retry::VisibleDispatchers,
    time::Time,
};

/// Share of a limit that a VM uses while it can't reach the owner.
const CAREFUL_SHARE: f64 = 0.25;

impl Shard {
    /// Records whether an answer announces a limit. A failure without one is ignored because
    /// another server may have sent it.
    pub(super) fn record_answered_limit(
        &mut self,
        now: Time,
        state: &AttemptState,
        outcome: Outcome,
        limit: Option<RateLimit>,
    ) {
        let is_success =
            matches!(outcome, Outcome::Answered { status, .. } if status < FIRST_FAILURE_STATUS);
        if limit.is_some() || is_success {
            self.on_rate_limit(now, &state.endpoint, state.dispatched_at, limit);
        }
    }

    fn on_rate_limit(
        &mut self,
        now: Time,
        endpoint: &Name,
        sent_at: Time,
        limit: Option<RateLimit>,
    ) {
        if self.pool.on_rate_limit(now, endpoint, sent_at, limit) {
            self.pending_actions.push(ShardAction::RateLimit { endpoint: endpoint.clone(), limit });
        }
    }

    /// Applies another VM's observation of an endpoint's limit and how much that VM has sent.
    pub(super) fn on_peer_rate_limit(
        &mut self,
        now: Time,
        from: &Name,
        endpoint: &Name,
        update: &EndpointUpdate,
    ) {
        if let Some(rate) = update.rate {
            self.on_rate_limit(now, endpoint, request_sent_at(now, rate), Some(rate.limit));
            return self.pool.on_peer_sent(now, endpoint, from, rate.sent);
        }
        let success = update.ended.filter(|ended| !ended.result.is_failure());
        if let Some(EndedAttempt { latency_us, age_us, .. }) = success {
            let sent_at = now.before(Duration::from_micros(latency_us.saturating_add(age_us)));
            self.on_rate_limit(now, endpoint, sent_at, None);
        }
    }

    /// Applies the limits of another VM's snapshot.
    pub(super) fn on_snapshot_rate_limits(
        &mut self,
        now: Time,
        rates: &[(EndpointKey, RateUpdate)],
    ) {
        for (key, rate) in rates {
            if let Some(endpoint) = self.pool.endpoint_by_key(*key) {
                self.on_rate_limit(now, &endpoint, request_sent_at(now, *rate), Some(rate.limit));
            }
        }
    }

    /// Returns this VM's share of the limits that endpoints announce.
    ///
    /// A VM that is no dispatcher receives no updates on what the others send, and leaves such
    /// endpoints to them. A VM that sees fewer dispatchers than expected may be partitioned from
    /// them, and uses only the share of the visible ones.
    pub(super) fn rate_share(&mut self, visible: VisibleDispatchers) -> RateShare {
        let Some(budget) = self.retry_budget.fleet() else {
            let is_careful = self.pool.mode() == ShardMode::Careful;
            let part = if is_careful { CAREFUL_SHARE } else { 1.0 };
            return RateShare { fraction: part, is_sole_sender: true };
        };
        if visible.count == 0 {
            return RateShare::default();
        }
        let expected = f64::from(budget.expected().max(1));
        let part = (f64::from(visible.count) / expected).min(1.0);
        let part = if visible.is_member { part } else { 0.0 };
        RateShare { fraction: part, is_sole_sender: visible.count == 1 }
    }
}

/// Returns when the request was sent whose answer announced the limit.
fn request_sent_at(now: Time, rate: RateUpdate) -> Time {
    now.before(Duration::from_millis(u64::from(rate.age_ms)))
}
