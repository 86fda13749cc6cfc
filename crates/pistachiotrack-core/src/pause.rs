//! Detection of process pauses by gaps between timer ticks.

use std::time::Duration;

use crate::time::Time;

/// A detected pause of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time of the last tick before the pause.
    pub began_at: Time,
    /// Time at which the pause was detected.
    pub ended_at: Time,
}

impl Pause {
    /// Returns the time between the last tick before the pause and its detection, which is
    /// an upper bound of the pause's length.
    pub fn gap(&self) -> Duration {
        self.ended_at.since(self.began_at)
    }

    /// Returns whether `time` is within the pause, so that work due then was not done.
    pub fn contains(&self, time: Time) -> bool {
        self.began_at < time && time <= self.ended_at
    }
}

/// Detects pauses from gaps between ticks of the timer service.
///
/// After a pause the process has stale state: it would dispatch requests whose deadline has
/// passed and attribute timeouts caused by its own pause to endpoints. The gap between two
/// ticks reveals the pause before any timer that expired during it is handled.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last_tick: Time,
    threshold: Duration,
    last_pause: Option<Pause>,
}

impl PauseDetector {
    /// Creates a detector that reports gaps of `threshold` or more as a pause.
    pub fn new(now: Time, threshold: Duration) -> PauseDetector {
        PauseDetector { last_tick: now, threshold, last_pause: None }
    }

    /// Records a tick and returns the length of the pause that it ends, if any.
    pub fn on_tick(&mut self, now: Time) -> Option<Duration> {
        self.detect(now).map(|pause| pause.gap())
    }

    /// Records a tick and returns the pause that it ends, if any.
    ///
    /// A tick with an earlier time than the last one, which a delayed timer message can
    /// cause, has no effect.
    pub fn detect(&mut self, now: Time) -> Option<Pause> {
        let pause = Pause { began_at: self.last_tick, ended_at: now };
        self.last_tick = self.last_tick.max(now);
        if pause.gap() < self.threshold || pause.gap().is_zero() {
            return None;
        }
        self.last_pause = Some(pause);
        Some(pause)
    }

    /// Returns the time of the last tick.
    pub fn last_tick(&self) -> Time {
        self.last_tick
    }

    /// Returns whether the time since the last tick amounts to a pause.
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.last_tick) >= self.threshold
    }

    /// Returns the last pause that began before `now`, including one that no tick has
    /// ended yet.
    pub fn pause_at(&self, now: Time) -> Option<Pause> {
        let undetected = Pause { began_at: self.last_tick, ended_at: now };
        if self.is_stale(now) { Some(undetected) } else { self.last_pause }
    }

    /// Returns the last pause detected by a tick.
    pub fn last_pause(&self) -> Option<Pause> {
        self.last_pause
    }
}
