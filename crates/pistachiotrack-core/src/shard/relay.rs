//! Relays: VMs that relay requests to endpoints that only this VM can't reach.

use super::{Shard, ShardAction, state::AttemptState};
use crate::{name::Name, request::Outcome, time::Time};

impl Shard {
    /// Sets the VMs that reach an endpoint, as the result of [`ShardAction::CheckPath`]; the
    /// preferred one comes first.
    ///
    /// To be called in place of [`Shard::on_path_answer`] if there are any. Requests to the
    /// endpoint are relayed by the first of them.
    pub fn on_relays(&mut self, now: Time, endpoint: &Name, relays: Vec<Name>) -> Vec<ShardAction> {
        if self.pool.address(endpoint).is_none() || relays.is_empty() {
            return Vec::new();
        }
        self.relays.insert(endpoint.clone(), relays);
        let actions = self.health.on_relay_found(now, endpoint);
        self.on_health_actions(now, actions);
        self.pool.refresh(now, &self.health);
        self.advance(now)
    }

    /// Returns the VM that relays requests to an endpoint, if a relay is needed.
    pub(super) fn relay_for(&self, endpoint: &Name) -> Option<Name> {
        if !self.health.is_relayed(endpoint) {
            return None;
        }
        self.relays.get(endpoint)?.first().cloned()
    }

    /// Removes a relay that failed to relay an attempt. The next one is used; if none is left,
    /// the health checker is informed and asks for new ones.
    pub(super) fn on_relay_outcome(&mut self, now: Time, state: &AttemptState, outcome: Outcome) {
        let (Outcome::RelayFailed { .. }, Some(failed)) = (outcome, &state.relay) else { return };
        let Some(relays) = self.relays.get_mut(&state.endpoint) else { return };
        relays.retain(|relay| relay != failed);
        if relays.is_empty() {
            self.relays.remove(&state.endpoint);
            let actions = self.health.on_relay_lost(now, &state.endpoint);
            self.on_health_actions(now, actions);
        }
    }

    /// Removes the relays of endpoints that are no longer configured.
    pub(super) fn remove_unused_relays(&mut self) {
        let pool = &self.pool;
        self.relays.retain(|endpoint, _| pool.address(endpoint).is_some());
    }
}
