//! Relative speed of endpoints, estimated from the times of their good answers.
//!
//! An answer's time is compared with the usual time of its kind of request. The mean of the
//! logarithm is used since service times are about log-normal: a single slow answer then changes
//! an estimate little.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{request::Class, time::Time};

/// Number of answers over which an estimate averages.
const WINDOW_ANSWERS: f64 = 20.0;
/// Time in which an estimate without new answers moves half of the way to the service's mean.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of the prior in answers. It keeps an estimate from few answers close to the mean: one
/// answer that takes twice the usual time moves it by less than [`LN_STEP`].
const PRIOR_ANSWERS: f64 = 4.0;
/// Weight in answers of an estimate taken from a snapshot.
const SNAPSHOT_ANSWERS: f64 = 10.0;
/// Bound of the logarithm of one answer's relative time. At the full weight of an estimate, one
/// answer then changes it by less than [`LN_STEP`].
const MAX_LN_RATIO: f64 = 2.5;
/// Width of the steps in which expected times count as equal. It is about 2.5 times the standard
/// error of an estimate from 20 answers whose logarithms have a standard deviation of 0.5, so that
/// endpoints of equal speed share the load.
const LN_STEP: f64 = 0.2;
/// Confidence in the estimate of a nearly full endpoint from which its limit is set: that of four
/// answers.
const MIN_CONFIDENCE: f64 = 0.5;
/// Confidence, two half-lives after the last answer, at which an estimate must be confirmed.
///
/// If it is that of a nearly full endpoint with a limit, the limit is lifted. If it is that of an
/// endpoint that isn't nearly full, the limit holds for the few answers that change this: an
/// endpoint that is always preferred would otherwise be full all the time, and that it is faster
/// with fewer requests would not be observed any more.
const STALE_CONFIDENCE: f64 = 0.25;
/// Number of requests in flight up to which the decay of an estimate counts in a selection. A slow
/// endpoint that has got nothing for some time is tried with so many requests. Without a bound it
/// would get as many as it has slots before the first of them is answered.
const DECAYED_REQUESTS: u32 = 1;
/// Number of answers over which the usual time of a kind of request averages.
const USUAL_TIME_ANSWERS: f64 = 200.0;
/// Number of kinds of requests: each class, for requests that may run again and for others.
const KINDS: usize = 2 * Class::ALL.len();
/// Resolution of the logarithm in snapshots.
const SNAPSHOT_STEPS_PER_LN: f64 = 32.0;

/// Conditions at the dispatch of an attempt that its answer's time depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchConditions {
    /// Whether the request may run more than once. The class and this give its kind.
    pub idempotent: bool,
    /// Whether the endpoint was nearly full with the request, see [`is_nearly_full`].
    pub nearly_full: bool,
}

/// Returns whether `in_use` requests in flight take more than two thirds of an endpoint's slots.
pub(super) fn is_nearly_full(in_use: u32, slots: u32) -> bool {
    3 * u64::from(in_use) > 2 * u64::from(slots)
}

/// Returns the largest number of requests in flight with which an endpoint isn't nearly full, at
/// least one.
fn largest_not_nearly_full(slots: u32) -> u32 {
    ((2 * u64::from(slots) / 3) as u32).max(1)
}

fn in_steps(ln_time: f64) -> i32 {
    (ln_time / LN_STEP).round() as i32
}

/// Usual times of the kinds of requests of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualTimes([UsualTime; KINDS]);

/// Mean logarithm of the answer times of one kind, without the part that is due to the speed of
/// the endpoints that answered.
#[derive(Clone, Copy, Debug, Default)]
struct UsualTime {
    ln_micros: f64,
    answers: f64,
}

impl UsualTimes {
    fn of_kind(&mut self, class: Class, idempotent: bool) -> &mut UsualTime {
        &mut self.0[2 * class as usize + usize::from(idempotent)]
    }
}

impl UsualTime {
    fn record(&mut self, ln_micros: f64) {
        self.answers = (self.answers + 1.0).min(USUAL_TIME_ANSWERS);
        self.ln_micros += (ln_micros - self.ln_micros) / self.answers;
    }
}

/// Weighted mean of the logarithms of relative times.
#[derive(Clone, Copy, Debug, Default)]
struct LnMean {
    sum: f64,
    weight: f64,
    /// Time of the last answer.
    at: Time,
}

