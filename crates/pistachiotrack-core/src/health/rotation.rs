//! Ejection, readmission and the floor.

use std::time::Duration;

use rand::RngExt;

use crate::{
    health::{
        EjectReason, Health, HealthAction, PathAnswer,
        state::{EndpointState, Path, Phase},
    },
    name::Name,
    time::Time,
};

/// First backoff; it doubles with every ejection that is not forgiven.
const BACKOFF: Duration = Duration::from_secs(5);
/// Ejections after which the backoff no longer grows.
const BACKOFF_DOUBLINGS: u32 = 5;
/// Part of the backoff that is random, so that endpoints ejected together do
/// not come back together.
const BACKOFF_JITTER: f64 = 0.2;
/// Good trials that readmit an endpoint.
const TRIALS: u32 = 3;
/// Part of the threshold that a readmitted endpoint starts with.
pub(super) const READMITTED_PART: f64 = 0.3;
/// The same for one that came back because of the floor.
const RECALLED_PART: f64 = 0.75;
/// Sickness by which an endpoint must be worse to take the place of one that
/// is ejected already, so that two alike do not change places all the time.
const SWAP_MARGIN: f64 = 0.2;
/// Time that other VMs have to say whether they reach an endpoint.
const PATH_ANSWER_WAIT: Duration = Duration::from_millis(500);
/// Time after which a path that only this VM can't use is tried again.
const PATH_RECHECK: Duration = Duration::from_secs(5);
/// Time that doubt alone has to last before it ejects; the longer one where a
/// health check passed on a new connection meanwhile.
const DOUBT_GRACE: Duration = Duration::from_millis(250);
const DOUBT_GRACE_PROBED: Duration = Duration::from_secs(2);
/// Spread of the evidence among endpoints of a service that fails as a whole.
pub(super) const COMMON_SPREAD: f64 = 2.0;
/// Endpoints without work for this long say nothing about the whole service.
const ACTIVE_WINDOW: Duration = Duration::from_secs(5);

impl Health {
    /// Takes the answer to [`HealthAction::CheckPath`].
    ///
    /// Where nobody answers, the endpoint is ejected once the evidence
    /// suffices: no request of this VM runs there anyway.
    pub fn on_path_answer(
        &mut self,
        now: Time,
        endpoint: &Name,
        answer: PathAnswer,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let state = &mut self.endpoints[position];
        if !matches!(state.path, Path::Asked(_)) {
            return actions;
        }
        match answer {
            PathAnswer::ReachedByOthers => self.break_path(now, position, &mut actions),
            PathAnswer::UnreachableByOthers | PathAnswer::NoAnswer => {
                state.path = Path::Confirmed(now);
                self.judge(now, position, &mut actions);
            }
        }
        self.keep_floor(now, &mut actions);
        actions
    }

    /// Marks an endpoint as reachable by others only.
    fn break_path(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let state = &mut self.endpoints[position];
        state.path = Path::Unasked;
        state.reason = Some(EjectReason::Unreachable);
        state.evidence.connect = 0.0;
        if state.phase == Phase::Held || !state.in_rotation() {
            return;
        }
        if self.rotation_len() <= self.floor {
            let start = RECALLED_PART * self.threshold;
            self.endpoints[position].evidence.restart(now, start);
            return self.hold(position, actions);
        }
        self.endpoints[position].phase = Phase::PathBroken { until: now + PATH_RECHECK };
    }

