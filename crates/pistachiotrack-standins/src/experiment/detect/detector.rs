//! The detectors that are compared.

use std::time::Duration;

use pistachiotrack_core::{
    health::{
        AttemptKind, ConfiguredEndpoint, Health, HealthAction, HealthSettings, HealthState,
        PathAnswer,
    },
    name::Name,
    request::{AttemptId, BodyEnd, Class, EndpointReport, Outcome},
    time::Time,
};

/// What a VM may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Access {
    /// Nothing.
    Closed,
    /// One idempotent request at a time.
    Trial,
    /// A fraction of the slots.
    Share(f64),
}

/// An ejection or a probe request by a detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Effect {
    /// An endpoint was ejected.
    Ejected { endpoint: usize },
    /// A health check is due.
    Probe { endpoint: usize },
}

/// The detector of one VM.
pub(super) trait Detector {
    fn on_dispatch(&mut self, now: Time, attempt: u64, endpoint: usize, kind: AttemptKind);
    fn on_fresh_connection(&mut self, _attempt: u64) {}
    fn on_attempt_end(
        &mut self,
        now: Time,
        attempt: u64,
        endpoint: usize,
        outcome: Outcome,
    ) -> Vec<Effect>;
    fn on_report(&mut self, _now: Time, _endpoint: usize, _report: EndpointReport) {}
    fn on_tick(&mut self, now: Time) -> Vec<Effect>;
    fn access(&self, now: Time, endpoint: usize) -> Access;
    fn needs_fresh_connection(&self, _endpoint: usize) -> bool {
        false
    }
}

/// A detector with the core's health decisions.
pub(super) struct CoreDetector {
    health: Health,
    names: Vec<Name>,
}

impl CoreDetector {
    pub(super) fn new(endpoints: usize, floor: u32, sensitivity: f64, seed: u64) -> CoreDetector {
        let names: Vec<Name> =
            (0..endpoints).map(|index| Name::from(format!("e{index}"))).collect();
        let configured: Vec<ConfiguredEndpoint> = names
            .iter()
            .map(|name| ConfiguredEndpoint { name: name.clone(), leaving: false })
            .collect();
        let settings = HealthSettings { sensitivity, ..HealthSettings::default() };
        CoreDetector { health: Health::new(Time::ZERO, settings, &configured, floor, seed), names }
    }

    fn effects(&mut self, now: Time, actions: Vec<HealthAction>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                HealthAction::Ejected { endpoint, .. } => {
                    effects.push(Effect::Ejected { endpoint: self.index(&endpoint) });
                }
                HealthAction::Probe { endpoint } => {
                    effects.push(Effect::Probe { endpoint: self.index(&endpoint) });
                }
                HealthAction::CheckPath { endpoint } => {
                    let answer = PathAnswer::UnreachableByOthers;
                    let actions = self.health.on_path_answer(now, &endpoint, answer);
                    effects.extend(self.effects(now, actions));
                }
                _ => {}
            }
        }
        effects
    }

    fn index(&self, name: &Name) -> usize {
        self.names.iter().position(|other| other == name).unwrap_or_default()
    }
}

impl Detector for CoreDetector {
    fn on_dispatch(&mut self, now: Time, attempt: u64, endpoint: usize, kind: AttemptKind) {
        let name = &self.names[endpoint];
        self.health.on_dispatch(now, AttemptId(attempt), name, Class::Standard, kind);
    }

    fn on_fresh_connection(&mut self, attempt: u64) {
        self.health.on_fresh_connection(AttemptId(attempt));
    }

    fn on_attempt_end(
        &mut self,
        now: Time,
        attempt: u64,
        _: usize,
        outcome: Outcome,
    ) -> Vec<Effect> {
        let mut actions = self.health.on_outcome(now, AttemptId(attempt), outcome);
        if matches!(outcome, Outcome::Answered { .. }) {
            let end = BodyEnd::Complete;
            actions.extend(self.health.on_body_end(now, AttemptId(attempt), end));
        }
        self.effects(now, actions)
    }

    fn on_report(&mut self, now: Time, endpoint: usize, report: EndpointReport) {
        self.health.on_report(now, &self.names[endpoint], report);
    }

    fn on_tick(&mut self, now: Time) -> Vec<Effect> {
        let actions = self.health.on_tick(now);
        self.effects(now, actions)
    }

    fn access(&self, now: Time, endpoint: usize) -> Access {
        let name = &self.names[endpoint];
        match self.health.state(name) {
            HealthState::Trial => Access::Trial,
            _ => match self.health.share(now, name) {
                share if share > 0.0 => Access::Share(share),
                _ => Access::Closed,
            },
        }
    }

    fn needs_fresh_connection(&self, endpoint: usize) -> bool {
        self.health.needs_fresh_connection(&self.names[endpoint])
    }
}

