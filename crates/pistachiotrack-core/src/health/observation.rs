//! Evidence from attempts: their outcome, their latency and their age.

use std::time::Duration;

use crate::{
    health::{
        AttemptKind, Health, HealthAction, baseline,
        evidence::{self, EvidenceKind, OBSERVATION_CAP},
        state::{InFlightAttempt, PathCheck, Phase},
    },
    name::Name,
    request::{AttemptId, BodyEnd, Class, FIRST_FAILURE_STATUS, Outcome},
    time::Time,
};

/// Weight of a broken pooled connection, which is weaker evidence as endpoints close
/// idle connections.
const POOLED_BREAK_WEIGHT: f64 = 0.5;
/// Age at which an unanswered attempt counts as slow where there are no latencies of
/// peers.
const MAX_AGE_WITHOUT_PEERS: Duration = Duration::from_secs(1);
/// Age at which an unanswered health check has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between ticks from which this process may have been paused.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Score of an answer's latency above which a trial has failed, and the same for the
/// age of an unanswered attempt.
const TRIAL_LATENCY_SCORE_LIMIT: f64 = 1.0;
const TRIAL_AGE_SCORE_LIMIT: f64 = 2.0;

impl Health {
    /// Records the start of an attempt.
    pub fn on_dispatch(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        endpoint: &Name,
        class: Class,
        kind: AttemptKind,
    ) {
        let Some(&position) = self.positions.get(endpoint) else { return };
        let state = &mut self.endpoints[position];
        if kind != AttemptKind::Probe {
            state.last_dispatch_at = now;
        }
        let attempt = InFlightAttempt {
            endpoint: state.id,
            class,
            kind,
            started: now,
            fresh_connection: kind == AttemptKind::Probe,
            spans_pause: false,
            via_relay: false,
            answered: false,
            hang_counted: false,
        };
        self.attempts.insert(attempt_id, attempt);
    }

