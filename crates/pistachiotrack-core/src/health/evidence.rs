//! Sequential test whether an endpoint is worse than its peers.
//!
//! Every observation has a log-likelihood ratio between "faulty" and "like its
//! peers". The sums are CUSUMs: they never fall below zero, so a long healthy
//! past does not delay the detection of a fault.

use std::time::Duration;

use crate::time::Time;

/// Lower bound of the failure rate that the test assumes of a healthy endpoint,
/// so that single failures of a service that rarely fails weigh little.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Factor by which an endpoint's failure rate may exceed its peers' rate.
const FAILURE_TOLERANCE: f64 = 1.5;
/// Failure rate of a faulty endpoint where the peers hardly fail.
const FAULTY_FAILURE_RATE: f64 = 0.3;
/// Largest score of one observation.
pub(super) const OBSERVATION_CAP: f64 = 3.0;
/// Time within which bad observations of one endpoint have a common cause. A
/// stall or a restarted worker affects all attempts that end at that moment and
/// counts as one observation, so evidence grows by at most one full observation
/// in this time.
const CORRELATION_TIME: Duration = Duration::from_millis(40);
/// Fraction of the threshold that evidence from pooled connections alone can reach.
const MAX_AMBIGUOUS_FRACTION: f64 = 0.6;
/// Multiple of the threshold at which sums are capped, so that the evidence against
/// an endpoint that is held by the floor falls soon after it recovers.
const SUM_CAP: f64 = 1.5;
/// Half-life of the evidence about an idle endpoint.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Weight of one observation in the moving average of the severity.
const SEVERITY_STEP: f64 = 0.2;

/// Returns the threshold of the test for a sensitivity from 0 to 1.
///
/// Under the null hypothesis each observation multiplies the likelihood ratio
/// by one on average, so the mean number of independent observations between
/// two false alarms is at least `exp(threshold)`.
pub(super) fn threshold(sensitivity: f64) -> f64 {
    14.0 - 10.0 * sensitivity.clamp(0.0, 1.0)
}

/// Returns the log-likelihood ratio of a failure where the peers fail at `peer_rate`.
pub(super) fn failure_score(peer_rate: f64) -> f64 {
    let (null, faulty) = failure_rates(peer_rate);
    (faulty / null).ln().min(OBSERVATION_CAP)
}

/// Returns the log-likelihood ratio of a success where the peers fail at `peer_rate`.
pub(super) fn success_score(peer_rate: f64) -> f64 {
    let (null, faulty) = failure_rates(peer_rate);
    ((1.0 - faulty) / (1.0 - null)).ln()
}

fn failure_rates(peer_rate: f64) -> (f64, f64) {
    let null = (FAILURE_TOLERANCE * peer_rate).clamp(MIN_FAILURE_RATE, 0.9);
    (null, FAULTY_FAILURE_RATE.max((2.0 * null + 0.1).min(0.97)))
}

/// Returns the log-likelihood ratio of a latency that a fraction `tail` of the peers'
/// latencies exceeds.
///
/// `tail` is uniformly distributed for a healthy endpoint, whatever the distribution
/// of the service times. The alternative is a mixture of "slower in general" and
/// "occasionally far slower"; both densities integrate to one.
pub(super) fn latency_score(tail: f64) -> f64 {
    let tail = tail.clamp(1e-9, 1.0);
    let slower = 4.0 * (1.0 - tail).powi(3);
    let stuck = 0.25 * tail.powf(-0.75);
    (0.5 * slower + 0.5 * stuck).ln()
}

/// Kind of evidence that an observation gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceKind {
    /// An answer was a failure.
    Failure,
    /// An answer was late.
    Slow,
    /// No connection could be opened.
    Connect,
    /// No answer came on a pooled connection: either the endpoint or the connection
    /// is at fault.
    Ambiguous,
}

/// The evidence against one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Sum from failed answers and new connections that broke.
    pub(super) failures: f64,
    /// Sum from the latency of answers and new connections without an answer.
    pub(super) slow: f64,
    /// Sum from connections that could not be opened.
    pub(super) connect: f64,
    /// Sum from pooled connections without an answer.
    pub(super) ambiguous: f64,
    /// Like `slow`, from attempts in flight; not accumulated.
    pub(super) slow_in_flight: f64,
    /// Like `ambiguous`, from attempts in flight; not accumulated.
    pub(super) ambiguous_in_flight: f64,
    /// Whether a health check on a new connection has timed out or failed since
    /// the endpoint last answered: ambiguous evidence is then attributed to the
    /// endpoint.
    pub(super) confirmed_by_probe: bool,
    /// Moving average of how severe the observations are, from 0 to 1: orders
    /// endpoints at the floor.
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

    /// Updates the severity with that of one observation, from 0 to 1.
    pub(super) fn update_severity(&mut self, observed: f64) {
        self.severity += SEVERITY_STEP * (observed.clamp(0.0, 1.0) - self.severity);
    }

    /// Returns the evidence from answers and new connections.
    pub(super) fn conclusive_total(&self) -> f64 {
        self.failures.max(self.slow + self.slow_in_flight).max(self.connect)
    }

    /// Returns the evidence from pooled connections without an answer.
    pub(super) fn ambiguous_total(&self) -> f64 {
        self.ambiguous + self.ambiguous_in_flight
    }

    /// Returns the whole evidence.
    pub(super) fn strength(&self, threshold: f64) -> f64 {
        let cap = if self.confirmed_by_probe {
            f64::INFINITY
        } else {
            MAX_AMBIGUOUS_FRACTION * threshold
        };
        self.conclusive_total() + self.ambiguous_total().min(cap)
    }

    /// Discards everything but the severity; the sums from answers begin at `start`.
    pub(super) fn reset(&mut self, now: Time, start: f64) {
        let severity = self.severity;
        *self = Evidence { failures: start, slow: start, severity, ..Evidence::default() };
        self.decayed_at = now;
        self.sums_at_last_tick = self.sums();
    }

    /// Decays old evidence and saves the sums for [`Evidence::revert_to_last_tick`].
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

    /// Caps all sums at `limit`, the evidence that the peers have against them as well.
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

    /// Removes the evidence added since the last tick and all evidence from
    /// attempts in flight.
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
