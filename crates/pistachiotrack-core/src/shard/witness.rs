//! Witnesses: VMs through which work goes to endpoints that only this VM can't
//! reach.

use super::{Shard, ShardAction, state::AttemptState};
use crate::{name::Name, request::Outcome, time::Time};

impl Shard {
    /// Takes the VMs that reach an endpoint, in answer to
    /// [`ShardAction::CheckPath`]; the preferred one comes first.
    ///
    /// To be called in place of [`Shard::on_path_answer`] if there are any. The
    /// endpoint works on through the first of them.
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

    /// Returns the VM through which work goes to an endpoint, if it must.
    pub(super) fn witness(&self, endpoint: &Name) -> Option<Name> {
        if !self.health.goes_via_witness(endpoint) {
            return None;
        }
        self.witnesses.get(endpoint)?.first().cloned()
    }

    /// Gives up a witness that did not do its part: the next one is used, and
    /// new ones are asked for when there is none.
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

    /// Forgets the witnesses of endpoints that the configuration no longer has.
    pub(super) fn remove_unused_witnesses(&mut self) {
        let pool = &self.pool;
        self.witnesses.retain(|endpoint, _| pool.address(endpoint).is_some());
    }
}
