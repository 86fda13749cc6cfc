//! How likely requests to an endpoint fail, by the answers that this VM and others
//! have seen.

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
    shard::{EndedAttempt, Ending},
    time::Time,
};

/// What a VM believes of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEstimate {
    /// The endpoint.
    pub endpoint: Name,
    /// What was last seen of it.
    pub last_observation: LastObservation,
    /// Age of that.
    pub age_ms: u32,
}

/// What was last seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LastObservation {
    /// It ended a request.
    AttemptEnded {
        /// How likely it was failing grayly then, in parts of 255.
        episode_probability: u8,
    },
    /// Another endpoint answered at its address.
    Replaced,
}

impl Health {
    /// Returns how likely the next request to an endpoint fails.
    pub fn risk(&self, now: Time, endpoint: &str) -> f64 {
        let Some(state) = self.endpoint_state(endpoint) else { return 1.0 };
        self.episode_model.failure_probability(
            state.episode_estimate.episode_probability(&self.episode_model, now),
        )
    }

    /// Returns the part of the risk that another endpoint would spare the request:
    /// what an endpoint that is certainly well fails too is left out.
    pub fn avoidable_risk(&self, now: Time, endpoint: &str) -> f64 {
        if !self.mechanisms.risk {
            return 0.0;
        }
        (self.risk(now, endpoint) - self.episode_model.healthy_failure_probability()).max(0.0)
    }

    /// Returns what this VM believes of the endpoints that it has seen at work.
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

    /// Takes what another VM believes where it has seen more lately.
    pub fn on_estimates(&mut self, now: Time, estimates: &[EndpointEstimate]) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        for other in estimates {
            let Some(&position) = self.positions.get(&other.endpoint) else { continue };
            let at = now.before(Duration::from_millis(u64::from(other.age_ms)));
            let state = &mut self.endpoints[position];
            match other.last_observation {
                LastObservation::AttemptEnded { episode_probability } => {
                    if state.episode_estimate.adopt(f64::from(episode_probability) / 255.0, at) {
                        state.last_observed_at = state.last_observed_at.max(Some(at));
                    }
                }
                LastObservation::Replaced if state.last_observed_at < Some(at) => {
                    self.on_replaced(at, position, &mut actions);
                }
                // It has answered since.
                LastObservation::Replaced => {}
            }
        }
        actions
    }

    /// Returns the moment of the last answer, if there was one.
    pub fn last_observed_at(&self, endpoint: &str) -> Option<Time> {
        self.endpoint_state(endpoint).and_then(|state| state.last_observed_at)
    }

    /// Notes how an endpoint ended a request of another VM.
    ///
    /// Failure guarded against: a good answer is told some time after it came, and is taken
    /// for one to a request sent later than it was, after the endpoint had begun to fail. It
    /// shows as an endpoint that is known to fail and gets requests again. The guard holds
    /// because the age is told, so that both moments are the true ones.
    pub fn on_peer_attempt_ended(
        &mut self,
        now: Time,
        endpoint: &Name,
        ended: EndedAttempt,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let ended_at = now.before(Duration::from_micros(ended.age_us));
        if ended.ending == Ending::Misdirected {
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
            // Whose break on a pooled connection it was is not told: a break ranks the
            // endpoint and never casts doubt on this VM's own connections.
            fresh_connection: true,
            spans_pause: false,
            via_relay: false,
            answered: true,
            hang_counted: false,
        };
        let outcome = match ended.ending {
            Ending::Answered { status } => Outcome::Answered { status, fresh_connection: false },
            Ending::Broken => Outcome::Broken { fresh_connection: true },
            Ending::Misdirected => Outcome::Misdirected,
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

    /// Takes what an attempt says about gray failure.
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
