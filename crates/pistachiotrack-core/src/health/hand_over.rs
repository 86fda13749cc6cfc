//! What an owner tells its successor, and how far the successor trusts it.

use std::time::Duration;

use crate::{
    health::{
        EjectReason, Health, HealthAction, HealthHandOver, HealthState, reference::log_micros,
        state::Phase,
    },
    request::Class,
    time::Time,
};

/// Time that a predecessor's ejection is trusted before the endpoint is tried.
const TRUST: Duration = Duration::from_secs(5);
/// Own answers from which on own evidence goes before the predecessor's.
const OWN_ANSWERS: u32 = 10;
/// Ejections taken over at most.
const MAX_EJECTIONS: u32 = 6;
/// Times that a predecessor's usual latency is entered as a reference.
const LATENCY_ENTRIES: usize = 4;

impl Health {
    /// Returns what a successor needs to know.
    ///
    /// That only this VM can't reach an endpoint is nothing to the successor,
    /// so such an endpoint is handed over as healthy.
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

    /// Takes what a predecessor knew.
    ///
    /// An ejection is evidence to start from, with a bounded lifetime: the
    /// endpoint is tried soon, and the floor holds as for own ejections. Where
    /// this VM has seen enough answers itself, they go first.
    pub fn on_hand_over(&mut self, now: Time, from: &[HealthHandOver]) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let seed_latency = self.reference.is_empty(Class::Standard);
        for old in from {
            let Some(&position) = self.positions.get(&old.endpoint) else { continue };
            if let Some(usual_us) = old.usual_latency_us.filter(|_| seed_latency) {
                self.seed_latency(position, Duration::from_micros(usual_us));
            }
            self.take_standing(now, position, old, &mut actions);
        }
        self.keep_floor(now, &mut actions);
        actions
    }

    fn seed_latency(&mut self, position: usize, usual: Duration) {
        let state = &mut self.endpoints[position];
        state.usual_log_micros.get_or_insert(log_micros(usual));
        let id = state.id;
        for class in Class::ALL {
            for _ in 0..LATENCY_ENTRIES {
                self.reference.add_latency(class, id, usual);
            }
        }
    }

    fn take_standing(
        &mut self,
        now: Time,
        position: usize,
        old: &HealthHandOver,
        actions: &mut Vec<HealthAction>,
    ) {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        state.ejections = state.ejections.max(old.ejections.min(MAX_EJECTIONS));
        let is_known = state.answers >= OWN_ANSWERS;
        if is_known || state.phase != Phase::InRotation {
            return;
        }
        match old.state {
            HealthState::Ejected | HealthState::Trial => {
                state.evidence.note_sickness(1.0);
                state.reason.get_or_insert(EjectReason::Failures);
                if self.rotation_len() > self.floor {
                    self.endpoints[position].phase = Phase::Ejected { until: now + TRUST };
                } else {
                    self.hold(position, actions);
                }
            }
            HealthState::Suspect | HealthState::HeldByFloor => {
                state.evidence.restart(now, threshold / 2.0);
            }
            HealthState::SlowStart => state.phase = Phase::SlowStart { since: now },
            HealthState::Healthy | HealthState::Draining => {}
        }
    }
}
