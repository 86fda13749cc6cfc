//! What is normal for the shard just now: latencies and failures of the peers.

use std::time::Duration;

use crate::request::Class;

/// Latencies kept per class.
const RING_LEN: usize = 256;
/// Fewest latencies of peers that allow a judgement.
const MIN_PEERS: usize = 8;
/// New latencies after which the upper quantile is worked out again.
const QUANTILE_EVERY: usize = 16;
/// Quantile beyond which the tail is extrapolated as a power law.
const QUANTILE: f64 = 0.95;
/// Quantile below which a latency is no evidence whatever the endpoint's own
/// part of the answers is, up to half: most of its peers took longer.
const USUAL_QUANTILE: f64 = 0.2;
/// Exponent of the extrapolated tail.
const TAIL_EXPONENT: f64 = 2.0;
/// Answers of the shard that the failure rate reaches back over.
const TALLY_ANSWERS: f64 = 100.0;
/// Answers that the peers' failure rate is mixed with, all good.
const PRIOR_ANSWERS: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
struct Entry {
    endpoint: u32,
    log_latency: f32,
}

#[derive(Clone, Debug, Default)]
struct Ring {
    entries: Vec<Entry>,
    next: usize,
    high_log_latency: f32,
    usual_log_latency: Option<f32>,
}

impl Ring {
    fn push(&mut self, entry: Entry) {
        if self.entries.len() < RING_LEN {
            self.entries.push(entry);
        } else {
            self.entries[self.next] = entry;
        }
        self.next = (self.next + 1) % RING_LEN;
        if self.next.is_multiple_of(QUANTILE_EVERY) || self.entries.len() < RING_LEN / 2 {
            self.note_quantiles();
        }
    }

    fn note_quantiles(&mut self) {
        let mut latencies: Vec<f32> = self.entries.iter().map(|entry| entry.log_latency).collect();
        let index = |quantile: f64| ((latencies.len() - 1) as f64 * quantile) as usize;
        let (usual, high) = (index(USUAL_QUANTILE), index(QUANTILE));
        let (below, high, _) = latencies.select_nth_unstable_by(high, f32::total_cmp);
        self.high_log_latency = *high;
        self.usual_log_latency =
            (usual < below.len()).then(|| *below.select_nth_unstable_by(usual, f32::total_cmp).1);
    }

    fn tail(&self, endpoint: u32, log_latency: f32) -> Option<f64> {
        let (mut peers, mut above) = (0_usize, 0_usize);
        for entry in &self.entries {
            let is_peer = entry.endpoint != endpoint;
            peers += usize::from(is_peer);
            above += usize::from(is_peer && entry.log_latency > log_latency);
        }
        if peers < MIN_PEERS {
            return None;
        }
        let empirical = (above as f64 + 0.5) / (peers as f64 + 1.0);
        if above > 0 {
            return Some(empirical);
        }
        let excess = f64::from(log_latency - self.high_log_latency);
        Some(empirical.min((1.0 - QUANTILE) * (-TAIL_EXPONENT * excess).exp()))
    }
}

/// Answers and failures, the old ones fading with each new answer of the shard.
///
/// Fading by answers and not by time lets a fault of the whole service become
/// normal after the same few answers per endpoint whatever the load is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    answers: f64,
    failures: f64,
    faded_at: u64,
}

impl Tally {
    fn faded(&self, shard_answers: u64) -> Tally {
        let age = i32::try_from(shard_answers - self.faded_at).unwrap_or(i32::MAX);
        let factor = (1.0 - 1.0 / TALLY_ANSWERS).powi(age);
        Tally {
            answers: self.answers * factor,
            failures: self.failures * factor,
            faded_at: shard_answers,
        }
    }

    fn count(&mut self, shard_answers: u64, failure: bool) {
        *self = self.faded(shard_answers);
        self.answers += 1.0;
        self.failures += f64::from(u8::from(failure));
    }
}

/// Latencies and failures of a shard's endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Reference {
    rings: [Ring; Class::ALL.len()],
    total: Tally,
}

impl Reference {
    /// Adds the latency of a good answer.
    pub(super) fn add_latency(&mut self, class: Class, endpoint: u32, latency: Duration) {
        let log_latency = log_micros(latency);
        self.rings[class as usize].push(Entry { endpoint, log_latency });
    }

    /// Counts an answer of an endpoint that is not suspected.
    pub(super) fn count(&mut self, own: &mut Tally, failure: bool) {
        let shard_answers = self.total.faded_at + 1;
        self.total.count(shard_answers, failure);
        own.count(shard_answers, failure);
    }

    /// Returns the part of the peers' answers that took longer than `latency`
    /// divided by `tolerance`, or `None` where too little is known.
    pub(super) fn tail(
        &self,
        class: Class,
        endpoint: u32,
        latency: Duration,
        tolerance: f64,
    ) -> Option<f64> {
        let log_latency = log_micros(latency) - tolerance.ln() as f32;
        self.rings[class as usize].tail(endpoint, log_latency)
    }

    /// Returns whether so short a latency is no evidence, without the scan that
    /// [`Reference::tail`] does.
    pub(super) fn is_usual(&self, class: Class, latency: Duration, tolerance: f64) -> bool {
        let log_latency = log_micros(latency) - tolerance.ln() as f32;
        self.rings[class as usize].usual_log_latency.is_some_and(|usual| log_latency < usual)
    }

    /// Returns the failure rate of the endpoint's peers.
    pub(super) fn peer_failure_rate(&self, own: &Tally) -> f64 {
        let own = own.faded(self.total.faded_at);
        let answers = (self.total.answers - own.answers).max(0.0);
        let failures = (self.total.failures - own.failures).clamp(0.0, answers);
        failures / (answers + PRIOR_ANSWERS)
    }

    /// Returns whether no latency of the class is known.
    pub(super) fn is_empty(&self, class: Class) -> bool {
        self.rings[class as usize].entries.is_empty()
    }
}

/// Natural logarithm of a duration in microseconds.
pub(super) fn log_micros(duration: Duration) -> f32 {
    (duration.as_micros().max(1) as f32).ln()
}
