//! Outlier detection among the endpoints of a shard.
//!
//! Evidence comes from real requests: how attempts end, how long they take
//! compared with the other endpoints of the shard, and how old the attempts in
//! flight are. A sequential test per endpoint decides; see
//! `docs/design/health.md`.

use std::{fmt, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    feature_flags::FeatureFlags,
    name::Name,
    request::{AttemptId, EndpointReport},
    time::Time,
};

mod baseline;
mod episode_estimate;
mod episode_model;
mod evidence;
mod hand_over;
mod observation;
mod relay;
mod replaced;
mod risk;
mod rotation;
mod schedule;
mod state;

pub use risk::{EndpointEstimate, LastObservation};

use baseline::Baseline;
use episode_model::EpisodeModel;
use state::{EndpointState, InFlightAttempt, Phase};

/// Settings of the outlier detection of one shard.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// From 0 (fewest false ejections) to 1 (fastest detection).
    ///
    /// The threshold of the test is `14 - 10 * sensitivity`, and the mean
    /// number of independent observations of a healthy endpoint between two
    /// false ejections is at least `exp(threshold)`.
    pub sensitivity: f64,
    /// Whether failed answers only lower an endpoint's rank for new requests, by
    /// [`Health::risk`], and don't eject it.
    pub failures_only_lower_rank: bool,
    /// Enabled mechanisms.
    pub feature_flags: FeatureFlags,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        let feature_flags = FeatureFlags::default();
        HealthSettings { sensitivity: 0.5, failures_only_lower_rank: false, feature_flags }
    }
}

/// An endpoint of the shard, as the configuration lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredEndpoint {
    /// Name of the endpoint.
    pub name: Name,
    /// Whether the configuration marks the endpoint as leaving.
    pub leaving: bool,
}

/// Health state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthState {
    /// Gets requests.
    Healthy,
    /// Gets requests, although there is evidence against it.
    Suspect,
    /// Would be ejected, but the floor (the minimum number of endpoints in
    /// rotation) keeps it; gets requests.
    HeldByFloor,
    /// Gets no requests.
    Ejected,
    /// Gets one idempotent request at a time.
    Trial,
    /// Gets a growing share of requests.
    SlowStart,
    /// Is leaving; gets no new requests.
    Draining,
}

/// Kind of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// A caller's request.
    Request,
    /// A caller's idempotent request on an endpoint under trial.
    Trial,
    /// A health check.
    Probe,
}

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EjectReason {
    /// Answers were failures.
    Failures,
    /// Answers were late or missing.
    Slow,
    /// Neither this VM nor the VMs that were queried could reach it.
    Unreachable,
    /// Another endpoint answered at its address.
    Replaced,
}

impl EjectReason {
    /// Returns the name used in logs and at the admin port.
    pub fn as_str(self) -> &'static str {
        match self {
            EjectReason::Failures => "failures",
            EjectReason::Slow => "slow",
            EjectReason::Unreachable => "unreachable",
            EjectReason::Replaced => "replaced",
        }
    }
}

/// Answer of other VMs that were queried whether they reach an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathAnswer {
    /// Other VMs reach it: this VM's path is broken.
    ReachedByOthers,
    /// Other VMs don't reach it either.
    UnreachableByOthers,
    /// No VM answered.
    NoAnswer,
}

/// An action for the caller of [`Health`] to carry out, or a change to record.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// An endpoint was ejected.
    Ejected {
        /// The endpoint.
        endpoint: Name,
        /// Why it was ejected.
        reason: EjectReason,
    },
    /// The trial of an endpoint started: single requests may be sent to it.
    TrialStarted {
        /// The endpoint.
        endpoint: Name,
    },
    /// An endpoint gets requests again.
    Readmitted {
        /// The endpoint.
        endpoint: Name,
    },
    /// An ejection was held back by the floor.
    HeldByFloor {
        /// The endpoint.
        endpoint: Name,
    },
    /// Only this VM can't reach an endpoint; requests for it go through a relay,
    /// another VM that reaches it.
    PathBroken {
        /// The endpoint.
        endpoint: Name,
    },
    /// Requests are sent directly to an endpoint again.
    PathWorks {
        /// The endpoint.
        endpoint: Name,
    },
    /// Other VMs must be queried whether they reach the endpoint.
    CheckPath {
        /// The endpoint.
        endpoint: Name,
    },
    /// A health check is to be sent, as there are no requests to judge by.
    Probe {
        /// The endpoint.
        endpoint: Name,
    },
}

