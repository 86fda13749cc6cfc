//! Detection of a paused process from gaps between clock ticks.

use std::time::Duration;

use crate::time::Time;

/// Watches the timer service's ticks for gaps.
///
/// A paused VM wakes up believing old facts: it would dispatch requests whose
/// deadline has passed and judge endpoints by its own absence. The gap between
/// two ticks shows the pause before any timer of the old time is acted on.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last_tick: Time,
    threshold: Duration,
}

impl PauseDetector {
    /// Creates a detector; gaps of `threshold` or more count as a pause.
    pub fn new(now: Time, threshold: Duration) -> PauseDetector {
        PauseDetector { last_tick: now, threshold }
    }

    /// Notes a tick and returns the length of the pause it ends, if any.
    pub fn on_tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        (gap >= self.threshold).then_some(gap)
    }

    /// Returns whether the process has been paused since the last tick.
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.last_tick) >= self.threshold
    }
}
