//! Budgets of retries and hedges, and the latencies they are judged by.

mod fleet_retry_budget;

use std::time::Duration;

use hdrhistogram::Histogram;

pub use self::fleet_retry_budget::{
    CumulativeCounts, FleetRetryBudget, SendCounts, VisibleDispatchers,
};
use crate::{service::RetryLimit, time::Time};

/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries earned by one successful request.
    pub per_success: f64,
    /// Retries earned per second whatever the successes.
    pub per_second: f64,
    /// Retries that can be saved up.
    pub burst: f64,
}

/// Part of a limit that an owner uses, so that it and its successor stay within it.
const LIMIT_PART: f64 = 0.75;
/// Part of a window's slack that may be spent at once.
const BURST_PART: f64 = 0.8;

impl BudgetSettings {
    /// Returns settings that keep a single sender within a limit.
    pub fn within(limit: RetryLimit) -> BudgetSettings {
        let slack = f64::from(limit.slack) * LIMIT_PART;
        let window_s = Duration::from_millis(limit.window_ms.max(1)).as_secs_f64();
        BudgetSettings {
            per_success: limit.ratio * LIMIT_PART,
            per_second: slack * (1.0 - BURST_PART) / window_s,
            burst: (slack * BURST_PART).max(1.0),
        }
    }
}

impl Default for BudgetSettings {
    fn default() -> BudgetSettings {
        BudgetSettings { per_success: 0.1, per_second: 1.0, burst: 10.0 }
    }
}

/// A token bucket that successful work fills and retries and hedges empty.
///
/// A sick service would otherwise see every request several times, which
/// shows as load that grows while answers become fewer. Since only answers
/// fill the bucket, the extra load stays a fixed part of the work done.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    tokens: f64,
    filled_at: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Time, settings: BudgetSettings) -> RetryBudget {
        RetryBudget { tokens: settings.burst, settings, filled_at: now }
    }

    /// Changes the settings; what was saved up stays within the new burst.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.tokens = self.tokens.min(settings.burst);
        self.settings = settings;
    }

    /// Notes a successful request.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.settings.per_success).min(self.settings.burst);
    }

    /// Takes a retry that only saves time, as a hedge does, and returns whether
    /// there was one to spare: half of the burst is left to retries that save a
    /// request.
    pub fn take_for_hedge(&mut self, now: Time) -> bool {
        self.fill(now);
        self.tokens > self.settings.burst / 2.0 && self.take(now)
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: Time) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.settings.per_second;
        self.filled_at = now;
        self.tokens = (self.tokens + earned).min(self.settings.burst);
    }
}

/// Samples after which a window of latencies is closed.
const WINDOW_SAMPLES: u64 = 512;
/// Samples needed before a percentile is given.
const MIN_SAMPLES: u64 = 20;
/// Samples after which the percentile is worked out anew.
const REFRESH_SAMPLES: u64 = 16;
/// Largest latency that is told apart from larger ones.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Recent times to the head of good answers.
///
/// Two windows are kept so that the percentile always rests on between one
/// and two windows of recent samples.
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
    /// Notes the latency of a good answer.
    pub fn record(&mut self, latency: Duration) {
        self.current.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
        if self.current.len().is_multiple_of(REFRESH_SAMPLES) || self.p95.is_none() {
            self.refresh();
        }
        if self.current.len() >= WINDOW_SAMPLES {
            self.previous = std::mem::replace(&mut self.current, histogram());
        }
    }

    /// Returns the 95th percentile, if enough samples are known.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn refresh(&mut self) {
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return;
        }
        let mut both = self.previous.clone();
        if both.add(&self.current).is_ok() {
            self.p95 = Some(Duration::from_micros(both.value_at_quantile(0.95)));
        }
    }
}

/// # Panics
///
/// Never: the bounds are constants that the histogram accepts.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("constant bounds are valid")
}

/// Weight of a new sample of the usual service time.
const USUAL_WEIGHT: f64 = 0.1;

/// Moving average of how long a request holds its slot.
#[derive(Clone, Debug, Default)]
pub struct SlotTimeAverage {
    micros: Option<f64>,
}

impl SlotTimeAverage {
    /// Starts from an average that is already known.
    pub fn seed(&mut self, usual: Duration) {
        self.micros = Some(usual.as_micros() as f64);
    }

    /// Notes how long a request held its slot.
    pub fn record(&mut self, held: Duration) {
        let sample = held.as_micros() as f64;
        let micros = self.micros.map_or(sample, |old| old + (sample - old) * USUAL_WEIGHT);
        self.micros = Some(micros);
    }

    /// Returns the average, if any request has ended.
    pub fn value(&self) -> Option<Duration> {
        self.micros.map(|micros| Duration::from_micros(micros as u64))
    }
}
