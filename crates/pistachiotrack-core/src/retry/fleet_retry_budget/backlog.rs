//! Retries for a backlog of requests that wait for them.

use std::time::Duration;

use super::{FleetRetryBudget, window};
use crate::{
    retry::{
        RetryForecast,
        send_window::{STEPS, SendCounts},
    },
    time::Time,
};

/// Steps of a window until a retry no longer counts.
const RETRY_STEPS: usize = STEPS + 1;
/// Steps that a forecast covers: three windows, which exceeds the deadlines of callers.
const FORECAST_STEPS: usize = 3 * RETRY_STEPS;
/// Number of windows for which a VM that has sent a retry counts as having a backlog as well.
/// After a burst of retries, no VM can send any for a whole window.
const BACKLOG_WINDOWS: u32 = 2;

/// Time for which an allowance for a backlog is valid. Retries become available in steps of half a
/// second, and updates on a saturated link are late by less than that.
const BACKLOG_ALLOWANCE_TIME: Duration = Duration::from_millis(500);

/// Fraction of the slack that is not used for requests that can wait. It covers retries of other
/// VMs that this one has not heard of yet.
const HELD_RESERVE_FRACTION: f64 = 0.0625;

/// Part of the remaining retries that this VM may take for its backlog.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BacklogAllowance {
    remaining: f64,
    /// What the previous allowance left, at most one.
    carried_over: f64,
    is_granted: bool,
    valid_until: Time,
}

impl FleetRetryBudget {
    /// Takes one retry for a request that can wait for it and returns whether there was one.
    pub fn take_for_held(&mut self, now: Time) -> bool {
        self.remaining_for_held(now) >= 1.0 && self.take(now)
    }

    /// Takes one retry for one of several requests that can wait for it and returns whether there
    /// was one.
    ///
    /// All VMs have a backlog at the same time. When retries sent a window ago cease to count,
    /// dozens become available at once, and each VM would take all of them before it hears of
    /// the others. Each therefore takes its share only, also while many remain.
    pub fn take_for_backlog(&mut self, now: Time) -> bool {
        let remaining = self.remaining_for_held(now);
        if remaining < 1.0 {
            return false;
        }
        if self.visible.is_member {
            let share = self.backlog_share(now);
            let allowance = &mut self.backlog;
            if now >= allowance.valid_until {
                allowance.carried_over = allowance.remaining.min(1.0);
                allowance.is_granted = false;
                allowance.valid_until = now + BACKLOG_ALLOWANCE_TIME;
            }
            // Nothing has been taken from an allowance below one retry, so that it can be
            // computed again before it expires.
            if !allowance.is_granted {
                allowance.remaining = allowance.carried_over + remaining * share;
                allowance.is_granted = allowance.remaining >= 1.0;
                if allowance.is_granted {
                    allowance.valid_until = now + BACKLOG_ALLOWANCE_TIME;
                }
            }
            if allowance.remaining < 1.0 {
                return false;
            }
            allowance.remaining -= 1.0;
        }
        self.record_retry(now);
        true
    }

    /// Returns when this VM's share of the retries will be available for a backlog.
    ///
    /// The mean rate of a window would be wrong in both directions: after a burst of retries,
    /// none becomes available for the rest of the window, and then as many as in the burst.
    pub fn forecast(&mut self, now: Time) -> RetryForecast {
        let remaining = self.remaining_for_held(now);
        let usage = self.usage(now);
        let is_member = self.visible.is_member;
        let share = if is_member { self.backlog_share(now) } else { 1.0 };
        let used = if is_member { &mut self.fleet_window } else { &mut self.non_dispatcher_window };
        let counted = used.sum(now);
        let sent: Vec<SendCounts> = used.steps.iter().copied().collect();
        let (started_at, step) = (used.newest_started_at, used.step);
        let completed: u64 = sent.iter().skip(1).map(|step| step.requests).sum();
        let requests_per_step = completed as f64 / STEPS as f64;
        // Slack, less what this VM leaves to others that it doesn't hear.
        let constant = remaining - usage.remaining() + usage.allowed - self.earned(counted);
        let earned_per_step = self.limit.ratio * requests_per_step;
        // Numbers at the beginning and at the end of each step.
        let mut available = vec![(remaining.max(0.0), remaining.max(0.0))];
        for shift in 1..FORECAST_STEPS {
            let kept = RETRY_STEPS.saturating_sub(shift);
            let retries: u64 = sent.iter().take(kept).map(|step| step.retries).sum();
            let old = sent.iter().take(kept.saturating_sub(1)).skip(1);
            let old: u64 = old.map(|step| step.requests).sum();
            let earned =
                self.limit.ratio * old as f64 + earned_per_step * shift.min(STEPS - 1) as f64;
            let expired =
                shift.checked_sub(RETRY_STEPS).map_or(0.0, |earlier| available[earlier].1);
            let free = constant + earned - retries as f64 + expired;
            let begin = free.max(available[shift - 1].1);
            available.push((begin, begin.max(free + earned_per_step)));
        }
        let mut points = vec![(now, available[0].0 * share)];
        for (shift, (begin, end)) in available.iter().enumerate().skip(1) {
            let started_at = started_at + step * shift as u32;
            points.extend([(started_at, begin * share), (started_at + step, end * share)]);
        }
        let forecast = RetryForecast::new(points);
        // A VM that ceases to be a dispatcher, as in a planned stop, has no retries left, but its
        // callers go to the others, where all retries of a window are available again after it.
        if is_member { forecast } else { forecast.with_fallback(now + window(self.limit)) }
    }

    /// Returns the number of retries that remain for requests that can wait.
    fn remaining_for_held(&mut self, now: Time) -> f64 {
        self.remaining(now) - f64::from(self.limit.slack) * HELD_RESERVE_FRACTION
    }

    /// Returns this VM's share of the retries for backlogs: its share of the requests that were
    /// sent by all VMs that need retries.
    fn backlog_share(&mut self, now: Time) -> f64 {
        let memory: Duration = window(self.limit) * BACKLOG_WINDOWS;
        let own = self.own_window.sum(now).requests as f64;
        let needs_retries =
            |retried_at: Option<Time>| retried_at.is_some_and(|at| now.since(at) < memory);
        let others = self.peers.values_mut().filter(|peer| needs_retries(peer.retried_at));
        let (mut count, mut requests) = (0_u32, 0.0);
        for window in others.filter_map(|peer| peer.window.as_mut()) {
            count += 1;
            requests += window.sum(now).requests as f64;
        }
        if own > 0.0 { own / (own + requests) } else { 1.0 / f64::from(count + 1) }
    }
}
