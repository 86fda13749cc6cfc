//! Model of a service's episodes of gray failure, learned from its endpoints.
//!
//! Gray failures take different forms: some endpoints answer with an error status, some
//! reset the connection, some fail after the request has run. Which kinds of results
//! indicate an episode, how often episodes begin and how long they last is counted for
//! each service, starting from a weak prior. Results are weighted by the probability that
//! the endpoint was in an episode; episodes are counted when they are detected and when
//! they end.
//!
//! Compared with one fixed failure rate for all kinds of failures, fewer non-idempotent
//! requests fail.

use std::time::Duration;

use crate::request::{FIRST_FAILURE_STATUS, Outcome};

/// Fraction of the usual latency of a good answer up to which a failure counts as early:
/// the endpoint has not processed the request.
const EARLY_FRACTION: f64 = 0.2;
/// Weight of one good answer in the usual latency: about the last 50 count.
const USUAL_WEIGHT: f64 = 0.02;

/// Number of kinds of results.
const RESULT_KINDS: usize = 6;
/// Prior frequencies of the kinds of results during episodes and outside of them, in the
/// order of [`ResultKind`]. Early failures indicate an episode strongly, late ones weakly.
/// Where the prior is wrong for a service, the first dozens of attempts correct it.
const PRIOR_IN_EPISODE: [f64; RESULT_KINDS] = [0.20, 0.30, 0.08, 0.30, 0.08, 0.04];
const PRIOR_OUTSIDE_EPISODE: [f64; RESULT_KINDS] = [0.965, 0.004, 0.015, 0.004, 0.006, 0.006];
/// Number of attempts that the prior counts as, during episodes and outside of them.
const PRIOR_ATTEMPTS: (f64, f64) = (10.0, 100.0);
/// Number of attempts that the counts are limited to, during episodes and outside of them:
/// enough to measure rates of 1 % outside of episodes, and few enough to follow a change of
/// the service within a minute of its traffic.
const WINDOW_ATTEMPTS: (f64, f64) = (300.0, 2_000.0);

/// Prior mean time between two episodes of an endpoint and prior mean length of an
/// episode, and the observed time that the prior counts as.
const PRIOR_MEAN_GAP_S: f64 = 40.0;
const PRIOR_MEAN_EPISODE_S: f64 = 8.0;
const PRIOR_WEIGHT_S: f64 = 40.0;
/// Observed time that the event rates are limited to.
const WINDOW_S: f64 = 400.0;
/// Bounds of the rates at which episodes start and end, in events per second. Few
/// observations must not lead to episodes that never end or that end at once.
const START_RATE_BOUNDS: (f64, f64) = (0.002, 0.2);
const END_RATE_BOUNDS: (f64, f64) = (0.02, 1.0);
/// Longest interval between two results that is used for the rates: within a longer one
/// an episode may have begun and ended unnoticed.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);

/// Kind of an attempt's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResultKind {
    /// A good answer.
    Success,
    /// A failure status, before the endpoint can have processed the request.
    EarlyFailure,
    /// A failure status after the request was processed.
    LateFailure,
    /// A broken connection, before the endpoint can have processed the request.
    EarlyBreak,
    /// A broken connection later than that.
    LateBreak,
    /// No answer in time.
    Timeout,
}

/// How an attempt ended, as far as it is evidence for or against gray failure.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptEnd {
    Answered { status: u16 },
    Broken,
    TimedOut,
}

impl AttemptEnd {
    /// Converts an outcome. A connection that could not be opened is not counted, as the
    /// request can be sent elsewhere.
    pub(super) fn of(outcome: Outcome) -> Option<AttemptEnd> {
        match outcome {
            Outcome::Answered { status, .. } => Some(AttemptEnd::Answered { status }),
            Outcome::Broken { .. } => Some(AttemptEnd::Broken),
            Outcome::TimedOut { .. } => Some(AttemptEnd::TimedOut),
            Outcome::Shed
            | Outcome::ConnectFailed
            | Outcome::Misdirected { .. }
            | Outcome::NotSent
            | Outcome::RelayFailed { .. }
            | Outcome::Cancelled => None,
        }
    }
}

/// Interval between two consecutive results of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedInterval {
    /// Length of the interval.
    pub(super) length: Duration,
    /// Whether the endpoint was taken to be in an episode at its beginning.
    pub(super) was_failing: bool,
    /// Whether it was at its end.
    pub(super) is_failing: bool,
}

/// Frequencies of results and rates of episodes of a service.
#[derive(Clone, Debug)]
pub(super) struct EpisodeModel {
    during_episode: ResultCounts,
    outside_episode: ResultCounts,
    start_rate: EventRate,
    end_rate: EventRate,
    /// Usual latency of a good answer.
    usual_latency_s: Option<f64>,
    /// Whether early failures are distinguished from late ones.
    separates_early_failures: bool,
}

impl EpisodeModel {
    /// Creates the model with its prior.
    pub(super) fn new(separates_early_failures: bool) -> EpisodeModel {
        let rate =
            |mean_s: f64| EventRate { events: PRIOR_WEIGHT_S / mean_s, time_s: PRIOR_WEIGHT_S };
        EpisodeModel {
            during_episode: ResultCounts::new(
                PRIOR_IN_EPISODE,
                PRIOR_ATTEMPTS.0,
                WINDOW_ATTEMPTS.0,
            ),
            outside_episode: ResultCounts::new(
                PRIOR_OUTSIDE_EPISODE,
                PRIOR_ATTEMPTS.1,
                WINDOW_ATTEMPTS.1,
            ),
            start_rate: rate(PRIOR_MEAN_GAP_S),
            end_rate: rate(PRIOR_MEAN_EPISODE_S),
            usual_latency_s: None,
            separates_early_failures,
        }
    }

