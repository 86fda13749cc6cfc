//! Times of a graceful stop, which follow from the time that the process has for it.

use std::time::Duration;

use crate::time::Time;

/// Time at the end of the grace in which the last answers are sent and the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Divisor of the grace that yields the maximum of that time, for a short grace.
const EXIT_MARGIN_DIVISOR: u32 = 12;

/// The times of a stop that has begun.
///
/// A request is sent to an endpoint only if its time ends before the process has to, or if it is
/// expected to: one that is cut at an endpoint may have run, and its caller can't know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time at which the stop began.
    pub began_at: Time,
    /// Time until which connections are accepted.
    pub accepts_until: Time,
    /// Time until which requests may be at work.
    pub answers_until: Time,
    /// Time at which the process exits, whatever is in flight.
    pub exits_at: Time,
}

impl StopSchedule {
    /// Plans a stop of a process that has `grace` for it, and that callers use for `entry_drain`
    /// after its beginning.
    pub fn new(began_at: Time, grace: Duration, entry_drain: Duration) -> StopSchedule {
        let margin = EXIT_MARGIN.min(grace / EXIT_MARGIN_DIVISOR);
        let answers_until = began_at + (grace - margin);
        StopSchedule {
            began_at,
            accepts_until: answers_until.min(began_at + entry_drain),
            answers_until,
            exits_at: answers_until + margin / 2,
        }
    }

    /// Returns the time until which a request may be sent to an endpoint.
    ///
    /// `answered_by` is when its final answer is due at the latest, and `work` the time that an
    /// endpoint is expected to take, if that is known. Expected work counts only while callers may
    /// not know of the stop: later ones have a VM to go to that serves them for certain.
    pub fn sends_until(&self, answered_by: Time, work: Option<Duration>) -> Time {
        if answered_by < self.answers_until {
            return self.answers_until;
        }
        let starts_until = work.map(|work| self.answers_until.before(work).min(self.accepts_until));
        starts_until.unwrap_or(self.began_at).max(self.began_at)
    }
}
