//! How long attempts of a service's requests lately took.

use std::time::Duration;

use crate::time::Time;

/// Time that a window covers.
const WINDOW: Duration = Duration::from_secs(30);
/// Number of completed attempts from which on the longest time says how long one takes.
const MIN_COMPLETED: u32 = 30;
/// Multiple of the longest time within which a further attempt is expected to end.
const MARGIN: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    completed: u32,
    longest: Duration,
}

/// The longest time that attempts at endpoints took in the current window and the one before it.
#[derive(Clone, Debug)]
pub struct WorkTime {
    window_began_at: Time,
    current: Window,
    previous: Window,
}

impl WorkTime {
    /// Creates a record without attempts, whose first window begins at `now`.
    pub fn new(now: Time) -> WorkTime {
        WorkTime { window_began_at: now, current: Window::default(), previous: Window::default() }
    }

    /// Records an attempt that took `took` until its answer had been received.
    pub fn record_completed(&mut self, now: Time, took: Duration) {
        self.record_incomplete(now, took);
        self.current.completed = self.current.completed.saturating_add(1);
    }

    /// Records an attempt that ended otherwise after `took`: an endpoint takes that long at least.
    pub fn record_incomplete(&mut self, now: Time, took: Duration) {
        self.advance(now);
        self.current.longest = self.current.longest.max(took);
    }

    /// Returns the time in which a further attempt is expected to end; `None` after too few
    /// completed attempts.
    pub fn expected(&mut self, now: Time) -> Option<Duration> {
        self.advance(now);
        let completed = self.current.completed.saturating_add(self.previous.completed);
        let longest = self.current.longest.max(self.previous.longest);
        (completed >= MIN_COMPLETED).then(|| longest * MARGIN)
    }

    fn advance(&mut self, now: Time) {
        let age = now.since(self.window_began_at);
        if age < WINDOW {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < 2 * WINDOW { current } else { Window::default() };
        self.window_began_at = now;
    }
}
