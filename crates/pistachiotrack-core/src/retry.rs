//! Budgets of retries and hedges, and the latency statistics that they are based on.

mod fleet_retry_budget;
mod forecast;
mod rights;
mod send_history;

use std::time::Duration;

use hdrhistogram::Histogram;

pub use self::{
    fleet_retry_budget::{FleetRetryBudget, RightsGrant, RightsRequest, VisibleDispatchers},
    forecast::RetryForecast,
    rights::RetryRights,
};
use crate::{service::RetryLimit, time::Time};

/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries earned per successful request.
    pub per_success: f64,
    /// Retries earned per second, regardless of successes.
    pub per_second: f64,
    /// Maximum number of retries that can be accumulated.
    pub burst: f64,
}

/// What is known, when a budget is created, of the retries that were sent before and still count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorRetries {
    /// There are none, since the fleet starts for the first time.
    #[default]
    None,
    /// A process that this one replaces, or another VM, may have used up the limit.
    Unknown,
}

/// Interval of the times of a forecast of an owner's retries, and their number.
const FORECAST_STEP: Duration = Duration::from_millis(500);
const FORECAST_STEPS: u32 = 64;
/// Fraction of a limit that an owner uses, so that it and its successor together stay within it.
const LIMIT_FRACTION: f64 = 0.75;
/// Fraction of a window's slack that may be spent at once.
const BURST_FRACTION: f64 = 0.8;

impl BudgetSettings {
    /// Returns settings that keep a single owner within a limit.
    pub fn within(limit: RetryLimit) -> BudgetSettings {
        let slack = f64::from(limit.slack) * LIMIT_FRACTION;
        let window_s = Duration::from_millis(limit.window_ms.max(1)).as_secs_f64();
        BudgetSettings {
            per_success: limit.ratio * LIMIT_FRACTION,
            per_second: slack * (1.0 - BURST_FRACTION) / window_s,
            burst: (slack * BURST_FRACTION).max(1.0),
        }
    }
}

impl Default for BudgetSettings {
    fn default() -> BudgetSettings {
        BudgetSettings { per_success: 0.1, per_second: 1.0, burst: 10.0 }
    }
}

/// Token bucket that is filled by successful requests and drained by retries and hedges.
///
/// Without it, a failing service would get every request several times, which shows as load that
/// grows while fewer requests are answered. As the bucket is filled by answers, the additional
/// load stays a fixed fraction of the successful requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    tokens: f64,
    refilled_at: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Time, settings: BudgetSettings) -> RetryBudget {
        RetryBudget { tokens: settings.burst, settings, refilled_at: now }
    }

    /// Changes the settings; accumulated retries are capped at the new burst.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.tokens = self.tokens.min(settings.burst);
        self.settings = settings;
    }

    /// Records a successful request.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.settings.per_success).min(self.settings.burst);
    }

    /// Takes a retry for a hedge, which only saves time, and returns whether there was one: half
    /// of the burst is reserved for retries of failed requests.
    pub fn take_for_hedge(&mut self, now: Time) -> bool {
        self.refill(now);
        self.tokens > self.settings.burst / 2.0 && self.take(now)
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns when retries will be available if no request succeeds until then.
    pub fn forecast(&mut self, now: Time) -> RetryForecast {
        self.refill(now);
        let point = |step: u32| {
            let time = FORECAST_STEP * step;
            (now + time, self.tokens + time.as_secs_f64() * self.settings.per_second)
        };
        RetryForecast::new((0..FORECAST_STEPS).map(point).collect())
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.settings.per_second;
        self.refilled_at = now;
        self.tokens = (self.tokens + earned).min(self.settings.burst);
    }
}

/// Number of samples in a window.
const WINDOW_SAMPLES: u64 = 512;
/// Minimum number of samples for a percentile.
const MIN_SAMPLES: u64 = 20;
/// Number of samples after which the percentile is recomputed.
const REFRESH_SAMPLES: u64 = 16;
/// Upper bound of the histogram; larger latencies are counted as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Recent times to the response head of successful requests.
///
/// Two windows are kept, so that the percentile is always based on between one and two windows
/// of recent samples.
#[derive(Clone, Debug)]
pub struct RecentLatency {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    p95: Option<Duration>,
}

impl Default for RecentLatency {
    fn default() -> RecentLatency {
        RecentLatency { current: histogram(), previous: histogram(), p95: None }
    }
}

impl RecentLatency {
    /// Records the latency of a successful request.
    pub fn record(&mut self, latency: Duration) {
        self.current.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
        if self.current.len().is_multiple_of(REFRESH_SAMPLES) || self.p95.is_none() {
            self.refresh();
        }
        if self.current.len() >= WINDOW_SAMPLES {
            self.previous = std::mem::replace(&mut self.current, histogram());
        }
    }

    /// Returns the 95th percentile, if there are enough samples.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn refresh(&mut self) {
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return;
        }
        let mut merged = self.previous.clone();
        if merged.add(&self.current).is_ok() {
            self.p95 = Some(Duration::from_micros(merged.value_at_quantile(0.95)));
        }
    }
}

/// # Panics
///
/// Never: the bounds are constants that the histogram accepts.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("constant bounds are valid")
}

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Exponential moving average of the time for which a request occupies its slot.
#[derive(Clone, Debug, Default)]
pub struct SlotTimeAverage {
    micros: Option<f64>,
}

impl SlotTimeAverage {
    /// Sets the average to a known value.
    pub fn seed(&mut self, average: Duration) {
        self.micros = Some(average.as_micros() as f64);
    }

    /// Records the time for which a request occupied its slot.
    pub fn record(&mut self, slot_time: Duration) {
        let sample = slot_time.as_micros() as f64;
        let micros = self.micros.map_or(sample, |old| old + (sample - old) * SAMPLE_WEIGHT);
        self.micros = Some(micros);
    }

    /// Returns the average, if any request has ended.
    pub fn value(&self) -> Option<Duration> {
        self.micros.map(|micros| Duration::from_micros(micros as u64))
    }
}
