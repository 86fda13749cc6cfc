//! Endpoints that only this VM can't reach: they work on through a witness,
//! another VM that reaches them.
//!
//! The endpoint keeps its phase and its share. It is judged by what the witness
//! says about it, never by the ways to the witness or to the endpoint.

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

/// Latency that the way through a witness may add to an answer.
const RELAY_LATENCY_ALLOWANCE: Duration = Duration::from_millis(5);
/// Time after which a broken path is first tried again; it doubles with every
/// try that fails.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a try is repeated of which no end was heard.
const LOST_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Tries after which that time no longer grows.
const RETRY_DOUBLINGS: u32 = 4;
/// Part of that time that is random, so that the owners that a cut has blinded
/// together don't try together.
const RETRY_JITTER: f64 = 0.2;

/// A path of this VM that is broken while a witness reaches the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayRoute {
    retry_at: Time,
    failed_retries: u32,
}

impl Health {
    /// Notes that another VM reaches an endpoint that this VM can't reach, and
    /// that its work goes through that VM from now on.
    ///
    /// To be called in place of [`Health::on_path_answer`] by a caller that
    /// can work through a witness. What was seen over the broken path says
    /// nothing about the endpoint and is forgotten; one that was ejected for
    /// it is tried again at once.
    pub fn on_relay_found(&mut self, now: Time, endpoint: &Name) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let start = READMITTED_FRACTION * self.threshold;
        let state = &mut self.endpoints[position];
        // An answer may come after an ejection, which ends the question.
        if !matches!(state.path_check, PathCheck::Requested(_))
            && !matches!(state.phase, Phase::Ejected { .. })
        {
            return actions;
        }
        state.path_check = PathCheck::NotRequested;
        state.evidence.connect = 0.0;
        if state.relay_route.is_some() {
            // Another witness: neither the backoff of the endpoint nor that of
            // the path begins anew.
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

    /// Notes that no witness is left through which an endpoint could work, and
    /// asks for new ones.
    ///
    /// Until the answer is there the endpoint gets its work directly: should
    /// nobody reach it any more, it is ejected like any other.
    pub fn on_relay_lost(&mut self, now: Time, endpoint: &Name) -> Vec<HealthAction> {
        let Some(&position) = self.positions.get(endpoint) else { return Vec::new() };
        let suspicion = self.threshold / 2.0;
        let state = &mut self.endpoints[position];
        if state.relay_route.take().is_none() {
            return Vec::new();
        }
        state.evidence.connect = state.evidence.connect.max(suspicion);
        state.path_check = PathCheck::Requested(now);
        vec![HealthAction::CheckPath { endpoint: state.name.clone() }]
    }

    /// Notes that an attempt goes through a witness.
    ///
    /// Its age shows nothing, since the witness may hang as well, and its
    /// latency is judged without what the way there may add.
    pub fn on_sent_via_relay(&mut self, attempt_id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.via_relay = true;
            attempt.started += RELAY_LATENCY_ALLOWANCE;
        }
    }

    /// Returns whether the work of an endpoint goes through a witness.
    pub fn is_relayed(&self, endpoint: &str) -> bool {
        self.endpoint_state(endpoint).is_some_and(|state| state.relay_route.is_some())
    }

    /// Tries a broken path again, with a health check, when that is due.
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
        // For the case that no slot is free for a health check now.
        route.retry_at = now + LOST_RETRY_DELAY;
        state.last_probe_at = now;
        actions.push(HealthAction::Probe { endpoint: state.name.clone() });
    }

    /// Takes how the try of a broken path ended. Any answer shows that it works.
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
            Outcome::NotSent | Outcome::Cancelled | Outcome::WitnessFailed { .. } => {}
            Outcome::ConnectFailed
            | Outcome::Misdirected
            | Outcome::Broken { .. }
            | Outcome::TimedOut { .. } => {
                route.failed_retries = (route.failed_retries + 1).min(RETRY_DOUBLINGS);
                route.retry_at =
                    now + RETRY_DELAY.mul_f64(jitter * f64::from(1 << route.failed_retries));
            }
        }
    }

    /// Asks about the path to an endpoint without work that could not be
    /// connected to.
    ///
    /// Failure guarded against: a path that swallows all packets makes its
    /// endpoint look hung, and the endpoint is ejected as slow without a
    /// question. It shows as trials that can't connect from one VM only. The
    /// guard holds because an attempt that could not connect is noticed also
    /// after the ejection.
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
