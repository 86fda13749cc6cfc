//! How likely requests to an endpoint fail, by the answers that this VM and others
//! have seen.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    health::{
        AttemptKind, Health, HealthAction,
        spells::End,
        state::{EndpointState, Flight, Phase},
    },
    name::Name,
    request::Outcome,
    shard::{AttemptResult, EndedAttempt},
    time::Time,
};

/// What a VM believes of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeliefOf {
    /// The endpoint.
    pub endpoint: Name,
    /// What was last seen of it.
    pub seen: Seen,
    /// Age of that.
    pub age_ms: u32,
}

/// What was last seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// It ended a request.
    Ending {
        /// How likely it was failing grayly then, in parts of 255.
        in_spell: u8,
    },
    /// Another endpoint answered at its address.
    Replaced,
}

impl Health {
    /// Returns how likely the next request to an endpoint fails.
    pub fn risk(&self, now: Time, endpoint: &str) -> f64 {
        let Some(state) = self.state(endpoint) else { return 1.0 };
        self.spells.risk(state.belief.in_spell(&self.spells, now))
    }

    /// Returns the part of the risk that another endpoint would spare the request:
    /// what an endpoint that is certainly well fails too is left out.
    pub fn avoidable_risk(&self, now: Time, endpoint: &str) -> f64 {
        if !self.mechanisms.risk {
            return 0.0;
        }
        (self.risk(now, endpoint) - self.spells.least_risk()).max(0.0)
    }

    /// Returns what this VM believes of the endpoints that it has seen at work.
    pub fn beliefs(&self, now: Time) -> Vec<BeliefOf> {
        let belief_of = |state: &EndpointState| {
            let (seen, at) = match state.replaced_at {
                Some(at) => (Seen::Replaced, at),
                None => {
                    let (in_spell, at) = state.belief.last()?;
                    (Seen::Ending { in_spell: (in_spell * 255.0) as u8 }, at)
                }
            };
            let age_ms = now.since(at).as_millis() as u32;
            Some(BeliefOf { endpoint: state.name.clone(), seen, age_ms })
        };
        self.endpoints.iter().filter_map(belief_of).collect()
    }

    /// Takes what another VM believes where it has seen more lately.
    pub fn on_beliefs(&mut self, now: Time, beliefs: &[BeliefOf]) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        for other in beliefs {
            let Some(&position) = self.positions.get(&other.endpoint) else { continue };
            let at = now.before(Duration::from_millis(u64::from(other.age_ms)));
            let state = &mut self.endpoints[position];
            match other.seen {
                Seen::Ending { in_spell } => {
                    if state.belief.adopt(f64::from(in_spell) / 255.0, at) {
                        state.last_seen = state.last_seen.max(Some(at));
                    }
                }
                Seen::Replaced if state.last_seen < Some(at) => {
                    self.on_replaced(at, position, &mut actions);
                }
                // It has answered since.
                Seen::Replaced => {}
            }
        }
        actions
    }

    /// Returns the moment of the last answer, if there was one.
    pub fn last_seen(&self, endpoint: &str) -> Option<Time> {
        self.state(endpoint).and_then(|state| state.last_seen)
    }

    /// Notes how an endpoint ended a request of another VM.
    ///
    /// Failure guarded against: a good answer is told some time after it came, and is taken
    /// for one to a request sent later than it was, after the endpoint had begun to fail. It
    /// shows as an endpoint that is known to fail and gets requests again. The guard holds
    /// because the age is told, so that both moments are the true ones.
    pub fn on_peer_end(
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
        state.last_dispatch = state.last_dispatch.max(now);
        let started = ended_at.before(Duration::from_micros(ended.latency_us));
        let flight = Flight {
            endpoint: state.id,
            class: ended.class,
            kind: AttemptKind::Work,
            started,
            // Whose break on a pooled connection it was is not told: a break ranks the
            // endpoint and never casts doubt on this VM's own connections.
            fresh: true,
            tainted: false,
            via: false,
            answered: true,
            counted: false,
        };
        let outcome = match ended.result {
            AttemptResult::Answered { status } => {
                Outcome::Answered { status, fresh_connection: false }
            }
            AttemptResult::Broken => Outcome::Broken { fresh_connection: true },
            AttemptResult::Misdirected => Outcome::Misdirected,
        };
        if let Some(end) = End::of(outcome) {
            self.note_end(ended_at, position, started, end);
        }
        match self.endpoints[position].phase {
            Phase::Trial { since, .. } if started < since => return actions,
            Phase::Ejected { .. } | Phase::PathBroken { .. } => return actions,
            Phase::Trial { .. } => {
                self.observe_trial(now, position, &flight, outcome, &mut actions);
            }
            Phase::InRotation | Phase::Held | Phase::SlowStart { .. } => {
                self.observe(ended_at, position, &flight, outcome);
            }
        }
        self.decide(now, position, &mut actions);
        actions
    }

    /// Takes what an attempt says about gray failure.
    pub(super) fn observe_risk(
        &mut self,
        now: Time,
        position: usize,
        flight: &Flight,
        outcome: Outcome,
    ) {
        if flight.kind == AttemptKind::Probe || flight.tainted {
            return;
        }
        if let Some(end) = End::of(outcome) {
            self.note_end(now, position, flight.started, end);
        }
    }

    fn note_end(&mut self, now: Time, position: usize, started: Time, end: End) {
        let state = &mut self.endpoints[position];
        let sign = self.spells.sign(end, now.since(started));
        state.belief.observe(&mut self.spells, now, started, sign);
        state.last_seen = state.last_seen.max(Some(now));
    }
}
