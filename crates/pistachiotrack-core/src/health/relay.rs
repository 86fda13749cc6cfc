//! Endpoints that only this VM can't reach: their requests go through a relay,
//! another VM that reaches them.
//!
//! The endpoint keeps its phase and its share. It is judged by the outcomes that the
//! relay reports, never by the path to the relay or to the endpoint.

use std::time::Duration;

use rand::RngExt;

use crate::{
    health::{
        Health, HealthAction,
        rotation::READMITTED_FRACTION,
        state::{PathCheck, Phase},
    },
    name::Name,
    request::{AttemptId, Outcome},
    time::Time,
};

/// Latency that a relay may add to an answer.
const RELAY_LATENCY_ALLOWANCE: Duration = Duration::from_millis(5);
/// Time after which a broken path is first tried again; it doubles with every failed
/// retry.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a retry without an outcome is repeated.
const LOST_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of failed retries after which the delay no longer grows.
const RETRY_DOUBLINGS: u32 = 4;
/// Fraction of the delay that is random, so that owners that lost their paths in the
/// same partition don't retry at the same time.
const RETRY_JITTER: f64 = 0.2;

/// Schedule of retries of a broken path, while a relay reaches the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayRoute {
    retry_at: Time,
    failed_retries: u32,
}

impl Health {
    /// Handles that another VM reaches an endpoint that this VM can't reach:
    /// the endpoint's requests go through that relay from now on.
    ///
    /// To be called in place of [`Health::on_path_answer`] by a caller that can
    /// send requests through a relay. Observations over the broken path are no
    /// evidence about the endpoint and are discarded; the trial of an endpoint that
    /// was ejected for them starts at once.
    pub fn on_relay_found(&mut self, now: Time, endpoint: &Name) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let start = READMITTED_FRACTION * self.threshold;
        let state = &mut self.endpoints[position];
        // The answer may arrive after an ejection, which has ended the path check.
        if !matches!(state.path_check, PathCheck::Requested(_))
            && !matches!(state.phase, Phase::Ejected { .. })
        {
            return actions;
        }
        state.path_check = PathCheck::NotRequested;
        state.evidence.connect = 0.0;
        if state.relay_route.is_some() {
            // A change of relay restarts neither the backoff of the endpoint nor
            // that of the path.
            return actions;
        }
        actions.push(HealthAction::PathBroken { endpoint: state.name.clone() });
        state.relay_route = Some(RelayRoute { retry_at: now + RETRY_DELAY, failed_retries: 0 });
        state.evidence.reset(now, start);
        state.ambiguous_since = None;
        match state.phase {
            Phase::InRotation
            | Phase::HeldByFloor
            | Phase::SlowStart { .. }
            | Phase::Trial { .. } => {}
            Phase::PathBroken { .. } => state.phase = Phase::InRotation,
            Phase::Ejected { .. } => {
                state.phase = Phase::Trial { since: now, successes: 0 };
                state.last_dispatch_at = now;
                state.probe_passed_at = None;
                actions.push(HealthAction::TrialStarted { endpoint: state.name.clone() });
            }
        }
        self.enforce_floor(now, &mut actions);
        actions
    }

    /// Handles that no relay is left for an endpoint, and requests a new path
    /// check.
    ///
    /// Until it is answered the endpoint gets its requests directly. If no VM
    /// reaches it any more, it is ejected like any other.
    pub fn on_relay_lost(&mut self, now: Time, endpoint: &Name) -> Vec<HealthAction> {
        let Some(&position) = self.positions.get(endpoint) else { return Vec::new() };
        let suspect_evidence = self.threshold / 2.0;
        let state = &mut self.endpoints[position];
        if state.relay_route.take().is_none() {
            return Vec::new();
        }
        state.evidence.connect = state.evidence.connect.max(suspect_evidence);
        state.path_check = PathCheck::Requested(now);
        vec![HealthAction::CheckPath { endpoint: state.name.clone() }]
    }

    /// Records that an attempt goes through a relay.
    ///
    /// Its age is no evidence, since the relay may hang as well, and the latency
    /// that the relay may add is subtracted from its latency.
    pub fn on_sent_via_relay(&mut self, attempt_id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.via_relay = true;
            attempt.started += RELAY_LATENCY_ALLOWANCE;
        }
    }

    /// Returns whether the requests of an endpoint go through a relay.
    pub fn is_relayed(&self, endpoint: &str) -> bool {
        self.endpoint_state(endpoint).is_some_and(|state| state.relay_route.is_some())
    }

    /// Retries a broken path with a health check when that is due.
    pub(super) fn retry_path_if_due(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        let Some(route) = &mut state.relay_route else { return };
        if now < route.retry_at || state.leaving {
            return;
        }
        // Repeats the health check if there is no free slot for it now.
        route.retry_at = now + LOST_RETRY_DELAY;
        state.last_probe_at = now;
        actions.push(HealthAction::Probe { endpoint: state.name.clone() });
    }

    /// Handles the outcome of the retry of a broken path. Any answer shows that the
    /// path works.
    pub(super) fn on_path_retry(
        &mut self,
        now: Time,
        position: usize,
        outcome: Outcome,
        actions: &mut Vec<HealthAction>,
    ) {
        let jitter = 1.0 + RETRY_JITTER * (self.rng.random::<f64>() - 0.5);
        let state = &mut self.endpoints[position];
        let Some(route) = &mut state.relay_route else { return };
        match outcome {
            Outcome::Answered { .. } | Outcome::Shed => {
                state.relay_route = None;
                actions.push(HealthAction::PathWorks { endpoint: state.name.clone() });
                state.evidence.connect = 0.0;
                state.path_check = PathCheck::NotRequested;
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::RelayFailed { .. } => {}
            Outcome::ConnectFailed
            | Outcome::Misdirected { .. }
            | Outcome::Broken { .. }
            | Outcome::TimedOut { .. } => {
                route.failed_retries = (route.failed_retries + 1).min(RETRY_DOUBLINGS);
                route.retry_at =
                    now + RETRY_DELAY.mul_f64(jitter * f64::from(1 << route.failed_retries));
            }
        }
    }

    /// Requests a path check for an ejected endpoint, or one under trial, to which
    /// no connection could be opened.
    ///
    /// A path that drops all packets makes its endpoint look hung, and the endpoint
    /// is ejected as slow without a path check. Its trials then fail to connect from
    /// this VM only. Failed connections are therefore checked also after the
    /// ejection.
    pub(super) fn request_path_check_when_out(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        let is_out = matches!(state.phase, Phase::Ejected { .. } | Phase::Trial { .. });
        if is_out && state.path_check == PathCheck::NotRequested {
            state.path_check = PathCheck::Requested(now);
            actions.push(HealthAction::CheckPath { endpoint: state.name.clone() });
        }
    }
}
