//! Detection of a paused process from gaps between clock ticks.

use std::time::Duration;

use crate::time::Time;

/// A pause of this process that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Last moment at which the process was known to run.
    pub began_at: Time,
    /// Moment at which the pause was noticed.
    pub ended_at: Time,
}

impl Pause {
    /// Returns the length of the pause, which is at most the time between the
    /// last sign of life and the first after it.
    pub fn gap(&self) -> Duration {
        self.ended_at.since(self.began_at)
    }

    /// Returns whether `moment` fell into the pause: what was due then has not
    /// been done.
    pub fn covers(&self, moment: Time) -> bool {
        self.began_at < moment && moment <= self.ended_at
    }
}

/// Watches the timer service's ticks for gaps.
///
/// A paused VM wakes up believing old facts: it would dispatch requests whose
/// deadline has passed and judge endpoints by its own absence. The gap between
/// two ticks shows the pause before any timer of the old time is acted on.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last_tick: Time,
    threshold: Duration,
    last_pause: Option<Pause>,
}

impl PauseDetector {
    /// Creates a detector; gaps of `threshold` or more count as a pause.
    pub fn new(now: Time, threshold: Duration) -> PauseDetector {
        PauseDetector { last_tick: now, threshold, last_pause: None }
    }

    /// Notes a tick and returns the length of the pause it ends, if any.
    pub fn on_tick(&mut self, now: Time) -> Option<Duration> {
        self.check(now).map(|pause| pause.gap())
    }

    /// Notes a tick and returns the pause it ends, if any.
    ///
    /// A tick of an earlier moment than the last, as a late timer message may
    /// bring, changes nothing.
    pub fn check(&mut self, now: Time) -> Option<Pause> {
        let pause = Pause { began_at: self.last_tick, ended_at: now };
        self.last_tick = self.last_tick.max(now);
        if pause.gap() < self.threshold || pause.gap().is_zero() {
            return None;
        }
        self.last_pause = Some(pause);
        Some(pause)
    }

    /// Returns whether the process has been paused since the last tick.
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.last_tick) >= self.threshold
    }

    /// Returns the last pause that began before `now`, also one that no tick
    /// has ended yet.
    pub fn pause_at(&self, now: Time) -> Option<Pause> {
        let unnoticed = Pause { began_at: self.last_tick, ended_at: now };
        if self.is_stale(now) { Some(unnoticed) } else { self.last_pause }
    }

    /// Returns the last pause noticed.
    pub fn last_pause(&self) -> Option<Pause> {
        self.last_pause
    }
}
