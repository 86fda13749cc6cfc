//! Ejection, readmission and the floor, which is the minimum number of endpoints in
//! rotation.

use std::time::Duration;

use rand::RngExt;

use crate::{
    health::{
        EjectReason, Health, HealthAction, PathAnswer,
        state::{EndpointState, PathCheck, Phase},
    },
    name::Name,
    time::Time,
};

/// First backoff; it doubles with every further ejection that still counts.
const BACKOFF: Duration = Duration::from_secs(5);
/// Ejections after which the backoff no longer grows.
const BACKOFF_DOUBLINGS: u32 = 5;
/// Fraction of the backoff that is random, so that endpoints ejected together are
/// not readmitted together.
const BACKOFF_JITTER: f64 = 0.2;
/// Number of successful trials that readmit an endpoint.
const TRIAL_SUCCESSES: u32 = 3;
/// Fraction of the threshold that the evidence against a readmitted endpoint starts at.
pub(super) const READMITTED_FRACTION: f64 = 0.3;
/// The same for an endpoint that was readmitted because of the floor.
const FLOOR_READMITTED_FRACTION: f64 = 0.75;
/// Difference of severity from which an endpoint is ejected in exchange for one that is
/// ejected already, so that two similar endpoints don't alternate.
const SWAP_MARGIN: f64 = 0.2;
/// Time that other VMs have to answer whether they reach an endpoint.
const PATH_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a path that is broken for this VM only is tried again.
const PATH_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time that ambiguous evidence alone has to last before it ejects an endpoint; the
/// longer one applies if a health check passed on a new connection meanwhile.
const AMBIGUOUS_GRACE: Duration = Duration::from_millis(250);
const AMBIGUOUS_GRACE_PROBED: Duration = Duration::from_secs(2);
/// Factor by which the evidence against endpoints differs when the whole service fails.
pub(super) const COMMON_SPREAD: f64 = 2.0;
/// Time without requests after which an endpoint is no evidence about the whole service.
const ACTIVE_WINDOW: Duration = Duration::from_secs(5);

impl Health {
    /// Handles the answer to [`HealthAction::CheckPath`].
    ///
    /// If no VM answers, the endpoint is ejected once the evidence suffices: no
    /// request of this VM reaches it anyway.
    pub fn on_path_answer(
        &mut self,
        now: Time,
        endpoint: &Name,
        answer: PathAnswer,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let state = &mut self.endpoints[position];
        if !matches!(state.path_check, PathCheck::Requested(_)) {
            return actions;
        }
        match answer {
            PathAnswer::ReachedByOthers => self.on_path_broken(now, position, &mut actions),
            PathAnswer::UnreachableByOthers | PathAnswer::NoAnswer => {
                state.path_check = PathCheck::Confirmed(now);
                self.evaluate(now, position, &mut actions);
            }
        }
        self.enforce_floor(now, &mut actions);
        actions
    }

    /// Handles that only other VMs reach an endpoint.
    fn on_path_broken(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let state = &mut self.endpoints[position];
        state.path_check = PathCheck::NotRequested;
        state.last_ejection_reason = Some(EjectReason::Unreachable);
        state.evidence.connect = 0.0;
        if state.phase == Phase::HeldByFloor || !state.in_rotation() {
            return;
        }
        if self.rotation_len() <= self.floor {
            let start = FLOOR_READMITTED_FRACTION * self.threshold;
            self.endpoints[position].evidence.reset(now, start);
            return self.hold_by_floor(position, actions);
        }
        self.endpoints[position].phase = Phase::PathBroken { until: now + PATH_RETRY_DELAY };
    }