    /// Classifies the result of an attempt; a good answer also updates the usual latency.
    pub(super) fn classify(&mut self, end: AttemptEnd, took: Duration) -> ResultKind {
        let usual_latency_s = self.usual_latency_s.unwrap_or(f64::MAX);
        let is_early = !self.separates_early_failures
            || took.as_secs_f64() <= usual_latency_s * EARLY_FRACTION;
        match end {
            AttemptEnd::Answered { status } if status < FIRST_FAILURE_STATUS => {
                let took_s = took.as_secs_f64();
                let usual_latency_s = self.usual_latency_s.get_or_insert(took_s);
                *usual_latency_s += USUAL_WEIGHT * (took_s - *usual_latency_s);
                ResultKind::Success
            }
            AttemptEnd::Answered { .. } if is_early => ResultKind::EarlyFailure,
            AttemptEnd::Answered { .. } => ResultKind::LateFailure,
            AttemptEnd::Broken if is_early => ResultKind::EarlyBreak,
            AttemptEnd::Broken => ResultKind::LateBreak,
            AttemptEnd::TimedOut => ResultKind::Timeout,
        }
    }

    /// Returns the stationary probability that an endpoint is in an episode.
    pub(super) fn stationary_probability(&self) -> f64 {
        let (start_rate, end_rate) = self.rates();
        start_rate / (start_rate + end_rate)
    }

    /// Returns the probability of an episode after a time without results.
    pub(super) fn decayed(&self, episode_probability: f64, gap: Duration) -> f64 {
        let (start_rate, end_rate) = self.rates();
        let stationary = start_rate / (start_rate + end_rate);
        stationary
            + (episode_probability - stationary)
                * (-(start_rate + end_rate) * gap.as_secs_f64()).exp()
    }

    /// Returns the probability of an episode after a result.
    pub(super) fn posterior(&self, episode_probability: f64, kind: ResultKind) -> f64 {
        let weight = episode_probability * self.during_episode.frequency(kind);
        weight / (weight + (1.0 - episode_probability) * self.outside_episode.frequency(kind))
    }

    /// Returns the probability that the next request fails, given the probability that
    /// its endpoint is in an episode.
    pub(super) fn failure_probability(&self, episode_probability: f64) -> f64 {
        episode_probability * self.during_episode.failure_frequency()
            + (1.0 - episode_probability) * self.outside_episode.failure_frequency()
    }

    /// Returns the probability that a request fails at an endpoint outside of episodes.
    pub(super) fn healthy_failure_probability(&self) -> f64 {
        self.outside_episode.failure_frequency()
    }

    /// Counts a result, weighted by the probability that the endpoint was in an episode.
    pub(super) fn record(&mut self, kind: ResultKind, episode_probability: f64) {
        self.during_episode.add(kind, episode_probability);
        self.outside_episode.add(kind, 1.0 - episode_probability);
    }

    /// Updates the rates at which episodes start and end.
    pub(super) fn record_interval(&mut self, interval: ObservedInterval) {
        if interval.length > MAX_OBSERVATION_GAP {
            return;
        }
        let rate = if interval.was_failing { &mut self.end_rate } else { &mut self.start_rate };
        let events = if interval.was_failing == interval.is_failing { 0.0 } else { 1.0 };
        rate.add(events, interval.length.as_secs_f64());
    }

    fn rates(&self) -> (f64, f64) {
        (
            self.start_rate.per_second().clamp(START_RATE_BOUNDS.0, START_RATE_BOUNDS.1),
            self.end_rate.per_second().clamp(END_RATE_BOUNDS.0, END_RATE_BOUNDS.1),
        )
    }
}

/// Number of results of each kind; older results lose weight.
#[derive(Clone, Debug)]
struct ResultCounts {
    counts: [f64; RESULT_KINDS],
    total: f64,
    max_total: f64,
}

impl ResultCounts {
    fn new(prior: [f64; RESULT_KINDS], attempts: f64, max_total: f64) -> ResultCounts {
        ResultCounts {
            counts: prior.map(|frequency| frequency * attempts),
            total: attempts,
            max_total,
        }
    }

    fn frequency(&self, kind: ResultKind) -> f64 {
        self.counts[kind as usize] / self.total
    }

    fn failure_frequency(&self) -> f64 {
        1.0 - self.frequency(ResultKind::Success)
    }

    fn add(&mut self, kind: ResultKind, weight: f64) {
        self.counts[kind as usize] += weight;
        self.total += weight;
        if self.total > self.max_total {
            let factor = self.max_total / self.total;
            self.counts.iter_mut().for_each(|counts| *counts *= factor);
            self.total = self.max_total;
        }
    }
}

/// Events per observed time; older events lose weight.
#[derive(Clone, Copy, Debug)]
struct EventRate {
    events: f64,
    time_s: f64,
}

impl EventRate {
    fn per_second(&self) -> f64 {
        self.events / self.time_s
    }

    fn add(&mut self, events: f64, time_s: f64) {
        self.events += events;
        self.time_s += time_s;
        if self.time_s > WINDOW_S {
            self.events *= WINDOW_S / self.time_s;
            self.time_s = WINDOW_S;
        }
    }
}