    /// Ejects an endpoint if the evidence against it suffices.
    pub(super) fn judge(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        if !self.endpoints[position].in_rotation() || !self.mechanisms.ejection {
            return;
        }
        let by_doubt = self.is_doubt_ripe(now, position);
        let state = &self.endpoints[position];
        let strength = state.evidence.strength(self.threshold);
        if state.phase == Phase::Held && strength < self.threshold / 2.0 {
            return self.release(position, actions);
        }
        self.ask_path(now, position, actions);
        if strength < self.threshold && !by_doubt {
            return;
        }
        // A fault of the whole service, or of this VM, shows on all endpoints:
        // only what is beyond it speaks against this one.
        let common = self.evidence_of_peers(now, Some(position));
        let state = &self.endpoints[position];
        let doubt_excess = state.evidence.doubtful() - common;
        let by_doubt = by_doubt && doubt_excess >= self.threshold;
        if strength - common < self.threshold && !by_doubt {
            return;
        }
        let reason = self.reason(position);
        if self.failures_only_lower_rank && reason == EjectReason::Failures {
            return;
        }
        if reason == EjectReason::Unreachable {
            match state.path {
                Path::Unasked => return,
                Path::Asked(at) if now.since(at) < PATH_ANSWER_WAIT => return,
                Path::Asked(_) | Path::Confirmed(_) => {}
            }
        }
        self.eject_or_hold(now, position, reason, actions);
    }

    /// Returns whether doubt alone has lasted long enough.
    ///
    /// Open connections can go silent while new ones work; then all the pooled
    /// ones hang as if the endpoint did. A new connection tells the two apart,
    /// so doubt alone has to wait for one, but not forever.
    fn is_doubt_ripe(&mut self, now: Time, position: usize) -> bool {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        if state.evidence.doubtful() < threshold {
            state.doubt_since = None;
            return false;
        }
        let since = *state.doubt_since.get_or_insert(now);
        let probed = state.probe_passed.is_some_and(|passed| passed + DOUBT_GRACE_PROBED >= since);
        let grace = if probed { DOUBT_GRACE_PROBED } else { DOUBT_GRACE };
        now.since(since) >= grace
    }

    fn ask_path(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let threshold = self.threshold;
        let state = &mut self.endpoints[position];
        if state.path == Path::Unasked && state.evidence.connect >= threshold / 2.0 {
            state.path = Path::Asked(now);
            actions.push(HealthAction::CheckPath { endpoint: state.name.clone() });
        }
    }

