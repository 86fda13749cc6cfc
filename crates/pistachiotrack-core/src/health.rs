//! Which endpoints of a shard can really answer.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    name::Name,
    request::{AttemptId, BodyEnd, Class, Outcome, Report},
    time::Time,
};

/// Settings of the health decisions of one shard.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// From 0 (fewest false ejections) to 1 (fastest detection).
    pub sensitivity: f64,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings { sensitivity: 0.5 }
    }
}

/// An endpoint as the health decisions need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the endpoint.
    pub name: Name,
    /// Whether the configuration marks it as leaving.
    pub leaving: bool,
}

/// Where an endpoint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Gets work.
    Healthy,
    /// Gets work, with evidence against it.
    Suspect,
    /// Would be ejected but for the floor; gets work.
    HeldByFloor,
    /// Gets no work.
    Ejected,
    /// Gets one idempotent request at a time.
    Trial,
    /// Gets a growing share of work.
    SlowStart,
    /// Leaving; gets no new work.
    Draining,
}

/// What kind of work an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// A caller's request.
    Work,
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
    /// Answers were late or did not come.
    Slow,
    /// It could not be reached, by others neither.
    Unreachable,
}

/// Answer of VMs elsewhere that were asked whether they reach an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathAnswer {
    /// Others reach it: this VM's path is broken.
    ReachedByOthers,
    /// Others don't reach it either.
    UnreachableByOthers,
    /// Nobody answered.
    NoAnswer,
}

/// What the caller of the health decisions has to do or know.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// An endpoint was ejected.
    Ejected {
        /// The endpoint.
        endpoint: Name,
        /// Why.
        reason: EjectReason,
    },
    /// An endpoint may be tried again.
    TrialStarted {
        /// The endpoint.
        endpoint: Name,
    },
    /// An endpoint gets work again.
    Readmitted {
        /// The endpoint.
        endpoint: Name,
    },
    /// An ejection was held back by the floor.
    HeldByFloor {
        /// The endpoint.
        endpoint: Name,
    },
    /// Asks VMs elsewhere whether they reach the endpoint.
    CheckPath {
        /// The endpoint.
        endpoint: Name,
    },
    /// Sends a health check, for want of real work.
    Probe {
        /// The endpoint.
        endpoint: Name,
    },
}

/// What an owner tells its successor about an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthHandOver {
    /// The endpoint.
    pub endpoint: Name,
    /// Where it stands.
    pub standing: Standing,
    /// Ejections so far that have not been forgiven.
    pub ejections: u32,
    /// Usual time to answer, if known.
    pub usual_latency_us: Option<u64>,
}

/// The health of one shard's endpoints.
#[derive(Clone, Debug)]
pub struct Health {
    standings: FxHashMap<Name, Standing>,
    at_floor: bool,
}

impl Health {
    /// Creates the health of a shard; every endpoint starts healthy.
    pub fn new(
        now: Time,
        _settings: HealthSettings,
        candidates: &[Candidate],
        floor: u32,
        _seed: u64,
    ) -> Health {
        let mut health = Health { standings: FxHashMap::default(), at_floor: false };
        health.on_config(now, candidates, floor);
        health
    }

    /// Takes a new set of endpoints and a new floor.
    pub fn on_config(
        &mut self,
        _now: Time,
        candidates: &[Candidate],
        _floor: u32,
    ) -> Vec<HealthAction> {
        self.standings = candidates
            .iter()
            .map(|candidate| {
                let standing =
                    if candidate.leaving { Standing::Draining } else { Standing::Healthy };
                (candidate.name.clone(), standing)
            })
            .collect();
        Vec::new()
    }

    /// Notes the start of an attempt.
    pub fn on_dispatch(
        &mut self,
        _now: Time,
        _attempt: AttemptId,
        _endpoint: &Name,
        _class: Class,
        _kind: AttemptKind,
    ) {
    }

    /// Notes how an attempt ended or how its answer began.
    pub fn on_outcome(
        &mut self,
        _now: Time,
        _attempt: AttemptId,
        _outcome: Outcome,
    ) -> Vec<HealthAction> {
        Vec::new()
    }

    /// Notes the end of an answer's body.
    pub fn on_body_end(
        &mut self,
        _now: Time,
        _attempt: AttemptId,
        _end: BodyEnd,
    ) -> Vec<HealthAction> {
        Vec::new()
    }

    /// Notes what an endpoint reports about itself.
    pub fn on_report(&mut self, _now: Time, endpoint: &Name, report: Report) -> Vec<HealthAction> {
        if report.draining {
            self.standings.insert(endpoint.clone(), Standing::Draining);
        }
        Vec::new()
    }

    /// Takes the answer to [`HealthAction::CheckPath`].
    pub fn on_path_answer(
        &mut self,
        _now: Time,
        _endpoint: &Name,
        _answer: PathAnswer,
    ) -> Vec<HealthAction> {
        Vec::new()
    }

    /// Does what is due: ages work in flight, ends backoffs, asks for probes.
    pub fn on_tick(&mut self, _now: Time) -> Vec<HealthAction> {
        Vec::new()
    }

    /// Forgets evidence that only shows this process's own pause.
    pub fn on_pause(&mut self, _now: Time, _gap: Duration) {}

    /// Returns where an endpoint stands.
    pub fn standing(&self, endpoint: &str) -> Standing {
        self.standings.get(endpoint).copied().unwrap_or(Standing::Draining)
    }

    /// Returns the share of its slots that an endpoint may use now, 0 to 1.
    pub fn share(&self, _now: Time, endpoint: &str) -> f64 {
        match self.standing(endpoint) {
            Standing::Draining | Standing::Ejected => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the evidence against an endpoint as a log-likelihood ratio.
    pub fn evidence(&self, _endpoint: &str) -> f64 {
        0.0
    }

    /// Returns why an endpoint was last ejected.
    pub fn last_reason(&self, _endpoint: &str) -> Option<EjectReason> {
        None
    }

    /// Returns whether a further ejection would be held back by the floor.
    pub fn at_floor(&self) -> bool {
        self.at_floor
    }

    /// Returns what a successor needs to know.
    pub fn hand_over(&self, _now: Time) -> Vec<HealthHandOver> {
        Vec::new()
    }

    /// Takes what a predecessor knew.
    pub fn on_hand_over(&mut self, _now: Time, _from: &[HealthHandOver]) -> Vec<HealthAction> {
        Vec::new()
    }
}
