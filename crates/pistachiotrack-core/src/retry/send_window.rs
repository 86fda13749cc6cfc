//! Counts of sent requests and retries over a sliding window.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Steps into which a window is divided; one more is kept, so that a whole window is covered
/// at any time.
pub(super) const STEPS: usize = 20;

/// Number of requests and retries sent to endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// Requests, each counted once, when it is first sent.
    pub requests: u64,
    /// Number of times a request was sent again.
    pub retries: u64,
}

impl SendCounts {
    pub(super) fn plus(self, other: SendCounts) -> SendCounts {
        SendCounts {
            requests: self.requests.saturating_add(other.requests),
            retries: self.retries.saturating_add(other.retries),
        }
    }

    pub(super) fn minus(self, other: SendCounts) -> SendCounts {
        SendCounts {
            requests: self.requests.saturating_sub(other.requests),
            retries: self.retries.saturating_sub(other.retries),
        }
    }

    pub(super) fn max(self, other: SendCounts) -> SendCounts {
        SendCounts {
            requests: self.requests.max(other.requests),
            retries: self.retries.max(other.retries),
        }
    }
}

/// Sliding window of counts.
#[derive(Clone, Debug)]
pub(super) struct SlidingWindow {
    pub(super) step: Duration,
    /// Newest first.
    pub(super) steps: VecDeque<SendCounts>,
    pub(super) newest_started_at: Time,
}

impl SlidingWindow {
    /// Creates a window of `length` without counts.
    pub(super) fn new(now: Time, length: Duration) -> SlidingWindow {
        SlidingWindow {
            step: length / STEPS as u32,
            steps: VecDeque::from(vec![SendCounts::default(); STEPS + 1]),
            newest_started_at: now,
        }
    }

    pub(super) fn record(&mut self, now: Time, sent: SendCounts) {
        self.advance(now);
        if let Some(newest) = self.steps.front_mut() {
            *newest = newest.plus(sent);
        }
    }

    /// Returns the retries of slightly more than a window and the requests of slightly less, so
    /// that errors are on the safe side.
    pub(super) fn sum(&mut self, now: Time) -> SendCounts {
        self.advance(now);
        let sum = self.steps.iter().copied().fold(SendCounts::default(), SendCounts::plus);
        let oldest = self.steps.back().map_or(0, |step| step.requests);
        SendCounts { requests: sum.requests.saturating_sub(oldest), ..sum }
    }

    /// Merges the counts of another VM, whose steps may be shifted by one.
    pub(super) fn merge(&mut self, now: Time, others: &[SendCounts]) {
        self.advance(now);
        for (step, other) in self.steps.iter_mut().zip(others) {
            *step = step.max(*other);
        }
    }

    pub(super) fn advance(&mut self, now: Time) {
        let mut elapsed_steps = 0;
        while now.since(self.newest_started_at) >= self.step && elapsed_steps <= STEPS {
            self.steps.pop_back();
            self.steps.push_front(SendCounts::default());
            self.newest_started_at += self.step;
            elapsed_steps += 1;
        }
        if elapsed_steps > STEPS {
            self.newest_started_at = now;
        }
    }
}
