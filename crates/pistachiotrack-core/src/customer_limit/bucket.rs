//! Token bucket of a customer.

use std::time::Duration;

use super::{CustomerCount, REPORT_REPEATS};
use crate::{admin::CustomerUsage, customer::CustomerRateLimit, name::Name, time::Time};

/// Time for which a VM that hears of a customer for the first time has tokens. It doesn't know
/// what the others have admitted just before.
const INITIAL_TIME: Duration = Duration::from_millis(250);
/// Fraction of the depth below which the other VMs should learn of each request at once.
const URGENT_FRACTION: f64 = 0.25;
/// Maximum time for which an excess is made up for. A longer one would refuse a customer
/// that has long kept to its limit again.
const MAX_DEBT_TIME: Duration = Duration::from_secs(5);
/// Time without requests after which a full bucket is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(10);
/// Maximum time after which a caller is asked to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Interval and number of the samples of the number of tokens that are kept. They reach back beyond
/// the time in which the silence of a VM shows.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
const SAMPLES: usize = 4;
/// Length of the period for which recent requests are counted.
const RECENT_PERIOD: Duration = Duration::from_secs(1);

/// Token bucket of a customer. The number of tokens may be negative after VMs have admitted
/// requests without knowing of each other; the excess is made up for before more are admitted.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limit: CustomerRateLimit,
    depth: f64,
    tokens: f64,
    refilled_at: Time,
    used_at: Time,
    admitted: u64,
    refused: u64,
    /// Number of reports that still have to contain the count.
    reports_due: u8,
    /// Requests admitted in the current and in the previous period.
    recent: [u32; 2],
    period_started_at: Time,
    /// Recent numbers of tokens, newest first.
    samples: [f64; SAMPLES],
    sampled_at: Time,
    /// Time at which the last refused caller was asked to return.
    next_return_at: Time,
}

impl Bucket {
    /// Creates the bucket of a customer that this VM hears of for the first time.
    pub(super) fn new(now: Time, limit: CustomerRateLimit, slack: f64) -> Bucket {
        let depth = depth(limit, slack);
        let initial = slack + limit.requests_per_second * INITIAL_TIME.as_secs_f64();
        Bucket {
            limit,
            depth,
            tokens: initial.min(depth),
            refilled_at: now,
            used_at: now,
            admitted: 0,
            refused: 0,
            reports_due: 0,
            recent: [0; 2],
            period_started_at: now,
            samples: [0.0; SAMPLES],
            sampled_at: now,
            next_return_at: now,
        }
    }

    /// Sets the limit; tokens beyond a lower one are lost.
    pub(super) fn set_limit(&mut self, limit: CustomerRateLimit, slack: f64) {
        if self.limit != limit {
            self.limit = limit;
            self.depth = depth(limit, slack);
            self.tokens = self.tokens.min(self.depth);
        }
    }

    /// Adds the tokens since the last call, at a fraction of the limit.
    pub(super) fn refill(&mut self, now: Time, fraction: f64) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let new = elapsed_s * self.limit.requests_per_second * fraction;
        self.tokens = (self.tokens + new).min(self.depth);
        if now.since(self.sampled_at) >= SAMPLE_INTERVAL {
            self.sampled_at = now;
            self.samples.rotate_right(1);
            self.samples[0] = self.tokens;
        }
        if now.since(self.period_started_at) >= RECENT_PERIOD {
            self.period_started_at = now;
            self.recent = [0, self.recent[0]];
        }
    }

    /// Takes a token for a request of this VM.
    pub(super) fn take(&mut self) -> bool {
        self.used_at = self.refilled_at;
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.admitted += 1;
        self.recent[0] += 1;
        self.reports_due = REPORT_REPEATS;
        true
    }

    /// Takes the tokens for requests of another VM.
    pub(super) fn debit(&mut self, requests: f64) {
        self.used_at = self.refilled_at;
        let max_debt = self.limit.requests_per_second * MAX_DEBT_TIME.as_secs_f64();
        self.tokens = (self.tokens - requests).max(-max_debt);
    }

    /// Gives tokens back that were taken for another VM which didn't use them.
    pub(super) fn credit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.depth);
    }

    /// Returns the largest number of tokens that there were within the last second.
    pub(super) fn recent_tokens(&self) -> f64 {
        self.samples.iter().copied().fold(self.tokens.max(0.0), f64::max)
    }

    /// Returns when a refused caller should return: when there is a token again, and after the
    /// callers that were refused before it. `vms` share the tokens.
    pub(super) fn retry_after(&mut self, now: Time, vms: usize, random: f64) -> Duration {
        let time_for = |tokens: f64| {
            let time_s = tokens / self.limit.requests_per_second;
            Duration::try_from_secs_f64(time_s).unwrap_or(MAX_RETRY_AFTER)
        };
        let earliest = now + time_for(1.0 - self.tokens);
        let step = time_for(vms as f64);
        let at = earliest.max(self.next_return_at) + step.min(MAX_RETRY_AFTER).mul_f64(random);
        self.next_return_at = at.min(now + MAX_RETRY_AFTER);
        self.next_return_at.since(now)
    }

    /// Returns whether the other VMs should learn of the last requests at once.
    pub(super) fn is_urgent(&self) -> bool {
        self.reports_due > 0 && self.tokens < self.depth * URGENT_FRACTION
    }

    /// Returns whether the next report has to contain the count.
    pub(super) fn take_unreported(&mut self) -> bool {
        let is_due = self.reports_due > 0;
        self.reports_due = self.reports_due.saturating_sub(1);
        is_due
    }

    /// Returns the count for a report.
    pub(super) fn count(&self, now: Time, customer: &Name) -> CustomerCount {
        let last_second = match now.since(self.period_started_at) < RECENT_PERIOD / 2 {
            true => self.recent[0] + self.recent[1] / 2,
            false => self.recent[0],
        };
        CustomerCount { customer: customer.clone(), admitted: self.admitted, last_second }
    }

    /// Returns the limit and its use.
    pub(super) fn usage(&self, customer: &Name) -> CustomerUsage {
        CustomerUsage {
            customer: customer.clone(),
            requests_per_second: self.limit.requests_per_second,
            burst_requests: self.limit.burst_requests,
            tokens: self.tokens,
            admitted: self.admitted,
            refused: self.refused,
        }
    }

    /// Returns whether the bucket is as good as a new one.
    pub(super) fn is_forgettable(&self, now: Time) -> bool {
        self.reports_due == 0 && self.tokens >= self.depth && now.since(self.used_at) >= FORGET_TIME
    }
}

fn depth(limit: CustomerRateLimit, slack: f64) -> f64 {
    limit.burst_requests + slack
}
