//! Recent latencies and failure rates of a shard's endpoints, which an endpoint is
//! compared with.

use std::time::Duration;

use crate::request::Class;

/// Number of latencies kept per class.
const WINDOW_LEN: usize = 256;
/// Fewest latencies of peers that an endpoint is compared with.
const MIN_PEER_SAMPLES: usize = 8;
/// Number of new latencies after which the quantiles are recalculated.
const QUANTILE_INTERVAL: usize = 16;
/// Quantile beyond which the tail is extrapolated as a power law.
const HIGH_QUANTILE: f64 = 0.95;
/// Quantile below which a latency is no evidence, as most of the peers took longer.
/// Holds while the endpoint itself gave up to half of the answers.
const USUAL_QUANTILE: f64 = 0.2;
/// Exponent of the extrapolated tail.
const TAIL_EXPONENT: f64 = 2.0;
/// Number of the shard's answers over which the failure rate is averaged.
const WINDOW_ANSWERS: f64 = 100.0;
/// Number of good answers that are added to the peers' answers as a prior.
const PRIOR_ANSWERS: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
struct LatencySample {
    endpoint: u32,
    ln_latency: f32,
}

#[derive(Clone, Debug, Default)]
struct LatencyWindow {
    samples: Vec<LatencySample>,
    next: usize,
    high_ln_latency: f32,
    usual_ln_latency: Option<f32>,
}

impl LatencyWindow {
    fn push(&mut self, sample: LatencySample) {
        if self.samples.len() < WINDOW_LEN {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
        }
        self.next = (self.next + 1) % WINDOW_LEN;
        if self.next.is_multiple_of(QUANTILE_INTERVAL) || self.samples.len() < WINDOW_LEN / 2 {
            self.update_quantiles();
        }
    }

    fn update_quantiles(&mut self) {
        let mut latencies: Vec<f32> = self.samples.iter().map(|sample| sample.ln_latency).collect();
        let index = |quantile: f64| ((latencies.len() - 1) as f64 * quantile) as usize;
        let (usual, high) = (index(USUAL_QUANTILE), index(HIGH_QUANTILE));
        let (below, high, _) = latencies.select_nth_unstable_by(high, f32::total_cmp);
        self.high_ln_latency = *high;
        self.usual_ln_latency =
            (usual < below.len()).then(|| *below.select_nth_unstable_by(usual, f32::total_cmp).1);
    }

    fn tail_probability(&self, endpoint: u32, ln_latency: f32) -> Option<f64> {
        let (mut peers, mut above) = (0_usize, 0_usize);
        for sample in &self.samples {
            let is_peer = sample.endpoint != endpoint;
            peers += usize::from(is_peer);
            above += usize::from(is_peer && sample.ln_latency > ln_latency);
        }
        if peers < MIN_PEER_SAMPLES {
            return None;
        }
        let empirical = (above as f64 + 0.5) / (peers as f64 + 1.0);
        if above > 0 {
            return Some(empirical);
        }
        let excess = f64::from(ln_latency - self.high_ln_latency);
        Some(empirical.min((1.0 - HIGH_QUANTILE) * (-TAIL_EXPONENT * excess).exp()))
    }
}

/// Numbers of answers and failures, which decay with each new answer of the shard.
///
/// Decaying by answers and not by time makes a fault of the whole service normal
/// after the same few answers per endpoint whatever the load is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerCounts {
    answers: f64,
    failures: f64,
    decayed_at: u64,
}

impl AnswerCounts {
    fn decayed(&self, shard_answers: u64) -> AnswerCounts {
        let age = i32::try_from(shard_answers - self.decayed_at).unwrap_or(i32::MAX);
        let factor = (1.0 - 1.0 / WINDOW_ANSWERS).powi(age);
        AnswerCounts {
            answers: self.answers * factor,
            failures: self.failures * factor,
            decayed_at: shard_answers,
        }
    }

    fn count(&mut self, shard_answers: u64, failure: bool) {
        *self = self.decayed(shard_answers);
        self.answers += 1.0;
        self.failures += f64::from(u8::from(failure));
    }
}

/// Recent latencies and failures of a shard's endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Baseline {
    latency_windows: [LatencyWindow; Class::ALL.len()],
    total: AnswerCounts,
}

impl Baseline {
    /// Adds the latency of a good answer.
    pub(super) fn add_latency(&mut self, class: Class, endpoint: u32, latency: Duration) {
        let ln_latency = ln_micros(latency);
        self.latency_windows[class as usize].push(LatencySample { endpoint, ln_latency });
    }

    /// Counts an answer of an endpoint that is not suspect.
    pub(super) fn count(&mut self, own: &mut AnswerCounts, failure: bool) {
        let shard_answers = self.total.decayed_at + 1;
        self.total.count(shard_answers, failure);
        own.count(shard_answers, failure);
    }

    /// Returns the fraction of the peers' answers that took longer than `latency`
    /// divided by `latency_tolerance`, or `None` with too few samples.
    pub(super) fn tail_probability(
        &self,
        class: Class,
        endpoint: u32,
        latency: Duration,
        latency_tolerance: f64,
    ) -> Option<f64> {
        let ln_latency = ln_micros(latency) - latency_tolerance.ln() as f32;
        self.latency_windows[class as usize].tail_probability(endpoint, ln_latency)
    }

    /// Returns whether a latency is too short to be evidence, without the scan
    /// of all samples that [`Baseline::tail_probability`] does.
    pub(super) fn is_below_usual(
        &self,
        class: Class,
        latency: Duration,
        latency_tolerance: f64,
    ) -> bool {
        let ln_latency = ln_micros(latency) - latency_tolerance.ln() as f32;
        self.latency_windows[class as usize]
            .usual_ln_latency
            .is_some_and(|usual| ln_latency < usual)
    }

    /// Returns the failure rate of the endpoint's peers.
    pub(super) fn peer_failure_rate(&self, own: &AnswerCounts) -> f64 {
        let own = own.decayed(self.total.decayed_at);
        let answers = (self.total.answers - own.answers).max(0.0);
        let failures = (self.total.failures - own.failures).clamp(0.0, answers);
        failures / (answers + PRIOR_ANSWERS)
    }

    /// Returns whether there is no latency of the class.
    pub(super) fn is_empty(&self, class: Class) -> bool {
        self.latency_windows[class as usize].samples.is_empty()
    }
}

/// Returns the natural logarithm of a duration in microseconds.
pub(super) fn ln_micros(duration: Duration) -> f32 {
    (duration.as_micros().max(1) as f32).ln()
}
