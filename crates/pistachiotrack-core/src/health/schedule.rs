//! Periodic work: ages of attempts, backoffs, slow starts, drain reports and probes.

use std::time::Duration;

use crate::{
    health::{
        Health, HealthAction, SLOW_START,
        rotation::COMMON_SPREAD,
        state::{EndpointState, Phase},
    },
    time::Time,
};

/// Healthy time after which one ejection no longer counts for the backoff.
const EJECTION_FORGET_TIME: Duration = Duration::from_secs(60);
/// Shortest time between two health checks of an endpoint that gets requests.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without requests after which a suspect endpoint is probed.
const IDLE_BEFORE_PROBE: Duration = Duration::from_secs(1);
/// Time between health checks of an endpoint that gets no requests.
const SLOW_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time under trial without requests after which a passed health check is sufficient.
const TRIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Age up to which a passed health check counts for that.
const MAX_PROBE_AGE: Duration = Duration::from_secs(10);
/// Shortest time that an endpoint is out of rotation after a drain report.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(10);
/// Time after a drain report without a further report after which the endpoint is tried
/// again.
const DRAIN_REPORT_EXPIRY: Duration = Duration::from_secs(60);

impl Health {
    /// Updates the evidence from attempts in flight, ends backoffs and requests
    /// probes.
    pub fn on_tick(&mut self, now: Time) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        self.last_tick = now;
        for endpoint in &mut self.endpoints {
            if endpoint.in_rotation() {
                endpoint.evidence.on_tick(now);
            }
        }
        self.observe_ages(now, &mut actions);
        self.common_evidence = self.common_evidence_against_peers(now, None);
        self.discount_common_fault();
        for position in self.most_severe_first() {
            self.evaluate(now, position, &mut actions);
            self.advance_phase(now, position, &mut actions);
            self.expire_drain_report(now, position);
            self.probe_if_due(now, position, &mut actions);
            self.retry_path_if_due(now, position, &mut actions);
            self.retry_replaced_if_due(now, position, &mut actions);
        }
        self.enforce_floor(now, &mut actions);
        actions
    }

    /// Caps evidence while the whole service is faulty.
    ///
    /// During such a fault all sums grow, some more than others by chance. Once
    /// the baseline has adapted to it, the sums fall at different rates, and the
    /// last ones would look like outliers without any new evidence against them.
    fn discount_common_fault(&mut self) {
        if self.common_evidence < self.threshold / 2.0 {
            return;
        }
        let limit = self.common_evidence / COMMON_SPREAD;
        for endpoint in &mut self.endpoints {
            endpoint.evidence.cap(limit);
        }
    }

    /// Returns the positions of the endpoints, the most severe first: they are
    /// evaluated first, so that the least severe stay in rotation at the floor.
    fn most_severe_first(&self) -> Vec<usize> {
        let severity = |position: usize| self.endpoints[position].evidence.severity;
        let mut positions: Vec<usize> = (0..self.endpoints.len()).collect();
        positions.sort_by(|&a, &b| severity(b).total_cmp(&severity(a)));
        positions
    }

    fn advance_phase(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let half = self.threshold / 2.0;
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        if state.is_replaced() {
            return;
        }
        match state.phase {
            Phase::Ejected { until } | Phase::PathBroken { until } if now >= until => {
                state.phase = Phase::Trial { since: now, successes: 0 };
                state.last_dispatch_at = now;
                state.probe_passed_at = None;
                actions.push(HealthAction::TrialStarted { endpoint: state.name.clone() });
            }
            Phase::Trial { since, .. } if may_leave_idle_trial(state, now, since) => {
                self.begin_slow_start(now, position, actions);
            }
            Phase::SlowStart { since } if now.since(since) >= SLOW_START => {
                state.phase = Phase::InRotation;
            }
            Phase::InRotation if state.ejections > 0 => {
                let is_healthy = state.evidence.strength(threshold) < half;
                if is_healthy && now.since(state.ejections_changed_at) >= EJECTION_FORGET_TIME {
                    state.ejections -= 1;
                    state.ejections_changed_at = now;
                }
            }
            _ => {}
        }
    }

    /// Discards a drain report that the endpoint has withdrawn, or that it has not
    /// repeated for long, as the report may have been wrong. An endpoint that got
    /// requests all the same needs no slow start or trial.
    fn expire_drain_report(&mut self, now: Time, position: usize) {
        let state = &mut self.endpoints[position];
        let Some(drain_report) = state.drain_report else { return };
        let age = now.since(drain_report.reported_at);
        if drain_report.withdrawn_at.is_some() && age >= MIN_DRAIN_TIME {
            state.drain_report = None;
            if state.phase == Phase::InRotation && !drain_report.overridden {
                state.phase = Phase::SlowStart { since: now };
            }
        } else if drain_report.withdrawn_at.is_none() && age >= DRAIN_REPORT_EXPIRY {
            state.drain_report = None;
            if !drain_report.overridden {
                state.phase = Phase::Trial { since: now, successes: 0 };
            }
        }
    }

    fn probe_if_due(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        if state.leaving || state.is_replaced() || state.relay_route.is_some() {
            return;
        }
        if state.in_rotation() && state.evidence.strength(threshold) >= threshold / 2.0 {
            state.last_suspect_at = Some(now);
        }
        let since_probe = now.since(state.last_probe_at);
        let idle = now.since(state.last_dispatch_at);
        let is_due = if state.is_draining() {
            since_probe >= SLOW_PROBE_INTERVAL
        } else if matches!(state.phase, Phase::Trial { .. }) {
            since_probe >= SLOW_PROBE_INTERVAL && idle >= SLOW_PROBE_INTERVAL
        } else if state.in_rotation() && since_probe >= PROBE_INTERVAL {
            let is_ambiguous = state.evidence.ambiguous_total() >= threshold / 2.0;
            is_ambiguous || (state.is_suspicion_open() && idle >= IDLE_BEFORE_PROBE)
        } else {
            false
        };
        if is_due {
            state.last_probe_at = now;
            actions.push(HealthAction::Probe { endpoint: state.name.clone() });
        }
    }
}

/// Returns whether an endpoint under trial that got no requests may be readmitted.
///
/// A passed health check alone never readmits an endpoint, but a service without
/// idempotent requests has no other evidence. It needs to have waited, a passed health
/// check and a slow start, in which little evidence ejects the endpoint again.
fn may_leave_idle_trial(state: &EndpointState, now: Time, since: Time) -> bool {
    let no_requests = state.last_dispatch_at <= since && now.since(since) >= TRIAL_IDLE_TIMEOUT;
    no_requests && state.probe_passed_at.is_some_and(|passed| now.since(passed) < MAX_PROBE_AGE)
}
