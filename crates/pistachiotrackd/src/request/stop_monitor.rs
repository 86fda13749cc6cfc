//! What the handlers of requests know of the stop of this VM.

use std::{future::pending, time::Duration};

use pistachiotrack_core::{stop::StopSchedule, time::Time};
use tokio::sync::watch;

/// Tells the handlers of requests that this VM stops, and how much time that leaves.
#[derive(Clone, Debug)]
pub(crate) struct StopMonitor {
    /// The stop, once it has begun.
    pub(crate) schedule: watch::Receiver<Option<StopSchedule>>,
    /// Whether the stop leaves no time for requests that are still at work.
    pub(crate) grace_over: watch::Receiver<bool>,
    /// Time after a request's deadline until which its answer may last.
    pub(crate) overrun: Duration,
}

impl StopMonitor {
    /// Returns whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.schedule.borrow().is_some()
    }

    /// Returns the time since the stop began.
    pub(crate) fn elapsed(&self, now: Time) -> Duration {
        self.schedule.borrow().map_or(Duration::ZERO, |stop| now.since(stop.began_at))
    }

    /// Returns whether a request with this deadline is certainly finished before the process exits.
    pub(crate) fn has_time_for(&self, deadline: Time) -> bool {
        let answered_by = deadline + self.overrun;
        self.schedule.borrow().is_none_or(|stop| stop.leaves_time_for(answered_by))
    }

    /// Waits until a stop has begun in which a request with this deadline may not be finished.
    pub(crate) async fn without_time_for(&self, deadline: Time) {
        let answered_by = deadline + self.overrun;
        let is_too_short = |stop: &Option<StopSchedule>| {
            stop.is_some_and(|stop| !stop.leaves_time_for(answered_by))
        };
        if self.schedule.clone().wait_for(is_too_short).await.is_err() {
            // The daemon was dropped without a stop.
            pending().await
        }
    }

    /// Waits until the stop leaves no time for requests that are still at work.
    pub(crate) async fn grace_over(&self) {
        if self.grace_over.clone().wait_for(|is_over| *is_over).await.is_err() {
            // The daemon was dropped without a stop.
            pending().await
        }
    }
}