/// Formats the action as the key=value pairs of a log line.
impl fmt::Display for HealthAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (action, endpoint) = match self {
            HealthAction::Ejected { endpoint, reason } => {
                let reason = reason.as_str();
                return write!(f, "action=ejected endpoint={endpoint} reason={reason}");
            }
            HealthAction::TrialStarted { endpoint } => ("trial_started", endpoint),
            HealthAction::Readmitted { endpoint } => ("readmitted", endpoint),
            HealthAction::HeldByFloor { endpoint } => ("held_by_floor", endpoint),
            HealthAction::PathBroken { endpoint } => ("path_broken", endpoint),
            HealthAction::PathWorks { endpoint } => ("path_works", endpoint),
            HealthAction::CheckPath { endpoint } => ("check_path", endpoint),
            HealthAction::Probe { endpoint } => ("probe", endpoint),
        };
        write!(f, "action={action} endpoint={endpoint}")
    }
}

/// Health of an endpoint, as the shard's owner hands it over to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthHandOver {
    /// The endpoint.
    pub endpoint: Name,
    /// Its health state.
    pub state: HealthState,
    /// Ejections that still count for the backoff.
    pub ejections: u32,
    /// Usual latency of an answer, if known.
    pub usual_latency_us: Option<u64>,
}

/// Share of its slots that an endpoint may use at the beginning of a slow start.
const SLOW_START_SHARE: f64 = 0.1;
/// Duration of a slow start.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of its slots that an endpoint under trial may use: small enough that it
/// gets one request at a time.
const TRIAL_SHARE: f64 = 0.01;

/// Detects and ejects faulty endpoints of one shard, and readmits them.
#[derive(Clone, Debug)]
pub struct Health {
    threshold: f64,
    failures_only_lower_rank: bool,
    feature_flags: FeatureFlags,
    floor: usize,
    endpoints: Vec<EndpointState>,
    positions: FxHashMap<Name, usize>,
    attempts: FxHashMap<AttemptId, InFlightAttempt>,
    baseline: Baseline,
    episode_model: EpisodeModel,
    /// Evidence that most of the endpoints have against them. A fault of the
    /// whole service, or of this VM, explains it.
    common_evidence: f64,
    last_tick: Time,
    next_id: u32,
    rng: Pcg64Mcg,
}

impl Health {
    /// Creates the state of a shard in which every endpoint is healthy.
    pub fn new(
        now: Time,
        settings: HealthSettings,
        configured: &[ConfiguredEndpoint],
        floor: u32,
        seed: u64,
    ) -> Health {
        let mut health = Health {
            threshold: evidence::threshold(settings.sensitivity),
            failures_only_lower_rank: settings.failures_only_lower_rank,
            feature_flags: settings.feature_flags,
            floor: 0,
            endpoints: Vec::new(),
            positions: FxHashMap::default(),
            attempts: FxHashMap::default(),
            baseline: Baseline::default(),
            episode_model: EpisodeModel::new(settings.feature_flags.failure_times),
            common_evidence: 0.0,
            last_tick: now,
            next_id: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        health.update_endpoints(now, configured, Phase::InRotation);
        health.floor = floor as usize;
        health
    }

    /// Applies a new set of endpoints and a new floor.
    ///
    /// New endpoints begin with a slow start, and so do endpoints that were
    /// leaving and no longer are.
    pub fn on_config(
        &mut self,
        now: Time,
        configured: &[ConfiguredEndpoint],
        floor: u32,
    ) -> Vec<HealthAction> {
        self.floor = floor as usize;
        self.update_endpoints(now, configured, Phase::SlowStart { since: now });
        let mut actions = Vec::new();
        self.enforce_floor(now, &mut actions);
        actions
    }

    fn update_endpoints(&mut self, now: Time, configured: &[ConfiguredEndpoint], new_phase: Phase) {
        let mut previous: FxHashMap<Name, EndpointState> =
            self.endpoints.drain(..).map(|endpoint| (endpoint.name.clone(), endpoint)).collect();
        self.positions.clear();
        for endpoint_config in configured {
            if self.positions.contains_key(&endpoint_config.name) {
                continue;
            }
            let endpoint = match previous.remove(&endpoint_config.name) {
                Some(mut endpoint) => {
                    endpoint.set_leaving(now, endpoint_config.leaving);
                    endpoint
                }
                None => {
                    self.next_id += 1;
                    let name = endpoint_config.name.clone();
                    EndpointState::new(now, self.next_id, name, endpoint_config.leaving, new_phase)
                }
            };
            self.positions.insert(endpoint_config.name.clone(), self.endpoints.len());
            self.endpoints.push(endpoint);
        }
        self.attempts
            .retain(|_, attempt| previous.values().all(|removed| removed.id != attempt.endpoint));
    }

    /// Handles an endpoint's report about itself.
    ///
    /// Only the mark that it is draining is used, not its load. The mark is a
    /// hint: it is disregarded if no endpoint would be left in rotation. The
    /// configuration's mark of a leaving endpoint always applies.
    pub fn on_report(
        &mut self,
        now: Time,
        endpoint: &Name,
        report: EndpointReport,
    ) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        let state = &mut self.endpoints[position];
        match &mut state.drain_report {
            _ if report.draining => state.record_drain_report(now),
            Some(drain_report) => {
                drain_report.withdrawn_at.get_or_insert(now);
            }
            None => return actions,
        }
        self.enforce_floor(now, &mut actions);
        actions
    }

