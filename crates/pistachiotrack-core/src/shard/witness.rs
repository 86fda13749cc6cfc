//! Witnesses: VMs that relay requests to endpoints that only this VM can't reach.

use super::{Shard, ShardAction, state::AttemptState};
use crate::{name::Name, request::Outcome, time::Time};

impl Shard {
    /// Sets the VMs that reach an endpoint, as the result of [`ShardAction::CheckPath`]; the
    /// preferred one comes first.
    ///
    /// To be called in place of [`Shard::on_path_answer`] if there are any. Requests to the
    /// endpoint are relayed by the first of them.
    pub fn on_witnesses(
        &mut self,
        now: Time,
        endpoint: &Name,
        witnesses: Vec<Name>,
    ) -> Vec<ShardAction> {
        if self.pool.address(endpoint).is_none() || witnesses.is_empty() {
            return Vec::new();
        }
        self.witnesses.insert(endpoint.clone(), witnesses);
        let actions = self.health.on_witness(now, endpoint);
        self.on_health_actions(now, actions);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Returns the VM that relays requests to an endpoint, if a relay is needed.
    pub(super) fn witness(&self, endpoint: &Name) -> Option<Name> {
        if !self.health.goes_via_witness(endpoint) {
            return None;
        }
        self.witnesses.get(endpoint)?.first().cloned()
    }

    /// Removes a witness that failed to relay an attempt. The next one is used; if none is left,
    /// the health checker is informed and asks for new ones.
    pub(super) fn on_witness_outcome(&mut self, now: Time, state: &AttemptState, outcome: Outcome) {
        let (Outcome::WitnessFailed { .. }, Some(failed)) = (outcome, &state.via) else { return };
        let Some(witnesses) = self.witnesses.get_mut(&state.endpoint) else { return };
        witnesses.retain(|witness| witness != failed);
        if witnesses.is_empty() {
            self.witnesses.remove(&state.endpoint);
            let actions = self.health.on_witness_lost(now, &state.endpoint);
            self.on_health_actions(now, actions);
        }
    }

    /// Removes the witnesses of endpoints that are no longer configured.
    pub(super) fn remove_unused_witnesses(&mut self) {
        let pool = &self.pool;
        self.witnesses.retain(|endpoint, _| pool.address(endpoint).is_some());
    }
}
