//! Sequential evidence that one endpoint is worse than its peers.
//!
//! Every observation has a log-likelihood ratio between "sick" and "like its
//! peers". The sums are CUSUMs: they never fall below zero, so a long healthy
//! past does not delay the detection of a fault.

use std::time::Duration;

use crate::time::Time;

/// Failure rate of a healthy endpoint that the test never goes below, so that
/// single failures of a quiet service weigh little.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Factor over its peers' failure rate that an endpoint may have.
const FAILURE_TOLERANCE: f64 = 1.5;
/// Failure rate that counts as sick where the peers hardly fail.
const FAULTY_FAILURE_RATE: f64 = 0.3;
/// Largest contribution of one observation.
pub(super) const OBSERVATION_CAP: f64 = 3.0;
/// Time over which bad observations of one endpoint have a common cause: a
/// stall or a restarted worker spoils all that ends at that moment, and is one
/// observation. Evidence grows by one full observation in this time at most.
const CORRELATION_TIME: Duration = Duration::from_millis(40);
/// Part of the threshold that evidence from pooled connections alone fills.
const MAX_AMBIGUOUS_FRACTION: f64 = 0.6;
/// Sums are capped at this multiple of the threshold, so that an endpoint that
/// is held by the floor and recovers gets rid of its evidence.
const SUM_CAP: f64 = 1.5;
/// Time in which evidence about an idle endpoint halves.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Step of the running sickness estimate per observation.
const SEVERITY_STEP: f64 = 0.2;

/// Threshold of the test for a sensitivity from 0 to 1.
///
/// Under the null hypothesis each observation multiplies the likelihood ratio
/// by one on average, so the mean number of independent observations between
/// two false alarms is at least `exp(threshold)`.
pub(super) fn threshold(sensitivity: f64) -> f64 {
    14.0 - 10.0 * sensitivity.clamp(0.0, 1.0)
}

/// Log-likelihood ratio of a failure where the peers fail at `peer_rate`.
pub(super) fn failure_score(peer_rate: f64) -> f64 {
    let (null, faulty) = failure_rates(peer_rate);
    (faulty / null).ln().min(OBSERVATION_CAP)
}

/// Log-likelihood ratio of a success where the peers fail at `peer_rate`.
pub(super) fn success_score(peer_rate: f64) -> f64 {
    let (null, faulty) = failure_rates(peer_rate);
    ((1.0 - faulty) / (1.0 - null)).ln()
}

fn failure_rates(peer_rate: f64) -> (f64, f64) {
    let null = (FAILURE_TOLERANCE * peer_rate).clamp(MIN_FAILURE_RATE, 0.9);
    (null, FAULTY_FAILURE_RATE.max((2.0 * null + 0.1).min(0.97)))
}

/// Log-likelihood ratio of a latency that a part `tail` of the peers exceeds.
///
/// `tail` is uniform for a healthy endpoint whatever the distribution of the
/// service times is. The alternative mixes "slower in general" with "now and
/// then far slower"; both densities integrate to one.
pub(super) fn latency_score(tail: f64) -> f64 {
    let tail = tail.clamp(1e-9, 1.0);
    let slower = 4.0 * (1.0 - tail).powi(3);
    let stuck = 0.25 * tail.powf(-0.75);
    (0.5 * slower + 0.5 * stuck).ln()
}

/// How one observation bears on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceKind {
    /// An answer was a failure.
    Failure,
    /// An answer was late.
    Slow,
    /// No connection could be opened.
    Connect,
    /// Nothing came back on a pooled connection: endpoint or connection.
    Ambiguous,
}

/// The running sums of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// From failed answers and fresh connections that broke.
    pub(super) failures: f64,
    /// From the latency of answers and hung fresh connections.
    pub(super) slow: f64,
    /// From connections that could not be opened.
    pub(super) connect: f64,
    /// From pooled connections on which nothing came back.
    pub(super) ambiguous: f64,
    /// Like `slow`, from work still in flight; not a sum.
    pub(super) slow_in_flight: f64,
    /// Like `doubt`, from work still in flight; not a sum.
    pub(super) ambiguous_in_flight: f64,
    /// Whether a health check on a new connection has hung or failed since the
    /// endpoint last answered: then doubt is about the endpoint.
    pub(super) confirmed_by_probe: bool,
    /// How bad the endpoint is, from 0 to 1: orders endpoints at the floor.
    pub(super) severity: f64,
    last_bad: [Option<Time>; 4],
    decayed_at: Time,
    sums_at_last_tick: [f64; 4],
}

