//! State of one endpoint.

use std::time::Duration;

use crate::{
    health::{
        EjectReason, baseline::AnswerCounts, episode_estimate::EpisodeEstimate, evidence::Evidence,
    },
    name::Name,
    request::Class,
    time::Time,
};

use super::{AttemptKind, HealthState, relay::RelayRoute};

/// Number of answers after which a new endpoint is no longer cold.
const COLD_ANSWERS: u32 = 20;
/// Factor by which an endpoint's latency may exceed its peers' latency.
const LATENCY_TOLERANCE: f64 = 1.5;
/// The same while the endpoint is cold, for instance with empty caches.
const COLD_LATENCY_TOLERANCE: f64 = 10.0;
/// Step of the running median of the logarithm of the latency.
const USUAL_STEP: f32 = 0.05;

/// Phase of an endpoint in the cycle of ejection and readmission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Gets requests.
    InRotation,
    /// Would be ejected but for the floor; gets requests.
    HeldByFloor,
    /// Gets no requests before `until`.
    Ejected { until: Time },
    /// Is not faulty, but unreachable from this VM; not tried again before `until`.
    PathBroken { until: Time },
    /// Gets one request at a time.
    Trial { since: Time, successes: u32 },
    /// Gets a growing share of requests.
    SlowStart { since: Time },
}

/// State of the query to other VMs whether they reach an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathCheck {
    /// No VM was queried.
    NotRequested,
    /// Other VMs were queried at this time.
    Requested(Time),
    /// Other VMs don't reach it either, or none answered.
    Confirmed(Time),
}

/// An endpoint's report that it is draining.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainReport {
    /// Time of the last such report.
    pub(super) reported_at: Time,
    /// Time of the first report after it that the endpoint is not draining.
    pub(super) withdrawn_at: Option<Time>,
    /// Whether the endpoint gets requests all the same, as there is no other.
    pub(super) overridden: bool,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) endpoint: u32,
    pub(super) class: Class,
    pub(super) kind: AttemptKind,
    pub(super) started: Time,
    /// Whether it was sent on a new connection, if known.
    pub(super) fresh_connection: bool,
    /// Whether it spans a pause of this process: its age is no evidence.
    pub(super) spans_pause: bool,
    /// Whether it goes through a relay.
    pub(super) via_relay: bool,
    /// Whether its answer has begun.
    pub(super) answered: bool,
    /// Whether it was counted as a health check without an answer.
    pub(super) hang_counted: bool,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) id: u32,
    pub(super) name: Name,
    pub(super) leaving: bool,
    pub(super) drain_report: Option<DrainReport>,
    pub(super) phase: Phase,
    pub(super) evidence: Evidence,
    pub(super) answer_counts: AnswerCounts,
    pub(super) path_check: PathCheck,
    /// When another endpoint answered at its address.
    pub(super) replaced_at: Option<Time>,
    /// Set while only this VM can't reach it and its requests go through a relay.
    pub(super) relay_route: Option<RelayRoute>,
    pub(super) last_ejection_reason: Option<EjectReason>,
    pub(super) episode_estimate: EpisodeEstimate,
    /// Time of the last result that counts for the risk, or of a newer one that
    /// another VM reported.
    pub(super) last_observed_at: Option<Time>,
    pub(super) ejections: u32,
    /// When `ejections` last changed.
    pub(super) ejections_changed_at: Time,
    pub(super) answers: u32,
    pub(super) cold: bool,
    pub(super) usual_ln_micros: Option<f32>,
    pub(super) last_answer_at: Time,
    pub(super) last_dispatch_at: Time,
    pub(super) last_probe_at: Time,
    /// When it was last suspect while in rotation.
    pub(super) last_suspect_at: Option<Time>,
    /// When a health check last passed.
    pub(super) probe_passed_at: Option<Time>,
    /// Since when ambiguous evidence alone has been above the threshold.
    pub(super) ambiguous_since: Option<Time>,
}

