//! What is known about one endpoint.

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

/// Requests of a new endpoint that are judged leniently.
const COLD_REQUESTS: u32 = 20;
/// Factor over its peers' latency that an endpoint may have.
const LATENCY_TOLERANCE: f64 = 1.5;
/// The same while the endpoint is cold.
const COLD_LATENCY_TOLERANCE: f64 = 10.0;
/// Step of the running estimate of the usual latency.
const USUAL_STEP: f32 = 0.05;

/// Where an endpoint is between work and no work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Gets work.
    InRotation,
    /// Would be ejected but for the floor.
    HeldByFloor,
    /// Gets no work until then.
    Ejected { until: Time },
    /// Not sick, but unreachable from this VM; not tried again until then.
    PathBroken { until: Time },
    /// Gets one request at a time.
    Trial { since: Time, successes: u32 },
    /// Gets a growing share of work.
    SlowStart { since: Time },
}

/// What other VMs said about the path to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathCheck {
    /// Nobody was asked.
    NotRequested,
    /// Others were asked then.
    Requested(Time),
    /// Others don't reach it either, or nobody answered.
    Confirmed(Time),
}

/// When an endpoint said that it is leaving.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainReport {
    /// It last said so then.
    pub(super) reported_at: Time,
    /// It last said that it isn't then, after having said that it is.
    pub(super) withdrawn_at: Option<Time>,
    /// Whether it gets work all the same, for want of any other endpoint.
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
    /// Whether it spans a pause of this process: its age shows nothing.
    pub(super) spans_pause: bool,
    /// Whether it goes through a witness.
    pub(super) via_relay: bool,
    /// Whether its answer has begun.
    pub(super) answered: bool,
    /// Whether its hanging was counted already.
    pub(super) hang_counted: bool,
}

/// One endpoint.
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
    /// Another endpoint answered at its address then.
    pub(super) replaced_at: Option<Time>,
    /// Only this VM can't reach it, and its work goes through another one.
    pub(super) relay_route: Option<RelayRoute>,
    pub(super) last_ejection_reason: Option<EjectReason>,
    pub(super) episode_estimate: EpisodeEstimate,
    /// Moment of the last answer or failure that counts.
    pub(super) last_observed_at: Option<Time>,
    pub(super) ejections: u32,
    /// Last ejection or forgiven ejection.
    pub(super) ejections_changed_at: Time,
    pub(super) answers: u32,
    pub(super) cold: bool,
    pub(super) usual_ln_micros: Option<f32>,
    pub(super) last_answer_at: Time,
    pub(super) last_dispatch_at: Time,
    pub(super) last_probe_at: Time,
    /// A health check passed then, since the doubt began.
    pub(super) probe_passed_at: Option<Time>,
    /// Doubt alone has been above the threshold since then.
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
            probe_passed_at: None,
            ambiguous_since: None,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.leaving || self.drain_report.is_some_and(|drain_report| !drain_report.overridden)
    }

    /// Returns whether another endpoint has its address, as far as is known.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced_at.is_some()
    }

    /// Takes a report that the endpoint is leaving.
    pub(super) fn record_drain_report(&mut self, now: Time) {
        let overridden = self.drain_report.is_some_and(|drain_report| drain_report.overridden);
        self.drain_report = Some(DrainReport { reported_at: now, withdrawn_at: None, overridden });
    }

    /// Sets whether the endpoint gets work although it said that it is leaving.
    pub(super) fn set_drain_overridden(&mut self, overridden: bool) {
        if let Some(drain_report) = &mut self.drain_report {
            drain_report.overridden = overridden;
        }
    }

    /// Takes whether the configuration marks the endpoint as leaving.
    pub(super) fn set_leaving(&mut self, now: Time, leaving: bool) {
        let returns = self.leaving && !leaving;
        self.leaving = leaving;
        if returns && self.phase == Phase::InRotation {
            self.phase = Phase::SlowStart { since: now };
        }
    }

    /// Returns whether the endpoint gets a share of the work.
    pub(super) fn in_rotation(&self) -> bool {
        self.can_serve() && !self.is_draining()
    }

    /// Returns whether the endpoint may get work, leaving or not.
    pub(super) fn can_serve(&self) -> bool {
        !self.is_replaced()
            && matches!(
                self.phase,
                Phase::InRotation | Phase::HeldByFloor | Phase::SlowStart { .. }
            )
    }

    /// Returns whether the endpoint counts for the floor: it is in rotation, and
    /// not just for want of others.
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

    /// Returns the factor over its peers' latency that the endpoint may have.
    pub(super) fn latency_tolerance(&self) -> f64 {
        if self.is_cold() { COLD_LATENCY_TOLERANCE } else { LATENCY_TOLERANCE }
    }

    /// Returns whether the endpoint is new and has answered little so far.
    pub(super) fn is_cold(&self) -> bool {
        self.cold && self.answers < COLD_REQUESTS
    }

    /// Notes a good answer.
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