impl Evidence {
    /// Adds the score of an observation.
    pub(super) fn add(&mut self, now: Time, kind: EvidenceKind, score: f64, threshold: f64) {
        let mut weight = 1.0;
        if score > 0.0 {
            let last_bad = self.last_bad[kind as usize].replace(now);
            let gap = last_bad.map_or(CORRELATION_TIME, |last_bad| now.since(last_bad));
            weight = (gap.as_secs_f64() / CORRELATION_TIME.as_secs_f64()).min(1.0);
        }
        let sum = self.sum_mut(kind);
        *sum = (*sum + weight * score).clamp(0.0, SUM_CAP * threshold);
    }

    /// Notes how bad one observation was, from 0 to 1.
    pub(super) fn update_severity(&mut self, observed: f64) {
        self.severity += SEVERITY_STEP * (observed.clamp(0.0, 1.0) - self.severity);
    }

    /// Returns the evidence that fresh connections or answers gave.
    pub(super) fn conclusive_total(&self) -> f64 {
        self.failures.max(self.slow + self.slow_in_flight).max(self.connect)
    }

    /// Returns the evidence from pooled connections only.
    pub(super) fn ambiguous_total(&self) -> f64 {
        self.ambiguous + self.ambiguous_in_flight
    }

    /// Returns the evidence as a whole.
    pub(super) fn strength(&self, threshold: f64) -> f64 {
        let cap = if self.confirmed_by_probe {
            f64::INFINITY
        } else {
            MAX_AMBIGUOUS_FRACTION * threshold
        };
        self.conclusive_total() + self.ambiguous_total().min(cap)
    }

    /// Forgets everything but the sickness and begins at `start`.
    pub(super) fn reset(&mut self, now: Time, start: f64) {
        let severity = self.severity;
        *self = Evidence { failures: start, slow: start, severity, ..Evidence::default() };
        self.decayed_at = now;
        self.sums_at_last_tick = self.sums();
    }

    /// Lets old evidence fade and remembers the sums for [`Evidence::undo`].
    pub(super) fn on_tick(&mut self, now: Time) {
        let age = now.since(self.decayed_at);
        self.decayed_at = now;
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.failures *= factor;
        self.slow *= factor;
        self.connect *= factor;
        self.ambiguous *= factor;
        self.sums_at_last_tick = self.sums();
    }

    /// Limits the sums to what the peers have against them as well.
    pub(super) fn cap(&mut self, limit: f64) {
        for kind in [
            EvidenceKind::Failure,
            EvidenceKind::Slow,
            EvidenceKind::Connect,
            EvidenceKind::Ambiguous,
        ] {
            let sum = self.sum_mut(kind);
            *sum = sum.min(limit);
        }
    }

    /// Takes back what was added since the last tick, and all that work in
    /// flight showed.
    pub(super) fn revert_to_last_tick(&mut self, now: Time) {
        let [failures, slow, connect, ambiguous] = self.sums_at_last_tick;
        self.failures = self.failures.min(failures);
        self.slow = self.slow.min(slow);
        self.connect = self.connect.min(connect);
        self.ambiguous = self.ambiguous.min(ambiguous);
        self.slow_in_flight = 0.0;
        self.ambiguous_in_flight = 0.0;
        self.confirmed_by_probe = false;
        self.decayed_at = now;
    }

    fn sums(&self) -> [f64; 4] {
        [self.failures, self.slow, self.connect, self.ambiguous]
    }

    fn sum_mut(&mut self, kind: EvidenceKind) -> &mut f64 {
        match kind {
            EvidenceKind::Failure => &mut self.failures,
            EvidenceKind::Slow => &mut self.slow,
            EvidenceKind::Connect => &mut self.connect,
            EvidenceKind::Ambiguous => &mut self.ambiguous,
        }
    }
}