impl EndpointState {
    pub(super) fn new(now: Time, id: u32, name: Name, leaving: bool, phase: Phase) -> Self {
        let mut evidence = Evidence::default();
        evidence.reset(now, 0.0);
        EndpointState {
            id,
            name,
            leaving,
            drain_report: None,
            phase,
            evidence,
            answer_counts: AnswerCounts::default(),
            path_check: PathCheck::NotRequested,
            replaced_at: None,
            relay_route: None,
            last_ejection_reason: None,
            episode_estimate: EpisodeEstimate::new(),
            last_observed_at: None,
            ejections: 0,
            ejections_changed_at: now,
            answers: 0,
            cold: matches!(phase, Phase::SlowStart { .. }),
            usual_ln_micros: None,
            last_answer_at: now,
            last_dispatch_at: now,
            last_probe_at: now,
            last_suspect_at: None,
            probe_passed_at: None,
            ambiguous_since: None,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.leaving || self.drain_report.is_some_and(|drain_report| !drain_report.overridden)
    }

    /// Returns whether another endpoint has answered at its address.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced_at.is_some()
    }

    /// Records a report that the endpoint is draining.
    pub(super) fn record_drain_report(&mut self, now: Time) {
        let overridden = self.drain_report.is_some_and(|drain_report| drain_report.overridden);
        self.drain_report = Some(DrainReport { reported_at: now, withdrawn_at: None, overridden });
    }

    /// Sets whether the endpoint gets requests although it reported that it is
    /// draining.
    pub(super) fn set_drain_overridden(&mut self, overridden: bool) {
        if let Some(drain_report) = &mut self.drain_report {
            drain_report.overridden = overridden;
        }
    }

    /// Sets whether the configuration marks the endpoint as leaving.
    pub(super) fn set_leaving(&mut self, now: Time, leaving: bool) {
        let stopped_leaving = self.leaving && !leaving;
        self.leaving = leaving;
        if stopped_leaving && self.phase == Phase::InRotation {
            self.phase = Phase::SlowStart { since: now };
        }
    }

    /// Returns whether the endpoint gets a share of the requests.
    pub(super) fn in_rotation(&self) -> bool {
        self.can_serve() && !self.is_draining()
    }

    /// Returns whether the endpoint could get requests if it were not draining.
    pub(super) fn can_serve(&self) -> bool {
        !self.is_replaced()
            && matches!(
                self.phase,
                Phase::InRotation | Phase::HeldByFloor | Phase::SlowStart { .. }
            )
    }

    /// Returns whether the endpoint counts toward the floor: it is in rotation, and
    /// not only because no other endpoint is.
    pub(super) fn counts_toward_floor(&self) -> bool {
        self.can_serve() && !self.leaving && self.drain_report.is_none()
    }

    pub(super) fn health_state(&self, threshold: f64) -> HealthState {
        if self.is_draining() {
            return HealthState::Draining;
        }
        if self.is_replaced() {
            return HealthState::Ejected;
        }
        match self.phase {
            Phase::HeldByFloor => HealthState::HeldByFloor,
            Phase::Ejected { .. } => HealthState::Ejected,
            Phase::PathBroken { .. } => HealthState::Suspect,
            Phase::Trial { .. } => HealthState::Trial,
            Phase::SlowStart { .. } => HealthState::SlowStart,
            Phase::InRotation if self.evidence.strength(threshold) >= threshold / 2.0 => {
                HealthState::Suspect
            }
            Phase::InRotation => HealthState::Healthy,
        }
    }

    /// Returns the factor by which the endpoint's latency may exceed its peers' latency.
    pub(super) fn latency_tolerance(&self) -> f64 {
        if self.is_cold() { COLD_LATENCY_TOLERANCE } else { LATENCY_TOLERANCE }
    }

    /// Returns whether nothing has been sent to the endpoint, nor answered by it, since it was
    /// suspect. Evidence that has only decayed since then refutes nothing.
    pub(super) fn is_suspicion_open(&self) -> bool {
        let last_exchange_at =
            self.last_dispatch_at.max(self.last_answer_at).max(self.last_probe_at);
        self.last_suspect_at.is_some_and(|suspect_at| suspect_at > last_exchange_at)
    }

    /// Returns whether the endpoint is new and has given few answers so far.
    pub(super) fn is_cold(&self) -> bool {
        self.cold && self.answers < COLD_ANSWERS
    }

    /// Records the latency of a good answer.
    pub(super) fn record_latency(&mut self, ln_micros: f32) {
        self.answers = self.answers.saturating_add(1);
        let usual = self.usual_ln_micros.get_or_insert(ln_micros);
        *usual += USUAL_STEP * (ln_micros - *usual).signum();
    }

    pub(super) fn usual_latency(&self) -> Option<Duration> {
        let ln_micros = self.usual_ln_micros?;
        Some(Duration::from_micros(f64::from(ln_micros).exp() as u64))
    }
}