    fn reason(&self, position: usize) -> EjectReason {
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
    /// the spread between them: what the endpoints have in common.
    pub(super) fn evidence_of_peers(&self, now: Time, besides: Option<usize>) -> f64 {
        let mut strengths: Vec<f64> = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(position, state)| {
                let is_active = now.since(state.last_dispatch) < ACTIVE_WINDOW;
                Some(*position) != besides && state.in_rotation() && is_active
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
        let limit = self.endpoints[position].evidence.sickness - SWAP_MARGIN;
        match self.least_sick_out() {
            Some(other) if self.endpoints[other].evidence.sickness < limit => {
                self.recall(now, other, actions);
                self.eject(now, position, reason, actions);
            }
            _ => self.hold(position, actions),
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
        state.ejections_at = now;
        state.reason = Some(reason);
        state.path = Path::Unasked;
        state.doubt_since = None;
        state.phase = Phase::Ejected { until: now + backoff };
        actions.push(HealthAction::Ejected { endpoint: state.name.clone(), reason });
    }

    pub(super) fn hold(&mut self, position: usize, actions: &mut Vec<HealthAction>) {
        let state = &mut self.endpoints[position];
        if state.phase != Phase::Held {
            state.phase = Phase::Held;
            actions.push(HealthAction::HeldByFloor { endpoint: state.name.clone() });
        }
    }

    fn release(&mut self, position: usize, actions: &mut Vec<HealthAction>) {
        let state = &mut self.endpoints[position];
        state.phase = Phase::InRotation;
        actions.push(HealthAction::Readmitted { endpoint: state.name.clone() });
    }

    /// Brings endpoints back until the floor is kept, the least sick first.
    ///
    /// Endpoints that are leaving can't be kept, so the ejected ones make up
    /// for them at once.
    pub(super) fn keep_floor(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        while self.rotation_len() < self.floor {
            let Some(position) = self.least_sick_out() else { break };
            self.recall(now, position, actions);
        }
        self.overrule_drains(now, actions);
    }

    /// Keeps the rotation from running empty by reports alone.
    ///
    /// Reports lag or mislead. When all endpoints say at once that they leave,
    /// callers would get nothing for up to a minute, so the ones that said so
    /// longest ago get the work until any other endpoint can. Which ones is
    /// settled once: each of their answers may repeat the report.
    fn overrule_drains(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        let is_empty = self.rotation_len() == 0;
        for endpoint in &mut self.endpoints {
            if !is_empty || !endpoint.is_fit() || endpoint.leaving {
                endpoint.overrule_drain(false);
            }
        }
        if !is_empty || self.endpoints.iter().any(EndpointState::in_rotation) {
            return;
        }
        let fit = self.said_leaving_longest_ago(true);
        if !fit.is_empty() {
            return fit
                .into_iter()
                .for_each(|position| self.endpoints[position].overrule_drain(true));
        }
        if self.floor == 0 {
            return;
        }
        for position in self.said_leaving_longest_ago(false) {
            self.endpoints[position].overrule_drain(true);
            self.recall(now, position, actions);
        }
    }

    /// Returns the endpoints, fit for work or not, whose last report of leaving
    /// is the oldest; only the configuration's marks are facts.
    fn said_leaving_longest_ago(&self, fit: bool) -> Vec<usize> {
        let said_at = |state: &EndpointState| {
            state
                .drain
                .filter(|_| !state.leaving && !state.is_replaced() && state.is_fit() == fit)
                .map(|drain| drain.said_at)
        };
        let Some(oldest) = self.endpoints.iter().filter_map(said_at).min() else {
            return Vec::new();
        };
        (0..self.endpoints.len())
            .filter(|&position| said_at(&self.endpoints[position]) == Some(oldest))
            .collect()
    }

    fn least_sick_out(&self) -> Option<usize> {
        (0..self.endpoints.len())
            .filter(|&position| {
                let state = &self.endpoints[position];
                !state.is_draining() && !state.is_replaced() && !state.in_rotation()
            })
            .min_by(|&a, &b| self.badness_out(a).total_cmp(&self.badness_out(b)))
    }

    /// Returns how bad an endpoint out of rotation is; one that can't be
    /// reached from here is of no use at all.
    fn badness_out(&self, position: usize) -> f64 {
        let state = &self.endpoints[position];
        match state.phase {
            Phase::PathBroken { .. } => 1.0,
            _ => state.evidence.sickness,
        }
    }

    fn recall(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        let start = RECALLED_PART * self.threshold;
        let state = &mut self.endpoints[position];
        state.phase = Phase::Held;
        state.evidence.restart(now, start);
        actions.push(HealthAction::Readmitted { endpoint: state.name.clone() });
    }

    /// Counts a good trial.
    pub(super) fn pass_trial(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let state = &mut self.endpoints[position];
        state.evidence.note_sickness(0.0);
        match &mut state.phase {
            Phase::Trial { good, .. } if *good + 1 < TRIALS => *good += 1,
            Phase::Trial { .. } => self.start_slowly(now, position, actions),
            // The path works again, which a late answer has shown.
            Phase::PathBroken { .. } => state.phase = Phase::Trial { since: now, good: 0 },
            _ => {}
        }
    }

    /// Readmits an endpoint with a growing share.
    pub(super) fn start_slowly(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let start = READMITTED_PART * self.threshold;
        let state = &mut self.endpoints[position];
        state.phase = Phase::SlowStart { since: now };
        state.evidence.restart(now, start);
        actions.push(HealthAction::Readmitted { endpoint: state.name.clone() });
    }

    /// Ends a trial that failed.
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
        state.evidence.note_sickness(1.0);
        if state.ejections == 0 && state.reason == Some(EjectReason::Unreachable) {
            state.phase = Phase::PathBroken { until: now + PATH_RECHECK };
            return;
        }
        let reason = state.reason.unwrap_or(EjectReason::Failures);
        self.eject(now, position, reason, actions);
    }
}
