//! Probability that a request to an endpoint fails, from the results that this VM and
//! others have observed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    health::{
        AttemptKind, Health, HealthAction,
        episode_model::AttemptEnd,
        state::{EndpointState, InFlightAttempt, Phase},
    },
    name::Name,
    request::Outcome,
    shard::{AttemptResult, EndedAttempt},
    time::Time,
};

/// A VM's estimate of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEstimate {
    /// The endpoint.
    pub endpoint: Name,
    /// The last observation of the endpoint.
    pub last_observation: LastObservation,
    /// Age of the observation.
    pub age_ms: u32,
}

/// Last observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LastObservation {
    /// An attempt ended.
    AttemptEnded {
        /// Probability that the endpoint was in an episode of gray failure
        /// then, in 255ths.
        episode_probability: u8,
    },
    /// Another endpoint answered at its address.
    Replaced,
}

impl Health {
    /// Returns the probability that the next request to an endpoint fails.
    pub fn risk(&self, now: Time, endpoint: &str) -> f64 {
        let Some(state) = self.endpoint_state(endpoint) else { return 1.0 };
        self.episode_model.failure_probability(
            state.episode_estimate.episode_probability(&self.episode_model, now),
        )
    }

    /// Returns the part of the risk that is specific to the endpoint: the probability
    /// of failure at an endpoint outside of episodes is subtracted.
    pub fn avoidable_risk(&self, now: Time, endpoint: &str) -> f64 {
        if !self.feature_flags.risk_ranking {
            return 0.0;
        }
        (self.risk(now, endpoint) - self.episode_model.healthy_failure_probability()).max(0.0)
    }

    /// Returns this VM's estimates of the endpoints that it has observations of.
    pub fn estimates(&self, now: Time) -> Vec<EndpointEstimate> {
        let estimate_of = |state: &EndpointState| {
            let (last_observation, at) = match state.replaced_at {
                Some(at) => (LastObservation::Replaced, at),
                None => {
                    let (episode_probability, at) = state.episode_estimate.last()?;
                    (
                        LastObservation::AttemptEnded {
                            episode_probability: (episode_probability * 255.0) as u8,
                        },
                        at,
                    )
                }
            };
            let age_ms = now.since(at).as_millis() as u32;
            Some(EndpointEstimate { endpoint: state.name.clone(), last_observation, age_ms })
        };
        self.endpoints.iter().filter_map(estimate_of).collect()
    }

    /// Adopts another VM's estimates where they are newer than this VM's.
    pub fn on_estimates(&mut self, now: Time, estimates: &[EndpointEstimate]) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        for estimate in estimates {
            let Some(&position) = self.positions.get(&estimate.endpoint) else { continue };
            let at = now.before(Duration::from_millis(u64::from(estimate.age_ms)));
            let state = &mut self.endpoints[position];
            match estimate.last_observation {
                LastObservation::AttemptEnded { episode_probability } => {
                    if state.episode_estimate.adopt(f64::from(episode_probability) / 255.0, at) {
                        state.last_observed_at = state.last_observed_at.max(Some(at));
                    }
                }
                LastObservation::Replaced if state.last_observed_at < Some(at) => {
                    self.on_replaced(at, position, &mut actions);
                }
                // The endpoint has answered since.
                LastObservation::Replaced => {}
            }
        }
        actions
    }

    /// Returns the time of the last result that counts for the risk, if any.
    pub fn last_observed_at(&self, endpoint: &str) -> Option<Time> {
        self.endpoint_state(endpoint).and_then(|state| state.last_observed_at)
    }

    /// Returns when an endpoint last had a request, as far as its results show. An answer may
    /// come seconds after its request.
    pub(crate) fn last_used_at(&self, endpoint: &str) -> Option<Time> {
        let (_, at) = self.endpoint_state(endpoint)?.episode_estimate.last()?;
        Some(at)
    }

    /// Returns whether the last result that counts for the risk of an endpoint was a failure.
    pub(crate) fn has_failed_last(&self, endpoint: &str) -> bool {
        self.endpoint_state(endpoint).is_some_and(|state| state.episode_estimate.has_failed_last())
    }

    /// Handles the result of another VM's attempt.
    ///
    /// The report arrives some time after the answer. Its age and latency are used to
    /// calculate when the attempt was sent and ended. Without them a good answer could
    /// be attributed to a request sent after the endpoint began to fail, and the failing
    /// endpoint would get requests again.
    pub fn on_peer_attempt_ended(
        &mut self,
        now: Time,
        endpoint: &Name,
        ended: EndedAttempt,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let ended_at = now.before(Duration::from_micros(ended.age_us));
        if ended.result == AttemptResult::Misdirected {
            self.on_replaced(ended_at, position, &mut actions);
            return actions;
        }
        let state = &mut self.endpoints[position];
        state.last_dispatch_at = state.last_dispatch_at.max(now);
        let started = ended_at.before(Duration::from_micros(ended.latency_us));
        let attempt = InFlightAttempt {
            endpoint: state.id,
            class: ended.class,
            kind: AttemptKind::Request,
            started,
            // The report doesn't include whether the connection was a pooled one. A break
            // counts against the endpoint and is no evidence about this VM's own
            // connections.
            fresh_connection: true,
            spans_pause: false,
            via_relay: false,
            answered: true,
            hang_counted: false,
        };
        let outcome = match ended.result {
            AttemptResult::Answered { status } => {
                Outcome::Answered { status, fresh_connection: false }
            }
            AttemptResult::Broken => Outcome::Broken { fresh_connection: true },
            AttemptResult::Misdirected => Outcome::Misdirected { states_not_run: false },
        };
        if let Some(end) = AttemptEnd::of(outcome) {
            self.record_attempt_end(ended_at, position, started, end);
        }
        match self.endpoints[position].phase {
            Phase::Trial { since, .. } if started < since => return actions,
            Phase::Ejected { .. } | Phase::PathBroken { .. } => return actions,
            Phase::Trial { .. } => {
                self.observe_trial(now, position, &attempt, outcome, &mut actions);
            }
            Phase::InRotation | Phase::HeldByFloor | Phase::SlowStart { .. } => {
                self.observe(ended_at, position, &attempt, outcome);
            }
        }
        self.evaluate_unless_stalled(now, position, &mut actions);
        actions
    }

    /// Updates the estimate with an attempt of this VM.
    pub(super) fn update_episode_estimate(
        &mut self,
        now: Time,
        position: usize,
        attempt: &InFlightAttempt,
        outcome: Outcome,
    ) {
        if attempt.kind == AttemptKind::Probe || attempt.spans_pause {
            return;
        }
        if let Some(end) = AttemptEnd::of(outcome) {
            self.record_attempt_end(now, position, attempt.started, end);
        }
    }

    fn record_attempt_end(&mut self, now: Time, position: usize, started: Time, end: AttemptEnd) {
        let state = &mut self.endpoints[position];
        let kind = self.episode_model.classify(end, now.since(started));
        state.episode_estimate.observe(&mut self.episode_model, now, started, kind);
        state.last_observed_at = state.last_observed_at.max(Some(now));
    }
}
