//! Endpoints at whose address another endpoint answers.

use std::time::Duration;

use crate::{
    health::{
        EjectReason, Health, HealthAction,
        state::{PathCheck, Phase},
    },
    time::Time,
};

/// Time after which the address is tried again: a registry has dropped the endpoint's entry
/// by then.
const RETRY_DELAY: Duration = Duration::from_secs(5);

impl Health {
    /// Takes an endpoint out at whose address another one answered at `at`.
    ///
    /// Failure guarded against: an endpoint has ended, its address is another one's, and
    /// the registry hasn't noticed. Without work and with nothing against it it goes on
    /// to be chosen. It shows as requests that are turned away and sent on for seconds,
    /// each of them taken from the limit of retries. The guard holds because the answer
    /// is a fact, not evidence: the endpoint is not there, whatever the floor asks, what
    /// other endpoints do and whether other VMs reach the address. Other VMs are told.
    pub(super) fn on_replaced(
        &mut self,
        at: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        let is_news = !state.is_replaced();
        state.replaced_at = state.replaced_at.max(Some(at));
        state.evidence.connect = 0.0;
        state.path_check = PathCheck::NotRequested;
        state.last_ejection_reason = Some(EjectReason::Replaced);
        if is_news {
            let endpoint = state.name.clone();
            actions.push(HealthAction::Ejected { endpoint, reason: EjectReason::Replaced });
        }
        self.enforce_floor(at, actions);
    }

    /// Has the address tried again, by one request that may run again or a health check.
    ///
    /// Failure guarded against: something on the way turned a request away, and the
    /// endpoint is there after all; it would be lost for good.
    pub(super) fn retry_replaced_if_due(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        if state.replaced_at.is_none_or(|at| now.since(at) < RETRY_DELAY) {
            return;
        }
        state.replaced_at = None;
        state.phase = Phase::Trial { since: now, successes: 0 };
        state.last_dispatch_at = now;
        state.probe_passed_at = None;
        actions.push(HealthAction::TrialStarted { endpoint: state.name.clone() });
    }
}