    /// Records that an attempt was sent on a new connection.
    ///
    /// Without this call an attempt counts as sent on a pooled connection while
    /// it is in flight; a health check always counts as sent on a new one.
    pub fn on_fresh_connection(&mut self, attempt_id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.fresh_connection = true;
        }
    }

    /// Handles the outcome of an attempt: how it ended, or how its answer began.
    pub fn on_outcome(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return actions };
        attempt.answered = true;
        let mut attempt = *attempt;
        if attempt.kind == AttemptKind::Probe || !matches!(outcome, Outcome::Answered { .. }) {
            self.attempts.remove(&attempt_id);
        }
        let Some(position) = self.position_of(attempt.endpoint) else { return actions };
        if let Outcome::Answered { fresh_connection, .. }
        | Outcome::Broken { fresh_connection }
        | Outcome::TimedOut { fresh_connection } = outcome
        {
            attempt.fresh_connection |= fresh_connection;
        }
        self.update_episode_estimate(now, position, &attempt, outcome);
        let evidence = &mut self.endpoints[position].evidence;
        evidence.slow_in_flight = 0.0;
        evidence.ambiguous_in_flight = 0.0;
        if matches!(outcome, Outcome::Misdirected { .. }) {
            self.on_replaced(now, position, &mut actions);
            return actions;
        }
        if self.endpoints[position].relay_route.is_some() && !attempt.via_relay {
            if attempt.kind == AttemptKind::Probe {
                self.on_path_retry(now, position, outcome, &mut actions);
                return actions;
            }
            if !matches!(outcome, Outcome::Answered { .. }) {
                return actions;
            }
        }

        let connect_failed = outcome == Outcome::ConnectFailed && !attempt.spans_pause;
        match self.endpoints[position].phase {
            Phase::Ejected { .. } => {
                if connect_failed {
                    self.request_path_check_when_out(now, position, &mut actions);
                }
                return actions;
            }
            Phase::Trial { since, .. } if attempt.started < since => return actions,
            Phase::Trial { .. } | Phase::PathBroken { .. } => {
                self.observe_trial(now, position, &attempt, outcome, &mut actions);
                if connect_failed {
                    self.request_path_check_when_out(now, position, &mut actions);
                }
            }
            Phase::InRotation | Phase::HeldByFloor | Phase::SlowStart { .. } => {
                self.observe(now, position, &attempt, outcome);
            }
        }
        self.evaluate_unless_stalled(now, position, &mut actions);
        actions
    }

    /// Handles the end of an answer's body.
    pub fn on_body_end(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        end: BodyEnd,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return actions };
        if end != BodyEnd::Truncated || attempt.spans_pause {
            return actions;
        }
        let Some(position) = self.position_of(attempt.endpoint) else { return actions };
        match self.endpoints[position].phase {
            Phase::Trial { since, .. } if attempt.started >= since => {
                self.fail_trial(now, position, &mut actions);
            }
            _ if self.endpoints[position].in_rotation() => {
                self.add_failure(now, position);
                self.evaluate_unless_stalled(now, position, &mut actions);
            }
            _ => {}
        }
        actions
    }

    /// Evaluates one endpoint after an observation, unless ticks are missing.
    ///
    /// After a pause of this process attempts time out and connections break
    /// because of the pause. Missing ticks are a sign of one, so no endpoint is
    /// ejected until the next tick, which comes after [`Health::on_pause`].
    pub(super) fn evaluate_unless_stalled(
        &mut self,
        now: Time,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        if now.since(self.last_tick) < MAX_TICK_GAP {
            self.evaluate(now, position, actions);
            self.enforce_floor(now, actions);
        }
    }

    pub(super) fn observe(
        &mut self,
        now: Time,
        position: usize,
        attempt: &InFlightAttempt,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answered { status, .. } => self.observe_answer(now, position, attempt, status),
            Outcome::Shed => self.record_response(now, position, attempt),
            Outcome::ConnectFailed if attempt.spans_pause => {}
            Outcome::ConnectFailed => {
                let score = evidence::failure_score(self.peer_failure_rate(position));
                self.add(now, position, EvidenceKind::Connect, score);
                self.endpoints[position].evidence.update_severity(1.0);
            }
            Outcome::Broken { .. } if attempt.spans_pause => {}
            Outcome::Broken { .. } if attempt.fresh_connection => self.add_failure(now, position),
            Outcome::Broken { .. } => {
                let score = evidence::failure_score(self.peer_failure_rate(position));
                self.add(now, position, EvidenceKind::Ambiguous, POOLED_BREAK_WEIGHT * score);
            }
            Outcome::TimedOut { .. } | Outcome::Cancelled => {
                self.observe_unanswered(now, position, attempt);
            }
            // Handled before, as a fact about the address.
            Outcome::Misdirected { .. } => {}
            Outcome::NotSent | Outcome::RelayFailed { .. } => {}
        }
    }

    fn observe_answer(
        &mut self,
        now: Time,
        position: usize,
        attempt: &InFlightAttempt,
        status: u16,
    ) {
        let is_failure = status >= FIRST_FAILURE_STATUS;
        let is_baseline_member = self.is_baseline_member(position);
        if attempt.kind == AttemptKind::Probe {
            return self.observe_probe(now, position, is_failure);
        }
        self.record_response(now, position, attempt);
        if is_baseline_member {
            self.baseline.count(&mut self.endpoints[position].answer_counts, is_failure);
        }
        if is_failure {
            return self.add_failure(now, position);
        }

        let score = evidence::success_score(self.peer_failure_rate(position));
        self.add(now, position, EvidenceKind::Failure, score);
        if attempt.spans_pause {
            return;
        }
        let latency = now.since(attempt.started);
        let tail = self.tail_probability(position, attempt, latency);
        if let Some(tail) = tail {
            let score = evidence::latency_score(tail).min(OBSERVATION_CAP);
            self.add(now, position, EvidenceKind::Slow, score);
        }
        let state = &mut self.endpoints[position];
        state.evidence.update_severity(tail.map_or(0.0, latency_severity));
        let was_cold = state.is_cold();
        state.record_latency(baseline::ln_micros(latency));
        if is_baseline_member && !was_cold && !attempt.via_relay {
            self.baseline.add_latency(attempt.class, attempt.endpoint, latency);
        }
    }

    fn observe_probe(&mut self, now: Time, position: usize, is_failure: bool) {
        if is_failure {
            self.endpoints[position].evidence.confirmed_by_probe = true;
            return self.add_failure(now, position);
        }
        let score = evidence::success_score(self.peer_failure_rate(position));
        self.add(now, position, EvidenceKind::Failure, score);
        let state = &mut self.endpoints[position];
        state.probe_passed_at = Some(now);
        state.evidence.connect = 0.0;
        state.path_check = PathCheck::NotRequested;
    }

    /// Handles an attempt that ended without an answer: its age is a lower
    /// bound of its latency.
    fn observe_unanswered(&mut self, now: Time, position: usize, attempt: &InFlightAttempt) {
        if attempt.spans_pause {
            return;
        }
        let Some(score) = self.age_score(now, position, attempt) else { return };
        let kind =
            if attempt.fresh_connection { EvidenceKind::Slow } else { EvidenceKind::Ambiguous };
        self.add(now, position, kind, score.min(OBSERVATION_CAP));
        self.endpoints[position].evidence.update_severity(1.0);
    }

    /// Records that the endpoint sent data on the attempt's connection.
    ///
    /// An answer shows that its connection and the path work, so it reduces the
    /// ambiguous evidence of a silent connection, and clears the evidence of a
    /// path that was broken for a while.
    fn record_response(&mut self, now: Time, position: usize, attempt: &InFlightAttempt) {
        let state = &mut self.endpoints[position];
        state.last_answer_at = now;
        state.evidence.confirmed_by_probe = false;
        state.evidence.connect = 0.0;
        state.path_check = PathCheck::NotRequested;
        if attempt.fresh_connection {
            state.evidence.ambiguous = 0.0;
            state.ambiguous_since = None;
        } else {
            state.evidence.ambiguous *= 0.5;
        }
    }

    pub(super) fn observe_trial(
        &mut self,
        now: Time,
        position: usize,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        actions: &mut Vec<HealthAction>,
    ) {
        if attempt.spans_pause {
            return;
        }
        match outcome {
            Outcome::Answered { status, .. } if status >= FIRST_FAILURE_STATUS => {
                self.fail_trial(now, position, actions);
            }
            Outcome::Answered { .. } if attempt.kind == AttemptKind::Probe => {
                self.endpoints[position].probe_passed_at = Some(now);
            }
            Outcome::Answered { .. } => {
                let latency = now.since(attempt.started);
                self.record_response(now, position, attempt);
                let score =
                    self.tail_probability(position, attempt, latency).map(evidence::latency_score);
                match score {
                    Some(score) if score > TRIAL_LATENCY_SCORE_LIMIT => {
                        self.fail_trial(now, position, actions)
                    }
                    Some(score) if score > 0.0 => {}
                    _ => self.record_trial_success(now, position, actions),
                }
            }
            Outcome::ConnectFailed | Outcome::Broken { .. } | Outcome::TimedOut { .. } => {
                self.fail_trial(now, position, actions);
            }
            Outcome::Shed
            | Outcome::Misdirected { .. }
            | Outcome::NotSent
            | Outcome::Cancelled
            | Outcome::RelayFailed { .. } => {}
        }
    }

    /// Updates the evidence from the age of attempts in flight.
    pub(super) fn observe_ages(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        let mut hung: Vec<(usize, bool, f64)> = Vec::new();
        let mut hung_probes = Vec::new();
        let mut in_flight = vec![0_usize; self.endpoints.len()];
        for (&attempt_id, attempt) in &self.attempts {
            let Some(position) = self.position_of(attempt.endpoint) else { continue };
            let is_relayed = attempt.via_relay || self.endpoints[position].relay_route.is_some();
            if attempt.answered || attempt.spans_pause || is_relayed {
                continue;
            }
            if attempt.kind == AttemptKind::Probe {
                if !attempt.hang_counted && now.since(attempt.started) >= PROBE_TIMEOUT {
                    hung_probes.push((attempt_id, position));
                }
                continue;
            }
            in_flight[position] += 1;
            if let Some(score) = self.age_score(now, position, attempt) {
                let is_silent = self.endpoints[position].last_answer_at <= attempt.started;
                let score = if is_silent { score } else { score.min(OBSERVATION_CAP) };
                hung.push((position, attempt.fresh_connection, score));
            }
        }
        self.add_hung_attempts(hung, &in_flight);
        hung_probes.sort_unstable();
        for (attempt_id, position) in hung_probes {
            self.on_hung_probe(now, attempt_id, position, actions);
        }
        self.fail_hung_trials(now, actions);
    }

    /// Adds up the scores of each endpoint's overdue attempts.
    ///
    /// One stall delays all attempts in flight, so the second highest score
    /// counts half, the third a third. A single request may just take long: its
    /// score is capped however old it gets.
    fn add_hung_attempts(&mut self, mut hung: Vec<(usize, bool, f64)>, in_flight: &[usize]) {
        for endpoint in &mut self.endpoints {
            endpoint.evidence.slow_in_flight = 0.0;
            endpoint.evidence.ambiguous_in_flight = 0.0;
        }
        hung.sort_unstable_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)).then(b.2.total_cmp(&a.2)));
        let mut rank = 0;
        let mut last_position = None;
        for (position, fresh_connection, score) in hung {
            rank = if last_position == Some(position) { rank + 1 } else { 1 };
            last_position = Some(position);
            let score = if in_flight[position] < 2 { score.min(OBSERVATION_CAP) } else { score };
            let contribution = score / f64::from(rank);
            let evidence = &mut self.endpoints[position].evidence;
            if fresh_connection {
                evidence.slow_in_flight += contribution;
            } else {
                evidence.ambiguous_in_flight += contribution;
            }
        }
    }

    fn on_hung_probe(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        attempt.hang_counted = true;
        if matches!(self.endpoints[position].phase, Phase::Trial { .. }) {
            self.fail_trial(now, position, actions);
        } else if self.endpoints[position].in_rotation() {
            self.endpoints[position].evidence.confirmed_by_probe = true;
            self.add_failure(now, position);
        }
    }

    fn fail_hung_trials(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        let failed: Vec<usize> = (0..self.endpoints.len())
            .filter(|&position| {
                let state = &self.endpoints[position];
                let Phase::Trial { since, .. } = state.phase else { return false };
                let hung = |attempt: &InFlightAttempt| {
                    let is_trial = attempt.endpoint == state.id && attempt.started >= since;
                    let is_open = !attempt.answered && !attempt.spans_pause && !attempt.via_relay;
                    is_trial
                        && is_open
                        && attempt.kind != AttemptKind::Probe
                        && self
                            .age_score(now, position, attempt)
                            .is_some_and(|score| score > TRIAL_AGE_SCORE_LIMIT)
                };
                self.attempts.values().any(hung)
            })
            .collect();
        for position in failed {
            self.fail_trial(now, position, actions);
        }
    }

    /// Returns the score of an unanswered attempt, if it is evidence.
    fn age_score(&self, now: Time, position: usize, attempt: &InFlightAttempt) -> Option<f64> {
        let age = now.since(attempt.started);
        let latency_tolerance = self.endpoints[position].latency_tolerance();
        if age < MAX_AGE_WITHOUT_PEERS
            && self.baseline.is_below_usual(attempt.class, age, latency_tolerance)
        {
            return None;
        }
        let score = match self.tail_probability(position, attempt, age) {
            Some(tail) => evidence::latency_score(tail),
            None if age >= MAX_AGE_WITHOUT_PEERS => OBSERVATION_CAP,
            None => return None,
        };
        (score > 0.0).then_some(score)
    }

    fn tail_probability(
        &self,
        position: usize,
        attempt: &InFlightAttempt,
        latency: Duration,
    ) -> Option<f64> {
        let latency_tolerance = self.endpoints[position].latency_tolerance();
        self.baseline.tail_probability(attempt.class, attempt.endpoint, latency, latency_tolerance)
    }

    fn peer_failure_rate(&self, position: usize) -> f64 {
        self.baseline.peer_failure_rate(&self.endpoints[position].answer_counts)
    }

    /// Returns whether the endpoint's answers count for the baseline.
    fn is_baseline_member(&self, position: usize) -> bool {
        let state = &self.endpoints[position];
        let excess = state.evidence.strength(self.threshold) - self.common_evidence;
        state.in_rotation() && state.phase != Phase::HeldByFloor && excess < self.threshold / 2.0
    }

    fn add_failure(&mut self, now: Time, position: usize) {
        let score = evidence::failure_score(self.peer_failure_rate(position));
        self.add(now, position, EvidenceKind::Failure, score);
        self.endpoints[position].evidence.update_severity(1.0);
    }

    fn add(&mut self, now: Time, position: usize, kind: EvidenceKind, score: f64) {
        let evidence = &mut self.endpoints[position].evidence;
        evidence.add(now, kind, score, self.threshold);
    }
}

/// Returns the severity of a latency that a fraction `tail` of the peers'
/// latencies exceeds, 0 to 0.8.
fn latency_severity(tail: f64) -> f64 {
    (-0.27 * (tail.log10() + 1.0)).clamp(0.0, 0.8)
}