    /// Handles that this VM reaches endpoints again after it reached none: endpoints that were
    /// ejected for that get requests again, with a slow start.
    pub fn on_paths_restored(&mut self, now: Time) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        for position in 0..self.endpoints.len() {
            let state = &mut self.endpoints[position];
            let is_out = matches!(
                state.phase,
                Phase::Ejected { .. } | Phase::PathBroken { .. } | Phase::Trial { .. }
            );
            let is_path = matches!(
                state.last_ejection_reason,
                Some(EjectReason::Unreachable | EjectReason::Slow)
            );
            state.path_check = PathCheck::NotRequested;
            state.ambiguous_since = None;
            if is_out && is_path && !state.is_replaced() {
                state.ejections = state.ejections.saturating_sub(1);
                self.begin_slow_start(now, position, &mut actions);
            } else {
                state.evidence.connect = 0.0;
            }
        }
        self.enforce_floor(now, &mut actions);
        actions
    }

    /// Ejects an endpoint if the evidence against it suffices.
    pub(super) fn evaluate(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        if !self.endpoints[position].in_rotation() || !self.feature_flags.ejection {
            return;
        }
        let ambiguous_suffices = self.ambiguous_evidence_persists(now, position);
        let state = &self.endpoints[position];
        let strength = state.evidence.strength(self.threshold);
        if state.phase == Phase::HeldByFloor && strength < self.threshold / 2.0 {
            return self.release_from_hold(position, actions);
        }
        self.request_path_check(now, position, actions);
        if strength < self.threshold && !ambiguous_suffices {
            return;
        }
        // A fault of the whole service, or of this VM, affects all endpoints: only
        // evidence beyond that counts against this one.
        let common = self.common_evidence_against_peers(now, Some(position));
        let state = &self.endpoints[position];
        let ambiguous_excess = state.evidence.ambiguous_total() - common;
        let ambiguous_suffices = ambiguous_suffices && ambiguous_excess >= self.threshold;
        if strength - common < self.threshold && !ambiguous_suffices {
            return;
        }
        let reason = self.ejection_reason(position);
        if self.failures_only_lower_rank && reason == EjectReason::Failures {
            return;
        }
        if reason == EjectReason::Unreachable {
            match state.path_check {
                PathCheck::NotRequested => return,
                PathCheck::Requested(at) if now.since(at) < PATH_ANSWER_TIMEOUT => return,
                PathCheck::Requested(_) | PathCheck::Confirmed(_) => {}
            }
        }
        self.eject_or_hold(now, position, reason, actions);
    }

    /// Returns whether ambiguous evidence alone has lasted long enough for an
    /// ejection.
    ///
    /// Open connections can go silent while new ones work; all pooled connections
    /// then hang as if the endpoint did. A new connection distinguishes the two
    /// cases, so an ejection waits for one, but only for a limited time.
    fn ambiguous_evidence_persists(&mut self, now: Time, position: usize) -> bool {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        if state.evidence.ambiguous_total() < threshold {
            state.ambiguous_since = None;
            return false;
        }
        let since = *state.ambiguous_since.get_or_insert(now);
        let probed =
            state.probe_passed_at.is_some_and(|passed| passed + AMBIGUOUS_GRACE_PROBED >= since);
        let grace = if probed { AMBIGUOUS_GRACE_PROBED } else { AMBIGUOUS_GRACE };
        now.since(since) >= grace
    }

    fn request_path_check(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        if state.path_check == PathCheck::NotRequested && state.evidence.connect >= threshold / 2.0
        {
            state.path_check = PathCheck::Requested(now);
            actions.push(HealthAction::CheckPath { endpoint: state.name.clone() });
        }
    }

    fn ejection_reason(&self, position: usize) -> EjectReason {
        let evidence = &self.endpoints[position].evidence;
        let slow = evidence.slow + evidence.slow_in_flight;
        if evidence.connect >= evidence.failures.max(slow) && evidence.connect > 0.0 {
            EjectReason::Unreachable
        } else if evidence.failures > slow {
            EjectReason::Failures
        } else {
            EjectReason::Slow
        }
    }

    /// Returns the evidence that two thirds of the endpoints reach, doubled for
    /// the spread between them: what a fault of all endpoints explains.
    pub(super) fn common_evidence_against_peers(&self, now: Time, excluded: Option<usize>) -> f64 {
        let mut strengths: Vec<f64> = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(position, state)| {
                let is_active = now.since(state.last_dispatch_at) < ACTIVE_WINDOW;
                Some(*position) != excluded && state.in_rotation() && is_active
            })
            .map(|(_, state)| state.evidence.strength(self.threshold))
            .collect();
        strengths.sort_unstable_by(f64::total_cmp);
        COMMON_SPREAD * strengths.get(strengths.len() / 3).copied().unwrap_or(0.0)
    }

    fn eject_or_hold(
        &mut self,
        now: Time,
        position: usize,
        reason: EjectReason,
        actions: &mut Vec<HealthAction>,
    ) {
        if self.rotation_len() > self.floor {
            return self.eject(now, position, reason, actions);
        }
        let limit = self.endpoints[position].evidence.severity - SWAP_MARGIN;
        match self.least_severe_out_of_rotation() {
            Some(other) if self.endpoints[other].evidence.severity < limit => {
                self.readmit_for_floor(now, other, actions);
                self.eject(now, position, reason, actions);
            }
            _ => self.hold_by_floor(position, actions),
        }
    }

    fn eject(
        &mut self,
        now: Time,
        position: usize,
        reason: EjectReason,
        actions: &mut Vec<HealthAction>,
    ) {
        let jitter = 1.0 + BACKOFF_JITTER * (self.rng.random::<f64>() - 0.5);
        let state = &mut self.endpoints[position];
        let doublings = state.ejections.min(BACKOFF_DOUBLINGS);
        let backoff = BACKOFF.mul_f64(jitter * f64::from(1_u32 << doublings));
        state.ejections = state.ejections.saturating_add(1);
        state.ejections_changed_at = now;
        state.last_ejection_reason = Some(reason);
        state.path_check = PathCheck::NotRequested;
        state.ambiguous_since = None;
        state.phase = Phase::Ejected { until: now + backoff };
        actions.push(HealthAction::Ejected { endpoint: state.name.clone(), reason });
    }

    pub(super) fn hold_by_floor(&mut self, position: usize, actions: &mut Vec<HealthAction>) {
        let state = &mut self.endpoints[position];
        if state.phase != Phase::HeldByFloor {
            state.phase = Phase::HeldByFloor;
            actions.push(HealthAction::HeldByFloor { endpoint: state.name.clone() });
        }
    }

    fn release_from_hold(&mut self, position: usize, actions: &mut Vec<HealthAction>) {
        let state = &mut self.endpoints[position];
        state.phase = Phase::InRotation;
        actions.push(HealthAction::Readmitted { endpoint: state.name.clone() });
    }

    /// Readmits endpoints until the floor is reached, the least severe first.
    ///
    /// Endpoints that are leaving can't be kept, so ejected ones replace them at
    /// once.
    pub(super) fn enforce_floor(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        while self.rotation_len() < self.floor {
            let Some(position) = self.least_severe_out_of_rotation() else { break };
            self.readmit_for_floor(now, position, actions);
        }
        self.override_drain_reports(now, actions);
    }

    /// Prevents that drain reports alone empty the rotation.
    ///
    /// Reports can be late or wrong. When all endpoints report at once that they
    /// are draining, callers would get no answer for up to a minute, so the
    /// endpoints with the oldest reports get the requests until another endpoint
    /// can. The selection is made only once, as each of their answers may repeat
    /// the report.
    fn override_drain_reports(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        let is_empty = self.rotation_len() == 0;
        for endpoint in &mut self.endpoints {
            if !is_empty || !endpoint.can_serve() || endpoint.leaving {
                endpoint.set_drain_overridden(false);
            }
        }
        if !is_empty || self.endpoints.iter().any(EndpointState::in_rotation) {
            return;
        }
        let able = self.oldest_drain_reports(true);
        if !able.is_empty() {
            return able
                .into_iter()
                .for_each(|position| self.endpoints[position].set_drain_overridden(true));
        }
        if self.floor == 0 {
            return;
        }
        for position in self.oldest_drain_reports(false) {
            self.endpoints[position].set_drain_overridden(true);
            self.readmit_for_floor(now, position, actions);
        }
    }

    /// Returns the endpoints, either able to serve or not, whose last drain report
    /// is the oldest. Endpoints that the configuration marks as leaving are
    /// excluded, as that mark always applies.
    fn oldest_drain_reports(&self, can_serve: bool) -> Vec<usize> {
        let reported_at = |state: &EndpointState| {
            state
                .drain_report
                .filter(|_| {
                    !state.leaving && !state.is_replaced() && state.can_serve() == can_serve
                })
                .map(|drain_report| drain_report.reported_at)
        };
        let Some(oldest) = self.endpoints.iter().filter_map(reported_at).min() else {
            return Vec::new();
        };
        (0..self.endpoints.len())
            .filter(|&position| reported_at(&self.endpoints[position]) == Some(oldest))
            .collect()
    }

    fn least_severe_out_of_rotation(&self) -> Option<usize> {
        (0..self.endpoints.len())
            .filter(|&position| {
                let state = &self.endpoints[position];
                !state.is_draining() && !state.is_replaced() && !state.in_rotation()
            })
            .min_by(|&a, &b| {
                self.severity_out_of_rotation(a).total_cmp(&self.severity_out_of_rotation(b))
            })
    }

    /// Returns the severity of an endpoint out of rotation; one that this VM
    /// can't reach has the highest.
    fn severity_out_of_rotation(&self, position: usize) -> f64 {
        let state = &self.endpoints[position];
        match state.phase {
            Phase::PathBroken { .. } => 1.0,
            _ => state.evidence.severity,
        }
    }

    fn readmit_for_floor(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let start = FLOOR_READMITTED_FRACTION * self.threshold;
        let state = &mut self.endpoints[position];
        state.phase = Phase::HeldByFloor;
        state.evidence.reset(now, start);
        actions.push(HealthAction::Readmitted { endpoint: state.name.clone() });
    }

    /// Counts a successful trial.
    pub(super) fn record_trial_success(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        state.evidence.update_severity(0.0);
        match &mut state.phase {
            Phase::Trial { successes, .. } if *successes + 1 < TRIAL_SUCCESSES => *successes += 1,
            Phase::Trial { .. } => self.begin_slow_start(now, position, actions),
            // A late answer shows that the path works again.
            Phase::PathBroken { .. } => state.phase = Phase::Trial { since: now, successes: 0 },
            _ => {}
        }
    }

    /// Readmits an endpoint with a slow start.
    pub(super) fn begin_slow_start(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let start = READMITTED_FRACTION * self.threshold;
        let state = &mut self.endpoints[position];
        state.phase = Phase::SlowStart { since: now };
        state.evidence.reset(now, start);
        actions.push(HealthAction::Readmitted { endpoint: state.name.clone() });
    }

    /// Ends a failed trial.
    pub(super) fn fail_trial(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        if !matches!(state.phase, Phase::Trial { .. }) {
            return;
        }
        state.evidence.update_severity(1.0);
        if state.ejections == 0 && state.last_ejection_reason == Some(EjectReason::Unreachable) {
            state.phase = Phase::PathBroken { until: now + PATH_RETRY_DELAY };
            return;
        }
        let reason = state.last_ejection_reason.unwrap_or(EjectReason::Failures);
        self.eject(now, position, reason, actions);
    }
}
