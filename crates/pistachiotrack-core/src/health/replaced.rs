//! Endpoints whose address belongs to another endpoint now.

use std::time::Duration;

use crate::{
    health::{
        EjectReason, Health, HealthAction,
        state::{PathCheck, Phase},
    },
    time::Time,
};

/// Time after which the address is tried again. A registry has removed the endpoint's entry
/// by then.
const RETRY_DELAY: Duration = Duration::from_secs(5);

impl Health {
    /// Ejects an endpoint at whose address another one answered at time `at`.
    ///
    /// Until the registry notices that the endpoint has ended, it would be selected
    /// again and again, as it has no load and no evidence against it. Its requests would
    /// be rejected and retried for seconds, at the expense of the retry budget. The
    /// answer is therefore a fact, not evidence: the endpoint is ejected regardless of
    /// the floor, of other endpoints and of whether other VMs reach the address. The
    /// caller sends the fact to other VMs.
    pub(super) fn on_replaced(
        &mut self,
        at: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        let is_new = !state.is_replaced();
        state.replaced_at = state.replaced_at.max(Some(at));
        state.evidence.connect = 0.0;
        state.path_check = PathCheck::NotRequested;
        state.last_ejection_reason = Some(EjectReason::Replaced);
        if is_new {
            let endpoint = state.name.clone();
            actions.push(HealthAction::Ejected { endpoint, reason: EjectReason::Replaced });
        }
        self.enforce_floor(at, actions);
    }

    /// Starts a trial, by one idempotent request at a time or by health checks, when
    /// it is due.
    ///
    /// The endpoint may still exist if an intermediary rejected the request. Without a
    /// trial it would never get requests again.
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
