//! What endpoints ask of this VM, or have told other VMs.

use std::time::Duration;

use super::{
    EndpointKey, Shard, ShardAction,
    state::{PendingRequest, Phase},
};
use crate::{
    endpoint_notice::{EndpointNotice, NoticeChange},
    name::Name,
    refusal::Reason,
    request::RequestId,
    time::Time,
};

/// Time that a caller is asked to wait while no endpoint accepts requests.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Shard {
    /// Applies what an endpoint asks of this VM.
    ///
    /// The endpoint need not be configured: its registration may lapse and come back.
    pub fn on_notice(
        &mut self,
        now: Time,
        endpoint: &Name,
        notice: EndpointNotice,
    ) -> Vec<ShardAction> {
        if self.apply_notice(now, endpoint, notice).is_some() {
            self.pool.refresh(now, &self.health);
            self.refuse_closed(now);
        }
        self.advance(now)
    }

    /// Applies another VM's report that an endpoint is leaving.
    pub(super) fn on_peer_said_leaving(&mut self, now: Time, endpoint: &Name) {
        let notice = EndpointNotice::LEAVING;
        if self.apply_notice(now, endpoint, notice) == Some(NoticeChange::New) {
            let endpoint = endpoint.clone();
            self.pending_actions.push(ShardAction::Notice { endpoint, notice });
        }
    }

    /// Applies the endpoints of another VM's snapshot that are leaving.
    pub(super) fn on_snapshot_leaving(&mut self, now: Time, leaving: &[EndpointKey]) {
        for key in leaving {
            if let Some(endpoint) = self.pool.endpoint_by_key(*key) {
                self.on_peer_said_leaving(now, &endpoint);
            }
        }
    }

    fn apply_notice(
        &mut self,
        now: Time,
        endpoint: &Name,
        notice: EndpointNotice,
    ) -> Option<NoticeChange> {
        let change = self.pool.record_notice(now, endpoint, notice);
        if change == Some(NoticeChange::New) && notice.leaving {
            let actions = self.health.on_leaving(now, endpoint);
            self.on_health_actions(now, actions);
        }
        change
    }

    /// Returns whether an endpoint accepts a request now, or will while the request can still be
    /// dispatched.
    ///
    /// Endpoints may all have asked for no requests for a time. Requests that can wait for its end
    /// do; the others are refused at once.
    pub(super) fn opens_in_time(&self, now: Time, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|pending| {
            let wait = self.pool.time_until_usable(now, pending.request.idempotent);
            wait.is_some_and(|wait| wait.is_zero() || now + wait < pending.not_after)
        })
    }

    /// Refuses a request for which no endpoint is there in time.
    pub(super) fn refuse_as_closed(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let wait = self.pool.time_until_usable(now, pending.request.idempotent);
        let reason = if wait.is_some() { Reason::WaitTooLong } else { Reason::NoEndpoint };
        let retry_after_ms = self.jittered_retry_after_ms(wait.unwrap_or(NO_ENDPOINT_RETRY_AFTER));
        self.refuse(now, id, reason, retry_after_ms);
    }

    /// Refuses the queued and held requests for which no endpoint is there in time, also behind
    /// others that can wait.
    pub(super) fn refuse_closed(&mut self, now: Time) {
        // An endpoint for requests that must not run twice is one for all.
        if self.pool.usable_endpoints(false) > 0 {
            return;
        }
        let is_queued =
            |pending: &PendingRequest| matches!(pending.phase, Phase::Queued | Phase::Held);
        let queued = self.pending.iter().filter(|(_, pending)| is_queued(pending));
        let mut closed: Vec<RequestId> =
            queued.map(|(id, _)| *id).filter(|id| !self.opens_in_time(now, *id)).collect();
        closed.sort_unstable();
        for id in closed {
            self.refuse_as_closed(now, id);
        }
    }
}
