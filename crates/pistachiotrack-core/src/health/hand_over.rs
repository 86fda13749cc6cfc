//! Health state that a shard's owner hands over to its successor.

use std::time::Duration;

use crate::{
    health::{
        EjectReason, Health, HealthAction, HealthHandOver, HealthState, baseline::ln_micros,
        state::Phase,
    },
    request::Class,
    time::Time,
};

/// Backoff of an endpoint that the predecessor had ejected, before its trial.
const INHERITED_BACKOFF: Duration = Duration::from_secs(5);
/// Number of own answers from which own evidence takes precedence over the
/// predecessor's.
const MIN_OWN_ANSWERS: u32 = 10;
/// Upper limit of the number of ejections taken over.
const MAX_INHERITED_EJECTIONS: u32 = 6;
/// Number of samples by which a predecessor's usual latency enters the baseline.
const LATENCY_SEED_SAMPLES: usize = 4;

impl Health {
    /// Returns the state to hand over to a successor.
    ///
    /// An endpoint that only this VM can't reach is handed over as healthy, as the
    /// successor may reach it.
    pub fn hand_over(&self, _now: Time) -> Vec<HealthHandOver> {
        self.endpoints
            .iter()
            .map(|state| HealthHandOver {
                endpoint: state.name.clone(),
                state: match state.phase {
                    Phase::PathBroken { .. } => HealthState::Healthy,
                    _ => state.health_state(self.threshold),
                },
                ejections: state.ejections,
                usual_latency_us: state.usual_latency().map(|usual| usual.as_micros() as u64),
            })
            .collect()
    }

    /// Applies the state that a predecessor handed over.
    ///
    /// An inherited ejection has a bounded lifetime: the endpoint's trial starts
    /// soon, and the floor applies as for own ejections. Where this VM has received
    /// enough answers itself, they take precedence.
    pub fn on_hand_over(&mut self, now: Time, from: &[HealthHandOver]) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let seed_latency = self.baseline.is_empty(Class::Standard);
        for inherited in from {
            let Some(&position) = self.positions.get(&inherited.endpoint) else { continue };
            if let Some(usual_us) = inherited.usual_latency_us.filter(|_| seed_latency) {
                self.seed_latency(position, Duration::from_micros(usual_us));
            }
            self.apply_inherited_state(now, position, inherited, &mut actions);
        }
        self.enforce_floor(now, &mut actions);
        actions
    }

    fn seed_latency(&mut self, position: usize, usual: Duration) {
        let state = &mut self.endpoints[position];
        state.usual_ln_micros.get_or_insert(ln_micros(usual));
        let id = state.id;
        for class in Class::ALL {
            for _ in 0..LATENCY_SEED_SAMPLES {
                self.baseline.add_latency(class, id, usual);
            }
        }
    }

    fn apply_inherited_state(
        &mut self,
        now: Time,
        position: usize,
        inherited: &HealthHandOver,
        actions: &mut Vec<HealthAction>,
    ) {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        state.ejections = state.ejections.max(inherited.ejections.min(MAX_INHERITED_EJECTIONS));
        let has_own_evidence = state.answers >= MIN_OWN_ANSWERS;
        if has_own_evidence || state.phase != Phase::InRotation {
            return;
        }
        match inherited.state {
            HealthState::Ejected | HealthState::Trial => {
                state.evidence.update_severity(1.0);
                state.last_ejection_reason.get_or_insert(EjectReason::Failures);
                if self.rotation_len() > self.floor {
                    self.endpoints[position].phase =
                        Phase::Ejected { until: now + INHERITED_BACKOFF };
                } else {
                    self.hold_by_floor(position, actions);
                }
            }
            HealthState::Suspect | HealthState::HeldByFloor => {
                state.evidence.reset(now, threshold / 2.0);
            }
            HealthState::SlowStart => state.phase = Phase::SlowStart { since: now },
            HealthState::Healthy | HealthState::Draining => {}
        }
    }
}
