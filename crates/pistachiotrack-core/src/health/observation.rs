//! What attempts show: their outcome, their latency, their age.

use std::time::Duration;

use crate::{
    health::{
        AttemptKind, Health, HealthAction,
        evidence::{self, Kind, OBSERVATION_CAP},
        reference,
        state::{Flight, Path, Phase},
    },
    name::Name,
    request::{AttemptId, BodyEnd, Class, FIRST_FAILURE_STATUS, Outcome},
    time::Time,
};

/// Weight of a pooled connection that broke: endpoints close idle connections.
const POOLED_BREAK_WEIGHT: f64 = 0.5;
/// Age at which an attempt without answer is a failure where no latency of
/// peers is known.
const AGE_WITHOUT_PEERS: Duration = Duration::from_secs(1);
/// Age at which a health check without answer has failed.
const PROBE_LIMIT: Duration = Duration::from_millis(250);
/// Ticks further apart than this may hide a pause of this process.
const STALE_TICK: Duration = Duration::from_millis(500);
/// Latency score above which a trial has failed, and the same for its age.
const TRIAL_LATE: f64 = 1.0;
const TRIAL_HUNG: f64 = 2.0;

impl Health {
    /// Notes the start of an attempt.
    pub fn on_dispatch(
        &mut self,
        now: Time,
        attempt: AttemptId,
        endpoint: &Name,
        class: Class,
        kind: AttemptKind,
    ) {
        let Some(&position) = self.positions.get(endpoint) else { return };
        let state = &mut self.endpoints[position];
        if kind != AttemptKind::Probe {
            state.last_dispatch = now;
        }
        let flight = Flight {
            endpoint: state.id,
            class,
            kind,
            started: now,
            fresh: kind == AttemptKind::Probe,
            tainted: false,
            via: false,
            answered: false,
            counted: false,
        };
        self.flights.insert(attempt, flight);
    }

    /// Notes that an attempt was sent on a new connection.
    ///
    /// Without this an attempt counts as sent on a pooled connection while it
    /// is in flight; health checks always count as sent on a new one.
    pub fn on_fresh_connection(&mut self, attempt: AttemptId) {
        if let Some(flight) = self.flights.get_mut(&attempt) {
            flight.fresh = true;
        }
    }

    /// Notes how an attempt ended or how its answer began.
    pub fn on_outcome(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(flight) = self.flights.get_mut(&attempt) else { return actions };
        flight.answered = true;
        let mut flight = *flight;
        if flight.kind == AttemptKind::Probe || !matches!(outcome, Outcome::Answered { .. }) {
            self.flights.remove(&attempt);
        }
        let Some(position) = self.position_of(flight.endpoint) else { return actions };
        if let Outcome::Answered { fresh_connection, .. }
        | Outcome::Broken { fresh_connection }
        | Outcome::TimedOut { fresh_connection } = outcome
        {
            flight.fresh |= fresh_connection;
        }
        self.observe_risk(now, position, &flight, outcome);
        let evidence = &mut self.endpoints[position].evidence;
        evidence.slow_in_flight = 0.0;
        evidence.doubt_in_flight = 0.0;
        if outcome == Outcome::Misdirected {
            self.on_replaced(now, position, &mut actions);
            return actions;
        }
        if self.endpoints[position].via.is_some() && !flight.via {
            if flight.kind == AttemptKind::Probe {
                self.on_retest(now, position, outcome, &mut actions);
                return actions;
            }
            if !matches!(outcome, Outcome::Answered { .. }) {
                return actions;
            }
        }

        let cant_connect = outcome == Outcome::ConnectFailed && !flight.tainted;
        match self.endpoints[position].phase {
            Phase::Ejected { .. } => {
                if cant_connect {
                    self.ask_when_out(now, position, &mut actions);
                }
                return actions;
            }
            Phase::Trial { since, .. } if flight.started < since => return actions,
            Phase::Trial { .. } | Phase::PathBroken { .. } => {
                self.observe_trial(now, position, &flight, outcome, &mut actions);
                if cant_connect {
                    self.ask_when_out(now, position, &mut actions);
                }
            }
            Phase::InRotation | Phase::Held | Phase::SlowStart { .. } => {
                self.observe(now, position, &flight, outcome);
            }
        }
        self.decide(now, position, &mut actions);
        actions
    }

