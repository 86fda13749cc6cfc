//! How likely an endpoint is in a spell in which most of its work fails.
//!
//! Endpoints fail grayly for some seconds and are well again, while their health
//! checks say nothing. The belief is that of a two-state Markov process that is
//! seen only through answers: each answer moves it, and time lets it fade to what
//! is known of any endpoint of the service.

use crate::{
    health::episode_model::{EpisodeModel, ObservedInterval, ResultKind},
    time::Time,
};

/// Bounds of the belief, so that a changed endpoint is noticed after few answers.
const PROBABILITY_BOUNDS: (f64, f64) = (0.002, 0.995);
/// Belief from which on an endpoint is taken to be in a spell, and below which the spell
/// is taken to be over: one lucky answer in a spell ends none.
const EPISODE_START: f64 = 0.5;
const EPISODE_END: f64 = 0.1;

/// How likely an endpoint is in a spell.
#[derive(Clone, Copy, Debug)]
pub(super) struct EpisodeEstimate {
    /// `None` while nothing is known of this endpoint.
    last: Option<LastEstimate>,
}

/// The belief at the last moment of which something is known.
#[derive(Clone, Copy, Debug)]
struct LastEstimate {
    episode_probability: f64,
    at: Time,
    /// When the present spell was found out, if there is one.
    episode_since: Option<Time>,
}

impl EpisodeEstimate {
    /// Begins with what is known of any endpoint.
    pub(super) fn new() -> EpisodeEstimate {
        EpisodeEstimate { last: None }
    }

    /// Takes how a request that was sent at `started` ended at `now`.
    ///
    /// A good answer shows that the endpoint was well when it got the request.
    /// Failure guarded against: answers to requests of before a spell come one after
    /// the other while it lasts, and each clears the endpoint anew. It shows as half of
    /// the requests failing where one in ten was expected. The guard holds because an
    /// answer to what was sent before the spell was found out doesn't move the belief.
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
        });
    }

    /// Takes what another VM believed at a moment, if that is newer.
    pub(super) fn adopt(&mut self, episode_probability: f64, at: Time) -> bool {
        if self.last.is_some_and(|last| last.at >= at) {
            return false;
        }
        let episode_since = (episode_probability >= EPISODE_START).then_some(at);
        self.last = Some(LastEstimate {
            episode_probability: clamped(episode_probability),
            at,
            episode_since,
        });
        true
    }

    /// Returns the belief and the moment that it is of, if anything is known.
    pub(super) fn last(&self) -> Option<(f64, Time)> {
        self.last.map(|last| (last.episode_probability, last.at))
    }

    /// Returns how likely the endpoint is in a spell.
    pub(super) fn episode_probability(&self, episode_model: &EpisodeModel, now: Time) -> f64 {
        match self.last {
            Some(last) => episode_model.decayed(last.episode_probability, now.since(last.at)),
            None => episode_model.stationary_probability(),
        }
    }

    fn episode_since(&self) -> Option<Time> {
        self.last.and_then(|last| last.episode_since)
    }
}

fn clamped(episode_probability: f64) -> f64 {
    episode_probability.clamp(PROBABILITY_BOUNDS.0, PROBABILITY_BOUNDS.1)
}
