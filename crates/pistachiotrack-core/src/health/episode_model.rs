//! What spells of gray failure look like at a service, learned from its endpoints.
//!
//! Endpoints fail grayly in different ways: some answer with a status, some reset the
//! connection, some fail after the work is done. Which of these is the sign of a spell,
//! how often spells begin and how long they last is counted for each service, starting
//! from a weak prior: signs by how likely the endpoint was in a spell as it gave them,
//! spells as they are found out and end.
//!
//! Against one fixed rate of failures for all kinds of them, fewer requests that must not
//! run again fail.

use std::time::Duration;

use crate::request::{FIRST_FAILURE_STATUS, Outcome};

/// Part of the usual time of a good answer within which a failure came at once: the
/// endpoint didn't work on the request.
const EARLY_FRACTION: f64 = 0.2;
/// Weight of one good answer in the usual time: about the last 50 count.
const USUAL_WEIGHT: f64 = 0.02;

/// Number of signs.
const RESULT_KINDS: usize = 6;
/// How often each sign is expected in a spell and outside of one before any was seen,
/// in the order of [`Sign`]. Failures at once tell most, late ones little: wrong here,
/// they are corrected by the first dozens of attempts.
const PRIOR_IN_EPISODE: [f64; RESULT_KINDS] = [0.20, 0.30, 0.08, 0.30, 0.08, 0.04];
const PRIOR_OUTSIDE_EPISODE: [f64; RESULT_KINDS] = [0.965, 0.004, 0.015, 0.004, 0.006, 0.006];
/// Attempts that the prior counts as.
const PRIOR_ATTEMPTS: (f64, f64) = (10.0, 100.0);
/// Attempts that are remembered: enough for rates of a hundredth outside of spells, and
/// few enough to follow a service that changes within a minute of its work.
const WINDOW_ATTEMPTS: (f64, f64) = (300.0, 2_000.0);

/// Mean time between two spells of an endpoint and mean length of one before any was
/// seen, in seconds, and the time for which the prior counts.
const PRIOR_MEAN_GAP_S: f64 = 40.0;
const PRIOR_MEAN_EPISODE_S: f64 = 8.0;
const PRIOR_WEIGHT_S: f64 = 40.0;
/// Time of endpoints under watch that is remembered, in seconds.
const WINDOW_S: f64 = 400.0;
/// Bounds of the rates, in events a second, so that few observations don't make a spell
/// last forever or a moment.
const START_RATE_BOUNDS: (f64, f64) = (0.002, 0.2);
const END_RATE_BOUNDS: (f64, f64) = (0.02, 1.0);
/// Longest gap between two observations that tells about rates: within a longer one a
/// spell may have come and gone.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);

/// What an attempt shows of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResultKind {
    /// A good answer.
    Success,
    /// A failure status, before the endpoint can have done the work.
    EarlyFailure,
    /// A failure status after the work.
    LateFailure,
    /// A broken connection, before the endpoint can have done the work.
    EarlyBreak,
    /// A broken connection after a while.
    LateBreak,
    /// No answer in time.
    Timeout,
}

/// How an attempt ended, as far as it tells of gray failure.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptEnd {
    Answered { status: u16 },
    Broken,
    TimedOut,
}

impl AttemptEnd {
    /// That no connection opened says nothing, as the request can go elsewhere.
    pub(super) fn of(outcome: Outcome) -> Option<AttemptEnd> {
        match outcome {
            Outcome::Answered { status, .. } => Some(AttemptEnd::Answered { status }),
            Outcome::Broken { .. } => Some(AttemptEnd::Broken),
            Outcome::TimedOut { .. } => Some(AttemptEnd::TimedOut),
            Outcome::Shed
            | Outcome::ConnectFailed
            | Outcome::Misdirected
            | Outcome::NotSent
            | Outcome::WitnessFailed { .. }
            | Outcome::Cancelled => None,
        }
    }
}

/// Time for which an endpoint was under watch, from one observation to the next.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedInterval {
    /// Time between the two.
    pub(super) length: Duration,
    /// Whether the endpoint was taken to be in a spell before, and after.
    pub(super) was_failing: bool,
    pub(super) is_failing: bool,
}

/// What is known of a service's spells.
#[derive(Clone, Debug)]
pub(super) struct EpisodeModel {
    during_episode: ResultCounts,
    outside_episode: ResultCounts,
    start_rate: EventRate,
    end_rate: EventRate,
    /// Usual time of a good answer, in seconds.
    usual_latency_s: Option<f64>,
    /// Whether failures at once are told from late ones.
    separates_early_failures: bool,
}

impl EpisodeModel {
    /// Begins with the prior.
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

    /// Returns what an attempt shows; a good answer tells how long answers take.
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

    /// Returns how likely an endpoint of which nothing is known is in a spell.
    pub(super) fn stationary_probability(&self) -> f64 {
        let (start_rate, end_rate) = self.rates();
        start_rate / (start_rate + end_rate)
    }

    /// Returns a belief after a time without any sign.
    pub(super) fn decayed(&self, episode_probability: f64, gap: Duration) -> f64 {
        let (start_rate, end_rate) = self.rates();
        let stationary = start_rate / (start_rate + end_rate);
        stationary
            + (episode_probability - stationary)
                * (-(start_rate + end_rate) * gap.as_secs_f64()).exp()
    }

    /// Returns the belief after a sign.
    pub(super) fn posterior(&self, episode_probability: f64, kind: ResultKind) -> f64 {
        let weight = episode_probability * self.during_episode.frequency(kind);
        weight / (weight + (1.0 - episode_probability) * self.outside_episode.frequency(kind))
    }

    /// Returns how likely the next request fails, by how likely its endpoint is in a
    /// spell.
    pub(super) fn failure_probability(&self, episode_probability: f64) -> f64 {
        episode_probability * self.during_episode.failure_frequency()
            + (1.0 - episode_probability) * self.outside_episode.failure_frequency()
    }

    /// Returns how likely a request fails at an endpoint that is certainly well.
    pub(super) fn healthy_failure_probability(&self) -> f64 {
        self.outside_episode.failure_frequency()
    }

    /// Learns from a sign, by how likely the endpoint was in a spell as it gave it.
    pub(super) fn record(&mut self, kind: ResultKind, episode_probability: f64) {
        self.during_episode.add(kind, episode_probability);
        self.outside_episode.add(kind, 1.0 - episode_probability);
    }

    /// Learns how often spells begin and end.
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

/// How often each sign was seen; old attempts fade.
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

/// Events in a time under watch; old ones fade.
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
