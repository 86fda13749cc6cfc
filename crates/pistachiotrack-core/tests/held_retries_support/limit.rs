//! What was sent, and how much room the retry limit had.

use std::time::Duration;

use pistachiotrack_core::time::Time;

use crate::shared_support::START;

const STEP_MS: u64 = 50;
const WINDOW_STEPS: usize = 200;
/// Remaining retries at which each of six dispatchers has one for requests that can wait.
const ROOM_FOR_EACH: f64 = 6.0 + SLACK / 16.0;
/// Length of a step of a budget, in steps of this log.
const BUDGET_STEP: usize = 10;
const RATIO: f64 = 0.2;
/// Slack of the limit, and the part that dispatchers use. The rest covers updates in transit.
pub(crate) const SLACK: f64 = 62.0;
pub(crate) const USED_SLACK: f64 = 0.75 * SLACK;

/// Numbers of requests and retries sent in each step of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentLog {
    steps: Vec<(f64, f64)>,
}

fn step(time: Time) -> usize {
    (time.since(START).as_millis() as u64 / STEP_MS) as usize
}

impl SentLog {
    pub(crate) fn record(&mut self, now: Time, is_retry: bool) {
        let index = step(now);
        if self.steps.len() <= index {
            self.steps.resize(index + 1, (0.0, 0.0));
        }
        match is_retry {
            true => self.steps[index].1 += 1.0,
            false => self.steps[index].0 += 1.0,
        }
    }

    /// Returns how many more retries the window of 10 s that ends with a step would allow. Of its
    /// requests, those of the window before it and those of the one half a window before it, the
    /// most count.
    fn room_in_window(&self, last: usize) -> f64 {
        let (_, retries) = self.sums(last, WINDOW_STEPS, WINDOW_STEPS);
        let earlier = |steps: usize| {
            last.checked_sub(steps).map_or(0.0, |last| self.sums(last, WINDOW_STEPS, 0).0)
        };
        let requests = earlier(0).max(earlier(WINDOW_STEPS / 2)).max(earlier(WINDOW_STEPS));
        RATIO * requests + SLACK - retries
    }

    /// Returns the requests and retries in the steps before and including `last`.
    fn sums(&self, last: usize, request_steps: usize, retry_steps: usize) -> (f64, f64) {
        let from = |steps: usize| &self.steps[(last + 1).saturating_sub(steps)..=last];
        let requests = from(request_steps).iter().map(|step| step.0).sum();
        let retries = from(retry_steps).iter().map(|step| step.1).sum();
        (requests, retries)
    }

    /// Returns how many more retries a budget would grant that knows all that was sent.
    ///
    /// Budgets count in steps of half a second: the requests of up to 20 steps, and the retries of
    /// up to 21.
    fn granted(&self, index: usize) -> f64 {
        let in_step = index % BUDGET_STEP + 1;
        let (requests, retries) =
            self.sums(index, 19 * BUDGET_STEP + in_step, 20 * BUDGET_STEP + in_step);
        RATIO * requests + USED_SLACK - retries
    }

    /// Returns the retries beyond the limit in the worst window.
    pub(crate) fn excess(&self) -> f64 {
        let excess = (0..self.steps.len()).map(|last| -self.room_in_window(last));
        excess.fold(f64::MIN, f64::max)
    }

    /// Returns whether a retry more in a step takes none from the retries that were sent.
    fn has_room(&self, index: usize) -> bool {
        let last = (index + 21 * BUDGET_STEP).min(self.steps.len());
        self.granted(index) >= 1.0
            && (index + 1..last)
                .all(|later| self.steps[later].1 == 0.0 || self.granted(later) >= 1.0)
    }

    /// Adds one retry at the first time in a range at which there is room for it, and returns
    /// whether there is one.
    pub(crate) fn fit(&mut self, from: Time, until: Time) -> bool {
        let range = step(from) + 1..step(until).min(self.steps.len());
        let Some(index) = range.into_iter().find(|index| self.has_room(*index)) else {
            return false;
        };
        self.steps[index].1 += 1.0;
        true
    }

    /// Returns the time until `ahead` retries have been sent and there is room for one more.
    pub(crate) fn time_until_room(&self, from: Time, ahead: u64) -> Option<Duration> {
        let mut sent = 0.0;
        for index in step(from)..self.steps.len() {
            if sent >= ahead as f64 && self.granted(index) >= ROOM_FOR_EACH {
                let time = START + Duration::from_millis(index as u64 * STEP_MS);
                return Some(time.since(from));
            }
            sent += self.steps[index].1;
        }
        None
    }
}
