//! Requests and retries that one VM has sent in the last two windows of a retry limit.

use std::{collections::VecDeque, time::Duration};

use super::{PriorRetries, RetryRights};
use crate::time::Time;

/// Steps into which a window is divided.
pub(super) const STEPS: usize = 20;
/// Steps after which a retry no longer counts. The newest step has only just begun, so that one
/// more than those of a window covers it.
pub(super) const RETRY_STEPS: usize = STEPS + 1;
const KEPT_STEPS: usize = 2 * STEPS + 1;

#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    requests: u64,
    /// Rights used for retries.
    used: RetryRights,
}

/// Counts in steps of a twentieth of a window.
#[derive(Clone, Debug)]
pub(super) struct SendHistory {
    step: Duration,
    /// Newest first.
    steps: VecDeque<StepCounts>,
    newest_started_at: Time,
    created_at: Time,
    prior: PriorRetries,
}

impl SendHistory {
    /// Creates a history without counts.
    pub(super) fn new(now: Time, window: Duration, prior: PriorRetries) -> SendHistory {
        SendHistory {
            step: window / STEPS as u32,
            steps: VecDeque::from(vec![StepCounts::default(); KEPT_STEPS]),
            newest_started_at: now,
            created_at: now,
            prior,
        }
    }

    /// Returns the length of a step.
    pub(super) fn step(&self) -> Duration {
        self.step
    }

    /// Returns the beginning of the newest step.
    pub(super) fn newest_started_at(&self) -> Time {
        self.newest_started_at
    }

    /// Records a request.
    pub(super) fn record_request(&mut self, now: Time) {
        self.newest(now).requests += 1;
    }

    /// Records rights that were used for a retry.
    pub(super) fn record_used(&mut self, now: Time, used: RetryRights) {
        let newest = self.newest(now);
        newest.used = newest.used.plus(used);
    }

    /// Returns the requests that earn rights: the fewest in any window that ended within the last
    /// window.
    ///
    /// The retries in a window then are earned by the requests of the window before it. If all
    /// requests of the last window earned rights, VMs would exceed the limit together when callers
    /// move from one to another, since both have had their requests. Windows that began before the
    /// first start of the fleet are left out, so that its VMs may use at once what they earn. After any
    /// other start they count with what is known of them, so that nothing is earned for a window.
    pub(super) fn earning_requests(&mut self, now: Time) -> u64 {
        self.advance(now);
        let counted = match self.prior {
            PriorRetries::None => self.known_steps(now),
            PriorRetries::Unknown => KEPT_STEPS - 1,
        };
        if counted < STEPS {
            return self.requests(0..STEPS);
        }
        // The newest step has only just begun.
        let mut requests = self.requests(1..STEPS + 1);
        let mut fewest = requests;
        for oldest in STEPS + 1..=counted {
            requests += self.steps[oldest].requests;
            requests -= self.steps[oldest - STEPS].requests;
            fewest = fewest.min(requests);
        }
        fewest
    }

    /// Returns in how many steps requests have come that earn rights `later_steps` steps from now, if
    /// they come evenly.
    pub(super) fn earning_steps(&self, now: Time, later_steps: usize) -> usize {
        let known = self.known_steps(now) + later_steps;
        let earning = match self.prior {
            PriorRetries::None => known,
            PriorRetries::Unknown => known.saturating_sub(STEPS),
        };
        earning.min(STEPS)
    }

    /// Returns the requests of the last window.
    pub(super) fn last_requests(&mut self, now: Time) -> u64 {
        self.advance(now);
        self.requests(0..STEPS)
    }

    /// Returns the number of steps that have ended since the history was created, at most those that
    /// are kept.
    pub(super) fn known_steps(&self, now: Time) -> usize {
        let known = now.since(self.created_at).as_micros() / self.step.as_micros().max(1);
        (known as usize).min(KEPT_STEPS - 1)
    }

    /// Returns the rights used in the last window.
    pub(super) fn used(&mut self, now: Time) -> RetryRights {
        self.advance(now);
        self.used_in(0..RETRY_STEPS)
    }

    /// Returns how much of that no longer counts after `shift` steps. Call
    /// [`SendHistory::used`] before.
    pub(super) fn released_after(&self, shift: usize) -> RetryRights {
        self.used_in(RETRY_STEPS.saturating_sub(shift)..RETRY_STEPS)
    }

    fn requests(&self, steps: std::ops::Range<usize>) -> u64 {
        self.steps.range(steps).map(|step| step.requests).sum()
    }

    fn used_in(&self, steps: std::ops::Range<usize>) -> RetryRights {
        self.steps.range(steps).fold(RetryRights::NONE, |sum, step| sum.plus(step.used))
    }

    fn newest(&mut self, now: Time) -> &mut StepCounts {
        self.advance(now);
        &mut self.steps[0]
    }

    fn advance(&mut self, now: Time) {
        let mut elapsed_steps = 0;
        while now.since(self.newest_started_at) >= self.step && elapsed_steps <= KEPT_STEPS {
            self.steps.pop_back();
            self.steps.push_front(StepCounts::default());
            self.newest_started_at += self.step;
            elapsed_steps += 1;
        }
        if elapsed_steps > KEPT_STEPS {
            self.newest_started_at = now;
        }
    }
}
