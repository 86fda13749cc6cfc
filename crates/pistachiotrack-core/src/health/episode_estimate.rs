//! Probability that an endpoint is in an episode of gray failure, in which most of
//! its requests fail.
//!
//! Endpoints can fail for some seconds and recover while their health checks pass.
//! The estimate is the state probability of a two-state hidden Markov model that is
//! observed through the results of attempts: each result updates it, and without
//! results it decays to the stationary probability of the service's endpoints.

use crate::{
    health::episode_model::{EpisodeModel, ObservedInterval, ResultKind},
    time::Time,
};

/// Bounds of the estimate, so that a change of the endpoint is detected after few results.
const PROBABILITY_BOUNDS: (f64, f64) = (0.002, 0.995);
/// Probability from which an episode is taken to have begun, and below which it is taken
/// to be over. They differ so that a single good answer doesn't end an episode.
const EPISODE_START: f64 = 0.5;
const EPISODE_END: f64 = 0.1;

/// Estimate of the probability that an endpoint is in an episode.
#[derive(Clone, Copy, Debug)]
pub(super) struct EpisodeEstimate {
    /// `None` until there is a result of this endpoint.
    last: Option<LastEstimate>,
}

/// The estimate at the time of the last result.
#[derive(Clone, Copy, Debug)]
struct LastEstimate {
    episode_probability: f64,
    at: Time,
    /// When the present episode was detected, if there is one.
    episode_since: Option<Time>,
    /// Whether that result was a failure.
    has_failed: bool,
}

impl EpisodeEstimate {
    /// Creates an estimate without results, equal to the stationary probability.
    pub(super) fn new() -> EpisodeEstimate {
        EpisodeEstimate { last: None }
    }

    /// Applies the result, at `now`, of an attempt that was sent at `started`.
    ///
    /// A good answer shows that the endpoint was healthy when it got the request.
    /// Answers to requests from before an episode can arrive one after the other while
    /// it lasts. If each of them lowered the estimate, half of the requests would fail
    /// where one in ten was expected. A good answer to a request that was sent before
    /// the episode was detected therefore leaves the estimate unchanged.
    pub(super) fn observe(
        &mut self,
        episode_model: &mut EpisodeModel,
        now: Time,
        started: Time,
        kind: ResultKind,
    ) {
        let episode_since = self.episode_since();
        if kind == ResultKind::Success && episode_since.is_some_and(|since| started < since) {
            return episode_model.record(kind, 0.0);
        }
        let effective_at = if kind == ResultKind::Success { started } else { now };
        let after =
            episode_model.posterior(self.episode_probability(episode_model, effective_at), kind);
        episode_model.record(kind, after);
        let is_failing = after >= if episode_since.is_some() { EPISODE_END } else { EPISODE_START };
        if let Some(last) = self.last {
            let length = effective_at.since(last.at);
            let was_failing = episode_since.is_some();
            episode_model.record_interval(ObservedInterval { length, was_failing, is_failing });
        }
        self.last = Some(LastEstimate {
            episode_probability: clamped(after),
            at: self.last.map_or(effective_at, |last| last.at.max(effective_at)),
            episode_since: is_failing.then(|| episode_since.unwrap_or(now)),
            has_failed: kind != ResultKind::Success,
        });
    }

    /// Adopts another VM's estimate of the time `at` if it is newer, and returns
    /// whether it was.
    pub(super) fn adopt(&mut self, episode_probability: f64, at: Time) -> bool {
        if self.last.is_some_and(|last| last.at >= at) {
            return false;
        }
        let episode_since = (episode_probability >= EPISODE_START).then_some(at);
        self.last = Some(LastEstimate {
            episode_probability: clamped(episode_probability),
            at,
            episode_since,
            has_failed: episode_since.is_some(),
        });
        true
    }

    /// Returns the estimate at the last result and its time, if any: for a good answer, the time
    /// at which the request was sent.
    pub(super) fn last(&self) -> Option<(f64, Time)> {
        self.last.map(|last| (last.episode_probability, last.at))
    }

    /// Returns the probability that the endpoint is in an episode at `now`.
    pub(super) fn episode_probability(&self, episode_model: &EpisodeModel, now: Time) -> f64 {
        match self.last {
            Some(last) => episode_model.decayed(last.episode_probability, now.since(last.at)),
            None => episode_model.stationary_probability(),
        }
    }

    /// Returns whether the last result was a failure.
    pub(super) fn has_failed_last(&self) -> bool {
        self.last.is_some_and(|last| last.has_failed)
    }

    fn episode_since(&self) -> Option<Time> {
        self.last.and_then(|last| last.episode_since)
    }
}

fn clamped(episode_probability: f64) -> f64 {
    episode_probability.clamp(PROBABILITY_BOUNDS.0, PROBABILITY_BOUNDS.1)
}