    /// Handles that an endpoint is leaving, like the configuration's mark.
    pub fn on_leaving(&mut self, now: Time, endpoint: &Name) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let Some(&position) = self.positions.get(endpoint) else { return actions };
        self.endpoints[position].set_leaving(now, true);
        self.enforce_floor(now, &mut actions);
        actions
    }

    /// Discards evidence that a pause of this process explains.
    ///
    /// Must be called before any event that the pause delayed.
    pub fn on_pause(&mut self, now: Time, _gap: Duration) {
        for attempt in self.attempts.values_mut() {
            attempt.spans_pause = true;
        }
        for endpoint in &mut self.endpoints {
            endpoint.evidence.revert_to_last_tick(now);
            endpoint.ambiguous_since = None;
            endpoint.last_suspect_at = None;
            endpoint.path_check = state::PathCheck::NotRequested;
        }
        self.last_tick = now;
    }

    /// Returns the health state of an endpoint; `Draining` if it is unknown.
    pub fn state(&self, endpoint: &str) -> HealthState {
        self.endpoint_state(endpoint)
            .map_or(HealthState::Draining, |state| state.health_state(self.threshold))
    }

    /// Returns the share of its slots that an endpoint may use now, 0 to 1.
    ///
    /// The share of an endpoint under trial allows one request at a time. An
    /// endpoint that only this VM can't reach has a share of 0, unless its
    /// requests go through a relay.
    pub fn share(&self, now: Time, endpoint: &str) -> f64 {
        let Some(state) = self.endpoint_state(endpoint) else { return 0.0 };
        if state.is_draining() || state.is_replaced() {
            return 0.0;
        }
        match state.phase {
            Phase::InRotation | Phase::HeldByFloor => 1.0,
            Phase::Ejected { .. } | Phase::PathBroken { .. } => 0.0,
            Phase::Trial { .. } => TRIAL_SHARE,
            Phase::SlowStart { .. } if !self.feature_flags.slow_start => 1.0,
            Phase::SlowStart { since } => {
                let progress = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
                (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * progress).min(1.0)
            }
        }
    }

    /// Returns whether only this VM can't reach the endpoint: the endpoint is
    /// not faulty, and its requests go through another VM.
    pub fn unreachable_from_this_vm(&self, endpoint: &str) -> bool {
        self.endpoint_state(endpoint).is_some_and(|state| {
            state.relay_route.is_some() || matches!(state.phase, Phase::PathBroken { .. })
        })
    }

    /// Returns whether the next request to an endpoint should use a new
    /// connection, to distinguish a silent connection from a faulty endpoint.
    pub fn needs_fresh_connection(&self, endpoint: &str) -> bool {
        self.endpoint_state(endpoint).is_some_and(|state| {
            let on_trial = matches!(state.phase, Phase::Trial { .. });
            on_trial || state.evidence.ambiguous_total() >= evidence::OBSERVATION_CAP / 2.0
        })
    }

    /// Returns the evidence against an endpoint as a log-likelihood ratio.
    pub fn evidence(&self, endpoint: &str) -> f64 {
        self.endpoint_state(endpoint).map_or(0.0, |state| state.evidence.strength(self.threshold))
    }

    /// Returns the evidence at which an endpoint is ejected.
    pub fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Returns why an endpoint was last ejected.
    pub fn last_ejection_reason(&self, endpoint: &str) -> Option<EjectReason> {
        self.endpoint_state(endpoint).and_then(|state| state.last_ejection_reason)
    }

    /// Returns whether the floor would prevent a further ejection.
    pub fn at_floor(&self) -> bool {
        self.rotation_len() <= self.floor
    }

    /// Returns the size in bytes of the state of one endpoint, without its name
    /// and without attempts in flight.
    pub fn endpoint_bytes() -> usize {
        size_of::<EndpointState>()
    }

    fn endpoint_state(&self, endpoint: &str) -> Option<&EndpointState> {
        self.positions.get(endpoint).map(|&position| &self.endpoints[position])
    }

    fn position_of(&self, id: u32) -> Option<usize> {
        self.endpoints.iter().position(|endpoint| endpoint.id == id)
    }

    /// Returns the number of endpoints in rotation that don't report that they
    /// are draining.
    ///
    /// Endpoints whose report is disregarded are not counted: they leave the
    /// rotation as soon as possible, so no other endpoint may be ejected because
    /// of them.
    fn rotation_len(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.counts_toward_floor()).count()
    }
}
