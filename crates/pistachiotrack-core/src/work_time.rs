//! How long attempts of one kind of request lately took.

use std::{collections::BTreeMap, time::Duration};

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

/// Number of an attempt, in the order in which they began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(u64);

/// The longest time that attempts at endpoints took in the current window and the one before it, or
/// have taken so far.
#[derive(Clone, Debug)]
pub struct WorkTime {
    /// Times at which the attempts began that haven't ended.
    running: BTreeMap<AttemptNumber, Time>,
    next_attempt: AttemptNumber,
    window_began_at: Time,
    current: Window,
    previous: Window,
}

impl WorkTime {
    /// Creates a record without attempts, whose first window begins at `now`.
    pub fn new(now: Time) -> WorkTime {
        WorkTime {
            running: BTreeMap::new(),
            next_attempt: AttemptNumber(0),
            window_began_at: now,
            current: Window::default(),
            previous: Window::default(),
        }
    }

    /// Records that an attempt begins.
    pub fn begin(&mut self, now: Time) -> AttemptNumber {
        let attempt = self.next_attempt;
        self.next_attempt = AttemptNumber(attempt.0 + 1);
        self.running.insert(attempt, now);
        attempt
    }

    /// Records the end of an attempt whose answer has been received.
    pub fn complete(&mut self, now: Time, attempt: AttemptNumber) {
        self.end(now, attempt);
        self.current.completed = self.current.completed.saturating_add(1);
    }

    /// Records another end of an attempt: an endpoint would have taken at least as long.
    pub fn end(&mut self, now: Time, attempt: AttemptNumber) {
        self.advance(now);
        let began_at = self.running.remove(&attempt).unwrap_or(now);
        self.current.longest = self.current.longest.max(now.since(began_at));
    }

    /// Returns the time in which a further attempt is expected to end; `None` after too few
    /// completed attempts.
    pub fn expected(&mut self, now: Time) -> Option<Duration> {
        self.advance(now);
        let completed = self.current.completed.saturating_add(self.previous.completed);
        let oldest = self.running.first_key_value().map(|(_, began_at)| now.since(*began_at));
        let longest =
            self.current.longest.max(self.previous.longest).max(oldest.unwrap_or_default());
        (completed >= MIN_COMPLETED).then(|| longest * MARGIN)
    }

    fn advance(&mut self, now: Time) {
        let age = now.since(self.window_began_at);
        if age < WINDOW {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < 2 * WINDOW { current } else { Window::default() };
        let windows = (age.as_micros() / WINDOW.as_micros()) as u32;
        self.window_began_at += WINDOW * windows;
    }
}