impl LnMean {
    fn decay_since_last(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn record(&mut self, now: Time, ln_ratio: f64) {
        let kept = self.decay_since_last(now) * (1.0 - 1.0 / WINDOW_ANSWERS);
        self.sum = self.sum * kept + ln_ratio;
        self.weight = self.weight * kept + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns how much the mean counts against its prior, from 0 to 1.
    fn confidence(&self, now: Time) -> f64 {
        self.decay_since_last(now) * self.weight / (self.weight + PRIOR_ANSWERS)
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }
}

/// Estimated speed of one endpoint.
///
/// All values are logarithms of times relative to the service's mean, which is zero. Each of the
/// two means has the other one as its prior, so that an endpoint that has been observed at one
/// occupancy only counts as equally fast at the other one.
#[derive(Clone, Debug)]
pub(super) struct EndpointSpeed {
    below: LnMean,
    nearly_full: LnMean,
    /// Derived values for the selection, which reads them for every request.
    steps_idle: i32,
    steps_below: i32,
    steps_nearly_full: i32,
    limit: u32,
}

impl Default for EndpointSpeed {
    fn default() -> EndpointSpeed {
        EndpointSpeed {
            below: LnMean::default(),
            nearly_full: LnMean::default(),
            steps_idle: 0,
            steps_below: 0,
            steps_nearly_full: 0,
            limit: u32::MAX,
        }
    }
}

impl EndpointSpeed {
    /// Records the time of a good answer.
    pub(super) fn record(
        &mut self,
        now: Time,
        usual_times: &mut UsualTimes,
        class: Class,
        conditions: DispatchConditions,
        time: Duration,
    ) {
        let ln_micros = (time.as_micros().max(1) as f64).ln();
        let usual = usual_times.of_kind(class, conditions.idempotent);
        let [below, nearly_full] = self.ln_times(now);
        usual.record(ln_micros - if conditions.nearly_full { nearly_full } else { below });
        let ln_ratio = (ln_micros - usual.ln_micros).clamp(-MAX_LN_RATIO, MAX_LN_RATIO);
        let mean = if conditions.nearly_full { &mut self.nearly_full } else { &mut self.below };
        mean.record(now, ln_ratio);
    }

    /// Recomputes what [`EndpointSpeed::steps`] and [`EndpointSpeed::is_at_limit`] use.
    pub(super) fn refresh(&mut self, now: Time, slots: u32) {
        let [below, nearly_full] = self.ln_times(now);
        self.steps_idle = in_steps(if is_nearly_full(1, slots) { nearly_full } else { below });
        [self.steps_below, self.steps_nearly_full] = self.ln_times_without_decay().map(in_steps);
        let limit = largest_not_nearly_full(slots);
        self.limit = if self.is_limited(now, slots, limit) { limit } else { u32::MAX };
    }

    /// Returns whether an endpoint's limit is `limit` instead of all its slots: its throughput is
    /// higher with it, or it isn't known any more how fast it is with fewer requests.
    fn is_limited(&self, now: Time, slots: u32, limit: u32) -> bool {
        let is_limited = self.limit != u32::MAX;
        let min_confidence = if is_limited { STALE_CONFIDENCE } else { MIN_CONFIDENCE };
        if self.below.confidence(now) < STALE_CONFIDENCE {
            return true;
        }
        if self.nearly_full.confidence(now) < min_confidence {
            return false;
        }
        let ln_slowdown = self.nearly_full.mean() - self.below.mean();
        ln_slowdown > (f64::from(slots) / f64::from(limit)).ln()
    }

    /// Returns the expected relative time of a request, in steps of its logarithm, if `busy`
    /// requests are in flight before it.
    ///
    /// The decay counts while few requests are in flight, see [`DECAYED_REQUESTS`].
    pub(super) fn steps(&self, busy: u32, slots: u32) -> i32 {
        if busy < DECAYED_REQUESTS {
            self.steps_idle
        } else if is_nearly_full(busy + 1, slots) {
            self.steps_nearly_full
        } else {
            self.steps_below
        }
    }

    /// Returns whether a request is expected to take over twice as long as is usual for the
    /// service.
    pub(super) fn is_degraded(&self) -> bool {
        self.steps_idle > in_steps(std::f64::consts::LN_2)
    }

    /// Returns the load with `busy` requests in flight, in thousandths of the slots that give the
    /// best throughput.
    ///
    /// In proportion to all slots, an endpoint with a limit would count as the least loaded one
    /// until it is at its limit.
    pub(super) fn load_permille(&self, busy: u32, slots: u32) -> u32 {
        busy * 1000 / self.limit.min(slots).max(1)
    }

    /// Returns whether more than `busy` requests in flight would lower the endpoint's throughput.
    pub(super) fn is_at_limit(&self, busy: u32) -> bool {
        busy >= self.limit
    }

    /// Returns whether any answer has been recorded or adopted.
    pub(super) fn is_known(&self) -> bool {
        self.below.weight + self.nearly_full.weight > 0.0
    }

    /// Returns the logarithms of the expected relative times: while the endpoint isn't nearly
    /// full, and while it is.
    pub(super) fn ln_times(&self, now: Time) -> [f64; 2] {
        self.ln_times_with(self.below.confidence(now), self.nearly_full.confidence(now))
    }

    /// Returns the same at the times of the last answers.
    fn ln_times_without_decay(&self) -> [f64; 2] {
        let confidence = |mean: &LnMean| mean.confidence(mean.at);
        self.ln_times_with(confidence(&self.below), confidence(&self.nearly_full))
    }

    fn ln_times_with(&self, below: f64, full: f64) -> [f64; 2] {
        let (below_mean, full_mean) = (below * self.below.mean(), full * self.nearly_full.mean());
        [below_mean + (1.0 - below) * full_mean, full_mean + (1.0 - full) * below_mean]
    }

    /// Returns the estimate for a snapshot.
    pub(super) fn snapshot(&self, now: Time) -> Option<SnapshotSpeed> {
        let byte = |ln_time: f64| (ln_time * SNAPSHOT_STEPS_PER_LN).round() as i8;
        self.is_known().then(|| SnapshotSpeed(self.ln_times(now).map(byte)))
    }

    /// Adopts another VM's estimate unless there are own ones.
    pub(super) fn adopt(&mut self, now: Time, snapshot: SnapshotSpeed) {
        if self.is_known() {
            return;
        }
        let [below, nearly_full] =
            snapshot.0.map(|byte| f64::from(byte) / SNAPSHOT_STEPS_PER_LN * SNAPSHOT_ANSWERS);
        self.below = LnMean { sum: below, weight: SNAPSHOT_ANSWERS, at: now };
        self.nearly_full = LnMean { sum: nearly_full, weight: SNAPSHOT_ANSWERS, at: now };
    }
}

/// Estimated speed of an endpoint in a snapshot: the logarithms of its relative times, in
/// 32nds, while it isn't nearly full and while it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotSpeed([i8; 2]);
