//! What endpoints ask of this VM, or have told other VMs.

use super::{EndpointKey, Shard, ShardAction};
use crate::{endpoint_notice::EndpointNotice, name::Name, time::Time};

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
        if self.apply_notice(now, endpoint, notice) {
            self.pool.refresh(now, &self.health);
        }
        self.advance(now)
    }

    /// Applies another VM's report that an endpoint is leaving.
    pub(super) fn on_peer_said_leaving(&mut self, now: Time, endpoint: &Name) {
        let notice = EndpointNotice::LEAVING;
        if self.apply_notice(now, endpoint, notice) {
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

    fn apply_notice(&mut self, now: Time, endpoint: &Name, notice: EndpointNotice) -> bool {
        let is_new = self.pool.record_notice(now, endpoint, notice);
        if is_new && notice.leaving {
            let actions = self.health.on_leaving(now, endpoint);
            self.on_health_actions(now, actions);
        }
        is_new
    }
}