    /// Notes the end of an answer's body.
    pub fn on_body_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: BodyEnd,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(flight) = self.flights.remove(&attempt) else { return actions };
        if end != BodyEnd::Truncated || flight.tainted {
            return actions;
        }
        let Some(position) = self.position_of(flight.endpoint) else { return actions };
        match self.endpoints[position].phase {
            Phase::Trial { since, .. } if flight.started >= since => {
                self.fail_trial(now, position, &mut actions);
            }
            _ if self.endpoints[position].in_rotation() => {
                self.add_failure(now, position);
                self.decide(now, position, &mut actions);
            }
            _ => {}
        }
        actions
    }

    /// Decides about one endpoint after an observation.
    ///
    /// A process that was paused sees timeouts and broken connections of its
    /// own making when it wakes. Ticks that stay away show that, so nothing is
    /// ejected until a tick, which comes after [`Health::on_pause`].
    pub(super) fn decide(&mut self, now: Time, position: usize, actions: &mut Vec<HealthAction>) {
        if now.since(self.last_tick) < STALE_TICK {
            self.judge(now, position, actions);
            self.keep_floor(now, actions);
        }
    }

    pub(super) fn observe(
        &mut self,
        now: Time,
        position: usize,
        flight: &Flight,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answered { status, .. } => self.observe_answer(now, position, flight, status),
            Outcome::Shed => self.note_alive(now, position, flight),
            Outcome::ConnectFailed if flight.tainted => {}
            Outcome::ConnectFailed => {
                let score = evidence::failure_score(self.peer_failure_rate(position));
                self.add(now, position, Kind::Connect, score);
                self.endpoints[position].evidence.note_sickness(1.0);
            }
            Outcome::Broken { .. } if flight.tainted => {}
            Outcome::Broken { .. } if flight.fresh => self.add_failure(now, position),
            Outcome::Broken { .. } => {
                let score = evidence::failure_score(self.peer_failure_rate(position));
                self.add(now, position, Kind::Doubt, POOLED_BREAK_WEIGHT * score);
            }
            Outcome::TimedOut { .. } | Outcome::Cancelled => {
                self.observe_unanswered(now, position, flight);
            }
            // Taken before, as a fact about the address.
            Outcome::Misdirected => {}
            Outcome::NotSent | Outcome::RelayFailed { .. } => {}
        }
    }

    fn observe_answer(&mut self, now: Time, position: usize, flight: &Flight, status: u16) {
        let is_failure = status >= FIRST_FAILURE_STATUS;
        let is_reference = self.is_reference(position);
        if flight.kind == AttemptKind::Probe {
            return self.observe_probe(now, position, is_failure);
        }
        self.note_alive(now, position, flight);
        if is_reference {
            self.reference.count(&mut self.endpoints[position].tally, is_failure);
        }
        if is_failure {
            return self.add_failure(now, position);
        }

        let score = evidence::success_score(self.peer_failure_rate(position));
        self.add(now, position, Kind::Failure, score);
        if flight.tainted {
            return;
        }
        let latency = now.since(flight.started);
        let tail = self.tail(position, flight, latency);
        if let Some(tail) = tail {
            let score = evidence::latency_score(tail).min(OBSERVATION_CAP);
            self.add(now, position, Kind::Slow, score);
        }
        let state = &mut self.endpoints[position];
        state.evidence.note_sickness(tail.map_or(0.0, latency_badness));
        let was_cold = state.is_cold();
        state.note_latency(reference::log_micros(latency));
        if is_reference && !was_cold && !flight.via {
            self.reference.add_latency(flight.class, flight.endpoint, latency);
        }
    }

    fn observe_probe(&mut self, now: Time, position: usize, is_failure: bool) {
        if is_failure {
            self.endpoints[position].evidence.doubt_confirmed = true;
            return self.add_failure(now, position);
        }
        let score = evidence::success_score(self.peer_failure_rate(position));
        self.add(now, position, Kind::Failure, score);
        let state = &mut self.endpoints[position];
        state.probe_passed = Some(now);
        state.evidence.connect = 0.0;
        state.path = Path::Unasked;
    }

    /// Takes an attempt that ended without any sign from the endpoint: it was
    /// in flight for its age, and would have taken longer.
    fn observe_unanswered(&mut self, now: Time, position: usize, flight: &Flight) {
        if flight.tainted {
            return;
        }
        let Some(score) = self.age_score(now, position, flight) else { return };
        let kind = if flight.fresh { Kind::Slow } else { Kind::Doubt };
        self.add(now, position, kind, score.min(OBSERVATION_CAP));
        self.endpoints[position].evidence.note_sickness(1.0);
    }

    /// Notes that the endpoint sent something on the attempt's connection.
    ///
    /// An answer shows that its connection and the path work, so it clears the
    /// doubt that one silent connection, or a path broken for a while, left.
    fn note_alive(&mut self, now: Time, position: usize, flight: &Flight) {
        let state = &mut self.endpoints[position];
        state.last_answer = now;
        state.evidence.doubt_confirmed = false;
        state.evidence.connect = 0.0;
        state.path = Path::Unasked;
        if flight.fresh {
            state.evidence.doubt = 0.0;
            state.doubt_since = None;
        } else {
            state.evidence.doubt *= 0.5;
        }
    }

    pub(super) fn observe_trial(
        &mut self,
        now: Time,
        position: usize,
        flight: &Flight,
        outcome: Outcome,
        actions: &mut Vec<HealthAction>,
    ) {
        if flight.tainted {
            return;
        }
        match outcome {
            Outcome::Answered { status, .. } if status >= FIRST_FAILURE_STATUS => {
                self.fail_trial(now, position, actions);
            }
            Outcome::Answered { .. } if flight.kind == AttemptKind::Probe => {
                self.endpoints[position].probe_passed = Some(now);
            }
            Outcome::Answered { .. } => {
                let latency = now.since(flight.started);
                self.note_alive(now, position, flight);
                let score = self.tail(position, flight, latency).map(evidence::latency_score);
                match score {
                    Some(score) if score > TRIAL_LATE => self.fail_trial(now, position, actions),
                    Some(score) if score > 0.0 => {}
                    _ => self.pass_trial(now, position, actions),
                }
            }
            Outcome::ConnectFailed | Outcome::Broken { .. } | Outcome::TimedOut { .. } => {
                self.fail_trial(now, position, actions);
            }
            Outcome::Shed
            | Outcome::Misdirected
            | Outcome::NotSent
            | Outcome::Cancelled
            | Outcome::RelayFailed { .. } => {}
        }
    }

    /// Works out what the age of the work in flight shows.
    pub(super) fn observe_ages(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        let mut hung: Vec<(usize, bool, f64)> = Vec::new();
        let mut hung_probes = Vec::new();
        let mut in_flight = vec![0_usize; self.endpoints.len()];
        for (&attempt, flight) in &self.flights {
            let Some(position) = self.position_of(flight.endpoint) else { continue };
            let shows_nothing = flight.via || self.endpoints[position].via.is_some();
            if flight.answered || flight.tainted || shows_nothing {
                continue;
            }
            if flight.kind == AttemptKind::Probe {
                if !flight.counted && now.since(flight.started) >= PROBE_LIMIT {
                    hung_probes.push((attempt, position));
                }
                continue;
            }
            in_flight[position] += 1;
            if let Some(score) = self.age_score(now, position, flight) {
                let unheard = self.endpoints[position].last_answer <= flight.started;
                let score = if unheard { score } else { score.min(OBSERVATION_CAP) };
                hung.push((position, flight.fresh, score));
            }
        }
        self.take_hung_work(hung, &in_flight);
        hung_probes.sort_unstable();
        for (attempt, position) in hung_probes {
            self.take_hung_probe(now, attempt, position, actions);
        }
        self.fail_hung_trials(now, actions);
    }

    /// Sums up the hung work of each endpoint.
    ///
    /// One stall holds up all work in flight, so the second oldest counts half,
    /// the third a third. A single request may just be a long one: its part is
    /// capped however old it gets.
    fn take_hung_work(&mut self, mut hung: Vec<(usize, bool, f64)>, in_flight: &[usize]) {
        for endpoint in &mut self.endpoints {
            endpoint.evidence.slow_in_flight = 0.0;
            endpoint.evidence.doubt_in_flight = 0.0;
        }
        hung.sort_unstable_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)).then(b.2.total_cmp(&a.2)));
        let mut rank = 0;
        let mut last_position = None;
        for (position, fresh, score) in hung {
            rank = if last_position == Some(position) { rank + 1 } else { 1 };
            last_position = Some(position);
            let score = if in_flight[position] < 2 { score.min(OBSERVATION_CAP) } else { score };
            let part = score / f64::from(rank);
            let evidence = &mut self.endpoints[position].evidence;
            if fresh {
                evidence.slow_in_flight += part;
            } else {
                evidence.doubt_in_flight += part;
            }
        }
    }

    fn take_hung_probe(
        &mut self,
        now: Time,
        attempt: AttemptId,
        position: usize,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(flight) = self.flights.get_mut(&attempt) else { return };
        flight.counted = true;
        if matches!(self.endpoints[position].phase, Phase::Trial { .. }) {
            self.fail_trial(now, position, actions);
        } else if self.endpoints[position].in_rotation() {
            self.endpoints[position].evidence.doubt_confirmed = true;
            self.add_failure(now, position);
        }
    }

    fn fail_hung_trials(&mut self, now: Time, actions: &mut Vec<HealthAction>) {
        let failed: Vec<usize> = (0..self.endpoints.len())
            .filter(|&position| {
                let state = &self.endpoints[position];
                let Phase::Trial { since, .. } = state.phase else { return false };
                let hung = |flight: &Flight| {
                    let is_trial = flight.endpoint == state.id && flight.started >= since;
                    let is_open = !flight.answered && !flight.tainted && !flight.via;
                    is_trial
                        && is_open
                        && flight.kind != AttemptKind::Probe
                        && self
                            .age_score(now, position, flight)
                            .is_some_and(|score| score > TRIAL_HUNG)
                };
                self.flights.values().any(hung)
            })
            .collect();
        for position in failed {
            self.fail_trial(now, position, actions);
        }
    }

    /// Returns the evidence of an attempt that has not been answered, if any.
    fn age_score(&self, now: Time, position: usize, flight: &Flight) -> Option<f64> {
        let age = now.since(flight.started);
        let tolerance = self.endpoints[position].tolerance();
        if age < AGE_WITHOUT_PEERS && self.reference.is_usual(flight.class, age, tolerance) {
            return None;
        }
        let score = match self.tail(position, flight, age) {
            Some(tail) => evidence::latency_score(tail),
            None if age >= AGE_WITHOUT_PEERS => OBSERVATION_CAP,
            None => return None,
        };
        (score > 0.0).then_some(score)
    }

    fn tail(&self, position: usize, flight: &Flight, latency: Duration) -> Option<f64> {
        let tolerance = self.endpoints[position].tolerance();
        self.reference.tail(flight.class, flight.endpoint, latency, tolerance)
    }

    fn peer_failure_rate(&self, position: usize) -> f64 {
        self.reference.peer_failure_rate(&self.endpoints[position].tally)
    }

    /// Returns whether the endpoint may stand for what is normal.
    fn is_reference(&self, position: usize) -> bool {
        let state = &self.endpoints[position];
        let excess = state.evidence.strength(self.threshold) - self.common_evidence;
        state.in_rotation() && state.phase != Phase::Held && excess < self.threshold / 2.0
    }

    fn add_failure(&mut self, now: Time, position: usize) {
        let score = evidence::failure_score(self.peer_failure_rate(position));
        self.add(now, position, Kind::Failure, score);
        self.endpoints[position].evidence.note_sickness(1.0);
    }

    fn add(&mut self, now: Time, position: usize, kind: Kind, score: f64) {
        let evidence = &mut self.endpoints[position].evidence;
        evidence.add(now, kind, score, self.threshold);
    }
}

/// How bad a latency is that a part `tail` of the peers exceeds, 0 to 0.8.
fn latency_badness(tail: f64) -> f64 {
    (-0.27 * (tail.log10() + 1.0)).clamp(0.0, 0.8)
}