/// Settings of the baselines, which follow the commonly published defaults.
const CONSECUTIVE_FAILURES: u32 = 5;
const BASE_EJECTION: Duration = Duration::from_secs(30);
const MAX_EJECTION: Duration = Duration::from_secs(300);
const OUTLIER_INTERVAL: Duration = Duration::from_secs(10);
const MAX_DEVIATIONS: f64 = 1.9;
const MIN_REQUESTS: u32 = 100;
const MIN_ENDPOINTS: usize = 5;
const MAX_EJECTED_FRACTION: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    consecutive_failures: u32,
    requests: u32,
    successes: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

/// Ejects after consecutive failures and, if enabled, ejects success-rate outliers at fixed
/// intervals.
pub(super) struct Baseline {
    counts: Vec<Counts>,
    max_ejected: usize,
    next_interval: Option<Time>,
}

impl Baseline {
    /// Creates a detector of consecutive failures, limited only by the floor.
    pub(super) fn consecutive(endpoints: usize, floor: u32) -> Baseline {
        let max_ejected = endpoints.saturating_sub(floor as usize);
        Baseline { counts: vec![Counts::default(); endpoints], max_ejected, next_interval: None }
    }

    /// Creates a detector of consecutive failures and outliers, which ejects at most a tenth of the
    /// endpoints but always allows one.
    pub(super) fn outlier(endpoints: usize) -> Baseline {
        let max_ejected = ((endpoints as f64 * MAX_EJECTED_FRACTION) as usize).max(1);
        let next_interval = Some(Time::ZERO + OUTLIER_INTERVAL);
        Baseline { counts: vec![Counts::default(); endpoints], max_ejected, next_interval }
    }

    fn eject(&mut self, now: Time, endpoint: usize) -> Option<Effect> {
        let ejected = self.counts.iter().filter(|counts| counts.ejected_until.is_some()).count();
        let counts = &mut self.counts[endpoint];
        if counts.ejected_until.is_some() || ejected >= self.max_ejected {
            return None;
        }
        counts.ejections += 1;
        counts.consecutive_failures = 0;
        let duration = (BASE_EJECTION * counts.ejections).min(MAX_EJECTION);
        counts.ejected_until = Some(now + duration);
        Some(Effect::Ejected { endpoint })
    }

    fn end_interval(&mut self, now: Time) -> Vec<Effect> {
        let rates: Vec<(usize, f64)> = self
            .counts
            .iter()
            .enumerate()
            .filter(|(_, counts)| counts.requests >= MIN_REQUESTS)
            .map(|(endpoint, counts)| {
                (endpoint, f64::from(counts.successes) / f64::from(counts.requests))
            })
            .collect();
        for counts in &mut self.counts {
            (counts.requests, counts.successes) = (0, 0);
            if counts.ejected_until.is_none() {
                counts.ejections = counts.ejections.saturating_sub(1);
            }
        }
        if rates.len() < MIN_ENDPOINTS {
            return Vec::new();
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let variance = rates.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / count;
        let min_rate = mean - MAX_DEVIATIONS * variance.sqrt();
        rates
            .into_iter()
            .filter(|(_, rate)| *rate < min_rate)
            .filter_map(|(endpoint, _)| self.eject(now, endpoint))
            .collect()
    }
}

impl Detector for Baseline {
    fn on_dispatch(&mut self, _: Time, _: u64, _: usize, _: AttemptKind) {}

    fn on_attempt_end(
        &mut self,
        now: Time,
        _: u64,
        endpoint: usize,
        outcome: Outcome,
    ) -> Vec<Effect> {
        let counts = &mut self.counts[endpoint];
        let is_success = match outcome {
            Outcome::Answered { status, .. } => status < 500,
            Outcome::ConnectFailed
            | Outcome::Misdirected { .. }
            | Outcome::Broken { .. }
            | Outcome::TimedOut { .. } => false,
            Outcome::Shed | Outcome::NotSent | Outcome::RelayFailed { .. } | Outcome::Cancelled => {
                return Vec::new();
            }
        };
        counts.requests += 1;
        if is_success {
            counts.successes += 1;
            counts.consecutive_failures = 0;
            return Vec::new();
        }
        counts.consecutive_failures += 1;
        if counts.consecutive_failures < CONSECUTIVE_FAILURES {
            return Vec::new();
        }
        self.eject(now, endpoint).into_iter().collect()
    }

    fn on_tick(&mut self, now: Time) -> Vec<Effect> {
        for counts in &mut self.counts {
            if counts.ejected_until.is_some_and(|until| now >= until) {
                counts.ejected_until = None;
            }
        }
        match self.next_interval {
            Some(at) if now >= at => {
                self.next_interval = Some(at + OUTLIER_INTERVAL);
                self.end_interval(now)
            }
            _ => Vec::new(),
        }
    }

    fn access(&self, _: Time, endpoint: usize) -> Access {
        match self.counts[endpoint].ejected_until {
            Some(_) => Access::Closed,
            None => Access::Share(1.0),
        }
    }
}
